//! Tests of the timers.

use super::*;

#[test]
fn no_timer_fires_early_and_callbacks_are_requested_only_for_earlier_times() {
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
