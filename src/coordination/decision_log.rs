//! The leader's last decisions about starts, kept so that the cause of a broken invariant can be
//! told after the fact.

use super::state::void_proof::VoidProof;
use super::state::MachineId;
use super::JobId;
use crate::time::Micros;
use std::collections::VecDeque;

/// Decisions that are kept.
const KEPT: usize = 4096;
/// Decisions about one team that are told.
const TOLD: usize = 40;

/// What was decided about an attempt, and what allowed it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decided {
    /// A start: what the team held before, and its limit, in CPUs and GPUs.
    Start {
        held: (f64, f64),
        limit: (f64, f64),
    },
    /// The start left under this token: its record stands.
    Sent {
        token: u64,
    },
    /// An earlier leader's record was found in the log.
    Inherited,
    Stop,
    Freed(VoidProof),
}

/// A decision about an attempt.
#[derive(Clone, Debug)]
pub struct Decision {
    pub at: Micros,
    pub team: String,
    pub job: JobId,
    pub task: u32,
    pub attempt: u64,
    pub machine: MachineId,
    pub decided: Decided,
}

/// The last decisions, the oldest first.
#[derive(Debug, Default)]
pub struct Decisions(VecDeque<Decision>);

impl Decisions {
    /// A decision is made; the oldest one is forgotten.
    pub fn note(&mut self, decision: Decision) {
        if self.0.len() == KEPT {
            self.0.pop_front();
        }
        self.0.push_back(decision);
    }

    /// The last decisions about a team, the oldest first.
    pub fn of_team<'a>(&'a self, team: &'a str) -> Vec<&'a Decision> {
        let of_team = self.0.iter().rev().filter(|decision| decision.team == team);
        let mut last: Vec<&Decision> = of_team.take(TOLD).collect();
        last.reverse();
        last
    }
}
