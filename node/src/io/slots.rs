//! Bounded slots for connections that have not sent a complete request yet.
//!
//! When all slots are taken, one connection is evicted for a new one: first those that have received an
//! answer and only stay open, then the one that has been inactive for longest, as the least likely to send
//! more.

use crate::io::descriptors::{Descriptor, Descriptors, Purpose};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Slots for connections of one purpose.
pub struct Slots {
    descriptors: Rc<Descriptors>,
    purpose: Purpose,
    next_sequence: Cell<u64>,
    /// The connections that can be evicted, in the order of eviction.
    eviction_order: RefCell<BTreeMap<Rank, Rc<Notify>>>,
    released: Notify,
}

/// Eviction rank: whether the connection still awaits an answer, then the sequence number of its last
/// activity. The lowest rank is evicted first.
type Rank = (bool, u64);

/// The slot of one connection, returned when dropped.
pub struct Slot {
    slots: Rc<Slots>,
    rank: Cell<Rank>,
    evicted: Rc<Notify>,
    descriptor: Cell<Option<Descriptor>>,
}

impl Slots {
    /// Creates as many slots as there are descriptors for the purpose.
    pub fn new(descriptors: Rc<Descriptors>, purpose: Purpose) -> Rc<Self> {
        let (next_sequence, eviction_order, released) = (Cell::default(), RefCell::default(), Notify::new());
        Rc::new(Self { descriptors, purpose, next_sequence, eviction_order, released })
    }

    /// Returns a slot for a connection just accepted. Waits at most as long as an evicted connection needs to
    /// close.
    pub async fn acquire(self: &Rc<Self>) -> Slot {
        let descriptor = loop {
            if let Some(descriptor) = self.descriptors.acquire(self.purpose) {
                break descriptor;
            }
            let released = self.released.notified();
            if let Some((_, evicted)) = self.eviction_order.borrow_mut().pop_first() {
                evicted.notify_one();
            }
            released.await;
        };
        let evicted = Rc::new(Notify::new());
        let rank = self.enqueue(true, evicted.clone()).into();
        Slot { slots: self.clone(), rank, evicted, descriptor: Some(descriptor).into() }
    }

    fn enqueue(&self, awaits_answer: bool, evicted: Rc<Notify>) -> Rank {
        let rank = (awaits_answer, self.next_sequence.replace(self.next_sequence.get() + 1));
        self.eviction_order.borrow_mut().insert(rank, evicted);
        rank
    }
}

impl Slot {
    /// Resolves once the slot is needed for a new connection.
    pub fn evicted(&self) -> impl Future<Output = ()> + use<> {
        let evicted = self.evicted.clone();
        async move { evicted.notified().await }
    }

    /// Records that the connection has sent data.
    pub fn touch(&self) {
        self.requeue(true);
    }

    /// Records that the connection has received an answer. It may stay open for more requests while no other
    /// connection needs the slot.
    pub fn mark_answered(&self) {
        self.requeue(false);
    }

    fn requeue(&self, awaits_answer: bool) {
        // A connection that is already being evicted is no longer in the order.
        let evicted = self.slots.eviction_order.borrow_mut().remove(&self.rank.get());
        if let Some(evicted) = evicted {
            self.rank.set(self.slots.enqueue(awaits_answer, evicted));
        }
    }

    /// Returns the slot.
    pub fn release(&self) {
        if self.descriptor.take().is_some() {
            self.slots.eviction_order.borrow_mut().remove(&self.rank.get());
            self.slots.released.notify_one();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(flavor = "current_thread")]
    async fn answered_connections_are_evicted_first_then_the_longest_inactive() {
        // 20 descriptors reserved for the process, one for the admin interface, and four for clients.
        let slots = Slots::new(Descriptors::new(25), Purpose::Pending);
        let mut held = Vec::new();
        for _ in 0..3 {
            held.push(Some(slots.acquire().await));
        }
        let eviction =
            |held: &[Option<Slot>], index: usize| held[index].as_ref().expect("the slot is held").evicted();
        held[0].as_ref().expect("the slot is held").touch();
        held[2].as_ref().expect("the slot is held").mark_answered();
        for index in [2, 1, 0] {
            let evicted = eviction(&held, index);
            let (new_slot, ()) = tokio::join!(slots.acquire(), async {
                evicted.await;
                held[index] = None;
            });
            new_slot.touch();
            held.push(Some(new_slot));
        }
    }
}
