//! The log record of a request: its attempts, why it ended, and how long it took.

use crate::io::clock::Millis;
use crate::io::connect::ConnectError;
use marllink::{Outcome, SendDenied, ServerId};
use std::io;

/// Why a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The server closed the connection after its closing message.
    ServerClosed,
    /// The established connection to the server broke.
    ServerBroke,
    /// The server stopped responding.
    ServerSilent,
    /// The client closed its established connection.
    ClientClosed,
    /// The client closed the connection before its answer.
    ClientCancelled,
    /// The client sent data before its answer, which the protocol does not allow.
    ClientMalformed,
    /// The balancer rejected the request.
    Rejected,
    /// The balancer failed the request.
    Failed,
    /// The client's deadline passed, or the process shuts down.
    AnsweredAtOnce,
    /// The client was asked to reconnect.
    Moved,
    /// The session was rejected, failed or ended.
    Session,
    /// The connection was handed over to another process.
    HandedOver,
}

impl EndReason {
    /// Returns true for an end that indicates no failure and no rejection.
    pub fn is_ordinary(self) -> bool {
        matches!(self, Self::ServerClosed | Self::ClientClosed | Self::Moved | Self::HandedOver)
    }
}

/// Why an attempt ended, in more detail than its outcome.
#[derive(Debug, thiserror::Error)]
pub enum AttemptCause {
    /// The exchange cancelled the attempt.
    #[error("cancelled")]
    Cancelled,
    /// A limit of the request was reached before its first line was written.
    #[error("not sent: {0:?}")]
    Denied(SendDenied),
    /// There was no address, no free descriptor, or no attempt left.
    #[error("not sent")]
    NotSent,
    /// The connection could not be made.
    #[error("connect: {0}")]
    Connect(ConnectError),
    /// The first line could not be written.
    #[error("write: {0}")]
    Write(io::Error),
    /// The first line could not be written in time.
    #[error("write timed out")]
    WriteTimedOut,
    /// The server did not answer in time.
    #[error("no answer")]
    NoAnswer,
    /// The connection closed or broke before the answer was complete.
    #[error("connection ended before the answer: {0}")]
    IncompleteAnswer(ConnectionLoss),
    /// The server answered.
    #[error("answered")]
    Answered,
    /// The server closed its side.
    #[error("closed by the server")]
    ServerClosed,
    /// The client closed the connection.
    #[error("closed by the client")]
    ClientClosed,
    /// The established connection broke.
    #[error("connection broke: {0}")]
    Broken(ConnectionLoss),
    /// The server sent more bytes without a line end than a line may have.
    #[error("line too long")]
    LineTooLong,
}

/// How a connection ended too early.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionLoss {
    /// A read failed.
    #[error("{0}")]
    Read(io::Error),
    /// The peer closed its side.
    #[error("end of stream")]
    EndOfStream,
    /// The peer sent no line end within the maximum length of a line.
    #[error("line too long")]
    LineTooLong,
    /// Reading was stopped on this side.
    #[error("abandoned")]
    Abandoned,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The outcome for the balancer.
    pub outcome: Outcome,
    /// The cause for the log.
    pub cause: AttemptCause,
}

impl AttemptEnd {
    /// Creates an end with this outcome and cause.
    pub fn new(outcome: Outcome, cause: AttemptCause) -> Self {
        Self { outcome, cause }
    }

    /// Creates the end of an attempt that the exchange cancelled.
    pub fn cancelled(outcome: Outcome) -> Self {
        Self::new(outcome, AttemptCause::Cancelled)
    }
}

/// The record of one attempt.
#[derive(Debug)]
pub struct AttemptRecord {
    /// The server it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub end: AttemptEnd,
    /// Its duration, in milliseconds.
    pub took_ms: Millis,
}

impl AttemptRecord {
    fn describe(&self) -> String {
        let Self { server, end, took_ms } = self;
        format!("{:x}:{:?}({})+{took_ms:.1}", server.0, end.outcome, end.cause)
    }
}

/// The record of a request, from its arrival to its end.
#[derive(Debug)]
pub struct RequestRecord {
    received_at: Millis,
    established_at: Option<Millis>,
    ended: Option<(EndReason, Millis)>,
    attempts: Vec<AttemptRecord>,
}

/// Maximum number of attempts in the record of a request.
const MAX_RECORDED_ATTEMPTS: usize = 16;

impl RequestRecord {
    /// Starts the record of a request that arrives now.
    pub fn new(now: Millis) -> Self {
        Self { received_at: now, established_at: None, ended: None, attempts: Vec::new() }
    }

    /// Records that the connection is established.
    pub fn established(&mut self, now: Millis) {
        self.established_at = self.established_at.or(Some(now));
    }

    /// Records why the request ended; later calls are ignored.
    pub fn ended(&mut self, reason: EndReason, now: Millis) {
        self.ended = self.ended.or(Some((reason, now)));
    }

    /// Records an attempt that has ended.
    pub fn attempt_ended(&mut self, attempt: AttemptRecord) {
        if self.attempts.len() < MAX_RECORDED_ATTEMPTS {
            self.attempts.push(attempt);
        }
    }

    /// Writes one log line for the whole request: at debug level if its end is ordinary, otherwise at info
    /// level.
    pub fn log(&self, id: u64) {
        let Some((reason, ended_at)) = self.ended else { return };
        let attempts: Vec<_> = self.attempts.iter().map(AttemptRecord::describe).collect();
        let attempts = attempts.join(" ");
        let waited_ms = self.established_at.unwrap_or(ended_at) - self.received_at;
        let open_ms = self.established_at.map_or(0.0, |at| ended_at - at);
        let id = format_args!("{id:016x}");
        if reason.is_ordinary() {
            tracing::debug!(
                "request {id} {reason:?} waited {waited_ms:.1} open {open_ms:.1} attempts [{attempts}]"
            );
        } else {
            tracing::info!(
                "request {id} {reason:?} waited {waited_ms:.1} open {open_ms:.1} attempts [{attempts}]"
            );
        }
    }
}
