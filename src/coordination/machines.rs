//! What a machine is before anything is known of it.

use super::book::{Machine, MachineState};
use super::workers::Outbox;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

impl Machine {
    /// A machine known by name only, until it reports or is listed.
    pub fn unknown(name: Rc<str>, now: Micros) -> Machine {
        Machine {
            name,
            addr: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            state: MachineState::Booting,
            since: now,
            rented_at: None,
            session: 0,
            serial: 0,
            fence: 0,
            last_report: now,
            via: None,
            moves: 0,
            asked_at: Micros::ZERO,
            reports: 0,
            named: false,
            kept_at: Micros::ZERO,
            taken_at: None,
            tasks: BTreeSet::new(),
            strangers: 0,
            images: VecDeque::new(),
            fetching: BTreeSet::new(),
            kind: None,
            used: [0.0; 3],
            services: 0,
            room: None,
            idle_since: None,
            to_forget: false,
            outbox: Outbox::default(),
            faults: BTreeMap::new(),
            doubted_since: None,
            doubted_until: Micros::ZERO,
            release_sent: None,
            until: Micros::ZERO,
            slow_until: Micros::ZERO,
        }
    }
}
