//! Discovery over HTTP: the service that the balancer queries, or the agent on its machine that pushes the list.

use super::servers::pause;
use super::{Note, NoteLog, Server};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Interval at which a watch sends an empty line while nothing changes, in ms.
const WATCH_HEARTBEAT_MS: f64 = 2_000.0;

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The server accepts new connections.
    Serving,
    /// The server finishes its connections.
    Draining,
    /// The server is gone.
    Deleted,
}

impl State {
    fn word(self) -> &'static str {
        match self {
            Self::Serving => "SERVING",
            Self::Draining => "DRAINING",
            Self::Deleted => "DELETED",
        }
    }
}

/// Discovery of a set of servers.
pub struct Discovery {
    log: Rc<NoteLog>,
    servers: Vec<Rc<Server>>,
    zones: Vec<String>,
    states: RefCell<Vec<State>>,
    rev: Cell<u64>,
    changed: Notify,
    /// Whether discovery does not respond.
    down: Cell<bool>,
    address: SocketAddr,
    /// An injected bug: changes are recorded as sent but never sent. [`super::rules::check`] has to detect it.
    withholds_updates: bool,
}

impl Discovery {
    /// Starts discovery of these servers, which are assigned to the zones in turn. `withholds_updates` injects a bug:
    /// changes are recorded as sent but never sent.
    ///
    /// # Errors
    /// Fails if no address is free.
    pub async fn start(
        log: Rc<NoteLog>,
        servers: Vec<Rc<Server>>,
        zones: Vec<String>,
        withholds_updates: bool,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let this = Rc::new(Self {
            log,
            states: RefCell::new(vec![State::Serving; servers.len()]),
            servers,
            zones,
            rev: Cell::new(41),
            changed: Notify::new(),
            down: Cell::new(false),
            address: listener.local_addr()?,
            withholds_updates,
        });
        let discovery = this.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let discovery = discovery.clone();
                tokio::task::spawn_local(async move {
                    let _ = discovery.serve(stream).await;
                });
            }
        });
        Ok(this)
    }

    /// Returns the address of the service.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the state of a server.
    pub fn set_state(&self, server: usize, state: State) {
        self.states.borrow_mut()[server] = state;
        if self.withholds_updates {
            self.log.record(Note::Told { host: server, state });
            return;
        }
        self.rev.set(self.rev.get() + 1);
        self.changed.notify_waiters();
    }

    /// Stops or resumes all responses. While discovery is down it sends neither responses nor heartbeats; changes
    /// meanwhile are sent once it resumes.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        self.changed.notify_waiters();
    }

    async fn wait_until_up(&self) {
        loop {
            let changed = self.changed.notified();
            if !self.down.get() {
                return;
            }
            changed.await;
        }
    }

    /// Returns the current full list.
    #[must_use]
    pub fn list(&self) -> String {
        let entry = |(n, server): (usize, &Rc<Server>)| {
            let state = self.states.borrow()[n];
            (state != State::Deleted).then(|| {
                format!(
                    r#"{{"uid":"s-{n}","endpoint":"{}","az":"{}","model":"m","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":0}}"#,
                    server.address(),
                    self.zones[n % self.zones.len()],
                    n / 2,
                    state.word()
                )
            })
        };
        let targets: Vec<_> = self.servers.iter().enumerate().filter_map(entry).collect();
        format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, self.rev.get(), targets.join(","))
    }

    /// Records the states in a written list that differ from the previous list on this connection. A new connection
    /// records the states again; the rules count a state from its first record.
    fn record_states(&self, listed: &mut [State]) {
        for (server, state) in self.states.borrow().iter().enumerate() {
            if listed[server] != *state {
                listed[server] = *state;
                self.log.record(Note::Told { host: server, state: *state });
            }
        }
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let mut request = String::new();
        stream.read_line(&mut request).await?;
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 0 && !line.trim_end().is_empty() {
            line.clear();
        }
        self.wait_until_up().await;
        let mut listed = vec![State::Serving; self.servers.len()];
        if !request.contains("watch=1") {
            let body = self.list();
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(response.as_bytes()).await?;
            self.record_states(&mut listed);
            return Ok(());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut sent_rev = 0;
        loop {
            self.wait_until_up().await;
            let changed = self.changed.notified();
            let has_changed = self.rev.get() != sent_rev;
            let text = if has_changed { self.list() } else { String::new() };
            sent_rev = self.rev.get();
            stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await?;
            if has_changed && !self.withholds_updates {
                self.record_states(&mut listed);
            }
            tokio::select! {
                () = changed => {}
                () = pause(WATCH_HEARTBEAT_MS) => {}
            }
        }
    }
}
