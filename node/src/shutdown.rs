//! A planned end: SIGTERM.

use crate::clock::{Clock, Millis};
use crate::exchange::Exchange;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The front sends newcomers for up to 0.4 s more; they are served as before. Connections stand as
/// well until then: balancers are restarted one after another, and who is moved at once may find the
/// one before still down, and all that are moved at once come to the others at once.
const SERVE_ON_MS: Millis = 1_700.0;
/// Connections are moved evenly over this time, so that they come again evenly.
const MOVE_OVER_MS: Millis = 1_100.0;
/// SIGKILL comes 3.7 s after SIGTERM at the earliest; what is not over by then would be lost.
const LEAVE_AFTER_MS: Millis = 3_100.0;
/// How often some are moved.
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
        let until = clock.now() + MOVE_OVER_MS;
        loop {
            let left = until - clock.now();
            exchange.move_share(if left > AGAIN_MS { AGAIN_MS / left } else { 1.0 });
            if left <= 0.0 {
                // Whoever still waits is owed an answer, too.
                exchange.refuse_all();
            }
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
