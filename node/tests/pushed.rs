//! The real balancer where lists are pushed by an agent on its own machine, which the test plays.
#![allow(missing_docs, reason = "tests are named for what they show")]

mod support;

use std::time::{Duration, Instant};
use support::*;

const AFTER_41: &str = "GET /catalog/members?watch=1&after=41 HTTP/1.1";
const AFTER_45: &str = "GET /catalog/members?watch=1&after=45 HTTP/1.1";

/// Pushes a line of the list.
fn push(watch: &mut Peer, line: &str) {
    chunk(watch, &format!("{line}\n"));
}

/// True if so many clients in turn are all served by this host, and the other is sent nothing.
fn only(node: &Node, staying: &Host, left: &Host) -> bool {
    left.listener.set_nonblocking(true).expect("it listens");
    for _ in 0..12 {
        node.stand(staying);
    }
    left.listener.accept().is_err()
}

#[test]
fn the_watch_is_opened_unasked_and_what_is_pushed_binds() {
    let (leaving, staying) = (Host::new("s-1"), Host::new("s-2"));
    let mut node = Node::start_pushed(&[&leaving, &staying]);
    let (path, mut watch) = node.called();
    assert_eq!(path, AFTER_41);
    begin_watch(&mut watch);
    push(&mut watch, &list(45, false, &[leaving.entry("DRAINING")]));
    node.logged("ServerList { kind: Delta");
    assert!(only(&node, &staying, &leaving), "a draining host was sent something");
    // A watch that ends is opened again, after what has come by it.
    drop(watch);
    let (path, mut again) = node.called();
    assert_eq!(path, AFTER_45);
    // Refused, it is asked again without a word to the decisions, which would back off.
    again.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    let refused = Instant::now();
    let (path, mut back) = node.called();
    assert_eq!(path, AFTER_45);
    assert!(refused.elapsed() < Duration::from_secs(2), "{:?}", refused.elapsed());
    begin_watch(&mut back);
    // A whole list that leaves a host out says that it is gone.
    push(&mut back, &list(46, true, &[leaving.entry("SERVING")]));
    node.logged("ServerList { kind: Full");
    leaving.listener.set_nonblocking(false).expect("it listens");
    assert!(only(&node, &leaving, &staying), "a host that is gone was sent something");
}

#[test]
fn an_agent_that_is_silent_from_the_start_costs_nobody_and_is_heard_once_it_speaks() {
    let (leaving, staying) = (Host::new("s-1"), Host::new("s-2"));
    let mut node = Node::start_pushed(&[&leaving, &staying]);
    let (_, silent) = node.called();
    // What was known at the start serves.
    leaving.listener.set_nonblocking(true).expect("it listens");
    staying.listener.set_nonblocking(true).expect("it listens");
    let mut client = node.open("d=4000");
    let mut server = loop {
        if let Some((stream, _)) = [&leaving, &staying].iter().find_map(|h| h.listener.accept().ok()) {
            stream.set_nonblocking(false).expect("it stands");
            break Peer::from(stream);
        }
        std::thread::yield_now();
    };
    server.line();
    server.send("UP 1\r\n");
    assert_eq!(client.line(), "UP 1");
    // The silent call is given up and made anew, and the answer to that is taken.
    let (path, mut watch) = node.called();
    assert_eq!(path, AFTER_41);
    drop(silent);
    begin_watch(&mut watch);
    push(&mut watch, &list(45, false, &[leaving.entry("DELETED")]));
    node.logged("ServerList { kind: Delta");
    staying.listener.set_nonblocking(false).expect("it listens");
    assert!(only(&node, &staying, &leaving), "a host that is gone was sent something");
}

#[test]
fn an_agent_that_was_restarted_and_counts_from_anew_is_believed() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let mut node = Node::start_pushed(&[&first, &second]);
    let (_, mut watch) = node.called();
    begin_watch(&mut watch);
    push(&mut watch, &list(45, false, &[first.entry("DRAINING")]));
    node.logged("ServerList { kind: Delta");
    drop(watch);
    let (path, mut again) = node.called();
    assert_eq!(path, AFTER_45);
    begin_watch(&mut again);
    // What it has counts as told, whatever the number.
    push(&mut again, &list(3, false, &[first.entry("SERVING"), second.entry("DRAINING")]));
    node.logged("ServerList { kind: Delta");
    assert!(only(&node, &first, &second), "a draining host was sent something");
}

#[test]
fn a_drain_that_is_pushed_in_the_instant_of_an_upgrade_binds_both_processes() {
    let (leaving, staying) = (Host::new("s-1"), Host::new("s-2"));
    let mut old = Node::start_pushed(&[&leaving, &staying]);
    let (_, mut watch) = old.called();
    begin_watch(&mut watch);
    push(&mut watch, &list(45, false, &[leaving.entry("DRAINING")]));
    let mut new = old.successor();
    let (path, mut own) = new.called();
    begin_watch(&mut own);
    // It asks for what came after what it was given, be that with the push or without.
    if path == AFTER_41 {
        push(&mut own, &list(45, false, &[leaving.entry("DRAINING")]));
        new.logged("ServerList { kind: Delta");
    } else {
        assert_eq!(path, AFTER_45);
    }
    assert!(only(&new, &staying, &leaving), "the successor sent something to a draining host");
    new.signal("KILL");
    new.ended();
    old.logged("accepts clients again");
    assert!(only(&old, &staying, &leaving), "the old process sent something to a draining host");
}
