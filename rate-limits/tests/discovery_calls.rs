//! Timing of discovery calls, and the longest time until a change is known.
#![allow(missing_docs, reason = "test names state what they check")]

use marllink_rate_limits::discovery_calls::{
    CONNECT_TIMEOUT_MS, MAX_PROPAGATION_MS, MAX_QUEUE_TIMEOUT_MS, OVERLOADED_RESPONSE_TIMEOUT_MS,
    QUEUE_TIMEOUT_MS, RESPONSE_TIMEOUT_MS, WATCH_TIMEOUT_MS, initial_delay, retry_delay,
};

#[test]
fn initial_calls_are_spread_in_proportion_to_the_fleet_within_the_permitted_time() {
    assert_eq!((initial_delay(100, 10_000.0, 0.5), initial_delay(1_000, 10_000.0, 1.0)), (1_000.0, 2_500.0));
}

#[test]
fn calls_after_a_failure_are_spread_and_never_form_a_busy_loop() {
    assert!(retry_delay(0.0) >= 200.0);
    assert!(
        retry_delay(1.0) >= 3.0 * retry_delay(0.0),
        "calls that failed together must not be repeated together"
    );
}

/// The worst case of each way in which a change can be late, as the module documentation lists them.
#[test]
fn a_change_is_known_in_time_regardless_of_earlier_failures() {
    let max_retry_delay = retry_delay(1.0);
    let worst = [
        ("a watch that receives nothing", WATCH_TIMEOUT_MS + max_retry_delay + QUEUE_TIMEOUT_MS),
        ("a call that is never answered", RESPONSE_TIMEOUT_MS + max_retry_delay + QUEUE_TIMEOUT_MS),
        ("a connection that does not come up", CONNECT_TIMEOUT_MS + max_retry_delay + QUEUE_TIMEOUT_MS),
        ("a call that timed out in the queue", 2.0 * (max_retry_delay + QUEUE_TIMEOUT_MS)),
    ];
    for (case, sum) in worst {
        assert!(sum <= MAX_PROPAGATION_MS, "{case}: {sum} ms");
    }
    // A line due every 2 s may be half a second late; a call may be answered just before its queue timeout.
    const { assert!(WATCH_TIMEOUT_MS >= 2_500.0 && RESPONSE_TIMEOUT_MS >= QUEUE_TIMEOUT_MS + 500.0) }
    // No call times out while discovery may still answer it.
    const {
        assert!(
            RESPONSE_TIMEOUT_MS >= MAX_QUEUE_TIMEOUT_MS + 200.0
                && OVERLOADED_RESPONSE_TIMEOUT_MS >= 2.0 * MAX_QUEUE_TIMEOUT_MS
        )
    }
}

/// Linear congruential generator with a fixed seed.
struct TestRng(u64);

impl TestRng {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Starts all balancers at once against a discovery service that handles `calls_per_s`, rejects a call that would be
/// queued for longer than `queue_timeout_ms`, and handles timed-out calls like all others. Returns when the last watch
/// is open, in ms; `None` if one is not open after 60 s.
fn last_watch_open_ms(balancers: u16, calls_per_s: f64, queue_timeout_ms: f64, seed: u64) -> Option<f64> {
    let (mut rng, service_time_ms) = (TestRng(seed), 1_000.0 / calls_per_s);
    // The time of the next call of each balancer, and whether its last call failed.
    let mut balancers: Vec<_> =
        (0..balancers).map(|_| (initial_delay(balancers, 10_000.0, rng.next()), false)).collect();
    let (mut busy_until, mut last_answered) = (0.0f64, 0.0f64);
    while let Some(at) = (0..balancers.len()).min_by(|a, b| balancers[*a].0.total_cmp(&balancers[*b].0)) {
        let (now, overloaded) = balancers[at];
        if now > 60_000.0 {
            return None;
        }
        let started = busy_until.max(now);
        let answered = started + service_time_ms;
        let timeout = if overloaded { OVERLOADED_RESPONSE_TIMEOUT_MS } else { RESPONSE_TIMEOUT_MS };
        let failed = if started - now > queue_timeout_ms {
            Some(now + 8.0)
        } else {
            busy_until = answered;
            (answered - now > timeout).then_some(now + timeout)
        };
        match failed {
            None => {
                last_answered = last_answered.max(answered);
                balancers.swap_remove(at);
            }
            Some(failed) => balancers[at] = (failed + retry_delay(rng.next()), true),
        }
    }
    Some(last_answered)
}

#[test]
fn an_overloaded_discovery_answers_all_balancers_in_little_more_than_the_service_time() {
    for (balancers, calls_per_s) in [(3, 1.0), (32, 3.5), (32, 12.0), (300, 60.0), (1_000, 150.0)] {
        for queue_timeout_ms in [500.0, QUEUE_TIMEOUT_MS, MAX_QUEUE_TIMEOUT_MS, 5_000.0] {
            // Calls of the first round that timed out too early cost their service time once more.
            let repeated_ms = if queue_timeout_ms > RESPONSE_TIMEOUT_MS { queue_timeout_ms } else { 0.0 };
            let needed_ms =
                1_000.0 * f64::from(balancers) / calls_per_s + initial_delay(balancers, 10_000.0, 1.0);
            let max_ms = 1.25 * needed_ms + queue_timeout_ms + repeated_ms + 2_000.0;
            for seed in 1..=5 {
                let last_open_ms = last_watch_open_ms(balancers, calls_per_s, queue_timeout_ms, seed);
                let in_time = last_open_ms.is_some_and(|open_ms| open_ms <= max_ms);
                assert!(
                    in_time,
                    "{balancers} balancers, {calls_per_s} calls/s, {queue_timeout_ms} ms: {last_open_ms:?} of {max_ms}"
                );
            }
        }
    }
}
