//! A session from its owner's point of view, and the known state of its replicas.

use crate::claim::Claim;
use crate::journal::Journal;
use marllink::{Millis, RequestId, ServerId};
use marllink_lease_protocol::{Ballot, Configuration, Field, Member, SessionId};
use std::collections::VecDeque;

/// Phase of a session in this process.
#[derive(Debug)]
pub enum State {
    /// A claim on it is in progress.
    Claiming(Box<Claim>),
    /// It is claimed, and the balancer is selecting a server for its request.
    Claimed,
    /// An attempt at a server is in progress.
    Attempting,
    /// Its connection is established.
    Established,
    /// Its connection is closing, and the server may still hold it.
    Closing,
    /// Its connection is lost, and the server may hold it until its lease expires.
    Expiring,
    /// No server holds it. The last owner maintains its replicas.
    Detached,
}

/// State of a replica, as far as its replies have shown.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// The replica.
    pub member: Member,
    /// Lease generation of the link under which the record was written there. While this is the link's
    /// current generation, no lease has lapsed since.
    pub written_generation: Option<u32>,
    /// Lease generation of a write that is in progress.
    pub pending_generation: Option<u32>,
    /// Number of the last save that it has stored, along with all earlier ones.
    pub upto: u64,
    /// True if it has stored the pointer to the next configuration.
    pub has_pointer: bool,
}

impl ReplicaState {
    /// Creates the state of a replica that has stored nothing yet.
    pub fn new(member: Member) -> Self {
        Self { member, written_generation: None, pending_generation: None, upto: 0, has_pointer: false }
    }
}

/// Another connection of the client that takes the session over once its current one has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingTakeover {
    pub request: RequestId,
    /// Epoch of the token that the client presented.
    pub token_epoch: u64,
    /// The replicas that the token names, if its epoch is later than that of this process's claim.
    pub newer_replicas: Option<Configuration>,
    /// Time until which the request waits.
    pub deadline: Millis,
}

/// A session known to this process.
#[derive(Debug)]
pub struct Session {
    pub id: SessionId,
    pub state: State,
    /// Request of its connection or claim, if any.
    pub request: Option<RequestId>,
    /// Time of that request.
    pub requested_at: Millis,
    pub ballot: Ballot,
    /// Epoch that the client has confirmed.
    pub confirmed_epoch: u64,
    pub replicas: Configuration,
    /// The next configuration, while the replicas are being changed.
    pub next_replicas: Option<Configuration>,
    /// True once the pointers to the next configuration have been sent.
    pub pointers_sent: bool,
    /// State of each member of the current and the next configuration.
    pub replica_states: Vec<ReplicaState>,
    /// Servers that have promised a higher ballot, so they can't become replicas under this one.
    pub refused_by: Vec<u64>,
    pub journal: Journal,
    /// Saves that have not been sent to the holder yet, oldest first.
    pub unsent_saves: VecDeque<Field>,
    /// Number of the last save sent to the holder.
    pub sent_upto: u64,
    /// Number of the last save that the holder has applied.
    pub applied_upto: u64,
    /// Server of the current attempt or connection.
    pub holder: Option<ServerId>,
    /// Number of the holder's lease request that is not answered yet.
    pub lease_request: Option<u64>,
    /// True once the holder has been granted a lease.
    pub has_lease: bool,
    /// Time, on this clock, by which the holder's lease has ended.
    pub hold_until: Millis,
    /// True once the server has reported that the session itself has ended.
    pub is_over: bool,
    /// Time at which the client receives its next token.
    pub next_token_at: Millis,
    /// Expiry time of the last token.
    pub token_expires_at: Millis,
    /// The connection that waits to take the session over.
    pub pending_takeover: Option<PendingTakeover>,
    /// Owner number of the process that handed the session over under the current ballot; 0 for none.
    pub previous_owner: u64,
}

impl Session {
    /// Creates a session without a record.
    pub fn new(id: SessionId, state: State, request: Option<RequestId>, now: Millis) -> Self {
        Self {
            id,
            state,
            request,
            requested_at: now,
            ballot: Ballot { epoch: 1, attempt: 0 },
            confirmed_epoch: 0,
            replicas: Configuration::default(),
            next_replicas: None,
            pointers_sent: false,
            replica_states: Vec::new(),
            refused_by: Vec::new(),
            journal: Journal::default(),
            unsent_saves: VecDeque::new(),
            sent_upto: 0,
            applied_upto: 0,
            holder: None,
            lease_request: None,
            has_lease: false,
            hold_until: 0.0,
            is_over: false,
            next_token_at: f64::INFINITY,
            token_expires_at: f64::INFINITY,
            pending_takeover: None,
            previous_owner: 0,
        }
    }

    /// Switches to another ballot, under which the replicas have stored nothing yet.
    pub fn set_ballot(&mut self, ballot: Ballot) {
        self.ballot = ballot;
        self.previous_owner = 0;
        self.pointers_sent = false;
        self.refused_by.clear();
        for replica in &mut self.replica_states {
            *replica = ReplicaState::new(replica.member);
        }
    }

    /// Sets the replicas, none of which has stored anything yet.
    pub fn set_replicas(&mut self, replicas: Configuration) {
        self.replica_states = replicas.members.iter().copied().map(ReplicaState::new).collect();
        self.next_replicas = None;
        self.pointers_sent = false;
        self.replicas = replicas;
    }

    /// Returns the state of the replica at this server.
    pub fn replica_state(&mut self, server: u64) -> Option<&mut ReplicaState> {
        self.replica_states.iter_mut().find(|r| r.member.server == server)
    }

    /// Returns the highest value that a majority of the replicas reaches; while the replicas are being
    /// changed, a majority of both configurations. `value` returns the value of one replica.
    pub fn quorum_value<T: PartialOrd + Copy>(&self, default: T, value: impl Fn(&ReplicaState) -> T) -> T {
        let majority = |replicas: &Configuration| {
            let value_at =
                |m: &Member| self.replica_states.iter().find(|r| r.member == *m).map_or(default, &value);
            let mut values: Vec<T> = replicas.members.iter().map(value_at).collect();
            values.sort_by(|a, b| b.partial_cmp(a).unwrap_or(std::cmp::Ordering::Equal));
            values.get(replicas.majority() - 1).copied().unwrap_or(default)
        };
        let current = majority(&self.replicas);
        match self.next_replicas.as_ref().map(majority) {
            Some(next) if next < current => next,
            _ => current,
        }
    }

    /// Returns the number of the last save that survives the loss of any minority of the replicas.
    pub fn durable_upto(&self) -> u64 {
        self.quorum_value(0, |r| r.upto)
    }

    /// Returns the time until which another connection waits to take the session over.
    pub fn takeover_deadline(&self) -> Millis {
        self.pending_takeover.as_ref().map_or(f64::INFINITY, |takeover| takeover.deadline)
    }

    /// Returns true while a server holds the session or may do so.
    pub fn may_be_held(&self) -> bool {
        matches!(self.state, State::Attempting | State::Established | State::Closing | State::Expiring)
    }

    /// Returns true if no operation is in progress, so that the session can be handed over.
    pub fn is_idle(&self) -> bool {
        let last = self.journal.upto();
        matches!(self.state, State::Established)
            && self.unsent_saves.is_empty()
            && self.sent_upto == last
            && self.applied_upto == last
            && self.next_replicas.is_none()
            && self.lease_request.is_none()
            && self.pending_takeover.is_none()
    }
}

#[cfg(test)]
mod tests;
