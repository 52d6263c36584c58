//! Discovery lists: JSON objects that contain the whole list or the changed entries.

use super::line::hash_server_name;
use crate::io::clock::Clock;
use marllink::{CellId, ServerEntry, ServerId, ServerState, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A list, or the changes to it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct List {
    /// The version of the list.
    pub rev: u64,
    /// The list is complete: servers that are missing are gone.
    pub all: bool,
    /// The entries.
    pub targets: Vec<Target>,
}

/// A listed server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// The server's name, the same at every balancer.
    pub uid: String,
    /// The address at which this balancer reaches the server.
    pub endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    pod_group: u16,
    state: State,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
enum State {
    #[serde(rename = "SERVING")]
    Serving,
    #[serde(rename = "DRAINING")]
    Draining,
    #[serde(rename = "DELETED")]
    Deleted,
    /// A state that is unknown to this version: the server receives nothing new and keeps its connections.
    #[serde(other)]
    Unknown,
}

impl Target {
    /// Returns true if the server was removed.
    pub fn is_deleted(&self) -> bool {
        self.state == State::Deleted
    }

    /// Returns true if the server is listed as accepting new connections.
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// Returns the id used by the decision logic.
    pub fn server(&self) -> ServerId {
        ServerId(hash_server_name(&self.uid))
    }

    /// Returns the entry in the form used by the session component.
    pub fn session_entry(&self, zones: &[String]) -> marllink_sessions::ListedServer {
        marllink_sessions::ListedServer {
            server: self.server(),
            zone: self.zone(zones),
            ready: self.state == State::Serving,
        }
    }

    fn zone(&self, zones: &[String]) -> ZoneId {
        ZoneId(zones.iter().position(|z| *z == self.az).map_or(u8::MAX, |at| at as u8))
    }

    /// Returns the entry in the form used by the decision logic. A zone that is not in the settings is
    /// treated as foreign to every balancer.
    pub fn entry(&self, clock: &Clock, zones: &[String]) -> ServerEntry {
        ServerEntry {
            server: self.server(),
            zone: self.zone(zones),
            cell: CellId(self.pod_group),
            state: match self.state {
                State::Serving => ServerState::Ready,
                State::Draining | State::Unknown => ServerState::Draining,
                State::Deleted => ServerState::Gone,
            },
            weight: self.capacity_hint,
            started_at: clock.unix_to_clock(self.boot_ms),
        }
    }
}

/// Parses a list. Returns `None` if the text is not a valid list.
pub fn parse_list(text: &[u8]) -> Option<List> {
    serde_json::from_slice(text).ok()
}

/// An item of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchItem {
    /// The changes, or the whole list.
    List(List),
    /// An empty line: nothing has changed.
    Heartbeat,
}

/// Removes and returns the first complete item of a watch's text. Returns `None` if no item is complete yet,
/// and `Some(None)` if the text is malformed. A list may be indented and span several lines: it is complete
/// at its last brace. The first `scanned` bytes were searched by earlier calls without a result.
pub fn take_watch_item(text: &mut Vec<u8>, scanned: usize) -> Option<Option<WatchItem>> {
    let start = text.iter().position(|b| !b.is_ascii_whitespace()).unwrap_or(text.len());
    if text[..start].contains(&b'\n') {
        text.drain(..start);
        return Some(Some(WatchItem::Heartbeat));
    }
    // A list that arrives in many pieces would be parsed again with each piece. It can only be complete at a
    // brace, and malformed text is only reported at the end of a line.
    if !text[scanned.min(text.len())..].iter().any(|b| matches!(b, b'}' | b'\n')) {
        return None;
    }
    let mut lists = serde_json::Deserializer::from_slice(&text[start..]).into_iter();
    match lists.next()? {
        Ok(list) => {
            let end = start + lists.byte_offset();
            text.drain(..end);
            Some(Some(WatchItem::List(list)))
        }
        Err(error) if error.is_eof() => None,
        Err(_) => Some(None),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIST: &str = r#"{"rev":43,"all":false,"new":1,"targets":[
        {"uid":"s-5be2a07c","endpoint":"10.1.0.18:8000","az":"b","model":"m2","pod_group":3,"state":"DRAINING","capacity_hint":1.5,"boot_ms":0},
        {"uid":"s-0","endpoint":"10.1.0.19:8000","az":"z","state":"SERVING","boot_ms":999999000.0},
        {"uid":"s-1","endpoint":"10.1.0.20:8000","state":"ASLEEP"}]}"#;

    #[test]
    fn a_list_is_parsed_into_entries() {
        let list = parse_list(LIST.as_bytes()).expect("the list is well formed");
        let zones = ["a".to_owned(), "b".to_owned()];
        let entries: Vec<_> = list.targets.iter().map(|t| t.entry(&Clock::manual(), &zones)).collect();
        insta::assert_debug_snapshot!((list.rev, list.all, entries));
    }

    #[test]
    fn partial_or_malformed_lists_are_rejected() {
        for end in 0..LIST.len() {
            assert_eq!(parse_list(&LIST.as_bytes()[..end]), None);
        }
        for bad in [
            "",
            "[]",
            r#"{"rev":-1,"all":true,"targets":[]}"#,
            r#"{"rev":1,"all":true,"targets":[{"uid":"x"}]}"#,
        ] {
            assert_eq!(parse_list(bad.as_bytes()), None, "{bad}");
        }
    }

    /// Returns all complete items of a text that arrives in pieces of `size` bytes, and the remaining bytes.
    fn take_all(text: &str, size: usize) -> (Vec<WatchItem>, Vec<u8>) {
        let (mut items, mut body, mut scanned) = (Vec::new(), Vec::new(), 0);
        for piece in text.as_bytes().chunks(size) {
            body.extend_from_slice(piece);
            while let Some(item) = take_watch_item(&mut body, scanned) {
                items.push(item.expect("the list is well formed"));
                scanned = 0;
            }
            scanned = body.len();
        }
        (items, body)
    }

    #[test]
    fn watch_items_are_taken_whole_from_pieces_of_any_size_and_a_partial_one_waits() {
        let compact = LIST.replace(['\n', ' '], "");
        let value: serde_json::Value = serde_json::from_str(LIST).expect("the list is well formed");
        let indented = serde_json::to_string_pretty(&value).expect("the value can be serialized");
        let expected = || WatchItem::List(parse_list(LIST.as_bytes()).expect("the list is well formed"));
        for text in [compact.as_str(), LIST, &indented] {
            for size in [1, 2, 7, 64, 10_000] {
                let (items, rest) = take_all(&format!("\r\n{text}\r\n\r\n{text}\n{}", &text[..40]), size);
                let lists = items.iter().filter(|item| **item == expected()).count();
                assert_eq!(lists, 2, "{size}: {items:?}");
                assert!(items[0] == WatchItem::Heartbeat && items.contains(&WatchItem::Heartbeat), "{size}");
                assert_eq!(rest, text.as_bytes()[..40], "{size}");
            }
        }
    }

    #[test]
    fn malformed_text_is_reported_at_the_end_of_its_line() {
        for bad in ["no list\n", "{\"rev\":1,\n{\"rev\":2", "{\"rev\":1,\"all\":tr\n", "[]\n", "{}\n"] {
            assert_eq!(take_watch_item(&mut bad.as_bytes().to_vec(), 0), Some(None), "{bad}");
        }
        for part in ["", "   ", "{\"rev\":1,\n", "{\"rev\":1,\"all\":false,\"targets\":[{}"] {
            // An incomplete text may turn out to be malformed, but must never yield an item.
            let item = take_watch_item(&mut part.as_bytes().to_vec(), 0);
            assert!(matches!(item, None | Some(None)), "{part}");
        }
    }
}
