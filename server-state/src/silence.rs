//! Which hosts have fallen silent: a machine that has vanished, or is cut off, says nothing.
//!
//! Its connections stay open, lines on them get no answer, and new connections never come up. None of
//! these tells enough alone: a host with too much to do answers late, and a first packet may get lost.
//! Two of a different kind within a short time do, and the first one is a reason to ask.

use crate::Millis;
use rustc_hash::FxHashMap;
use std::hash::Hash;

/// A sign holds for so many ms: clients send a line every 2 s, and a sound connection answers at once.
const HOLDS_MS: Millis = 2_000.0;

/// What speaks for a host being silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A line on an own connection has waited for an answer for far longer than it may take.
    Unanswered,
    /// A connection to it did not come up within the time for that, and was not refused either.
    NoConnection,
    /// Another host beside it was found silent: machines are seldom lost or cut off alone.
    Neighbour,
}

/// What a sign tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The host is silent. Said once, and again only for new signs.
    Silent,
    /// It may be: asking it would tell.
    Doubtful,
    /// Nothing new.
    Nothing,
}

/// The signs of silence of each host. Say [`Silence::note`] for each sign and [`Silence::heard`] when a
/// host has said something.
#[derive(Clone, Debug)]
pub struct Silence<H> {
    /// When each kind of sign was last seen: those of lines or neighbours, and of connections.
    signs: FxHashMap<H, [Option<Millis>; 2]>,
}

impl<H> Default for Silence<H> {
    fn default() -> Self {
        Self { signs: FxHashMap::default() }
    }
}

impl<H: Copy + Eq + Hash> Silence<H> {
    /// Takes a sign seen at `now`.
    pub fn note(&mut self, now: Millis, host: H, sign: Sign) -> Verdict {
        let signs = self.signs.entry(host).or_default();
        let kind = usize::from(sign == Sign::NoConnection);
        let holds = |at: Option<Millis>| at.is_some_and(|at| now - at <= HOLDS_MS);
        if holds(signs[1 - kind]) {
            self.signs.remove(&host);
            return Verdict::Silent;
        }
        // A line that goes on waiting is no new sign: the host would be asked again and again.
        let known = holds(signs[kind]);
        if !known {
            signs[kind] = Some(now);
        }
        if known || sign == Sign::NoConnection { Verdict::Nothing } else { Verdict::Doubtful }
    }

    /// A host has said something, or is gone: what spoke for its silence is void.
    pub fn heard(&mut self, host: H) {
        self.signs.remove(&host);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_without_an_answer_is_a_doubt_and_a_connection_that_does_not_come_up_settles_it() {
        let mut silence = Silence::default();
        assert_eq!(silence.note(0.0, "a", Sign::Unanswered), Verdict::Doubtful);
        assert_eq!(silence.note(100.0, "a", Sign::Unanswered), Verdict::Nothing, "asked already");
        assert_eq!(silence.note(150.0, "b", Sign::NoConnection), Verdict::Nothing, "nobody waits there");
        assert_eq!(silence.note(200.0, "a", Sign::NoConnection), Verdict::Silent);
        assert_eq!(silence.note(210.0, "a", Sign::NoConnection), Verdict::Nothing, "said once");
        assert_eq!(silence.note(220.0, "b", Sign::Neighbour), Verdict::Silent, "in whichever order");
    }

    #[test]
    fn signs_of_one_kind_or_long_apart_or_before_a_word_say_nothing() {
        let mut silence = Silence::default();
        silence.note(0.0, 1, Sign::Unanswered);
        assert_eq!(silence.note(10.0, 1, Sign::Neighbour), Verdict::Nothing);
        assert_eq!(silence.note(2_100.0, 1, Sign::NoConnection), Verdict::Nothing, "too long ago");
        silence.heard(1);
        assert_eq!(silence.note(2_200.0, 1, Sign::Unanswered), Verdict::Doubtful, "it has said something");
        assert_eq!(silence.note(4_300.0, 1, Sign::Unanswered), Verdict::Doubtful, "and must be asked anew");
    }
}
