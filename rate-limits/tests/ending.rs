//! The parts of a planned end, by the longest deadline.
#![allow(missing_docs, reason = "tests are named for what they show")]

use marllink_rate_limits::ending::Ending;

/// What the platform's page says of SIGKILL.
fn killed_at(longest_ms: f64) -> f64 {
    longest_ms.min(3_000.0) + 700.0
}

#[test]
fn every_part_ends_before_the_next_and_all_before_sigkill_however_short_deadlines_are() {
    for longest in [50.0, 100.0, 300.0, 900.0, 1_400.0, 2_999.0, 3_000.0, 4_800.0, 20_000.0, 1e9] {
        let ending = Ending::within(longest);
        assert_eq!(ending.killed_at, killed_at(longest));
        assert!(ending.serve_until >= 450.0, "{longest}: newcomers come for 0.4 s");
        let order = [ending.serve_until, ending.answer_at, ending.leave_at, ending.killed_at];
        assert!(order.is_sorted(), "{longest}: {order:?}");
        assert!(ending.pass_until < ending.answer_at, "{longest}: {ending:?}");
        // Time to move in, time for the last answers, and time to be late in.
        assert!(ending.answer_at - ending.serve_until >= 50.0, "{longest}: {ending:?}");
        assert!(ending.leave_at - ending.answer_at >= 100.0, "{longest}: {ending:?}");
        assert!(ending.killed_at - ending.leave_at >= 100.0, "{longest}: {ending:?}");
    }
}

#[test]
fn a_deadline_that_is_not_known_counts_as_the_longest() {
    assert_eq!(Ending::within(0.0), Ending::within(3_000.0));
    assert_eq!(Ending::within(f64::NAN), Ending::within(3_000.0));
}
