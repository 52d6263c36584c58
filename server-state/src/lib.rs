//! What is known of hosts, how old it is, and whom to ask when a pick is due.
//!
//! Where a balancer places a connection every few seconds, a report that was asked for on a clock is
//! old by the time it is needed. So a pick that is due names the hosts it was drawn, those of whom
//! too little is known are asked, and the pick goes on once they have answered or its patience ends.
//! An answer serves a bounded number of picks and for a bounded time: the probe pool of Prequal
//! (Wydrowski et al., NSDI 2024), in its synchronous mode where picks are rare.
//!
//! No I/O and no clock: [`Knowledge::handle`] takes events with the time they happened at and appends
//! commands. Generic over how hosts are named, so that it knows nothing of who decides.
//!
//! ```
//! use marllink_server_state::{Command, Event, Knowledge, Settings};
//!
//! let mut knowledge = Knowledge::new(Settings::default());
//! let mut out = Vec::new();
//! knowledge.handle(0.0, Event::Wanted { pick: 1, hosts: vec!["a", "b"] }, &mut out);
//! assert_eq!(out[..2], [Command::Ask("a"), Command::Ask("b")]);
//! out.clear();
//! knowledge.handle(3.0, Event::Answered { host: "a", report: Some(0.4) }, &mut out);
//! knowledge.handle(4.0, Event::Answered { host: "b", report: None }, &mut out);
//! assert_eq!(out, [Command::Go(1)]);
//! assert_eq!(knowledge.known(4.0, "a"), Some(&0.4));
//! ```

mod carrying;
mod silence;

pub use carrying::{Carrying, Held};
pub use silence::{Sign, Silence, Verdict};

use rustc_hash::FxHashMap;
use std::hash::Hash;

/// Milliseconds, as a point on the caller's monotonic clock or as a span.
pub type Millis = f64;

/// How much is asked, and how long for what.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// An answer younger than this, in ms, spares a question ...
    pub fresh_ms: Millis,
    /// ... unless it has served so many picks: each of them has made it less true.
    pub most_uses: u32,
    /// An answer says nothing any more after so many ms.
    pub forget_ms: Millis,
    /// A pick waits for so many ms at most.
    pub patience_ms: Millis,
    /// A question without an answer is given up after so many ms.
    pub lost_ms: Millis,
    /// Questions out at once, over all hosts.
    pub most_out: usize,
    /// A host that has not answered is not asked again for so many ms.
    pub mute_ms: Millis,
    /// A review asks hosts of whom nothing is known that is younger than so many ms ...
    pub review_ms: Millis,
    /// ... so many at a time: the first answers would else come all at once ...
    pub reviewed: usize,
    /// ... as far as that has been paid for, so much each time ...
    pub paid: f64,
    /// ... of which so much is saved up.
    pub most_paid: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fresh_ms: 700.0,
            most_uses: 3,
            forget_ms: 5_000.0,
            patience_ms: 80.0,
            lost_ms: 1_500.0,
            most_out: 64,
            mute_ms: 2_000.0,
            review_ms: 1_200.0,
            reviewed: 2,
            paid: 0.6,
            most_paid: 8.0,
        }
    }
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<H, R> {
    /// A pick is due among these hosts. Its number must not be that of a pick still waiting.
    Wanted {
        /// By this number it is told to go on.
        pick: u64,
        /// Those drawn.
        hosts: Vec<H>,
    },
    /// A host was asked and has answered, or `None` if that failed.
    Answered {
        /// Which.
        host: H,
        /// What it said.
        report: Option<R>,
    },
    /// A pick has used what is known of a host.
    Used(H),
    /// A pick that waits is not wanted any more.
    Withdrawn(u64),
    /// Something has come about that pays for questions of a review: a set-up, say. So what is asked
    /// over a fleet grows with what it does and not with its size.
    Paid,
    /// These hosts matter though no pick is due: those that hold own connections, say.
    Review(Vec<H>),
    /// Something speaks against this host: it is asked if that tells more than is known, without being paid.
    Doubted(H),
    /// A host is gone: nothing is known of it, and nobody waits for it any longer than until the next
    /// answer or [`Event::Due`]. Gives no command.
    Gone(H),
    /// Time has passed; to come at [`Knowledge::due`] or somewhat later.
    Due,
}

/// Something to be done, in the order written.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<H> {
    /// Ask this host for its load; [`Event::Answered`] is to follow, sooner or later or never.
    Ask(H),
    /// This pick goes on with what is known.
    Go(u64),
}

#[derive(Clone, Debug)]
struct Host<R> {
    /// What it last said, and when.
    told: Option<(Millis, R)>,
    uses: u32,
    /// When it was asked, if it has not answered yet.
    asked_at: Option<Millis>,
    /// It is not asked before that.
    mute_until: Millis,
}

#[derive(Clone, Debug)]
struct Waiting<H> {
    pick: u64,
    until: Millis,
    hosts: Vec<H>,
}

/// What one balancer knows of hosts. Feed [`Event::Wanted`] when a pick is due and wait for
/// [`Command::Go`], which may come in the same call; then read [`Knowledge::known`] and say
/// [`Event::Used`] of the hosts whose figures decided.
#[derive(Clone, Debug)]
pub struct Knowledge<H, R> {
    settings: Settings,
    hosts: FxHashMap<H, Host<R>>,
    waiting: Vec<Waiting<H>>,
    out: usize,
    paid: f64,
}

impl<H: Copy + Eq + Hash, R> Knowledge<H, R> {
    /// Nothing known yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { settings, hosts: FxHashMap::default(), waiting: Vec::new(), out: 0, paid: 0.0 }
    }

    /// Takes one event at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event<H, R>, commands: &mut Vec<Command<H>>) {
        match event {
            Event::Wanted { pick, hosts } => self.want(now, pick, hosts, commands),
            Event::Answered { host, report } => {
                self.answer(now, host, report);
                self.heard(host, commands);
            }
            Event::Used(host) => {
                if let Some(host) = self.hosts.get_mut(&host) {
                    host.uses += 1;
                }
            }
            Event::Paid => self.paid = (self.paid + self.settings.paid).min(self.settings.most_paid),
            Event::Review(hosts) => self.review(now, hosts, commands),
            Event::Doubted(host) => {
                self.ask(now, host, commands);
            }
            Event::Withdrawn(pick) => self.waiting.retain(|waiting| waiting.pick != pick),
            Event::Gone(host) => {
                if self.hosts.remove(&host).is_some_and(|h| h.asked_at.is_some()) {
                    self.out -= 1;
                }
                // Who waited for it alone goes on at the next word: whoever says that a host is gone may
                // be in the middle of a list, and cannot take commands.
                self.waiting.iter_mut().for_each(|waiting| waiting.hosts.retain(|h| *h != host));
            }
            Event::Due => self.pass(now, commands),
        }
    }

    /// When [`Event::Due`] is to come; `None` as long as no pick waits.
    #[must_use]
    pub fn due(&self) -> Option<Millis> {
        self.waiting.iter().map(|waiting| waiting.until).reduce(f64::min)
    }

    /// What a host last said, unless that is too old to say anything.
    #[must_use]
    pub fn known(&self, now: Millis, host: H) -> Option<&R> {
        let (at, report) = self.hosts.get(&host)?.told.as_ref()?;
        (now - at <= self.settings.forget_ms).then_some(report)
    }

    /// All that hosts have said and that is not too old, each with when it came: for a successor.
    #[must_use]
    pub fn told(&self, now: Millis) -> Vec<(H, Millis, R)>
    where
        R: Clone,
    {
        let told =
            self.hosts.iter().filter_map(|(host, h)| h.told.as_ref().map(|t| (*host, t.0, t.1.clone())));
        told.filter(|(_, at, _)| now - at <= self.settings.forget_ms).collect()
    }

    /// Takes over what a host has told a predecessor, at that time.
    pub fn learn(&mut self, at: Millis, host: H, report: R) {
        self.entry(host).told = Some((at, report));
    }

    fn entry(&mut self, host: H) -> &mut Host<R> {
        let nothing = || Host { told: None, uses: 0, asked_at: None, mute_until: f64::NEG_INFINITY };
        self.hosts.entry(host).or_insert_with(nothing)
    }

    /// How old, in ms, what a host last said is.
    #[must_use]
    pub fn age(&self, now: Millis, host: H) -> Option<Millis> {
        self.hosts.get(&host)?.told.as_ref().map(|told| now - told.0)
    }

    /// True if this host has been asked and has failed to answer, or is slower than a pick waits: that
    /// speaks against it as long as others answer.
    #[must_use]
    pub fn mute(&self, now: Millis, host: H) -> bool {
        let Some(host) = self.hosts.get(&host) else { return false };
        let slow = |asked: Millis| now - asked >= self.settings.patience_ms - 0.5;
        now < host.mute_until || host.asked_at.is_some_and(slow)
    }

    /// True if asking this host now would tell more than is known, and may be done.
    #[must_use]
    pub fn worth_asking(&self, now: Millis, host: H) -> bool {
        let Some(host) = self.hosts.get(&host) else { return true };
        let fresh = host.told.as_ref().is_some_and(|told| now - told.0 < self.settings.fresh_ms);
        now >= host.mute_until
            && !(fresh && host.uses < self.settings.most_uses)
            && host.asked_at.is_none_or(|asked| now - asked > self.settings.lost_ms)
    }

    /// Asks a host though no pick is due, if that tells more than is known. True if it is asked.
    pub fn ask(&mut self, now: Millis, host: H, commands: &mut Vec<Command<H>>) -> bool {
        if !self.worth_asking(now, host) {
            return false;
        }
        if self.out >= self.settings.most_out {
            self.give_up_lost(now);
            if self.out >= self.settings.most_out {
                return false;
            }
        }
        let entry = self.entry(host);
        if entry.asked_at.replace(now).is_none() {
            self.out += 1;
        }
        commands.push(Command::Ask(host));
        true
    }

    fn want(&mut self, now: Millis, pick: u64, mut hosts: Vec<H>, commands: &mut Vec<Command<H>>) {
        for host in &hosts {
            self.ask(now, *host, commands);
        }
        hosts.retain(|host| self.hosts.get(host).is_some_and(|h| h.asked_at.is_some()));
        if hosts.is_empty() {
            commands.push(Command::Go(pick));
        } else {
            self.waiting.push(Waiting { pick, until: now + self.settings.patience_ms, hosts });
        }
    }

    /// Asks the hosts of whom what is known is oldest.
    fn review(&mut self, now: Millis, hosts: Vec<H>, commands: &mut Vec<Command<H>>) {
        let age = |host: H| self.age(now, host).unwrap_or(f64::INFINITY);
        let mut due: Vec<_> = hosts.into_iter().map(|host| (age(host), host)).collect();
        // One that was asked already must not keep the others from being asked.
        due.retain(|(age, host)| *age >= self.settings.review_ms && self.worth_asking(now, *host));
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, host) in due.into_iter().take(self.settings.reviewed) {
            if self.paid >= 1.0 && self.ask(now, host, commands) {
                self.paid -= 1.0;
            }
        }
    }

    fn answer(&mut self, now: Millis, host: H, report: Option<R>) {
        // One that was not asked, or is gone since, has nothing to say.
        let Some(entry) = self.hosts.get_mut(&host) else { return };
        if entry.asked_at.take().is_some() {
            self.out -= 1;
        }
        match report {
            Some(report) => (entry.told, entry.uses) = (Some((now, report)), 0),
            // What it said before may still be true; it only can't be had anew for a while.
            None => entry.mute_until = now + self.settings.mute_ms,
        }
    }

    /// Nobody waits for this host any more.
    fn heard(&mut self, host: H, commands: &mut Vec<Command<H>>) {
        self.waiting.retain_mut(|waiting| {
            waiting.hosts.retain(|h| *h != host);
            if waiting.hosts.is_empty() {
                commands.push(Command::Go(waiting.pick));
            }
            !waiting.hosts.is_empty()
        });
    }

    fn pass(&mut self, now: Millis, commands: &mut Vec<Command<H>>) {
        // Timers are rounded: what is due within the rounding is due.
        self.waiting.retain(|waiting| {
            let over = waiting.until <= now + 0.5 || waiting.hosts.is_empty();
            if over {
                commands.push(Command::Go(waiting.pick));
            }
            !over
        });
        self.give_up_lost(now);
    }

    fn give_up_lost(&mut self, now: Millis) {
        let lost = |h: &Host<R>| h.asked_at.is_some_and(|asked| now - asked > self.settings.lost_ms);
        for host in self.hosts.values_mut().filter(|h| lost(h)) {
            host.asked_at = None;
            host.mute_until = now + self.settings.mute_ms;
            self.out -= 1;
        }
    }
}
