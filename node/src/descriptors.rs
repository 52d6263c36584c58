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
/// being turned away: clients hold at most a third, and so do their connections to form hosts.
const OPENINGS: f64 = 0.25;

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
    limit: Cell<usize>,
    used: [Cell<usize>; 3],
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
        Rc::new(Self { limit: limit.into(), used: Default::default() })
    }

    /// How many there are for a purpose.
    fn share(&self, purpose: Purpose) -> usize {
        let limit = self.limit.get();
        // Without any, nobody could even be turned away.
        let calls = (limit / CALLS_SHARE).clamp(1, MOST_CALLS);
        let left = limit.saturating_sub(OWN + calls);
        let openings = ((left as f64 * OPENINGS) as usize).max(1);
        match purpose {
            Purpose::Served => left.saturating_sub(openings),
            Purpose::Opening => openings,
            Purpose::Call => calls,
        }
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
        assert_eq!(counts(), [22, 7, 3]);
        let small = Descriptors::new(3);
        assert!(small.take(Purpose::Served).is_none());
        assert!(small.take(Purpose::Opening).is_some() && small.take(Purpose::Call).is_some());
    }
}
