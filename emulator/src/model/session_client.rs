//! A drafter at a client: saves fields, one after another, and comes back whenever it is cut off.

use super::Millis;
use super::record::{Note, TokenKind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// How drafters are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionClientConfig {
    /// A save comes so long after the one before, give or take half.
    pub save_interval_ms: Millis,
    /// Fields of the form.
    pub field_count: usize,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Saves that it sends without waiting for their confirmation.
    pub max_unconfirmed: usize,
    /// Who is cut off comes back after so long at least ...
    pub min_reconnect_delay_ms: Millis,
    /// ... and at most.
    pub max_reconnect_delay_ms: Millis,
    /// So many balancers there are to come back to.
    pub balancer_count: usize,
    /// How long it waits for an answer.
    pub answer_timeout_ms: Millis,
    /// It comes back though it is told that another goes on with its session.
    pub resumes_after_taken: bool,
}

/// What a drafter wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Connect to this balancer, and send this line.
    Connect(usize, String),
    /// Send this line.
    SendLine(String),
    /// Close the connection.
    Close,
    /// Write this down.
    Record(Note),
    /// Wake it then.
    WakeAt(Millis),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Comes back at that time.
    Disconnected(Millis),
    /// Waits for an answer.
    AwaitingAnswer,
    /// Its connection stands.
    Connected,
    /// It has ended for good.
    Ended,
}

/// One drafter.
#[derive(Debug)]
pub struct SessionClient {
    number: u64,
    config: SessionClientConfig,
    rng: SmallRng,
    phase: Phase,
    token: Option<String>,
    /// The kind of what was asked by last.
    kind: TokenKind,
    connection: u64,
    confirmed: u64,
    next: u64,
    /// Sent or to be sent, and not confirmed: number, field, value.
    waiting: VecDeque<(u64, String, String)>,
    /// Those of them that were sent on this connection.
    sent: usize,
    save_at: Millis,
    /// No more saves: it only sees what it has through.
    finishing: bool,
    /// When it is woken next.
    armed: Option<Millis>,
}

impl SessionClient {
    /// A drafter who comes at `at` for the first time. Two of the same number and seed do the same.
    #[must_use]
    pub fn new(number: u64, config: SessionClientConfig, seed: u64, at: Millis) -> Self {
        Self {
            number,
            config,
            rng: SmallRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            phase: Phase::Disconnected(at),
            token: None,
            kind: TokenKind::New,
            connection: 0,
            confirmed: 0,
            next: 1,
            waiting: VecDeque::new(),
            sent: 0,
            save_at: 0.0,
            finishing: false,
            armed: None,
        }
    }

    /// Its name in what is written down.
    #[must_use]
    pub fn name(&self) -> String {
        format!("d{}", self.number)
    }

    /// Its token, if it has one.
    #[must_use]
    pub fn token(&self) -> Option<&str> {
        self.token.as_deref()
    }

    /// True while its connection stands.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.phase == Phase::Connected
    }

    /// True once all that it has sent is confirmed, or it has ended for good.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.waiting.is_empty() && self.phase == Phase::Connected || self.phase == Phase::Ended
    }

    /// It saves nothing more, and only sees through what it has.
    pub fn stop_saving(&mut self) {
        self.finishing = true;
    }

    /// Its time has come, for one thing or another.
    pub fn handle_timer(&mut self, now: Millis, actions: &mut Vec<ClientAction>) {
        if self.armed.is_some_and(|at| at <= now) {
            self.armed = None;
        }
        match self.phase {
            Phase::Disconnected(at) if at <= now => self.ask(actions),
            Phase::Disconnected(at) => self.arm(at, actions),
            Phase::Connected => self.work(now, actions),
            Phase::AwaitingAnswer | Phase::Ended => {}
        }
    }

    fn arm(&mut self, at: Millis, actions: &mut Vec<ClientAction>) {
        if self.armed.is_none_or(|armed| armed > at) {
            self.armed = Some(at);
            actions.push(ClientAction::WakeAt(at));
        }
    }

    fn ask(&mut self, actions: &mut Vec<ClientAction>) {
        let balancer = self.rng.random_range(0..self.config.balancer_count);
        self.connection += 1;
        self.kind = if self.token.is_some() { TokenKind::Good } else { TokenKind::New };
        let session = self.token.as_deref().unwrap_or("new");
        let (id, class) = (self.number << 24 | self.connection, "field-save");
        let line = format!(
            "OPEN {id:x} {:x} c={class},d={},s={session}",
            self.number, self.config.answer_timeout_ms as u64
        );
        self.phase = Phase::AwaitingAnswer;
        self.sent = 0;
        let note = Note::OpenSent { connection: self.connection, balancer, token: self.kind };
        actions.push(ClientAction::Record(note));
        actions.push(ClientAction::Connect(balancer, line));
    }

    fn work(&mut self, now: Millis, actions: &mut Vec<ClientAction>) {
        let more = self.waiting.len() < self.config.max_unconfirmed && !self.finishing;
        if self.save_at <= now && more {
            let field = self.rng.random_range(0..self.config.field_count);
            let name = format!("f{field}");
            let mut value = format!("{}.{}.", self.number, self.next);
            while value.len() < self.config.value_bytes {
                value.push(char::from(self.rng.random_range(b'a'..=b'z')));
            }
            actions.push(ClientAction::Record(Note::SaveSent {
                n: self.next,
                name: name.clone(),
                value: value.clone(),
            }));
            self.waiting.push_back((self.next, name, value));
            self.next += 1;
            self.save_at = now + self.config.save_interval_ms * self.rng.random_range(0.5..1.5);
        }
        self.send(actions);
        if !self.finishing {
            self.arm(self.save_at.max(now + 1.0), actions);
        }
    }

    fn send(&mut self, actions: &mut Vec<ClientAction>) {
        for (n, name, value) in self.waiting.iter().skip(self.sent) {
            actions.push(ClientAction::SendLine(format!("SAVE {n} {name}={value}")));
        }
        self.sent = self.waiting.len();
    }

    /// A line has come, without its end.
    pub fn handle_line(&mut self, now: Millis, line: &str, actions: &mut Vec<ClientAction>) {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match (self.phase, word) {
            (Phase::AwaitingAnswer, "UP") => {
                self.answered(word, actions);
                self.phase = Phase::Connected;
                self.save_at = now;
                self.work(now, actions);
            }
            (Phase::AwaitingAnswer, "BUSY") => {
                self.answered(word, actions);
                let wait = rest.parse().unwrap_or(0.0);
                self.leave(now, wait, actions);
            }
            (Phase::AwaitingAnswer, _) => {
                self.answered(word, actions);
                if self.token.take().is_some() {
                    // What it had is lost to it; whether that may be, the checker tells.
                    actions.push(ClientAction::Record(Note::SessionAbandoned));
                    self.phase = Phase::Ended;
                    actions.push(ClientAction::Close);
                } else {
                    self.leave(now, 0.0, actions);
                }
            }
            (Phase::Connected, "TOKEN") => {
                self.token = Some(rest.to_owned());
                actions.push(ClientAction::SendLine("HAVE".into()));
            }
            (Phase::Connected, "SAVED") => {
                let n = rest.parse().unwrap_or(0).min(self.next - 1);
                if n > self.confirmed {
                    self.confirmed = n;
                    while self.waiting.front().is_some_and(|(first, ..)| *first <= n) {
                        self.waiting.pop_front();
                        self.sent = self.sent.saturating_sub(1);
                    }
                    actions.push(ClientAction::Record(Note::SavesConfirmed { n }));
                }
            }
            (Phase::Connected, "GAP") => {
                // All from this one on are sent again.
                let from: u64 = rest.parse().unwrap_or(0);
                self.sent = self.waiting.iter().filter(|(n, ..)| *n < from).count();
                self.send(actions);
            }
            (Phase::Connected, "FULL") => {
                let n: u64 = rest.parse().unwrap_or(0);
                actions.push(ClientAction::Record(Note::JournalFull { n }));
                if let Some((_, _, value)) = self.waiting.iter_mut().find(|(m, ..)| *m == n) {
                    // It says the same in fewer words.
                    value.truncate(8);
                    let (_, name, value) = self.waiting.iter().find(|(m, ..)| *m == n).expect("just seen");
                    actions.push(ClientAction::Record(Note::SaveSent {
                        n,
                        name: name.clone(),
                        value: value.clone(),
                    }));
                    actions.push(ClientAction::SendLine(format!("SAVE {n} {name}={value}")));
                }
            }
            (Phase::Connected, "MOVE" | "TAKEN" | "BYE") => {
                actions.push(ClientAction::Record(Note::ConnectionEnded {
                    connection: self.connection,
                    how: word.into(),
                }));
                if word == "MOVE" || word == "TAKEN" && self.config.resumes_after_taken {
                    self.leave(now, 0.0, actions);
                } else {
                    self.phase = Phase::Ended;
                }
            }
            _ => {}
        }
    }

    /// The connection has ended.
    pub fn handle_close(&mut self, now: Millis, how: &str, actions: &mut Vec<ClientAction>) {
        match self.phase {
            Phase::AwaitingAnswer => {
                self.answered("", actions);
                self.leave(now, 0.0, actions);
            }
            Phase::Connected => {
                actions.push(ClientAction::Record(Note::ConnectionEnded {
                    connection: self.connection,
                    how: how.into(),
                }));
                self.leave(now, 0.0, actions);
            }
            Phase::Disconnected(_) | Phase::Ended => {}
        }
    }

    fn answered(&self, word: &str, actions: &mut Vec<ClientAction>) {
        let (connection, word, token) = (self.connection, word.to_owned(), self.kind);
        actions.push(ClientAction::Record(Note::Answered { connection, word, token }));
    }

    /// Comes back after some time, or after what it was told.
    fn leave(&mut self, now: Millis, told: Millis, actions: &mut Vec<ClientAction>) {
        let own =
            self.rng.random_range(self.config.min_reconnect_delay_ms..=self.config.max_reconnect_delay_ms);
        self.phase = Phase::Disconnected(now + if told > 0.0 { told } else { own });
        actions.push(ClientAction::Close);
        if let Phase::Disconnected(at) = self.phase {
            self.arm(at, actions);
        }
    }
}
