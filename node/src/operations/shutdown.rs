//! Graceful shutdown on SIGTERM.

use crate::frontend::line::LineFrontend;
use crate::io::clock::{Clock, Millis};
use crate::io::descriptors::Purpose;
use crate::io::listener::Listener;
use crate::operations::active_settings::ActiveSettings;
use crate::operations::handover::Handover;
use marllink_rate_limits::shutdown::ShutdownSchedule;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Interval at which connections are moved, and at which remaining work is checked.
const TICK_MS: Millis = 50.0;
/// Minimum time for the closing messages to be sent, even if the shutdown is late: exiting immediately would
/// be no better than being killed.
const FINAL_FLUSH_MS: Millis = 250.0;

/// Starts to listen for SIGTERM.
///
/// # Errors
/// Fails if the signal handler can't be installed.
pub fn listen() -> std::io::Result<Signal> {
    signal(SignalKind::terminate())
}

/// What a shutdown operates on.
pub struct Shutdown<'a> {
    /// The clock for timeouts.
    pub clock: &'a Clock,
    /// The active settings, which determine the schedule of the shutdown.
    pub settings: &'a ActiveSettings,
    /// The connections, and whether there is a successor.
    pub handover: &'a Handover,
    /// The client side, which accepts the clients that arrive until the end.
    pub frontend: &'a Rc<LineFrontend>,
    /// The socket on which clients arrive.
    pub listener: &'a Listener,
}

impl Shutdown<'_> {
    /// Waits for SIGTERM. Returns once every connection is moved, every request is answered and every client
    /// has closed, or when the time is up.
    pub async fn graceful(&self, mut term: Signal) {
        term.recv().await;
        let (clock, handover) = (self.clock, self.handover);
        handover.shutting_down.set(true);
        let started_at = clock.now();
        let schedule = ShutdownSchedule::for_deadline(self.settings.current().max_deadline_ms);
        let mut serving = handover.serving.subscribe();
        tracing::info!(
            requests = handover.exchange.request_count(),
            killed_after_ms = schedule.kill_at,
            "SIGTERM: still serving new connections, then moving all clients"
        );
        // A successor may start to accept clients at this very moment.
        let has_successor = serving.wait_for(|serving| !*serving);
        let has_successor = clock.within(schedule.serve_until, has_successor).await.is_some();
        let hand_over_until =
            if has_successor { clock.now() - started_at + schedule.handover_until } else { 0.0 };
        let [from, until, exit_at] =
            [hand_over_until, schedule.answer_pending_at, schedule.exit_at].map(|after| started_at + after);
        tokio::select! {
            () = self.until_empty() => {}
            () = self.move_connections(from, until, exit_at) => {}
        }
        tracing::info!(
            requests = handover.exchange.request_count(),
            openings = self.pending_connections(),
            "exiting"
        );
    }

    /// Moves the established connections at an even rate between `from` and `until`, then ends everything
    /// that remains, and waits at least until `exit_at` for the closing messages to be sent. A process that
    /// was delayed beyond `exit_at` still waits [`FINAL_FLUSH_MS`] for them.
    async fn move_connections(&self, from: Millis, until: Millis, exit_at: Millis) {
        let (clock, exchange) = (self.clock, &self.handover.exchange);
        clock.sleep(from.min(until) - clock.now()).await;
        let mut quota = 0.0;
        let mut final_answer_at = f64::INFINITY;
        while clock.now() < exit_at.max(final_answer_at + FINAL_FLUSH_MS) {
            let remaining_ms = until - clock.now();
            // Fractions accumulate: moving at least one connection per tick would move a small number of them
            // all at once.
            quota += exchange.established_count() as f64
                * if remaining_ms > TICK_MS { TICK_MS / remaining_ms } else { 1.0 };
            exchange.move_oldest(quota as usize);
            quota = quota.fract();
            if remaining_ms <= 0.0 {
                final_answer_at = final_answer_at.min(clock.now());
                // Requests that still wait need an answer too, and clients without a request yet must not
                // start waiting.
                self.handover
                    .terminating
                    .send_if_modified(|terminating| !std::mem::replace(terminating, true));
                exchange.answer_all_waiting();
            }
            clock.sleep(TICK_MS).await;
        }
    }

    /// Waits until nothing remains: no request, no client that may be about to send one, and no connection
    /// being passed to a successor, which counts until its sockets are closed here.
    async fn until_empty(&self) {
        loop {
            self.clock.sleep(TICK_MS).await;
            // On an overloaded machine, clients may be in the accept queue before the event loop reports
            // them.
            let accepted = *self.handover.serving.borrow() && self.frontend.accept_pending(self.listener);
            let connection_count =
                self.pending_connections() + self.handover.descriptors.in_use(Purpose::Served);
            if !accepted && connection_count + self.handover.exchange.request_count() == 0 {
                return;
            }
        }
    }

    fn pending_connections(&self) -> usize {
        self.handover.descriptors.in_use(Purpose::Pending)
    }
}
