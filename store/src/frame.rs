//! Format of the log.
//!
//! The log begins with [`MAGIC`] and the format version. Each record consists of a marker, the length of the body, a
//! checksum (CRC-32, IEEE) of length and body, and the body, a JSON object. After a damaged record, the reader resumes
//! at the next marker that begins an intact record.

use crate::Error;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first bytes of a log. The version follows as four bytes in little-endian order.
pub const MAGIC: &[u8; 8] = b"marllink";
/// The format version that is written, and the highest version that can be read.
pub const VERSION: u32 = 1;
/// The first bytes of every record. None of these bytes occurs in JSON text.
const RECORD_MARKER: [u8; 4] = [0xf5, 0x1e, 0xff, 0x01];
/// Length of what precedes a record's body: marker, body length and checksum.
const RECORD_PREFIX_BYTES: usize = 12;
/// Maximum length of a record's body: four times the size of a list of a thousand servers.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A stored value. Only the latest record under each name is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Key of the record.
    pub name: String,
    /// Time at which the value was observed, in Unix milliseconds. Of two records with one name, the later is in force.
    pub at: f64,
    /// The value.
    pub body: serde_json::Value,
}

/// Contents of a log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogContents {
    /// The latest record under each name.
    pub latest: BTreeMap<String, Record>,
    /// Number of intact records, including superseded ones.
    pub record_count: usize,
    /// Number of bytes that belong to no intact record, because of damage or an interrupted write.
    pub damaged_bytes: usize,
    /// Length of the log.
    pub total_bytes: usize,
}

/// Returns the header of a log.
#[must_use]
pub fn header() -> Vec<u8> {
    [MAGIC.as_slice(), &VERSION.to_le_bytes()].concat()
}

/// Encodes a record.
///
/// # Errors
/// Fails if the body is longer than [`MAX_BODY_BYTES`].
pub fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    let body = serde_json::to_vec(record).map_err(std::io::Error::other)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(Error::RecordTooLong(body.len()));
    }
    let length = (body.len() as u32).to_le_bytes();
    Ok([&RECORD_MARKER[..], &length, &checksum(&length, &body).to_le_bytes(), &body].concat())
}

fn checksum(length: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(body);
    hasher.finalize()
}

/// Decodes a log and skips damaged regions. An empty log contains no records.
///
/// # Errors
/// Fails if a newer program wrote the log, or if the bytes are not a log.
pub fn decode(bytes: &[u8]) -> Result<LogContents, Error> {
    let mut contents = LogContents { total_bytes: bytes.len(), ..LogContents::default() };
    let header = header();
    if header.starts_with(bytes) && bytes.len() < header.len() {
        // The first write was interrupted within the header.
        contents.damaged_bytes = bytes.len();
        return Ok(contents);
    }
    let has_magic = bytes.starts_with(MAGIC);
    if has_magic {
        let version = u32_at(bytes, MAGIC.len());
        if version > VERSION {
            // Distinguishes a damaged version field from a newer format: a newer program writes the same marker, but
            // no record of this version follows it.
            if record_at(bytes, header.len()).is_none() {
                return Err(Error::NewerVersion { found: version, supported: VERSION });
            }
            contents.damaged_bytes += 4;
        }
    }
    let mut offset = if has_magic { header.len() } else { 0 };
    let mut skipped_bytes = 0;
    while offset < bytes.len() {
        if let Some((record, next)) = record_at(bytes, offset) {
            contents.record_count += 1;
            if contents.latest.get(&record.name).is_none_or(|current| current.at <= record.at) {
                contents.latest.insert(record.name.clone(), record);
            }
            offset = next;
        } else {
            let next_marker =
                bytes[offset + 1..].windows(RECORD_MARKER.len()).position(|window| window == RECORD_MARKER);
            let next = next_marker.map_or(bytes.len(), |n| offset + 1 + n);
            skipped_bytes += next - offset;
            offset = next;
        }
    }
    if !has_magic && contents.record_count == 0 {
        return Err(Error::NotAStore);
    }
    contents.damaged_bytes += skipped_bytes;
    Ok(contents)
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    bytes.get(offset..offset + 4).and_then(|four| four.try_into().ok()).map_or(0, u32::from_le_bytes)
}

/// Decodes the record that begins at `offset`, if it is intact. Returns it with the offset of its end.
fn record_at(bytes: &[u8], offset: usize) -> Option<(Record, usize)> {
    let prefix = bytes.get(offset..offset + RECORD_PREFIX_BYTES)?;
    if prefix[..4] != RECORD_MARKER {
        return None;
    }
    let length = u32_at(prefix, 4) as usize;
    let end = offset + RECORD_PREFIX_BYTES + length;
    let body = (length <= MAX_BODY_BYTES).then(|| bytes.get(offset + RECORD_PREFIX_BYTES..end)).flatten()?;
    (checksum(&prefix[4..8], body) == u32_at(prefix, 8)).then_some(())?;
    Some((serde_json::from_slice(body).ok()?, end))
}
