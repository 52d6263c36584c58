//! Discovery: the list of form servers by HTTP, whole or as a watch, with news that come late.

use super::{Servers, sleep};
use crate::model::Millis;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// A watch brings an empty line this often while nothing changes.
const WATCH_HEARTBEAT_MS: Millis = 2_000.0;

/// Discovery for all balancers.
pub struct Discovery {
    servers: Rc<Servers>,
    /// Zones, in turn.
    zones: Vec<String>,
    /// News come so late.
    late_ms: Cell<Millis>,
    rev: Cell<u64>,
    /// As told: whether each server runs, and since when.
    told: RefCell<Vec<(bool, Millis)>>,
    draining: RefCell<Vec<usize>>,
    changed: Notify,
    unix_at_zero: Millis,
    addresses: RefCell<Vec<SocketAddr>>,
}

impl Discovery {
    /// Discovery of these, with an address for each of so many balancers.
    ///
    /// # Errors
    /// Fails if no address is free.
    pub async fn start(
        servers: Rc<Servers>,
        balancers: usize,
        zones: Vec<String>,
        late_ms: Millis,
        now: Millis,
    ) -> std::io::Result<Rc<Self>> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0;
        let told = (0..servers.count()).map(|h| servers.state(h)).collect();
        let this = Rc::new(Self {
            servers,
            zones,
            late_ms: Cell::new(late_ms),
            rev: Cell::new(1),
            told: RefCell::new(told),
            draining: RefCell::default(),
            changed: Notify::new(),
            unix_at_zero: unix - now,
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
        tokio::task::spawn_local(async move { discovery.follow().await });
        Ok(this)
    }

    /// Where a balancer asks.
    #[must_use]
    pub fn address(&self, balancer: usize) -> SocketAddr {
        self.addresses.borrow()[balancer]
    }

    /// Form servers are listed as draining, or as serving again.
    pub fn drain(&self, h: usize, drains: bool) {
        self.draining.borrow_mut().retain(|other| *other != h);
        if drains {
            self.draining.borrow_mut().push(h);
        }
        self.rev.set(self.rev.get() + 1);
        self.changed.notify_waiters();
    }

    /// Passes on what becomes of form servers, late.
    async fn follow(self: Rc<Self>) {
        loop {
            self.servers.changed.notified().await;
            let now: Vec<_> = (0..self.servers.count()).map(|h| self.servers.state(h)).collect();
            let discovery = self.clone();
            tokio::task::spawn_local(async move {
                sleep(discovery.late_ms.get()).await;
                *discovery.told.borrow_mut() = now;
                discovery.rev.set(discovery.rev.get() + 1);
                discovery.changed.notify_waiters();
            });
        }
    }

    /// The whole list, as a balancer is told it.
    #[must_use]
    pub fn list(&self, balancer: usize) -> String {
        let told = self.told.borrow();
        let up = told.iter().enumerate().filter(|(_, (up, _))| *up);
        let targets = up.map(|(h, (_, since))| {
            let drains = self.draining.borrow().contains(&h);
            let boot_ms = if *since > 0.0 { (self.unix_at_zero + since) as u64 } else { 0 };
            format!(
                r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"m","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#,
                self.servers.name(h),
                self.servers.address(h, balancer),
                self.zones[h % self.zones.len()],
                if drains { "DRAINING" } else { "SERVING" },
            )
        });
        let targets = targets.collect::<Vec<_>>().join(",");
        format!(r#"{{"rev":{},"all":true,"targets":[{targets}]}}"#, self.rev.get())
    }

    async fn serve(&self, stream: TcpStream, balancer: usize) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let mut call = String::new();
        stream.read_line(&mut call).await?;
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 0 && line.trim_end() != "" {
            line.clear();
        }
        if !call.contains("watch=1") {
            let body = self.list(balancer);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            return stream.write_all(head.as_bytes()).await;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut told = 0;
        loop {
            let changed = self.changed.notified();
            let text = if self.rev.get() == told { String::new() } else { self.list(balancer) };
            told = self.rev.get();
            stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await?;
            tokio::select! {
                () = changed => {}
                () = sleep(WATCH_HEARTBEAT_MS) => {}
            }
        }
    }
}
