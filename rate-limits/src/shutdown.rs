//! Time budget of each phase of a graceful shutdown.
//!
//! SIGKILL follows SIGTERM after the longest deadline and a margin. All phases are fractions of that time, so that a
//! deployment with short deadlines runs through all phases in less time instead of being killed half-way.

use crate::Millis;

/// Minimum time for which new connections are accepted after SIGTERM: the front end sends them for another 400 ms,
/// and the margin is for a process that lags behind.
const MIN_ACCEPT_MS: Millis = 450.0;
/// Upper bound for the longest deadline: a longer one counts as this.
const MAX_DEADLINE_MS: Millis = 3_000.0;
/// Time from the longest deadline to SIGKILL.
const KILL_MARGIN_MS: Millis = 700.0;

/// Fractions of the time until SIGKILL. Clients are moved as late as possible: balancers are restarted one after
/// another, and a client that is moved early may find the previous one still down. The time after the last move is
/// for responses to waiting clients, and for all clients to receive them and close.
const SERVE_RATIO: f64 = 17.0 / 37.0;
const ANSWER_RATIO: f64 = 26.0 / 37.0;
const EXIT_RATIO: f64 = 31.0 / 37.0;
/// With a successor, connections are handed over first, and the rest is moved over a longer time.
const HANDOVER_RATIO: f64 = 10.0 / 37.0;

/// Phases of a graceful shutdown, each in ms after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Until then new connections are served as before and no client is moved.
    pub serve_until: Millis,
    /// With a successor that accepts clients: until then connections are handed over and no client is moved.
    pub handover_until: Millis,
    /// By then all clients are moved; requests that still wait, or arrive later, are answered at once.
    pub answer_pending_at: Millis,
    /// The process exits, whatever is left.
    pub exit_at: Millis,
    /// The earliest SIGKILL.
    pub kill_at: Millis,
}

impl ShutdownSchedule {
    /// Creates the schedule for the longest deadline of any client, in ms; 0 if unknown.
    #[must_use]
    pub fn for_deadline(longest_deadline_ms: Millis) -> Self {
        let deadline = if longest_deadline_ms > 0.0 {
            longest_deadline_ms.min(MAX_DEADLINE_MS)
        } else {
            MAX_DEADLINE_MS
        };
        let kill_at = deadline + KILL_MARGIN_MS;
        Self {
            serve_until: (kill_at * SERVE_RATIO).max(MIN_ACCEPT_MS),
            handover_until: kill_at * HANDOVER_RATIO,
            answer_pending_at: kill_at * ANSWER_RATIO,
            exit_at: kill_at * EXIT_RATIO,
            kill_at,
        }
    }
}
