//! A fake of the cloud provider.

use crate::worker::Worker;
use crate::SEC;
use glenhaven::coordination::CloudResponse;
use glenhaven::protocol::cloud::{Catalogue, ListPage, ListedMachine, MachineType, ProvisionRequest};
use std::collections::BTreeMap;

/// Machines in one page of the list by default. It is small so that tests exercise paging.
const DEFAULT_PAGE_SIZE: usize = 10;
/// The listed address of a machine that has no worker.
const PLACEHOLDER_ADDRESS: &str = "10.1.9.9:9000";

struct RentedMachine {
    machine_type: String,
    zone: String,
    spot: bool,
    rented_at: u64,
    visible_at: u64,
    terminated_at: Option<u64>,
}

/// What a rental request results in.
pub enum Rental {
    /// The request was fulfilled before, or there is no capacity for it.
    Answered(CloudResponse),
    /// The caller has to create this number of machines.
    Machines(u32),
}

/// The cloud's machines and fulfilled rental requests.
pub struct Cloud {
    types: Vec<MachineType>,
    claims: BTreeMap<String, (ProvisionRequest, Vec<String>)>,
    machines: BTreeMap<String, RentedMachine>,
    /// The number of machines of one type, one zone and one kind (spot or not) that can be rented
    /// at the same time.
    pub capacity: u32,
    /// The same number for spot machines, if it differs.
    pub spot_capacity: Option<u32>,
    /// Machines in one page of the list.
    pub page_size: usize,
    lag: u64,
    last_number: u64,
    failed_boots: u32,
    /// Requests that break the cloud's protocol, as text.
    pub problems: Vec<String>,
    /// Calls so far.
    pub calls: u64,
}

impl Cloud {
    /// Creates a cloud with these machine types, whose list lags by `lag`. The first `failed_boots`
    /// machines that it rents never come up.
    pub fn new(types: Vec<MachineType>, capacity: u32, failed_boots: u32, lag: u64) -> Cloud {
        Cloud {
            types,
            claims: BTreeMap::new(),
            machines: BTreeMap::new(),
            capacity,
            spot_capacity: None,
            page_size: DEFAULT_PAGE_SIZE,
            lag,
            last_number: 0,
            failed_boots,
            problems: vec![],
            calls: 0,
        }
    }

    /// Returns the number of machines ever rented.
    pub fn total_rented(&self) -> usize {
        self.machines.len()
    }

    /// Returns the number of machines that are rented and not terminated.
    pub fn rented(&self) -> usize {
        self.machines.values().filter(|m| m.terminated_at.is_none()).count()
    }

    /// Returns the catalogue of machine types.
    pub fn catalogue(&self) -> Catalogue {
        Catalogue {
            types: self.types.clone(),
        }
    }

    /// Returns the machine type with this name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    /// Adds a machine and returns its number and name.
    pub fn create(&mut self, now: u64, machine_type: &str, zone: &str, spot: bool) -> (u64, String) {
        self.last_number += 1;
        let name = format!("n-{:06}", self.last_number);
        let machine = RentedMachine {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            rented_at: now,
            visible_at: now + self.lag,
            terminated_at: None,
        };
        self.machines.insert(name.clone(), machine);
        (self.last_number, name)
    }

    /// Returns whether the machine that is being created never comes up, and counts it.
    pub fn next_boot_fails(&mut self) -> bool {
        let dead = self.failed_boots > 0;
        self.failed_boots = self.failed_boots.saturating_sub(1);
        dead
    }

    /// Handles a rental request. A repeated claim that was fulfilled gets the same answer again;
    /// its use for a different request is a problem.
    pub fn rent(&mut self, rent: &ProvisionRequest) -> Rental {
        if let Some((earlier, names)) = self.claims.get(&rent.claim) {
            if earlier != rent {
                let text = format!("claim {} was used for two requests", rent.claim);
                self.problems.push(text);
            }
            return Rental::Answered(CloudResponse::Rented(names.clone()));
        }
        let kind = |m: &&RentedMachine| {
            m.terminated_at.is_none()
                && m.machine_type == rent.machine_type
                && m.zone == rent.zone
                && m.spot == rent.spot
        };
        let used = self.machines.values().filter(kind).count() as u32;
        let spot_capacity = self.spot_capacity.filter(|_| rent.spot);
        let capacity = spot_capacity.unwrap_or(self.capacity);
        let count = rent.count.min(capacity.saturating_sub(used));
        if rent.count == 0 || rent.count > 50 {
            self.problems.push(format!(
                "claim {} asks for {} machines; 1 to 50 are allowed",
                rent.claim, rent.count
            ));
        }
        if count == 0 {
            return Rental::Answered(CloudResponse::NoCapacity);
        }
        Rental::Machines(count)
    }

    /// Records the machines that were created for a rental request and returns its answer.
    pub fn fulfil_rental(&mut self, rent: ProvisionRequest, names: Vec<String>) -> CloudResponse {
        self.claims.insert(rent.claim.clone(), (rent, names.clone()));
        CloudResponse::Rented(names)
    }

    /// Returns the page of the machine list that follows the name `after`. New machines appear, and
    /// terminated ones disappear, after the list's lag.
    pub fn list(&self, now: u64, after: &str, workers: &BTreeMap<String, Worker>) -> ListPage {
        let rows: Vec<ListedMachine> = self
            .machines
            .iter()
            .filter(|(name, m)| {
                name.as_str() > after && m.visible_at <= now && m.terminated_at.is_none_or(|g| now < g + self.lag)
            })
            .map(|(name, m)| ListedMachine {
                name: name.clone(),
                addr: workers.get(name).map_or(PLACEHOLDER_ADDRESS.into(), |w| w.addr.clone()),
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                phase: if workers.get(name).is_some_and(|w| w.up) {
                    "running".into()
                } else {
                    "booting".into()
                },
                age_s: (now - m.rented_at) as f64 / SEC as f64,
            })
            .collect();
        let more = rows.len() > self.page_size;
        ListPage {
            machines: rows.into_iter().take(self.page_size).collect(),
            more,
        }
    }

    /// Terminates a machine.
    pub fn terminate(&mut self, now: u64, name: &str) {
        if let Some(m) = self.machines.get_mut(name) {
            m.terminated_at.get_or_insert(now);
        }
    }
}
