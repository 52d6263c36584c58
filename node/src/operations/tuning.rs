//! The settings in force, in the one place where they are changed.

use marllink_settings::ParsedSettings;
use std::cell::RefCell;
use std::rc::Rc;

/// The settings in force.
#[derive(Debug)]
pub struct Tuning(RefCell<Rc<ParsedSettings>>);

impl Tuning {
    /// These are in force.
    pub fn new(settings: ParsedSettings) -> Rc<Self> {
        Rc::new(Self(RefCell::new(Rc::new(settings))))
    }

    /// Those in force now; not to be kept.
    pub fn now(&self) -> Rc<ParsedSettings> {
        self.0.borrow().clone()
    }

    /// Puts others in force.
    pub fn change(&self, settings: ParsedSettings) {
        *self.0.borrow_mut() = Rc::new(settings);
    }
}
