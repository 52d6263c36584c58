//! The two directions of a connection, and its sockets on their way to another process.

use crate::backend::message_delay::Waiting;
use crate::io::clock::Millis;
use crate::io::descriptors::Descriptor;
use crate::io::pump::Between;
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
    /// From the client to its form host.
    pub up: Ring,
    /// From the form host to the client.
    pub down: Ring,
    pub(super) standing: Cell<bool>,
    pub(super) waiting: RefCell<Waiting>,
    /// When it began to stand, in ms on the node's clock; 0 for long ago.
    pub(super) stood_at: Cell<Millis>,
    /// Its load, as last told.
    pub(super) load: Cell<f64>,
    /// What the form host has said of the connection's end, if that was its last line.
    pub last_word: Cell<Option<Outcome>>,
    /// The connection has a session: lines of the balancer's own come between those of both sides.
    pub session: Cell<bool>,
    /// Such lines for the form host ...
    pub to_host: Between,
    /// ... and for the client.
    pub to_client: Between,
    pub(super) handoff: RefCell<Option<Rc<Handoff>>>,
}

impl Pipe {
    /// Two empty rings.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            up: Ring::new(),
            down: Ring::new(),
            standing: Cell::default(),
            waiting: RefCell::default(),
            stood_at: Cell::default(),
            load: Cell::default(),
            last_word: Cell::default(),
            session: Cell::default(),
            to_host: Between::default(),
            to_client: Between::default(),
            handoff: RefCell::default(),
        })
    }

    /// True once another process goes on with the connection.
    pub fn handed_over(&self) -> bool {
        self.handoff.borrow().is_some()
    }

    /// True if another process could go on with the connection from here.
    pub(super) fn idle(&self) -> bool {
        self.up.idle()
            && self.down.idle()
            && self.to_host.is_empty()
            && self.to_client.is_empty()
            && self.waiting.borrow().none()
            && self.last_word.get().is_none()
    }

    /// Gives the client's socket back, once nothing is done with it any more: it is closed, or passed
    /// on with the connection.
    pub fn release_client(&self, socket: TcpStream, descriptor: Descriptor) {
        self.part(socket, descriptor, |handoff| &handoff.client);
    }

    /// The same for the form host's.
    pub fn release_server(&self, socket: TcpStream, descriptor: Descriptor) {
        self.part(socket, descriptor, |handoff| &handoff.host);
    }

    fn part(
        &self,
        socket: TcpStream,
        descriptor: Descriptor,
        end: impl Fn(&Handoff) -> &RefCell<Option<HandedOffSocket>>,
    ) {
        let handoff = self.handoff.borrow().clone();
        match handoff.map(|handoff| (handoff, socket.into_std())) {
            Some((handoff, Ok(socket))) => {
                end(&handoff).replace(Some((socket.into(), descriptor)));
                handoff.pass();
            }
            // The count is given back after the socket.
            _ => drop(descriptor),
        }
    }

    /// True once the form host has taken the connection.
    pub fn standing(&self) -> bool {
        self.standing.get()
    }
}

/// A socket that is passed on, and the count that goes back once it is closed here.
pub type HandedOffSocket = (OwnedFd, Descriptor);

/// A connection on its way to another process.
#[derive(Debug)]
pub struct HandedOffConnection {
    /// What it is.
    pub connection: Connection,
    /// The client's socket and the form host's.
    pub sockets: [HandedOffSocket; 2],
}

/// Waits for both sides to give their sockets back.
#[derive(Debug)]
pub(super) struct Handoff {
    pub(super) connection: Connection,
    pub(super) client: RefCell<Option<HandedOffSocket>>,
    pub(super) host: RefCell<Option<HandedOffSocket>>,
    pub(super) to: mpsc::UnboundedSender<HandedOffConnection>,
}

impl Handoff {
    fn pass(&self) {
        match (self.client.take(), self.host.take()) {
            (Some(client), Some(host)) => {
                // If nobody takes it, it is closed.
                let _ = self.to.send(HandedOffConnection {
                    connection: self.connection.clone(),
                    sockets: [client, host],
                });
            }
            (client, host) => {
                self.client.replace(client);
                self.host.replace(host);
            }
        }
    }
}
