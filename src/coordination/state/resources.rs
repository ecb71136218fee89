//! Amounts of CPUs, GPUs and memory.
//!
//! Amounts are floating-point numbers, added and subtracted task by task in the order of events, so
//! that two controllers that process the same events arrive at the same sums.

use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;

/// The bound on the rounding error of sums of amounts.
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
    /// Returns the amounts that one task of a job needs.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory,
        }
    }

    /// Returns the amounts that an empty machine of this type has.
    pub fn of_machine(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory,
        }
    }

    /// Whether one task of the job fits into these amounts.
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
