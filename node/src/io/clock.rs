//! The only module that reads the time: milliseconds as a floating-point number.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time on this clock's time line, or a duration, in milliseconds.
pub type Millis = f64;

/// The clock's value at program start. The decision logic reads a start time of 0 or less as "long ago", so a
/// server that started some hours before this program must still have a start time above 0.
const START_MS: Millis = 86_400_000.0;

/// Maximum duration of one sleep. Longer durations are effectively infinite.
const MAX_SLEEP_MS: Millis = 86_400_000.0;

/// Returns the current time and sleeps.
#[derive(Clone, Debug)]
pub struct Clock(Arc<Source>);

#[derive(Debug)]
enum Source {
    /// The system's monotonic clock, with the wall clock time when it was first read.
    System { origin: Instant, unix_origin_ms: Millis },
    /// Advances only when a test does so.
    #[cfg(test)]
    Manual { now: std::sync::Mutex<Millis>, changed: tokio::sync::Notify },
}

impl Clock {
    /// Creates a clock that follows the system clock.
    pub fn system() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(Arc::new(Source::System {
            origin: Instant::now(),
            unix_origin_ms: unix.as_secs_f64() * 1_000.0,
        }))
    }

    /// Creates a clock that stays at its start time until advanced.
    #[cfg(test)]
    pub fn manual() -> Self {
        Self(Arc::new(Source::Manual { now: START_MS.into(), changed: tokio::sync::Notify::new() }))
    }

    /// Advances the clock by `ms` and wakes the tasks whose sleeps have expired.
    #[cfg(test)]
    pub fn advance(&self, ms: Millis) {
        if let Source::Manual { now, changed } = &*self.0 {
            *now.lock().expect("no test panics while it holds the lock") += ms;
            changed.notify_waiters();
        }
    }

    /// Returns the current time; it never goes back.
    pub fn now(&self) -> Millis {
        match &*self.0 {
            Source::System { origin, .. } => START_MS + origin.elapsed().as_secs_f64() * 1_000.0,
            #[cfg(test)]
            Source::Manual { now, .. } => *now.lock().expect("no test panics while it holds the lock"),
        }
    }

    /// Converts a Unix time to this clock's time line; 0, which stands for "long ago", stays 0. The result
    /// for a given Unix time never changes; otherwise a server would appear to restart with each list.
    pub fn unix_to_clock(&self, unix_ms: Millis) -> Millis {
        let unix_origin_ms = match &*self.0 {
            Source::System { unix_origin_ms, .. } => *unix_origin_ms,
            #[cfg(test)]
            Source::Manual { .. } => 1_000_000_000.0,
        };
        if unix_ms > 0.0 { (unix_ms - unix_origin_ms + START_MS).max(0.0) } else { 0.0 }
    }

    /// Returns the current Unix time in milliseconds. It is derived from this clock, so adjustments of the
    /// wall clock do not affect it.
    pub fn unix_ms(&self) -> Millis {
        match &*self.0 {
            Source::System { unix_origin_ms, .. } => self.now() - START_MS + unix_origin_ms,
            #[cfg(test)]
            Source::Manual { .. } => self.now() - START_MS + 1_000_000_000.0,
        }
    }

    /// Sleeps for `ms`; returns immediately if that is negative.
    pub async fn sleep(&self, ms: Millis) {
        match &*self.0 {
            Source::System { .. } => {
                tokio::time::sleep(Duration::from_secs_f64(ms.clamp(0.0, MAX_SLEEP_MS) / 1_000.0)).await;
            }
            #[cfg(test)]
            Source::Manual { changed, .. } => {
                let deadline = self.now() + ms;
                while self.now() < deadline {
                    changed.notified().await;
                }
            }
        }
    }

    /// Returns the future's output, or `None` if it does not complete within `ms`.
    pub async fn within<F: Future>(&self, ms: Millis, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep(ms) => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_server_that_started_before_the_program_keeps_its_start_time() {
        let clock = Clock::manual();
        assert_eq!(clock.unix_to_clock(0.0), 0.0);
        let started = clock.unix_to_clock(1_000_000_000.0 - 2_500.0);
        assert_eq!(clock.now() - started, 2_500.0);
        assert_eq!(clock.unix_to_clock(1.0), 0.0);
    }

    #[tokio::test(flavor = "current_thread")]
    async fn a_sleep_ends_once_the_clock_has_advanced_far_enough() {
        let clock = Clock::manual();
        let waiting = clock.within(100.0, std::future::pending::<()>());
        tokio::pin!(waiting);
        assert!(poll_once(&mut waiting).await.is_none());
        clock.advance(99.0);
        assert!(poll_once(&mut waiting).await.is_none());
        clock.advance(1.0);
        assert_eq!(poll_once(&mut waiting).await, Some(None));
    }

    /// Polls the future once.
    async fn poll_once<F: Future + Unpin>(future: &mut F) -> Option<F::Output> {
        std::future::poll_fn(|cx| {
            std::task::Poll::Ready(match std::pin::Pin::new(&mut *future).poll(cx) {
                std::task::Poll::Ready(output) => Some(output),
                std::task::Poll::Pending => None,
            })
        })
        .await
    }
}
