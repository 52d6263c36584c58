//! The operators' file: what is switched on besides the platform's own configuration, as JSON.
//!
//! The schema comes from the types, and every file is checked against it before it is read, so that an
//! error names the place in the file, what was found there and what is wanted. A file holds whole or
//! not at all.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use std::path::PathBuf;

/// All that operators may switch on. What is left out is off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Sessions that outlive the form host that holds them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Sessions")]
    pub sessions: Option<Sessions>,
    /// A folder that outlives the process, for what the balancer is to know when it starts again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Store")]
    pub store: Option<Store>,
}

/// A folder that outlives the process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// The folder, one for each balancer; a path that does not begin with / counts from this file's folder.
    #[schemars(length(min = 1))]
    pub folder: PathBuf,
    /// A list that is older than so many seconds is doubted: each form host in it is asked before it gets work.
    #[serde(default = "trusted_s")]
    #[schemars(range(min = 1, max = 86_400))]
    pub trusted_s: u32,
    /// Form hosts of such a list that are asked at once.
    #[serde(default = "asked_at_once", rename = "asked_at_once")]
    #[schemars(range(min = 1, max = 256))]
    pub concurrent_probes: u16,
}

/// Sessions that outlive the form host that holds them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Sessions {
    /// The file with the keys of tokens; a path that does not begin with / counts from this file's
    /// folder.
    #[schemars(length(min = 1))]
    pub keys: PathBuf,
    /// Keepers of a session, 1, 3 or 5: so many form hosts store what it has saved, and any minority
    /// of them may be lost at once.
    #[serde(default = "three", rename = "keepers")]
    #[schemars(extend("enum" = [1, 3, 5]))]
    pub replicas: u8,
    /// How long a lease runs, in milliseconds: a form host that is cut off lets go after that.
    #[serde(default = "lease_ms")]
    #[schemars(range(min = 200, max = 30_000))]
    pub lease_ms: u32,
    /// By how much the rates of two machines' clocks may differ, in hundredths.
    #[serde(default = "two")]
    #[schemars(range(min = 0, max = 20))]
    pub clock_drift_percent: u8,
    /// For how long a token is good, in seconds.
    #[serde(default = "token_s")]
    #[schemars(range(min = 10, max = 86_400))]
    pub token_s: u32,
    /// The most that one session's journal may hold, in KiB.
    #[serde(default = "journal_kib", rename = "journal_kib")]
    #[schemars(range(min = 1, max = 512))]
    pub max_journal_kib: u32,
    /// The most that all journals in a balancer may hold, in MiB.
    #[serde(default = "journals_mib", rename = "journals_mib")]
    #[schemars(range(min = 1, max = 16_384))]
    pub max_total_journals_mib: u32,
    /// Saves of one session that may wait to be confirmed.
    #[serde(default = "window", rename = "window")]
    #[schemars(range(min = 1, max = 4_096))]
    pub max_unconfirmed_saves: u32,
    /// Sessions of one balancer, those included whose client is away.
    #[serde(default = "most_sessions", rename = "most_sessions")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub max_sessions: u32,
    /// A claim that has not come to anything after so long is given up, in milliseconds.
    #[serde(default = "claim_ms", rename = "claim_ms")]
    #[schemars(range(min = 50, max = 10_000))]
    pub claim_timeout_ms: u32,
    /// Form hosts at most that one balancer has new sessions kept by.
    #[serde(default = "most_links", rename = "most_links")]
    #[schemars(range(min = 1, max = 1_024))]
    pub max_links: u32,
}

fn trusted_s() -> u32 {
    10
}
fn asked_at_once() -> u16 {
    4
}
fn three() -> u8 {
    3
}
fn two() -> u8 {
    2
}
fn lease_ms() -> u32 {
    2_000
}
fn token_s() -> u32 {
    600
}
fn journal_kib() -> u32 {
    16
}
fn journals_mib() -> u32 {
    64
}
fn window() -> u32 {
    64
}
fn most_sessions() -> u32 {
    20_000
}
fn claim_ms() -> u32 {
    1_000
}
fn most_links() -> u32 {
    64
}

impl Sessions {
    /// As the decisions about sessions take it.
    #[must_use]
    pub fn settings(&self) -> marllink_sessions::Settings {
        marllink_sessions::Settings {
            keepers: usize::from(self.replicas),
            lease_ms: f64::from(self.lease_ms),
            drift: f64::from(self.clock_drift_percent) / 100.0,
            token_ms: f64::from(self.token_s) * 1_000.0,
            journal_bytes: self.max_journal_kib as usize * 1024,
            journals_bytes: self.max_total_journals_mib as usize * 1024 * 1024,
            window: self.max_unconfirmed_saves as usize,
            most_sessions: self.max_sessions as usize,
            patience_ms: f64::from(self.claim_timeout_ms),
            most_links: self.max_links as usize,
        }
    }
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: String,
    /// Where in it: a JSON pointer (RFC 6901), or line and column if it is no JSON.
    pub location: String,
    /// What was found there.
    pub found: String,
    /// What is wanted.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, location, found, expected } = self;
        write!(f, "{file}: {location}: {found}; wanted: {expected}")
    }
}

impl std::error::Error for Problem {}

/// The schema of the operators' file.
#[must_use]
pub fn schema() -> Value {
    schemars::schema_for!(Operators).to_value()
}

/// Reads an operators' file.
///
/// # Errors
/// Tells everything that is wrong with it.
pub fn parse(file: &str, text: &str) -> Result<Operators, Vec<Problem>> {
    parse_with_schema(file, text, &schema())
}

/// Reads any value that has a schema, checked by that first.
///
/// # Errors
/// Tells everything that is wrong with it.
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
        let at = format!("line {}, column {}", e.line(), e.column());
        vec![problem(at, e.to_string(), "JSON (RFC 8259)".into())]
    })?;
    let validator = jsonschema::validator_for(schema)
        .map_err(|e| vec![problem(String::new(), e.to_string(), "a schema".into())])?;
    let problems: Vec<_> = validator
        .iter_errors(&value)
        .map(|error| {
            let at = error.instance_path.to_string();
            let place = if at.is_empty() { "the whole".into() } else { at.clone() };
            problem(place, error.to_string(), wanted(schema, &at))
        })
        .collect();
    if !problems.is_empty() {
        return Err(problems);
    }
    serde_json::from_value(value)
        .map_err(|e| vec![problem("the whole".into(), e.to_string(), wanted(schema, ""))])
}

/// What the schema says of a place in a file.
fn wanted(schema: &Value, at: &str) -> String {
    let mut here = schema;
    for part in at.split('/').skip(1) {
        here = resolve(schema, here);
        let inner = if part.parse::<usize>().is_ok() {
            here.get("items")
        } else {
            here.pointer(&format!("/properties/{part}"))
        };
        let Some(inner) = inner else { break };
        here = inner;
    }
    let here = resolve(schema, here);
    let mut said = Vec::new();
    for key in ["type", "enum", "minimum", "maximum", "required"] {
        if let Some(value) = here.get(key) {
            said.push(format!("{key} {value}"));
        }
    }
    if let Some(Value::Object(properties)) = here.get("properties") {
        let names: Vec<_> = properties.keys().map(String::as_str).collect();
        said.push(format!("keys {}", names.join(", ")));
    }
    if let Some(Value::String(text)) = here.get("description") {
        said.push(text.split_whitespace().collect::<Vec<_>>().join(" "));
    }
    said.join("; ")
}

/// Follows references and picks the part that is not `null`.
fn resolve<'a>(schema: &'a Value, here: &'a Value) -> &'a Value {
    if let Some(Value::String(reference)) = here.get("$ref") {
        return schema
            .pointer(reference.trim_start_matches('#'))
            .map_or(here, |there| resolve(schema, there));
    }
    let options = here.get("anyOf").and_then(Value::as_array);
    let some = options.and_then(|all| all.iter().find(|o| o.get("type") != Some(&Value::from("null"))));
    some.map_or(here, |option| resolve(schema, option))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_left_out_is_off_or_as_the_docs_have_it() {
        assert_eq!(parse("o.json", "{}"), Ok(Operators::default()));
        let read = parse("o.json", r#"{"sessions":{"keys":"k.json","keepers":5}}"#).expect("it is sound");
        let settings = read.sessions.expect("it is on").settings();
        assert_eq!(settings, marllink_sessions::Settings { keepers: 5, ..Default::default() });
    }

    #[test]
    fn an_error_names_the_file_the_place_what_was_found_and_what_is_wanted() {
        let said = |text: &str| {
            let problems = parse("o.json", text).expect_err("it is wrong");
            problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
        };
        let lease = said(r#"{"sessions":{"keys":"k","lease_ms":20,"keepers":2}}"#);
        assert!(lease.contains("o.json: /sessions/lease_ms: 20 is less than the minimum of 200"), "{lease}");
        assert!(lease.contains("How long a lease runs, in milliseconds"), "{lease}");
        assert!(lease.contains("o.json: /sessions/keepers: 2 is not one of"), "{lease}");
        let odd = said(r#"{"session":{}}"#);
        assert!(odd.contains("o.json: the whole:") && odd.contains("'session'"), "{odd}");
        assert!(odd.contains("keys sessions, store"), "{odd}");
        let store = said(r#"{"store":{"folder":"f","trusted_s":0}}"#);
        assert!(store.contains("/store/trusted_s: 0 is less than the minimum of 1"), "{store}");
        let missing = said(r#"{"sessions":{}}"#);
        assert!(missing.contains("o.json: /sessions: \"keys\" is a required property"), "{missing}");
        let half = said("{\n\"sessions\":");
        assert!(half.contains("o.json: line 2, column 11: "), "{half}");
    }
}
