//! How the decisions may vary in experiments, so that one build compares them side by side.
//!
//! What serves is [`Variant::default`]. Nothing outside experiments makes another, and no setting, file
//! or message names one.

use marllink_retries::Policy;
use serde::{Deserialize, Serialize};

/// What differs from the decisions as they serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Variant {
    /// How repeated attempts are limited.
    pub retries: Policy,
    /// A bug put back on purpose, which experiments must find.
    #[serde(rename = "plant")]
    pub injected_bug: Option<InjectedBug>,
}

impl Default for Variant {
    fn default() -> Self {
        Self { retries: Policy::share(), injected_bug: None }
    }
}

/// A bug put back on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[cfg_attr(feature = "schema", schemars(rename = "Plant"))]
#[serde(rename_all = "kebab-case")]
pub enum InjectedBug {
    /// The zone credit counts for more on a smaller server, and ties fall evenly.
    CreditByWeight,
    /// A draining server is left by at least one connection at each housekeeping.
    #[serde(rename = "leave-at-once")]
    DrainAtLeastOne,
    /// Whatever fails is tried again at once, as often as is allowed.
    RetryStorm,
    /// Each balancer sends a cold server what all together may.
    #[serde(rename = "cold-sum")]
    ColdBudgetNotDivided,
    /// The decisions are not told of servers that look silent, only of slow messages.
    #[serde(rename = "silence-untold")]
    UnresponsiveNotReported,
    /// Where lists are pushed, nobody opens the watch by which they come.
    #[serde(rename = "never-watch")]
    WatchNeverOpened,
    /// The decisions are not told what tenants may use.
    #[serde(rename = "tenant-blind")]
    TenantQuotasUnknown,
    /// All that a slow server holds over its limit is moved, though others are as slow.
    MoveWhenAllSlow,
}
