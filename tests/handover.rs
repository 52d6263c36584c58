//! The state that a balancer hands over to its successor, where the node's own zone has no server.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use marllink::*;
use support::*;

/// Returns true if every number can be serialized as JSON, which has no infinity.
fn is_serializable(state: &LearnedState) -> bool {
    let text = format!("{state:?}");
    !text.contains("inf") && !text.contains("NaN")
}

/// A node whose own zone has no server; of the two servers in the other zone, one has just started.
fn node_without_local_servers() -> Node {
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
    let remote = |id, started_at| ServerEntry { zone: ZoneId(1), started_at, ..entry(id, 1.0) };
    Node::new(settings, vec![remote(1, 0.0), remote(2, 900.0)])
}

#[test]
fn learned_state_is_serializable_without_servers_in_the_own_zone() {
    let mut node = node_without_local_servers();
    for _ in 0..200 {
        node.now += 100.0;
        node.open_connection();
        assert!(is_serializable(&node.balancer.learned_state()), "at {} ms", node.now);
    }
}

#[test]
fn node_without_servers_in_its_zone_does_not_overload_a_server_in_slow_start() {
    let mut node = node_without_local_servers();
    let mut slow_start_count = 0;
    for _ in 0..60 {
        node.now += 10.0;
        slow_start_count += u32::from(node.open_connection().1 == ServerId(2));
    }
    // The other server took all connections so far, so the new one is due a share of that rate, not half of
    // all.
    assert!(slow_start_count <= 12, "{slow_start_count} of 60 went to the server in slow start within 0.6 s");
}
