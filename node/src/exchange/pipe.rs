//! The two directions of a connection, and the handoff of its sockets to another process.

use crate::backend::message_delay::UnansweredLines;
use crate::io::clock::Millis;
use crate::io::descriptors::Descriptor;
use crate::io::pump::InterleavedLines;
use crate::io::ring::Ring;
use crate::protocol::handover::Connection;
use marllink::Outcome;
use std::cell::{Cell, RefCell};
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// The two directions of a connection.
#[derive(Debug)]
pub struct Pipe {
    /// Bytes from the client to its server.
    pub client_to_server: Ring,
    /// Bytes from the server to the client.
    pub server_to_client: Ring,
    pub(super) established: Cell<bool>,
    pub(super) unanswered: RefCell<UnansweredLines>,
    /// When the connection was established, in milliseconds on the node's clock; 0 if that is unknown
    /// because the connection was handed over.
    pub(super) established_at: Cell<Millis>,
    /// The load of the connection that its server last reported.
    pub(super) reported_load: Cell<f64>,
    /// The outcome that the server's last line announced, if that line was a closing message.
    pub closing_outcome: Cell<Option<Outcome>>,
    /// The connection has a session: the balancer inserts lines of its own between those of both sides.
    pub has_session: Cell<bool>,
    /// Lines that the balancer inserts towards the server.
    pub inserted_to_server: InterleavedLines,
    /// Lines that the balancer inserts towards the client.
    pub inserted_to_client: InterleavedLines,
    pub(super) handoff: RefCell<Option<Rc<Handoff>>>,
}

impl Pipe {
    /// Creates a pipe with two empty rings.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            client_to_server: Ring::new(),
            server_to_client: Ring::new(),
            established: Cell::default(),
            unanswered: RefCell::default(),
            established_at: Cell::default(),
            reported_load: Cell::default(),
            closing_outcome: Cell::default(),
            has_session: Cell::default(),
            inserted_to_server: InterleavedLines::default(),
            inserted_to_client: InterleavedLines::default(),
            handoff: RefCell::default(),
        })
    }

    /// Returns true once the connection is being handed to another process.
    pub fn handed_over(&self) -> bool {
        self.handoff.borrow().is_some()
    }

    /// Returns true if nothing is in transit, so that another process could continue the connection.
    pub(super) fn is_idle(&self) -> bool {
        self.client_to_server.is_idle()
            && self.server_to_client.is_idle()
            && self.inserted_to_server.is_empty()
            && self.inserted_to_client.is_empty()
            && self.unanswered.borrow().is_empty()
            && self.closing_outcome.get().is_none()
    }

    /// Releases the client's socket after its last use: closes it, or hands it off with the connection.
    pub fn release_client(&self, socket: TcpStream, descriptor: Descriptor) {
        self.release(socket, descriptor, |handoff| &handoff.client);
    }

    /// Releases the server's socket in the same way.
    pub fn release_server(&self, socket: TcpStream, descriptor: Descriptor) {
        self.release(socket, descriptor, |handoff| &handoff.server);
    }

    fn release(
        &self,
        socket: TcpStream,
        descriptor: Descriptor,
        slot: impl Fn(&Handoff) -> &RefCell<Option<HandedOffSocket>>,
    ) {
        let handoff = self.handoff.borrow().clone();
        match handoff.map(|handoff| (handoff, socket.into_std())) {
            Some((handoff, Ok(socket))) => {
                slot(&handoff).replace(Some((socket.into(), descriptor)));
                handoff.try_complete();
            }
            // The socket is closed by now, so its descriptor can be returned to the pool.
            _ => drop(descriptor),
        }
    }

    /// Returns true once the server has accepted the connection.
    pub fn is_established(&self) -> bool {
        self.established.get()
    }
}

/// A socket that is handed off, and its descriptor, which returns to the pool once the socket is closed
/// in this process.
pub type HandedOffSocket = (OwnedFd, Descriptor);

/// A connection that is handed off to another process.
#[derive(Debug)]
pub struct HandedOffConnection {
    /// Describes the connection to the other process.
    pub connection: Connection,
    /// The client's socket and the server's.
    pub sockets: [HandedOffSocket; 2],
}

/// A handoff that waits for the tasks of both sides to release their sockets.
#[derive(Debug)]
pub(super) struct Handoff {
    pub(super) connection: Connection,
    pub(super) client: RefCell<Option<HandedOffSocket>>,
    pub(super) server: RefCell<Option<HandedOffSocket>>,
    pub(super) sender: mpsc::UnboundedSender<HandedOffConnection>,
}

impl Handoff {
    fn try_complete(&self) {
        match (self.client.take(), self.server.take()) {
            (Some(client), Some(server)) => {
                // If the receiver is gone, the connection is closed.
                let _ = self.sender.send(HandedOffConnection {
                    connection: self.connection.clone(),
                    sockets: [client, server],
                });
            }
            (client, server) => {
                self.client.replace(client);
                self.server.replace(server);
            }
        }
    }
}
