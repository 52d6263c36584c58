//! The project's emulated servers on sockets, and the log that they write.
#![allow(dead_code)]

#[path = "../../../emulator/src/sockets/servers.rs"]
mod servers;

pub use servers::{ServerConfig, ServerFault, Servers};

use crate::model::{Entry, Millis, Note};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// The clock and the log of all servers.
pub struct EntryLog {
    origin: Instant,
    entries: RefCell<Vec<Entry>>,
}

impl EntryLog {
    pub fn new() -> Rc<Self> {
        Rc::new(Self { origin: Instant::now(), entries: RefCell::default() })
    }

    /// Milliseconds since the start of the clock.
    pub fn now(&self) -> Millis {
        self.origin.elapsed().as_secs_f64() * 1_000.0
    }

    /// Appends an entry.
    pub fn record(&self, by: &str, note: Note) {
        self.entries.borrow_mut().push(Entry { at: self.now(), by: by.to_owned(), note });
    }

    /// Removes and returns all entries so far.
    pub fn take(&self) -> Vec<Entry> {
        std::mem::take(&mut *self.entries.borrow_mut())
    }
}

pub async fn sleep(ms: Millis) {
    crate::common::sleep(ms).await;
}
