//! Clients that want to be connected all the time: whoever is refused, cut off or moved comes again, through a front
//! that knows only which balancers take a connection.

use super::hosts::pause;
use super::{Book, Note};
use crate::model::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// A client that was cut off comes again within so many ms.
const BACK_MS: Millis = 1_000.0;
/// A client says something every so many ms, and waits so long for what comes back.
const SAY_MS: Millis = 500.0;
const ANSWER_MS: Millis = 3_000.0;
/// The front has a client wait for so long when nobody takes its connection.
const NOBODY_MS: Millis = 50.0;

/// Which balancer a request went to stands in the highest byte of its id.
pub const BALANCER_BITS: u32 = 56;

/// What all clients of a run share.
pub struct Table {
    book: Rc<Book>,
    balancers: Vec<SocketAddr>,
    classes: Vec<(String, Millis)>,
    ended: Cell<bool>,
    up: Cell<usize>,
    refused: Cell<usize>,
}

impl Table {
    /// For these balancers, 256 at most; classes by name, each with the time in ms that its clients wait.
    #[must_use]
    pub fn new(book: Rc<Book>, balancers: Vec<SocketAddr>, classes: Vec<(String, Millis)>) -> Rc<Self> {
        let (ended, up, refused) = (Cell::new(false), Cell::new(0), Cell::new(0));
        Rc::new(Self { book, balancers, classes, ended, up, refused })
    }

    /// How many clients are connected now.
    #[must_use]
    pub fn up(&self) -> usize {
        self.up.get()
    }

    /// Answers so far that were none of `UP`.
    #[must_use]
    pub fn refused(&self) -> usize {
        self.refused.get()
    }

    /// Nobody comes again, and whoever is connected leaves.
    pub fn end(&self) {
        self.ended.set(true);
    }
}

/// One client.
pub struct Returning {
    table: Rc<Table>,
    rng: SmallRng,
}

impl Returning {
    /// The client of this number.
    #[must_use]
    pub fn new(table: Rc<Table>, seed: u64) -> Self {
        Self { table, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Comes after so many ms, and again until the table ends.
    pub async fn live(mut self, after_ms: Millis) {
        pause(after_ms).await;
        while !self.table.ended.get() {
            let advice = self.once().await.unwrap_or(None);
            let wait = advice.unwrap_or_else(|| BACK_MS * self.rng.random::<f64>());
            pause(wait).await;
        }
    }

    /// One connection, to its end; how long the balancer asks to stay away, if it does.
    async fn once(&mut self) -> std::io::Result<Option<Millis>> {
        let table = self.table.clone();
        let number = self.rng.random_range(0..table.balancers.len());
        let Ok(stream) = TcpStream::connect(table.balancers[number]).await else {
            return Ok(Some(NOBODY_MS * (0.5 + self.rng.random::<f64>())));
        };
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        let (class, wait_ms) = &table.classes[self.rng.random_range(0..table.classes.len())];
        let id = ((number as u64) << BALANCER_BITS) | (self.rng.random::<u64>() >> (64 - BALANCER_BITS));
        let line = format!("OPEN {id:016x} {:016x} c={class},d={wait_ms:.0}\r\n", self.rng.random::<u64>());
        stream.write_all(line.as_bytes()).await?;
        table.book.write(Note::Asked { id, wait_ms: *wait_ms });
        let mut answer = String::new();
        let read = tokio::select! {
            read = stream.read_line(&mut answer) => read.unwrap_or(0) > 0,
            () = pause(wait_ms + 2_000.0) => return Ok(None),
        };
        let answer = if read { answer.trim_end().to_owned() } else { "(end)".to_owned() };
        table.book.write(Note::Answered { id, line: answer.clone() });
        if !answer.starts_with("UP ") {
            table.refused.set(table.refused.get() + 1);
            let advice = answer.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok());
            return Ok(advice);
        }
        table.up.set(table.up.get() + 1);
        let _ = self.stay(&mut stream).await;
        table.up.set(table.up.get() - 1);
        Ok(None)
    }

    async fn stay(&mut self, stream: &mut BufReader<TcpStream>) -> std::io::Result<()> {
        let mut line = String::new();
        while !self.table.ended.get() {
            stream.write_all(b"field\r\n").await?;
            line.clear();
            tokio::select! {
                read = stream.read_line(&mut line) => if read? == 0 || line.starts_with("MOVE") {
                    return Ok(());
                },
                () = pause(ANSWER_MS) => return Ok(()),
            }
            // An end that comes while it says nothing is seen at once.
            let quiet = SAY_MS * (0.5 + self.rng.random::<f64>());
            line.clear();
            tokio::select! {
                _ = stream.read_line(&mut line) => return Ok(()),
                () = pause(quiet) => {}
            }
        }
        Ok(())
    }
}
