//! Discovery over HTTP: the list of servers as a full list or as a watch, with a configurable delay of changes.

use super::{Servers, sleep};
use crate::model::Millis;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Interval at which a watch sends an empty line while nothing changes.
const WATCH_HEARTBEAT_MS: Millis = 2_000.0;

/// Discovery for all balancers.
pub struct Discovery {
    servers: Rc<Servers>,
    /// Zones, to which servers are assigned in turn.
    zones: Vec<String>,
    /// Delay between a change and its publication.
    delay_ms: Cell<Millis>,
    rev: Cell<u64>,
    /// Whether each server is listed as running, and the time of its start.
    listed: RefCell<Vec<(bool, Millis)>>,
    draining: RefCell<Vec<usize>>,
    changed: Notify,
    unix_ms_at_zero: Millis,
    addresses: RefCell<Vec<SocketAddr>>,
}

impl Discovery {
    /// Starts discovery of these servers, with an address for each balancer. Servers are assigned to the zones in
    /// turn, and changes are published `delay_ms` after they happen.
    ///
    /// # Errors
    /// Fails if no address is free.
    pub async fn start(
        servers: Rc<Servers>,
        balancers: usize,
        zones: Vec<String>,
        delay_ms: Millis,
        now: Millis,
    ) -> std::io::Result<Rc<Self>> {
        let unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0;
        let listed = (0..servers.count()).map(|server| servers.state(server)).collect();
        let this = Rc::new(Self {
            servers,
            zones,
            delay_ms: Cell::new(delay_ms),
            rev: Cell::new(1),
            listed: RefCell::new(listed),
            draining: RefCell::default(),
            changed: Notify::new(),
            unix_ms_at_zero: unix_ms - now,
            addresses: RefCell::default(),
        });
        for balancer in 0..balancers {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            this.addresses.borrow_mut().push(listener.local_addr()?);
            let discovery = this.clone();
            tokio::task::spawn_local(async move {
                loop {
                    let Ok((stream, _)) = listener.accept().await else { continue };
                    let discovery = discovery.clone();
                    tokio::task::spawn_local(async move {
                        let _ = discovery.serve(stream, balancer).await;
                    });
                }
            });
        }
        let discovery = this.clone();
        tokio::task::spawn_local(async move { discovery.publish_changes().await });
        Ok(this)
    }

    /// Returns the address of discovery for a balancer.
    #[must_use]
    pub fn address(&self, balancer: usize) -> SocketAddr {
        self.addresses.borrow()[balancer]
    }

    /// Lists a server as draining, or as serving again.
    pub fn drain(&self, server: usize, draining: bool) {
        self.draining.borrow_mut().retain(|other| *other != server);
        if draining {
            self.draining.borrow_mut().push(server);
        }
        self.rev.set(self.rev.get() + 1);
        self.changed.notify_waiters();
    }

    /// Publishes the starts and stops of servers after the delay.
    async fn publish_changes(self: Rc<Self>) {
        loop {
            self.servers.changed.notified().await;
            let states: Vec<_> = (0..self.servers.count()).map(|server| self.servers.state(server)).collect();
            let discovery = self.clone();
            tokio::task::spawn_local(async move {
                sleep(discovery.delay_ms.get()).await;
                *discovery.listed.borrow_mut() = states;
                discovery.rev.set(discovery.rev.get() + 1);
                discovery.changed.notify_waiters();
            });
        }
    }

    /// Returns the full list for a balancer.
    #[must_use]
    pub fn list(&self, balancer: usize) -> String {
        let listed = self.listed.borrow();
        let running = listed.iter().enumerate().filter(|(_, (running, _))| *running);
        let targets = running.map(|(server, (_, started_at))| {
            let is_draining = self.draining.borrow().contains(&server);
            let boot_ms = if *started_at > 0.0 { (self.unix_ms_at_zero + started_at) as u64 } else { 0 };
            format!(
                r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"m","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#,
                self.servers.name(server),
                self.servers.address(server, balancer),
                self.zones[server % self.zones.len()],
                if is_draining { "DRAINING" } else { "SERVING" },
            )
        });
        let targets = targets.collect::<Vec<_>>().join(",");
        format!(r#"{{"rev":{},"all":true,"targets":[{targets}]}}"#, self.rev.get())
    }

    async fn serve(&self, stream: TcpStream, balancer: usize) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let mut request = String::new();
        stream.read_line(&mut request).await?;
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 0 && line.trim_end() != "" {
            line.clear();
        }
        if !request.contains("watch=1") {
            let body = self.list(balancer);
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            return stream.write_all(response.as_bytes()).await;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut sent_rev = 0;
        loop {
            let changed = self.changed.notified();
            let text = if self.rev.get() == sent_rev { String::new() } else { self.list(balancer) };
            sent_rev = self.rev.get();
            stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await?;
            tokio::select! {
                () = changed => {}
                () = sleep(WATCH_HEARTBEAT_MS) => {}
            }
        }
    }
}
