//! State shared by all parts of a running experiment: addresses, traffic counters, the state
//! service, the fleet and the controller processes.

use crate::controllers::Controllers;
use crate::errors::EmulatorError;
use crate::experiment::Experiment;
use crate::faults::Faults;
use crate::fleet::Fleet;
use async_executor::Executor;
use event_listener::Event;
use glenhaven_fakes::http::Traffic;
use glenhaven_fakes::store::Store;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Ports of the services; each service has its own address.
const PUBLIC_PORT: u16 = 8080;
const PEER_PORT: u16 = 8081;
const STATE_PORT: u16 = 2379;
const CLOUD_PORT: u16 = 8443;
const MACHINE_PORT: u16 = 9000;
/// Third byte of the addresses of the controllers, the state service and the cloud.
const CONTROLLER_SUBNET: u8 = 0;
const STATE_SUBNET: u8 = 1;
const CLOUD_SUBNET: u8 = 2;
/// Third byte of the forwarders of the first controller; each further controller has the next one.
const FIRST_FORWARDER_SUBNET: usize = 3;
/// Third byte of the first machines' addresses.
const FIRST_MACHINE_SUBNET: u64 = 16;
/// Machines with the same third byte.
const MACHINES_PER_SUBNET: u64 = 250;

/// The loopback addresses of an experiment. The state service and the cloud have one address for
/// each controller, so that traffic can be counted per controller.
#[derive(Clone, Copy)]
pub(crate) struct Addresses {
    network: u8,
}

impl Addresses {
    /// Returns the addresses 127.`network`.x.y.
    pub(crate) fn new(network: u8) -> Addresses {
        Addresses { network }
    }

    fn at(self, third: u8, fourth: usize, port: u16) -> SocketAddr {
        let fourth = u8::try_from(fourth + 1).unwrap_or(u8::MAX);
        SocketAddr::from((Ipv4Addr::new(127, self.network, third, fourth), port))
    }

    /// Address at which a controller serves users and workers.
    pub(crate) fn public(self, node: usize) -> SocketAddr {
        self.at(CONTROLLER_SUBNET, node, PUBLIC_PORT)
    }

    /// Address at which a controller listens for other controllers.
    pub(crate) fn peer(self, node: usize) -> SocketAddr {
        self.at(CONTROLLER_SUBNET, node, PEER_PORT)
    }

    /// Address of the forwarder from one controller to another.
    pub(crate) fn forwarder(self, from: usize, to: usize) -> SocketAddr {
        let third = u8::try_from(FIRST_FORWARDER_SUBNET + from).unwrap_or(u8::MAX);
        self.at(third, to, PEER_PORT)
    }

    /// Address of the state service for a controller.
    pub(crate) fn state(self, node: usize) -> SocketAddr {
        self.at(STATE_SUBNET, node, STATE_PORT)
    }

    /// Address of the cloud for a controller.
    pub(crate) fn cloud(self, node: usize) -> SocketAddr {
        self.at(CLOUD_SUBNET, node, CLOUD_PORT)
    }

    /// Address at which a machine accepts direct commands.
    pub(crate) fn machine(self, number: u64) -> SocketAddr {
        let third = u8::try_from(FIRST_MACHINE_SUBNET + number / MACHINES_PER_SUBNET).unwrap_or(u8::MAX);
        self.at(third, (number % MACHINES_PER_SUBNET) as usize, MACHINE_PORT)
    }
}

/// The counterpart in an exchange with a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Workers,
    Users,
    State,
    Cloud,
}

/// Bytes that a controller has exchanged with one counterpart.
#[derive(Default)]
struct TrafficCounter {
    received: AtomicU64,
    sent: AtomicU64,
}

/// A controller's name, zone, health and traffic.
pub(crate) struct Node {
    pub name: String,
    pub zone: String,
    /// Whether the load balancer sends users to this controller.
    pub healthy: AtomicBool,
    counters: [TrafficCounter; 4],
}

impl Node {
    fn new(name: String, zone: String) -> Node {
        Node {
            name,
            zone,
            healthy: AtomicBool::new(false),
            counters: Default::default(),
        }
    }

    /// Adds the bytes that the emulator has read from the controller and written to it.
    pub(crate) fn count(&self, side: Side, traffic: Traffic) {
        let counter = &self.counters[side as usize];
        counter.sent.fetch_add(traffic.read, Ordering::Relaxed);
        counter.received.fetch_add(traffic.written, Ordering::Relaxed);
    }

    /// Returns the bytes that the controller has received from one side and sent to it.
    pub(crate) fn bytes(&self, side: Side) -> (u64, u64) {
        let counter = &self.counters[side as usize];
        let read = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (read(&counter.received), read(&counter.sent))
    }
}

/// A running experiment.
pub(crate) struct EmulatedCluster {
    pub experiment: Experiment,
    pub addresses: Addresses,
    pub nodes: Vec<Node>,
    pub executor: Executor<'static>,
    pub controllers: Mutex<Controllers>,
    store: Mutex<Store>,
    fleet: Mutex<Fleet>,
    /// Link faults in effect.
    pub faults: Faults,
    /// Notified when the state service's data change.
    pub store_changed: Event,
    began: Instant,
    stop_reason: Mutex<Option<EmulatorError>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EmulatedCluster {
    /// Creates an experiment; no process or machine is started.
    pub(crate) fn new(experiment: Experiment, controllers: Controllers) -> EmulatedCluster {
        let services = &experiment.services;
        let mut store = Store::new(
            services.state_rps,
            services.state_write_rps,
            services.txn_ops,
            services.value_kb,
        );
        store.page_size = crate::state_service::PAGE_SIZE;
        store.checks_placements = experiment.audit_records;
        let node = |n: usize| Node::new(node_name(n), experiment.zone_of(n).to_string());
        EmulatedCluster {
            addresses: Addresses::new(experiment.network),
            nodes: (0..experiment.controllers.count).map(node).collect(),
            executor: Executor::new(),
            controllers: Mutex::new(controllers),
            store: Mutex::new(store),
            fleet: Mutex::new(Fleet::new(&experiment)),
            faults: Faults::new(experiment.seed),
            store_changed: Event::new(),
            began: Instant::now(),
            stop_reason: Mutex::new(None),
            experiment,
        }
    }

    /// Returns the time since the beginning of the experiment, in microseconds.
    pub(crate) fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    /// Locks the state service.
    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    /// Locks the machines, jobs and rules.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks the controller processes.
    pub(crate) fn processes(&self) -> MutexGuard<'_, Controllers> {
        lock(&self.controllers)
    }

    /// Returns the number of the leader recorded in the state service.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leader = self.store().leader()?;
        self.nodes.iter().position(|node| node.name == leader)
    }

    /// Records an event in the history.
    pub(crate) fn note(&self, event: impl FnOnce() -> String) {
        let now = self.now();
        self.fleet().history.note(now, event);
    }

    /// Requests the end of the experiment. Only the first reason is kept.
    pub(crate) fn stop(&self, why: EmulatorError) {
        lock(&self.stop_reason).get_or_insert(why);
    }

    /// Takes the reason of a requested end.
    pub(crate) fn take_stop(&self) -> Option<EmulatorError> {
        lock(&self.stop_reason).take()
    }
}

/// Returns a controller's name.
pub(crate) fn node_name(node: usize) -> String {
    format!("node-{node}")
}
