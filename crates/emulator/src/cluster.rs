//! What all parts of a running experiment share.

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

/// Ports, each at an address of its own.
const PUBLIC_PORT: u16 = 8080;
const PEER_PORT: u16 = 8081;
const STATE_PORT: u16 = 2379;
const CLOUD_PORT: u16 = 8443;
const MACHINE_PORT: u16 = 9000;
/// The third part of the addresses of the controllers, of the state service and of the
/// cloud, and the first one of the machines'.
const CONTROLLERS: u8 = 0;
const STATE: u8 = 1;
const CLOUD: u8 = 2;
/// Of the forwarders, this and one more for each controller that sends through them.
const FORWARDERS: usize = 3;
const MACHINES: u64 = 16;
/// Machines that share the third part of their addresses.
const MACHINES_IN_A_NET: u64 = 250;

/// The addresses of an experiment, all on loopback. The state service and the cloud have
/// an address for each controller, so that bytes are counted for each.
#[derive(Clone, Copy)]
pub(crate) struct Addresses {
    network: u8,
}

impl Addresses {
    /// The addresses 127.`network`.x.y.
    pub(crate) fn new(network: u8) -> Addresses {
        Addresses { network }
    }

    fn at(self, third: u8, fourth: usize, port: u16) -> SocketAddr {
        let fourth = u8::try_from(fourth + 1).unwrap_or(u8::MAX);
        SocketAddr::from((Ipv4Addr::new(127, self.network, third, fourth), port))
    }

    /// Where a controller serves users and workers.
    pub(crate) fn public(self, node: usize) -> SocketAddr {
        self.at(CONTROLLERS, node, PUBLIC_PORT)
    }

    /// Where a controller listens to the others.
    pub(crate) fn peer(self, node: usize) -> SocketAddr {
        self.at(CONTROLLERS, node, PEER_PORT)
    }

    /// Where a controller finds another one whose links go through the emulator.
    pub(crate) fn forwarder(self, from: usize, to: usize) -> SocketAddr {
        let third = u8::try_from(FORWARDERS + from).unwrap_or(u8::MAX);
        self.at(third, to, PEER_PORT)
    }

    /// Where a controller finds the state service.
    pub(crate) fn state(self, node: usize) -> SocketAddr {
        self.at(STATE, node, STATE_PORT)
    }

    /// Where a controller finds the cloud.
    pub(crate) fn cloud(self, node: usize) -> SocketAddr {
        self.at(CLOUD, node, CLOUD_PORT)
    }

    /// Where a machine takes direct commands.
    pub(crate) fn machine(self, number: u64) -> SocketAddr {
        let third = u8::try_from(MACHINES + number / MACHINES_IN_A_NET).unwrap_or(u8::MAX);
        self.at(third, (number % MACHINES_IN_A_NET) as usize, MACHINE_PORT)
    }
}

/// Who exchanges bytes with a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Workers,
    Users,
    State,
    Cloud,
}

/// Bytes that a controller has exchanged with one side.
#[derive(Default)]
struct Counter {
    received: AtomicU64,
    sent: AtomicU64,
}

/// A controller as the others see it.
pub(crate) struct Node {
    pub name: String,
    pub zone: String,
    /// Whether the load balancer sends users to it.
    pub healthy: AtomicBool,
    counters: [Counter; 4],
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

    /// Bytes that this program has read from a controller and written to it.
    pub(crate) fn count(&self, side: Side, traffic: Traffic) {
        let counter = &self.counters[side as usize];
        counter.sent.fetch_add(traffic.read, Ordering::Relaxed);
        counter.received.fetch_add(traffic.written, Ordering::Relaxed);
    }

    /// Bytes that the controller has received from one side and sent to it.
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
    /// Which links fail just now.
    pub faults: Faults,
    /// The state service has changed.
    pub store_changed: Event,
    began: Instant,
    stopped: Mutex<Option<EmulatorError>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EmulatedCluster {
    /// An experiment that has not begun.
    pub(crate) fn new(experiment: Experiment, controllers: Controllers) -> EmulatedCluster {
        let services = &experiment.services;
        let mut store = Store::new(
            services.state_rps,
            services.state_write_rps,
            services.txn_ops,
            services.value_kb,
        );
        store.page = crate::state_service::PAGE;
        store.audits = experiment.audit_records;
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
            stopped: Mutex::new(None),
            experiment,
        }
    }

    /// Microseconds since the beginning.
    pub(crate) fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    /// The state service.
    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    /// Machines, jobs and the rules.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// The processes under test.
    pub(crate) fn processes(&self) -> MutexGuard<'_, Controllers> {
        lock(&self.controllers)
    }

    /// The controller that leads by what the state service says.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leader = self.store().leader()?;
        self.nodes.iter().position(|node| node.name == leader)
    }

    /// Something happens that the history keeps.
    pub(crate) fn note(&self, event: impl FnOnce() -> String) {
        let now = self.now();
        self.fleet().history.note(now, event);
    }

    /// Ends the experiment before its time.
    pub(crate) fn stop(&self, why: EmulatorError) {
        lock(&self.stopped).get_or_insert(why);
    }

    /// Why it is to end, once.
    pub(crate) fn take_stop(&self) -> Option<EmulatorError> {
        lock(&self.stopped).take()
    }
}

/// A controller's name.
pub(crate) fn node_name(node: usize) -> String {
    format!("node-{node}")
}
