//! Clients of many kinds, among them such that leave, stop in the middle of a line, or rest until they are ended.

use super::servers::pause;
use super::{Note, NoteLog};
use crate::model::Millis;
use rand::Rng;
use rand::rngs::SmallRng;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The process that a request goes to stands in its id from this bit on.
pub const PROCESS_SHIFT: u32 = 48;
/// The class of a request stands in its id from this bit on, in four bits.
pub const CLASS_SHIFT: u32 = 44;
/// A client that waits for its answer does so for longer than it says, so that a late one is seen.
const EXTRA_WAIT_MS: Millis = 1_500.0;
/// A client says something this often.
const MESSAGE_INTERVAL_MS: Millis = 150.0;
/// A client that writes in pieces waits so long after each at most.
const MAX_PIECE_DELAY_MS: Millis = 60.0;
/// A client leaves an established connection that brings nothing back for so long.
const REPLY_TIMEOUT_MS: Millis = 3_000.0;
/// A client that stopped in the middle of its line waits so long to be ended.
const RELEASE_TIMEOUT_MS: Millis = 5_000.0;

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// It asks, and then talks until it is moved or has said enough.
    Talks,
    /// It asks, and then says nothing until it is ended.
    Idles,
    /// It leaves before it may have had its answer.
    Leaves,
    /// It writes its line in pieces.
    WritesInPieces,
    /// It stops in the middle of its line and stays.
    StopsMidLine,
    /// It sends the last byte of its line in the instant in which its balancer is told to end.
    CompletesAtShutdown,
}

/// All kinds.
pub const ALL_CLIENT_KINDS: [ClientKind; 6] = [
    ClientKind::Talks,
    ClientKind::Idles,
    ClientKind::Leaves,
    ClientKind::WritesInPieces,
    ClientKind::StopsMidLine,
    ClientKind::CompletesAtShutdown,
];

/// One balancer as its clients see it.
#[derive(Debug)]
pub struct BalancerEndpoint {
    /// Its number.
    pub process: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether new connections are sent there.
    pub accepts_connections: Cell<bool>,
    /// Told when it is sent SIGTERM.
    pub shutdown: Notify,
}

/// A class of requests as its clients know it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientClass {
    /// Its number in the settings.
    pub number: u8,
    /// Its name.
    pub name: String,
    /// How long its clients wait.
    pub wait_ms: Millis,
}

/// One client's connection.
pub struct MixedClient {
    log: Rc<NoteLog>,
    endpoint: Rc<BalancerEndpoint>,
    class: ClientClass,
    kind: ClientKind,
    id: u64,
    rng: SmallRng,
}

impl MixedClient {
    /// A client of this kind.
    #[must_use]
    pub fn new(
        log: Rc<NoteLog>,
        endpoint: Rc<BalancerEndpoint>,
        class: ClientClass,
        kind: ClientKind,
        mut rng: SmallRng,
    ) -> Self {
        let low = rng.random::<u64>() >> (u64::BITS - CLASS_SHIFT);
        let id = (endpoint.process as u64) << PROCESS_SHIFT | u64::from(class.number) << CLASS_SHIFT | low;
        Self { log, endpoint, class, kind, id, rng }
    }

    /// Connects, asks and stays as its kind does. A connection that breaks has been noted.
    pub async fn run(mut self, stay_ms: Millis) {
        let Ok(stream) = TcpStream::connect(self.endpoint.address).await else { return };
        if stream.set_nodelay(true).is_err() {
            return;
        }
        self.log.record(Note::Connected { id: self.id });
        let mut stream = BufReader::new(stream);
        let ClientClass { name, wait_ms, .. } = &self.class;
        let line = format!("OPEN {:016x} {:016x} c={name},d={wait_ms:.0}\r\n", self.id, self.id >> 3);
        // Who can't write is not heard, and has asked for nothing.
        let _ = match self.kind {
            ClientKind::StopsMidLine => self.stop_mid_line(&mut stream, &line).await,
            ClientKind::Leaves => self.leave(&mut stream, &line).await,
            _ => self.ask_and_stay(&mut stream, &line, stay_ms).await,
        };
    }

    async fn stop_mid_line(&mut self, stream: &mut BufReader<TcpStream>, line: &str) -> std::io::Result<()> {
        let part = self.rng.random_range(1..line.len() - 1);
        stream.write_all(&line.as_bytes()[..part]).await?;
        self.log.record(Note::StoppedMidLine { id: self.id });
        let mut answer = String::new();
        tokio::select! {
            _ = stream.read_line(&mut answer) => self.log.record(Note::Released { id: self.id }),
            () = pause(RELEASE_TIMEOUT_MS) => {}
        }
        Ok(())
    }

    async fn leave(&mut self, stream: &mut BufReader<TcpStream>, line: &str) -> std::io::Result<()> {
        stream.write_all(line.as_bytes()).await?;
        self.log.record(Note::Asked { id: self.id, wait_ms: self.class.wait_ms });
        let mut answer = String::new();
        let after = self.class.wait_ms.min(250.0) * self.rng.random::<f64>();
        tokio::select! {
            _ = stream.read_line(&mut answer) => self.answered(&answer),
            () = pause(after) => self.log.record(Note::Left { id: self.id }),
        }
        Ok(())
    }

    async fn ask_and_stay(
        &mut self,
        stream: &mut BufReader<TcpStream>,
        line: &str,
        stay_ms: Millis,
    ) -> std::io::Result<()> {
        self.write_line(stream, line).await?;
        self.log.record(Note::Asked { id: self.id, wait_ms: self.class.wait_ms });
        let mut answer = String::new();
        tokio::select! {
            _ = stream.read_line(&mut answer) => {}
            () = pause(self.class.wait_ms + EXTRA_WAIT_MS) => return Ok(()),
        }
        self.answered(&answer);
        if answer.starts_with("UP ") {
            self.stay(stream, stay_ms).await?;
        }
        Ok(())
    }

    async fn write_line(&mut self, stream: &mut BufReader<TcpStream>, line: &str) -> std::io::Result<()> {
        let (first, last) = line.as_bytes().split_at(line.len() - 1);
        match self.kind {
            ClientKind::WritesInPieces => {
                for piece in first.chunks(9) {
                    stream.write_all(piece).await?;
                    pause(MAX_PIECE_DELAY_MS * self.rng.random::<f64>()).await;
                }
                stream.write_all(last).await
            }
            ClientKind::CompletesAtShutdown => {
                stream.write_all(first).await?;
                tokio::select! {
                    () = self.endpoint.shutdown.notified() => {}
                    () = pause(1_500.0) => {}
                }
                stream.write_all(last).await
            }
            _ => stream.write_all(line.as_bytes()).await,
        }
    }

    async fn stay(&mut self, stream: &mut BufReader<TcpStream>, stay_ms: Millis) -> std::io::Result<()> {
        let until = self.log.now() + stay_ms;
        let mut line = String::new();
        while self.log.now() < until {
            line.clear();
            if self.kind == ClientKind::Idles {
                tokio::select! {
                    _ = stream.read_line(&mut line) => return Ok(()),
                    () = pause(until - self.log.now()) => return Ok(()),
                }
            }
            stream.write_all(b"field\r\n").await?;
            tokio::select! {
                read = stream.read_line(&mut line) => if read? == 0 || line.starts_with("MOVE") {
                    return Ok(());
                },
                () = pause(REPLY_TIMEOUT_MS) => return Ok(()),
            }
            if line.starts_with("UP ") {
                self.answered(&line);
            }
            pause(MESSAGE_INTERVAL_MS).await;
        }
        Ok(())
    }

    fn answered(&self, answer: &str) {
        let line = if answer.ends_with('\n') { answer.trim_end().to_owned() } else { "(end)".to_owned() };
        self.log.record(Note::Answered { id: self.id, line });
    }
}
