//! The periodic decision about scale-out and scale-in, which compares the demand of jobs with the
//! supply of machines.

use super::super::state::LeaderState;
use super::super::ClusterConfig;
use super::demand::CoresByCapacityType;
use super::Provisioning;
use crate::time::Micros;

/// Half-life of the average demand of work that may use spot machines, in seconds.
const AVERAGE_HALF_LIFE_S: f64 = 20.0;
/// Spot machines are rented only if more cores than this are missing.
const MIN_MISSING_SPOT_CORES: f64 = 1.0;
/// On-demand machines are rented for work that may use spot machines only if it needs more cores
/// than this.
const MIN_ON_DEMAND_CORES: f64 = 0.5;
/// Time until cost and benefit are compared again after a rental.
const COST_BENEFIT_INTERVAL_AFTER_RENTAL: Micros = Micros::from_millis(250);
/// Time until cost and benefit are compared again if nothing was rented.
const COST_BENEFIT_INTERVAL: Micros = Micros::from_millis(1000);

impl Provisioning {
    /// Updates the decaying average of the demand of work that may use spot machines.
    fn update_average(&mut self, spot_demand: f64, now: Micros) {
        let span_s = self.averaged_at.map_or(0.0, |at| now.since(at).secs());
        self.averaged_at = Some(now);
        let decay = 0.5f64.powf(span_s / AVERAGE_HALF_LIFE_S);
        self.average_spot_demand = self.average_spot_demand * decay + spot_demand * (1.0 - decay);
    }
}

impl LeaderState {
    /// Decides which machines to rent and which idle machines to release.
    pub(super) fn decide_scaling(&mut self, cluster: &ClusterConfig, now: Micros) {
        let demand = self.demand(cluster, now);
        self.provisioning.update_average(demand.spot, now);
        // A new leader has from the log only the names of machines with tasks. Before the cloud's
        // list or heartbeats describe the machines, it would rent all of them a second time.
        let contact_timeout = Micros::from_secs(cluster.settings.params.workers.report_s * 1.5 + 2.0);
        let had_agent_contact = now.since(self.started_at) > contact_timeout;
        if !self.provisioning.has_listed && !had_agent_contact {
            return;
        }
        let target = self.target_cores(cluster, demand, now);
        let supply = self.supplied_cores(cluster, had_agent_contact, now);
        self.scale_out(cluster, now, target, supply);
        self.find_jobs_without_machine(cluster, had_agent_contact, now);
        let is_total_sufficient = supply.total() >= demand.total();
        self.rent_for_stuck_jobs(cluster, now, is_total_sufficient);
        self.release_idle(cluster, now, target, supply);
    }

    /// Returns the cores that the cluster should have: the demand, the service reserve and
    /// headroom, less the cores of work in cut-off zones that continues there and is not replaced
    /// yet.
    fn target_cores(&self, cluster: &ClusterConfig, demand: CoresByCapacityType, now: Micros) -> CoresByCapacityType {
        let headroom = 1.0 + cluster.settings.operator.headroom;
        let on_demand = if demand.on_demand > 0.0 {
            demand.on_demand + self.service_reserve()
        } else {
            0.0
        };
        let staying = self.cores_staying_in_cut_off_zones(cluster, now);
        let spot = demand.spot.max(self.provisioning.average_spot_demand * headroom);
        CoresByCapacityType {
            on_demand: (on_demand - staying.on_demand).max(0.0),
            spot: (spot - staying.spot).max(0.0),
        }
    }

    /// Rents the missing cores. For work that may use spot machines, rents spot machines or, if
    /// none are available, as many on-demand machines as are worth their cost or as the
    /// backlog needs.
    fn scale_out(
        &mut self,
        cluster: &ClusterConfig,
        now: Micros,
        target: CoresByCapacityType,
        supply: CoresByCapacityType,
    ) {
        let missing_on_demand = target.on_demand - supply.on_demand;
        if missing_on_demand > 0.0 {
            self.rent(cluster, now, false, missing_on_demand);
        }
        let spare_on_demand = (supply.on_demand - target.on_demand).max(0.0);
        let missing_spot = target.spot - spare_on_demand - supply.spot;
        if missing_spot <= MIN_MISSING_SPOT_CORES {
            return;
        }
        let is_waiting = self
            .jobs
            .values()
            .any(|j| j.may_run() && j.spec.spot && !j.waiting.is_empty());
        let has_rented = self.rent(cluster, now, true, missing_spot);
        if !has_rented && is_waiting && now >= self.provisioning.next_cost_benefit_at {
            self.rent_on_demand_if_beneficial(cluster, now, missing_on_demand.max(0.0), spare_on_demand + supply.spot);
        }
    }

    /// Rents on-demand machines for work that may use spot machines, if their benefit exceeds their
    /// cost or the backlog needs them. `reserved_cores` of the free and expected cores are for
    /// other work; `available_cores` are available to this work.
    fn rent_on_demand_if_beneficial(
        &mut self,
        cluster: &ClusterConfig,
        now: Micros,
        reserved_cores: f64,
        available_cores: f64,
    ) {
        let advice = self.on_demand_cost_benefit(cluster, reserved_cores, now);
        let shortfall = self.backlog_shortfall(cluster, available_cores, now);
        let cores = advice.cores.max(shortfall);
        let has_rented = cores > MIN_ON_DEMAND_CORES && self.rent(cluster, now, false, cores);
        if has_rented {
            self.record_commitments(advice.commitments);
        }
        let pause = if has_rented {
            COST_BENEFIT_INTERVAL_AFTER_RENTAL
        } else {
            COST_BENEFIT_INTERVAL
        };
        self.provisioning.next_cost_benefit_at = now + pause;
    }
}
