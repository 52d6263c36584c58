//! Load reports of servers, their age, and which servers to probe for a pick.
//!
//! Where a balancer places one connection every few seconds, a report that was requested periodically is
//! stale by the time it is needed. A pick therefore names the servers that were drawn for it; those without
//! a fresh report are probed, and the pick proceeds once they have answered or its timeout has passed.
//! A report serves a bounded number of picks and for a bounded time: the probe pool of Prequal
//! (Wydrowski et al., NSDI 2024), in its synchronous mode where picks are rare.
//!
//! The library does no I/O and reads no clock: [`ProbePool::handle`] takes events with the time at which they
//! happened and appends commands. It is generic over the server key and the report, so that it does not
//! depend on the balancing decisions.
//!
//! ```
//! use marllink_server_state::{Command, Event, ProbePool, ProbeSettings};
//!
//! let mut pool = ProbePool::new(ProbeSettings::default());
//! let mut commands = Vec::new();
//! pool.handle(0.0, Event::PickRequested { pick: 1, servers: vec!["a", "b"] }, &mut commands);
//! assert_eq!(commands[..2], [Command::Probe("a"), Command::Probe("b")]);
//! commands.clear();
//! pool.handle(3.0, Event::ProbeCompleted { server: "a", report: Some(0.4) }, &mut commands);
//! pool.handle(4.0, Event::ProbeCompleted { server: "b", report: None }, &mut commands);
//! assert_eq!(commands, [Command::Proceed(1)]);
//! assert_eq!(pool.report(4.0, "a"), Some(&0.4));
//! ```

mod capacity;
mod unresponsive;

pub use capacity::{CapacityEstimate, ServerReport};
pub use unresponsive::{Symptom, UnresponsiveDetector, Verdict};

use rustc_hash::FxHashMap;
use std::hash::Hash;

/// Milliseconds, as a point on the caller's monotonic clock or as a duration.
pub type Millis = f64;

/// Limits on the rate of probes and the age of reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeSettings {
    /// A report younger than this, in ms, makes another probe unnecessary, within [`Self::max_uses`].
    pub fresh_ms: Millis,
    /// Number of picks that a fresh report serves: each pick changes the load that was reported.
    pub max_uses: u32,
    /// Age in ms after which a report is ignored.
    pub max_age_ms: Millis,
    /// Maximum time that a pick waits for probes, in ms.
    pub pick_timeout_ms: Millis,
    /// Time in ms after which an unanswered probe counts as lost.
    pub probe_timeout_ms: Millis,
    /// Maximum number of unanswered probes over all servers.
    pub max_in_flight: usize,
    /// Time in ms during which a server is not probed again after a failed probe.
    pub backoff_ms: Millis,
    /// A refresh probes servers whose report is at least this old, in ms.
    pub refresh_age_ms: Millis,
    /// Maximum number of servers that one refresh probes, so that the first reports do not arrive all at once.
    pub refresh_batch: usize,
    /// Credit for refresh probes that each [`Event::RefreshCredited`] adds; a probe costs 1.
    pub credit_per_event: f64,
    /// Maximum credit that accumulates.
    pub max_credit: f64,
}

impl Default for ProbeSettings {
    fn default() -> Self {
        Self {
            fresh_ms: 700.0,
            max_uses: 3,
            max_age_ms: 5_000.0,
            pick_timeout_ms: 80.0,
            probe_timeout_ms: 1_500.0,
            max_in_flight: 64,
            backoff_ms: 2_000.0,
            refresh_age_ms: 1_200.0,
            refresh_batch: 2,
            credit_per_event: 0.6,
            max_credit: 8.0,
        }
    }
}

/// Input of [`ProbePool::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event<S, R> {
    /// A pick among these servers is due. Its id must differ from those of all waiting picks.
    PickRequested {
        /// Identifies the pick in [`Command::Proceed`].
        pick: u64,
        /// The servers drawn for the pick.
        servers: Vec<S>,
    },
    /// A probe was answered, or failed.
    ProbeCompleted {
        /// The probed server.
        server: S,
        /// The report, or `None` if the probe failed.
        report: Option<R>,
    },
    /// A pick was decided by the report of this server.
    ReportUsed(S),
    /// The pick with this id was cancelled.
    PickCancelled(u64),
    /// Adds credit for refresh probes, for example when a connection is established. The number of refresh
    /// probes over a fleet then grows with its traffic, not with its size.
    RefreshCredited,
    /// Refreshes the reports of these servers independently of any pick, for example those with own
    /// connections.
    Refresh(Vec<S>),
    /// This server may be unresponsive: probes it without spending credit, if [`ProbePool::should_probe`].
    Suspected(S),
    /// The server was removed: forgets its report. Picks that wait for it alone proceed at the next
    /// [`Event::ProbeCompleted`] or [`Event::Timeout`]; this event appends no command.
    Removed(S),
    /// The time of [`ProbePool::next_timeout`] was reached; may be delivered somewhat later.
    Timeout,
}

/// Output of [`ProbePool::handle`], to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<S> {
    /// Probe this server for its load. [`Event::ProbeCompleted`] may follow at any time, or never.
    Probe(S),
    /// The pick with this id proceeds with the reports at hand.
    Proceed(u64),
}

#[derive(Clone, Debug)]
struct TrackedServer<R> {
    /// The last report, with the time at which it arrived.
    last_report: Option<(Millis, R)>,
    /// Number of picks that this report has served.
    uses: u32,
    /// When the unanswered probe was sent, if there is one.
    probed_at: Option<Millis>,
    /// No probe is sent before this time.
    backoff_until: Millis,
}

#[derive(Clone, Debug)]
struct WaitingPick<S> {
    pick: u64,
    deadline: Millis,
    servers: Vec<S>,
}

/// The load reports that one balancer holds. Feed [`Event::PickRequested`] when a pick is due and wait for
/// [`Command::Proceed`], which may come in the same call. Then read [`ProbePool::report`] and feed
/// [`Event::ReportUsed`] for the servers whose reports decided the pick.
#[derive(Clone, Debug)]
pub struct ProbePool<S, R> {
    settings: ProbeSettings,
    servers: FxHashMap<S, TrackedServer<R>>,
    waiting: Vec<WaitingPick<S>>,
    in_flight: usize,
    refresh_credit: f64,
}

impl<S: Copy + Eq + Hash, R> ProbePool<S, R> {
    /// Creates a pool without reports.
    #[must_use]
    pub fn new(settings: ProbeSettings) -> Self {
        Self {
            settings,
            servers: FxHashMap::default(),
            waiting: Vec::new(),
            in_flight: 0,
            refresh_credit: 0.0,
        }
    }

    /// Handles an event that happened at `now` and appends the resulting commands.
    pub fn handle(&mut self, now: Millis, event: Event<S, R>, commands: &mut Vec<Command<S>>) {
        match event {
            Event::PickRequested { pick, servers } => self.request_pick(now, pick, servers, commands),
            Event::ProbeCompleted { server, report } => {
                self.record_result(now, server, report);
                self.resolve_waiting(server, commands);
            }
            Event::ReportUsed(server) => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.uses += 1;
                }
            }
            Event::RefreshCredited => {
                self.refresh_credit =
                    (self.refresh_credit + self.settings.credit_per_event).min(self.settings.max_credit)
            }
            Event::Refresh(servers) => self.refresh(now, servers, commands),
            Event::Suspected(server) => {
                self.probe(now, server, commands);
            }
            Event::PickCancelled(pick) => self.waiting.retain(|waiting| waiting.pick != pick),
            Event::Removed(server) => {
                if self.servers.remove(&server).is_some_and(|s| s.probed_at.is_some()) {
                    self.in_flight -= 1;
                }
                // Picks that waited for this server alone proceed at the next event: a caller that removes
                // servers while it walks a list cannot carry out commands.
                self.waiting.iter_mut().for_each(|waiting| waiting.servers.retain(|s| *s != server));
            }
            Event::Timeout => self.expire(now, commands),
        }
    }

    /// Returns when [`Event::Timeout`] is due; `None` while no pick waits.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Millis> {
        self.waiting.iter().map(|waiting| waiting.deadline).reduce(f64::min)
    }

    /// Returns the last report of a server, unless it is older than [`ProbeSettings::max_age_ms`].
    #[must_use]
    pub fn report(&self, now: Millis, server: S) -> Option<&R> {
        let (at, report) = self.servers.get(&server)?.last_report.as_ref()?;
        (now - at <= self.settings.max_age_ms).then_some(report)
    }

    /// Returns all reports that are not too old, each with its time of arrival, for a handover.
    #[must_use]
    pub fn recent_reports(&self, now: Millis) -> Vec<(S, Millis, R)>
    where
        R: Clone,
    {
        let reports = self
            .servers
            .iter()
            .filter_map(|(server, s)| s.last_report.as_ref().map(|r| (*server, r.0, r.1.clone())));
        reports.filter(|(_, at, _)| now - at <= self.settings.max_age_ms).collect()
    }

    /// Restores a report that a predecessor received at time `at`.
    pub fn restore(&mut self, at: Millis, server: S, report: R) {
        self.entry(server).last_report = Some((at, report));
    }

    fn entry(&mut self, server: S) -> &mut TrackedServer<R> {
        let empty = || TrackedServer {
            last_report: None,
            uses: 0,
            probed_at: None,
            backoff_until: f64::NEG_INFINITY,
        };
        self.servers.entry(server).or_insert_with(empty)
    }

    /// Returns the age of a server's last report, in ms.
    #[must_use]
    pub fn report_age(&self, now: Millis, server: S) -> Option<Millis> {
        self.servers.get(&server)?.last_report.as_ref().map(|report| now - report.0)
    }

    /// Returns whether a probe of this server failed recently, or has been unanswered for longer than a pick
    /// waits. That counts against the server only while others answer.
    #[must_use]
    pub fn is_unresponsive(&self, now: Millis, server: S) -> bool {
        let Some(server) = self.servers.get(&server) else { return false };
        let slow = |probed_at: Millis| now - probed_at >= self.settings.pick_timeout_ms - 0.5;
        now < server.backoff_until || server.probed_at.is_some_and(slow)
    }

    /// Returns whether a probe is permitted now and would yield more than the report at hand.
    #[must_use]
    pub fn should_probe(&self, now: Millis, server: S) -> bool {
        let Some(server) = self.servers.get(&server) else { return true };
        let fresh = server.last_report.as_ref().is_some_and(|report| now - report.0 < self.settings.fresh_ms);
        now >= server.backoff_until
            && !(fresh && server.uses < self.settings.max_uses)
            && server.probed_at.is_none_or(|probed_at| now - probed_at > self.settings.probe_timeout_ms)
    }

    /// Probes a server independently of any pick, if [`Self::should_probe`] and the limit on probes in flight
    /// permit. Returns whether a probe is sent.
    pub fn probe(&mut self, now: Millis, server: S, commands: &mut Vec<Command<S>>) -> bool {
        if !self.should_probe(now, server) {
            return false;
        }
        if self.in_flight >= self.settings.max_in_flight {
            self.expire_probes(now);
            if self.in_flight >= self.settings.max_in_flight {
                return false;
            }
        }
        let entry = self.entry(server);
        if entry.probed_at.replace(now).is_none() {
            self.in_flight += 1;
        }
        commands.push(Command::Probe(server));
        true
    }

    fn request_pick(&mut self, now: Millis, pick: u64, mut servers: Vec<S>, commands: &mut Vec<Command<S>>) {
        for server in &servers {
            self.probe(now, *server, commands);
        }
        servers.retain(|server| self.servers.get(server).is_some_and(|s| s.probed_at.is_some()));
        if servers.is_empty() {
            commands.push(Command::Proceed(pick));
        } else {
            self.waiting.push(WaitingPick { pick, deadline: now + self.settings.pick_timeout_ms, servers });
        }
    }

    /// Probes the servers with the oldest reports.
    fn refresh(&mut self, now: Millis, servers: Vec<S>, commands: &mut Vec<Command<S>>) {
        let age = |server: S| self.report_age(now, server).unwrap_or(f64::INFINITY);
        let mut stale: Vec<_> = servers.into_iter().map(|server| (age(server), server)).collect();
        // Servers that must not be probed now are left out, so that they do not take slots of the batch.
        stale.retain(|(age, server)| *age >= self.settings.refresh_age_ms && self.should_probe(now, *server));
        stale.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, server) in stale.into_iter().take(self.settings.refresh_batch) {
            if self.refresh_credit >= 1.0 && self.probe(now, server, commands) {
                self.refresh_credit -= 1.0;
            }
        }
    }

    fn record_result(&mut self, now: Millis, server: S, report: Option<R>) {
        // Ignores the result of a server that was removed since, or never probed.
        let Some(entry) = self.servers.get_mut(&server) else { return };
        if entry.probed_at.take().is_some() {
            self.in_flight -= 1;
        }
        match report {
            Some(report) => (entry.last_report, entry.uses) = (Some((now, report)), 0),
            // Keeps the previous report, which may still hold, and pauses probes.
            None => entry.backoff_until = now + self.settings.backoff_ms,
        }
    }

    /// Removes the server from all waiting picks and lets those proceed that wait for no other.
    fn resolve_waiting(&mut self, server: S, commands: &mut Vec<Command<S>>) {
        self.waiting.retain_mut(|waiting| {
            waiting.servers.retain(|s| *s != server);
            if waiting.servers.is_empty() {
                commands.push(Command::Proceed(waiting.pick));
            }
            !waiting.servers.is_empty()
        });
    }

    fn expire(&mut self, now: Millis, commands: &mut Vec<Command<S>>) {
        // Timers are rounded: a deadline within half a millisecond counts as reached.
        self.waiting.retain(|waiting| {
            let over = waiting.deadline <= now + 0.5 || waiting.servers.is_empty();
            if over {
                commands.push(Command::Proceed(waiting.pick));
            }
            !over
        });
        self.expire_probes(now);
    }

    fn expire_probes(&mut self, now: Millis) {
        let lost = |server: &TrackedServer<R>| {
            server.probed_at.is_some_and(|probed_at| now - probed_at > self.settings.probe_timeout_ms)
        };
        for server in self.servers.values_mut().filter(|s| lost(s)) {
            server.probed_at = None;
            server.backoff_until = now + self.settings.backoff_ms;
            self.in_flight -= 1;
        }
    }
}
