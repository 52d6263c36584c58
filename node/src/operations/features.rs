//! What operators have switched on: their file, read at the start and at SIGHUP, whole or not at all.

use marllink_config::{Operators, Problem};
use marllink_sessions::KeyRing;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// The operators' file, checked, with what it names.
#[derive(Clone, Debug, Default)]
pub struct Features {
    /// What it says.
    pub operators: Operators,
    /// The keys of tokens, where there are sessions.
    pub keys: Option<KeyRing>,
}

/// Where the operators' file lies, if there is one: the variable comes before the command line's.
pub fn path(told: Option<PathBuf>) -> Option<PathBuf> {
    std::env::var_os("MARLLINK_OPERATORS").map(PathBuf::from).or(told)
}

/// Reads an operators' file and the files that it names. Without one, nothing is switched on.
///
/// # Errors
/// Says what is wrong with them, one line for each thing.
pub fn load(path: Option<&Path>) -> Result<Features, String> {
    let Some(path) = path else { return Ok(Features::default()) };
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
    let lines = |all: Vec<Problem>| all.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    let operators = marllink_config::parse(&file, &text).map_err(lines)?;
    let keys = match &operators.sessions {
        Some(sessions) => {
            let path = path.parent().unwrap_or(Path::new("")).join(&sessions.keys);
            Some(keys(&path).map_err(|e| format!("{file}: /sessions/keys: {e}"))?)
        }
        None => None,
    };
    Ok(Features { operators, keys })
}

/// Reads a key file.
///
/// # Errors
/// Says what is wrong with it; never what is secret.
pub fn keys(path: &Path) -> Result<KeyRing, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    KeyRing::parse(&text, unix_ms()).map_err(|e| format!("{}: {e}", path.display()))
}

/// The wall clock's time, to check keys and tokens by.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
}
