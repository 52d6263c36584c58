//! Simple strategies for comparison: random selection, and selection by the servers' true load.

use crate::Millis;
use crate::balancer::BalancingPolicy;
use marllink::{
    Action, AttemptNo, Event, ListKind, NewRequest, Outcome, RequestId, ServerId, ServerState, Settings,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// The true state of a server at a point in time.
#[derive(Clone, Copy, Debug)]
pub struct ServerSnapshot {
    /// The server.
    pub server: ServerId,
    /// Index of its zone.
    pub zone: usize,
    /// Its capacity at that time, in standard cores.
    pub capacity: f64,
    /// Its load as a ratio to its capacity.
    pub utilization: f64,
    /// True if it accepts new connections and fails none of them.
    pub healthy: bool,
}

/// The true states of all servers over the recent past.
#[derive(Default)]
pub struct GroundTruth {
    snapshots: VecDeque<(Millis, Vec<ServerSnapshot>)>,
}

impl GroundTruth {
    /// Adds a snapshot, and removes old ones, so that the first is the latest one that is at least `delay_ms`
    /// old.
    pub fn record(&mut self, now: Millis, delay_ms: Millis, servers: Vec<ServerSnapshot>) {
        self.snapshots.push_back((now, servers));
        while self.snapshots.get(1).is_some_and(|(at, _)| *at <= now - delay_ms) {
            self.snapshots.pop_front();
        }
    }

    /// Returns the oldest snapshot, which is the one that policies may use.
    fn delayed(&self) -> &[ServerSnapshot] {
        self.snapshots.front().map_or(&[], |(_, servers)| servers)
    }
}

/// A request whose connection is pending or established.
struct OpenRequest {
    attempts: u8,
    tried: Vec<ServerId>,
    established_on: Option<ServerId>,
}

/// A simple strategy that selects servers at random, uniformly or by their true free capacity.
pub struct BaselinePolicy {
    rng: SmallRng,
    zone: usize,
    max_attempts: u8,
    ready: Vec<ServerId>,
    draining: Vec<ServerId>,
    ground_truth: Option<Rc<RefCell<GroundTruth>>>,
    requests: FxHashMap<RequestId, OpenRequest>,
    started: bool,
}

impl BaselinePolicy {
    /// Creates a policy that selects by the ground truth if it is given, and else uniformly.
    pub fn new(settings: &Settings, seed: u64, ground_truth: Option<Rc<RefCell<GroundTruth>>>) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            zone: usize::from(settings.zone.0),
            max_attempts: settings.limits.max_attempts,
            ready: Vec::new(),
            draining: Vec::new(),
            ground_truth,
            requests: FxHashMap::default(),
            started: false,
        }
    }

    fn pick(&mut self, tried: &[ServerId]) -> Option<ServerId> {
        let untried = |server: &ServerId| !tried.contains(server);
        if let Some(ground_truth) = self.ground_truth.clone() {
            let ground_truth = ground_truth.borrow();
            // Draws in proportion to free capacity, first within the balancer's own zone. All balancers see the
            // same delayed data, so if each took the best server, together they would overload it.
            let usable = |snapshot: &&ServerSnapshot| {
                snapshot.healthy && untried(&snapshot.server) && self.ready.contains(&snapshot.server)
            };
            let free_capacity =
                |snapshot: &ServerSnapshot| (0.85 - snapshot.utilization).max(0.0) * snapshot.capacity;
            let same_zone: Vec<_> = ground_truth
                .delayed()
                .iter()
                .filter(usable)
                .filter(|s| s.zone == self.zone && s.utilization < 0.75)
                .collect();
            let all: Vec<_> = ground_truth.delayed().iter().filter(usable).collect();
            for candidates in [same_zone, all] {
                let sum: f64 = candidates.iter().map(|s| free_capacity(s)).sum();
                let mut remaining = self.rng.random::<f64>() * sum;
                for snapshot in &candidates {
                    remaining -= free_capacity(snapshot);
                    if remaining < 0.0 {
                        return Some(snapshot.server);
                    }
                }
            }
            return None;
        }
        let candidates: Vec<_> = self.ready.iter().copied().filter(untried).collect();
        (!candidates.is_empty()).then(|| candidates[self.rng.random_range(0..candidates.len())])
    }

    fn attempt(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let Some(mut open) = self.requests.remove(&request) else { return };
        match self.pick(&open.tried).filter(|_| open.attempts < self.max_attempts) {
            Some(server) => {
                open.attempts += 1;
                open.tried.push(server);
                self.requests.insert(request, open);
                actions.push(Action::Send { request, server, timeout_ms: 1_000.0 });
            }
            None => actions.push(Action::Reject { request, retry_after_ms: 1_000.0 }),
        }
    }

    fn update_list(&mut self, kind: ListKind, entries: &[marllink::ServerEntry]) {
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

    /// Asks clients on draining servers to move, each with a probability of one in eight.
    fn move_clients(&mut self, actions: &mut Vec<Action>) {
        let mut on_draining: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, open)| open.established_on.is_some_and(|s| self.draining.contains(&s)))
            .map(|(id, _)| *id)
            .collect();
        on_draining.sort_unstable();
        for id in on_draining {
            if self.rng.random::<f64>() < 0.125 {
                self.requests.remove(&id);
                actions.push(Action::Move(id));
            }
        }
    }
}

impl BalancingPolicy for BaselinePolicy {
    fn handle(&mut self, _: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ServerList { kind: ListKind::Failed, .. } => {
                actions.push(Action::SetTimer { delay_ms: 500.0, token: marllink::TimerToken(1) });
            }
            Event::ServerList { kind, entries } => {
                self.update_list(kind, &entries);
                if !std::mem::replace(&mut self.started, true) {
                    actions.push(Action::SetTimer { delay_ms: 200.0, token: marllink::TimerToken(0) });
                    let delay_ms = 2_000.0 * self.rng.random::<f64>();
                    actions.push(Action::SetTimer { delay_ms, token: marllink::TimerToken(1) });
                }
            }
            Event::Timer(marllink::TimerToken(0)) => {
                self.move_clients(actions);
                actions.push(Action::SetTimer { delay_ms: 200.0, token: marllink::TimerToken(0) });
            }
            Event::Timer(_) => actions.push(Action::WatchList),
            Event::Request(NewRequest { request, .. }) => {
                self.requests
                    .insert(request, OpenRequest { attempts: 0, tried: Vec::new(), established_on: None });
                self.attempt(request, actions);
            }
            Event::OpenConnection { request, server } => {
                let open = OpenRequest { attempts: 1, tried: vec![server], established_on: Some(server) };
                self.requests.insert(request.request, open);
            }
            Event::Established { request, .. } => {
                if let Some(open) = self.requests.get_mut(&request) {
                    open.established_on = open.tried.last().copied();
                }
            }
            Event::AttemptEnded { request, outcome, closed, attempt: AttemptNo(_) } => {
                if closed || outcome == Outcome::Cancelled {
                    self.requests.remove(&request);
                } else {
                    self.attempt(request, actions);
                }
            }
            Event::ClientGone(request) => {
                self.requests.remove(&request);
            }
            _ => {}
        }
    }
}
