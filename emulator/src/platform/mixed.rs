//! Clients of several kinds, including those that disconnect early, stop in the middle of their request or stay idle.

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

/// Lowest bit of the balancer's process number in the id of a request. The number takes all bits from there on.
pub const PROCESS_SHIFT: u32 = 48;
/// Lowest bit of the class number in the id of a request. The number takes four bits.
pub const CLASS_SHIFT: u32 = 44;
/// Time that a client waits beyond the wait time in its request, so that a late answer is recorded.
const EXTRA_WAIT_MS: Millis = 1_500.0;
/// Delay between a reply and the next message of a client.
const MESSAGE_INTERVAL_MS: Millis = 150.0;
/// Maximum delay after each piece of a request that is sent in pieces.
const MAX_PIECE_DELAY_MS: Millis = 60.0;
/// Maximum time to wait for the reply to a message before the client leaves.
const REPLY_TIMEOUT_MS: Millis = 3_000.0;
/// Maximum time that a client that stopped in the middle of its request waits for the balancer to release it.
const RELEASE_TIMEOUT_MS: Millis = 5_000.0;

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Sends a request, and then messages until it is moved or its stay ends.
    Talks,
    /// Sends a request, and then nothing until its connection is closed or its stay ends.
    Idles,
    /// Disconnects shortly after its request, possibly before the answer.
    Leaves,
    /// Sends its request in pieces.
    WritesInPieces,
    /// Stops in the middle of its request and stays connected.
    StopsMidLine,
    /// Sends the last byte of its request at the moment its balancer is signaled to shut down.
    CompletesAtShutdown,
}

/// All kinds of clients.
pub const ALL_CLIENT_KINDS: [ClientKind; 6] = [
    ClientKind::Talks,
    ClientKind::Idles,
    ClientKind::Leaves,
    ClientKind::WritesInPieces,
    ClientKind::StopsMidLine,
    ClientKind::CompletesAtShutdown,
];

/// A balancer process as seen by its clients.
#[derive(Debug)]
pub struct BalancerEndpoint {
    /// Number of the process.
    pub process: usize,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Whether new connections go to this process.
    pub accepts_connections: Cell<bool>,
    /// Notified when the process receives SIGTERM.
    pub shutdown: Notify,
}

/// A class of requests as seen by its clients.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientClass {
    /// Number of the class in the settings.
    pub number: u8,
    /// Name of the class.
    pub name: String,
    /// Time that its clients wait for an answer, in ms.
    pub wait_ms: Millis,
}

/// A client with one connection.
pub struct MixedClient {
    log: Rc<NoteLog>,
    endpoint: Rc<BalancerEndpoint>,
    class: ClientClass,
    kind: ClientKind,
    id: u64,
    rng: SmallRng,
}

impl MixedClient {
    /// Returns a client of this kind.
    #[must_use]
    pub fn new(
        log: Rc<NoteLog>,
        endpoint: Rc<BalancerEndpoint>,
        class: ClientClass,
        kind: ClientKind,
        mut rng: SmallRng,
    ) -> Self {
        let low_bits = rng.random::<u64>() >> (u64::BITS - CLASS_SHIFT);
        let id =
            (endpoint.process as u64) << PROCESS_SHIFT | u64::from(class.number) << CLASS_SHIFT | low_bits;
        Self { log, endpoint, class, kind, id, rng }
    }

    /// Connects, sends a request and stays as its kind does. Errors of the connection are ignored, because what
    /// happened before them is recorded already.
    pub async fn run(mut self, stay_ms: Millis) {
        let Ok(stream) = TcpStream::connect(self.endpoint.address).await else { return };
        if stream.set_nodelay(true).is_err() {
            return;
        }
        self.log.record(Note::Connected { id: self.id });
        let mut stream = BufReader::new(stream);
        let ClientClass { name, wait_ms, .. } = &self.class;
        let line = format!("OPEN {:016x} {:016x} c={name},d={wait_ms:.0}\r\n", self.id, self.id >> 3);
        // A client that failed to send its request has recorded no request.
        let _ = match self.kind {
            ClientKind::StopsMidLine => self.stop_mid_line(&mut stream, &line).await,
            ClientKind::Leaves => self.leave_early(&mut stream, &line).await,
            _ => self.open_and_stay(&mut stream, &line, stay_ms).await,
        };
    }

    async fn stop_mid_line(&mut self, stream: &mut BufReader<TcpStream>, line: &str) -> std::io::Result<()> {
        let length = self.rng.random_range(1..line.len() - 1);
        stream.write_all(&line.as_bytes()[..length]).await?;
        self.log.record(Note::StoppedMidLine { id: self.id });
        let mut answer = String::new();
        tokio::select! {
            _ = stream.read_line(&mut answer) => self.log.record(Note::Released { id: self.id }),
            () = pause(RELEASE_TIMEOUT_MS) => {}
        }
        Ok(())
    }

    async fn leave_early(&mut self, stream: &mut BufReader<TcpStream>, line: &str) -> std::io::Result<()> {
        stream.write_all(line.as_bytes()).await?;
        self.log.record(Note::Asked { id: self.id, wait_ms: self.class.wait_ms });
        let mut answer = String::new();
        let leave_after_ms = self.class.wait_ms.min(250.0) * self.rng.random::<f64>();
        tokio::select! {
            _ = stream.read_line(&mut answer) => self.record_answer(&answer),
            () = pause(leave_after_ms) => self.log.record(Note::Left { id: self.id }),
        }
        Ok(())
    }

    async fn open_and_stay(
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
        self.record_answer(&answer);
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
                self.record_answer(&line);
            }
            pause(MESSAGE_INTERVAL_MS).await;
        }
        Ok(())
    }

    fn record_answer(&self, answer: &str) {
        let line = if answer.ends_with('\n') { answer.trim_end().to_owned() } else { "(end)".to_owned() };
        self.log.record(Note::Answered { id: self.id, line });
    }
}
