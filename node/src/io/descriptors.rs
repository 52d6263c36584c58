//! The file descriptors that the process may hold.
//!
//! Whoever opens a socket takes a [`Descriptor`] first and drops it after the socket, so the count
//! is given back in one place.

use std::cell::Cell;
use std::rc::Rc;

/// Kept back: standard streams, listeners, the event queue, signals, discovery's calls, connections
/// that are accepted and wait for a place, and some for what the libraries open.
const OWN: usize = 20;
/// One in so many is for operators' calls, whatever clients do ...
const CALLS_SHARE: usize = 16;
/// ... and so many are enough.
const MOST_CALLS: usize = 16;
/// The share of the rest that is for connections which have not said yet what they want, or are
/// being turned away: clients hold at most a third, and so do their connections to form hosts. What
/// these do not use is for openings, too, but for as much again, so that there is always room to serve.
const OPENINGS: f64 = 0.25;

/// So many are kept for clients that have connected and not yet asked, and for their attempts, after
/// all else was given up to a successor.
const SLACK: usize = 16;

/// What a descriptor is for. Each purpose has a share of its own, so that none starves another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A client's connection that is served, or one to a form host.
    Served,
    /// A connection that has just come.
    Opening,
    /// An operator's call.
    Call,
}

/// What is left of the limit.
#[derive(Debug)]
pub struct Descriptors {
    limit: usize,
    used: [Cell<usize>; 3],
    /// What a predecessor may hold of the limit.
    elsewhere: Cell<usize>,
    /// Since this process has handed over: how many there are for serving and openings together.
    trimmed: Cell<Option<usize>>,
}

/// One descriptor, given back when dropped.
#[derive(Debug)]
pub struct Descriptor {
    pool: Rc<Descriptors>,
    purpose: Purpose,
}

impl Descriptors {
    /// All of `limit` but what the process needs for itself.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, used: Default::default(), elsewhere: 0.into(), trimmed: Cell::default() })
    }

    /// How many there are for a purpose.
    fn share(&self, purpose: Purpose) -> usize {
        if let Some(both) = self.trimmed.get() {
            let but = |other| both.saturating_sub(self.in_use(other));
            return match purpose {
                Purpose::Served => but(Purpose::Opening),
                Purpose::Opening => but(Purpose::Served),
                Purpose::Call => self.calls(),
            };
        }
        let limit = self.limit.saturating_sub(self.elsewhere.get());
        // Without any, nobody could even be turned away.
        let calls = self.calls();
        let left = limit.saturating_sub(OWN + calls);
        let openings = ((left as f64 * OPENINGS) as usize).max(1);
        match purpose {
            Purpose::Served => left.saturating_sub(openings.max(self.in_use(Purpose::Opening))),
            Purpose::Opening => openings.max(left.saturating_sub(self.in_use(Purpose::Served) + openings)),
            Purpose::Call => calls,
        }
    }

    fn calls(&self) -> usize {
        (self.limit / CALLS_SHARE).clamp(1, MOST_CALLS)
    }

    /// A predecessor may still hold so many.
    pub fn leave(&self, elsewhere: usize) {
        self.elsewhere.set(elsewhere);
    }

    /// Gives up all that is not in use now, but for a few, to a successor. Tells how many this process
    /// may still hold, which only grows less.
    pub fn trim(&self) -> usize {
        let both = self.in_use(Purpose::Served) + self.in_use(Purpose::Opening) + SLACK;
        let both = both.min(self.trimmed.get().unwrap_or(usize::MAX));
        self.trimmed.set(Some(both));
        OWN + self.calls() + both + self.elsewhere.get()
    }

    /// Takes all back: there is no successor.
    pub fn untrim(&self) {
        self.trimmed.set(None);
    }

    /// How many are in use for a purpose.
    pub fn in_use(&self, purpose: Purpose) -> usize {
        self.used[purpose as usize].get()
    }

    /// One for this purpose, if there is one left.
    pub fn take(self: &Rc<Self>, purpose: Purpose) -> Option<Descriptor> {
        let used = &self.used[purpose as usize];
        (used.get() < self.share(purpose)).then(|| {
            used.set(used.get() + 1);
            Descriptor { pool: self.clone(), purpose }
        })
    }
}

impl Descriptors {
    /// One that comes with a socket from a predecessor, which has given it up: it is there already.
    pub fn adopt(self: &Rc<Self>) -> Descriptor {
        let used = &self.used[Purpose::Served as usize];
        used.set(used.get() + 1);
        Descriptor { pool: self.clone(), purpose: Purpose::Served }
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let used = &self.pool.used[self.purpose as usize];
        used.set(used.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn purposes_take_nothing_from_each_other_and_all_come_back() {
        let pool = Descriptors::new(OWN + 32);
        let all = |purpose| std::iter::from_fn(|| pool.take(purpose)).collect::<Vec<_>>();
        let counts = || [Purpose::Served, Purpose::Opening, Purpose::Call].map(|p| all(p).len());
        let taken = [Purpose::Served, Purpose::Opening, Purpose::Call].map(all);
        assert_eq!(taken.each_ref().map(Vec::len), [22, 7, 3]);
        assert_eq!(counts(), [0, 0, 0]);
        drop(taken);
        assert_eq!(counts(), [22, 22, 3], "openings use what others leave free");
        let crowd = all(Purpose::Opening);
        assert_eq!((crowd.len(), counts()), (22, [7, 0, 3]), "there is room to serve");
        drop(crowd);
        let held = all(Purpose::Served);
        pool.leave(12);
        assert_eq!(counts(), [0, 4, 3], "those of a predecessor are not there");
        pool.leave(0);
        assert_eq!(pool.trim(), OWN + 3 + 22 + SLACK);
        drop(held);
        assert_eq!(pool.trim(), OWN + 3 + SLACK);
        let later = all(Purpose::Served);
        assert_eq!((later.len(), counts()), (SLACK, [0, 0, 3]), "what was given up does not come back");
        let small = Descriptors::new(3);
        assert!(small.take(Purpose::Served).is_none());
        assert!(small.take(Purpose::Opening).is_some() && small.take(Purpose::Call).is_some());
    }
}
