//! The balancer's configuration: the file named by `NODE_CONFIG`, and the variables `NODE_NAME`,
//! `NODE_LISTEN`, `NODE_DISCOVERY` and `NODE_ADMIN`, which take precedence over the file at the start.
//!
//! The file may be reloaded while the balancer runs. The environment of a running process can't be changed
//! from outside, so for the discovery address the file then takes precedence.

use crate::protocol::discovery::List;
use marllink_settings::ParsedSettings;
use serde::Deserialize;
use std::net::SocketAddr;

/// The environment variable that names the configuration file.
pub const PATH_VARIABLE: &str = "NODE_CONFIG";

/// Clones an I/O error, which is not `Clone`.
pub fn clone_error(error: &std::io::Error) -> std::io::Error {
    std::io::Error::new(error.kind(), error.to_string())
}

/// The complete configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The balancer's name, which stays the same after a restart.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the admin interface, if enabled.
    pub admin: Option<SocketAddr>,
    /// Seed for random numbers, different at each start.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub sockets: usize,
    /// The last known list of servers, which may be stale.
    pub known_list: List,
    /// The settings of the deployment.
    pub settings: ParsedSettings,
    /// The text of the file.
    pub text: String,
}

#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    seed: String,
    limits: ConfigFileLimits,
    known: Option<List>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct ConfigFileLimits {
    sockets: usize,
}

/// Loads the configuration at the start; `variable` looks up an environment variable and `read` reads a file.
///
/// # Errors
/// Describes in one line what is missing or invalid, and where.
pub fn load(
    variable: impl Fn(&str) -> Option<String>,
    read: impl Fn(&str) -> std::io::Result<Vec<u8>>,
) -> Result<Config, String> {
    load_with(variable, read, false)
}

/// Reloads the configuration: the whole file is validated as at the start, and must contain every key of the
/// active one.
///
/// # Errors
/// Describes in one line what is missing or invalid, and where.
pub fn reload(
    variable: impl Fn(&str) -> Option<String>,
    read: impl Fn(&str) -> std::io::Result<Vec<u8>>,
    active_text: &str,
) -> Result<Config, String> {
    let config = load_with(variable, read, true)?;
    let value = |text: &str| serde_json::from_str::<serde_json::Value>(text).map_err(|e| e.to_string());
    marllink_settings::check_keys_present(&value(active_text)?, &value(&config.text)?)?;
    Ok(config)
}

/// Returns the configuration of a process that takes over from another one: settings and discovery address
/// are those active in the predecessor, even if the file has changed since or is invalid now. Everything else
/// comes from `configured`, which was loaded at this start.
///
/// # Errors
/// Describes what is wrong with the predecessor's configuration.
pub fn inherit(
    configured: Result<Config, String>,
    text: &str,
    discovery: SocketAddr,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Config, String> {
    let active = load_with(variable, |_| Ok(text.as_bytes().to_vec()), true)?;
    let configured = configured.unwrap_or_else(|message| {
        tracing::error!("cannot load the configuration, using that of the predecessor: {message}");
        // The predecessor's random numbers must not be repeated.
        Config { seed: active.seed.wrapping_add(1), ..active.clone() }
    });
    Ok(Config { discovery, settings: active.settings, text: active.text, ..configured })
}

impl Config {
    /// Returns the file's names of the settings that differ from `running` and only take effect after a
    /// restart.
    pub fn requires_restart(&self, running: &Self) -> Vec<&'static str> {
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
    prefer_file: bool,
) -> Result<Config, String> {
    let path = variable(PATH_VARIABLE).ok_or("NODE_CONFIG is not set")?;
    let text = read(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    let file: ConfigFile = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
    let required = |name: &str, key: &str, value: Option<String>| {
        let (first, second) =
            if prefer_file && key == "discovery" { (value, variable(name)) } else { (variable(name), value) };
        first.or(second).ok_or(format!("neither {name} is set nor \"{key}\" in {path}"))
    };
    let parse_address = |name: &str, text: String| {
        text.parse().map_err(|_| format!("{name}: \"{text}\" is not an address with a port"))
    };
    let address = |name: &str, key: &str, value| parse_address(name, required(name, key, value)?);
    let admin = variable("NODE_ADMIN").or(file.admin);
    Ok(Config {
        name: required("NODE_NAME", "name", file.name)?,
        listen: address("NODE_LISTEN", "listen", file.listen)?,
        discovery: address("NODE_DISCOVERY", "discovery", file.discovery)?,
        admin: admin.map(|text| parse_address("NODE_ADMIN", text)).transpose()?,
        seed: u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("{path}: seed: \"{}\" is not a 64-bit hexadecimal number", file.seed))?,
        sockets: file.limits.sockets,
        known_list: file.known.unwrap_or(List { rev: 0, all: true, targets: Vec::new() }),
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
    fn the_environment_takes_precedence_over_the_file() {
        let config = load_text(FILE, Some("127.0.0.9:1")).expect("the configuration is valid");
        assert_eq!((config.listen.to_string(), config.known_list.rev), ("127.0.0.9:1".to_owned(), 41));
        assert_eq!((config.seed, config.sockets), (0x8c1f_30d2_7a5b_e964, 4096));
    }

    #[test]
    fn a_reloaded_file_takes_precedence_for_the_discovery_address() {
        let variable = |name: &str| match name {
            "NODE_CONFIG" => Some("c.json".to_owned()),
            "NODE_DISCOVERY" => Some("127.0.0.8:1".to_owned()),
            _ => None,
        };
        let changed = FILE.replace("10.0.0.4:8000", "10.0.0.5:8000").replace(":2,\"zone", ":3,\"zone");
        let running = load(variable, |_| Ok(FILE.as_bytes().to_vec())).expect("the configuration is valid");
        let again = reload(variable, |_| Ok(changed.as_bytes().to_vec()), &running.text)
            .expect("the configuration is valid");
        assert_eq!(running.discovery.to_string(), "127.0.0.8:1");
        assert_eq!(again.discovery.to_string(), "10.2.0.1:8500");
        assert_eq!(again.requires_restart(&running), ["listen"]);
        // A value in the environment must not hide that a key is missing from the file.
        for key in ["name", "listen", "discovery", "known"] {
            let short = FILE.replace(&format!("\"{key}\":"), "\"x\":");
            let again = reload(variable, |_| Ok(short.as_bytes().to_vec()), &running.text);
            assert!(again.is_err_and(|message| message.contains(key)), "{key}");
        }
        assert_eq!(running.requires_restart(&running), [""; 0]);
    }

    #[test]
    fn errors_are_reported_in_one_line() {
        let invalid = [
            load(|_| None, |_| Ok(Vec::new())),
            load_text("{", None),
            load_text(FILE, Some("here")),
            load_text(&FILE.replace("8c1f30d27a5be964", "no"), None),
            load_text(&FILE.replace("maxAttempts", "attempts"), None),
            load_text(&FILE.replace("\"name\"", "\"nom\""), None),
        ];
        let messages: Vec<_> =
            invalid.into_iter().map(|result| result.expect_err("the configuration is invalid")).collect();
        insta::assert_snapshot!(messages.join("\n"));
    }
}
