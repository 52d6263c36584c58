//! Framing, and the two lines at the beginning of a link.

use prost::Message;

/// Maximum length of a frame: at least twice the largest journal that the settings allow.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Version of the protocol on a link.
const VERSION: &str = "1";

/// Returns the line with which a balancer process opens a link. `owner` identifies the process.
#[must_use]
pub fn hello_line(owner: u64) -> String {
    format!("KEEP {VERSION} {owner:016x}\r\n")
}

/// Parses a [`hello_line`] and returns its owner, or `None` if the line is malformed or of another version.
#[must_use]
pub fn parse_hello(line: &str) -> Option<u64> {
    parse_number(line.strip_suffix("\r\n")?, "KEEP", Some(VERSION))
}

/// Returns the line with which a server accepts a link. The incarnation changes with every restart of the server, which
/// loses the records that it stored.
#[must_use]
pub fn welcome_line(incarnation: u64) -> String {
    format!("KEEPER {incarnation:016x}\r\n")
}

/// Parses a [`welcome_line`] and returns its incarnation, or `None` if the line is malformed.
#[must_use]
pub fn parse_welcome(line: &str) -> Option<u64> {
    parse_number(line.strip_suffix("\r\n")?, "KEEPER", None)
}

fn parse_number(line: &str, keyword: &str, version: Option<&str>) -> Option<u64> {
    let mut words = line.split(' ');
    let matches = words.next() == Some(keyword) && version.is_none_or(|v| words.next() == Some(v));
    let digits = words.next().filter(|w| w.len() == 16 && w.bytes().all(|b| b.is_ascii_hexdigit()))?;
    (matches && words.next().is_none()).then(|| u64::from_str_radix(digits, 16).ok())?
}

/// Appends a message to `buffer` as a frame.
pub fn write_frame(message: &impl Message, buffer: &mut Vec<u8>) {
    // Encoding fails only if the buffer is too small, and a vector grows.
    let _ = message.encode_length_delimited(buffer);
}

/// Error for received bytes that are not a frame of this version. The link can't be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedFrame;

impl std::fmt::Display for MalformedFrame {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "malformed frame, or longer than {MAX_FRAME_BYTES} bytes")
    }
}

impl std::error::Error for MalformedFrame {}

/// Extracts frames from received bytes, which may arrive in chunks of any size.
#[derive(Debug, Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
    /// Offset of the first unread byte.
    offset: usize,
}

impl FrameReader {
    /// Returns the buffer to which received bytes are to be appended.
    pub fn read_buffer(&mut self) -> &mut Vec<u8> {
        // Discards read bytes only when they fill half the buffer, so that small frames do not each cause a move.
        if self.offset > 0 && self.offset >= self.bytes.len() / 2 {
            self.bytes.drain(..self.offset);
            self.offset = 0;
        }
        &mut self.bytes
    }

    /// Reads the next line with its terminator, or returns `None` if it is incomplete.
    pub fn next_line(&mut self) -> Option<String> {
        let unread = &self.bytes[self.offset..];
        let end = unread.iter().position(|b| *b == b'\n')? + 1;
        let line = String::from_utf8_lossy(&unread[..end]).into_owned();
        self.offset += end;
        Some(line)
    }

    /// Returns true if the unread bytes exceed the length of the first line of a link.
    #[must_use]
    pub fn line_too_long(&self) -> bool {
        self.bytes.len() - self.offset > 64
    }

    /// Reads the next frame, or returns `None` if it is incomplete.
    ///
    /// # Errors
    /// Fails if the bytes are not a frame.
    pub fn next_frame<T: Message + Default>(&mut self) -> Result<Option<T>, MalformedFrame> {
        let unread = &self.bytes[self.offset..];
        // A length has at most ten bytes, so fewer bytes without an end may be incomplete.
        let length = match prost::decode_length_delimiter(unread) {
            Ok(length) if length <= MAX_FRAME_BYTES => length,
            Err(_) if unread.len() < 10 && unread.iter().all(|b| *b >= 0x80) => return Ok(None),
            _ => return Err(MalformedFrame),
        };
        let start = prost::length_delimiter_len(length);
        let Some(body) = unread.get(start..start + length) else { return Ok(None) };
        let message = T::decode(body).map_err(|_| MalformedFrame)?;
        self.offset += start + length;
        Ok(Some(message))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::messages::*;
    use proptest::prelude::*;

    fn append_call(n: u64, value: Vec<u8>) -> Call {
        let session = SessionId { hi: 7, lo: n };
        let ballot = Ballot { epoch: n, attempt: 3 };
        Call::new(call::Body::Append(Append { session, ballot, field: Field { name: "f".into(), n, value } }))
    }

    #[test]
    fn opening_lines_round_trip_and_malformed_ones_are_refused() {
        assert_eq!(parse_hello(&hello_line(0xab)), Some(0xab));
        assert_eq!(parse_welcome(&welcome_line(u64::MAX)), Some(u64::MAX));
        let line = hello_line(5);
        for end in 0..line.len() {
            assert_eq!(parse_hello(&line[..end]), None);
        }
        for malformed in
            ["KEEP 2 00000000000000ab\r\n", "KEEP 1 ab\r\n", "KEEP 1 00000000000000ab x\r\n", "OPEN\r\n"]
        {
            assert_eq!(parse_hello(malformed), None, "{malformed}");
        }
        assert_eq!(parse_welcome("ERR\r\n"), None);
    }

    #[test]
    fn malformed_and_oversized_frames_are_refused() {
        let mut reader = FrameReader::default();
        reader.read_buffer().extend([0xff; 12]);
        assert_eq!(reader.next_frame::<Call>(), Err(MalformedFrame));
        let mut reader = FrameReader::default();
        prost::encode_length_delimiter(MAX_FRAME_BYTES + 1, reader.read_buffer()).expect("a vector grows");
        assert_eq!(reader.next_frame::<Call>(), Err(MalformedFrame));
        let mut reader = FrameReader::default();
        reader.read_buffer().extend([3, 0xff, 0xff, 0xff]);
        assert_eq!(reader.next_frame::<Call>(), Err(MalformedFrame));
    }

    proptest! {
        #[test]
        fn frames_round_trip_for_any_chunk_size(
            values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..20),
            chunk_bytes in 1usize..50,
        ) {
            let calls: Vec<_> = values.into_iter().enumerate().map(|(n, v)| append_call(n as u64, v)).collect();
            let mut bytes = b"KEEPER 0000000000000001\r\n".to_vec();
            calls.iter().for_each(|c| write_frame(c, &mut bytes));
            let (mut reader, mut received, mut welcomed) = (FrameReader::default(), Vec::new(), false);
            for chunk in bytes.chunks(chunk_bytes) {
                reader.read_buffer().extend_from_slice(chunk);
                if !welcomed {
                    welcomed = reader.next_line().is_some_and(|line| parse_welcome(&line) == Some(1));
                }
                while welcomed && let Some(call) = reader.next_frame::<Call>().expect("the frames are valid") {
                    received.push(call);
                }
            }
            prop_assert_eq!(received, calls);
        }
    }
}
