//! The active settings, and the only place where they are replaced.

use marllink_settings::ParsedSettings;
use std::cell::RefCell;
use std::rc::Rc;

/// The active settings.
#[derive(Debug)]
pub struct ActiveSettings(RefCell<Rc<ParsedSettings>>);

impl ActiveSettings {
    /// Starts with these settings.
    pub fn new(settings: ParsedSettings) -> Rc<Self> {
        Rc::new(Self(RefCell::new(Rc::new(settings))))
    }

    /// Returns the current settings. The result should not be kept, as a reload replaces them.
    pub fn current(&self) -> Rc<ParsedSettings> {
        self.0.borrow().clone()
    }

    /// Replaces the settings.
    pub fn replace(&self, settings: ParsedSettings) {
        *self.0.borrow_mut() = Rc::new(settings);
    }
}
