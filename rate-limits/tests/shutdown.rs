//! Phases of a graceful shutdown, for short and long deadlines.
#![allow(missing_docs, reason = "test names state what they check")]

use marllink_rate_limits::shutdown::ShutdownSchedule;

/// When the platform sends SIGKILL after SIGTERM, in ms.
fn kill_at(longest_deadline_ms: f64) -> f64 {
    longest_deadline_ms.min(3_000.0) + 700.0
}

#[test]
fn phases_follow_each_other_and_end_before_sigkill_for_any_deadline() {
    for deadline in [50.0, 100.0, 300.0, 900.0, 1_400.0, 2_999.0, 3_000.0, 4_800.0, 20_000.0, 1e9] {
        let schedule = ShutdownSchedule::for_deadline(deadline);
        assert_eq!(schedule.kill_at, kill_at(deadline));
        assert!(schedule.serve_until >= 450.0, "{deadline}: new connections arrive for 0.4 s");
        let order = [schedule.serve_until, schedule.answer_pending_at, schedule.exit_at, schedule.kill_at];
        assert!(order.is_sorted(), "{deadline}: {order:?}");
        assert!(schedule.handover_until < schedule.answer_pending_at, "{deadline}: {schedule:?}");
        // Time for moving clients, for the last responses, and for delays.
        assert!(schedule.answer_pending_at - schedule.serve_until >= 50.0, "{deadline}: {schedule:?}");
        assert!(schedule.exit_at - schedule.answer_pending_at >= 100.0, "{deadline}: {schedule:?}");
        assert!(schedule.kill_at - schedule.exit_at >= 100.0, "{deadline}: {schedule:?}");
    }
}

#[test]
fn an_unknown_deadline_counts_as_the_longest() {
    assert_eq!(ShutdownSchedule::for_deadline(0.0), ShutdownSchedule::for_deadline(3_000.0));
    assert_eq!(ShutdownSchedule::for_deadline(f64::NAN), ShutdownSchedule::for_deadline(3_000.0));
}
