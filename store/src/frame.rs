//! The log's format.
//!
//! It begins with [`MAGIC`] and the version. A record follows as a mark, its length, the checksum (CRC-32, IEEE) of
//! length and body, and the body, a JSON object. After a record that is damaged, reading goes on at the next mark behind
//! which a record is sound.

use crate::Error;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a log begins with; the version follows, as four bytes, lowest first.
pub const MAGIC: &[u8; 8] = b"marllink";
/// The version that is written, and the highest that is read.
pub const VERSION: u32 = 1;
/// What each record begins with: no byte of it stands in JSON text.
const MARK: [u8; 4] = [0xf5, 0x1e, 0xff, 0x01];
/// Mark, length and checksum.
const PREFIX: usize = 12;
/// A record's body is at most so many bytes: four times the list of a thousand form hosts.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Something that is kept: the latest under its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// By which it is found again.
    pub name: String,
    /// When it was known, in Unix milliseconds. Of two under one name the later counts.
    pub at: f64,
    /// What it says.
    pub body: serde_json::Value,
}

/// What a log holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogContents {
    /// The latest under each name.
    pub latest: BTreeMap<String, Record>,
    /// Records that were sound, outdated ones among them.
    pub record_count: usize,
    /// Bytes that belong to no sound record: damaged, or cut off.
    pub damaged_bytes: usize,
    /// Bytes in all.
    pub total_bytes: usize,
}

/// The beginning of a log.
#[must_use]
pub fn header() -> Vec<u8> {
    [MAGIC.as_slice(), &VERSION.to_le_bytes()].concat()
}

/// A record as it is written.
///
/// # Errors
/// Fails if it is longer than [`MAX_BODY_BYTES`].
pub fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    let body = serde_json::to_vec(record).map_err(std::io::Error::other)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(Error::RecordTooLong(body.len()));
    }
    let length = (body.len() as u32).to_le_bytes();
    Ok([&MARK[..], &length, &sum(&length, &body).to_le_bytes(), &body].concat())
}

fn sum(length: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(body);
    hasher.finalize()
}

/// Reads a log, as far as it is sound. An empty one holds nothing.
///
/// # Errors
/// Fails if a newer program has written it, or if it is no log at all.
pub fn decode(bytes: &[u8]) -> Result<LogContents, Error> {
    let mut found = LogContents { total_bytes: bytes.len(), ..LogContents::default() };
    let whole = header();
    if whole.starts_with(bytes) && bytes.len() < whole.len() {
        // Cut off while it was begun.
        found.damaged_bytes = bytes.len();
        return Ok(found);
    }
    let sound = bytes.starts_with(MAGIC);
    if sound {
        let version = u32_at(bytes, MAGIC.len());
        if version > VERSION {
            // A damaged version must not turn a sound store away: a newer program writes its marks as well,
            // but then no record of this version follows.
            if record_at(bytes, whole.len()).is_none() {
                return Err(Error::NewerVersion { found: version, supported: VERSION });
            }
            found.damaged_bytes += 4;
        }
    }
    let mut at = if sound { whole.len() } else { 0 };
    let mut lost = 0;
    while at < bytes.len() {
        if let Some((record, next)) = record_at(bytes, at) {
            found.record_count += 1;
            if found.latest.get(&record.name).is_none_or(|held| held.at <= record.at) {
                found.latest.insert(record.name.clone(), record);
            }
            at = next;
        } else {
            let after = bytes[at + 1..].windows(MARK.len()).position(|window| window == MARK);
            let next = after.map_or(bytes.len(), |n| at + 1 + n);
            lost += next - at;
            at = next;
        }
    }
    if !sound && found.record_count == 0 {
        return Err(Error::NotAStore);
    }
    found.damaged_bytes += lost;
    Ok(found)
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|four| four.try_into().ok()).map_or(0, u32::from_le_bytes)
}

/// The record that begins there, if it is sound, and where it ends.
fn record_at(bytes: &[u8], at: usize) -> Option<(Record, usize)> {
    let prefix = bytes.get(at..at + PREFIX)?;
    if prefix[..4] != MARK {
        return None;
    }
    let length = u32_at(prefix, 4) as usize;
    let end = at + PREFIX + length;
    let body = (length <= MAX_BODY_BYTES).then(|| bytes.get(at + PREFIX..end)).flatten()?;
    (sum(&prefix[4..8], body) == u32_at(prefix, 8)).then_some(())?;
    Some((serde_json::from_slice(body).ok()?, end))
}
