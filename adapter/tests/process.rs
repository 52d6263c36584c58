//! The adapter as a process: what it answers, and how it ends on broken input.
#![allow(missing_docs, reason = "tests are named for what they show")]

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
        .expect("the adapter starts");
    // It may end before it has read all, which is what some tests are about.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
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

/// It says what and where on standard error, ends with a failure, and has written whole replies only.
fn assert_refused(input: &[u8], says: &str, replies: &[u8]) {
    let out = run(input);
    let message = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success(), "must fail: {says}");
    assert!(message.contains(says) && !message.contains("panicked"), "{message:?} does not say {says:?}");
    assert_eq!(out.stdout, replies, "{says}");
}

const EMPTY_REPLY: [u8; 8] = [4, 0, 0, 0, 0, 0, 0, 0];

#[test]
fn no_input_is_a_clean_end() {
    let out = run(b"");
    assert!(out.status.success());
    assert!(out.stdout.is_empty() && out.stderr.is_empty());
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let out = run(&frame(&[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, EMPTY_REPLY);
}

#[test]
fn a_request_is_sent_to_the_listed_server() {
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
fn a_truncated_frame_is_refused_with_its_place() {
    let whole = frame(&request(1));
    assert_refused(&whole[..2], "byte 2 of the frame", &[]);
    assert_refused(&whole[..20], "byte 20 of the frame: input ends", &[]);
    let second = [frame(&[]), whole[..20].to_vec()].concat();
    assert_refused(&second, "frame at input byte 12, byte 20", &EMPTY_REPLY);
}

#[test]
fn an_impossible_length_is_refused() {
    assert_refused(&[0xff; 16], "no length for a frame", &[]);
    assert_refused(&[3, 0, 0, 0, 1, 2, 3], "3 is no length for a frame", &[]);
}

#[test]
fn a_record_that_its_frame_cuts_short_is_refused() {
    assert_refused(&frame(&request(1)[..9]), "a tenant takes 2 bytes, 0 are left", &[]);
    let mut list = cached_list();
    list[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_refused(&frame(&[attach(SETTINGS), list].concat()), "longer than its frame", &[]);
}

#[test]
fn an_unknown_event_code_is_refused() {
    assert_refused(&frame(&[99, 3, 0]), "byte 12 of the frame: 99 is no event code", &[]);
}

#[test]
fn an_event_for_an_instance_not_attached_is_refused() {
    assert_refused(&frame(&request(1)), "byte 12 of the frame: instance 3 is not attached", &[]);
    let detached = [attach(SETTINGS), vec![21, 3, 0], request(1)].concat();
    assert_refused(&frame(&detached), "instance 3 is not attached", &[]);
}

#[test]
fn settings_that_cannot_be_read_are_refused() {
    assert_refused(&frame(&attach("{not json")), "settings of instance 3", &[]);
    let missing = SETTINGS.replace("\"coldFrom\": 0.1,", "");
    assert_refused(&frame(&attach(&missing)), "missing field `coldFrom`", &[]);
}
