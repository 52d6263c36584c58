//! What is due when: each thing has one time at most, and only what is due is looked at.

use marllink::Millis;
use marllink_lease_protocol::SessionId;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// What may be due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Due {
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
    order: BTreeSet<(u64, Due)>,
    times: FxHashMap<Due, u64>,
    /// For when the node was last asked to call back.
    armed: Option<u64>,
}

impl Timers {
    /// Makes something due then; not at all if that is infinite.
    pub fn set(&mut self, due: Due, at: Millis) {
        self.clear(due);
        if at.is_finite() {
            // Rounded up: what is looked at a moment too soon would be due again at once, for ever.
            let at = (at.max(0.0) * 1_000.0).ceil() as u64 + 1;
            self.order.insert((at, due));
            self.times.insert(due, at);
        }
    }

    /// Makes something due then, unless it is sooner.
    pub fn sooner(&mut self, due: Due, at: Millis) {
        if self.times.get(&due).is_none_or(|before| (*before as f64) > at * 1_000.0 + 2.0) {
            self.set(due, at);
        }
    }

    /// It is not due any more.
    pub fn clear(&mut self, due: Due) {
        if let Some(before) = self.times.remove(&due) {
            self.order.remove(&(before, due));
        }
    }

    /// Takes the next that is due.
    pub fn pop(&mut self, now: Millis) -> Option<Due> {
        let (at, due) = *self.order.first()?;
        if at as f64 > now * 1_000.0 {
            return None;
        }
        self.clear(due);
        Some(due)
    }

    /// The node has called back.
    pub fn fired(&mut self) {
        self.armed = None;
    }

    /// In how long the node is to call back, if that is sooner than it was asked before.
    pub fn arm(&mut self, now: Millis) -> Option<Millis> {
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
        for (due, at) in [(Due::Link(1), 1_000.000_4), (Due::Review, 2_000.0), (Due::Link(2), 3_000.0)] {
            timers.set(due, at);
        }
        assert!(timers.arm(500.0).is_some_and(|ms| (500.0..501.0).contains(&ms)));
        assert_eq!(timers.arm(500.0), None);
        assert_eq!(timers.pop(1_000.000_3), None);
        assert_eq!(timers.pop(1_000.01), Some(Due::Link(1)));
        timers.fired();
        timers.set(Due::Review, 2_500.0);
        timers.set(Due::Link(2), f64::INFINITY);
        assert_eq!(timers.pop(2_400.0), None);
        assert_eq!(timers.pop(2_501.0), Some(Due::Review));
        assert_eq!((timers.pop(1e9), timers.arm(1e9)), (None, None));
    }
}
