//! Experiment files of `marllink-lab run`: the fleet, the load on it, the faults, and bounds on the figures.

use marllink_fleet::Comparison;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, and of the folder that its results are written to.
    pub name: String,
    /// Time for which clients save fields, in seconds. After it they only wait for open confirmations.
    #[schemars(range(min = 1, max = 3_600))]
    #[serde(rename = "seconds")]
    pub duration_s: u32,
    /// Seed of all random numbers.
    #[serde(default)]
    pub seed: u64,
    /// The balancers and servers.
    pub fleet: Fleet,
    /// The clients.
    pub load: Load,
    /// The session settings of all balancers.
    pub sessions: Sessions,
    /// Faults, in order of time.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Bounds on the figures. Independent of them, no protocol rule may be violated.
    #[serde(default, rename = "verdict")]
    pub bounds: Vec<Bound>,
}

/// The balancers and servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of balancers, each a process of its own.
    #[schemars(range(min = 1, max = 16))]
    pub balancers: usize,
    /// Number of servers.
    #[schemars(range(min = 1, max = 200))]
    #[serde(rename = "hosts")]
    pub servers: usize,
    /// Number of zones that the servers are distributed over.
    #[serde(default = "default_zones")]
    #[schemars(range(min = 1, max = 8))]
    pub zones: usize,
    /// Maximum number of connections to each server.
    #[serde(default = "default_capacity")]
    pub capacity: usize,
    /// Maximum error of each server's clock rate in either direction, in percent.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 20.0))]
    pub clock_drift_percent: f64,
    /// Time after which discovery publishes a change of a server, in milliseconds.
    #[serde(default = "default_discovery_delay_ms", rename = "late_news_ms")]
    pub discovery_delay_ms: u32,
}

fn default_zones() -> usize {
    2
}
fn default_capacity() -> usize {
    1_000
}
fn default_discovery_delay_ms() -> u32 {
    1_000
}

/// The clients, each of which saves the fields of a form in a session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Number of clients.
    #[schemars(range(min = 1, max = 20_000))]
    #[serde(rename = "drafters")]
    pub clients: usize,
    /// Time over which the clients arrive, in seconds.
    #[serde(rename = "over_s")]
    pub arrival_s: f64,
    /// Interval between two saves of a client, in milliseconds.
    #[serde(rename = "save_every_ms")]
    pub save_interval_ms: f64,
    /// Number of fields in a form.
    #[schemars(range(min = 1))]
    #[serde(rename = "fields")]
    pub field_count: usize,
    /// Size of a field's value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of unconfirmed saves of a client.
    #[schemars(range(min = 1))]
    #[serde(rename = "in_flight")]
    pub max_unconfirmed: usize,
    /// Interval at which an impostor presents another client's token to all balancers at once, in
    /// milliseconds; 0 for never.
    #[serde(default, rename = "thief_every_ms")]
    pub impostor_interval_ms: f64,
}

/// The session settings of all balancers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Sessions {
    /// Number of lease replicas of a session, as in the operators' configuration.
    #[schemars(extend("enum" = [1, 3, 5]))]
    #[serde(rename = "keepers")]
    pub replicas: u8,
    /// Duration of a lease in milliseconds, as in the operators' configuration.
    #[schemars(range(min = 200, max = 30_000))]
    pub lease_ms: u32,
    /// Lifetime of a token in seconds, as in the operators' configuration.
    #[schemars(range(min = 10, max = 86_400))]
    pub token_s: u32,
    /// Time at which a new key is added, in seconds. The first key is withdrawn 3 s later. Keys are never
    /// rotated if this is missing.
    #[serde(default)]
    pub rotate_keys_at_s: Option<f64>,
}

/// A fault at a given time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time at which it begins, in seconds.
    pub at_s: f64,
    /// What happens.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// The types of faults. Servers and balancers are numbered from 0; `for_s` is always the duration, in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[schemars(rename = "What")]
pub enum FaultKind {
    /// A server is killed, and starts again without any state.
    #[serde(rename = "kill-host")]
    KillServer {
        /// Index of the server.
        #[serde(rename = "host")]
        server: usize,
        /// Time until it starts again, in seconds.
        for_s: f64,
    },
    /// A server stalls: it keeps its connections open and does nothing.
    #[serde(rename = "stall-host")]
    StallServer {
        /// Index of the server.
        #[serde(rename = "host")]
        server: usize,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// A network partition between a server and a balancer.
    #[serde(rename = "split")]
    Partition {
        /// Index of the server.
        #[serde(rename = "host")]
        server: usize,
        /// Index of the balancer.
        balancer: usize,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// A server is listed as draining.
    Drain {
        /// Index of the server.
        #[serde(rename = "host")]
        server: usize,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// A balancer is killed with SIGKILL, and starts again.
    KillBalancer {
        /// Index of the balancer.
        balancer: usize,
        /// Time until it starts again, in seconds.
        for_s: f64,
    },
    /// A balancer's process is suspended with SIGSTOP.
    StallBalancer {
        /// Index of the balancer.
        balancer: usize,
        /// Duration, in seconds.
        for_s: f64,
    },
    /// A balancer is upgraded: a new process takes over from the running one.
    UpgradeBalancer {
        /// Index of the balancer.
        balancer: usize,
    },
}

/// A bound on a figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Name of the figure, as in `figures.csv`.
    pub figure: String,
    /// How the figure compares with the limit.
    #[serde(rename = "is")]
    pub comparison: Comparison,
    /// The limit.
    #[serde(rename = "bound")]
    pub limit: f64,
}

impl Bound {
    /// Returns true if the value satisfies the bound.
    #[must_use]
    pub fn holds(&self, value: f64) -> bool {
        self.comparison.holds(value, self.limit)
    }
}

/// Returns the JSON schema of experiment files.
#[must_use]
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Experiment).to_value()
}
