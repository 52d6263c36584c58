//! The real program while its system calls fail for a moment, in ways that their pages document.
#![allow(missing_docs, reason = "tests are named for what they show")]

mod support;

use support::*;

fn port(host: &Host) -> u16 {
    host.listener.local_addr().expect("it listens").port()
}

/// A client whose connection was open at this host before the balancer began to serve.
fn open_before(node: &Node, host: &Host) -> Peer {
    let mut client = node.connect();
    client.send(&format!("OPEN 51 2f c=chat,d=30000,at={}\r\n", host.uid));
    client
}

/// The host takes a connection, and its client hears of that.
fn comes_up(host: &Host, client: &mut Peer) -> Peer {
    let mut server = host.accept();
    assert!(server.line().starts_with("OPEN "));
    server.send("UP 7\r\n");
    assert_eq!(client.line(), "UP 7");
    server
}

/// Lines pass both ways.
fn carries(client: &mut Peer, server: &mut Peer) {
    client.send("a line of some length\r\n");
    assert_eq!(server.line(), "a line of some length");
    server.send("and its answer\r\n");
    assert_eq!(client.line(), "and its answer");
}

/// A connection that was open before the start comes up although this fault fires at first.
fn open_before_survives(fault: &str, plan: impl Fn(u16) -> String) {
    let host = Host::new("s-1");
    let node = Node::start_with_faults(&[&host], &plan(port(&host)));
    let mut client = open_before(&node, &host);
    let mut server = comes_up(&host, &mut client);
    carries(&mut client, &mut server);
    assert!(node.fired(fault) > 0, "{fault} never fired");
}

#[test]
fn a_connection_open_before_survives_a_connect_that_finds_no_network() {
    open_before_survives("connect ENETUNREACH", |port| format!("connect=ENETUNREACH@{port}#1-3"));
}

#[test]
fn a_connection_open_before_survives_a_connect_without_a_free_port() {
    open_before_survives("connect EADDRNOTAVAIL", |port| format!("connect=EADDRNOTAVAIL@{port}#1-3"));
}

#[test]
fn a_connection_open_before_survives_a_connect_that_is_interrupted() {
    open_before_survives("connect EINTR", |port| format!("connect=EINTR@{port}#1"));
}

#[test]
fn a_connection_open_before_survives_a_connect_that_is_refused() {
    open_before_survives("connect ECONNREFUSED", |port| format!("connect=ECONNREFUSED@{port}#1-2"));
}

#[test]
fn a_connection_open_before_survives_a_connect_that_cannot_be_watched() {
    let host = Host::new("s-1");
    let node = Node::start_with_faults(&[&host], &format!("epoll_ctl=ENOMEM@{}#1", port(&host)));
    let mut client = open_before(&node, &host);
    // The system has connected it, and nothing was sent.
    assert_eq!(host.accept().line(), "(end)");
    let mut server = comes_up(&host, &mut client);
    carries(&mut client, &mut server);
    assert_eq!(node.fired("epoll_ctl ENOMEM"), 1);
}

#[test]
fn a_connection_open_before_survives_a_server_that_is_full_for_a_moment() {
    let host = Host::new("s-1");
    let node = Node::start(&[&host], 256);
    let mut client = open_before(&node, &host);
    let mut full = host.accept();
    full.line();
    full.send("BUSY\r\n");
    comes_up(&host, &mut client);
}

#[test]
fn a_connection_open_before_survives_a_server_that_breaks_its_first_attempt() {
    let host = Host::new("s-1");
    let node = Node::start(&[&host], 256);
    let mut client = open_before(&node, &host);
    let mut broken = host.accept();
    broken.line();
    broken.reset();
    comes_up(&host, &mut client);
}

#[test]
fn a_connection_open_before_survives_a_connect_that_comes_up_late() {
    let (host, filler) = Host::late("s-1");
    let mut node = Node::start(&[&host], 256);
    let mut client = open_before(&node, &host);
    // The first attempt has been given up by then.
    node.logged("symptom: ConnectTimeout");
    host.accept();
    drop(filler);
    comes_up(&host, &mut client);
}

/// A new connection is served although this fault fires; its only server must not be held to be broken for it.
fn new_connection_survives(fault: &str, plan: impl Fn(u16) -> String) {
    let host = Host::new("s-1");
    let node = Node::start_with_faults(&[&host], &plan(port(&host)));
    for _ in 0..3 {
        let mut client = node.open("d=2000");
        let mut server = comes_up(&host, &mut client);
        carries(&mut client, &mut server);
    }
    assert!(node.fired(fault) > 0, "{fault} never fired");
}

#[test]
fn a_client_is_served_although_connects_are_short_of_buffers() {
    new_connection_survives("connect ENOBUFS", |port| format!("connect=ENOBUFS@{port}#1-3"));
}

#[test]
fn a_client_is_served_although_no_port_is_free_for_a_moment() {
    new_connection_survives("connect EADDRNOTAVAIL", |port| format!("connect=EADDRNOTAVAIL@{port}#1-3"));
}

#[test]
fn a_client_is_served_although_accepting_is_aborted() {
    new_connection_survives("accept ECONNABORTED", |_| "accept=ECONNABORTED@LISTEN#1-5".into());
}

#[test]
fn a_client_is_served_although_accepting_is_short_of_descriptors() {
    new_connection_survives("accept EMFILE", |_| "accept=EMFILE@LISTEN#1-3".into());
}

#[test]
fn a_client_is_served_although_its_accepted_socket_cannot_be_watched_at_first() {
    new_connection_survives("epoll_ctl ENOMEM", |_| "epoll_ctl=ENOMEM@LISTEN#2".into());
}

#[test]
fn a_client_is_served_although_reads_from_it_are_short_of_memory() {
    new_connection_survives("recv ENOMEM", |_| "recv=ENOMEM@LISTEN#1-4".into());
}

#[test]
fn a_client_is_served_although_reads_from_its_server_are_short_of_memory() {
    new_connection_survives("recv ENOMEM", |port| format!("recv=ENOMEM@{port}#1-4"));
}

#[test]
fn a_client_is_served_although_writes_to_it_are_short_of_buffers() {
    new_connection_survives("send ENOBUFS", |_| "send=ENOBUFS@LISTEN#1-4".into());
}

#[test]
fn a_client_is_served_although_writes_to_its_server_are_short_of_buffers() {
    new_connection_survives("send ENOBUFS", |port| format!("send=ENOBUFS@{port}#1-4"));
}

#[test]
fn a_client_is_served_although_reads_and_writes_are_interrupted_and_short() {
    new_connection_survives("recv SHORT", |_| {
        "recv=EINTR%3;recv=SHORT%2;send=EINTR%3;send=SHORT%2;epoll_wait=EINTR%3".into()
    });
}

#[test]
fn a_balancer_starts_although_its_address_is_held_for_a_moment() {
    new_connection_survives("bind EADDRINUSE", |_| "bind=EADDRINUSE@LISTEN#1-3".into());
}

#[test]
fn a_balancer_starts_although_its_configuration_cannot_be_opened_for_a_moment() {
    new_connection_survives("open EMFILE", |_| "open=EMFILE@config.json#1-3".into());
}

#[test]
fn a_reload_takes_effect_although_the_file_cannot_be_read_for_a_moment() {
    let host = Host::new("s-1");
    let mut node = Node::start_with_faults(&[&host], "open=EIO@config.json#2-4");
    let _old = node.move_discovery();
    node.signal("HUP");
    // The new place of discovery is asked.
    let (path, _call) = node.called();
    assert!(path.starts_with("GET /catalog/members?watch=1"), "{path}");
    assert_eq!(node.fired("open EIO"), 3);
}

#[test]
fn a_log_that_cannot_be_written_ends_nothing() {
    // The line that the harness waits for still goes out.
    new_connection_survives("write ENOSPC", |_| "write=ENOSPC@stderr#4-60".into());
}
