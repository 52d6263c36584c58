//! A claim on a session: what its keepers have answered, and what follows from that.

use marllink::{Millis, RequestId};
use marllink_lease_protocol::{Ballot, Configuration, Holder, Pointer, Promised};

/// What a keeper has answered.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Nothing yet.
    Waiting,
    /// It promises.
    Promised(Box<Promised>),
    /// It has no record, or has begun anew and is not the keeper that it was: it has no vote.
    None,
    /// It has promised as much or more to somebody else.
    Outbid(Ballot),
    /// It is under somebody else's lease.
    Leased {
        /// For so much longer.
        left_ms: Millis,
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
    pub keepers: Configuration,
    /// In the order of the keepers.
    pub answers: Vec<Answer>,
    /// It is given up then.
    pub until: Millis,
    /// Keepers that have not promised are asked again then.
    pub again_at: Millis,
    /// Holders up to this ballot have let go.
    pub proof: Option<Ballot>,
    /// The holder that was asked to.
    pub asked: Option<Holder>,
    /// The pointer that is being completed, and who has it by now.
    pub mending: Option<(Pointer, Vec<u64>)>,
    /// What was known here of the session before.
    pub known: bool,
}

/// What follows from the answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// More answers may come.
    Wait,
    /// The session is the claimer's, with this journal.
    Won(Box<Promised>),
    /// The keepers are others by now.
    Follow(Configuration),
    /// They are about to be: that has to be completed first.
    Mend(Pointer),
    /// Somebody else has bid as much: try again under an epoch above this one.
    Bid(u64),
    /// This form host may hold it: ask it to let go.
    Ask(Holder),
    /// It is free in so long at the earliest.
    Later(Millis),
    /// So many keepers have no vote that there is no majority any more.
    Lost,
}

impl Claim {
    /// Asks these from now on.
    pub fn ask(&mut self, keepers: Configuration) {
        self.answers = vec![Answer::Waiting; keepers.members.len()];
        self.keepers = keepers;
        self.mending = None;
    }

    /// Asks all of them again, under another ballot.
    pub fn bid(&mut self, epoch: u64) {
        self.ballot = Ballot { epoch, attempt: 0 };
        let keepers = std::mem::take(&mut self.keepers);
        self.ask(keepers);
    }

    /// Asks those again that have not promised and might.
    pub fn ask_again(&mut self) {
        for answer in &mut self.answers {
            if matches!(answer, Answer::Outbid(_) | Answer::Leased { .. }) {
                *answer = Answer::Waiting;
            }
        }
    }

    /// Where the answer of this form host stands.
    pub fn answer(&mut self, server: u64) -> Option<&mut Answer> {
        let at = self.keepers.members.iter().position(|m| m.server == server)?;
        self.answers.get_mut(at)
    }

    /// Tells what follows from the answers so far.
    pub fn step(&self) -> Step {
        let majority = self.keepers.majority();
        let promised: Vec<&Promised> = self
            .answers
            .iter()
            .filter_map(|a| if let Answer::Promised(p) = a { Some(&**p) } else { None })
            .collect();
        if promised.len() >= majority {
            return self.decide(&promised);
        }
        let waiting = self.answers.iter().filter(|a| matches!(a, Answer::Waiting)).count();
        // A keeper that is gone never answers: what others refuse has to be mended without it.
        let refused = |a: &Answer| matches!(a, Answer::Outbid(_) | Answer::Leased { .. });
        let may_come = promised.len() + waiting >= majority;
        if may_come && !self.answers.iter().any(refused) {
            return Step::Wait;
        }
        let outbid = self.answers.iter().filter_map(|a| match a {
            Answer::Outbid(ballot) => Some(ballot.epoch),
            _ => None,
        });
        if let Some(epoch) = outbid.max() {
            return Step::Bid(epoch);
        }
        let leased: Vec<_> = self
            .answers
            .iter()
            .filter_map(|a| match a {
                Answer::Leased { left_ms, holder, promised } => Some((*left_ms, *holder, *promised)),
                _ => None,
            })
            .collect();
        // A holder that a later claim has passed over has let go already, or will not be asked here.
        let latest = leased.iter().map(|(_, _, promised)| *promised).max();
        let holder = leased.iter().filter_map(|(_, holder, _)| *holder).max_by_key(|h| h.ballot);
        match holder.filter(|h| Some(h.ballot) == latest) {
            Some(holder) if self.asked != Some(holder) => return Step::Ask(holder),
            _ => {}
        }
        // So many more are needed; those whose lease ends first are the first to give in.
        let missing = majority - promised.len();
        let mut left: Vec<_> = leased.iter().map(|(left, ..)| *left).collect();
        left.sort_by(f64::total_cmp);
        match left.get(missing - 1) {
            Some(left) => Step::Later(*left),
            None if may_come => Step::Wait,
            None => Step::Lost,
        }
    }

    /// A majority has promised.
    fn decide(&self, promised: &[&Promised]) -> Step {
        let number = self.keepers.number;
        let latest =
            promised.iter().max_by_key(|p| (p.written, p.journal.upto)).expect("there is a majority");
        // A keeper that is one of the later ones too may have been written to as such, which nobody does
        // before the pointer is at a majority here.
        let moved = promised.iter().any(|p| p.configuration > number);
        // Else one that a later journal here has passed over was never completed.
        let pointer = promised
            .iter()
            .flat_map(|p| &p.pointers)
            .filter(|p| p.to.number > number && (moved || p.ballot >= latest.written))
            .min_by_key(|p| (p.to.number, std::cmp::Reverse(p.ballot)));
        let Some(pointer) = pointer else {
            return if moved { Step::Wait } else { Step::Won(Box::new((*latest).clone())) };
        };
        let has = |p: &&&Promised| p.pointers.iter().any(|other| other.to == pointer.to);
        if moved || promised.iter().filter(has).count() >= self.keepers.majority() {
            Step::Follow(pointer.to.clone())
        } else {
            Step::Mend(pointer.clone())
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

    fn keepers(number: u32, of: &[u64]) -> Configuration {
        let members = of.iter().map(|n| Member { server: *n, incarnation: 1 }).collect();
        Configuration { number, members }
    }

    fn claim(answers: [Answer; 3]) -> Claim {
        Claim {
            request: RequestId(1),
            token_epoch: 5,
            ballot: ballot(6, 0),
            keepers: keepers(1, &[1, 2, 3]),
            answers: answers.into(),
            until: 0.0,
            again_at: 0.0,
            proof: None,
            asked: None,
            mending: None,
            known: false,
        }
    }

    fn promised(written: Ballot, upto: u64, pointers: &[(Ballot, Configuration)]) -> Answer {
        let pointers =
            pointers.iter().map(|(ballot, to)| Pointer { ballot: *ballot, to: to.clone() }).collect();
        let journal = Journal { upto, fields: Vec::new() };
        Answer::Promised(Box::new(Promised { written, journal, pointers, ..Promised::default() }))
    }

    fn leased(left_ms: f64, holder: Option<Ballot>, promised: Ballot) -> Answer {
        Answer::Leased { left_ms, holder: holder.map(|ballot| Holder { ballot, server: 9 }), promised }
    }

    fn won(step: Step) -> (Ballot, u64) {
        let Step::Won(record) = step else { panic!("{step:?}") };
        (record.written, record.journal.upto)
    }

    #[test]
    fn the_journal_of_the_highest_ballot_wins_and_of_these_the_longest() {
        let three = || [promised(ballot(4, 1), 90, &[]), promised(ballot(5, 1), 10, &[]), Answer::Waiting];
        assert_eq!(won(claim(three()).step()), (ballot(5, 1), 10));
        let mut all = three();
        all[2] = promised(ballot(5, 1), 12, &[]);
        assert_eq!(won(claim(all).step()), (ballot(5, 1), 12));
    }

    #[test]
    fn no_majority_no_session() {
        let good = || promised(ballot(5, 1), 1, &[]);
        assert_eq!(claim([good(), Answer::None, Answer::Waiting]).step(), Step::Wait);
        assert_eq!(claim([good(), Answer::None, Answer::None]).step(), Step::Lost);
        assert_eq!(claim([good(), Answer::None, Answer::Outbid(ballot(8, 0))]).step(), Step::Bid(8));
        let (a, b) = (leased(300.0, None, ballot(7, 0)), leased(200.0, None, ballot(7, 0)));
        assert_eq!(claim([good(), a.clone(), b.clone()]).step(), Step::Later(200.0));
        assert_eq!(claim([a, b, Answer::None]).step(), Step::Later(300.0));
        // One is gone and does not answer: the other's word must not be waited out.
        let outbid = Answer::Outbid(ballot(8, 0));
        assert_eq!(claim([good(), outbid, Answer::Waiting]).step(), Step::Bid(8));
        let leased = leased(200.0, None, ballot(7, 0));
        assert_eq!(claim([good(), leased, Answer::Waiting]).step(), Step::Later(200.0));
    }

    #[test]
    fn a_holder_is_asked_to_let_go_once_and_not_if_a_later_claim_has_passed_it_over() {
        let held = || leased(1_000.0, Some(ballot(5, 1)), ballot(5, 1));
        let mut asking = claim([held(), held(), Answer::Waiting]);
        asking.answers[2] = held();
        let Step::Ask(holder) = asking.step() else { panic!("{:?}", asking.step()) };
        assert_eq!((holder.server, holder.ballot), (9, ballot(5, 1)));
        asking.asked = Some(holder);
        assert_eq!(asking.step(), Step::Later(1_000.0));
        let passed_over =
            claim([held(), leased(500.0, None, ballot(6, 0)), leased(500.0, None, ballot(6, 0))]);
        assert_eq!(passed_over.step(), Step::Later(500.0));
    }

    #[test]
    fn a_pointer_is_followed_once_a_majority_has_it_and_passed_over_if_it_is_older_than_a_journal() {
        let to = || keepers(2, &[1, 2, 4]);
        let pointed = || promised(ballot(5, 1), 1, &[(ballot(5, 1), to())]);
        let plain = || promised(ballot(5, 1), 1, &[]);
        assert_eq!(claim([pointed(), pointed(), Answer::Waiting]).step(), Step::Follow(to()));
        let mend = claim([pointed(), plain(), Answer::Waiting]).step();
        assert_eq!(mend, Step::Mend(Pointer { ballot: ballot(5, 1), to: to() }));
        let later = promised(ballot(5, 2), 1, &[]);
        assert_eq!(won(claim([pointed(), later, Answer::Waiting]).step()), (ballot(5, 2), 1));
        // One that was written to as one of the later ones tells that the pointer was completed.
        let mut written = promised(ballot(5, 4), 9, &[(ballot(5, 1), to())]);
        if let Answer::Promised(record) = &mut written {
            record.configuration = 2;
        }
        assert_eq!(claim([written, plain(), Answer::Waiting]).step(), Step::Follow(to()));
        // The way leads from one to the next, none left out.
        let both = [(ballot(5, 1), to()), (ballot(5, 1), keepers(3, &[4, 5, 6]))];
        let both = || promised(ballot(5, 1), 1, &both);
        assert_eq!(claim([both(), both(), Answer::Waiting]).step(), Step::Follow(to()));
        let mut following = claim([both(), both(), plain()]);
        following.keepers = keepers(2, &[1, 2, 4]);
        assert_eq!(following.step(), Step::Follow(keepers(3, &[4, 5, 6])));
    }
}
