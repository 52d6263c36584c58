//! Bounded places for connections that have not yet said what they want, oldest first.
//!
//! When all are taken the oldest must leave for a newcomer: who comes in earnest says at once what it
//! wants, so the oldest is the least likely to.

use crate::descriptors::{Descriptor, Descriptors, Purpose};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Places for connections of one purpose.
pub struct Places {
    descriptors: Rc<Descriptors>,
    purpose: Purpose,
    next: Cell<u64>,
    leave: RefCell<BTreeMap<u64, Rc<Notify>>>,
    left: Notify,
}

/// The place of one of them, given back when dropped.
pub struct Place {
    places: Rc<Places>,
    number: u64,
    leave: Rc<Notify>,
    descriptor: Option<Descriptor>,
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
            if let Some((_, oldest)) = self.leave.borrow_mut().pop_first() {
                oldest.notify_one();
            }
            left.await;
        };
        let number = self.next.replace(self.next.get() + 1);
        let leave = Rc::new(Notify::new());
        self.leave.borrow_mut().insert(number, leave.clone());
        Place { places: self.clone(), number, leave, descriptor: Some(descriptor) }
    }
}

impl Place {
    /// Resolves once the place is needed for a newcomer.
    pub fn needed(&self) -> impl Future<Output = ()> + use<> {
        let leave = self.leave.clone();
        async move { leave.notified().await }
    }

    /// Gives the place back.
    pub fn release(&mut self) {
        if self.descriptor.take().is_some() {
            self.places.leave.borrow_mut().remove(&self.number);
            self.places.left.notify_one();
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.release();
    }
}
