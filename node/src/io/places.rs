//! Bounded places for connections that have not yet said what they want.
//!
//! When all are taken one must leave for a newcomer: first who has had an answer and only stays, then
//! who has sent nothing for longest, as the least likely to say anything more.

use crate::io::descriptors::{Descriptor, Descriptors, Purpose};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Places for connections of one purpose.
pub struct Places {
    descriptors: Rc<Descriptors>,
    purpose: Purpose,
    next: Cell<u64>,
    /// In the order in which they leave.
    leave: RefCell<BTreeMap<Rank, Rc<Notify>>>,
    left: Notify,
}

/// False for who has had an answer, and when it was last heard of.
type Rank = (bool, u64);

/// The place of one of them, given back when dropped.
pub struct Place {
    places: Rc<Places>,
    rank: Cell<Rank>,
    leave: Rc<Notify>,
    descriptor: Cell<Option<Descriptor>>,
}

impl Places {
    /// As many places as there are descriptors for the purpose.
    pub fn new(descriptors: Rc<Descriptors>, purpose: Purpose) -> Rc<Self> {
        let (next, leave, left) = (Cell::default(), RefCell::default(), Notify::new());
        Rc::new(Self { descriptors, purpose, next, leave, left })
    }

    /// A place for a connection just accepted. Waits at most as long as another needs to close.
    pub async fn place(self: &Rc<Self>) -> Place {
        let descriptor = loop {
            if let Some(descriptor) = self.descriptors.take(self.purpose) {
                break descriptor;
            }
            let left = self.left.notified();
            if let Some((_, first)) = self.leave.borrow_mut().pop_first() {
                first.notify_one();
            }
            left.await;
        };
        let leave = Rc::new(Notify::new());
        let rank = self.enter(true, leave.clone()).into();
        Place { places: self.clone(), rank, leave, descriptor: Some(descriptor).into() }
    }

    fn enter(&self, stays_last: bool, leave: Rc<Notify>) -> Rank {
        let rank = (stays_last, self.next.replace(self.next.get() + 1));
        self.leave.borrow_mut().insert(rank, leave);
        rank
    }
}

impl Place {
    /// Resolves once the place is needed for a newcomer.
    pub fn needed(&self) -> impl Future<Output = ()> + use<> {
        let leave = self.leave.clone();
        async move { leave.notified().await }
    }

    /// It has sent something.
    pub fn heard(&self) {
        self.stay(true);
    }

    /// It has had an answer, and may stay for more while nobody else needs the place.
    pub fn answered(&self) {
        self.stay(false);
    }

    fn stay(&self, stays_last: bool) {
        // Who has been told to leave is not in the order any more.
        let leave = self.places.leave.borrow_mut().remove(&self.rank.get());
        if let Some(leave) = leave {
            self.rank.set(self.places.enter(stays_last, leave));
        }
    }

    /// Gives the place back.
    pub fn release(&self) {
        if self.descriptor.take().is_some() {
            self.places.leave.borrow_mut().remove(&self.rank.get());
            self.places.left.notify_one();
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.release();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(flavor = "current_thread")]
    async fn who_has_had_an_answer_leaves_first_and_then_who_was_silent_for_longest() {
        // 20 kept for the process, one for a call, and four.
        let places = Places::new(Descriptors::new(25), Purpose::Opening);
        let mut held = Vec::new();
        for _ in 0..3 {
            held.push(Some(places.place().await));
        }
        let at = |held: &[Option<Place>], at: usize| held[at].as_ref().expect("held").needed();
        held[0].as_ref().expect("held").heard();
        held[2].as_ref().expect("held").answered();
        for first in [2, 1, 0] {
            let needed = at(&held, first);
            let (next, ()) = tokio::join!(places.place(), async {
                needed.await;
                held[first] = None;
            });
            next.heard();
            held.push(Some(next));
        }
    }
}
