//! Process upgrades: a process started while another one serves takes over from it.
//!
//! The Unix socket is in `$TMPDIR`, which both processes share. A starting process connects to it first. It
//! receives the listening sockets themselves, that for clients and that for successors, so that there is a
//! single accept queue and a single rendezvous point, and a snapshot of the state. Afterwards the two
//! processes inform each other of changes over the link.

use crate::core::Core;
use crate::exchange::{Exchange, HandedOffConnection, HandedOffSocket};
use crate::io::clock::{Clock, Millis};
use crate::io::descriptors::Descriptors;
use crate::io::listener::Listener;
use crate::membership::directory::Directory;
use crate::membership::discovery::Discovery;
use crate::protocol::handover::{
    self as syntax, Connection, Hello, MAX_LINE_BYTES, Message, Retained, Snapshot, VERSION,
};
use marllink::Event;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::sync::{mpsc, watch};

/// Maximum time for a predecessor to send its complete state.
const REQUEST_TIMEOUT_MS: Millis = 1_000.0;
/// Maximum time for a successor to start accepting clients after its request.
const ACCEPT_TIMEOUT_MS: Millis = 2_000.0;
/// Interval at which a predecessor reports the resources it retains, if they have changed.
const STATUS_INTERVAL_MS: Millis = 50.0;
/// Interval at which connections are passed to the successor, and the maximum number passed at a time. Both
/// are small so that other work is not delayed.
const PASS_INTERVAL_MS: Millis = 20.0;
const PASS_BATCH_COUNT: usize = 16;
/// Delay after a failed accept.
const ACCEPT_RETRY_MS: Millis = 10.0;

/// Returns the path of the Unix socket for handovers of the balancer with this listen address.
pub fn path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("marllink-{listen}.sock"))
}

/// What a predecessor has handed over.
pub struct Inherited {
    /// The predecessor's state.
    pub snapshot: Snapshot,
    /// The listening socket for clients.
    pub clients: Listener,
    /// The listening socket for the next successor.
    pub successors: UnixListener,
    /// The link to the predecessor.
    link: Link,
}

/// Requests a handover from a predecessor. Returns `None` if there is no predecessor, or if the handover
/// fails or does not arrive in time.
pub async fn request(path: &Path, clock: &Clock) -> Option<Inherited> {
    // A failed connect means that no process listens any more and the socket file is stale.
    let link = UnixStream::connect(path).await.ok()?;
    match clock.within(REQUEST_TIMEOUT_MS, receive(link)).await {
        Some(Ok(inherited)) => Some(inherited),
        Some(Err(error)) => {
            tracing::warn!("no handover from the predecessor: {error}; starting without its state");
            None
        }
        None => {
            tracing::warn!(
                "no handover from the predecessor: no response in time; starting without its state"
            );
            None
        }
    }
}

async fn receive(link: UnixStream) -> io::Result<Inherited> {
    let mut link = Link { stream: Rc::new(link), buffer: Vec::new(), sockets: VecDeque::new() };
    send(&link.stream, &syntax::encode(&Hello { version: VERSION }), &[]).await?;
    let line = link.next_line().await?;
    let snapshot = syntax::decode_snapshot(&line).map_err(|reason| {
        tracing::debug!("handover snapshot as received: {}", String::from_utf8_lossy(&line));
        io::Error::other(reason)
    })?;
    let [clients, successors] =
        link.take_sockets().ok_or_else(|| io::Error::other("the listening sockets are missing"))?;
    let clients = Listener::from_std(clients.into())?;
    let successors = UnixListener::from_std(successors.into())?;
    Ok(Inherited { snapshot, clients, successors, link })
}

/// One end of a link: lines, and the sockets that arrived with them.
pub struct Link {
    stream: Rc<UnixStream>,
    buffer: Vec<u8>,
    sockets: VecDeque<OwnedFd>,
}

impl Link {
    /// Returns the next line. Cancel safe: no data is lost if the future is dropped.
    async fn next_line(&mut self) -> io::Result<Vec<u8>> {
        let mut scanned = 0;
        loop {
            if let Some(end) = self.buffer[scanned..].iter().position(|b| *b == b'\n') {
                return Ok(self.buffer.drain(..=scanned + end).collect());
            }
            scanned = self.buffer.len();
            if scanned > MAX_LINE_BYTES {
                return Err(io::Error::other("the line exceeds the size limit"));
            }
            self.stream.readable().await?;
            let mut bytes = [0; 16 * 1024];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let received = self.stream.try_io(Interest::READABLE, || {
                let into = &mut [IoSliceMut::new(&mut bytes)];
                Ok(recvmsg(&*self.stream, into, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes)
            });
            match received {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(received) => self.buffer.extend_from_slice(&bytes[..received]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) => return Err(e),
            }
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(sockets) = message {
                    self.sockets.extend(sockets);
                }
            }
        }
    }

    /// Takes the two sockets that arrived with a line.
    fn take_sockets(&mut self) -> Option<[OwnedFd; 2]> {
        Some([self.sockets.pop_front()?, self.sockets.pop_front()?])
    }

    /// Receives messages until the link ends and calls `on_message` for each, with access to the received
    /// sockets.
    async fn receive_all(&mut self, on_message: impl Fn(Message, &mut Self)) {
        while let Ok(line) = self.next_line().await {
            match syntax::decode(&line) {
                Some(message) => on_message(message, self),
                None => return,
            }
        }
    }
}

/// Sends a line, with sockets if any; they are attached to its first byte.
async fn send(link: &UnixStream, mut line: &[u8], mut sockets: &[BorrowedFd<'_>]) -> io::Result<()> {
    while !line.is_empty() {
        link.writable().await?;
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !sockets.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(sockets));
        }
        let sent = link.try_io(Interest::WRITABLE, || {
            Ok(sendmsg(link, &[IoSlice::new(line)], &mut control, SendFlags::NOSIGNAL)?)
        });
        match sent {
            Ok(sent) => (line, sockets) = (&line[sent..], &[]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// An outgoing message, and the sockets to send with it, which are closed here afterwards.
struct Outgoing {
    message: Message,
    sockets: Vec<HandedOffSocket>,
}

impl From<Message> for Outgoing {
    fn from(message: Message) -> Self {
        Self { message, sockets: Vec::new() }
    }
}

/// Sends messages until the link breaks.
async fn send_all(link: Rc<UnixStream>, mut messages: mpsc::UnboundedReceiver<Outgoing>) {
    while let Some(Outgoing { message, sockets }) = messages.recv().await {
        let borrowed: Vec<_> = sockets.iter().map(|(socket, _)| socket.as_fd()).collect();
        if send(&link, &syntax::encode(&message), &borrowed).await.is_err() {
            return;
        }
    }
    std::future::pending().await
}

/// Listens for a successor. An existing socket file is stale, as no predecessor has answered on it.
///
/// # Errors
/// Fails if the socket can't be created; the balancer can serve without it.
pub fn listen(path: &Path) -> io::Result<UnixListener> {
    let _ = std::fs::remove_file(path);
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Ok(listener)
}

/// Returns device and inode of the socket file, to recognize it later, or `None` if there is none.
pub fn socket_identity(path: &Path) -> Option<(u64, u64)> {
    std::fs::metadata(path).ok().map(|socket| (socket.dev(), socket.ino()))
}

/// The state of handovers in this process.
pub struct Handover {
    /// The decision logic.
    pub core: Rc<Core>,
    /// The clock for timeouts.
    pub clock: Clock,
    /// The requests in progress, of which a successor must know.
    pub exchange: Rc<Exchange>,
    /// The descriptor pool, whose limit both processes share.
    pub descriptors: Rc<Descriptors>,
    /// Provides the current list.
    pub discovery: Rc<Discovery>,
    /// Every server that was ever listed.
    pub directory: Rc<Directory>,
    /// True while this process accepts clients; false after it has handed over.
    pub serving: watch::Sender<bool>,
    /// The text of the active configuration.
    pub config: RefCell<String>,
    /// SIGTERM was received: this process will not serve again.
    pub shutting_down: Cell<bool>,
    /// This process is about to exit: clients that send a request now, or have not sent one yet, are sent
    /// elsewhere.
    pub terminating: watch::Sender<bool>,
    /// The resources that the predecessor retains, as last reported, minus those passed to this process
    /// since.
    predecessor_retained: RefCell<Retained>,
    /// The open links, for sending messages.
    links: RefCell<Vec<mpsc::UnboundedSender<Outgoing>>>,
}

impl Handover {
    /// Creates the handover state.
    pub fn new(
        core: Rc<Core>,
        clock: Clock,
        exchange: Rc<Exchange>,
        descriptors: Rc<Descriptors>,
        discovery: Rc<Discovery>,
        directory: Rc<Directory>,
        config: String,
    ) -> Rc<Self> {
        Rc::new(Self {
            core,
            clock,
            exchange,
            descriptors,
            discovery,
            directory,
            serving: watch::Sender::new(false),
            config: config.into(),
            shutting_down: Cell::default(),
            terminating: watch::Sender::new(false),
            predecessor_retained: RefCell::default(),
            links: RefCell::default(),
        })
    }

    /// Informs the other process immediately that operators have put a server into maintenance or back into
    /// service.
    pub fn notify_maintenance(&self, server: marllink::ServerId, begins: bool) {
        self.links
            .borrow_mut()
            .retain(|link| link.send(Message::Maintenance { server, begins }.into()).is_ok());
    }

    /// Continues from the predecessor's state and counts the resources that the predecessor retains. Must be
    /// called once clients can be accepted.
    pub fn follow_predecessor(self: &Rc<Self>, inherited: Snapshot, mut link: Link) {
        inherited.knowledge.into_iter().for_each(|known| self.core.feed(Event::TakeOver(known)));
        self.update_predecessor(inherited.retained);
        let (outgoing, messages) = mpsc::unbounded_channel();
        let _ = outgoing.send(Message::AcceptingClients.into());
        self.links.borrow_mut().push(outgoing);
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let writer = link.stream.clone();
            let on_message = |message, link: &mut Link| match message {
                Message::Retained(retained) => this.update_predecessor(retained),
                Message::Maintenance { server, begins } => {
                    this.core.feed(Event::Maintenance { server, begins })
                }
                Message::Connection(connection) => {
                    let Some([client, server]) = link.take_sockets() else { return };
                    match (to_stream(client), to_stream(server)) {
                        (Ok(client), Ok(server)) => this.adopt(connection, client, server),
                        (Err(error), _) | (_, Err(error)) => {
                            tracing::error!(
                                %error,
                                "failed to take over a connection from the predecessor, closing it"
                            );
                        }
                    }
                }
                Message::AcceptingClients => {}
            };
            tokio::select! {
                () = link.receive_all(on_message) => {}
                () = send_all(writer, messages) => {}
            }
            tracing::info!("the predecessor has ended");
            this.update_predecessor(Retained::default());
        });
    }

    fn update_predecessor(&self, retained: Retained) {
        self.descriptors.reserve_for_predecessor(retained.descriptors);
        self.exchange.set_predecessor_ids(retained.ids.clone());
        self.core.feed(Event::PredecessorHoldings(retained.holdings.clone()));
        self.predecessor_retained.replace(retained);
    }

    /// Takes over a connection from the predecessor. Until the predecessor's next report, the connection must
    /// not be counted twice: its server would appear to have twice the load, and be relieved of connections.
    fn adopt(&self, connection: Connection, client: TcpStream, server: TcpStream) {
        let mut predecessor_retained = self.predecessor_retained.borrow_mut();
        if let Some(holding) =
            predecessor_retained.holdings.iter_mut().find(|holding| holding.server == connection.server)
        {
            holding.open = holding.open.saturating_sub(1);
            holding.load -= connection.load;
            self.core.feed(Event::PredecessorHoldings(predecessor_retained.holdings.clone()));
        }
        drop(predecessor_retained);
        self.exchange.adopt(connection, client, server);
    }

    /// Hands over to successors, forever.
    pub async fn listen(self: Rc<Self>, successors: UnixListener, clients: Rc<Listener>) {
        loop {
            // A process that has handed over no longer serves successors.
            let mut serving = self.serving.subscribe();
            if serving.wait_for(|serving| *serving).await.is_err() {
                return;
            }
            let accepted = tokio::select! {
                accepted = successors.accept() => accepted,
                _ = serving.wait_for(|serving| !*serving) => continue,
            };
            match accepted {
                Ok((link, _)) => self.hand_over(link, &clients, &successors).await,
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection from a successor");
                    self.clock.sleep(ACCEPT_RETRY_MS).await;
                }
            }
        }
    }

    async fn hand_over(&self, link: UnixStream, clients: &Listener, successors: &UnixListener) {
        let (outgoing, messages) = mpsc::unbounded_channel();
        let mut link = Link { stream: Rc::new(link), buffer: Vec::new(), sockets: VecDeque::new() };
        let writer = link.stream.clone();
        let negotiation = async {
            let hello = link.next_line().await.ok()?;
            if syntax::decode::<Hello>(&hello)?.version != VERSION {
                return None;
            }
            let snapshot = syntax::encode(&self.snapshot());
            // Later changes are sent over the link.
            self.links.borrow_mut().push(outgoing.clone());
            send(&writer, &snapshot, &[clients.as_fd(), successors.as_fd()]).await.ok()?;
            matches!(syntax::decode(&link.next_line().await.ok()?), Some(Message::AcceptingClients))
                .then_some(())
        };
        let Some(Some(())) = self.clock.within(ACCEPT_TIMEOUT_MS, negotiation).await else {
            tracing::warn!(
                "a successor requested a handover and did not complete it; this process continues to serve"
            );
            return;
        };
        tracing::info!(requests = self.exchange.request_count(), "a successor accepts clients");
        self.serving.send_replace(false);
        let on_message = |message, _: &mut Link| {
            if let Message::Maintenance { server, begins } = message {
                self.core.feed(Event::Maintenance { server, begins });
            }
        };
        tokio::select! {
            () = link.receive_all(on_message) => {}
            () = send_all(writer, messages) => {}
            () = self.report_retained(&outgoing) => {}
            () = self.pass_connections(&outgoing) => {}
        }
        if !self.shutting_down.get() {
            tracing::warn!("the successor has ended: this process accepts clients again");
            self.descriptors.undo_trim();
            self.serving.send_replace(true);
        }
    }

    /// Reports the resources that this process retains whenever they have changed, forever.
    async fn report_retained(&self, outgoing: &mpsc::UnboundedSender<Outgoing>) {
        let mut last_sent = None;
        loop {
            let retained = self.retained();
            if last_sent.as_ref() != Some(&retained) {
                let _ = outgoing.send(Message::Retained(retained.clone()).into());
                last_sent = Some(retained);
            }
            self.clock.sleep(STATUS_INTERVAL_MS).await;
        }
    }

    /// After SIGTERM, passes established connections that can be passed to the successor, forever.
    async fn pass_connections(&self, outgoing: &mpsc::UnboundedSender<Outgoing>) {
        let (sender, mut passed) = mpsc::unbounded_channel();
        loop {
            tokio::select! {
                Some(HandedOffConnection { connection, sockets }) = passed.recv() => {
                    let _ = outgoing.send(Outgoing { message: Message::Connection(connection), sockets: sockets.into() });
                }
                () = self.clock.sleep(PASS_INTERVAL_MS) => {
                    if self.shutting_down.get() {
                        self.exchange.hand_off_idle(PASS_BATCH_COUNT, &sender);
                    }
                }
            }
        }
    }

    fn retained(&self) -> Retained {
        Retained {
            descriptors: self.descriptors.trim(),
            ids: self.exchange.ids_in_use(),
            holdings: self.core.holdings(),
        }
    }

    fn snapshot(&self) -> Snapshot {
        let retained = self.retained();
        // Nothing is released before the successor accepts clients.
        self.descriptors.undo_trim();
        Snapshot {
            version: VERSION,
            config: self.config.borrow().clone(),
            discovery: self.discovery.address(),
            list: self.discovery.list(),
            addresses: self.directory.all(),
            knowledge: Some(self.core.learned_state()),
            retained,
        }
    }
}

impl Inherited {
    /// Returns the snapshot, the link, and the two listening sockets.
    pub fn into_parts(self) -> (Snapshot, Link, Listener, UnixListener) {
        (self.snapshot, self.link, self.clients, self.successors)
    }
}

/// Registers a connection's socket with the event loop.
fn to_stream(socket: OwnedFd) -> io::Result<TcpStream> {
    TcpStream::from_std(socket.into())
}
