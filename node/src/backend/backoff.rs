//! Growing waits between attempts at one server.

use crate::io::clock::Millis;

/// The wait after the first failure.
const FIRST_WAIT_MS: Millis = 25.0;
/// No wait is longer.
const LONGEST_WAIT_MS: Millis = 400.0;

/// Waits that double from one failure to the next, up to a bound.
#[derive(Debug)]
pub struct Backoff {
    next_ms: Millis,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next_ms: FIRST_WAIT_MS }
    }
}

impl Backoff {
    /// How long to wait after one more failure, in milliseconds.
    pub fn next_wait(&mut self) -> Millis {
        let wait = self.next_ms;
        self.next_ms = (wait * 2.0).min(LONGEST_WAIT_MS);
        wait
    }
}
