//! Plain strategies to compare with: chance, and a policy that sees every host as it truly is.

use crate::Millis;
use crate::drive::Decider;
use marllink::{
    Action, AttemptNo, Event, ListKind, NewRequest, Outcome, RequestId, ServerId, ServerState, Settings,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// A host as it truly is.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// Which.
    pub server: ServerId,
    /// In the zone of ...
    pub zone: usize,
    /// What it can do now, in standard cores.
    pub capacity: f64,
    /// Load asked over that.
    pub strain: f64,
    /// It takes new connections, and none of them fails.
    pub sound: bool,
}

/// All hosts as they truly were lately.
#[derive(Default)]
pub struct Truth {
    shots: VecDeque<(Millis, Vec<Seen>)>,
}

impl Truth {
    /// Takes a look; looks older than `keep_ms` are forgotten.
    pub fn look(&mut self, now: Millis, keep_ms: Millis, seen: Vec<Seen>) {
        self.shots.push_back((now, seen));
        while self.shots.get(1).is_some_and(|(at, _)| *at <= now - keep_ms) {
            self.shots.pop_front();
        }
    }

    fn seen(&self) -> &[Seen] {
        self.shots.front().map_or(&[], |(_, seen)| seen)
    }
}

struct Held {
    attempts: u8,
    tried: Vec<ServerId>,
    stands: Option<ServerId>,
}

/// A plain strategy.
pub struct Plain {
    rng: SmallRng,
    zone: usize,
    most: u8,
    ready: Vec<ServerId>,
    draining: Vec<ServerId>,
    truth: Option<Rc<RefCell<Truth>>>,
    held: FxHashMap<RequestId, Held>,
    started: bool,
}

impl Plain {
    /// One that picks by chance, or by the truth where that is shown.
    pub fn new(settings: &Settings, seed: u64, truth: Option<Rc<RefCell<Truth>>>) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            zone: usize::from(settings.zone.0),
            most: settings.limits.max_attempts,
            ready: Vec::new(),
            draining: Vec::new(),
            truth,
            held: FxHashMap::default(),
            started: false,
        }
    }

    fn pick(&mut self, tried: &[ServerId]) -> Option<ServerId> {
        let open = |server: &ServerId| !tried.contains(server);
        if let Some(truth) = self.truth.clone() {
            let truth = truth.borrow();
            // By chance in proportion to what is free, the own zone first: the best of the stale
            // figures would be the same for all and be overrun.
            let free = |seen: &&Seen| seen.sound && open(&seen.server) && self.ready.contains(&seen.server);
            let room = |seen: &Seen| (0.85 - seen.strain).max(0.0) * seen.capacity;
            let near: Vec<_> =
                truth.seen().iter().filter(free).filter(|s| s.zone == self.zone && s.strain < 0.75).collect();
            let all: Vec<_> = truth.seen().iter().filter(free).collect();
            for from in [near, all] {
                let sum: f64 = from.iter().map(|s| room(s)).sum();
                let mut at = self.rng.random::<f64>() * sum;
                for seen in &from {
                    at -= room(seen);
                    if at < 0.0 {
                        return Some(seen.server);
                    }
                }
            }
            return None;
        }
        let from: Vec<_> = self.ready.iter().copied().filter(open).collect();
        (!from.is_empty()).then(|| from[self.rng.random_range(0..from.len())])
    }

    fn attempt(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(mut held) = self.held.remove(&request) else { return };
        match self.pick(&held.tried).filter(|_| held.attempts < self.most) {
            Some(server) => {
                held.attempts += 1;
                held.tried.push(server);
                self.held.insert(request, held);
                out.push(Action::Send { request, server, timeout_ms: 1_000.0 });
            }
            None => out.push(Action::Reject { request, retry_after_ms: 1_000.0 }),
        }
    }

    fn list(&mut self, kind: ListKind, entries: &[marllink::ServerEntry]) {
        if kind != ListKind::Delta {
            self.ready.clear();
            self.draining.clear();
        }
        for entry in entries {
            self.ready.retain(|s| *s != entry.server);
            self.draining.retain(|s| *s != entry.server);
            match entry.state {
                ServerState::Ready => self.ready.push(entry.server),
                ServerState::Draining => self.draining.push(entry.server),
                ServerState::Gone => {}
            }
        }
    }

    /// Clients are asked to leave draining hosts, one in eight each time.
    fn leave(&mut self, out: &mut Vec<Action>) {
        let mut leaving: Vec<_> = self
            .held
            .iter()
            .filter(|(_, held)| held.stands.is_some_and(|s| self.draining.contains(&s)))
            .map(|(id, _)| *id)
            .collect();
        leaving.sort_unstable();
        for id in leaving {
            if self.rng.random::<f64>() < 0.125 {
                self.held.remove(&id);
                out.push(Action::Move(id));
            }
        }
    }
}

impl Decider for Plain {
    fn handle(&mut self, _: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::ServerList { kind: ListKind::Failed, .. } => {
                out.push(Action::SetTimer { delay_ms: 500.0, token: marllink::TimerToken(1) });
            }
            Event::ServerList { kind, entries } => {
                self.list(kind, &entries);
                if !std::mem::replace(&mut self.started, true) {
                    out.push(Action::SetTimer { delay_ms: 200.0, token: marllink::TimerToken(0) });
                    let delay_ms = 2_000.0 * self.rng.random::<f64>();
                    out.push(Action::SetTimer { delay_ms, token: marllink::TimerToken(1) });
                }
            }
            Event::Timer(marllink::TimerToken(0)) => {
                self.leave(out);
                out.push(Action::SetTimer { delay_ms: 200.0, token: marllink::TimerToken(0) });
            }
            Event::Timer(_) => out.push(Action::WatchList),
            Event::Request(NewRequest { request, .. }) => {
                self.held.insert(request, Held { attempts: 0, tried: Vec::new(), stands: None });
                self.attempt(request, out);
            }
            Event::OpenConnection { request, server } => {
                let held = Held { attempts: 1, tried: vec![server], stands: Some(server) };
                self.held.insert(request.request, held);
            }
            Event::Established { request, .. } => {
                if let Some(held) = self.held.get_mut(&request) {
                    held.stands = held.tried.last().copied();
                }
            }
            Event::AttemptEnded { request, outcome, closed, attempt: AttemptNo(_) } => {
                if closed || outcome == Outcome::Cancelled {
                    self.held.remove(&request);
                } else {
                    self.attempt(request, out);
                }
            }
            Event::ClientGone(request) => {
                self.held.remove(&request);
            }
            _ => {}
        }
    }
}
