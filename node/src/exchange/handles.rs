//! The handles that the client side and the server side hold while they serve a request. A dropped handle
//! reports the end to the exchange, no matter how its task ended.

use super::record::{AttemptEnd, AttemptRecord, EndReason};
use super::{Cancellation, Exchange, Phase, Pipe, RequestEntry};
use crate::backend::load_line::{self, LineContext, LineKind};
use crate::io::clock::Millis;
use crate::protocol::report::{self, Report};
use marllink::{AttemptNo, Event, Outcome, RequestId, SendDenied, ServerId, Symptom};
use marllink_sessions::{Event as SessionEvent, HolderEnd};
use std::cell::Cell;
use std::rc::{Rc, Weak};

/// The client side's handle of a request. Dropping it reports that the client has left.
pub struct RequestHandle {
    pub(super) exchange: Rc<Exchange>,
    pub(super) id: RequestId,
    pub(super) wait_ms: Millis,
}

impl std::fmt::Debug for RequestHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "RequestHandle({:?})", self.id)
    }
}

impl RequestHandle {
    /// Returns how long the client was still going to wait when the request was accepted, in milliseconds.
    pub fn wait_ms(&self) -> Millis {
        self.wait_ms
    }

    /// Processes what the client of a session has sent: saves are replicated, other complete lines are
    /// forwarded to the server. Returns false if a line is too long.
    pub fn forward_session_lines(&self, pipe: &Pipe) -> bool {
        self.exchange.forward_session_lines(self.id, pipe)
    }

    /// Forwards what the client has sent to the server.
    pub fn forward_lines(&self, pipe: &Pipe) {
        let now = self.exchange.clock.now();
        while let Some(line) = pipe.client_to_server.peek_line() {
            pipe.unanswered.borrow_mut().line_sent(now);
            pipe.client_to_server.commit(line.len());
        }
        // An incomplete line is forwarded as well: only the direction to the client has to end between lines.
        pipe.client_to_server.commit(pipe.client_to_server.uncommitted());
    }

    /// Ends the request because the client sent data before its answer. The protocol does not allow that,
    /// and none of the data may reach a server.
    pub fn reject_malformed(&self) {
        self.exchange.answer(self.id, "ERR\r\n".into(), EndReason::ClientMalformed);
        self.exchange.core.feed(Event::ClientGone(self.id));
    }

    /// Answers the request if it still waits after the client's deadline. Guards against a balancer that
    /// does not decide in time.
    pub fn deadline_passed(&self) {
        let waiting = |entry: &RequestEntry| matches!(entry.phase, Phase::Waiting);
        if self.exchange.entries.borrow().get(&self.id).is_some_and(waiting) {
            tracing::error!(request = self.id.0, "no answer before the deadline of the request");
            self.exchange.answer_now(self.id);
        }
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.exchange.client_left(self.id);
    }
}

/// The server side's handle of an attempt. Dropping it reports how the attempt ended; the socket must be
/// closed by then, because the next attempt may follow at once.
pub struct AttemptHandle {
    pub(super) exchange: Rc<Exchange>,
    pub(super) id: RequestId,
    pub(super) attempt: AttemptNo,
    pub(super) server: ServerId,
    pub(super) cancellation: Rc<Cancellation>,
    pub(super) sent_at: Millis,
    pub(super) end: Option<AttemptEnd>,
    pub(super) lease_requested: Cell<bool>,
    pub(super) connection_end: Cell<Option<ConnectionEnd>>,
}

/// How the connection to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The server closed its side in order.
    Closed,
    /// A read or a write failed. The server may not have noticed it.
    Failed,
}

impl std::fmt::Debug for AttemptHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "AttemptHandle({:?}, {:?}, {:?})", self.id, self.attempt, self.server)
    }
}

impl AttemptHandle {
    /// Waits until the exchange cancels the attempt. Returns the outcome with which it ends.
    pub async fn cancelled(&self) -> Outcome {
        loop {
            if let Some(outcome) = self.cancellation.outcome.get() {
                return outcome;
            }
            self.cancellation.triggered.notified().await;
        }
    }

    /// Checks whether the attempt may be sent now: the limits of its request held when its server was picked,
    /// and may have been reached since.
    ///
    /// # Errors
    /// Returns the limit that the attempt would violate.
    pub fn check_send(&self) -> Result<(), SendDenied> {
        self.exchange.core.check_send(self.id, self.attempt)
    }

    /// Reports that the server has accepted the connection. Returns false if the client no longer needs it.
    pub fn established(&self) -> bool {
        let exchange = &self.exchange;
        let mut entries = exchange.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&self.id) else { return false };
        if !matches!(entry.phase, Phase::Waiting) {
            return false;
        }
        entry.phase = Phase::Established;
        entry.pipe.established.set(true);
        entry.pipe.established_at.set(exchange.clock.now());
        entry.record.established(exchange.clock.now());
        drop(entries);
        let latency_ms = exchange.clock.now() - self.sent_at;
        exchange.core.feed(Event::Established { request: self.id, attempt: self.attempt, latency_ms });
        if let Some(session_driver) = exchange.session_driver_of(self.id) {
            session_driver.feed(SessionEvent::AttemptEstablished { request: self.id });
        }
        true
    }

    /// Reports that the server requests a lease; `k` numbers its lease requests.
    pub fn request_lease(&self, k: u64) {
        self.lease_requested.set(true);
        if let Some(session_driver) = self.exchange.session_driver_of(self.id) {
            session_driver.feed(SessionEvent::LeaseRequested { request: self.id, k });
        }
    }

    /// Reports that the server has applied all saves up to number `n`.
    pub fn saved(&self, pipe: &Pipe, n: u64) {
        pipe.unanswered.borrow_mut().line_received(self.exchange.clock.now());
        if let Some(session_driver) = self.exchange.session_driver_of(self.id) {
            session_driver.feed(SessionEvent::SavesApplied { request: self.id, n });
        }
        // There may be room again for saves that the client has already sent.
        self.exchange.forward_session_lines(self.id, pipe);
    }

    /// Returns true if the server has requested a lease that was not granted yet.
    pub fn awaits_lease(&self) -> bool {
        self.lease_requested.get() && !self.has_lease()
    }

    /// Returns true once the server has been granted a lease.
    pub fn has_lease(&self) -> bool {
        self.exchange.session_driver_of(self.id).is_some_and(|driver| driver.has_lease(self.id))
    }

    /// Returns the time within which a server that accepts a session requests its lease, in milliseconds.
    pub fn lease_request_timeout_ms(&self) -> Millis {
        self.exchange
            .session_driver_of(self.id)
            .map_or(f64::INFINITY, |driver| driver.lease_request_timeout_ms())
    }

    /// Returns how much longer the server may hold the session, in milliseconds.
    pub fn hold_ms(&self) -> Millis {
        self.exchange.session_driver_of(self.id).map_or(0.0, |driver| driver.hold_ms(self.id))
    }

    /// Handles the value of a `LOAD` line: the connection's load, or the delay of its messages.
    pub fn load(&self, pipe: &Pipe, value: f64) {
        let (exchange, request) = (&self.exchange, self.id);
        let now = exchange.clock.now();
        pipe.unanswered.borrow_mut().line_received(now);
        if exchange.settings.current().servers_report_delay {
            let mut delays = exchange.delays.borrow_mut();
            let (established_at, previous_load) = (pipe.established_at.get(), pipe.reported_load.get());
            let (delay_reported_at, report_threshold_ms) =
                (delays.server_reported_at(self.server), delays.report_threshold_ms());
            let context =
                LineContext { now, established_at, previous_load, delay_reported_at, report_threshold_ms };
            let kind = load_line::classify(value, &context);
            if kind != LineKind::Load {
                delays.record_server_report(self.server, now);
                drop(delays);
                if kind == LineKind::Delay {
                    exchange.core.feed(Event::MessageDelay { request, delay_ms: value });
                }
                return;
            }
        }
        pipe.reported_load.set(value);
        exchange.core.feed(Event::ConnectionLoad { request, load: value });
    }

    /// Reports that the server has sent any other line, which answers the oldest unanswered one.
    pub fn answered(&self, pipe: &Pipe) {
        let now = self.exchange.clock.now();
        if let Some(round_trip_ms) = pipe.unanswered.borrow_mut().answer_received(now) {
            self.exchange.delays.borrow_mut().add_sample(now, self.server, self.id, round_trip_ms);
        }
    }

    /// Reports that a connect to the server timed out without a response.
    pub fn connect_timed_out(&self) {
        self.exchange
            .core
            .feed(Event::Unresponsive { server: self.server, symptom: Symptom::ConnectTimeout });
    }

    /// Records a failed try to restore the connection that is followed by another one. Must be called
    /// after its socket is closed.
    pub fn record_failed_try(&self, end: AttemptEnd) {
        let took_ms = self.exchange.clock.now() - self.sent_at;
        if let Some(entry) = self.exchange.entries.borrow_mut().get_mut(&self.id) {
            entry.record.attempt_ended(AttemptRecord { server: self.server, end, took_ms });
        }
    }

    /// Records how the connection to the server ended; later calls are ignored. The system reports a failure
    /// once: further reads return the end of the stream, as if the server had closed it.
    pub fn record_connection_end(&self, end: ConnectionEnd) {
        self.connection_end.set(self.connection_end.get().or(Some(end)));
    }

    /// Returns how the connection to the server ended, if it has ended.
    pub fn connection_end(&self) -> Option<ConnectionEnd> {
        self.connection_end.get()
    }

    /// Reports how the attempt ended. Must be called after its socket is closed.
    pub fn end(mut self, end: AttemptEnd) {
        self.end = Some(end);
    }
}

impl Drop for AttemptHandle {
    fn drop(&mut self) {
        let end = self.end.take().unwrap_or_else(|| AttemptEnd::cancelled(Outcome::Cancelled));
        let took_ms = self.exchange.clock.now() - self.sent_at;
        let record = AttemptRecord { server: self.server, end, took_ms };
        let holder_end = match self.connection_end.get() {
            Some(ConnectionEnd::Closed) => HolderEnd::Released,
            Some(ConnectionEnd::Failed) | None => HolderEnd::Lost,
        };
        self.exchange.attempt_ended(self.id, self.attempt, record, holder_end);
    }
}

/// Reports the result of a load probe when dropped: a failure unless an answer was received.
pub struct ProbeResult {
    pub(super) exchange: Weak<Exchange>,
    pub(super) server: ServerId,
    pub(super) ok: bool,
    pub(super) report: Vec<f32>,
}

impl std::fmt::Debug for ProbeResult {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ProbeResult({:?})", self.server)
    }
}

impl ProbeResult {
    /// Records the server's answer.
    pub fn answered(&mut self, report: &Report) {
        if let Some(exchange) = self.exchange.upgrade() {
            self.report = report::ordered_values(report, &exchange.settings.current().names.report_fields);
            self.ok = true;
        }
    }
}

impl ProbeResult {
    /// Reports that a connect to the server timed out without a response.
    pub fn connect_timed_out(&self) {
        if let Some(exchange) = self.exchange.upgrade() {
            exchange.core.feed(Event::Unresponsive { server: self.server, symptom: Symptom::ConnectTimeout });
        }
    }
}

impl Drop for ProbeResult {
    fn drop(&mut self) {
        if let Some(exchange) = self.exchange.upgrade() {
            let (server, ok, report) = (self.server, self.ok, std::mem::take(&mut self.report));
            exchange.core.feed(Event::ProbeResult { server, ok, report });
        }
    }
}
