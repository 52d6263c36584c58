//! Timers of the state machine: at most one per key. Only expired timers are visited.

use marllink::Millis;
use marllink_lease_protocol::SessionId;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerKey {
    /// The link to this server.
    Link(u64),
    /// This session.
    Session(SessionId),
    /// The next batch of reviews of replicas.
    Review,
}

/// Pending timers. Times are in microseconds, as integers have a total order.
#[derive(Debug, Default)]
pub struct Timers {
    queue: BTreeSet<(u64, TimerKey)>,
    deadlines: FxHashMap<TimerKey, u64>,
    /// Time of the callback that was last requested from the node.
    callback_at: Option<u64>,
}

impl Timers {
    /// Sets a timer. An infinite time clears it.
    pub fn set(&mut self, key: TimerKey, at: Millis) {
        self.clear(key);
        if at.is_finite() {
            // Rounded up: a timer that fires slightly early would be set again for the same time, in an
            // endless loop.
            let at = (at.max(0.0) * 1_000.0).ceil() as u64 + 1;
            self.queue.insert((at, key));
            self.deadlines.insert(key, at);
        }
    }

    /// Sets a timer unless it is set for an earlier time.
    pub fn set_earlier(&mut self, key: TimerKey, at: Millis) {
        if self.deadlines.get(&key).is_none_or(|before| (*before as f64) > at * 1_000.0 + 2.0) {
            self.set(key, at);
        }
    }

    /// Clears a timer.
    pub fn clear(&mut self, key: TimerKey) {
        if let Some(before) = self.deadlines.remove(&key) {
            self.queue.remove(&(before, key));
        }
    }

    /// Removes and returns the next expired timer.
    pub fn pop_due(&mut self, now: Millis) -> Option<TimerKey> {
        let (at, key) = *self.queue.first()?;
        if at as f64 > now * 1_000.0 {
            return None;
        }
        self.clear(key);
        Some(key)
    }

    /// Handles the callback by the node.
    pub fn fired(&mut self) {
        self.callback_at = None;
    }

    /// Returns the delay of the next callback, if it is earlier than the one requested before.
    pub fn next_delay(&mut self, now: Millis) -> Option<Millis> {
        let (first, _) = *self.queue.first()?;
        if self.callback_at.is_some_and(|callback_at| callback_at <= first) {
            return None;
        }
        self.callback_at = Some(first);
        Some((first as f64 / 1_000.0 - now).max(0.0))
    }
}

#[cfg(test)]
mod tests;
