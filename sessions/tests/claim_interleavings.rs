//! Claims on sessions, in every order in which the answers to their calls may arrive, and with lost links and
//! early timers in between.
#![allow(missing_docs, reason = "test names describe the guarded failure")]

use marllink::{RequestId, ServerId, ZoneId};
use marllink_emulator::model::LeaseReplica;
use marllink_lease_protocol::{Call, Reply, call, reply};
use marllink_sessions::{Command, Event, KeyRing, ListedServer, SessionRequest, Sessions, Settings};
use std::collections::{BTreeMap, VecDeque};

const SECRET: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const UNIX_MS: f64 = 1_700_000_000_000.0;
/// Three replicas and the holder of the session.
const SERVERS: u64 = 4;
const HOLDER: ServerId = ServerId(1);
const OWNER_REQUEST: RequestId = RequestId(1);
const CLAIM_REQUEST: RequestId = RequestId(2);
/// Time that the session has been held when its owner is killed, in milliseconds.
const HELD_MS: f64 = 300.0;

fn keys() -> KeyRing {
    let file = format!(r#"{{"keys":[{{"id":1,"secret":"{SECRET}"}}]}}"#);
    KeyRing::parse(file.as_bytes(), UNIX_MS).expect("the key file is valid")
}

/// What happens before and during a claim.
#[derive(Clone, Copy, Debug, Default)]
struct Scenario {
    /// Number of replicas that have restarted empty.
    restarted: usize,
    /// The holder does not answer the request to release the session.
    holder_silent: bool,
    /// How often the timer may fire while answers are under way.
    early_timers: usize,
    /// How often a link may be lost while answers are under way.
    lost_links: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Proceed,
    Busy,
    Error,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    DeliverReply(u64),
    LoseLink(u64),
    FireTimer,
}

struct EmulatedServer {
    replica: LeaseReplica,
    incarnation: u64,
    /// Replies that have not reached the claimant yet, in order.
    replies: VecDeque<Reply>,
}

struct Network {
    scenario: Scenario,
    now: f64,
    claimant: Sessions,
    servers: BTreeMap<u64, EmulatedServer>,
    timer_at: f64,
    answer: Option<Answer>,
    early_timers: usize,
    lost_links: usize,
}

impl Network {
    /// Begins a session at its owner, kills the owner without a release, and presents the client's token to
    /// another balancer.
    fn new(scenario: Scenario) -> Self {
        let server = || EmulatedServer {
            replica: LeaseReplica::new(100, None),
            incarnation: 1,
            replies: VecDeque::new(),
        };
        let mut network = Self {
            scenario,
            now: 1_000.0,
            claimant: Sessions::new(Settings::default(), keys(), [1; 32], 1_000.0, UNIX_MS),
            servers: (1..=SERVERS).map(|number| (number, server())).collect(),
            timer_at: f64::INFINITY,
            answer: None,
            early_timers: scenario.early_timers,
            lost_links: scenario.lost_links,
        };
        let token = network.hold_session();
        network.now += HELD_MS;
        let replicas = (1..=SERVERS).filter(|number| *number != HOLDER.0);
        for number in replicas.take(scenario.restarted) {
            let server = network.servers.get_mut(&number).expect("a listed server");
            server.replica = LeaseReplica::new(100, None);
            server.incarnation += 1;
        }
        network.claimant =
            Sessions::new(Settings::default(), keys(), [2; 32], network.now, UNIX_MS + network.now);
        network.feed(Event::Servers(listed()));
        network.deliver_all();
        network.feed(Event::SessionRequested {
            request: CLAIM_REQUEST,
            session_request: SessionRequest::Resume(token),
            wait_ms: 4_800.0,
        });
        network
    }

    /// Begins a session, has it held, and returns the client's token.
    fn hold_session(&mut self) -> Vec<u8> {
        self.feed(Event::Servers(listed()));
        self.deliver_all();
        self.feed(Event::SessionRequested {
            request: OWNER_REQUEST,
            session_request: SessionRequest::New,
            wait_ms: 4_800.0,
        });
        self.feed(Event::AttemptStarted { request: OWNER_REQUEST, server: HOLDER });
        self.feed(Event::LeaseRequested { request: OWNER_REQUEST, k: 1 });
        self.deliver_all();
        assert!(self.claimant.has_lease(OWNER_REQUEST));
        let commands = self.feed(Event::AttemptEstablished { request: OWNER_REQUEST });
        let token = commands.into_iter().find_map(|command| match command {
            Command::SendToClient { lines, .. } => Some(String::from_utf8(lines).expect("text")),
            _ => None,
        });
        let token = token.expect("the client receives a token");
        token.trim_end().strip_prefix("TOKEN ").expect("a token line").as_bytes().to_vec()
    }

    /// Feeds an event, carries out its commands, and returns them.
    fn feed(&mut self, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.claimant.handle(self.now, event, &mut commands);
        for command in &commands {
            self.execute(command);
        }
        commands
    }

    fn execute(&mut self, command: &Command) {
        match command {
            Command::OpenLink(server) => {
                let incarnation = self.servers[&server.0].incarnation;
                self.feed(Event::LinkUp { server: *server, incarnation });
            }
            Command::Call { server, call } => self.call(*server, call),
            Command::SetTimer(delay_ms) => self.timer_at = self.now + delay_ms,
            Command::Proceed(CLAIM_REQUEST) => self.set_answer(Answer::Proceed),
            Command::ReplyBusy { request: CLAIM_REQUEST, .. } => self.set_answer(Answer::Busy),
            Command::ReplyError { request: CLAIM_REQUEST, .. } => self.set_answer(Answer::Error),
            _ => {}
        }
    }

    fn set_answer(&mut self, answer: Answer) {
        assert_eq!(self.answer, None, "a request has one answer");
        self.answer = Some(answer);
    }

    /// A server handles each call at once; its reply is delivered later.
    fn call(&mut self, number: ServerId, call: &Call) {
        let owner = self.claimant.owner();
        let server = self.servers.get_mut(&number.0).expect("a listed server");
        match call.body.as_ref().expect("a call has a body") {
            call::Body::LetGo(_) if self.scenario.holder_silent => {}
            call::Body::LetGo(release) => {
                server.replies.push_back(Reply::new(reply::Body::LetGo(*release)));
            }
            _ => server.replies.extend(server.replica.handle(self.now, owner, call)),
        }
        // Renewals are not what the orders are about.
        if let Some(Reply { body: Some(reply::Body::Renewed(_)) }) = server.replies.back() {
            let reply = server.replies.pop_back().expect("the last reply");
            self.feed(Event::ReplyReceived { server: number, reply });
        }
    }

    fn deliver_reply(&mut self, number: u64) {
        let server = self.servers.get_mut(&number).expect("a listed server");
        if let Some(reply) = server.replies.pop_front() {
            self.feed(Event::ReplyReceived { server: ServerId(number), reply });
        }
    }

    fn deliver_all(&mut self) {
        while let Some(number) = self.servers_with_replies().first() {
            self.deliver_reply(*number);
        }
    }

    fn servers_with_replies(&self) -> Vec<u64> {
        self.servers.iter().filter(|(_, server)| !server.replies.is_empty()).map(|(n, _)| *n).collect()
    }

    fn possible_steps(&self) -> Vec<Step> {
        let waiting = self.servers_with_replies();
        let mut steps: Vec<_> = waiting.iter().map(|number| Step::DeliverReply(*number)).collect();
        if self.lost_links > 0 {
            steps.extend(waiting.iter().map(|number| Step::LoseLink(*number)));
        }
        if steps.is_empty() || self.early_timers > 0 {
            steps.push(Step::FireTimer);
        }
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::DeliverReply(number) => self.deliver_reply(number),
            Step::LoseLink(number) => {
                self.lost_links -= 1;
                self.servers.get_mut(&number).expect("a listed server").replies.clear();
                self.feed(Event::LinkDown { server: ServerId(number) });
            }
            Step::FireTimer => {
                if !self.servers_with_replies().is_empty() {
                    self.early_timers -= 1;
                }
                assert!(self.timer_at.is_finite(), "the claim waits for nothing");
                self.now = self.now.max(self.timer_at);
                self.timer_at = f64::INFINITY;
                self.feed(Event::Timer);
            }
        }
    }
}

fn listed() -> Vec<ListedServer> {
    let server = |number| ListedServer { server: ServerId(number), zone: ZoneId(0), ready: true };
    (1..=SERVERS).map(server).collect()
}

/// Runs a scenario once for each order of events, and returns the answers with the steps that led to them.
fn explore(scenario: Scenario) -> Vec<(Answer, Vec<Step>)> {
    let mut answers = Vec::new();
    // The choice made at each step, and the number of choices there.
    let mut choices: Vec<(usize, usize)> = Vec::new();
    loop {
        let mut network = Network::new(scenario);
        let mut steps = Vec::new();
        while network.answer.is_none() {
            assert!(steps.len() < 100, "{scenario:?}: no answer after {steps:?}");
            let possible = network.possible_steps();
            if steps.len() == choices.len() {
                choices.push((0, possible.len()));
            }
            let step = possible[choices[steps.len()].0];
            steps.push(step);
            network.take(step);
        }
        answers.extend(network.answer.map(|answer| (answer, steps)));
        while choices.last().is_some_and(|(choice, count)| choice + 1 == *count) {
            choices.pop();
        }
        match choices.last_mut() {
            Some((choice, _)) => *choice += 1,
            None => return answers,
        }
    }
}

fn assert_all(scenario: Scenario, expected: Answer) {
    let answers = explore(scenario);
    let (count, mut other) = (answers.len(), answers.iter().filter(|(answer, _)| *answer != expected));
    println!("{scenario:?}: {count} orders");
    assert!(count > 1, "{scenario:?} has one order only");
    if let Some(first) = other.next() {
        panic!("{scenario:?}: {} of {count} orders end otherwise, such as {first:?}", 1 + other.count());
    }
}

/// The answer may come after the holder has released the session and the replicas were queried again.
#[test]
fn late_answer_to_an_earlier_query_does_not_fail_a_claim() {
    for restarted in 0..=1 {
        for early_timers in 0..=1 {
            for (answer, steps) in explore(Scenario { restarted, early_timers, ..Scenario::default() }) {
                assert_ne!(answer, Answer::Error, "{restarted} restarted: {steps:?}");
            }
        }
    }
}

#[test]
fn lost_link_does_not_fail_a_claim() {
    for restarted in 0..=1 {
        for (answer, steps) in explore(Scenario { restarted, lost_links: 1, ..Scenario::default() }) {
            assert_ne!(answer, Answer::Error, "{restarted} restarted: {steps:?}");
        }
    }
}

/// Refusals that arrive while the holder's reply is awaited say only that it has not released the session yet.
#[test]
fn claim_is_not_declined_while_the_holder_is_about_to_release_the_session() {
    for restarted in 0..=1 {
        assert_all(Scenario { restarted, ..Scenario::default() }, Answer::Proceed);
    }
}

/// The lease of the dead owner lasts longer than a claim: the client is to come again with the same token.
#[test]
fn claim_is_declined_and_not_failed_while_an_unreachable_holder_has_a_lease() {
    for restarted in 0..=1 {
        for early_timers in 0..=1 {
            let scenario = Scenario { restarted, early_timers, holder_silent: true, lost_links: 0 };
            assert_all(scenario, Answer::Busy);
        }
    }
}

#[test]
fn claim_fails_once_a_majority_of_the_replicas_has_lost_the_session() {
    for restarted in 2..=3 {
        for (answer, steps) in explore(Scenario { restarted, early_timers: 1, ..Scenario::default() }) {
            assert_eq!(answer, Answer::Error, "{restarted} restarted: {steps:?}");
        }
    }
}
