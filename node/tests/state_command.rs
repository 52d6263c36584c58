//! `marllink state` on a folder that the test writes. This test has a file of its own: a process started by
//! another test would share the lock of the folder between fork and exec.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

use marllink_store::{FileDisk, LOG_FILE, Record, Store};
use std::path::Path;
use std::process::Command;

/// Runs the command, and returns its output, or its error output if it fails.
fn run_state_command(command: &str, folder: &Path) -> Result<String, String> {
    let mut program = Command::new(env!("CARGO_BIN_EXE_marllink"));
    let output = program.args(["state", command]).arg(folder).output().expect("a started process");
    let text = |bytes| String::from_utf8(bytes).expect("text").trim_end().to_owned();
    if output.status.success() { Ok(text(output.stdout)) } else { Err(text(output.stderr)) }
}

#[test]
fn store_is_shown_checked_exported_and_compacted_unless_a_balancer_writes_it() {
    let temp_folder = tempfile::tempdir().expect("a folder");
    let folder = temp_folder.path();
    let mut store = FileDisk::lock(folder).and_then(Store::open).expect("an unlocked store");
    let body = serde_json::json!({"list": {"rev": 41, "targets": [{}, {}]}});
    for at in [1.0, 2.0] {
        let record = Record { name: "list".into(), at, body: body.clone() };
        assert!(store.put(record).expect("a stored record"));
    }
    let show = run_state_command("show", folder).expect("a valid store");
    assert!(show.contains("2 records") && show.contains("version 41, 2 servers"), "{show}");
    let locked =
        run_state_command("compact", folder).expect_err("an error while a balancer writes to the store");
    assert!(locked.contains("another process writes it"), "{locked}");
    drop(store);
    // An incomplete write.
    let log = folder.join(LOG_FILE);
    let mut bytes = std::fs::read(&log).expect("an existing file");
    bytes.extend([0xf5, 0x1e, 0xff, 0x01, 9]);
    std::fs::write(&log, bytes).expect("a writable file");
    let damaged = run_state_command("check", folder).expect_err("an error for a damaged store");
    assert!(damaged.ends_with("5 damaged"), "{damaged}");
    assert!(run_state_command("compact", folder).expect("an unlocked store").contains("now 1 records"));
    let export = run_state_command("export", folder).expect("a valid store");
    let export: serde_json::Value = serde_json::from_str(&export).expect("JSON");
    assert_eq!(export["list"]["at"], 2.0);
}
