//! What each side holds of a request: dropped, it gives that back, however its task ends.

use super::record::{AttemptEnd, AttemptRecord, EndReason};
use super::{Cancellation, Entry, Exchange, Phase, Pipe};
use crate::backend::load_line::{self, Meaning, Seen};
use crate::io::clock::Millis;
use crate::protocol::report::{self, Report};
use marllink::{AttemptNo, Event, Outcome, RequestId, ServerId, Symptom};
use marllink_sessions::Event as SessionEvent;
use std::rc::{Rc, Weak};

/// What the client side holds of a request. Dropped, it tells that the client has left.
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
    /// How long the client still waited when the request was taken.
    pub fn wait_ms(&self) -> Millis {
        self.wait_ms
    }

    /// The client of a session has sent something: its saves go to those that keep them, and other whole
    /// lines go on. False if a line is too long to be one.
    pub fn sent_in_session(&self, pipe: &Pipe) -> bool {
        self.exchange.client_said(self.id, pipe)
    }

    /// The client has sent whole lines: they go on.
    pub fn sent(&self, pipe: &Pipe) {
        let now = self.exchange.clock.now();
        while let Some(line) = pipe.up.line() {
            pipe.waiting.borrow_mut().sent(now);
            pipe.up.commit(line.len());
        }
        // Half a line goes on as well; only the way down must be cut between lines.
        pipe.up.commit(pipe.up.held());
    }

    /// The client has sent something before its answer, which no client of the protocol does:
    /// nothing of that may reach a form host, and the request ends here.
    pub fn malformed(&self) {
        self.exchange.answer(self.id, "ERR\r\n".into(), EndReason::ClientMalformed);
        self.exchange.core.feed(Event::ClientGone(self.id));
    }

    /// The client's time is over. A guard: the decisions answer before that.
    pub fn overdue(&self) {
        let waiting = |e: &Entry| matches!(e.phase, Phase::Waiting);
        if self.exchange.entries.borrow().get(&self.id).is_some_and(waiting) {
            tracing::error!(request = self.id.0, "no answer was decided in time");
            self.exchange.answer_now(self.id);
        }
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.exchange.client_left(self.id);
    }
}

/// What the server side holds of an attempt. Dropped, it tells how the attempt ended; its socket
/// must be closed by then, as the next attempt may follow at once.
pub struct AttemptHandle {
    pub(super) exchange: Rc<Exchange>,
    pub(super) id: RequestId,
    pub(super) attempt: AttemptNo,
    pub(super) server: ServerId,
    pub(super) cancellation: Rc<Cancellation>,
    pub(super) sent_at: Millis,
    pub(super) end: Option<AttemptEnd>,
    pub(super) asked: std::cell::Cell<bool>,
}

impl std::fmt::Debug for AttemptHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "AttemptHandle({:?}, {:?}, {:?})", self.id, self.attempt, self.server)
    }
}

impl AttemptHandle {
    /// Waits until the attempt is ended from the exchange's side, and tells how it has ended.
    pub async fn cancelled(&self) -> Outcome {
        loop {
            if let Some(outcome) = self.cancellation.outcome.get() {
                return outcome;
            }
            self.cancellation.called.notified().await;
        }
    }

    /// True unless the form host has been told to drain, or has gone, since it was picked.
    pub fn may_begin(&self) -> bool {
        self.exchange.core.takes_new(self.server)
    }

    /// The form host has taken the connection. False if the client needs it no more.
    pub fn established(&self) -> bool {
        let exchange = &self.exchange;
        let mut entries = exchange.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&self.id) else { return false };
        if !matches!(entry.phase, Phase::Waiting) {
            return false;
        }
        entry.phase = Phase::Standing;
        entry.pipe.standing.set(true);
        entry.pipe.stood_at.set(exchange.clock.now());
        entry.record.established(exchange.clock.now());
        drop(entries);
        let latency_ms = exchange.clock.now() - self.sent_at;
        exchange.core.feed(Event::Established { request: self.id, attempt: self.attempt, latency_ms });
        if let Some(resume) = exchange.session_of(self.id) {
            resume.feed(SessionEvent::Established { request: self.id });
        }
        true
    }

    /// The form host asks for a lease.
    pub fn renews(&self, k: u64) {
        self.asked.set(true);
        if let Some(resume) = self.exchange.session_of(self.id) {
            resume.feed(SessionEvent::Renews { request: self.id, k });
        }
    }

    /// The form host has applied all saves up to this one.
    pub fn saved(&self, pipe: &Pipe, n: u64) {
        pipe.waiting.borrow_mut().heard(self.exchange.clock.now());
        if let Some(resume) = self.exchange.session_of(self.id) {
            resume.feed(SessionEvent::Saved { request: self.id, n });
        }
        // There may be room again for saves that the client has sent already.
        self.exchange.client_said(self.id, pipe);
    }

    /// True if the form host has asked for a lease and not had one.
    pub fn asks(&self) -> bool {
        self.asked.get() && !self.leased()
    }

    /// True once the form host has a lease.
    pub fn leased(&self) -> bool {
        self.exchange.session_of(self.id).is_some_and(|resume| resume.leased(self.id))
    }

    /// A form host that takes a session asks for its lease within so long.
    pub fn asks_within(&self) -> Millis {
        self.exchange.session_of(self.id).map_or(f64::INFINITY, |resume| resume.asks_within())
    }

    /// For how long the form host may hold the session yet.
    pub fn hold_ms(&self) -> Millis {
        self.exchange.session_of(self.id).map_or(0.0, |resume| resume.hold_ms(self.id))
    }

    /// The form host has told the connection's load.
    pub fn load(&self, pipe: &Pipe, load: f64) {
        let (exchange, request) = (&self.exchange, self.id);
        let now = exchange.clock.now();
        pipe.waiting.borrow_mut().heard(now);
        if exchange.tuning.now().servers_report_delay {
            let mut delays = exchange.delays.borrow_mut();
            let (stood_at, load_before) = (pipe.stood_at.get(), pipe.load.get());
            let (delay_at, bound) = (delays.told_at(self.server), delays.bound());
            let seen = Seen { now, stood_at, load: load_before, delay_at, bound };
            let meaning = load_line::meaning(load, &seen);
            if meaning != Meaning::Load {
                delays.told(self.server, now);
                drop(delays);
                if meaning == Meaning::Delay {
                    exchange.core.feed(Event::MessageDelay { request, delay_ms: load });
                }
                return;
            }
        }
        pipe.load.set(load);
        exchange.core.feed(Event::ConnectionLoad { request, load });
    }

    /// The form host has sent another line.
    pub fn answered(&self, pipe: &Pipe) {
        let now = self.exchange.clock.now();
        if let Some(took) = pipe.waiting.borrow_mut().answered(now) {
            self.exchange.delays.borrow_mut().sample(now, self.server, self.id, took);
        }
    }

    /// No connection came up in the time for that, and none was refused.
    pub fn no_connection(&self) {
        self.exchange
            .core
            .feed(Event::Unresponsive { server: self.server, symptom: Symptom::ConnectTimeout });
    }

    /// One try to restore the connection has failed, and another one follows. To be called once its socket is closed.
    pub fn failed_once(&self, end: AttemptEnd) {
        let took_ms = self.exchange.clock.now() - self.sent_at;
        if let Some(entry) = self.exchange.entries.borrow_mut().get_mut(&self.id) {
            entry.record.attempted(AttemptRecord { server: self.server, end, took_ms });
        }
    }

    /// How the attempt ended. To be called once its socket is closed.
    pub fn end(mut self, end: AttemptEnd) {
        self.end = Some(end);
    }
}

impl Drop for AttemptHandle {
    fn drop(&mut self) {
        let end = self.end.take().unwrap_or_else(|| AttemptEnd::cancelled(Outcome::Cancelled));
        let took_ms = self.exchange.clock.now() - self.sent_at;
        let record = AttemptRecord { server: self.server, end, took_ms };
        self.exchange.attempt_ended(self.id, self.attempt, record);
    }
}

/// Tells a probe's result when it is dropped; a failure unless an answer came.
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
    /// The form host has answered.
    pub fn answered(&mut self, report: &Report) {
        if let Some(exchange) = self.exchange.upgrade() {
            self.report = report::in_order(report, &exchange.tuning.now().names.report_fields);
            self.ok = true;
        }
    }
}

impl ProbeResult {
    /// No connection came up in the time for that, and none was refused.
    pub fn no_connection(&self) {
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
