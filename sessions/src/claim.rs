//! A claim on a session: what its keepers have answered, and what follows from that.

use marllink::{Millis, RequestId};
use marllink_lease_protocol::{Ballot, Configuration, Holder, Pointer, Promised};

/// What a keeper has answered.
#[derive(Clone, Debug)]
pub enum ReplicaAnswer {
    /// Nothing yet.
    Pending,
    /// It promises.
    Promised(Box<Promised>),
    /// It has no record, or has begun anew and is not the keeper that it was: it has no vote.
    NoRecord,
    /// It has promised as much or more to somebody else.
    HigherBallot(Ballot),
    /// It is under somebody else's lease.
    Leased {
        /// For so much longer.
        remaining_ms: Millis,
        /// Held by this form host, as far as it knows.
        holder: Option<Holder>,
        /// What it has promised.
        promised: Ballot,
    },
}

/// A claim under way.
#[derive(Debug)]
pub struct Claim {
    pub request: RequestId,
    pub token_epoch: u64,
    pub ballot: Ballot,
    pub replicas: Configuration,
    /// In the order of the keepers.
    pub answers: Vec<ReplicaAnswer>,
    /// It is given up then.
    pub deadline: Millis,
    /// Keepers that have not promised are asked again then.
    pub retry_at: Millis,
    /// Holders up to this ballot have let go.
    pub released_ballot: Option<Ballot>,
    /// The holder that was asked to.
    pub release_requested: Option<Holder>,
    /// The pointer that is being completed, and who has it by now.
    pub pending_pointer: Option<(Pointer, Vec<u64>)>,
    /// What was known here of the session before.
    pub was_known: bool,
}

/// What follows from the answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// More answers may come.
    Wait,
    /// The session is the claimer's, with this journal.
    Won(Box<Promised>),
    /// The keepers are others by now.
    FollowPointer(Configuration),
    /// They are about to be: that has to be completed first.
    CompletePointer(Pointer),
    /// Somebody else has bid as much: try again under an epoch above this one.
    RaiseBallot(u64),
    /// This form host may hold it: ask it to let go.
    RequestRelease(Holder),
    /// It is free in so long at the earliest.
    RetryAfter(Millis),
    /// So many keepers have no vote that there is no majority any more.
    ReplicasLost,
}

impl Claim {
    /// Asks these from now on.
    pub fn query(&mut self, replicas: Configuration) {
        self.answers = vec![ReplicaAnswer::Pending; replicas.members.len()];
        self.replicas = replicas;
        self.pending_pointer = None;
    }

    /// Asks all of them again, under another ballot.
    pub fn raise_ballot(&mut self, epoch: u64) {
        self.ballot = Ballot { epoch, attempt: 0 };
        let replicas = std::mem::take(&mut self.replicas);
        self.query(replicas);
    }

    /// Asks those again that have not promised and might.
    pub fn retry_refused(&mut self) {
        for answer in &mut self.answers {
            if matches!(answer, ReplicaAnswer::HigherBallot(_) | ReplicaAnswer::Leased { .. }) {
                *answer = ReplicaAnswer::Pending;
            }
        }
    }

    /// Where the answer of this form host stands.
    pub fn answer_of(&mut self, server: u64) -> Option<&mut ReplicaAnswer> {
        let at = self.replicas.members.iter().position(|m| m.server == server)?;
        self.answers.get_mut(at)
    }

    /// Tells what follows from the answers so far.
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
        // A keeper that is gone never answers: what others refuse has to be mended without it.
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
        // A holder that a later claim has passed over has let go already, or will not be asked here.
        let highest_promised = leased.iter().map(|(_, _, promised)| *promised).max();
        let holder = leased.iter().filter_map(|(_, holder, _)| *holder).max_by_key(|h| h.ballot);
        match holder.filter(|h| Some(h.ballot) == highest_promised) {
            Some(holder) if self.release_requested != Some(holder) => return Step::RequestRelease(holder),
            _ => {}
        }
        // So many more are needed; those whose lease ends first are the first to give in.
        let missing = majority - promised.len();
        let mut remaining: Vec<_> = leased.iter().map(|(remaining, ..)| *remaining).collect();
        remaining.sort_by(f64::total_cmp);
        match remaining.get(missing - 1) {
            Some(remaining) => Step::RetryAfter(*remaining),
            None if majority_possible => Step::Wait,
            None => Step::ReplicasLost,
        }
    }

    /// A majority has promised.
    fn decide_by_majority(&self, promised: &[&Promised]) -> Step {
        let number = self.replicas.number;
        let latest =
            promised.iter().max_by_key(|p| (p.written, p.journal.upto)).expect("there is a majority");
        // A keeper that is one of the later ones too may have been written to as such, which nobody does
        // before the pointer is at a majority here.
        let reconfigured = promised.iter().any(|p| p.configuration > number);
        // Else one that a later journal here has passed over was never completed.
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

    fn replicas(number: u32, of: &[u64]) -> Configuration {
        let members = of.iter().map(|n| Member { server: *n, incarnation: 1 }).collect();
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
    fn the_journal_of_the_highest_ballot_wins_and_of_these_the_longest() {
        let three =
            || [promised(ballot(4, 1), 90, &[]), promised(ballot(5, 1), 10, &[]), ReplicaAnswer::Pending];
        assert_eq!(won(claim(three()).next_step()), (ballot(5, 1), 10));
        let mut all = three();
        all[2] = promised(ballot(5, 1), 12, &[]);
        assert_eq!(won(claim(all).next_step()), (ballot(5, 1), 12));
    }

    #[test]
    fn no_majority_no_session() {
        let good = || promised(ballot(5, 1), 1, &[]);
        assert_eq!(claim([good(), ReplicaAnswer::NoRecord, ReplicaAnswer::Pending]).next_step(), Step::Wait);
        assert_eq!(
            claim([good(), ReplicaAnswer::NoRecord, ReplicaAnswer::NoRecord]).next_step(),
            Step::ReplicasLost
        );
        assert_eq!(
            claim([good(), ReplicaAnswer::NoRecord, ReplicaAnswer::HigherBallot(ballot(8, 0))]).next_step(),
            Step::RaiseBallot(8)
        );
        let (a, b) = (leased(300.0, None, ballot(7, 0)), leased(200.0, None, ballot(7, 0)));
        assert_eq!(claim([good(), a.clone(), b.clone()]).next_step(), Step::RetryAfter(200.0));
        assert_eq!(claim([a, b, ReplicaAnswer::NoRecord]).next_step(), Step::RetryAfter(300.0));
        // One is gone and does not answer: the other's word must not be waited out.
        let higher_epoch = ReplicaAnswer::HigherBallot(ballot(8, 0));
        assert_eq!(claim([good(), higher_epoch, ReplicaAnswer::Pending]).next_step(), Step::RaiseBallot(8));
        let leased = leased(200.0, None, ballot(7, 0));
        assert_eq!(claim([good(), leased, ReplicaAnswer::Pending]).next_step(), Step::RetryAfter(200.0));
    }

    #[test]
    fn a_holder_is_asked_to_let_go_once_and_not_if_a_later_claim_has_passed_it_over() {
        let held = || leased(1_000.0, Some(ballot(5, 1)), ballot(5, 1));
        let mut asking = claim([held(), held(), ReplicaAnswer::Pending]);
        asking.answers[2] = held();
        let Step::RequestRelease(holder) = asking.next_step() else { panic!("{:?}", asking.next_step()) };
        assert_eq!((holder.server, holder.ballot), (9, ballot(5, 1)));
        asking.release_requested = Some(holder);
        assert_eq!(asking.next_step(), Step::RetryAfter(1_000.0));
        let passed_over =
            claim([held(), leased(500.0, None, ballot(6, 0)), leased(500.0, None, ballot(6, 0))]);
        assert_eq!(passed_over.next_step(), Step::RetryAfter(500.0));
    }

    #[test]
    fn a_pointer_is_followed_once_a_majority_has_it_and_passed_over_if_it_is_older_than_a_journal() {
        let to = || replicas(2, &[1, 2, 4]);
        let pointed = || promised(ballot(5, 1), 1, &[(ballot(5, 1), to())]);
        let plain = || promised(ballot(5, 1), 1, &[]);
        assert_eq!(
            claim([pointed(), pointed(), ReplicaAnswer::Pending]).next_step(),
            Step::FollowPointer(to())
        );
        let mend = claim([pointed(), plain(), ReplicaAnswer::Pending]).next_step();
        assert_eq!(mend, Step::CompletePointer(Pointer { ballot: ballot(5, 1), to: to() }));
        let later = promised(ballot(5, 2), 1, &[]);
        assert_eq!(won(claim([pointed(), later, ReplicaAnswer::Pending]).next_step()), (ballot(5, 2), 1));
        // One that was written to as one of the later ones tells that the pointer was completed.
        let mut written = promised(ballot(5, 4), 9, &[(ballot(5, 1), to())]);
        if let ReplicaAnswer::Promised(record) = &mut written {
            record.configuration = 2;
        }
        assert_eq!(claim([written, plain(), ReplicaAnswer::Pending]).next_step(), Step::FollowPointer(to()));
        // The way leads from one to the next, none left out.
        let both = [(ballot(5, 1), to()), (ballot(5, 1), replicas(3, &[4, 5, 6]))];
        let both = || promised(ballot(5, 1), 1, &both);
        assert_eq!(claim([both(), both(), ReplicaAnswer::Pending]).next_step(), Step::FollowPointer(to()));
        let mut following = claim([both(), both(), plain()]);
        following.replicas = replicas(2, &[1, 2, 4]);
        assert_eq!(following.next_step(), Step::FollowPointer(replicas(3, &[4, 5, 6])));
    }
}
