//! Form hosts: each balancer reaches each of them at an address of its own, so that one way can be cut
//! and the others not.

use super::{Ledger, sleep};
use crate::model::{Holder, Keeper, Millis, Plant, Say};
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
const TICK_MS: Millis = 20.0;
/// Records that a keeper has room for.
const ROOM: usize = 100_000;
/// A stalled or cut off host is looked at again after so long.
const GATE_MS: Millis = 10.0;

/// What form hosts are like.
#[derive(Clone, Copy, Debug)]
pub struct Traits {
    /// Sessions and plain connections that one holds at most.
    pub capacity: usize,
    /// Clocks run too fast or too slow by this share at most.
    pub drift: f64,
    /// A bug.
    pub plant: Option<Plant>,
}

/// What may happen to a form host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostFault {
    /// It is killed, and begins anew and empty after so long.
    Kill(Millis),
    /// It does nothing for so long.
    Stall(Millis),
    /// Nothing passes between it and this balancer for so long.
    Split(usize, Millis),
}

/// All form hosts.
pub struct Hosts {
    ledger: Rc<Ledger>,
    traits: Traits,
    hosts: Vec<Rc<Host>>,
    /// Called whenever one has died or come back.
    pub changed: Rc<Notify>,
}

struct Host {
    name: String,
    rate: f64,
    keeper: RefCell<Keeper>,
    holder: RefCell<Holder>,
    life: Cell<u64>,
    up: Cell<bool>,
    stalled_until: Cell<Millis>,
    splits: RefCell<Vec<(usize, Millis)>>,
    /// By balancer.
    addresses: Vec<SocketAddr>,
    tasks: RefCell<Vec<AbortHandle>>,
    outs: RefCell<HashMap<u64, Rc<Out>>>,
    open: Cell<usize>,
    started_at: Cell<Millis>,
}

/// What waits to go out on a connection.
#[derive(Default)]
struct Out {
    lines: RefCell<VecDeque<Vec<u8>>>,
    closing: Cell<bool>,
    added: Notify,
}

impl Out {
    fn push(&self, bytes: Vec<u8>) {
        self.lines.borrow_mut().push_back(bytes);
        self.added.notify_one();
    }
}

impl Hosts {
    /// So many, each with an address for each of so many balancers.
    ///
    /// # Errors
    /// Fails if no address is free.
    pub async fn start(
        ledger: Rc<Ledger>,
        count: usize,
        balancers: usize,
        traits: Traits,
        mut rate: impl FnMut() -> f64,
    ) -> std::io::Result<Rc<Self>> {
        let mut hosts = Vec::new();
        for h in 0..count {
            let mut listeners = Vec::new();
            for _ in 0..balancers {
                listeners.push(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?);
            }
            let addresses = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
            let host = Rc::new(Host {
                name: format!("h{h}"),
                rate: 1.0 + traits.drift * rate(),
                keeper: Keeper::new(ROOM, traits.plant).into(),
                holder: Holder::new(traits.plant).into(),
                life: Cell::new(1),
                up: Cell::new(true),
                stalled_until: Cell::default(),
                splits: RefCell::default(),
                addresses,
                tasks: RefCell::default(),
                outs: RefCell::default(),
                open: Cell::default(),
                started_at: Cell::default(),
            });
            hosts.push((host, listeners));
        }
        let all = hosts.iter().map(|(host, _)| host.clone()).collect();
        let this = Rc::new(Self { ledger, traits, hosts: all, changed: Rc::default() });
        for (host, listeners) in hosts {
            this.listen(&host, listeners);
        }
        Ok(this)
    }

    /// How many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// One's name.
    #[must_use]
    pub fn name(&self, h: usize) -> &str {
        &self.hosts[h].name
    }

    /// Where a balancer reaches one.
    #[must_use]
    pub fn address(&self, h: usize, balancer: usize) -> SocketAddr {
        self.hosts[h].addresses[balancer]
    }

    /// Whether one runs, and when it was started on the experiment's clock; 0 for long ago.
    #[must_use]
    pub fn state(&self, h: usize) -> (bool, Millis) {
        (self.hosts[h].up.get(), self.hosts[h].started_at.get())
    }

    /// Connections that all hold together, and sessions held.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        let open = self.hosts.iter().map(|h| h.open.get()).sum();
        (open, self.hosts.iter().map(|h| h.holder.borrow().count()).sum())
    }

    fn listen(self: &Rc<Self>, host: &Rc<Host>, listeners: Vec<TcpListener>) {
        for (balancer, listener) in listeners.into_iter().enumerate() {
            let (this, of) = (self.clone(), host.clone());
            let task = tokio::task::spawn_local(async move { this.accept(of, balancer, listener).await });
            host.tasks.borrow_mut().push(task.abort_handle());
        }
        let (this, of) = (self.clone(), host.clone());
        let task = tokio::task::spawn_local(async move { this.tick(of).await });
        host.tasks.borrow_mut().push(task.abort_handle());
    }

    async fn accept(self: Rc<Self>, host: Rc<Host>, balancer: usize, listener: TcpListener) {
        let mut next = (balancer as u64) << 32;
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            next += 1;
            let (this, of, connection) = (self.clone(), host.clone(), next);
            let task = tokio::task::spawn_local(async move {
                of.open.set(of.open.get() + 1);
                let _open = Open(&of.open);
                let _ = this.serve(&of, balancer, connection, &stream).await;
                let mut says = Vec::new();
                of.outs.borrow_mut().remove(&connection);
                of.holder.borrow_mut().closed(this.local(&of), connection, &mut says);
                this.say(&of, says);
            });
            let mut tasks = host.tasks.borrow_mut();
            tasks.retain(|task| !task.is_finished());
            tasks.push(task.abort_handle());
        }
    }

    /// The time on a form host's own clock.
    fn local(&self, host: &Host) -> Millis {
        self.ledger.now() * host.rate
    }

    /// Waits while the host is stalled, or nothing passes between it and this balancer.
    async fn gate(&self, host: &Host, balancer: usize) {
        loop {
            let now = self.ledger.now();
            let split = host.splits.borrow().iter().any(|(b, until)| *b == balancer && *until > now);
            if !split && host.stalled_until.get() <= now {
                return;
            }
            sleep(GATE_MS).await;
        }
    }

    async fn tick(self: Rc<Self>, host: Rc<Host>) {
        loop {
            sleep(TICK_MS).await;
            if host.stalled_until.get() > self.ledger.now() {
                continue;
            }
            let mut says = Vec::new();
            host.holder.borrow_mut().tick(self.local(&host), &mut says);
            self.say(&host, says);
        }
    }

    /// Has what the model says go out, or be written down.
    fn say(&self, host: &Host, says: Vec<Say>) {
        for say in says {
            match say {
                Say::Line(connection, line) => {
                    if let Some(out) = host.outs.borrow().get(&connection) {
                        out.push(format!("{line}\r\n").into_bytes());
                    }
                }
                Say::Close(connection) => {
                    if let Some(out) = host.outs.borrow().get(&connection) {
                        out.closing.set(true);
                        out.added.notify_one();
                    }
                }
                Say::Note(note) => self.ledger.write(&host.name, note),
            }
        }
    }

    async fn serve(
        &self,
        host: &Rc<Host>,
        balancer: usize,
        connection: u64,
        stream: &TcpStream,
    ) -> std::io::Result<()> {
        let mut frames = FrameReader::default();
        let out = Rc::new(Out::default());
        host.outs.borrow_mut().insert(connection, out.clone());
        let mut owner = None;
        let mut plain = false;
        let hearing = async {
            loop {
                self.gate(host, balancer).await;
                if let Some(owner) = owner {
                    while let Ok(Some(call)) = frames.next_frame::<Call>() {
                        self.called(host, owner, &call, &out);
                    }
                } else {
                    while let Some(line) = frames.next_line() {
                        let (word, rest) = line.trim_end().split_once(' ').unwrap_or((line.trim_end(), ""));
                        match word {
                            "KEEP" => {
                                owner = keep::parse_hello(&line);
                                out.push(keep::welcome_line(host.life.get()).into_bytes());
                                break;
                            }
                            "PING" => out.push(b"PONG\r\n".to_vec()),
                            "STATS" => {
                                let (open, most) = (host.open.get(), self.traits.capacity as f64);
                                let load = open as f64 / most;
                                out.push(format!("PONG x0={load:.3},inflight={open}\r\n").into_bytes());
                            }
                            "OPEN" => plain = self.open(host, connection, rest, &out),
                            _ if plain => out.push(line.clone().into_bytes()),
                            _ => {
                                let mut says = Vec::new();
                                let text = line.trim_end_matches(['\r', '\n']);
                                let known = host.holder.borrow_mut().line(
                                    self.local(host),
                                    connection,
                                    text,
                                    &mut says,
                                );
                                if !known {
                                    // Any other line of a client's is answered as it came.
                                    out.push(line.clone().into_bytes());
                                }
                                self.say(host, says);
                            }
                        }
                    }
                    if owner.is_some() {
                        continue;
                    }
                }
                stream.readable().await?;
                self.gate(host, balancer).await;
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
                        self.gate(host, balancer).await;
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
    fn open(&self, host: &Host, connection: u64, rest: &str, out: &Out) -> bool {
        if host.open.get() > self.traits.capacity {
            out.push(format!("BUSY inflight={}\r\n", host.open.get()).into_bytes());
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
        let mut says = Vec::new();
        host.holder.borrow_mut().open(self.local(host), connection, session, ballot, &mut says);
        self.say(host, says);
        false
    }

    fn called(&self, host: &Host, owner: u64, call: &Call, out: &Out) {
        let now = self.local(host);
        let reply = if let Some(call::Body::LetGo(ask)) = &call.body {
            let mut says = Vec::new();
            host.holder.borrow_mut().let_go(now, ask.session, ask.ballot, &mut says);
            self.say(host, says);
            Some(Reply::new(reply::Body::LetGo(*ask)))
        } else {
            host.keeper.borrow_mut().handle(now, owner, call)
        };
        if let Some(reply) = reply {
            let mut frame = Vec::new();
            keep::write_frame(&reply, &mut frame);
            out.push(frame);
        }
    }

    /// Something happens to a form host.
    pub fn fault(self: &Rc<Self>, h: usize, fault: HostFault) {
        let host = self.hosts[h].clone();
        let now = self.ledger.now();
        match fault {
            HostFault::Stall(ms) => host.stalled_until.set(now + ms),
            HostFault::Split(balancer, ms) => host.splits.borrow_mut().push((balancer, now + ms)),
            HostFault::Kill(ms) => {
                host.up.set(false);
                host.life.set(host.life.get() + 1);
                // Tasks are dropped with their sockets, which end; whoever holds a session lets go.
                host.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
                let mut says = Vec::new();
                host.holder.borrow_mut().killed(self.local(&host), &mut says);
                host.outs.borrow_mut().clear();
                self.say(&host, says);
                host.open.set(0);
                host.stalled_until.set(0.0);
                *host.keeper.borrow_mut() = Keeper::new(ROOM, self.traits.plant);
                *host.holder.borrow_mut() = Holder::new(self.traits.plant);
                self.changed.notify_waiters();
                let this = self.clone();
                tokio::task::spawn_local(async move {
                    sleep(ms).await;
                    let listeners =
                        host.addresses.iter().map(|address| bind(*address)).collect::<Result<_, _>>();
                    if let Ok(listeners) = listeners {
                        host.up.set(true);
                        host.started_at.set(this.ledger.now());
                        this.listen(&host, listeners);
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
