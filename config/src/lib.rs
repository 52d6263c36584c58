//! The operators' file: a JSON file that enables optional features in addition to the platform's own configuration.
//!
//! The JSON schema is derived from the types. Every file is validated against it before it is deserialized, so that an
//! error names the location in the file, what was found there and what is expected. An invalid file is rejected as a
//! whole.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use std::path::PathBuf;

/// Contents of the operators' file. Features that are left out are disabled.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Resumable sessions, which survive the loss of the server that holds them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Sessions")]
    pub sessions: Option<Sessions>,
    /// Persistent store, from which the balancer restores its server list after a restart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Store")]
    pub store: Option<Store>,
}

/// Settings of the persistent store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Directory of the store. Each balancer needs a directory of its own. A relative path is resolved against the
    /// directory of this file.
    #[schemars(length(min = 1))]
    pub folder: PathBuf,
    /// Maximum age of a restored server list that is trusted, in seconds. Each server of an older list is probed
    /// before it receives traffic.
    #[serde(default = "default_trusted_s")]
    #[schemars(range(min = 1, max = 86_400))]
    pub trusted_s: u32,
    /// Maximum number of servers of a restored list that are probed concurrently.
    #[serde(default = "default_concurrent_probes", rename = "asked_at_once")]
    #[schemars(range(min = 1, max = 256))]
    pub concurrent_probes: u16,
}

/// Settings of resumable sessions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Sessions {
    /// File with the keys that encrypt session tokens. A relative path is resolved against the directory of this
    /// file.
    #[schemars(length(min = 1))]
    pub keys: PathBuf,
    /// Number of lease replicas of a session: 1, 3 or 5 servers store its saved fields, and any minority of them may
    /// fail at the same time.
    #[serde(default = "default_replicas", rename = "keepers")]
    #[schemars(extend("enum" = [1, 3, 5]))]
    pub replicas: u8,
    /// Duration of a lease, in milliseconds. A server that is cut off from the balancer releases its sessions after
    /// this time.
    #[serde(default = "default_lease_ms")]
    #[schemars(range(min = 200, max = 30_000))]
    pub lease_ms: u32,
    /// Maximum difference between the clock rates of two machines, in percent.
    #[serde(default = "default_clock_drift_percent")]
    #[schemars(range(min = 0, max = 20))]
    pub clock_drift_percent: u8,
    /// Validity period of a session token, in seconds.
    #[serde(default = "default_token_s")]
    #[schemars(range(min = 10, max = 86_400))]
    pub token_s: u32,
    /// Maximum size of the journal of one session, in KiB.
    #[serde(default = "default_max_journal_kib", rename = "journal_kib")]
    #[schemars(range(min = 1, max = 512))]
    pub max_journal_kib: u32,
    /// Maximum total size of all journals of a balancer, in MiB.
    #[serde(default = "default_max_total_journals_mib", rename = "journals_mib")]
    #[schemars(range(min = 1, max = 16_384))]
    pub max_total_journals_mib: u32,
    /// Maximum number of unconfirmed saves of one session.
    #[serde(default = "default_max_unconfirmed_saves", rename = "window")]
    #[schemars(range(min = 1, max = 4_096))]
    pub max_unconfirmed_saves: u32,
    /// Maximum number of sessions of a balancer, including those whose client is disconnected.
    #[serde(default = "default_max_sessions", rename = "most_sessions")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub max_sessions: u32,
    /// Timeout of a claim on a session, in milliseconds.
    #[serde(default = "default_claim_timeout_ms", rename = "claim_ms")]
    #[schemars(range(min = 50, max = 10_000))]
    pub claim_timeout_ms: u32,
    /// Maximum number of servers that a balancer uses as lease replicas of new sessions.
    #[serde(default = "default_max_links", rename = "most_links")]
    #[schemars(range(min = 1, max = 1_024))]
    pub max_links: u32,
}

fn default_trusted_s() -> u32 {
    10
}
fn default_concurrent_probes() -> u16 {
    4
}
fn default_replicas() -> u8 {
    3
}
fn default_clock_drift_percent() -> u8 {
    2
}
fn default_lease_ms() -> u32 {
    2_000
}
fn default_token_s() -> u32 {
    600
}
fn default_max_journal_kib() -> u32 {
    16
}
fn default_max_total_journals_mib() -> u32 {
    64
}
fn default_max_unconfirmed_saves() -> u32 {
    64
}
fn default_max_sessions() -> u32 {
    20_000
}
fn default_claim_timeout_ms() -> u32 {
    1_000
}
fn default_max_links() -> u32 {
    64
}

impl Sessions {
    /// Converts the settings to those of the session state machine.
    #[must_use]
    pub fn settings(&self) -> marllink_sessions::Settings {
        marllink_sessions::Settings {
            replicas: usize::from(self.replicas),
            lease_ms: f64::from(self.lease_ms),
            clock_drift_ratio: f64::from(self.clock_drift_percent) / 100.0,
            token_validity_ms: f64::from(self.token_s) * 1_000.0,
            max_journal_bytes: self.max_journal_kib as usize * 1024,
            max_total_journals_bytes: self.max_total_journals_mib as usize * 1024 * 1024,
            max_unconfirmed_saves: self.max_unconfirmed_saves as usize,
            max_sessions: self.max_sessions as usize,
            claim_timeout_ms: f64::from(self.claim_timeout_ms),
            max_links: self.max_links as usize,
        }
    }
}

/// A problem found in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Location in the file: a JSON pointer (RFC 6901), or line and column if the file is not valid JSON.
    pub location: String,
    /// What was found at the location.
    pub found: String,
    /// What is expected at the location.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, location, found, expected } = self;
        write!(f, "{file}: {location}: {found}; expected: {expected}")
    }
}

impl std::error::Error for Problem {}

/// Returns the JSON schema of the operators' file.
#[must_use]
pub fn schema() -> Value {
    schemars::schema_for!(Operators).to_value()
}

/// Parses an operators' file. `file` is its name in error messages.
///
/// # Errors
/// Returns all problems found in the file.
pub fn parse(file: &str, text: &str) -> Result<Operators, Vec<Problem>> {
    parse_with_schema(file, text, &schema())
}

/// Parses a file after validating it against a JSON schema. `file` is its name in error messages.
///
/// # Errors
/// Returns all problems found in the file.
pub fn parse_with_schema<T: for<'a> Deserialize<'a>>(
    file: &str,
    text: &str,
    schema: &Value,
) -> Result<T, Vec<Problem>> {
    let problem = |location: String, found: String, expected: String| Problem {
        file: file.into(),
        location,
        found,
        expected,
    };
    let value: Value = serde_json::from_str(text).map_err(|e| {
        let location = format!("line {}, column {}", e.line(), e.column());
        vec![problem(location, e.to_string(), "JSON (RFC 8259)".into())]
    })?;
    let validator = jsonschema::validator_for(schema)
        .map_err(|e| vec![problem(String::new(), e.to_string(), "a schema".into())])?;
    let problems: Vec<_> = validator
        .iter_errors(&value)
        .map(|error| {
            let pointer = error.instance_path.to_string();
            let location = if pointer.is_empty() { "top level".into() } else { pointer.clone() };
            problem(location, error.to_string(), expected(schema, &pointer))
        })
        .collect();
    if !problems.is_empty() {
        return Err(problems);
    }
    serde_json::from_value(value)
        .map_err(|e| vec![problem("top level".into(), e.to_string(), expected(schema, ""))])
}

/// Describes what the schema expects at a location, given as a JSON pointer.
fn expected(schema: &Value, pointer: &str) -> String {
    let mut node = schema;
    for segment in pointer.split('/').skip(1) {
        node = resolve(schema, node);
        let inner = if segment.parse::<usize>().is_ok() {
            node.get("items")
        } else {
            node.pointer(&format!("/properties/{segment}"))
        };
        let Some(inner) = inner else { break };
        node = inner;
    }
    let node = resolve(schema, node);
    let mut descriptions = Vec::new();
    for key in ["type", "enum", "minimum", "maximum", "required"] {
        if let Some(value) = node.get(key) {
            descriptions.push(format!("{key} {value}"));
        }
    }
    if let Some(Value::Object(properties)) = node.get("properties") {
        let names: Vec<_> = properties.keys().map(String::as_str).collect();
        descriptions.push(format!("keys {}", names.join(", ")));
    }
    if let Some(Value::String(text)) = node.get("description") {
        descriptions.push(text.split_whitespace().collect::<Vec<_>>().join(" "));
    }
    descriptions.join("; ")
}

/// Follows references, and selects the alternative of an optional value that is not `null`.
fn resolve<'a>(schema: &'a Value, node: &'a Value) -> &'a Value {
    if let Some(Value::String(reference)) = node.get("$ref") {
        return schema
            .pointer(reference.trim_start_matches('#'))
            .map_or(node, |target| resolve(schema, target));
    }
    let alternatives = node.get("anyOf").and_then(Value::as_array);
    let present =
        alternatives.and_then(|all| all.iter().find(|a| a.get("type") != Some(&Value::from("null"))));
    present.map_or(node, |alternative| resolve(schema, alternative))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn omitted_features_are_off_and_omitted_keys_take_their_defaults() {
        assert_eq!(parse("o.json", "{}"), Ok(Operators::default()));
        let operators =
            parse("o.json", r#"{"sessions":{"keys":"k.json","keepers":5}}"#).expect("the file is valid");
        let settings = operators.sessions.expect("sessions are enabled").settings();
        assert_eq!(settings, marllink_sessions::Settings { replicas: 5, ..Default::default() });
    }

    #[test]
    fn an_error_names_the_file_the_location_what_was_found_and_what_is_expected() {
        let errors = |text: &str| {
            let problems = parse("o.json", text).expect_err("the file is invalid");
            problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
        };
        let lease = errors(r#"{"sessions":{"keys":"k","lease_ms":20,"keepers":2}}"#);
        assert!(lease.contains("o.json: /sessions/lease_ms: 20 is less than the minimum of 200"), "{lease}");
        assert!(lease.contains("Duration of a lease, in milliseconds"), "{lease}");
        assert!(lease.contains("o.json: /sessions/keepers: 2 is not one of"), "{lease}");
        let unknown_key = errors(r#"{"session":{}}"#);
        assert!(
            unknown_key.contains("o.json: top level:") && unknown_key.contains("'session'"),
            "{unknown_key}"
        );
        assert!(unknown_key.contains("keys sessions, store"), "{unknown_key}");
        let store = errors(r#"{"store":{"folder":"f","trusted_s":0}}"#);
        assert!(store.contains("/store/trusted_s: 0 is less than the minimum of 1"), "{store}");
        let missing_key = errors(r#"{"sessions":{}}"#);
        assert!(missing_key.contains("o.json: /sessions: \"keys\" is a required property"), "{missing_key}");
        let truncated = errors("{\n\"sessions\":");
        assert!(truncated.contains("o.json: line 2, column 11: "), "{truncated}");
    }
}
