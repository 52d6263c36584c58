//! A node that passes events to a balancer and returns the resulting actions.
#![allow(dead_code, missing_docs, reason = "each test file uses only some of the helpers")]

use marllink::*;
use std::collections::HashMap;

pub struct Node {
    pub balancer: Balancer,
    pub now: Millis,
    pub last_request_id: u64,
    /// The load that each server reports when probed. Probes of other servers fail.
    pub probe_loads: HashMap<ServerId, f32>,
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
        Self::with_seed(1, settings, list)
    }

    pub fn with_seed(seed: u64, settings: Settings, list: Vec<ServerEntry>) -> Self {
        let mut node = Self {
            balancer: Balancer::new(settings, seed, 1000.0),
            now: 1000.0,
            last_request_id: 0,
            probe_loads: HashMap::new(),
        };
        node.update_list(ListKind::Cached, list);
        node
    }

    /// Passes an event to the balancer, answers the resulting probes, and returns all actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        let mut index = 0;
        while index < actions.len() {
            if let Action::Probe(server) = actions[index] {
                let load = self.probe_loads.get(&server).copied();
                let report = load.map_or_else(Vec::new, |load| vec![load, 20.0]);
                let result = Event::ProbeResult { server, ok: load.is_some(), report };
                self.balancer.handle(self.now, result, &mut actions);
            }
            index += 1;
        }
        actions
    }

    pub fn update_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.handle(Event::ServerList { kind, entries })
    }

    /// Sends a request of the first class and returns its id and the actions.
    pub fn request(&mut self, time_left_ms: Millis) -> (RequestId, Vec<Action>) {
        self.request_with_class(0, time_left_ms)
    }

    pub fn request_with_class(&mut self, class: u16, time_left_ms: Millis) -> (RequestId, Vec<Action>) {
        self.last_request_id += 1;
        let request = RequestId(self.last_request_id);
        let class = ClassId(class);
        let new = NewRequest { request, class, time_left_ms, ..NewRequest::default() };
        (request, self.handle(Event::Request(new)))
    }

    /// Opens one connection that is established at once, and returns its request and its server.
    pub fn open_connection(&mut self) -> (RequestId, ServerId) {
        let (request, actions) = self.request(1000.0);
        let server = selected_server(&actions).expect("a server for the request");
        self.handle(Event::Established { request, attempt: AttemptNo(0), latency_ms: 1.0 });
        (request, server)
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
        closed: bool,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded { request, attempt: AttemptNo(attempt), outcome, closed })
    }

    /// Opens `count` connections and counts them by server.
    pub fn connection_counts(&mut self, count: usize) -> HashMap<ServerId, usize> {
        let mut counts = HashMap::new();
        for _ in 0..count {
            *counts.entry(self.open_connection().1).or_default() += 1;
        }
        counts
    }
}

/// Returns the server of the first attempt sent, if any.
pub fn selected_server(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Counts the final answers without a connection.
pub fn rejection_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count()
}
