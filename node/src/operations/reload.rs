//! Configuration reload on SIGHUP.

use crate::operations::active_settings::ActiveSettings;
use crate::operations::config::{self, Config};
use crate::operations::features::{self, Features};
use crate::operations::file;
use crate::operations::handover::Handover;
use marllink::Event;
use marllink_sessions::Event as SessionEvent;
use std::path::Path;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Starts to listen for SIGHUP. Without a handler, the signal would terminate the process.
///
/// # Errors
/// Fails if the signal handler can't be installed.
pub fn listen() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reloads the configuration at each SIGHUP and applies its settings and discovery address, forever. A file
/// that can't be read, is incomplete or is invalid changes nothing.
pub async fn run(
    mut hangup: Signal,
    running: &Config,
    settings: &ActiveSettings,
    handover: &Handover,
    operators: Option<&Path>,
) {
    while hangup.recv().await.is_some() {
        let features = match features::load(operators) {
            Ok(features) => features,
            Err(message) => {
                tracing::error!("SIGHUP: configuration unchanged: {message}");
                continue;
            }
        };
        let variable = |name: &str| std::env::var(name).ok();
        let path = variable(config::PATH_VARIABLE).unwrap_or_default();
        let text = file::read_with_retries(&handover.clock, Path::new(&path)).await;
        let active_text = handover.config.borrow().clone();
        let text = |_: &str| text.as_ref().map(Clone::clone).map_err(config::clone_error);
        let reloaded = config::reload(variable, text, &active_text);
        match reloaded {
            Ok(config) => {
                tracing::info!("SIGHUP: new settings, discovery at {}", config.discovery);
                let restart_only = config.requires_restart(running);
                if !restart_only.is_empty() {
                    tracing::warn!("SIGHUP: takes effect only after a restart: {}", restart_only.join(", "));
                }
                // There is no await between these calls, so the new settings take effect atomically.
                settings.replace(config.settings.as_reload_of(&settings.current()));
                handover.exchange.settings_changed();
                handover.core.feed(Event::Settings(settings.current().balancing.clone()));
                handover.discovery.switch_to(config.discovery);
                handover.config.replace(config.text);
                apply_features(handover, features);
            }
            Err(message) => tracing::error!("SIGHUP: configuration unchanged: {message}"),
        }
    }
}

/// Applies new session settings and keys from the operators' file.
fn apply_features(handover: &Handover, features: Features) {
    match (handover.exchange.session_driver(), features.operators.sessions, features.keys) {
        (Some(driver), Some(sessions), Some(keys)) => {
            driver.feed(SessionEvent::Settings(sessions.settings()));
            driver.feed(SessionEvent::Keys(keys));
        }
        (None, None, _) => {}
        _ => tracing::warn!("SIGHUP: takes effect only after a restart: enabling or disabling sessions"),
    }
}
