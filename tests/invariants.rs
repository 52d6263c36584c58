//! Property tests: random events, including invalid ones, against the guarantees that a balancer must keep.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use marllink::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::HashMap;
use support::*;

const REQUEST_TIMEOUT_MS: Millis = 900.0;
const DEDUP_WINDOW_MS: Millis = 400.0;

/// The history of a request, as far as the guarantees depend on it.
#[derive(Debug)]
struct RequestHistory {
    idempotency: Idempotency,
    deadline: Millis,
    /// The pending attempt: its number, its server, the time of its timeout, and when it was sent.
    pending: Option<(u8, ServerId, Millis, Millis)>,
    attempts: u8,
    open: bool,
    answers: usize,
    /// When and where an attempt may first have been executed.
    executed: Option<(Millis, ServerId)>,
}

struct World {
    node: Node,
    listed: HashMap<ServerId, ServerEntry>,
    requests: HashMap<RequestId, RequestHistory>,
    timers: Vec<(Millis, TimerToken)>,
    /// Set while `AnswerNow` is handled: the answer may be given while an attempt is pending.
    answer_due: bool,
}

fn idempotency_kinds() -> Vec<Idempotency> {
    let keyed = |scope| Idempotency::Keyed { scope, window_ms: DEDUP_WINDOW_MS };
    vec![
        Idempotency::Safe,
        keyed(DedupScope::All),
        keyed(DedupScope::Zone),
        keyed(DedupScope::Cell),
        Idempotency::Unsafe,
    ]
}

fn server_entry(id: u64, state: ServerState, started_at: Millis) -> ServerEntry {
    // Zones of four and cells of two servers, so that few servers can take the retry of a keyed request.
    ServerEntry {
        zone: ZoneId((id % 3) as u8),
        cell: CellId((id % 6) as u16),
        state,
        started_at,
        ..entry(id, [1.0, 2.0, 0.0, f64::NAN][id as usize % 4])
    }
}

impl World {
    fn new() -> Self {
        let mut settings = settings();
        settings.nodes = 3;
        settings.discovery = Discovery::Pull;
        // The goals are long enough for some requests to be queued.
        settings.classes = (idempotency_kinds().into_iter().zip([300.0, 500.0, 600.0, 700.0, 800.0]))
            .map(|(idempotency, setup_goal_ms)| Class {
                setup_goal_ms,
                idempotency,
                message_goal_ms: 50.0,
                ..Class::default()
            })
            .collect();
        let list: Vec<_> = (1..=12).map(|id| server_entry(id, ServerState::Ready, 0.0)).collect();
        let listed = list.iter().map(|e| (e.server, e.clone())).collect();
        let node = Node::new(settings, list);
        Self {
            node,
            listed,
            requests: HashMap::new(),
            timers: vec![(1200.0, TimerToken(0))],
            answer_due: false,
        }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.node.handle(event);
        self.check(actions);
    }

    fn check(&mut self, actions: Vec<Action>) {
        let now = self.node.now;
        for action in actions {
            match action {
                Action::Send { request, server, timeout_ms } => {
                    let history = self.requests.get_mut(&request).expect("a known request");
                    assert_eq!(history.answers, 0, "sent after the final answer");
                    assert!(history.pending.is_none(), "two attempts are pending at the same time");
                    let entry = self.listed.get(&server).expect("a listed server");
                    assert_eq!(entry.state, ServerState::Ready, "sent to a server that is draining or gone");
                    if let Some((executed_at, first_server)) = history.executed {
                        let (next, first) = (entry, &self.listed[&first_server]);
                        assert!(
                            match history.idempotency {
                                Idempotency::Safe => true,
                                Idempotency::Unsafe => false,
                                Idempotency::Keyed { scope, window_ms } =>
                                    now - executed_at < window_ms
                                        && match scope {
                                            DedupScope::All => true,
                                            DedupScope::Zone => next.zone == first.zone,
                                            DedupScope::Cell => next.cell == first.cell,
                                        },
                            },
                            "a request may be executed twice: {history:?}"
                        );
                    }
                    let timeout_at = (now + timeout_ms).min(history.deadline);
                    history.pending = Some((history.attempts, server, timeout_at, now));
                    history.attempts += 1;
                }
                Action::Reject { request, .. } => {
                    let history = self.requests.get_mut(&request).expect("a known request");
                    let retry_is_safe = match history.idempotency {
                        Idempotency::Safe | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
                        Idempotency::Keyed { .. } | Idempotency::Unsafe => {
                            history.executed.is_none() && history.pending.is_none()
                        }
                    };
                    let nothing_pending = history.pending.is_none() || self.answer_due;
                    assert!(
                        retry_is_safe && nothing_pending,
                        "a rejection invites a retry, which is not safe here: {history:?}"
                    );
                    history.answers += 1;
                }
                Action::Fail(request) => {
                    self.requests.get_mut(&request).expect("a known request").answers += 1
                }
                Action::Move(request) => {
                    let history = &self.requests[&request];
                    assert!(history.open, "moved before it was established");
                }
                Action::SetTimer { delay_ms, token } => self.timers.push((now + delay_ms.max(1.0), token)),
                _ => {}
            }
        }
        for (id, history) in &self.requests {
            assert!(history.answers <= 1, "answered twice: {id:?} {history:?}");
            let overdue = history.answers == 0 && !history.open && now > history.deadline + 8.0;
            assert!(!overdue, "no final answer in time: {id:?} {history:?}");
        }
    }

    fn end_attempt(&mut self, id: RequestId, outcome: Outcome) {
        let history = self.requests.get_mut(&id).expect("a known request");
        let Some((attempt, server, _, sent_at)) = history.pending.take() else { return };
        if !outcome.never_executed() && history.executed.is_none() {
            history.executed = Some((sent_at, server));
        }
        let closed = history.open || outcome == Outcome::Ok || history.answers > 0;
        if closed && history.answers == 0 {
            history.answers = 1;
        }
        history.open = false;
        let actions = self.node.end_attempt(id, attempt, outcome, closed);
        self.check(actions);
    }

    /// Advances the clock to `until`, triggering timeouts and timers when they are due.
    fn advance_to(&mut self, until: Millis) {
        loop {
            let timer = self.timers.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
            let timeouts = (self.requests.iter())
                .filter(|(_, history)| !history.open)
                .filter_map(|(id, history)| history.pending.map(|(_, _, timeout_at, _)| (timeout_at, *id)));
            let timeout = timeouts.min_by(|a, b| a.partial_cmp(b).expect("no NaN"));
            let due = timer.min(timeout.map_or(f64::INFINITY, |(timeout_at, _)| timeout_at));
            if due > until {
                self.node.now = until;
                return;
            }
            self.node.now = self.node.now.max(due);
            if let Some((_, id)) = timeout.filter(|(timeout_at, _)| *timeout_at <= due) {
                self.end_attempt(id, Outcome::TimedOut);
            } else {
                let at = self.timers.iter().position(|(at, _)| *at <= due).expect("a due timer");
                let (_, token) = self.timers.swap_remove(at);
                self.handle(Event::Timer(token));
            }
        }
    }

    fn step(&mut self, op: u8, x: u64) {
        let choose = |matches: &dyn Fn(&RequestHistory) -> bool, world: &World| {
            let mut ids: Vec<_> =
                world.requests.iter().filter(|(_, history)| matches(history)).map(|(id, _)| *id).collect();
            ids.sort();
            (!ids.is_empty()).then(|| ids[x as usize % ids.len()])
        };
        match op {
            0..=5 => {
                let class = (x % 5) as u16;
                self.node.last_request_id += 1;
                let request = RequestId(self.node.last_request_id);
                let time_left_ms = if x % 7 == 0 { (x % 50) as f64 } else { REQUEST_TIMEOUT_MS };
                let history = RequestHistory {
                    idempotency: idempotency_kinds()[usize::from(class)],
                    deadline: self.node.now + time_left_ms,
                    pending: None,
                    attempts: 0,
                    open: false,
                    answers: 0,
                    executed: None,
                };
                self.requests.insert(request, history);
                self.handle(Event::Request(NewRequest {
                    request,
                    class: ClassId(class),
                    time_left_ms,
                    ..NewRequest::default()
                }));
            }
            6..=9 => {
                if let Some(id) = choose(
                    &|history| history.pending.is_some() && !history.open && history.answers == 0,
                    self,
                ) {
                    let history = self.requests.get_mut(&id).expect("a known request");
                    let attempt = AttemptNo(history.attempts - 1);
                    history.open = true;
                    self.handle(Event::Established { request: id, attempt, latency_ms: 1.0 });
                }
            }
            10..=13 => {
                if let Some(id) = choose(&|history| history.pending.is_some(), self) {
                    let history = &self.requests[&id];
                    let all = [
                        Outcome::Error,
                        Outcome::Full,
                        Outcome::ConnectFailed,
                        Outcome::Reset,
                        Outcome::NotSent,
                        Outcome::Cancelled,
                        Outcome::Ok,
                    ];
                    // An established stream can complete, break, or lose its client.
                    let outcome =
                        if history.open { all[3 + x as usize % 4] } else { all[x as usize % all.len()] };
                    let outcome =
                        if history.open && outcome == Outcome::NotSent { Outcome::Ok } else { outcome };
                    self.end_attempt(id, outcome);
                }
            }
            14 => {
                if let Some(id) = choose(&|history| history.answers == 0, self) {
                    self.requests.get_mut(&id).expect("a known request").answers = 1;
                    self.handle(Event::ClientGone(id));
                }
            }
            15 => {
                if let Some(id) = choose(&|history| history.open, self) {
                    self.handle(Event::MessageDelay { request: id, delay_ms: (x % 1500) as f64 });
                }
            }
            16..=18 => {
                let id = 1 + x % 12;
                let states = [ServerState::Ready, ServerState::Draining, ServerState::Gone];
                let started_at = if x % 2 == 0 { self.node.now } else { 0.0 };
                let entry = server_entry(id, states[(x / 12) as usize % 3], started_at);
                self.listed.insert(entry.server, entry.clone());
                self.handle(Event::ServerList { kind: ListKind::Delta, entries: vec![entry] });
            }
            19 => {
                // A full list that may be empty or lack some servers.
                let now = self.node.now;
                let is_listed = |id: &u64| x % 5 != 0 && (x >> id) & 1 == 0;
                let list: Vec<_> = (1..=12)
                    .filter(is_listed)
                    .map(|id| server_entry(id, ServerState::Ready, now - 500.0))
                    .collect();
                for entry in self.listed.values_mut() {
                    entry.state = ServerState::Gone;
                }
                self.listed.extend(list.iter().map(|e| (e.server, e.clone())));
                self.handle(Event::ServerList { kind: ListKind::Full, entries: list });
            }
            20 => self.handle(Event::ServerList { kind: ListKind::Failed, entries: Vec::new() }),
            21 => {
                // Unknown ids, and an outcome for a request that does not exist.
                let request = RequestId(1 + x % 500 + 1_000_000);
                let actions = self.node.end_attempt(request, 0, Outcome::Reset, false);
                assert!(actions.is_empty());
                self.handle(Event::ClientGone(request));
                self.handle(Event::MessageDelay { request, delay_ms: 1e9 });
                self.handle(Event::Timer(TimerToken(u32::MAX)));
                self.node.balancer.handle(-5.0, Event::Timer(TimerToken(77)), &mut Vec::new());
            }
            22 => {
                if let Some(id) = choose(&|history| history.answers == 0 && !history.open, self) {
                    self.answer_due = true;
                    self.handle(Event::AnswerNow(id));
                    self.answer_due = false;
                    assert_eq!(self.requests[&id].answers, 1, "no answer although it was due");
                }
            }
            _ => {
                let until = self.node.now + (x % 120) as f64;
                self.advance_to(until);
            }
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_070_326),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn random_events_violate_no_guarantee(
        steps in prop::collection::vec((0u8..30, any::<u64>()), 1..400),
    ) {
        let mut world = World::new();
        for (op, x) in steps {
            world.step(op, x);
        }
        // Every request that is still open must be answered before its client times out.
        let until = world.node.now + 2.0 * REQUEST_TIMEOUT_MS;
        world.advance_to(until);
        for history in world.requests.values() {
            prop_assert!(history.answers == 1 || history.open, "{:?}", history);
        }
    }

    #[test]
    fn server_in_slow_start_is_never_sent_enough_to_collapse(
        per_second in 5u32..120,
        servers in 4u64..30,
        seed in any::<u64>(),
    ) {
        let mut settings = settings();
        settings.rules = Rules {
            initial_capacity_ratio: 0.13,
            warm_up_ms: 20_000.0,
            collapse_load_ratio: 3.0,
            collapse_after_ms: 3_000.0,
            ..Rules::default()
        };
        let rules = settings.rules.clone();
        let mut balancer = Balancer::new(settings, seed, 0.0);
        let mut actions = Vec::new();
        let list = Event::ServerList { kind: ListKind::Cached, entries: entries(servers) };
        balancer.handle(0.0, list, &mut actions);
        let (restarted_at, step_ms) = (30_000.0, 1_000.0 / f64::from(per_second));
        let mut restart_listed = false;
        let mut slow_start_sends = Vec::new();
        for i in 0..(50.0 * f64::from(per_second)) as u64 {
            let now = i as f64 * step_ms;
            actions.clear();
            if !restart_listed && now >= restarted_at {
                restart_listed = true;
                let restarted = ServerEntry { started_at: restarted_at, ..entry(1, 1.0) };
                let kind = ListKind::Delta;
                balancer.handle(now, Event::ServerList { kind, entries: vec![restarted] }, &mut actions);
            }
            let request = RequestId(i);
            let new = NewRequest { request, time_left_ms: 1_000.0, ..NewRequest::default() };
            balancer.handle(now, Event::Request(new), &mut actions);
            if selected_server(&actions) == Some(ServerId(1)) && restart_listed {
                slow_start_sends.push(now);
            }
            let attempt = AttemptNo(0);
            balancer.handle(now, Event::Established { request, attempt, latency_ms: 1.0 }, &mut actions);
            if let Some(old) = i.checked_sub(20 * u64::from(per_second)) {
                let (request, outcome) = (RequestId(old), Outcome::Ok);
                let ended = Event::AttemptEnded { request, attempt, outcome, closed: true };
                balancer.handle(now, ended, &mut actions);
            }
        }
        // Connections per millisecond that each server gets on average: at most its capacity when warmed up.
        let fair_rate = f64::from(per_second) / 1_000.0 / servers as f64;
        for (i, from) in slow_start_sends.iter().enumerate() {
            let end = from + rules.collapse_after_ms;
            let sends = slow_start_sends[i..].iter().take_while(|at| **at < end).count() as f64;
            let progress = ((from - restarted_at) / rules.warm_up_ms).min(1.0);
            let capacity = rules.initial_capacity_ratio + (1.0 - rules.initial_capacity_ratio) * progress;
            let collapse_count = rules.collapse_load_ratio * capacity * fair_rate * rules.collapse_after_ms;
            // At least one connection may always be sent.
            prop_assert!(
                sends <= collapse_count.max(1.0) + 1.0,
                "{} sent, {} make it collapse",
                sends,
                collapse_count
            );
        }
        prop_assert!(!slow_start_sends.is_empty(), "a server in slow start receives nothing");
    }
}
