//! A stand-in for the cloud.

use crate::worker::Worker;
use crate::SEC;
use glenhaven::coordination::CloudResponse;
use glenhaven::protocol::cloud::{Catalogue, ListPage, ListedMachine, MachineType, ProvisionRequest};
use std::collections::BTreeMap;

/// Machines in one page of the list, unless said otherwise: few, so that paging is exercised.
const SMALL_PAGE: usize = 10;
/// The address in the list of a machine that never came up.
const NO_ADDRESS: &str = "10.1.9.9:9000";

struct Rented {
    machine_type: String,
    zone: String,
    spot: bool,
    at: u64,
    visible: u64,
    terminated_at: Option<u64>,
}

/// What a rental request leads to.
pub enum Rental {
    /// The request was answered before, or can't be fulfilled.
    Answered(CloudResponse),
    /// So many machines are to be created.
    Machines(u32),
}

/// Machines and rental requests.
pub struct Cloud {
    types: Vec<MachineType>,
    claims: BTreeMap<String, (ProvisionRequest, Vec<String>)>,
    machines: BTreeMap<String, Rented>,
    /// Machines to be had of each type, zone and kind.
    pub capacity: u32,
    /// Machines in one page of the list.
    pub page: usize,
    lag: u64,
    next: u64,
    failed_boots: u32,
    /// What should never have been asked of it.
    pub problems: Vec<String>,
    /// Calls so far.
    pub calls: u64,
}

impl Cloud {
    /// A cloud with these machine types, whose list lags by `lag`; so many machines
    /// that it rents first never come up.
    pub fn new(types: Vec<MachineType>, capacity: u32, failed_boots: u32, lag: u64) -> Cloud {
        Cloud {
            types,
            claims: BTreeMap::new(),
            machines: BTreeMap::new(),
            capacity,
            page: SMALL_PAGE,
            lag,
            next: 0,
            failed_boots,
            problems: vec![],
            calls: 0,
        }
    }

    /// Machines ever rented.
    pub fn rented_in_all(&self) -> usize {
        self.machines.len()
    }

    /// Machines that are paid for.
    pub fn rented(&self) -> usize {
        self.machines.values().filter(|m| m.terminated_at.is_none()).count()
    }

    /// What can be rented.
    pub fn catalogue(&self) -> Catalogue {
        Catalogue {
            types: self.types.clone(),
        }
    }

    /// The description of a machine type.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    /// Enters a new machine: its number, and its name.
    pub fn create(&mut self, now: u64, machine_type: &str, zone: &str, spot: bool) -> (u64, String) {
        self.next += 1;
        let name = format!("n-{:06}", self.next);
        let machine = Rented {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            at: now,
            visible: now + self.lag,
            terminated_at: None,
        };
        self.machines.insert(name.clone(), machine);
        (self.next, name)
    }

    /// Whether the machine that is created now is one of those that never come up.
    pub fn next_boot_fails(&mut self) -> bool {
        let dead = self.failed_boots > 0;
        self.failed_boots = self.failed_boots.saturating_sub(1);
        dead
    }

    /// Takes in a rental request.
    pub fn rent(&mut self, rent: &ProvisionRequest) -> Rental {
        if let Some((earlier, names)) = self.claims.get(&rent.claim) {
            if earlier != rent {
                let text = format!("claim {} was used for two requests", rent.claim);
                self.problems.push(text);
            }
            return Rental::Answered(CloudResponse::Rented(names.clone()));
        }
        let kind = |m: &&Rented| {
            m.terminated_at.is_none()
                && m.machine_type == rent.machine_type
                && m.zone == rent.zone
                && m.spot == rent.spot
        };
        let used = self.machines.values().filter(kind).count() as u32;
        let count = rent.count.min(self.capacity.saturating_sub(used));
        if rent.count == 0 || rent.count > 50 {
            self.problems
                .push(format!("claim {} for {} machines", rent.claim, rent.count));
        }
        if count == 0 {
            return Rental::Answered(CloudResponse::NoCapacity);
        }
        Rental::Machines(count)
    }

    /// The machines of a rental request are created.
    pub fn rented_as(&mut self, rent: ProvisionRequest, names: Vec<String>) -> CloudResponse {
        self.claims.insert(rent.claim.clone(), (rent, names.clone()));
        CloudResponse::Rented(names)
    }

    /// A page of the machine list, after a name.
    pub fn list(&self, now: u64, after: &str, workers: &BTreeMap<String, Worker>) -> ListPage {
        let rows: Vec<ListedMachine> = self
            .machines
            .iter()
            .filter(|(name, m)| {
                name.as_str() > after && m.visible <= now && m.terminated_at.is_none_or(|g| now < g + self.lag)
            })
            .map(|(name, m)| ListedMachine {
                name: name.clone(),
                addr: workers.get(name).map_or(NO_ADDRESS.into(), |w| w.addr.clone()),
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                phase: if workers.get(name).is_some_and(|w| w.up) {
                    "running".into()
                } else {
                    "booting".into()
                },
                age_s: (now - m.at) as f64 / SEC as f64,
            })
            .collect();
        let more = rows.len() > self.page;
        ListPage {
            machines: rows.into_iter().take(self.page).collect(),
            more,
        }
    }

    /// The machine is terminated_at.
    pub fn terminate(&mut self, now: u64, name: &str) {
        if let Some(m) = self.machines.get_mut(name) {
            m.terminated_at.get_or_insert(now);
        }
    }
}
