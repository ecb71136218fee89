//! Amounts of resources: what a task takes, or what is free on a machine.

use super::EPSILON;
use crate::protocol::users::JobSpec;

/// Amounts of resources.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Resources {
    /// CPU cores.
    pub(super) cpus: f64,
    /// GPUs.
    pub(super) gpus: f64,
    /// Memory, in the unit of job specs.
    pub(super) memory: f64,
}

impl Resources {
    /// What one task of the job takes.
    pub(super) fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory: spec.memory,
        }
    }

    /// Whether one task of the job fits into these.
    pub(super) fn fit(&self, spec: &JobSpec) -> bool {
        self.cpus + EPSILON >= spec.cpus && self.gpus + EPSILON >= spec.gpus && self.memory + EPSILON >= spec.memory
    }

    pub(super) fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }

    pub(super) fn subtract(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory -= other.memory;
    }
}
