//! Distinguishes the two meanings of a `LOAD X` line. Servers that report both the load of a connection and
//! the delay of its messages use the same line for both; the meaning has to be inferred from the value
//! and from when the line arrives.
//!
//! A load is reported as soon as a connection is established and whenever it changes, in microseconds of
//! work per second: thousands, seldom less than one thousand. A delay is reported once a second while it
//! is above a third of the strictest message goal, and once more when it falls below that: tens to some
//! thousands of milliseconds, and less than that third in the last report.

use crate::io::clock::Millis;

/// Maximum delay, in milliseconds. A larger value is a load: servers drop connections before delays grow that
/// long.
const MAX_DELAY_MS: f64 = 5_000.0;
/// A first value that arrives within this time after the connection is established is its load. In
/// milliseconds.
const INITIAL_LOAD_WINDOW_MS: Millis = 200.0;
/// Interval between two delay reports of a server, in milliseconds.
const DELAY_REPORT_INTERVAL_MS: Millis = 1_000.0;
/// Tolerated deviation from that interval, in milliseconds.
const REPORT_JITTER_MS: Millis = 6.0;
/// A load is not expected to fall below this share of its previous value in one step, so a smaller value may
/// be a delay.
const MIN_PLAUSIBLE_LOAD_RATIO: f64 = 1.0 / 6.0;
/// A first value that arrives late is a load if it is at least this, in microseconds of work per second.
const MIN_LATE_INITIAL_LOAD: f64 = 3_000.0;

/// What is known about the connection and its server when a line arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineContext {
    /// The current time.
    pub now: Millis,
    /// When the connection was established.
    pub established_at: Millis,
    /// The load of the connection that was last reported; 0 if there was no report yet.
    pub previous_load: f64,
    /// When the server last reported a delay, or a value that may be one, on any connection.
    pub delay_reported_at: Option<Millis>,
    /// Delays above this are reported, in milliseconds.
    pub report_threshold_ms: Millis,
}

/// What the value of a `LOAD` line is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// The load of the connection, in microseconds of work per second.
    Load,
    /// The delay of a message, in milliseconds.
    Delay,
    /// Either the first delay or a small load. The value is ignored, because a small load that is taken for a
    /// delay makes a healthy server look overloaded. If another value arrives when the next delay report is
    /// due, that one is a delay.
    Ambiguous,
}

/// Classifies the value of a `LOAD` line.
#[must_use]
pub fn classify(value: f64, context: &LineContext) -> LineKind {
    if value > MAX_DELAY_MS {
        return LineKind::Load;
    }
    let report_due =
        |reported_at: Millis| (context.now - reported_at - DELAY_REPORT_INTERVAL_MS).abs() < REPORT_JITTER_MS;
    if context.delay_reported_at.is_some_and(report_due) {
        return LineKind::Delay;
    }
    let small = if context.previous_load > 0.0 {
        value < context.previous_load * MIN_PLAUSIBLE_LOAD_RATIO
    } else {
        context.now - context.established_at > INITIAL_LOAD_WINDOW_MS && value < MIN_LATE_INITIAL_LOAD
    };
    if small || value < context.report_threshold_ms { LineKind::Ambiguous } else { LineKind::Load }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CONTEXT: LineContext = LineContext {
        now: 10_000.0,
        established_at: 2_000.0,
        previous_load: 17_000.0,
        delay_reported_at: None,
        report_threshold_ms: 20.0,
    };

    #[test]
    fn a_value_far_below_the_previous_load_is_ambiguous() {
        assert_eq!(classify(42.6, &CONTEXT), LineKind::Ambiguous);
        assert_eq!(classify(1_420.0, &CONTEXT), LineKind::Ambiguous);
        assert_eq!(classify(6_900.0, &CONTEXT), LineKind::Load);
        assert_eq!(classify(180_947.2, &CONTEXT), LineKind::Load);
        assert_eq!(classify(400.0, &LineContext { previous_load: 566.0, ..CONTEXT }), LineKind::Load);
        assert_eq!(classify(11.5, &LineContext { previous_load: 30.0, ..CONTEXT }), LineKind::Ambiguous);
    }

    #[test]
    fn a_value_one_second_after_the_last_delay_of_the_server_is_a_delay() {
        let small = LineContext { previous_load: 900.0, ..CONTEXT };
        assert_eq!(classify(482.7, &small), LineKind::Load);
        assert_eq!(
            classify(482.7, &LineContext { delay_reported_at: Some(8_999.0), ..small }),
            LineKind::Delay
        );
        assert_eq!(
            classify(482.7, &LineContext { delay_reported_at: Some(9_400.0), ..small }),
            LineKind::Load
        );
        assert_eq!(
            classify(20_000.0, &LineContext { delay_reported_at: Some(9_000.0), ..small }),
            LineKind::Load
        );
    }

    #[test]
    fn the_first_value_of_a_connection_is_its_load_unless_it_is_late_and_small() {
        let new_connection = LineContext { previous_load: 0.0, established_at: 9_990.0, ..CONTEXT };
        assert_eq!(classify(303.4, &new_connection), LineKind::Load);
        assert_eq!(
            classify(516.0, &LineContext { established_at: 9_000.0, ..new_connection }),
            LineKind::Ambiguous
        );
        assert_eq!(
            classify(6_980.0, &LineContext { established_at: 9_000.0, ..new_connection }),
            LineKind::Load
        );
    }
}
