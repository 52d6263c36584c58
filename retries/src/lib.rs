//! Limits on retries while many attempts fail, without communication between balancers.
//!
//! Three hundred balancers that each permit themselves three consecutive failures permit the fleet nine hundred.
//! A [`Limiter`] therefore permits a share of the incoming requests plus a fleet-wide rate divided by the number of
//! balancers, and spends fractions of a retry at random: the sum over the fleet is then as intended, however little
//! traffic each balancer sees.
//!
//! The library does no I/O, reads no clock and draws no random numbers: time and uniform numbers are arguments. The
//! policies are those that `docs/design/fleet-decisions.md` compares.
//!
//! ```
//! use marllink_retries::{Limiter, Policy};
//!
//! let mut limiter = Limiter::new(Policy::share(), 300, 0.0);
//! limiter.record_request(0.0);
//! // The request has earned 0.2 of a retry, and the initial budget is a 300th of 6: the draw decides.
//! assert!(limiter.allows_retry(0.0, 0.2));
//! assert!(!limiter.allows_retry(0.0, 0.2));
//! ```

mod idempotency;

pub use idempotency::{DedupScope, Idempotency, PossibleExecution};

use serde::{Deserialize, Serialize};

/// Milliseconds, as a point on the caller's monotonic clock or as a duration.
pub type Millis = f64;

/// How attempts are limited.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Policy {
    /// No limit.
    None,
    /// Rejects first attempts and retries alike, once the ratio of attempts to successes exceeds a limit by more than
    /// a fixed number of failures.
    Slack {
        /// Permitted attempts per success.
        ratio: f64,
        /// Failures permitted in addition, whatever the ratio.
        slack: f64,
        /// Time constant of the counts, in ms.
        tau_ms: Millis,
    },
    /// Limits retries to a share of the first attempts, and first attempts as `Slack` does.
    Share {
        /// Retries earned by each first attempt.
        share: f64,
        /// Retries per second earned in addition, over the whole fleet.
        fleet_per_s: f64,
        /// Maximum number of unspent retries over the whole fleet; each balancer may accumulate one in any case.
        #[serde(rename = "fleet_kept")]
        fleet_burst: f64,
        /// Permitted attempts per success.
        ratio: f64,
        /// Failures of first attempts permitted in addition, as a new client does not contribute to a retry storm.
        slack: f64,
        /// Time constant of the counts, in ms.
        tau_ms: Millis,
    },
    /// Rejects first attempts and retries alike, by the share of successes (client-side throttling of the SRE book).
    Accepts {
        /// Permitted attempts per success.
        ratio: f64,
        /// Time constant of the counts, in ms.
        tau_ms: Millis,
    },
    /// Limits the attempts in flight by the gradient of their latency.
    Gradient {
        /// Initial limit of attempts in flight.
        #[serde(rename = "first")]
        initial_limit: f64,
        /// Minimum limit of attempts in flight.
        #[serde(rename = "least")]
        min_limit: f64,
    },
}

impl Policy {
    /// Returns the share policy with the values that the balancer uses.
    #[must_use]
    pub fn share() -> Self {
        Self::Share {
            share: 0.2,
            fleet_per_s: 10.0,
            fleet_burst: 6.0,
            ratio: 1.5,
            slack: 4.0,
            tau_ms: 5_000.0,
        }
    }
}

/// Upper bound of the first delay before a retry, in ms; doubles with each further server that failed.
const BACKOFF_MS: Millis = 20.0;
/// Upper bound of all delays before a retry, in ms.
const MAX_BACKOFF_MS: Millis = 640.0;

/// Limits the attempts of one balancer. Call [`Limiter::record_request`] for each new request,
/// [`Limiter::allows_first`] before its first attempt and [`Limiter::allows_retry`] before each other, and
/// [`Limiter::record_success`] or [`Limiter::record_failures`] when an attempt has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Limiter {
    policy: Policy,
    balancers: f64,
    updated_at: Millis,
    succeeded: f64,
    failed: f64,
    tokens: f64,
    in_flight: f64,
    limit: f64,
    min_latency_ms: Millis,
}

impl Limiter {
    /// Creates the limiter of one balancer in a fleet of this size.
    #[must_use]
    pub fn new(policy: Policy, balancers: u16, now: Millis) -> Self {
        let limit = if let Policy::Gradient { initial_limit, .. } = policy { initial_limit } else { 0.0 };
        let balancers = f64::from(balancers.max(1));
        let tokens =
            if let Policy::Share { fleet_burst, .. } = policy { fleet_burst / balancers } else { 0.0 };
        let (succeeded, failed, in_flight) = (0.0, 0.0, 0.0);
        Self {
            policy,
            balancers,
            updated_at: now,
            succeeded,
            failed,
            tokens,
            in_flight,
            limit,
            min_latency_ms: f64::INFINITY,
        }
    }

    /// Sets the number of balancers in the fleet.
    pub fn set_balancer_count(&mut self, balancers: u16) {
        self.balancers = f64::from(balancers.max(1));
    }

    /// Returns the state for a handover: failed attempts, successful attempts, and unspent retries.
    #[must_use]
    pub fn counts(&self) -> [f64; 3] {
        [self.failed, self.succeeded, self.tokens]
    }

    /// Restores the counts of a predecessor.
    pub fn restore(&mut self, now: Millis, counts: [f64; 3]) {
        self.updated_at = now;
        [self.failed, self.succeeded, self.tokens] = counts;
    }

    fn advance(&mut self, now: Millis) {
        let elapsed_ms = (now - self.updated_at).max(0.0);
        self.updated_at = self.updated_at.max(now);
        match self.policy {
            Policy::Slack { tau_ms, .. } | Policy::Accepts { tau_ms, .. } => {
                let decay = (-elapsed_ms / tau_ms).exp();
                self.succeeded *= decay;
                self.failed *= decay;
            }
            Policy::Share { fleet_per_s, fleet_burst, tau_ms, .. } => {
                let decay = (-elapsed_ms / tau_ms).exp();
                self.succeeded *= decay;
                self.failed *= decay;
                let earned = fleet_per_s / self.balancers * elapsed_ms / 1_000.0;
                self.tokens = (self.tokens + earned).min((fleet_burst / self.balancers).max(1.0));
            }
            Policy::None | Policy::Gradient { .. } => {}
        }
    }

    /// Records a new request.
    pub fn record_request(&mut self, now: Millis) {
        self.advance(now);
        if let Policy::Share { share, fleet_burst, .. } = self.policy {
            self.tokens = (self.tokens + share).min((fleet_burst / self.balancers).max(1.0));
        }
    }

    /// Records that an attempt was sent.
    pub fn record_attempt(&mut self) {
        self.in_flight += 1.0;
    }

    /// Records an attempt that succeeded after `latency_ms`.
    pub fn record_success(&mut self, now: Millis, latency_ms: Millis) {
        self.advance(now);
        self.succeeded += 1.0;
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        if let Policy::Gradient { min_limit, .. } = self.policy {
            self.min_latency_ms = self.min_latency_ms.min(latency_ms.max(1.0));
            let gradient = (self.min_latency_ms / latency_ms.max(1.0)).clamp(0.5, 1.0);
            let next = self.limit * gradient + self.limit.sqrt();
            self.limit = (0.8 * self.limit + 0.2 * next).max(min_limit);
        }
    }

    /// Records `count` failed attempts, once the cause of the failures is known.
    pub fn record_failures(&mut self, now: Millis, count: f64) {
        self.advance(now);
        self.failed += count;
        self.in_flight = (self.in_flight - count).max(0.0);
        if let Policy::Gradient { min_limit, .. } = self.policy {
            self.limit = (self.limit * 0.9f64.powf(count)).max(min_limit);
        }
    }

    /// Returns whether the first attempt of a request may be made. `uniform` is a random number in 0..1.
    pub fn allows_first(&mut self, now: Millis, uniform: f64) -> bool {
        self.advance(now);
        let total = self.failed + self.succeeded;
        let rejection_ratio = match self.policy {
            Policy::None => 0.0,
            Policy::Slack { ratio, slack, .. } | Policy::Share { ratio, slack, .. } => {
                let excess = self.failed - (ratio - 1.0) * self.succeeded - slack;
                if excess > 0.0 { excess / total } else { 0.0 }
            }
            Policy::Accepts { ratio, .. } => ((total - ratio * self.succeeded) / (total + 1.0)).max(0.0),
            Policy::Gradient { .. } => f64::from(u8::from(self.in_flight + 1.0 > self.limit + uniform)),
        };
        let allowed = uniform >= rejection_ratio;
        if !allowed && !matches!(self.policy, Policy::None | Policy::Gradient { .. }) {
            // Counts a rejected attempt as failed: otherwise the counts that cause the rejections would decay.
            self.failed += 1.0;
        }
        allowed
    }

    /// Returns whether a retry may be made after a failed attempt. `uniform` is a random number in 0..1.
    pub fn allows_retry(&mut self, now: Millis, uniform: f64) -> bool {
        if !matches!(self.policy, Policy::Share { .. }) {
            return self.allows_first(now, uniform);
        }
        self.advance(now);
        // A fraction of a retry is spent at random and leaves a debt: the sum equals what was earned.
        let allowed = uniform < self.tokens;
        self.tokens -= f64::from(u8::from(allowed));
        allowed
    }

    /// Returns the delay in ms before the attempt that follows failures of `servers` different servers.
    #[must_use]
    pub fn backoff_ms(servers: usize, uniform: f64) -> Millis {
        if servers < 2 {
            return 0.0;
        }
        uniform * (BACKOFF_MS * f64::from(1u32 << (servers - 2).min(10))).min(MAX_BACKOFF_MS)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Linear congruential generator with a fixed seed.
    struct TestRng(u64);
    impl TestRng {
        fn next(&mut self) -> f64 {
            self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (self.0 >> 11) as f64 / (1u64 << 53) as f64
        }
    }

    /// Returns the retries per request of a fleet whose balancers each receive `requests_each` requests over 5 s. All
    /// requests fail, on every server or on the first server only.
    fn retries_per_request(
        policy: &Policy,
        balancers: u16,
        requests_each: u32,
        on_every_server: bool,
    ) -> f64 {
        let (mut rng, mut retries) = (TestRng(7), 0u32);
        for _ in 0..balancers {
            let mut limiter = Limiter::new(policy.clone(), balancers, 0.0);
            for at in 0..requests_each {
                let now = f64::from(at) * 5_000.0 / f64::from(requests_each);
                limiter.record_request(now);
                if !limiter.allows_first(now, rng.next()) {
                    continue;
                }
                limiter.record_failures(now, 1.0);
                let mut servers = 1;
                while servers < 5 && limiter.allows_retry(now, rng.next()) {
                    (retries, servers) = (retries + 1, servers + 1);
                    if !on_every_server {
                        limiter.record_success(now, 5.0);
                        break;
                    }
                    limiter.record_failures(now, 1.0);
                }
            }
        }
        f64::from(retries) / f64::from(requests_each * u32::from(balancers))
    }

    #[test]
    fn the_retry_share_does_not_depend_on_the_number_of_balancers() {
        let few = retries_per_request(&Policy::share(), 3, 700, false);
        let many = retries_per_request(&Policy::share(), 300, 7, false);
        assert!((0.18..0.3).contains(&few), "{few}");
        assert!((0.18..0.3).contains(&many), "{many}");
    }

    #[test]
    fn a_fixed_slack_does_not_limit_a_fleet_whose_balancers_each_see_little_traffic() {
        let slack = Policy::Slack { ratio: 1.5, slack: 3.0, tau_ms: 5_000.0 };
        let (few, many) =
            (retries_per_request(&slack, 3, 700, true), retries_per_request(&slack, 300, 2, true));
        assert!(few < 0.3, "{few}");
        assert!(many > 1.5, "{many}");
    }

    #[test]
    fn first_attempts_are_rejected_when_the_fleet_fails_and_not_when_a_few_servers_fail() {
        let (mut limiter, mut rng) = (Limiter::new(Policy::share(), 300, 0.0), TestRng(9));
        for at in 0..200 {
            let now = f64::from(at) * 300.0;
            limiter.record_request(now);
            assert!(limiter.allows_first(now, rng.next()));
            // One request in five fails on the first server and succeeds on the second.
            if at % 5 == 0 {
                limiter.record_failures(now, 1.0);
            }
            limiter.record_success(now, 5.0);
        }
        let mut allowed = 0;
        for at in 0..200 {
            let now = 60_000.0 + f64::from(at) * 300.0;
            if limiter.allows_first(now, rng.next()) {
                allowed += 1;
                limiter.record_failures(now, 2.0);
            }
        }
        assert!((2..60).contains(&allowed), "{allowed}");
    }

    #[test]
    fn the_accepts_and_gradient_policies_limit_a_retry_storm() {
        let accepts = Policy::Accepts { ratio: 2.0, tau_ms: 10_000.0 };
        assert!(
            retries_per_request(&accepts, 3, 700, true)
                < retries_per_request(&Policy::None, 3, 700, true) / 4.0
        );
        assert!(retries_per_request(&Policy::share(), 300, 7, true) < 0.3);
        let mut gradient = Limiter::new(Policy::Gradient { initial_limit: 8.0, min_limit: 1.0 }, 3, 0.0);
        for at in 0..40 {
            gradient.record_failures(f64::from(at), 1.0);
        }
        gradient.record_attempt();
        assert!(!gradient.allows_first(50.0, 0.0));
        for at in 0..200 {
            gradient.record_attempt();
            gradient.record_success(60.0 + f64::from(at), 10.0);
        }
        gradient.record_attempt();
        assert!(gradient.allows_first(300.0, 0.0));
    }

    #[test]
    fn no_policy_limits_attempts_while_all_succeed() {
        for policy in [
            Policy::None,
            Policy::share(),
            Policy::Slack { ratio: 1.5, slack: 3.0, tau_ms: 5_000.0 },
            Policy::Accepts { ratio: 2.0, tau_ms: 10_000.0 },
            Policy::Gradient { initial_limit: 8.0, min_limit: 1.0 },
        ] {
            let (mut limiter, mut rng) = (Limiter::new(policy.clone(), 300, 0.0), TestRng(3));
            for at in 0..1_000 {
                let now = f64::from(at) * 30.0;
                limiter.record_request(now);
                assert!(limiter.allows_first(now, rng.next()), "{policy:?} at {at}");
                limiter.record_attempt();
                limiter.record_success(now + 5.0, 5.0);
            }
        }
    }

    #[test]
    fn backoff_grows_with_the_number_of_failed_servers_and_is_bounded() {
        assert_eq!(Limiter::backoff_ms(1, 0.9), 0.0);
        assert_eq!(Limiter::backoff_ms(2, 0.5), 10.0);
        assert_eq!(Limiter::backoff_ms(4, 0.5), 40.0);
        assert_eq!(Limiter::backoff_ms(60, 1.0), MAX_BACKOFF_MS);
    }

    proptest! {
        #[test]
        fn retries_never_exceed_the_share_by_more_than_the_burst(
            steps in proptest::collection::vec((0.0..500.0f64, any::<bool>(), 0.0..1.0f64), 1..200)
        ) {
            let mut limiter = Limiter::new(Policy::share(), 10, 0.0);
            let (mut now, mut requests, mut retries) = (0.0, 0.0, 0.0);
            for (elapsed_ms, is_first, uniform) in steps {
                now += elapsed_ms;
                if is_first {
                    limiter.record_request(now);
                    requests += 1.0;
                } else if limiter.allows_retry(now, uniform) {
                    retries += 1.0;
                }
            }
            prop_assert!(retries <= 0.2 * requests + now / 1_000.0 + 4.0);
        }
    }
}
