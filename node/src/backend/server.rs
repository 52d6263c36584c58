//! The server side: makes attempts and load probes at servers. Independent of the client side.

use crate::backend::backoff::Backoff;
use crate::exchange::record::{AttemptCause, AttemptEnd, ConnectionLoss};
use crate::exchange::{Attempt, AttemptHandle, BackendCommand, ConnectionEnd, Pipe, Probe};
use crate::io::clock::{Clock, Millis};
use crate::io::connect::{ConnectError, connect};
use crate::io::descriptors::Descriptor;
use crate::io::pump::{self, FillEnd, FlushEnd};
use crate::io::ring::{End, Ring};
use crate::operations::active_settings::ActiveSettings;
use crate::protocol::line::{self, MAX_LINE_BYTES, OpenRequest, ServerLine};
use crate::protocol::session::{self, FromServer};
use marllink::Outcome;
use socket2::SockRef;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Maximum time for one direction of a connection to end after the other, in milliseconds.
const LINGER_MS: Millis = 30_000.0;
/// Maximum time for the answer to a load probe, in milliseconds.
const PROBE_TIMEOUT_MS: Millis = 1_000.0;
/// Input that a server still sends while its connection is being closed is discarded in chunks of this size.
const DISCARD_CHUNK_BYTES: usize = 16 * 1024;

/// The parameters of a connection that is to be established.
struct ConnectionSetup {
    address: SocketAddr,
    open_request: Rc<OpenRequest>,
    session_ballot: Option<String>,
    /// When the attempt times out.
    deadline: Millis,
}

/// The server side.
#[derive(Clone)]
pub struct Backend {
    /// The clock for timeouts.
    pub clock: Clock,
    /// The active settings: the connect timeout, and whether servers answer probes with a load report.
    pub settings: Rc<ActiveSettings>,
}

impl Backend {
    /// Executes commands forever.
    pub async fn run(self, mut commands: mpsc::UnboundedReceiver<BackendCommand>) {
        while let Some(command) = commands.recv().await {
            let backend = self.clone();
            tokio::task::spawn_local(async move {
                match command {
                    BackendCommand::Attempt(attempt) => backend.make_attempt(attempt).await,
                    BackendCommand::Established { socket, pipe, handle, descriptor } => {
                        let end = tokio::select! {
                            biased;
                            outcome = handle.cancelled() => AttemptEnd::cancelled(outcome),
                            end = backend.relay(&socket, &pipe, &handle) => end,
                        };
                        backend.release(socket, descriptor, &pipe, handle, end).await;
                    }
                    BackendCommand::Probe(probe) => backend.send_probe(probe).await,
                }
            });
        }
    }

    /// Makes an attempt and, if it succeeds, relays its connection until the end.
    ///
    /// A connection that is restored belongs to this server, so the balancer cannot retry it elsewhere:
    /// retries are made here until the attempt times out.
    async fn make_attempt(&self, attempt: Attempt) {
        let Attempt {
            address,
            open_request,
            session_ballot,
            deadline,
            restore_retry,
            pipe,
            handle,
            descriptor,
        } = attempt;
        let setup = ConnectionSetup { address, open_request, session_ballot, deadline };
        let mut backoff = Backoff::default();
        let established = loop {
            let end = match self.establish(&setup, &pipe, &handle).await {
                Ok(stream) => break Ok(stream),
                Err(end) => end,
            };
            let backoff_ms = backoff.next_wait();
            let may_repeat = restore_retry.is_some_and(|policy| policy.may_repeat(end.outcome));
            if !may_repeat || self.clock.now() + backoff_ms >= setup.deadline {
                break Err(end);
            }
            handle.record_failed_try(end);
            tokio::select! {
                biased;
                outcome = handle.cancelled() => break Err(AttemptEnd::cancelled(outcome)),
                () = self.clock.sleep(backoff_ms) => {}
            }
        };
        match established {
            Ok(stream) => {
                let end = tokio::select! {
                    biased;
                    outcome = handle.cancelled() => AttemptEnd::cancelled(outcome),
                    end = self.relay(&stream, &pipe, &handle) => end,
                };
                self.release(stream, descriptor, &pipe, handle, end).await;
            }
            Err(end) => {
                drop(descriptor);
                handle.end(end);
            }
        }
    }

    /// Connects, sends the first line and waits for the answer. The socket is closed if one of these fails.
    async fn establish(
        &self,
        setup: &ConnectionSetup,
        pipe: &Pipe,
        handle: &AttemptHandle,
    ) -> Result<TcpStream, AttemptEnd> {
        let connecting = async {
            let left_ms = setup.deadline - self.clock.now();
            let stream = self.connect(setup.address, left_ms, || handle.connect_timed_out()).await;
            // The client may have left at the same moment: pending events are handled first.
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
        let answered = tokio::select! {
            biased;
            outcome = handle.cancelled() => Err(AttemptEnd::cancelled(outcome)),
            answered = self.send_open_request(&stream, setup, pipe, handle) => answered,
        };
        match answered {
            Ok(()) => Ok(stream),
            Err(end) => {
                self.prepare_close(&stream, pipe, handle).await;
                // The next attempt may start as soon as this one has ended.
                self.wait_for_lease_end(handle).await;
                Err(end)
            }
        }
    }

    /// Connects within the configured timeout, or `wait_ms` if that is less. Calls `on_no_response` if the
    /// server did not respond within the whole configured timeout.
    async fn connect(
        &self,
        address: SocketAddr,
        wait_ms: Millis,
        on_no_response: impl FnOnce(),
    ) -> Result<TcpStream, ConnectError> {
        let timeout_ms = self.settings.current().balancing.limits.connect_timeout_ms;
        let connected = connect(&self.clock, address, timeout_ms.min(wait_ms)).await;
        // A timeout after less time says nothing about the server.
        if matches!(connected, Err(ConnectError::TimedOut)) && wait_ms >= timeout_ms {
            on_no_response();
        }
        let stream = connected?;
        // Lines are short and must not be delayed by Nagle's algorithm.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Sends the first line and waits for the answer.
    async fn send_open_request(
        &self,
        stream: &TcpStream,
        setup: &ConnectionSetup,
        pipe: &Pipe,
        handle: &AttemptHandle,
    ) -> Result<(), AttemptEnd> {
        let writing = self.write_open_request(stream, setup, handle);
        let written = self.clock.within(setup.deadline - self.clock.now(), writing).await;
        // The server has not received the request unless the last byte of the line was written.
        written
            .unwrap_or_else(|| Err(AttemptEnd::new(Outcome::ConnectFailed, AttemptCause::WriteTimedOut)))?;
        let received = &pipe.server_to_client;
        let left_ms = setup.deadline - self.clock.now();
        let answer = if pipe.has_session.get() {
            let no_lease_request = async {
                self.clock.sleep(handle.lease_request_timeout_ms()).await;
                if handle.awaits_lease() || handle.has_lease() {
                    std::future::pending::<()>().await;
                }
            };
            let answer = async {
                tokio::select! {
                    biased;
                    line = read_session_answer(stream, pipe, handle) => Some(line),
                    () = no_lease_request => None,
                }
            };
            self.clock.within(left_ms, answer).await.flatten()
        } else {
            self.clock.within(left_ms, read_first_line(stream, received, handle)).await
        };
        let line = match answer {
            Some(Ok(line)) => line,
            // The server waits for a lease from the replicas, so the missing answer is not its failure.
            None if pipe.has_session.get() && handle.awaits_lease() => {
                received.discard(received.uncommitted());
                return Err(AttemptEnd::new(Outcome::Cancelled, AttemptCause::NoAnswer));
            }
            None => {
                received.discard(received.uncommitted());
                return Err(AttemptEnd::new(Outcome::TimedOut, AttemptCause::NoAnswer));
            }
            Some(Err(loss)) => {
                received.discard(received.uncommitted());
                return Err(AttemptEnd::new(Outcome::Reset, AttemptCause::IncompleteAnswer(loss)));
            }
        };
        let outcome = match line::parse_server_line(&line) {
            // The server claims a session for which it was granted no lease.
            ServerLine::Up if pipe.has_session.get() && !handle.has_lease() => Outcome::Error,
            ServerLine::Up => {
                received.commit(line.len());
                return if handle.established() {
                    Ok(())
                } else {
                    Err(AttemptEnd::cancelled(Outcome::Cancelled))
                };
            }
            ServerLine::Bye(_) => {
                received.commit(received.uncommitted());
                return Err(AttemptEnd::new(Outcome::Ok, AttemptCause::Answered));
            }
            ServerLine::Move => Outcome::Cancelled,
            ServerLine::Busy(_) => Outcome::Full,
            _ => Outcome::Error,
        };
        // The client does not get this answer, but that of the next attempt.
        received.discard(received.uncommitted());
        Err(AttemptEnd::new(outcome, AttemptCause::Answered))
    }

    /// Writes the first line. The limits of the request are checked before each write, so that they hold at
    /// its first byte, from which a send counts for a drain, and at its last, from which an attempt counts.
    async fn write_open_request(
        &self,
        stream: &TcpStream,
        setup: &ConnectionSetup,
        handle: &AttemptHandle,
    ) -> Result<(), AttemptEnd> {
        let (mut line, mut written) = (Vec::new(), 0);
        while written == 0 || written < line.len() {
            let writable = stream.writable().await;
            // As after the connect: the client may have left during the wait.
            tokio::task::yield_now().await;
            handle
                .check_send()
                .map_err(|denied| AttemptEnd::new(Outcome::NotSent, AttemptCause::Denied(denied)))?;
            if written == 0 {
                let left_ms = setup.deadline - self.clock.now();
                line = setup.open_request.for_server(left_ms, setup.session_ballot.as_deref());
            }
            match writable.and_then(|()| stream.try_write(&line[written..])) {
                Ok(count) => written += count,
                Err(error) => {
                    if let Err(error) = pump::recover(error).await {
                        handle.record_connection_end(ConnectionEnd::Failed);
                        return Err(AttemptEnd::new(Outcome::ConnectFailed, AttemptCause::Write(error)));
                    }
                }
            }
        }
        Ok(())
    }

    /// Relays lines in both directions until the connection ends.
    async fn relay(&self, stream: &TcpStream, pipe: &Pipe, handle: &AttemptHandle) -> AttemptEnd {
        let closing_outcome = &pipe.closing_outcome;
        let on_data = || forward_lines(pipe, handle);
        // Further lines may have arrived together with the first.
        if !on_data() {
            return Self::line_too_long(pipe);
        }
        let reading = pump::fill(stream, &pipe.server_to_client, on_data);
        let writing = async {
            if pipe.has_session.get() {
                pump::flush_interleaved(&pipe.client_to_server, &pipe.inserted_to_server, stream, true).await
            } else {
                pump::flush(&pipe.client_to_server, stream).await
            }
        };
        tokio::pin!(reading, writing);
        let (end, client_left) = tokio::select! {
            end = &mut reading => (end, false),
            flushed = &mut writing => {
                // The client has closed its side; the server may still send.
                let end = match flushed {
                    FlushEnd::Closed => self.clock.within(LINGER_MS, &mut reading).await,
                    FlushEnd::Ended => None,
                    FlushEnd::Broken => {
                        handle.record_connection_end(ConnectionEnd::Failed);
                        None
                    }
                };
                (end.unwrap_or(FillEnd::Stopped), true)
            }
        };
        record_connection_end(&end, handle);
        match end {
            FillEnd::Closed => {
                pipe.server_to_client.end(End::Closed);
                // After its closing message, the server expects nothing more from the client.
                if let Some(outcome) = closing_outcome.get() {
                    return AttemptEnd::new(outcome, AttemptCause::ServerClosed);
                }
                if client_left {
                    return AttemptEnd::new(Outcome::Cancelled, AttemptCause::ClientClosed);
                }
                // The server has closed its side; the client may still send.
                self.clock.within(LINGER_MS, &mut writing).await;
                AttemptEnd::new(Outcome::Reset, AttemptCause::Broken(ConnectionLoss::EndOfStream))
            }
            FillEnd::DirectionEnded => AttemptEnd::cancelled(Outcome::Cancelled),
            _ if client_left => AttemptEnd::new(Outcome::Cancelled, AttemptCause::ClientClosed),
            _ if pipe.server_to_client.uncommitted() > MAX_LINE_BYTES => Self::line_too_long(pipe),
            FillEnd::Broken(error) => {
                pipe.server_to_client.end(End::Reset);
                AttemptEnd::new(Outcome::Reset, AttemptCause::Broken(ConnectionLoss::Read(error)))
            }
            FillEnd::Stopped => {
                pipe.server_to_client.end(End::Reset);
                AttemptEnd::new(Outcome::Reset, AttemptCause::Broken(ConnectionLoss::Abandoned))
            }
        }
    }

    /// Ends a connection whose server sent an overlong line, after which no further line can be read. The
    /// client has received no part of that line, so it can be asked to reconnect between two lines.
    fn line_too_long(pipe: &Pipe) -> AttemptEnd {
        pipe.server_to_client.end(End::ClosingMessage("MOVE\r\n".into()));
        AttemptEnd::new(Outcome::Reset, AttemptCause::LineTooLong)
    }

    /// Sends a load probe to a server.
    async fn send_probe(&self, probe: Probe) {
        let Probe { address, mut result, descriptor } = probe;
        let reports_load = !self.settings.current().names.report_fields.is_empty();
        let query: &[u8] = if reports_load { b"STATS\r\n" } else { b"PING\r\n" };
        let query_load = async {
            let stream = self.connect(address, PROBE_TIMEOUT_MS, || result.connect_timed_out()).await.ok()?;
            pump::write_all(&stream, query).await.ok()?;
            let ring = Ring::new();
            let filled = fill_first_line(&stream, &ring).await;
            let line = first_line(&ring, filled).ok()?;
            match line::parse_server_line(&line) {
                ServerLine::Pong(report) => Some(report),
                _ => None,
            }
        };
        if let Some(report) = self.clock.within(PROBE_TIMEOUT_MS, query_load).await.flatten() {
            result.answered(&report);
        }
        drop(descriptor);
    }
}

impl Backend {
    /// Releases a server's socket and reports the end of the attempt, in this order: the next attempt may
    /// only start after the socket is closed.
    async fn release(
        &self,
        socket: TcpStream,
        descriptor: Descriptor,
        pipe: &Pipe,
        handle: AttemptHandle,
        end: AttemptEnd,
    ) {
        self.prepare_close(&socket, pipe, &handle).await;
        pipe.release_server(socket, descriptor);
        handle.end(end);
    }

    /// Prepares a server's socket to be closed.
    async fn prepare_close(&self, socket: &TcpStream, pipe: &Pipe, handle: &AttemptHandle) {
        if pipe.has_session.get() && !pipe.handed_over() {
            self.wait_for_server_close(socket, handle).await;
        }
        if pipe.client_to_server.is_reset() {
            pump::reset(socket);
        } else if !pipe.handed_over() {
            // Closing a socket with unread bytes would reset it, which may destroy the client's last lines.
            pump::drop_unread(socket);
        }
    }

    /// Closes this side of a connection with a session, and waits until the server has closed its side, the
    /// connection has failed, or the server's lease has expired.
    async fn wait_for_server_close(&self, socket: &TcpStream, handle: &AttemptHandle) {
        let _ = SockRef::from(socket).shutdown(Shutdown::Write);
        if handle.connection_end().is_some() {
            return;
        }
        let remaining_input = async {
            loop {
                match pump::discard(socket, DISCARD_CHUNK_BYTES).await {
                    Ok(true) => {}
                    Ok(false) => return ConnectionEnd::Closed,
                    Err(_) => return ConnectionEnd::Failed,
                }
            }
        };
        if let Some(end) = self.clock.within(handle.hold_ms(), remaining_input).await {
            handle.record_connection_end(end);
        }
    }

    /// Waits until the server of a connection that it has not closed holds the session no longer.
    async fn wait_for_lease_end(&self, handle: &AttemptHandle) {
        if handle.connection_end() == Some(ConnectionEnd::Closed) {
            return;
        }
        loop {
            let hold_ms = handle.hold_ms();
            if hold_ms <= 0.0 {
                return;
            }
            self.clock.sleep(hold_ms).await;
        }
    }
}

/// Records how reading from a server ended, if the connection has ended with it.
fn record_connection_end(end: &FillEnd, handle: &AttemptHandle) {
    match end {
        FillEnd::Closed => handle.record_connection_end(ConnectionEnd::Closed),
        FillEnd::Broken(_) => handle.record_connection_end(ConnectionEnd::Failed),
        FillEnd::Stopped | FillEnd::DirectionEnded => {}
    }
}

/// Reads the answer of a server that is to hold a session. Before it answers, the server requests a lease
/// and receives the saved fields.
async fn read_session_answer(
    stream: &TcpStream,
    pipe: &Pipe,
    handle: &AttemptHandle,
) -> Result<Vec<u8>, ConnectionLoss> {
    let writing_lines = async {
        loop {
            pipe.inserted_to_server.wait_for_lines().await;
            if pump::write_all(stream, &pipe.inserted_to_server.take()).await.is_err() {
                handle.record_connection_end(ConnectionEnd::Failed);
                return;
            }
        }
    };
    let reading_answer = async {
        loop {
            let line = read_first_line(stream, &pipe.server_to_client, handle).await?;
            let Some(FromServer::Renew(k)) = session::from_server(&line) else { return Ok(line) };
            pipe.server_to_client.discard(line.len());
            handle.request_lease(k);
        }
    };
    tokio::select! {
        biased;
        line = reading_answer => line,
        () = writing_lines => Err(ConnectionLoss::Abandoned),
    }
}

/// Reads the first line and leaves it in the ring.
async fn read_first_line(
    stream: &TcpStream,
    ring: &Ring,
    handle: &AttemptHandle,
) -> Result<Vec<u8>, ConnectionLoss> {
    let filled = fill_first_line(stream, ring).await;
    record_connection_end(&filled, handle);
    first_line(ring, filled)
}

/// Fills the ring until it holds a complete line or too many bytes.
async fn fill_first_line(stream: &TcpStream, ring: &Ring) -> FillEnd {
    let complete = || ring.peek_line().is_some() || ring.uncommitted() > MAX_LINE_BYTES;
    pump::fill(stream, ring, || !complete()).await
}

/// Returns the first line of the ring, or why there is none after filling it.
fn first_line(ring: &Ring, filled: FillEnd) -> Result<Vec<u8>, ConnectionLoss> {
    let line = ring.peek_line().filter(|line| line.len() <= MAX_LINE_BYTES);
    line.ok_or(match filled {
        FillEnd::Closed => ConnectionLoss::EndOfStream,
        FillEnd::Broken(error) => ConnectionLoss::Read(error),
        FillEnd::Stopped => ConnectionLoss::LineTooLong,
        FillEnd::DirectionEnded => ConnectionLoss::Abandoned,
    })
}

/// Forwards complete lines to the client, so that it can be asked to reconnect between two of them at any
/// time. Returns false if a line is too long.
fn forward_lines(pipe: &Pipe, handle: &AttemptHandle) -> bool {
    let closing_outcome = &pipe.closing_outcome;
    while let Some(line) = pipe.server_to_client.peek_line() {
        match session::from_server(&line).filter(|_| pipe.has_session.get()) {
            Some(FromServer::Renew(k)) => {
                pipe.server_to_client.remove(line.len());
                handle.request_lease(k);
                continue;
            }
            Some(FromServer::Saved(n)) => {
                pipe.server_to_client.commit(line.len());
                handle.saved(pipe, n);
                continue;
            }
            Some(FromServer::Taken) => {
                closing_outcome.set(Some(Outcome::Cancelled));
                pipe.server_to_client.commit(line.len());
                continue;
            }
            None => {}
        }
        closing_outcome.set(None);
        match line::parse_server_line(&line) {
            ServerLine::Load(load) => handle.load(pipe, load),
            ServerLine::Bye(_) => closing_outcome.set(Some(Outcome::Ok)),
            ServerLine::Move => closing_outcome.set(Some(Outcome::Cancelled)),
            _ => handle.answered(pipe),
        }
        pipe.server_to_client.commit(line.len());
    }
    pipe.server_to_client.uncommitted() <= MAX_LINE_BYTES
}
