//! State of a claim on a session: the answers of its replicas and the resulting next step.

use marllink::{Millis, RequestId};
use marllink_lease_protocol::{Ballot, Configuration, Holder, Pointer, Promised};

/// Answer of a replica to a claim.
#[derive(Clone, Debug)]
pub enum ReplicaAnswer {
    /// No answer yet.
    Pending,
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
    /// Time at which the claim fails.
    pub deadline: Millis,
    /// Time at which the replicas that have not promised are queried again.
    pub retry_at: Millis,
    /// Highest ballot up to which all holders have released the session.
    pub released_ballot: Option<Ballot>,
    /// The holder that was requested to release the session.
    pub release_requested: Option<Holder>,
    /// A pointer that is being completed, and the servers that have stored it.
    pub pending_pointer: Option<(Pointer, Vec<u64>)>,
    /// True if the session was already known to this process before the claim.
    pub was_known: bool,
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
    /// Too many replicas have no vote: a majority is impossible.
    ReplicasLost,
}

impl Claim {
    /// Starts over with these replicas.
    pub fn query(&mut self, replicas: Configuration) {
        self.answers = vec![ReplicaAnswer::Pending; replicas.members.len()];
        self.replicas = replicas;
        self.pending_pointer = None;
    }

    /// Starts over with the same replicas and a higher ballot.
    pub fn raise_ballot(&mut self, epoch: u64) {
        self.ballot = Ballot { epoch, attempt: 0 };
        let replicas = std::mem::take(&mut self.replicas);
        self.query(replicas);
    }

    /// Marks the replicas that have refused as unanswered, so that they are queried again.
    pub fn retry_refused(&mut self) {
        for answer in &mut self.answers {
            if matches!(answer, ReplicaAnswer::HigherBallot(_) | ReplicaAnswer::Leased { .. }) {
                *answer = ReplicaAnswer::Pending;
            }
        }
    }

    /// Returns the answer of this server.
    pub fn answer_of(&mut self, server: u64) -> Option<&mut ReplicaAnswer> {
        let index = self.replicas.members.iter().position(|m| m.server == server)?;
        self.answers.get_mut(index)
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
        let pending = self.answers.iter().filter(|a| matches!(a, ReplicaAnswer::Pending)).count();
        // An unreachable replica never answers, so refusals must be resolved without waiting for it.
        let refused =
            |a: &ReplicaAnswer| matches!(a, ReplicaAnswer::HigherBallot(_) | ReplicaAnswer::Leased { .. });
        let majority_possible = promised.len() + pending >= majority;
        if majority_possible && !self.answers.iter().any(refused) {
            return Step::Wait;
        }
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
            Some(holder) if self.release_requested != Some(holder) => return Step::RequestRelease(holder),
            _ => {}
        }
        // This many further promises are needed. The leases that end first provide them.
        let missing = majority - promised.len();
        let mut remaining: Vec<_> = leased.iter().map(|(remaining, ..)| *remaining).collect();
        remaining.sort_by(f64::total_cmp);
        match remaining.get(missing - 1) {
            Some(remaining) => Step::RetryAfter(*remaining),
            None if majority_possible => Step::Wait,
            None => Step::ReplicasLost,
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
mod tests {
    use super::*;
    use marllink_lease_protocol::{Journal, Member};

    fn ballot(epoch: u64, attempt: u32) -> Ballot {
        Ballot { epoch, attempt }
    }

    fn replicas(number: u32, servers: &[u64]) -> Configuration {
        let members = servers.iter().map(|n| Member { server: *n, incarnation: 1 }).collect();
        Configuration { number, members }
    }

    fn claim(answers: [ReplicaAnswer; 3]) -> Claim {
        Claim {
            request: RequestId(1),
            token_epoch: 5,
            ballot: ballot(6, 0),
            replicas: replicas(1, &[1, 2, 3]),
            answers: answers.into(),
            deadline: 0.0,
            retry_at: 0.0,
            released_ballot: None,
            release_requested: None,
            pending_pointer: None,
            was_known: false,
        }
    }

    fn promised(written: Ballot, upto: u64, pointers: &[(Ballot, Configuration)]) -> ReplicaAnswer {
        let pointers =
            pointers.iter().map(|(ballot, to)| Pointer { ballot: *ballot, to: to.clone() }).collect();
        let journal = Journal { upto, fields: Vec::new() };
        ReplicaAnswer::Promised(Box::new(Promised { written, journal, pointers, ..Promised::default() }))
    }

    fn leased(remaining_ms: f64, holder: Option<Ballot>, promised: Ballot) -> ReplicaAnswer {
        ReplicaAnswer::Leased {
            remaining_ms,
            holder: holder.map(|ballot| Holder { ballot, server: 9 }),
            promised,
        }
    }

    fn won(step: Step) -> (Ballot, u64) {
        let Step::Won(record) = step else { panic!("{step:?}") };
        (record.written, record.journal.upto)
    }

    #[test]
    fn the_record_with_the_highest_ballot_and_then_the_longest_journal_wins() {
        let two_promises =
            || [promised(ballot(4, 1), 90, &[]), promised(ballot(5, 1), 10, &[]), ReplicaAnswer::Pending];
        assert_eq!(won(claim(two_promises()).next_step()), (ballot(5, 1), 10));
        let mut all = two_promises();
        all[2] = promised(ballot(5, 1), 12, &[]);
        assert_eq!(won(claim(all).next_step()), (ballot(5, 1), 12));
    }

    #[test]
    fn a_claim_without_a_majority_of_promises_never_wins() {
        let promise = || promised(ballot(5, 1), 1, &[]);
        assert_eq!(
            claim([promise(), ReplicaAnswer::NoRecord, ReplicaAnswer::Pending]).next_step(),
            Step::Wait
        );
        assert_eq!(
            claim([promise(), ReplicaAnswer::NoRecord, ReplicaAnswer::NoRecord]).next_step(),
            Step::ReplicasLost
        );
        assert_eq!(
            claim([promise(), ReplicaAnswer::NoRecord, ReplicaAnswer::HigherBallot(ballot(8, 0))])
                .next_step(),
            Step::RaiseBallot(8)
        );
        let (longer, shorter) = (leased(300.0, None, ballot(7, 0)), leased(200.0, None, ballot(7, 0)));
        assert_eq!(claim([promise(), longer.clone(), shorter.clone()]).next_step(), Step::RetryAfter(200.0));
        assert_eq!(claim([longer, shorter, ReplicaAnswer::NoRecord]).next_step(), Step::RetryAfter(300.0));
        // One replica is unreachable: the refusal of another must be acted on without waiting for it.
        let higher_epoch = ReplicaAnswer::HigherBallot(ballot(8, 0));
        assert_eq!(
            claim([promise(), higher_epoch, ReplicaAnswer::Pending]).next_step(),
            Step::RaiseBallot(8)
        );
        let leased = leased(200.0, None, ballot(7, 0));
        assert_eq!(claim([promise(), leased, ReplicaAnswer::Pending]).next_step(), Step::RetryAfter(200.0));
    }

    #[test]
    fn a_holder_is_asked_to_release_once_and_not_if_a_later_claim_was_promised() {
        let leased_by_holder = || leased(1_000.0, Some(ballot(5, 1)), ballot(5, 1));
        let mut holder_known = claim([leased_by_holder(), leased_by_holder(), ReplicaAnswer::Pending]);
        holder_known.answers[2] = leased_by_holder();
        let Step::RequestRelease(holder) = holder_known.next_step() else {
            panic!("{:?}", holder_known.next_step())
        };
        assert_eq!((holder.server, holder.ballot), (9, ballot(5, 1)));
        holder_known.release_requested = Some(holder);
        assert_eq!(holder_known.next_step(), Step::RetryAfter(1_000.0));
        let claimed_later =
            claim([leased_by_holder(), leased(500.0, None, ballot(6, 0)), leased(500.0, None, ballot(6, 0))]);
        assert_eq!(claimed_later.next_step(), Step::RetryAfter(500.0));
    }

    #[test]
    fn a_pointer_is_followed_once_a_majority_has_it_and_ignored_if_older_than_a_journal() {
        let target = || replicas(2, &[1, 2, 4]);
        let with_pointer = || promised(ballot(5, 1), 1, &[(ballot(5, 1), target())]);
        let without_pointer = || promised(ballot(5, 1), 1, &[]);
        assert_eq!(
            claim([with_pointer(), with_pointer(), ReplicaAnswer::Pending]).next_step(),
            Step::FollowPointer(target())
        );
        let step = claim([with_pointer(), without_pointer(), ReplicaAnswer::Pending]).next_step();
        assert_eq!(step, Step::CompletePointer(Pointer { ballot: ballot(5, 1), to: target() }));
        let later = promised(ballot(5, 2), 1, &[]);
        assert_eq!(
            won(claim([with_pointer(), later, ReplicaAnswer::Pending]).next_step()),
            (ballot(5, 2), 1)
        );
        // A record written under the later configuration shows that the pointer was completed.
        let mut written = promised(ballot(5, 4), 9, &[(ballot(5, 1), target())]);
        if let ReplicaAnswer::Promised(record) = &mut written {
            record.configuration = 2;
        }
        assert_eq!(
            claim([written, without_pointer(), ReplicaAnswer::Pending]).next_step(),
            Step::FollowPointer(target())
        );
        // Pointers are followed one configuration at a time.
        let pointers = [(ballot(5, 1), target()), (ballot(5, 1), replicas(3, &[4, 5, 6]))];
        let both = || promised(ballot(5, 1), 1, &pointers);
        assert_eq!(
            claim([both(), both(), ReplicaAnswer::Pending]).next_step(),
            Step::FollowPointer(target())
        );
        let mut in_second = claim([both(), both(), without_pointer()]);
        in_second.replicas = replicas(2, &[1, 2, 4]);
        assert_eq!(in_second.next_step(), Step::FollowPointer(replicas(3, &[4, 5, 6])));
    }
}
