//! Line fitting by ordinary least squares.

use thiserror::Error;

/// Minimum number of different sizes for a line; three would leave a single degree of freedom.
pub const MIN_SIZES: usize = 4;

/// The reason why no line was fitted.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FitError {
    /// Fewer different sizes than [`MIN_SIZES`].
    #[error("measured at {0} different sizes; {MIN_SIZES} are needed")]
    TooFewSizes(usize),
    /// A size or value is infinite or not a number.
    #[error("a point is not a finite number")]
    NotFinite,
}

/// A straight line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Change of the value per unit of size.
    pub slope: f64,
    /// The value at size 0.
    pub intercept: f64,
    /// Standard error of the regression: the square root of the sum of squared residuals divided
    /// by the degrees of freedom, in the unit of the values.
    pub standard_error: f64,
    /// The largest distance of a point from the line, in the unit of the values.
    pub largest_residual: f64,
    /// Share of the values' variance that the line explains; 1 if they don't vary.
    pub r_squared: f64,
    /// Number of points.
    pub points: usize,
    mean_size: f64,
    size_spread: f64,
}

impl Line {
    /// Fits the line with the least sum of squared residuals to points of (size, value).
    ///
    /// # Errors
    ///
    /// Returns [`FitError`] if a number is not finite or there are fewer than [`MIN_SIZES`]
    /// different sizes.
    pub fn through(points: &[(f64, f64)]) -> Result<Line, FitError> {
        if points
            .iter()
            .any(|(size, value)| !size.is_finite() || !value.is_finite())
        {
            return Err(FitError::NotFinite);
        }
        let sizes = count_distinct_sizes(points);
        if sizes < MIN_SIZES {
            return Err(FitError::TooFewSizes(sizes));
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let size_spread: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let covariance: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum();
        let slope = covariance / size_spread;
        let intercept = mean_value - slope * mean_size;
        let residuals: Vec<f64> = points
            .iter()
            .map(|(size, value)| value - (intercept + slope * size))
            .collect();
        let squared_residuals: f64 = residuals.iter().map(|r| r * r).sum();
        let value_spread: f64 = points.iter().map(|(_, value)| (value - mean_value).powi(2)).sum();
        let r_squared = if value_spread > 0.0 {
            1.0 - squared_residuals / value_spread
        } else {
            1.0
        };
        Ok(Line {
            slope,
            intercept,
            standard_error: (squared_residuals / (count - 2.0)).sqrt(),
            largest_residual: residuals.iter().fold(0.0, |most, r| most.max(r.abs())),
            r_squared,
            points: points.len(),
            mean_size,
            size_spread,
        })
    }

    /// Returns the line's value at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Returns the standard error of a single further measurement at a size. The error grows with
    /// the distance from the mean of the measured sizes.
    pub fn error_at(&self, size: f64) -> f64 {
        let leverage = 1.0 / self.points as f64 + (size - self.mean_size).powi(2) / self.size_spread;
        self.standard_error * (1.0 + leverage).sqrt()
    }
}

/// Counts the different sizes.
fn count_distinct_sizes(points: &[(f64, f64)]) -> usize {
    let mut sizes: Vec<f64> = points.iter().map(|(size, _)| *size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes.len()
}
