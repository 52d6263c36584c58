//! What is written down of each request: its attempts, why it ended, and how long that took.

use crate::io::clock::Millis;
use crate::io::connect::ConnectError;
use marllink::{Outcome, ServerId};
use std::io;

/// Why a request is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its server has ended the connection after its closing message.
    ServerClosed,
    /// Its connection to the server broke after it was established.
    ServerBroke,
    /// Its server has fallen silent.
    ServerSilent,
    /// The client has ended its established connection.
    ClientClosed,
    /// The client left before its answer.
    ClientCancelled,
    /// The client sent something before its answer.
    ClientMalformed,
    /// The decisions rejected it.
    Rejected,
    /// The decisions failed it.
    Failed,
    /// Its client's time was over, or the process ends.
    AnsweredAtOnce,
    /// The client was told to move.
    Moved,
    /// Its session was rejected, failed or ended.
    Session,
    /// Another process goes on with it.
    HandedOver,
}

impl EndReason {
    /// True for an end that is no trouble to anybody.
    pub fn is_ordinary(self) -> bool {
        matches!(self, Self::ServerClosed | Self::ClientClosed | Self::Moved | Self::HandedOver)
    }
}

/// Why an attempt ended, more closely than its outcome tells.
#[derive(Debug, thiserror::Error)]
pub enum AttemptCause {
    /// The exchange cancelled it.
    #[error("cancelled")]
    Cancelled,
    /// The server began to drain, or left, while its connection came up.
    #[error("the server takes nothing new any more")]
    ServerDraining,
    /// No address, no descriptor, or no attempt left.
    #[error("not sent")]
    NotSent,
    /// Connecting failed.
    #[error("connect: {0}")]
    Connect(ConnectError),
    /// Sending the first line failed.
    #[error("write: {0}")]
    Write(io::Error),
    /// The first line could not be sent in time.
    #[error("write timed out")]
    WriteTimedOut,
    /// No answer came in time.
    #[error("no answer")]
    NoAnswer,
    /// The connection ended or broke before the answer.
    #[error("ended before the answer: {0}")]
    NoWholeAnswer(Broken),
    /// The server has answered.
    #[error("answered")]
    Answered,
    /// The server has ended its sending.
    #[error("the server closed")]
    ServerClosed,
    /// The client has ended the connection.
    #[error("the client closed")]
    ClientClosed,
    /// The established connection broke.
    #[error("broke: {0}")]
    Broken(Broken),
    /// The server sends a line without an end.
    #[error("a line without an end")]
    EndlessLine,
}

/// How a connection that ended too early did so.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    /// A read failed.
    #[error("{0}")]
    Read(io::Error),
    /// The peer ended its sending.
    #[error("end of stream")]
    EndOfStream,
    /// What came is too long to be a line.
    #[error("no line")]
    NoLine,
    /// Nobody reads from it any more.
    #[error("abandoned")]
    Abandoned,
}

/// How an attempt has ended.
#[derive(Debug)]
pub struct AttemptEnd {
    /// For the decisions.
    pub outcome: Outcome,
    /// For the log.
    pub cause: AttemptCause,
}

impl AttemptEnd {
    /// An end with this cause.
    pub fn new(outcome: Outcome, cause: AttemptCause) -> Self {
        Self { outcome, cause }
    }

    /// The end of an attempt that the exchange has called off.
    pub fn cancelled(outcome: Outcome) -> Self {
        Self::new(outcome, AttemptCause::Cancelled)
    }
}

/// One attempt of a request.
#[derive(Debug)]
pub struct AttemptRecord {
    /// Where it went.
    pub server: ServerId,
    /// How it ended.
    pub end: AttemptEnd,
    /// How long it took, in milliseconds.
    pub took_ms: Millis,
}

impl AttemptRecord {
    fn describe(&self) -> String {
        let Self { server, end, took_ms } = self;
        format!("{:x}:{:?}({})+{took_ms:.1}", server.0, end.outcome, end.cause)
    }
}

/// A request, from when it was taken to its end.
#[derive(Debug)]
pub struct RequestRecord {
    taken_at: Millis,
    established_at: Option<Millis>,
    over: Option<(EndReason, Millis)>,
    attempts: Vec<AttemptRecord>,
}

/// So many attempts of a request are written down.
const MOST_ATTEMPTS: usize = 16;

impl RequestRecord {
    /// Of a request that is taken now.
    pub fn new(now: Millis) -> Self {
        Self { taken_at: now, established_at: None, over: None, attempts: Vec::new() }
    }

    /// Its connection is established.
    pub fn established(&mut self, now: Millis) {
        self.established_at = self.established_at.or(Some(now));
    }

    /// It is over; the first reason holds.
    pub fn over(&mut self, reason: EndReason, now: Millis) {
        self.over = self.over.or(Some((reason, now)));
    }

    /// An attempt has ended.
    pub fn attempted(&mut self, attempt: AttemptRecord) {
        if self.attempts.len() < MOST_ATTEMPTS {
            self.attempts.push(attempt);
        }
    }

    /// Writes one log record of the whole request: at the usual level if its end was no ordinary one, or an
    /// attempt failed.
    pub fn log(&self, id: u64) {
        let Some((reason, over_at)) = self.over else { return };
        let attempts: Vec<_> = self.attempts.iter().map(AttemptRecord::describe).collect();
        let attempts = attempts.join(" ");
        let waited = self.established_at.unwrap_or(over_at) - self.taken_at;
        let open = self.established_at.map_or(0.0, |at| over_at - at);
        let id = format_args!("{id:016x}");
        if reason.is_ordinary() {
            tracing::debug!(
                "request {id} {reason:?} waited {waited:.1} open {open:.1} attempts [{attempts}]"
            );
        } else {
            tracing::info!("request {id} {reason:?} waited {waited:.1} open {open:.1} attempts [{attempts}]");
        }
    }
}
