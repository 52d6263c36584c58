//! Events and commands of [`Sessions`](crate::Sessions), and their settings.

use crate::keys::KeyRing;
use crate::token::TokenError;
use marllink::{Millis, RequestId, ServerId, ZoneId};
use marllink_lease_protocol::{Ballot, Call, Configuration, Field, Journal, Reply, SessionId};
use serde::{Deserialize, Serialize};

/// Settings of the session state machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of lease replicas of a session. It is odd, and any minority of them may fail at the same time.
    pub replicas: usize,
    /// Duration of the owner's lease at a replica, which bounds the lease of the session's holder.
    pub lease_ms: Millis,
    /// Maximum relative difference between the rates of two clocks.
    pub clock_drift_ratio: f64,
    /// Validity period of a token.
    pub token_validity_ms: Millis,
    /// Maximum size of the journal of one session, in bytes.
    pub max_journal_bytes: usize,
    /// Maximum total size of all journals of this process, in bytes.
    pub max_total_journals_bytes: usize,
    /// Maximum number of unconfirmed saves of one session.
    pub max_unconfirmed_saves: usize,
    /// Maximum number of sessions of this process, including those whose client is disconnected.
    pub max_sessions: usize,
    /// Timeout of a claim on a session.
    pub claim_timeout_ms: Millis,
    /// Maximum number of servers that this process uses as lease replicas of new sessions.
    pub max_links: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            replicas: 3,
            lease_ms: 2_000.0,
            clock_drift_ratio: 0.02,
            token_validity_ms: 600_000.0,
            max_journal_bytes: 16 * 1024,
            max_total_journals_bytes: 64 * 1024 * 1024,
            max_unconfirmed_saves: 64,
            max_sessions: 20_000,
            claim_timeout_ms: 1_000.0,
            max_links: 64,
        }
    }
}

/// A server in the list from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// True if it accepts new connections. A draining server does not become a replica of further sessions.
    pub ready: bool,
}

/// The session that a client requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionRequest {
    /// A new session.
    New,
    /// The existing session that this token identifies.
    Resume(Vec<u8>),
}

/// A session that is handed over to the successor process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionHandover {
    /// The session.
    pub session: SessionId,
    /// Ballot under which the server holds the session.
    pub ballot: Ballot,
    /// Epoch that the client has confirmed.
    #[serde(rename = "confirmed")]
    pub confirmed_epoch: u64,
    /// Lease replicas of the session.
    #[serde(rename = "keepers")]
    pub replicas: Configuration,
    /// Saved fields.
    pub journal: Journal,
    /// Owner number of the process that hands the session over.
    pub owner: u64,
    /// Maximum remaining time of the lease of the server that holds the session.
    pub hold_ms: Millis,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of servers, complete.
    Servers(Vec<ListedServer>),
    /// A link was established.
    LinkUp {
        /// The server at the other end.
        server: ServerId,
        /// Number of the server's current run, from its handshake.
        incarnation: u64,
    },
    /// A link has ended or could not be established.
    LinkDown {
        /// The server at the other end.
        server: ServerId,
    },
    /// A server has sent a reply on its link.
    ReplyReceived {
        /// The server.
        server: ServerId,
        /// The reply.
        reply: Reply,
    },
    /// A client has requested a session. Answered once, by [`Command::Proceed`], [`Command::ReplyBusy`] or
    /// [`Command::ReplyError`].
    SessionRequested {
        /// The request.
        request: RequestId,
        /// The session that is requested.
        session_request: SessionRequest,
        /// Time until the client's deadline.
        wait_ms: Millis,
    },
    /// An attempt of a request that may proceed was started.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// The server of the attempt.
        server: ServerId,
    },
    /// The server of the attempt has requested a lease.
    LeaseRequested {
        /// The request.
        request: RequestId,
        /// Number of the lease request, which the answer repeats.
        k: u64,
    },
    /// The connection of the attempt was established.
    AttemptEstablished {
        /// The request.
        request: RequestId,
    },
    /// The client has sent a field to be saved.
    SaveReceived {
        /// The request.
        request: RequestId,
        /// The field.
        field: Field,
    },
    /// The client has confirmed the receipt of its token.
    TokenConfirmed {
        /// The request.
        request: RequestId,
    },
    /// The server has applied all saves up to a number.
    SavesApplied {
        /// The request.
        request: RequestId,
        /// Number of the last applied save.
        n: u64,
    },
    /// The attempt has ended. A request that continues at another server must not start its next attempt
    /// while the server of this one may hold the session.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// True if the server has reported that the session itself has ended.
        session_over: bool,
        /// Whether the server has released the session.
        holder: HolderEnd,
    },
    /// The request has ended: its client has disconnected, has received a final answer or was moved. Its
    /// attempt may still be open and end later.
    RequestClosed {
        /// The request.
        request: RequestId,
    },
    /// The predecessor process has handed over a session with its connection.
    Adopt {
        /// Request of the connection in this process.
        request: RequestId,
        /// The server that holds the session.
        server: ServerId,
        /// State of the session.
        handover: SessionHandover,
    },
    /// The keys have changed.
    Keys(KeyRing),
    /// The settings have changed. Existing sessions keep their replicas.
    Settings(Settings),
    /// The timer set by [`Command::SetTimer`] has fired.
    Timer,
}

/// What the end of an attempt tells about the server's hold on the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderEnd {
    /// The server has closed the connection in order, which it does after it has released the session, or it
    /// never received the request.
    Released,
    /// The connection has failed, or the server has not closed it. The server may hold the session until the
    /// time returned by [`hold_until`](crate::Sessions::hold_until).
    Lost,
}

/// Reason why a request for a session was rejected for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The token is invalid.
    Token(TokenError),
    /// The client has confirmed a newer token since.
    Replayed,
    /// Too many replicas are lost to determine what was saved.
    ReplicasLost,
}

impl Rejection {
    /// Returns a stable name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Token(error) => error.name(),
            Self::Replayed => "replayed",
            Self::ReplicasLost => "keepers_lost",
        }
    }
}

/// An output of the state machine. Commands must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Establish a link to the server.
    OpenLink(ServerId),
    /// Close the link to the server.
    CloseLink(ServerId),
    /// Send a call on an established link.
    Call {
        /// The server.
        server: ServerId,
        /// The call.
        call: Call,
    },
    /// Pass the request to the balancer, which handles it like any other.
    Proceed(RequestId),
    /// Final answer: busy, the client should retry later.
    ReplyBusy {
        /// The request.
        request: RequestId,
        /// Advised delay of the retry.
        retry_after_ms: Millis,
    },
    /// Final answer: failed. The client does not learn the reason.
    ReplyError {
        /// The request.
        request: RequestId,
        /// Reason, for the log.
        reason: Rejection,
    },
    /// Insert lines into the stream to the server of the request's attempt, at a line boundary.
    SendToServer {
        /// The request.
        request: RequestId,
        /// Complete lines.
        lines: Vec<u8>,
    },
    /// Insert lines into the stream to the client, at a line boundary.
    SendToClient {
        /// The request.
        request: RequestId,
        /// Complete lines.
        lines: Vec<u8>,
    },
    /// Ask the client to reconnect with its token.
    Move(RequestId),
    /// Notify the client that another connection has taken the session over, and close this one.
    Taken(RequestId),
    /// Feed [`Event::Timer`] after this time.
    SetTimer(Millis),
    /// Log an event.
    Log(LogEvent),
}

/// An event to be logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// The connection of a session was established.
    Held {
        /// The session.
        session: SessionId,
        /// The request of its connection.
        request: RequestId,
        /// The server that holds it.
        server: ServerId,
        /// Epoch of the claim.
        epoch: u64,
        /// Number of the last save in the journal at that time.
        upto: u64,
        /// True if the session was resumed, false if it is new.
        resumed: bool,
        /// Time since the session was requested.
        took_ms: Millis,
    },
    /// The connection of a session is lost, and its server may still hold it.
    HolderLost {
        /// The session.
        session: SessionId,
        /// The server.
        server: ServerId,
        /// Maximum remaining time of its lease.
        hold_ms: Millis,
    },
    /// The server of a lost connection has released the session before its lease has expired.
    HolderReleased {
        /// The session.
        session: SessionId,
        /// The server.
        server: ServerId,
    },
    /// The replicas of a session have changed.
    ReplicasChanged {
        /// The session.
        session: SessionId,
        /// Number of the new configuration.
        configuration: u32,
    },
    /// Another process has claimed the session.
    TakenOver {
        /// The session.
        session: SessionId,
        /// Epoch of the claim that was superseded.
        epoch: u64,
    },
    /// A claim has timed out or cannot succeed in time. Counts the replicas by their answer.
    ClaimDeclined {
        /// The session.
        session: SessionId,
        /// Number of the configuration that was queried.
        configuration: u32,
        /// Replicas that gave their promise.
        promised: usize,
        /// Replicas that have not answered.
        unanswered: usize,
        /// Replicas that have no record of the session.
        no_record: usize,
        /// Replicas that refused because of another process's claim or lease.
        refused: usize,
    },
    /// The known replicas of a claimed session can't form a majority any more, and others are searched for.
    SearchStarted {
        /// The session.
        session: SessionId,
        /// Number of the configuration whose replicas are lost.
        configuration: u32,
    },
    /// A search has found the present replicas of a session.
    ReplicasFound {
        /// The session.
        session: SessionId,
        /// Number of their configuration.
        configuration: u32,
    },
    /// The lease at a replica has expired.
    LeaseLapsed {
        /// The replica.
        server: ServerId,
    },
}
