//! When the balancer takes a session for free after the connection to its server has ended, on real sockets. What
//! crosses on the way is forced by stopping the process meanwhile.
#![allow(missing_docs, reason = "test names describe the guarded failure")]

#[path = "support/session_servers.rs"]
mod session_servers;
mod support;

use session_servers::{SessionServers, Upstream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::*;

/// Far less than a lease.
const AT_ONCE: Duration = Duration::from_millis(500);

/// How a connection is lost, seen from the balancer.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// While nothing is sent.
    Idle,
    /// While the client sends: the balancer's next write meets the reset.
    ClientSends,
    /// Together with lines of the client, so that reading and writing meet the reset at the same time.
    WithClientLines,
    /// Together with lines of the server, which are read before the reset.
    WithServerLines,
    /// After the client has left.
    ClientHasLeft,
    /// Together with the client's leave.
    WithClientLeaving,
    /// Before the server has accepted the connection.
    BeforeAccepted,
}

/// Returns the client's token.
fn receive_token(client: &mut Peer) -> String {
    let mut lines = [client.read_line(), client.read_line()];
    lines.sort_unstable();
    assert_eq!(lines[1], "UP 1");
    lines[0].strip_prefix("TOKEN ").unwrap_or_else(|| panic!("no token: {lines:?}")).to_owned()
}

/// Begins a session, and returns its client, its server's end and the end of its lease.
fn begin_session(balancer: &BalancerProcess, servers: &SessionServers) -> (Peer, Upstream, Instant) {
    let client = balancer.request("d=4800,s=new");
    let mut upstream = servers.next_upstream();
    let lease_end = upstream.acquire_lease();
    (client, upstream, lease_end)
}

/// Resets the connection of a session, whose server does not notice it. Returns the client if it is still there.
fn lose_connection(
    loss: Loss,
    balancer: &BalancerProcess,
    mut client: Peer,
    mut upstream: Upstream,
) -> Option<Peer> {
    if !matches!(loss, Loss::BeforeAccepted) {
        upstream.accept_session();
        receive_token(&mut client);
    }
    match loss {
        Loss::Idle | Loss::BeforeAccepted => {
            upstream.peer.reset();
            Some(client)
        }
        Loss::ClientSends => {
            upstream.peer.reset();
            // Until the balancer ends this connection as well.
            while client.peek(Duration::from_millis(1)).is_none() && !client.is_closed() {
                client.set_blocking();
                client.try_send("M 1\r\n");
            }
            None
        }
        Loss::WithClientLines => {
            balancer.signal("STOP");
            client.send(&"M 1\r\n".repeat(100));
            upstream.peer.reset();
            balancer.signal("CONT");
            Some(client)
        }
        Loss::WithServerLines => {
            balancer.signal("STOP");
            upstream.peer.send(&"M 1\r\n".repeat(100));
            upstream.peer.reset();
            balancer.signal("CONT");
            Some(client)
        }
        Loss::ClientHasLeft => {
            drop(client);
            // The balancer closes its side once it has seen the client leave.
            while upstream.peer.read_line() != "(end)" {}
            upstream.peer.reset();
            None
        }
        Loss::WithClientLeaving => {
            balancer.signal("STOP");
            client.send("M 1\r\n");
            drop(client);
            upstream.peer.reset();
            balancer.signal("CONT");
            None
        }
    }
}

fn assert_held_until_lease_end(loss: Loss) {
    let servers = SessionServers::start();
    let balancer = servers.start_balancer();
    let (client, upstream, lease_end) = begin_session(&balancer, &servers);
    let client = lose_connection(loss, &balancer, client, upstream);
    if matches!(loss, Loss::BeforeAccepted) {
        // The next attempt begins after the lease.
        let next = servers.next_upstream();
        assert!(
            Instant::now() >= lease_end,
            "{loss:?}: the next attempt began {:?} early",
            lease_end - Instant::now()
        );
        drop(next);
    } else {
        let released_at = servers.wait_for_release();
        let early = lease_end.saturating_duration_since(released_at);
        assert_eq!(early, Duration::ZERO, "{loss:?}: the session was taken for free while it was held");
    }
    drop(client);
}

#[test]
fn session_is_held_until_its_lease_ends_after_a_reset_while_idle() {
    assert_held_until_lease_end(Loss::Idle);
}

#[test]
fn session_is_held_until_its_lease_ends_after_a_reset_that_a_write_meets() {
    assert_held_until_lease_end(Loss::ClientSends);
}

#[test]
fn session_is_held_until_its_lease_ends_after_a_reset_together_with_lines_of_the_client() {
    for _ in 0..4 {
        assert_held_until_lease_end(Loss::WithClientLines);
    }
}

#[test]
fn session_is_held_until_its_lease_ends_after_a_reset_together_with_lines_of_the_server() {
    assert_held_until_lease_end(Loss::WithServerLines);
}

#[test]
fn session_is_held_until_its_lease_ends_after_a_reset_once_the_client_has_left() {
    assert_held_until_lease_end(Loss::ClientHasLeft);
}

#[test]
fn session_is_held_until_its_lease_ends_after_a_reset_together_with_the_leaving_client() {
    for _ in 0..4 {
        assert_held_until_lease_end(Loss::WithClientLeaving);
    }
}

#[test]
fn session_is_held_until_its_lease_ends_after_a_reset_before_the_server_accepted() {
    assert_held_until_lease_end(Loss::BeforeAccepted);
}

#[test]
fn client_of_a_reset_connection_resumes_elsewhere_only_after_the_lease() {
    let servers = SessionServers::start();
    let balancer = servers.start_balancer();
    let (mut client, mut upstream, lease_end) = begin_session(&balancer, &servers);
    upstream.accept_session();
    let token = receive_token(&mut client);
    upstream.peer.reset();
    client.read_to_end();
    let resumed = balancer.request(&format!("d=4800,s={token}"));
    let mut next = servers.next_upstream();
    next.acquire_lease();
    assert!(Instant::now() >= lease_end, "held twice for {:?}", lease_end - Instant::now());
    drop(resumed);
}

#[test]
fn session_is_free_at_once_after_an_orderly_close() {
    let servers = SessionServers::start();
    let balancer = servers.start_balancer();
    let (mut client, mut upstream, lease_end) = begin_session(&balancer, &servers);
    upstream.accept_session();
    receive_token(&mut client);
    let closed_at = Instant::now();
    upstream.peer.send("MOVE\r\n");
    drop(upstream);
    let released_at = servers.wait_for_release();
    assert!(released_at < lease_end && released_at - closed_at < AT_ONCE, "{:?}", released_at - closed_at);
}

#[test]
fn session_is_free_once_the_server_of_a_reset_connection_confirms_its_release() {
    let servers = SessionServers::start();
    servers.answers_release_requests.store(true, Ordering::Relaxed);
    let balancer = servers.start_balancer();
    let (mut client, mut upstream, lease_end) = begin_session(&balancer, &servers);
    upstream.accept_session();
    receive_token(&mut client);
    let reset_at = Instant::now();
    upstream.peer.reset();
    let released_at = servers.wait_for_release();
    assert!(released_at < lease_end && released_at - reset_at < AT_ONCE, "{:?}", released_at - reset_at);
}
