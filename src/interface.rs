//! What goes into a [`Balancer`](crate::Balancer) and what comes out: settings, events, actions.
//!
//! Times are `f64` milliseconds on one monotonic clock of the embedding node; its origin is free.

use marllink_rate_limits::{ConnectionLimit, Rate, SlowStartBudget};
pub use marllink_rebalancing::OverloadState;
pub use marllink_retries::{DedupScope, Idempotency};
use marllink_server_state::CapacityEstimate;
pub use marllink_server_state::Symptom;
use serde::{Deserialize, Serialize};

/// Milliseconds, as a point on the node's monotonic clock or as a span.
pub type Millis = f64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A server, opaque: nothing is read into the number but identity.
    ServerId(u64);
    /// A request, unique for the life of a balancer.
    RequestId(u64);
    /// The attempts of one request are numbered 0, 1, 2 ... in the order they are sent.
    AttemptNo(u8);
    /// Chosen by the balancer and handed back by [`Event::Timer`].
    TimerToken(u32);
    /// A balancer's number among its peers.
    NodeId(u16);
    /// An index into [`Settings::classes`].
    ClassId(u16);
    /// An index into [`Settings::tenants`].
    TenantId(u16);
    /// A failure domain of servers and nodes.
    ZoneId(u8);
    /// A small set of servers that share what they remember of request keys.
    CellId(u16);
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A set-up within this time is worth the most.
    pub setup_goal_ms: Millis,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// Its worth relative to other classes.
    pub value: f64,
    /// The aim for a message on an open connection; 0 if there is none.
    pub message_goal_ms: Millis,
}

impl Default for Class {
    fn default() -> Self {
        Self { setup_goal_ms: 500.0, idempotency: Idempotency::Safe, value: 1.0, message_goal_ms: 0.0 }
    }
}

/// A tenant of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Open connections over all nodes that count as within its share; 0 if unlimited.
    pub quota_connections: f64,
}

/// How the list of servers reaches a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    #[default]
    Push,
    /// They come only after [`Action::WatchList`] or [`Action::FetchList`].
    Pull,
}

/// One value of a server's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Connections or requests held.
    InFlight,
    /// Load asked for over what the server can do.
    Utilization,
    /// Seconds of work piled up.
    Backlog,
    /// Errors a second.
    ErrorRate,
    /// Anything else; skipped.
    Other,
}

/// What the site allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// An attempt that has found no connection by then fails.
    pub connect_timeout_ms: Millis,
    /// Attempts for each request.
    pub max_attempts: u8,
    /// [`Action::Cancel`] is allowed.
    pub cancel: bool,
    /// [`Action::Probe`] is allowed.
    pub probe: bool,
    /// [`Action::SendToPeer`] is allowed.
    pub peers: bool,
    /// Clients are told how long to stay away.
    pub retry_after: bool,
    /// The longest that any of them obeys.
    pub max_retry_after_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 250.0,
            max_attempts: 3,
            cancel: false,
            probe: false,
            peers: false,
            retry_after: false,
            max_retry_after_ms: 0.0,
        }
    }
}

/// The figures of the drain and slow-start rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A node without a subscription must ask for the list within this time.
    pub fetch_within_ms: Millis,
    /// A started server can do at least this share of its capacity.
    pub initial_capacity_ratio: f64,
    /// And all of it after this time.
    pub warm_up_ms: Millis,
    /// Sent more than this multiple of what it can do ...
    pub collapse_load_ratio: f64,
    /// ... for this long, a cold server falls over.
    pub collapse_after_ms: Millis,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            fetch_within_ms: 10_000.0,
            initial_capacity_ratio: 0.1,
            warm_up_ms: 30_000.0,
            collapse_load_ratio: 2.0,
            collapse_after_ms: 1_000.0,
        }
    }
}

/// What things cost, in the same unit as the share of worth served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// A client moved, for each request.
    pub moves: f64,
    /// A probe, for each request.
    pub probe: f64,
    /// A request sent to another zone.
    pub cross_zone: f64,
    /// Worth that ended unserved after its aim.
    pub late_failure: f64,
}

/// All that a balancer is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This node's number.
    pub node: NodeId,
    /// How many nodes there are; 0 counts as 1.
    pub nodes: u16,
    /// This node's zone.
    pub zone: ZoneId,
    /// How many zones there are.
    pub zones: u8,
    /// How the list arrives.
    pub discovery: Discovery,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a connection of a tenant above its share is worth, of its usual worth.
    pub over_quota_value_ratio: f64,
    /// Connections of one group share work at the server that holds them.
    pub group_affinity: bool,
    /// What a probe's report holds, in order; empty where servers report nothing.
    pub report_fields: Vec<ReportField>,
    /// What the site allows.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// Prices.
    pub prices: Prices,
}

/// A pick waits for servers' answers for this part of the shortest aim at most.
const PROBE_WAIT_RATIO: f64 = 0.1;

impl Settings {
    /// What of each tenant is within its share, in open connections over all nodes; 0 for no bound.
    pub(crate) fn tenant_quotas(&self) -> Vec<f64> {
        self.tenants.iter().map(|t| t.quota_connections).collect()
    }

    /// True if servers may be asked for their load over what they can do, and say it.
    #[must_use]
    pub fn reports_load(&self) -> bool {
        self.limits.probe && self.report_fields.contains(&ReportField::Utilization)
    }

    /// The strictest aim for a message; infinite where there is none.
    #[must_use]
    pub fn strictest_message_goal(&self) -> Millis {
        let aims = self.classes.iter().map(|c| c.message_goal_ms).filter(|a| *a > 0.0);
        aims.fold(f64::INFINITY, f64::min)
    }

    /// How servers are asked for their load.
    pub(crate) fn probe_settings(&self) -> marllink_server_state::ProbeSettings {
        let aims = self.classes.iter().map(|c| c.setup_goal_ms).filter(|a| *a > 0.0);
        let usual = marllink_server_state::ProbeSettings::default();
        let patience_ms = usual.pick_timeout_ms.min(aims.fold(f64::INFINITY, f64::min) * PROBE_WAIT_RATIO);
        marllink_server_state::ProbeSettings { pick_timeout_ms: patience_ms, ..usual }
    }
}

/// Whether a listed server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It takes new connections.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer there.
    Gone,
}

/// A line of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub state: ServerState,
    /// Its weight among the others; anything that is not a positive finite number counts as
    /// the others' mean.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Millis,
}

/// How much of the list an announcement holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines.
    Delta,
    /// All lines: a server not among them is gone.
    Full,
    /// All lines, as this node knew them before it restarted.
    Cached,
    /// A call failed or the subscription broke; the list in hand stays.
    Failed,
}

/// A request for a connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewRequest {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The client waits this much longer.
    pub time_left_ms: Millis,
    /// The client has tried before.
    pub retry: bool,
    /// Its group, where [`Settings::group_affinity`] says that there are any; 0 for none.
    pub group: u64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served to its end.
    Ok,
    /// The server answered with an error.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Called off, or the client left.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// True if the attempt surely had no effect.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::NotSent)
    }
}

/// Something that happened at the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the server list.
    ServerList {
        /// How much of it.
        kind: ListKind,
        /// The lines.
        entries: Vec<ServerEntry>,
    },
    /// A client wants a connection. It is owed one final answer within its time.
    Request(NewRequest),
    /// A connection that was already open through this node when the balancer started.
    OpenConnection {
        /// The request it came from.
        request: NewRequest,
        /// The server that holds it.
        server: ServerId,
    },
    /// An attempt's connection stands; deadlines no longer apply to it.
    Established {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// Time since it was sent.
        latency_ms: Millis,
    },
    /// An attempt is over. Each attempt sent ends in exactly one of these, also when its
    /// time-out passes: keeping that time-out is the node's part.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// How it ended.
        outcome: Outcome,
        /// True if the client has its final answer, or needs none any more.
        closed: bool,
    },
    /// An open connection's load is now this many microseconds of work a second.
    ConnectionLoad {
        /// The connection's request.
        request: RequestId,
        /// Its load.
        load: f64,
    },
    /// A message on this connection now takes so long at its server.
    MessageDelay {
        /// The connection's request.
        request: RequestId,
        /// How long.
        delay_ms: Millis,
    },
    /// A timer is due.
    Timer(TimerToken),
    /// A peer sent this.
    PeerMessage {
        /// Who.
        from: NodeId,
        /// What.
        payload: Vec<u8>,
    },
    /// A probe's result.
    ProbeResult {
        /// The server probed.
        server: ServerId,
        /// False if it did not answer well.
        ok: bool,
        /// The report, ordered as [`Settings::report_fields`]; empty if there was none.
        report: Vec<f32>,
    },
    /// A server looks as if it had fallen silent. To come as often as it is seen.
    Unresponsive {
        /// Which.
        server: ServerId,
        /// What speaks for it.
        symptom: Symptom,
    },
    /// The client has left; nothing is owed.
    ClientGone(RequestId),
    /// The node can wait no longer, as it ends or the client's time does: the final answer is due at once,
    /// by what may have run. An attempt that is out is called off.
    AnswerNow(RequestId),
    /// The operators take a server out, or put it back.
    Maintenance {
        /// Which; it need not be listed now.
        server: ServerId,
        /// Out if true, back if false. What is so already stays as it is.
        begins: bool,
    },
    /// New settings, in place of the old. Classes and tenants keep their numbers: one that is no
    /// longer used stays in its place.
    Settings(Settings),
    /// What a predecessor knows, whose place this balancer takes. To come after the list.
    TakeOver(LearnedState),
    /// All that the predecessor holds as of now; nothing once it has ended.
    PredecessorHoldings(Vec<Holding>),
}

/// Attempts and connections of another process that is the same balancer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// At this server.
    pub server: ServerId,
    /// How many.
    pub open: u32,
    /// Their load.
    pub load: f64,
}

/// What a balancer has learnt, for its successor. Every figure in it is finite, so that it outlives
/// being written down.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// The time on the clock by which all of it is told.
    pub now: Millis,
    /// Of each server.
    pub servers: Vec<(ServerId, ServerHistory)>,
    /// Servers that the operators have taken out.
    #[serde(rename = "out")]
    pub in_maintenance: Vec<ServerId>,
    /// Those that they have put back and that have held nothing since.
    #[serde(rename = "back")]
    pub returned: Vec<ServerId>,
    /// Of the fleet.
    pub fleet: FleetHistory,
    /// What servers have said of their load lately, and when.
    #[serde(rename = "told")]
    pub reported_loads: Vec<(ServerId, Millis, ReportedLoad)>,
}

/// What a server has said of its load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Over what it can do.
    pub load: f64,
    /// The own load in it, in microseconds of work a second.
    #[serde(rename = "own")]
    pub own_load: f64,
}

/// A point in time that is long past on any clock.
pub const LONG_AGO: Millis = -1e12;
/// A limit that limits nothing.
pub const NO_LIMIT: f64 = 1e12;

/// What a balancer has learnt of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerHistory {
    /// When it last started; 0 or less for long ago.
    pub started_at: Millis,
    /// What is known of slow messages there.
    pub strain: OverloadState,
    /// When it is relieved again at the earliest.
    #[serde(rename = "relieve_at")]
    pub next_rebalance_at: Millis,
    /// Failures running.
    #[serde(rename = "failures")]
    pub consecutive_failures: u32,
    /// When it failed last.
    #[serde(rename = "failed_at")]
    pub last_failure_at: Millis,
    /// Out of the ready set until then.
    #[serde(rename = "out_until")]
    pub ejected_until: Millis,
    /// What this node may still send to it while cold.
    pub budget: SlowStartBudget,
}

impl Default for ServerHistory {
    fn default() -> Self {
        Self {
            started_at: 0.0,
            strain: OverloadState::new(LONG_AGO),
            next_rebalance_at: LONG_AGO,
            consecutive_failures: 0,
            last_failure_at: LONG_AGO,
            ejected_until: LONG_AGO,
            budget: SlowStartBudget::new(0.0, LONG_AGO),
        }
    }
}

impl ServerHistory {
    /// The same on a clock that shows so much more.
    #[must_use]
    pub fn shifted(self, by: Millis) -> Self {
        Self {
            started_at: if self.started_at > 0.0 { self.started_at + by } else { 0.0 },
            strain: self.strain.shifted(by),
            next_rebalance_at: self.next_rebalance_at + by,
            last_failure_at: self.last_failure_at + by,
            ejected_until: self.ejected_until + by,
            budget: self.budget.shifted(by),
            ..self
        }
    }
}

/// What a balancer has learnt of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetHistory {
    /// Own set-ups for each unit of ready weight.
    #[serde(rename = "rate")]
    pub setup_rate: Rate,
    /// Attempts that failed lately, those that stood, and what may be spent on further ones.
    #[serde(rename = "tried")]
    pub limiter_counts: [f64; 3],
    /// What a unit of weight can carry, by reports.
    #[serde(rename = "carrying")]
    pub capacity: CapacityEstimate,
    /// Own connections that all servers together are held to.
    pub shortage: ConnectionLimit,
}

impl Default for FleetHistory {
    fn default() -> Self {
        Self {
            setup_rate: Rate::new(1.0, LONG_AGO),
            limiter_counts: [0.0; 3],
            capacity: CapacityEstimate::default(),
            shortage: ConnectionLimit::new(LONG_AGO),
        }
    }
}

impl FleetHistory {
    /// The same on a clock that shows so much more.
    #[must_use]
    pub fn shifted(self, by: Millis) -> Self {
        Self { setup_rate: self.setup_rate.shifted(by), shortage: self.shortage.shifted(by), ..self }
    }
}

/// Something the node is to do, in the order written.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// For this request.
        request: RequestId,
        /// To this server.
        server: ServerId,
        /// It ends as timed out if not established by then.
        timeout_ms: Millis,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Of this request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// Final answer: failed; no promise of what has run.
    Fail(RequestId),
    /// Ask an open connection's client to come again.
    Move(RequestId),
    /// Call back with [`Event::Timer`].
    SetTimer {
        /// After this time.
        delay_ms: Millis,
        /// With this token.
        token: TimerToken,
    },
    /// Ask a server for its load.
    Probe(ServerId),
    /// Ask for the whole list once.
    FetchList,
    /// Subscribe to the list's changes.
    WatchList,
    /// Send a message to one peer, or to all.
    SendToPeer {
        /// To whom; `None` for all.
        to: Option<NodeId>,
        /// What; 256 bytes at most.
        payload: Vec<u8>,
    },
    /// A line for the node's log.
    Log(String),
}
