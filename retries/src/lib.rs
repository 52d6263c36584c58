//! How much may be tried again while much fails, without talk between balancers.
//!
//! Three hundred balancers that each allow themselves three failures in a row allow the fleet nine
//! hundred. So what a [`Limiter`] allows is a share of what comes, a rate in time divided by the number
//! of balancers, and a part of one try is spent by chance: the sum over the fleet is then what was
//! meant, however little each balancer sees.
//!
//! No I/O, no clock, no randomness of its own: time and uniform numbers are arguments. The policies are
//! those that `docs/design/fleet-decisions.md` compares.
//!
//! ```
//! use marllink_retries::{Limiter, Policy};
//!
//! let mut limiter = Limiter::new(Policy::share(), 300, 0.0);
//! limiter.first(0.0);
//! // A fifth of a try has been earned, and a tenth is its part of what the fleet keeps: by chance.
//! assert!(limiter.allows_again(0.0, 0.2));
//! assert!(!limiter.allows_again(0.0, 0.2));
//! ```

mod effect;

pub use effect::{Effect, KeyScope, Ran};

use serde::{Deserialize, Serialize};

/// Milliseconds, as a point on the caller's monotonic clock or as a span.
pub type Millis = f64;

/// How repeated attempts are limited.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Policy {
    /// Not at all.
    None,
    /// Attempts of all kinds are refused once more than a ratio of them failed, and `slack` more.
    Slack {
        /// Attempts for each that stands.
        ratio: f64,
        /// So many failures more, whatever the ratio.
        slack: f64,
        /// Over this time, in ms.
        tau_ms: Millis,
    },
    /// Repeated attempts are a share of first ones; and first ones are refused as with `Slack`.
    Share {
        /// For each first attempt.
        share: f64,
        /// And so many a second over the whole fleet.
        fleet_per_s: f64,
        /// What is not spent is kept up to so many over the whole fleet, and up to one by each balancer.
        fleet_kept: f64,
        /// Attempts for each that stands ...
        ratio: f64,
        /// ... and so many more, as a client that comes for the first time feeds no storm.
        slack: f64,
        /// Over this time, in ms.
        tau_ms: Millis,
    },
    /// Attempts of all kinds are refused by how few are accepted (the SRE book's client-side throttling).
    Accepts {
        /// Attempts for each that is accepted.
        ratio: f64,
        /// Over this time, in ms.
        tau_ms: Millis,
    },
    /// Attempts out at once follow the gradient of how long they take.
    Gradient {
        /// Attempts out at first.
        first: f64,
        /// Attempts out at least.
        least: f64,
    },
}

impl Policy {
    /// A share budget with the figures that the decisions use.
    #[must_use]
    pub fn share() -> Self {
        Self::Share {
            share: 0.2,
            fleet_per_s: 10.0,
            fleet_kept: 6.0,
            ratio: 1.5,
            slack: 4.0,
            tau_ms: 5_000.0,
        }
    }
}

/// The first wait before a repeated attempt is up to so many ms; doubled with each host that failed.
const WAIT_MS: Millis = 20.0;
/// The longest is up to so many ms.
const MOST_WAIT_MS: Millis = 640.0;

/// Limits the attempts of one balancer. Say [`Limiter::first`] of each request as it comes, ask
/// [`Limiter::allows`] before its first attempt and [`Limiter::allows_again`] before each other, and
/// say [`Limiter::stood`] or [`Limiter::failed`] when one has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Limiter {
    policy: Policy,
    nodes: f64,
    at: Millis,
    stood: f64,
    failed: f64,
    tokens: f64,
    out: f64,
    limit: f64,
    least_ms: Millis,
}

impl Limiter {
    /// A limiter that has seen nothing yet, of one balancer among so many.
    #[must_use]
    pub fn new(policy: Policy, nodes: u16, now: Millis) -> Self {
        let limit = if let Policy::Gradient { first, .. } = policy { first } else { 0.0 };
        let nodes = f64::from(nodes.max(1));
        let tokens = if let Policy::Share { fleet_kept, .. } = policy { fleet_kept / nodes } else { 0.0 };
        let (stood, failed, out) = (0.0, 0.0, 0.0);
        Self { policy, nodes, at: now, stood, failed, tokens, out, limit, least_ms: f64::INFINITY }
    }

    /// The number of balancers has changed.
    pub fn among(&mut self, nodes: u16) {
        self.nodes = f64::from(nodes.max(1));
    }

    /// What was counted, for a successor: attempts that failed, that stood, and what may be spent.
    #[must_use]
    pub fn counts(&self) -> [f64; 3] {
        [self.failed, self.stood, self.tokens]
    }

    /// Goes on from a predecessor's counts.
    pub fn take_over(&mut self, now: Millis, counts: [f64; 3]) {
        self.at = now;
        [self.failed, self.stood, self.tokens] = counts;
    }

    fn pass(&mut self, now: Millis) {
        let passed = (now - self.at).max(0.0);
        self.at = self.at.max(now);
        match self.policy {
            Policy::Slack { tau_ms, .. } | Policy::Accepts { tau_ms, .. } => {
                let fade = (-passed / tau_ms).exp();
                self.stood *= fade;
                self.failed *= fade;
            }
            Policy::Share { fleet_per_s, fleet_kept, tau_ms, .. } => {
                let fade = (-passed / tau_ms).exp();
                self.stood *= fade;
                self.failed *= fade;
                let earned = fleet_per_s / self.nodes * passed / 1_000.0;
                self.tokens = (self.tokens + earned).min((fleet_kept / self.nodes).max(1.0));
            }
            Policy::None | Policy::Gradient { .. } => {}
        }
    }

    /// A request has come.
    pub fn first(&mut self, now: Millis) {
        self.pass(now);
        if let Policy::Share { share, fleet_kept, .. } = self.policy {
            self.tokens = (self.tokens + share).min((fleet_kept / self.nodes).max(1.0));
        }
    }

    /// An attempt is sent.
    pub fn sent(&mut self) {
        self.out += 1.0;
    }

    /// An attempt stands, after so many ms.
    pub fn stood(&mut self, now: Millis, took_ms: Millis) {
        self.pass(now);
        self.stood += 1.0;
        self.out = (self.out - 1.0).max(0.0);
        if let Policy::Gradient { least, .. } = self.policy {
            self.least_ms = self.least_ms.min(took_ms.max(1.0));
            let gradient = (self.least_ms / took_ms.max(1.0)).clamp(0.5, 1.0);
            let next = self.limit * gradient + self.limit.sqrt();
            self.limit = (0.8 * self.limit + 0.2 * next).max(least);
        }
    }

    /// Attempts failed, as far as it is known whose fault that was.
    pub fn failed(&mut self, now: Millis, count: f64) {
        self.pass(now);
        self.failed += count;
        self.out = (self.out - count).max(0.0);
        if let Policy::Gradient { least, .. } = self.policy {
            self.limit = (self.limit * 0.9f64.powf(count)).max(least);
        }
    }

    /// May a request's first attempt be made? `uniform` is a random number in 0..1.
    pub fn allows(&mut self, now: Millis, uniform: f64) -> bool {
        self.pass(now);
        let all = self.failed + self.stood;
        let refused = match self.policy {
            Policy::None => 0.0,
            Policy::Slack { ratio, slack, .. } | Policy::Share { ratio, slack, .. } => {
                let excess = self.failed - (ratio - 1.0) * self.stood - slack;
                if excess > 0.0 { excess / all } else { 0.0 }
            }
            Policy::Accepts { ratio, .. } => ((all - ratio * self.stood) / (all + 1.0)).max(0.0),
            Policy::Gradient { .. } => f64::from(u8::from(self.out + 1.0 > self.limit + uniform)),
        };
        let allowed = uniform >= refused;
        if !allowed && !matches!(self.policy, Policy::None | Policy::Gradient { .. }) {
            // What is refused here counts as tried, or the limit would forget why it refuses.
            self.failed += 1.0;
        }
        allowed
    }

    /// May a request's next attempt be made, after one that failed?
    pub fn allows_again(&mut self, now: Millis, uniform: f64) -> bool {
        if !matches!(self.policy, Policy::Share { .. }) {
            return self.allows(now, uniform);
        }
        self.pass(now);
        // A part of one is spent by chance, and owed: in sum that is what was earned.
        let allowed = uniform < self.tokens;
        self.tokens -= f64::from(u8::from(allowed));
        allowed
    }

    /// How long to wait, in ms, before the attempt that follows failures at so many different hosts.
    #[must_use]
    pub fn wait_ms(hosts: usize, uniform: f64) -> Millis {
        if hosts < 2 {
            return 0.0;
        }
        uniform * (WAIT_MS * f64::from(1u32 << (hosts - 2).min(10))).min(MOST_WAIT_MS)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Uniform numbers in turn, evenly spread.
    struct Even(u64);
    impl Even {
        fn next(&mut self) -> f64 {
            self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (self.0 >> 11) as f64 / (1u64 << 53) as f64
        }
    }

    /// Of `nodes` balancers that each see `each` requests over 5 s, all of which fail wherever they go, or
    /// only at the first host: repeated attempts for each first one.
    fn storm(policy: &Policy, nodes: u16, each: u32, everywhere: bool) -> f64 {
        let (mut even, mut again) = (Even(7), 0u32);
        for _ in 0..nodes {
            let mut limiter = Limiter::new(policy.clone(), nodes, 0.0);
            for at in 0..each {
                let now = f64::from(at) * 5_000.0 / f64::from(each);
                limiter.first(now);
                if !limiter.allows(now, even.next()) {
                    continue;
                }
                limiter.failed(now, 1.0);
                let mut hosts = 1;
                while hosts < 5 && limiter.allows_again(now, even.next()) {
                    (again, hosts) = (again + 1, hosts + 1);
                    if !everywhere {
                        limiter.stood(now, 5.0);
                        break;
                    }
                    limiter.failed(now, 1.0);
                }
            }
        }
        f64::from(again) / f64::from(each * u32::from(nodes))
    }

    #[test]
    fn a_share_is_the_same_share_over_few_balancers_and_over_many() {
        let few = storm(&Policy::share(), 3, 700, false);
        let many = storm(&Policy::share(), 300, 7, false);
        assert!((0.18..0.3).contains(&few), "{few}");
        assert!((0.18..0.3).contains(&many), "{many}");
    }

    #[test]
    fn a_fixed_slack_is_no_limit_where_each_balancer_sees_little() {
        let slack = Policy::Slack { ratio: 1.5, slack: 3.0, tau_ms: 5_000.0 };
        let (few, many) = (storm(&slack, 3, 700, true), storm(&slack, 300, 2, true));
        assert!(few < 0.3, "{few}");
        assert!(many > 1.5, "{many}");
    }

    #[test]
    fn a_few_hosts_that_fail_do_not_turn_clients_away_and_a_fleet_that_fails_does() {
        let (mut limiter, mut even) = (Limiter::new(Policy::share(), 300, 0.0), Even(9));
        for at in 0..200 {
            let now = f64::from(at) * 300.0;
            limiter.first(now);
            assert!(limiter.allows(now, even.next()));
            // One in five fails first, and stands at the second host.
            if at % 5 == 0 {
                limiter.failed(now, 1.0);
            }
            limiter.stood(now, 5.0);
        }
        let mut allowed = 0;
        for at in 0..200 {
            let now = 60_000.0 + f64::from(at) * 300.0;
            if limiter.allows(now, even.next()) {
                allowed += 1;
                limiter.failed(now, 2.0);
            }
        }
        assert!((2..60).contains(&allowed), "{allowed}");
    }

    #[test]
    fn accepts_and_the_gradient_limit_a_storm_as_well() {
        let accepts = Policy::Accepts { ratio: 2.0, tau_ms: 10_000.0 };
        assert!(storm(&accepts, 3, 700, true) < storm(&Policy::None, 3, 700, true) / 4.0);
        assert!(storm(&Policy::share(), 300, 7, true) < 0.3);
        let mut gradient = Limiter::new(Policy::Gradient { first: 8.0, least: 1.0 }, 3, 0.0);
        for at in 0..40 {
            gradient.failed(f64::from(at), 1.0);
        }
        gradient.sent();
        assert!(!gradient.allows(50.0, 0.0));
        for at in 0..200 {
            gradient.sent();
            gradient.stood(60.0 + f64::from(at), 10.0);
        }
        gradient.sent();
        assert!(gradient.allows(300.0, 0.0));
    }

    #[test]
    fn nothing_is_limited_while_all_stands() {
        for policy in [
            Policy::None,
            Policy::share(),
            Policy::Slack { ratio: 1.5, slack: 3.0, tau_ms: 5_000.0 },
            Policy::Accepts { ratio: 2.0, tau_ms: 10_000.0 },
            Policy::Gradient { first: 8.0, least: 1.0 },
        ] {
            let (mut limiter, mut even) = (Limiter::new(policy.clone(), 300, 0.0), Even(3));
            for at in 0..1_000 {
                let now = f64::from(at) * 30.0;
                limiter.first(now);
                assert!(limiter.allows(now, even.next()), "{policy:?} at {at}");
                limiter.sent();
                limiter.stood(now + 5.0, 5.0);
            }
        }
    }

    #[test]
    fn waits_grow_with_the_hosts_that_failed_and_are_bounded() {
        assert_eq!(Limiter::wait_ms(1, 0.9), 0.0);
        assert_eq!(Limiter::wait_ms(2, 0.5), 10.0);
        assert_eq!(Limiter::wait_ms(4, 0.5), 40.0);
        assert_eq!(Limiter::wait_ms(60, 1.0), MOST_WAIT_MS);
    }

    proptest! {
        #[test]
        fn a_share_is_never_exceeded_by_more_than_what_it_keeps(
            steps in proptest::collection::vec((0.0..500.0f64, any::<bool>(), 0.0..1.0f64), 1..200)
        ) {
            let mut limiter = Limiter::new(Policy::share(), 10, 0.0);
            let (mut now, mut first, mut again) = (0.0, 0.0, 0.0);
            for (passed, is_first, uniform) in steps {
                now += passed;
                if is_first {
                    limiter.first(now);
                    first += 1.0;
                } else if limiter.allows_again(now, uniform) {
                    again += 1.0;
                }
            }
            prop_assert!(again <= 0.2 * first + now / 1_000.0 + 4.0);
        }
    }
}
