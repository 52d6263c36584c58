//! The types of deployments: what servers report, how balancers get the server list, and what connections
//! share.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A type of deployment. By default servers report their load and balancers fetch the server list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Kind")]
pub struct Deployment {
    /// Servers report their load in answers to probes. Otherwise they send notices of slow messages.
    #[serde(rename = "reports")]
    pub reports_load: bool,
    /// An agent on each balancer's machine pushes the server list. It sends nothing while discovery is down.
    #[serde(rename = "pushed")]
    pub pushes_list: bool,
    /// Maximum number of attempts for a request.
    #[schemars(range(min = 1, max = 20))]
    #[serde(rename = "attempts")]
    pub max_attempts: u8,
    /// Time for which a server may still receive attempts after the balancer was notified that it drains, in
    /// milliseconds.
    #[schemars(range(min = 0.0, max = 60_000.0))]
    #[serde(rename = "grace_ms")]
    pub drain_grace_ms: f64,
    /// Share of its full capacity that a server starts with.
    #[schemars(range(min = 0.01, max = 1.0))]
    #[serde(rename = "cold_from")]
    pub initial_capacity_ratio: f64,
    /// Duration of slow start: time from a server's start to its full capacity, in milliseconds.
    #[schemars(range(min = 1.0, max = 300_000.0))]
    #[serde(rename = "warm_ms")]
    pub warm_up_ms: f64,
    /// True if a server in slow start that is allowed N connections collapses above N + 2 x sqrt(N) + 2,
    /// which leaves room for random variation; false if it collapses above N + 3.
    #[serde(rename = "fall_by_chance")]
    pub collapse_allows_variation: bool,
    /// The classes of connections.
    #[schemars(length(min = 1, max = 16))]
    pub classes: Vec<ConnectionClass>,
    /// The server sizes.
    #[schemars(length(min = 1, max = 16))]
    #[serde(rename = "sizes")]
    pub server_sizes: Vec<ServerSize>,
    /// Groups whose connections share work, if there are any.
    pub groups: Option<Groups>,
    /// Tenants of the fleet; if empty, all clients belong to one tenant without a quota.
    pub tenants: Vec<Tenant>,
    /// Value of a connection above its tenant's quota, as a ratio to its normal value.
    #[schemars(range(min = 0.0, max = 1.0))]
    #[serde(rename = "over_share_worth")]
    pub over_quota_value_ratio: f64,
    /// Price of each attempt to a server of another zone, in units of value.
    #[serde(rename = "crossing")]
    pub cross_zone_price: f64,
    /// Price of each client that is moved, in units of value.
    #[serde(rename = "moves")]
    pub move_price: f64,
}

impl Default for Deployment {
    fn default() -> Self {
        let class = |share, value, load, message_goal_ms, goal_to_usual_ratio| ConnectionClass {
            share,
            value,
            load,
            message_goal_ms,
            goal_to_usual_ratio,
        };
        let size = |share, cores, speed| ServerSize { share, cores, speed };
        Self {
            reports_load: true,
            pushes_list: false,
            max_attempts: 5,
            drain_grace_ms: 500.0,
            initial_capacity_ratio: 0.45,
            warm_up_ms: 7_000.0,
            collapse_allows_variation: false,
            // Many light connections, and fewer with six times their load.
            classes: vec![class(0.7, 3.0, 1.0, 100.0, 12.0), class(0.3, 5.0, 6.0, 60.0, 8.0)],
            server_sizes: vec![size(0.2, 4.0, 1.6), size(0.4, 4.0, 1.0), size(0.4, 2.0, 0.6)],
            groups: None,
            tenants: Vec::new(),
            over_quota_value_ratio: 1.0,
            cross_zone_price: 0.16,
            move_price: 0.02,
        }
    }
}

/// A class of connections.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Sort")]
pub struct ConnectionClass {
    /// Share of all clients.
    pub share: f64,
    /// Value of a connection for each second that it is served.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Mean load of a connection, relative to the other classes.
    pub load: f64,
    /// Latency goal of a message, in milliseconds.
    #[serde(rename = "message_aim_ms")]
    pub message_goal_ms: f64,
    /// The latency goal of a message as a ratio to its latency on an idle server.
    #[serde(rename = "ease")]
    pub goal_to_usual_ratio: f64,
}

/// A server size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Size")]
pub struct ServerSize {
    /// Share of all servers.
    pub share: f64,
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core, as a ratio to a standard core.
    pub speed: f64,
}

/// Groups whose connections share work: a server pays a group's cost once, however many of its connections it
/// holds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Groups {
    /// Mean number of connections in a group.
    #[schemars(range(min = 1.0, max = 10_000.0))]
    #[serde(rename = "size")]
    pub mean_size: f64,
    /// Exponent of the Zipf distribution of group sizes.
    #[schemars(range(min = 0.0, max = 3.0))]
    #[serde(rename = "zipf")]
    pub zipf_exponent: f64,
    /// Load on a server for each group that it holds a connection of, in mean connection loads.
    #[schemars(range(min = 0.0, max = 100.0))]
    pub cost: f64,
}

/// A tenant of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Share of the clients under normal load.
    pub share: f64,
    /// Quota, as a share of the capacity of all servers.
    pub quota: f64,
}

impl Deployment {
    /// Returns the number of tenants; 1 if none are configured.
    pub(crate) fn tenant_count(&self) -> usize {
        self.tenants.len().max(1)
    }

    /// Returns a tenant's share of the clients.
    pub(crate) fn tenant_share(&self, tenant: usize) -> f64 {
        self.tenants.get(tenant).map_or(1.0, |t| t.share)
    }

    /// Returns a tenant's quota as a share of the capacity of all servers; infinite if none is configured.
    pub(crate) fn quota(&self, tenant: usize) -> f64 {
        self.tenants.get(tenant).map_or(f64::INFINITY, |t| t.quota)
    }
}
