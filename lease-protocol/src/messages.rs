//! Messages of the protocol. `required` fields are always sent; a missing one decodes to its zero value.

use prost::{Message, Oneof};
use serde::{Deserialize, Serialize};

/// Identifier of a session, drawn at random by the balancer that creates it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message, Serialize, Deserialize)]
pub struct SessionId {
    /// Upper half of the identifier.
    #[prost(fixed64, required, tag = "1")]
    pub hi: u64,
    /// Lower half of the identifier.
    #[prost(fixed64, required, tag = "2")]
    pub lo: u64,
}

impl std::fmt::Display for SessionId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}{:016x}", self.hi, self.lo)
    }
}

/// Number of a claim on a session, and of an attempt to place the session under it. A higher ballot
/// invalidates all lower ones.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message, Serialize, Deserialize)]
pub struct Ballot {
    /// Number of the claim, counted over the lifetime of the session.
    #[prost(uint64, required, tag = "1")]
    pub epoch: u64,
    /// Number of the placement attempt under this claim, counted from 1; 0 for the claim itself.
    #[prost(uint32, required, tag = "2")]
    pub attempt: u32,
}

impl std::fmt::Display for Ballot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch, self.attempt)
    }
}

/// A server in its role as a lease replica.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message, Serialize, Deserialize)]
pub struct Member {
    /// Number that identifies the server, derived from its name.
    #[prost(fixed64, required, tag = "1")]
    pub server: u64,
    /// Number of the server's current run. A restarted server is a different member.
    #[prost(fixed64, required, tag = "2")]
    pub incarnation: u64,
}

/// The lease replicas of a session.
#[derive(Clone, PartialEq, Eq, Hash, Message, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of the configuration, which increases with each change of the members.
    #[prost(uint32, required, tag = "1")]
    pub number: u32,
    /// The replicas.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

impl Configuration {
    /// Returns the number of members that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// A field of a session with its last saved value.
#[derive(Clone, PartialEq, Eq, Message, Serialize, Deserialize)]
pub struct Field {
    /// Name of the field.
    #[prost(string, required, tag = "1")]
    pub name: String,
    /// Number of the save that wrote the value.
    #[prost(uint64, required, tag = "2")]
    pub n: u64,
    /// The saved value.
    #[prost(bytes = "vec", required, tag = "3")]
    pub value: Vec<u8>,
}

/// Combined result of the saves of a session.
#[derive(Clone, PartialEq, Eq, Message, Serialize, Deserialize)]
pub struct Journal {
    /// Number of the last save included.
    #[prost(uint64, required, tag = "1")]
    pub upto: u64,
    /// The saved fields, ordered by name.
    #[prost(message, repeated, tag = "2")]
    pub fields: Vec<Field>,
}

/// A server at which a session was placed.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Holder {
    /// Ballot under which the session was placed there.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// Number of the server.
    #[prost(fixed64, required, tag = "2")]
    pub server: u64,
}

/// Redirects to the session's new configuration of replicas.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Pointer {
    /// Ballot under which the pointer was written.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The new configuration.
    #[prost(message, required, tag = "2")]
    pub to: Configuration,
}

/// Renews the lease of the connected balancer process: it expires after the given time from now.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Renew {
    /// Number of the renewal.
    #[prost(uint64, required, tag = "1")]
    pub k: u64,
    /// Duration of the lease, in milliseconds.
    #[prost(uint32, required, tag = "2")]
    pub ms: u32,
}

/// Requests the promise to accept no lower ballot for a session.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Claim {
    /// The session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Ballot of the claim.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// Number of the configuration that the claimant knows; the reply includes pointers to later ones.
    #[prost(uint32, required, tag = "3")]
    pub configuration: u32,
    /// Epoch of the token that the client presented.
    #[prost(uint64, required, tag = "4")]
    pub token_epoch: u64,
    /// All holders up to this ballot have released the session.
    #[prost(message, optional, tag = "5")]
    pub proof: Option<Ballot>,
}

/// Writes the record of a session, under a claim that a majority has promised.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hold {
    /// The session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Ballot under which the record is written.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// Number of the server that is to hold the session; 0 for none.
    #[prost(fixed64, required, tag = "3")]
    pub holder: u64,
    /// The saved fields.
    #[prost(message, required, tag = "4")]
    pub journal: Journal,
    /// Epoch that the client has confirmed.
    #[prost(uint64, required, tag = "5")]
    pub confirmed: u64,
    /// Owner number of the process that handed the session over to this one under the same ballot; 0 for
    /// none.
    #[prost(fixed64, required, tag = "6")]
    pub from: u64,
    /// Tag that the reply repeats.
    #[prost(uint32, required, tag = "7")]
    pub tag: u32,
    /// Retention period in milliseconds: the record may be deleted once no lease has covered it for this
    /// time.
    #[prost(uint64, required, tag = "8")]
    pub keep_ms: u64,
    /// Number of the configuration of which this replica is a member.
    #[prost(uint32, required, tag = "9")]
    pub configuration: u32,
}

/// Appends one save to a record that was written under the same ballot.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Append {
    /// The session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Ballot of the record.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// The saved field.
    #[prost(message, required, tag = "3")]
    pub field: Field,
}

/// Confirms that the client has received the token of the ballot's epoch, which invalidates all older tokens.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Confirm {
    /// The session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Ballot whose epoch is confirmed.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

/// Writes a pointer to a later configuration.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Point {
    /// The session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// The pointer, with the ballot under which it is written.
    #[prost(message, required, tag = "2")]
    pub pointer: Pointer,
}

/// Releases a session: any process may claim it at once.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Release {
    /// The session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Ballot under which the session was held or claimed.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// True if the session has ended, so that its record can be deleted.
    #[prost(bool, required, tag = "3")]
    pub over: bool,
}

/// Requests that the holder release a session and accept no ballot up to this one for it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LetGo {
    /// The session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Highest ballot to which the request applies.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

/// A message from a balancer to a server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Call {
    /// The call.
    #[prost(oneof = "call::Body", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<call::Body>,
}

impl Call {
    /// Creates a call with this body.
    #[must_use]
    pub fn new(body: call::Body) -> Self {
        Self { body: Some(body) }
    }
}

/// Bodies of calls.
pub mod call {
    use super::{Append, Claim, Confirm, Hold, LetGo, Oneof, Point, Release, Renew};

    /// Body of a call.
    #[derive(Clone, PartialEq, Eq, Oneof)]
    pub enum Body {
        /// Renews the lease.
        #[prost(message, tag = "1")]
        Renew(Renew),
        /// Claims a session.
        #[prost(message, tag = "2")]
        Claim(Claim),
        /// Writes a session's record.
        #[prost(message, tag = "3")]
        Hold(Hold),
        /// Appends a save to a record.
        #[prost(message, tag = "4")]
        Append(Append),
        /// Confirms the client's epoch.
        #[prost(message, tag = "5")]
        Confirm(Confirm),
        /// Writes a pointer.
        #[prost(message, tag = "6")]
        Point(Point),
        /// Releases a session. This call has no reply.
        #[prost(message, tag = "7")]
        Release(Release),
        /// Requests the release of a session by its holder.
        #[prost(message, tag = "8")]
        LetGo(LetGo),
    }
}

/// Reply to a renewal: the lease is in force.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Renewed {
    /// Number of the renewal.
    #[prost(uint64, required, tag = "1")]
    pub k: u64,
}

/// Reply to a claim: the promise is given.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Promised {
    /// The session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Ballot of the claim.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// Ballot under which the journal was written.
    #[prost(message, required, tag = "3")]
    pub written: Ballot,
    /// The journal.
    #[prost(message, required, tag = "4")]
    pub journal: Journal,
    /// Epoch that the client has confirmed.
    #[prost(uint64, required, tag = "5")]
    pub confirmed: u64,
    /// Pointers to configurations later than the one named in the claim.
    #[prost(message, repeated, tag = "6")]
    pub pointers: Vec<Pointer>,
    /// Number of the configuration in which the journal was written.
    #[prost(uint32, required, tag = "7")]
    pub configuration: u32,
}

/// Reason why a claim, a record, a save or a pointer was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Why {
    /// The replica has no record of the session.
    Unknown = 0,
    /// An equal or higher ballot was promised to another process; the reply includes it.
    Outbid = 1,
    /// The session is covered by the lease of another process.
    Leased = 2,
    /// The client has confirmed a later epoch than the one of its token.
    Stale = 3,
    /// The record was not written under this ballot, or a save is missing before this one.
    Unwritten = 4,
    /// The replica has no capacity for another record.
    Full = 5,
}

/// Reply to a call that was refused.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Refused {
    /// The session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Ballot of the refused call.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// Reason, a [`Why`].
    #[prost(enumeration = "Why", required, tag = "3")]
    pub why: i32,
    /// The highest promised ballot.
    #[prost(message, required, tag = "4")]
    pub promised: Ballot,
    /// The holder of the session, if it has one.
    #[prost(message, optional, tag = "5")]
    pub holder: Option<Holder>,
    /// Maximum remaining time of the lease, in milliseconds.
    #[prost(uint32, required, tag = "6")]
    pub left_ms: u32,
}

/// Reply to a record, a save, a confirmation or a pointer: it is stored.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Stored {
    /// The session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Ballot of the call.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// Number of the last save stored.
    #[prost(uint64, required, tag = "3")]
    pub upto: u64,
    /// Number of the configuration to which the pointer leads; 0 for replies to other calls.
    #[prost(uint32, required, tag = "4")]
    pub pointer: u32,
    /// Tag of the record; 0 for replies to other calls.
    #[prost(uint32, required, tag = "5")]
    pub tag: u32,
}

/// A message from a server to a balancer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Reply {
    /// The reply.
    #[prost(oneof = "reply::Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<reply::Body>,
}

impl Reply {
    /// Creates a reply with this body.
    #[must_use]
    pub fn new(body: reply::Body) -> Self {
        Self { body: Some(body) }
    }
}

/// Bodies of replies.
pub mod reply {
    use super::{LetGo, Oneof, Promised, Refused, Renewed, Stored};

    /// Body of a reply.
    #[derive(Clone, PartialEq, Eq, Oneof)]
    pub enum Body {
        /// The lease is in force.
        #[prost(message, tag = "1")]
        Renewed(Renewed),
        /// The claim is promised.
        #[prost(message, tag = "2")]
        Promised(Promised),
        /// The call is stored.
        #[prost(message, tag = "3")]
        Stored(Stored),
        /// The call is refused.
        #[prost(message, tag = "4")]
        Refused(Refused),
        /// The holder has released the session, and accepts no ballot up to the requested one.
        #[prost(message, tag = "5")]
        LetGo(LetGo),
    }
}
