//! When discovery is called, and how late a change can be known.
#![allow(missing_docs, reason = "tests are named for what they show")]

use marllink_rate_limits::calls::{
    ANSWER_MS, BUSY_MS, CONNECT_MS, LONGEST_TURN_MS, SILENT_MS, TOLD_MS, TURN_MS, again, first,
};

#[test]
fn first_calls_spread_with_the_fleet_within_the_time_to_ask() {
    assert_eq!((first(100, 10_000.0, 0.5), first(1_000, 10_000.0, 1.0)), (1_000.0, 2_500.0));
}

#[test]
fn calls_after_a_failure_spread_and_never_come_in_a_loop() {
    assert!(again(0.0) >= 200.0);
    assert!(again(1.0) >= 3.0 * again(0.0), "all that failed together must not call again together");
}

/// The worst case of each way in which a change can be late, as the page of the module has them.
#[test]
fn a_change_is_known_in_time_whatever_has_failed_before() {
    let longest = again(1.0);
    let worst = [
        ("a watch that brings nothing", SILENT_MS + longest + TURN_MS),
        ("a call that is never answered", ANSWER_MS + longest + TURN_MS),
        ("a connection that does not come up", CONNECT_MS + longest + TURN_MS),
        ("a call that was not served in its turn", 2.0 * (longest + TURN_MS)),
    ];
    for (what, sum) in worst {
        assert!(sum <= TOLD_MS, "{what}: {sum} ms");
    }
    // A line every 2 s may come late by half a second; a call may be answered just before its turn is over.
    const { assert!(SILENT_MS >= 2_500.0 && ANSWER_MS >= TURN_MS + 500.0) }
    // Nobody gives up a call that the service still means to answer.
    const { assert!(ANSWER_MS >= LONGEST_TURN_MS + 200.0 && BUSY_MS >= 2.0 * LONGEST_TURN_MS) }
}

struct Even(u64);

impl Even {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// All start at once before a service that works through so many calls a second, refuses one that would wait for
/// longer than it lets any wait, and works through those that were given up like all others. When the last watch is
/// open, in ms; `None` if one is not after 60 s.
fn all_open(nodes: u16, a_second: f64, turn_ms: f64, seed: u64) -> Option<f64> {
    let (mut even, each) = (Even(seed), 1_000.0 / a_second);
    // When each calls next, and whether its last call came to nothing; the service is busy until then.
    let mut nodes: Vec<_> = (0..nodes).map(|_| (first(nodes, 10_000.0, even.next()), false)).collect();
    let (mut busy_until, mut last) = (0.0f64, 0.0f64);
    while let Some(at) = (0..nodes.len()).min_by(|a, b| nodes[*a].0.total_cmp(&nodes[*b].0)) {
        let (now, busy) = nodes[at];
        if now > 60_000.0 {
            return None;
        }
        let begun = busy_until.max(now);
        let answered = begun + each;
        let patience = if busy { BUSY_MS } else { ANSWER_MS };
        let failed = if begun - now > turn_ms {
            Some(now + 8.0)
        } else {
            busy_until = answered;
            (answered - now > patience).then_some(now + patience)
        };
        match failed {
            None => {
                last = last.max(answered);
                nodes.swap_remove(at);
            }
            Some(failed) => nodes[at] = (failed + again(even.next()), true),
        }
    }
    Some(last)
}

#[test]
fn a_service_that_refuses_most_at_first_has_answered_all_once_it_has_had_the_time_for_that() {
    for (nodes, a_second) in [(3, 1.0), (32, 3.5), (32, 12.0), (300, 60.0), (1_000, 150.0)] {
        for turn_ms in [500.0, TURN_MS, LONGEST_TURN_MS, 5_000.0] {
            // Those of the first round who were given up too early cost their time once more.
            let lost = if turn_ms > ANSWER_MS { turn_ms } else { 0.0 };
            let needed = 1_000.0 * f64::from(nodes) / a_second + first(nodes, 10_000.0, 1.0);
            let most = 1.25 * needed + turn_ms + lost + 2_000.0;
            for seed in 1..=5 {
                let open = all_open(nodes, a_second, turn_ms, seed);
                let kept = open.is_some_and(|open| open <= most);
                assert!(kept, "{nodes} before {a_second} a second, {turn_ms} ms: {open:?} of {most}");
            }
        }
    }
}
