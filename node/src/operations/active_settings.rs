//! The active settings, and the only place where they are replaced.

use marllink_settings::Parsed;
use std::cell::RefCell;
use std::rc::Rc;

/// The active settings.
#[derive(Debug)]
pub struct ActiveSettings(RefCell<Rc<Parsed>>);

impl ActiveSettings {
    /// Starts with these settings.
    pub fn new(settings: Parsed) -> Rc<Self> {
        Rc::new(Self(RefCell::new(Rc::new(settings))))
    }

    /// Returns the current settings. The result should not be kept, as a reload replaces them.
    pub fn current(&self) -> Rc<Parsed> {
        self.0.borrow().clone()
    }

    /// Replaces the settings.
    pub fn replace(&self, settings: Parsed) {
        *self.0.borrow_mut() = Rc::new(settings);
    }
}
