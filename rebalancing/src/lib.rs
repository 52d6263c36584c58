//! Overload of servers by message latency: whether they accept connections, and how many to move away.
//!
//! A server may report how long a message currently takes there, once a second while that is long. It reports neither
//! its load nor its capacity. [`OverloadState`] keeps, for one server, what one balancer concludes from that. The
//! library does no I/O, reads no clock and draws no random numbers: time is an argument.
//!
//! ```
//! use marllink_rebalancing::OverloadState;
//!
//! let mut overload = OverloadState::new(0.0);
//! // Twice the goal of 100 ms, with 20 connections of this balancer there.
//! let to_move = overload.record_delay(1_000.0, 200.0, 100.0, 20.0);
//! assert!(to_move > 0.0 && overload.is_overloaded(1_500.0));
//! assert!(!overload.is_overloaded(4_000.0));
//! ```

use serde::{Deserialize, Serialize};

/// Milliseconds, as a point on the caller's monotonic clock or as a duration.
pub type Millis = f64;

/// Time in ms for which a report of slow messages is valid: reports come once a second while messages are slow.
const REPORT_VALID_MS: Millis = 1_500.0;
/// A server is overloaded when messages take more than this ratio of the strictest class's latency goal: it still
/// serves well, but a queue has formed, and little more load would overwhelm it.
const OVERLOAD_GOAL_RATIO: f64 = 0.5;
/// Ratio by which the limit of a server above the goal falls at least with each report, a second apart.
const BASE_SHED_RATIO: f64 = 0.1;
/// The limit falls further in proportion to the message latency, as the backlog must drain as well; by half at most. In
/// ms, the latency that would account for the whole limit: twice the time between reports and a margin.
const FULL_SHED_DELAY_MS: Millis = 2_500.0;
/// Ratio of the connections above the limit that are moved away. The connections with the highest load for their value
/// go first, and carry about two and a half times the mean load where loads spread as on the platform (sigma near 1,
/// classes six times apart), so these alone take away the whole excess load. The rest closes by itself, as the server
/// receives no new connections. Moving that as well would leave the server half empty and cause reconnects elsewhere.
pub const MOVED_RATIO: f64 = 0.4;
/// Time constant in ms by which the limit grows again after an overload.
const LIMIT_RECOVERY_TAU_MS: Millis = 15_000.0;
/// A limit that is never reached; finite, as JSON has no infinity.
const UNLIMITED: f64 = 1e12;

/// Overload state of one server as one balancer sees it. Call [`OverloadState::record_delay`] for each report, and
/// check [`OverloadState::is_overloaded`] and [`OverloadState::connection_limit`] before another connection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OverloadState {
    #[serde(rename = "hot_until")]
    overloaded_until: Millis,
    limit: f64,
    #[serde(rename = "limit_at")]
    limit_set_at: Millis,
}

impl OverloadState {
    /// Creates the state of a server without reports.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { overloaded_until: f64::MIN, limit: UNLIMITED, limit_set_at: now }
    }

    /// Records that a message takes `delay_ms`, where the goal of the strictest class is `goal_ms` and this balancer
    /// has `open` connections and attempts. Returns how many of them to move away.
    pub fn record_delay(&mut self, now: Millis, delay_ms: Millis, goal_ms: Millis, open: f64) -> f64 {
        if delay_ms <= goal_ms * OVERLOAD_GOAL_RATIO {
            self.overloaded_until = now;
            return 0.0;
        }
        self.overloaded_until = now + REPORT_VALID_MS;
        self.limit = self.connection_limit(now).min(open);
        self.limit_set_at = now;
        if delay_ms <= goal_ms {
            return 0.0;
        }
        // Acts on the first report: if the delay would have ended by itself, this costs a few moves, while a backlog
        // that is left for one more report takes several to drain.
        self.limit *= 1.0 - (BASE_SHED_RATIO + delay_ms / FULL_SHED_DELAY_MS).min(0.5);
        MOVED_RATIO * (open - self.limit)
    }

    /// Records a connection that was established after `took_ms`. A server that takes longer for this than the goal
    /// for a message has a backlog, which delays messages as well: it receives no new connections for a while and
    /// keeps those it has. Where servers report nothing and drop their newest connections, this is the only symptom
    /// that one balancer of hundreds sees before a slow message is reported.
    pub fn record_connect(&mut self, now: Millis, took_ms: Millis, goal_ms: Millis, open: f64) {
        if took_ms > goal_ms {
            self.record_delay(now, goal_ms, goal_ms, open);
        }
    }

    /// Returns whether messages are slow there, so that the server should receive no new connections.
    #[must_use]
    pub fn is_overloaded(&self, now: Millis) -> bool {
        self.overloaded_until > now
    }

    /// Returns the maximum number of own connections to the server; a huge number where there is no limit.
    #[must_use]
    pub fn connection_limit(&self, now: Millis) -> f64 {
        self.limit
            * ((now - self.limit_set_at).clamp(0.0, 40.0 * LIMIT_RECOVERY_TAU_MS) / LIMIT_RECOVERY_TAU_MS)
                .exp()
    }

    /// Returns the same state for a clock that is `offset_ms` ahead.
    #[must_use]
    pub fn shifted(self, offset_ms: Millis) -> Self {
        Self {
            overloaded_until: self.overloaded_until + offset_ms,
            limit_set_at: self.limit_set_at + offset_ms,
            ..self
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_server_near_its_goal_receives_no_connections_and_loses_none() {
        let mut overload = OverloadState::new(0.0);
        assert_eq!(overload.record_delay(0.0, 70.0, 100.0, 10.0), 0.0);
        assert!(overload.is_overloaded(1_499.0) && !overload.is_overloaded(1_500.0));
        assert!((overload.connection_limit(0.0) - 10.0).abs() < 1e-9);
        // After a report of fast messages it accepts connections at once, up to its limit.
        assert_eq!(overload.record_delay(500.0, 20.0, 100.0, 10.0), 0.0);
        assert!(!overload.is_overloaded(500.0));
        assert!((overload.connection_limit(15_000.0) - 10.0 * std::f64::consts::E).abs() < 0.1);
    }

    #[test]
    fn a_part_of_the_excess_is_moved_and_the_excess_grows_with_the_delay() {
        let (mut slow, mut slower) = (OverloadState::new(0.0), OverloadState::new(0.0));
        let to_move = slow.record_delay(0.0, 250.0, 100.0, 20.0);
        assert!((to_move - 0.4 * 4.0).abs() < 1e-9, "{to_move}");
        assert!((slow.connection_limit(0.0) - 16.0).abs() < 1e-9);
        assert!((slower.record_delay(0.0, 5_000.0, 100.0, 20.0) - 0.4 * 10.0).abs() < 1e-9);
    }

    #[test]
    fn a_slow_connect_blocks_new_connections_for_a_while_and_moves_none() {
        let mut overload = OverloadState::new(0.0);
        overload.record_connect(0.0, 99.0, 100.0, 8.0);
        assert!(!overload.is_overloaded(0.0));
        overload.record_connect(0.0, 101.0, 100.0, 8.0);
        assert!(overload.is_overloaded(1_499.0) && !overload.is_overloaded(1_500.0));
        assert!((overload.connection_limit(0.0) - 8.0).abs() < 1e-9, "it keeps its connections");
        overload.record_connect(9_000.0, 1e9, f64::INFINITY, 8.0);
        assert!(!overload.is_overloaded(9_000.0), "no class has a goal");
    }

    #[test]
    fn a_shifted_clock_changes_nothing_and_all_values_stay_finite() {
        let mut overload = OverloadState::new(0.0);
        overload.record_delay(100.0, 250.0, 100.0, 20.0);
        let shifted = overload.shifted(5e9);
        assert!((shifted.connection_limit(5e9 + 700.0) - overload.connection_limit(700.0)).abs() < 1e-6);
        assert_eq!(shifted.is_overloaded(5e9 + 1_599.0), overload.is_overloaded(1_599.0));
        assert!(OverloadState::new(-1e12).connection_limit(1e12).is_finite());
        assert!(OverloadState::new(0.0).connection_limit(0.0) >= UNLIMITED);
    }
}
