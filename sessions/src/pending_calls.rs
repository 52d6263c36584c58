//! The calls of claims on a link that have not been answered yet.

use marllink_lease_protocol::{Ballot, SessionId};
use std::collections::VecDeque;

/// Number of a call, unique in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNumber(pub u64);

/// The calls of claims that one server has not answered yet, oldest first.
///
/// A reply names the session and the ballot of its call, which several calls have in common: a claim is
/// repeated under its ballot, and a pointer is written under it. Replies on a link arrive in the order of the
/// calls, so a reply answers the oldest call with its session and ballot.
#[derive(Debug, Default)]
pub struct PendingCalls {
    calls: VecDeque<PendingCall>,
}

#[derive(Debug)]
struct PendingCall {
    session: SessionId,
    ballot: Ballot,
    number: CallNumber,
}

impl PendingCalls {
    /// Adds a call that was sent.
    pub fn add(&mut self, session: SessionId, ballot: Ballot, number: CallNumber) {
        self.calls.push_back(PendingCall { session, ballot, number });
    }

    /// Removes the call that a reply with this session and ballot answers, and returns its number. Returns
    /// `None` for a reply to a call of another kind.
    pub fn take_answered(&mut self, session: SessionId, ballot: Ballot) -> Option<CallNumber> {
        let index = self.calls.iter().position(|call| (call.session, call.ballot) == (session, ballot))?;
        self.calls.remove(index).map(|call| call.number)
    }

    /// Removes all calls, as their link has ended.
    pub fn clear(&mut self) {
        self.calls.clear();
    }
}
