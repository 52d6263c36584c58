//! The operators' file, which enables optional features. It is read at the start and at SIGHUP, and takes
//! effect as a whole or not at all.

use marllink_config::{Operators, Problem};
use marllink_sessions::KeyRing;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// The validated operators' file, with the contents of the files that it names.
#[derive(Clone, Debug, Default)]
pub struct Features {
    /// The file's contents.
    pub operators: Operators,
    /// The token keys, if sessions are enabled.
    pub keys: Option<KeyRing>,
}

/// Returns the path of the operators' file, if any: the environment variable takes precedence over the
/// command line.
pub fn path(from_command_line: Option<PathBuf>) -> Option<PathBuf> {
    std::env::var_os("MARLLINK_OPERATORS").map(PathBuf::from).or(from_command_line)
}

/// Reads an operators' file and the files that it names. Without a file, no feature is enabled.
///
/// # Errors
/// Describes each problem on a line of its own.
pub fn load(path: Option<&Path>) -> Result<Features, String> {
    let Some(path) = path else { return Ok(Features::default()) };
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
    let join_problems =
        |problems: Vec<Problem>| problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    let operators = marllink_config::parse(&file, &text).map_err(join_problems)?;
    let keys = match &operators.sessions {
        Some(sessions) => {
            let path = path.parent().unwrap_or(Path::new("")).join(&sessions.keys);
            Some(load_keys(&path).map_err(|e| format!("{file}: /sessions/keys: {e}"))?)
        }
        None => None,
    };
    Ok(Features { operators, keys })
}

/// Reads a key file.
///
/// # Errors
/// Describes what is wrong with the file, without revealing secrets.
pub fn load_keys(path: &Path) -> Result<KeyRing, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    KeyRing::parse(&text, unix_ms()).map_err(|e| format!("{}: {e}", path.display()))
}

/// Returns the wall clock time, used to check keys and tokens.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
}
