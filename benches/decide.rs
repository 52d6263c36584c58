//! Measures the cost of the decisions for one connection from its request to its end, including the results
//! of load probes, and the cost of one housekeeping cycle.
#![allow(missing_docs, reason = "a benchmark")]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use marllink::*;

fn settings() -> Settings {
    Settings {
        nodes: 300,
        zones: 2,
        classes: vec![Class { setup_goal_ms: 800.0, message_goal_ms: 60.0, ..Class::default() }],
        report_fields: vec![ReportField::Utilization, ReportField::InFlight],
        limits: Limits { max_attempts: 5, cancel: true, probe: true, ..Limits::default() },
        prices: Prices { cross_zone: 0.16, ..Prices::default() },
        ..Settings::default()
    }
}

struct Node {
    balancer: Balancer,
    now: Millis,
    last_id: u64,
    actions: Vec<Action>,
}

impl Node {
    /// Creates a balancer with this number of servers that holds 13 connections.
    fn new(servers: u64) -> Self {
        let balancer = Balancer::new(settings(), 1, 1_000.0);
        let mut node = Self { balancer, now: 1_000.0, last_id: 0, actions: Vec::new() };
        let entry = |id| ServerEntry {
            server: ServerId(id),
            zone: ZoneId((id % 2) as u8),
            cell: CellId(0),
            state: ServerState::Ready,
            weight: [1.2, 4.0, 6.4][id as usize % 3],
            started_at: 0.0,
        };
        let entries = (1..=servers).map(entry).collect();
        node.handle(Event::ServerList { kind: ListKind::Full, entries });
        for _ in 0..13 {
            node.open_connection();
        }
        node
    }

    /// Handles an event and answers the resulting probes. Returns the server of the last attempt sent.
    fn handle(&mut self, event: Event) -> Option<ServerId> {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
        let (mut next, mut sent) = (0, None);
        while next < self.actions.len() {
            match self.actions[next] {
                Action::Probe(server) => {
                    let answer = Event::ProbeResult { server, ok: true, report: vec![0.4, 20.0] };
                    self.balancer.handle(self.now, answer, &mut self.actions);
                }
                Action::Send { server, .. } => sent = Some(server),
                _ => {}
            }
            next += 1;
        }
        sent
    }

    fn open_connection(&mut self) -> RequestId {
        self.last_id += 1;
        // More than a second apart, so that no load report is still fresh.
        self.now += 1_500.0;
        let request = RequestId(self.last_id);
        let new = NewRequest { request, time_left_ms: 4_800.0, ..NewRequest::default() };
        assert!(self.handle(Event::Request(new)).is_some());
        self.handle(Event::Established { request, attempt: AttemptNo(0), latency_ms: 1.0 });
        request
    }
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for servers in [12, 90, 5_000] {
        group.bench_with_input(BenchmarkId::new("connection", servers), &servers, |bencher, servers| {
            let mut node = Node::new(*servers);
            bencher.iter(|| {
                let request = node.open_connection();
                let (outcome, closed) = (Outcome::Ok, true);
                node.handle(Event::AttemptEnded { request, attempt: AttemptNo(0), outcome, closed });
            });
        });
        group.bench_with_input(BenchmarkId::new("housekeeping", servers), &servers, |bencher, servers| {
            let mut node = Node::new(*servers);
            bencher.iter(|| {
                node.now += 201.0;
                node.handle(Event::Timer(TimerToken(0)));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
