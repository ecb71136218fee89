//! A stand-in for the cloud.

use crate::http::{serve, Request};
use crate::value::{cbor, decode, encode, flag, integer, list, text, Value};
use crate::worker::{MachineType, Shared, Worker};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

struct Rented {
    worker: Arc<Worker>,
    gone_at: Option<Instant>,
}

struct Inner {
    machines: BTreeMap<String, Rented>,
    claims: BTreeMap<String, Vec<String>>,
    last_number: u64,
    /// This many of the first machines are faulty.
    faulty_first: u64,
    /// How many machines of each kind (type, zone, whether spot) may be rented at a time; all others
    /// are not limited.
    capacity: BTreeMap<(String, String, bool), usize>,
}

/// The cloud.
#[derive(Clone)]
pub struct Cloud {
    inner: Arc<Mutex<Inner>>,
    shared: Arc<Shared>,
    types: Arc<Vec<MachineType>>,
    yards: Arc<Vec<String>>,
    list_lag: Duration,
}

impl Cloud {
    /// Creates a cloud without machines.
    pub fn new(types: Vec<MachineType>, yards: &[&str], list_lag_s: f64, shared: Arc<Shared>) -> Cloud {
        let inner = Inner {
            machines: BTreeMap::new(),
            claims: BTreeMap::new(),
            last_number: 0,
            faulty_first: 0,
            capacity: BTreeMap::new(),
        };
        Cloud {
            inner: Arc::new(Mutex::new(inner)),
            shared,
            types: Arc::new(types),
            yards: Arc::new(yards.iter().map(|yard| yard.to_string()).collect()),
            list_lag: Duration::from_secs_f64(list_lag_s),
        }
    }

    /// Starts to serve and returns the address.
    pub fn start(&self) -> SocketAddr {
        let cloud = self.clone();
        serve(move |request| Some(cloud.handle(&request)))
    }

    /// Limits how many machines of a kind may be rented at a time.
    pub fn limit(&self, label: &str, yard: &str, reclaimable: bool, count: usize) {
        let kind = (label.to_string(), yard.to_string(), reclaimable);
        self.inner.lock().unwrap().capacity.insert(kind, count);
    }

    /// Makes this many of the first machines faulty: every task fails there.
    pub fn make_faulty(&self, first: u64) {
        self.inner.lock().unwrap().faulty_first = first;
    }

    /// Returns the machines that are rented and not gone.
    pub fn machines(&self) -> Vec<Arc<Worker>> {
        let inner = self.inner.lock().unwrap();
        let there = inner.machines.values().filter(|rented| rented.gone_at.is_none());
        there.map(|rented| rented.worker.clone()).collect()
    }

    /// Takes a machine back at once.
    pub fn take_back(&self, name: &str) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(rented) = inner.machines.get_mut(name) {
            rented.gone_at.get_or_insert(Instant::now());
            rented.worker.remove();
        }
    }

    fn handle(&self, request: &Request) -> (u16, Vec<u8>) {
        let body = decode(&request.body).unwrap_or(Value::Null);
        let (status, answer) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => (200, self.catalogue()),
            ("POST", "/machines") => self.rent(&body),
            ("POST", "/machines/release") => {
                for name in list(&body, "hosts") {
                    let name = name.as_text().unwrap_or("").to_string();
                    self.shared.record.note(format!("cloud: {name} released"));
                    self.take_back(&name);
                }
                (200, cbor!({}).unwrap())
            }
            ("GET", "/machines") => (200, self.list(&request.parameter("after"))),
            _ => (400, cbor!({"error" => "malformed"}).unwrap()),
        };
        (status, encode(&answer))
    }

    fn catalogue(&self) -> Value {
        let flavor = |t: &MachineType| {
            cbor!({"label" => t.label, "cores" => t.cores, "cards" => 0.0, "mem_gb" => t.mem_gb, "cache_gb" => 80.0,
                "fetch_gb_per_s" => t.fetch_gb_per_s, "price" => t.prices.0, "market_price" => t.prices.1,
                "boot_s" => t.boot_s, "yards" => *self.yards})
            .unwrap()
        };
        let flavors: Vec<Value> = self.types.iter().map(flavor).collect();
        cbor!({"flavors" => flavors}).unwrap()
    }

    fn rent(&self, body: &Value) -> (u16, Value) {
        let (claim, label, yard) = (text(body, "claim"), text(body, "flavor"), text(body, "yard"));
        let (reclaimable, count) = (flag(body, "reclaimable"), integer(body, "count") as usize);
        let machine_type = self.types.iter().find(|t| t.label == label).cloned();
        let mut inner = self.inner.lock().unwrap();
        if let Some(names) = inner.claims.get(&claim) {
            return (200, cbor!({"hosts" => names}).unwrap());
        }
        let Some(machine_type) = machine_type.filter(|_| (1..=50).contains(&count)) else {
            return (400, cbor!({"error" => "malformed"}).unwrap());
        };
        let same = |rented: &&Rented| {
            let worker = &rented.worker;
            let kind = (worker.machine_type.label, worker.yard.as_str(), worker.reclaimable);
            rented.gone_at.is_none() && kind == (machine_type.label, yard.as_str(), reclaimable)
        };
        let there = inner.machines.values().filter(same).count();
        let limit = inner.capacity.get(&(label.clone(), yard.clone(), reclaimable));
        let count = count.min(limit.copied().unwrap_or(1000).saturating_sub(there));
        if count == 0 {
            return (503, cbor!({"error" => "no capacity"}).unwrap());
        }
        let mut names = vec![];
        for _ in 0..count {
            inner.last_number += 1;
            let name = format!("n-{:06}", inner.last_number);
            let kind = (machine_type.clone(), yard.clone(), reclaimable);
            if inner.last_number <= inner.faulty_first {
                self.shared.faulty.lock().unwrap().insert(name.clone());
            }
            let worker = Worker::new(name.clone(), kind, self.shared.clone());
            let boot = Duration::from_secs_f64(machine_type.boot_s);
            let booting = worker.clone();
            std::thread::spawn(move || {
                std::thread::sleep(boot);
                booting.run();
            });
            inner.machines.insert(name.clone(), Rented { worker, gone_at: None });
            names.push(name);
        }
        let spot = if reclaimable { "spot" } else { "ordinary" };
        self.shared
            .record
            .note(format!("cloud: {claim} rents {names:?} ({label}, {yard}, {spot})"));
        inner.claims.insert(claim, names.clone());
        (200, cbor!({"hosts" => names}).unwrap())
    }

    fn list(&self, after: &str) -> Value {
        let inner = self.inner.lock().unwrap();
        let is_listed = |rented: &Rented| {
            let is_old_enough = rented.worker.rented_at.elapsed() > self.list_lag;
            is_old_enough && rented.gone_at.is_none_or(|at| at.elapsed() < self.list_lag)
        };
        let rows = inner
            .machines
            .iter()
            .filter(|(name, rented)| name.as_str() > after && is_listed(rented));
        let row = |(name, rented): (&String, &Rented)| {
            let worker = &rented.worker;
            let address = worker
                .address
                .lock()
                .unwrap()
                .map_or("127.0.0.1:9".to_string(), |a| a.to_string());
            let phase = if worker.is_up() { "running" } else { "booting" };
            cbor!({"ref" => name, "addr" => address, "flavor" => worker.machine_type.label, "yard" => worker.yard,
                "reclaimable" => worker.reclaimable, "phase" => phase,
                "held_s" => worker.rented_at.elapsed().as_secs_f64()})
            .unwrap()
        };
        let rows: Vec<Value> = rows.take(500).map(row).collect();
        cbor!({"hosts" => rows, "truncated" => false}).unwrap()
    }
}
