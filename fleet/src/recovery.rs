//! Time to recovery after a fault, by one definition for the model and for tests that count service by the
//! second.

/// A second counts as recovered if it serves at least this share of what was served before the fault.
const RECOVERED_RATIO: f64 = 0.95;
/// Number of consecutive recovered seconds that count as recovery.
const RECOVERED_SECONDS: usize = 3;
/// Number of seconds before the fault that the service is compared with.
const BASELINE_SECONDS: usize = 5;

/// Service in one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceSecond {
    /// Value served, as a ratio to the value wanted.
    pub served_ratio: f64,
    /// Number of rejected requests.
    pub rejected: f64,
}

/// Returns the number of seconds from second `at`, in which a fault began, until service has recovered: for 3
/// s, the served ratio is at least 95% of what it was before the fault, and no second has more rejections
/// than the worst second before the fault. Returns `None` if service never recovers, or if less than 5 s
/// precede the fault.
#[must_use]
pub fn seconds_to_recovery(seconds: &[ServiceSecond], at: usize) -> Option<usize> {
    let before = seconds.get(at.checked_sub(BASELINE_SECONDS)?..at)?;
    let served_ratio = before.iter().map(|s| s.served_ratio).sum::<f64>() / BASELINE_SECONDS as f64;
    let rejected = before.iter().map(|s| s.rejected).fold(0.0, f64::max);
    let recovered =
        |s: &ServiceSecond| s.served_ratio >= RECOVERED_RATIO * served_ratio && s.rejected <= rejected;
    // A fault may take effect some seconds after it began, so recovery is searched for from the first
    // degraded second.
    let degraded = seconds.get(at..)?.iter().position(|s| !recovered(s));
    let from = degraded.map_or(0, |degraded| degraded + at);
    if degraded.is_none() {
        return Some(0);
    }
    let rest = seconds.get(from..)?;
    rest.windows(RECOVERED_SECONDS).position(|w| w.iter().all(recovered)).map(|after| from + after - at)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seconds(served_ratios: &[f64]) -> Vec<ServiceSecond> {
        served_ratios
            .iter()
            .map(|served_ratio| ServiceSecond { served_ratio: *served_ratio, rejected: 0.0 })
            .collect()
    }

    #[test]
    fn recovery_needs_three_consecutive_seconds_as_good_as_before() {
        let run = seconds(&[0.9, 0.9, 0.9, 0.9, 0.9, 0.2, 0.5, 0.9, 0.6, 0.87, 0.9, 0.9, 0.9]);
        assert_eq!(seconds_to_recovery(&run, 5), Some(4));
        let never = seconds(&[0.9, 0.9, 0.9, 0.9, 0.9, 0.2, 0.5, 0.9, 0.9, 0.6]);
        assert_eq!(seconds_to_recovery(&never, 5), None);
        assert_eq!(seconds_to_recovery(&seconds(&[0.9; 12]), 5), Some(0));
        // Too few seconds before the fault for a baseline.
        assert_eq!(seconds_to_recovery(&seconds(&[0.9; 12]), 3), None);
    }

    #[test]
    fn late_degradation_is_timed_from_the_fault_and_rejections_prevent_recovery() {
        let late = seconds(&[0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.3, 0.9, 0.9, 0.9]);
        assert_eq!(seconds_to_recovery(&late, 5), Some(3));
        let mut rejecting = seconds(&[0.9; 12]);
        rejecting[6].rejected = 4.0;
        assert_eq!(seconds_to_recovery(&rejecting, 5), Some(2));
        rejecting[2].rejected = 4.0;
        assert_eq!(seconds_to_recovery(&rejecting, 5), Some(0), "as many were rejected before");
    }
}
