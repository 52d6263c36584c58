//! What `LOAD X` means. Where form hosts tell the load of a connection and how long messages take there,
//! they have one word for both: which of them a line is shows by its figure and by when it comes.
//!
//! A load is told as soon as a connection stands and when it changes, in microseconds of work a second:
//! thousands, seldom under one. A delay is told once a second while it is over a third of the shortest aim,
//! and once more when it is back under: tens to some thousands of milliseconds, falling to less than
//! that third at the end.

use crate::io::clock::Millis;

/// More than this, in ms, is no delay: a host drops connections before so much is piled up.
const MOST_DELAY_MS: f64 = 5_000.0;
/// A first figure within so many ms after a connection stands is its load.
const FIRST_MS: Millis = 200.0;
/// Delays are told so many ms apart, give or take some.
const APART_MS: Millis = 1_000.0;
const GIVE_MS: Millis = 6.0;
/// A load that falls to less than this part of what it was would be no usual change.
const FALL: f64 = 1.0 / 6.0;
/// A first figure that comes late is a load if it is more than this.
const LIKELY_LOAD: f64 = 3_000.0;

/// What is known when a line comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// Now.
    pub now: Millis,
    /// When the connection began to stand.
    pub stood_at: Millis,
    /// Its load as told before; 0 if none was.
    pub load: f64,
    /// When the form host last told a delay, or what may be one, on any connection.
    pub delay_at: Option<Millis>,
    /// Delays over this are told, in ms.
    pub bound: Millis,
}

/// What a figure is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// A load, in microseconds of work a second.
    Load,
    /// A delay, in ms.
    Delay,
    /// It may be the first delay or a small load: taken for neither, until another comes when a delay
    /// would. Read for a delay, small loads made sound hosts look hot (real sockets: 0.84 -> 0.40).
    Perhaps,
}

/// What `LOAD X` means.
#[must_use]
pub fn meaning(x: f64, seen: &Seen) -> Meaning {
    if x > MOST_DELAY_MS {
        return Meaning::Load;
    }
    let due = |at: Millis| (seen.now - at - APART_MS).abs() < GIVE_MS;
    if seen.delay_at.is_some_and(due) {
        return Meaning::Delay;
    }
    let small = if seen.load > 0.0 {
        x < seen.load * FALL
    } else {
        seen.now - seen.stood_at > FIRST_MS && x < LIKELY_LOAD
    };
    if small || x < seen.bound { Meaning::Perhaps } else { Meaning::Load }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SEEN: Seen = Seen { now: 10_000.0, stood_at: 2_000.0, load: 17_000.0, delay_at: None, bound: 20.0 };

    #[test]
    fn a_figure_far_under_the_load_told_before_may_be_a_delay() {
        assert_eq!(meaning(42.6, &SEEN), Meaning::Perhaps);
        assert_eq!(meaning(1_420.0, &SEEN), Meaning::Perhaps);
        assert_eq!(meaning(6_900.0, &SEEN), Meaning::Load);
        assert_eq!(meaning(180_947.2, &SEEN), Meaning::Load);
        assert_eq!(meaning(400.0, &Seen { load: 566.0, ..SEEN }), Meaning::Load);
        assert_eq!(meaning(11.5, &Seen { load: 30.0, ..SEEN }), Meaning::Perhaps);
    }

    #[test]
    fn a_second_after_the_last_comes_the_next_delay_on_whichever_connection() {
        let small = Seen { load: 900.0, ..SEEN };
        assert_eq!(meaning(482.7, &small), Meaning::Load);
        assert_eq!(meaning(482.7, &Seen { delay_at: Some(8_999.0), ..small }), Meaning::Delay);
        assert_eq!(meaning(482.7, &Seen { delay_at: Some(9_400.0), ..small }), Meaning::Load);
        assert_eq!(meaning(20_000.0, &Seen { delay_at: Some(9_000.0), ..small }), Meaning::Load);
    }

    #[test]
    fn the_first_figure_of_a_connection_is_its_load_unless_it_comes_late_and_is_small() {
        let fresh = Seen { load: 0.0, stood_at: 9_990.0, ..SEEN };
        assert_eq!(meaning(303.4, &fresh), Meaning::Load);
        assert_eq!(meaning(516.0, &Seen { stood_at: 9_000.0, ..fresh }), Meaning::Perhaps);
        assert_eq!(meaning(6_980.0, &Seen { stood_at: 9_000.0, ..fresh }), Meaning::Load);
    }
}
