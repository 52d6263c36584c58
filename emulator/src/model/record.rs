//! What form hosts and clients write down of what they see, for the checkers to read.

use super::Millis;
use marllink_lease_protocol::{Ballot, SessionId};
use serde::{Deserialize, Serialize};

/// One line of what was written down.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When, on the experiment's own clock, whatever the writer's shows.
    pub at: Millis,
    /// Who wrote it: a form host, a client or a balancer's supervisor.
    pub by: String,
    /// What.
    #[serde(flatten)]
    pub note: Note,
}

/// What may be written down.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "note", rename_all = "kebab-case")]
pub enum Note {
    /// A form host holds a session from now on.
    #[serde(rename = "holds")]
    LeaseAcquired {
        /// Which.
        session: String,
        /// Under which ballot.
        ballot: Ballot,
    },
    /// A form host has the state of a session up to this save, with this digest.
    #[serde(rename = "begins")]
    StateLoaded {
        /// Which.
        session: String,
        /// Under which ballot.
        ballot: Ballot,
        /// The last save in it.
        upto: u64,
        /// The values, by field, as they were saved last.
        fields: Vec<(String, String)>,
    },
    /// A form host has applied a save.
    #[serde(rename = "applies")]
    SaveApplied {
        /// Of which session.
        session: String,
        /// Under which ballot.
        ballot: Ballot,
        /// Its number.
        n: u64,
        /// The field.
        name: String,
        /// The value.
        value: String,
    },
    /// A form host holds a session no more, since then.
    #[serde(rename = "lets-go")]
    LeaseReleased {
        /// Which.
        session: String,
        /// Under which ballot.
        ballot: Ballot,
        /// By its own clock it let go so long before it got round to writing this down.
        late_ms: Millis,
    },
    /// A client has asked for something: a new session, or to resume.
    #[serde(rename = "asks")]
    OpenSent {
        /// Which of its connections.
        connection: u64,
        /// By which balancer.
        balancer: usize,
        /// The kind of what it asks by.
        token: TokenKind,
    },
    /// A client has had its final answer.
    Answered {
        /// Which of its connections.
        connection: u64,
        /// The first word of it; empty if the connection ended without one.
        word: String,
        /// What it asked by.
        token: TokenKind,
    },
    /// A client's connection has ended after it stood.
    #[serde(rename = "ends")]
    ConnectionEnded {
        /// Which of its connections.
        connection: u64,
        /// How: `MOVE`, `TAKEN`, `BYE`, `closed` or `reset`.
        how: String,
    },
    /// A client has sent a save, for the first time.
    #[serde(rename = "sends")]
    SaveSent {
        /// Its number.
        n: u64,
        /// The field.
        name: String,
        /// The value.
        value: String,
    },
    /// A client was told that its saves up to this one will last.
    #[serde(rename = "confirmed")]
    SavesConfirmed {
        /// Which.
        n: u64,
    },
    /// A client was told that its journal has no room.
    #[serde(rename = "full")]
    JournalFull {
        /// For which save.
        n: u64,
    },
    /// A client gives its session up, having been told that it can't be resumed.
    #[serde(rename = "gives-up")]
    SessionAbandoned,
    /// A fault begins or ends.
    Fault {
        /// Which, in words.
        what: String,
    },
}

/// By what a client asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TokenKind {
    /// For a new session.
    New,
    /// By the token that it was given last.
    Good,
    /// By one that it was given before that, though it has gone on with a newer one.
    Stale,
    /// By one that nobody gave it.
    Forged,
}

/// The name of a session, as all write it.
#[must_use]
pub fn session_name(session: SessionId) -> String {
    session.to_string()
}
