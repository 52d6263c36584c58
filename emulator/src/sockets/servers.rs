//! Servers that hold sessions and replicate them. Each balancer reaches each server at a separate address, so that a
//! network partition can cut off one balancer alone.

use super::{EntryLog, sleep};
use crate::model::{HolderAction, InjectedBug, LeaseHolder, LeaseReplica, Millis};
use marllink_lease_protocol::{
    self as lease_protocol, Ballot, Call, FrameReader, Reply, SessionId, call, reply,
};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// Interval between lease checks.
const LEASE_CHECK_INTERVAL_MS: Millis = 20.0;
/// Maximum number of session records of a replica.
const MAX_RECORDS: usize = 100_000;
/// Interval at which a connection of a stalled or partitioned server checks whether it may continue.
const REACHABLE_CHECK_INTERVAL_MS: Millis = 10.0;

/// Properties of all servers.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Maximum number of open connections of a server.
    pub capacity: usize,
    /// Maximum relative deviation of the rate of a server's clock.
    pub clock_drift: f64,
    /// An injected bug, if any.
    pub injected_bug: Option<InjectedBug>,
}

/// A fault of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerFault {
    /// The server is killed, and restarts without state after this many ms.
    Kill(Millis),
    /// The server stalls for this many ms.
    Stall(Millis),
    /// No data passes between the server and this balancer for this many ms.
    Partition(usize, Millis),
}

/// All servers of an experiment.
pub struct Servers {
    log: Rc<EntryLog>,
    config: ServerConfig,
    servers: Vec<Rc<Server>>,
    /// Notified whenever a server stops or starts.
    pub changed: Rc<Notify>,
}

struct Server {
    name: String,
    /// Rate of its clock relative to the experiment's clock.
    clock_rate: f64,
    replica: RefCell<LeaseReplica>,
    holder: RefCell<LeaseHolder>,
    incarnation: Cell<u64>,
    running: Cell<bool>,
    stalled_until: Cell<Millis>,
    partitions: RefCell<Vec<(usize, Millis)>>,
    /// Address for each balancer.
    addresses: Vec<SocketAddr>,
    tasks: RefCell<Vec<AbortHandle>>,
    outbound: RefCell<HashMap<u64, Rc<Outbound>>>,
    open_count: Cell<usize>,
    started_at: Cell<Millis>,
}

/// Data to be written on a connection.
#[derive(Default)]
struct Outbound {
    queue: RefCell<VecDeque<Vec<u8>>>,
    /// Whether to close the connection once the queue is empty.
    closing: Cell<bool>,
    added: Notify,
}

impl Outbound {
    fn push(&self, bytes: Vec<u8>) {
        self.queue.borrow_mut().push_back(bytes);
        self.added.notify_one();
    }
}

impl Servers {
    /// Starts `count` servers, each with an address for each of the balancers. `draw_drift` returns the drift of
    /// a server's clock as a ratio to `clock_drift`, between -1 and 1.
    ///
    /// # Errors
    /// Fails if no address is free.
    pub async fn start(
        log: Rc<EntryLog>,
        count: usize,
        balancers: usize,
        config: ServerConfig,
        mut draw_drift: impl FnMut() -> f64,
    ) -> std::io::Result<Rc<Self>> {
        let mut servers = Vec::new();
        for index in 0..count {
            let mut listeners = Vec::new();
            for _ in 0..balancers {
                listeners.push(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?);
            }
            let addresses = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
            let server = Rc::new(Server {
                name: format!("h{index}"),
                clock_rate: 1.0 + config.clock_drift * draw_drift(),
                replica: LeaseReplica::new(MAX_RECORDS, config.injected_bug).into(),
                holder: LeaseHolder::new(config.injected_bug).into(),
                incarnation: Cell::new(1),
                running: Cell::new(true),
                stalled_until: Cell::default(),
                partitions: RefCell::default(),
                addresses,
                tasks: RefCell::default(),
                outbound: RefCell::default(),
                open_count: Cell::default(),
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

    /// Returns the number of servers.
    #[must_use]
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Returns the name of a server.
    #[must_use]
    pub fn name(&self, index: usize) -> &str {
        &self.servers[index].name
    }

    /// Returns the address of a server for a balancer.
    #[must_use]
    pub fn address(&self, index: usize, balancer: usize) -> SocketAddr {
        self.servers[index].addresses[balancer]
    }

    /// Returns whether a server runs, and the time of its last start on the experiment's clock; 0 for a server that
    /// was never restarted.
    #[must_use]
    pub fn state(&self, index: usize) -> (bool, Millis) {
        (self.servers[index].running.get(), self.servers[index].started_at.get())
    }

    /// Returns the number of open connections and of sessions on all servers.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        let open = self.servers.iter().map(|server| server.open_count.get()).sum();
        (open, self.servers.iter().map(|server| server.holder.borrow().session_count()).sum())
    }

    fn listen(self: &Rc<Self>, server: &Rc<Server>, listeners: Vec<TcpListener>) {
        for (balancer, listener) in listeners.into_iter().enumerate() {
            let (this, shared) = (self.clone(), server.clone());
            let task = tokio::task::spawn_local(async move { this.accept(shared, balancer, listener).await });
            server.tasks.borrow_mut().push(task.abort_handle());
        }
        let (this, shared) = (self.clone(), server.clone());
        let task = tokio::task::spawn_local(async move { this.tick(shared).await });
        server.tasks.borrow_mut().push(task.abort_handle());
    }

    async fn accept(self: Rc<Self>, server: Rc<Server>, balancer: usize, listener: TcpListener) {
        let mut last_connection = (balancer as u64) << 32;
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            last_connection += 1;
            let (this, shared, connection) = (self.clone(), server.clone(), last_connection);
            let task = tokio::task::spawn_local(async move {
                shared.open_count.set(shared.open_count.get() + 1);
                let _open = OpenConnection(&shared.open_count);
                let _ = this.serve(&shared, balancer, connection, &stream).await;
                let mut actions = Vec::new();
                shared.outbound.borrow_mut().remove(&connection);
                shared.holder.borrow_mut().handle_close(this.local_time(&shared), connection, &mut actions);
                this.apply(&shared, actions);
            });
            let mut tasks = server.tasks.borrow_mut();
            tasks.retain(|task| !task.is_finished());
            tasks.push(task.abort_handle());
        }
    }

    /// Returns the time on a server's own clock.
    fn local_time(&self, server: &Server) -> Millis {
        self.log.now() * server.clock_rate
    }

    /// Waits while the server is stalled or partitioned from this balancer.
    async fn wait_until_reachable(&self, server: &Server, balancer: usize) {
        loop {
            let now = self.log.now();
            let partitioned =
                server.partitions.borrow().iter().any(|(other, until)| *other == balancer && *until > now);
            if !partitioned && server.stalled_until.get() <= now {
                return;
            }
            sleep(REACHABLE_CHECK_INTERVAL_MS).await;
        }
    }

    async fn tick(self: Rc<Self>, server: Rc<Server>) {
        loop {
            sleep(LEASE_CHECK_INTERVAL_MS).await;
            if server.stalled_until.get() > self.log.now() {
                continue;
            }
            let mut actions = Vec::new();
            server.holder.borrow_mut().tick(self.local_time(&server), &mut actions);
            self.apply(&server, actions);
        }
    }

    /// Carries out the actions of the model.
    fn apply(&self, server: &Server, actions: Vec<HolderAction>) {
        for action in actions {
            match action {
                HolderAction::SendLine(connection, line) => {
                    if let Some(outbound) = server.outbound.borrow().get(&connection) {
                        outbound.push(format!("{line}\r\n").into_bytes());
                    }
                }
                HolderAction::Close(connection) => {
                    if let Some(outbound) = server.outbound.borrow().get(&connection) {
                        outbound.closing.set(true);
                        outbound.added.notify_one();
                    }
                }
                HolderAction::Record(note) => {
                    self.log.record(&server.name, note.on_log_clock(server.clock_rate));
                }
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
        let outbound = Rc::new(Outbound::default());
        server.outbound.borrow_mut().insert(connection, outbound.clone());
        let mut owner = None;
        let mut has_no_session = false;
        let reading = async {
            loop {
                self.wait_until_reachable(server, balancer).await;
                if let Some(owner) = owner {
                    while let Ok(Some(call)) = frames.next_frame::<Call>() {
                        self.handle_call(server, owner, &call, &outbound);
                    }
                } else {
                    while let Some(line) = frames.next_line() {
                        let (word, rest) = line.trim_end().split_once(' ').unwrap_or((line.trim_end(), ""));
                        match word {
                            "KEEP" => {
                                owner = lease_protocol::parse_hello(&line);
                                outbound.push(
                                    lease_protocol::welcome_line(server.incarnation.get()).into_bytes(),
                                );
                                break;
                            }
                            "PING" => outbound.push(b"PONG\r\n".to_vec()),
                            "STATS" => {
                                let (open, capacity) = (server.open_count.get(), self.config.capacity as f64);
                                let load = open as f64 / capacity;
                                outbound.push(format!("PONG x0={load:.3},inflight={open}\r\n").into_bytes());
                            }
                            "OPEN" => has_no_session = self.open(server, connection, rest, &outbound),
                            _ if has_no_session => outbound.push(line.clone().into_bytes()),
                            _ => {
                                let mut actions = Vec::new();
                                let text = line.trim_end_matches(['\r', '\n']);
                                let handled = server.holder.borrow_mut().handle_line(
                                    self.local_time(server),
                                    connection,
                                    text,
                                    &mut actions,
                                );
                                if !handled {
                                    // Other lines of a client are echoed.
                                    outbound.push(line.clone().into_bytes());
                                }
                                self.apply(server, actions);
                            }
                        }
                    }
                    if owner.is_some() {
                        continue;
                    }
                }
                stream.readable().await?;
                self.wait_until_reachable(server, balancer).await;
                match stream.try_read_buf(frames.read_buffer()) {
                    Ok(0) => return Ok(()),
                    Ok(_) => {}
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            }
        };
        let writing = async {
            loop {
                let next = outbound.queue.borrow_mut().pop_front();
                match next {
                    Some(bytes) => {
                        self.wait_until_reachable(server, balancer).await;
                        let mut unsent = &bytes[..];
                        while !unsent.is_empty() {
                            stream.writable().await?;
                            match stream.try_write(unsent) {
                                Ok(n) => unsent = &unsent[n..],
                                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                                Err(error) => return Err(error),
                            }
                        }
                    }
                    None if outbound.closing.get() => return Ok(()),
                    None => outbound.added.notified().await,
                }
            }
        };
        tokio::select! {
            end = reading => end,
            end = writing => end,
        }
    }

    /// Handles the first line of a connection. Returns true if the connection has no session.
    fn open(&self, server: &Server, connection: u64, rest: &str, outbound: &Outbound) -> bool {
        if server.open_count.get() > self.config.capacity {
            outbound.push(format!("BUSY inflight={}\r\n", server.open_count.get()).into_bytes());
            outbound.closing.set(true);
            return false;
        }
        let fields = rest.rsplit(' ').next().unwrap_or_default();
        let Some(session_key) = fields.split(',').find_map(|pair| pair.strip_prefix("s=")) else {
            outbound.push(format!("UP {connection:x}\r\n").into_bytes());
            return true;
        };
        let Some((session, ballot)) = parse_session_key(session_key) else {
            outbound.push(b"SYNTAX\r\n".to_vec());
            outbound.closing.set(true);
            return false;
        };
        let mut actions = Vec::new();
        server.holder.borrow_mut().open(self.local_time(server), connection, session, ballot, &mut actions);
        self.apply(server, actions);
        false
    }

    fn handle_call(&self, server: &Server, owner: u64, call: &Call, outbound: &Outbound) {
        let now = self.local_time(server);
        let reply = if let Some(call::Body::LetGo(request)) = &call.body {
            let mut actions = Vec::new();
            server.holder.borrow_mut().let_go(now, request.session, request.ballot, &mut actions);
            self.apply(server, actions);
            Some(Reply::new(reply::Body::LetGo(*request)))
        } else {
            server.replica.borrow_mut().handle(now, owner, call)
        };
        if let Some(reply) = reply {
            let mut frame = Vec::new();
            lease_protocol::write_frame(&reply, &mut frame);
            outbound.push(frame);
        }
    }

    /// Injects a fault into a server.
    pub fn fault(self: &Rc<Self>, index: usize, fault: ServerFault) {
        let server = self.servers[index].clone();
        let now = self.log.now();
        match fault {
            ServerFault::Stall(ms) => server.stalled_until.set(now + ms),
            ServerFault::Partition(balancer, ms) => server.partitions.borrow_mut().push((balancer, now + ms)),
            ServerFault::Kill(ms) => {
                server.running.set(false);
                server.incarnation.set(server.incarnation.get() + 1);
                // Aborting the tasks drops their sockets, which closes the connections. All sessions are released.
                server.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
                let mut actions = Vec::new();
                server.holder.borrow_mut().kill(self.local_time(&server), &mut actions);
                server.outbound.borrow_mut().clear();
                self.apply(&server, actions);
                server.open_count.set(0);
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
                        server.running.set(true);
                        server.started_at.set(this.log.now());
                        this.listen(&server, listeners);
                        this.changed.notify_waiters();
                    }
                });
            }
        }
    }
}

/// Counts an open connection until it is dropped.
struct OpenConnection<'a>(&'a Cell<usize>);

impl Drop for OpenConnection<'_> {
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

/// Parses `SESSION.EPOCH.ATTEMPT`.
fn parse_session_key(text: &str) -> Option<(SessionId, Ballot)> {
    let mut parts = text.split('.');
    let id = parts.next().filter(|id| id.len() == 32)?;
    let half = |text| u64::from_str_radix(text, 16).ok();
    let session = SessionId { hi: half(&id[..16])?, lo: half(&id[16..])? };
    let ballot = Ballot { epoch: parts.next()?.parse().ok()?, attempt: parts.next()?.parse().ok()? };
    parts.next().is_none().then_some((session, ballot))
}
