//! What a process that has just started may do with a list of hosts that may be old.
//!
//! A list that was kept on disk tells where hosts were, not whether they still are: one that is gone costs each
//! request that is sent there an attempt, and one that was replaced under the same address is cold. So hosts of a
//! list that is older than it may be are in *doubt*: each is asked first whether it is there, a few at a time and in an
//! order of this balancer's own, so that all balancers of a fleet that starts together do not ask the same one. One
//! that answers is let in; one that does not is asked again after growing pauses. Hosts that were draining or gone stay out until discovery says otherwise. Word of
//! discovery itself ends all doubt: a whole list, or what has changed since the one in hand.
//!
//! No I/O and no clock: time is an argument. In this order: [`Recovery::new`], [`Recovery::begin`] once, then
//! [`Recovery::handle`] with each event, and again with [`Event::Due`] when [`Recovery::due`] says.
//!
//! ```
//! use marllink_recovery::{Command, Event, Limits, Recovery};
//!
//! let mut recovery = Recovery::new(Limits::default(), 7, 0.0);
//! let mut out = Vec::new();
//! // A list of three days ago, with one host that serves.
//! recovery.begin(0.0, Some(259_200_000.0), vec!["s-1"], &mut out);
//! assert!(out.contains(&Command::Ask("s-1")));
//! out.clear();
//! recovery.handle(2.0, Event::Answered { host: "s-1", there: true }, &mut out);
//! assert!(out.contains(&Command::Admit("s-1")));
//! ```

use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};

/// Milliseconds, as a point on the caller's monotonic clock or as a span.
pub type Millis = f64;

/// How a list is trusted, and how hosts are asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// A list younger than this is taken as it is, in ms: within it discovery would not have told of a change
    /// either.
    pub trusted_ms: Millis,
    /// Hosts asked at once at most.
    pub at_once: usize,
    /// An answer is waited for so long, in ms.
    pub patience_ms: Millis,
    /// One that did not answer is asked again after this, doubled each time up to sixteen times it.
    pub again_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self { trusted_ms: 10_000.0, at_once: 4, patience_ms: 500.0, again_ms: 1_000.0 }
    }
}

/// How far a process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has no list. Ends with one.
    Blind,
    /// It has a list that may be old. Ends when discovery has told, or all hosts have been asked.
    Doubting,
    /// It has a list that is good. Ends once a connection stands.
    Listed,
    /// It serves.
    Serving,
}

impl Phase {
    /// Its name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Blind => "blind",
            Self::Doubting => "doubting",
            Self::Listed => "listed",
            Self::Serving => "serving",
        }
    }
}

/// What happens to the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<H> {
    /// A host that was asked has answered, or it is known that it is not there.
    Answered {
        /// Which.
        host: H,
        /// It is there.
        there: bool,
    },
    /// Discovery has told its list.
    Listed,
    /// A connection stands.
    Served,
    /// The time that [`Recovery::due`] told has come.
    Due,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command<H> {
    /// Connections may go to this host, as it is listed.
    Admit(H),
    /// Ask this host whether it is there.
    Ask(H),
    /// Another phase has begun.
    Phase(Phase),
}

#[derive(Clone, Debug)]
enum State {
    Waits { from: Millis },
    Asked { until: Millis },
    In,
}

/// The start of one process.
#[derive(Clone, Debug)]
pub struct Recovery<H> {
    limits: Limits,
    rng: Xoshiro256PlusPlus,
    phase: Phase,
    since: Millis,
    spent: Vec<(Phase, Millis)>,
    hosts: Vec<(H, State, u32)>,
}

impl<H: Copy + PartialEq> Recovery<H> {
    /// A process that knows nothing. `seed` should differ between balancers and starts.
    #[must_use]
    pub fn new(limits: Limits, seed: u64, now: Millis) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self { limits, rng, phase: Phase::Blind, since: now, spent: Vec::new(), hosts: Vec::new() }
    }

    /// Begins with the hosts that served by a list of this age, in ms; of no age if nobody knows when it was
    /// made, which is as good as new: the platform hands such a list over at the start.
    pub fn begin(&mut self, now: Millis, age_ms: Option<Millis>, hosts: Vec<H>, out: &mut Vec<Command<H>>) {
        if hosts.is_empty() {
            return;
        }
        // A clock that was set back makes a list of tomorrow: nobody knows how old that is.
        let trusted = age_ms.is_none_or(|age| (0.0..=self.limits.trusted_ms).contains(&age));
        if trusted {
            out.extend(hosts.into_iter().map(|host| Command::Admit(host)));
            self.enter(now, Phase::Listed, out);
            return;
        }
        self.hosts = hosts.into_iter().map(|host| (host, State::Waits { from: now }, 0)).collect();
        for at in (1..self.hosts.len()).rev() {
            let other = (self.rng.next_u64() % (at as u64 + 1)) as usize;
            self.hosts.swap(at, other);
        }
        self.enter(now, Phase::Doubting, out);
        self.ask(now, out);
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Millis, event: Event<H>, out: &mut Vec<Command<H>>) {
        match event {
            Event::Listed => {
                // What it has not changed is as it was.
                let doubted = self.hosts.drain(..).filter(|h| !matches!(h.1, State::In));
                out.extend(doubted.map(|h| Command::Admit(h.0)));
                self.enter(now, Phase::Listed, out);
            }
            Event::Served if self.phase == Phase::Listed => self.enter(now, Phase::Serving, out),
            Event::Answered { host, there } => {
                let Some((_, state, _)) = self.hosts.iter_mut().find(|h| h.0 == host) else { return };
                if !matches!(state, State::Asked { .. }) {
                    return;
                }
                if there {
                    *state = State::In;
                    out.push(Command::Admit(host));
                } else {
                    self.missed(now, host);
                }
                if self.hosts.iter().all(|h| matches!(h.1, State::In)) {
                    self.enter(now, Phase::Listed, out);
                }
            }
            Event::Due | Event::Served => {}
        }
        let late = |h: &&(H, State, u32)| matches!(h.1, State::Asked { until } if until <= now);
        let late: Vec<_> = self.hosts.iter().filter(late).map(|h| h.0).collect();
        late.into_iter().for_each(|host| self.missed(now, host));
        self.ask(now, out);
    }

    fn missed(&mut self, now: Millis, host: H) {
        let spread = 0.5 + (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        if let Some((_, state, misses)) = self.hosts.iter_mut().find(|h| h.0 == host) {
            let pause = self.limits.again_ms * f64::from(1u32 << (*misses).min(4));
            *misses += 1;
            *state = State::Waits { from: now + pause * spread };
        }
    }

    fn ask(&mut self, now: Millis, out: &mut Vec<Command<H>>) {
        let mut asked = self.hosts.iter().filter(|h| matches!(h.1, State::Asked { .. })).count();
        for (host, state, _) in &mut self.hosts {
            if asked < self.limits.at_once && matches!(state, State::Waits { from } if *from <= now) {
                *state = State::Asked { until: now + self.limits.patience_ms };
                out.push(Command::Ask(*host));
                asked += 1;
            }
        }
    }

    fn enter(&mut self, now: Millis, phase: Phase, out: &mut Vec<Command<H>>) {
        // No way leads back: what is learnt later is the decisions' own matter.
        if phase > self.phase {
            self.spent.push((self.phase, now - self.since));
            (self.phase, self.since) = (phase, now);
            out.push(Command::Phase(phase));
        }
    }

    /// When [`Event::Due`] is to be fed; `None` if there is nothing to wait for.
    #[must_use]
    pub fn due(&self) -> Option<Millis> {
        let full =
            self.hosts.iter().filter(|h| matches!(h.1, State::Asked { .. })).count() >= self.limits.at_once;
        let times = self.hosts.iter().filter_map(|(_, state, _)| match state {
            State::Asked { until } => Some(*until),
            State::Waits { from } if !full => Some(*from),
            State::Waits { .. } | State::In => None,
        });
        times.min_by(f64::total_cmp)
    }

    /// How far it has come.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The phases that are over, and how long each took, in ms.
    #[must_use]
    pub fn spent(&self) -> &[(Phase, Millis)] {
        &self.spent
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DAYS: Millis = 3.0 * 86_400_000.0;

    fn begun(age: Option<Millis>, hosts: u32, seed: u64) -> (Recovery<u32>, Vec<Command<u32>>) {
        let (mut recovery, mut out) = (Recovery::new(Limits::default(), seed, 0.0), Vec::new());
        recovery.begin(0.0, age, (0..hosts).collect(), &mut out);
        (recovery, out)
    }

    fn asked(out: &[Command<u32>]) -> Vec<u32> {
        out.iter().filter_map(|c| if let Command::Ask(host) = c { Some(*host) } else { None }).collect()
    }

    #[test]
    fn a_young_list_is_taken_and_an_old_one_admits_nobody_unasked() {
        for age in [None, Some(0.0), Some(10_000.0)] {
            let (recovery, out) = begun(age, 5, 1);
            assert_eq!(out.iter().filter(|c| matches!(c, Command::Admit(_))).count(), 5);
            assert_eq!(recovery.phase(), Phase::Listed);
        }
        // A clock that was set back makes nothing young.
        for age in [Some(10_001.0), Some(DAYS), Some(-1.0), Some(f64::NAN)] {
            let (recovery, out) = begun(age, 5, 1);
            assert!(!out.iter().any(|c| matches!(c, Command::Admit(_))), "{age:?}");
            assert_eq!((asked(&out).len(), recovery.phase()), (4, Phase::Doubting));
        }
        let (recovery, out) = begun(Some(DAYS), 0, 1);
        assert!(out.is_empty() && recovery.phase() == Phase::Blind);
    }

    #[test]
    fn who_answers_is_let_in_and_who_does_not_is_asked_again_with_growing_pauses() {
        let (mut recovery, out) = begun(Some(DAYS), 1, 3);
        assert_eq!(asked(&out), [0]);
        let mut pauses = Vec::new();
        let mut now = 0.0;
        for _ in 0..7 {
            let (from, mut out) = (now, Vec::new());
            while asked(&out).is_empty() {
                now = recovery.due().expect("it goes on asking");
                recovery.handle(now, Event::Due, &mut out);
            }
            pauses.push(now - from - 500.0);
        }
        assert!(
            pauses
                .iter()
                .zip([1e3, 2e3, 4e3, 8e3, 16e3, 16e3, 16e3])
                .all(|(p, w)| { (0.5 * w..=1.5 * w).contains(p) }),
            "{pauses:?}"
        );
        let mut out = Vec::new();
        recovery.handle(now, Event::Answered { host: 0, there: true }, &mut out);
        assert_eq!(out, [Command::Admit(0), Command::Phase(Phase::Listed)]);
        recovery.handle(now, Event::Served, &mut out);
        assert_eq!((recovery.phase(), recovery.due()), (Phase::Serving, None));
        assert!((recovery.spent().iter().map(|s| s.1).sum::<f64>() - now).abs() < 1e-9);
    }

    #[test]
    fn an_answer_that_comes_after_its_time_admits_nobody_until_the_host_is_asked_again() {
        let (mut recovery, _) = begun(Some(DAYS), 1, 3);
        let mut out = Vec::new();
        recovery.handle(500.0, Event::Due, &mut out);
        recovery.handle(501.0, Event::Answered { host: 0, there: true }, &mut out);
        recovery.handle(501.0, Event::Answered { host: 9, there: true }, &mut out);
        assert!(out.is_empty(), "{out:?}");
    }

    #[test]
    fn the_list_ends_all_doubt() {
        let (mut recovery, _) = begun(Some(DAYS), 40, 3);
        let mut out = Vec::new();
        recovery.handle(80.0, Event::Listed, &mut out);
        recovery.handle(90.0, Event::Answered { host: 3, there: true }, &mut out);
        assert_eq!(out.iter().filter(|c| matches!(c, Command::Admit(_))).count(), 40);
        assert_eq!((out.len(), out.last()), (41, Some(&Command::Phase(Phase::Listed))));
        assert_eq!(recovery.due(), None);
    }

    /// Balancers that start together, each with this list: questions that one host gets in the worst 100 ms.
    fn worst(balancers: u64, hosts: u32) -> usize {
        let mut at = std::collections::BTreeMap::<(u32, u64), usize>::new();
        for seed in 0..balancers {
            let (mut recovery, mut out) = begun(Some(DAYS), hosts, seed);
            let mut now = 0.0;
            while recovery.phase() == Phase::Doubting {
                let asked = asked(&out);
                out.clear();
                asked.iter().for_each(|h| *at.entry((*h, (now / 100.0) as u64)).or_default() += 1);
                // Each answers after 5 ms.
                now += 5.0;
                for host in asked {
                    recovery.handle(now, Event::Answered { host, there: true }, &mut out);
                }
            }
        }
        at.into_values().max().unwrap_or_default()
    }

    #[test]
    fn a_fleet_that_starts_together_asks_each_host_once_by_each_and_not_all_the_same_one_first() {
        for balancers in [12, 100, 300, 1_000] {
            let worst = worst(balancers, 300);
            // Four at once take 5 ms, so 80 of 300 in the worst 100 ms, were they all alike.
            let even = balancers as f64 * 80.0 / 300.0;
            assert!((worst as f64) < even + 5.0 * even.sqrt() + 3.0, "{balancers}: {worst} of {even:.0}");
        }
    }
}
