//! Plain stand-ins by the platform's protocol: form hosts, discovery (asked, or pushed by an agent) and clients
//! on loopback sockets, on one thread and in real time; each writes what it sees into one [`NoteLog`], and
//! [`rules::check`] reads nothing else.

mod clients;
mod discovery;
mod mixed;
mod reconnecting;
pub mod rules;
mod servers;

pub use clients::{ClientPopulation, run_clients};
pub use discovery::{Discovery, State};
pub use mixed::{
    ALL_CLIENT_KINDS, BalancerEndpoint, CLASS_SHIFT, ClientClass, ClientKind, MixedClient, PROCESS_SHIFT,
};
pub use reconnecting::{BALANCER_SHIFT, ReconnectPool, ReconnectingClient};
pub use servers::{Server, ServerBehavior};

use crate::model::Millis;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// Something that a stand-in has seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A client has written its line, and waits for so many ms.
    Asked {
        /// The id in the line.
        id: u64,
        /// How long it waits.
        wait_ms: Millis,
    },
    /// The first line that came back, or "(end)".
    Answered {
        /// The id in the client's line.
        id: u64,
        /// The line.
        line: String,
    },
    /// A line has come to a form host. Counted from its first byte, at `since`.
    Sent {
        /// The id in the line.
        id: u64,
        /// Which form host.
        host: usize,
        /// When its first byte came.
        since: Millis,
        /// How long the balancer says that it waits.
        wait_ms: Millis,
    },
    /// A form host has answered so, or the balancer has closed the connection before ("(left)").
    Over {
        /// The id in the line.
        id: u64,
        /// Which form host.
        host: usize,
        /// With what.
        how: String,
    },
    /// A form host has given out this receipt.
    Receipt {
        /// For the line with this id.
        id: u64,
        /// As in its answer.
        receipt: String,
    },
    /// Discovery has written to the balancer that a form host is so.
    Told {
        /// Which form host.
        host: usize,
        /// How it is.
        state: State,
    },
    /// A client has connected.
    Connected {
        /// The id that its line will have.
        id: u64,
    },
    /// A client has closed its connection before its answer.
    Left {
        /// The id in its line.
        id: u64,
    },
    /// A client has written a part of its line and writes no more.
    StoppedMidLine {
        /// The id that its line would have had.
        id: u64,
    },
    /// Such a client was answered or ended.
    Released {
        /// As above.
        id: u64,
    },
    /// The balancer was killed: what was open there is cut off, and what it was told is forgotten.
    Killed,
}

impl Note {
    /// The id of the request that it tells of, if it tells of one.
    #[must_use]
    pub fn request(&self) -> Option<u64> {
        match self {
            Self::Asked { id, .. }
            | Self::Answered { id, .. }
            | Self::Sent { id, .. }
            | Self::Over { id, .. }
            | Self::Receipt { id, .. }
            | Self::Connected { id }
            | Self::Left { id }
            | Self::StoppedMidLine { id }
            | Self::Released { id } => Some(*id),
            Self::Told { .. } | Self::Killed => None,
        }
    }
}

/// What all have seen, in the order in which they saw it, each with its time.
#[derive(Debug)]
pub struct NoteLog {
    origin: Instant,
    notes: RefCell<Vec<(Millis, Note)>>,
}

impl NoteLog {
    /// An empty one whose clock begins now.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self { origin: Instant::now(), notes: RefCell::default() })
    }

    /// Another empty one by the same clock.
    #[must_use]
    pub fn with_same_clock(&self) -> Rc<Self> {
        Rc::new(Self { origin: self.origin, notes: RefCell::default() })
    }

    /// The time since the beginning.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.origin.elapsed().as_secs_f64() * 1_000.0
    }

    /// Writes something down.
    pub fn record(&self, note: Note) {
        self.notes.borrow_mut().push((self.now(), note));
    }

    /// All of it.
    #[must_use]
    pub fn notes(&self) -> Vec<(Millis, Note)> {
        self.notes.borrow().clone()
    }
}

/// The id and the wait in a client's line, if it is one.
fn opening(line: &str) -> Option<(u64, Millis)> {
    let mut words = line.split_whitespace();
    let id = words.next().filter(|word| *word == "OPEN").and_then(|_| words.next())?;
    let wait = words.next_back()?.split(',').find_map(|pair| pair.strip_prefix("d="))?;
    Some((u64::from_str_radix(id, 16).ok()?, wait.parse().ok()?))
}
