//! The settings a balancer starts with, from their JSON text.
//!
//! The simulator's first message and a real balancer's configuration hold the same object, so it
//! is read here, once for both.

use marllink::{
    Class, Discovery, Effect, KeyScope, Limits, NodeId, Prices, ReportField, Rules, Settings, Tenant, ZoneId,
};
use serde::Deserialize;

/// What a key means is told in the wire's own words; keys that are not listed are skipped.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Boot {
    index: u16,
    balancers: u16,
    zone: u8,
    #[serde(default)]
    azs: Vec<String>,
    discovery: String,
    classes: Vec<BootClass>,
    #[serde(default)]
    accounts: Vec<Account>,
    bounds: Bounds,
    invariants: Invariants,
    #[serde(default)]
    load_report: LoadReport,
    #[serde(default)]
    prices: BootPrices,
    #[serde(default)]
    specifics: Specifics,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct BootClass {
    #[serde(default)]
    name: String,
    goal_time_ms: f64,
    semantics: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    repeat_window_ms: f64,
    importance: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Account {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    connect_timeout_ms: f64,
    max_attempts: u8,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    may_probe: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Invariants {
    ask_within_ms: f64,
    cold_from: f64,
    warm_after_ms: f64,
    tip_multiple: f64,
    overload_for_ms: f64,
}

#[derive(Deserialize, Default)]
struct LoadReport {
    #[serde(default)]
    fields: Vec<String>,
    #[serde(default)]
    how: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct BootPrices {
    moves: f64,
    probe: f64,
    cross_zone: f64,
    late_fail: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Specifics {
    message_aim_ms: Vec<f64>,
}

/// What the settings say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parsed {
    /// What the decisions are made by.
    pub decisions: Settings,
    /// The names behind the numbers that the decisions use.
    pub names: Names,
}

/// Names as peers on sockets write them, each list in the order of its ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Of the request classes.
    pub classes: Vec<String>,
    /// Of the tenants; may be empty.
    pub tenants: Vec<String>,
    /// Of the zones.
    pub zones: Vec<String>,
    /// Of the values in a load report; empty where servers report nothing.
    pub report_fields: Vec<String>,
}

/// Reads the settings of one instance from their text.
///
/// # Errors
/// Fails if the text is no JSON, or if a figure that the decisions need is missing.
pub fn parse(text: &[u8]) -> Result<Parsed, serde_json::Error> {
    serde_json::from_slice(text).map(read)
}

/// Reads the settings of one instance from JSON that has been parsed before.
///
/// # Errors
/// Fails if a figure that the decisions need is missing.
pub fn from_value(value: serde_json::Value) -> Result<Parsed, serde_json::Error> {
    serde_json::from_value(value).map(read)
}

fn read(boot: Boot) -> Parsed {
    let reports = boot.load_report.how != "off";
    let aims = &boot.specifics.message_aim_ms;
    let classes = boot.classes.iter().enumerate().map(|(i, c)| Class {
        aim_ms: c.goal_time_ms,
        effect: effect(c),
        worth: c.importance,
        message_aim_ms: aims.get(i).copied().unwrap_or(0.0),
    });
    let fields = boot.load_report.fields.iter().map(|f| match f.as_str() {
        "rif" => ReportField::InFlight,
        "x0" => ReportField::Utilization,
        "x1" => ReportField::Backlog,
        "fail_rate" => ReportField::ErrorRate,
        _ => ReportField::Other,
    });
    let decisions = Settings {
        node: NodeId(boot.index),
        nodes: boot.balancers,
        zone: ZoneId(boot.zone),
        zones: boot.azs.len().min(255) as u8,
        discovery: if boot.discovery == "pushed" { Discovery::Push } else { Discovery::Ask },
        classes: classes.collect(),
        tenants: boot.accounts.iter().map(|a| Tenant { quota_per_s: a.quota_per_s }).collect(),
        report_fields: if reports { fields.collect() } else { Vec::new() },
        limits: Limits {
            connect_timeout_ms: boot.bounds.connect_timeout_ms,
            max_attempts: boot.bounds.max_attempts,
            cancel: boot.bounds.may_cancel,
            probe: boot.bounds.may_probe,
            peers: boot.bounds.peers,
            retry_after: boot.bounds.retry_after,
            max_retry_after_ms: boot.bounds.max_retry_after_ms,
        },
        rules: Rules {
            ask_within_ms: boot.invariants.ask_within_ms,
            cold_from: boot.invariants.cold_from,
            warm_after_ms: boot.invariants.warm_after_ms,
            tip_multiple: boot.invariants.tip_multiple,
            overload_for_ms: boot.invariants.overload_for_ms,
        },
        prices: Prices {
            moves: boot.prices.moves,
            probe: boot.prices.probe,
            cross_zone: boot.prices.cross_zone,
            late_fail: boot.prices.late_fail,
        },
    };
    let names = Names {
        classes: boot.classes.into_iter().map(|c| c.name).collect(),
        tenants: boot.accounts.into_iter().map(|a| a.name).collect(),
        zones: boot.azs,
        report_fields: if reports { boot.load_report.fields } else { Vec::new() },
    };
    Parsed { decisions, names }
}

fn effect(class: &BootClass) -> Effect {
    match class.semantics.as_str() {
        "repeatable" => Effect::Safe,
        "by_key" => {
            let scope = match class.dedup_scope.as_str() {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                _ => KeyScope::Cell,
            };
            Effect::Keyed { scope, window_ms: class.repeat_window_ms }
        }
        // A word that is not known promises nothing.
        _ => Effect::Unsafe,
    }
}
