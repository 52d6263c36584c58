//! What the balancer is told: the file that `NODE_CONFIG` names, and the variables `NODE_NAME`,
//! `NODE_LISTEN`, `NODE_DISCOVERY` and `NODE_ADMIN`, which come before what the file says at the start.
//!
//! The file may be read again while the balancer runs. A variable can't be changed from outside by
//! then, so what the file says of discovery comes first.

use crate::protocol::discovery::List;
use marllink_settings::ParsedSettings;
use serde::Deserialize;
use std::net::SocketAddr;

/// The variable that names the file.
pub const PATH_VARIABLE: &str = "NODE_CONFIG";

/// The same error once more.
pub fn copied(error: &std::io::Error) -> std::io::Error {
    std::io::Error::new(error.kind(), error.to_string())
}

/// All that the balancer is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// The list of form hosts as last known; may be old.
    pub known: List,
    /// The settings of the deployment.
    pub settings: ParsedSettings,
    /// The file as it was read.
    pub text: String,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    seed: String,
    limits: FileLimits,
    known: Option<List>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct FileLimits {
    sockets: usize,
}

/// Reads the configuration at the start; `variable` looks up the environment and `read` a file.
///
/// # Errors
/// Says in one line what is missing or wrong, and where.
pub fn load(
    variable: impl Fn(&str) -> Option<String>,
    read: impl Fn(&str) -> std::io::Result<Vec<u8>>,
) -> Result<Config, String> {
    load_with(variable, read, false)
}

/// Reads the configuration again: the whole file is checked as at the start, and it must have every
/// key that the one in force has.
///
/// # Errors
/// Says in one line what is missing or wrong, and where.
pub fn reload(
    variable: impl Fn(&str) -> Option<String>,
    read: impl Fn(&str) -> std::io::Result<Vec<u8>>,
    in_force: &str,
) -> Result<Config, String> {
    let config = load_with(variable, read, true)?;
    let value = |text: &str| serde_json::from_str::<serde_json::Value>(text).map_err(|e| e.to_string());
    marllink_settings::check_keys_present(&value(in_force)?, &value(&config.text)?)?;
    Ok(config)
}

/// The configuration of a process that takes the place of another: what was in force there, though
/// the file may have changed since, or may be wrong by now. All else is as `told` at this start.
///
/// # Errors
/// Says what is wrong with what was in force.
pub fn inherit(
    told: Result<Config, String>,
    text: &str,
    discovery: SocketAddr,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Config, String> {
    let in_force = load_with(variable, |_| Ok(text.as_bytes().to_vec()), true)?;
    let told = told.unwrap_or_else(|message| {
        tracing::error!("the configuration stays as it was: {message}");
        // The numbers that the process before has drawn must not be drawn again.
        Config { seed: in_force.seed.wrapping_add(1), ..in_force.clone() }
    });
    Ok(Config { discovery, settings: in_force.settings, text: in_force.text, ..told })
}

impl Config {
    /// What differs from `running` and holds only from the next start on, by the file's names.
    pub fn only_at_start(&self, running: &Self) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != running.name),
            ("listen", self.listen != running.listen),
            ("admin", self.admin != running.admin),
            ("seed", self.seed != running.seed),
            ("limits", self.sockets != running.sockets),
        ];
        differs.into_iter().filter_map(|(name, differs)| differs.then_some(name)).collect()
    }
}

fn load_with(
    variable: impl Fn(&str) -> Option<String>,
    read: impl Fn(&str) -> std::io::Result<Vec<u8>>,
    file_first: bool,
) -> Result<Config, String> {
    let path = variable(PATH_VARIABLE).ok_or("NODE_CONFIG is not set")?;
    let text = read(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    let file: File = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
    let told = |name: &str, key: &str, value: Option<String>| {
        let (first, second) =
            if file_first && key == "discovery" { (value, variable(name)) } else { (variable(name), value) };
        first.or(second).ok_or(format!("neither {name} is set nor \"{key}\" in {path}"))
    };
    let parsed = |name: &str, text: String| {
        text.parse().map_err(|_| format!("{name}: \"{text}\" is no address with a port"))
    };
    let address = |name: &str, key: &str, value| parsed(name, told(name, key, value)?);
    let admin = variable("NODE_ADMIN").or(file.admin);
    Ok(Config {
        name: told("NODE_NAME", "name", file.name)?,
        listen: address("NODE_LISTEN", "listen", file.listen)?,
        discovery: address("NODE_DISCOVERY", "discovery", file.discovery)?,
        admin: admin.map(|text| parsed("NODE_ADMIN", text)).transpose()?,
        seed: u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("{path}: seed: \"{}\" is no hexadecimal number of 64 bits", file.seed))?,
        sockets: file.limits.sockets,
        known: file.known.unwrap_or(List { rev: 0, all: true, targets: Vec::new() }),
        settings: marllink_settings::from_value(file.settings)
            .map_err(|e| format!("{path}: settings: {e}"))?,
        text: String::from_utf8_lossy(&text).into_owned(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = r#"{"name":"n3","listen":"10.0.0.4:8000","discovery":"10.2.0.1:8500","seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},"known":{"rev":41,"all":true,"targets":[]},
        "settings":{"index":0,"balancers":2,"zone":0,"discovery":"on_request","classes":[],
            "bounds":{"connectTimeoutMs":200.0,"maxAttempts":5},
            "invariants":{"askWithinMs":10000.0,"coldFrom":0.3,"warmAfterMs":9000.0,"tipMultiple":3.0,"overloadForMs":3000.0}}}"#;

    fn load_text(text: &str, listen: Option<&str>) -> Result<Config, String> {
        let variable = |name: &str| match name {
            "NODE_CONFIG" => Some("c.json".to_owned()),
            "NODE_LISTEN" => listen.map(str::to_owned),
            _ => None,
        };
        load(variable, |_| Ok(text.as_bytes().to_vec()))
    }

    #[test]
    fn the_environment_comes_before_the_file() {
        let config = load_text(FILE, Some("127.0.0.9:1")).expect("it is well formed");
        assert_eq!((config.listen.to_string(), config.known.rev), ("127.0.0.9:1".to_owned(), 41));
        assert_eq!((config.seed, config.sockets), (0x8c1f_30d2_7a5b_e964, 4096));
    }

    #[test]
    fn a_file_read_again_names_discovery_before_the_environment_does() {
        let variable = |name: &str| match name {
            "NODE_CONFIG" => Some("c.json".to_owned()),
            "NODE_DISCOVERY" => Some("127.0.0.8:1".to_owned()),
            _ => None,
        };
        let changed = FILE.replace("10.0.0.4:8000", "10.0.0.5:8000").replace(":2,\"zone", ":3,\"zone");
        let running = load(variable, |_| Ok(FILE.as_bytes().to_vec())).expect("it is well formed");
        let again =
            reload(variable, |_| Ok(changed.as_bytes().to_vec()), &running.text).expect("it is well formed");
        assert_eq!(running.discovery.to_string(), "127.0.0.8:1");
        assert_eq!(again.discovery.to_string(), "10.2.0.1:8500");
        assert_eq!(again.only_at_start(&running), ["listen"]);
        // What the variables tell does not hide that it is missing.
        for key in ["name", "listen", "discovery", "known"] {
            let short = FILE.replace(&format!("\"{key}\":"), "\"x\":");
            let again = reload(variable, |_| Ok(short.as_bytes().to_vec()), &running.text);
            assert!(again.is_err_and(|said| said.contains(key)), "{key}");
        }
        assert_eq!(running.only_at_start(&running), [""; 0]);
    }

    #[test]
    fn what_is_wrong_is_said_in_one_line() {
        let wrong = [
            load(|_| None, |_| Ok(Vec::new())),
            load_text("{", None),
            load_text(FILE, Some("here")),
            load_text(&FILE.replace("8c1f30d27a5be964", "no"), None),
            load_text(&FILE.replace("maxAttempts", "attempts"), None),
            load_text(&FILE.replace("\"name\"", "\"nom\""), None),
        ];
        let said: Vec<_> = wrong.into_iter().map(|w| w.expect_err("it is wrong")).collect();
        insta::assert_snapshot!(said.join("\n"));
    }
}
