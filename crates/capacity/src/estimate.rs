//! Estimates for the capacity table: fitted line, value at the target's size, and headroom.

use crate::fit::{FitError, Line};
use crate::records::{Point, Target};
use std::collections::BTreeSet;

/// The estimate of a target's quantity.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// The target that is estimated.
    pub target: Target,
    /// The fitted line, or the reason why there is none.
    pub line: Result<Line, FitError>,
    /// The journal entries of the runs that gave the points.
    pub journal: BTreeSet<String>,
}

impl Estimate {
    /// Fits a line to those points that have the target's role, quantity and varied parameter.
    pub fn for_target(target: &Target, points: &[Point]) -> Estimate {
        let is_measured =
            |point: &&Point| point.role == target.role && point.quantity == target.quantity && point.by == target.by;
        let measured: Vec<&Point> = points.iter().filter(is_measured).collect();
        let pairs: Vec<(f64, f64)> = measured.iter().map(|p| (p.size, p.value)).collect();
        Estimate {
            target: target.clone(),
            line: Line::through(&pairs),
            journal: measured.iter().map(|p| p.journal.clone()).collect(),
        }
    }

    /// Returns the line's value at the target's size; `None` without a line.
    pub fn value(&self) -> Option<f64> {
        self.line.as_ref().ok().map(|line| line.value_at(self.target.size))
    }

    /// Returns the standard error of a single further measurement at the target's size; `None`
    /// without a line.
    pub fn error(&self) -> Option<f64> {
        self.line.as_ref().ok().map(|line| line.error_at(self.target.size))
    }

    /// Returns the distance from the value up to the limit as a share of the limit, negative if the
    /// value is above the limit; `None` without a line or a positive limit.
    pub fn headroom(&self) -> Option<f64> {
        let limit = self.target.limit.filter(|limit| *limit > 0.0)?;
        Some(1.0 - self.value()? / limit)
    }
}
