//! The real balancer with a state store, started while discovery is unresponsive.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use marllink_store::{FileDisk, Record, Store};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use support::*;

/// Creates and enables a store, next to the handover socket, that holds a list of this age.
fn create_store(handover_socket: &Path, list: &str, discovery: &str, age_ms: f64) {
    let folder = handover_socket.parent().expect("a path in a folder");
    let unix_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_secs_f64() * 1_000.0;
    let list: serde_json::Value = serde_json::from_str(list).expect("a JSON list");
    let body = serde_json::json!({"discovery": discovery, "list": list});
    let mut store = Store::open(FileDisk::lock(&folder.join("state")).expect("an unlocked store"))
        .expect("an empty store");
    store.put(Record { name: "list".into(), at: unix_ms - age_ms, body }).expect("a stored record");
    std::fs::write(folder.join("operators.json"), r#"{"store":{"folder":"state"}}"#)
        .expect("a writable file");
}

/// Returns the address of discovery in the configuration next to the handover socket.
fn discovery_address(handover_socket: &Path) -> String {
    let file = handover_socket.parent().expect("a path in a folder").join("config.json");
    let config: serde_json::Value =
        serde_json::from_slice(&std::fs::read(file).expect("an existing file")).expect("JSON");
    config["discovery"].as_str().expect("an address").to_owned()
}

#[test]
fn servers_of_an_old_stored_list_are_probed_before_they_get_requests() {
    let (draining, serving) = (TestServer::new("s-1"), TestServer::new("s-2"));
    let stored = list_json(45, true, &[draining.entry("DRAINING"), serving.entry("SERVING")]);
    let allow_probes = |config: String| config.replace("\"mayCancel\"", "\"mayProbe\":true,\"mayCancel\"");
    let age_ms = 3.0 * 86_400_000.0;
    let mut balancer =
        BalancerProcess::start_with(&[&draining, &serving], 256, allow_probes, |handover_socket| {
            create_store(handover_socket, &stored, &discovery_address(handover_socket), age_ms);
        });
    // The server is probed, and a client that arrives meanwhile waits: the server may only receive another
    // probe.
    let mut probe = serving.accept();
    assert_eq!(probe.read_line(), "PING");
    let mut client = balancer.request("d=4800");
    balancer.wait_for_log("Request(");
    serving.listener.set_nonblocking(true).expect("a listening socket");
    if let Ok((stream, _)) = serving.listener.accept() {
        assert_eq!(
            Peer::from(stream).read_line(),
            "PING",
            "a request was sent to a server that has not answered"
        );
    }
    serving.listener.set_nonblocking(false).expect("a listening socket");
    probe.send("PONG\r\n");
    // On an overloaded machine the answer may be late, and the server is probed again.
    let (mut upstream, mut line) = (probe, "PING".to_owned());
    while line == "PING" {
        upstream = serving.accept();
        line = upstream.read_line();
        if line == "PING" {
            upstream.send("PONG\r\n");
        }
    }
    assert!(line.starts_with("OPEN 1f "), "{line}");
    upstream.send("UP 1\r\n");
    assert_eq!(client.read_line(), "UP 1");
    balancer.wait_for_log("phase serving");
    draining.listener.set_nonblocking(true).expect("a listening socket");
    assert!(draining.listener.accept().is_err(), "a draining server was probed or got a connection");
}

#[test]
fn recent_stored_list_is_used_unless_it_is_from_another_discovery() {
    let (configured, stored) = (TestServer::new("s-1"), TestServer::new("s-2"));
    for (other_discovery, serving) in [(false, &stored), (true, &configured)] {
        let balancer = BalancerProcess::start_prepared(&[&configured], 256, |handover_socket| {
            let own_address = discovery_address(handover_socket);
            let address = if other_discovery { "127.0.0.1:9".to_owned() } else { own_address };
            create_store(
                handover_socket,
                &list_json(45, true, &[stored.entry("SERVING")]),
                &address,
                1_000.0,
            );
        });
        balancer.establish(serving);
    }
}
