//! Which parts of the decisions are in force under some settings, and which are off and why.

use crate::ParsedSettings;
use marllink::{Discovery, Idempotency, Settings};
use serde::Serialize;

/// A part of the decisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Feature {
    /// Its name, the same from one version to the next.
    pub name: &'static str,
    /// It is in force.
    #[serde(rename = "on")]
    pub enabled: bool,
    /// With what figures, or why not; in words.
    #[serde(rename = "why")]
    pub reason: String,
}

fn part(name: &'static str, on: bool, yes: impl Into<String>, no: impl Into<String>) -> Feature {
    Feature { name, enabled: on, reason: if on { yes.into() } else { no.into() } }
}

/// The parts, in the order in which a request meets them.
#[must_use]
pub fn features(parsed: &ParsedSettings) -> Vec<Feature> {
    let settings = &parsed.balancing;
    let mut all = vec![list(settings)];
    all.extend(knowing(parsed));
    all.extend(placing(settings));
    all.extend(admitting(parsed));
    all.extend(again(settings));
    all
}

fn list(settings: &Settings) -> Feature {
    let why = match settings.discovery {
        Discovery::Push => "pushed: the watch is opened unasked and kept open".into(),
        Discovery::Pull => format!(
            "asked: the first call within {:.0} ms, again with growing pauses",
            settings.rules.fetch_within_ms / 4.0
        ),
    };
    Feature { name: "list", enabled: true, reason: why }
}

/// What is known of form hosts.
fn knowing(parsed: &ParsedSettings) -> Vec<Feature> {
    let settings = &parsed.balancing;
    let reports = settings.reports_load();
    let no_reports = match settings.limits.probe {
        false => "probes are not allowed",
        true => "reports hold no load over what a form host can do (x0)",
    };
    let aim = settings.strictest_message_goal();
    let no_aim = "no class has an aim for messages (messageAimMs)";
    let source = match parsed.servers_report_delay {
        true => "told by form hosts, or measured by lines and their answers",
        false => "measured by lines and their answers",
    };
    vec![
        part("reports", reports, "form hosts are asked for their load when a pick is due", no_reports),
        part("relief by load", reports, "clients leave form hosts that report too much", no_reports),
        part(
            "slow messages",
            aim.is_finite(),
            format!("{source}; over {:.0} ms some clients leave", aim),
            no_aim,
        ),
        part(
            "slow set-ups",
            !reports && aim.is_finite(),
            format!("one that takes over {aim:.0} ms closes its form host for a while"),
            if reports { "reports say more" } else { no_aim },
        ),
    ]
}

/// Where a connection goes.
fn placing(settings: &Settings) -> Vec<Feature> {
    let (zones, price) = (settings.zones, settings.prices.cross_zone);
    let rules = &settings.rules;
    vec![
        part(
            "own zone first",
            price > 0.0 && zones > 1,
            format!("crossing costs {price}, over {zones} zones"),
            if zones > 1 { "crossing zones has no price" } else { "there is one zone" },
        ),
        part(
            "groups",
            settings.group_affinity,
            "a group goes to as many form hosts as its share of all connections",
            "connections share no work",
        ),
        part(
            "bound by the mean",
            !settings.reports_load(),
            "no form host takes more than twice the mean own count",
            "reports say more",
        ),
        part(
            "cold form hosts",
            rules.warm_up_ms > 0.0 && rules.initial_capacity_ratio < 1.0,
            format!(
                "from {} of what they can do, warm after {:.0} s, never {} times that for {:.0} s by all",
                rules.initial_capacity_ratio,
                rules.warm_up_ms / 1_000.0,
                rules.collapse_load_ratio,
                rules.collapse_after_ms / 1_000.0
            ),
            "form hosts start warm",
        ),
    ]
}

/// Who is turned away.
fn admitting(parsed: &ParsedSettings) -> Vec<Feature> {
    let settings = &parsed.balancing;
    let shares = settings.tenants.iter().filter(|t| t.quota_connections > 0.0).count();
    let told: f64 = settings.tenants.iter().map(|t| t.quota_connections).sum();
    let limits = &settings.limits;
    vec![
        part(
            "tenants' shares",
            shares > 1,
            format!(
                "{shares} tenants share {told:.0} connections; above its share a tenant yields while form hosts \
                 are strained, as its connections are worth {} there",
                settings.over_quota_value_ratio
            ),
            if shares == 1 { "one tenant alone has a share" } else { "no tenant has one" },
        ),
        part(
            "advice to come again",
            limits.retry_after,
            format!("BUSY MS, {:.0} ms at most", limits.max_retry_after_ms),
            "the settings allow none (retryAfter)",
        ),
    ]
}

/// What follows an attempt that failed.
fn again(settings: &Settings) -> Vec<Feature> {
    let attempts = settings.limits.max_attempts;
    let once = settings.classes.iter().filter(|c| c.idempotency == Idempotency::Unsafe).count();
    let classes = settings.classes.len();
    vec![
        part(
            "repeated attempts",
            attempts > 1 && once < classes,
            format!(
                "{attempts} at most for a request, one at a time; {} of {classes} classes may be repeated",
                classes - once
            ),
            if attempts > 1 { "no class may run twice" } else { "one attempt is allowed" },
        ),
        part(
            "cancelled attempts",
            settings.limits.cancel,
            "where the client has left",
            "the settings allow none (mayCancel)",
        ),
        part(
            "talk between balancers",
            false,
            "",
            if settings.limits.peers { "allowed, and not used" } else { "not allowed" },
        ),
    ]
}
