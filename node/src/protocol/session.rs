//! Lines that only occur on connections with a session. See `docs/protocol-resume.md` for the grammar.

use marllink_sessions::lease_protocol::Field;
use winnow::ascii::dec_uint;
use winnow::combinator::{preceded, separated_pair, terminated};
use winnow::prelude::*;
use winnow::token::{literal, rest, take_while};

/// A line from a client that is not forwarded.
#[derive(Clone, Debug, PartialEq)]
pub enum FromClient {
    /// Saves a field.
    Save(Field),
    /// Confirms that the client has received its token.
    Have,
}

/// A line from a server that concerns the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FromServer {
    /// Requests a lease. This line is not forwarded.
    Renew(u64),
    /// All saves up to this number are applied.
    Saved(u64),
    /// The server has released the session because it continues elsewhere.
    Taken,
}

/// Parses a client's line, including the line end. Returns `None` for lines that are forwarded unchanged.
pub fn from_client(line: &[u8]) -> Option<FromClient> {
    let mut text = strip_line_end(line)?;
    if text == b"HAVE" {
        return Some(FromClient::Have);
    }
    let name = take_while(1.., |b: u8| b.is_ascii_graphic() && b != b'=').try_map(std::str::from_utf8);
    let mut field = preceded(
        literal("SAVE "),
        separated_pair(
            terminated(dec_uint::<_, u64, ()>, b' '),
            winnow::combinator::empty,
            separated_pair(name, b'=', rest),
        ),
    );
    let (n, (name, value)) = field.parse_next(&mut text).ok()?;
    Some(FromClient::Save(Field { name: name.to_owned(), n, value: value.to_vec() }))
}

/// Parses a server's line, including the line end. Returns `None` for lines that don't concern the session.
pub fn from_server(line: &[u8]) -> Option<FromServer> {
    let text = strip_line_end(line)?;
    let number = |prefix: &'static str| preceded(literal(prefix), dec_uint::<_, u64, ()>).parse(text).ok();
    if text == b"TAKEN" {
        Some(FromServer::Taken)
    } else {
        number("RENEW ").map(FromServer::Renew).or_else(|| number("SAVED ").map(FromServer::Saved))
    }
}

fn strip_line_end(line: &[u8]) -> Option<&[u8]> {
    let line = line.strip_suffix(b"\n")?;
    Some(line.strip_suffix(b"\r").unwrap_or(line))
}

#[cfg(test)]
mod tests;
