//! The messages. Fields that are `required` are told always; one that is missing counts as zero.

use prost::{Message, Oneof};
use serde::{Deserialize, Serialize};

/// A session, drawn at random by the balancer that began it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message, Serialize, Deserialize)]
pub struct SessionId {
    /// The first half.
    #[prost(fixed64, required, tag = "1")]
    pub hi: u64,
    /// The second half.
    #[prost(fixed64, required, tag = "2")]
    pub lo: u64,
}

impl std::fmt::Display for SessionId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}{:016x}", self.hi, self.lo)
    }
}

/// The number of a claim, and of a form host's turn under it. A higher one shuts out all lower ones.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts the claims on a session.
    #[prost(uint64, required, tag = "1")]
    pub epoch: u64,
    /// Counts the form hosts that were asked under this claim; 0 for the claim itself.
    #[prost(uint32, required, tag = "2")]
    pub attempt: u32,
}

impl std::fmt::Display for Ballot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch, self.attempt)
    }
}

/// A form host as a keeper.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message, Serialize, Deserialize)]
pub struct Member {
    /// The number of its name.
    #[prost(fixed64, required, tag = "1")]
    pub server: u64,
    /// Its present life: one that has begun anew is another member.
    #[prost(fixed64, required, tag = "2")]
    pub incarnation: u64,
}

/// The keepers of a session.
#[derive(Clone, PartialEq, Eq, Hash, Message, Serialize, Deserialize)]
pub struct Configuration {
    /// Counts the changes.
    #[prost(uint32, required, tag = "1")]
    pub number: u32,
    /// Who they are.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

impl Configuration {
    /// So many of them are a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// A field as it was saved last.
#[derive(Clone, PartialEq, Eq, Message, Serialize, Deserialize)]
pub struct Field {
    /// Its name.
    #[prost(string, required, tag = "1")]
    pub name: String,
    /// The number of that save.
    #[prost(uint64, required, tag = "2")]
    pub n: u64,
    /// What was saved.
    #[prost(bytes = "vec", required, tag = "3")]
    pub value: Vec<u8>,
}

/// What the saves of a session come to.
#[derive(Clone, PartialEq, Eq, Message, Serialize, Deserialize)]
pub struct Journal {
    /// The number of the last save in it.
    #[prost(uint64, required, tag = "1")]
    pub upto: u64,
    /// The fields, in the order of their names.
    #[prost(message, repeated, tag = "2")]
    pub fields: Vec<Field>,
}

/// A form host that was given a session.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Holder {
    /// Under which ballot.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// Who it is.
    #[prost(fixed64, required, tag = "2")]
    pub server: u64,
}

/// The keepers of a session are now these.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Pointer {
    /// Under which ballot that was written.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// Who they are.
    #[prost(message, required, tag = "2")]
    pub to: Configuration,
}

/// The lease of the balancer process at the other end is to run for so long from now.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Renew {
    /// Counts the renewals.
    #[prost(uint64, required, tag = "1")]
    pub k: u64,
    /// In milliseconds.
    #[prost(uint32, required, tag = "2")]
    pub ms: u32,
}

/// Asks for a promise to take nothing under a lower ballot any more.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Claim {
    /// Of this session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Under this ballot.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// The number of the configuration that the claimer asks by; pointers to later ones are told.
    #[prost(uint32, required, tag = "3")]
    pub configuration: u32,
    /// The epoch of the token that the client has shown.
    #[prost(uint64, required, tag = "4")]
    pub token_epoch: u64,
    /// Holders up to this ballot have let go.
    #[prost(message, optional, tag = "5")]
    pub proof: Option<Ballot>,
}

/// Writes a session's record, under a claim that a majority has promised.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hold {
    /// Of this session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Under this ballot.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// The form host that is to hold it; 0 for none.
    #[prost(fixed64, required, tag = "3")]
    pub holder: u64,
    /// What has been saved.
    #[prost(message, required, tag = "4")]
    pub journal: Journal,
    /// The epoch that its client has confirmed.
    #[prost(uint64, required, tag = "5")]
    pub confirmed: u64,
    /// The process that has passed the session on to this one, under the same ballot; 0 for none.
    #[prost(fixed64, required, tag = "6")]
    pub from: u64,
    /// A number that the answer repeats.
    #[prost(uint32, required, tag = "7")]
    pub tag: u32,
    /// The record may go once nobody's lease has covered it for so long, in milliseconds.
    #[prost(uint64, required, tag = "8")]
    pub keep_ms: u64,
    /// The number of the configuration in which this keeper is told.
    #[prost(uint32, required, tag = "9")]
    pub configuration: u32,
}

/// Adds one save to a record that was written under the same ballot.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Append {
    /// Of this session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Under this ballot.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// What is saved.
    #[prost(message, required, tag = "3")]
    pub field: Field,
}

/// The session's client has the token of this ballot's epoch: no older one is good any more.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Confirm {
    /// Of this session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Under this ballot.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

/// Writes a pointer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Point {
    /// Of this session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// The pointer, and under which ballot.
    #[prost(message, required, tag = "2")]
    pub pointer: Pointer,
}

/// The session is nobody's any more: it may be claimed at once.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Release {
    /// Which.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// By whom it was held or claimed.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// It is over, and what is kept of it can go.
    #[prost(bool, required, tag = "3")]
    pub over: bool,
}

/// To a holder: let go of the session, and take it under no ballot up to this one any more.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LetGo {
    /// Of this session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Up to this ballot.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

/// From a balancer to a form host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Call {
    /// What it asks.
    #[prost(oneof = "call::Body", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<call::Body>,
}

impl Call {
    /// A call of this.
    #[must_use]
    pub fn new(body: call::Body) -> Self {
        Self { body: Some(body) }
    }
}

/// What calls ask.
pub mod call {
    use super::{Append, Claim, Confirm, Hold, LetGo, Oneof, Point, Release, Renew};

    /// What a call asks.
    #[derive(Clone, PartialEq, Eq, Oneof)]
    pub enum Body {
        /// A lease.
        #[prost(message, tag = "1")]
        Renew(Renew),
        /// A promise.
        #[prost(message, tag = "2")]
        Claim(Claim),
        /// A record.
        #[prost(message, tag = "3")]
        Hold(Hold),
        /// A save.
        #[prost(message, tag = "4")]
        Append(Append),
        /// A confirmed epoch.
        #[prost(message, tag = "5")]
        Confirm(Confirm),
        /// A pointer.
        #[prost(message, tag = "6")]
        Point(Point),
        /// A release. It has no answer.
        #[prost(message, tag = "7")]
        Release(Release),
        /// A holder's letting go.
        #[prost(message, tag = "8")]
        LetGo(LetGo),
    }
}

/// The lease runs.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Renewed {
    /// The renewal that this answers.
    #[prost(uint64, required, tag = "1")]
    pub k: u64,
}

/// Answers a claim: promised.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Promised {
    /// For this session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Under this ballot.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// The ballot under which the journal was written.
    #[prost(message, required, tag = "3")]
    pub written: Ballot,
    /// The journal.
    #[prost(message, required, tag = "4")]
    pub journal: Journal,
    /// The epoch that the client has confirmed.
    #[prost(uint64, required, tag = "5")]
    pub confirmed: u64,
    /// Pointers to configurations after the one asked by.
    #[prost(message, repeated, tag = "6")]
    pub pointers: Vec<Pointer>,
    /// The number of the configuration in which the journal was written.
    #[prost(uint32, required, tag = "7")]
    pub configuration: u32,
}

/// Why a claim, a record, a save or a pointer was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Why {
    /// There is no record of this session here.
    Unknown = 0,
    /// Another ballot was promised, which is told.
    Outbid = 1,
    /// It is under another process's lease.
    Leased = 2,
    /// The client has confirmed a later epoch than the token's.
    Stale = 3,
    /// The record was not written under this ballot, or the save is not the next.
    Unwritten = 4,
    /// The keeper has no room for it.
    Full = 5,
}

/// Answers whatever was not taken.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Refused {
    /// For this session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Under this ballot, as it was asked.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// Why.
    #[prost(enumeration = "Why", required, tag = "3")]
    pub why: i32,
    /// The highest ballot promised.
    #[prost(message, required, tag = "4")]
    pub promised: Ballot,
    /// Its holder, if it has one.
    #[prost(message, optional, tag = "5")]
    pub holder: Option<Holder>,
    /// How long the lease may still run, in milliseconds.
    #[prost(uint32, required, tag = "6")]
    pub left_ms: u32,
}

/// Answers a record, a save, a confirmation or a pointer: it is kept.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Stored {
    /// For this session.
    #[prost(message, required, tag = "1")]
    pub session: SessionId,
    /// Under this ballot.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// The number of the last save that is kept.
    #[prost(uint64, required, tag = "3")]
    pub upto: u64,
    /// The number of the configuration that a pointer leads to; 0 if none was written.
    #[prost(uint32, required, tag = "4")]
    pub pointer: u32,
    /// The tag of the record that this answers; 0 if it answers anything else.
    #[prost(uint32, required, tag = "5")]
    pub tag: u32,
}

/// From a form host to a balancer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Reply {
    /// What it answers.
    #[prost(oneof = "reply::Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<reply::Body>,
}

impl Reply {
    /// A reply of this.
    #[must_use]
    pub fn new(body: reply::Body) -> Self {
        Self { body: Some(body) }
    }
}

/// What replies say.
pub mod reply {
    use super::{LetGo, Oneof, Promised, Refused, Renewed, Stored};

    /// What a reply says.
    #[derive(Clone, PartialEq, Eq, Oneof)]
    pub enum Body {
        /// The lease runs.
        #[prost(message, tag = "1")]
        Renewed(Renewed),
        /// The promise is given.
        #[prost(message, tag = "2")]
        Promised(Promised),
        /// It is kept.
        #[prost(message, tag = "3")]
        Stored(Stored),
        /// It is not taken.
        #[prost(message, tag = "4")]
        Refused(Refused),
        /// The holder has let go, and takes no ballot up to the one asked any more.
        #[prost(message, tag = "5")]
        LetGo(LetGo),
    }
}
