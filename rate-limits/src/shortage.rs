//! A limit on own connections while the whole fleet is short.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// With this share of the own connections on hosts that have too much the fleet is short, not a host ...
const SHORT: f64 = 0.25;
/// (and so many times its standard deviation more, were each there by chance)
const CHANCE: f64 = 2.0;
/// ... and the balancer takes on fewer connections in all, by so much of that share each second.
const SHED: f64 = 0.2;
/// Once it is no longer short, the limit grows by this share of what was held before, each second: from
/// nothing it would never come back by a factor ...
const GROW: f64 = 0.15;
/// ... or by itself with this time constant in ms.
const GROW_TAU_MS: Millis = 15_000.0;
/// What was held before is forgotten over so many seconds.
const PEAK_S: f64 = 60.0;
/// Time in ms between two reviews.
const REVIEW_MS: Millis = 1_000.0;
/// A limit that limits nothing.
const NONE: f64 = 1e12;

/// How many connections a balancer holds at most, by what share of them sits on hosts that have more
/// than they can do. Say [`Shortage::review`] now and then, and ask [`Shortage::full`] before another.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shortage {
    limit: f64,
    peak: f64,
    at: Millis,
}

impl Shortage {
    /// No shortage.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { limit: NONE, peak: 0.0, at: now }
    }

    /// True if another review would count.
    #[must_use]
    pub fn due(&self, now: Millis) -> bool {
        now - self.at >= REVIEW_MS
    }

    /// Takes note of how many own connections there are, and on hosts that have too much. Does nothing
    /// within a second of the last time.
    pub fn review(&mut self, now: Millis, held: f64, on_hot: f64) {
        if !self.due(now) {
            return;
        }
        let seconds = (now - self.at) / 1_000.0;
        self.at = now;
        self.peak = held.max(self.peak * (1.0 - seconds / PEAK_S).max(0.0));
        // So many more may sit there by chance: of a dozen, five.
        let by_chance = CHANCE * (held * SHORT * (1.0 - SHORT)).sqrt();
        if on_hot > held * SHORT + by_chance {
            self.limit = self.limit.min(held) * (1.0 - SHED * on_hot / held * seconds.min(2.0));
        } else {
            let grow = (self.limit * 1_000.0 / GROW_TAU_MS).max(GROW * self.peak.max(1.0));
            self.limit = (self.limit + seconds * grow).min(NONE);
        }
    }

    /// True if there may be no other connection. A limit between whole numbers holds on the mean:
    /// `uniform` is a random number in 0..1.
    #[must_use]
    pub fn full(&self, held: usize, uniform: f64) -> bool {
        held as f64 + 1.0 > self.limit + uniform
    }

    /// The same on a clock that shows so much more.
    #[must_use]
    pub fn shifted(self, by: Millis) -> Self {
        Self { at: self.at + by, ..self }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_sheds_while_a_quarter_sits_on_hot_hosts_and_comes_back() {
        let mut shortage = Shortage::new(0.0);
        assert!(!shortage.full(1_000_000, 0.0));
        shortage.review(1_000.0, 100.0, 20.0);
        assert!(!shortage.full(100, 0.0));
        shortage.review(2_000.0, 100.0, 50.0);
        assert!(shortage.full(90, 0.99) && !shortage.full(89, 0.5));
        shortage.review(2_500.0, 90.0, 50.0);
        assert!(!shortage.full(89, 0.5), "that was within a second");
        shortage.review(3_500.0, 80.0, 0.0);
        assert!(!shortage.full(110, 0.5));
    }

    #[test]
    fn a_few_connections_on_hot_hosts_are_chance_and_no_shortage() {
        let mut shortage = Shortage::new(0.0);
        // One of one, or five of thirteen, says nothing of the fleet.
        shortage.review(1_000.0, 1.0, 1.0);
        shortage.review(2_000.0, 13.0, 5.0);
        assert!(!shortage.full(13, 0.0));
        shortage.review(3_000.0, 13.0, 9.0);
        assert!(shortage.full(13, 0.99));
    }

    #[test]
    fn from_nothing_it_comes_back_by_what_was_held_before() {
        let mut shortage = Shortage::new(0.0);
        (1..=30).for_each(|s| shortage.review(f64::from(s) * 1_000.0, 20.0, 20.0));
        assert!(shortage.full(1, 0.0));
        (31..=45).for_each(|s| shortage.review(f64::from(s) * 1_000.0, 0.0, 0.0));
        assert!(!shortage.full(15, 0.0));
    }
}
