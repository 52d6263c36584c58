//! Which calls are to fail, and how.
//!
//! `MARLLINK_FAULTS` holds rules that `;` separates, each of the form `CALL=FAULT[@WHERE][#FROM[-TO]][%ONE_IN]`:
//!
//! - `CALL` is a function's name, such as `connect` or `recv`.
//! - `FAULT` is the name of an error (`ENOBUFS`), `SHORT` for one byte at most, or `STEP:MS` for a
//!   wall clock that is off by so many milliseconds. `END`, `WHOLE`, `TWICE` and `HOLD:MS` are no faults that
//!   a system has: with them a sound program does what one with a certain bug would do, so that a judge can
//!   be tested. They read as if the peer had ended, tell that all was written after one byte, write all twice,
//!   and hold the program up.
//! - `@WHERE` limits the rule to sockets of which one end has this port, or to files whose path ends so.
//! - `#FROM-TO` limits it to these calls among those that match, counted from 1; `#FROM-` has no end.
//! - `%ONE_IN` has it fire at one in so many of them, chosen by `MARLLINK_FAULT_SEED`.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// A way for a call to go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this error number.
    Error(i32),
    /// It handles one byte at most.
    Short,
    /// The clock is off by so many milliseconds.
    Step(i64),
    /// A read finds the end of the stream.
    End,
    /// A write handles one byte and tells that it has handled all.
    Whole,
    /// A write is made twice.
    Twice,
    /// The program is held up for so many milliseconds before the call.
    Hold(u32),
}

/// A fault and the calls that it is meant for.
pub struct Rule {
    call: String,
    /// As the plan names it, for the report.
    pub name: String,
    /// What is to happen.
    pub fault: Fault,
    place: Option<String>,
    first: u64,
    last: u64,
    one_in: u64,
    seen: AtomicU64,
}

impl Rule {
    fn parse(text: &str) -> Option<Self> {
        let (call, rest) = text.split_once('=')?;
        let (rest, one_in) = match rest.split_once('%') {
            Some((rest, one_in)) => (rest, one_in.parse().ok()?),
            None => (rest, 1),
        };
        let (rest, (first, last)) = match rest.split_once('#') {
            Some((rest, range)) => (rest, parse_range(range)?),
            None => (rest, (1, u64::MAX)),
        };
        let (name, place) = match rest.split_once('@') {
            Some((name, place)) => (name, Some(place.to_owned())),
            None => (rest, None),
        };
        let fault = parse_fault(name)?;
        let (call, name) = (call.to_owned(), name.to_owned());
        Some(Self { call, name, fault, place, first, last, one_in, seen: AtomicU64::new(0) })
    }

    /// Counts a call that matches and tells whether the fault fires at it.
    fn fires(&self) -> bool {
        let nth = self.seen.fetch_add(1, Ordering::Relaxed) + 1;
        let in_range = (self.first..=self.last).contains(&nth);
        in_range && (self.one_in <= 1 || scramble(nth ^ seed()) % self.one_in == 0)
    }
}

fn parse_range(text: &str) -> Option<(u64, u64)> {
    match text.split_once('-') {
        None => text.parse().ok().map(|only| (only, only)),
        Some((from, "")) => Some((from.parse().ok()?, u64::MAX)),
        Some((from, to)) => Some((from.parse().ok()?, to.parse().ok()?)),
    }
}

fn parse_fault(name: &str) -> Option<Fault> {
    if let Some(ms) = name.strip_prefix("STEP:") {
        return ms.parse().ok().map(Fault::Step);
    }
    if let Some(ms) = name.strip_prefix("HOLD:") {
        return ms.parse().ok().map(Fault::Hold);
    }
    let number = match name {
        "SHORT" => return Some(Fault::Short),
        "END" => return Some(Fault::End),
        "WHOLE" => return Some(Fault::Whole),
        "TWICE" => return Some(Fault::Twice),
        "EADDRINUSE" => libc::EADDRINUSE,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "EAGAIN" => libc::EAGAIN,
        "ECONNABORTED" => libc::ECONNABORTED,
        "ECONNREFUSED" => libc::ECONNREFUSED,
        "ECONNRESET" => libc::ECONNRESET,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "EINTR" => libc::EINTR,
        "EIO" => libc::EIO,
        "EMFILE" => libc::EMFILE,
        "ENETUNREACH" => libc::ENETUNREACH,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "ENOSPC" => libc::ENOSPC,
        "EPERM" => libc::EPERM,
        "EPIPE" => libc::EPIPE,
        "EPROTO" => libc::EPROTO,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        _ => return None,
    };
    Some(Fault::Error(number))
}

fn seed() -> u64 {
    static SEED: OnceLock<u64> = OnceLock::new();
    *SEED.get_or_init(|| {
        let text = std::env::var("MARLLINK_FAULT_SEED").unwrap_or_default();
        scramble(text.parse().unwrap_or(1))
    })
}

/// The finalizer of SplitMix64: neighbouring numbers give unrelated ones.
fn scramble(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn rules() -> &'static [Rule] {
    static RULES: OnceLock<Vec<Rule>> = OnceLock::new();
    RULES.get_or_init(|| {
        let text = std::env::var("MARLLINK_FAULTS").unwrap_or_default();
        let parts = text.split(';').filter(|part| !part.is_empty());
        // A plan that is wrong must not pass for one that never fired.
        parts.map(|part| Rule::parse(part).unwrap_or_else(|| panic!("not a fault: {part}"))).collect()
    })
}

/// What a call is made for.
#[derive(Clone, Debug)]
pub enum Subject {
    /// A TCP socket with these ports at its two ends; 0 for an end that it does not have.
    Socket([u16; 2]),
    /// A file at this path.
    File(String),
    /// Something that no rule names.
    Other,
}

impl Subject {
    fn is_at(&self, place: &str) -> bool {
        match self {
            Self::Socket(ports) => ports.iter().any(|port| place.parse() == Ok(*port)),
            Self::File(path) => path.ends_with(place),
            Self::Other => false,
        }
    }
}

/// The rule that fires at this call, if one does. `subject` gives what the call is made for, or `None`
/// where it is not meant at all; it is asked only where there is a rule for such calls.
pub fn fault(call: &str, subject: impl Fn() -> Option<Subject>) -> Option<&'static Rule> {
    let mut meant = rules().iter().filter(|rule| rule.call == call).peekable();
    meant.peek()?;
    let subject = subject()?;
    meant.find(|rule| rule.place.as_ref().is_none_or(|place| subject.is_at(place)) && rule.fires())
}
