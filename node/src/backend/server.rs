//! The server side: makes attempts and probes at form hosts. Knows nothing of clients.

use crate::backend::backoff::Backoff;
use crate::exchange::record::{AttemptCause, AttemptEnd, Broken};
use crate::exchange::{Attempt, AttemptHandle, Order, Pipe, Probe};
use crate::io::clock::{Clock, Millis};
use crate::io::connect::{ConnectError, connect};
use crate::io::descriptors::Descriptor;
use crate::io::pump::{self, Filled};
use crate::io::ring::{End, Ring};
use crate::operations::tuning::Tuning;
use crate::protocol::line::{self, LONGEST, Opening, Reply};
use crate::protocol::session::{self, FromHost};
use marllink::Outcome;
use socket2::SockRef;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// When one direction has ended, the other has so long to end as well.
const LINGER_MS: Millis = 30_000.0;
/// A probe that has no answer by then has failed.
const PROBE_MS: Millis = 1_000.0;
/// What a form host still says that nobody waits for is dropped in pieces of this size.
const DROPPED: usize = 16 * 1024;

/// What is needed to establish a connection.
struct SetUp {
    address: SocketAddr,
    opening: Rc<Opening>,
    held_as: Option<String>,
    /// When the client's time is over.
    until: Millis,
}

/// The server side.
#[derive(Clone)]
pub struct Servers {
    /// For the time limits.
    pub clock: Clock,
    /// For the time to connect in, and whether probes are answered with a load report.
    pub tuning: Rc<Tuning>,
}

impl Servers {
    /// Carries out orders for ever.
    pub async fn run(self, mut orders: mpsc::UnboundedReceiver<Order>) {
        while let Some(order) = orders.recv().await {
            let servers = self.clone();
            tokio::task::spawn_local(async move {
                match order {
                    Order::Attempt(attempt) => servers.attempt(attempt).await,
                    Order::Standing { socket, pipe, handle, descriptor } => {
                        let end = tokio::select! {
                            biased;
                            outcome = handle.cancelled() => AttemptEnd::cancelled(outcome),
                            end = servers.stand(&socket, &pipe, &handle) => end,
                        };
                        servers.part(socket, descriptor, &pipe, handle, end).await;
                    }
                    Order::Probe(probe) => servers.probe(probe).await,
                }
            });
        }
    }

    /// Makes an attempt and, if it stands, carries its connection to the end.
    ///
    /// Nobody else can try again for a connection that is restored, as it belongs to this server: that is
    /// done here, until its client's time is over.
    async fn attempt(&self, attempt: Attempt) {
        let Attempt { address, opening, held_as, wait_ms, restores, pipe, handle, descriptor } = attempt;
        let setup = SetUp { address, opening, held_as, until: self.clock.now() + wait_ms };
        let mut backoff = Backoff::default();
        let established = loop {
            let end = match self.establish(&setup, &pipe, &handle).await {
                Ok(stream) => break Ok(stream),
                Err(end) => end,
            };
            let wait_ms = backoff.next_wait();
            let may_repeat = restores.is_some_and(|restores| restores.may_repeat(end.outcome));
            if !may_repeat || self.clock.now() + wait_ms >= setup.until {
                break Err(end);
            }
            handle.failed_once(end);
            tokio::select! {
                biased;
                outcome = handle.cancelled() => break Err(AttemptEnd::cancelled(outcome)),
                () = self.clock.sleep(wait_ms) => {}
            }
        };
        match established {
            Ok(stream) => {
                let end = tokio::select! {
                    biased;
                    outcome = handle.cancelled() => AttemptEnd::cancelled(outcome),
                    end = self.stand(&stream, &pipe, &handle) => end,
                };
                self.part(stream, descriptor, &pipe, handle, end).await;
            }
            Err(end) => {
                drop(descriptor);
                handle.end(end);
            }
        }
    }

    /// Connects, sends the first line and waits for the answer. The socket is closed again if that fails.
    async fn establish(
        &self,
        setup: &SetUp,
        pipe: &Pipe,
        handle: &AttemptHandle,
    ) -> Result<TcpStream, AttemptEnd> {
        let connecting = async {
            let left = setup.until - self.clock.now();
            let stream = self.connect(setup.address, left, || handle.no_connection()).await;
            // Its client may have left in the same instant: whatever has happened by now is heard of before the first
            // byte.
            tokio::task::yield_now().await;
            stream
        };
        let stream = tokio::select! {
            biased;
            outcome = handle.cancelled() => return Err(AttemptEnd::cancelled(outcome)),
            stream = connecting => stream.map_err(|error| {
                let outcome = match error {
                    ConnectError::Local(_) => Outcome::NotSent,
                    ConnectError::Failed(_) | ConnectError::TimedOut => Outcome::ConnectFailed,
                };
                AttemptEnd::new(outcome, AttemptCause::Connect(error))
            })?,
        };
        // What was open before goes to its form host, draining or not.
        if setup.opening.at.is_none() && !handle.may_begin() {
            return Err(AttemptEnd::new(Outcome::NotSent, AttemptCause::ServerDraining));
        }
        let left = setup.until - self.clock.now();
        let head = setup.opening.for_host(left, setup.held_as.as_deref());
        let answered = tokio::select! {
            biased;
            outcome = handle.cancelled() => Err(AttemptEnd::cancelled(outcome)),
            answered = self.set_up(&stream, &head, left, pipe, handle) => answered,
        };
        match answered {
            Ok(()) => Ok(stream),
            Err(end) => {
                self.finish_socket(&stream, pipe, handle).await;
                Err(end)
            }
        }
    }

    /// Connects within the usual time, or less; `silent` is called if nothing came back in all of the usual time.
    async fn connect(
        &self,
        address: SocketAddr,
        wait_ms: Millis,
        silent: impl FnOnce(),
    ) -> Result<TcpStream, ConnectError> {
        let usual = self.tuning.now().balancing.limits.connect_timeout_ms;
        let connected = connect(&self.clock, address, usual.min(wait_ms)).await;
        // One that was not given the usual time tells nothing.
        if matches!(connected, Err(ConnectError::TimedOut)) && wait_ms >= usual {
            silent();
        }
        let stream = connected?;
        // Lines are short and must not wait for others.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Sends the first line and waits for the answer.
    async fn set_up(
        &self,
        stream: &TcpStream,
        head: &[u8],
        wait_ms: Millis,
        pipe: &Pipe,
        handle: &AttemptHandle,
    ) -> Result<(), AttemptEnd> {
        let until = self.clock.now() + wait_ms;
        // A line whose last byte was not written has not been heard.
        match self.clock.within(wait_ms, pump::write_all(stream, head)).await {
            Some(Ok(())) => {}
            Some(Err(error)) => {
                return Err(AttemptEnd::new(Outcome::ConnectFailed, AttemptCause::Write(error)));
            }
            None => return Err(AttemptEnd::new(Outcome::ConnectFailed, AttemptCause::WriteTimedOut)),
        }
        let down = &pipe.down;
        let left = until - self.clock.now();
        let answer = if pipe.session.get() {
            let silent = async {
                self.clock.sleep(handle.asks_within()).await;
                if handle.asks() || handle.leased() {
                    std::future::pending::<()>().await;
                }
            };
            let answer = async {
                tokio::select! {
                    biased;
                    line = session_answer(stream, pipe, handle) => Some(line),
                    () = silent => None,
                }
            };
            self.clock.within(left, answer).await.flatten()
        } else {
            self.clock.within(left, first_line(stream, down)).await
        };
        let line = match answer {
            Some(Ok(line)) => line,
            // One that waits for its keepers is not to blame.
            None if pipe.session.get() && handle.asks() => {
                down.discard(down.held());
                return Err(AttemptEnd::new(Outcome::Cancelled, AttemptCause::NoAnswer));
            }
            None => {
                down.discard(down.held());
                return Err(AttemptEnd::new(Outcome::TimedOut, AttemptCause::NoAnswer));
            }
            Some(Err(broken)) => {
                down.discard(down.held());
                return Err(AttemptEnd::new(Outcome::Reset, AttemptCause::NoWholeAnswer(broken)));
            }
        };
        let outcome = match line::reply(&line) {
            // It has a session that nobody gave it.
            Reply::Up if pipe.session.get() && !handle.leased() => Outcome::Error,
            Reply::Up => {
                down.commit(line.len());
                return if handle.established() {
                    Ok(())
                } else {
                    Err(AttemptEnd::cancelled(Outcome::Cancelled))
                };
            }
            Reply::Bye(_) => {
                down.commit(down.held());
                return Err(AttemptEnd::new(Outcome::Ok, AttemptCause::Answered));
            }
            Reply::Move => Outcome::Cancelled,
            Reply::Busy(_) => Outcome::Full,
            _ => Outcome::Error,
        };
        // Nothing of this answer is for the client: the next attempt's comes in its place.
        down.discard(down.held());
        Err(AttemptEnd::new(outcome, AttemptCause::Answered))
    }

    /// Passes lines on until the connection ends.
    async fn stand(&self, stream: &TcpStream, pipe: &Pipe, handle: &AttemptHandle) -> AttemptEnd {
        let last = &pipe.last_word;
        let arrived = || pass_lines(pipe, handle);
        // Lines may have come along with the first.
        if !arrived() {
            return Self::endless(pipe);
        }
        let reading = pump::fill(stream, &pipe.down, arrived);
        let writing = async {
            if pipe.session.get() {
                pump::empty_between(&pipe.up, &pipe.to_host, stream, true).await
            } else {
                pump::empty(&pipe.up, stream).await
            }
        };
        tokio::pin!(reading, writing);
        let (end, client_left) = tokio::select! {
            end = &mut reading => (end, false),
            more = &mut writing => {
                // The client has ended its sending; the form host may still send.
                let end = if more { self.clock.within(LINGER_MS, &mut reading).await } else { None };
                (end.unwrap_or(Filled::Stopped), true)
            }
        };
        match end {
            Filled::Closed => {
                pipe.down.end(End::Closed);
                // A host that has said its last word wants nothing more from the client.
                if let Some(outcome) = last.get() {
                    return AttemptEnd::new(outcome, AttemptCause::ServerClosed);
                }
                if client_left {
                    return AttemptEnd::new(Outcome::Cancelled, AttemptCause::ClientClosed);
                }
                // The form host has ended its sending; the client may still send.
                self.clock.within(LINGER_MS, &mut writing).await;
                AttemptEnd::new(Outcome::Reset, AttemptCause::Broken(Broken::EndOfStream))
            }
            Filled::DirectionEnded => AttemptEnd::cancelled(Outcome::Cancelled),
            _ if client_left => AttemptEnd::new(Outcome::Cancelled, AttemptCause::ClientClosed),
            _ if pipe.down.held() > LONGEST => Self::endless(pipe),
            Filled::Broken(error) => {
                pipe.down.end(End::Reset);
                AttemptEnd::new(Outcome::Reset, AttemptCause::Broken(Broken::Read(error)))
            }
            Filled::Stopped => {
                pipe.down.end(End::Reset);
                AttemptEnd::new(Outcome::Reset, AttemptCause::Broken(Broken::Abandoned))
            }
        }
    }

    /// What the host sends is no line, and none can come after it. Its client has nothing of it and can be sent away
    /// between two lines.
    fn endless(pipe: &Pipe) -> AttemptEnd {
        pipe.down.end(End::ClosingMessage("MOVE\r\n".into()));
        AttemptEnd::new(Outcome::Reset, AttemptCause::EndlessLine)
    }

    /// Asks a form host for its load.
    async fn probe(&self, probe: Probe) {
        let Probe { address, mut result, descriptor } = probe;
        let reports = !self.tuning.now().names.report_fields.is_empty();
        let question: &[u8] = if reports { b"STATS\r\n" } else { b"PING\r\n" };
        let asking = async {
            let stream = self.connect(address, PROBE_MS, || result.no_connection()).await.ok()?;
            pump::write_all(&stream, question).await.ok()?;
            let line = first_line(&stream, &Ring::new()).await.ok()?;
            match line::reply(&line) {
                Reply::Pong(report) => Some(report),
                _ => None,
            }
        };
        if let Some(report) = self.clock.within(PROBE_MS, asking).await.flatten() {
            result.answered(&report);
        }
        drop(descriptor);
    }
}

impl Servers {
    /// Gives a form host's socket back. An attempt that has ended must not be out any more, so that is
    /// told after it; and one that has a session may hold it until it ends its side, or its lease does.
    async fn part(
        &self,
        socket: TcpStream,
        descriptor: Descriptor,
        pipe: &Pipe,
        handle: AttemptHandle,
        end: AttemptEnd,
    ) {
        self.finish_socket(&socket, pipe, &handle).await;
        pipe.release_server(socket, descriptor);
        handle.end(end);
    }

    /// Prepares a server's socket for its close.
    async fn finish_socket(&self, socket: &TcpStream, pipe: &Pipe, handle: &AttemptHandle) {
        if pipe.session.get() && !pipe.handed_over() {
            let _ = SockRef::from(socket).shutdown(Shutdown::Write);
            let rest = async { while let Ok(true) = pump::discard(socket, DROPPED).await {} };
            self.clock.within(handle.hold_ms(), rest).await;
        }
        if pipe.up.broken() {
            pump::reset(socket);
        } else if !pipe.handed_over() {
            // A close over unread bytes would be a reset, and a client's last lines may go with it.
            pump::drop_unread(socket);
        }
    }
}

/// Reads the answer of a form host that is to hold a session: before that it asks for a lease, and is
/// told what has been saved.
async fn session_answer(stream: &TcpStream, pipe: &Pipe, handle: &AttemptHandle) -> Result<Vec<u8>, Broken> {
    let telling = async {
        loop {
            pipe.to_host.some().await;
            if pump::write_all(stream, &pipe.to_host.take()).await.is_err() {
                return;
            }
        }
    };
    let hearing = async {
        loop {
            let line = first_line(stream, &pipe.down).await?;
            let Some(FromHost::Renew(k)) = session::from_host(&line) else { return Ok(line) };
            pipe.down.discard(line.len());
            handle.renews(k);
        }
    };
    tokio::select! {
        biased;
        line = hearing => line,
        () = telling => Err(Broken::Abandoned),
    }
}

/// Reads a first line, and leaves it held.
async fn first_line(stream: &TcpStream, ring: &Ring) -> Result<Vec<u8>, Broken> {
    let whole = || ring.line().is_some() || ring.held() > LONGEST;
    let filled = pump::fill(stream, ring, || !whole()).await;
    let line = ring.line().filter(|line| line.len() <= LONGEST);
    line.ok_or(match filled {
        Filled::Closed => Broken::EndOfStream,
        Filled::Broken(error) => Broken::Read(error),
        Filled::Stopped => Broken::NoLine,
        Filled::DirectionEnded => Broken::Abandoned,
    })
}

/// Passes whole lines on to the client, so that it can be told to move between two of them at any
/// time. False if a line is too long to be one.
fn pass_lines(pipe: &Pipe, handle: &AttemptHandle) -> bool {
    let last = &pipe.last_word;
    while let Some(line) = pipe.down.line() {
        match session::from_host(&line).filter(|_| pipe.session.get()) {
            Some(FromHost::Renew(k)) => {
                pipe.down.take(line.len());
                handle.renews(k);
                continue;
            }
            Some(FromHost::Saved(n)) => {
                pipe.down.commit(line.len());
                handle.saved(pipe, n);
                continue;
            }
            Some(FromHost::Taken) => {
                last.set(Some(Outcome::Cancelled));
                pipe.down.commit(line.len());
                continue;
            }
            None => {}
        }
        last.set(None);
        match line::reply(&line) {
            Reply::Load(load) => handle.load(pipe, load),
            Reply::Bye(_) => last.set(Some(Outcome::Ok)),
            Reply::Move => last.set(Some(Outcome::Cancelled)),
            _ => handle.answered(pipe),
        }
        pipe.down.commit(line.len());
    }
    pipe.down.held() <= LONGEST
}
