//! Timing of calls to discovery, which serves the list of servers to all balancers.
//!
//! All balancers start, or lose discovery, at the same moment, and discovery handles calls one after another, so
//! calls are spread out. Discovery also handles calls whose caller has timed out: balancers that time out before
//! discovery drops their call, and call again, would keep it busy forever with responses that nobody reads. A call
//! therefore times out only after discovery would have dropped it, and a call that follows a rejected or unanswered
//! one waits twice as long.
//!
//! A balancer must know a change within [`MAX_PROPAGATION_MS`] after discovery became reachable, regardless of
//! earlier failures, so no delay here may grow with the number of failures. A test of this package checks the sums:
//!
//! - a watch that receives nothing, from its last line to the response of the call that replaces it:
//!   [`WATCH_TIMEOUT_MS`] + [`retry_delay`] + [`QUEUE_TIMEOUT_MS`];
//! - a call that was sent just before discovery came back and is never answered, and the next call:
//!   [`RESPONSE_TIMEOUT_MS`] + [`retry_delay`] + [`QUEUE_TIMEOUT_MS`];
//! - a connection attempt that was started just before discovery became reachable, and the next one:
//!   [`CONNECT_TIMEOUT_MS`] + [`retry_delay`] + [`QUEUE_TIMEOUT_MS`];
//! - two calls after discovery came back, the first of which timed out in its queue:
//!   [`retry_delay`] + [`QUEUE_TIMEOUT_MS`], twice.
//!
//! The bound does not hold where a running discovery drops, without a response, a call that follows a rejected one:
//! such a call takes [`OVERLOADED_RESPONSE_TIMEOUT_MS`] in place of [`RESPONSE_TIMEOUT_MS`].

use crate::Millis;

/// Maximum time until a balancer knows a change, from when discovery has the change and is reachable.
pub const MAX_PROPAGATION_MS: Millis = 6_000.0;
/// Time after which discovery drops a call that is still queued.
pub const QUEUE_TIMEOUT_MS: Millis = 2_000.0;
/// Longest queue timeout of a discovery service for which [`RESPONSE_TIMEOUT_MS`] is sufficient.
pub const MAX_QUEUE_TIMEOUT_MS: Millis = 3_000.0;
/// Maximum time to wait for a connection to discovery.
pub const CONNECT_TIMEOUT_MS: Millis = 1_500.0;
/// Maximum time to wait for the start of a response; longer than discovery keeps a call queued.
pub const RESPONSE_TIMEOUT_MS: Millis = 3_200.0;
/// The same for a call that follows a rejected or unanswered one: discovery is overloaded, and its queue timeout is
/// not known.
pub const OVERLOADED_RESPONSE_TIMEOUT_MS: Millis = 2.0 * RESPONSE_TIMEOUT_MS;
/// Time without any line after which a watch is stale. A healthy one receives at least an empty line every 2 s.
pub const WATCH_TIMEOUT_MS: Millis = 2_500.0;

/// Time per balancer over which the initial calls of a fleet are spread.
const SPREAD_PER_BALANCER_MS: Millis = 20.0;
/// Minimum and maximum delay before another call.
const RETRY_DELAY_RANGE_MS: [Millis; 2] = [250.0, 750.0];

/// Returns the delay in ms before the first call of a balancer that starts, in a fleet of this size where each must
/// call within `within_ms`. `uniform` is a random number in 0..1.
#[must_use]
pub fn initial_delay(balancers: u16, within_ms: Millis, uniform: f64) -> Millis {
    (SPREAD_PER_BALANCER_MS * f64::from(balancers)).min(within_ms / 4.0) * uniform
}

/// Returns the delay in ms after a failed call or a watch that ended. `uniform` is a random number in 0..1.
#[must_use]
pub fn retry_delay(uniform: f64) -> Millis {
    RETRY_DELAY_RANGE_MS[0] + (RETRY_DELAY_RANGE_MS[1] - RETRY_DELAY_RANGE_MS[0]) * uniform
}
