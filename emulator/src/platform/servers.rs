//! Form hosts as the balancer meets them.

use super::{Note, NoteLog, opening};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// How a form host treats new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// It serves.
    Serves,
    /// It turns them away unseen.
    Busy,
    /// It fails them.
    Errs,
    /// It breaks them off.
    Resets,
    /// It says nothing.
    Mute,
    /// It serves after so many ms.
    Slow(u32),
    /// It serves, and breaks the connection off so many ms later.
    BreaksAfter(u32),
    /// It writes its answers byte by byte.
    Pieces,
    /// It has been deleted, and something else that speaks another language has its address: it breaks off whatever
    /// comes, be it a question.
    Gone,
}

/// A form host.
pub struct Server {
    log: Rc<NoteLog>,
    number: usize,
    address: SocketAddr,
    behavior: Cell<ServerBehavior>,
    /// What it says of itself to who asks; nothing where the deployment has no reports.
    report: Option<String>,
    probes: bool,
    stopped: Notify,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Server {
    /// One that serves at an address of its own.
    ///
    /// # Errors
    /// Fails if no address is free.
    pub async fn start(
        log: Rc<NoteLog>,
        number: usize,
        probes: bool,
        report: Option<String>,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let host = Rc::new(Self {
            log,
            number,
            address: listener.local_addr()?,
            behavior: Cell::new(ServerBehavior::Serves),
            report,
            probes,
            stopped: Notify::new(),
            tasks: RefCell::default(),
        });
        let this = host.clone();
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let host = this.clone();
                let task = tokio::task::spawn_local(async move {
                    let _ = host.serve(stream).await;
                });
                this.tasks.borrow_mut().push(task);
            }
        });
        host.tasks.borrow_mut().push(accepting);
        Ok(host)
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Treats new connections so from now on.
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        self.behavior.set(behavior);
    }

    /// It ends: what is open is cut off, and nobody listens any more.
    pub fn stop(&self) {
        self.stopped.notify_waiters();
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        loop {
            // A send counts from its first byte.
            if stream.fill_buf().await?.is_empty() {
                return Ok(());
            }
            let since = self.log.now();
            let mut line = String::new();
            stream.read_line(&mut line).await?;
            if let Some((id, wait_ms)) = opening(&line) {
                return self.open(stream, id, since, wait_ms).await;
            }
            if self.behavior.get() == ServerBehavior::Gone {
                return stream.get_ref().set_zero_linger();
            }
            let report = self.report.as_deref().unwrap_or_default();
            let answer = match line.trim_end() {
                "PING" if self.probes => "PONG\r\n".to_owned(),
                "STATS" if self.probes => format!("{}\r\n", format!("PONG {report}").trim_end()),
                _ => "NO\r\n".to_owned(),
            };
            stream.write_all(answer.as_bytes()).await?;
        }
    }

    async fn open(
        &self,
        mut stream: BufReader<TcpStream>,
        id: u64,
        since: f64,
        wait_ms: f64,
    ) -> std::io::Result<()> {
        // What the kernel has brought before is to be seen before: an earlier attempt that was closed.
        for _ in 0..8 {
            tokio::task::yield_now().await;
        }
        let host = self.number;
        self.log.record(Note::Sent { id, host, since, wait_ms });
        let over = |how: &str| self.log.record(Note::Over { id, host, how: how.to_owned() });
        match self.behavior.get() {
            ServerBehavior::Serves | ServerBehavior::BreaksAfter(_) | ServerBehavior::Pieces => {}
            ServerBehavior::Slow(ms) => {
                let mut line = String::new();
                tokio::select! {
                    _ = stream.read_line(&mut line) => {
                        over("(left)");
                        return Ok(());
                    }
                    () = pause(f64::from(ms)) => {}
                }
            }
            ServerBehavior::Busy => {
                over("BUSY");
                return stream.write_all(b"BUSY\r\n").await;
            }
            ServerBehavior::Errs => {
                over("ERR");
                return stream.write_all(b"ERR\r\n").await;
            }
            ServerBehavior::Resets | ServerBehavior::Gone => {
                over("(reset)");
                return stream.get_ref().set_zero_linger();
            }
            ServerBehavior::Mute => {
                let mut line = String::new();
                while stream.read_line(&mut line).await.is_ok_and(|read| read > 0) {
                    line.clear();
                }
                over("(left)");
                return Ok(());
            }
        }
        let receipt = format!("{:x}", id.rotate_left(17) ^ host as u64);
        self.log.record(Note::Receipt { id, receipt: receipt.clone() });
        over("UP");
        let answer = format!("UP {receipt}\r\n");
        match self.behavior.get() {
            ServerBehavior::Pieces => {
                for byte in answer.as_bytes() {
                    stream.write_all(&[*byte]).await?;
                    tokio::task::yield_now().await;
                }
            }
            ServerBehavior::BreaksAfter(ms) => {
                stream.write_all(answer.as_bytes()).await?;
                pause(f64::from(ms)).await;
                return stream.get_ref().set_zero_linger();
            }
            _ => stream.write_all(answer.as_bytes()).await?,
        }
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 0 {
            stream.write_all(line.as_bytes()).await?;
            line.clear();
        }
        Ok(())
    }
}

/// Waits for so long.
pub(super) async fn pause(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms.max(0.0) / 1_000.0)).await;
}
