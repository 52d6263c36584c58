//! The lines that only connections with a session have. `docs/protocol-resume.md` has the grammar.

use marllink_sessions::keep::Field;
use winnow::ascii::dec_uint;
use winnow::combinator::{preceded, separated_pair, terminated};
use winnow::prelude::*;
use winnow::token::{literal, rest, take_while};

/// A line of the client's that is not passed on.
#[derive(Clone, Debug, PartialEq)]
pub enum FromClient {
    /// It saves a field.
    Save(Field),
    /// It has its token.
    Have,
}

/// A line of the form host's that is about the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FromHost {
    /// It asks for a lease. This line is not passed on.
    Renew(u64),
    /// It has applied all saves up to this one.
    Saved(u64),
    /// It has let go, as the session went on elsewhere.
    Taken,
}

/// Reads a client's line, its end included; `None` if it is one of those that pass unchanged.
pub fn from_client(line: &[u8]) -> Option<FromClient> {
    let mut text = strip(line)?;
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

/// Reads a form host's line, its end included; `None` if it is about something else.
pub fn from_host(line: &[u8]) -> Option<FromHost> {
    let text = strip(line)?;
    let number = |word: &'static str| preceded(literal(word), dec_uint::<_, u64, ()>).parse(text).ok();
    if text == b"TAKEN" {
        Some(FromHost::Taken)
    } else {
        number("RENEW ").map(FromHost::Renew).or_else(|| number("SAVED ").map(FromHost::Saved))
    }
}

fn strip(line: &[u8]) -> Option<&[u8]> {
    let line = line.strip_suffix(b"\n")?;
    Some(line.strip_suffix(b"\r").unwrap_or(line))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_about_the_session_are_told_from_those_that_pass() {
        let save = |n, name: &str, value: &[u8]| {
            Some(FromClient::Save(Field { name: name.into(), n, value: value.into() }))
        };
        assert_eq!(from_client(b"SAVE 7 owner=Noi = me\r\n"), save(7, "owner", b"Noi = me"));
        assert_eq!(from_client(b"SAVE 8 empty=\r\n"), save(8, "empty", b""));
        assert_eq!(from_client(b"HAVE\r\n"), Some(FromClient::Have));
        for line in
            [&b"SAVE\r\n"[..], b"SAVE x a=b\r\n", b"SAVE 1 a\r\n", b"SAVE 1 =b\r\n", b"M 1\r\n", b"HAVE"]
        {
            assert_eq!(from_client(line), None, "{}", line.escape_ascii());
        }
        assert_eq!(from_host(b"RENEW 12\r\n"), Some(FromHost::Renew(12)));
        assert_eq!(from_host(b"SAVED 3\n"), Some(FromHost::Saved(3)));
        assert_eq!(from_host(b"TAKEN\r\n"), Some(FromHost::Taken));
        for line in [
            &b"RENEW\r\n"[..],
            b"RENEW -1\r\n",
            b"SAVED 1 2\r\n",
            b"UP 1\r\n",
            b"SAVED 18446744073709551616\r\n",
        ] {
            assert_eq!(from_host(line), None, "{}", line.escape_ascii());
        }
    }
}
