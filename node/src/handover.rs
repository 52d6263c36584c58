//! Upgrades: a process that is started while another serves takes its place.
//!
//! The socket lies in `$TMPDIR`, which both processes share. Who is started asks there first. It gets
//! the listening sockets themselves, the clients' and this one, so that there is one queue of clients
//! and one place to ask, and a snapshot. From then on the link tells each what the other must know.

use crate::clock::{Clock, Millis};
use crate::core::Core;
use crate::descriptors::Descriptors;
use crate::directory::Directory;
use crate::discovery::Discovery;
use crate::exchange::Exchange;
use crate::protocol::handover::{self as syntax, Hello, Holds, LONGEST, Snapshot, VERSION, Word};
use marllink::Event;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::{mpsc, watch};

/// A predecessor must have told all within this time ...
const ANSWER_MS: Millis = 1_000.0;
/// ... and a successor must take clients within this time after it has asked.
const TAKE_MS: Millis = 2_000.0;
/// How often a predecessor tells what it holds, if that has changed.
const TELL_MS: Millis = 50.0;
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
    pub clients: TcpListener,
    /// Where the next successor asks.
    pub successors: UnixListener,
    /// The link to it.
    link: UnixStream,
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

async fn receive(mut link: UnixStream) -> io::Result<Heritage> {
    link.write_all(&syntax::written(&Hello { version: VERSION })).await?;
    let mut line = Vec::new();
    let mut sockets: Vec<OwnedFd> = Vec::new();
    while !line.ends_with(b"\n") {
        link.readable().await?;
        let mut bytes = [0; 16 * 1024];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let got = link.try_io(Interest::READABLE, || {
            let into = &mut [IoSliceMut::new(&mut bytes)];
            Ok(recvmsg(&link, into, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes)
        });
        let got = match got {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
            got => got?,
        };
        line.extend_from_slice(&bytes[..got]);
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(fds) = message {
                sockets.extend(fds);
            }
        }
        if line.len() as u64 > LONGEST {
            return Err(io::Error::other("a snapshot without an end"));
        }
    }
    let snapshot = syntax::snapshot(&line).ok_or_else(|| io::Error::other("no snapshot of this version"))?;
    let [clients, successors] =
        <[OwnedFd; 2]>::try_from(sockets).map_err(|_| io::Error::other("no listening sockets"))?;
    let clients = std::net::TcpListener::from(clients);
    let successors = std::os::unix::net::UnixListener::from(successors);
    Ok(Heritage {
        snapshot,
        clients: TcpListener::from_std(clients)?,
        successors: UnixListener::from_std(successors)?,
        link,
    })
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
    /// The links that are open, to say something by.
    links: RefCell<Vec<mpsc::UnboundedSender<Word>>>,
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
            links: RefCell::default(),
        })
    }

    /// Operators take a form host out or put it back: both processes are told.
    pub fn maintain(&self, server: marllink::ServerId, begins: bool) {
        self.core.feed(Event::Maintenance { server, begins });
        self.links.borrow_mut().retain(|link| link.send(Word::Maintenance { server, begins }).is_ok());
    }

    /// Begins where the predecessor stands: what it holds counts here as well. To be called once
    /// clients can be taken.
    pub fn follow(self: &Rc<Self>, heritage: Snapshot, link: UnixStream) {
        self.core.feed(Event::TakeOver(heritage.knowledge));
        self.predecessor_holds(heritage.holds);
        let (say, words) = mpsc::unbounded_channel();
        let _ = say.send(Word::Taking);
        self.links.borrow_mut().push(say);
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let (reader, writer) = link.into_split();
            let heard = |word| match word {
                Word::Holds(holds) => this.predecessor_holds(holds),
                Word::Maintenance { server, begins } => this.core.feed(Event::Maintenance { server, begins }),
                Word::Taking => {}
            };
            tokio::select! {
                () = hear(BufReader::new(reader), heard) => {}
                () = say_all(writer, words) => {}
            }
            tracing::info!("the process before has ended");
            this.predecessor_holds(Holds::default());
        });
    }

    fn predecessor_holds(&self, holds: Holds) {
        self.descriptors.leave(holds.descriptors);
        self.exchange.held_elsewhere(holds.ids);
        self.core.feed(Event::Elsewhere(holds.holdings));
    }

    /// Hands over to successors for ever.
    pub async fn listen(self: Rc<Self>, successors: UnixListener, clients: Rc<TcpListener>) {
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

    async fn hand_over(&self, link: UnixStream, clients: &TcpListener, successors: &UnixListener) {
        let (say, words) = mpsc::unbounded_channel();
        let telling = async {
            let (reader, mut writer) = link.into_split();
            let mut reader = BufReader::new(reader);
            let hello = line(&mut reader).await?;
            if syntax::read::<Hello>(&hello)?.version != VERSION {
                return None;
            }
            let told = syntax::written(&self.snapshot());
            // What changes from here on goes over the link.
            self.links.borrow_mut().push(say.clone());
            let sent = send_sockets(writer.as_ref(), &told, clients, successors).await.ok()?;
            writer.write_all(&told[sent..]).await.ok()?;
            matches!(syntax::read(&line(&mut reader).await?), Some(Word::Taking)).then_some((reader, writer))
        };
        let Some(Some((reader, writer))) = self.clock.within(TAKE_MS, telling).await else {
            tracing::warn!("a successor asked and did not take over");
            return;
        };
        tracing::info!(requests = self.exchange.len(), "a successor takes clients");
        self.serving.send_replace(false);
        let heard = |word| {
            if let Word::Maintenance { server, begins } = word {
                self.core.feed(Event::Maintenance { server, begins });
            }
        };
        tokio::select! {
            () = hear(reader, heard) => {}
            () = say_all(writer, words) => {}
            () = self.tell_holds(say) => {}
        }
        if !self.leaving.get() {
            tracing::warn!("the successor has ended: this process takes clients again");
            self.descriptors.untrim();
            self.serving.send_replace(true);
        }
    }

    /// Tells what this process holds whenever that has changed, for ever.
    async fn tell_holds(&self, say: mpsc::UnboundedSender<Word>) {
        let mut told = None;
        loop {
            let holds = self.holds();
            if told.as_ref() != Some(&holds) {
                let _ = say.send(Word::Holds(holds.clone()));
                told = Some(holds);
            }
            self.clock.sleep(TELL_MS).await;
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
            knowledge: self.core.knowledge(),
            holds,
        }
    }
}

impl Heritage {
    /// Takes it apart: the snapshot, the link, and the two sockets that are listened on.
    pub fn parts(self) -> (Snapshot, UnixStream, TcpListener, UnixListener) {
        (self.snapshot, self.link, self.clients, self.successors)
    }
}

/// Sends the first bytes with the sockets; tells how many.
async fn send_sockets(
    link: &UnixStream,
    bytes: &[u8],
    clients: &TcpListener,
    successors: &UnixListener,
) -> io::Result<usize> {
    loop {
        link.writable().await?;
        let sockets = [clients.as_fd(), successors.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&sockets));
        let sent = link.try_io(Interest::WRITABLE, || {
            Ok(sendmsg(link, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?)
        });
        match sent {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            sent => return sent,
        }
    }
}

/// Reads one line; `None` if the link ends or breaks before, or it is too long.
async fn line(reader: &mut (impl AsyncBufReadExt + Unpin)) -> Option<Vec<u8>> {
    let mut line = Vec::new();
    reader.take(LONGEST).read_until(b'\n', &mut line).await.ok()?;
    line.ends_with(b"\n").then_some(line)
}

/// Hears words until the link ends.
async fn hear(mut reader: impl AsyncBufReadExt + Unpin, heard: impl Fn(Word)) {
    while let Some(word) = line(&mut reader).await.and_then(|line| syntax::read(&line)) {
        heard(word);
    }
}

/// Says words until the link breaks.
async fn say_all(mut writer: impl AsyncWriteExt + Unpin, mut words: mpsc::UnboundedReceiver<Word>) {
    while let Some(word) = words.recv().await {
        if writer.write_all(&syntax::written(&word)).await.is_err() {
            return;
        }
    }
    std::future::pending().await
}
