//! What a process and its successor tell each other: JSON, one value a line.

use super::discovery::List;
use marllink::{Holding, LearnedState, ServerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of all that is written here. A successor that reads another starts plainly.
pub const VERSION: u32 = 3;
/// No snapshot comes near this; a longer line is refused.
pub const LONGEST: usize = 16 * 1024 * 1024;

/// What a successor begins with.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Its [`VERSION`].
    pub version: u32,
}

/// All that a successor needs to go on.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The predecessor's [`VERSION`].
    pub version: u32,
    /// The text of the configuration in force.
    pub config: String,
    /// Discovery as it is asked now.
    pub discovery: SocketAddr,
    /// The list in hand.
    pub list: List,
    /// Every form host that was ever listed.
    pub addresses: Vec<(ServerId, SocketAddr)>,
    /// What the decisions know. Where that can't be read the rest still holds.
    #[serde(deserialize_with = "knowledge_or_nothing")]
    pub knowledge: Option<LearnedState>,
    /// What the predecessor holds.
    pub holds: Holds,
}

/// What is known is worth less than that clients find one queue and connections go on: a figure that can't
/// be read, as one that is not finite, costs what is known, and not the hand-over.
fn knowledge_or_nothing<'a, D: serde::Deserializer<'a>>(from: D) -> Result<Option<LearnedState>, D::Error> {
    let read = serde_json::from_value(serde_json::Value::deserialize(from)?);
    Ok(read.inspect_err(|e| tracing::warn!("what the process before knows can't be read: {e}")).ok())
}

/// What a process that has handed over still holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Holds {
    /// Descriptors at most, from now on.
    pub descriptors: usize,
    /// The ids of requests that are not over, as clients gave them.
    pub ids: Vec<u64>,
    /// Attempts and connections.
    pub holdings: Vec<Holding>,
}

/// What goes over the link once the snapshot has been read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// The successor takes clients.
    Taking,
    /// What the predecessor holds now.
    Holds(Holds),
    /// The predecessor passes this connection on, with the client's socket and the form host's.
    Connection(Connection),
    /// Operators have taken a form host out, or put it back.
    Maintenance {
        /// Which.
        server: ServerId,
        /// Out if true.
        begins: bool,
    },
}

/// A connection that stands and of which nothing is under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Connection {
    /// Its id, as the client gave it.
    pub id: u64,
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name, and its group.
    pub tenant: Option<String>,
    /// 0 if none.
    pub group: u64,
    /// The form host that holds it.
    pub server: ServerId,
    /// Its load, as last told.
    pub load: f64,
    /// Its session, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<marllink_sessions::Passed>,
}

/// A value as it is written, its line end included.
pub fn written(value: &impl Serialize) -> Vec<u8> {
    // None of the types here can fail to be written.
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Reads a line; `None` if it is not of this version's syntax.
pub fn read<T: for<'a> Deserialize<'a>>(line: &[u8]) -> Option<T> {
    serde_json::from_slice(line).ok()
}

/// Reads a snapshot.
///
/// # Errors
/// Tells what it is instead: of another version, or where it is not of this one's syntax.
pub fn snapshot(line: &[u8]) -> Result<Snapshot, String> {
    let Hello { version } = serde_json::from_slice(line).map_err(|e| format!("no snapshot: {e}"))?;
    if version != VERSION {
        return Err(format!("a snapshot of version {version}, not {VERSION}"));
    }
    serde_json::from_slice(line).map_err(|e| format!("a snapshot that can't be read: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read_again_and_nothing_else_is_a_snapshot() {
        let mut knowledge =
            LearnedState { in_maintenance: vec![ServerId(u64::MAX)], ..LearnedState::default() };
        knowledge.servers.push((ServerId(1), marllink::ServerHistory::default()));
        let list = List { rev: 4, all: true, targets: Vec::new() };
        let address = SocketAddr::from(([127, 0, 0, 1], 8000));
        let mut told = Snapshot {
            version: VERSION,
            config: "{\n}".into(),
            discovery: address,
            list,
            addresses: vec![(ServerId(1), address)],
            knowledge: Some(knowledge),
            holds: Holds { descriptors: 3, ids: vec![u64::MAX], holdings: Vec::new() },
        };
        let line = written(&told);
        assert_eq!(line.iter().filter(|b| **b == b'\n').count(), 1);
        assert_eq!(snapshot(&line).as_ref(), Ok(&told));
        for end in 0..line.len() - 1 {
            assert!(snapshot(&line[..end]).is_err());
        }
        // A figure that is not finite costs what is known and nothing else.
        let servers = &mut told.knowledge.as_mut().expect("it is known").servers;
        servers[0].1.last_failure_at = f64::INFINITY;
        let rest = snapshot(&written(&told)).expect("the rest is sound");
        assert_eq!(rest.knowledge, None);
        assert_eq!((rest.addresses, rest.holds), (told.addresses.clone(), told.holds.clone()));
        told.version += 1;
        let other = snapshot(&written(&told));
        assert_eq!(other, Err(format!("a snapshot of version {}, not {VERSION}", VERSION + 1)));
        assert_eq!(read(&written(&Word::Taking)), Some(Word::Taking));
    }
}
