//! The ordinary path: d, the pick, and what counts as load.
#![allow(missing_docs, reason = "tests are named for what they show")]

mod support;

use marllink::*;
use support::*;

/// draw_count takes the largest, mean and smallest weight: alpha = max / mean, beta = mean / min.
fn draws(alpha: f64, beta: f64) -> usize {
    draw_count(alpha, 1.0, 1.0 / beta)
}

#[test]
fn d_is_the_ceiling_of_the_papers_f() {
    // Section 3 of the paper: f(3, 5) is 5.78 and f(5/3, 3) is 2.58.
    assert_eq!(draws(3.0, 5.0), 6);
    assert_eq!(draws(5.0 / 3.0, 3.0), 3);
}

#[test]
fn equal_weights_take_two_draws() {
    assert_eq!(draw_count(4.0, 4.0, 4.0), 2);
}

#[test]
fn a_whole_f_takes_one_draw_more() {
    // With p = (a - 1) / (ab - 1) and q = (ab - b) / (ab - 1), f = ln p / ln q. For p = q * q,
    // that is (a - 1)(ab - 1) = (a - 1)^2 b^2, f is 2: ab - 1 = (a - 1) b^2, solved by b = 1/(a - 1).
    let alpha = 1.5;
    assert_eq!(draws(alpha, 1.0 / (alpha - 1.0)), 3);
}

#[test]
fn absurd_weights_do_not_cost_the_whole_fleet() {
    assert!(draw_count(1e30, 1.0, 1e-30) <= 32);
}

#[test]
fn shares_follow_weights() {
    let mut node = Node::new(settings(), vec![entry(1, 1.0), entry(2, 5.0), entry(3, 1.0), entry(4, 5.0)]);
    let shares = node.shares(1200);
    for (id, share) in [(1, 100), (2, 500), (3, 100), (4, 500)] {
        let got = shares[&ServerId(id)];
        assert!(got.abs_diff(share) <= share / 10, "server {id} got {got}, not about {share}");
    }
}

#[test]
fn weights_that_say_nothing_count_as_the_mean() {
    let odd = [0.0, -3.0, f64::NAN, f64::INFINITY];
    let mut list: Vec<_> = (1..=4).map(|i| entry(i, odd[i as usize - 1])).collect();
    list.extend([entry(5, 1.0), entry(6, 3.0)]);
    let shares = Node::new(settings(), list).shares(1200);
    for id in 1..=4 {
        let got = shares[&ServerId(id)];
        assert!(got.abs_diff(200) <= 20, "server {id} got {got}, not about 200");
    }
}

#[test]
fn one_server_takes_all() {
    assert_eq!(Node::new(settings(), entries(1)).shares(10)[&ServerId(1)], 10);
}

#[test]
fn connections_told_at_start_count_as_load() {
    let mut node = Node::new(settings(), entries(2));
    for i in 0..50 {
        let request = NewRequest { request: RequestId(1000 + i), ..NewRequest::default() };
        node.on(Event::OpenConnection { request, server: ServerId(1) });
    }
    let shares = node.shares(40);
    // Both draws fall on server 1 a quarter of the time; all else goes to the empty one.
    assert!(shares[&ServerId(2)] > 20, "{shares:?}");
}

#[test]
fn connections_that_ended_or_failed_leave_the_count() {
    for outcome in [Outcome::Ok, Outcome::Cancelled] {
        let mut node = Node::new(settings(), entries(2));
        let placed: Vec<_> = (0..100).map(|_| node.place()).collect();
        for (request, _) in placed.iter().filter(|(_, server)| *server == ServerId(1)) {
            node.end(*request, 0, outcome, true);
        }
        let shares = node.shares(40);
        assert!(shares[&ServerId(1)] > 20, "{outcome:?}: {shares:?}");
    }
}
