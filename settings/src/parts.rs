//! Features of the balancing decisions: which are enabled under the given settings, and why the others are not.

use crate::ParsedSettings;
use marllink::{Discovery, Idempotency, Settings};
use serde::Serialize;

/// A feature of the balancing decisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Feature {
    /// Name of the feature. It is stable across versions.
    pub name: &'static str,
    /// True if the feature is enabled.
    #[serde(rename = "on")]
    pub enabled: bool,
    /// Description of the effective values, or of why the feature is disabled.
    #[serde(rename = "why")]
    pub reason: String,
}

fn feature(
    name: &'static str,
    enabled: bool,
    when_enabled: impl Into<String>,
    when_disabled: impl Into<String>,
) -> Feature {
    Feature { name, enabled, reason: if enabled { when_enabled.into() } else { when_disabled.into() } }
}

/// Returns all features, in the order in which they apply to a request.
#[must_use]
pub fn features(parsed: &ParsedSettings) -> Vec<Feature> {
    let settings = &parsed.balancing;
    let mut features = vec![server_list(settings)];
    features.extend(load_observation(parsed));
    features.extend(placement(settings));
    features.extend(admission(parsed));
    features.extend(retries(settings));
    features
}

fn server_list(settings: &Settings) -> Feature {
    let reason = match settings.discovery {
        Discovery::Push => "pushed: discovery sends changes over a watch that stays open".into(),
        Discovery::Pull => format!(
            "polled: the first fetch within {:.0} ms, retried with increasing delays",
            settings.rules.fetch_within_ms / 4.0
        ),
    };
    Feature { name: "list", enabled: true, reason }
}

/// How the load of servers is observed.
fn load_observation(parsed: &ParsedSettings) -> Vec<Feature> {
    let settings = &parsed.balancing;
    let has_reports = settings.reports_load();
    let no_reports_reason = match settings.limits.probe {
        false => "probes are not allowed",
        true => "load reports contain no utilization (x0)",
    };
    let message_goal_ms = settings.strictest_message_goal();
    let no_goal_reason = "no class has a latency goal for messages (messageAimMs)";
    let source = match parsed.servers_report_delay {
        true => "reported by servers, or measured from lines and their replies",
        false => "measured from lines and their replies",
    };
    vec![
        feature("reports", has_reports, "servers are probed for their load before a pick", no_reports_reason),
        feature(
            "relief by load",
            has_reports,
            "clients are moved away from servers that report overload",
            no_reports_reason,
        ),
        feature(
            "slow messages",
            message_goal_ms.is_finite(),
            format!("{source}; above {:.0} ms some clients are moved to other servers", message_goal_ms),
            no_goal_reason,
        ),
        feature(
            "slow set-ups",
            !has_reports && message_goal_ms.is_finite(),
            format!(
                "a setup that takes longer than {message_goal_ms:.0} ms excludes its server from picks for a while"
            ),
            if has_reports { "load reports are more precise" } else { no_goal_reason },
        ),
    ]
}

/// How a server is selected for a connection.
fn placement(settings: &Settings) -> Vec<Feature> {
    let (zones, crossing_price) = (settings.zones, settings.prices.cross_zone);
    let rules = &settings.rules;
    vec![
        feature(
            "own zone first",
            crossing_price > 0.0 && zones > 1,
            format!("crossing costs {crossing_price}, among {zones} zones"),
            if zones > 1 { "crossing zones has no price" } else { "there is only one zone" },
        ),
        feature(
            "groups",
            settings.group_affinity,
            "a group is spread over a fraction of the servers that equals its share of all connections",
            "connections of a group share no work",
        ),
        feature(
            "bound by the mean",
            !settings.reports_load(),
            "no server gets more than twice the mean number of this balancer's connections",
            "load reports are more precise",
        ),
        feature(
            "cold form hosts",
            rules.warm_up_ms > 0.0 && rules.initial_capacity_ratio < 1.0,
            format!(
                "from {} of a server's capacity to all of it after {:.0} s, and never {} times its \
                 current capacity for {:.0} s over all balancers",
                rules.initial_capacity_ratio,
                rules.warm_up_ms / 1_000.0,
                rules.collapse_load_ratio,
                rules.collapse_after_ms / 1_000.0
            ),
            "servers start at full capacity",
        ),
    ]
}

/// Which requests are rejected.
fn admission(parsed: &ParsedSettings) -> Vec<Feature> {
    let settings = &parsed.balancing;
    let tenants_with_quota = settings.tenants.iter().filter(|t| t.quota_connections > 0.0).count();
    let total_connections: f64 = settings.tenants.iter().map(|t| t.quota_connections).sum();
    let limits = &settings.limits;
    vec![
        feature(
            "tenants' shares",
            tenants_with_quota > 1,
            format!(
                "{tenants_with_quota} tenants have quotas of {total_connections:.0} connections in total; while \
                 servers are overloaded, a tenant above its quota yields to others, and its connections have {} \
                 times their usual value",
                settings.over_quota_value_ratio
            ),
            if tenants_with_quota == 1 { "only one tenant has a quota" } else { "no tenant has a quota" },
        ),
        feature(
            "advice to come again",
            limits.retry_after,
            format!("BUSY MS, {:.0} ms at most", limits.max_retry_after_ms),
            "not allowed by the settings (retryAfter)",
        ),
    ]
}

/// What happens after a failed attempt.
fn retries(settings: &Settings) -> Vec<Feature> {
    let attempts = settings.limits.max_attempts;
    let unsafe_class_count = settings.classes.iter().filter(|c| c.idempotency == Idempotency::Unsafe).count();
    let class_count = settings.classes.len();
    vec![
        feature(
            "repeated attempts",
            attempts > 1 && unsafe_class_count < class_count,
            format!(
                "at most {attempts} attempts for each request, one at a time; {} of {class_count} classes allow \
                 retries",
                class_count - unsafe_class_count
            ),
            if attempts > 1 { "no class allows retries" } else { "only one attempt is allowed" },
        ),
        feature(
            "cancelled attempts",
            settings.limits.cancel,
            "after the client has disconnected",
            "not allowed by the settings (mayCancel)",
        ),
        feature(
            "talk between balancers",
            false,
            "",
            if settings.limits.peers { "allowed, but not used" } else { "not allowed" },
        ),
    ]
}
