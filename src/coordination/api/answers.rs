//! Answers of the state service to what the desk asked, and what each one means for the
//! requests that wait for it.

use super::super::store_queue::Urgency;
use super::super::{ClusterConfig, Context, Continuation};
use super::read_proof::{ReadProof, RequestSequence, Source};
use super::{refuse, ApiContinuation, Ask, Compared, JobApi, Pages};
use crate::protocol::store::{StoreRequest, StoreResponse};
use crate::protocol::to_cbor;
use crate::protocol::users::{JobState, Phase};
use crate::storage::keys;
use crate::storage::records::{from_value, JobValue};
use crate::time::Micros;
use glenhaven_dependencies::Stand;

/// A read that is not answered by then is made again.
const READ_LIMIT: Micros = Micros::from_millis(300);

impl JobApi {
    /// An answer of the state service for the users' desk has come.
    pub fn on_store(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        continuation: ApiContinuation,
        answer: StoreResponse,
    ) {
        match continuation {
            ApiContinuation::Verify { covers, jobs } => self.on_verify(context, cluster, covers, jobs, answer),
            ApiContinuation::Read { covers, job, requests } => {
                self.on_read(context, cluster, covers, job, requests, answer)
            }
            ApiContinuation::Accept { covers, number, slot } => {
                self.on_accept(context, cluster, covers, (number, slot), answer)
            }
            ApiContinuation::Page(slot) => self.on_own_page(context, cluster, slot, answer),
            ApiContinuation::Pages(of) if of != self.reading_of => {}
            ApiContinuation::Pages(_) => self.on_pages(context, cluster, answer),
            ApiContinuation::Sync { covers, requests } => self.on_sync(context, cluster, covers, requests, answer),
            ApiContinuation::Abort(id) => self.on_abort(context, cluster, id, answer),
        }
    }

    /// The answer to one compare for many jobs.
    fn on_verify(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        covers: RequestSequence,
        jobs: Vec<Compared>,
        answer: StoreResponse,
    ) {
        self.verifying = self.verifying.saturating_sub(1);
        let (failed, revision) = match answer {
            StoreResponse::Committed { revision } => (vec![], revision),
            StoreResponse::Conflict { failed, revision } => (failed, revision),
            _ => return self.compare_again(jobs),
        };
        let evidence = ReadProof::new(Source::Compare, covers, revision);
        for Compared { job, version, requests } in jobs {
            if failed.contains(&keys::job(&job)) {
                self.differs(context, &job, requests);
            } else {
                self.verified(context, cluster, &job, version, requests, &evidence);
            }
        }
    }

    /// A compare was not executed: it is made again for those who still wait.
    fn compare_again(&mut self, jobs: Vec<Compared>) {
        for Compared { job, requests, .. } in jobs {
            let unchecked = self.known.get(&job).is_some_and(|k| !k.checked);
            if unchecked || requests.iter().any(|id| self.pending.contains_key(id)) {
                self.to_verify.entry(job).or_default().extend(requests);
            }
        }
    }

    /// A job's own key is not as it is known here.
    fn differs(&mut self, context: &mut Context, job: &str, requests: Vec<u64>) {
        let unchecked = self.known.get(job).is_some_and(|k| !k.checked);
        let needed = self.dependency_graph.is_needed(job) || self.dependency_graph.job(job).is_some();
        if unchecked && requests.is_empty() && !needed {
            // Over: how is read when somebody asks.
            self.known.remove(job);
            self.group_commit.over(job);
            return;
        }
        self.send_read(context, job, requests, Micros::ZERO);
    }

    /// Reads a job's own key on behalf of these requests.
    pub(super) fn send_read(&self, context: &mut Context, job: &str, requests: Vec<u64>, pause: Micros) {
        let request = StoreRequest::Get { key: keys::job(job) };
        let continuation = Continuation::Api(ApiContinuation::Read {
            covers: self.arrived,
            job: job.to_string(),
            requests,
        });
        if pause == Micros::ZERO {
            context.store.push(Urgency::User, request, continuation, READ_LIMIT);
        } else {
            context
                .store
                .push_at(context.now + pause, Urgency::User, request, continuation, READ_LIMIT);
        }
    }

    /// A job's own key was read for these requests.
    fn on_read(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        covers: RequestSequence,
        job: String,
        ids: Vec<u64>,
        answer: StoreResponse,
    ) {
        match answer {
            StoreResponse::Row(row) => {
                let evidence = ReadProof::new(Source::Read, covers, row.version);
                self.reading.remove(&job);
                match from_value::<JobValue>(&row.value) {
                    Some(value) => self.learn(&job, row.version, value.phase),
                    None => tracing::error!(job, "malformed job value"),
                }
                if let Some(known) = self.known.get(&job).copied() {
                    self.verified(context, cluster, &job, known.version, ids, &evidence);
                }
            }
            StoreResponse::Missing { revision } => {
                self.reading.remove(&job);
                let evidence = ReadProof::new(Source::Read, covers, revision);
                self.verified(context, cluster, &job, 0, ids, &evidence);
            }
            _ => {
                self.reading.remove(&job);
                let unchecked = self.known.get(&job).is_some_and(|k| !k.checked);
                if unchecked || ids.iter().any(|id| self.pending.contains_key(id)) {
                    let pause = context.jitter(Micros::from_millis(80));
                    self.send_read(context, &job, ids, pause);
                }
            }
        }
    }

    /// A page of this node was read, whose version was not as expected.
    fn on_own_page(&mut self, context: &mut Context, cluster: &ClusterConfig, slot: u32, answer: StoreResponse) {
        // If this is not answered either, the next try on the page asks again.
        if let StoreResponse::Row(row) = answer {
            self.learn_page(&row.key, &row.value, row.version, true);
            self.settle_submits(context, cluster);
        }
        tracing::debug!(slot, "a page of this node was written unseen");
    }

    /// Pages of acceptances were read, to begin with.
    fn on_pages(&mut self, context: &mut Context, cluster: &ClusterConfig, answer: StoreResponse) {
        let Pages::Asked(after) = &self.pages else { return };
        let after = after.clone();
        self.pages = match answer {
            StoreResponse::Rows(rows) => {
                for row in &rows.items {
                    self.learn_page(&row.key, &row.value, row.version, false);
                }
                match rows.items.last() {
                    Some(last) if rows.more => Pages::From(last.key.clone()),
                    _ => Pages::Complete,
                }
            }
            _ => {
                self.next_pages = context.now + context.jitter(Micros::from_millis(150));
                Pages::From(after)
            }
        };
        self.settle_submits(context, cluster);
    }

    /// All news of jobs up to now were read for these requests.
    fn on_sync(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        covers: RequestSequence,
        ids: Vec<u64>,
        answer: StoreResponse,
    ) {
        self.syncing = false;
        let StoreResponse::Events(events) = answer else {
            self.to_sync
                .extend(ids.into_iter().filter(|id| self.pending.contains_key(id)));
            return;
        };
        self.on_news(context, cluster, &events.events);
        let evidence = ReadProof::new(Source::News, covers, events.revision);
        for id in ids {
            self.synced(context, cluster, id, &evidence);
        }
    }

    /// The answer to a cancellation.
    fn on_abort(&mut self, context: &mut Context, cluster: &ClusterConfig, id: u64, answer: StoreResponse) {
        let Some(pending) = self.pending.get(&id) else { return };
        let job = pending.job.clone();
        match answer {
            StoreResponse::Committed { revision } => {
                tracing::debug!(job, revision, "cancelled by its user");
                self.learn(&job, revision, Phase::Cancelled);
                self.pending.remove(&id);
                let evidence = ReadProof::of_final_phase(revision);
                self.answer(context, id, &job, Phase::Cancelled, 200, &evidence);
            }
            StoreResponse::Conflict { .. } => self.send_read(context, &job, vec![id], Micros::ZERO),
            _ => self.again(context, cluster, id, &answer),
        }
    }

    /// Repeats a transaction that was refused or not answered. Both kinds are
    /// conditional, so that a second execution cannot do harm.
    fn again(&mut self, context: &mut Context, cluster: &ClusterConfig, id: u64, answer: &StoreResponse) {
        if matches!(answer, StoreResponse::Unknown) {
            return self.advance(context, cluster, id);
        }
        let Some(job) = self.pending.get(&id).map(|p| p.job.clone()) else {
            return;
        };
        // A read in between costs a request but tells whether the job is known
        // by now; the pause keeps refused nodes from retrying in step.
        let pause = context.jitter(Micros::from_millis(60));
        self.send_read(context, &job, vec![id], pause);
    }

    /// A compare or read of the job's own key proved this version (0: there is none), in
    /// a request that was made after these came.
    fn verified(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        job: &str,
        version: u64,
        ids: Vec<u64>,
        evidence: &ReadProof,
    ) {
        if let Some(known) = self.known.get_mut(job) {
            // An end learnt meanwhile is newer than a read that missed it.
            known.checked |= version <= known.version;
        }
        if version == 0 && self.known.get(job).is_none_or(|k| !k.phase.is_final()) {
            // Its own key was not there: it is not over, whoever accepted it. Nothing waits
            // for ever for a word about it.
            self.dependency_graph.open(job);
        }
        for id in ids {
            let named = self.pending.get_mut(&id).filter(|p| p.job != job);
            if let Some(pending) = named {
                if !self.known.contains_key(job) {
                    pending.missing.insert(job.to_string());
                }
                self.advance(context, cluster, id);
                continue;
            }
            let Some(pending) = self.pending.get(&id) else { continue };
            let phase = self.final_phase(job).or(self.known.get(job).map(|k| k.phase));
            match (&pending.ask, phase) {
                (Ask::Submit(_), None) | (Ask::Abort, Some(_)) => self.advance(context, cluster, id),
                // Not over; whether it was accepted by another node, unseen here yet, is
                // read in this request too.
                (_, None) => self.to_sync.push(id),
                (_, Some(phase)) if !phase.is_final() && self.waits(job) => self.to_sync.push(id),
                (_, Some(phase)) => self.answer_by(context, id, phase, 200, evidence),
            }
        }
    }

    /// All news up to a moment after the request came were seen, and its job's own key was
    /// read in it: a job that is still not known was never accepted.
    fn synced(&mut self, context: &mut Context, cluster: &ClusterConfig, id: u64, evidence: &ReadProof) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.synced = true;
        }
        let Some(pending) = self.pending.get(&id) else { return };
        let job = pending.job.clone();
        let phase = self.final_phase(&job).or(self.known.get(&job).map(|k| k.phase));
        let repeated = self.known.get(&job).is_none_or(|k| k.repeated);
        if let (true, false, Some(phase)) = (pending.accepted_here, repeated, phase) {
            // No page accepted it before this node's: nobody was told anything of it before the
            // request came.
            return self.answer_by(context, id, phase, 201, evidence);
        }
        match (&pending.ask, phase) {
            // Something before it has yet to be read.
            (_, Some(phase)) if !phase.is_final() && self.dependency_graph.stand(&job) == Some(Stand::Unsettled) => {
                self.to_sync.push(id);
            }
            (Ask::Poll | Ask::Abort, None) => self.refuse_by(context, id, 404, "no such job", evidence),
            (Ask::Refusable(status, why), None) => {
                let (status, why) = (*status, why.clone());
                self.refuse_by(context, id, status, &why, evidence);
            }
            (Ask::Submit(_), None) | (Ask::Abort, Some(_)) => self.advance(context, cluster, id),
            (_, Some(_)) if self.known.get(&job).is_some_and(|k| !k.checked) => self.advance(context, cluster, id),
            (_, Some(phase)) => self.answer_by(context, id, phase, 200, evidence),
        }
    }

    /// Answers a request by what the state service said of its job. Evidence that was asked for
    /// before the request came may be older than what another node told in between: the job's
    /// own key is compared for it then.
    pub(super) fn answer_by(
        &mut self,
        context: &mut Context,
        id: u64,
        phase: Phase,
        status: u16,
        evidence: &ReadProof,
    ) {
        let Some(pending) = self.pending.get(&id) else { return };
        if !evidence.allows(pending.arrival, phase) {
            return self.ask_anew(id);
        }
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        if status == 201 {
            self.waits.record(context.now.since(pending.at));
        }
        self.answer(context, id, &pending.job, phase, status, evidence);
    }

    /// The same of a job that was never accepted.
    fn refuse_by(&mut self, context: &mut Context, id: u64, status: u16, why: &str, evidence: &ReadProof) {
        let Some(pending) = self.pending.get(&id) else { return };
        if !evidence.covers(pending.arrival) {
            return self.ask_anew(id);
        }
        let ReadProof { source, revision, .. } = evidence;
        tracing::debug!(job = pending.job, status, why, ?source, revision, "refused");
        self.pending.remove(&id);
        refuse(context, id, status, why);
    }

    /// The evidence at hand is older than the request: its job is compared for it.
    fn ask_anew(&mut self, id: u64) {
        let Some(pending) = self.pending.get(&id) else { return };
        tracing::debug!(job = pending.job, "the evidence is older than the request: asked anew");
        self.asked_anew += 1;
        self.to_verify.entry(pending.job.clone()).or_default().push(id);
    }

    /// Tells a user how the job is. Whether the evidence is new enough was looked at.
    pub(super) fn answer(
        &mut self,
        context: &mut Context,
        id: u64,
        job: &str,
        phase: Phase,
        status: u16,
        evidence: &ReadProof,
    ) {
        let ReadProof { source, revision, .. } = evidence;
        tracing::debug!(job, status, ?phase, ?source, revision, "answered");
        *self.answered.entry(*source).or_default() += 1;
        let (done, running) = self.counts.get(job).copied().unwrap_or((0, 0));
        let state = JobState {
            id: job.to_string(),
            phase: match phase {
                Phase::Pending | Phase::Running if running > 0 => Phase::Running,
                Phase::Running => Phase::Pending,
                other => other,
            },
            done: (!phase.is_final()).then_some(done),
            running: (!phase.is_final()).then_some(running),
        };
        context.reply(id, status, to_cbor(&state), None);
    }
}
