//! What goes into [`Sessions`](crate::Sessions) and what comes out.

use crate::keys::KeyRing;
use crate::token::TokenError;
use marllink::{Millis, RequestId, ServerId, ZoneId};
use marllink_lease_protocol::{Ballot, Call, Configuration, Field, Journal, Reply, SessionId};
use serde::{Deserialize, Serialize};

/// What the operators have set.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Keepers of a session: an odd number, of which any minority may be lost at once.
    pub keepers: usize,
    /// How long an owner's lease at a keeper runs, and with it a holder's.
    pub lease_ms: Millis,
    /// Clocks run at rates that differ by this share at most.
    pub drift: f64,
    /// For how long a token is good.
    pub token_ms: Millis,
    /// The most that a session's journal may hold, in bytes.
    pub journal_bytes: usize,
    /// The most that all journals here may hold together, in bytes.
    pub journals_bytes: usize,
    /// Saves of one session that may wait to be confirmed.
    pub window: usize,
    /// Sessions here, those included whose client is away.
    pub most_sessions: usize,
    /// A claim that has not come to anything after so long is given up.
    pub patience_ms: Millis,
    /// Form hosts at most that new sessions of this balancer are kept by.
    pub most_links: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            keepers: 3,
            lease_ms: 2_000.0,
            drift: 0.02,
            token_ms: 600_000.0,
            journal_bytes: 16 * 1024,
            journals_bytes: 64 * 1024 * 1024,
            window: 64,
            most_sessions: 20_000,
            patience_ms: 1_000.0,
            most_links: 64,
        }
    }
}

/// A form host that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Which.
    pub server: ServerId,
    /// Where it is.
    pub zone: ZoneId,
    /// Whether it takes anything new; one that drains keeps nothing new either.
    pub ready: bool,
}

/// What a client asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A new session.
    New,
    /// To go on with the one that this token names.
    Resume(Vec<u8>),
}

/// A session on its way to the process that takes this one's place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Passed {
    /// Which.
    pub session: SessionId,
    /// Under which ballot its holder has it.
    pub ballot: Ballot,
    /// The epoch that its client has confirmed.
    pub confirmed: u64,
    /// Its keepers.
    pub keepers: Configuration,
    /// What it has saved.
    pub journal: Journal,
    /// The process that owns it.
    pub owner: u64,
    /// Its holder's lease runs for so long yet, at most.
    pub hold_ms: Millis,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// All form hosts that are known now.
    Servers(Vec<Listed>),
    /// A link stands.
    LinkUp {
        /// To this form host.
        server: ServerId,
        /// Which has told its present life.
        incarnation: u64,
    },
    /// A link has ended, or could not be made.
    LinkDown {
        /// To this form host.
        server: ServerId,
    },
    /// A form host has said this on its link.
    Heard {
        /// Who.
        server: ServerId,
        /// What.
        reply: Reply,
    },
    /// A client's request asks for a session. It is answered by [`Command::Proceed`],
    /// [`Command::Refuse`] or [`Command::Reject`], once.
    Begin {
        /// The request.
        request: RequestId,
        /// What it asks.
        ask: Ask,
        /// The client waits this much longer.
        wait_ms: Millis,
    },
    /// An attempt of a request that may proceed goes to this form host.
    Attempt {
        /// The request.
        request: RequestId,
        /// To whom.
        server: ServerId,
    },
    /// The form host of the attempt asks for a lease.
    Renews {
        /// The request.
        request: RequestId,
        /// Its number for that.
        k: u64,
    },
    /// The attempt's connection stands.
    Established {
        /// The request.
        request: RequestId,
    },
    /// The client saves a field.
    Saves {
        /// The request.
        request: RequestId,
        /// What.
        field: Field,
    },
    /// The client has its token.
    Has {
        /// The request.
        request: RequestId,
    },
    /// The form host has applied all saves up to this one.
    Saved {
        /// The request.
        request: RequestId,
        /// Which.
        n: u64,
    },
    /// The attempt is over, and its form host holds nothing any more: it has ended the connection, or
    /// the time that [`hold_until`](crate::Sessions::hold_until) told has come.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The session itself is over: the form host has said so.
        over: bool,
    },
    /// The request is over: its client has left, was answered finally or is moved. Its attempt may
    /// still be out, and ends later.
    Closed {
        /// The request.
        request: RequestId,
    },
    /// A session that a predecessor has passed on with its connection.
    Adopt {
        /// The connection's request here.
        request: RequestId,
        /// The form host that holds it.
        server: ServerId,
        /// All else.
        passed: Passed,
    },
    /// Other keys.
    Keys(KeyRing),
    /// Other settings. Sessions that stand keep their keepers.
    Settings(Settings),
    /// The node calls back.
    Timer,
}

/// Why a request for a session failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its token is not good.
    Token(TokenError),
    /// The client has since confirmed a newer one.
    Replayed,
    /// So many of its keepers are lost that nobody can tell what was saved.
    Lost,
}

impl Rejection {
    /// A stable name, for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Token(error) => error.name(),
            Self::Replayed => "replayed",
            Self::Lost => "keepers_lost",
        }
    }
}

/// Something the node is to do, in the order written.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Make a link to this form host.
    Link(ServerId),
    /// End it.
    Unlink(ServerId),
    /// Say this on a link that stands.
    Call {
        /// To whom.
        server: ServerId,
        /// What.
        call: Call,
    },
    /// The request goes to the decisions, as any other.
    Proceed(RequestId),
    /// Final answer: refused; come again.
    Refuse {
        /// The request.
        request: RequestId,
        /// After so long.
        retry_after_ms: Millis,
    },
    /// Final answer: failed. The client is not told why.
    Reject {
        /// The request.
        request: RequestId,
        /// For the log.
        why: Rejection,
    },
    /// Lines for the form host of the request's attempt, between two others.
    ToHost {
        /// The request.
        request: RequestId,
        /// Whole lines.
        lines: Vec<u8>,
    },
    /// Lines for the client, between two others.
    ToClient {
        /// The request.
        request: RequestId,
        /// Whole lines.
        lines: Vec<u8>,
    },
    /// Ask the client to come again, with its token.
    Move(RequestId),
    /// Another connection goes on with the session: tell the client, and end this one.
    Taken(RequestId),
    /// Feed [`Event::Timer`] after this time.
    SetTimer(Millis),
    /// For the log.
    Note(Note),
}

/// Something worth a line in the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// A session is held.
    Held {
        /// Which.
        session: SessionId,
        /// Its connection.
        request: RequestId,
        /// Its form host.
        server: ServerId,
        /// The claim.
        epoch: u64,
        /// What it had saved by then.
        upto: u64,
        /// It has been held before.
        resumed: bool,
        /// How long all of it took, from the request on.
        took_ms: Millis,
    },
    /// Its keepers have changed.
    Rekept {
        /// Which.
        session: SessionId,
        /// The number of the new configuration.
        configuration: u32,
    },
    /// It went on elsewhere.
    Lost {
        /// Which.
        session: SessionId,
        /// The claim that was outbid.
        epoch: u64,
    },
    /// A claim came to nothing in its time: so many of its keepers had answered in each way.
    Declined {
        /// On which session.
        session: SessionId,
        /// The configuration that was asked.
        configuration: u32,
        /// They promise.
        promised: usize,
        /// They have not answered.
        waiting: usize,
        /// They have no record.
        none: usize,
        /// Somebody else has it.
        elsewhere: usize,
    },
    /// A keeper's lease ran out.
    Lapsed {
        /// Whose.
        server: ServerId,
    },
}
