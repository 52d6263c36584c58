//! Servers of plain connections, with configurable behavior.

use super::{Note, NoteLog, parse_open};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Prefix of the lines of established connections that a server reads and does not answer.
pub const UNANSWERED_PREFIX: &str = "NOOP";

/// How a server handles new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Accepts them.
    Serves,
    /// Rejects them with `BUSY`.
    Busy,
    /// Fails them with `ERR`.
    Errs,
    /// Resets them.
    Resets,
    /// Reads from them and never answers.
    Mute,
    /// Accepts them after this many ms.
    Slow(u32),
    /// Accepts them, and resets each this many ms later.
    BreaksAfter(u32),
    /// Accepts them, and writes its answers byte by byte.
    Pieces,
    /// The server has been deleted, and a process with another protocol has its address: it resets every connection
    /// at the first line, probes included.
    Gone,
}

/// A server.
pub struct Server {
    log: Rc<NoteLog>,
    number: usize,
    address: SocketAddr,
    behavior: Cell<ServerBehavior>,
    /// Load report in the answer to `STATS`; `None` where the deployment has no reports.
    report: Option<String>,
    /// Whether the server answers `PING` and `STATS`.
    answers_probes: bool,
    stopped: Notify,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Server {
    /// Starts a server on an address of its own.
    ///
    /// # Errors
    /// Fails if no address is free.
    pub async fn start(
        log: Rc<NoteLog>,
        number: usize,
        answers_probes: bool,
        report: Option<String>,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let server = Rc::new(Self {
            log,
            number,
            address: listener.local_addr()?,
            behavior: Cell::new(ServerBehavior::Serves),
            report,
            answers_probes,
            stopped: Notify::new(),
            tasks: RefCell::default(),
        });
        let this = server.clone();
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = this.clone();
                let task = tokio::task::spawn_local(async move {
                    let _ = server.serve(stream).await;
                });
                this.tasks.borrow_mut().push(task);
            }
        });
        server.tasks.borrow_mut().push(accepting);
        Ok(server)
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how new connections are handled.
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        self.behavior.set(behavior);
    }

    /// Stops the server: its connections are cut off and it stops listening.
    pub fn stop(&self) {
        self.stopped.notify_waiters();
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        loop {
            // A request counts from the arrival of its first byte.
            if stream.fill_buf().await?.is_empty() {
                return Ok(());
            }
            let since = self.log.now();
            let mut line = String::new();
            stream.read_line(&mut line).await?;
            if let Some((id, wait_ms)) = parse_open(&line) {
                return self.open(stream, id, since, wait_ms).await;
            }
            if self.behavior.get() == ServerBehavior::Gone {
                return stream.get_ref().set_zero_linger();
            }
            let report = self.report.as_deref().unwrap_or_default();
            let answer = match line.trim_end() {
                "PING" if self.answers_probes => "PONG\r\n".to_owned(),
                "STATS" if self.answers_probes => format!("{}\r\n", format!("PONG {report}").trim_end()),
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
        // Lets the other tasks process input that arrived earlier, so that the close of an earlier attempt is recorded
        // before this attempt.
        for _ in 0..8 {
            tokio::task::yield_now().await;
        }
        let server = self.number;
        self.log.record(Note::Sent { id, host: server, since, wait_ms });
        let record_end = |how: &str| self.log.record(Note::Over { id, host: server, how: how.to_owned() });
        match self.behavior.get() {
            ServerBehavior::Serves | ServerBehavior::BreaksAfter(_) | ServerBehavior::Pieces => {}
            ServerBehavior::Slow(ms) => {
                let mut line = String::new();
                tokio::select! {
                    _ = stream.read_line(&mut line) => {
                        record_end("(left)");
                        return Ok(());
                    }
                    () = pause(f64::from(ms)) => {}
                }
            }
            ServerBehavior::Busy => {
                record_end("BUSY");
                return stream.write_all(b"BUSY\r\n").await;
            }
            ServerBehavior::Errs => {
                record_end("ERR");
                return stream.write_all(b"ERR\r\n").await;
            }
            ServerBehavior::Resets | ServerBehavior::Gone => {
                record_end("(reset)");
                return stream.get_ref().set_zero_linger();
            }
            ServerBehavior::Mute => {
                let mut line = String::new();
                while stream.read_line(&mut line).await.is_ok_and(|read| read > 0) {
                    line.clear();
                }
                record_end("(left)");
                return Ok(());
            }
        }
        let receipt = format!("{:x}", id.rotate_left(17) ^ server as u64);
        self.log.record(Note::Receipt { id, receipt: receipt.clone() });
        record_end("UP");
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
            if !line.starts_with(UNANSWERED_PREFIX) {
                stream.write_all(line.as_bytes()).await?;
            }
            line.clear();
        }
        Ok(())
    }
}

/// Sleeps for this many ms.
pub(super) async fn pause(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms.max(0.0) / 1_000.0)).await;
}
