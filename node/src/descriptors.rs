//! The file descriptors that the process may hold.
//!
//! Whoever opens a socket takes a [`Descriptor`] first and drops it after the socket, so the count
//! is given back in one place.

use std::cell::Cell;
use std::rc::Rc;

/// Kept back: standard streams, the listener, the event queue, signals, discovery's calls, and
/// some for what the libraries open.
const OWN: usize = 24;
/// Kept back for clients that come when all else is in use: they are refused, and not left unheard.
const REFUSALS: usize = 32;

/// What is left of the limit.
#[derive(Debug)]
pub struct Descriptors {
    general: Cell<usize>,
    refusals: Cell<usize>,
}

/// One descriptor, given back when dropped.
#[derive(Debug)]
pub struct Descriptor {
    pool: Rc<Descriptors>,
    refusal: bool,
}

impl Descriptors {
    /// All of `limit` but what the process needs for itself.
    pub fn new(limit: usize) -> Rc<Self> {
        let left = limit.saturating_sub(OWN);
        let refusals = REFUSALS.min(left / 4);
        Rc::new(Self { general: Cell::new(left - refusals), refusals: Cell::new(refusals) })
    }

    /// One for any use.
    pub fn take(self: &Rc<Self>) -> Option<Descriptor> {
        self.general.set(self.general.get().checked_sub(1)?);
        Some(Descriptor { pool: self.clone(), refusal: false })
    }

    /// One for a client that will be refused.
    pub fn take_for_refusal(self: &Rc<Self>) -> Option<Descriptor> {
        self.refusals.set(self.refusals.get().checked_sub(1)?);
        Some(Descriptor { pool: self.clone(), refusal: true })
    }
}

impl Descriptor {
    /// True if its holder can only be refused.
    pub fn for_refusal(&self) -> bool {
        self.refusal
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let count = if self.refusal { &self.pool.refusals } else { &self.pool.general };
        count.set(count.get() + 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn when_all_are_in_use_some_are_left_to_refuse_with_and_all_come_back() {
        let pool = Descriptors::new(OWN + 8);
        let taken: Vec<_> = std::iter::from_fn(|| pool.take()).collect();
        let refusing: Vec<_> = std::iter::from_fn(|| pool.take_for_refusal()).collect();
        assert_eq!((taken.len(), refusing.len()), (6, 2));
        drop((taken, refusing));
        assert_eq!((pool.general.get(), pool.refusals.get()), (6, 2));
        assert!(Descriptors::new(3).take().is_none());
    }
}
