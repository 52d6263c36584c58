//! As much of HTTP/1.1 as is needed: the head of discovery's answers and their body in chunks, and the
//! head of an operator's call.

use winnow::ascii::{dec_uint, hex_uint};
use winnow::combinator::{delimited, preceded, repeat, terminated};
use winnow::error::ErrMode;
use winnow::prelude::*;
use winnow::stream::{Offset, Partial, Stream};
use winnow::token::{literal, take, take_till, take_while};

/// Neither a head nor the line before a chunk comes near this; a longer one is refused.
pub const LONGEST_HEAD: usize = 16 * 1024;
/// No chunk comes near this; a longer one is refused.
pub const LONGEST_CHUNK: usize = 16 * 1024 * 1024;

type Bytes<'a> = Partial<&'a [u8]>;

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// As in the status line.
    pub status: u16,
    /// The length of the body, if it was told.
    pub length: Option<usize>,
    /// The body comes in chunks.
    pub chunked: bool,
}

/// What reading from the front of a buffer came to.
#[derive(Debug, PartialEq, Eq)]
pub enum Read<T> {
    /// A value, and how many bytes it took.
    Whole(T, usize),
    /// More bytes are needed.
    Partial,
    /// This is not HTTP as its peers speak it.
    Malformed,
}

/// Reads the head of an answer.
pub fn head(buffer: &[u8]) -> Read<Head> {
    read(buffer, answer_head, LONGEST_HEAD)
}

/// The head of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// In capitals, as it came.
    pub method: String,
    /// What is called.
    pub target: String,
}

/// Reads the head of a call. Nothing that can be called takes a body.
pub fn call(buffer: &[u8]) -> Read<Call> {
    read(buffer, call_head, LONGEST_HEAD)
}

/// Reads a chunk; an empty one is the last.
pub fn chunk(buffer: &[u8]) -> Read<&[u8]> {
    read(buffer, one_chunk, LONGEST_CHUNK + LONGEST_HEAD)
}

fn read<'a, T>(
    buffer: &'a [u8],
    mut parser: impl FnMut(&mut Bytes<'a>) -> ModalResult<T>,
    longest: usize,
) -> Read<T> {
    let mut input = Partial::new(buffer);
    let start = input.checkpoint();
    match parser(&mut input) {
        Ok(value) => Read::Whole(value, input.offset_from(&start)),
        Err(ErrMode::Incomplete(_)) if buffer.len() < longest => Read::Partial,
        Err(_) => Read::Malformed,
    }
}

fn call_head(input: &mut Bytes<'_>) -> ModalResult<Call> {
    let method = terminated(take_while(1.., |b: u8| b.is_ascii_uppercase()), b' ');
    let method = method.try_map(std::str::from_utf8).parse_next(input)?.to_owned();
    let target = terminated(take_while(1.., |b: u8| b.is_ascii_graphic()), b' ');
    let target = target.try_map(std::str::from_utf8).parse_next(input)?.to_owned();
    (literal("HTTP/1."), take_while(1..=1, |b: u8| b.is_ascii_digit())).void().parse_next(input)?;
    literal("\r\n").void().parse_next(input)?;
    repeat(0.., field.void()).map(|()| ()).parse_next(input)?;
    literal("\r\n").void().parse_next(input)?;
    Ok(Call { method, target })
}

fn answer_head(input: &mut Bytes<'_>) -> ModalResult<Head> {
    let version = (literal("HTTP/1."), take(1usize), b' ');
    let status = preceded(version, dec_uint::<_, u16, _>).parse_next(input)?;
    (take_till(0.., b'\r'), literal("\r\n")).void().parse_next(input)?;
    let fields: Vec<(&[u8], &[u8])> = repeat(0.., field).parse_next(input)?;
    literal("\r\n").void().parse_next(input)?;
    let value = |wanted: &str| {
        let named = |name: &[u8]| name.eq_ignore_ascii_case(wanted.as_bytes());
        fields.iter().find(|(name, _)| named(name)).map(|(_, value)| value.trim_ascii())
    };
    let length = value("content-length").map(|v| std::str::from_utf8(v).ok().and_then(|v| v.parse().ok()));
    // A length that cannot be read leaves no way to tell where the body ends.
    if length == Some(None) {
        return Err(ErrMode::Cut(winnow::error::ContextError::new()));
    }
    let chunked = value("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case(b"chunked"));
    Ok(Head { status, length: length.flatten(), chunked })
}

fn field<'a>(input: &mut Bytes<'a>) -> ModalResult<(&'a [u8], &'a [u8])> {
    let name = take_while(1.., |b: u8| b.is_ascii_graphic() && b != b':');
    let name = terminated(name, b':').parse_next(input)?;
    let value = terminated(take_till(0.., b'\r'), literal("\r\n")).parse_next(input)?;
    Ok((name, value))
}

fn one_chunk<'a>(input: &mut Bytes<'a>) -> ModalResult<&'a [u8]> {
    let size = hex_uint::<_, u32, _>.verify(|n| *n as usize <= LONGEST_CHUNK).parse_next(input)?;
    // An extension after the size may be skipped.
    (take_till(0.., b'\r'), literal("\r\n")).void().parse_next(input)?;
    delimited(winnow::combinator::empty, take(size), literal("\r\n")).parse_next(input)
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nServer: x\r\nTransfer-Encoding: chunked\r\n\r\n";

    #[test]
    fn a_head_is_read_once_it_is_whole() {
        for end in 0..HEAD.len() {
            assert_eq!(head(&HEAD[..end]), Read::Partial, "the first {end} bytes");
        }
        let whole = Head { status: 200, length: None, chunked: true };
        assert_eq!(head(&[HEAD, b"5\r\n"].concat()), Read::Whole(whole, HEAD.len()));
        let plain = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 12\r\n\r\n";
        let whole = Head { status: 503, length: Some(12), chunked: false };
        assert_eq!(head(plain), Read::Whole(whole, plain.len()));
    }

    #[test]
    fn a_call_is_read_once_it_is_whole() {
        let text = b"POST /form-hosts/s-1/maint HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
        for end in 0..text.len() {
            assert_eq!(call(&text[..end]), Read::Partial, "the first {end} bytes");
        }
        let whole = Call { method: "POST".into(), target: "/form-hosts/s-1/maint".into() };
        assert_eq!(call(text), Read::Whole(whole, text.len()));
        for bad in [&b"get / HTTP/1.1\r\n\r\n"[..], b"GET  HTTP/1.1\r\n\r\n", b"GET / SPDY\r\n", b"\r\n"] {
            assert_eq!(call(bad), Read::Malformed, "{:?}", String::from_utf8_lossy(bad));
        }
    }

    #[test]
    fn a_chunk_is_read_once_it_is_whole() {
        let whole = b"1a;x=y\r\nabcdefghijklmnopqrstuvwxyz\r\n";
        for end in 0..whole.len() {
            assert_eq!(chunk(&whole[..end]), Read::Partial, "the first {end} bytes");
        }
        assert_eq!(chunk(whole), Read::Whole(&b"abcdefghijklmnopqrstuvwxyz"[..], whole.len()));
        assert_eq!(chunk(b"0\r\n\r\n"), Read::Whole(&b""[..], 5));
    }

    #[test]
    fn garbage_and_what_is_overlong_is_malformed() {
        for bad in [&b"SSH-2.0"[..], b"HTTP/1.1 abc\r\n", b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n"] {
            assert_eq!(head(bad), Read::Malformed, "{:?}", String::from_utf8_lossy(bad));
        }
        assert_eq!(head(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"), Read::Malformed);
        assert_eq!(head(&[b"HTTP/1.1 200 ".as_slice(), &[b'x'; LONGEST_HEAD]].concat()), Read::Malformed);
        for bad in [&b"zz\r\n"[..], b"ffffffff\r\n", b"3\r\nabcd\r\n"] {
            assert_eq!(chunk(bad), Read::Malformed, "{:?}", String::from_utf8_lossy(bad));
        }
    }
}
