//! Upgrades: a process that is started while another serves takes its place.
//!
//! The socket lies in `$TMPDIR`, which both processes share. Who is started asks there first. It gets
//! the listening sockets themselves, the clients' and this one, so that there is one queue of clients
//! and one place to ask, and a snapshot. From then on the link tells each what the other must know.

use crate::core::Core;
use crate::exchange::{Exchange, HandedOffConnection, HandedOffSocket};
use crate::io::clock::{Clock, Millis};
use crate::io::descriptors::Descriptors;
use crate::io::listener::Listener;
use crate::membership::directory::Directory;
use crate::membership::discovery::Discovery;
use crate::protocol::handover::{self as syntax, Connection, Hello, Holds, LONGEST, Snapshot, VERSION, Word};
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

/// A predecessor must have told all within this time ...
const ANSWER_MS: Millis = 1_000.0;
/// ... and a successor must take clients within this time after it has asked.
const TAKE_MS: Millis = 2_000.0;
/// How often a predecessor tells what it holds, if that has changed.
const TELL_MS: Millis = 50.0;
/// How often connections are passed on, and how many at a time at most: others must not wait long.
const PASS_MS: Millis = 20.0;
const PASS_MOST: usize = 16;
/// After a failed accept so long passes before the next.
const PAUSE_MS: Millis = 10.0;

/// Where the processes of the balancer that listens here meet.
pub fn path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("marllink-{listen}.sock"))
}

/// What a predecessor has handed over.
pub struct Heritage {
    /// All that it knows.
    pub snapshot: Snapshot,
    /// Where clients connect.
    pub clients: Listener,
    /// Where the next successor asks.
    pub successors: UnixListener,
    /// The link to it.
    link: Link,
}

/// Asks a predecessor for all it has. `None` if there is none, or none that answers in time.
pub async fn ask(path: &Path, clock: &Clock) -> Option<Heritage> {
    // Nobody answers there any more: what lies there is stale.
    let link = UnixStream::connect(path).await.ok()?;
    match clock.within(ANSWER_MS, receive(link)).await {
        Some(Ok(heritage)) => Some(heritage),
        Some(Err(error)) => {
            tracing::warn!("the process before hands nothing over: {error}");
            None
        }
        None => {
            tracing::warn!("the process before says nothing");
            None
        }
    }
}

async fn receive(link: UnixStream) -> io::Result<Heritage> {
    let mut link = Link { stream: Rc::new(link), read: Vec::new(), sockets: VecDeque::new() };
    send(&link.stream, &syntax::written(&Hello { version: VERSION }), &[]).await?;
    let line = link.line().await?;
    let snapshot = syntax::snapshot(&line).map_err(|reason| {
        tracing::debug!("told: {}", String::from_utf8_lossy(&line));
        io::Error::other(reason)
    })?;
    let [clients, successors] =
        link.take_sockets().ok_or_else(|| io::Error::other("no listening sockets"))?;
    let clients = Listener::from_std(clients.into())?;
    let successors = UnixListener::from_std(successors.into())?;
    Ok(Heritage { snapshot, clients, successors, link })
}

/// One end of a link: lines, and the sockets that came with them.
pub struct Link {
    stream: Rc<UnixStream>,
    read: Vec<u8>,
    sockets: VecDeque<OwnedFd>,
}

impl Link {
    /// The next line. May be given up while it waits; nothing is lost by that.
    async fn line(&mut self) -> io::Result<Vec<u8>> {
        let mut seen = 0;
        loop {
            if let Some(end) = self.read[seen..].iter().position(|b| *b == b'\n') {
                return Ok(self.read.drain(..=seen + end).collect());
            }
            seen = self.read.len();
            if seen > LONGEST {
                return Err(io::Error::other("a line without an end"));
            }
            self.stream.readable().await?;
            let mut bytes = [0; 16 * 1024];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let got = self.stream.try_io(Interest::READABLE, || {
                let into = &mut [IoSliceMut::new(&mut bytes)];
                Ok(recvmsg(&*self.stream, into, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes)
            });
            match got {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(got) => self.read.extend_from_slice(&bytes[..got]),
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

    /// The two sockets that came with a line.
    fn take_sockets(&mut self) -> Option<[OwnedFd; 2]> {
        Some([self.sockets.pop_front()?, self.sockets.pop_front()?])
    }

    /// Hears words until the link ends; `heard` is given the sockets as well.
    async fn hear(&mut self, heard: impl Fn(Word, &mut Self)) {
        while let Ok(line) = self.line().await {
            match syntax::read(&line) {
                Some(word) => heard(word, self),
                None => return,
            }
        }
    }
}

/// Sends a line, with sockets if there are any; they go with its first byte.
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

/// Something to say, and the sockets that go with it, which are closed here once it is said.
struct Said {
    word: Word,
    sockets: Vec<HandedOffSocket>,
}

impl From<Word> for Said {
    fn from(word: Word) -> Self {
        Self { word, sockets: Vec::new() }
    }
}

/// Says words until the link breaks.
async fn say_all(link: Rc<UnixStream>, mut words: mpsc::UnboundedReceiver<Said>) {
    while let Some(Said { word, sockets }) = words.recv().await {
        let borrowed: Vec<_> = sockets.iter().map(|(socket, _)| socket.as_fd()).collect();
        if send(&link, &syntax::written(&word), &borrowed).await.is_err() {
            return;
        }
    }
    std::future::pending().await
}

/// Listens for a successor. What lies there from before is stale: nobody has answered.
///
/// # Errors
/// Fails if there is no such place; the balancer serves all the same.
pub fn listen(path: &Path) -> io::Result<UnixListener> {
    let _ = std::fs::remove_file(path);
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Ok(listener)
}

/// The socket that lies there now, to be known again; `None` if there is none.
pub fn lies_there(path: &Path) -> Option<(u64, u64)> {
    std::fs::metadata(path).ok().map(|socket| (socket.dev(), socket.ino()))
}

/// This process's part in handing over.
pub struct Handover {
    /// The decisions.
    pub core: Rc<Core>,
    /// For the time limits.
    pub clock: Clock,
    /// What of the requests a successor must know.
    pub exchange: Rc<Exchange>,
    /// Shared by both processes.
    pub descriptors: Rc<Descriptors>,
    /// The list in hand.
    pub discovery: Rc<Discovery>,
    /// Every form host that was ever listed.
    pub directory: Rc<Directory>,
    /// Clients are accepted; a process that has handed over does not.
    pub serving: watch::Sender<bool>,
    /// The text of the configuration in force.
    pub config: RefCell<String>,
    /// SIGTERM has come: this process will not serve again.
    pub leaving: Cell<bool>,
    /// This process is about to end: who asks now, or has not asked yet, is sent elsewhere.
    pub ending: watch::Sender<bool>,
    /// What the predecessor holds, as last told, less what has come over since.
    before: RefCell<Holds>,
    /// The links that are open, to say something by.
    links: RefCell<Vec<mpsc::UnboundedSender<Said>>>,
}

impl Handover {
    /// The part of a process with these.
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
            leaving: Cell::default(),
            ending: watch::Sender::new(false),
            before: RefCell::default(),
            links: RefCell::default(),
        })
    }

    /// Operators have taken a form host out or put it back: the other process is told at once.
    pub fn tell_maintenance(&self, server: marllink::ServerId, begins: bool) {
        self.links.borrow_mut().retain(|link| link.send(Word::Maintenance { server, begins }.into()).is_ok());
    }

    /// Begins where the predecessor stands: what it holds counts here as well. To be called once
    /// clients can be taken.
    pub fn follow(self: &Rc<Self>, heritage: Snapshot, mut link: Link) {
        heritage.knowledge.into_iter().for_each(|known| self.core.feed(Event::TakeOver(known)));
        self.predecessor_holds(heritage.holds);
        let (say, words) = mpsc::unbounded_channel();
        let _ = say.send(Word::Taking.into());
        self.links.borrow_mut().push(say);
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let writer = link.stream.clone();
            let heard = |word, link: &mut Link| match word {
                Word::Holds(holds) => this.predecessor_holds(holds),
                Word::Maintenance { server, begins } => this.core.feed(Event::Maintenance { server, begins }),
                Word::Connection(told) => {
                    let Some([client, host]) = link.take_sockets() else { return };
                    match (connection(client), connection(host)) {
                        (Ok(client), Ok(host)) => this.adopt(told, client, host),
                        (Err(error), _) | (_, Err(error)) => {
                            tracing::error!(%error, "a connection could not be taken over");
                        }
                    }
                }
                Word::Taking => {}
            };
            tokio::select! {
                () = link.hear(heard) => {}
                () = say_all(writer, words) => {}
            }
            tracing::info!("the process before has ended");
            this.predecessor_holds(Holds::default());
        });
    }

    fn predecessor_holds(&self, holds: Holds) {
        self.descriptors.leave(holds.descriptors);
        self.exchange.set_predecessor_ids(holds.ids.clone());
        self.core.feed(Event::PredecessorHoldings(holds.holdings.clone()));
        self.before.replace(holds);
    }

    /// Goes on with a connection of the predecessor's. It must not count twice until that tells again
    /// what it holds: a host would look twice as loaded, and be relieved.
    fn adopt(&self, told: Connection, client: TcpStream, host: TcpStream) {
        let mut before = self.before.borrow_mut();
        if let Some(held) = before.holdings.iter_mut().find(|held| held.server == told.server) {
            held.open = held.open.saturating_sub(1);
            held.load -= told.load;
            self.core.feed(Event::PredecessorHoldings(before.holdings.clone()));
        }
        drop(before);
        self.exchange.adopt(told, client, host);
    }

    /// Hands over to successors for ever.
    pub async fn listen(self: Rc<Self>, successors: UnixListener, clients: Rc<Listener>) {
        loop {
            // Who has handed over has no say any more in who comes next.
            let mut serving = self.serving.subscribe();
            if serving.wait_for(|serving| *serving).await.is_err() {
                return;
            }
            let asked = tokio::select! {
                asked = successors.accept() => asked,
                _ = serving.wait_for(|serving| !*serving) => continue,
            };
            match asked {
                Ok((link, _)) => self.hand_over(link, &clients, &successors).await,
                Err(error) => {
                    tracing::warn!(%error, "a successor could not be heard");
                    self.clock.sleep(PAUSE_MS).await;
                }
            }
        }
    }

    async fn hand_over(&self, link: UnixStream, clients: &Listener, successors: &UnixListener) {
        let (say, words) = mpsc::unbounded_channel();
        let mut link = Link { stream: Rc::new(link), read: Vec::new(), sockets: VecDeque::new() };
        let writer = link.stream.clone();
        let telling = async {
            let hello = link.line().await.ok()?;
            if syntax::read::<Hello>(&hello)?.version != VERSION {
                return None;
            }
            let told = syntax::written(&self.snapshot());
            // What changes from here on goes over the link.
            self.links.borrow_mut().push(say.clone());
            send(&writer, &told, &[clients.as_fd(), successors.as_fd()]).await.ok()?;
            matches!(syntax::read(&link.line().await.ok()?), Some(Word::Taking)).then_some(())
        };
        let Some(Some(())) = self.clock.within(TAKE_MS, telling).await else {
            tracing::warn!("a successor asked and did not take over");
            return;
        };
        tracing::info!(requests = self.exchange.request_count(), "a successor takes clients");
        self.serving.send_replace(false);
        let heard = |word, _: &mut Link| {
            if let Word::Maintenance { server, begins } = word {
                self.core.feed(Event::Maintenance { server, begins });
            }
        };
        tokio::select! {
            () = link.hear(heard) => {}
            () = say_all(writer, words) => {}
            () = self.tell_holds(&say) => {}
            () = self.pass_connections(&say) => {}
        }
        if !self.leaving.get() {
            tracing::warn!("the successor has ended: this process takes clients again");
            self.descriptors.untrim();
            self.serving.send_replace(true);
        }
    }

    /// Tells what this process holds whenever that has changed, for ever.
    async fn tell_holds(&self, say: &mpsc::UnboundedSender<Said>) {
        let mut told = None;
        loop {
            let holds = self.holds();
            if told.as_ref() != Some(&holds) {
                let _ = say.send(Word::Holds(holds.clone()).into());
                told = Some(holds);
            }
            self.clock.sleep(TELL_MS).await;
        }
    }

    /// Once SIGTERM has come, passes on what stands and can be passed, for ever.
    async fn pass_connections(&self, say: &mpsc::UnboundedSender<Said>) {
        let (to, mut passed) = mpsc::unbounded_channel();
        loop {
            tokio::select! {
                Some(HandedOffConnection { connection, sockets }) = passed.recv() => {
                    let _ = say.send(Said { word: Word::Connection(connection), sockets: sockets.into() });
                }
                () = self.clock.sleep(PASS_MS) => {
                    if self.leaving.get() {
                        self.exchange.hand_off_idle(PASS_MOST, &to);
                    }
                }
            }
        }
    }

    fn holds(&self) -> Holds {
        Holds {
            descriptors: self.descriptors.trim(),
            ids: self.exchange.ids_in_use(),
            holdings: self.core.holdings(),
        }
    }

    fn snapshot(&self) -> Snapshot {
        let holds = self.holds();
        // Nothing is given up before the successor takes clients.
        self.descriptors.untrim();
        Snapshot {
            version: VERSION,
            config: self.config.borrow().clone(),
            discovery: self.discovery.address(),
            list: self.discovery.list(),
            addresses: self.directory.all(),
            knowledge: Some(self.core.knowledge()),
            holds,
        }
    }
}

impl Heritage {
    /// Takes it apart: the snapshot, the link, and the two sockets that are listened on.
    pub fn parts(self) -> (Snapshot, Link, Listener, UnixListener) {
        (self.snapshot, self.link, self.clients, self.successors)
    }
}

/// A socket of a connection, as this runtime uses it.
fn connection(socket: OwnedFd) -> io::Result<TcpStream> {
    TcpStream::from_std(socket.into())
}
