//! The client side: accepts connections, reads their requests, and relays lines to and from the exchange.
//! Independent of the server side.

use crate::exchange::{AdoptedClient, Exchange, Pipe, RequestHandle};
use crate::io::clock::{Clock, Millis};
use crate::io::descriptors::{Descriptor, Descriptors, Purpose};
use crate::io::listener::{self, Listener};
use crate::io::pump::{self, FillEnd, FlushEnd};
use crate::io::ring::End;
use crate::io::slots::{Slot, Slots};
use crate::operations::active_settings::ActiveSettings;
use crate::protocol::line::{self, FirstLine, MAX_LINE_BYTES, OpenRequest};
use socket2::SockRef;
use std::cell::Cell;
use std::net::Shutdown;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// Maximum time from the accept of a connection to a valid request, in milliseconds. The limit does not
/// restart with each line, because a client could extend that forever. Clients may take 2 s to write, and
/// a connection without a request must be answered within 3 s.
const OPEN_REQUEST_TIMEOUT_MS: Millis = 2_700.0;
/// Maximum number of `PING`s before a request; a client that sends more is flooding.
const MAX_PINGS: usize = 8;
/// Maximum time from the accept of a connection that is rejected to its close, in milliseconds. The client
/// may still be sending, and a close with unread input could destroy the closing message.
const REJECTED_CLOSE_TIMEOUT_MS: Millis = 5_500.0;
/// Maximum time for one direction of a connection to end after the other, in milliseconds.
const LINGER_MS: Millis = 30_000.0;
/// Maximum time for a client that sends nothing to close after its closing message, in milliseconds.
const IDLE_CLOSE_TIMEOUT_MS: Millis = 500.0;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: Millis = 10.0;
/// Time after a client's deadline at which the client is answered even if the balancer has not decided, in
/// milliseconds.
const DEADLINE_GRACE_MS: Millis = 5.0;
/// Unwanted input is discarded in chunks of this size.
const DISCARD_CHUNK_BYTES: usize = 512 * 1024;
/// Pause after each discarded chunk, in milliseconds: a client that floods must not take the CPU from others.
const DISCARD_PAUSE_MS: Millis = 5.0;
/// Interval between log lines with the number of rejected connections, in milliseconds.
const REJECTED_LOG_INTERVAL_MS: Millis = 10_000.0;

/// The client side of the line protocol.
pub struct LineFrontend {
    /// Receives the requests.
    pub exchange: Rc<Exchange>,
    /// The clock for timeouts.
    pub clock: Clock,
    /// The pool of descriptors for the sockets.
    pub descriptors: Rc<Descriptors>,
    /// The active settings: the retry delay for clients that are rejected because no descriptor is free.
    pub settings: Rc<ActiveSettings>,
    /// Slots for connections that have not sent a valid request yet or are being rejected.
    pub pending_slots: Rc<Slots>,
    /// Whether clients are accepted.
    pub serving: watch::Receiver<bool>,
    /// Whether the process is about to exit: connections without a request are rejected.
    pub terminating: watch::Receiver<bool>,
    /// Number of connections that were rejected since the last log line about them.
    pub rejected_count: Cell<usize>,
}

impl LineFrontend {
    /// Accepts connections while this process serves, forever.
    pub async fn accept(self: Rc<Self>, listener: &Listener) {
        let mut serving = self.serving.clone();
        while serving.wait_for(|serving| *serving).await.is_ok() {
            let accepted = tokio::select! {
                biased;
                _ = serving.wait_for(|serving| !*serving) => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(stream) => {
                    let slot = self.pending_slots.acquire().await;
                    let frontend = self.clone();
                    tokio::task::spawn_local(async move { frontend.serve(stream, slot).await });
                }
                Err(error) => {
                    // An immediate retry would spin; the missing resource becomes available again with time.
                    tracing::warn!(%error, "failed to accept a connection");
                    self.clock.sleep(ACCEPT_RETRY_MS).await;
                }
            }
        }
    }

    /// Serves connections that another process has handed off, forever.
    pub async fn adopt(self: Rc<Self>, mut adopted: mpsc::UnboundedReceiver<AdoptedClient>) {
        while let Some(AdoptedClient { socket, request_handle, pipe, descriptor }) = adopted.recv().await {
            let frontend = self.clone();
            tokio::task::spawn_local(async move {
                frontend.relay(&socket, request_handle, &pipe).await;
                pipe.release_client(socket, descriptor);
            });
        }
    }

    /// Logs the number of rejected connections at intervals, if there were any, forever.
    pub async fn log_rejected(&self) {
        loop {
            self.clock.sleep(REJECTED_LOG_INTERVAL_MS).await;
            let count = self.rejected_count.take();
            if count > 0 {
                tracing::info!("rejected {count} connections that sent no valid request");
            }
        }
    }

    /// Accepts the connections that are pending now, even if the event loop has not been notified of them
    /// yet. Returns true if there were any.
    pub fn accept_pending(self: &Rc<Self>, listener: &Listener) -> bool {
        let mut any = false;
        while let Some(stream) = listener.try_accept() {
            any = true;
            let frontend = self.clone();
            tokio::task::spawn_local(async move {
                let slot = frontend.pending_slots.acquire().await;
                match listener::register(stream).await {
                    Ok(stream) => frontend.serve(stream, slot).await,
                    Err(error) => tracing::warn!(%error, "failed to serve an accepted connection"),
                }
            });
        }
        any
    }

    /// Serves one connection until its end.
    async fn serve(&self, stream: TcpStream, slot: Slot) {
        // Lines are short and must not be delayed by Nagle's algorithm.
        let _ = stream.set_nodelay(true);
        let request_deadline = self.clock.now() + OPEN_REQUEST_TIMEOUT_MS;
        let pipe = Pipe::new();
        match self.accept_request(&stream, &pipe, &slot, request_deadline).await {
            Ok((request_handle, descriptor)) => {
                drop(slot);
                self.relay(&stream, request_handle, &pipe).await;
                pipe.release_client(stream, descriptor);
            }
            Err(RejectReason::Gone) => drop(stream),
            Err(reason) => {
                if !matches!(reason, RejectReason::RetryLater(_)) {
                    tracing::debug!("rejected a client: {}", reason.describe());
                    self.rejected_count.set(self.rejected_count.get() + 1);
                }
                let line = match reason {
                    RejectReason::RetryLater(wait_ms) => line::busy_line(wait_ms),
                    _ => "ERR\r\n".into(),
                };
                let evicted = async {
                    if !matches!(reason, RejectReason::Evicted) {
                        slot.evicted().await;
                    }
                };
                tokio::select! {
                    biased;
                    () = evicted => {
                        // A newer connection waits for the slot. A line this short fits in any socket buffer.
                        pump::write_now(&stream, line.as_bytes());
                        let _ = SockRef::from(&stream).shutdown(Shutdown::Write);
                        pump::drop_unread(&stream);
                    }
                    () = self.reject(&stream, &line, request_deadline) => {}
                }
                // The slot is released after the socket: the next connection needs the descriptor.
                drop(stream);
            }
        }
    }

    /// Reads a client's request and passes it to the exchange.
    async fn accept_request(
        &self,
        stream: &TcpStream,
        pipe: &Rc<Pipe>,
        slot: &Slot,
        request_deadline: Millis,
    ) -> Result<(RequestHandle, Descriptor), RejectReason> {
        let mut terminating = self.terminating.clone();
        let result = tokio::select! {
            biased;
            result = self.clock.within(OPEN_REQUEST_TIMEOUT_MS, self.read_open_request(stream, pipe, slot)) => result,
            () = slot.evicted() => Some(Err(RejectReason::Evicted)),
            _ = terminating.wait_for(|terminating| *terminating) => Some(Err(RejectReason::RetryLater(0.0))),
        };
        let open_request = result.unwrap_or(Err(RejectReason::TimedOut))?;
        if *self.terminating.borrow() {
            return Err(RejectReason::RetryLater(0.0));
        }
        let Some(descriptor) = self.descriptors.acquire(Purpose::Served) else {
            let limits = &self.settings.current().balancing.limits;
            return Err(RejectReason::RetryLater(if limits.retry_after {
                limits.max_retry_after_ms
            } else {
                0.0
            }));
        };
        if open_request.previous_server.is_some() {
            // A client whose connection is restored may have to wait for its server; it must not be evicted
            // meanwhile.
            slot.release();
        }
        let left_ms = request_deadline - self.clock.now();
        // The client may close while it waits for its server to be listed, but must send nothing before its
        // answer.
        let request_handle = tokio::select! {
            biased;
            request_handle = self.exchange.open(open_request, pipe.clone(), left_ms) => request_handle.map_err(RejectReason::Unservable)?,
            _ = pump::fill(stream, &pipe.client_to_server, || false) => {
                return Err(if pipe.client_to_server.uncommitted() > 0 { RejectReason::Malformed } else { RejectReason::Gone });
            }
        };
        Ok((request_handle, descriptor))
    }

    /// Reads until the client has requested a connection, and answers `PING`s until then.
    async fn read_open_request(
        &self,
        stream: &TcpStream,
        pipe: &Pipe,
        slot: &Slot,
    ) -> Result<OpenRequest, RejectReason> {
        for _ in 0..=MAX_PINGS {
            wait_first_line(stream, pipe, slot).await?;
            match self.take_first_line(pipe) {
                Some(FirstLine::Ping) => {
                    pump::write_all(stream, b"PONG\r\n").await.map_err(|_| RejectReason::Gone)?;
                    slot.mark_answered();
                }
                Some(FirstLine::Open(open_request)) => return Ok(*open_request),
                None => break,
            }
        }
        Err(RejectReason::Malformed)
    }

    /// Takes the first line out of the ring. Returns `None` unless it is complete and valid.
    fn take_first_line(&self, pipe: &Pipe) -> Option<FirstLine> {
        let line = pipe.client_to_server.peek_line().filter(|line| line.len() <= MAX_LINE_BYTES)?;
        pipe.client_to_server.discard(line.len());
        let first_line = line::parse_first_line(&line);
        if first_line.is_none() {
            tracing::debug!(
                "malformed first line from a client: {}",
                line[..line.len().min(200)].escape_ascii()
            );
        }
        // The protocol requires a client to wait for its answer before it sends more.
        first_line.filter(|first_line| match first_line {
            FirstLine::Ping => true,
            FirstLine::Open(open_request) => {
                pipe.client_to_server.uncommitted() == 0 && self.may_open(open_request)
            }
        })
    }

    /// Returns false for a request for a session where sessions are disabled or the connection is restored.
    fn may_open(&self, open_request: &OpenRequest) -> bool {
        open_request.session.is_none()
            || self.exchange.sessions_enabled() && open_request.previous_server.is_none()
    }

    /// Relays the lines of one request and its connection.
    async fn relay(&self, stream: &TcpStream, request_handle: RequestHandle, pipe: &Pipe) {
        let reading = pump::fill(stream, &pipe.client_to_server, || {
            if pipe.is_established() && pipe.has_session.get() {
                return request_handle.forward_session_lines(pipe);
            }
            if pipe.is_established() {
                request_handle.forward_lines(pipe);
            } else {
                request_handle.reject_malformed();
            }
            true
        });
        // The balancer inserts no line of its own before the answer.
        let answered = pipe.is_established();
        let writing = async {
            if pipe.has_session.get() {
                pump::flush_interleaved(&pipe.server_to_client, &pipe.inserted_to_client, stream, answered)
                    .await
            } else {
                pump::flush(&pipe.server_to_client, stream).await
            }
        };
        tokio::pin!(reading, writing);
        let mut client_sending = true;
        let flushed = tokio::select! {
            () = self.guard_deadline(&request_handle) => FlushEnd::Ended,
            end = &mut reading => match end {
                FillEnd::Closed if pipe.is_established() => {
                    pipe.client_to_server.end(End::Closed);
                    self.clock.within(LINGER_MS, &mut writing).await;
                    return;
                }
                // A client that closes before its answer has cancelled the request.
                FillEnd::Closed | FillEnd::Stopped => return,
                FillEnd::Broken(error) => {
                    tracing::debug!(%error, "reading from a client failed");
                    return;
                }
                FillEnd::DirectionEnded => {
                    // The connection to the server has ended: only the data already received from the
                    // server is still delivered.
                    client_sending = false;
                    self.clock.within(LINGER_MS, &mut writing).await.unwrap_or(FlushEnd::Ended)
                }
            },
            flushed = &mut writing => flushed,
        };
        if flushed == FlushEnd::Closed && client_sending {
            // The server has closed its side; the client may still send.
            match self.clock.within(LINGER_MS, &mut reading).await {
                Some(FillEnd::Closed) => return pipe.client_to_server.end(End::Closed),
                Some(FillEnd::Broken(_) | FillEnd::Stopped) => return pipe.client_to_server.end(End::Reset),
                Some(FillEnd::DirectionEnded) | None => {}
            }
        }
        // The connection to the server has ended. Further input of the client is discarded, but the client
        // must still receive its closing message.
        if !pipe.server_to_client.is_reset() && !pipe.handed_over() {
            self.drain_input(stream, REJECTED_CLOSE_TIMEOUT_MS - OPEN_REQUEST_TIMEOUT_MS).await;
        }
    }

    /// Answers the client if the balancer has not done so by the client's deadline. Never returns.
    async fn guard_deadline(&self, request_handle: &RequestHandle) {
        self.clock.sleep(request_handle.wait_ms() + DEADLINE_GRACE_MS).await;
        request_handle.deadline_passed();
        std::future::pending().await
    }

    /// Sends a closing message and waits for the client to close.
    async fn reject(&self, stream: &TcpStream, line: &str, request_deadline: Millis) {
        let left_ms =
            request_deadline - OPEN_REQUEST_TIMEOUT_MS + REJECTED_CLOSE_TIMEOUT_MS - self.clock.now();
        if self.clock.within(IDLE_CLOSE_TIMEOUT_MS, pump::write_all(stream, line.as_bytes())).await.is_some()
        {
            self.drain_input(stream, left_ms).await;
        }
    }

    /// Closes the sending side and waits until the client closes or stops sending. A close with unread input
    /// would reset the connection, and the reset may overtake the closing message.
    async fn drain_input(&self, stream: &TcpStream, timeout_ms: Millis) {
        let _ = SockRef::from(stream).shutdown(Shutdown::Write);
        let discarding = async {
            while let Some(Ok(true)) =
                self.clock.within(IDLE_CLOSE_TIMEOUT_MS, pump::discard(stream, DISCARD_CHUNK_BYTES)).await
            {
                self.clock.sleep(DISCARD_PAUSE_MS).await;
            }
        };
        self.clock.within(timeout_ms, discarding).await;
    }
}

/// Why a connection is not served.
#[derive(Debug)]
enum RejectReason {
    /// The client closed the connection, or it broke.
    Gone,
    /// The client violated the protocol.
    Malformed,
    /// The client sent no valid request in time.
    TimedOut,
    /// The slot is needed for a newer connection.
    Evicted,
    /// No server may receive the request.
    Unservable(&'static str),
    /// The client may retry, here or elsewhere, after this time in milliseconds; 0 for no advice.
    RetryLater(Millis),
}

impl RejectReason {
    fn describe(&self) -> &'static str {
        match self {
            Self::Gone => "the client closed the connection",
            Self::Malformed => "malformed request",
            Self::TimedOut => "no request in time",
            Self::Evicted => "the slot is needed for a newer connection",
            Self::Unservable(reason) => reason,
            Self::RetryLater(_) => "the client may retry later",
        }
    }
}

/// Waits until the first line is complete, or is too long.
async fn wait_first_line(stream: &TcpStream, pipe: &Pipe, slot: &Slot) -> Result<(), RejectReason> {
    let ring = &pipe.client_to_server;
    let complete = || ring.peek_line().is_some() || ring.uncommitted() > MAX_LINE_BYTES;
    let on_data = || {
        slot.touch();
        !complete()
    };
    if complete() {
        return Ok(());
    }
    match pump::fill(stream, ring, on_data).await {
        FillEnd::Stopped => Ok(()),
        FillEnd::Closed | FillEnd::Broken(_) | FillEnd::DirectionEnded => Err(RejectReason::Gone),
    }
}
