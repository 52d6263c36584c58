//! The real balancer with lists pushed by an agent on the same machine, which the test plays.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use std::time::{Duration, Instant};
use support::*;

const AFTER_41: &str = "GET /catalog/members?watch=1&after=41 HTTP/1.1";
const AFTER_45: &str = "GET /catalog/members?watch=1&after=45 HTTP/1.1";

/// Pushes a list update.
fn push(watch: &mut Peer, line: &str) {
    send_chunk(watch, &format!("{line}\n"));
}

/// Opens several connections, and returns true if `staying` serves all of them and `unused` gets none.
fn serves_only(balancer: &BalancerProcess, staying: &TestServer, unused: &TestServer) -> bool {
    unused.listener.set_nonblocking(true).expect("a listening socket");
    for _ in 0..12 {
        balancer.establish(staying);
    }
    unused.listener.accept().is_err()
}

#[test]
fn watch_is_opened_at_start_and_pushed_lists_apply() {
    let (leaving, staying) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let mut balancer = BalancerProcess::start_with_pushed_lists(&[&leaving, &staying]);
    let (path, mut watch) = balancer.next_discovery_call();
    assert_eq!(path, AFTER_41);
    begin_watch_response(&mut watch);
    push(&mut watch, &list_json(45, false, &[leaving.entry("DRAINING")]));
    balancer.wait_for_log("ServerList { kind: Delta");
    assert!(serves_only(&balancer, &staying, &leaving), "a connection was sent to a draining server");
    // A closed watch is reopened after the last version received.
    drop(watch);
    let (path, mut second_watch) = balancer.next_discovery_call();
    assert_eq!(path, AFTER_45);
    // An error response leads to a new call without notifying the decision logic, which would back off.
    second_watch.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    let failed_at = Instant::now();
    let (path, mut third_watch) = balancer.next_discovery_call();
    assert_eq!(path, AFTER_45);
    assert!(failed_at.elapsed() < Duration::from_secs(2), "{:?}", failed_at.elapsed());
    begin_watch_response(&mut third_watch);
    // A server missing from a full list has been removed.
    push(&mut third_watch, &list_json(46, true, &[leaving.entry("SERVING")]));
    balancer.wait_for_log("ServerList { kind: Full");
    leaving.listener.set_nonblocking(false).expect("a listening socket");
    assert!(serves_only(&balancer, &leaving, &staying), "a connection was sent to a removed server");
}

#[test]
fn unresponsive_agent_delays_no_client_and_its_later_list_applies() {
    let (leaving, staying) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let mut balancer = BalancerProcess::start_with_pushed_lists(&[&leaving, &staying]);
    let (_, unanswered) = balancer.next_discovery_call();
    // The servers known at the start are used.
    leaving.listener.set_nonblocking(true).expect("a listening socket");
    staying.listener.set_nonblocking(true).expect("a listening socket");
    let mut client = balancer.request("d=4000");
    let mut upstream = loop {
        if let Some((stream, _)) =
            [&leaving, &staying].iter().find_map(|server| server.listener.accept().ok())
        {
            stream.set_nonblocking(false).expect("an open connection");
            break Peer::from(stream);
        }
        std::thread::yield_now();
    };
    upstream.read_line();
    upstream.send("UP 1\r\n");
    assert_eq!(client.read_line(), "UP 1");
    // The unanswered call is cancelled and repeated, and the response to the second call is used.
    let (path, mut watch) = balancer.next_discovery_call();
    assert_eq!(path, AFTER_41);
    drop(unanswered);
    begin_watch_response(&mut watch);
    push(&mut watch, &list_json(45, false, &[leaving.entry("DELETED")]));
    balancer.wait_for_log("ServerList { kind: Delta");
    staying.listener.set_nonblocking(false).expect("a listening socket");
    assert!(serves_only(&balancer, &staying, &leaving), "a connection was sent to a removed server");
}

#[test]
fn list_of_a_restarted_agent_with_a_lower_version_applies() {
    let (first, second) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let mut balancer = BalancerProcess::start_with_pushed_lists(&[&first, &second]);
    let (_, mut watch) = balancer.next_discovery_call();
    begin_watch_response(&mut watch);
    push(&mut watch, &list_json(45, false, &[first.entry("DRAINING")]));
    balancer.wait_for_log("ServerList { kind: Delta");
    drop(watch);
    let (path, mut new_watch) = balancer.next_discovery_call();
    assert_eq!(path, AFTER_45);
    begin_watch_response(&mut new_watch);
    // Its list applies regardless of its version.
    push(&mut new_watch, &list_json(3, false, &[first.entry("SERVING"), second.entry("DRAINING")]));
    balancer.wait_for_log("ServerList { kind: Delta");
    assert!(serves_only(&balancer, &first, &second), "a connection was sent to a draining server");
}

#[test]
fn drain_pushed_during_an_upgrade_applies_to_both_processes() {
    let (leaving, staying) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let mut old = BalancerProcess::start_with_pushed_lists(&[&leaving, &staying]);
    let (_, mut watch) = old.next_discovery_call();
    begin_watch_response(&mut watch);
    push(&mut watch, &list_json(45, false, &[leaving.entry("DRAINING")]));
    let mut new = old.start_successor();
    let (path, mut new_watch) = new.next_discovery_call();
    begin_watch_response(&mut new_watch);
    // The successor requests changes after the version that was handed over, which may or may not include
    // the pushed change.
    if path == AFTER_41 {
        push(&mut new_watch, &list_json(45, false, &[leaving.entry("DRAINING")]));
        new.wait_for_log("ServerList { kind: Delta");
    } else {
        assert_eq!(path, AFTER_45);
    }
    assert!(serves_only(&new, &staying, &leaving), "the successor sent a connection to a draining server");
    new.signal("KILL");
    new.wait_for_exit();
    old.wait_for_log("accepts clients again");
    assert!(serves_only(&old, &staying, &leaving), "the old process sent a connection to a draining server");
}
