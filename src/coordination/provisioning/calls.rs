//! Calls to the cloud, their rate limit, and what their answers mean.
//!
//! Every controller reads the catalogue, which decides what can be accepted; only the leader rents,
//! releases and lists. Calls are effects: this module sends nothing itself.
//!
//! Invariant: a call is made only if the rate limit admits it, and it is answered at most once.

use super::super::{CloudRequest, CloudResponse, ClusterConfig, Context, Controller, Effect};
use super::MachineId;
use crate::time::Micros;
use crate::transport::rate_limit::Bucket;
use std::collections::BTreeMap;

/// How long an answer is waited for.
const TIMEOUT: Micros = Micros::from_millis(3000);
/// Share of the cloud's rate limit that is used.
const RATE_SHARE: f64 = 0.85;
const CATALOGUE_INTERVAL: Micros = Micros::from_millis(30_000);
/// The pause before the catalogue is read again after a failure, on average, if there is none yet.
const FIRST_CATALOGUE_RETRY: Micros = Micros::from_millis(400);
/// The same if an older catalogue is there.
const CATALOGUE_RETRY: Micros = Micros::from_millis(3000);
/// The pause before a rental is requested again, on average.
const RENTAL_RETRY: Micros = Micros::from_millis(1000);
/// The pause before the list is read again after a failure, on average.
const LIST_RETRY: Micros = Micros::from_millis(2000);
/// The least time between two readings of the list.
const MIN_LIST_INTERVAL_S: f64 = 2.0;

/// What an answer belongs to. The leader's calls carry the leadership's incarnation.
pub(super) enum CloudContinuation {
    Catalogue,
    /// The incarnation, and the claim's name.
    ProvisionRequest(u64, String),
    /// The incarnation, and the machines that are released.
    Release(u64, Vec<MachineId>),
    List(u64),
}

/// Calls to the cloud that are in flight, and their rate limit.
pub struct CloudCallTracker {
    bucket: Option<Bucket>,
    pending: BTreeMap<u64, CloudContinuation>,
    next_catalogue_at: Micros,
    catalogue_in_flight: bool,
}

impl CloudCallTracker {
    /// No calls in flight; the catalogue is due at once.
    pub fn new(now: Micros) -> CloudCallTracker {
        CloudCallTracker {
            bucket: None,
            pending: BTreeMap::new(),
            next_catalogue_at: now,
            catalogue_in_flight: false,
        }
    }

    /// Makes a call if the rate limit admits it, and returns whether it does. `reserve`: share of
    /// the limit that is left to more urgent calls.
    pub(super) fn call(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        continuation: CloudContinuation,
        request: CloudRequest,
        reserve: f64,
    ) -> bool {
        let rate = cluster.settings.params.cloud.rps * RATE_SHARE;
        let bucket = self.bucket.get_or_insert_with(|| Bucket::new(rate, context.now));
        if !bucket.allows(1.0, reserve, context.now) {
            return false;
        }
        bucket.take(1.0, context.now);
        let id = context.id();
        self.pending.insert(id, continuation);
        context.effects.push(Effect::Cloud {
            id,
            request,
            timeout: TIMEOUT,
        });
        true
    }
}

impl Controller {
    /// Reads the catalogue when it is due.
    pub(in crate::coordination) fn run_cloud_calls(&mut self) {
        let now = self.context.now;
        if now >= self.cloud_calls.next_catalogue_at && !self.cloud_calls.catalogue_in_flight {
            self.cloud_calls.catalogue_in_flight = self.cloud_calls.call(
                &mut self.context,
                &self.cluster,
                CloudContinuation::Catalogue,
                CloudRequest::Catalogue,
                0.0,
            );
        }
    }

    /// Handles the answer to a call. Answers to calls of an earlier leadership of this controller
    /// are dropped.
    pub(in crate::coordination) fn on_cloud(&mut self, id: u64, answer: CloudResponse) {
        let Some(continuation) = self.cloud_calls.pending.remove(&id) else {
            return;
        };
        let incarnation = self.leader.as_ref().map(|l| l.incarnation);
        match continuation {
            CloudContinuation::Catalogue => self.on_catalogue(answer),
            CloudContinuation::ProvisionRequest(of, claim) if Some(of) == incarnation => {
                let pause = self.context.jitter(RENTAL_RETRY);
                if let Some(leader) = self.leader.as_mut() {
                    leader.on_rental_answer(&claim, answer, self.context.now, pause);
                }
            }
            CloudContinuation::Release(of, names) if Some(of) == incarnation => self.on_release_answer(names, answer),
            CloudContinuation::List(of) if Some(of) == incarnation => self.on_list_answer(answer),
            _ => {}
        }
    }

    fn on_catalogue(&mut self, answer: CloudResponse) {
        let now = self.context.now;
        self.cloud_calls.catalogue_in_flight = false;
        match answer {
            CloudResponse::Catalogue(catalogue) if !catalogue.types.is_empty() => {
                self.cluster.catalogue = catalogue.types.into_iter().map(|t| (t.name.clone(), t)).collect();
                self.cloud_calls.next_catalogue_at = now + CATALOGUE_INTERVAL;
            }
            _ => {
                let pause = if self.cluster.catalogue.is_empty() {
                    FIRST_CATALOGUE_RETRY
                } else {
                    CATALOGUE_RETRY
                };
                self.cloud_calls.next_catalogue_at = now + self.context.jitter(pause);
            }
        }
    }

    fn on_release_answer(&mut self, names: Vec<MachineId>, answer: CloudResponse) {
        let Some(leader) = self.leader.as_mut() else { return };
        let releases = &mut leader.provisioning.releases_in_flight;
        *releases = releases.saturating_sub(1);
        for name in names {
            if answer == CloudResponse::Released {
                leader.machine_released(&name, self.context.now);
            } else if let Some(machine) = leader.machines.get_mut(&name) {
                machine.release_requested_at = None;
                leader.provisioning.to_release.insert(name);
            }
        }
    }

    fn on_list_answer(&mut self, answer: CloudResponse) {
        let Some(leader) = self.leader.as_mut() else { return };
        let now = self.context.now;
        leader.provisioning.list_in_flight = false;
        let CloudResponse::List(page) = answer else {
            leader.provisioning.list_cursor = None;
            leader.provisioning.next_list_at = now + self.context.jitter(LIST_RETRY);
            return;
        };
        let last = page.machines.last().map(|m| m.name.clone());
        for listed in page.machines {
            leader.on_listed_machine(listed, now);
        }
        leader.provisioning.list_cursor = if page.more { last } else { None };
        if !page.more {
            leader.provisioning.has_listed = true;
            let pause_s = self.cluster.settings.params.cloud.list_lag_s.max(MIN_LIST_INTERVAL_S);
            leader.provisioning.next_list_at = now + Micros::from_secs(pause_s);
        }
    }
}
