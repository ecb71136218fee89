//! Calls to the cloud, paced, and what their answers mean.

use super::super::{CloudAnswer, CloudRequest, Core, Effect, Shared, Site};
use super::MachineId;
use crate::time::Micros;
use crate::transport::pace::Bucket;
use std::collections::BTreeMap;

const TIMEOUT: Micros = Micros::from_millis(3000);

pub(super) enum CloudWait {
    Catalogue,
    Rent(u64, String),
    Release(u64, Vec<MachineId>),
    List(u64),
}

/// Calls to the cloud, paced.
pub struct CloudDesk {
    bucket: Option<Bucket>,
    pending: BTreeMap<u64, CloudWait>,
    next_catalogue: Micros,
    asking: bool,
}

impl CloudDesk {
    pub fn new(now: Micros) -> CloudDesk {
        CloudDesk {
            bucket: None,
            pending: BTreeMap::new(),
            next_catalogue: now,
            asking: false,
        }
    }

    pub(super) fn call(
        &mut self,
        sh: &mut Shared,
        site: &Site,
        wait: CloudWait,
        request: CloudRequest,
        reserve: f64,
    ) -> bool {
        let rate = site.settings.params.cloud.rps * 0.85;
        let bucket = self.bucket.get_or_insert_with(|| Bucket::new(rate, sh.now));
        if !bucket.allows(1.0, reserve, sh.now) {
            return false;
        }
        bucket.take(1.0, sh.now);
        let id = sh.id();
        self.pending.insert(id, wait);
        sh.out.push(Effect::Cloud {
            id,
            request,
            timeout: TIMEOUT,
        });
        true
    }
}

impl Core {
    /// The catalogue, on every node: it decides what can be accepted.
    pub(in crate::coordination) fn tick_cloud(&mut self) {
        let now = self.sh.now;
        if now >= self.cloud.next_catalogue && !self.cloud.asking {
            let asked = self.cloud.call(
                &mut self.sh,
                &self.site,
                CloudWait::Catalogue,
                CloudRequest::Catalogue,
                0.0,
            );
            self.cloud.asking = asked;
        }
    }

    pub(in crate::coordination) fn on_cloud(&mut self, id: u64, answer: CloudAnswer) {
        let now = self.sh.now;
        let Some(wait) = self.cloud.pending.remove(&id) else {
            return;
        };
        let incarnation = self.leader.as_ref().map(|l| l.incarnation);
        match wait {
            CloudWait::Catalogue => {
                self.cloud.asking = false;
                match answer {
                    CloudAnswer::Catalogue(catalogue) if !catalogue.types.is_empty() => {
                        self.site.catalogue = catalogue.types.into_iter().map(|t| (t.name.clone(), t)).collect();
                        self.cloud.next_catalogue = now + Micros::from_secs(30.0);
                    }
                    _ => {
                        let pause = if self.site.catalogue.is_empty() { 400 } else { 3000 };
                        self.cloud.next_catalogue = now + self.sh.jitter(Micros::from_millis(pause));
                    }
                }
            }
            CloudWait::Rent(of, claim) if Some(of) == incarnation => {
                let pause = self.sh.jitter(Micros::from_millis(1000));
                if let Some(leader) = self.leader.as_mut() {
                    leader.rented(&claim, answer, now, pause);
                }
            }
            CloudWait::Release(of, names) if Some(of) == incarnation => {
                let Some(leader) = self.leader.as_mut() else { return };
                leader.fleet.releasing = leader.fleet.releasing.saturating_sub(1);
                for name in names {
                    if answer == CloudAnswer::Released {
                        leader.machine_gone(&name, now);
                    } else if let Some(m) = leader.machines.get_mut(&name) {
                        m.release_sent = None;
                        leader.fleet.to_release.insert(name);
                    }
                }
            }
            CloudWait::List(of) if Some(of) == incarnation => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.fleet.list_flying = false;
                    match answer {
                        CloudAnswer::List(page) => {
                            let last = page.machines.last().map(|m| m.name.clone());
                            for listed in page.machines {
                                leader.listed(listed, now);
                            }
                            leader.fleet.listing = if page.more { last } else { None };
                            if !page.more {
                                leader.fleet.listed = true;
                                let pause = self.site.settings.params.cloud.list_lag_s.max(2.0);
                                leader.fleet.next_list = now + Micros::from_secs(pause);
                            }
                        }
                        _ => {
                            leader.fleet.listing = None;
                            leader.fleet.next_list = now + self.sh.jitter(Micros::from_secs(2.0));
                        }
                    }
                }
            }
            // Asked by an earlier leadership of this node.
            _ => {}
        }
    }
}
