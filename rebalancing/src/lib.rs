//! Hosts on which messages are slow: what they still take, and how many connections are to leave.
//!
//! A host may tell how long a message takes there now, once a second while that is long. It tells no more:
//! not its load, nor what it can do. [`Strain`] keeps, for one host, what follows from that for one
//! balancer. No I/O, no clock, no randomness: time is an argument.
//!
//! ```
//! use marllink_rebalancing::Strain;
//!
//! let mut strain = Strain::new(0.0);
//! // Twice the aim of 100 ms, with 20 connections of this balancer there.
//! let leave = strain.note(1_000.0, 200.0, 100.0, 20.0);
//! assert!(leave > 0.0 && strain.hot(1_500.0));
//! assert!(!strain.hot(4_000.0));
//! ```

use serde::{Deserialize, Serialize};

/// Milliseconds, as a point on the caller's monotonic clock or as a span.
pub type Millis = f64;

/// A note holds for so many ms: notes come once a second while it lasts.
const NOTE_MS: Millis = 1_500.0;
/// A host is hot when messages take this share of the strictest class's aim: it still serves
/// well, but a queue has formed and little more would tip it.
const HOT_SHARE: f64 = 0.5;
/// The limit of an overloaded host falls by this share with each note, a second apart ...
const SHED_SHARE: f64 = 0.1;
/// ... and more the longer messages take, up to half: what is piled up must drain as well. In ms,
/// the delay that costs all of it: twice the time between notes and some.
const SHED_MS: Millis = 2_500.0;
/// Of what is over the limit so many leave by being moved. The heaviest for their worth go first, and weigh
/// about two and a half times the mean where loads spread as the platform's do (sigma near 1, classes six
/// times apart), so the host has lost the whole share of its load with these; and the rest leave by
/// themselves, as nothing new comes. Moved too, they would leave a host half empty and set up again elsewhere.
pub const MOVED_SHARE: f64 = 0.4;
/// Time constant in ms by which the limit of a host that was overloaded grows again.
const LIMIT_TAU_MS: Millis = 15_000.0;
/// A limit that limits nothing.
const NO_LIMIT: f64 = 1e12;

/// What one balancer knows of how strained a host is. Say [`Strain::note`] at each note, and ask
/// [`Strain::hot`] and [`Strain::limit`] before another connection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Strain {
    hot_until: Millis,
    limit: f64,
    limit_at: Millis,
}

impl Strain {
    /// Nothing has been told.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { hot_until: f64::MIN, limit: NO_LIMIT, limit_at: now }
    }

    /// A message takes `delay_ms` there, where the strictest class wants one within `aim_ms` and this
    /// balancer has `open` connections and attempts. How many of them are to be moved away.
    pub fn note(&mut self, now: Millis, delay_ms: Millis, aim_ms: Millis, open: f64) -> f64 {
        if delay_ms <= aim_ms * HOT_SHARE {
            self.hot_until = now;
            return 0.0;
        }
        self.hot_until = now + NOTE_MS;
        self.limit = self.limit(now).min(open);
        self.limit_at = now;
        if delay_ms <= aim_ms {
            return 0.0;
        }
        // At once: a pause that would have ended by itself costs a few moves, a pile-up that is left for
        // one more note takes several to drain.
        self.limit *= 1.0 - (SHED_SHARE + delay_ms / SHED_MS).min(0.5);
        MOVED_SHARE * (open - self.limit)
    }

    /// A connection has come up there after `took_ms`. A host that needs longer for that than a message may take
    /// has work piled up before it, and messages wait behind that as well: nothing new is to go for a while,
    /// and it keeps what it has. It is the one sign that a balancer of hundreds gets where hosts report nothing
    /// and drop their newest before a slow message is told of.
    pub fn came_up(&mut self, now: Millis, took_ms: Millis, aim_ms: Millis, open: f64) {
        if took_ms > aim_ms {
            self.note(now, aim_ms, aim_ms, open);
        }
    }

    /// Messages are slow there: nothing new is to go.
    #[must_use]
    pub fn hot(&self, now: Millis) -> bool {
        self.hot_until > now
    }

    /// Own connections that this balancer holds there at most; a huge number where there is no limit.
    #[must_use]
    pub fn limit(&self, now: Millis) -> f64 {
        self.limit * ((now - self.limit_at).clamp(0.0, 40.0 * LIMIT_TAU_MS) / LIMIT_TAU_MS).exp()
    }

    /// The same on a clock that shows so much more.
    #[must_use]
    pub fn shifted(self, by: Millis) -> Self {
        Self { hot_until: self.hot_until + by, limit_at: self.limit_at + by, ..self }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_host_near_its_aim_takes_nothing_new_and_loses_nobody() {
        let mut strain = Strain::new(0.0);
        assert_eq!(strain.note(0.0, 70.0, 100.0, 10.0), 0.0);
        assert!(strain.hot(1_499.0) && !strain.hot(1_500.0));
        assert!((strain.limit(0.0) - 10.0).abs() < 1e-9);
        // Told that it is well, it takes again at once, up to its limit.
        assert_eq!(strain.note(500.0, 20.0, 100.0, 10.0), 0.0);
        assert!(!strain.hot(500.0));
        assert!((strain.limit(15_000.0) - 10.0 * std::f64::consts::E).abs() < 0.1);
    }

    #[test]
    fn what_leaves_is_a_part_of_what_is_over_the_limit_and_grows_with_the_delay() {
        let (mut slow, mut slower) = (Strain::new(0.0), Strain::new(0.0));
        let leave = slow.note(0.0, 250.0, 100.0, 20.0);
        assert!((leave - 0.4 * 4.0).abs() < 1e-9, "{leave}");
        assert!((slow.limit(0.0) - 16.0).abs() < 1e-9);
        assert!((slower.note(0.0, 5_000.0, 100.0, 20.0) - 0.4 * 10.0).abs() < 1e-9);
    }

    #[test]
    fn a_slow_set_up_closes_a_host_for_a_while_and_moves_nobody() {
        let mut strain = Strain::new(0.0);
        strain.came_up(0.0, 99.0, 100.0, 8.0);
        assert!(!strain.hot(0.0));
        strain.came_up(0.0, 101.0, 100.0, 8.0);
        assert!(strain.hot(1_499.0) && !strain.hot(1_500.0));
        assert!((strain.limit(0.0) - 8.0).abs() < 1e-9, "it keeps what it has");
        strain.came_up(9_000.0, 1e9, f64::INFINITY, 8.0);
        assert!(!strain.hot(9_000.0), "where no message has an aim");
    }

    #[test]
    fn a_clock_that_began_elsewhere_changes_nothing_and_no_figure_is_infinite() {
        let mut strain = Strain::new(0.0);
        strain.note(100.0, 250.0, 100.0, 20.0);
        let shifted = strain.shifted(5e9);
        assert!((shifted.limit(5e9 + 700.0) - strain.limit(700.0)).abs() < 1e-6);
        assert_eq!(shifted.hot(5e9 + 1_599.0), strain.hot(1_599.0));
        assert!(Strain::new(-1e12).limit(1e12).is_finite());
        assert!(Strain::new(0.0).limit(0.0) >= NO_LIMIT);
    }
}
