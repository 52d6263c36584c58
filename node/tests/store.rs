//! The real balancer with a store, started while discovery says nothing.
#![allow(missing_docs, reason = "tests are named for what they show")]

mod support;

use marllink_store::{FileDisk, Record, Store};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use support::*;

/// Lays a store with this list beside the place where successors ask, as old as that, and switches it on.
fn lay(meeting: &Path, list: &str, discovery: &str, age_ms: f64) {
    let tmp = meeting.parent().expect("it lies in a folder");
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("it is past 1970").as_secs_f64() * 1_000.0;
    let list: serde_json::Value = serde_json::from_str(list).expect("a list");
    let body = serde_json::json!({"discovery": discovery, "list": list});
    let mut store = Store::open(FileDisk::lock(&tmp.join("state")).expect("free")).expect("empty");
    store.put(Record { name: "list".into(), at: unix - age_ms, body }).expect("kept");
    std::fs::write(tmp.join("operators.json"), r#"{"store":{"folder":"state"}}"#).expect("written");
}

/// Where discovery is, by the configuration that lies there.
fn discovery(meeting: &Path) -> String {
    let file = meeting.parent().expect("it lies in a folder").join("config.json");
    let config: serde_json::Value =
        serde_json::from_slice(&std::fs::read(file).expect("it lies there")).expect("JSON");
    config["discovery"].as_str().expect("an address").to_owned()
}

#[test]
fn an_old_list_is_newer_than_what_is_handed_over_and_its_hosts_are_asked_before_they_get_work() {
    let (left, stays) = (Host::new("s-1"), Host::new("s-2"));
    let kept = list(45, true, &[left.entry("DRAINING"), stays.entry("SERVING")]);
    let probes = |config: String| config.replace("\"mayCancel\"", "\"mayProbe\":true,\"mayCancel\"");
    let days = 3.0 * 86_400_000.0;
    let mut node = Node::start_as(&[&left, &stays], 256, probes, |meeting| {
        lay(meeting, &kept, &discovery(meeting), days);
    });
    // It is asked, and a client that comes meanwhile waits: nothing but another question may come.
    let mut asked = stays.accept();
    assert_eq!(asked.line(), "PING");
    let mut client = node.open("d=4800");
    node.logged("Request(");
    stays.listener.set_nonblocking(true).expect("it listens");
    if let Ok((more, _)) = stays.listener.accept() {
        assert_eq!(Peer::from(more).line(), "PING", "sent to a host that has not answered");
    }
    stays.listener.set_nonblocking(false).expect("it listens");
    asked.send("PONG\r\n");
    // On a loaded machine the answer may have come too late, and it is asked again.
    let (mut server, mut line) = (asked, "PING".to_owned());
    while line == "PING" {
        server = stays.accept();
        line = server.line();
        if line == "PING" {
            server.send("PONG\r\n");
        }
    }
    assert!(line.starts_with("OPEN 1f "), "{line}");
    server.send("UP 1\r\n");
    assert_eq!(client.line(), "UP 1");
    node.logged("phase serving");
    left.listener.set_nonblocking(true).expect("it listens");
    assert!(left.listener.accept().is_err(), "a host that was draining was asked or sent something");
}

#[test]
fn a_young_list_is_taken_as_it_is_and_one_of_another_service_is_not_taken() {
    let (known, kept) = (Host::new("s-1"), Host::new("s-2"));
    for (elsewhere, serves) in [(false, &kept), (true, &known)] {
        let node = Node::start_beside(&[&known], 256, |meeting| {
            let here = discovery(meeting);
            let told_by = if elsewhere { "127.0.0.1:9".to_owned() } else { here };
            lay(meeting, &list(45, true, &[kept.entry("SERVING")]), &told_by, 1_000.0);
        });
        node.stand(serves);
    }
}
