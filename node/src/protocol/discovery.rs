//! Discovery's lists: JSON objects, one for the whole list or for the entries that changed.

use super::line::number_of;
use crate::io::clock::Clock;
use marllink::{CellId, ServerEntry, ServerId, ServerState, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A list, or what has changed in it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct List {
    /// Its version.
    pub rev: u64,
    /// It is the whole list: whoever is missing is gone.
    pub all: bool,
    /// The entries.
    pub targets: Vec<Target>,
}

/// A form host as listed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// The same at every balancer.
    pub uid: String,
    /// Where this balancer reaches it.
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
    /// A state that may come later: nothing new goes to such a host, and what it has stays.
    #[serde(other)]
    Unknown,
}

impl Target {
    /// True if it is no longer there.
    pub fn is_deleted(&self) -> bool {
        self.state == State::Deleted
    }

    /// True if it takes new connections, as far as it is listed.
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// The id by which the decisions know it.
    pub fn server(&self) -> ServerId {
        ServerId(number_of(&self.uid))
    }

    /// The entry as those take it who decide about sessions.
    pub fn listed(&self, zones: &[String]) -> marllink_sessions::Listed {
        marllink_sessions::Listed {
            server: self.server(),
            zone: self.zone(zones),
            ready: self.state == State::Serving,
        }
    }

    fn zone(&self, zones: &[String]) -> ZoneId {
        ZoneId(zones.iter().position(|z| *z == self.az).map_or(u8::MAX, |at| at as u8))
    }

    /// The entry as the decisions take it; a zone that the settings do not name is no one's own.
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
            started_at: clock.at_unix(self.boot_ms),
        }
    }
}

/// Reads a list; `None` if the text is none.
pub fn list(text: &[u8]) -> Option<List> {
    serde_json::from_slice(text).ok()
}

/// Takes the first whole line off `body`, without its end.
pub fn take_line(body: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = body.iter().position(|b| *b == b'\n')?;
    let mut line: Vec<u8> = body.drain(..=end).collect();
    line.truncate(line.trim_ascii_end().len());
    Some(line)
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIST: &str = r#"{"rev":43,"all":false,"new":1,"targets":[
        {"uid":"s-5be2a07c","endpoint":"10.1.0.18:8000","az":"b","model":"m2","pod_group":3,"state":"DRAINING","capacity_hint":1.5,"boot_ms":0},
        {"uid":"s-0","endpoint":"10.1.0.19:8000","az":"z","state":"SERVING","boot_ms":999999000.0},
        {"uid":"s-1","endpoint":"10.1.0.20:8000","state":"ASLEEP"}]}"#;

    #[test]
    fn a_list_is_read_into_entries() {
        let list = list(LIST.as_bytes()).expect("it is well formed");
        let zones = ["a".to_owned(), "b".to_owned()];
        let entries: Vec<_> = list.targets.iter().map(|t| t.entry(&Clock::settable(), &zones)).collect();
        insta::assert_debug_snapshot!((list.rev, list.all, entries));
    }

    #[test]
    fn what_is_split_or_garbage_is_no_list() {
        for end in 0..LIST.len() {
            assert_eq!(list(&LIST.as_bytes()[..end]), None);
        }
        for bad in [
            "",
            "[]",
            r#"{"rev":-1,"all":true,"targets":[]}"#,
            r#"{"rev":1,"all":true,"targets":[{"uid":"x"}]}"#,
        ] {
            assert_eq!(list(bad.as_bytes()), None, "{bad}");
        }
    }

    #[test]
    fn lines_are_taken_one_after_another_and_half_a_line_waits() {
        let mut body = b"one\r\n\ntw".to_vec();
        assert_eq!(take_line(&mut body).as_deref(), Some(&b"one"[..]));
        assert_eq!(take_line(&mut body).as_deref(), Some(&b""[..]));
        assert_eq!(take_line(&mut body), None);
        assert_eq!(body, b"tw");
    }
}
