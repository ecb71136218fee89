//! The simulated cloud: machines that are rented, boot and are released.

use super::agents::Worker;
use super::{ScheduledEvent, World, SEC};
use glenhaven::coordination::{CloudRequest, CloudResponse, Event};
use glenhaven::protocol::cloud::ProvisionRequest;
pub(crate) use glenhaven_fakes::cloud::{Cloud, Rental};

impl World {
    /// Creates a machine and schedules the end of its boot, unless the boot is to fail.
    fn create(&mut self, machine_type: &str, zone: &str, spot: bool) -> String {
        let (number, name) = self.cloud.create(self.now, machine_type, zone, spot);
        let t = self.cloud.machine_type(machine_type).cloned();
        let factor = self.active_faults.boot_time_factors.values().copied().reduce(f64::max);
        let dead = self.cloud.next_boot_fails() || factor == Some(0.0);
        if let (Some(t), false) = (t, dead) {
            let boot = (t.boot_s * (0.6 + 0.9 * self.rng.f64()) * factor.unwrap_or(1.0) * SEC as f64) as u64;
            let addr = format!("10.1.{}.{}:9000", number / 250, number % 250 + 1);
            let mut worker = Worker::new(&name, &addr, &t, zone, spot);
            worker.faulty = self.active_faults.next_rental_is_faulty();
            self.workers.insert(name.clone(), worker);
            self.after(boot, ScheduledEvent::Boot(name.clone()));
        }
        name
    }

    /// Creates a machine without a request, like a rental request that is executed late.
    pub(crate) fn add_unknown_machine(&mut self) {
        let Some(t) = self.cloud.catalogue().types.into_iter().next() else {
            return;
        };
        let zone = t.zones[0].clone();
        self.create(&t.name, &zone, false);
    }

    pub(crate) fn cloud_request(&mut self, n: usize, life: u64, id: u64, request: CloudRequest) {
        let now = self.now;
        let hop = self.hop() * 10;
        self.cloud.calls += 1;
        let answer = if self.active_faults.cloud_out.is_empty() {
            match request {
                CloudRequest::Catalogue => CloudResponse::Catalogue(self.cloud.catalogue()),
                CloudRequest::Provision(rent) => self.rent(rent),
                CloudRequest::Release(hosts) => {
                    for name in hosts.machines {
                        self.remove_machine(&name);
                    }
                    CloudResponse::Released
                }
                CloudRequest::List { after } => CloudResponse::List(self.cloud.list(now, &after, &self.workers)),
            }
        } else {
            CloudResponse::Refused
        };
        if self.passes(&super::links::End::Cloud, &super::links::End::Node(n)) {
            self.after(hop, ScheduledEvent::Event(n, life, Event::Cloud { id, answer }));
        }
    }

    fn rent(&mut self, rent: ProvisionRequest) -> CloudResponse {
        self.unserved_jobs.machines_requested(&rent, self.now);
        let count = match self.cloud.rent(&rent) {
            Rental::Answered(answer) => return answer,
            Rental::Machines(count) => count,
        };
        let names: Vec<String> = (0..count)
            .map(|_| self.create(&rent.machine_type, &rent.zone, rent.spot))
            .collect();
        self.cloud.fulfil_rental(rent, names)
    }

    /// Removes a machine with all its tasks.
    pub(crate) fn remove_machine(&mut self, name: &str) {
        self.cloud.terminate(self.now, name);
        if let Some(w) = self.workers.get_mut(name) {
            w.power_off();
        }
    }
}
