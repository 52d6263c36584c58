//! FrameReader, and the two lines that a link begins with.

use prost::Message;

/// The longest frame in bytes. A journal at the largest bound that the settings allow fits twice over.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// The version of all that is said on a link.
const VERSION: &str = "1";

/// The line by which a balancer process with this number begins a link.
#[must_use]
pub fn hello_line(owner: u64) -> String {
    format!("KEEP {VERSION} {owner:016x}\r\n")
}

/// The owner that a line of [`hello_line`] names; `None` if it is none, or of another version.
#[must_use]
pub fn parse_hello(line: &str) -> Option<u64> {
    number(line.strip_suffix("\r\n")?, "KEEP", Some(VERSION))
}

/// The line by which a form host takes a link. Its incarnation is another whenever it has begun anew,
/// and with it forgotten what it kept.
#[must_use]
pub fn welcome_line(incarnation: u64) -> String {
    format!("KEEPER {incarnation:016x}\r\n")
}

/// The incarnation that a line of [`welcome_line`] names; `None` if it is none.
#[must_use]
pub fn parse_welcome(line: &str) -> Option<u64> {
    number(line.strip_suffix("\r\n")?, "KEEPER", None)
}

fn number(line: &str, word: &str, version: Option<&str>) -> Option<u64> {
    let mut words = line.split(' ');
    let sound = words.next() == Some(word) && version.is_none_or(|v| words.next() == Some(v));
    let digits = words.next().filter(|w| w.len() == 16 && w.bytes().all(|b| b.is_ascii_hexdigit()))?;
    (sound && words.next().is_none()).then(|| u64::from_str_radix(digits, 16).ok())?
}

/// Appends a frame.
pub fn write_frame(message: &impl Message, to: &mut Vec<u8>) {
    // A vector takes whatever is written to it.
    let _ = message.encode_length_delimited(to);
}

/// What came is no frame of this version; the link is of no use any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedFrame;

impl std::fmt::Display for MalformedFrame {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "no frame, or one of more than {MAX_FRAME_BYTES} bytes")
    }
}

impl std::error::Error for MalformedFrame {}

/// Takes frames out of the bytes that come, in pieces of any size.
#[derive(Debug, Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
    /// Where the first byte lies that has not been taken.
    at: usize,
}

impl FrameReader {
    /// Where what comes is to be appended.
    pub fn read_buffer(&mut self) -> &mut Vec<u8> {
        // Moved at leisure, so that many small frames do not cost a move each.
        if self.at > 0 && self.at >= self.bytes.len() / 2 {
            self.bytes.drain(..self.at);
            self.at = 0;
        }
        &mut self.bytes
    }

    /// Takes up to the end of the first line; `None` if there is none yet.
    pub fn next_line(&mut self) -> Option<String> {
        let rest = &self.bytes[self.at..];
        let end = rest.iter().position(|b| *b == b'\n')? + 1;
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        self.at += end;
        Some(line)
    }

    /// True if more than a line of a link's beginning has come without an end.
    #[must_use]
    pub fn line_too_long(&self) -> bool {
        self.bytes.len() - self.at > 64
    }

    /// Takes the next frame, if it has come whole.
    ///
    /// # Errors
    /// Fails if what came is no frame.
    pub fn next_frame<T: Message + Default>(&mut self) -> Result<Option<T>, MalformedFrame> {
        let rest = &self.bytes[self.at..];
        // A length has ten bytes at most; with fewer there, it may still be coming.
        let length = match prost::decode_length_delimiter(rest) {
            Ok(length) if length <= MAX_FRAME_BYTES => length,
            Err(_) if rest.len() < 10 && rest.iter().all(|b| *b >= 0x80) => return Ok(None),
            _ => return Err(MalformedFrame),
        };
        let from = prost::length_delimiter_len(length);
        let Some(frame) = rest.get(from..from + length) else { return Ok(None) };
        let message = T::decode(frame).map_err(|_| MalformedFrame)?;
        self.at += from + length;
        Ok(Some(message))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::messages::*;
    use proptest::prelude::*;

    fn append(n: u64, value: Vec<u8>) -> Call {
        let session = SessionId { hi: 7, lo: n };
        let ballot = Ballot { epoch: n, attempt: 3 };
        Call::new(call::Body::Append(Append { session, ballot, field: Field { name: "f".into(), n, value } }))
    }

    #[test]
    fn the_lines_that_begin_a_link_are_read_again_and_nothing_else_is() {
        assert_eq!(parse_hello(&hello_line(0xab)), Some(0xab));
        assert_eq!(parse_welcome(&welcome_line(u64::MAX)), Some(u64::MAX));
        let line = hello_line(5);
        for end in 0..line.len() {
            assert_eq!(parse_hello(&line[..end]), None);
        }
        for bad in
            ["KEEP 2 00000000000000ab\r\n", "KEEP 1 ab\r\n", "KEEP 1 00000000000000ab x\r\n", "OPEN\r\n"]
        {
            assert_eq!(parse_hello(bad), None, "{bad}");
        }
        assert_eq!(parse_welcome("ERR\r\n"), None);
    }

    #[test]
    fn garbage_and_a_frame_without_an_end_are_refused() {
        let mut frames = FrameReader::default();
        frames.read_buffer().extend([0xff; 12]);
        assert_eq!(frames.next_frame::<Call>(), Err(MalformedFrame));
        let mut frames = FrameReader::default();
        prost::encode_length_delimiter(MAX_FRAME_BYTES + 1, frames.read_buffer()).expect("there is room");
        assert_eq!(frames.next_frame::<Call>(), Err(MalformedFrame));
        let mut frames = FrameReader::default();
        frames.read_buffer().extend([3, 0xff, 0xff, 0xff]);
        assert_eq!(frames.next_frame::<Call>(), Err(MalformedFrame));
    }

    proptest! {
        #[test]
        fn frames_come_out_as_they_went_in_however_they_are_cut(
            values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..20),
            piece in 1usize..50,
        ) {
            let calls: Vec<_> = values.into_iter().enumerate().map(|(n, v)| append(n as u64, v)).collect();
            let mut bytes = b"KEEPER 0000000000000001\r\n".to_vec();
            calls.iter().for_each(|c| write_frame(c, &mut bytes));
            let (mut frames, mut came, mut begun) = (FrameReader::default(), Vec::new(), false);
            for part in bytes.chunks(piece) {
                frames.read_buffer().extend_from_slice(part);
                if !begun {
                    begun = frames.next_line().is_some_and(|line| parse_welcome(&line) == Some(1));
                }
                while begun && let Some(call) = frames.next_frame::<Call>().expect("they are sound") {
                    came.push(call);
                }
            }
            prop_assert_eq!(came, calls);
        }
    }
}
