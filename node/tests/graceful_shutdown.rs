//! Graceful shutdown of the real program, with clients and data that arrive during it.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use std::time::{Duration, Instant};
use support::*;

const SOCKET_LIMIT: usize = 256;

/// Time from the longest deadline to SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);

/// Starts a balancer with this deadline for its requests.
fn start_with_deadline(servers: &[&TestServer], deadline_ms: u32) -> BalancerProcess {
    let change_deadline = |config: String| config.replace("4800.0", &format!("{deadline_ms}.0"));
    BalancerProcess::start_with(servers, SOCKET_LIMIT, change_deadline, |_| ())
}

#[test]
fn shutdown_finishes_before_sigkill_with_short_deadlines() {
    let server = TestServer::new("s-1");
    let mut balancer = start_with_deadline(&[&server], 900);
    let mut established: Vec<_> = (0..8).map(|_| balancer.establish(&server)).collect();
    let signalled_at = Instant::now();
    balancer.signal("TERM");
    balancer.wait_for_log("SIGTERM");
    // New clients arrive for another 0.4 s.
    let (mut new_client, _new_upstream) = balancer.establish(&server);
    for (client, _) in &mut established {
        assert_eq!(client.read_to_end(), ["MOVE", "(end)"]);
    }
    assert_eq!(new_client.read_to_end(), ["MOVE", "(end)"]);
    drop((established, new_client));
    assert!(balancer.wait_for_exit().success());
    let kill_after = Duration::from_millis(900) + KILL_DELAY;
    assert!(signalled_at.elapsed() < kill_after, "{:?}", signalled_at.elapsed());
}

#[test]
fn shutdown_uses_the_settings_of_the_last_reload() {
    let server = TestServer::new("s-1");
    let mut balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let text = balancer.replace_config("");
    balancer.replace_config(&text.replace("4800.0", "900.0"));
    balancer.signal("HUP");
    balancer.wait_for_log("new settings");
    let (mut client, _upstream) = balancer.establish(&server);
    let signalled_at = Instant::now();
    balancer.signal("TERM");
    assert_eq!(client.read_to_end(), ["MOVE", "(end)"]);
    drop(client);
    assert!(balancer.wait_for_exit().success());
    assert!(signalled_at.elapsed() < Duration::from_millis(900) + KILL_DELAY, "{:?}", signalled_at.elapsed());
}

#[test]
fn client_without_a_request_is_rejected_and_its_later_data_discarded() {
    let server = TestServer::new("s-1");
    let mut balancer = start_with_deadline(&[&server], 900);
    let mut idle = balancer.connect();
    idle.send("PING\r\n");
    assert_eq!(idle.read_line(), "PONG");
    let mut partial = balancer.connect();
    partial.send("OPEN 77 2f c=chat,d=2000,");
    balancer.signal("TERM");
    balancer.wait_for_log("SIGTERM");
    for client in [&mut idle, &mut partial] {
        assert_eq!(client.read_line(), "BUSY");
    }
    // The client has received its answer. Data sent now is read, as unread data would cause a reset and lose
    // the answer, and discarded.
    for client in [&mut idle, &mut partial] {
        client.send("g=3f\r\nOPEN 78 2f c=chat,d=2000,g=3f\r\n");
        assert_eq!(client.read_line(), "(end)");
    }
    drop((idle, partial));
    assert!(balancer.wait_for_exit().success());
    server.listener.set_nonblocking(true).expect("a listening socket");
    assert!(server.listener.accept().is_err(), "a connection was sent to it");
}

/// The process is stopped, as on an overloaded machine, from SIGTERM until after the time for which it still
/// serves new clients: when it continues, everything that has arrived meanwhile is available at once.
#[test]
fn client_that_arrived_while_the_process_was_stopped_is_answered_before_exit() {
    let server = TestServer::new("s-1");
    let mut balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let mut idle = balancer.connect();
    idle.send("PING\r\n");
    assert_eq!(idle.read_line(), "PONG");
    balancer.signal("TERM");
    balancer.wait_for_log("SIGTERM");
    balancer.signal("STOP");
    idle.send("OPEN 77 2f c=chat,d=2000,g=3f\r\n");
    let mut waiting: Vec<_> = (0..20).map(|_| balancer.request("d=2000")).collect();
    // It serves new clients for 1.7 s, and moves all connections after 2.6 s.
    std::thread::sleep(Duration::from_millis(1_900));
    balancer.signal("CONT");
    waiting.push(idle);
    server.serve_all();
    for client in &mut waiting {
        // How many are still served depends on the time that has passed.
        let answer = client.read_to_end().join(" ");
        assert!(["UP 1 MOVE (end)", "BUSY (end)"].contains(&answer.as_str()), "{answer}");
    }
    drop(waiting);
    assert!(balancer.wait_for_exit().success());
}

#[test]
fn non_repeatable_request_is_not_reported_as_rejected_at_shutdown() {
    let server = TestServer::new("s-1");
    let once =
        r#"{"name":"pay","goalTimeMs":800.0,"deadlineMs":4800.0,"semantics":"once","importance":1.0},"#;
    let keyed = once
        .replace("pay", "claim")
        .replace(r#""once""#, r#""by_key","dedupScope":"cell","repeatWindowMs":5000.0"#);
    let change = |config: String| {
        config.replace(r#""classes":["#, &format!(r#""classes":[{once}{keyed}"#)).replace("4800.0", "900.0")
    };
    let mut balancer = BalancerProcess::start_with(&[&server], SOCKET_LIMIT, change, |_| ());
    let mut clients = Vec::new();
    let mut unresponsive = Vec::new();
    for (class, id) in [("pay", 0x51), ("claim", 0x52), ("chat", 0x53)] {
        let mut client = balancer.connect();
        client.send(&format!("OPEN {id:x} 2f c={class},d=30000,g=3f\r\n"));
        let mut upstream = server.accept();
        upstream.read_line();
        unresponsive.push(upstream);
        clients.push(client);
    }
    balancer.signal("TERM");
    let answers: Vec<_> = clients.iter_mut().map(|client| client.read_to_end()).collect();
    assert_eq!(answers, [["ERR", "(end)"], ["ERR", "(end)"], ["BUSY", "(end)"]]);
    drop((clients, unresponsive));
    assert!(balancer.wait_for_exit().success());
}

/// The balancer moves a connection while data from its server is unread: closing the socket then would send a
/// reset, and the last data from the client might be lost.
#[test]
fn server_connection_is_closed_without_a_reset_when_its_client_is_moved() {
    let server = TestServer::new("s-1");
    let mut balancer = start_with_deadline(&[&server], 900);
    let mut established: Vec<_> = (0..8).map(|_| balancer.establish(&server)).collect();
    balancer.signal("TERM");
    balancer.wait_for_log("SIGTERM");
    balancer.signal("STOP");
    for (client, upstream) in &mut established {
        client.send("last\r\n");
        upstream.send("half a li");
    }
    // All are due to be moved when the process continues, however late that is.
    std::thread::sleep(Duration::from_millis(1_600));
    balancer.signal("CONT");
    for (client, upstream) in &mut established {
        assert_eq!(client.read_to_end(), ["MOVE", "(end)"]);
        let rest = upstream.read_to_end();
        assert_eq!(rest.last().map(String::as_str), Some("(end)"), "{rest:?}");
    }
}
