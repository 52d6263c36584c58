//! Inputs and outputs of a [`Balancer`](crate::Balancer): settings, events and actions.
//!
//! Times are `f64` milliseconds on one monotonic clock of the embedding node, with an arbitrary origin.

use marllink_rate_limits::{ConnectionLimit, Rate, SlowStartBudget};
pub use marllink_rebalancing::OverloadState;
pub use marllink_retries::{DedupScope, Idempotency};
use marllink_server_state::CapacityEstimate;
pub use marllink_server_state::Symptom;
use serde::{Deserialize, Serialize};

/// Milliseconds, as a point on the node's monotonic clock or as a duration.
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
    /// Opaque identity of a server.
    ServerId(u64);
    /// A request id, unique for the lifetime of a balancer.
    RequestId(u64);
    /// Number of an attempt within its request: 0, 1, 2 and so on, in the order of sending.
    AttemptNo(u8);
    /// Chosen by the balancer and returned in [`Event::Timer`].
    TimerToken(u32);
    /// A balancer's number among its peers.
    NodeId(u16);
    /// An index into [`Settings::classes`].
    ClassId(u16);
    /// An index into [`Settings::tenants`].
    TenantId(u16);
    /// A failure domain of servers and nodes.
    ZoneId(u8);
    /// A small set of servers that share one deduplication table of request keys.
    CellId(u16);
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency goal for setting up a connection: one that is set up later has less value.
    pub setup_goal_ms: Millis,
    /// Whether, and under which conditions, a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Value of a served request, relative to other classes.
    pub value: f64,
    /// Latency goal for a message on an open connection; 0 if there is none.
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
    /// Quota of open connections over all nodes; 0 if unlimited.
    pub quota_connections: f64,
}

/// How the server list reaches a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive without a request.
    #[default]
    Push,
    /// Changes arrive only after [`Action::WatchList`] or [`Action::FetchList`].
    Pull,
}

/// One value of a server's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Connections or requests held.
    InFlight,
    /// Load as a ratio of the server's capacity.
    Utilization,
    /// Seconds of queued work.
    Backlog,
    /// Errors per second.
    ErrorRate,
    /// Any other value; ignored.
    Other,
}

/// Limits and optional features of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Time after which an attempt without a connection fails.
    pub connect_timeout_ms: Millis,
    /// Maximum number of attempts per request.
    pub max_attempts: u8,
    /// Whether [`Action::Cancel`] is allowed.
    pub cancel: bool,
    /// Whether [`Action::Probe`] is allowed.
    pub probe: bool,
    /// Whether [`Action::SendToPeer`] is allowed.
    pub peers: bool,
    /// Whether a rejected client receives a retry-after delay.
    pub retry_after: bool,
    /// Longest retry-after delay that clients honour.
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

/// Parameters of list refresh and slow start that the deployment guarantees.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Time within which a node without a subscription must request the list.
    pub fetch_within_ms: Millis,
    /// Share of its full capacity that a server has at least right after its start.
    pub initial_capacity_ratio: f64,
    /// Time after its start at which a server has its full capacity.
    pub warm_up_ms: Millis,
    /// A server in slow start collapses if it receives more than this multiple of its current capacity
    /// for [`collapse_after_ms`](Self::collapse_after_ms).
    pub collapse_load_ratio: f64,
    /// How long a server in slow start withstands such an overload.
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

/// Costs of the balancer's actions, in the same unit as the share of value served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Cost of a moved client, per request.
    pub moves: f64,
    /// Cost of a probe, per request.
    pub probe: f64,
    /// Cost of a request sent to another zone.
    pub cross_zone: f64,
    /// Cost of value that failed after its latency goal had passed.
    pub late_failure: f64,
}

/// Configuration of a balancer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This node's number.
    pub node: NodeId,
    /// Number of nodes; 0 counts as 1.
    pub nodes: u16,
    /// This node's zone.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: u8,
    /// How the server list arrives.
    pub discovery: Discovery,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a connection of a tenant above its quota, as a ratio of its normal value.
    pub over_quota_value_ratio: f64,
    /// Whether connections of one group share work at the server that holds them.
    pub group_affinity: bool,
    /// Fields of a probe's report, in order; empty where servers report nothing.
    pub report_fields: Vec<ReportField>,
    /// Limits and optional features.
    pub limits: Limits,
    /// Parameters of list refresh and slow start.
    pub rules: Rules,
    /// Costs of actions.
    pub prices: Prices,
}

/// Maximum time that a pick waits for probe results, as a ratio of the strictest set-up goal.
const PROBE_WAIT_RATIO: f64 = 0.1;

impl Settings {
    /// Returns each tenant's quota, in open connections over all nodes; 0 if unlimited.
    pub(crate) fn tenant_quotas(&self) -> Vec<f64> {
        self.tenants.iter().map(|t| t.quota_connections).collect()
    }

    /// Returns true if servers may be probed and report their utilization.
    #[must_use]
    pub fn reports_load(&self) -> bool {
        self.limits.probe && self.report_fields.contains(&ReportField::Utilization)
    }

    /// Returns the strictest latency goal for a message; infinite if there is none.
    #[must_use]
    pub fn strictest_message_goal(&self) -> Millis {
        let goals = self.classes.iter().map(|c| c.message_goal_ms).filter(|goal| *goal > 0.0);
        goals.fold(f64::INFINITY, f64::min)
    }

    /// Returns the settings for load probes.
    pub(crate) fn probe_settings(&self) -> marllink_server_state::ProbeSettings {
        let goals = self.classes.iter().map(|c| c.setup_goal_ms).filter(|goal| *goal > 0.0);
        let defaults = marllink_server_state::ProbeSettings::default();
        let pick_timeout_ms =
            defaults.pick_timeout_ms.min(goals.fold(f64::INFINITY, f64::min) * PROBE_WAIT_RATIO);
        marllink_server_state::ProbeSettings { pick_timeout_ms, ..defaults }
    }
}

/// Whether a listed server accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new connections.
    Ready,
    /// Serves its open connections and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its deduplication cell.
    pub cell: CellId,
    /// Whether it accepts work.
    pub state: ServerState,
    /// Its weight relative to the others; a value that is not positive and finite counts as the mean
    /// of the others.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Millis,
}

/// Which part of the server list an update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only changed entries.
    Delta,
    /// All entries: a server not among them is gone.
    Full,
    /// All entries, as this node knew them before it restarted.
    Cached,
    /// None: a call failed or the subscription broke, and the current list stays in force.
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
    /// How much longer the client waits.
    pub time_left_ms: Millis,
    /// True if the client is retrying.
    pub retry: bool,
    /// Its group if [`Settings::group_affinity`] is set; 0 for none.
    pub group: u64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served to completion.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server rejected it without processing it.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled, or the client disconnected.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// Returns true if the attempt certainly had no effect.
    #[must_use]
    pub fn never_executed(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::NotSent)
    }
}

/// Why an attempt that was decided must not be sent any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenied {
    /// The client has left, or the request has had its final answer or another attempt since.
    RequestOver,
    /// The client's deadline has passed.
    DeadlinePassed,
    /// A changed configuration permits fewer attempts.
    AttemptsExhausted,
    /// The server has started draining or has left the list.
    ServerDraining,
    /// An earlier attempt may have been executed, and the server may not drop a duplicate: the window for
    /// repeats has passed, or the server is out of its scope.
    DuplicateExecution,
}

/// Something that happened at the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the server list.
    ServerList {
        /// Which part of the list it contains.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client requests a connection. It must receive exactly one final answer before its time runs out.
    Request(NewRequest),
    /// A connection that was already open through this node when the balancer started.
    OpenConnection {
        /// The request that it came from.
        request: NewRequest,
        /// The server that holds it.
        server: ServerId,
    },
    /// An attempt's connection is established; deadlines no longer apply to it.
    Established {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// Time since the attempt was sent.
        latency_ms: Millis,
    },
    /// An attempt ended. Each attempt that was sent ends in exactly one such event, also on a timeout,
    /// which the node enforces.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// How it ended.
        outcome: Outcome,
        /// True if the client has its final answer or no longer needs one.
        closed: bool,
    },
    /// The load of an open connection changed.
    ConnectionLoad {
        /// The connection's request.
        request: RequestId,
        /// Its load, in microseconds of work per second.
        load: f64,
    },
    /// The server reported how long a message on this connection takes.
    MessageDelay {
        /// The connection's request.
        request: RequestId,
        /// The message delay.
        delay_ms: Millis,
    },
    /// A timer expired.
    Timer(TimerToken),
    /// A message from a peer arrived.
    PeerMessage {
        /// The sender.
        from: NodeId,
        /// The message.
        payload: Vec<u8>,
    },
    /// The result of a probe.
    ProbeResult {
        /// The probed server.
        server: ServerId,
        /// False if the probe failed.
        ok: bool,
        /// The report, ordered as in [`Settings::report_fields`]; empty if there was none.
        report: Vec<f32>,
    },
    /// A server seems to be unresponsive. To be sent each time that a symptom is observed.
    Unresponsive {
        /// The server.
        server: ServerId,
        /// What was observed.
        symptom: Symptom,
    },
    /// The client disconnected; it needs no answer.
    ClientGone(RequestId),
    /// The node can't wait any longer, because it shuts down or the client's time runs out: the final
    /// answer is due at once and depends on what may have been executed. A pending attempt is cancelled.
    AnswerNow(RequestId),
    /// Operators put a server into maintenance or return it to service.
    Maintenance {
        /// The server; it may be missing from the list.
        server: ServerId,
        /// True at the start of maintenance, false at its end. Repeating either has no effect.
        begins: bool,
    },
    /// Replaces the settings. Classes and tenants keep their indices: one that is no longer used
    /// stays in its place.
    Settings(Settings),
    /// State learned by the predecessor that this balancer replaces. Must follow the server list.
    TakeOver(LearnedState),
    /// Everything that the predecessor still holds; empty once it has ended.
    PredecessorHoldings(Vec<Holding>),
}

/// Attempts and connections held by another process of the same balancer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// The server that they go to.
    pub server: ServerId,
    /// Number of attempts and connections.
    pub open: u32,
    /// Their load.
    pub load: f64,
}

/// State that a balancer has learned and hands over to its successor. All numbers are finite, so that
/// they survive serialization.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// Current time on the clock that all other times refer to.
    pub now: Millis,
    /// State by server.
    pub servers: Vec<(ServerId, ServerHistory)>,
    /// Servers in maintenance.
    #[serde(rename = "out")]
    pub in_maintenance: Vec<ServerId>,
    /// Servers returned from maintenance that have held no connection since.
    #[serde(rename = "back")]
    pub returned: Vec<ServerId>,
    /// State of the fleet.
    pub fleet: FleetHistory,
    /// Recently reported loads of servers, each with the time of the report.
    #[serde(rename = "told")]
    pub reported_loads: Vec<(ServerId, Millis, ReportedLoad)>,
}

/// A load that a server has reported.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Load as a ratio of the server's capacity.
    pub load: f64,
    /// This balancer's part of the load, in microseconds of work per second.
    #[serde(rename = "own")]
    pub own_load: f64,
}

/// A time in the distant past of any clock.
pub const LONG_AGO: Millis = -1e12;
/// A limit that has no effect.
pub const NO_LIMIT: f64 = 1e12;

/// State that a balancer has learned about one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerHistory {
    /// When it last started; 0 or less for long ago.
    pub started_at: Millis,
    /// Overload state derived from message delays.
    #[serde(rename = "strain")]
    pub overload: OverloadState,
    /// Earliest time of the next rebalancing by reported load.
    #[serde(rename = "relieve_at")]
    pub next_rebalance_at: Millis,
    /// Number of consecutive failures.
    #[serde(rename = "failures")]
    pub consecutive_failures: u32,
    /// Time of the last failure.
    #[serde(rename = "failed_at")]
    pub last_failure_at: Millis,
    /// End of its ejection from the ready set.
    #[serde(rename = "out_until")]
    pub ejected_until: Millis,
    /// Connections that this node may still send to it during slow start.
    pub budget: SlowStartBudget,
}

impl Default for ServerHistory {
    fn default() -> Self {
        Self {
            started_at: 0.0,
            overload: OverloadState::new(LONG_AGO),
            next_rebalance_at: LONG_AGO,
            consecutive_failures: 0,
            last_failure_at: LONG_AGO,
            ejected_until: LONG_AGO,
            budget: SlowStartBudget::new(0.0, LONG_AGO),
        }
    }
}

impl ServerHistory {
    /// Returns the same state for a clock that is `offset_ms` ahead.
    #[must_use]
    pub fn shifted(self, offset_ms: Millis) -> Self {
        Self {
            started_at: if self.started_at > 0.0 { self.started_at + offset_ms } else { 0.0 },
            overload: self.overload.shifted(offset_ms),
            next_rebalance_at: self.next_rebalance_at + offset_ms,
            last_failure_at: self.last_failure_at + offset_ms,
            ejected_until: self.ejected_until + offset_ms,
            budget: self.budget.shifted(offset_ms),
            ..self
        }
    }
}

/// State that a balancer has learned about the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetHistory {
    /// Rate of own connection set-ups per unit of available weight.
    #[serde(rename = "rate")]
    pub setup_rate: Rate,
    /// Counts of the retry limiter: recently failed attempts, successful attempts, and the retry budget.
    #[serde(rename = "tried")]
    pub limiter_counts: [f64; 3],
    /// Estimated capacity of a unit of weight, from load reports.
    #[serde(rename = "carrying")]
    pub capacity: CapacityEstimate,
    /// Limit on the own connections of all servers together.
    #[serde(rename = "shortage")]
    pub connection_limit: ConnectionLimit,
}

impl Default for FleetHistory {
    fn default() -> Self {
        Self {
            setup_rate: Rate::new(1.0, LONG_AGO),
            limiter_counts: [0.0; 3],
            capacity: CapacityEstimate::default(),
            connection_limit: ConnectionLimit::new(LONG_AGO),
        }
    }
}

impl FleetHistory {
    /// Returns the same state for a clock that is `offset_ms` ahead.
    #[must_use]
    pub fn shifted(self, offset_ms: Millis) -> Self {
        Self {
            setup_rate: self.setup_rate.shifted(offset_ms),
            connection_limit: self.connection_limit.shifted(offset_ms),
            ..self
        }
    }
}

/// Something that the node must do. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Time after which it ends as timed out unless established.
        timeout_ms: Millis,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: rejected, and safe to retry.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// Final answer: failed; the request may have been executed.
    Fail(RequestId),
    /// Ask the client of an open connection to reconnect.
    Move(RequestId),
    /// Set a timer that triggers [`Event::Timer`].
    SetTimer {
        /// Time until it expires.
        delay_ms: Millis,
        /// Token to return.
        token: TimerToken,
    },
    /// Probe a server for its load.
    Probe(ServerId),
    /// Fetch the whole server list once.
    FetchList,
    /// Subscribe to changes of the server list.
    WatchList,
    /// Send a message to one peer or to all peers.
    SendToPeer {
        /// The recipient; `None` for all peers.
        to: Option<NodeId>,
        /// The message, at most 256 bytes.
        payload: Vec<u8>,
    },
    /// Write a line to the node's log.
    Log(String),
}
