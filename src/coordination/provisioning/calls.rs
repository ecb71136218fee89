//! Calls to the cloud's API: their rate limit, and the handling of their responses.
//!
//! Every controller reads the catalogue, because the machine types in it decide which jobs can be
//! accepted; only the leader rents, releases and lists machines. Calls are emitted as effects: this
//! module sends nothing itself.
//!
//! Invariant: a call is made only if the rate limit admits it, and at most one response to it is
//! handled.

use super::super::{CloudRequest, CloudResponse, ClusterConfig, Context, Controller, Effect};
use super::MachineId;
use crate::time::Micros;
use crate::transport::rate_limit::TokenBucket;
use std::collections::BTreeMap;

/// Timeout of a call.
const TIMEOUT: Micros = Micros::from_millis(3000);
/// Share of the cloud's rate limit that this controller uses.
const RATE_SHARE: f64 = 0.85;
const CATALOGUE_INTERVAL: Micros = Micros::from_millis(30_000);
/// Mean delay before the catalogue is read again after a failure, if none has been read yet.
const FIRST_CATALOGUE_RETRY: Micros = Micros::from_millis(400);
/// Mean delay before the catalogue is read again after a failure, if an older one is in use.
const CATALOGUE_RETRY: Micros = Micros::from_millis(3000);
/// Mean delay before a rental is requested again.
const RENTAL_RETRY: Micros = Micros::from_millis(1000);
/// Mean delay before the list of machines is read again after a failure.
const LIST_RETRY: Micros = Micros::from_millis(2000);
/// The shortest time between two reads of the list of machines.
const MIN_LIST_INTERVAL_S: f64 = 2.0;

/// What a call was made for, which decides how its response is handled. The leader's calls carry
/// the incarnation of its leadership.
pub(super) enum CloudContinuation {
    Catalogue,
    /// The incarnation, and the name of the claim.
    ProvisionRequest(u64, String),
    /// The incarnation, and the machines to be released.
    Release(u64, Vec<MachineId>),
    List(u64),
}

/// Calls to the cloud that are in flight, and the rate limit for new ones.
pub struct CloudCallTracker {
    bucket: Option<TokenBucket>,
    pending: BTreeMap<u64, CloudContinuation>,
    next_catalogue_at: Micros,
    catalogue_in_flight: bool,
}

impl CloudCallTracker {
    /// Creates a tracker with no calls in flight; the catalogue is due at once.
    pub fn new(now: Micros) -> CloudCallTracker {
        CloudCallTracker {
            bucket: None,
            pending: BTreeMap::new(),
            next_catalogue_at: now,
            catalogue_in_flight: false,
        }
    }

    /// Makes a call if the rate limit admits it, and returns whether the call was made. `reserve`
    /// is the share of the limit that is left for more urgent calls.
    pub(super) fn call(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        continuation: CloudContinuation,
        request: CloudRequest,
        reserve: f64,
    ) -> bool {
        let rate = cluster.settings.params.cloud.rps * RATE_SHARE;
        let bucket = self.bucket.get_or_insert_with(|| TokenBucket::new(rate, context.now));
        if !bucket.allows(1.0, reserve, context.now) {
            return false;
        }
        bucket.take(1.0, context.now);
        let id = context.next_id();
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
    /// Requests the catalogue when it is due.
    pub(in crate::coordination) fn refresh_catalogue(&mut self) {
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

    /// Handles the response to a call. Responses to calls that an earlier leadership of this
    /// controller made are dropped.
    pub(in crate::coordination) fn on_cloud_response(&mut self, id: u64, answer: CloudResponse) {
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
