//! Answers of the state service to what the desk asked, and what each one means for the
//! requests that wait for it.

use super::super::{Shared, Site};
use super::{refuse, send_read, Ask, Desk, DeskWait, Pages};
use crate::bookkeeping::keys;
use crate::bookkeeping::records::{from_value, JobValue};
use crate::protocol::store::StoreAnswer;
use crate::protocol::users::Phase;
use crate::time::Micros;
use glenhaven_chains::Stand;

impl Desk {
    /// An answer of the state service for the users' desk has come.
    pub fn on_store(&mut self, sh: &mut Shared, site: &Site, wait: DeskWait, answer: StoreAnswer) {
        match wait {
            DeskWait::Verify(batch) => self.on_verify(sh, site, batch, answer),
            DeskWait::Read(job, ids) => self.on_read(sh, site, job, ids, answer),
            DeskWait::Accept(number, slot) => self.on_accept(sh, site, (number, slot), answer),
            DeskWait::Page(slot) => self.on_own_page(sh, site, slot, answer),
            DeskWait::Pages(of) if of != self.reading_of => {}
            DeskWait::Pages(_) => self.on_pages(sh, site, answer),
            DeskWait::Sync(ids) => self.on_sync(sh, site, ids, answer),
            DeskWait::Abort(id, _) => self.on_abort(sh, site, id, answer),
        }
    }

    /// The answer to one compare for many jobs.
    fn on_verify(&mut self, sh: &mut Shared, site: &Site, batch: Vec<(String, u64, Vec<u64>)>, answer: StoreAnswer) {
        self.verifying = self.verifying.saturating_sub(1);
        match answer {
            StoreAnswer::Committed { .. } => {
                for (job, version, ids) in batch {
                    self.verified(sh, site, &job, version, ids);
                }
            }
            StoreAnswer::Conflict { failed, .. } => {
                for (job, version, ids) in batch {
                    if failed.contains(&keys::job(&job)) {
                        let unchecked = self.known.get(&job).is_some_and(|k| !k.checked);
                        let needed = self.chains.is_needed(&job) || self.chains.job(&job).is_some();
                        if unchecked && ids.is_empty() && !needed {
                            // Over: how is read when somebody asks.
                            self.known.remove(&job);
                            self.intake.over(&job);
                            continue;
                        }
                        send_read(sh, &job, ids, Micros::ZERO);
                    } else {
                        self.verified(sh, site, &job, version, ids);
                    }
                }
            }
            _ => {
                for (job, _, ids) in batch {
                    let unchecked = self.known.get(&job).is_some_and(|k| !k.checked);
                    if unchecked || ids.iter().any(|id| self.pending.contains_key(id)) {
                        self.to_verify.entry(job).or_default().extend(ids);
                    }
                }
            }
        }
    }

    /// A job's own key was read for these requests.
    fn on_read(&mut self, sh: &mut Shared, site: &Site, job: String, ids: Vec<u64>, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Row(row) => {
                self.reading.remove(&job);
                match from_value::<JobValue>(&row.value) {
                    Some(value) => self.learn(&job, row.version, value.phase),
                    None => tracing::error!(job, "malformed job value"),
                }
                if let Some(known) = self.known.get(&job).copied() {
                    self.verified(sh, site, &job, known.version, ids);
                }
            }
            StoreAnswer::Missing { .. } => {
                self.reading.remove(&job);
                self.verified(sh, site, &job, 0, ids);
            }
            _ => {
                self.reading.remove(&job);
                let unchecked = self.known.get(&job).is_some_and(|k| !k.checked);
                if unchecked || ids.iter().any(|id| self.pending.contains_key(id)) {
                    let pause = sh.jitter(Micros::from_millis(80));
                    send_read(sh, &job, ids, pause);
                }
            }
        }
    }

    /// A page of this node was read, whose version was not as expected.
    fn on_own_page(&mut self, sh: &mut Shared, site: &Site, slot: u32, answer: StoreAnswer) {
        // If this is not answered either, the next try on the page asks again.
        if let StoreAnswer::Row(row) = answer {
            self.learn_page(&row.key, &row.value, row.version, true);
            self.settle_submits(sh, site);
        }
        tracing::debug!(slot, "a page of this node was written unseen");
    }

    /// Pages of acceptances were read, to begin with.
    fn on_pages(&mut self, sh: &mut Shared, site: &Site, answer: StoreAnswer) {
        let Pages::Asked(after) = &self.pages else { return };
        let after = after.clone();
        self.pages = match answer {
            StoreAnswer::Rows(rows) => {
                for row in &rows.items {
                    self.learn_page(&row.key, &row.value, row.version, false);
                }
                match rows.items.last() {
                    Some(last) if rows.more => Pages::From(last.key.clone()),
                    _ => Pages::Known,
                }
            }
            _ => {
                self.next_pages = sh.now + sh.jitter(Micros::from_millis(150));
                Pages::From(after)
            }
        };
        self.settle_submits(sh, site);
    }

    /// All news of jobs up to now were read for these requests.
    fn on_sync(&mut self, sh: &mut Shared, site: &Site, ids: Vec<u64>, answer: StoreAnswer) {
        self.syncing = false;
        let StoreAnswer::Events(events) = answer else {
            self.to_sync
                .extend(ids.into_iter().filter(|id| self.pending.contains_key(id)));
            return;
        };
        self.on_news(sh, site, &events.events);
        for id in ids {
            self.synced(sh, site, id);
        }
    }

    /// The answer to a cancellation.
    fn on_abort(&mut self, sh: &mut Shared, site: &Site, id: u64, answer: StoreAnswer) {
        let Some(pending) = self.pending.get(&id) else { return };
        let job = pending.job.clone();
        match answer {
            StoreAnswer::Committed { revision } => {
                tracing::debug!(job, revision, "cancelled by its user");
                self.learn(&job, revision, Phase::Cancelled);
                self.pending.remove(&id);
                self.answer(sh, id, &job, Phase::Cancelled, 200);
            }
            StoreAnswer::Conflict { .. } => send_read(sh, &job, vec![id], Micros::ZERO),
            _ => self.again(sh, site, id, &answer),
        }
    }

    /// Repeats a transaction that was refused or not answered. Both kinds are
    /// conditional, so that a second execution cannot do harm.
    fn again(&mut self, sh: &mut Shared, site: &Site, id: u64, answer: &StoreAnswer) {
        if matches!(answer, StoreAnswer::Unknown) {
            return self.advance(sh, site, id);
        }
        let Some(p) = self.pending.get(&id) else { return };
        // A read in between costs a request but tells whether the job is known
        // by now; the pause keeps refused nodes from retrying in step.
        let pause = sh.jitter(Micros::from_millis(60));
        send_read(sh, &p.job.clone(), vec![id], pause);
    }

    /// A compare or read of the job's own key proved this version (0: there is none), in
    /// a request that was made after these came.
    fn verified(&mut self, sh: &mut Shared, site: &Site, job: &str, version: u64, ids: Vec<u64>) {
        if let Some(known) = self.known.get_mut(job) {
            // An end learnt meanwhile is newer than a read that missed it.
            known.checked |= version <= known.version;
        }
        if version == 0 && self.known.get(job).is_none_or(|k| !k.phase.is_final()) {
            // Its own key was not there: it is not over, whoever accepted it. Nothing waits
            // for ever for a word about it.
            self.chains.open(job);
        }
        for id in ids {
            let named = self.pending.get_mut(&id).filter(|p| p.job != job);
            if let Some(pending) = named {
                if !self.known.contains_key(job) {
                    pending.missing.insert(job.to_string());
                }
                self.advance(sh, site, id);
                continue;
            }
            let Some(pending) = self.pending.get(&id) else { continue };
            let phase = self.final_phase(job).or(self.known.get(job).map(|k| k.phase));
            match (&pending.ask, phase) {
                (Ask::Submit(_), None) | (Ask::Abort, Some(_)) => self.advance(sh, site, id),
                // Not over; whether it was accepted by another node, unseen here yet, is
                // read in this request too.
                (_, None) => self.to_sync.push(id),
                (_, Some(phase)) if !phase.is_final() && self.waits(job) => self.to_sync.push(id),
                (_, Some(phase)) => {
                    self.pending.remove(&id);
                    self.answer(sh, id, job, phase, 200);
                }
            }
        }
    }

    /// All news up to a moment after the request came were seen, and its job's own key was
    /// read in it: a job that is still not known was never accepted.
    fn synced(&mut self, sh: &mut Shared, site: &Site, id: u64) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.synced = true;
        }
        let Some(pending) = self.pending.get(&id) else { return };
        let job = pending.job.clone();
        let phase = self.final_phase(&job).or(self.known.get(&job).map(|k| k.phase));
        let repeated = self.known.get(&job).is_none_or(|k| k.repeated);
        if let (true, false, Some(phase)) = (pending.accepted_here, repeated, phase) {
            // No page accepted it before this node's: nobody was told anything of it yet.
            self.waits.record(sh.now.since(pending.at));
            self.pending.remove(&id);
            return self.answer(sh, id, &job, phase, 201);
        }
        match (&pending.ask, phase) {
            // Something before it has yet to be read.
            (_, Some(phase)) if !phase.is_final() && self.chains.stand(&job) == Some(Stand::Unsettled) => {
                self.to_sync.push(id);
            }
            (Ask::Poll | Ask::Abort, None) => {
                self.pending.remove(&id);
                refuse(sh, id, 404, "no such job");
            }
            (Ask::Refusable(status, why), None) => {
                let (status, why) = (*status, why.clone());
                self.pending.remove(&id);
                refuse(sh, id, status, &why);
            }
            (Ask::Submit(_), None) | (Ask::Abort, Some(_)) => self.advance(sh, site, id),
            (_, Some(_)) if self.known.get(&job).is_some_and(|k| !k.checked) => self.advance(sh, site, id),
            (_, Some(phase)) => {
                self.pending.remove(&id);
                self.answer(sh, id, &job, phase, 200);
            }
        }
    }
}
