//! Malformed input from servers and from discovery to the real program: it must not affect others, and must
//! not reach any client.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use std::time::{Duration, Instant};
use support::*;

const SOCKET_LIMIT: usize = 256;

/// Accepts the next connection to any of these servers.
fn accept_any(servers: &[TestServer]) -> Peer {
    loop {
        if let Some((stream, _)) = servers.iter().find_map(|server| server.listener.accept().ok()) {
            stream.set_nonblocking(false).expect("an open connection");
            return Peer::from(stream);
        }
        std::thread::yield_now();
    }
}

#[test]
fn malformed_answer_is_not_passed_on_and_the_request_is_retried() {
    let unterminated = "x".repeat(5_000);
    let malformed = [
        "",
        "U",
        "UP 1",
        "UP\r\n",
        "UP \r\n",
        "up 1\r\n",
        "\r\n",
        "PONG\r\n",
        "LOAD 3\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "\u{0}\u{1}\u{7f}\r\n",
        "ERR\r\nUP 2\r\n",
        "BUSY\r\nUP 2\r\nBYE\r\n",
        "BUSY inflight=\u{e9},x==\r\n",
        &unterminated,
    ];
    for answer in malformed {
        let servers = [TestServer::new("s-1"), TestServer::new("s-2"), TestServer::new("s-3")];
        let balancer = BalancerProcess::start(&[&servers[0], &servers[1], &servers[2]], SOCKET_LIMIT);
        for server in &servers {
            server.listener.set_nonblocking(true).expect("a listening socket");
        }
        let requested_at = Instant::now();
        let mut client = balancer.request("d=3000");
        let mut first = accept_any(&servers);
        first.read_line();
        first.send(answer);
        // The end of the stream shows that an answer is incomplete.
        first.shutdown_write();
        let mut second = accept_any(&servers);
        assert!(second.read_line().starts_with("OPEN 1f "), "{answer:?}");
        assert!(first.is_closed(), "{answer:?}: two attempts are pending at the same time");
        second.send("UP 7\r\nlast\r\nBYE\r\n");
        drop(second);
        assert_eq!(client.read_to_end(), ["UP 7", "last", "BYE", "(end)"], "{answer:?}");
        assert!(requested_at.elapsed() < Duration::from_secs(3), "{answer:?}: {:?}", requested_at.elapsed());
    }
}

/// On an established connection, a second, late or truncated answer is a line like any other: it is passed on
/// unchanged and has no effect.
#[test]
fn malformed_lines_on_an_established_connection_are_passed_on_unchanged() {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], SOCKET_LIMIT);
    let (mut client, mut upstream) = balancer.establish(&server);
    upstream.send("UP 1\r\nERR\r\nBUSY 3\r\nOPEN 1 2 c=chat,d=1\r\n\r\nhalf a li");
    upstream.shutdown_write();
    let rest = client.read_to_end();
    assert_eq!(rest[..6], ["UP 1", "ERR", "BUSY 3", "OPEN 1 2 c=chat,d=1", "", "half a li"]);
    // Other clients are still served.
    balancer.establish(&server);
}

#[test]
fn valid_list_applies_after_malformed_ones() {
    let (server, other) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let mut balancer = BalancerProcess::start(&[&server, &other], SOCKET_LIMIT);
    let valid = list_json(42, false, &[server.entry("DRAINING")]);
    let truncated = &valid[..valid.len() - 7];
    for malformed in
        [truncated, "", "[]\n", "{\"rev\":42}\n", "null\n", "\u{0}\n", &valid.replace("DRAINING", "")[..40]]
    {
        let (_, mut watch) = balancer.next_discovery_call();
        begin_watch_response(&mut watch);
        if !malformed.is_empty() {
            send_chunk(&mut watch, malformed);
        }
        // The end of the response, and of the connection.
        send_chunk(&mut watch, "");
        drop(watch);
        balancer.wait_for_log("Failed");
    }
    for head in ["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "nonsense\r\n\r\n", ""] {
        let (_, mut watch) = balancer.next_discovery_call();
        watch.send(head);
        drop(watch);
        balancer.wait_for_log("Failed");
    }
    // None of the malformed input changes the version of the list.
    let (path, mut watch) = balancer.next_discovery_call();
    assert_eq!(path, "GET /catalog/members?watch=1&after=41 HTTP/1.1");
    begin_watch_response(&mut watch);
    send_chunk(&mut watch, &(valid + "\n"));
    balancer.wait_for_log("kind: Delta");
    // By chance all eight would go to this server once in 256 times.
    let _established: Vec<_> = (0..8).map(|_| balancer.establish(&other)).collect();
}
