//! The stand-ins on loopback sockets: form servers, discovery and clients on one thread, in real time.

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

/// The experiment's clock, and what everybody writes down by it.
#[derive(Debug)]
pub struct EntryLog {
    origin: Instant,
    entries: RefCell<Vec<Entry>>,
}

impl EntryLog {
    /// An empty one whose clock begins now.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self { origin: Instant::now(), entries: RefCell::default() })
    }

    /// The time since the beginning.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.origin.elapsed().as_secs_f64() * 1_000.0
    }

    /// Writes something down.
    pub fn record(&self, by: &str, note: Note) {
        let entry = Entry { at: self.now(), by: by.to_owned(), note };
        self.entries.borrow_mut().push(entry);
    }

    /// All that has been written down since this was last asked for.
    pub fn take(&self) -> Vec<Entry> {
        std::mem::take(&mut *self.entries.borrow_mut())
    }
}

/// Waits for so long.
pub async fn sleep(ms: Millis) {
    tokio::time::sleep(std::time::Duration::from_secs_f64(ms.max(0.0) / 1_000.0)).await;
}
