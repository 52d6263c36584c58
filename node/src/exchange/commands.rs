//! What the exchange asks of the client side and of the server side.

use super::{AttemptHandle, Pipe, ProbeResult, RequestHandle};
use crate::io::clock::Millis;
use crate::io::descriptors::Descriptor;
use crate::protocol::line::Opening;
use marllink::Outcome;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// What the client side is to do with a connection that another process has passed on.
#[derive(Debug)]
pub struct Adopted {
    /// The client's socket.
    pub socket: TcpStream,
    /// Its request.
    pub request_handle: RequestHandle,
    /// The connection's two directions.
    pub pipe: Rc<Pipe>,
    /// For the socket.
    pub descriptor: Descriptor,
}

/// What the server side is to do.
#[derive(Debug)]
pub enum Order {
    /// An attempt.
    Attempt(Attempt),
    /// A connection that another process has passed on.
    Standing {
        /// The form host's socket.
        socket: TcpStream,
        /// The connection's two directions.
        pipe: Rc<Pipe>,
        /// Tells the exchange what becomes of it.
        handle: AttemptHandle,
        /// For the socket.
        descriptor: Descriptor,
    },
    /// A probe.
    Probe(Probe),
}

/// An attempt to be made.
#[derive(Debug)]
pub struct Attempt {
    /// Where the form host is reached.
    pub address: SocketAddr,
    /// What the client asked.
    pub opening: Rc<Opening>,
    /// How the form host is to hold its session, if it has one.
    pub held_as: Option<String>,
    /// How long the attempt may take until it stands.
    pub wait_ms: Millis,
    /// Set for a connection that was open at this server before: it is tried again there.
    pub restores: Option<Restores>,
    /// The connection's two directions.
    pub pipe: Rc<Pipe>,
    /// Tells the exchange what becomes of it.
    pub handle: AttemptHandle,
    /// For its socket.
    pub descriptor: Descriptor,
}

/// Which failed attempts to restore a connection may be repeated at the same server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restores {
    /// Those that have surely not run.
    IfNeverRan,
    /// All: requests of its class may run twice.
    Always,
}

impl Restores {
    /// True if an attempt that has ended like this may be repeated.
    pub fn may_repeat(self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::ConnectFailed | Outcome::Full | Outcome::NotSent => true,
            Outcome::Reset | Outcome::TimedOut | Outcome::Error => self == Self::Always,
            Outcome::Ok | Outcome::Cancelled => false,
        }
    }
}

/// A probe to be made.
#[derive(Debug)]
pub struct Probe {
    /// Where the form host is reached.
    pub address: SocketAddr,
    /// Whom to tell.
    pub result: ProbeResult,
    /// For its socket.
    pub descriptor: Descriptor,
}
