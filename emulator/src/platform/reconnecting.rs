//! Clients that want to be connected all the time: after a rejection, a lost connection or `MOVE` they reconnect. A
//! front end that knows only which balancers accept connections assigns them to a balancer.

use super::servers::pause;
use super::{Note, NoteLog};
use crate::model::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Maximum delay before a disconnected client reconnects.
const MAX_RECONNECT_DELAY_MS: Millis = 1_000.0;
/// Mean delay between a reply and the next message of a client.
const MESSAGE_INTERVAL_MS: Millis = 500.0;
/// Maximum time to wait for the reply to a message.
const REPLY_TIMEOUT_MS: Millis = 3_000.0;
/// Mean delay before the next attempt when the balancer accepts no connection.
const UNREACHABLE_DELAY_MS: Millis = 50.0;

/// Lowest bit of the balancer's index in the id of a request. The index takes the highest byte.
pub const BALANCER_SHIFT: u32 = 56;

/// State that all clients of a run share.
pub struct ReconnectPool {
    log: Rc<NoteLog>,
    balancers: Vec<SocketAddr>,
    classes: Vec<(String, Millis)>,
    stopped: Cell<bool>,
    connected: Cell<usize>,
    rejected: Cell<usize>,
}

impl ReconnectPool {
    /// Returns the state for at most 256 balancers; classes by name, each with the time in ms that its clients wait
    /// for an answer.
    #[must_use]
    pub fn new(log: Rc<NoteLog>, balancers: Vec<SocketAddr>, classes: Vec<(String, Millis)>) -> Rc<Self> {
        let (stopped, connected, rejected) = (Cell::new(false), Cell::new(0), Cell::new(0));
        Rc::new(Self { log, balancers, classes, stopped, connected, rejected })
    }

    /// Returns the number of clients that are connected.
    #[must_use]
    pub fn connected(&self) -> usize {
        self.connected.get()
    }

    /// Returns the number of answers so far other than `UP`.
    #[must_use]
    pub fn rejected(&self) -> usize {
        self.rejected.get()
    }

    /// Ends the run: connected clients leave and none reconnects.
    pub fn stop(&self) {
        self.stopped.set(true);
    }
}

/// One client.
pub struct ReconnectingClient {
    pool: Rc<ReconnectPool>,
    rng: SmallRng,
}

impl ReconnectingClient {
    /// Returns a client with this seed.
    #[must_use]
    pub fn new(pool: Rc<ReconnectPool>, seed: u64) -> Self {
        Self { pool, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Connects after this many ms, and reconnects until [`ReconnectPool::stop`].
    pub async fn run(mut self, after_ms: Millis) {
        pause(after_ms).await;
        while !self.pool.stopped.get() {
            let retry_after_ms = self.connect_once().await.unwrap_or(None);
            let delay_ms =
                retry_after_ms.unwrap_or_else(|| MAX_RECONNECT_DELAY_MS * self.rng.random::<f64>());
            pause(delay_ms).await;
        }
    }

    /// Makes one connection and stays to its end. Returns the retry delay that the balancer asked for, if any.
    async fn connect_once(&mut self) -> std::io::Result<Option<Millis>> {
        let pool = self.pool.clone();
        let balancer = self.rng.random_range(0..pool.balancers.len());
        let Ok(stream) = TcpStream::connect(pool.balancers[balancer]).await else {
            return Ok(Some(UNREACHABLE_DELAY_MS * (0.5 + self.rng.random::<f64>())));
        };
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        let (class, wait_ms) = &pool.classes[self.rng.random_range(0..pool.classes.len())];
        let id = ((balancer as u64) << BALANCER_SHIFT) | (self.rng.random::<u64>() >> (64 - BALANCER_SHIFT));
        let line = format!("OPEN {id:016x} {:016x} c={class},d={wait_ms:.0}\r\n", self.rng.random::<u64>());
        stream.write_all(line.as_bytes()).await?;
        pool.log.record(Note::Asked { id, wait_ms: *wait_ms });
        let mut answer = String::new();
        let read = tokio::select! {
            read = stream.read_line(&mut answer) => read.unwrap_or(0) > 0,
            () = pause(wait_ms + 2_000.0) => return Ok(None),
        };
        let answer = if read { answer.trim_end().to_owned() } else { "(end)".to_owned() };
        pool.log.record(Note::Answered { id, line: answer.clone() });
        if !answer.starts_with("UP ") {
            pool.rejected.set(pool.rejected.get() + 1);
            let retry_after_ms = answer.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok());
            return Ok(retry_after_ms);
        }
        pool.connected.set(pool.connected.get() + 1);
        let _ = self.stay(&mut stream).await;
        pool.connected.set(pool.connected.get() - 1);
        Ok(None)
    }

    async fn stay(&mut self, stream: &mut BufReader<TcpStream>) -> std::io::Result<()> {
        let mut line = String::new();
        while !self.pool.stopped.get() {
            stream.write_all(b"field\r\n").await?;
            line.clear();
            tokio::select! {
                read = stream.read_line(&mut line) => if read? == 0 || line.starts_with("MOVE") {
                    return Ok(());
                },
                () = pause(REPLY_TIMEOUT_MS) => return Ok(()),
            }
            // Reads while idle, so that the end of the connection is noticed immediately.
            let idle_ms = MESSAGE_INTERVAL_MS * (0.5 + self.rng.random::<f64>());
            line.clear();
            tokio::select! {
                _ = stream.read_line(&mut line) => return Ok(()),
                () = pause(idle_ms) => {}
            }
        }
        Ok(())
    }
}
