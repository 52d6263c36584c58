//! A node as the tests see it: events in, actions out.
#![allow(dead_code, missing_docs, reason = "each test file uses its own part")]

use marllink::*;
use std::collections::HashMap;

pub struct Node {
    pub balancer: Balancer,
    pub now: Millis,
    pub next: u64,
    /// What servers say of their load when they are asked; others do not answer.
    pub told: HashMap<ServerId, f32>,
}

pub fn settings() -> Settings {
    Settings {
        nodes: 1,
        classes: vec![Class { setup_goal_ms: 300.0, message_goal_ms: 50.0, ..Class::default() }],
        limits: Limits { max_attempts: 4, cancel: true, ..Limits::default() },
        ..Settings::default()
    }
}

pub fn entry(id: u64, weight: f64) -> ServerEntry {
    ServerEntry {
        server: ServerId(id),
        zone: ZoneId(0),
        cell: CellId(0),
        state: ServerState::Ready,
        weight,
        started_at: 0.0,
    }
}

pub fn entries(n: u64) -> Vec<ServerEntry> {
    (1..=n).map(|id| entry(id, 1.0)).collect()
}

impl Node {
    pub fn new(settings: Settings, list: Vec<ServerEntry>) -> Self {
        Self::seeded(1, settings, list)
    }

    pub fn seeded(seed: u64, settings: Settings, list: Vec<ServerEntry>) -> Self {
        let mut node = Self {
            balancer: Balancer::new(settings, seed, 1000.0),
            now: 1000.0,
            next: 0,
            told: HashMap::new(),
        };
        node.list(ListKind::Cached, list);
        node
    }

    pub fn on(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        let mut at = 0;
        while at < actions.len() {
            if let Action::Probe(server) = actions[at] {
                let load = self.told.get(&server).copied();
                let report = load.map_or_else(Vec::new, |load| vec![load, 20.0]);
                let answer = Event::ProbeResult { server, ok: load.is_some(), report };
                self.balancer.handle(self.now, answer, &mut actions);
            }
            at += 1;
        }
        actions
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.on(Event::ServerList { kind, entries })
    }

    pub fn ask(&mut self, left: Millis) -> (RequestId, Vec<Action>) {
        self.ask_class(0, left)
    }

    pub fn ask_class(&mut self, class: u16, left: Millis) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let request = RequestId(self.next);
        let class = ClassId(class);
        let new = NewRequest { request, class, time_left_ms: left, ..NewRequest::default() };
        (request, self.on(Event::Request(new)))
    }

    /// Places one connection that stands at once, and tells where.
    pub fn place(&mut self) -> (RequestId, ServerId) {
        let (request, actions) = self.ask(1000.0);
        let server = sent(&actions).expect("a server for the request");
        self.on(Event::Established { request, attempt: AttemptNo(0), latency_ms: 1.0 });
        (request, server)
    }

    pub fn end(&mut self, request: RequestId, attempt: u8, outcome: Outcome, closed: bool) -> Vec<Action> {
        self.on(Event::AttemptEnded { request, attempt: AttemptNo(attempt), outcome, closed })
    }

    /// Places so many and counts where they went.
    pub fn shares(&mut self, n: usize) -> HashMap<ServerId, usize> {
        let mut shares = HashMap::new();
        for _ in 0..n {
            *shares.entry(self.place().1).or_default() += 1;
        }
        shares
    }
}

pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn answered(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count()
}
