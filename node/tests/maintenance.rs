//! Maintenance commands of operators must persist if an upgrade hands over no state.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use support::*;

/// Opens several connections, and checks that `staying` serves all of them and the server in maintenance
/// none.
fn assert_serves_only(balancer: &BalancerProcess, staying: &TestServer, maintained: &TestServer) {
    maintained.listener.set_nonblocking(true).expect("a listening socket");
    for _ in 0..12 {
        balancer.establish(staying);
    }
    assert!(maintained.listener.accept().is_err(), "a connection was sent to a server in maintenance");
}

#[test]
fn maintenance_persists_after_a_failed_handover_and_after_sighup() {
    let (maintained, staying, third) =
        (TestServer::new("s-1"), TestServer::new("s-2"), TestServer::new("s-3"));
    let mut old = BalancerProcess::start(&[&maintained, &staying, &third], 256);
    assert_eq!(old.admin_call("POST /form-hosts/s-1/maint"), "HTTP/1.1 200 OK");
    old.remove_handover_socket();
    let mut new = old.start_successor();
    // Two processes serve concurrently now, and the admin interface of each controls both.
    assert_eq!(new.admin_call("POST /form-hosts/s-3/maint"), "HTTP/1.1 200 OK");
    old.wait_for_log("begins: true");
    old.wait_for_log("begins: true");
    old.signal("KILL");
    old.wait_for_exit();
    assert_serves_only(&new, &staying, &maintained);
    new.signal("HUP");
    new.wait_for_log("SIGHUP: new settings");
    assert_serves_only(&new, &staying, &maintained);
    assert_eq!(new.admin_call("POST /form-hosts/s-1/ready"), "HTTP/1.1 200 OK");
    maintained.listener.set_nonblocking(false).expect("a listening socket");
    // The server that is back in service gets the first connection, so that operators see it serve.
    new.establish(&maintained);
}
