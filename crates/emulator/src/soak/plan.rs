//! The plan of one soak: an experiment and a schedule of faults, stored as TOML.
//!
//! Field and variant names are the keys and values of plan files. In these files and in error texts
//! the faults are listed under `troubles`.

use crate::errors::EmulatorError;
use crate::experiment::{invalid_file, read_toml, Experiment};
use crate::faults::{LinkFault, Party, Route};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// A plan, as stored in a plan file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Plan {
    /// Time without faults at the end, in seconds. It includes the audit of accepted jobs.
    pub calm_s: f64,
    /// User behaviour that the loads don't describe.
    pub users: Users,
    pub experiment: Experiment,
    #[serde(rename = "troubles", default)]
    pub faults: Vec<PlannedFault>,
}

/// How users poll and cancel their jobs.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Users {
    /// Share of the users that query all controllers and repeat the submission within
    /// milliseconds after each change of the job's phase.
    pub close_questions: f64,
    /// Share of the cancelled jobs that are cancelled at about the time at which their tasks end.
    pub cancelled_at_end: f64,
    /// Share of the users that poll a job that was just accepted at a second controller and submit
    /// it again at a third, each as soon as the request before is answered.
    #[serde(default)]
    pub resubmitted_after_poll: f64,
}

/// A fault with its start and duration, in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PlannedFault {
    pub at_s: f64,
    pub for_s: f64,
    #[serde(flatten)]
    pub fault: Fault,
}

/// A kind of fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(super) enum Fault {
    /// A controller is killed, and restarted at the end of the fault.
    Kill { who: Party },
    /// Each leader is killed `every_s` after the start of its term, and restarted after `down_s`.
    KillLeaders { every_s: f64, down_s: f64 },
    /// A controller process is suspended.
    Pause { who: Party },
    /// A link fails in one direction; `hosts` is the share of the machines that are affected.
    Link { route: Route, hosts: f64, fault: LinkFault },
    /// The state service refuses all requests.
    Outage,
    /// `count` machines hang.
    Hang { count: usize },
    /// `count` machines die.
    MachineDeaths { count: usize },
    /// Users cancel `count` open jobs at once.
    Cancel { count: usize },
}

impl Plan {
    /// Reads and validates a plan file.
    pub(super) fn load(path: &Path) -> Result<Plan, EmulatorError> {
        let plan: Plan = read_toml(path)?;
        plan.validate().map_err(|message| invalid_file(path, message))?;
        Ok(plan)
    }

    /// Validates the experiment, the times, and the controllers that faults refer to.
    pub(super) fn validate(&self) -> Result<(), String> {
        self.experiment.validate()?;
        if !(self.calm_s.is_finite() && self.calm_s >= 0.0) {
            return Err(format!(
                "calm_s: {} is not a finite, non-negative number of seconds",
                self.calm_s
            ));
        }
        let nodes = self.experiment.controllers.count;
        let known = |party: &Party| !matches!(party, Party::Node(n) if *n >= nodes);
        for planned in &self.faults {
            let parties = match &planned.fault {
                Fault::Kill { who } | Fault::Pause { who } => vec![*who],
                Fault::Link { route, .. } => vec![route.from, route.to],
                _ => vec![],
            };
            if let Some(party) = parties.iter().find(|party| !known(party)) {
                return Err(format!("troubles: no such controller: {party:?}"));
            }
            let times = [planned.at_s, planned.for_s];
            if times.iter().any(|time| !time.is_finite() || *time < 0.0) {
                return Err(format!(
                    "troubles: at_s and for_s must be finite and not negative: {times:?}"
                ));
            }
        }
        Ok(())
    }

    /// Serializes the plan as TOML.
    pub(super) fn to_toml(&self) -> Result<String, EmulatorError> {
        toml::to_string(self).map_err(|e| EmulatorError::Other(e.to_string()))
    }
}
