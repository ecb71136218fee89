//! The leader's latest decisions about starts, kept so that the cause of a broken invariant can be
//! determined afterwards.
//!
//! Code that decides about a placement records the decision here; the invariant monitor logs the
//! decisions that concern a violation. The number of decisions is bounded, and no decision depends
//! on this record.

use super::state::void_proof::VoidProof;
use super::state::MachineId;
use super::JobId;
use crate::time::Micros;
use std::collections::VecDeque;

/// The most decisions that are kept.
const CAPACITY: usize = 4096;
/// The most decisions about one team that are logged.
const LOGGED_PER_TEAM: usize = 40;

/// The kind of a decision about an attempt, with the facts that permitted it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decided {
    /// The attempt was placed on a machine.
    Start {
        /// The team's use before the placement, in CPUs and GPUs.
        held: (f64, f64),
        /// The team's limit, in CPUs and GPUs.
        limit: (f64, f64),
    },
    /// The start of the attempt was sent.
    Sent {
        /// The fencing token of the start.
        token: u64,
    },
    /// An earlier leader's record of the attempt was found in the write-ahead log.
    Inherited,
    /// A stop of the attempt was requested.
    Stop,
    /// The record of the attempt was removed with this proof.
    Freed(VoidProof),
}

/// A decision about an attempt.
#[derive(Clone, Debug)]
pub struct Decision {
    /// When the decision was made.
    pub at: Micros,
    /// The team that the attempt is charged to.
    pub team: String,
    /// The attempt's job.
    pub job: JobId,
    /// The number of its task.
    pub task: u32,
    /// The number of the attempt.
    pub attempt: u64,
    /// The machine on which the attempt runs or was to run.
    pub machine: MachineId,
    /// What was decided.
    pub decided: Decided,
}

/// The latest decisions, the oldest first.
#[derive(Debug, Default)]
pub struct Decisions(VecDeque<Decision>);

impl Decisions {
    /// Adds a decision; drops the oldest one if there are too many.
    pub fn record(&mut self, decision: Decision) {
        if self.0.len() == CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back(decision);
    }

    /// The decisions about a task that are kept, the oldest first.
    pub fn of_task<'a>(&'a self, job: &'a str, task: u32) -> impl Iterator<Item = &'a Decision> {
        self.0
            .iter()
            .filter(move |decision| &*decision.job == job && decision.task == task)
    }

    /// The latest decisions about a team, the oldest first.
    pub fn of_team<'a>(&'a self, team: &'a str) -> Vec<&'a Decision> {
        let of_team = self.0.iter().rev().filter(|decision| decision.team == team);
        let mut last: Vec<&Decision> = of_team.take(LOGGED_PER_TEAM).collect();
        last.reverse();
        last
    }
}
