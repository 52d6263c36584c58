//! What is due when: each thing has one time at most, and only what is due is looked at.

use marllink::Millis;
use marllink_lease_protocol::SessionId;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// What may be due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerKey {
    /// Something about the link to this server.
    Link(u64),
    /// Something about this session.
    Session(SessionId),
    /// Some sessions' keepers are to be looked at.
    Review,
}

/// The times, in microseconds so that they have an order.
#[derive(Debug, Default)]
pub struct Timers {
    order: BTreeSet<(u64, TimerKey)>,
    times: FxHashMap<TimerKey, u64>,
    /// For when the node was last asked to call back.
    armed: Option<u64>,
}

impl Timers {
    /// Makes something due then; not at all if that is infinite.
    pub fn set(&mut self, key: TimerKey, at: Millis) {
        self.clear(key);
        if at.is_finite() {
            // Rounded up: what is looked at a moment too soon would be due again at once, for ever.
            let at = (at.max(0.0) * 1_000.0).ceil() as u64 + 1;
            self.order.insert((at, key));
            self.times.insert(key, at);
        }
    }

    /// Makes something due then, unless it is sooner.
    pub fn set_earlier(&mut self, key: TimerKey, at: Millis) {
        if self.times.get(&key).is_none_or(|before| (*before as f64) > at * 1_000.0 + 2.0) {
            self.set(key, at);
        }
    }

    /// It is not due any more.
    pub fn clear(&mut self, key: TimerKey) {
        if let Some(before) = self.times.remove(&key) {
            self.order.remove(&(before, key));
        }
    }

    /// Takes the next that is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<TimerKey> {
        let (at, key) = *self.order.first()?;
        if at as f64 > now * 1_000.0 {
            return None;
        }
        self.clear(key);
        Some(key)
    }

    /// The node has called back.
    pub fn fired(&mut self) {
        self.armed = None;
    }

    /// In how long the node is to call back, if that is sooner than it was asked before.
    pub fn next_delay(&mut self, now: Millis) -> Option<Millis> {
        let (first, _) = *self.order.first()?;
        if self.armed.is_some_and(|armed| armed <= first) {
            return None;
        }
        self.armed = Some(first);
        Some((first as f64 / 1_000.0 - now).max(0.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_is_due_before_its_time_and_the_node_is_asked_only_for_what_is_sooner() {
        let mut timers = Timers::default();
        for (key, at) in
            [(TimerKey::Link(1), 1_000.000_4), (TimerKey::Review, 2_000.0), (TimerKey::Link(2), 3_000.0)]
        {
            timers.set(key, at);
        }
        assert!(timers.next_delay(500.0).is_some_and(|ms| (500.0..501.0).contains(&ms)));
        assert_eq!(timers.next_delay(500.0), None);
        assert_eq!(timers.pop_due(1_000.000_3), None);
        assert_eq!(timers.pop_due(1_000.01), Some(TimerKey::Link(1)));
        timers.fired();
        timers.set(TimerKey::Review, 2_500.0);
        timers.set(TimerKey::Link(2), f64::INFINITY);
        assert_eq!(timers.pop_due(2_400.0), None);
        assert_eq!(timers.pop_due(2_501.0), Some(TimerKey::Review));
        assert_eq!((timers.pop_due(1e9), timers.next_delay(1e9)), (None, None));
    }
}
