//! Parses the settings of a balancer from JSON.
//!
//! The simulator's first message and the configuration file of a deployed balancer contain the same object, so both use
//! this crate.

mod parts;

pub use parts::{Feature, features};

use marllink::{
    Class, DedupScope, Discovery, Idempotency, Limits, NodeId, Prices, ReportField, Rules, Settings, Tenant,
    ZoneId,
};
use serde::Deserialize;
use serde_json::Value;

/// The settings object with the key names of the platform. Unknown keys are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawSettings {
    /// Number of this balancer.
    index: u16,
    /// Number of balancers in the fleet.
    balancers: u16,
    /// Zone of this balancer, as an index into `azs`.
    zone: u8,
    /// Names of the zones.
    #[serde(default)]
    azs: Vec<String>,
    /// `pushed` if discovery sends changes of the server list; with any other value the balancer fetches the list.
    discovery: String,
    classes: Vec<RawClass>,
    #[serde(default)]
    accounts: Vec<RawTenant>,
    bounds: RawLimits,
    invariants: RawRules,
    #[serde(default)]
    load_report: RawLoadReport,
    #[serde(default)]
    prices: RawPrices,
    #[serde(default)]
    specifics: RawExtensions,
    /// Value of a connection of a tenant above its quota, relative to its usual value.
    #[serde(default = "default_over_quota_value")]
    over_share_worth: f64,
}

/// By default, connections above a tenant's quota have the same value as the others.
fn default_over_quota_value() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawClass {
    name: String,
    goal_time_ms: f64,
    deadline_ms: f64,
    /// `repeatable` if attempts may be repeated, `by_key` if servers deduplicate them; with any other value an attempt
    /// that may have run is not repeated.
    semantics: String,
    /// Where `by_key` deduplication applies: `all` or `zone`; with any other value, within a cell.
    #[serde(default)]
    dedup_scope: String,
    /// Time within which servers deduplicate attempts.
    #[serde(default)]
    repeat_window_ms: f64,
    /// Value of a request, relative to the other classes.
    importance: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawTenant {
    #[serde(default)]
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawLimits {
    connect_timeout_ms: f64,
    max_attempts: u8,
    /// True if attempts may be cancelled.
    #[serde(default)]
    may_cancel: bool,
    /// True if servers may be probed for their load.
    #[serde(default)]
    may_probe: bool,
    /// True if balancers may send each other messages.
    #[serde(default)]
    peers: bool,
    /// True if rejected clients may receive a retry delay.
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawRules {
    /// Time within which the balancer must fetch the server list, if discovery does not push it.
    ask_within_ms: f64,
    /// Share of its capacity that a server has when it starts.
    cold_from: f64,
    /// Time until a started server has its full capacity.
    warm_after_ms: f64,
    /// Load relative to its current capacity above which a server in slow start collapses.
    tip_multiple: f64,
    /// Duration of such a load until the server collapses.
    overload_for_ms: f64,
}

#[derive(Deserialize, Default)]
struct RawLoadReport {
    /// Names of the values in a report, in order.
    #[serde(default)]
    fields: Vec<String>,
    /// How reports are obtained; `off` if servers do not report load.
    #[serde(default)]
    how: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct RawPrices {
    moves: f64,
    probe: f64,
    cross_zone: f64,
    late_fail: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct RawExtensions {
    /// Latency goal for messages on an open connection, by class; 0 for none.
    message_aim_ms: Vec<f64>,
    /// True if servers report how long messages take.
    tells_delay: bool,
    /// True if connections of one group share work on the server that holds them.
    groups: bool,
    /// Quota of open connections over all balancers, by tenant; 0 for none.
    tenant_quota_connections: Vec<f64>,
}

/// The settings of a balancer, parsed and validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedSettings {
    /// Settings of the balancing decisions.
    pub balancing: Settings,
    /// Names for the numeric ids that the balancing decisions use.
    pub names: Names,
    /// True if servers report how long messages take.
    pub servers_report_delay: bool,
    /// Longest deadline of all classes, in milliseconds; 0 if there are no classes.
    pub max_deadline_ms: f64,
}

/// Names as they appear in the socket protocols, each list in the order of its ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Request classes.
    pub classes: NameTable,
    /// Tenants; may be empty.
    pub tenants: NameTable,
    /// Zones.
    pub zones: Vec<String>,
    /// Fields of a load report; empty if servers do not report load.
    pub report_fields: Vec<String>,
}

/// Names by id. While the process runs, an id is never assigned to another name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NameTable {
    names: Vec<String>,
    /// By id: true if the name is no longer in the settings.
    withdrawn: Vec<bool>,
}

impl NameTable {
    /// Returns the id of a name in the current settings.
    #[must_use]
    pub fn id(&self, name: &str) -> Option<u16> {
        let found = self.names.iter().zip(&self.withdrawn).position(|(n, withdrawn)| n == name && !withdrawn);
        found.map(|index| index as u16)
    }

    /// Returns the id of a name, even if the name has been withdrawn from the settings.
    #[must_use]
    pub fn id_including_withdrawn(&self, name: &str) -> Option<u16> {
        self.names.iter().position(|n| n == name).map(|index| index as u16)
    }

    /// Returns true if the table has no names.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Merges this table and its values into the previous ones, which keep their ids: names that are no longer present
    /// keep their entry and are marked as withdrawn, and new names are appended.
    fn merge_into<T: Clone>(self, values: Vec<T>, previous: &Self, previous_values: &[T]) -> (Self, Vec<T>) {
        let (mut table, mut merged_values) = (previous.clone(), previous_values.to_vec());
        table.withdrawn.fill(true);
        for (name, value) in self.names.into_iter().zip(values) {
            match table.names.iter().position(|n| *n == name) {
                Some(index) => (table.withdrawn[index], merged_values[index]) = (false, value),
                None => {
                    table.names.push(name);
                    table.withdrawn.push(false);
                    merged_values.push(value);
                }
            }
        }
        (table, merged_values)
    }
}

impl FromIterator<String> for NameTable {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> Self {
        let names: Vec<_> = names.into_iter().collect();
        Self { withdrawn: vec![false; names.len()], names }
    }
}

impl ParsedSettings {
    /// Converts these settings for a reload of a running balancer: classes and tenants keep the ids that they have in
    /// the previous settings, and the identity of the node, its zone and its kind of discovery do not change.
    #[must_use]
    pub fn as_reload_of(self, previous: &Self) -> Self {
        let (previous_names, previous_settings) = (&previous.names, &previous.balancing);
        let (classes, class_values) = self.names.classes.merge_into(
            self.balancing.classes,
            &previous_names.classes,
            &previous_settings.classes,
        );
        let (tenants, tenant_values) = self.names.tenants.merge_into(
            self.balancing.tenants,
            &previous_names.tenants,
            &previous_settings.tenants,
        );
        Self {
            balancing: Settings {
                classes: class_values,
                tenants: tenant_values,
                node: previous_settings.node,
                zone: previous_settings.zone,
                zones: previous_settings.zones,
                discovery: previous_settings.discovery,
                ..self.balancing
            },
            names: Names { classes, tenants, zones: previous_names.zones.clone(), ..self.names },
            ..self
        }
    }
}

/// Checks that `new` contains every key of `old`: every key of an object, and in a list of objects every key that is
/// common to all old items. Without this check, a default would silently replace a missing key.
///
/// # Errors
/// Returns the first missing key.
pub fn check_keys_present(old: &Value, new: &Value) -> Result<(), String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, value) in old {
                let new_value = new.get(key).ok_or_else(|| format!("key \"{key}\" is missing"))?;
                check_keys_present(value, new_value).map_err(|e| format!("{key}: {e}"))?;
            }
            Ok(())
        }
        (Value::Array(old), Value::Array(new)) => {
            let Some(Value::Object(first)) = old.first() else { return Ok(()) };
            let common_keys = first.keys().filter(|key| old.iter().all(|item| item.get(key).is_some()));
            for key in common_keys {
                if new.iter().any(|item| item.get(key).is_none()) {
                    return Err(format!("key \"{key}\" is missing"));
                }
            }
            Ok(())
        }
        (Value::Object(_), _) => Err("not an object".into()),
        (Value::Array(_), _) => Err("not a list".into()),
        _ => Ok(()),
    }
}

/// Parses the settings of one instance from JSON text.
///
/// # Errors
/// Fails if the text is not valid JSON, or if a required value is missing or invalid.
pub fn parse(text: &[u8]) -> Result<ParsedSettings, String> {
    from_value(serde_json::from_slice(text).map_err(|e| e.to_string())?)
}

/// Converts the settings of one instance from a JSON value.
///
/// # Errors
/// Fails if a required value is missing or invalid.
pub fn from_value(value: Value) -> Result<ParsedSettings, String> {
    let raw: RawSettings = serde_json::from_value(value).map_err(|e| e.to_string())?;
    validate(&raw).map(|()| convert(raw))
}

/// Rejects values with which no request could be served.
fn validate(raw: &RawSettings) -> Result<(), String> {
    let require_positive = |name: &str, value: f64| {
        if value > 0.0 && value.is_finite() {
            Ok(())
        } else {
            Err(format!("{name} is {value}, but must be positive and finite"))
        }
    };
    for (index, class) in raw.classes.iter().enumerate() {
        require_positive("deadlineMs", class.deadline_ms)?;
        require_positive("goalTimeMs", class.goal_time_ms)?;
        if raw.classes[..index].iter().any(|other| other.name == class.name) {
            return Err(format!("duplicate class \"{}\"", class.name));
        }
    }
    require_positive("connectTimeoutMs", raw.bounds.connect_timeout_ms)?;
    require_positive("maxAttempts", f64::from(raw.bounds.max_attempts))
}

fn convert(raw: RawSettings) -> ParsedSettings {
    let reports_enabled = raw.load_report.how != "off";
    let servers_report_delay = raw.specifics.tells_delay;
    let message_goals_ms = &raw.specifics.message_aim_ms;
    let classes = raw.classes.iter().enumerate().map(|(i, c)| Class {
        setup_goal_ms: c.goal_time_ms,
        idempotency: idempotency(c),
        value: c.importance,
        message_goal_ms: message_goals_ms.get(i).copied().unwrap_or(0.0),
    });
    let fields = raw.load_report.fields.iter().map(|f| match f.as_str() {
        "rif" => ReportField::InFlight,
        "x0" => ReportField::Utilization,
        "x1" => ReportField::Backlog,
        "fail_rate" => ReportField::ErrorRate,
        _ => ReportField::Other,
    });
    let max_deadline_ms = raw.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let quotas = &raw.specifics.tenant_quota_connections;
    let quota = |index| quotas.get(index).copied().filter(|quota: &f64| quota.is_finite() && *quota > 0.0);
    let tenant = |index| Tenant { quota_connections: quota(index).unwrap_or(0.0) };
    let balancing = Settings {
        node: NodeId(raw.index),
        nodes: raw.balancers,
        zone: ZoneId(raw.zone),
        zones: raw.azs.len().min(255) as u8,
        discovery: if raw.discovery == "pushed" { Discovery::Push } else { Discovery::Pull },
        classes: classes.collect(),
        tenants: (0..raw.accounts.len()).map(tenant).collect(),
        over_quota_value_ratio: raw.over_share_worth,
        group_affinity: raw.specifics.groups,
        report_fields: if reports_enabled { fields.collect() } else { Vec::new() },
        limits: Limits {
            connect_timeout_ms: raw.bounds.connect_timeout_ms,
            max_attempts: raw.bounds.max_attempts,
            cancel: raw.bounds.may_cancel,
            probe: raw.bounds.may_probe,
            peers: raw.bounds.peers,
            retry_after: raw.bounds.retry_after,
            max_retry_after_ms: raw.bounds.max_retry_after_ms,
        },
        rules: Rules {
            fetch_within_ms: raw.invariants.ask_within_ms,
            initial_capacity_ratio: raw.invariants.cold_from,
            warm_up_ms: raw.invariants.warm_after_ms,
            collapse_load_ratio: raw.invariants.tip_multiple,
            collapse_after_ms: raw.invariants.overload_for_ms,
        },
        prices: Prices {
            moves: raw.prices.moves,
            probe: raw.prices.probe,
            cross_zone: raw.prices.cross_zone,
            late_failure: raw.prices.late_fail,
        },
    };
    let names = Names {
        classes: raw.classes.into_iter().map(|c| c.name).collect(),
        tenants: raw.accounts.into_iter().map(|a| a.name).collect(),
        zones: raw.azs,
        report_fields: if reports_enabled { raw.load_report.fields } else { Vec::new() },
    };
    ParsedSettings { balancing, names, servers_report_delay, max_deadline_ms }
}

fn idempotency(class: &RawClass) -> Idempotency {
    match class.semantics.as_str() {
        "repeatable" => Idempotency::Safe,
        "by_key" => {
            let scope = match class.dedup_scope.as_str() {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                _ => DedupScope::Cell,
            };
            Idempotency::Keyed { scope, window_ms: class.repeat_window_ms }
        }
        // Unknown semantics are treated as unsafe to repeat.
        _ => Idempotency::Unsafe,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn example() -> Value {
        let class = |name: &str, importance: f64| {
            json!({"name": name, "goalTimeMs": 800.0, "deadlineMs": 4800.0, "semantics": "repeatable",
                "importance": importance})
        };
        json!({"index": 0, "balancers": 2, "zone": 0, "azs": ["a", "b"], "discovery": "on_request",
            "classes": [class("view", 3.0), class("save", 5.0)],
            "bounds": {"connectTimeoutMs": 200.0, "maxAttempts": 5},
            "invariants": {"askWithinMs": 10000.0, "coldFrom": 0.3, "warmAfterMs": 9000.0, "tipMultiple": 3.0,
                "overloadForMs": 3000.0}})
    }

    #[test]
    fn classes_keep_their_ids_across_reloads_and_ids_of_removed_classes_are_not_reused() {
        let initial = from_value(example()).expect("the settings are valid");
        let mut next = example();
        next["classes"][0]["name"] = "sign".into();
        next["classes"][0]["semantics"] = "once".into();
        next["classes"][1]["importance"] = 7.0.into();
        next["bounds"]["maxAttempts"] = 2.into();
        let reloaded = from_value(next).expect("the settings are valid").as_reload_of(&initial);
        let ids =
            |parsed: &ParsedSettings| ["view", "save", "sign"].map(|name| parsed.names.classes.id(name));
        assert_eq!(ids(&initial), [Some(0), Some(1), None]);
        assert_eq!(ids(&reloaded), [None, Some(1), Some(2)]);
        let values: Vec<_> = reloaded.balancing.classes.iter().map(|c| c.value).collect();
        assert_eq!((values, reloaded.balancing.limits.max_attempts), (vec![3.0, 7.0, 3.0], 2));
        assert_eq!(reloaded.balancing.classes[2].idempotency, Idempotency::Unsafe);
        // A class that is added again takes its previous id.
        let restored = from_value(example()).expect("the settings are valid").as_reload_of(&reloaded);
        assert_eq!(ids(&restored), [Some(0), Some(1), None]);
    }

    #[test]
    fn each_feature_is_enabled_by_its_own_key_and_gives_a_reason() {
        let enabled = |value: &Value| {
            let features = features(&from_value(value.clone()).expect("the settings are valid"));
            assert!(features.iter().all(|feature| !feature.reason.is_empty()), "{features:?}");
            features
                .into_iter()
                .filter(|feature| feature.enabled)
                .map(|feature| feature.name)
                .collect::<Vec<_>>()
        };
        let baseline = example();
        let default_features = ["list", "bound by the mean", "cold form hosts", "repeated attempts"];
        assert_eq!(enabled(&baseline), default_features);
        let with = |pointer: &str, value: Value| {
            let mut changed = baseline.clone();
            let (object, key) = pointer.rsplit_once('/').expect("the pointer contains a slash");
            changed
                .pointer_mut(object)
                .and_then(Value::as_object_mut)
                .expect("the parent is an object")
                .insert(key.into(), value);
            let now_enabled = enabled(&changed);
            let gained = now_enabled
                .iter()
                .filter(|name| !default_features.contains(name))
                .copied()
                .collect::<Vec<_>>();
            let lost = default_features
                .iter()
                .filter(|name| !now_enabled.contains(name))
                .copied()
                .collect::<Vec<_>>();
            (gained, lost)
        };
        assert_eq!(with("/specifics", json!({"groups": true})), (vec!["groups"], vec![]));
        let message_goals = json!({"messageAimMs": [100.0, 60.0]});
        assert_eq!(with("/specifics", message_goals), (vec!["slow messages", "slow set-ups"], vec![]));
        let quotas = json!({"tenantQuotaConnections": [30.0, 20.0]});
        assert_eq!(with("/specifics", quotas.clone()), (vec![], vec![]), "there are no tenants");
        let mut tenants = baseline.clone();
        tenants["accounts"] = json!([{"name": "a"}, {"name": "b"}]);
        tenants["specifics"] = quotas;
        assert!(enabled(&tenants).contains(&"tenants' shares"));
        assert_eq!(with("/prices", json!({"crossZone": 0.1})), (vec!["own zone first"], vec![]));
        assert_eq!(with("/bounds/retryAfter", true.into()), (vec!["advice to come again"], vec![]));
        assert_eq!(with("/bounds/mayCancel", true.into()), (vec!["cancelled attempts"], vec![]));
        assert_eq!(with("/bounds/maxAttempts", 1.into()), (vec![], vec!["repeated attempts"]));
        assert_eq!(with("/invariants/coldFrom", 1.0.into()), (vec![], vec!["cold form hosts"]));
        assert_eq!(
            with("/bounds/mayProbe", true.into()),
            (vec![], vec![]),
            "probes are allowed, but servers report no load"
        );
        let mut reports = baseline.clone();
        reports["bounds"]["mayProbe"] = true.into();
        reports["loadReport"] = json!({"fields": ["x0"], "how": "probe"});
        assert_eq!(
            enabled(&reports),
            ["list", "reports", "relief by load", "cold form hosts", "repeated attempts"]
        );
    }

    #[test]
    fn settings_with_a_missing_key_or_an_invalid_value_are_refused() {
        fn collect_keys(value: &Value, path: &str, keys: &mut Vec<(String, String)>) {
            let children: Vec<_> = match value {
                Value::Object(map) => map.iter().map(|(k, v)| (k.clone(), v)).collect(),
                Value::Array(list) => list.iter().enumerate().map(|(i, v)| (i.to_string(), v)).collect(),
                _ => Vec::new(),
            };
            for (key, value) in children {
                if key.parse::<usize>().is_err() {
                    keys.push((path.to_owned(), key.clone()));
                }
                collect_keys(value, &format!("{path}/{key}"), keys);
            }
        }
        let complete = example();
        let mut keys = Vec::new();
        collect_keys(&complete, "", &mut keys);
        assert_eq!(keys.len(), 25);
        for (path, key) in keys {
            let mut incomplete = complete.clone();
            let object = incomplete
                .pointer_mut(&path)
                .and_then(Value::as_object_mut)
                .expect("the parent is an object");
            object.remove(&key);
            assert!(check_keys_present(&complete, &incomplete).is_err(), "{path}/{key}");
        }
        assert_eq!(check_keys_present(&complete, &complete), Ok(()));
        let invalid_values = [
            ("/classes/1/deadlineMs", json!(0)),
            ("/classes/1/deadlineMs", json!(-3.5)),
            ("/classes/0/goalTimeMs", json!(0.0)),
            ("/classes/0/name", json!("save")),
            ("/bounds/maxAttempts", json!(0)),
            ("/bounds/maxAttempts", json!(-1)),
            ("/bounds/connectTimeoutMs", json!(0)),
        ];
        for (path, value) in invalid_values {
            let mut invalid = complete.clone();
            *invalid.pointer_mut(path).expect("the key exists") = value;
            assert!(from_value(invalid).is_err(), "{path}");
        }
    }
}
