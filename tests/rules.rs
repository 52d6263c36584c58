//! The four rules under random events, with lists, outcomes and clients that misbehave.
#![allow(missing_docs, reason = "tests are named for what they show")]

mod support;

use marllink::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::HashMap;
use support::*;

const LEFT: Millis = 900.0;
const WINDOW: Millis = 400.0;

/// What a request has been through, as the rules see it.
#[derive(Debug)]
struct Seen {
    effect: Idempotency,
    deadline: Millis,
    /// The attempt out: its number, server, end by time-out, and when it was sent.
    out: Option<(u8, ServerId, Millis, Millis)>,
    attempts: u8,
    open: bool,
    answers: usize,
    /// When and where an attempt may first have run.
    ran: Option<(Millis, ServerId)>,
}

struct World {
    node: Node,
    listed: HashMap<ServerId, ServerEntry>,
    requests: HashMap<RequestId, Seen>,
    timers: Vec<(Millis, TimerToken)>,
    /// An answer is asked for at once: it may be given while an attempt is out.
    now_due: bool,
}

fn effects() -> Vec<Idempotency> {
    let keyed = |scope| Idempotency::Keyed { scope, window_ms: WINDOW };
    vec![
        Idempotency::Safe,
        keyed(DedupScope::All),
        keyed(DedupScope::Zone),
        keyed(DedupScope::Cell),
        Idempotency::Unsafe,
    ]
}

fn host(id: u64, state: ServerState, started_at: Millis) -> ServerEntry {
    // Zones and cells of two and four servers, so that a keyed request has few to go to.
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
        // Aims long enough for some requests to be held.
        settings.classes = (effects().into_iter().zip([300.0, 500.0, 600.0, 700.0, 800.0]))
            .map(|(effect, aim_ms)| Class {
                setup_goal_ms: aim_ms,
                idempotency: effect,
                message_goal_ms: 50.0,
                ..Class::default()
            })
            .collect();
        let list: Vec<_> = (1..=12).map(|id| host(id, ServerState::Ready, 0.0)).collect();
        let listed = list.iter().map(|e| (e.server, e.clone())).collect();
        let node = Node::new(settings, list);
        Self { node, listed, requests: HashMap::new(), timers: vec![(1200.0, TimerToken(0))], now_due: false }
    }

    fn feed(&mut self, event: Event) {
        let actions = self.node.on(event);
        self.check(actions);
    }

    fn check(&mut self, actions: Vec<Action>) {
        let now = self.node.now;
        for action in actions {
            match action {
                Action::Send { request, server, timeout_ms } => {
                    let seen = self.requests.get_mut(&request).expect("a request that was given");
                    assert_eq!(seen.answers, 0, "sent after the final answer");
                    assert!(seen.out.is_none(), "two attempts out together");
                    let entry = self.listed.get(&server).expect("a listed server");
                    assert_eq!(entry.state, ServerState::Ready, "sent to a server that drains or is gone");
                    if let Some((at, first)) = seen.ran {
                        let (a, b) = (entry, &self.listed[&first]);
                        assert!(
                            match seen.effect {
                                Idempotency::Safe => true,
                                Idempotency::Unsafe => false,
                                Idempotency::Keyed { scope, window_ms } =>
                                    now - at < window_ms
                                        && match scope {
                                            DedupScope::All => true,
                                            DedupScope::Zone => a.zone == b.zone,
                                            DedupScope::Cell => a.cell == b.cell,
                                        },
                            },
                            "an effect may happen twice: {seen:?}"
                        );
                    }
                    let end = (now + timeout_ms).min(seen.deadline);
                    seen.out = Some((seen.attempts, server, end, now));
                    seen.attempts += 1;
                }
                Action::Reject { request, .. } => {
                    let seen = self.requests.get_mut(&request).expect("a request that was given");
                    let unharmed = match seen.effect {
                        Idempotency::Safe | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
                        Idempotency::Keyed { .. } | Idempotency::Unsafe => {
                            seen.ran.is_none() && seen.out.is_none()
                        }
                    };
                    let waited = seen.out.is_none() || self.now_due;
                    assert!(unharmed && waited, "a refusal invites a repeat: {seen:?}");
                    seen.answers += 1;
                }
                Action::Fail(request) => self.requests.get_mut(&request).expect("given").answers += 1,
                Action::Move(request) => {
                    let seen = &self.requests[&request];
                    assert!(seen.open, "moved before it stood");
                }
                Action::SetTimer { delay_ms, token } => self.timers.push((now + delay_ms.max(1.0), token)),
                _ => {}
            }
        }
        for (id, seen) in &self.requests {
            assert!(seen.answers <= 1, "answered twice: {id:?} {seen:?}");
            let late = seen.answers == 0 && !seen.open && now > seen.deadline + 8.0;
            assert!(!late, "no final answer in time: {id:?} {seen:?}");
        }
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) {
        let seen = self.requests.get_mut(&id).expect("known");
        let Some((attempt, server, _, sent)) = seen.out.take() else { return };
        if !outcome.never_executed() && seen.ran.is_none() {
            seen.ran = Some((sent, server));
        }
        let closed = seen.open || outcome == Outcome::Ok || seen.answers > 0;
        if closed && seen.answers == 0 {
            seen.answers = 1;
        }
        seen.open = false;
        let actions = self.node.end(id, attempt, outcome, closed);
        self.check(actions);
    }

    /// Lets time pass to `until`, with time-outs and timers when they are due.
    fn pass(&mut self, until: Millis) {
        loop {
            let timer = self.timers.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
            let timeouts = (self.requests.iter())
                .filter(|(_, s)| !s.open)
                .filter_map(|(id, s)| s.out.map(|(_, _, end, _)| (end, *id)));
            let timeout = timeouts.min_by(|a, b| a.partial_cmp(b).expect("no NaN"));
            let due = timer.min(timeout.map_or(f64::INFINITY, |(end, _)| end));
            if due > until {
                self.node.now = until;
                return;
            }
            self.node.now = self.node.now.max(due);
            if let Some((_, id)) = timeout.filter(|(end, _)| *end <= due) {
                self.end(id, Outcome::TimedOut);
            } else {
                let at = self.timers.iter().position(|(at, _)| *at <= due).expect("a due timer");
                let (_, token) = self.timers.swap_remove(at);
                self.feed(Event::Timer(token));
            }
        }
    }

    fn step(&mut self, op: u8, x: u64) {
        let any = |pick: &dyn Fn(&Seen) -> bool, w: &World| {
            let mut ids: Vec<_> = w.requests.iter().filter(|(_, s)| pick(s)).map(|(id, _)| *id).collect();
            ids.sort();
            (!ids.is_empty()).then(|| ids[x as usize % ids.len()])
        };
        match op {
            0..=5 => {
                let class = (x % 5) as u16;
                self.node.next += 1;
                let request = RequestId(self.node.next);
                let left = if x % 7 == 0 { (x % 50) as f64 } else { LEFT };
                let seen = Seen {
                    effect: effects()[usize::from(class)],
                    deadline: self.node.now + left,
                    out: None,
                    attempts: 0,
                    open: false,
                    answers: 0,
                    ran: None,
                };
                self.requests.insert(request, seen);
                self.feed(Event::Request(NewRequest {
                    request,
                    class: ClassId(class),
                    time_left_ms: left,
                    ..NewRequest::default()
                }));
            }
            6..=9 => {
                if let Some(id) = any(&|s| s.out.is_some() && !s.open && s.answers == 0, self) {
                    let seen = self.requests.get_mut(&id).expect("known");
                    let attempt = AttemptNo(seen.attempts - 1);
                    seen.open = true;
                    self.feed(Event::Established { request: id, attempt, latency_ms: 1.0 });
                }
            }
            10..=13 => {
                if let Some(id) = any(&|s| s.out.is_some(), self) {
                    let seen = &self.requests[&id];
                    let all = [
                        Outcome::Error,
                        Outcome::Full,
                        Outcome::ConnectFailed,
                        Outcome::Reset,
                        Outcome::NotSent,
                        Outcome::Cancelled,
                        Outcome::Ok,
                    ];
                    // A stream that stands can end well, break, or lose its client.
                    let outcome =
                        if seen.open { all[3 + x as usize % 4] } else { all[x as usize % all.len()] };
                    let outcome =
                        if seen.open && outcome == Outcome::NotSent { Outcome::Ok } else { outcome };
                    self.end(id, outcome);
                }
            }
            14 => {
                if let Some(id) = any(&|s| s.answers == 0, self) {
                    self.requests.get_mut(&id).expect("known").answers = 1;
                    self.feed(Event::ClientGone(id));
                }
            }
            15 => {
                if let Some(id) = any(&|s| s.open, self) {
                    self.feed(Event::MessageDelay { request: id, delay_ms: (x % 1500) as f64 });
                }
            }
            16..=18 => {
                let id = 1 + x % 12;
                let states = [ServerState::Ready, ServerState::Draining, ServerState::Gone];
                let started = if x % 2 == 0 { self.node.now } else { 0.0 };
                let entry = host(id, states[(x / 12) as usize % 3], started);
                self.listed.insert(entry.server, entry.clone());
                self.feed(Event::ServerList { kind: ListKind::Delta, entries: vec![entry] });
            }
            19 => {
                // A whole list, at times without lines, at times with some missing.
                let now = self.node.now;
                let keep = |id: &u64| x % 5 != 0 && (x >> id) & 1 == 0;
                let list: Vec<_> =
                    (1..=12).filter(keep).map(|id| host(id, ServerState::Ready, now - 500.0)).collect();
                for entry in self.listed.values_mut() {
                    entry.state = ServerState::Gone;
                }
                self.listed.extend(list.iter().map(|e| (e.server, e.clone())));
                self.feed(Event::ServerList { kind: ListKind::Full, entries: list });
            }
            20 => self.feed(Event::ServerList { kind: ListKind::Failed, entries: Vec::new() }),
            21 => {
                // Ids that mean nothing, and an outcome told again.
                let request = RequestId(1 + x % 500 + 1_000_000);
                let actions = self.node.end(request, 0, Outcome::Reset, false);
                assert!(actions.is_empty());
                self.feed(Event::ClientGone(request));
                self.feed(Event::MessageDelay { request, delay_ms: 1e9 });
                self.feed(Event::Timer(TimerToken(u32::MAX)));
                self.node.balancer.handle(-5.0, Event::Timer(TimerToken(77)), &mut Vec::new());
            }
            22 => {
                if let Some(id) = any(&|s| s.answers == 0 && !s.open, self) {
                    self.now_due = true;
                    self.feed(Event::AnswerNow(id));
                    self.now_due = false;
                    assert_eq!(self.requests[&id].answers, 1, "no answer though it was due");
                }
            }
            _ => {
                let until = self.node.now + (x % 120) as f64;
                self.pass(until);
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
    fn random_events_break_no_rule(
        steps in prop::collection::vec((0u8..30, any::<u64>()), 1..400),
    ) {
        let mut world = World::new();
        for (op, x) in steps {
            world.step(op, x);
        }
        // Whatever was left unanswered must be answered by the time that its client gives up.
        let until = world.node.now + 2.0 * LEFT;
        world.pass(until);
        for seen in world.requests.values() {
            prop_assert!(seen.answers == 1 || seen.open, "{:?}", seen);
        }
    }

    #[test]
    fn a_cold_server_is_never_sent_more_than_would_tip_it(
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
        let mut out = Vec::new();
        let list = Event::ServerList { kind: ListKind::Cached, entries: entries(servers) };
        balancer.handle(0.0, list, &mut out);
        let (born, step) = (30_000.0, 1_000.0 / f64::from(per_second));
        let mut told = false;
        let mut cold_sends = Vec::new();
        for i in 0..(50.0 * f64::from(per_second)) as u64 {
            let now = i as f64 * step;
            out.clear();
            if !told && now >= born {
                told = true;
                let restarted = ServerEntry { started_at: born, ..entry(1, 1.0) };
                let kind = ListKind::Delta;
                balancer.handle(now, Event::ServerList { kind, entries: vec![restarted] }, &mut out);
            }
            let request = RequestId(i);
            let new = NewRequest { request, time_left_ms: 1_000.0, ..NewRequest::default() };
            balancer.handle(now, Event::Request(new), &mut out);
            if sent(&out) == Some(ServerId(1)) && told {
                cold_sends.push(now);
            }
            let attempt = AttemptNo(0);
            balancer.handle(now, Event::Established { request, attempt, latency_ms: 1.0 }, &mut out);
            if let Some(old) = i.checked_sub(20 * u64::from(per_second)) {
                let (request, outcome) = (RequestId(old), Outcome::Ok);
                let over = Event::AttemptEnded { request, attempt, outcome, closed: true };
                balancer.handle(now, over, &mut out);
            }
        }
        // What the others carry for each server, full for a server of its size at most.
        let fair = f64::from(per_second) / 1_000.0 / servers as f64;
        for (i, from) in cold_sends.iter().enumerate() {
            let end = from + rules.collapse_after_ms;
            let sends = cold_sends[i..].iter().take_while(|at| **at < end).count() as f64;
            let warmth = ((from - born) / rules.warm_up_ms).min(1.0);
            let capacity = rules.initial_capacity_ratio + (1.0 - rules.initial_capacity_ratio) * warmth;
            let tips = rules.collapse_load_ratio * capacity * fair * rules.collapse_after_ms;
            // One connection is the least that can be sent.
            prop_assert!(sends <= tips.max(1.0) + 1.0, "{} sent, {} tips it", sends, tips);
        }
        prop_assert!(!cold_sends.is_empty(), "a cold server must not stay empty for good");
    }
}
