//! Calls to the cloud, paced, and what their answers mean.

use super::super::{CloudRequest, CloudResponse, ClusterConfig, Context, Controller, Effect};
use super::MachineId;
use crate::time::Micros;
use crate::transport::rate_limit::Bucket;
use std::collections::BTreeMap;

const TIMEOUT: Micros = Micros::from_millis(3000);

pub(super) enum CloudContinuation {
    Catalogue,
    ProvisionRequest(u64, String),
    Release(u64, Vec<MachineId>),
    List(u64),
}

/// Calls to the cloud, paced.
pub struct CloudCallTracker {
    bucket: Option<Bucket>,
    pending: BTreeMap<u64, CloudContinuation>,
    next_catalogue: Micros,
    asking: bool,
}

impl CloudCallTracker {
    pub fn new(now: Micros) -> CloudCallTracker {
        CloudCallTracker {
            bucket: None,
            pending: BTreeMap::new(),
            next_catalogue: now,
            asking: false,
        }
    }

    pub(super) fn call(
        &mut self,
        context: &mut Context,
        cluster: &ClusterConfig,
        continuation: CloudContinuation,
        request: CloudRequest,
        reserve: f64,
    ) -> bool {
        let rate = cluster.settings.params.cloud.rps * 0.85;
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
    /// The catalogue, on every node: it decides what can be accepted.
    pub(in crate::coordination) fn run_cloud_calls(&mut self) {
        let now = self.context.now;
        if now >= self.cloud_calls.next_catalogue && !self.cloud_calls.asking {
            let asked = self.cloud_calls.call(
                &mut self.context,
                &self.cluster,
                CloudContinuation::Catalogue,
                CloudRequest::Catalogue,
                0.0,
            );
            self.cloud_calls.asking = asked;
        }
    }

    pub(in crate::coordination) fn on_cloud(&mut self, id: u64, answer: CloudResponse) {
        let now = self.context.now;
        let Some(continuation) = self.cloud_calls.pending.remove(&id) else {
            return;
        };
        let incarnation = self.leader.as_ref().map(|l| l.incarnation);
        match continuation {
            CloudContinuation::Catalogue => {
                self.cloud_calls.asking = false;
                match answer {
                    CloudResponse::Catalogue(catalogue) if !catalogue.types.is_empty() => {
                        self.cluster.catalogue = catalogue.types.into_iter().map(|t| (t.name.clone(), t)).collect();
                        self.cloud_calls.next_catalogue = now + Micros::from_secs(30.0);
                    }
                    _ => {
                        let pause = if self.cluster.catalogue.is_empty() { 400 } else { 3000 };
                        self.cloud_calls.next_catalogue = now + self.context.jitter(Micros::from_millis(pause));
                    }
                }
            }
            CloudContinuation::ProvisionRequest(of, claim) if Some(of) == incarnation => {
                let pause = self.context.jitter(Micros::from_millis(1000));
                if let Some(leader) = self.leader.as_mut() {
                    leader.rented(&claim, answer, now, pause);
                }
            }
            CloudContinuation::Release(of, names) if Some(of) == incarnation => {
                let Some(leader) = self.leader.as_mut() else { return };
                leader.provisioning.releasing = leader.provisioning.releasing.saturating_sub(1);
                for name in names {
                    if answer == CloudResponse::Released {
                        leader.machine_released(&name, now);
                    } else if let Some(m) = leader.machines.get_mut(&name) {
                        m.release_requested_at = None;
                        leader.provisioning.to_release.insert(name);
                    }
                }
            }
            CloudContinuation::List(of) if Some(of) == incarnation => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.provisioning.list_flying = false;
                    match answer {
                        CloudResponse::List(page) => {
                            let last = page.machines.last().map(|m| m.name.clone());
                            for listed in page.machines {
                                leader.listed(listed, now);
                            }
                            leader.provisioning.listing = if page.more { last } else { None };
                            if !page.more {
                                leader.provisioning.listed = true;
                                let pause = self.cluster.settings.params.cloud.list_lag_s.max(2.0);
                                leader.provisioning.next_list = now + Micros::from_secs(pause);
                            }
                        }
                        _ => {
                            leader.provisioning.listing = None;
                            leader.provisioning.next_list = now + self.context.jitter(Micros::from_secs(2.0));
                        }
                    }
                }
            }
            // Asked by an earlier leadership of this node.
            _ => {}
        }
    }
}
