//! Form servers: each balancer reaches each of them at an address of its own, so that one way can be cut
//! and the others not.

use super::{EntryLog, sleep};
use crate::model::{HolderAction, InjectedBug, LeaseHolder, LeaseReplica, Millis};
use marllink_lease_protocol::{self as keep, Ballot, Call, FrameReader, Reply, SessionId, call, reply};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// How often leases are looked at.
const LEASE_CHECK_INTERVAL_MS: Millis = 20.0;
/// Records that a replica has room for.
const MAX_RECORDS: usize = 100_000;
/// A stalled or cut off server is looked at again after so long.
const GATE_CHECK_INTERVAL_MS: Millis = 10.0;

/// What form servers are like.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Sessions and plain connections that one holds at most.
    pub capacity: usize,
    /// Clocks run too fast or too slow by this share at most.
    pub clock_drift: f64,
    /// A bug.
    pub injected_bug: Option<InjectedBug>,
}

/// What may happen to a form server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerFault {
    /// It is killed, and begins anew and empty after so long.
    Kill(Millis),
    /// It does nothing for so long.
    Stall(Millis),
    /// Nothing passes between it and this balancer for so long.
    Partition(usize, Millis),
}

/// All form servers.
pub struct Servers {
    log: Rc<EntryLog>,
    config: ServerConfig,
    servers: Vec<Rc<Server>>,
    /// Called whenever one has died or come back.
    pub changed: Rc<Notify>,
}

struct Server {
    name: String,
    rate: f64,
    replica: RefCell<LeaseReplica>,
    holder: RefCell<LeaseHolder>,
    life: Cell<u64>,
    up: Cell<bool>,
    stalled_until: Cell<Millis>,
    partitions: RefCell<Vec<(usize, Millis)>>,
    /// By balancer.
    addresses: Vec<SocketAddr>,
    tasks: RefCell<Vec<AbortHandle>>,
    outbound: RefCell<HashMap<u64, Rc<Outbound>>>,
    open: Cell<usize>,
    started_at: Cell<Millis>,
}

/// What waits to go out on a connection.
#[derive(Default)]
struct Outbound {
    lines: RefCell<VecDeque<Vec<u8>>>,
    closing: Cell<bool>,
    added: Notify,
}

impl Outbound {
    fn push(&self, bytes: Vec<u8>) {
        self.lines.borrow_mut().push_back(bytes);
        self.added.notify_one();
    }
}

impl Servers {
    /// So many, each with an address for each of so many balancers.
    ///
    /// # Errors
    /// Fails if no address is free.
    pub async fn start(
        log: Rc<EntryLog>,
        count: usize,
        balancers: usize,
        config: ServerConfig,
        mut rate: impl FnMut() -> f64,
    ) -> std::io::Result<Rc<Self>> {
        let mut servers = Vec::new();
        for h in 0..count {
            let mut listeners = Vec::new();
            for _ in 0..balancers {
                listeners.push(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?);
            }
            let addresses = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
            let server = Rc::new(Server {
                name: format!("h{h}"),
                rate: 1.0 + config.clock_drift * rate(),
                replica: LeaseReplica::new(MAX_RECORDS, config.injected_bug).into(),
                holder: LeaseHolder::new(config.injected_bug).into(),
                life: Cell::new(1),
                up: Cell::new(true),
                stalled_until: Cell::default(),
                partitions: RefCell::default(),
                addresses,
                tasks: RefCell::default(),
                outbound: RefCell::default(),
                open: Cell::default(),
                started_at: Cell::default(),
            });
            servers.push((server, listeners));
        }
        let all = servers.iter().map(|(server, _)| server.clone()).collect();
        let this = Rc::new(Self { log, config, servers: all, changed: Rc::default() });
        for (server, listeners) in servers {
            this.listen(&server, listeners);
        }
        Ok(this)
    }

    /// How many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// One's name.
    #[must_use]
    pub fn name(&self, h: usize) -> &str {
        &self.servers[h].name
    }

    /// Where a balancer reaches one.
    #[must_use]
    pub fn address(&self, h: usize, balancer: usize) -> SocketAddr {
        self.servers[h].addresses[balancer]
    }

    /// Whether one runs, and when it was started on the experiment's clock; 0 for long ago.
    #[must_use]
    pub fn state(&self, h: usize) -> (bool, Millis) {
        (self.servers[h].up.get(), self.servers[h].started_at.get())
    }

    /// Connections that all hold together, and sessions held.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        let open = self.servers.iter().map(|h| h.open.get()).sum();
        (open, self.servers.iter().map(|h| h.holder.borrow().session_count()).sum())
    }

    fn listen(self: &Rc<Self>, server: &Rc<Server>, listeners: Vec<TcpListener>) {
        for (balancer, listener) in listeners.into_iter().enumerate() {
            let (this, of) = (self.clone(), server.clone());
            let task = tokio::task::spawn_local(async move { this.accept(of, balancer, listener).await });
            server.tasks.borrow_mut().push(task.abort_handle());
        }
        let (this, of) = (self.clone(), server.clone());
        let task = tokio::task::spawn_local(async move { this.tick(of).await });
        server.tasks.borrow_mut().push(task.abort_handle());
    }

    async fn accept(self: Rc<Self>, server: Rc<Server>, balancer: usize, listener: TcpListener) {
        let mut next = (balancer as u64) << 32;
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            next += 1;
            let (this, of, connection) = (self.clone(), server.clone(), next);
            let task = tokio::task::spawn_local(async move {
                of.open.set(of.open.get() + 1);
                let _open = Open(&of.open);
                let _ = this.serve(&of, balancer, connection, &stream).await;
                let mut actions = Vec::new();
                of.outbound.borrow_mut().remove(&connection);
                of.holder.borrow_mut().handle_close(this.local(&of), connection, &mut actions);
                this.say(&of, actions);
            });
            let mut tasks = server.tasks.borrow_mut();
            tasks.retain(|task| !task.is_finished());
            tasks.push(task.abort_handle());
        }
    }

    /// The time on a form server's own clock.
    fn local(&self, server: &Server) -> Millis {
        self.log.now() * server.rate
    }

    /// Waits while the server is stalled, or nothing passes between it and this balancer.
    async fn gate(&self, server: &Server, balancer: usize) {
        loop {
            let now = self.log.now();
            let split = server.partitions.borrow().iter().any(|(b, until)| *b == balancer && *until > now);
            if !split && server.stalled_until.get() <= now {
                return;
            }
            sleep(GATE_CHECK_INTERVAL_MS).await;
        }
    }

    async fn tick(self: Rc<Self>, server: Rc<Server>) {
        loop {
            sleep(LEASE_CHECK_INTERVAL_MS).await;
            if server.stalled_until.get() > self.log.now() {
                continue;
            }
            let mut actions = Vec::new();
            server.holder.borrow_mut().tick(self.local(&server), &mut actions);
            self.say(&server, actions);
        }
    }

    /// Has what the model actions go out, or be written down.
    fn say(&self, server: &Server, actions: Vec<HolderAction>) {
        for say in actions {
            match say {
                HolderAction::SendLine(connection, line) => {
                    if let Some(out) = server.outbound.borrow().get(&connection) {
                        out.push(format!("{line}\r\n").into_bytes());
                    }
                }
                HolderAction::Close(connection) => {
                    if let Some(out) = server.outbound.borrow().get(&connection) {
                        out.closing.set(true);
                        out.added.notify_one();
                    }
                }
                HolderAction::Record(note) => self.log.record(&server.name, note),
            }
        }
    }

    async fn serve(
        &self,
        server: &Rc<Server>,
        balancer: usize,
        connection: u64,
        stream: &TcpStream,
    ) -> std::io::Result<()> {
        let mut frames = FrameReader::default();
        let out = Rc::new(Outbound::default());
        server.outbound.borrow_mut().insert(connection, out.clone());
        let mut owner = None;
        let mut plain = false;
        let hearing = async {
            loop {
                self.gate(server, balancer).await;
                if let Some(owner) = owner {
                    while let Ok(Some(call)) = frames.next_frame::<Call>() {
                        self.called(server, owner, &call, &out);
                    }
                } else {
                    while let Some(line) = frames.next_line() {
                        let (word, rest) = line.trim_end().split_once(' ').unwrap_or((line.trim_end(), ""));
                        match word {
                            "KEEP" => {
                                owner = keep::parse_hello(&line);
                                out.push(keep::welcome_line(server.life.get()).into_bytes());
                                break;
                            }
                            "PING" => out.push(b"PONG\r\n".to_vec()),
                            "STATS" => {
                                let (open, most) = (server.open.get(), self.config.capacity as f64);
                                let load = open as f64 / most;
                                out.push(format!("PONG x0={load:.3},inflight={open}\r\n").into_bytes());
                            }
                            "OPEN" => plain = self.open(server, connection, rest, &out),
                            _ if plain => out.push(line.clone().into_bytes()),
                            _ => {
                                let mut actions = Vec::new();
                                let text = line.trim_end_matches(['\r', '\n']);
                                let known = server.holder.borrow_mut().handle_line(
                                    self.local(server),
                                    connection,
                                    text,
                                    &mut actions,
                                );
                                if !known {
                                    // Any other line of a client's is answered as it came.
                                    out.push(line.clone().into_bytes());
                                }
                                self.say(server, actions);
                            }
                        }
                    }
                    if owner.is_some() {
                        continue;
                    }
                }
                stream.readable().await?;
                self.gate(server, balancer).await;
                match stream.try_read_buf(frames.read_buffer()) {
                    Ok(0) => return Ok(()),
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e),
                }
            }
        };
        let saying = async {
            loop {
                let next = out.lines.borrow_mut().pop_front();
                match next {
                    Some(bytes) => {
                        self.gate(server, balancer).await;
                        let mut left = &bytes[..];
                        while !left.is_empty() {
                            stream.writable().await?;
                            match stream.try_write(left) {
                                Ok(n) => left = &left[n..],
                                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                                Err(e) => return Err(e),
                            }
                        }
                    }
                    None if out.closing.get() => return Ok(()),
                    None => out.added.notified().await,
                }
            }
        };
        tokio::select! {
            end = hearing => end,
            end = saying => end,
        }
    }

    /// Takes a first line; true if the connection has no session.
    fn open(&self, server: &Server, connection: u64, rest: &str, out: &Outbound) -> bool {
        if server.open.get() > self.config.capacity {
            out.push(format!("BUSY inflight={}\r\n", server.open.get()).into_bytes());
            out.closing.set(true);
            return false;
        }
        let pairs = rest.rsplit(' ').next().unwrap_or_default();
        let Some(held_as) = pairs.split(',').find_map(|pair| pair.strip_prefix("s=")) else {
            out.push(format!("UP {connection:x}\r\n").into_bytes());
            return true;
        };
        let Some((session, ballot)) = held(held_as) else {
            out.push(b"SYNTAX\r\n".to_vec());
            out.closing.set(true);
            return false;
        };
        let mut actions = Vec::new();
        server.holder.borrow_mut().open(self.local(server), connection, session, ballot, &mut actions);
        self.say(server, actions);
        false
    }

    fn called(&self, server: &Server, owner: u64, call: &Call, out: &Outbound) {
        let now = self.local(server);
        let reply = if let Some(call::Body::LetGo(ask)) = &call.body {
            let mut actions = Vec::new();
            server.holder.borrow_mut().let_go(now, ask.session, ask.ballot, &mut actions);
            self.say(server, actions);
            Some(Reply::new(reply::Body::LetGo(*ask)))
        } else {
            server.replica.borrow_mut().handle(now, owner, call)
        };
        if let Some(reply) = reply {
            let mut frame = Vec::new();
            keep::write_frame(&reply, &mut frame);
            out.push(frame);
        }
    }

    /// Something happens to a form server.
    pub fn fault(self: &Rc<Self>, h: usize, fault: ServerFault) {
        let server = self.servers[h].clone();
        let now = self.log.now();
        match fault {
            ServerFault::Stall(ms) => server.stalled_until.set(now + ms),
            ServerFault::Partition(balancer, ms) => server.partitions.borrow_mut().push((balancer, now + ms)),
            ServerFault::Kill(ms) => {
                server.up.set(false);
                server.life.set(server.life.get() + 1);
                // Tasks are dropped with their sockets, which end; whoever holds a session lets go.
                server.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
                let mut actions = Vec::new();
                server.holder.borrow_mut().kill(self.local(&server), &mut actions);
                server.outbound.borrow_mut().clear();
                self.say(&server, actions);
                server.open.set(0);
                server.stalled_until.set(0.0);
                *server.replica.borrow_mut() = LeaseReplica::new(MAX_RECORDS, self.config.injected_bug);
                *server.holder.borrow_mut() = LeaseHolder::new(self.config.injected_bug);
                self.changed.notify_waiters();
                let this = self.clone();
                tokio::task::spawn_local(async move {
                    sleep(ms).await;
                    let listeners =
                        server.addresses.iter().map(|address| bind(*address)).collect::<Result<_, _>>();
                    if let Ok(listeners) = listeners {
                        server.up.set(true);
                        server.started_at.set(this.log.now());
                        this.listen(&server, listeners);
                        this.changed.notify_waiters();
                    }
                });
            }
        }
    }
}

/// Counts a connection for as long as it is there.
struct Open<'a>(&'a Cell<usize>);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1_024)
}

/// Reads `SESSION.EPOCH.ATTEMPT`.
fn held(text: &str) -> Option<(SessionId, Ballot)> {
    let mut parts = text.split('.');
    let id = parts.next().filter(|id| id.len() == 32)?;
    let half = |text| u64::from_str_radix(text, 16).ok();
    let session = SessionId { hi: half(&id[..16])?, lo: half(&id[16..])? };
    let ballot = Ballot { epoch: parts.next()?.parse().ok()?, attempt: parts.next()?.parse().ok()? };
    parts.next().is_none().then_some((session, ballot))
}
