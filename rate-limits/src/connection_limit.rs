//! Limit on the number of own connections while the whole fleet is short of capacity.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Ratio of own connections on overloaded servers above which the whole fleet, not a single server, is short of
/// capacity.
const SHORTAGE_RATIO: f64 = 0.25;
/// Standard deviations by which the ratio must be exceeded, as connections fall on overloaded servers at random.
const SHORTAGE_SIGMAS: f64 = 2.0;
/// During a shortage, the limit falls per second by this fraction of the ratio on overloaded servers.
const SHED_RATIO_PER_S: f64 = 0.2;
/// After a shortage, the limit grows per second by at least this fraction of the recent peak: growth by a factor
/// would never recover from zero.
const GROWTH_RATIO_PER_S: f64 = 0.15;
/// Time constant in ms of the exponential growth of the limit after a shortage.
const GROWTH_TAU_MS: Millis = 15_000.0;
/// Time in seconds over which the recent peak decays.
const PEAK_DECAY_S: f64 = 60.0;
/// Minimum time in ms between two reviews.
const REVIEW_INTERVAL_MS: Millis = 1_000.0;
/// A limit that is never reached; finite, as JSON has no infinity.
const UNLIMITED: f64 = 1e12;

/// Maximum number of connections of a balancer, adapted to the share of them on overloaded servers. Call
/// [`ConnectionLimit::review`] regularly, and check [`ConnectionLimit::is_reached`] before another connection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConnectionLimit {
    limit: f64,
    peak: f64,
    #[serde(rename = "at")]
    reviewed_at: Millis,
}

impl ConnectionLimit {
    /// Creates a limit that is not in force.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { limit: UNLIMITED, peak: 0.0, reviewed_at: now }
    }

    /// Returns whether [`Self::review`] would have an effect now.
    #[must_use]
    pub fn review_due(&self, now: Millis) -> bool {
        now - self.reviewed_at >= REVIEW_INTERVAL_MS
    }

    /// Adapts the limit to the number of own connections, in total and on overloaded servers. Has no effect within
    /// a second of the previous review.
    pub fn review(&mut self, now: Millis, open: f64, on_overloaded: f64) {
        if !self.review_due(now) {
            return;
        }
        let seconds = (now - self.reviewed_at) / 1_000.0;
        self.reviewed_at = now;
        self.peak = open.max(self.peak * (1.0 - seconds / PEAK_DECAY_S).max(0.0));
        // Allows for chance: six of a dozen connections do not indicate a shortage.
        let chance_margin = SHORTAGE_SIGMAS * (open * SHORTAGE_RATIO * (1.0 - SHORTAGE_RATIO)).sqrt();
        if on_overloaded > open * SHORTAGE_RATIO + chance_margin {
            self.limit =
                self.limit.min(open) * (1.0 - SHED_RATIO_PER_S * on_overloaded / open * seconds.min(2.0));
        } else {
            let growth_per_s =
                (self.limit * 1_000.0 / GROWTH_TAU_MS).max(GROWTH_RATIO_PER_S * self.peak.max(1.0));
            self.limit = (self.limit + seconds * growth_per_s).min(UNLIMITED);
        }
    }

    /// Returns whether another connection would exceed the limit. A fractional limit holds on average: `uniform` is
    /// a random number in 0..1.
    #[must_use]
    pub fn is_reached(&self, open: usize, uniform: f64) -> bool {
        open as f64 + 1.0 > self.limit + uniform
    }

    /// Returns the same limit for a clock that is `offset_ms` ahead.
    #[must_use]
    pub fn shifted(self, offset_ms: Millis) -> Self {
        Self { reviewed_at: self.reviewed_at + offset_ms, ..self }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_limit_falls_while_a_quarter_is_on_overloaded_servers_and_recovers() {
        let mut limit = ConnectionLimit::new(0.0);
        assert!(!limit.is_reached(1_000_000, 0.0));
        limit.review(1_000.0, 100.0, 20.0);
        assert!(!limit.is_reached(100, 0.0));
        limit.review(2_000.0, 100.0, 50.0);
        assert!(limit.is_reached(90, 0.99) && !limit.is_reached(89, 0.5));
        limit.review(2_500.0, 90.0, 50.0);
        assert!(!limit.is_reached(89, 0.5), "within a second of the previous review");
        limit.review(3_500.0, 80.0, 0.0);
        assert!(!limit.is_reached(110, 0.5));
    }

    #[test]
    fn a_few_connections_on_overloaded_servers_are_chance_and_no_shortage() {
        let mut limit = ConnectionLimit::new(0.0);
        // One of one, or five of thirteen, does not indicate a shortage of the fleet.
        limit.review(1_000.0, 1.0, 1.0);
        limit.review(2_000.0, 13.0, 5.0);
        assert!(!limit.is_reached(13, 0.0));
        limit.review(3_000.0, 13.0, 9.0);
        assert!(limit.is_reached(13, 0.99));
    }

    #[test]
    fn a_limit_of_zero_recovers_in_proportion_to_the_recent_peak() {
        let mut limit = ConnectionLimit::new(0.0);
        (1..=30).for_each(|s| limit.review(f64::from(s) * 1_000.0, 20.0, 20.0));
        assert!(limit.is_reached(1, 0.0));
        (31..=45).for_each(|s| limit.review(f64::from(s) * 1_000.0, 0.0, 0.0));
        assert!(!limit.is_reached(15, 0.0));
    }
}
