//! Tests of the adapter process: its replies, and its exit on malformed input.
#![allow(missing_docs, reason = "test names are the documentation")]

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"index": 0, "balancers": 1, "zone": 0, "discovery": "pushed", "news": {"to": "skip"},
    "classes": [{"name": "chat", "goalTimeMs": 300.0, "deadlineMs": 1000.0, "semantics": "repeatable", "importance": 1.0}],
    "bounds": {"connectTimeoutMs": 250.0, "maxAttempts": 4},
    "invariants": {"askWithinMs": 10000.0, "coldFrom": 0.1, "warmAfterMs": 20000.0, "tipMultiple": 3.0,
        "overloadForMs": 3000.0}}"#;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_marllink-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter must start");
    // The write may fail: on malformed input the adapter exits before it has read everything.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter must exit")
}

fn frame(records: &[u8]) -> Vec<u8> {
    let mut frame = (records.len() as u32 + 8).to_le_bytes().to_vec();
    frame.extend(1000.0f64.to_le_bytes());
    frame.extend(records);
    frame
}

fn attach(settings: &str) -> Vec<u8> {
    let mut record = vec![27, 3, 0];
    record.extend(42u64.to_le_bytes());
    record.extend((settings.len() as u32).to_le_bytes());
    record.extend(settings.as_bytes());
    record
}

fn cached_list() -> Vec<u8> {
    let mut record = vec![17, 3, 0];
    record.extend(1u64.to_le_bytes());
    record.push(2);
    record.extend(1u32.to_le_bytes());
    record.extend([10, 18, 74, 7, 0x93, 0x1f, 0, 0, 0, 0, 1]);
    record.extend(1.0f32.to_le_bytes());
    record.extend(0.0f64.to_le_bytes());
    record
}

fn request(id: u32) -> Vec<u8> {
    let mut record = vec![24, 3, 0];
    record.extend(id.to_le_bytes());
    record.extend([0; 12]);
    record.extend(900.0f64.to_le_bytes());
    record.extend([0; 17]);
    record
}

/// Asserts that the adapter exits with a failure, reports `message` on standard error, and has written only
/// complete replies.
fn assert_rejected(input: &[u8], message: &str, replies: &[u8]) {
    let out = run(input);
    let stderr = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success(), "must fail: {message}");
    assert!(
        stderr.contains(message) && !stderr.contains("panicked"),
        "{stderr:?} does not contain {message:?}"
    );
    assert_eq!(out.stdout, replies, "{message}");
}

const EMPTY_REPLY: [u8; 8] = [4, 0, 0, 0, 0, 0, 0, 0];

#[test]
fn empty_input_exits_successfully() {
    let out = run(b"");
    assert!(out.status.success());
    assert!(out.stdout.is_empty() && out.stderr.is_empty());
}

#[test]
fn empty_batch_gets_empty_reply() {
    let out = run(&frame(&[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, EMPTY_REPLY);
}

#[test]
fn request_is_sent_to_listed_server() {
    let out = run(&frame(&[attach(SETTINGS), cached_list(), request(0x5d3a91c4)].concat()));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let mut send = vec![25, 3, 0, 0xc4, 0x91, 0x3a, 0x5d];
    send.extend(450.0f64.to_le_bytes());
    send.extend([10, 18, 74, 7, 0x93, 0x1f]);
    assert!(out.stdout.ends_with(&send), "{:02x?}", out.stdout);
    let length = u32::from_le_bytes(out.stdout[..4].try_into().expect("four bytes"));
    assert_eq!(length as usize + 4, out.stdout.len());
}

#[test]
fn truncated_frame_is_rejected_with_its_offset() {
    let whole = frame(&request(1));
    assert_rejected(&whole[..2], "byte 2 of the frame", &[]);
    assert_rejected(&whole[..20], "byte 20 of the frame: input ends", &[]);
    let second = [frame(&[]), whole[..20].to_vec()].concat();
    assert_rejected(&second, "frame at input byte 12, byte 20", &EMPTY_REPLY);
}

#[test]
fn invalid_frame_length_is_rejected() {
    assert_rejected(&[0xff; 16], "byte 0 of the frame: invalid frame length 4294967295", &[]);
    assert_rejected(&[3, 0, 0, 0, 1, 2, 3], "invalid frame length 3", &[]);
}

#[test]
fn record_truncated_by_its_frame_is_rejected() {
    assert_rejected(&frame(&request(1)[..9]), "a tenant needs 2 bytes, but only 0 remain", &[]);
    let mut list = cached_list();
    list[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_rejected(&frame(&[attach(SETTINGS), list].concat()), "entries does not fit in the frame", &[]);
}

#[test]
fn unknown_event_code_is_rejected() {
    assert_rejected(&frame(&[99, 3, 0]), "byte 12 of the frame: unknown event code 99", &[]);
}

#[test]
fn event_for_detached_instance_is_rejected() {
    assert_rejected(&frame(&request(1)), "byte 12 of the frame: instance 3 is not attached", &[]);
    let detached = [attach(SETTINGS), vec![21, 3, 0], request(1)].concat();
    assert_rejected(&frame(&detached), "instance 3 is not attached", &[]);
}

#[test]
fn invalid_settings_are_rejected() {
    assert_rejected(&frame(&attach("{not json")), "settings of instance 3", &[]);
    let missing = SETTINGS.replace("\"coldFrom\": 0.1,", "");
    assert_rejected(&frame(&attach(&missing)), "missing field `coldFrom`", &[]);
}
