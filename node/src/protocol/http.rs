//! The required subset of HTTP/1.1: heads of discovery responses, their bodies in chunks, and heads of
//! requests to the admin interface.

use winnow::ascii::{dec_uint, hex_uint};
use winnow::combinator::{delimited, preceded, repeat, terminated};
use winnow::error::ErrMode;
use winnow::prelude::*;
use winnow::stream::{Offset, Partial, Stream};
use winnow::token::{literal, take, take_till, take_while};

/// Maximum size of a head and of the size line of a chunk. Anything longer is rejected.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a chunk. A larger one is rejected.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024 * 1024;

type Bytes<'a> = Partial<&'a [u8]>;

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The length of the body, if given.
    pub length: Option<usize>,
    /// The body is sent in chunks.
    pub chunked: bool,
}

/// The result of parsing the front of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// A value and its length in bytes.
    Complete(T, usize),
    /// More bytes are needed.
    Partial,
    /// Not valid HTTP, or outside the supported subset.
    Malformed,
}

/// Parses the head of a response.
pub fn parse_response_head(buffer: &[u8]) -> Parsed<ResponseHead> {
    parse(buffer, response_head, MAX_HEAD_BYTES)
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, in capitals.
    pub method: String,
    /// The request target.
    pub target: String,
}

/// Parses the head of a request. No supported request has a body.
pub fn parse_request_head(buffer: &[u8]) -> Parsed<RequestHead> {
    parse(buffer, request_head, MAX_HEAD_BYTES)
}

/// Parses a chunk; an empty one is the last.
pub fn parse_chunk(buffer: &[u8]) -> Parsed<&[u8]> {
    parse(buffer, chunk, MAX_CHUNK_BYTES + MAX_HEAD_BYTES)
}

fn parse<'a, T>(
    buffer: &'a [u8],
    mut parser: impl FnMut(&mut Bytes<'a>) -> ModalResult<T>,
    max_bytes: usize,
) -> Parsed<T> {
    let mut input = Partial::new(buffer);
    let start = input.checkpoint();
    match parser(&mut input) {
        Ok(value) => Parsed::Complete(value, input.offset_from(&start)),
        Err(ErrMode::Incomplete(_)) if buffer.len() < max_bytes => Parsed::Partial,
        Err(_) => Parsed::Malformed,
    }
}

fn request_head(input: &mut Bytes<'_>) -> ModalResult<RequestHead> {
    let method = terminated(take_while(1.., |b: u8| b.is_ascii_uppercase()), b' ');
    let method = method.try_map(std::str::from_utf8).parse_next(input)?.to_owned();
    let target = terminated(take_while(1.., |b: u8| b.is_ascii_graphic()), b' ');
    let target = target.try_map(std::str::from_utf8).parse_next(input)?.to_owned();
    (literal("HTTP/1."), take_while(1..=1, |b: u8| b.is_ascii_digit())).void().parse_next(input)?;
    literal("\r\n").void().parse_next(input)?;
    repeat(0.., header.void()).map(|()| ()).parse_next(input)?;
    literal("\r\n").void().parse_next(input)?;
    Ok(RequestHead { method, target })
}

fn response_head(input: &mut Bytes<'_>) -> ModalResult<ResponseHead> {
    let version = (literal("HTTP/1."), take(1usize), b' ');
    let status = preceded(version, dec_uint::<_, u16, _>).parse_next(input)?;
    (take_till(0.., b'\r'), literal("\r\n")).void().parse_next(input)?;
    let headers: Vec<(&[u8], &[u8])> = repeat(0.., header).parse_next(input)?;
    literal("\r\n").void().parse_next(input)?;
    let value = |header_name: &str| {
        let matches = |name: &[u8]| name.eq_ignore_ascii_case(header_name.as_bytes());
        headers.iter().find(|(name, _)| matches(name)).map(|(_, value)| value.trim_ascii())
    };
    let length = value("content-length").map(|v| std::str::from_utf8(v).ok().and_then(|v| v.parse().ok()));
    // Without a valid length, the end of the body can't be determined.
    if length == Some(None) {
        return Err(ErrMode::Cut(winnow::error::ContextError::new()));
    }
    let chunked = value("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case(b"chunked"));
    Ok(ResponseHead { status, length: length.flatten(), chunked })
}

fn header<'a>(input: &mut Bytes<'a>) -> ModalResult<(&'a [u8], &'a [u8])> {
    let name = take_while(1.., |b: u8| b.is_ascii_graphic() && b != b':');
    let name = terminated(name, b':').parse_next(input)?;
    let value = terminated(take_till(0.., b'\r'), literal("\r\n")).parse_next(input)?;
    Ok((name, value))
}

fn chunk<'a>(input: &mut Bytes<'a>) -> ModalResult<&'a [u8]> {
    let size = hex_uint::<_, u32, _>.verify(|n| *n as usize <= MAX_CHUNK_BYTES).parse_next(input)?;
    // Skips a chunk extension after the size.
    (take_till(0.., b'\r'), literal("\r\n")).void().parse_next(input)?;
    delimited(winnow::combinator::empty, take(size), literal("\r\n")).parse_next(input)
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nServer: x\r\nTransfer-Encoding: chunked\r\n\r\n";

    #[test]
    fn a_response_head_is_parsed_once_complete() {
        for end in 0..HEAD.len() {
            assert_eq!(parse_response_head(&HEAD[..end]), Parsed::Partial, "the first {end} bytes");
        }
        let complete = ResponseHead { status: 200, length: None, chunked: true };
        assert_eq!(parse_response_head(&[HEAD, b"5\r\n"].concat()), Parsed::Complete(complete, HEAD.len()));
        let plain = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 12\r\n\r\n";
        let complete = ResponseHead { status: 503, length: Some(12), chunked: false };
        assert_eq!(parse_response_head(plain), Parsed::Complete(complete, plain.len()));
    }

    #[test]
    fn a_request_head_is_parsed_once_complete() {
        let text = b"POST /form-hosts/s-1/maint HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
        for end in 0..text.len() {
            assert_eq!(parse_request_head(&text[..end]), Parsed::Partial, "the first {end} bytes");
        }
        let complete = RequestHead { method: "POST".into(), target: "/form-hosts/s-1/maint".into() };
        assert_eq!(parse_request_head(text), Parsed::Complete(complete, text.len()));
        for bad in [&b"get / HTTP/1.1\r\n\r\n"[..], b"GET  HTTP/1.1\r\n\r\n", b"GET / SPDY\r\n", b"\r\n"] {
            assert_eq!(parse_request_head(bad), Parsed::Malformed, "{:?}", String::from_utf8_lossy(bad));
        }
    }

    #[test]
    fn a_chunk_is_parsed_once_complete() {
        let complete = b"1a;x=y\r\nabcdefghijklmnopqrstuvwxyz\r\n";
        for end in 0..complete.len() {
            assert_eq!(parse_chunk(&complete[..end]), Parsed::Partial, "the first {end} bytes");
        }
        assert_eq!(
            parse_chunk(complete),
            Parsed::Complete(&b"abcdefghijklmnopqrstuvwxyz"[..], complete.len())
        );
        assert_eq!(parse_chunk(b"0\r\n\r\n"), Parsed::Complete(&b""[..], 5));
    }

    #[test]
    fn garbage_and_overlong_input_is_malformed() {
        for bad in [&b"SSH-2.0"[..], b"HTTP/1.1 abc\r\n", b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n"] {
            assert_eq!(parse_response_head(bad), Parsed::Malformed, "{:?}", String::from_utf8_lossy(bad));
        }
        assert_eq!(parse_response_head(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"), Parsed::Malformed);
        assert_eq!(
            parse_response_head(&[b"HTTP/1.1 200 ".as_slice(), &[b'x'; MAX_HEAD_BYTES]].concat()),
            Parsed::Malformed
        );
        for bad in [&b"zz\r\n"[..], b"ffffffff\r\n", b"3\r\nabcd\r\n"] {
            assert_eq!(parse_chunk(bad), Parsed::Malformed, "{:?}", String::from_utf8_lossy(bad));
        }
    }
}
