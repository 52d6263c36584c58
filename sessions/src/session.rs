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
    Asked,
    /// Its connection stands.
    Standing,
    /// The connection's client has gone; its form host may still hold the session.
    Ending,
    /// Nobody holds it. The last owner takes care of its keepers.
    Away,
}

/// What a keeper has been seen to store.
#[derive(Clone, Debug)]
pub struct Vote {
    /// Whose it is.
    pub member: Member,
    /// The generation of its link under which the record was written there, and since when no lease
    /// has lapsed if that is still the link's.
    pub written: Option<u32>,
    /// The same, under way.
    pub sent: Option<u32>,
    /// It has all saves up to this one.
    pub upto: u64,
    /// It has the pointer to the next configuration.
    pub pointed: bool,
}

impl Vote {
    /// Of a keeper that stores nothing yet.
    pub fn new(member: Member) -> Self {
        Self { member, written: None, sent: None, upto: 0, pointed: false }
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
    pub asked_at: Millis,
    pub ballot: Ballot,
    /// The epoch that its client has confirmed.
    pub confirmed: u64,
    pub keepers: Configuration,
    /// The configuration that is to follow.
    pub next: Option<Configuration>,
    /// The pointers to that are under way.
    pub pointing: bool,
    /// Of every member of both.
    pub votes: Vec<Vote>,
    pub journal: Journal,
    /// Saves in the journal that the holder has not been given, the oldest first.
    pub pending: VecDeque<Field>,
    /// The holder has been given all saves up to this one ...
    pub sent: u64,
    /// ... and has applied all up to this one.
    pub applied: u64,
    /// The form host of the attempt that is out or stands.
    pub holder: Option<ServerId>,
    /// It has asked for a lease by this number and had no answer yet.
    pub asks: Option<u64>,
    /// It has had one.
    pub leased: bool,
    /// It lets go by then at the latest, on this clock.
    pub hold_until: Millis,
    /// The client gets a token then.
    pub token_at: Millis,
    /// The last token expires then.
    pub expires_at: Millis,
    /// Another connection that waits for this one's end: its request, the epoch of its token, and
    /// until when it waits.
    pub successor: Option<(RequestId, u64, Millis)>,
    /// The process that passed it on, until the keepers know of that.
    pub from: u64,
}

impl Session {
    /// One that nothing is known of yet.
    pub fn new(id: SessionId, state: State, request: Option<RequestId>, now: Millis) -> Self {
        Self {
            id,
            state,
            request,
            asked_at: now,
            ballot: Ballot { epoch: 1, attempt: 0 },
            confirmed: 0,
            keepers: Configuration::default(),
            next: None,
            pointing: false,
            votes: Vec::new(),
            journal: Journal::default(),
            pending: VecDeque::new(),
            sent: 0,
            applied: 0,
            holder: None,
            asks: None,
            leased: false,
            hold_until: 0.0,
            token_at: f64::INFINITY,
            expires_at: f64::INFINITY,
            successor: None,
            from: 0,
        }
    }

    /// Goes over to another ballot: nothing has been stored under that yet.
    pub fn bid(&mut self, ballot: Ballot) {
        self.ballot = ballot;
        self.from = 0;
        self.pointing = false;
        for vote in &mut self.votes {
            *vote = Vote::new(vote.member);
        }
    }

    /// Is kept by these from now on, with nothing stored yet.
    pub fn keep_by(&mut self, keepers: Configuration) {
        self.votes = keepers.members.iter().copied().map(Vote::new).collect();
        self.next = None;
        self.pointing = false;
        self.keepers = keepers;
    }

    /// The vote of the keeper at this form host.
    pub fn vote(&mut self, server: u64) -> Option<&mut Vote> {
        self.votes.iter_mut().find(|v| v.member.server == server)
    }

    /// What a majority of the keepers has at least, and while they change a majority of both: `of` tells
    /// it for one of them.
    pub fn quorum<T: PartialOrd + Copy>(&self, none: T, of: impl Fn(&Vote) -> T) -> T {
        let majority = |keepers: &Configuration| {
            let vote = |m: &Member| self.votes.iter().find(|v| v.member == *m).map_or(none, &of);
            let mut all: Vec<T> = keepers.members.iter().map(vote).collect();
            all.sort_by(|a, b| b.partial_cmp(a).unwrap_or(std::cmp::Ordering::Equal));
            all.get(keepers.majority() - 1).copied().unwrap_or(none)
        };
        let now = majority(&self.keepers);
        match self.next.as_ref().map(majority) {
            Some(next) if next < now => next,
            _ => now,
        }
    }

    /// The last save that outlives the loss of a minority of the keepers.
    pub fn durable(&self) -> u64 {
        self.quorum(0, |v| v.upto)
    }

    /// True while a form host holds it or may soon.
    pub fn out(&self) -> bool {
        matches!(self.state, State::Asked | State::Standing | State::Ending)
    }

    /// True if another process could go on with it from here.
    pub fn idle(&self) -> bool {
        let all = self.journal.upto();
        matches!(self.state, State::Standing)
            && self.pending.is_empty()
            && self.sent == all
            && self.applied == all
            && self.next.is_none()
            && self.asks.is_none()
            && self.successor.is_none()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_quorum_is_a_majority_and_of_both_while_keepers_change() {
        let member = |n: u64| Member { server: n, incarnation: 1 };
        let keepers = |number, of: [u64; 3]| Configuration { number, members: of.map(member).into() };
        let mut session = Session::new(SessionId::default(), State::Standing, None, 0.0);
        session.keep_by(keepers(1, [1, 2, 3]));
        for (server, upto) in [(1, 9), (2, 7), (3, 4)] {
            session.vote(server).expect("it is one").upto = upto;
        }
        assert_eq!(session.durable(), 7);
        session.votes.push(Vote::new(member(4)));
        session.next = Some(keepers(2, [1, 3, 4]));
        assert_eq!(session.durable(), 4);
        session.vote(4).expect("it is one").upto = 8;
        assert_eq!(session.durable(), 7, "the old ones hold it back");
        session.keep_by(Configuration { number: 3, members: vec![member(1)] });
        session.vote(1).expect("it is one").upto = 5;
        assert_eq!(session.durable(), 5);
    }
}
