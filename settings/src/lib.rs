//! The settings a balancer starts with, from their JSON text.
//!
//! The simulator's first message and a real balancer's configuration hold the same object, so it
//! is read here, once for both.

mod parts;

pub use parts::{Feature, features};

use marllink::{
    Class, DedupScope, Discovery, Idempotency, Limits, NodeId, Prices, ReportField, Rules, Settings, Tenant,
    ZoneId,
};
use serde::Deserialize;
use serde_json::Value;

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
    #[serde(default = "usual_worth")]
    over_share_worth: f64,
}

/// Where nothing is told of it, what is above a share is worth as much as the rest.
fn usual_worth() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct BootClass {
    name: String,
    goal_time_ms: f64,
    deadline_ms: f64,
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
    tells_delay: bool,
    groups: bool,
    tenant_quota_connections: Vec<f64>,
}

/// What the settings say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedSettings {
    /// What the decisions are made by.
    pub balancing: Settings,
    /// The names behind the numbers that the decisions use.
    pub names: Names,
    /// Form hosts tell how long messages take there.
    pub servers_report_delay: bool,
    /// The longest that a client of any class waits, in ms; 0 where there are no classes.
    pub max_deadline_ms: f64,
}

/// Names as peers on sockets write them, each list in the order of its ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Of the request classes.
    pub classes: NameTable,
    /// Of the tenants; may be empty.
    pub tenants: NameTable,
    /// Of the zones.
    pub zones: Vec<String>,
    /// Of the values in a load report; empty where servers report nothing.
    pub report_fields: Vec<String>,
}

/// Names by number. A number is never given to another name while the program runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NameTable {
    names: Vec<String>,
    /// Those that are no longer in the settings, and that nothing new may bear.
    withdrawn: Vec<bool>,
}

impl NameTable {
    /// The number of a name that is in force.
    #[must_use]
    pub fn id(&self, name: &str) -> Option<u16> {
        let found = self.names.iter().zip(&self.withdrawn).position(|(n, withdrawn)| n == name && !withdrawn);
        found.map(|at| at as u16)
    }

    /// The number of a name, also of one that is withdrawn.
    #[must_use]
    pub fn id_including_withdrawn(&self, name: &str) -> Option<u16> {
        self.names.iter().position(|n| n == name).map(|at| at as u16)
    }

    /// True if nothing is named.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// A table and its values that keep the numbers of those before: what is no longer named stays
    /// in its place, and what is new comes after.
    fn follow<T: Clone>(self, values: Vec<T>, before: &Self, old: &[T]) -> (Self, Vec<T>) {
        let (mut table, mut all) = (before.clone(), old.to_vec());
        table.withdrawn.fill(true);
        for (name, value) in self.names.into_iter().zip(values) {
            match table.names.iter().position(|n| *n == name) {
                Some(at) => (table.withdrawn[at], all[at]) = (false, value),
                None => {
                    table.names.push(name);
                    table.withdrawn.push(false);
                    all.push(value);
                }
            }
        }
        (table, all)
    }
}

impl FromIterator<String> for NameTable {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> Self {
        let names: Vec<_> = names.into_iter().collect();
        Self { withdrawn: vec![false; names.len()], names }
    }
}

impl ParsedSettings {
    /// These settings in place of those before, while running: classes and tenants keep their
    /// numbers by name, and what a node is stays as it was at its start.
    #[must_use]
    pub fn as_reload_of(self, before: &Self) -> Self {
        let (names, old) = (&before.names, &before.balancing);
        let (classes, class_values) =
            self.names.classes.follow(self.balancing.classes, &names.classes, &old.classes);
        let (tenants, tenant_values) =
            self.names.tenants.follow(self.balancing.tenants, &names.tenants, &old.tenants);
        Self {
            balancing: Settings {
                classes: class_values,
                tenants: tenant_values,
                node: old.node,
                zone: old.zone,
                zones: old.zones,
                discovery: old.discovery,
                ..self.balancing
            },
            names: Names { classes, tenants, zones: names.zones.clone(), ..self.names },
            ..self
        }
    }
}

/// Checks that `new` has all that `old` has: every key of an object, and in lists of objects every key
/// that all the old ones share. A default would hide that one is missing.
///
/// # Errors
/// Names the first key that is missing.
pub fn check_keys_present(old: &Value, new: &Value) -> Result<(), String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, value) in old {
                let now = new.get(key).ok_or_else(|| format!("no key \"{key}\""))?;
                check_keys_present(value, now).map_err(|e| format!("{key}: {e}"))?;
            }
            Ok(())
        }
        (Value::Array(old), Value::Array(new)) => {
            let Some(Value::Object(first)) = old.first() else { return Ok(()) };
            let shared = first.keys().filter(|key| old.iter().all(|item| item.get(key).is_some()));
            for key in shared {
                if new.iter().any(|item| item.get(key).is_none()) {
                    return Err(format!("no key \"{key}\""));
                }
            }
            Ok(())
        }
        (Value::Object(_), _) => Err("no object".into()),
        (Value::Array(_), _) => Err("no list".into()),
        _ => Ok(()),
    }
}

/// Reads the settings of one instance from their text.
///
/// # Errors
/// Fails if the text is no JSON, or if a figure that the decisions need is missing or not sound.
pub fn parse(text: &[u8]) -> Result<ParsedSettings, String> {
    from_value(serde_json::from_slice(text).map_err(|e| e.to_string())?)
}

/// Reads the settings of one instance from JSON that has been parsed before.
///
/// # Errors
/// Fails if a figure that the decisions need is missing or not sound.
pub fn from_value(value: Value) -> Result<ParsedSettings, String> {
    let boot: Boot = serde_json::from_value(value).map_err(|e| e.to_string())?;
    sound(&boot).map(|()| read(boot))
}

/// Figures that nothing could be done by, or only harm.
fn sound(boot: &Boot) -> Result<(), String> {
    let positive = |name: &str, figure: f64| {
        if figure > 0.0 && figure.is_finite() { Ok(()) } else { Err(format!("{name} is {figure}")) }
    };
    for (at, class) in boot.classes.iter().enumerate() {
        positive("deadlineMs", class.deadline_ms)?;
        positive("goalTimeMs", class.goal_time_ms)?;
        if boot.classes[..at].iter().any(|before| before.name == class.name) {
            return Err(format!("two classes \"{}\"", class.name));
        }
    }
    positive("connectTimeoutMs", boot.bounds.connect_timeout_ms)?;
    positive("maxAttempts", f64::from(boot.bounds.max_attempts))
}

fn read(boot: Boot) -> ParsedSettings {
    let reports = boot.load_report.how != "off";
    let servers_report_delay = boot.specifics.tells_delay;
    let aims = &boot.specifics.message_aim_ms;
    let classes = boot.classes.iter().enumerate().map(|(i, c)| Class {
        setup_goal_ms: c.goal_time_ms,
        idempotency: effect(c),
        value: c.importance,
        message_goal_ms: aims.get(i).copied().unwrap_or(0.0),
    });
    let fields = boot.load_report.fields.iter().map(|f| match f.as_str() {
        "rif" => ReportField::InFlight,
        "x0" => ReportField::Utilization,
        "x1" => ReportField::Backlog,
        "fail_rate" => ReportField::ErrorRate,
        _ => ReportField::Other,
    });
    let max_deadline_ms = boot.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let quotas = &boot.specifics.tenant_quota_connections;
    let quota = |at| quotas.get(at).copied().filter(|quota: &f64| quota.is_finite() && *quota > 0.0);
    let tenant = |at| Tenant { quota_connections: quota(at).unwrap_or(0.0) };
    let balancing = Settings {
        node: NodeId(boot.index),
        nodes: boot.balancers,
        zone: ZoneId(boot.zone),
        zones: boot.azs.len().min(255) as u8,
        discovery: if boot.discovery == "pushed" { Discovery::Push } else { Discovery::Pull },
        classes: classes.collect(),
        tenants: (0..boot.accounts.len()).map(tenant).collect(),
        over_quota_value_ratio: boot.over_share_worth,
        group_affinity: boot.specifics.groups,
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
            fetch_within_ms: boot.invariants.ask_within_ms,
            initial_capacity_ratio: boot.invariants.cold_from,
            warm_up_ms: boot.invariants.warm_after_ms,
            collapse_load_ratio: boot.invariants.tip_multiple,
            collapse_after_ms: boot.invariants.overload_for_ms,
        },
        prices: Prices {
            moves: boot.prices.moves,
            probe: boot.prices.probe,
            cross_zone: boot.prices.cross_zone,
            late_failure: boot.prices.late_fail,
        },
    };
    let names = Names {
        classes: boot.classes.into_iter().map(|c| c.name).collect(),
        tenants: boot.accounts.into_iter().map(|a| a.name).collect(),
        zones: boot.azs,
        report_fields: if reports { boot.load_report.fields } else { Vec::new() },
    };
    ParsedSettings { balancing, names, servers_report_delay, max_deadline_ms }
}

fn effect(class: &BootClass) -> Idempotency {
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
        // A word that is not known promises nothing.
        _ => Idempotency::Unsafe,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn settings() -> Value {
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
    fn classes_keep_their_numbers_and_one_that_vanished_takes_nothing_new() {
        let first = from_value(settings()).expect("it is sound");
        let mut next = settings();
        next["classes"][0]["name"] = "sign".into();
        next["classes"][0]["semantics"] = "once".into();
        next["classes"][1]["importance"] = 7.0.into();
        next["bounds"]["maxAttempts"] = 2.into();
        let next = from_value(next).expect("it is sound").as_reload_of(&first);
        let number =
            |parsed: &ParsedSettings| ["view", "save", "sign"].map(|name| parsed.names.classes.id(name));
        assert_eq!(number(&first), [Some(0), Some(1), None]);
        assert_eq!(number(&next), [None, Some(1), Some(2)]);
        let worths: Vec<_> = next.balancing.classes.iter().map(|c| c.value).collect();
        assert_eq!((worths, next.balancing.limits.max_attempts), (vec![3.0, 7.0, 3.0], 2));
        assert_eq!(next.balancing.classes[2].idempotency, Idempotency::Unsafe);
        // What has vanished may come back, under its old number.
        let back = from_value(settings()).expect("it is sound").as_reload_of(&next);
        assert_eq!(number(&back), [Some(0), Some(1), None]);
    }

    #[test]
    fn each_part_is_on_by_its_own_key_and_says_why_it_is_off() {
        let on = |value: &Value| {
            let parts = features(&from_value(value.clone()).expect("it is sound"));
            assert!(parts.iter().all(|part| !part.reason.is_empty()), "{parts:?}");
            parts.into_iter().filter(|part| part.enabled).map(|part| part.name).collect::<Vec<_>>()
        };
        let plain = settings();
        let usual = ["list", "bound by the mean", "cold form hosts", "repeated attempts"];
        assert_eq!(on(&plain), usual);
        let with = |pointer: &str, value: Value| {
            let mut all = plain.clone();
            let (object, key) = pointer.rsplit_once('/').expect("a path");
            all.pointer_mut(object)
                .and_then(Value::as_object_mut)
                .expect("an object")
                .insert(key.into(), value);
            let now = on(&all);
            let gained = now.iter().filter(|name| !usual.contains(name)).copied().collect::<Vec<_>>();
            let lost = usual.iter().filter(|name| !now.contains(name)).copied().collect::<Vec<_>>();
            (gained, lost)
        };
        assert_eq!(with("/specifics", json!({"groups": true})), (vec!["groups"], vec![]));
        let aims = json!({"messageAimMs": [100.0, 60.0]});
        assert_eq!(with("/specifics", aims), (vec!["slow messages", "slow set-ups"], vec![]));
        let quotas = json!({"tenantQuotaConnections": [30.0, 20.0]});
        assert_eq!(with("/specifics", quotas.clone()), (vec![], vec![]), "no tenant is named");
        let mut tenants = plain.clone();
        tenants["accounts"] = json!([{"name": "a"}, {"name": "b"}]);
        tenants["specifics"] = quotas;
        assert!(on(&tenants).contains(&"tenants' shares"));
        assert_eq!(with("/prices", json!({"crossZone": 0.1})), (vec!["own zone first"], vec![]));
        assert_eq!(with("/bounds/retryAfter", true.into()), (vec!["advice to come again"], vec![]));
        assert_eq!(with("/bounds/mayCancel", true.into()), (vec!["cancelled attempts"], vec![]));
        assert_eq!(with("/bounds/maxAttempts", 1.into()), (vec![], vec!["repeated attempts"]));
        assert_eq!(with("/invariants/coldFrom", 1.0.into()), (vec![], vec!["cold form hosts"]));
        assert_eq!(with("/bounds/mayProbe", true.into()), (vec![], vec![]), "probed, and nothing reported");
        let mut reports = plain.clone();
        reports["bounds"]["mayProbe"] = true.into();
        reports["loadReport"] = json!({"fields": ["x0"], "how": "probe"});
        assert_eq!(
            on(&reports),
            ["list", "reports", "relief by load", "cold form hosts", "repeated attempts"]
        );
    }

    #[test]
    fn a_file_that_lacks_any_key_or_has_a_figure_that_is_not_sound_is_refused() {
        fn leaves(value: &Value, at: &str, all: &mut Vec<(String, String)>) {
            let inner: Vec<_> = match value {
                Value::Object(map) => map.iter().map(|(k, v)| (k.clone(), v)).collect(),
                Value::Array(list) => list.iter().enumerate().map(|(i, v)| (i.to_string(), v)).collect(),
                _ => Vec::new(),
            };
            for (key, value) in inner {
                if key.parse::<usize>().is_err() {
                    all.push((at.to_owned(), key.clone()));
                }
                leaves(value, &format!("{at}/{key}"), all);
            }
        }
        let whole = settings();
        let mut keys = Vec::new();
        leaves(&whole, "", &mut keys);
        assert_eq!(keys.len(), 25);
        for (at, key) in keys {
            let mut short = whole.clone();
            let object = short.pointer_mut(&at).and_then(Value::as_object_mut).expect("an object");
            object.remove(&key);
            assert!(check_keys_present(&whole, &short).is_err(), "{at}/{key}");
        }
        assert_eq!(check_keys_present(&whole, &whole), Ok(()));
        let wrong = [
            ("/classes/1/deadlineMs", json!(0)),
            ("/classes/1/deadlineMs", json!(-3.5)),
            ("/classes/0/goalTimeMs", json!(0.0)),
            ("/classes/0/name", json!("save")),
            ("/bounds/maxAttempts", json!(0)),
            ("/bounds/maxAttempts", json!(-1)),
            ("/bounds/connectTimeoutMs", json!(0)),
        ];
        for (at, value) in wrong {
            let mut bad = whole.clone();
            *bad.pointer_mut(at).expect("it is there") = value;
            assert!(from_value(bad).is_err(), "{at}");
        }
    }
}
