//! The balancer as a process, with clients, servers and discovery played by the tests.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use std::io::{Read, Write};
use std::process::Command;
use std::time::{Duration, Instant};
use support::*;

const SOCKET_LIMIT: usize = 256;

#[test]
fn request_is_served_and_lines_pass_unchanged_both_ways() {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let mut client = balancer.connect();
    client.send("PING\r\n");
    assert_eq!(client.read_line(), "PONG");
    client.send("OPEN 1f 2f c=chat,d=2000,g=3f,x=0.50\r\n");
    let mut upstream = server.accept();
    let (line, wait_ms) = split_wait_ms(&upstream.read_line());
    assert!(wait_ms > 0 && wait_ms < 2000, "{wait_ms}");
    let mut received = vec![format!("server: {line}")];
    upstream.send("UP 0xABC receipt\r\nLOAD 12.5\r\n");
    received.extend([format!("client: {}", client.read_line()), format!("client: {}", client.read_line())]);
    client.send("one\r\ntwo\r\n");
    received
        .extend([format!("server: {}", upstream.read_line()), format!("server: {}", upstream.read_line())]);
    upstream.send("three\r\nBYE\r\n");
    drop(upstream);
    received.extend(client.read_to_end().iter().map(|line| format!("client: {line}")));
    insta::assert_snapshot!(received.join("\n"), @r"
    server: OPEN 1f 2f c=chat,d=_,g=3f,x=0.50
    client: UP 0xABC receipt
    client: LOAD 12.5
    server: one
    server: two
    client: three
    client: BYE
    client: (end)
    ");
}

#[test]
fn attempt_is_closed_before_the_next_and_only_the_last_answer_is_passed_on() {
    let servers = [TestServer::new("s-1"), TestServer::new("s-2"), TestServer::new("s-3")];
    let balancer = BalancerProcess::start(&[&servers[0], &servers[1], &servers[2]], SOCKET_LIMIT);
    let mut client = balancer.request("d=3000");
    for server in &servers {
        server.listener.set_nonblocking(true).expect("a listening socket");
    }
    let mut previous: Option<Peer> = None;
    for answer in ["ERR\r\n", "BUSY inflight=3\r\n", "UP 7\r\n"] {
        let mut upstream = loop {
            if let Some((stream, _)) = servers.iter().find_map(|server| server.listener.accept().ok()) {
                stream.set_nonblocking(false).expect("an open connection");
                break Peer::from(stream);
            }
            std::thread::yield_now();
        };
        assert!(
            previous.is_none_or(|mut peer| peer.is_closed()),
            "two attempts are pending at the same time"
        );
        assert!(upstream.read_line().starts_with("OPEN 1f 2f "));
        upstream.send(answer);
        previous = Some(upstream);
    }
    assert_eq!(client.read_line(), "UP 7");
}

#[test]
fn client_is_rejected_with_a_retry_delay_once_all_attempts_failed() {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let requested_at = Instant::now();
    let mut client = balancer.request("d=4000");
    for _ in 0..3 {
        let mut upstream = server.accept();
        upstream.read_line();
        upstream.send("BUSY\r\n");
    }
    let answer = client.read_to_end();
    assert!(requested_at.elapsed() < Duration::from_millis(2_500), "{:?}", requested_at.elapsed());
    let retry_after_ms = answer[0].strip_prefix("BUSY ").expect("a rejection with a retry delay");
    assert!((1..=2000).contains(&retry_after_ms.parse::<u64>().expect("a number")), "{retry_after_ms}");
    assert_eq!(answer[1..], ["(end)"]);
}

#[test]
fn client_is_rejected_in_time_if_the_server_is_unresponsive() {
    let server = TestServer::new("s-1");
    let mut balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let requested_at = Instant::now();
    let mut client = balancer.request("d=700");
    let mut upstream = server.accept();
    assert!(split_wait_ms(&upstream.read_line()).1 < 700);
    assert!(client.read_line().starts_with("BUSY"));
    // With real sockets, the answer may come up to 50 ms after the deadline.
    assert!(requested_at.elapsed() < Duration::from_millis(750), "{:?}", requested_at.elapsed());
    assert!(upstream.read_line().starts_with('('), "the attempt is not cancelled");
    // The answer must come from the decision logic, before the deadline check that backs it up takes effect.
    loop {
        let line = balancer.wait_for_log("");
        assert!(!line.contains("no answer before the deadline of the request"), "{line}");
        if line.contains("Reject {") {
            return;
        }
    }
}

#[test]
fn restored_connection_goes_to_its_server_although_that_drains() {
    let (server, other) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let balancer = BalancerProcess::start(&[&other], SOCKET_LIMIT);
    // The server is not listed yet, so the connection waits for the list.
    let mut client = balancer.request("d=30000,at=s-1");
    let (path, mut watch) = balancer.next_discovery_call();
    assert_eq!(path, "GET /catalog/members?watch=1&after=41 HTTP/1.1");
    begin_watch_response(&mut watch);
    send_chunk(&mut watch, &(list_json(42, false, &[server.entry("DRAINING")]) + "\n"));
    let mut upstream = server.accept();
    upstream.read_line();
    upstream.send("UP 9\r\n");
    assert_eq!(client.read_line(), "UP 9");
}

#[test]
fn draining_server_gets_no_new_connections_and_a_closed_watch_is_renewed() {
    let (leaving, staying) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let balancer = BalancerProcess::start(&[&leaving, &staying], SOCKET_LIMIT);
    let (_, mut watch) = balancer.next_discovery_call();
    begin_watch_response(&mut watch);
    let change = list_json(45, false, &[leaving.entry("DRAINING")]);
    // In pieces, as the network may deliver it.
    let (first, second) = change.split_at(30);
    send_chunk(&mut watch, "\n");
    send_chunk(&mut watch, first);
    send_chunk(&mut watch, &format!("{second}\n"));
    drop(watch);
    let (path, mut renewed) = balancer.next_discovery_call();
    assert_eq!(path, "GET /catalog/members?watch=1&after=45 HTTP/1.1");
    renewed.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    let (path, _watch) = balancer.next_discovery_call();
    assert_eq!(path, "GET /catalog/members?watch=1&after=45 HTTP/1.1");
    leaving.listener.set_nonblocking(true).expect("a listening socket");
    for _ in 0..20 {
        balancer.establish(&staying);
    }
    assert!(leaving.listener.accept().is_err(), "a connection was sent to it");
}

#[test]
fn fragmented_data_is_reassembled_and_a_stalled_watch_is_renewed() {
    let (listed, added) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let mut balancer = BalancerProcess::start(&[&listed], SOCKET_LIMIT);
    let (_, mut watch) = balancer.next_discovery_call();
    let change = list_json(45, false, &[listed.entry("DRAINING"), added.entry("SERVING")]) + "\n";
    let response =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{change}\r\n", change.len());
    watch.send_bytewise(&response);
    balancer.wait_for_log("ServerList { kind: Delta");
    let stalled_at = Instant::now();
    let mut client = balancer.connect();
    client.send_bytewise("PING\r\nOPEN 1f 2f c=chat,d=2000\r\n");
    assert_eq!(client.read_line(), "PONG");
    let mut upstream = added.accept();
    upstream.read_line();
    upstream.send_bytewise("UP 0xABC\r\nLOAD 12.5\r\none\r\n");
    assert_eq!(
        [client.read_line(), client.read_line(), client.read_line()],
        ["UP 0xABC", "LOAD 12.5", "one"]
    );
    client.send_bytewise("two\r\n");
    assert_eq!(upstream.read_line(), "two");
    // Changes must be known within 6 s, so a stalled watch must be cancelled earlier.
    assert_eq!(balancer.next_discovery_call().0, "GET /catalog/members?watch=1&after=45 HTTP/1.1");
    assert!(stalled_at.elapsed() < Duration::from_millis(4_500), "{:?}", stalled_at.elapsed());
}

#[test]
fn close_and_reset_are_passed_on_as_such() {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let establish = || balancer.establish(&server);
    let (mut client, mut upstream) = establish();
    client.send("half");
    client.shutdown_write();
    assert_eq!([upstream.read_line(), upstream.read_line()], ["half", "(end)"]);
    upstream.send("still here\r\nBYE\r\n");
    drop(upstream);
    assert_eq!(client.read_to_end(), ["still here", "BYE", "(end)"]);

    let (client, mut upstream) = establish();
    client.reset();
    assert_eq!(upstream.read_line(), "(reset)");

    let (mut client, upstream) = establish();
    upstream.reset();
    assert_eq!(client.read_line(), "(reset)");
}

#[test]
fn connection_to_an_unresponsive_server_is_closed_within_seven_seconds() {
    let server = TestServer::new("s-1");
    let mut balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let (mut client, _upstream) = balancer.establish(&server);
    let sent_at = Instant::now();
    client.send("M 1\r\n");
    assert!(client.read_line().starts_with('('));
    // The last data from the server may be 2 s older than the line.
    assert!(sent_at.elapsed() < Duration::from_secs(5), "{:?}", sent_at.elapsed());
    assert!(sent_at.elapsed() > Duration::from_secs(4), "{:?}", sent_at.elapsed());
    // The decision logic must see a broken connection, not a client that left a healthy server.
    balancer.wait_for_log("outcome: Reset, closed: true");
}

#[test]
fn sigterm_moves_clients_between_lines_and_still_serves_new_ones_first() {
    let server = TestServer::new("s-1");
    let mut balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let mut client = balancer.request("d=2000");
    let mut upstream = server.accept();
    upstream.read_line();
    upstream.send("UP 1\r\none\r\nhalf a li");
    assert_eq!([client.read_line(), client.read_line()], ["UP 1", "one"]);
    let signalled_at = Instant::now();
    balancer.signal("TERM");
    balancer.wait_for_log("SIGTERM");
    let mut new_client = balancer.request("d=2000");
    let mut new_upstream = server.accept();
    new_upstream.read_line();
    new_upstream.send("UP 2\r\n");
    assert_eq!(new_client.read_line(), "UP 2");
    let mut waiting = balancer.request("d=30000");
    let _unresponsive = server.accept();
    assert_eq!(client.read_to_end(), ["MOVE", "(end)"]);
    // In a rolling restart, the balancer restarted before may not be serving yet, so connections stay open
    // for a while.
    assert!(signalled_at.elapsed() > Duration::from_secs(1), "{:?}", signalled_at.elapsed());
    assert_eq!(waiting.read_to_end(), ["BUSY", "(end)"]);
    assert_eq!(new_client.read_to_end(), ["MOVE", "(end)"]);
    assert!(upstream.read_line().starts_with('('));
    drop((client, new_client, waiting));
    assert!(balancer.wait_for_exit().success());
}

#[test]
fn sighup_changes_discovery_without_dropping_clients_or_servers() {
    let (server, other) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let mut balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let (_, mut old_watch) = balancer.next_discovery_call();
    begin_watch_response(&mut old_watch);
    let (mut client, mut upstream) = balancer.establish(&server);

    let text = balancer.replace_config("{");
    balancer.signal("HUP");
    let line = balancer.wait_for_log("SIGHUP");
    assert!(line.contains("ERROR SIGHUP: configuration unchanged: "), "{line}");
    balancer.replace_config(&text);
    for entry in [other.entry("DRAINING"), other.entry("SERVING")] {
        drop(balancer.move_discovery());
        balancer.signal("HUP");
        let (path, mut watch) = balancer.next_discovery_call();
        assert_eq!(path, "GET /catalog/members?watch=1&after=0 HTTP/1.1");
        // The server known before stays listed until the new address reports it.
        let mut new_client = balancer.request("d=2000");
        let mut new_upstream = server.accept();
        new_upstream.read_line();
        new_upstream.send("UP 2\r\n");
        assert_eq!(new_client.read_line(), "UP 2");
        // The new list applies although its versions start again.
        begin_watch_response(&mut watch);
        send_chunk(&mut watch, &(list_json(1, false, &[entry]) + "\n"));
        balancer.wait_for_log("ServerList { kind: Delta");
    }
    client.send("still here\r\n");
    assert_eq!(upstream.read_line(), "still here");
    balancer.signal("TERM");
    assert_eq!(client.read_to_end(), ["MOVE", "(end)"]);
    assert!(balancer.wait_for_exit().success());
}

#[test]
fn invalid_settings_are_rejected_as_a_whole_on_reload() {
    let server = TestServer::new("s-1");
    let mut balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let (mut client, mut upstream) = balancer.establish(&server);
    let text = balancer.replace_config("");
    let class = text
        .split_once("\"classes\":[")
        .and_then(|(_, rest)| rest.split_once(']'))
        .expect("a list of classes")
        .0;
    let renamed_class = class.replace("chat", "sign").replace("repeatable", "once");
    let changed = text.replace(class, &renamed_class).replace("\"maxAttempts\":3", "\"maxAttempts\":1");
    let invalid_configs = [
        String::new(),
        changed[..changed.len() / 2].into(),
        changed.replace("\"known\":", "\"unknown\":"),
        changed.replace("\"mayCancel\":true,", ""),
        changed.replace("4800.0", "0"),
        changed.replace("\"maxAttempts\":1", "\"maxAttempts\":0"),
    ];
    for invalid in invalid_configs {
        balancer.replace_config(&invalid);
        balancer.signal("HUP");
        let line = balancer.wait_for_log("SIGHUP");
        assert!(line.contains("ERROR SIGHUP: configuration unchanged: "), "{line}");
        balancer.establish(&server);
    }
    let request = |balancer: &BalancerProcess, id: u32, class: &str| {
        let mut client = balancer.connect();
        client.send(&format!("OPEN {id} 2f c={class},d=2000\r\n"));
        client
    };
    assert_eq!(request(&balancer, 1, "sign").read_to_end(), ["ERR", "(end)"]);
    balancer.replace_config(&changed);
    balancer.signal("HUP");
    balancer.wait_for_log("SIGHUP: new settings");
    balancer.wait_for_log("Settings(Settings");
    // The removed class accepts no new requests, and its connections stay open.
    assert_eq!(request(&balancer, 2, "chat").read_to_end(), ["ERR", "(end)"]);
    client.send("still here\r\n");
    assert_eq!(upstream.read_line(), "still here");
    // The new class must not be executed twice, and it has a single attempt.
    let mut unsafe_client = request(&balancer, 3, "sign");
    let mut attempt = server.accept();
    attempt.read_line();
    attempt.reset();
    assert_eq!(unsafe_client.read_to_end(), ["ERR", "(end)"]);
    let mut single_attempt = request(&balancer, 4, "sign");
    let mut attempt = server.accept();
    attempt.read_line();
    attempt.send("BUSY\r\n");
    assert!(single_attempt.read_line().starts_with("BUSY"));
}

#[test]
fn invalid_requests_get_an_error_and_reach_no_server() {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let valid = "OPEN aa 2f c=chat,d=2000,g=3f\r\n";
    for invalid in [
        "GET / HTTP/1.1\r\n",
        "OPEN 1f\r\n",
        "\r\n",
        "OPEN  2f c=chat,d=2000,g=3f\r\n",
        "OPEN aa 2f c=nosuch,d=2000,g=3f\r\n",
        "OPEN aa 2f c=chat,d=soon,g=3f\r\n",
        "OPEN aa 2f c=chat,g=3f\r\n",
        "OPEN aa 2f c=chat,d=2000,at=s-9,g=3f\r\nM\r\n",
        &valid.repeat(300),
        &"PING\r\n".repeat(300),
        &"x".repeat(5_000),
        // Much more than the socket buffers hold: the answer must arrive although the data was never read.
        &"x".repeat(20_000_000),
    ] {
        let mut client = balancer.connect();
        client.send(invalid);
        let mut answer = client.read_to_end();
        answer.retain(|line| line != "PONG");
        assert_eq!(answer, ["ERR", "(end)"], "{invalid:.30}");
    }
    server.listener.set_nonblocking(true).expect("a listening socket");
    assert!(server.listener.accept().is_err(), "a connection was sent to it");
    let mut client = balancer.connect();
    client.send("PING\r\nPING\r\n");
    assert_eq!([client.read_line(), client.read_line()], ["PONG", "PONG"]);
}

#[test]
fn id_of_an_open_request_is_rejected_for_other_clients() {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let mut client = balancer.request("d=2000");
    let mut upstream = server.accept();
    assert!(upstream.read_line().starts_with("OPEN 1f "));
    for established in [false, true] {
        let mut other_client = balancer.connect();
        other_client.send("OPEN 1F 77 c=chat,d=2000,g=1\r\n");
        assert_eq!(other_client.read_to_end(), ["ERR", "(end)"], "established: {established}");
        if !established {
            upstream.send("UP 1\r\n");
            assert_eq!(client.read_line(), "UP 1");
        }
    }
    client.send("mine\r\n");
    assert_eq!(upstream.read_line(), "mine");
    // Sending data before the answer violates the protocol as well.
    let mut hasty = balancer.request("d=2000");
    let mut upstream = server.accept();
    upstream.read_line();
    hasty.send("too soon\r\n");
    assert_eq!(hasty.read_to_end(), ["ERR", "(end)"]);
    assert!(upstream.read_line().starts_with('('));
}

#[test]
fn client_without_a_request_is_disconnected_in_time_even_if_it_sends_slowly() {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let connected_at = Instant::now();
    let (mut idle, mut slow) = (balancer.connect(), balancer.connect());
    // A client that sends one or two valid lines a second never completes a request.
    while slow.peek(Duration::from_millis(400)).is_none_or(|first| first == b'P') {
        slow.send("PING\r\n");
        assert_eq!(slow.read_line(), "PONG");
    }
    assert_eq!(slow.read_to_end(), ["ERR", "(end)"]);
    assert_eq!(idle.read_to_end(), ["ERR", "(end)"]);
    assert!(connected_at.elapsed() < Duration::from_secs(3), "{:?}", connected_at.elapsed());
}

#[test]
fn hundreds_of_idle_clients_do_not_delay_a_request() {
    // 24 descriptors are reserved for the process and the admin interface, and 10 for pending connections.
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], 64);
    let idle: Vec<_> = (0..300).map(|_| balancer.connect()).collect();
    let requested_at = Instant::now();
    let (_client, _upstream) = balancer.establish(&server);
    assert!(requested_at.elapsed() < Duration::from_secs(1), "{:?}", requested_at.elapsed());
    for mut peer in idle {
        assert_eq!(peer.read_to_end(), ["ERR", "(end)"]);
    }
}

#[test]
fn slow_client_is_not_evicted_by_clients_that_never_finish() {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], 64);
    let (mut slow, mut idle) = (balancer.connect(), balancer.connect());
    let mut others = Vec::new();
    let started_at = Instant::now();
    for piece in ["OPEN 1f", " 2f c=ch", "at,d=", "2000,g=3", "f"] {
        slow.send(piece);
        // In total more than there are slots; some get an answer and stay.
        for index in 0..10 {
            let mut other = balancer.connect();
            other.send(if index % 2 == 0 { "PING\r\n" } else { "OPEN 1" });
            others.push(other);
        }
        assert_eq!(slow.peek(Duration::from_millis(500)), None, "its connection was closed");
    }
    assert!(started_at.elapsed() > Duration::from_secs(2));
    slow.send("\r\n");
    let mut upstream = server.accept();
    upstream.read_line();
    upstream.send("UP 1\r\n");
    assert_eq!(slow.read_line(), "UP 1");
    assert_eq!(idle.read_to_end(), ["ERR", "(end)"]);
}

#[test]
fn clients_are_rejected_without_free_descriptors_and_served_once_some_are_free() {
    // 22 descriptors are reserved for the process and the admin interface and 4 for pending connections,
    // which leaves 14.
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], 40);
    let mut established = Vec::new();
    for _ in 0..7 {
        established.push(balancer.establish(&server));
    }
    assert_eq!(balancer.request("d=2000").read_line(), "BUSY 2000");
    let (client, upstream) = established.pop().expect("seven connections");
    drop((client, upstream));
    let mut upstream = loop {
        let mut client = balancer.request("d=2000");
        // A rejection comes at once; an accepted client waits for its server.
        server.listener.set_nonblocking(true).expect("a listening socket");
        if client.peek(Duration::from_millis(200)).is_none() {
            server.listener.set_nonblocking(false).expect("a listening socket");
            break server.accept();
        }
    };
    assert!(upstream.read_line().starts_with("OPEN"));
}

#[test]
fn admin_interface_responds_despite_idle_connections() {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], 64);
    let _idle_clients: Vec<_> = (0..100).map(|_| balancer.connect()).collect();
    let idle_admins: Vec<_> = (0..30).map(|_| balancer.connect_admin()).collect();
    let mut partial = balancer.connect_admin();
    partial.send("POST /form-hosts/s-1/ma");
    let called_at = Instant::now();
    let calls = [
        "GET /healthcheck",
        "POST /healthcheck",
        "GET /form-hosts/s-1/maint",
        "POST /form-hosts/s-9/maint",
        "POST /form-hosts/s-9/ready",
        "GET /nowhere",
        "GET",
    ];
    let responses: Vec<_> =
        calls.iter().map(|call| format!("{call}: {}", balancer.admin_call(call))).collect();
    insta::assert_snapshot!(responses.join("\n"), @r"
    GET /healthcheck: HTTP/1.1 200 OK
    POST /healthcheck: HTTP/1.1 405 Method Not Allowed
    GET /form-hosts/s-1/maint: HTTP/1.1 405 Method Not Allowed
    POST /form-hosts/s-9/maint: HTTP/1.1 404 Not Found
    POST /form-hosts/s-9/ready: HTTP/1.1 404 Not Found
    GET /nowhere: HTTP/1.1 404 Not Found
    GET: HTTP/1.1 400 Bad Request
    ");
    assert!(called_at.elapsed() < Duration::from_secs(1), "{:?}", called_at.elapsed());
    // Idle connections are closed in favour of others, or receive an error.
    for mut admin in idle_admins.into_iter().chain([partial]) {
        let response = admin.read_to_end();
        assert!(response[0] == "(end)" || response[0] == "HTTP/1.1 408 Request Timeout", "{response:?}");
    }
}

#[test]
fn server_in_maintenance_gets_no_connections_regardless_of_the_list() {
    let (maintained, other) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let mut balancer = BalancerProcess::start(&[&maintained], SOCKET_LIMIT);
    let (mut client, mut upstream) = balancer.establish(&maintained);
    let (_, mut watch) = balancer.next_discovery_call();
    begin_watch_response(&mut watch);
    send_chunk(&mut watch, &(list_json(42, false, &[other.entry("SERVING")]) + "\n"));
    balancer.wait_for_log("ServerList { kind: Delta");
    for _ in 0..2 {
        assert_eq!(balancer.admin_call("POST /form-hosts/s-1/maint"), "HTTP/1.1 200 OK");
    }
    // As on any draining server, clients are moved before it stops.
    assert_eq!(client.read_to_end(), ["MOVE", "(end)"]);
    assert!(upstream.read_line().starts_with('('));
    for (rev, state) in [(43, "DELETED"), (44, "SERVING")] {
        send_chunk(&mut watch, &(list_json(rev, false, &[maintained.entry(state)]) + "\n"));
        balancer.wait_for_log("ServerList { kind: Delta");
        for _ in 0..10 {
            balancer.establish(&other);
        }
    }
    for _ in 0..2 {
        assert_eq!(balancer.admin_call("POST /form-hosts/s-1/ready"), "HTTP/1.1 200 OK");
    }
    // The server that is back in service gets the first connection, so that operators see it serve.
    balancer.establish(&maintained);
}

#[test]
fn successor_takes_over_clients_maintenance_knowledge_and_connections() {
    let (server, other) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let mut old = BalancerProcess::start(&[&other], SOCKET_LIMIT);
    let (client, upstream) = old.establish(&other);
    let mut upstreams = Vec::new();
    let (_, mut watch) = old.next_discovery_call();
    begin_watch_response(&mut watch);
    // The successor's configuration does not list this server.
    send_chunk(&mut watch, &(list_json(42, false, &[server.entry("SERVING")]) + "\n"));
    old.wait_for_log("ServerList { kind: Delta");
    assert_eq!(old.admin_call("POST /form-hosts/s-1/maint"), "HTTP/1.1 200 OK");
    // Some clients have connected without a request yet. A broken file does not matter, as the old process
    // passes on its configuration.
    let mut clients: Vec<_> = (0..5).map(|_| old.connect()).collect();
    let text = old.replace_config("{");
    let mut new = old.start_successor();
    old.wait_for_log("a successor accepts clients");
    old.replace_config(&text);
    assert_eq!(old.admin_call("GET /healthcheck"), "HTTP/1.1 503 Service Unavailable");
    assert_eq!(new.admin_call("GET /healthcheck"), "HTTP/1.1 200 OK");
    assert!(new.next_discovery_call().0.contains("?watch=1&after=42 "));
    // An id in use in the old process is in use in the new one.
    let mut other_client = new.connect();
    other_client.send("OPEN 1f 2f c=chat,d=2000,g=3f\r\n");
    assert_eq!(other_client.read_to_end(), ["ERR", "(end)"]);
    let mut established: Vec<_> = (0..3).map(|_| new.establish(&other)).collect();
    for (index, peer) in clients.iter_mut().enumerate() {
        peer.send(&format!("OPEN {index:x}a 2f c=chat,d=2000\r\n"));
        let mut upstream = other.accept();
        upstream.read_line();
        upstream.send("UP 1\r\n");
        assert_eq!(peer.read_line(), "UP 1");
        upstreams.push(upstream);
    }
    // For operators both processes are one balancer.
    assert_eq!(old.admin_call("POST /form-hosts/s-1/ready"), "HTTP/1.1 200 OK");
    new.wait_for_log("begins: false");
    established.push(new.establish(&server));
    assert_eq!(new.admin_call("POST /form-hosts/s-1/maint"), "HTTP/1.1 200 OK");
    old.wait_for_log("begins: false");
    old.wait_for_log("begins: true");
    assert_eq!(new.admin_call("POST /form-hosts/s-1/ready"), "HTTP/1.1 200 OK");
    let signalled_at = Instant::now();
    // One connection always has an incomplete line, so it must be moved.
    let (mut moved, mut moved_upstream) = clients.pop().zip(upstreams.pop()).expect("five connections");
    moved_upstream.send("half a li");
    old.signal("TERM");
    assert_eq!(moved.read_to_end(), ["MOVE", "(end)"]);
    assert!(moved_upstream.read_line().starts_with('('));
    assert!(old.wait_for_exit().success());
    assert!(signalled_at.elapsed() < Duration::from_millis(3_500), "{:?}", signalled_at.elapsed());
    // The others stay open, and a close or reset is passed on as such.
    clients.push(client);
    upstreams.push(upstream);
    for (client, upstream) in clients.iter_mut().zip(&mut upstreams) {
        client.send("one\r\n");
        assert_eq!(upstream.read_line(), "one");
        upstream.send("LOAD 7\r\ntwo\r\n");
        assert_eq!([client.read_line(), client.read_line()], ["LOAD 7", "two"]);
    }
    drop(clients.pop());
    assert!(upstreams.pop().expect("five connections").read_line().starts_with('('));
    upstreams.pop().expect("four connections").send("BYE\r\n");
    assert_eq!(clients.pop().expect("four connections").read_to_end(), ["BYE", "(end)"]);
    upstreams.pop().expect("three connections").reset();
    assert_eq!(clients.pop().expect("three connections").read_line(), "(reset)");
    new.wait_for_log("the predecessor has ended");
    new.establish(&server);
}

#[test]
fn old_process_serves_on_if_its_successor_exits_early() {
    let server = TestServer::new("s-1");
    let mut old = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    for _ in 0..2 {
        let mut new = old.start_successor();
        old.wait_for_log("a successor accepts clients");
        let (mut client, _upstream) = new.establish(&server);
        new.signal("KILL");
        new.wait_for_exit();
        assert!(client.read_line().starts_with('('));
        old.wait_for_log("accepts clients again");
        old.establish(&server);
        assert_eq!(old.admin_call("GET /healthcheck"), "HTTP/1.1 200 OK");
    }
}

#[test]
fn stale_socket_bad_snapshot_or_unresponsive_predecessor_leads_to_a_plain_start() {
    use std::os::unix::net::UnixListener;
    let bind = |path: &std::path::Path| UnixListener::bind(path).expect("an existing folder");
    let respond_with = |response: &'static str| {
        move |path: &std::path::Path| {
            let listener = bind(path);
            std::thread::spawn(move || {
                let mut stream = listener.accept().expect("a connection from the successor").0;
                stream.write_all(response.as_bytes()).expect("an open connection");
                let _ = stream.read(&mut [0; 64]);
                stream.read(&mut [0; 64])
            });
        }
    };
    let server = TestServer::new("s-1");
    let started_at = Instant::now();
    let assert_serves = |balancer: BalancerProcess| drop(balancer.establish(&server));
    assert_serves(BalancerProcess::start_prepared(&[&server], SOCKET_LIMIT, |path| drop(bind(path))));
    assert_serves(BalancerProcess::start_prepared(
        &[&server],
        SOCKET_LIMIT,
        respond_with("{\"version\":2}\n"),
    ));
    assert_serves(BalancerProcess::start_prepared(&[&server], SOCKET_LIMIT, respond_with("{\"version\":1")));
    assert_serves(BalancerProcess::start_prepared(&[&server], SOCKET_LIMIT, bind));
    // A process must not remove the socket that another process has created in place of its own meanwhile.
    let mut socket_path = std::path::PathBuf::new();
    let mut waiting =
        BalancerProcess::start_prepared(&[&server], SOCKET_LIMIT, |path| socket_path = path.into());
    std::fs::remove_file(&socket_path).expect("an existing socket");
    let _other_listener = bind(&socket_path);
    waiting.signal("TERM");
    assert!(waiting.wait_for_exit().success());
    assert!(socket_path.exists());
    assert!(started_at.elapsed() < Duration::from_secs(9), "{:?}", started_at.elapsed());
}

#[test]
fn balancer_serves_without_a_handover_socket() {
    // Without a usable Unix socket, an upgrade is a plain restart.
    let server = TestServer::new("s-1");
    let mut balancer = BalancerProcess::start_prepared(&[&server], SOCKET_LIMIT, |path| {
        std::fs::create_dir(path).expect("an existing folder");
    });
    let mut client = balancer.connect();
    client.send("PING\r\n");
    assert_eq!(client.read_line(), "PONG");
    drop(balancer.establish(&server));
    balancer.signal("TERM");
    assert!(balancer.wait_for_exit().success());
}

#[test]
fn invalid_configuration_is_reported_in_one_line_at_start() {
    let output = Command::new(env!("CARGO_BIN_EXE_marllink")).env("NODE_CONFIG", "/nowhere").output();
    let output = output.expect("a started process");
    assert!(!output.status.success());
    insta::assert_snapshot!(
        String::from_utf8_lossy(&output.stderr),
        @"marllink: NODE_CONFIG: /nowhere: No such file or directory (os error 2)"
    );
}
