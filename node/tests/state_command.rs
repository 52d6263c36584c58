//! `marllink state` on a folder that the test writes. By itself: a process that is started while another test holds the
//! folder has its lock until it runs its own program.
#![allow(missing_docs, reason = "tests are named for what they show")]

use marllink_store::{FileDisk, LOG_FILE, Record, Store};
use std::path::Path;
use std::process::Command;

/// What the command prints, and whether it succeeds.
fn state(command: &str, folder: &Path) -> Result<String, String> {
    let mut program = Command::new(env!("CARGO_BIN_EXE_marllink"));
    let done = program.args(["state", command]).arg(folder).output().expect("the program runs");
    let text = |bytes| String::from_utf8(bytes).expect("text").trim_end().to_owned();
    if done.status.success() { Ok(text(done.stdout)) } else { Err(text(done.stderr)) }
}

#[test]
fn a_folder_is_shown_checked_and_tidied_up_unless_a_balancer_writes_it() {
    let place = tempfile::tempdir().expect("a folder");
    let folder = place.path();
    let mut store = FileDisk::lock(folder).and_then(Store::open).expect("it is free");
    let body = serde_json::json!({"list": {"rev": 41, "targets": [{}, {}]}});
    for at in [1.0, 2.0] {
        let record = Record { name: "list".into(), at, body: body.clone() };
        assert!(store.put(record).expect("it is kept"));
    }
    let show = state("show", folder).expect("it is sound");
    assert!(show.contains("2 records") && show.contains("version 41, 2 servers"), "{show}");
    let taken = state("compact", folder).expect_err("a balancer writes it");
    assert!(taken.contains("another process writes it"), "{taken}");
    drop(store);
    // A write that was cut off.
    let log = folder.join(LOG_FILE);
    let mut bytes = std::fs::read(&log).expect("it is there");
    bytes.extend([0xf5, 0x1e, 0xff, 0x01, 9]);
    std::fs::write(&log, bytes).expect("it can be written");
    let damaged = state("check", folder).expect_err("a part is damaged");
    assert!(damaged.ends_with("5 damaged"), "{damaged}");
    assert!(state("compact", folder).expect("it is free").contains("now 1 records"));
    let export = state("export", folder).expect("it is sound");
    let export: serde_json::Value = serde_json::from_str(&export).expect("JSON");
    assert_eq!(export["list"]["at"], 2.0);
}
