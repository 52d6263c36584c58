//! Messages between a process and its successor: JSON, one value per line.

use super::discovery::List;
use marllink::{Holding, LearnedState, ServerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of these formats. A successor that reads another version starts without a handover.
pub const VERSION: u32 = 3;
/// Maximum length of a line, well above that of any snapshot. A longer line is rejected.
pub const MAX_LINE_BYTES: usize = 16 * 1024 * 1024;

/// The successor's first message.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The successor's [`VERSION`].
    pub version: u32,
}

/// The state that a successor needs to continue.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The predecessor's [`VERSION`].
    pub version: u32,
    /// The text of the active configuration.
    pub config: String,
    /// The address of the discovery service in use.
    pub discovery: SocketAddr,
    /// The current list.
    pub list: List,
    /// Every server that was ever listed.
    pub addresses: Vec<(ServerId, SocketAddr)>,
    /// The state of the decision logic. The rest of the snapshot is valid even if this can't be decoded.
    #[serde(deserialize_with = "knowledge_or_none")]
    pub knowledge: Option<LearnedState>,
    /// The resources that the predecessor retains.
    #[serde(rename = "holds")]
    pub retained: Retained,
}

/// Decodes the state of the decision logic, or returns `None` if that fails, for example because a number is
/// not finite. The handover then continues without it: a single accept queue and surviving connections matter
/// more.
fn knowledge_or_none<'a, D: serde::Deserializer<'a>>(from: D) -> Result<Option<LearnedState>, D::Error> {
    let read = serde_json::from_value(serde_json::Value::deserialize(from)?);
    Ok(read
        .inspect_err(|e| {
            tracing::warn!("cannot decode what the predecessor has learned: {e}; continuing without it")
        })
        .ok())
}

/// The resources that a process retains after a handover.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Retained {
    /// Maximum number of descriptors from now on.
    pub descriptors: usize,
    /// The ids of unfinished requests, as chosen by the clients.
    pub ids: Vec<u64>,
    /// Attempts and connections by server.
    pub holdings: Vec<Holding>,
}

/// Messages on the link after the snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The successor accepts clients.
    #[serde(rename = "Taking")]
    AcceptingClients,
    /// The resources that the predecessor retains now.
    #[serde(rename = "Holds")]
    Retained(Retained),
    /// The predecessor passes on this connection, together with the sockets to the client and the server.
    Connection(Connection),
    /// Operators have put a server into maintenance or back into service.
    Maintenance {
        /// The server.
        server: ServerId,
        /// True if the maintenance begins, false if it ends.
        begins: bool,
    },
}

/// An established connection with no data in transit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Connection {
    /// The connection's id, as chosen by the client.
    pub id: u64,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: Option<String>,
    /// The client's group; 0 if none.
    pub group: u64,
    /// The server of the connection.
    pub server: ServerId,
    /// Its load, as last reported.
    pub load: f64,
    /// Its session, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<marllink_sessions::SessionHandover>,
}

/// Encodes a value as a line, including the line end.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    // Serialization can't fail for the types in this module.
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Decodes a line. Returns `None` if it does not follow this version's format.
pub fn decode<T: for<'a> Deserialize<'a>>(line: &[u8]) -> Option<T> {
    serde_json::from_slice(line).ok()
}

/// Decodes a snapshot.
///
/// # Errors
/// Describes the mismatch: another version, or the position of a syntax error.
pub fn decode_snapshot(line: &[u8]) -> Result<Snapshot, String> {
    let Hello { version } = serde_json::from_slice(line).map_err(|e| format!("not a snapshot: {e}"))?;
    if version != VERSION {
        return Err(format!("snapshot version {version} instead of {VERSION}"));
    }
    serde_json::from_slice(line).map_err(|e| format!("malformed snapshot: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_snapshot_survives_a_round_trip_and_malformed_ones_are_rejected() {
        let mut knowledge =
            LearnedState { in_maintenance: vec![ServerId(u64::MAX)], ..LearnedState::default() };
        knowledge.servers.push((ServerId(1), marllink::ServerHistory::default()));
        let list = List { rev: 4, all: true, targets: Vec::new() };
        let address = SocketAddr::from(([127, 0, 0, 1], 8000));
        let mut sent = Snapshot {
            version: VERSION,
            config: "{\n}".into(),
            discovery: address,
            list,
            addresses: vec![(ServerId(1), address)],
            knowledge: Some(knowledge),
            retained: Retained { descriptors: 3, ids: vec![u64::MAX], holdings: Vec::new() },
        };
        let line = encode(&sent);
        assert_eq!(line.iter().filter(|b| **b == b'\n').count(), 1);
        assert_eq!(decode_snapshot(&line).as_ref(), Ok(&sent));
        for end in 0..line.len() - 1 {
            assert!(decode_snapshot(&line[..end]).is_err());
        }
        // A number that is not finite only costs the decision logic's state.
        let servers = &mut sent.knowledge.as_mut().expect("the knowledge is present").servers;
        servers[0].1.last_failure_at = f64::INFINITY;
        let rest = decode_snapshot(&encode(&sent)).expect("the rest is valid");
        assert_eq!(rest.knowledge, None);
        assert_eq!((rest.addresses, rest.retained), (sent.addresses.clone(), sent.retained.clone()));
        sent.version += 1;
        let other = decode_snapshot(&encode(&sent));
        assert_eq!(other, Err(format!("snapshot version {} instead of {VERSION}", VERSION + 1)));
        assert_eq!(decode(&encode(&Message::AcceptingClients)), Some(Message::AcceptingClients));
    }
}
