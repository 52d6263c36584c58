//! Server selection without failures: the number of draws, the pick, and the load that it compares.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use marllink::*;
use support::*;

/// Calls `draw_count`, which takes the largest, mean and smallest weight, with alpha = max / mean and
/// beta = mean / min.
fn draw_count_by_ratios(alpha: f64, beta: f64) -> usize {
    draw_count(alpha, 1.0, 1.0 / beta)
}

#[test]
fn draw_count_is_the_formula_rounded_up() {
    // Wieder (2007), section 3: f(3, 5) is 5.78 and f(5/3, 3) is 2.58.
    assert_eq!(draw_count_by_ratios(3.0, 5.0), 6);
    assert_eq!(draw_count_by_ratios(5.0 / 3.0, 3.0), 3);
}

#[test]
fn equal_weights_use_two_draws() {
    assert_eq!(draw_count(4.0, 4.0, 4.0), 2);
}

#[test]
fn integer_formula_value_adds_one_draw() {
    // With p = (a - 1) / (ab - 1) and q = (ab - b) / (ab - 1), f = ln p / ln q. For p = q * q,
    // that is (a - 1)(ab - 1) = (a - 1)^2 b^2, f is 2: ab - 1 = (a - 1) b^2, solved by b = 1/(a - 1).
    let alpha = 1.5;
    assert_eq!(draw_count_by_ratios(alpha, 1.0 / (alpha - 1.0)), 3);
}

#[test]
fn extreme_weights_do_not_draw_the_whole_fleet() {
    assert!(draw_count(1e30, 1.0, 1e-30) <= 32);
}

#[test]
fn connections_are_distributed_by_weight() {
    let mut node = Node::new(settings(), vec![entry(1, 1.0), entry(2, 5.0), entry(3, 1.0), entry(4, 5.0)]);
    let counts = node.connection_counts(1200);
    for (id, expected) in [(1, 100), (2, 500), (3, 100), (4, 500)] {
        let got = counts[&ServerId(id)];
        assert!(got.abs_diff(expected) <= expected / 10, "server {id} got {got}, not about {expected}");
    }
}

#[test]
fn invalid_weights_count_as_the_mean() {
    let invalid_weights = [0.0, -3.0, f64::NAN, f64::INFINITY];
    let mut list: Vec<_> = (1..=4).map(|i| entry(i, invalid_weights[i as usize - 1])).collect();
    list.extend([entry(5, 1.0), entry(6, 3.0)]);
    let counts = Node::new(settings(), list).connection_counts(1200);
    for id in 1..=4 {
        let got = counts[&ServerId(id)];
        assert!(got.abs_diff(200) <= 20, "server {id} got {got}, not about 200");
    }
}

#[test]
fn single_server_receives_all_connections() {
    assert_eq!(Node::new(settings(), entries(1)).connection_counts(10)[&ServerId(1)], 10);
}

#[test]
fn connections_open_before_the_start_count_as_load() {
    let mut node = Node::new(settings(), entries(2));
    for i in 0..50 {
        let request = NewRequest { request: RequestId(1000 + i), ..NewRequest::default() };
        node.handle(Event::OpenConnection { request, server: ServerId(1) });
    }
    let counts = node.connection_counts(40);
    // Both draws select server 1 a quarter of the time; all other picks go to the empty server.
    assert!(counts[&ServerId(2)] > 20, "{counts:?}");
}

#[test]
fn ended_connections_no_longer_count_as_load() {
    for outcome in [Outcome::Ok, Outcome::Cancelled] {
        let mut node = Node::new(settings(), entries(2));
        let opened: Vec<_> = (0..100).map(|_| node.open_connection()).collect();
        for (request, _) in opened.iter().filter(|(_, server)| *server == ServerId(1)) {
            node.end_attempt(*request, 0, outcome, true);
        }
        let counts = node.connection_counts(40);
        assert!(counts[&ServerId(1)] > 20, "{outcome:?}: {counts:?}");
    }
}
