//! A form host under load.

use super::super::Millis;
use rand::Rng;

/// A connection is new for so many ms.
const NEW_MS: Millis = 400.0;

/// What a form host is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct Form {
    /// Its zone.
    pub zone: usize,
    /// Its size as registered, in standard cores.
    pub weight: f64,
    /// What it truly does when warm, in standard cores.
    pub cores: f64,
    /// Connections that it holds at most.
    pub most: usize,
    /// A new connection that would wait longer than this, in ms, is turned away.
    pub patience_ms: Millis,
    /// With more than this piled up, in ms of all it can do, it drops its newest connection.
    pub buffer_ms: Millis,
    /// Part of its capacity that it has when it starts ...
    pub cold_from: f64,
    /// ... and the time in ms until it has all of it.
    pub warm_ms: Millis,
    /// What it pays for each group that it holds any connection of, in standard cores.
    pub group_load: f64,
}

/// Where a form host is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone, or not back yet.
    Down,
}

/// How it answers a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// It stands, after so many ms.
    Up(Millis),
    /// Turned away unseen: draining, or the wait would be too long.
    Busy,
    /// Failed.
    Err,
    /// It has no place for another connection, or is down.
    Refused,
}

/// What it says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Load asked over what it can do.
    pub load: f64,
    /// Connections held.
    pub held: f64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    id: u64,
    class: usize,
    load: f64,
    group: u64,
    since: Millis,
}

/// A form host. Say [`Host::advance`] before anything else at a new time; the other calls do so
/// themselves.
#[derive(Clone, Debug)]
pub struct Host {
    /// What it is made of.
    pub form: Form,
    /// Where it is in its life.
    pub phase: Phase,
    /// It fails this part of new connections at once.
    pub fails: f64,
    /// It does this part of what it should.
    pub slowed: f64,
    /// It drops each new connection soon after it has taken it.
    pub drops_new: bool,
    started_at: Millis,
    at: Millis,
    held: Vec<Held>,
    load: f64,
    piled: f64,
    /// Seconds of connections whose messages were answered in time, by class.
    earned: Vec<f64>,
    /// For each class, how much longer than an idle host's answer a message may take: aim over usual.
    ease: Vec<f64>,
    aims: Vec<Millis>,
    report: Report,
    next_report: Report,
}

impl Host {
    /// A host that started long ago, or at `started_at`. `classes` tells what messages may take.
    #[must_use]
    pub fn new(form: Form, classes: &[super::Class], started_at: Millis, now: Millis) -> Self {
        Self {
            form,
            phase: Phase::Up,
            fails: 0.0,
            slowed: 1.0,
            drops_new: false,
            started_at,
            at: now,
            held: Vec::new(),
            load: 0.0,
            piled: 0.0,
            earned: vec![0.0; classes.len()],
            ease: classes.iter().map(|c| c.ease).collect(),
            aims: classes.iter().map(|c| c.message_aim_ms).collect(),
            report: Report::default(),
            next_report: Report::default(),
        }
    }

    /// Part of its capacity that it has, for its age.
    #[must_use]
    pub fn warmth(&self, now: Millis) -> f64 {
        let age = ((now - self.started_at) / self.form.warm_ms).clamp(0.0, 1.0);
        self.form.cold_from + (1.0 - self.form.cold_from) * age
    }

    /// What it can do now, in standard cores.
    #[must_use]
    pub fn capacity(&self, now: Millis) -> f64 {
        self.form.cores * self.slowed * self.warmth(now)
    }

    /// When it last started.
    #[must_use]
    pub fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Load asked over what it can do, as it truly is.
    #[must_use]
    pub fn strain(&self, now: Millis) -> f64 {
        self.load / self.capacity(now)
    }

    /// How long a message takes now, in ms, where it is to be answered within `aim_ms` and usually takes `ease`
    /// times less: longer the less there is free, and what is piled up goes first.
    #[must_use]
    pub fn delay_ms(&self, now: Millis, aim_ms: Millis, ease: f64) -> Millis {
        let free = (1.0 - self.strain(now)).max(0.05);
        aim_ms / ease / free + self.piled / self.capacity(now)
    }

    /// Connections held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// The ids of the connections held, oldest first.
    pub fn ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.held.iter().map(|held| held.id)
    }

    /// True if it holds nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Millis) {
        let passed = now - self.at;
        if passed <= 0.0 {
            return;
        }
        self.at = now;
        if self.phase == Phase::Down {
            return;
        }
        let capacity = self.capacity(now);
        // A fuller table takes more of what it can do.
        let room = (capacity - self.load).max(0.0);
        for held in &self.held {
            let late = self.piled / capacity > self.aims[held.class];
            let strain = self.load / capacity;
            let in_time = 1.0 - (-self.ease[held.class] * (1.0 - strain)).exp();
            let share = if late || strain >= 1.0 { 0.0 } else { in_time };
            self.earned[held.class] += share * passed / 1_000.0;
        }
        self.piled += (self.load - capacity) * passed;
        if self.piled <= 0.0 || (room > 0.0 && self.piled < 1e-9) {
            self.piled = 0.0;
        }
    }

    /// Work that took its time: a new connection's, or a probe's.
    pub fn work(&mut self, now: Millis, work_ms: f64) {
        self.advance(now);
        if self.phase != Phase::Down {
            self.piled += work_ms;
        }
    }

    /// How it answers a new connection that takes so much work to set up.
    pub fn ask(&mut self, now: Millis, work_ms: f64, rng: &mut impl Rng) -> Answer {
        self.advance(now);
        if self.phase == Phase::Down || self.held.len() >= self.form.most {
            return Answer::Refused;
        }
        let wait = self.piled / self.capacity(now);
        if self.phase == Phase::Draining || wait > self.form.patience_ms {
            return Answer::Busy;
        }
        if self.fails > 0.0 && rng.random::<f64>() < self.fails {
            return Answer::Err;
        }
        self.piled += work_ms;
        Answer::Up(wait + work_ms / self.slowed / self.warmth(now))
    }

    /// A connection stands from now on, of this group; 0 for none.
    pub fn hold(&mut self, now: Millis, id: u64, class: usize, load: f64, group: u64) {
        self.advance(now);
        self.load += load + self.pays_for(group);
        self.held.push(Held { id, class, load, group, since: now });
    }

    /// What a group costs beyond its connections, as long as it holds none of them.
    fn pays_for(&self, group: u64) -> f64 {
        let held = group == 0 || self.held.iter().any(|held| held.group == group);
        if held { 0.0 } else { self.form.group_load }
    }

    /// A connection's load has changed.
    pub fn change(&mut self, now: Millis, id: u64, load: f64) {
        self.advance(now);
        if let Some(held) = self.held.iter_mut().find(|held| held.id == id) {
            self.load += load - held.load;
            held.load = load;
        }
    }

    /// A connection has ended. True if it was held.
    pub fn release(&mut self, now: Millis, id: u64) -> bool {
        self.advance(now);
        let Some(at) = self.held.iter().position(|held| held.id == id) else { return false };
        let Held { load, group, .. } = self.held.remove(at);
        self.load -= load + self.pays_for(group);
        if self.held.is_empty() {
            self.load = 0.0;
        }
        true
    }

    /// The connection that it drops now, if too much is piled up: the newest.
    pub fn sheds(&mut self, now: Millis) -> Option<u64> {
        self.advance(now);
        let over = self.piled / self.capacity(now) > self.form.buffer_ms && self.load > self.capacity(now);
        let newest = self.held.last()?;
        let new = self.drops_new && now - newest.since < NEW_MS;
        let newest = Some(newest.id).filter(|_| over || new)?;
        self.release(now, newest);
        Some(newest)
    }

    /// It stops: what it held is cut off.
    pub fn stop(&mut self, now: Millis) -> Vec<u64> {
        self.advance(now);
        self.phase = Phase::Down;
        self.load = 0.0;
        self.piled = 0.0;
        self.held.drain(..).map(|held| held.id).collect()
    }

    /// It starts again, cold.
    pub fn start(&mut self, now: Millis) {
        self.advance(now);
        self.phase = Phase::Up;
        self.started_at = now;
        (self.report, self.next_report) = (Report::default(), Report::default());
    }

    /// Makes its report anew, off by up to `noise` of it. What was made before is told from now on:
    /// reports are a while under way.
    pub fn refresh(&mut self, now: Millis, noise: f64, rng: &mut impl Rng) {
        self.advance(now);
        self.report = self.next_report;
        let load = self.strain(now) * (1.0 + noise * (2.0 * rng.random::<f64>() - 1.0));
        self.next_report = Report { load, held: self.held.len() as f64 };
    }

    /// What it says of itself to who asks now.
    #[must_use]
    pub fn report(&self) -> Report {
        self.report
    }

    /// Seconds of connections answered in time so far, by class.
    pub fn earned(&mut self, now: Millis) -> &[f64] {
        self.advance(now);
        &self.earned
    }
}

#[cfg(test)]
mod tests {
    use super::super::Class;
    use super::*;
    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    fn host() -> Host {
        let form = Form {
            zone: 0,
            weight: 4.0,
            cores: 4.0,
            most: 100,
            patience_ms: 500.0,
            buffer_ms: 1_000.0,
            cold_from: 0.4,
            warm_ms: 10_000.0,
            group_load: 0.5,
        };
        Host::new(form, &[Class { ease: 10.0, message_aim_ms: 100.0, ..Class::default() }], -1e9, 0.0)
    }

    #[test]
    fn one_that_has_more_than_it_can_do_earns_nothing_and_drops_its_newest() {
        let mut host = host();
        host.hold(0.0, 1, 0, 3.0, 0);
        let before = host.earned(1_000.0)[0];
        assert!(before > 0.8, "{before}");
        host.hold(1_000.0, 2, 0, 3.0, 0);
        // Two cores short, in which a second of all four piles up in two seconds.
        assert_eq!(host.sheds(2_900.0), None);
        let later = host.earned(2_900.0)[0];
        assert_eq!(host.sheds(3_100.0), Some(2));
        assert!((host.earned(3_100.0)[0] - later).abs() < 1e-9);
        assert_eq!(host.len(), 1);
    }

    #[test]
    fn a_group_is_paid_for_once_as_long_as_any_of_it_is_held() {
        let mut host = host();
        host.hold(0.0, 1, 0, 0.4, 7);
        host.hold(0.0, 2, 0, 0.4, 7);
        host.hold(0.0, 3, 0, 0.4, 8);
        assert!((host.strain(0.0) - (3.0 * 0.4 + 2.0 * 0.5) / 4.0).abs() < 1e-9);
        assert!(host.delay_ms(0.0, 100.0, 10.0) > 20.0 && host.delay_ms(0.0, 100.0, 10.0) < 25.0);
        host.release(0.0, 1);
        host.release(0.0, 3);
        assert!((host.strain(0.0) - (0.4 + 0.5) / 4.0).abs() < 1e-9);
        host.release(0.0, 2);
        assert!(host.strain(0.0).abs() < 1e-9);
    }

    #[test]
    fn one_that_drops_new_connections_keeps_the_old() {
        let mut host = host();
        host.hold(0.0, 1, 0, 0.1, 0);
        host.drops_new = true;
        host.hold(5_000.0, 2, 0, 0.1, 0);
        assert_eq!(host.sheds(5_100.0), Some(2));
        assert_eq!(host.sheds(5_100.0), None);
    }

    #[test]
    fn a_cold_one_can_do_little_and_warms_up() {
        let mut host = host();
        host.stop(0.0);
        host.start(0.0);
        assert!((host.capacity(0.0) - 1.6).abs() < 1e-9);
        assert!((host.capacity(5_000.0) - 2.8).abs() < 1e-9);
        assert!((host.capacity(20_000.0) - 4.0).abs() < 1e-9);
    }

    #[test]
    fn a_report_tells_of_the_time_before() {
        let (mut host, mut rng) = (host(), SmallRng::seed_from_u64(1));
        host.hold(0.0, 1, 0, 2.0, 0);
        host.refresh(0.0, 0.0, &mut rng);
        assert_eq!(host.report().held, 0.0);
        host.refresh(700.0, 0.0, &mut rng);
        assert_eq!(host.report(), Report { load: 0.5, held: 1.0 });
    }

    #[test]
    fn one_that_is_full_down_or_draining_takes_nothing() {
        let (mut host, mut rng) = (host(), SmallRng::seed_from_u64(1));
        assert!(matches!(host.ask(0.0, 10.0, &mut rng), Answer::Up(_)));
        host.form.most = 0;
        assert_eq!(host.ask(0.0, 10.0, &mut rng), Answer::Refused);
        host.form.most = 9;
        host.phase = Phase::Draining;
        assert_eq!(host.ask(0.0, 10.0, &mut rng), Answer::Busy);
        host.stop(0.0);
        assert_eq!(host.ask(0.0, 10.0, &mut rng), Answer::Refused);
    }
}
