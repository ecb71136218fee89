//! The plan of one soak: an experiment, and troubles with their times.

use crate::errors::EmulatorError;
use crate::experiment::{read_toml, wrong, Experiment};
use crate::faults::{LinkFault, Party, Route};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// A plan, as it is written and read (TOML).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Plan {
    /// How long everything goes on without troubles before the last questions.
    pub calm_s: f64,
    /// How users behave beside what the loads say.
    pub users: Users,
    pub experiment: Experiment,
    #[serde(rename = "troubles", default)]
    pub faults: Vec<PlannedFault>,
}

/// How users behave.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Users {
    /// This share asks all controllers, and repeats the submission, within milliseconds after
    /// an acceptance, an end or a cancellation.
    pub close_questions: f64,
    /// Of the jobs that are cancelled, this share is at about the time at which their tasks end.
    pub cancelled_at_end: f64,
}

/// A trouble with its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PlannedFault {
    pub at_s: f64,
    pub for_s: f64,
    #[serde(flatten)]
    pub fault: Fault,
}

/// What goes wrong.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(super) enum Fault {
    /// A controller is killed; it is started again at the end of the trouble.
    Kill { who: Party },
    /// Leader after leader is killed; each is started again after a while.
    KillLeaders { every_s: f64, down_s: f64 },
    /// A controller stands still.
    Pause { who: Party },
    /// A link fails in one direction, for a share of the machines.
    Link { route: Route, hosts: f64, fault: LinkFault },
    /// The state service refuses everybody.
    Outage,
    /// So many machines hang.
    Hang { count: usize },
    /// So many machines die.
    MachineDeaths { count: usize },
    /// Users cancel so many open jobs at once.
    Cancel { count: usize },
}

impl Plan {
    /// Reads and checks a plan.
    pub(super) fn load(path: &Path) -> Result<Plan, EmulatorError> {
        let plan: Plan = read_toml(path)?;
        plan.check().map_err(|message| wrong(path, message))?;
        Ok(plan)
    }

    /// Whether the numbers make sense together.
    pub(super) fn check(&self) -> Result<(), String> {
        self.experiment.check()?;
        if !(self.calm_s.is_finite() && self.calm_s >= 0.0) {
            return Err(format!("calm_s: {} is not a time", self.calm_s));
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
                return Err(format!("troubles: there is no {party:?}"));
            }
            let times = [planned.at_s, planned.for_s];
            if times.iter().any(|time| !time.is_finite() || *time < 0.0) {
                return Err(format!("troubles: {times:?} are not times"));
            }
        }
        Ok(())
    }

    /// The plan as it is written.
    pub(super) fn text(&self) -> Result<String, EmulatorError> {
        toml::to_string(self).map_err(|e| EmulatorError::Machine(e.to_string()))
    }
}
