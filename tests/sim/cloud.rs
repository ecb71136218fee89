//! A stand-in for the cloud.

use super::script::Script;
use super::workers::Worker;
use super::{Ev, World, SEC};
use glenhaven::coordination::{CloudAnswer, CloudRequest, Command};
use glenhaven::protocol::cloud::{Catalogue, ListPage, Listed, MachineType, Rent};
use std::collections::BTreeMap;

struct Rented {
    machine_type: String,
    zone: String,
    spot: bool,
    at: u64,
    visible: u64,
    gone: Option<u64>,
}

pub struct Cloud {
    types: Vec<MachineType>,
    claims: BTreeMap<String, (Rent, Vec<String>)>,
    machines: BTreeMap<String, Rented>,
    /// Machines to be had of each type, zone and kind.
    pub capacity: u32,
    lag: u64,
    next: u64,
    dead_boots: u32,
    pub problems: Vec<String>,
    pub calls: u64,
}

impl Cloud {
    pub fn new(script: &Script) -> Cloud {
        Cloud {
            types: script.types.clone(),
            claims: BTreeMap::new(),
            machines: BTreeMap::new(),
            capacity: script.capacity,
            lag: (script.base.params.cloud.list_lag_s * SEC as f64) as u64,
            next: 0,
            dead_boots: script.dead_boots,
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
        self.machines.values().filter(|m| m.gone.is_none()).count()
    }
}

impl World {
    fn create(&mut self, machine_type: &str, zone: &str, spot: bool) -> String {
        let c = &mut self.cloud;
        c.next += 1;
        let name = format!("n-{:06}", c.next);
        c.machines.insert(
            name.clone(),
            Rented {
                machine_type: machine_type.into(),
                zone: zone.into(),
                spot,
                at: self.now,
                visible: self.now + c.lag,
                gone: None,
            },
        );
        let t = c.types.iter().find(|t| t.name == machine_type).cloned();
        let factor = self.broken.boots.values().copied().reduce(f64::max);
        let dead = c.dead_boots > 0 || factor == Some(0.0);
        c.dead_boots = c.dead_boots.saturating_sub(1);
        if let (Some(t), false) = (t, dead) {
            let boot = (t.boot_s * (0.6 + 0.9 * self.rng.f64()) * factor.unwrap_or(1.0) * SEC as f64) as u64;
            let addr = format!("10.1.{}.{}:9000", self.cloud.next / 250, self.cloud.next % 250 + 1);
            self.workers
                .insert(name.clone(), Worker::new(&name, &addr, &t, zone, spot));
            self.after(boot, Ev::Boot(name.clone()));
        }
        name
    }

    /// A machine that nobody asked for, as after a late rental request.
    pub fn ghost_machine(&mut self) {
        let Some(t) = self.cloud.types.first().cloned() else {
            return;
        };
        let zone = t.zones[0].clone();
        self.create(&t.name, &zone, false);
    }

    pub fn cloud_request(&mut self, n: usize, life: u64, id: u64, request: CloudRequest) {
        let now = self.now;
        let hop = self.hop() * 10;
        self.cloud.calls += 1;
        let answer = if self.broken.cloud_out.is_empty() {
            match request {
                CloudRequest::Catalogue => CloudAnswer::Catalogue(Catalogue {
                    types: self.cloud.types.clone(),
                }),
                CloudRequest::Rent(rent) => self.rent(rent),
                CloudRequest::Release(hosts) => {
                    for name in hosts.machines {
                        self.machine_dies(&name);
                    }
                    CloudAnswer::Released
                }
                CloudRequest::List { after } => {
                    let lag = self.cloud.lag;
                    let rows: Vec<Listed> = self
                        .cloud
                        .machines
                        .iter()
                        .filter(|(name, m)| **name > after && m.visible <= now && m.gone.is_none_or(|g| now < g + lag))
                        .map(|(name, m)| Listed {
                            name: name.clone(),
                            addr: self
                                .workers
                                .get(name)
                                .map_or("10.1.9.9:9000".into(), |w| w.addr.clone()),
                            machine_type: m.machine_type.clone(),
                            zone: m.zone.clone(),
                            spot: m.spot,
                            phase: if self.workers.get(name).is_some_and(|w| w.up) {
                                "running".into()
                            } else {
                                "booting".into()
                            },
                            age_s: (now - m.at) as f64 / SEC as f64,
                        })
                        .collect();
                    let more = rows.len() > 10;
                    CloudAnswer::List(ListPage {
                        machines: rows.into_iter().take(10).collect(),
                        more,
                    })
                }
            }
        } else {
            CloudAnswer::Refused
        };
        if self.passes(&super::links::End::Cloud, &super::links::End::Node(n)) {
            self.after(hop, Ev::Command(n, life, Command::Cloud { id, answer }));
        }
    }

    fn rent(&mut self, rent: Rent) -> CloudAnswer {
        if let Some((earlier, names)) = self.cloud.claims.get(&rent.claim) {
            if *earlier != rent {
                let text = format!("claim {} was used for two requests", rent.claim);
                self.cloud.problems.push(text);
            }
            return CloudAnswer::Rented(names.clone());
        }
        let kind = |m: &&Rented| {
            m.gone.is_none() && m.machine_type == rent.machine_type && m.zone == rent.zone && m.spot == rent.spot
        };
        let used = self.cloud.machines.values().filter(kind).count() as u32;
        let count = rent.count.min(self.cloud.capacity.saturating_sub(used));
        if rent.count == 0 || rent.count > 50 {
            self.cloud
                .problems
                .push(format!("claim {} for {} machines", rent.claim, rent.count));
        }
        if count == 0 {
            return CloudAnswer::NoCapacity;
        }
        let names: Vec<String> = (0..count)
            .map(|_| self.create(&rent.machine_type, &rent.zone, rent.spot))
            .collect();
        self.cloud.claims.insert(rent.claim.clone(), (rent, names.clone()));
        CloudAnswer::Rented(names)
    }

    /// The machine and everything on it is gone.
    pub fn machine_dies(&mut self, name: &str) {
        let now = self.now;
        if let Some(m) = self.cloud.machines.get_mut(name) {
            m.gone.get_or_insert(now);
        }
        if let Some(w) = self.workers.get_mut(name) {
            w.up = false;
            w.dead = true;
            w.tasks.clear();
        }
    }
}
