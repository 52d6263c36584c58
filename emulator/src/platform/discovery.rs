//! Discovery by HTTP: asked by the balancer, or an agent on its machine that pushes.

use super::servers::pause;
use super::{Note, NoteLog, Server};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// A watch brings an empty line this often while nothing changes, in ms.
const WATCH_HEARTBEAT_MS: f64 = 2_000.0;

/// How a form host is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes new connections.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone.
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

/// Discovery of some form hosts.
pub struct Discovery {
    log: Rc<NoteLog>,
    hosts: Vec<Rc<Server>>,
    zones: Vec<String>,
    states: RefCell<Vec<State>>,
    rev: Cell<u64>,
    changed: Notify,
    /// It learns nothing and says nothing.
    down: Cell<bool>,
    address: SocketAddr,
    /// It claims to have told what it keeps to itself: a fault that the check has to find.
    withholds_drains: bool,
}

impl Discovery {
    /// Discovery of these, in zones by turns. `withholds_drains` plants a fault: drains are noted as told and never written.
    ///
    /// # Errors
    /// Fails if no address is free.
    pub async fn start(
        log: Rc<NoteLog>,
        hosts: Vec<Rc<Server>>,
        zones: Vec<String>,
        withholds_drains: bool,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let this = Rc::new(Self {
            log,
            states: RefCell::new(vec![State::Serving; hosts.len()]),
            hosts,
            zones,
            rev: Cell::new(41),
            changed: Notify::new(),
            down: Cell::new(false),
            address: listener.local_addr()?,
            withholds_drains,
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

    /// Where it is called.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A form host is so from now on.
    pub fn set_state(&self, host: usize, state: State) {
        self.states.borrow_mut()[host] = state;
        if self.withholds_drains {
            self.log.record(Note::Told { host, state });
            return;
        }
        self.rev.set(self.rev.get() + 1);
        self.changed.notify_waiters();
    }

    /// It is down from now on, or back. While it is down it neither answers nor says that nothing has changed; what
    /// has changed meanwhile is told at its return.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        self.changed.notify_waiters();
    }

    async fn up(&self) {
        loop {
            let changed = self.changed.notified();
            if !self.down.get() {
                return;
            }
            changed.await;
        }
    }

    /// The list as it is now, whole.
    #[must_use]
    pub fn list(&self) -> String {
        let entry = |(n, host): (usize, &Rc<Server>)| {
            let state = self.states.borrow()[n];
            (state != State::Deleted).then(|| {
                format!(
                    r#"{{"uid":"s-{n}","endpoint":"{}","az":"{}","model":"m","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":0}}"#,
                    host.address(),
                    self.zones[n % self.zones.len()],
                    n / 2,
                    state.word()
                )
            })
        };
        let targets: Vec<_> = self.hosts.iter().enumerate().filter_map(entry).collect();
        format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, self.rev.get(), targets.join(","))
    }

    /// Notes what a list that was written has told; what was told before stays told from then.
    fn note(&self, told: &mut [State]) {
        for (host, state) in self.states.borrow().iter().enumerate() {
            if told[host] != *state {
                told[host] = *state;
                self.log.record(Note::Told { host, state: *state });
            }
        }
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let mut call = String::new();
        stream.read_line(&mut call).await?;
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 0 && !line.trim_end().is_empty() {
            line.clear();
        }
        self.up().await;
        let mut told = vec![State::Serving; self.hosts.len()];
        if !call.contains("watch=1") {
            let body = self.list();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(head.as_bytes()).await?;
            self.note(&mut told);
            return Ok(());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut written = 0;
        loop {
            self.up().await;
            let changed = self.changed.notified();
            let news = self.rev.get() != written;
            let text = if news { self.list() } else { String::new() };
            written = self.rev.get();
            stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await?;
            if news && !self.withholds_drains {
                self.note(&mut told);
            }
            tokio::select! {
                () = changed => {}
                () = pause(WATCH_HEARTBEAT_MS) => {}
            }
        }
    }
}
