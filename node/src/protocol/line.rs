//! Lines between clients, balancers and form hosts: text that CRLF ends.

use super::report::{self, Report};
use std::ops::Range;
use winnow::ascii::{dec_uint, float};
use winnow::combinator::{alt, delimited, opt, preceded, separated, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{literal, take_till, take_while};

/// The longest line in bytes, its end included.
pub const LONGEST: usize = 4 * 1024;

/// No token is shorter, and no figure as long.
const SHORTEST_TOKEN: usize = 60;

type Text<'a> = LocatingSlice<&'a [u8]>;

/// A line that asks for a connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Opening {
    /// The line as it came, its end included.
    line: Vec<u8>,
    /// Where the value of `d` stands in it.
    wait_at: Range<usize>,
    /// Its id.
    pub id: u64,
    /// The class, by name.
    pub class: String,
    /// The tenant, by name.
    pub tenant: Option<String>,
    /// How long the client waits, in milliseconds.
    pub wait_ms: f64,
    /// A client's retry.
    pub retry: bool,
    /// The client, or the group that it belongs to; 0 if none is told.
    pub group: u64,
    /// The form host at which the connection was open before.
    pub at: Option<String>,
    /// A session: `new`, or a token to go on by, and where that stands in the line.
    pub session: Option<(String, Range<usize>)>,
}

impl Opening {
    /// What is left of one whose connection stands: it is never sent again.
    pub fn standing(id: u64, class: String, tenant: Option<String>, group: u64) -> Self {
        Self { id, class, tenant, group, ..Self::default() }
    }

    /// The line for a form host: unchanged, but that it tells how long the balancer will wait.
    ///
    /// `held_as` tells how the form host is to hold the session, if one is asked for; a token is for
    /// balancers alone.
    pub fn for_host(&self, wait_ms: f64, held_as: Option<&str>) -> Vec<u8> {
        // Rounded down: the host must not be told of time that is not there.
        let wait = (wait_ms.max(1.0) as u64).to_string();
        let mut parts = vec![(&self.wait_at, wait.as_str())];
        if let (Some((_, at)), Some(held_as)) = (&self.session, held_as) {
            parts.push((at, held_as));
        }
        parts.sort_by_key(|(at, _)| at.start);
        let (mut line, mut from) = (Vec::with_capacity(self.line.len()), 0);
        for (at, text) in parts {
            line.extend_from_slice(&self.line[from..at.start]);
            line.extend_from_slice(text.as_bytes());
            from = at.end;
        }
        line.extend_from_slice(&self.line[from..]);
        line
    }
}

/// What a client's connection begins with.
#[derive(Clone, Debug, PartialEq)]
pub enum Hello {
    /// It asks whether the balancer serves.
    Ping,
    /// It asks for a connection.
    Open(Box<Opening>),
}

/// A line from a form host.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The connection stands.
    Up,
    /// It was served to its end.
    Bye(Report),
    /// An error.
    Err(Report),
    /// Turned away unseen.
    Busy(Report),
    /// The client is sent away.
    Move,
    /// The connection's load is now this.
    Load(f64),
    /// A probe's answer.
    Pong(Report),
    /// Anything else.
    Other,
}

/// Reads a client's first line, its end included. `None` if it is not of the protocol.
pub fn hello(line: &[u8]) -> Option<Hello> {
    let text = LocatingSlice::new(line);
    let ping = literal("PING\r\n").value(None);
    let opening = alt((ping, opening.map(Some))).parse(text).ok()?;
    Some(match opening {
        None => Hello::Ping,
        Some(mut opening) => {
            opening.line = line.to_vec();
            Hello::Open(Box::new(opening))
        }
    })
}

/// Reads a line of a form host, its end included.
pub fn reply(line: &[u8]) -> Reply {
    let mut any = alt((
        delimited(literal("UP "), take_till(1.., is_end), line_end).value(Reply::Up),
        delimited(literal("BYE"), tail, line_end).map(Reply::Bye),
        delimited(literal("ERR"), tail, line_end).map(Reply::Err),
        delimited(literal("BUSY"), tail, line_end).map(Reply::Busy),
        delimited(literal("PONG"), tail, line_end).map(Reply::Pong),
        terminated(literal("MOVE"), line_end).value(Reply::Move),
        delimited(literal("LOAD "), float::<_, f64, _>.verify(|x| x.is_finite()), line_end).map(Reply::Load),
    ));
    any.parse(LocatingSlice::new(line)).unwrap_or(Reply::Other)
}

/// The answer to a client that is refused, with advice when to come again; 0 for none.
pub fn busy(retry_after_ms: f64) -> String {
    if retry_after_ms > 0.0 {
        format!("BUSY {}\r\n", retry_after_ms.ceil().min(9e15) as u64)
    } else {
        "BUSY\r\n".into()
    }
}

/// A form host's name as a number that is the same at every balancer: FNV-1a, 64 bits.
pub fn number_of(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

fn is_end(byte: u8) -> bool {
    byte == b'\r' || byte == b'\n'
}

fn line_end(input: &mut Text<'_>) -> ModalResult<()> {
    (opt(b'\r'), b'\n').void().parse_next(input)
}

fn tail(input: &mut Text<'_>) -> ModalResult<Report> {
    let text = opt(preceded(b' ', take_till(0.., is_end))).parse_next(input)?;
    // Words that are no report say nothing of the load, and the answer holds all the same.
    Ok(text.and_then(report::parse).unwrap_or_default())
}

/// An id, a key or a group: up to 64 bits, whether their letters are large or small.
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

/// Every field is read here, also those that only form hosts use: one that they could not read
/// would be their answer to a request that was never sound, and count against them.
fn opening(input: &mut Text<'_>) -> ModalResult<Opening> {
    let id = preceded(literal("OPEN "), hex).parse_next(input)?;
    preceded(b' ', hex).void().parse_next(input)?;
    let pairs: Vec<_> = preceded(b' ', separated(1.., pair, b',')).parse_next(input)?;
    literal("\r\n").void().parse_next(input)?;
    fields(id, &pairs).ok_or(ErrMode::Cut(ContextError::new()))
}

fn fields(id: u64, pairs: &[(&str, (&str, Range<usize>))]) -> Option<Opening> {
    let mut opening = Opening { id, ..Opening::default() };
    let (mut class, mut wait) = (None, None);
    for (at, (name, (text, span))) in pairs.iter().enumerate() {
        if pairs[..at].iter().any(|(before, _)| before == name) {
            return None;
        }
        match *name {
            "c" => class = Some((*text).to_owned()),
            "d" => wait = Some((whole(text)?, span.clone())),
            "g" => opening.group = hex.parse(LocatingSlice::new(text.as_bytes())).ok()?,
            "t" => opening.tenant = Some((*text).to_owned()),
            "at" => opening.at = Some((*text).to_owned()),
            "s" if *text == "new" || text.len() >= SHORTEST_TOKEN => {
                opening.session = Some(((*text).to_owned(), span.clone()));
            }
            "r" => opening.retry = flag(text)?,
            "again" => _ = flag(text)?,
            // A figure that only the form host uses.
            _ => _ = float::<_, f64, ContextError>.parse(text.as_bytes()).ok().filter(|x| x.is_finite())?,
        }
    }
    opening.class = class?;
    (opening.wait_ms, opening.wait_at) = wait?;
    Some(opening)
}

fn whole(text: &str) -> Option<f64> {
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

    fn open(line: &[u8]) -> Option<Opening> {
        match hello(line)? {
            Hello::Open(opening) => Some(*opening),
            Hello::Ping => None,
        }
    }

    #[test]
    fn an_opening_is_read_and_goes_on_with_only_its_wait_changed() {
        let opening = open(LINE).expect("it is well formed");
        assert_eq!((opening.id, opening.class.as_str()), (0x9b1f_03aa_5c7e_2d41, "chat"));
        assert_eq!((opening.wait_ms, opening.retry, &opening.at), (2000.0, true, &None));
        assert_eq!(opening.group, 0x5c0f_6e1a_2b3d_4c59);
        let line = String::from_utf8(opening.for_host(981.7, None)).expect("it is text");
        assert_eq!(line, String::from_utf8_lossy(LINE).replace("d=2000", "d=981"));
    }

    #[test]
    fn what_is_split_overlong_or_garbage_is_no_hello() {
        for end in 0..LINE.len() {
            assert_eq!(hello(&LINE[..end]), None, "the first {end} bytes");
        }
        let long = [b"OPEN a b d=1,c=".as_slice(), &vec![b'x'; 100_000], b"\r\n"].concat();
        assert!(open(&long).is_some(), "the reader bounds lines, not the parser");
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
            assert_eq!(hello(line), None, "{:?}", String::from_utf8_lossy(line));
        }
        assert_eq!(hello(b"PING\r\n"), Some(Hello::Ping));
    }

    #[test]
    fn the_lines_of_a_form_host_are_told_apart() {
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
        let read: Vec<_> =
            lines.iter().map(|l| format!("{l}: {:?}", reply(format!("{l}\r\n").as_bytes()))).collect();
        insta::assert_snapshot!(read.join("\n"));
    }

    #[test]
    fn a_refusal_says_when_to_come_again() {
        assert_eq!(busy(0.0), "BUSY\r\n");
        assert_eq!(busy(249.2), "BUSY 250\r\n");
    }
}
