//! Variations of the decisions for experiments, so that one build can compare them side by side.
//!
//! Production uses [`Variant::default`]. Only experiments create any other variant; no setting, file or
//! message of a node selects one.

use marllink_retries::Policy;
use serde::{Deserialize, Serialize};

/// Differences from the decisions that production uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Variant {
    /// How retries are limited.
    pub retries: Policy,
    /// A known bug, reintroduced to verify that experiments detect it.
    #[serde(rename = "plant")]
    pub injected_bug: Option<InjectedBug>,
}

impl Default for Variant {
    fn default() -> Self {
        Self { retries: Policy::share(), injected_bug: None }
    }
}

/// A known bug that experiments reintroduce to verify that they detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[cfg_attr(feature = "schema", schemars(rename = "Plant"))]
#[serde(rename_all = "kebab-case")]
pub enum InjectedBug {
    /// The zone credit counts for more on a server of lower weight.
    CreditByWeight,
    /// At least one connection is moved off a draining server in each housekeeping cycle.
    #[serde(rename = "leave-at-once")]
    DrainAtLeastOne,
    /// Every failure is retried immediately, up to the maximum number of attempts.
    RetryStorm,
    /// Each balancer sends a server in slow start as much as all balancers together may send.
    #[serde(rename = "cold-sum")]
    ColdBudgetNotDivided,
    /// The balancer receives no events about unresponsive servers, only about slow messages.
    #[serde(rename = "silence-untold")]
    UnresponsiveNotReported,
    /// Where lists are pushed, the node never opens the watch that delivers them.
    #[serde(rename = "never-watch")]
    WatchNeverOpened,
    /// The balancer does not know the quotas of tenants.
    #[serde(rename = "tenant-blind")]
    TenantQuotasUnknown,
    /// All connections of a slow server above its limit are moved instead of a part of them, which moves most
    /// clients when all servers are slow.
    MoveWhenAllSlow,
}
