//! What is told to a successor, and what it does with it.
#![allow(missing_docs, reason = "tests are named for what they show")]

mod support;

use marllink::*;
use support::*;

/// True if every figure in it outlives being written down as JSON, which has no infinity.
fn can_be_written(knowledge: &LearnedState) -> bool {
    let text = format!("{knowledge:?}");
    !text.contains("inf") && !text.contains("NaN")
}

/// A node whose own zone has no server, before one that is warm and one that has just started.
fn homeless() -> Node {
    let settings = Settings {
        zones: 2,
        prices: Prices { cross_zone: 0.026, ..Prices::default() },
        rules: Rules {
            warm_up_ms: 23_000.0,
            collapse_load_ratio: 3.0,
            collapse_after_ms: 3_000.0,
            ..Rules::default()
        },
        ..settings()
    };
    let away = |id, started_at| ServerEntry { zone: ZoneId(1), started_at, ..entry(id, 1.0) };
    Node::new(settings, vec![away(1, 0.0), away(2, 900.0)])
}

#[test]
fn a_node_whose_own_zone_has_no_server_can_tell_a_successor_what_it_knows() {
    let mut node = homeless();
    for _ in 0..200 {
        node.now += 100.0;
        node.place();
        assert!(can_be_written(&node.balancer.learned_state()), "at {} ms", node.now);
    }
}

#[test]
fn a_node_whose_own_zone_has_no_server_does_not_push_over_a_cold_one() {
    let mut node = homeless();
    let mut cold = 0;
    for _ in 0..60 {
        node.now += 10.0;
        cold += u32::from(node.place().1 == ServerId(2));
    }
    // The other has taken what came for all the time before, so a share of the pace is due, not half of all.
    assert!(cold <= 12, "{cold} of 60 went to the cold one within 0.6 s");
}
