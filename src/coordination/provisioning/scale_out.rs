//! Rents machines where they are to be had, and returns idle ones.

use super::super::scheduling::allowed;
use super::super::state::{LeaderState, MachineState};
use super::super::{timing, ClusterConfig};
use super::demand::Supply;
use super::{Claim, ClaimState};
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;
use crate::storage::records::ClaimValue;
use crate::time::Micros;

/// Machines asked for at once, even if that is all of a need.
const BATCH: f64 = 6.0;
/// The most machines that the cloud takes in one request.
const MOST: f64 = 50.0;
/// Requests on their way at a time.
const CLAIMS: usize = 16;

impl LeaderState {
    /// Requests machines of one kind for so many cores; false if none can be
    /// asked for now.
    pub(super) fn rent(&mut self, cluster: &ClusterConfig, now: Micros, spot: bool, cores: f64) -> bool {
        self.rent_where(cluster, now, spot, cores, None, &|_| true)
    }

    /// The same in some zones only and, if given, for one job.
    pub(super) fn rent_where(
        &mut self,
        cluster: &ClusterConfig,
        now: Micros,
        spot: bool,
        cores: f64,
        only: Option<&JobSpec>,
        zone_open: &dyn Fn(&String) -> bool,
    ) -> bool {
        if self.provisioning.coming().count() >= CLAIMS {
            return true;
        }
        let specs: Vec<&JobSpec> = match only {
            Some(spec) => vec![spec],
            None => self
                .jobs
                .values()
                .filter(|j| {
                    j.cancelled_at.is_none() && !j.blocked && (j.spec.spot == spot || (!spot && !j.waiting.is_empty()))
                })
                .map(|j| &j.spec)
                .collect(),
        };
        let mut best: Option<(f64, usize, String, &MachineType)> = None;
        for t in cluster.catalogue.values() {
            let price = if spot { t.spot_price } else { t.price };
            for zone in t
                .zones
                .iter()
                .filter(|z| zone_open(z) && !self.failures.zones.is_cut(z))
            {
                let key = (t.name.clone(), zone.clone(), spot);
                if self.provisioning.blocked.get(&key).is_some_and(|until| now < *until) {
                    continue;
                }
                if !specs.is_empty()
                    && !specs.iter().any(|s| {
                        allowed(s, &t.name, zone, spot) && s.cpus <= t.cpus && s.memory <= t.memory && s.gpus <= t.gpus
                    })
                {
                    continue;
                }
                let count = (cores / t.cpus.max(1.0)).ceil().max(1.0);
                // What the request costs for the cores that are used.
                let cost = price * count / cores.max(1.0);
                let here = self
                    .machines
                    .values()
                    .filter(|m| m.zone == *zone && m.spot == spot && m.state != MachineState::Releasing)
                    .count();
                let better = match &best {
                    None => true,
                    Some((c, n, _, b)) => {
                        let alike = cost < c * 1.03;
                        cost < c * 0.97 || (alike && t.cpus < b.cpus) || (alike && t.cpus <= b.cpus && here < *n)
                    }
                };
                if better {
                    best = Some((cost, here, zone.clone(), t));
                }
            }
        }
        let Some((_, _, zone, t)) = best else { return false };
        // A large need is spread over the zones, one request after the other.
        let all = (cores / t.cpus.max(1.0)).ceil();
        let share = (all / t.zones.len().max(1) as f64).ceil().max(BATCH);
        let count = all.min(share).clamp(1.0, MOST) as u32;
        self.provisioning.next_claim += 1;
        let id = format!("r-{}-{}", self.term, self.provisioning.next_claim);
        tracing::debug!(
            claim = id,
            machine_type = t.name,
            zone,
            spot,
            count,
            cores,
            "to be rented"
        );
        let value = ClaimValue {
            machine_type: t.name.clone(),
            zone,
            spot,
            count,
        };
        self.provisioning.claims.push(Claim {
            id,
            value,
            state: ClaimState::Wanted,
            base: 0,
            again_at: now,
            tries: 0,
        });
        true
    }

    /// Returns machines that have been idle for a while and are not wanted.
    pub(super) fn return_idle(
        &mut self,
        cluster: &ClusterConfig,
        now: Micros,
        want_ordinary: f64,
        want_flexible: f64,
        mut supply: [Supply; 2],
    ) {
        let idle = Micros::from_secs(cluster.settings.operator.idle_s);
        for m in self.machines.values_mut() {
            let Some(t) = cluster.catalogue.get(&m.machine_type) else {
                continue;
            };
            if m.state != MachineState::Up || !m.tasks.is_empty() || !m.orphaned_attempts.is_empty() {
                m.idle_since = None;
                continue;
            }
            if m.interruption_at.is_some() {
                continue;
            }
            let since = *m.idle_since.get_or_insert(now);
            // Time to learn whether a job is to blame instead.
            let faulty = m
                .quarantined_since
                .is_some_and(|at| now.since(at) > timing::QUARANTINE_RELEASE)
                && now < m.quarantined_until;
            let doubted = faulty
                || now < m.slow_until
                || (m.is_asymmetrically_partitioned() && now.since(since) > timing::QUARANTINE_RELEASE);
            if doubted {
                m.state = MachineState::Releasing;
                self.provisioning.to_release.insert(m.name.clone());
                continue;
            }
            if now.since(since) < idle {
                continue;
            }
            let kind = usize::from(m.spot);
            let rest = supply[kind].cores - t.cpus;
            let total = supply[0].cores + supply[1].cores - t.cpus;
            let enough = total >= want_ordinary + want_flexible && (m.spot || rest >= want_ordinary);
            if enough {
                tracing::debug!(machine = %m.name, "idle machine returned");
                supply[kind].cores = rest;
                m.state = MachineState::Releasing;
                self.provisioning.to_release.insert(m.name.clone());
            }
        }
    }
}
