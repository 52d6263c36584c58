//! State of a claim on a session: the answers of its replicas and the resulting next step.

pub mod search;

use crate::pending_calls::CallNumber;
use marllink::{Millis, RequestId};
use marllink_lease_protocol::{Ballot, Configuration, Holder, Member, Pointer, Promised};
use search::Search;

/// Answer of a replica to a claim.
#[derive(Clone, Debug)]
pub enum ReplicaAnswer {
    /// No answer to the last query, or no query sent yet.
    Pending(Option<SentQuery>),
    /// The replica promises the claim.
    Promised(Box<Promised>),
    /// The replica has no record of the session, or has restarted since. It has no vote.
    NoRecord,
    /// The replica has promised the same or a higher ballot to another process.
    HigherBallot(Ballot),
    /// The session is covered by the lease of another process.
    Leased {
        /// Maximum remaining time of the lease.
        remaining_ms: Millis,
        /// The server that holds the session, as far as the replica knows.
        holder: Option<Holder>,
        /// The highest ballot that the replica has promised.
        promised: Ballot,
    },
}

/// A query that was sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentQuery {
    /// Number of the call.
    pub call: CallNumber,
    /// Highest ballot up to which the query stated that all holders have released the session.
    pub proof: Option<Ballot>,
}

/// A pointer to a later configuration that a claim completes.
#[derive(Clone, Debug)]
pub struct PendingPointer {
    pub pointer: Pointer,
    /// Number of the call that was sent to the replicas.
    pub call: CallNumber,
    /// The servers that have stored it.
    pub stored_by: Vec<u64>,
}

/// A request to a holder to release the session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseRequest {
    pub holder: Holder,
    /// Time until which the reply is awaited. A holder that exceeds it is unreachable.
    pub reply_due_at: Millis,
}

/// A claim in progress.
#[derive(Debug)]
pub struct Claim {
    pub request: RequestId,
    /// Epoch of the token that the client presented.
    pub token_epoch: u64,
    pub ballot: Ballot,
    pub replicas: Configuration,
    /// Answers of the replicas, in the order of `replicas.members`.
    pub answers: Vec<ReplicaAnswer>,
    /// Time at which the claim began, after the client's token was issued.
    pub started_at: Millis,
    /// Time at which the claim fails.
    pub deadline: Millis,
    /// Time at which the replicas that have not promised are queried again.
    pub retry_at: Millis,
    /// Highest ballot up to which all holders have released the session.
    pub released_ballot: Option<Ballot>,
    /// The last request to a holder to release the session.
    pub release_request: Option<ReleaseRequest>,
    /// The pointer that is being completed.
    pub pending_pointer: Option<PendingPointer>,
    /// True if the session was already known to this process before the claim.
    pub was_known: bool,
    /// The search for the present replicas, while those that were queried are lost.
    pub search: Option<Search>,
    /// Servers that were asked by a search and may have promised the claim.
    pub searched: Vec<Member>,
}

/// Next step of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Wait for further answers.
    Wait,
    /// The claim has succeeded, with this record of the session.
    Won(Box<Promised>),
    /// The session has moved to this configuration of replicas: query those.
    FollowPointer(Configuration),
    /// A change of the replicas is incomplete: complete this pointer first.
    CompletePointer(Pointer),
    /// Another claim has reached this epoch: retry with a higher one.
    RaiseBallot(u64),
    /// This server may hold the session: request its release.
    RequestRelease(Holder),
    /// The session is covered by a lease for at least this time: retry afterwards.
    RetryAfter(Millis),
    /// Too many replicas have no vote: a majority of these is impossible.
    ReplicasLost,
}

impl Claim {
    /// Starts over with these replicas.
    pub fn query(&mut self, replicas: Configuration) {
        self.answers = vec![ReplicaAnswer::Pending(None); replicas.members.len()];
        self.replicas = replicas;
        self.pending_pointer = None;
        self.search = None;
    }

    /// Notes that a server was asked by a search, so that it learns the end of the claim.
    pub fn note_searched(&mut self, server: Member) {
        if !self.searched.contains(&server) {
            self.searched.push(server);
        }
    }

    /// Returns the servers that may have promised the claim.
    pub fn possible_promisers(&self) -> Vec<Member> {
        let mut members = self.replicas.members.clone();
        let others = self.searched.iter().filter(|member| !self.replicas.members.contains(member));
        members.extend(others);
        members
    }

    /// Starts over with the same replicas and a higher ballot.
    pub fn raise_ballot(&mut self, epoch: u64) {
        self.ballot = Ballot { epoch, attempt: 0 };
        let replicas = std::mem::take(&mut self.replicas);
        self.query(replicas);
    }

    /// Marks the replicas that have refused as unanswered, so that they are queried again. A search that has
    /// found nothing starts over: the list may have changed, or a server may have become a replica.
    pub fn retry_refused(&mut self) {
        let mut any_refused = false;
        for answer in &mut self.answers {
            if matches!(answer, ReplicaAnswer::HigherBallot(_) | ReplicaAnswer::Leased { .. }) {
                *answer = ReplicaAnswer::Pending(None);
                any_refused = true;
            }
        }
        any_refused |= self.search.as_mut().is_some_and(Search::retry_refused);
        if !any_refused && self.search.as_ref().is_some_and(Search::is_complete) {
            self.search = None;
        }
    }

    /// Forgets the query that was sent to a server on a link that has ended since: it may be lost.
    pub fn forget_query(&mut self, server: u64) {
        if let Some(answer @ ReplicaAnswer::Pending(Some(_))) = self.answer_of(server) {
            *answer = ReplicaAnswer::Pending(None);
        }
        if let Some(search) = &mut self.search {
            search.forget_query(server);
        }
    }

    /// Returns true if the claim waits for this server, and names another run of it than this incarnation.
    pub fn waits_for_other_run(&self, server: u64, incarnation: u64) -> bool {
        let mut replicas = self.replicas.members.iter().zip(&self.answers);
        replicas.any(|(member, answer)| {
            member.server == server
                && member.incarnation != incarnation
                && matches!(answer, ReplicaAnswer::Pending(_))
        })
    }

    /// Returns true if a query must be sent to a replica with this answer: none was sent, or one without the
    /// proof that there is now.
    pub fn needs_query(&self, answer: &ReplicaAnswer) -> bool {
        match answer {
            ReplicaAnswer::Pending(None) => true,
            ReplicaAnswer::Pending(Some(sent)) => sent.proof < self.released_ballot,
            _ => false,
        }
    }

    /// Returns the answer of this server.
    pub fn answer_of(&mut self, server: u64) -> Option<&mut ReplicaAnswer> {
        let index = self.replicas.members.iter().position(|m| m.server == server)?;
        self.answers.get_mut(index)
    }

    /// Returns the answer of this server, to be set from the reply to a call. Returns `None` if the call was
    /// not the last one to this server: an answer to an earlier query says nothing about a later one.
    pub fn answer_to(&mut self, server: u64, call: CallNumber) -> Option<&mut ReplicaAnswer> {
        let is_pointer_call = self.pending_pointer.as_ref().is_some_and(|pending| pending.call == call);
        let answer = self.answer_of(server)?;
        let is_last_query = matches!(answer, ReplicaAnswer::Pending(Some(sent)) if sent.call == call);
        (is_last_query || is_pointer_call).then_some(answer)
    }

    /// Returns true if too many replicas have no vote, so that a majority is impossible.
    pub fn has_lost_majority(&self) -> bool {
        // A replica that refuses still has a vote, which it may give to a later query.
        let votes = self.answers.iter().filter(|a| !matches!(a, ReplicaAnswer::NoRecord)).count();
        votes < self.replicas.majority()
    }

    pub fn was_requested_to_release(&self, holder: Holder) -> bool {
        self.release_request.is_some_and(|request| request.holder == holder)
    }

    /// Returns the time until which the reply to a release request is awaited, if it is.
    pub fn release_reply_due_at(&self, now: Millis) -> Option<Millis> {
        let request = self.release_request?;
        let is_awaited = self.released_ballot < Some(request.holder.ballot) && now < request.reply_due_at;
        is_awaited.then_some(request.reply_due_at)
    }

    /// Determines the next step from the answers so far.
    pub fn next_step(&self) -> Step {
        let majority = self.replicas.majority();
        let promised: Vec<&Promised> = self
            .answers
            .iter()
            .filter_map(|a| if let ReplicaAnswer::Promised(p) = a { Some(&**p) } else { None })
            .collect();
        if promised.len() >= majority {
            return self.decide_by_majority(&promised);
        }
        if self.has_lost_majority() {
            return Step::ReplicasLost;
        }
        // An unreachable replica never answers, so refusals must be resolved without waiting for it.
        let higher_epoch = self.answers.iter().filter_map(|a| match a {
            ReplicaAnswer::HigherBallot(ballot) => Some(ballot.epoch),
            _ => None,
        });
        if let Some(epoch) = higher_epoch.max() {
            return Step::RaiseBallot(epoch);
        }
        let leased: Vec<_> = self
            .answers
            .iter()
            .filter_map(|a| match a {
                ReplicaAnswer::Leased { remaining_ms, holder, promised } => {
                    Some((*remaining_ms, *holder, *promised))
                }
                _ => None,
            })
            .collect();
        // No release is requested from a holder below the highest promised ballot: a later claim has
        // superseded it, and the session has been released already or is that claim's to release.
        let highest_promised = leased.iter().map(|(_, _, promised)| *promised).max();
        let holder = leased.iter().filter_map(|(_, holder, _)| *holder).max_by_key(|h| h.ballot);
        match holder.filter(|h| Some(h.ballot) == highest_promised) {
            Some(holder) if !self.was_requested_to_release(holder) => return Step::RequestRelease(holder),
            _ => {}
        }
        // This many further promises are needed. The leases that end first provide them.
        let missing = majority - promised.len();
        let mut remaining: Vec<_> = leased.iter().map(|(remaining, ..)| *remaining).collect();
        remaining.sort_by(f64::total_cmp);
        match remaining.get(missing - 1) {
            Some(remaining) => Step::RetryAfter(*remaining),
            None => Step::Wait,
        }
    }

    /// Determines the next step after a majority has promised the claim.
    fn decide_by_majority(&self, promised: &[&Promised]) -> Step {
        let number = self.replicas.number;
        let latest =
            promised.iter().max_by_key(|p| (p.written, p.journal.upto)).expect("there is a majority");
        // A replica that is also a member of a later configuration may store a record written under that
        // configuration. Such a record is only written after a majority here has stored the pointer.
        let reconfigured = promised.iter().any(|p| p.configuration > number);
        // Otherwise, a pointer older than the latest journal was never completed.
        let pointer = promised
            .iter()
            .flat_map(|p| &p.pointers)
            .filter(|p| p.to.number > number && (reconfigured || p.ballot >= latest.written))
            .min_by_key(|p| (p.to.number, std::cmp::Reverse(p.ballot)));
        let Some(pointer) = pointer else {
            return if reconfigured { Step::Wait } else { Step::Won(Box::new((*latest).clone())) };
        };
        let has_pointer = |p: &&&Promised| p.pointers.iter().any(|other| other.to == pointer.to);
        if reconfigured || promised.iter().filter(has_pointer).count() >= self.replicas.majority() {
            Step::FollowPointer(pointer.to.clone())
        } else {
            Step::CompletePointer(pointer.clone())
        }
    }
}

#[cfg(test)]
mod tests;
