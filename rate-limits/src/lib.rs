//! Rate limits for one balancer of a fleet: its share of what the whole fleet may do, rounded at random.
//!
//! A server in slow start can take a limited number of connections per second from all balancers together. One
//! of three hundred balancers may send it a hundredth of a connection per second. A budget that waits for a whole
//! connection would leave the server empty, and one that starts with a whole connection would let three hundred
//! through at once. Fractions are therefore spent at random. The library does no I/O, reads no clock and draws no
//! random numbers.

mod connection_limit;
pub mod discovery_calls;
pub mod shutdown;

pub use connection_limit::ConnectionLimit;

use serde::{Deserialize, Serialize};

/// Milliseconds, as a point on the caller's monotonic clock or as a duration.
pub type Millis = f64;

/// Rounds a count to a whole number at random, so that the mean is exact and balancers that hold one
/// connection each do not all act at the same moment. `uniform` is a random number in 0..1.
#[must_use]
pub fn round_stochastic(count: f64, uniform: f64) -> usize {
    (count.max(0.0) + uniform).floor() as usize
}

/// Draws an index with a probability proportional to its share; `None` if no share is positive. `uniform` is a
/// random number in 0..1.
#[must_use]
pub fn choose_weighted(shares: &[f64], uniform: f64) -> Option<usize> {
    let mut at = uniform * shares.iter().sum::<f64>();
    let found = shares.iter().position(|share| {
        at -= share;
        at < 0.0
    });
    // Falls back to the last positive share, as rounding errors may leave a remainder.
    found.or_else(|| shares.iter().rposition(|share| *share > 0.0))
}

/// Selects loads, given in the order in which they should be shed, that make up about this share of their sum,
/// and returns their indices. `uniform` returns a random number in 0..1.
#[must_use]
pub fn select_to_shed(loads: &[f64], share: f64, uniform: impl FnOnce() -> f64) -> Vec<usize> {
    let mut excess = share * loads.iter().sum::<f64>();
    let mut chosen = Vec::new();
    for (at, load) in loads.iter().enumerate() {
        // Skips a load far above the excess, which would only overload another server.
        if *load > 0.0 && *load <= 1.5 * excess {
            excess -= load;
            chosen.push(at);
        }
    }
    // If every load is above the excess, as when there is only one, sheds the last at random: no other balancer
    // may have connections to shed there.
    if let Some(at) = loads.iter().rposition(|load| *load > 0.0).filter(|_| chosen.is_empty()) {
        chosen.extend((uniform() < excess / loads[at]).then_some(at));
    }
    chosen
}

/// Exponentially decaying rate of events.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    per_ms: f64,
    #[serde(rename = "at")]
    updated_at: Millis,
    tau_ms: Millis,
}

impl Rate {
    /// Creates a rate of zero that decays with this time constant in ms.
    #[must_use]
    pub fn new(tau_ms: Millis, now: Millis) -> Self {
        Self { per_ms: 0.0, updated_at: now, tau_ms }
    }

    /// Adds an event of this size.
    pub fn add(&mut self, now: Millis, size: f64) {
        self.per_ms = self.per_ms(now) + size / self.tau_ms;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the rate per ms as of `now`.
    #[must_use]
    pub fn per_ms(&self, now: Millis) -> f64 {
        self.per_ms * (-(now - self.updated_at).max(0.0) / self.tau_ms).exp()
    }

    /// Returns the same rate for a clock that is `offset_ms` ahead.
    #[must_use]
    pub fn shifted(self, offset_ms: Millis) -> Self {
        Self { updated_at: self.updated_at + offset_ms, ..self }
    }
}

/// Rates at which one balancer may send, and would send, connections to a server in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRate {
    /// This balancer's share of the connections per ms that all balancers together may send.
    pub share_per_ms: f64,
    /// Connections per ms that its own usual traffic permits; above its share where it has much traffic.
    pub baseline_per_ms: f64,
    /// Connections per ms that it has recently sent to a server of that size.
    pub recent_per_ms: f64,
    /// Time in ms within which too many new connections overload the server.
    pub window_ms: Millis,
    /// Fraction of a connection that it would send now if permitted.
    pub demand: f64,
}

/// Time constant in ms of the recent demand for a server: about as long as a burst of clients takes to arrive.
const DEMAND_TAU_MS: Millis = 1_000.0;

/// Budget of one balancer for one server in slow start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStartBudget {
    #[serde(rename = "kept")]
    tokens: f64,
    #[serde(rename = "at")]
    updated_at: Millis,
    /// Connections that the balancer would recently have sent to the server; absent in handovers from older
    /// versions.
    #[serde(rename = "wanted", default = "unknown_demand")]
    demand: Rate,
}

fn unknown_demand() -> Rate {
    Rate::new(DEMAND_TAU_MS, 0.0)
}

impl SlowStartBudget {
    /// Creates a budget with an initial fraction of a connection. Draw it at random, so that the budgets of all
    /// balancers together start half full.
    #[must_use]
    pub fn new(tokens: f64, now: Millis) -> Self {
        Self { tokens, updated_at: now, demand: Rate::new(DEMAND_TAU_MS, now) }
    }

    /// Returns whether a connection may be sent now.
    ///
    /// Where the share for a window is less than one connection, this is drawn at random, with the ratio of the
    /// share to the recent rate as its probability, on the assumption that all balancers act alike. The recent
    /// rate to servers of that size is a good estimate while connections are spread by weight. While other
    /// servers are full, most connections are offered to this server, and again after a rejection, so the demand
    /// for it counts if that is higher.
    pub fn allows(&mut self, now: Millis, rate: &SlowStartRate, uniform: f64) -> bool {
        let recent_per_ms = rate.recent_per_ms.max(self.demand.per_ms(now));
        self.demand.add(now, rate.demand);
        if rate.share_per_ms > 0.0 && rate.share_per_ms * rate.window_ms < 1.0 {
            return uniform * recent_per_ms < rate.share_per_ms;
        }
        let allowed_per_ms = rate.share_per_ms.max(rate.baseline_per_ms);
        let refilled = self.tokens + allowed_per_ms * (now - self.updated_at).max(0.0);
        self.tokens = refilled.min(1.0f64.max(allowed_per_ms * rate.window_ms));
        self.updated_at = self.updated_at.max(now);
        self.tokens >= 1.0
    }

    /// Records that a connection was sent.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the same budget for a clock that is `offset_ms` ahead.
    #[must_use]
    pub fn shifted(self, offset_ms: Millis) -> Self {
        Self { updated_at: self.updated_at + offset_ms, demand: self.demand.shifted(offset_ms), ..self }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Linear congruential generator with a fixed seed.
    struct TestRng(u64);
    impl TestRng {
        fn next(&mut self) -> f64 {
            self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (self.0 >> 11) as f64 / (1u64 << 53) as f64
        }
    }

    #[test]
    fn stochastic_rounding_keeps_the_mean() {
        let mut rng = TestRng(1);
        let sum: usize = (0..10_000).map(|_| round_stochastic(0.125, rng.next())).sum();
        assert!((1_150..1_350).contains(&sum), "{sum}");
        assert_eq!((round_stochastic(3.0, 0.99), round_stochastic(-2.0, 0.5)), (3, 0));
    }

    #[test]
    fn a_weighted_choice_follows_the_shares_and_skips_zero() {
        let (mut rng, mut counts) = (TestRng(2), [0; 3]);
        (0..8_000).for_each(|_| {
            counts[choose_weighted(&[1.0, 0.0, 3.0], rng.next()).expect("a positive share")] += 1
        });
        assert!(counts[1] == 0 && (1_850..2_150).contains(&counts[0]), "{counts:?}");
        assert_eq!(choose_weighted(&[0.0, 0.0], 0.5), None);
        assert_eq!(choose_weighted(&[0.0, 2.0, 0.0], 1.0), Some(1));
    }

    #[test]
    fn shed_loads_make_up_the_share_or_one_is_drawn_at_random() {
        assert_eq!(select_to_shed(&[50.0, 20.0, 20.0, 10.0], 0.4, || 0.5), [0]);
        assert_eq!(select_to_shed(&[90.0, 20.0, 20.0, 0.0], 0.3, || 0.5), [1, 2]);
        // A single load is above a tenth of the sum, and is shed with a probability of one tenth.
        assert_eq!(select_to_shed(&[30.0], 0.1, || 0.09), [0]);
        assert!(
            select_to_shed(&[30.0], 0.1, || 0.11).is_empty()
                && select_to_shed(&[0.0], 0.9, || 0.0).is_empty()
        );
    }

    #[test]
    fn a_rate_decays() {
        let mut rate = Rate::new(1_000.0, 0.0);
        (0..5_000).for_each(|at| rate.add(f64::from(at), 0.1));
        assert!((rate.per_ms(5_000.0) - 0.1).abs() < 0.01);
        assert!(rate.per_ms(10_000.0) < 0.001);
        assert_eq!(rate.per_ms(5_000.0), rate.shifted(70.0).per_ms(5_070.0));
    }

    /// Returns the number of connections that one of 90 servers receives within 3 s from all balancers, where
    /// they may send it 12 together.
    fn connections_sent(balancers: u32, requests_per_s: f64) -> u32 {
        let (mut rng, mut sum) = (TestRng(5), 0);
        for _ in 0..balancers {
            let mut budget = SlowStartBudget::new(rng.next(), 0.0);
            let mut recent = Rate::new(1_000.0, 0.0);
            for at in 0..3_000 {
                let now = f64::from(at);
                if rng.next() >= requests_per_s / 1_000.0 {
                    continue;
                }
                recent.add(now, 1.0 / 90.0);
                let share_per_ms = 12.0 / 3_000.0 / f64::from(balancers);
                let rate = SlowStartRate {
                    share_per_ms,
                    baseline_per_ms: 0.0,
                    recent_per_ms: recent.per_ms(now),
                    window_ms: 3_000.0,
                    demand: 1.0,
                };
                if rng.next() < 1.0 / 90.0 && budget.allows(now, &rate, rng.next()) {
                    budget.spend();
                    sum += 1;
                }
            }
        }
        sum
    }

    #[test]
    fn all_balancers_together_stay_within_the_limit_and_do_not_starve_the_server() {
        // Without the budget, over a hundred would be sent. The upper bound is above 12 since a rate that has just
        // started is underestimated.
        for (balancers, requests_per_s) in [(3, 990.0), (30, 120.0), (300, 12.0)] {
            let sent = connections_sent(balancers, requests_per_s);
            assert!((4..=30).contains(&sent), "{balancers} balancers sent {sent}");
        }
    }

    #[test]
    fn traffic_far_below_the_limit_is_not_throttled() {
        // Without the budget, six would be sent.
        let sent = connections_sent(300, 0.6);
        assert!((3..=12).contains(&sent), "{sent}");
    }
}
