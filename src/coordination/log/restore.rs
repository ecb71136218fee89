//! Restores the leader's state at a takeover: jobs with their placements and rental requests
//! from the replayed log, then the changes of jobs since the log was last written.
//!
//! Invariant: nothing is decided and nothing is sent before `LogWriter::loaded` is set here.

use super::super::decision_log::Decided;
use super::super::fault_injection::{is_injected, InjectedFault};
use super::super::state::{Job, LeaderState, Machine, Placement, PlacementPhase, TaskRange, TaskState};
use super::super::store_queue::Urgency;
use super::super::{Context, Continuation};
use super::queues::UndescribedJob;
use super::read_log::JobChange;
use super::replay::{Replay, ReplayedJob, ReplayedTaskRange};
use super::LogContinuation;
use crate::protocol::store::StoreResponse;
use crate::protocol::users::Phase;
use crate::storage::records::{self, JobValue, PlacementRow};
use crate::time::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Timeout of a read of the log or of the jobs' changes.
const READ_TIMEOUT: Micros = Micros::from_millis(1500);
/// Latest plausible time in a segment: a later one is assumed to be wrong and lowered to this
/// time.
const LATEST_TIME_MS: u64 = 1 << 50;

impl LeaderState {
    /// Whether the log has been read, so that the leader may decide.
    pub fn is_loaded(&self) -> bool {
        self.log_writer.loaded
    }

    /// Sends the next read of the log, or of the changes of jobs since, unless one is in flight.
    pub fn load(&mut self, context: &mut Context) {
        let reader = self.log_writer.reader.get_or_insert_with(Box::default);
        let Some((request, continuation)) = reader.next_request() else {
            return;
        };
        let continuation = Continuation::Log(self.incarnation, continuation);
        context
            .store
            .push(Urgency::Leadership, request, continuation, READ_TIMEOUT);
    }

    /// Processes the answer to a read and returns whether everything has been read.
    pub(super) fn process_read_answer(&mut self, continuation: &LogContinuation, answer: StoreResponse) -> bool {
        let Some(reader) = self.log_writer.reader.as_mut() else {
            return false;
        };
        reader.on_answer(continuation, answer)
    }

    /// Restores the state from everything that was read. `gap` is the approximate time without a
    /// leader.
    pub(super) fn finish_loading(&mut self, context: &mut Context, gap: Micros) {
        let Some(reader) = self.log_writer.reader.take() else {
            return;
        };
        let now = context.now;
        let contents = reader.into_contents();
        let mut replay = Replay::of(contents.segments);
        self.log_writer
            .resume_after(&mut replay, contents.first_slot_after_unreadable, gap, now);
        for (id, job) in replay.jobs {
            let task_ranges = replay.task_ranges.remove(&id).unwrap_or_default();
            self.restore_job(&id, job, task_ranges, now);
        }
        self.provisioning.adopt_claims(replay.claims, now);
        self.log_writer.loaded = true;
        self.needs_scheduling = true;
        for (id, change) in contents.changes {
            self.apply_job_change(&id, change, now);
        }
        for event in std::mem::take(&mut self.early_events) {
            self.on_job_event(&event.id, event.version, event.key_version, event.value, now);
        }
        self.log_restored(now);
    }

    fn log_restored(&self, now: Micros) {
        tracing::info!(
            term = self.term,
            jobs_seen = self.log_writer.seen_revision,
            segments = self.log_writer.segments.len(),
            jobs = self.jobs.len(),
            placements = self.jobs.values().map(|j| j.placements.len()).sum::<usize>(),
            took_ms = now.since(self.started_at).0 / 1000,
            "write-ahead log read"
        );
    }

    /// Restores an open job with its task ranges.
    fn restore_job(
        &mut self,
        id: &str,
        replayed: ReplayedJob,
        task_ranges: BTreeMap<u32, ReplayedTaskRange>,
        now: Micros,
    ) {
        let (version, cancelled) = (replayed.acceptance_revision, replayed.cancelled);
        self.last_acceptance_revision = self.last_acceptance_revision.max(version);
        let mut job = self.restored_job(id, replayed, now);
        for (range_index, task_range) in task_ranges {
            self.restore_task_range(&mut job, range_index, task_range, now);
        }
        let key = job.id.clone();
        let complete = !job.is_service() && job.finished_tasks == job.spec.tasks;
        self.jobs.insert(key.clone(), job);
        if cancelled {
            self.cancel(id, now);
            let entry = UndescribedJob::new(version, key.clone());
            self.log_writer.undescribed.remove(&entry);
        }
        if complete {
            self.log_writer.completed.insert(key);
        }
    }

    /// Returns the job as the log describes it, without its placements.
    fn restored_job(&self, id: &str, replayed: ReplayedJob, now: Micros) -> Job {
        // A job that depends on others is blocked until the dependencies have been evaluated.
        let (spec, blocked) = match records::from_record(replayed.spec.clone()) {
            Some((spec, _)) => {
                let blocked = !spec.dependencies.is_empty();
                (spec, blocked)
            }
            None => (replayed.spec, true),
        };
        let mut job = Job::new(id, spec, replayed.acceptance_revision, replayed.key_version, now);
        job.blocked = blocked;
        job.described_in = Some(replayed.segment);
        job.restored = true;
        job.arrival_unknown = replayed.submitted_log_ms.is_none();
        if let Some(ms) = replayed.submitted_log_ms {
            job.arrived_at = self.log_writer.local_time(ms).min(now);
            job.submitted_at = job.arrived_at;
        }
        job
    }

    /// Restores a task range of a job.
    fn restore_task_range(&mut self, job: &mut Job, range_index: u32, replayed: ReplayedTaskRange, now: Micros) {
        for &(from, to) in &replayed.done {
            restore_completed(job, from, to);
        }
        for row in replayed.placements.into_values() {
            self.restore_placement(job, row, now);
        }
        let task_range = TaskRange {
            last_attempt: replayed.last_attempt,
            recorded_in: replayed.full_segment,
            ..TaskRange::default()
        };
        job.task_ranges.insert(range_index, task_range);
    }

    fn restore_placement(&mut self, job: &mut Job, row: PlacementRow, now: Micros) {
        let (task, attempt, machine, incarnation, fencing_token) = row;
        if task >= job.spec.tasks || job.task_states[task as usize] == TaskState::Recorded {
            return;
        }
        let name: Rc<str> = machine.into();
        job.task_states[task as usize] = TaskState::Placed;
        job.waiting.remove(&task);
        let placement = Placement {
            attempt,
            machine: name.clone(),
            incarnation,
            // An earlier leader may have sent starts under any term before this one: only a
            // fencing token of this term proves that they can't be executed any more.
            fencing_token: fencing_token.max(self.term.saturating_sub(1)),
            phase: PlacementPhase::Sent,
            sent: true,
            stop_grace_s: None,
            stop_requested_at: now,
            on_helper_slots: false,
            placed_at: now,
            running_since: None,
            restored: true,
        };
        self.invariants
            .decisions
            .record(job.decision(task, &placement, Decided::Inherited, now));
        job.placements.insert(task, placement);
        job.held_tasks += u32::from(!is_injected(InjectedFault::ForgetsChargeAtTakeover));
        let machine = self
            .machines
            .entry(name.clone())
            .or_insert_with(|| Machine::unknown(name, now));
        machine.confirmed = true;
        machine.add_task(&job.id, task, &job.spec);
    }

    /// Applies a change of a job since the log was last written.
    fn apply_job_change(&mut self, id: &str, change: JobChange, now: Micros) {
        if change.phase == Phase::Done {
            self.remove_finished_job(id);
            return;
        }
        let value = JobValue {
            phase: change.phase,
            spec: change.spec,
        };
        self.on_job_event(id, change.revision, change.key_version, value, now);
    }

    /// Removes a job that an earlier leader closed, or that ended before the log contained it.
    fn remove_finished_job(&mut self, id: &str) {
        if let Some(job) = self.jobs.remove(id) {
            tracing::warn!(job = id, "job is done although the write-ahead log lists it as open");
            for (task, placement) in &job.placements {
                let Some(machine) = self.machines.get_mut(&placement.machine) else {
                    continue;
                };
                machine.remove_task(&job.id, *task, &job.spec, placement);
            }
        }
        self.log_writer.completed.remove(id);
        self.log_writer.remember_closed(id.into());
    }
}

/// Marks the waiting tasks of an inclusive range as completed and recorded in the log.
fn restore_completed(job: &mut Job, from: u32, to: u32) {
    let last = to.min(job.spec.tasks.saturating_sub(1));
    for task in from..=last {
        if job.task_states[task as usize] != TaskState::Waiting {
            continue;
        }
        job.task_states[task as usize] = TaskState::Recorded;
        job.waiting.remove(&task);
        job.finished_tasks += 1;
    }
}

impl super::LogWriter {
    /// Continues the log where the replayed segments end.
    fn resume_after(&mut self, replay: &mut Replay, first_slot_after_unreadable: u32, gap: Micros, now: Micros) {
        if let Some(written_log_ms) = replay.written_log_ms {
            let now_log_ms = written_log_ms.min(LATEST_TIME_MS) + gap.0 / 1000;
            self.clock_offset_ms = now_log_ms as i64 - (now.0 / 1000) as i64;
        }
        self.last_seq = replay.last_seq;
        self.seen_revision = replay.seen_revision;
        self.slot_count = replay.slot_count.max(first_slot_after_unreadable);
        self.segments = std::mem::take(&mut replay.live_segments);
        self.free_slots = std::mem::take(&mut replay.free_slots);
    }
}
