//! The settings in force, in the one place where they are changed.

use marllink_settings::Parsed;
use std::cell::RefCell;
use std::rc::Rc;

/// The settings in force.
#[derive(Debug)]
pub struct Tuning(RefCell<Rc<Parsed>>);

impl Tuning {
    /// These are in force.
    pub fn new(settings: Parsed) -> Rc<Self> {
        Rc::new(Self(RefCell::new(Rc::new(settings))))
    }

    /// Those in force now; not to be kept.
    pub fn now(&self) -> Rc<Parsed> {
        self.0.borrow().clone()
    }

    /// Puts others in force.
    pub fn change(&self, settings: Parsed) {
        *self.0.borrow_mut() = Rc::new(settings);
    }
}
