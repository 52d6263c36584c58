//! A planned end: SIGTERM.

use crate::frontend::line::LineFrontend;
use crate::io::clock::{Clock, Millis};
use crate::io::descriptors::Purpose;
use crate::io::listener::Listener;
use crate::operations::handover::Handover;
use crate::operations::tuning::Tuning;
use marllink_rate_limits::shutdown::ShutdownSchedule;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// How often some are moved, and how often it is looked whether anything is left.
const AGAIN_MS: Millis = 50.0;
/// So long at least the last lines have to go out, however late it is: to leave at once would be no better than to be
/// killed.
const LAST_MS: Millis = 250.0;

/// Listens for SIGTERM from now on.
///
/// # Errors
/// Fails if the system lets no handler be set.
pub fn listen() -> std::io::Result<Signal> {
    signal(SignalKind::terminate())
}

/// What an end has to do with.
pub struct Leaving<'a> {
    /// For the time limits.
    pub clock: &'a Clock,
    /// The settings in force, by which the end is timed.
    pub tuning: &'a Tuning,
    /// The connections, and whether there is a successor.
    pub handover: &'a Handover,
    /// Those who have not asked yet.
    pub clients: &'a Rc<LineFrontend>,
    /// Where they come from.
    pub listener: &'a Listener,
}

impl Leaving<'_> {
    /// Waits for SIGTERM, and returns once every connection has been moved, every request answered and every
    /// client has closed, or when there is no time left for that.
    pub async fn orderly(&self, mut term: Signal) {
        term.recv().await;
        let (clock, handover) = (self.clock, self.handover);
        handover.leaving.set(true);
        let told_at = clock.now();
        let ending = ShutdownSchedule::for_deadline(self.tuning.now().max_deadline_ms);
        let mut serving = handover.serving.subscribe();
        tracing::info!(
            requests = handover.exchange.request_count(),
            killed_after_ms = ending.kill_at,
            "SIGTERM: serving newcomers, then moving all"
        );
        // A successor may take clients at this very moment.
        let succeeded = serving.wait_for(|serving| !*serving);
        let succeeded = clock.within(ending.serve_until, succeeded).await.is_some();
        let pass_until = if succeeded { clock.now() - told_at + ending.handover_until } else { 0.0 };
        let [from, until, leave_at] =
            [pass_until, ending.answer_pending_at, ending.exit_at].map(|after| told_at + after);
        tokio::select! {
            () = self.until_empty() => {}
            () = self.moving(from, until, leave_at) => {}
        }
        tracing::info!(requests = handover.exchange.request_count(), openings = self.openings(), "leaving");
    }

    /// Moves all that stand evenly between these times, ends whatever there is then, and waits until `leave_at` at
    /// least for that to go out. A process that was held up until later has that time, too.
    async fn moving(&self, from: Millis, until: Millis, leave_at: Millis) {
        let (clock, exchange) = (self.clock, &self.handover.exchange);
        clock.sleep(from.min(until) - clock.now()).await;
        let mut owed = 0.0;
        let mut answered_at = f64::INFINITY;
        while clock.now() < leave_at.max(answered_at + LAST_MS) {
            let left = until - clock.now();
            // Parts of a connection add up: one at least each time would move few all at once.
            owed += exchange.established_count() as f64 * if left > AGAIN_MS { AGAIN_MS / left } else { 1.0 };
            exchange.move_oldest(owed as usize);
            owed = owed.fract();
            if left <= 0.0 {
                answered_at = answered_at.min(clock.now());
                // Whoever still waits is owed an answer, too, and who has not asked yet must not wait to.
                self.handover.ending.send_if_modified(|ending| !std::mem::replace(ending, true));
                exchange.answer_all_waiting();
            }
            clock.sleep(AGAIN_MS).await;
        }
    }

    /// Waits until nothing is left: no request, nobody who may be about to ask, and no connection on its way
    /// to a successor, as those are until their sockets are closed here.
    async fn until_empty(&self) {
        loop {
            self.clock.sleep(AGAIN_MS).await;
            // On a machine that is behind, clients may wait to be accepted of whom the event loop has not heard.
            let waited = *self.handover.serving.borrow() && self.clients.accept_pending(self.listener);
            let left = self.openings() + self.handover.descriptors.in_use(Purpose::Served);
            if !waited && left + self.handover.exchange.request_count() == 0 {
                return;
            }
        }
    }

    fn openings(&self) -> usize {
        self.handover.descriptors.in_use(Purpose::Opening)
    }
}
