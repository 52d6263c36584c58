//! The real program while its system calls fail temporarily, in ways that their manual pages document.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use support::*;

fn port(server: &TestServer) -> u16 {
    server.listener.local_addr().expect("a listening socket").port()
}

/// Connects a client whose connection to this server was open before the balancer started.
fn reopen(balancer: &BalancerProcess, server: &TestServer) -> Peer {
    let mut client = balancer.connect();
    client.send(&format!("OPEN 51 2f c=chat,d=30000,at={}\r\n", server.uid));
    client
}

/// Accepts the connection at the server, and checks that the client is notified.
fn accept_established(server: &TestServer, client: &mut Peer) -> Peer {
    let mut upstream = server.accept();
    assert!(upstream.read_line().starts_with("OPEN "));
    upstream.send("UP 7\r\n");
    assert_eq!(client.read_line(), "UP 7");
    upstream
}

/// Checks that lines pass both ways.
fn assert_lines_pass(client: &mut Peer, upstream: &mut Peer) {
    client.send("a line of some length\r\n");
    assert_eq!(upstream.read_line(), "a line of some length");
    upstream.send("and its answer\r\n");
    assert_eq!(client.read_line(), "and its answer");
}

/// Checks that a connection that was open before the start is established again although this fault occurs at
/// first.
fn assert_reopens_despite(fault: &str, plan: impl Fn(u16) -> String) {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start_with_faults(&[&server], &plan(port(&server)));
    let mut client = reopen(&balancer, &server);
    let mut upstream = accept_established(&server, &mut client);
    assert_lines_pass(&mut client, &mut upstream);
    assert!(balancer.fault_count(fault) > 0, "{fault} was never injected");
}

#[test]
fn connection_is_reopened_despite_an_unreachable_network() {
    assert_reopens_despite("connect ENETUNREACH", |port| format!("connect=ENETUNREACH@{port}#1-3"));
}

#[test]
fn connection_is_reopened_despite_a_shortage_of_ports() {
    assert_reopens_despite("connect EADDRNOTAVAIL", |port| format!("connect=EADDRNOTAVAIL@{port}#1-3"));
}

#[test]
fn connection_is_reopened_despite_an_interrupted_connect() {
    assert_reopens_despite("connect EINTR", |port| format!("connect=EINTR@{port}#1"));
}

#[test]
fn connection_is_reopened_despite_a_refused_connect() {
    assert_reopens_despite("connect ECONNREFUSED", |port| format!("connect=ECONNREFUSED@{port}#1-2"));
}

#[test]
fn connection_is_reopened_despite_a_failed_epoll_registration() {
    let server = TestServer::new("s-1");
    let balancer =
        BalancerProcess::start_with_faults(&[&server], &format!("epoll_ctl=ENOMEM@{}#1", port(&server)));
    let mut client = reopen(&balancer, &server);
    // The system has established the connection, but nothing was sent.
    assert_eq!(server.accept().read_line(), "(end)");
    let mut upstream = accept_established(&server, &mut client);
    assert_lines_pass(&mut client, &mut upstream);
    assert_eq!(balancer.fault_count("epoll_ctl ENOMEM"), 1);
}

#[test]
fn connection_is_reopened_despite_a_rejection_by_its_server() {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], 256);
    let mut client = reopen(&balancer, &server);
    let mut rejecting = server.accept();
    rejecting.read_line();
    rejecting.send("BUSY\r\n");
    accept_established(&server, &mut client);
}

#[test]
fn connection_is_reopened_despite_a_reset_of_the_first_attempt() {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start(&[&server], 256);
    let mut client = reopen(&balancer, &server);
    let mut broken = server.accept();
    broken.read_line();
    broken.reset();
    accept_established(&server, &mut client);
}

#[test]
fn connection_is_reopened_despite_a_connect_timeout() {
    let (server, filler) = TestServer::with_full_backlog("s-1");
    let mut balancer = BalancerProcess::start(&[&server], 256);
    let mut client = reopen(&balancer, &server);
    // The first attempt has timed out by then.
    balancer.wait_for_log("symptom: ConnectTimeout");
    server.accept();
    drop(filler);
    accept_established(&server, &mut client);
}

/// Checks that new connections are served although this fault occurs: it must not count as a failure of the
/// only server.
fn assert_serves_despite(fault: &str, plan: impl Fn(u16) -> String) {
    let server = TestServer::new("s-1");
    let balancer = BalancerProcess::start_with_faults(&[&server], &plan(port(&server)));
    for _ in 0..3 {
        let mut client = balancer.request("d=2000");
        let mut upstream = accept_established(&server, &mut client);
        assert_lines_pass(&mut client, &mut upstream);
    }
    assert!(balancer.fault_count(fault) > 0, "{fault} was never injected");
}

#[test]
fn client_is_served_although_connects_lack_buffers() {
    assert_serves_despite("connect ENOBUFS", |port| format!("connect=ENOBUFS@{port}#1-3"));
}

#[test]
fn client_is_served_although_no_port_is_free_temporarily() {
    assert_serves_despite("connect EADDRNOTAVAIL", |port| format!("connect=EADDRNOTAVAIL@{port}#1-3"));
}

#[test]
fn client_is_served_although_accepts_are_aborted() {
    assert_serves_despite("accept ECONNABORTED", |_| "accept=ECONNABORTED@LISTEN#1-5".into());
}

#[test]
fn client_is_served_although_accepts_lack_descriptors() {
    assert_serves_despite("accept EMFILE", |_| "accept=EMFILE@LISTEN#1-3".into());
}

#[test]
fn client_is_served_although_epoll_registration_of_its_socket_fails() {
    assert_serves_despite("epoll_ctl ENOMEM", |_| "epoll_ctl=ENOMEM@LISTEN#2".into());
}

#[test]
fn client_is_served_although_reads_from_it_lack_memory() {
    assert_serves_despite("recv ENOMEM", |_| "recv=ENOMEM@LISTEN#1-4".into());
}

#[test]
fn client_is_served_although_reads_from_its_server_lack_memory() {
    assert_serves_despite("recv ENOMEM", |port| format!("recv=ENOMEM@{port}#1-4"));
}

#[test]
fn client_is_served_although_writes_to_it_lack_buffers() {
    assert_serves_despite("send ENOBUFS", |_| "send=ENOBUFS@LISTEN#1-4".into());
}

#[test]
fn client_is_served_although_writes_to_its_server_lack_buffers() {
    assert_serves_despite("send ENOBUFS", |port| format!("send=ENOBUFS@{port}#1-4"));
}

#[test]
fn client_is_served_although_reads_and_writes_are_interrupted_and_partial() {
    assert_serves_despite("recv SHORT", |_| {
        "recv=EINTR%3;recv=SHORT%2;send=EINTR%3;send=SHORT%2;epoll_wait=EINTR%3".into()
    });
}

#[test]
fn balancer_starts_although_its_address_is_in_use_temporarily() {
    assert_serves_despite("bind EADDRINUSE", |_| "bind=EADDRINUSE@LISTEN#1-3".into());
}

#[test]
fn balancer_starts_although_its_configuration_cannot_be_opened_temporarily() {
    assert_serves_despite("open EMFILE", |_| "open=EMFILE@config.json#1-3".into());
}

#[test]
fn reload_takes_effect_although_the_file_cannot_be_opened_temporarily() {
    let server = TestServer::new("s-1");
    let mut balancer = BalancerProcess::start_with_faults(&[&server], "open=EIO@config.json#2-4");
    let _old_listener = balancer.move_discovery();
    balancer.signal("HUP");
    // The new address of discovery is called.
    let (request_line, _connection) = balancer.next_discovery_call();
    assert!(request_line.starts_with("GET /catalog/members?watch=1"), "{request_line}");
    assert_eq!(balancer.fault_count("open EIO"), 3);
}

#[test]
fn failed_log_writes_do_not_stop_the_balancer() {
    // The line that the test waits for at the start is still written.
    assert_serves_despite("write ENOSPC", |_| "write=ENOSPC@stderr#4-60".into());
}
