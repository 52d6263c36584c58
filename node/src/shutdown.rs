//! A planned end: SIGTERM.

use crate::clock::{Clock, Millis};
use crate::exchange::Exchange;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The front sends newcomers for up to 0.4 s more; they are served as before.
const SERVE_ON_MS: Millis = 500.0;
/// SIGKILL comes 3.7 s after SIGTERM at the earliest; what is not over by then would be lost.
const LEAVE_AFTER_MS: Millis = 2_800.0;
/// How often connections that have come up meanwhile are moved.
const AGAIN_MS: Millis = 50.0;

/// Listens for SIGTERM from now on.
///
/// # Errors
/// Fails if the system lets no handler be set.
pub fn listen() -> std::io::Result<Signal> {
    signal(SignalKind::terminate())
}

/// Waits for SIGTERM, and returns once every connection has been moved and every request answered,
/// or when there is no time left for that.
pub async fn orderly(mut term: Signal, clock: &Clock, exchange: &Exchange) {
    term.recv().await;
    tracing::info!(requests = exchange.len(), "SIGTERM: serving newcomers, then moving all");
    clock.sleep(SERVE_ON_MS).await;
    let moving = async {
        loop {
            exchange.move_all();
            clock.sleep(AGAIN_MS).await;
        }
    };
    tokio::select! {
        () = exchange.until_empty() => {}
        () = moving => {}
        () = clock.sleep(LEAVE_AFTER_MS - SERVE_ON_MS) => {}
    }
    tracing::info!(requests = exchange.len(), "leaving");
}
