//! The commands that the exchange sends to the client side and to the server side.

use super::{AttemptHandle, Pipe, ProbeResult, RequestHandle};
use crate::io::clock::Millis;
use crate::io::descriptors::Descriptor;
use crate::protocol::line::OpenRequest;
use marllink::Outcome;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// The client's half of a connection that another process has handed off, for the client side to serve.
#[derive(Debug)]
pub struct AdoptedClient {
    /// The client's socket.
    pub socket: TcpStream,
    /// The handle of its request.
    pub request_handle: RequestHandle,
    /// The connection's two directions.
    pub pipe: Rc<Pipe>,
    /// The descriptor of the socket.
    pub descriptor: Descriptor,
}

/// A command for the server side.
#[derive(Debug)]
pub enum BackendCommand {
    /// Make an attempt.
    Attempt(Attempt),
    /// Serve the server's half of an established connection that another process has handed off.
    Established {
        /// The server's socket.
        socket: TcpStream,
        /// The connection's two directions.
        pipe: Rc<Pipe>,
        /// Reports the connection's progress to the exchange.
        handle: AttemptHandle,
        /// The descriptor of the socket.
        descriptor: Descriptor,
    },
    /// Send a load probe.
    Probe(Probe),
}

/// An attempt to be made.
#[derive(Debug)]
pub struct Attempt {
    /// The server's address.
    pub address: SocketAddr,
    /// The client's first line.
    pub open_request: Rc<OpenRequest>,
    /// The session and ballot under which the server is to hold the session, if the request has one.
    pub session_ballot: Option<String>,
    /// When the attempt times out.
    pub deadline: Millis,
    /// Set for a connection that was open at this server before: which failed attempts to restore it
    /// are repeated.
    pub restore_retry: Option<RestoreRetry>,
    /// The connection's two directions.
    pub pipe: Rc<Pipe>,
    /// Reports the attempt's progress to the exchange.
    pub handle: AttemptHandle,
    /// The descriptor of the socket.
    pub descriptor: Descriptor,
}

/// Which failed attempts to restore a connection may be repeated at the same server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreRetry {
    /// Only those that certainly have not run.
    IfNeverRan,
    /// All of them: requests of this class may run twice.
    Always,
}

impl RestoreRetry {
    /// Returns true if an attempt that ended with this outcome may be repeated.
    pub fn may_repeat(self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::ConnectFailed | Outcome::Full | Outcome::NotSent => true,
            Outcome::Reset | Outcome::TimedOut | Outcome::Error => self == Self::Always,
            Outcome::Ok | Outcome::Cancelled => false,
        }
    }
}

/// A load probe to be sent.
#[derive(Debug)]
pub struct Probe {
    /// The server's address.
    pub address: SocketAddr,
    /// Reports the result to the exchange.
    pub result: ProbeResult,
    /// The descriptor of the socket.
    pub descriptor: Descriptor,
}
