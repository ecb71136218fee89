//! Amounts of CPUs, GPUs and memory.
//!
//! Plain numbers that are added to and taken from one by one, in the order in which tasks come and
//! go, so that two controllers that see the same events arrive at the same sums.

use crate::protocol::users::JobSpec;

/// Sums of amounts differ by less than this from what they should be.
pub const ROUNDING_TOLERANCE: f64 = 1e-6;

/// An amount of each resource that a machine has or a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// What one task of a job needs.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory,
        }
    }

    /// Whether one task of the job fits into this amount.
    pub fn fits(&self, spec: &JobSpec) -> bool {
        self.cpus + ROUNDING_TOLERANCE >= spec.cpus
            && self.gpus + ROUNDING_TOLERANCE >= spec.gpus
            && self.memory_gb + ROUNDING_TOLERANCE >= spec.memory
    }
}

impl std::ops::AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
}

impl std::ops::SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
}
