//! From points and a target to a row: line, value at the target's size, headroom.

use crate::fit::{FitError, Line};
use crate::records::{Point, Target};
use std::collections::BTreeSet;

/// What a target's quantity comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// The row it is for.
    pub target: Target,
    /// The line, or why there is none.
    pub line: Result<Line, FitError>,
    /// The journal's entries of the runs behind it.
    pub journal: BTreeSet<String>,
}

impl Estimate {
    /// Draws a target's line through the points of its quantity.
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

    /// The value at the target's size.
    pub fn value(&self) -> Option<f64> {
        self.line.as_ref().ok().map(|line| line.value_at(self.target.size))
    }

    /// Standard error of that value, as of a single further measurement.
    pub fn error(&self) -> Option<f64> {
        self.line.as_ref().ok().map(|line| line.error_at(self.target.size))
    }

    /// What is left below the limit, as a share of it; negative above it.
    pub fn headroom(&self) -> Option<f64> {
        let limit = self.target.limit.filter(|limit| *limit > 0.0)?;
        Some(1.0 - self.value()? / limit)
    }
}
