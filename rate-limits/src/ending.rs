//! How long each part of a planned end may take.
//!
//! SIGKILL comes the longest deadline and some more after SIGTERM; all parts are shares of that time, so that a
//! deployment with short deadlines has a short end, and not the first half of a long one.

use crate::Millis;

/// The front sends newcomers for so long after SIGTERM, and as much more for a process that is behind.
const NEWCOMERS_MS: Millis = 450.0;
/// A longer deadline counts as this ...
const LONGEST_MS: Millis = 3_000.0;
/// ... and SIGKILL comes so much after it.
const MORE_MS: Millis = 700.0;

/// Shares of the time until SIGKILL. Clients are moved as late as can be: balancers are restarted one after
/// another, and who is moved early may find the one before still down. What is left after the last move is for
/// the answers of those that wait, and for all to take them and close.
const SERVE_ON: f64 = 17.0 / 37.0;
const ANSWER_ALL: f64 = 26.0 / 37.0;
const LEAVE: f64 = 31.0 / 37.0;
/// With a successor, connections are passed on first and the rest is moved over a longer time.
const PASS_ON: f64 = 10.0 / 37.0;

/// The parts of an end, each in ms after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ending {
    /// Newcomers are served as before and nobody is moved until then.
    pub serve_until: Millis,
    /// A process whose successor takes clients passes its connections on until then, and moves nobody.
    pub pass_until: Millis,
    /// By then all are moved; who still waits, or has not asked yet, has its answer now.
    pub answer_at: Millis,
    /// Whatever is left, the process leaves.
    pub leave_at: Millis,
    /// The earliest SIGKILL.
    pub killed_at: Millis,
}

impl Ending {
    /// The end of a process whose clients wait so long at most; 0 if that is not known.
    #[must_use]
    pub fn within(longest_deadline_ms: Millis) -> Self {
        let longest =
            if longest_deadline_ms > 0.0 { longest_deadline_ms.min(LONGEST_MS) } else { LONGEST_MS };
        let killed_at = longest + MORE_MS;
        Self {
            serve_until: (killed_at * SERVE_ON).max(NEWCOMERS_MS),
            pass_until: killed_at * PASS_ON,
            answer_at: killed_at * ANSWER_ALL,
            leave_at: killed_at * LEAVE,
            killed_at,
        }
    }
}
