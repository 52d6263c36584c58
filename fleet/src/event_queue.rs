//! Queue of future events, ordered by time, and by insertion where times are equal.

use crate::Millis;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<E> {
    at: Millis,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl<E> Eq for Entry<E> {}
impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Entry<E> {
    /// Reversed, because the heap returns the greatest entry first and the earliest is wanted.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// Queue of future events.
pub struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    sequence: u64,
    now: Millis,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue at time 0.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0, now: 0.0 }
    }

    /// Returns the current time: that of the event popped last.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Schedules an event at a time, or now if that time has passed.
    pub fn schedule_at(&mut self, at: Millis, event: E) {
        self.sequence += 1;
        self.heap.push(Entry { at: at.max(self.now), sequence: self.sequence, event });
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, delay: Millis, event: E) {
        self.schedule_at(self.now + delay, event);
    }

    /// Pops the next event, unless it is later than `end`.
    pub fn pop_until(&mut self, end: Millis) -> Option<E> {
        if self.heap.peek()?.at > end {
            return None;
        }
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_are_popped_by_time_and_then_in_insertion_order() {
        let mut queue = EventQueue::new();
        queue.schedule_at(5.0, "later");
        queue.schedule_at(1.0, "first");
        queue.schedule_at(1.0, "second");
        queue.schedule_at(9.0, "after the end");
        let mut popped = Vec::new();
        while let Some(event) = queue.pop_until(8.0) {
            popped.push(event);
            if event == "first" {
                queue.schedule_at(0.0, "scheduled in the past, so happens now");
            }
        }
        assert_eq!(popped, ["first", "second", "scheduled in the past, so happens now", "later"]);
        assert_eq!(queue.now(), 5.0);
    }
}
