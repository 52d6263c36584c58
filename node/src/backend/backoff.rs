//! Exponential backoff between attempts at one server.

use crate::io::clock::Millis;

/// Wait after the first failure, in milliseconds.
const INITIAL_WAIT_MS: Millis = 25.0;
/// Maximum wait, in milliseconds.
const MAX_WAIT_MS: Millis = 400.0;

/// A wait that doubles with each failure, up to a maximum.
#[derive(Debug)]
pub struct Backoff {
    next_ms: Millis,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next_ms: INITIAL_WAIT_MS }
    }
}

impl Backoff {
    /// Returns how long to wait after one more failure, in milliseconds.
    pub fn next_wait(&mut self) -> Millis {
        let wait_ms = self.next_ms;
        self.next_ms = (wait_ms * 2.0).min(MAX_WAIT_MS);
        wait_ms
    }
}
