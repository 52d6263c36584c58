//! The file descriptors that the process may hold.
//!
//! Whoever opens a socket takes a [`Descriptor`] first and drops it after the socket, so the count
//! is given back in one place.

use std::cell::Cell;
use std::rc::Rc;

/// Kept back: standard streams, the listener, the event queue, signals, discovery's calls, and
/// some for what the libraries open.
const OWN: usize = 24;
/// The share of the rest that is for connections which have not said yet what they want, or are
/// being turned away: clients hold at most a third, and so do their connections to form hosts.
const OPENINGS: f64 = 0.25;

/// What is left of the limit.
#[derive(Debug)]
pub struct Descriptors {
    general: Cell<usize>,
    openings: Cell<usize>,
}

/// One descriptor, given back when dropped.
#[derive(Debug)]
pub struct Descriptor {
    pool: Rc<Descriptors>,
    opening: bool,
}

impl Descriptors {
    /// All of `limit` but what the process needs for itself.
    pub fn new(limit: usize) -> Rc<Self> {
        let left = limit.saturating_sub(OWN);
        // Without any, nobody could even be turned away.
        let openings = ((left as f64 * OPENINGS) as usize).max(1);
        Rc::new(Self { general: Cell::new(left.saturating_sub(openings)), openings: Cell::new(openings) })
    }

    /// One for a client's connection that is served, or for one to a form host.
    pub fn take(self: &Rc<Self>) -> Option<Descriptor> {
        self.general.set(self.general.get().checked_sub(1)?);
        Some(Descriptor { pool: self.clone(), opening: false })
    }

    /// One for a connection that has just come.
    pub fn take_for_opening(self: &Rc<Self>) -> Option<Descriptor> {
        self.openings.set(self.openings.get().checked_sub(1)?);
        Some(Descriptor { pool: self.clone(), opening: true })
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let count = if self.opening { &self.pool.openings } else { &self.pool.general };
        count.set(count.get() + 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn served_connections_and_openings_take_nothing_from_each_other_and_all_come_back() {
        let pool = Descriptors::new(OWN + 8);
        let taken: Vec<_> = std::iter::from_fn(|| pool.take()).collect();
        let opening: Vec<_> = std::iter::from_fn(|| pool.take_for_opening()).collect();
        assert_eq!((taken.len(), opening.len()), (6, 2));
        drop((taken, opening));
        assert_eq!((pool.general.get(), pool.openings.get()), (6, 2));
        assert!(Descriptors::new(3).take().is_none());
        assert!(Descriptors::new(3).take_for_opening().is_some());
    }
}
