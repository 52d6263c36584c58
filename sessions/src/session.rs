//! A session as its owner sees it, and what its keepers have been seen to store.

use crate::claim::Claim;
use crate::journal::Journal;
use marllink::{Millis, RequestId, ServerId};
use marllink_lease_protocol::{Ballot, Configuration, Field, Member, SessionId};
use std::collections::VecDeque;

/// Where a session is in its life here.
#[derive(Debug)]
pub enum State {
    /// Its keepers are asked for it.
    Claiming(Box<Claim>),
    /// The decisions look for a form host.
    Claimed,
    /// An attempt is out.
    Attempting,
    /// Its connection stands.
    Established,
    /// The connection's client has gone; its form host may still hold the session.
    Closing,
    /// Nobody holds it. The last owner takes care of its keepers.
    Detached,
}

/// What a keeper has been seen to store.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// Whose it is.
    pub member: Member,
    /// The generation of its link under which the record was written there, and since when no lease
    /// has lapsed if that is still the link's.
    pub written_generation: Option<u32>,
    /// The same, under way.
    pub pending_generation: Option<u32>,
    /// It has all saves up to this one.
    pub upto: u64,
    /// It has the pointer to the next configuration.
    pub has_pointer: bool,
}

impl ReplicaState {
    /// Of a keeper that stores nothing yet.
    pub fn new(member: Member) -> Self {
        Self { member, written_generation: None, pending_generation: None, upto: 0, has_pointer: false }
    }
}

/// A session here.
#[derive(Debug)]
pub struct Session {
    pub id: SessionId,
    pub state: State,
    /// Its connection, while it has one.
    pub request: Option<RequestId>,
    /// When that was asked for.
    pub requested_at: Millis,
    pub ballot: Ballot,
    /// The epoch that its client has confirmed.
    pub confirmed_epoch: u64,
    pub replicas: Configuration,
    /// The configuration that is to follow.
    pub next_replicas: Option<Configuration>,
    /// The pointers to that are under way.
    pub pointers_sent: bool,
    /// Of every member of both.
    pub replica_states: Vec<ReplicaState>,
    pub journal: Journal,
    /// Saves in the journal that the holder has not been given, the oldest first.
    pub unsent_saves: VecDeque<Field>,
    /// The holder has been given all saves up to this one ...
    pub sent_upto: u64,
    /// ... and has applied all up to this one.
    pub applied_upto: u64,
    /// The form host of the attempt that is out or stands.
    pub holder: Option<ServerId>,
    /// It has asked for a lease by this number and had no answer yet.
    pub lease_request: Option<u64>,
    /// It has had one.
    pub has_lease: bool,
    /// It lets go by then at the latest, on this clock.
    pub hold_until: Millis,
    /// The client gets a token then.
    pub next_token_at: Millis,
    /// The last token expires then.
    pub token_expires_at: Millis,
    /// Another connection that waits for this one's end: its request, the epoch of its token, and
    /// until when it waits.
    pub pending_takeover: Option<(RequestId, u64, Millis)>,
    /// The process that passed it on, until the keepers know of that.
    pub previous_owner: u64,
}

impl Session {
    /// One that nothing is known of yet.
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
            journal: Journal::default(),
            unsent_saves: VecDeque::new(),
            sent_upto: 0,
            applied_upto: 0,
            holder: None,
            lease_request: None,
            has_lease: false,
            hold_until: 0.0,
            next_token_at: f64::INFINITY,
            token_expires_at: f64::INFINITY,
            pending_takeover: None,
            previous_owner: 0,
        }
    }

    /// Goes over to another ballot: nothing has been stored under that yet.
    pub fn set_ballot(&mut self, ballot: Ballot) {
        self.ballot = ballot;
        self.previous_owner = 0;
        self.pointers_sent = false;
        for replica in &mut self.replica_states {
            *replica = ReplicaState::new(replica.member);
        }
    }

    /// Is kept by these from now on, with nothing stored yet.
    pub fn set_replicas(&mut self, replicas: Configuration) {
        self.replica_states = replicas.members.iter().copied().map(ReplicaState::new).collect();
        self.next_replicas = None;
        self.pointers_sent = false;
        self.replicas = replicas;
    }

    /// The vote of the keeper at this form host.
    pub fn replica_state(&mut self, server: u64) -> Option<&mut ReplicaState> {
        self.replica_states.iter_mut().find(|r| r.member.server == server)
    }

    /// What a majority of the keepers has at least, and while they change a majority of both: `of` tells
    /// it for one of them.
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

    /// The last save that outlives the loss of a minority of the keepers.
    pub fn durable_upto(&self) -> u64 {
        self.quorum_value(0, |r| r.upto)
    }

    /// True while a form host holds it or may soon.
    pub fn may_be_held(&self) -> bool {
        matches!(self.state, State::Attempting | State::Established | State::Closing)
    }

    /// True if another process could go on with it from here.
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
mod tests {
    use super::*;

    #[test]
    fn a_quorum_is_a_majority_and_of_both_while_keepers_change() {
        let member = |n: u64| Member { server: n, incarnation: 1 };
        let replicas = |number, of: [u64; 3]| Configuration { number, members: of.map(member).into() };
        let mut session = Session::new(SessionId::default(), State::Established, None, 0.0);
        session.set_replicas(replicas(1, [1, 2, 3]));
        for (server, upto) in [(1, 9), (2, 7), (3, 4)] {
            session.replica_state(server).expect("it is one").upto = upto;
        }
        assert_eq!(session.durable_upto(), 7);
        session.replica_states.push(ReplicaState::new(member(4)));
        session.next_replicas = Some(replicas(2, [1, 3, 4]));
        assert_eq!(session.durable_upto(), 4);
        session.replica_state(4).expect("it is one").upto = 8;
        assert_eq!(session.durable_upto(), 7, "the old ones hold it back");
        session.set_replicas(Configuration { number: 3, members: vec![member(1)] });
        session.replica_state(1).expect("it is one").upto = 5;
        assert_eq!(session.durable_upto(), 5);
    }
}
