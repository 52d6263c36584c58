//! The fault plan: which calls fail, and how.
//!
//! `MARLLINK_FAULTS` contains rules separated by `;`, each of the form `CALL=FAULT[@WHERE][#FROM[-TO]][%ONE_IN]`:
//!
//! - `CALL` is the name of a function, such as `connect` or `recv`.
//! - `FAULT` is the name of an error (`ENOBUFS`), `SHORT` to transfer at most one byte, or `STEP:MS` for a wall clock
//!   that is off by this number of milliseconds. `END`, `WHOLE`, `TWICE` and `HOLD:MS` do not occur on a real system:
//!   they make a correct program behave like one with a specific bug, to verify that a test harness detects it. `END`
//!   reports the end of the stream to a read, `WHOLE` writes one byte and reports all as written, `TWICE` writes the
//!   data twice, and `HOLD:MS` delays the call.
//! - `@WHERE` limits the rule to sockets with this port at either end, or to files whose path ends with this text.
//! - `#FROM-TO` limits the rule to this range of the matching calls, counted from 1; `#FROM-` has no upper bound.
//! - `%ONE_IN` injects the fault into one of this number of calls on average, chosen with `MARLLINK_FAULT_SEED`.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// A fault to inject into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this error number.
    Error(i32),
    /// The call transfers at most one byte.
    Short,
    /// The clock is off by this number of milliseconds.
    Step(i64),
    /// A read returns the end of the stream.
    End,
    /// A write transfers one byte and reports all bytes as written.
    FalseSuccess,
    /// A write transfers its data twice.
    Twice,
    /// The call is delayed by this number of milliseconds.
    Delay(u32),
}

/// A fault and the calls to which it applies.
pub struct Rule {
    call: String,
    /// The fault as written in the plan, for the report.
    pub fault_text: String,
    /// The fault to inject.
    pub fault: Fault,
    location: Option<String>,
    first: u64,
    last: u64,
    one_in: u64,
    match_count: AtomicU64,
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
        let (fault_text, location) = match rest.split_once('@') {
            Some((fault_text, location)) => (fault_text, Some(location.to_owned())),
            None => (rest, None),
        };
        let fault = parse_fault(fault_text)?;
        let (call, fault_text) = (call.to_owned(), fault_text.to_owned());
        Some(Self { call, fault_text, fault, location, first, last, one_in, match_count: AtomicU64::new(0) })
    }

    /// Counts a matching call and returns whether the fault applies to it.
    fn applies_to_next(&self) -> bool {
        let nth = self.match_count.fetch_add(1, Ordering::Relaxed) + 1;
        let in_range = (self.first..=self.last).contains(&nth);
        in_range && (self.one_in <= 1 || mix(nth ^ seed()) % self.one_in == 0)
    }
}

fn parse_range(text: &str) -> Option<(u64, u64)> {
    match text.split_once('-') {
        None => text.parse().ok().map(|only| (only, only)),
        Some((from, "")) => Some((from.parse().ok()?, u64::MAX)),
        Some((from, to)) => Some((from.parse().ok()?, to.parse().ok()?)),
    }
}

fn parse_fault(text: &str) -> Option<Fault> {
    if let Some(ms) = text.strip_prefix("STEP:") {
        return ms.parse().ok().map(Fault::Step);
    }
    if let Some(ms) = text.strip_prefix("HOLD:") {
        return ms.parse().ok().map(Fault::Delay);
    }
    let error_number = match text {
        "SHORT" => return Some(Fault::Short),
        "END" => return Some(Fault::End),
        "WHOLE" => return Some(Fault::FalseSuccess),
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
    Some(Fault::Error(error_number))
}

fn seed() -> u64 {
    static SEED: OnceLock<u64> = OnceLock::new();
    *SEED.get_or_init(|| {
        let text = std::env::var("MARLLINK_FAULT_SEED").unwrap_or_default();
        mix(text.parse().unwrap_or(1))
    })
}

/// The finalizer of SplitMix64, which maps consecutive numbers to unrelated ones.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn rules() -> &'static [Rule] {
    static RULES: OnceLock<Vec<Rule>> = OnceLock::new();
    RULES.get_or_init(|| {
        let text = std::env::var("MARLLINK_FAULTS").unwrap_or_default();
        let rule_texts = text.split(';').filter(|rule_text| !rule_text.is_empty());
        // Panics on an invalid rule: if it were ignored, a test would take it for a fault that did not occur.
        rule_texts
            .map(|rule_text| {
                Rule::parse(rule_text)
                    .unwrap_or_else(|| panic!("invalid rule in MARLLINK_FAULTS: {rule_text}"))
            })
            .collect()
    })
}

/// The object on which a call operates.
#[derive(Clone, Debug)]
pub enum Target {
    /// A TCP socket with its local and remote ports; 0 for an end without a port.
    Socket([u16; 2]),
    /// A file with this path.
    File(String),
    /// An object that has no location which a rule could name.
    Other,
}

impl Target {
    fn is_at(&self, location: &str) -> bool {
        match self {
            Self::Socket(ports) => ports.iter().any(|port| location.parse() == Ok(*port)),
            Self::File(path) => path.ends_with(location),
            Self::Other => false,
        }
    }
}

/// Returns the rule that applies to this call, if there is one. `target` returns the object of the call, or `None` if
/// the call is exempt from faults; it is evaluated only if the plan has a rule for the function.
pub fn find_rule(call: &str, target: impl Fn() -> Option<Target>) -> Option<&'static Rule> {
    let mut candidates = rules().iter().filter(|rule| rule.call == call).peekable();
    candidates.peek()?;
    let target = target()?;
    candidates.find(|rule| {
        rule.location.as_ref().is_none_or(|location| target.is_at(location)) && rule.applies_to_next()
    })
}
