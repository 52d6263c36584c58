//! Experiment files: scenarios, faults, strategies and the bounds on their metrics.

use crate::deployment::Deployment;
use marllink::{InjectedBug, Variant};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An experiment: each scenario is run under each strategy with each seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Matrix {
    /// Name of the experiment, and of the folder that its results are written to.
    pub name: String,
    /// Number of seeds for each scenario and strategy; the seeds count up from 1.
    #[schemars(range(min = 1, max = 100))]
    pub seeds: u64,
    /// Properties of the fleet that all scenarios share.
    pub shape: Shape,
    /// The scenarios.
    #[schemars(length(min = 1))]
    #[serde(rename = "days")]
    pub scenarios: Vec<Scenario>,
    /// The strategies. The bounds apply to the first; the others are run for comparison.
    #[schemars(length(min = 1))]
    pub strategies: Vec<Strategy>,
    /// Bounds on the first strategy's metrics, each as the mean over the seeds.
    #[serde(default, rename = "verdict")]
    pub bounds: Vec<Bound>,
}

/// Properties of a fleet and its traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of balancers.
    #[schemars(range(min = 1, max = 1_000))]
    pub balancers: usize,
    /// Number of servers.
    #[schemars(range(min = 1, max = 5_000))]
    #[serde(rename = "hosts")]
    pub servers: usize,
    /// Number of zones.
    #[schemars(range(min = 1, max = 8))]
    pub zones: usize,
    /// Number of average connections whose load uses up a standard core.
    #[schemars(range(min = 1.0, max = 1_000.0))]
    #[serde(rename = "per_core")]
    pub connections_per_core: f64,
    /// Maximum number of connections, idle ones included, that a server holds for each of its cores.
    #[schemars(range(min = 1.0, max = 10_000.0))]
    #[serde(rename = "most_per_core")]
    pub max_connections_per_core: f64,
    /// Sigma of the log-normal distribution of the balancers' traffic shares.
    #[schemars(range(min = 0.0, max = 3.0))]
    #[serde(rename = "uneven")]
    pub traffic_sigma: f64,
    /// Mean lifetime of a connection, in seconds.
    #[schemars(range(min = 1.0, max = 3_600.0))]
    #[serde(rename = "life_s")]
    pub mean_lifetime_s: f64,
    /// Duration of a scenario, in seconds.
    #[schemars(range(min = 1.0, max = 600.0))]
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Type of the deployment.
    #[serde(default, rename = "kind")]
    pub deployment: Deployment,
}

/// A scenario: load, distribution over zones, and faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Day")]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Offered load, as a ratio to the capacity of all servers.
    #[schemars(range(min = 0.01, max = 2.0))]
    pub load: f64,
    /// Number of zones, if it differs from the shape's.
    #[serde(default)]
    #[schemars(range(min = 1, max = 8))]
    pub zones: Option<usize>,
    /// Relative share of the traffic in each zone; the same for all zones if empty.
    #[serde(default, rename = "traffic")]
    pub traffic_shares: Vec<f64>,
    /// Relative share of the servers in each zone; the same for all zones if empty.
    #[serde(default, rename = "hosts")]
    pub server_shares: Vec<f64>,
    /// Faults and changes of load.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Number of balancers and servers, if it differs from the shape's.
    #[serde(default, rename = "fleet")]
    pub fleet_size: Option<FleetSize>,
    /// Type of the deployment, if it differs from the shape's.
    #[serde(default, rename = "kind")]
    pub deployment: Option<Deployment>,
}

/// Number of balancers and servers in a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Fleet")]
pub struct FleetSize {
    /// Number of balancers.
    #[schemars(range(min = 1, max = 1_000))]
    pub balancers: usize,
    /// Number of servers.
    #[schemars(range(min = 1, max = 5_000))]
    #[serde(rename = "hosts")]
    pub servers: usize,
}

/// A fault or a change of load at a given time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time at which it begins, in seconds.
    pub at_s: f64,
    /// What happens.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// The types of faults and changes of load. `for_s` is always the duration, in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[schemars(rename = "What")]
pub enum FaultKind {
    /// The rate of new clients changes by a factor.
    Burst {
        /// Factor relative to the normal rate.
        #[serde(rename = "times")]
        factor: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// The rate of one tenant's new clients changes by a factor.
    TenantBurst {
        /// Index of the tenant.
        tenant: usize,
        /// Factor relative to the tenant's normal rate.
        #[serde(rename = "times")]
        factor: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// All connections of the largest group break, and their clients reconnect at the same time.
    GroupReconnect,
    /// A share of the clients disconnect and reconnect within about a second.
    Reconnect {
        /// Share of the established connections.
        share: f64,
    },
    /// A share of the balancers is killed at the same instant and starts again without any state.
    KillBalancers {
        /// Share of the balancers.
        share: f64,
        /// Time until they start again, in seconds.
        back_after_s: f64,
        /// Server list that they have at their start.
        #[serde(default, rename = "list")]
        initial_list: InitialList,
    },
    /// Rolling restart: all balancers are restarted with SIGTERM, one batch after another.
    RestartBalancers {
        /// Share of the balancers in a batch.
        share: f64,
        /// Time between two batches, in seconds.
        every_s: f64,
    },
    /// A share of the servers drains and exits one by one, and each is replaced by a new server in slow
    /// start.
    #[serde(rename = "replace-hosts")]
    ReplaceServers {
        /// Share of the servers.
        share: f64,
        /// Time over which the drains begin, in seconds.
        over_s: f64,
        /// Time that a server drains, in seconds.
        drain_s: f64,
    },
    /// All servers of a zone stop, and start again later in slow start.
    LoseZone {
        /// Index of the zone.
        zone: usize,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// All machines of a zone become unresponsive: open connections stay open without replies, and new
    /// connections time out. When the machines are back, they reset the open connections and are in slow
    /// start.
    #[serde(rename = "hush-zone")]
    UnresponsiveZone {
        /// Index of the zone.
        zone: usize,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// A network partition between a zone and all other zones.
    #[serde(rename = "cut-zone")]
    PartitionZone {
        /// Index of the zone.
        zone: usize,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// A share of the servers fails new connections immediately, which makes them look idle.
    #[serde(rename = "fail-hosts")]
    FailServers {
        /// Share of the servers.
        share: f64,
        /// Share of their new connections that fails.
        rate: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// A share of the servers has less capacity.
    #[serde(rename = "slow-hosts")]
    SlowServers {
        /// Share of the servers.
        share: f64,
        /// Factor on their capacity.
        factor: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Load reports are delayed.
    LateReports {
        /// Delay, in milliseconds.
        #[serde(rename = "ms")]
        delay_ms: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Load probes are refused, or get no answer.
    #[serde(rename = "mute-probes")]
    FailProbes {
        /// True if probes are refused; false if they get no answer.
        refused: bool,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// The servers' connection limits change by a factor.
    #[serde(rename = "few-places")]
    LowerConnectionLimits {
        /// Factor on each server's connection limit.
        factor: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// A share of the servers drops each new connection soon after accepting it.
    #[serde(rename = "drop-new")]
    DropNewConnections {
        /// Share of the servers.
        share: f64,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Discovery rejects three of four calls.
    #[serde(rename = "busy-list")]
    BusyDiscovery {
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Discovery is down.
    #[serde(rename = "no-list")]
    DiscoveryDown {
        /// Duration, in seconds.
        for_s: f64,
    },
}

/// The server list that a balancer has when it starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Known")]
pub enum InitialList {
    /// The list as of the start.
    #[default]
    #[serde(rename = "fresh")]
    Current,
    /// The list as of the beginning of the scenario, with servers that have drained or stopped since.
    #[serde(rename = "old")]
    Outdated,
    /// No list.
    #[serde(rename = "nothing")]
    Missing,
}

/// How balancers select servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Strategy {
    /// The decisions of marllink.
    Marllink,
    /// The decisions of marllink with modifications.
    #[serde(rename = "varied")]
    Modified {
        /// Name in the table of results.
        name: String,
        /// The modifications.
        #[serde(rename = "with")]
        variant: Variant,
    },
    /// A uniformly random server, and another one after a failure.
    Random,
    /// By the true load of each server, as of a given time ago.
    #[serde(rename = "seeing")]
    Oracle {
        /// Age of the load data, in milliseconds.
        #[serde(rename = "late_ms")]
        delay_ms: f64,
    },
}

impl Strategy {
    /// Name of the strategy in the table of results.
    #[must_use]
    pub fn name(&self) -> String {
        match self {
            Self::Marllink => "marllink".into(),
            Self::Modified { name, .. } => name.clone(),
            Self::Random => "random".into(),
            Self::Oracle { delay_ms } => format!("seeing-{delay_ms}ms"),
        }
    }

    /// Returns true if the strategy contains this injected bug.
    #[must_use]
    pub fn injects(&self, bug: InjectedBug) -> bool {
        matches!(self, Self::Modified { variant, .. } if variant.injected_bug == Some(bug))
    }

    /// Returns the strategy with a bug injected, or unchanged if it doesn't use marllink's decisions.
    #[must_use]
    pub fn with_bug(&self, bug: InjectedBug) -> Self {
        match self {
            Self::Marllink => Self::Modified {
                name: "marllink".into(),
                variant: Variant { injected_bug: Some(bug), ..Variant::default() },
            },
            Self::Modified { name, variant } => Self::Modified {
                name: name.clone(),
                variant: Variant { injected_bug: Some(bug), ..variant.clone() },
            },
            other => other.clone(),
        }
    }
}

/// A metric of a run. Values of [`crate::RunResults`] are keyed by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Figure")]
pub enum Metric {
    /// Value served, as a ratio to the value wanted.
    #[serde(rename = "served")]
    ServedRatio,
    /// The served ratio less the prices of cross-zone requests, probes, moves, late failures and wasted work.
    #[serde(rename = "net")]
    NetServedRatio,
    /// The served ratio over the worst 5 s.
    #[serde(rename = "worst")]
    WorstServedRatio,
    /// The lowest served ratio of any tenant, over the time in which the tenant is within its quota.
    #[serde(rename = "least-tenant")]
    WorstTenantServedRatio,
    /// Largest relative error of a server size's share of established connections against its share of the
    /// capacity.
    Skew,
    /// Failed attempts and dropped connections for each established connection, over the worst 5 s.
    #[serde(rename = "vain")]
    WastedAttempts,
    /// Attempts for each request.
    Attempts,
    /// Connections dropped by servers or lost with them, for each new client.
    Dropped,
    /// Attempts to servers of another zone, for each new client.
    #[serde(rename = "crossed")]
    CrossZone,
    /// Load probes for each established connection.
    Probes,
    /// Number of servers in slow start that collapsed because they received more connections than allowed.
    #[serde(rename = "cold-over")]
    SlowStartCollapses,
    /// Clients asked to move, for each new client.
    Moves,
    /// Calls to discovery for each balancer.
    #[serde(rename = "calls")]
    DiscoveryCalls,
    /// Largest share of the moves within 30 s that happened in one interval of 200 ms.
    #[serde(rename = "moved-at-once")]
    MoveBurst,
    /// Attempts sent to draining or stopped servers, whether the balancer was notified or not, for each new
    /// client.
    #[serde(rename = "stale")]
    StaleAttempts,
    /// Rejections for each new client.
    #[serde(rename = "refused")]
    Rejected,
    /// Seconds from the scenario's last fault until service has recovered; the rest of the scenario if it
    /// never does.
    #[serde(rename = "back")]
    RecoveryTime,
    /// Calls to discovery in the worst second, for each balancer.
    #[serde(rename = "calls-worst")]
    PeakDiscoveryCalls,
    /// Attempts sent to servers in the worst second after the last fault, as a ratio to the mean of the
    /// seconds after it.
    #[serde(rename = "wave")]
    AttemptBurst,
    /// Median time from a client's request to its established connection, in milliseconds.
    WaitMedian,
    /// The 99th percentile of the same.
    #[serde(rename = "wait-tail")]
    WaitP99,
    /// Number of invariant violations.
    #[serde(rename = "broken")]
    Violations,
}

/// A bound on a metric.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Names of the scenarios that it applies to; all if empty.
    #[serde(default, rename = "days")]
    pub scenarios: Vec<String>,
    /// The metric.
    #[serde(rename = "figure")]
    pub metric: Metric,
    /// Direction of the bound.
    #[serde(rename = "is")]
    pub comparison: Comparison,
    /// The value that the metric is compared with.
    #[serde(rename = "bound")]
    pub limit: f64,
}

/// Direction of a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Comparison {
    /// The value must not exceed the bound.
    AtMost,
    /// The value must not be below the bound.
    AtLeast,
}

impl Comparison {
    /// Returns true if the value satisfies the bound.
    #[must_use]
    pub fn holds(self, value: f64, bound: f64) -> bool {
        match self {
            Self::AtMost => value <= bound,
            Self::AtLeast => value >= bound,
        }
    }
}

impl Bound {
    /// Returns true if the metric's value satisfies the bound.
    #[must_use]
    pub fn holds(&self, value: f64) -> bool {
        self.comparison.holds(value, self.limit)
    }

    /// Returns true if the bound applies to the scenario of this name.
    #[must_use]
    pub fn applies_to(&self, scenario: &str) -> bool {
        self.scenarios.is_empty() || self.scenarios.iter().any(|s| s == scenario)
    }
}
