//! What all balancers together send a host that has just started.
#![allow(missing_docs, reason = "tests are named for what they show")]

use marllink_rate_limits::{Budget, Pace, Rate};

struct Even(u64);

impl Even {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// All other hosts are full, so all balancers together want to send this one 240 connections a second, where by weight
/// it would be 24. So many may be sent in a window of 3 s by all together.
fn sent(nodes: u32, allowed: f64, seed: u64) -> f64 {
    let window_ms = 3_000.0;
    let wants = 0.24 / f64::from(nodes);
    let (mut even, mut sum) = (Even(seed), 0.0);
    for _ in 0..nodes {
        let mut budget = Budget::new(even.next(), 0.0);
        let mut all = Rate::new(1_000.0, -4_000.0);
        for at in -4_000..3_000 {
            let now = f64::from(at);
            if even.next() >= wants {
                continue;
            }
            // As the decisions do, a part is left for heavy connections and for balancers that do not know yet.
            let part = 0.8 * allowed / window_ms / f64::from(nodes);
            let pace = Pace { part, usual: 0.0, lately: all.at(now), window_ms, wanted: 1.0 };
            all.add(now, 0.1);
            if at >= 0 && budget.allows(now, &pace, even.next()) {
                budget.spend();
                sum += 1.0;
            }
        }
    }
    sum
}

/// By weight alone each would take this host for one of ten, and all together would send 8 to 9 times what it may get.
/// The first who want it do not know yet that all do; balancers of whom each wants it less than once a second learn
/// it too late, and are not held back by this.
#[test]
fn a_host_that_thirty_want_at_once_gets_little_more_than_it_may_and_not_nothing() {
    for allowed in [8.0, 12.0, 25.0] {
        let mean = (1..=40).map(|seed| sent(30, allowed, seed)).sum::<f64>() / 40.0;
        assert!((allowed..=2.0 * allowed).contains(&mean), "{mean} of {allowed}");
    }
}

#[test]
fn what_is_wanted_seldom_is_not_held_back_by_what_was_wanted_long_ago() {
    let (mut even, mut sum) = (Even(7), 0);
    let mut budget = Budget::new(0.0, 0.0);
    for second in 0..200 {
        // One in 20 s, where one in 30 s would be this balancer's part.
        let now = f64::from(second) * 20_000.0;
        let pace = Pace { part: 1.0 / 30_000.0, usual: 0.0, lately: 0.0, window_ms: 3_000.0, wanted: 1.0 };
        sum += u32::from(budget.allows(now, &pace, even.next()));
    }
    assert_eq!(sum, 200);
}
