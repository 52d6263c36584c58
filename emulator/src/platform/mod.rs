//! Emulated servers, discovery (pull, or push by an agent) and clients of plain connections on loopback sockets, on
//! one thread and in real time. They record what they observe in a [`NoteLog`], which is all that [`rules::check`]
//! reads.

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
pub use servers::{Server, ServerBehavior, UNANSWERED_PREFIX};

use crate::model::Millis;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// An observation of a server, client or discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A client has sent its request.
    Asked {
        /// Id of the request.
        id: u64,
        /// Time that the client waits for the answer.
        wait_ms: Millis,
    },
    /// A client has received the first line of the answer, or "(end)" if the connection ended without one.
    Answered {
        /// Id of the request.
        id: u64,
        /// The line.
        line: String,
    },
    /// A request has arrived at a server.
    Sent {
        /// Id of the request.
        id: u64,
        /// Index of the server.
        host: usize,
        /// Time at which its first byte arrived.
        since: Millis,
        /// Time that the balancer waits for the answer, as sent to the server.
        wait_ms: Millis,
    },
    /// A server has answered a request, or the balancer has closed the connection before ("(left)").
    Over {
        /// Id of the request.
        id: u64,
        /// Index of the server.
        host: usize,
        /// The answer, or "(reset)" or "(left)" without one.
        how: String,
    },
    /// A server has issued a receipt in its answer.
    Receipt {
        /// Id of the request.
        id: u64,
        /// The receipt.
        receipt: String,
    },
    /// Discovery has sent the state of a server to the balancer.
    Told {
        /// Index of the server.
        host: usize,
        /// Its state.
        state: State,
    },
    /// A client has connected.
    Connected {
        /// Id of the request that the client will send.
        id: u64,
    },
    /// A client has closed its connection before the answer.
    Left {
        /// Id of the request.
        id: u64,
    },
    /// A client has sent a part of its request and stops sending.
    StoppedMidLine {
        /// Id of the request.
        id: u64,
    },
    /// The balancer has answered or closed the connection of a client that stopped in the middle of its request.
    Released {
        /// Id of the request.
        id: u64,
    },
    /// The balancer was killed: its connections are cut off, and it has lost what discovery sent.
    Killed,
}

impl Note {
    /// Returns the id of the request that this is about, if any.
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

/// A log of observations, in the order in which they were made, each with its time.
#[derive(Debug)]
pub struct NoteLog {
    origin: Instant,
    notes: RefCell<Vec<(Millis, Note)>>,
}

impl NoteLog {
    /// Returns an empty log whose clock starts now.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self { origin: Instant::now(), notes: RefCell::default() })
    }

    /// Returns an empty log with the same clock as this one.
    #[must_use]
    pub fn with_same_clock(&self) -> Rc<Self> {
        Rc::new(Self { origin: self.origin, notes: RefCell::default() })
    }

    /// Returns the time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.origin.elapsed().as_secs_f64() * 1_000.0
    }

    /// Appends an observation.
    pub fn record(&self, note: Note) {
        self.notes.borrow_mut().push((self.now(), note));
    }

    /// Returns all observations.
    #[must_use]
    pub fn notes(&self) -> Vec<(Millis, Note)> {
        self.notes.borrow().clone()
    }
}

/// Returns the id and the wait time of a request line, or `None` for other lines.
fn parse_open(line: &str) -> Option<(u64, Millis)> {
    let mut words = line.split_whitespace();
    let id = words.next().filter(|word| *word == "OPEN").and_then(|_| words.next())?;
    let wait = words.next_back()?.split(',').find_map(|pair| pair.strip_prefix("d="))?;
    Some((u64::from_str_radix(id, 16).ok()?, wait.parse().ok()?))
}
