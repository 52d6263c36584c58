//! Time to full service: one definition, for the model and for whoever counts service by the second.

/// A second is in full service that serves this part of what was served before ...
const FULL: f64 = 0.95;
/// ... and so many such seconds in a row are needed.
const FOR_S: usize = 3;
/// What was before is taken from so many seconds.
const BEFORE_S: usize = 5;

/// Seconds of a day by what was asked and served in each, and how many were refused.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Worth served over worth wanted.
    pub served: f64,
    /// Refusals.
    pub refused: f64,
}

/// How many seconds after the second `at`, in which something broke, service is full again: what is served is back at
/// 95% of what was served before, for 3 s, with no more refused in any of them than in the worst second before. `None`
/// if it never is, or if nothing was before.
#[must_use]
pub fn back_after(seconds: &[Second], at: usize) -> Option<usize> {
    let before = seconds.get(at.checked_sub(BEFORE_S)?..at)?;
    let served = before.iter().map(|s| s.served).sum::<f64>() / BEFORE_S as f64;
    let refused = before.iter().map(|s| s.refused).fold(0.0, f64::max);
    let full = |s: &Second| s.served >= FULL * served && s.refused <= refused;
    // It may break some seconds later than it is said to: what is full at once must stay so.
    let broken = seconds.get(at..)?.iter().position(|s| !full(s));
    let from = broken.map_or(0, |broken| broken + at);
    if broken.is_none() {
        return Some(0);
    }
    let rest = seconds.get(from..)?;
    rest.windows(FOR_S).position(|w| w.iter().all(full)).map(|after| from + after - at)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seconds(served: &[f64]) -> Vec<Second> {
        served.iter().map(|served| Second { served: *served, refused: 0.0 }).collect()
    }

    #[test]
    fn service_is_back_once_three_seconds_in_a_row_are_as_good_as_before() {
        let day = seconds(&[0.9, 0.9, 0.9, 0.9, 0.9, 0.2, 0.5, 0.9, 0.6, 0.87, 0.9, 0.9, 0.9]);
        assert_eq!(back_after(&day, 5), Some(4));
        let never = seconds(&[0.9, 0.9, 0.9, 0.9, 0.9, 0.2, 0.5, 0.9, 0.9, 0.6]);
        assert_eq!(back_after(&never, 5), None);
        assert_eq!(back_after(&seconds(&[0.9; 12]), 5), Some(0));
        // Too early for anything to be known of before.
        assert_eq!(back_after(&seconds(&[0.9; 12]), 3), None);
    }

    #[test]
    fn what_breaks_late_is_counted_from_the_fault_and_refusals_are_no_service() {
        let late = seconds(&[0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.3, 0.9, 0.9, 0.9]);
        assert_eq!(back_after(&late, 5), Some(3));
        let mut refused = seconds(&[0.9; 12]);
        refused[6].refused = 4.0;
        assert_eq!(back_after(&refused, 5), Some(2));
        refused[2].refused = 4.0;
        assert_eq!(back_after(&refused, 5), Some(0), "as many were refused before");
    }
}
