//! When to call a service that is one for all balancers: the list of hosts; and how long to wait for what it says.
//!
//! All balancers start, or lose it, at the same moment, and it works through calls in turn: calls are spread. It works
//! through those as well that nobody waits for any more: balancers that give up before it does, and call again, keep it
//! busy for ever with calls that are answered to nobody. So a call is given up only once the service would have ended
//! it, and one that is made after the service has refused or not answered another is waited for twice as long.
//!
//! But what it has to tell counts as told [`TOLD_MS`] after it could be reached, whatever has failed before, so nothing
//! here may grow with the number of failures. The sums are kept by a test of this package:
//!
//! - a watch that brings nothing, from its last line to the answer of the call that takes its place:
//!   [`SILENT_MS`] + [`again`] + [`TURN_MS`];
//! - a call that was made just before the service came back and is never answered, and the next:
//!   [`ANSWER_MS`] + [`again`] + [`TURN_MS`];
//! - a connection that was begun just before the service could be reached, and the next:
//!   [`CONNECT_MS`] + [`again`] + [`TURN_MS`];
//! - two calls after the service came back, the first of which was not served in its turn:
//!   [`again`] + [`TURN_MS`] twice.
//!
//! Not kept where a service at work drops a call unanswered that was made after a refusal: then it is [`BUSY_MS`] in
//! place of [`ANSWER_MS`].

use crate::Millis;

/// What the service has to tell counts as told so long after it had that and could be reached.
pub const TOLD_MS: Millis = 6_000.0;
/// A service gives up on a call that has waited for its turn for so long ...
pub const TURN_MS: Millis = 2_000.0;
/// ... or, where it is more patient, for so long.
pub const LONGEST_TURN_MS: Millis = 3_000.0;
/// A connection to it comes up within this time, or it can't be reached.
pub const CONNECT_MS: Millis = 1_500.0;
/// A call must begin to be answered within this time, or it is given up: the service has not.
pub const ANSWER_MS: Millis = 3_200.0;
/// The same for a call after one that was refused or not answered: there are more calls than it can do, and how long
/// it lets them wait is told nowhere.
pub const BUSY_MS: Millis = 2.0 * ANSWER_MS;
/// A watch brings at least an empty line every 2 s; one that brings none for so long is stale.
pub const SILENT_MS: Millis = 2_500.0;

/// So many ms for each balancer to spread first calls over.
const SPREAD_MS: Millis = 20.0;
/// The shortest and the longest wait before another call.
const AGAIN_MS: [Millis; 2] = [250.0, 750.0];

/// How long, in ms, a balancer that starts waits before it calls, where there are so many and each has to
/// ask within that time. `uniform` is a random number in 0..1.
#[must_use]
pub fn first(nodes: u16, within_ms: Millis, uniform: f64) -> Millis {
    (SPREAD_MS * f64::from(nodes)).min(within_ms / 4.0) * uniform
}

/// How long, in ms, it waits after a call that failed or a watch that ended. `uniform` is a random number in 0..1.
#[must_use]
pub fn again(uniform: f64) -> Millis {
    AGAIN_MS[0] + (AGAIN_MS[1] - AGAIN_MS[0]) * uniform
}
