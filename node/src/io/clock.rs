//! The one place that reads time: milliseconds as a floating-point number.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point on the clock's own time line or a span, in milliseconds.
pub type Millis = f64;

/// What the clock shows when the program starts. The decisions read a start time of 0 or less as
/// "long ago", so a form host that started some hours before this program must still lie above 0.
const START: Millis = 86_400_000.0;

/// The longest sleep that the timer takes in one piece; longer ones are as good as never.
const LONGEST: Millis = 86_400_000.0;

/// Tells the time and waits for it.
#[derive(Clone, Debug)]
pub struct Clock(Arc<Source>);

#[derive(Debug)]
enum Source {
    /// The machine's monotonic clock, with what the wall clock showed when it was first read.
    Machine { origin: Instant, unix_ms: Millis },
    /// Stands still until a test sets it.
    #[cfg(test)]
    Set { now: std::sync::Mutex<Millis>, changed: tokio::sync::Notify },
}

impl Clock {
    /// A clock that goes with the machine's.
    pub fn of_machine() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(Arc::new(Source::Machine { origin: Instant::now(), unix_ms: unix.as_secs_f64() * 1_000.0 }))
    }

    /// A clock that stands at its start until it is set.
    #[cfg(test)]
    pub fn settable() -> Self {
        Self(Arc::new(Source::Set { now: START.into(), changed: tokio::sync::Notify::new() }))
    }

    /// Sets the clock forward by `ms`; whoever has waited long enough wakes.
    #[cfg(test)]
    pub fn advance(&self, ms: Millis) {
        if let Source::Set { now, changed } = &*self.0 {
            *now.lock().expect("no test panics with the lock") += ms;
            changed.notify_waiters();
        }
    }

    /// The time now; it never goes back.
    pub fn now(&self) -> Millis {
        match &*self.0 {
            Source::Machine { origin, .. } => START + origin.elapsed().as_secs_f64() * 1_000.0,
            #[cfg(test)]
            Source::Set { now, .. } => *now.lock().expect("no test panics with the lock"),
        }
    }

    /// A Unix time on this clock; 0, which stands for "long ago", stays 0. The same Unix time
    /// always gives the same result, or a form host would seem to start anew with each list.
    pub fn at_unix(&self, unix: Millis) -> Millis {
        let start = match &*self.0 {
            Source::Machine { unix_ms, .. } => *unix_ms,
            #[cfg(test)]
            Source::Set { .. } => 1_000_000_000.0,
        };
        if unix > 0.0 { (unix - start + START).max(0.0) } else { 0.0 }
    }

    /// The Unix time now, in milliseconds. It goes with this clock: a wall clock that is set meanwhile
    /// does not change it.
    pub fn unix(&self) -> Millis {
        match &*self.0 {
            Source::Machine { unix_ms, .. } => self.now() - START + unix_ms,
            #[cfg(test)]
            Source::Set { .. } => self.now() - START + 1_000_000_000.0,
        }
    }

    /// Waits for `ms`; not at all if that is negative.
    pub async fn sleep(&self, ms: Millis) {
        match &*self.0 {
            Source::Machine { .. } => {
                tokio::time::sleep(Duration::from_secs_f64(ms.clamp(0.0, LONGEST) / 1_000.0)).await;
            }
            #[cfg(test)]
            Source::Set { changed, .. } => {
                let until = self.now() + ms;
                while self.now() < until {
                    changed.notified().await;
                }
            }
        }
    }

    /// The future's output, or `None` if it is not done within `ms`.
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
    fn a_host_that_started_before_the_program_is_not_taken_for_one_of_long_ago() {
        let clock = Clock::settable();
        assert_eq!(clock.at_unix(0.0), 0.0);
        let started = clock.at_unix(1_000_000_000.0 - 2_500.0);
        assert_eq!(clock.now() - started, 2_500.0);
        assert_eq!(clock.at_unix(1.0), 0.0);
    }

    #[tokio::test(flavor = "current_thread")]
    async fn whoever_waits_wakes_when_the_clock_is_set_far_enough() {
        let clock = Clock::settable();
        let waiting = clock.within(100.0, std::future::pending::<()>());
        tokio::pin!(waiting);
        assert!(futures_poll(&mut waiting).await.is_none());
        clock.advance(99.0);
        assert!(futures_poll(&mut waiting).await.is_none());
        clock.advance(1.0);
        assert_eq!(futures_poll(&mut waiting).await, Some(None));
    }

    /// Polls once.
    async fn futures_poll<F: Future + Unpin>(future: &mut F) -> Option<F::Output> {
        std::future::poll_fn(|cx| {
            std::task::Poll::Ready(match std::pin::Pin::new(&mut *future).poll(cx) {
                std::task::Poll::Ready(output) => Some(output),
                std::task::Poll::Pending => None,
            })
        })
        .await
    }
}
