//! Log entries that servers and clients write for the checkers.

use super::Millis;
use marllink_lease_protocol::{Ballot, SessionId};
use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time on the experiment's clock, independent of the writer's own clock.
    pub at: Millis,
    /// Name of the writer: a server, a client or the supervisor of the balancers.
    pub by: String,
    /// The event.
    #[serde(flatten)]
    pub note: Note,
}

/// An event of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "note", rename_all = "kebab-case")]
pub enum Note {
    /// A server has acquired its first lease on a session, and holds the session from now on.
    #[serde(rename = "holds")]
    LeaseAcquired {
        /// The session.
        session: String,
        /// The ballot under which the server holds it.
        ballot: Ballot,
    },
    /// A server has received the state of a session, up to the save `upto`.
    #[serde(rename = "begins")]
    StateLoaded {
        /// The session.
        session: String,
        /// The ballot under which the server holds it.
        ballot: Ballot,
        /// Number of the last save in the state.
        upto: u64,
        /// Names and latest values of the fields.
        fields: Vec<(String, String)>,
    },
    /// A server has applied a save.
    #[serde(rename = "applies")]
    SaveApplied {
        /// The session.
        session: String,
        /// The ballot under which the server holds it.
        ballot: Ballot,
        /// Number of the save.
        n: u64,
        /// Name of the field.
        name: String,
        /// Value of the field.
        value: String,
    },
    /// A server no longer holds a session: it closed the connection or its lease expired.
    #[serde(rename = "lets-go")]
    LeaseReleased {
        /// The session.
        session: String,
        /// The ballot under which the server held it.
        ballot: Ballot,
        /// Time between the release by the server's own clock and this entry, on the clock of the log. A lease may
        /// expire while the server is stalled.
        late_ms: Millis,
    },
    /// A client has requested a new session, or to resume its session.
    #[serde(rename = "asks")]
    OpenSent {
        /// Number of the client's connection.
        connection: u64,
        /// Index of the balancer.
        balancer: usize,
        /// The kind of token in the request.
        token: TokenKind,
    },
    /// A client has received the final answer to its request.
    Answered {
        /// Number of the client's connection.
        connection: u64,
        /// First word of the answer; empty if the connection ended without one.
        word: String,
        /// The kind of token in the request.
        token: TokenKind,
    },
    /// An established connection of a client has ended.
    #[serde(rename = "ends")]
    ConnectionEnded {
        /// Number of the client's connection.
        connection: u64,
        /// The closing message `MOVE`, `TAKEN` or `BYE`, or `closed` or `reset` without one.
        how: String,
    },
    /// A client has sent a save for the first time, or with a new value.
    #[serde(rename = "sends")]
    SaveSent {
        /// Number of the save.
        n: u64,
        /// Name of the field.
        name: String,
        /// Value of the field.
        value: String,
    },
    /// A client has received the confirmation of its saves up to this one.
    #[serde(rename = "confirmed")]
    SavesConfirmed {
        /// Number of the last confirmed save.
        n: u64,
    },
    /// A client was notified that its journal has no room for a save.
    #[serde(rename = "full")]
    JournalFull {
        /// Number of the save.
        n: u64,
    },
    /// A client abandons its session because the balancer answered that it cannot be resumed.
    #[serde(rename = "gives-up")]
    SessionAbandoned,
    /// A fault begins or ends.
    Fault {
        /// Description of the fault.
        what: String,
    },
}

impl Note {
    /// Converts the durations of a note that a server took on its own clock to the clock of the log. `clock_rate` is
    /// the rate of the server's clock relative to that.
    #[must_use]
    pub fn on_log_clock(self, clock_rate: f64) -> Self {
        match self {
            Self::LeaseReleased { session, ballot, late_ms } => {
                Self::LeaseReleased { session, ballot, late_ms: late_ms / clock_rate }
            }
            other => other,
        }
    }
}

/// The kind of token that a client presents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TokenKind {
    /// No token: the request is for a new session.
    New,
    /// The latest token that the client received.
    Good,
    /// An older token, although the client has already resumed with a newer one.
    Stale,
    /// A token that was never issued.
    Forged,
}

/// Returns the name of a session in log entries.
#[must_use]
pub fn session_name(session: SessionId) -> String {
    session.to_string()
}
