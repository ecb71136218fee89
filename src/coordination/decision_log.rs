//! The leader's last decisions about starts, kept so that the cause of a broken invariant can be
//! found after the fact.
//!
//! Whoever decides about a placement notes it here; the invariant monitor logs what it finds. The
//! number of decisions is bounded, and nothing is ever decided by them.

use super::state::void_proof::VoidProof;
use super::state::MachineId;
use super::JobId;
use crate::time::Micros;
use std::collections::VecDeque;

/// Decisions that are kept.
const CAPACITY: usize = 4096;
/// Decisions about one team that are logged.
const LOGGED_PER_TEAM: usize = 40;

/// What was decided about an attempt, and what allowed it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decided {
    /// It was placed.
    Start {
        /// What the team held before, in CPUs and GPUs.
        held: (f64, f64),
        /// The team's limit, in CPUs and GPUs.
        limit: (f64, f64),
    },
    /// Its start was sent.
    Sent {
        /// The fencing token that it was sent under.
        token: u64,
    },
    /// An earlier leader's record of it was found in the write-ahead log.
    Inherited,
    /// It was asked to stop.
    Stop,
    /// Its record was removed with this proof.
    Freed(VoidProof),
}

/// A decision about an attempt.
#[derive(Clone, Debug)]
pub struct Decision {
    /// When it was made.
    pub at: Micros,
    /// The team that the attempt is charged to.
    pub team: String,
    /// The attempt's job.
    pub job: JobId,
    /// The number of its task.
    pub task: u32,
    /// The number of the attempt.
    pub attempt: u64,
    /// The machine it is, or was to be, on.
    pub machine: MachineId,
    /// What was decided.
    pub decided: Decided,
}

/// The last decisions, the oldest first.
#[derive(Debug, Default)]
pub struct Decisions(VecDeque<Decision>);

impl Decisions {
    /// Adds a decision; the oldest one is dropped if there are too many.
    pub fn note(&mut self, decision: Decision) {
        if self.0.len() == CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back(decision);
    }

    /// The last decisions about a team, the oldest first.
    pub fn of_team<'a>(&'a self, team: &'a str) -> Vec<&'a Decision> {
        let of_team = self.0.iter().rev().filter(|decision| decision.team == team);
        let mut last: Vec<&Decision> = of_team.take(LOGGED_PER_TEAM).collect();
        last.reverse();
        last
    }
}
