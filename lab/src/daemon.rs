//! A daemon under test, as a process of its own.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Name of the configuration file in the daemon's folder.
pub const CONFIG_FILE: &str = "config.json";
/// Maximum time until a started daemon listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the log is checked for the start.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The daemon under test. It is killed when this is dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    log_path: PathBuf,
}

impl Daemon {
    /// Starts the daemon with the configuration file in its folder, and waits until it listens.
    ///
    /// # Errors
    /// Fails if the daemon does not start.
    pub async fn start(folder: &Path) -> std::io::Result<Self> {
        let log_path = folder.join("log");
        let child = Command::new(std::env::current_exe()?)
            .arg("daemon")
            .env("NODE_CONFIG", folder.join(CONFIG_FILE))
            .env("TMPDIR", folder)
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env_remove("NODE_ADMIN")
            .env_remove("MARLLINK_OPERATORS")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(&log_path)?)
            .spawn()?;
        let mut daemon = Self { child, log_path };
        let started_at = Instant::now();
        while !daemon.log_contains("listening on")? {
            if started_at.elapsed() > START_TIMEOUT || daemon.has_exited()? {
                let text = format!("the daemon doesn't listen; see {}", daemon.log_path.display());
                return Err(std::io::Error::other(text));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(daemon)
    }

    /// Returns true if the process has ended.
    ///
    /// # Errors
    /// Fails if the system does not tell.
    pub fn has_exited(&mut self) -> std::io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Returns the path of its log.
    pub fn log_path(&self) -> &Path {
        &self.log_path
    }

    /// Returns true if its log contains this text.
    ///
    /// # Errors
    /// Fails if the log can't be read.
    pub fn log_contains(&self, text: &str) -> std::io::Result<bool> {
        Ok(std::fs::read_to_string(&self.log_path)?.contains(text))
    }

    /// Returns the peak of its resident memory, in bytes.
    ///
    /// # Errors
    /// Fails if the process has ended.
    pub fn peak_memory_bytes(&self) -> std::io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|peak| peak.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kib.map(|kib| kib * 1_024).ok_or_else(|| std::io::Error::other("the process tells no peak memory"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}
