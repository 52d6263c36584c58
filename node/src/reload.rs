//! A new configuration while running: SIGHUP.

use crate::config::{self, Config};
use crate::discovery::Discovery;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listens for SIGHUP from now on; one that came unheard would end the program.
///
/// # Errors
/// Fails if the system lets no handler be set.
pub fn listen() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reads the file again at each SIGHUP and goes over to the discovery that it names, for ever.
/// Nothing is taken of a file that can't be read or is wrong.
pub async fn follow(mut hangup: Signal, running: &Config, discovery: &Discovery) {
    while hangup.recv().await.is_some() {
        match config::reload(|name| std::env::var(name).ok(), |path| std::fs::read(path)) {
            Ok(config) => {
                tracing::info!("SIGHUP: discovery at {}", config.discovery);
                let fixed = config.only_at_start(running);
                if !fixed.is_empty() {
                    tracing::warn!("SIGHUP: held as it was until the next start: {}", fixed.join(", "));
                }
                discovery.go_over_to(config.discovery);
            }
            Err(message) => tracing::error!("SIGHUP: the configuration stays as it was: {message}"),
        }
    }
}
