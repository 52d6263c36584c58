//! Lines between clients, balancers and servers: text terminated by CRLF.

use super::report::{self, Report};
use std::ops::Range;
use winnow::ascii::{dec_uint, float};
use winnow::combinator::{alt, delimited, opt, preceded, separated, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{literal, take_till, take_while};

/// Maximum length of a line in bytes, including the line end.
pub const MAX_LINE_BYTES: usize = 4 * 1024;

/// Minimum length of a token. A shorter value of `s` is a number, which is never this long.
const MIN_TOKEN_BYTES: usize = 60;

type Text<'a> = LocatingSlice<&'a [u8]>;

/// A client's request for a connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenRequest {
    /// The line as received, including the line end.
    line: Vec<u8>,
    /// Position of the value of `d` in the line.
    wait_span: Range<usize>,
    /// The request id.
    pub id: u64,
    /// The name of the class.
    pub class: String,
    /// The name of the tenant.
    pub tenant: Option<String>,
    /// How long the client waits, in milliseconds.
    pub wait_ms: f64,
    /// The request is a client's retry.
    pub is_retry: bool,
    /// The client, or the group that it belongs to; 0 if not given.
    pub group: u64,
    /// The server to which the connection was open before.
    pub previous_server: Option<String>,
    /// A session: `new`, or a token to resume one, and its position in the line.
    pub session: Option<(String, Range<usize>)>,
}

impl OpenRequest {
    /// Creates the reduced form for an established connection, whose line is never sent again.
    pub fn established(id: u64, class: String, tenant: Option<String>, group: u64) -> Self {
        Self { id, class, tenant, group, ..Self::default() }
    }

    /// Returns the line for a server: unchanged except for the time that the balancer will wait.
    ///
    /// If a session is requested, `session_value` replaces its value and says how the server is to hold the
    /// session; tokens are only for balancers.
    pub fn for_server(&self, wait_ms: f64, session_value: Option<&str>) -> Vec<u8> {
        // Rounded down, so that the server is not promised more time than there is.
        let wait = (wait_ms.max(1.0) as u64).to_string();
        let mut substitutions = vec![(&self.wait_span, wait.as_str())];
        if let (Some((_, span)), Some(session_value)) = (&self.session, session_value) {
            substitutions.push((span, session_value));
        }
        substitutions.sort_by_key(|(span, _)| span.start);
        let (mut line, mut copied_to) = (Vec::with_capacity(self.line.len()), 0);
        for (span, text) in substitutions {
            line.extend_from_slice(&self.line[copied_to..span.start]);
            line.extend_from_slice(text.as_bytes());
            copied_to = span.end;
        }
        line.extend_from_slice(&self.line[copied_to..]);
        line
    }
}

/// The first line of a client's connection.
#[derive(Clone, Debug, PartialEq)]
pub enum FirstLine {
    /// A check whether the balancer serves.
    Ping,
    /// A request for a connection.
    Open(Box<OpenRequest>),
}

/// A line from a server.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerLine {
    /// The connection is established.
    Up,
    /// The request was served to its end.
    Bye(Report),
    /// An error.
    Err(Report),
    /// Rejected without processing.
    Busy(Report),
    /// The client is to reconnect elsewhere.
    Move,
    /// The new load of the connection.
    Load(f64),
    /// The answer to a probe.
    Pong(Report),
    /// Anything else.
    Other,
}

/// Parses a client's first line, including the line end. Returns `None` if it does not follow the protocol.
pub fn parse_first_line(line: &[u8]) -> Option<FirstLine> {
    let text = LocatingSlice::new(line);
    let ping = literal("PING\r\n").value(None);
    let request = alt((ping, open_request.map(Some))).parse(text).ok()?;
    Some(match request {
        None => FirstLine::Ping,
        Some(mut request) => {
            request.line = line.to_vec();
            FirstLine::Open(Box::new(request))
        }
    })
}

/// Parses a line from a server, including the line end.
pub fn parse_server_line(line: &[u8]) -> ServerLine {
    let mut line_parser = alt((
        delimited(literal("UP "), take_till(1.., is_line_end), line_end).value(ServerLine::Up),
        delimited(literal("BYE"), optional_report, line_end).map(ServerLine::Bye),
        delimited(literal("ERR"), optional_report, line_end).map(ServerLine::Err),
        delimited(literal("BUSY"), optional_report, line_end).map(ServerLine::Busy),
        delimited(literal("PONG"), optional_report, line_end).map(ServerLine::Pong),
        terminated(literal("MOVE"), line_end).value(ServerLine::Move),
        delimited(literal("LOAD "), float::<_, f64, _>.verify(|x| x.is_finite()), line_end)
            .map(ServerLine::Load),
    ));
    line_parser.parse(LocatingSlice::new(line)).unwrap_or(ServerLine::Other)
}

/// Returns the answer to a rejected client, with a retry delay unless that is 0.
pub fn busy_line(retry_after_ms: f64) -> String {
    if retry_after_ms > 0.0 {
        format!("BUSY {}\r\n", retry_after_ms.ceil().min(9e15) as u64)
    } else {
        "BUSY\r\n".into()
    }
}

/// Hashes a server's name to a number that is the same at every balancer: 64-bit FNV-1a.
pub fn hash_server_name(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

fn is_line_end(byte: u8) -> bool {
    byte == b'\r' || byte == b'\n'
}

fn line_end(input: &mut Text<'_>) -> ModalResult<()> {
    (opt(b'\r'), b'\n').void().parse_next(input)
}

fn optional_report(input: &mut Text<'_>) -> ModalResult<Report> {
    let text = opt(preceded(b' ', take_till(0.., is_line_end))).parse_next(input)?;
    // Text that is not a report carries no load values; the line itself is still valid.
    Ok(text.and_then(report::parse).unwrap_or_default())
}

/// Parses an id, a key or a group: up to 64 bits, as hexadecimal digits in either case.
fn hex(input: &mut Text<'_>) -> ModalResult<u64> {
    let digits = take_while(1..=16, |b: u8| b.is_ascii_hexdigit()).try_map(std::str::from_utf8);
    digits.try_map(|text| u64::from_str_radix(text, 16)).parse_next(input)
}

fn pair<'a>(input: &mut Text<'a>) -> ModalResult<(&'a str, (&'a str, Range<usize>))> {
    let name = take_while(1.., |b: u8| b.is_ascii_alphanumeric() || b == b'_');
    let value = take_while(1.., |b: u8| b.is_ascii_graphic() && b != b',');
    let name = terminated(name.try_map(std::str::from_utf8), b'=').parse_next(input)?;
    let value = value.try_map(std::str::from_utf8).with_span().parse_next(input)?;
    Ok((name, value))
}

/// Parses and validates every field, including those that only servers use: a field that servers can't parse
/// would make them answer a malformed request with an error, which would count against them.
fn open_request(input: &mut Text<'_>) -> ModalResult<OpenRequest> {
    let id = preceded(literal("OPEN "), hex).parse_next(input)?;
    preceded(b' ', hex).void().parse_next(input)?;
    let pairs: Vec<_> = preceded(b' ', separated(1.., pair, b',')).parse_next(input)?;
    literal("\r\n").void().parse_next(input)?;
    parse_fields(id, &pairs).ok_or(ErrMode::Cut(ContextError::new()))
}

fn parse_fields(id: u64, pairs: &[(&str, (&str, Range<usize>))]) -> Option<OpenRequest> {
    let mut request = OpenRequest { id, ..OpenRequest::default() };
    let (mut class, mut wait) = (None, None);
    for (at, (name, (text, span))) in pairs.iter().enumerate() {
        if pairs[..at].iter().any(|(previous, _)| previous == name) {
            return None;
        }
        match *name {
            "c" => class = Some((*text).to_owned()),
            "d" => wait = Some((wait_ms(text)?, span.clone())),
            "g" => request.group = hex.parse(LocatingSlice::new(text.as_bytes())).ok()?,
            "t" => request.tenant = Some((*text).to_owned()),
            "at" => request.previous_server = Some((*text).to_owned()),
            "s" if *text == "new" || text.len() >= MIN_TOKEN_BYTES => {
                request.session = Some(((*text).to_owned(), span.clone()));
            }
            "r" => request.is_retry = flag(text)?,
            "again" => _ = flag(text)?,
            // A number that only servers use.
            _ => _ = float::<_, f64, ContextError>.parse(text.as_bytes()).ok().filter(|x| x.is_finite())?,
        }
    }
    request.class = class?;
    (request.wait_ms, request.wait_span) = wait?;
    Some(request)
}

fn wait_ms(text: &str) -> Option<f64> {
    dec_uint::<_, u32, ContextError>.parse(text.as_bytes()).ok().map(f64::from)
}

fn flag(text: &str) -> Option<bool> {
    match text {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LINE: &[u8] =
        b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59,r=1,x=0.5\r\n";

    fn open(line: &[u8]) -> Option<OpenRequest> {
        match parse_first_line(line)? {
            FirstLine::Open(request) => Some(*request),
            FirstLine::Ping => None,
        }
    }

    #[test]
    fn an_open_request_is_forwarded_with_only_its_wait_time_changed() {
        let request = open(LINE).expect("the request is well formed");
        assert_eq!((request.id, request.class.as_str()), (0x9b1f_03aa_5c7e_2d41, "chat"));
        assert_eq!((request.wait_ms, request.is_retry, &request.previous_server), (2000.0, true, &None));
        assert_eq!(request.group, 0x5c0f_6e1a_2b3d_4c59);
        let line = String::from_utf8(request.for_server(981.7, None)).expect("the line is UTF-8");
        assert_eq!(line, String::from_utf8_lossy(LINE).replace("d=2000", "d=981"));
    }

    #[test]
    fn partial_or_malformed_first_lines_are_rejected() {
        for end in 0..LINE.len() {
            assert_eq!(parse_first_line(&LINE[..end]), None, "the first {end} bytes");
        }
        let long = [b"OPEN a b d=1,c=".as_slice(), &vec![b'x'; 100_000], b"\r\n"].concat();
        assert!(open(&long).is_some(), "the reader limits the line length, not the parser");
        for line in [
            &b"\r\n"[..],
            b"OPEN\r\n",
            b"OPEN a\r\n",
            b"OPEN a b c\r\n",
            b"OPEN a b c=x\r\n",
            b"OPEN a b d=1\r\n",
            b"OPEN a b c=x,d=x\r\n",
            b"OPEN a b c=x,d=-1\r\n",
            b"OPEN a b c=x,d=1e3\r\n",
            b"OPEN a b c=x,d=99999999999999999999\r\n",
            b"OPEN a b c=x,d=1,d=2\r\n",
            b"OPEN a b c=x,d=1,g=y\r\n",
            b"OPEN a b c=x,d=1,r=yes\r\n",
            b"OPEN a b c=x,d=1,h=nan\r\n",
            b"OPEN a b c=x,d=1,\r\n",
            b"OPEN a b c=,d=1\r\n",
            b"OPEN  b c=x,d=1\r\n",
            b"OPEN +a b c=x,d=1\r\n",
            b"OPEN 0123456789abcdef0 b c=x,d=1\r\n",
            b"OPEN a b c=x,d=1\n",
            b"open a b c=x,d=1\r\n",
            b"OPEN a b c=x,d=1\r\nPING\r\n",
            b"PING \r\n",
            b"\xff\xfe\x00\r\n",
            b"GET / HTTP/1.1\r\n",
        ] {
            assert_eq!(parse_first_line(line), None, "{:?}", String::from_utf8_lossy(line));
        }
        assert_eq!(parse_first_line(b"PING\r\n"), Some(FirstLine::Ping));
    }

    #[test]
    fn server_lines_are_told_apart() {
        let lines = [
            "UP 5f",
            "UP",
            "BYE",
            "BYE inflight=7,queue=2",
            "ERR",
            "ERR what?",
            "BUSY inflight=9",
            "MOVE",
            "MOVER",
            "LOAD 12.5",
            "LOAD nan",
            "LOAD",
            "PONG x0=0.4,inflight=3",
            "hello",
        ];
        let parsed: Vec<_> = lines
            .iter()
            .map(|l| format!("{l}: {:?}", parse_server_line(format!("{l}\r\n").as_bytes())))
            .collect();
        insta::assert_snapshot!(parsed.join("\n"));
    }

    #[test]
    fn a_rejection_carries_the_retry_delay() {
        assert_eq!(busy_line(0.0), "BUSY\r\n");
        assert_eq!(busy_line(249.2), "BUSY 250\r\n");
    }
}
