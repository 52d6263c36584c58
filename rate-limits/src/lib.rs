//! Shares of a fleet's pace for one balancer that sees little: by chance, never rounded.
//!
//! A host that has just started can take so many connections a second from all balancers together. One
//! of three hundred may send it a hundredth of a connection a second, and a budget that waits for a whole
//! one would leave the host empty, while one that starts with a whole one would let three hundred through
//! at once. What is due here is therefore spent by chance. No I/O, no clock and no randomness of its own.

pub mod calls;
pub mod ending;
mod shortage;

pub use shortage::Shortage;

use serde::{Deserialize, Serialize};

/// Milliseconds, as a point on the caller's monotonic clock or as a span.
pub type Millis = f64;

/// A count that is no whole number, made one by chance: the mean over many is right, and balancers that
/// hold one connection each do not all act in the same moment. `uniform` is a random number in 0..1.
#[must_use]
pub fn whole(count: f64, uniform: f64) -> usize {
    (count.max(0.0) + uniform).floor() as usize
}

/// Which of these, by chance in proportion to their shares; `None` if none has any. `uniform` is a random
/// number in 0..1.
#[must_use]
pub fn by_share(shares: &[f64], uniform: f64) -> Option<usize> {
    let mut at = uniform * shares.iter().sum::<f64>();
    let found = shares.iter().position(|share| {
        at -= share;
        at < 0.0
    });
    // Sums round: the last that has any is meant where none was found.
    found.or_else(|| shares.iter().rposition(|share| *share > 0.0))
}

/// Which of these loads, in the order in which they should go, make up about this share of their sum.
/// `uniform` gives a random number in 0..1.
#[must_use]
pub fn relief(loads: &[f64], share: f64, uniform: impl FnOnce() -> f64) -> Vec<usize> {
    let mut excess = share * loads.iter().sum::<f64>();
    let mut chosen = Vec::new();
    for (at, load) in loads.iter().enumerate() {
        // One that weighs far more than what is too much would only overload another host.
        if *load > 0.0 && *load <= 1.5 * excess {
            excess -= load;
            chosen.push(at);
        }
    }
    // Where all do, as where there is but one, one goes by chance: nobody else may relieve the host.
    if let Some(at) = loads.iter().rposition(|load| *load > 0.0).filter(|_| chosen.is_empty()) {
        chosen.extend((uniform() < excess / loads[at]).then_some(at));
    }
    chosen
}

/// How often something has happened lately, for each ms, fading.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    per_ms: f64,
    at: Millis,
    tau_ms: Millis,
}

impl Rate {
    /// Nothing so far; fading with this time constant in ms.
    #[must_use]
    pub fn new(tau_ms: Millis, now: Millis) -> Self {
        Self { per_ms: 0.0, at: now, tau_ms }
    }

    /// Something has happened, of this size.
    pub fn add(&mut self, now: Millis, size: f64) {
        self.per_ms = self.at(now) + size / self.tau_ms;
        self.at = self.at.max(now);
    }

    /// For each ms, as of `now`.
    #[must_use]
    pub fn at(&self, now: Millis) -> f64 {
        self.per_ms * (-(now - self.at).max(0.0) / self.tau_ms).exp()
    }

    /// The same on a clock that shows so much more.
    #[must_use]
    pub fn shifted(self, by: Millis) -> Self {
        Self { at: self.at + by, ..self }
    }
}

/// What one balancer may send a host that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// The part for this balancer of what all together may send, for each ms.
    pub part: f64,
    /// What it may send by its own usual traffic, for each ms; more than its part where it sees much.
    pub usual: f64,
    /// What it has sent lately to a host of that size, for each ms.
    pub lately: f64,
    /// The time in ms in which too much tips the host over.
    pub window_ms: Millis,
    /// The part of a connection that it would send now, if it may.
    pub wanted: f64,
}

/// Time constant in ms of how much this balancer would send a host: as long as a crowd of clients takes to come.
const WANTED_TAU_MS: Millis = 1_000.0;

/// A balancer's budget for one host that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    kept: f64,
    at: Millis,
    /// What it would have been sent lately; an older program does not tell.
    #[serde(default = "unknown")]
    wanted: Rate,
}

fn unknown() -> Rate {
    Rate::new(WANTED_TAU_MS, 0.0)
}

impl Budget {
    /// With so much of a connection to begin with: by chance, so that all balancers together begin in
    /// the middle of it.
    #[must_use]
    pub fn new(kept: f64, now: Millis) -> Self {
        Self { kept, at: now, wanted: Rate::new(WANTED_TAU_MS, now) }
    }

    /// May a connection be sent now? Where the part for a window holds no whole connection, by chance: as far as what
    /// all balancers would send lately, if they do as this one does, is more than may be. How much it sends to all
    /// tells that while hosts take their parts by weight; while others are full, most of what comes wants this host,
    /// and comes again where it is not let.
    pub fn allows(&mut self, now: Millis, pace: &Pace, uniform: f64) -> bool {
        let lately = pace.lately.max(self.wanted.at(now));
        self.wanted.add(now, pace.wanted);
        if pace.part > 0.0 && pace.part * pace.window_ms < 1.0 {
            return uniform * lately < pace.part;
        }
        let allowed = pace.part.max(pace.usual);
        let grown = self.kept + allowed * (now - self.at).max(0.0);
        self.kept = grown.min(1.0f64.max(allowed * pace.window_ms));
        self.at = self.at.max(now);
        self.kept >= 1.0
    }

    /// A connection was sent.
    pub fn spend(&mut self) {
        self.kept -= 1.0;
    }

    /// The same on a clock that shows so much more.
    #[must_use]
    pub fn shifted(self, by: Millis) -> Self {
        Self { at: self.at + by, wanted: self.wanted.shifted(by), ..self }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Even(u64);
    impl Even {
        fn next(&mut self) -> f64 {
            self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (self.0 >> 11) as f64 / (1u64 << 53) as f64
        }
    }

    #[test]
    fn a_part_of_one_is_one_as_often_as_it_should_be() {
        let mut even = Even(1);
        let sum: usize = (0..10_000).map(|_| whole(0.125, even.next())).sum();
        assert!((1_150..1_350).contains(&sum), "{sum}");
        assert_eq!((whole(3.0, 0.99), whole(-2.0, 0.5)), (3, 0));
    }

    #[test]
    fn one_is_chosen_in_proportion_to_its_share() {
        let (mut even, mut counts) = (Even(2), [0; 3]);
        (0..8_000).for_each(|_| counts[by_share(&[1.0, 0.0, 3.0], even.next()).expect("some")] += 1);
        assert!(counts[1] == 0 && (1_850..2_150).contains(&counts[0]), "{counts:?}");
        assert_eq!(by_share(&[0.0, 0.0], 0.5), None);
        assert_eq!(by_share(&[0.0, 2.0, 0.0], 1.0), Some(1));
    }

    #[test]
    fn what_goes_makes_up_the_share_or_one_goes_by_chance() {
        assert_eq!(relief(&[50.0, 20.0, 20.0, 10.0], 0.4, || 0.5), [0]);
        assert_eq!(relief(&[90.0, 20.0, 20.0, 0.0], 0.3, || 0.5), [1, 2]);
        // A single one is too heavy for a tenth, and goes in one of ten cases.
        assert_eq!(relief(&[30.0], 0.1, || 0.09), [0]);
        assert!(relief(&[30.0], 0.1, || 0.11).is_empty() && relief(&[0.0], 0.9, || 0.0).is_empty());
    }

    #[test]
    fn a_rate_fades() {
        let mut rate = Rate::new(1_000.0, 0.0);
        (0..5_000).for_each(|at| rate.add(f64::from(at), 0.1));
        assert!((rate.at(5_000.0) - 0.1).abs() < 0.01);
        assert!(rate.at(10_000.0) < 0.001);
        assert_eq!(rate.at(5_000.0), rate.shifted(70.0).at(5_070.0));
    }

    /// Connections that one of 90 hosts gets within 3 s from so many balancers, each of which places
    /// so many a second, where 12 together may be sent to it.
    fn sent(nodes: u32, each_s: f64) -> u32 {
        let (mut even, mut sum) = (Even(5), 0);
        for _ in 0..nodes {
            let mut budget = Budget::new(even.next(), 0.0);
            let mut lately = Rate::new(1_000.0, 0.0);
            for at in 0..3_000 {
                let now = f64::from(at);
                if even.next() >= each_s / 1_000.0 {
                    continue;
                }
                lately.add(now, 1.0 / 90.0);
                let part = 12.0 / 3_000.0 / f64::from(nodes);
                let pace = Pace { part, usual: 0.0, lately: lately.at(now), window_ms: 3_000.0, wanted: 1.0 };
                if even.next() < 1.0 / 90.0 && budget.allows(now, &pace, even.next()) {
                    budget.spend();
                    sum += 1;
                }
            }
        }
        sum
    }

    #[test]
    fn all_balancers_together_send_no_more_than_may_be_and_not_nothing() {
        // A hundred and more would come to it. A rate that has just begun is taken for less than it is.
        for (nodes, each_s) in [(3, 990.0), (30, 120.0), (300, 12.0)] {
            let sent = sent(nodes, each_s);
            assert!((4..=30).contains(&sent), "{nodes} balancers sent {sent}");
        }
    }

    #[test]
    fn what_is_far_less_than_may_be_is_not_held_back() {
        // Six would come to it.
        let sent = sent(300, 0.6);
        assert!((3..=12).contains(&sent), "{sent}");
    }
}
