//! A planned end: SIGTERM.

use crate::io::clock::{Clock, Millis};
use crate::io::descriptors::Purpose;
use crate::operations::handover::Handover;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The front sends newcomers for up to 0.4 s more; they are served as before. Connections stand as
/// well until then: balancers are restarted one after another, and who is moved at once may find the
/// one before still down, and all that are moved at once come to the others at once.
const SERVE_ON_MS: Millis = 1_700.0;
/// Connections are moved evenly over this time, so that they come again evenly.
const MOVE_OVER_MS: Millis = 900.0;
/// A process whose successor takes clients passes its connections on first, for so long ...
const PASS_ON_MS: Millis = 1_000.0;
/// ... and moves those that could not be passed over this time.
const MOVE_REST_MS: Millis = 1_700.0;
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
pub async fn orderly(mut term: Signal, clock: &Clock, handover: &Handover) {
    let exchange = &handover.exchange;
    term.recv().await;
    handover.leaving.set(true);
    let leave_at = clock.now() + LEAVE_AFTER_MS;
    let mut serving = handover.serving.subscribe();
    tracing::info!(requests = exchange.len(), "SIGTERM: serving newcomers, then moving all");
    // A successor may take clients at this very moment.
    let succeeded = serving.wait_for(|serving| !*serving);
    let succeeded = clock.within(SERVE_ON_MS, succeeded).await.is_some();
    let moving = async {
        if succeeded {
            clock.sleep(PASS_ON_MS).await;
        }
        let move_over = if succeeded { MOVE_REST_MS } else { MOVE_OVER_MS };
        let until = (clock.now() + move_over).min(leave_at - 2.0 * AGAIN_MS);
        let mut owed = 0.0;
        loop {
            let left = until - clock.now();
            // Parts of a connection add up: one at least each time would move few all at once.
            owed += exchange.standing() as f64 * if left > AGAIN_MS { AGAIN_MS / left } else { 1.0 };
            exchange.move_some(owed as usize);
            owed = owed.fract();
            if left <= 0.0 {
                // Whoever still waits is owed an answer, too.
                exchange.refuse_all();
            }
            clock.sleep(AGAIN_MS).await;
        }
    };
    let idle = async {
        exchange.until_empty().await;
        // Nobody new comes to a process that has handed over; those that have come are answered, and
        // those that are passed on are on their way until their sockets are closed here.
        let in_use = || [Purpose::Opening, Purpose::Served].map(|p| handover.descriptors.in_use(p));
        while succeeded && in_use().iter().sum::<usize>() + exchange.len() > 0 {
            clock.sleep(AGAIN_MS).await;
        }
    };
    tokio::select! {
        () = idle => {}
        () = moving => {}
        () = clock.sleep(leave_at - clock.now()) => {}
    }
    tracing::info!(requests = exchange.len(), "leaving");
}
