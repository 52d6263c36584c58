//! Clients that want to be connected all the time: whoever is refused, cut off or moved comes again, through a front
//! that knows only which balancers take a connection.

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

/// A client that was cut off comes again within so many ms.
const MAX_RECONNECT_DELAY_MS: Millis = 1_000.0;
/// A client says something every so many ms, and waits so long for what comes back.
const MESSAGE_INTERVAL_MS: Millis = 500.0;
const REPLY_TIMEOUT_MS: Millis = 3_000.0;
/// The front has a client wait for so long when nobody takes its connection.
const UNREACHABLE_DELAY_MS: Millis = 50.0;

/// Which balancer a request went to stands in the highest byte of its id.
pub const BALANCER_SHIFT: u32 = 56;

/// What all clients of a run share.
pub struct ReconnectPool {
    log: Rc<NoteLog>,
    balancers: Vec<SocketAddr>,
    classes: Vec<(String, Millis)>,
    ended: Cell<bool>,
    up: Cell<usize>,
    refused: Cell<usize>,
}

impl ReconnectPool {
    /// For these balancers, 256 at most; classes by name, each with the time in ms that its clients wait.
    #[must_use]
    pub fn new(log: Rc<NoteLog>, balancers: Vec<SocketAddr>, classes: Vec<(String, Millis)>) -> Rc<Self> {
        let (ended, up, refused) = (Cell::new(false), Cell::new(0), Cell::new(0));
        Rc::new(Self { log, balancers, classes, ended, up, refused })
    }

    /// How many clients are connected now.
    #[must_use]
    pub fn connected(&self) -> usize {
        self.up.get()
    }

    /// Answers so far that were none of `UP`.
    #[must_use]
    pub fn rejected(&self) -> usize {
        self.refused.get()
    }

    /// Nobody comes again, and whoever is connected leaves.
    pub fn stop(&self) {
        self.ended.set(true);
    }
}

/// One client.
pub struct ReconnectingClient {
    pool: Rc<ReconnectPool>,
    rng: SmallRng,
}

impl ReconnectingClient {
    /// The client of this number.
    #[must_use]
    pub fn new(pool: Rc<ReconnectPool>, seed: u64) -> Self {
        Self { pool, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Comes after so many ms, and again until the pool ends.
    pub async fn run(mut self, after_ms: Millis) {
        pause(after_ms).await;
        while !self.pool.ended.get() {
            let advice = self.once().await.unwrap_or(None);
            let wait = advice.unwrap_or_else(|| MAX_RECONNECT_DELAY_MS * self.rng.random::<f64>());
            pause(wait).await;
        }
    }

    /// One connection, to its end; how long the balancer asks to stay away, if it does.
    async fn once(&mut self) -> std::io::Result<Option<Millis>> {
        let pool = self.pool.clone();
        let number = self.rng.random_range(0..pool.balancers.len());
        let Ok(stream) = TcpStream::connect(pool.balancers[number]).await else {
            return Ok(Some(UNREACHABLE_DELAY_MS * (0.5 + self.rng.random::<f64>())));
        };
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        let (class, wait_ms) = &pool.classes[self.rng.random_range(0..pool.classes.len())];
        let id = ((number as u64) << BALANCER_SHIFT) | (self.rng.random::<u64>() >> (64 - BALANCER_SHIFT));
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
            pool.refused.set(pool.refused.get() + 1);
            let advice = answer.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok());
            return Ok(advice);
        }
        pool.up.set(pool.up.get() + 1);
        let _ = self.stay(&mut stream).await;
        pool.up.set(pool.up.get() - 1);
        Ok(None)
    }

    async fn stay(&mut self, stream: &mut BufReader<TcpStream>) -> std::io::Result<()> {
        let mut line = String::new();
        while !self.pool.ended.get() {
            stream.write_all(b"field\r\n").await?;
            line.clear();
            tokio::select! {
                read = stream.read_line(&mut line) => if read? == 0 || line.starts_with("MOVE") {
                    return Ok(());
                },
                () = pause(REPLY_TIMEOUT_MS) => return Ok(()),
            }
            // An end that comes while it says nothing is seen at once.
            let quiet = MESSAGE_INTERVAL_MS * (0.5 + self.rng.random::<f64>());
            line.clear();
            tokio::select! {
                _ = stream.read_line(&mut line) => return Ok(()),
                () = pause(quiet) => {}
            }
        }
        Ok(())
    }
}
