//! When to call a service that is one for all balancers: the list of hosts.
//!
//! All balancers start, or lose it, at the same moment, and it works through calls in turn: first calls are
//! spread over the time that it takes to answer all, later ones back off and spread, yet come well within
//! the time in which a balancer has to ask.

use crate::Millis;

/// So many ms for each balancer to spread first calls over.
const SPREAD_MS: Millis = 20.0;
/// First wait in ms before another call; doubled with each failure, spread by half.
const AGAIN_MS: Millis = 500.0;

/// How long, in ms, a balancer that starts waits before it calls, where there are so many and each has to
/// ask within that time. `uniform` is a random number in 0..1.
#[must_use]
pub fn first(nodes: u16, within_ms: Millis, uniform: f64) -> Millis {
    (SPREAD_MS * f64::from(nodes)).min(within_ms / 4.0) * uniform
}

/// How long, in ms, it waits after a call that failed, when so many have failed before.
#[must_use]
pub fn again(failed: u32, within_ms: Millis, uniform: f64) -> Millis {
    (AGAIN_MS * f64::from(1u32 << failed.min(10))).min(within_ms / 2.0) * (0.5 + uniform)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn first_calls_spread_with_the_fleet_and_later_ones_back_off_within_the_time_to_ask() {
        assert_eq!((first(100, 10_000.0, 0.5), first(1_000, 10_000.0, 1.0)), (1_000.0, 2_500.0));
        assert_eq!((again(0, 10_000.0, 0.5), again(2, 10_000.0, 0.0)), (500.0, 1_000.0));
        assert_eq!(again(40, 10_000.0, 1.0), 7_500.0);
    }
}
