//! Results of a run, and confidence intervals over several runs.

use crate::scenario::Metric;
use std::collections::BTreeMap;

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunResults {
    /// Value of each metric.
    pub values: BTreeMap<Metric, f64>,
    /// Descriptions of the first invariant violations.
    pub violations: Vec<String>,
    /// Value served as a ratio to the value wanted, for each second of the run.
    pub served_ratio_by_second: Vec<f64>,
}

/// Mean over several seeds with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConfidenceInterval {
    /// Mean of the values.
    pub mean: f64,
    /// Half the width of the 95% confidence interval of the mean, assuming a normal distribution.
    pub half_width: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

impl ConfidenceInterval {
    /// Returns the interval of these values; all fields are 0 if there are none.
    #[must_use]
    pub fn of(values: &[f64]) -> Self {
        let n = values.len() as f64;
        if values.is_empty() {
            return Self { mean: 0.0, half_width: 0.0, min: 0.0, max: 0.0 };
        }
        let mean = values.iter().sum::<f64>() / n;
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
        Self {
            mean,
            half_width: 1.96 * (variance / n).sqrt(),
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn interval_is_centred_on_the_mean() {
        let interval = ConfidenceInterval::of(&[1.0, 2.0, 3.0]);
        assert_eq!((interval.mean, interval.min, interval.max), (2.0, 1.0, 3.0));
        assert!((interval.half_width - 1.96 / 3f64.sqrt()).abs() < 1e-9);
        assert_eq!(ConfidenceInterval::of(&[5.0]).half_width, 0.0);
    }
}
