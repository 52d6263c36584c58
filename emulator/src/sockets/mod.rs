//! The models of sessions on loopback sockets: servers, discovery and clients on one thread, in real time.

mod clients;
mod discovery;
mod servers;

pub use clients::{Impostor, SessionClients};
pub use discovery::Discovery;
pub use servers::{ServerConfig, ServerFault, Servers};

use crate::model::{Entry, Millis, Note};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// The experiment's clock and the log of all servers and clients.
#[derive(Debug)]
pub struct EntryLog {
    origin: Instant,
    entries: RefCell<Vec<Entry>>,
}

impl EntryLog {
    /// Returns an empty log whose clock starts now.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self { origin: Instant::now(), entries: RefCell::default() })
    }

    /// Returns the time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.origin.elapsed().as_secs_f64() * 1_000.0
    }

    /// Appends an entry.
    pub fn record(&self, by: &str, note: Note) {
        let entry = Entry { at: self.now(), by: by.to_owned(), note };
        self.entries.borrow_mut().push(entry);
    }

    /// Removes and returns all entries so far.
    pub fn take(&self) -> Vec<Entry> {
        std::mem::take(&mut *self.entries.borrow_mut())
    }
}

/// Sleeps for this many ms.
pub async fn sleep(ms: Millis) {
    tokio::time::sleep(std::time::Duration::from_secs_f64(ms.max(0.0) / 1_000.0)).await;
}
