//! A new configuration while running: SIGHUP.

use crate::operations::config::{self, Config};
use crate::operations::features::{self, Features};
use crate::operations::file;
use crate::operations::handover::Handover;
use crate::operations::tuning::Tuning;
use marllink::Event;
use marllink_sessions::Event as SessionEvent;
use std::path::Path;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listens for SIGHUP from now on; one that came unheard would end the program.
///
/// # Errors
/// Fails if the system lets no handler be set.
pub fn listen() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reads the file again at each SIGHUP and goes over to the settings and the discovery in it, for
/// ever. Nothing is taken of a file that can't be read, lacks something or is wrong.
pub async fn follow(
    mut hangup: Signal,
    running: &Config,
    tuning: &Tuning,
    handover: &Handover,
    operators: Option<&Path>,
) {
    while hangup.recv().await.is_some() {
        let features = match features::load(operators) {
            Ok(features) => features,
            Err(message) => {
                tracing::error!("SIGHUP: the configuration stays as it was: {message}");
                continue;
            }
        };
        let variable = |name: &str| std::env::var(name).ok();
        let path = variable(config::PATH_VARIABLE).unwrap_or_default();
        let text = file::read(&handover.clock, Path::new(&path)).await;
        let in_force = handover.config.borrow().clone();
        let text = |_: &str| text.as_ref().map(Clone::clone).map_err(config::copied);
        let read = config::reload(variable, text, &in_force);
        match read {
            Ok(config) => {
                tracing::info!("SIGHUP: new settings, and discovery at {}", config.discovery);
                let fixed = config.only_at_start(running);
                if !fixed.is_empty() {
                    tracing::warn!("SIGHUP: held as it was until the next start: {}", fixed.join(", "));
                }
                // All at once: nothing can happen between these.
                tuning.change(config.settings.as_reload_of(&tuning.now()));
                handover.exchange.settings_changed();
                handover.core.feed(Event::Settings(tuning.now().balancing.clone()));
                handover.discovery.go_over_to(config.discovery);
                handover.config.replace(config.text);
                retune(handover, features);
            }
            Err(message) => tracing::error!("SIGHUP: the configuration stays as it was: {message}"),
        }
    }
}

/// Has what operators have switched on go over to new settings and keys.
fn retune(handover: &Handover, features: Features) {
    match (handover.exchange.session_driver(), features.operators.sessions, features.keys) {
        (Some(resume), Some(sessions), Some(keys)) => {
            resume.feed(SessionEvent::Settings(sessions.settings()));
            resume.feed(SessionEvent::Keys(keys));
        }
        (None, None, _) => {}
        _ => tracing::warn!("SIGHUP: held as it was until the next start: sessions on or off"),
    }
}
