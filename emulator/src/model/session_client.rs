//! A client that saves form fields in a resumable session, and reconnects whenever it is disconnected.

use super::Millis;
use super::record::{Note, TokenKind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Behavior of session clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionClientConfig {
    /// Mean interval between saves. Each interval is drawn between half and one and a half times this.
    pub save_interval_ms: Millis,
    /// Number of fields in the form.
    pub field_count: usize,
    /// Size of a value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of saves without a confirmation.
    pub max_unconfirmed: usize,
    /// Minimum delay before a disconnected client reconnects.
    pub min_reconnect_delay_ms: Millis,
    /// Maximum delay before a disconnected client reconnects.
    pub max_reconnect_delay_ms: Millis,
    /// Number of balancers; each connection goes to one of them at random.
    pub balancer_count: usize,
    /// Time that the client waits for an answer, as sent in its request.
    pub answer_timeout_ms: Millis,
    /// Whether the client reconnects although `TAKEN` said that its session was resumed elsewhere.
    pub resumes_after_taken: bool,
}

/// An action that the caller carries out for the client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Connect to this balancer, and send this line.
    Connect(usize, String),
    /// Send this line.
    SendLine(String),
    /// Close the connection.
    Close,
    /// Log this event.
    Record(Note),
    /// Call [`SessionClient::handle_timer`] at this time.
    WakeAt(Millis),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Not connected; reconnects at this time.
    Disconnected(Millis),
    /// Has sent its request.
    AwaitingAnswer,
    /// Has an established connection.
    Connected,
    /// Will not reconnect.
    Ended,
}

/// One client.
#[derive(Debug)]
pub struct SessionClient {
    number: u64,
    config: SessionClientConfig,
    rng: SmallRng,
    phase: Phase,
    token: Option<String>,
    /// The kind of token in the last request.
    token_kind: TokenKind,
    connection: u64,
    confirmed: u64,
    next_save: u64,
    /// Saves without a confirmation, sent or not: number, field, value.
    unconfirmed: VecDeque<(u64, String, String)>,
    /// Number of saves in `unconfirmed` that were sent on the current connection.
    sent_count: usize,
    save_at: Millis,
    /// Whether the client makes no new saves and only waits until its unconfirmed ones are confirmed.
    stopping: bool,
    /// Time of the earliest pending [`ClientAction::WakeAt`].
    wake_at: Option<Millis>,
}

impl SessionClient {
    /// Returns a client that connects at `at` for the first time. Clients with the same number and seed behave the same.
    #[must_use]
    pub fn new(number: u64, config: SessionClientConfig, seed: u64, at: Millis) -> Self {
        Self {
            number,
            config,
            rng: SmallRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            phase: Phase::Disconnected(at),
            token: None,
            token_kind: TokenKind::New,
            connection: 0,
            confirmed: 0,
            next_save: 1,
            unconfirmed: VecDeque::new(),
            sent_count: 0,
            save_at: 0.0,
            stopping: false,
            wake_at: None,
        }
    }

    /// Returns the name of the client in log entries.
    #[must_use]
    pub fn name(&self) -> String {
        format!("d{}", self.number)
    }

    /// Returns the latest token of the client.
    #[must_use]
    pub fn token(&self) -> Option<&str> {
        self.token.as_deref()
    }

    /// Returns true while the connection of the client is established.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.phase == Phase::Connected
    }

    /// Returns true once the client is connected and all its saves are confirmed, or it will not reconnect.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.unconfirmed.is_empty() && self.phase == Phase::Connected || self.phase == Phase::Ended
    }

    /// Stops making saves. Unconfirmed saves are still sent.
    pub fn stop_saving(&mut self) {
        self.stopping = true;
    }

    /// Handles a timer set by [`ClientAction::WakeAt`].
    pub fn handle_timer(&mut self, now: Millis, actions: &mut Vec<ClientAction>) {
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
        }
        match self.phase {
            Phase::Disconnected(at) if at <= now => self.connect(actions),
            Phase::Disconnected(at) => self.set_timer(at, actions),
            Phase::Connected => self.save(now, actions),
            Phase::AwaitingAnswer | Phase::Ended => {}
        }
    }

    fn set_timer(&mut self, at: Millis, actions: &mut Vec<ClientAction>) {
        if self.wake_at.is_none_or(|wake_at| wake_at > at) {
            self.wake_at = Some(at);
            actions.push(ClientAction::WakeAt(at));
        }
    }

    fn connect(&mut self, actions: &mut Vec<ClientAction>) {
        let balancer = self.rng.random_range(0..self.config.balancer_count);
        self.connection += 1;
        self.token_kind = if self.token.is_some() { TokenKind::Good } else { TokenKind::New };
        let session = self.token.as_deref().unwrap_or("new");
        let (id, class) = (self.number << 24 | self.connection, "field-save");
        let line = format!(
            "OPEN {id:x} {:x} c={class},d={},s={session}",
            self.number, self.config.answer_timeout_ms as u64
        );
        self.phase = Phase::AwaitingAnswer;
        self.sent_count = 0;
        let note = Note::OpenSent { connection: self.connection, balancer, token: self.token_kind };
        actions.push(ClientAction::Record(note));
        actions.push(ClientAction::Connect(balancer, line));
    }

    fn save(&mut self, now: Millis, actions: &mut Vec<ClientAction>) {
        let may_save = self.unconfirmed.len() < self.config.max_unconfirmed && !self.stopping;
        if self.save_at <= now && may_save {
            let field = self.rng.random_range(0..self.config.field_count);
            let name = format!("f{field}");
            let mut value = format!("{}.{}.", self.number, self.next_save);
            while value.len() < self.config.value_bytes {
                value.push(char::from(self.rng.random_range(b'a'..=b'z')));
            }
            actions.push(ClientAction::Record(Note::SaveSent {
                n: self.next_save,
                name: name.clone(),
                value: value.clone(),
            }));
            self.unconfirmed.push_back((self.next_save, name, value));
            self.next_save += 1;
            self.save_at = now + self.config.save_interval_ms * self.rng.random_range(0.5..1.5);
        }
        self.send_unsent(actions);
        if !self.stopping {
            self.set_timer(self.save_at.max(now + 1.0), actions);
        }
    }

    fn send_unsent(&mut self, actions: &mut Vec<ClientAction>) {
        for (n, name, value) in self.unconfirmed.iter().skip(self.sent_count) {
            actions.push(ClientAction::SendLine(format!("SAVE {n} {name}={value}")));
        }
        self.sent_count = self.unconfirmed.len();
    }

    /// Handles a line, without its line end.
    pub fn handle_line(&mut self, now: Millis, line: &str, actions: &mut Vec<ClientAction>) {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match (self.phase, word) {
            (Phase::AwaitingAnswer, "UP") => {
                self.record_answer(word, actions);
                self.phase = Phase::Connected;
                self.save_at = now;
                self.save(now, actions);
            }
            (Phase::AwaitingAnswer, "BUSY") => {
                self.record_answer(word, actions);
                let retry_after_ms = rest.parse().unwrap_or(0.0);
                self.disconnect(now, retry_after_ms, actions);
            }
            (Phase::AwaitingAnswer, _) => {
                self.record_answer(word, actions);
                if self.token.take().is_some() {
                    // The session is lost. The checker counts it as abandoned.
                    actions.push(ClientAction::Record(Note::SessionAbandoned));
                    self.phase = Phase::Ended;
                    actions.push(ClientAction::Close);
                } else {
                    self.disconnect(now, 0.0, actions);
                }
            }
            (Phase::Connected, "TOKEN") => {
                self.token = Some(rest.to_owned());
                actions.push(ClientAction::SendLine("HAVE".into()));
            }
            (Phase::Connected, "SAVED") => {
                let n = rest.parse().unwrap_or(0).min(self.next_save - 1);
                if n > self.confirmed {
                    self.confirmed = n;
                    while self.unconfirmed.front().is_some_and(|(first, ..)| *first <= n) {
                        self.unconfirmed.pop_front();
                        self.sent_count = self.sent_count.saturating_sub(1);
                    }
                    actions.push(ClientAction::Record(Note::SavesConfirmed { n }));
                }
            }
            (Phase::Connected, "GAP") => {
                // All saves from this one on are sent again.
                let from: u64 = rest.parse().unwrap_or(0);
                self.sent_count = self.unconfirmed.iter().filter(|(n, ..)| *n < from).count();
                self.send_unsent(actions);
            }
            (Phase::Connected, "FULL") => {
                let n: u64 = rest.parse().unwrap_or(0);
                actions.push(ClientAction::Record(Note::JournalFull { n }));
                if let Some((_, _, value)) = self.unconfirmed.iter_mut().find(|(other, ..)| *other == n) {
                    // The save is sent again with a shorter value.
                    value.truncate(8);
                    let (_, name, value) = self
                        .unconfirmed
                        .iter()
                        .find(|(other, ..)| *other == n)
                        .expect("the save was found above");
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
                    self.disconnect(now, 0.0, actions);
                } else {
                    self.phase = Phase::Ended;
                }
            }
            _ => {}
        }
    }

    /// Handles the end of the connection; `how` is `closed`, `reset` or `refused`.
    pub fn handle_close(&mut self, now: Millis, how: &str, actions: &mut Vec<ClientAction>) {
        match self.phase {
            Phase::AwaitingAnswer => {
                self.record_answer("", actions);
                self.disconnect(now, 0.0, actions);
            }
            Phase::Connected => {
                actions.push(ClientAction::Record(Note::ConnectionEnded {
                    connection: self.connection,
                    how: how.into(),
                }));
                self.disconnect(now, 0.0, actions);
            }
            Phase::Disconnected(_) | Phase::Ended => {}
        }
    }

    fn record_answer(&self, word: &str, actions: &mut Vec<ClientAction>) {
        let (connection, word, token) = (self.connection, word.to_owned(), self.token_kind);
        actions.push(ClientAction::Record(Note::Answered { connection, word, token }));
    }

    /// Closes the connection and schedules the next one, after the delay that the balancer asked for, or a random one if
    /// `retry_after_ms` is 0.
    fn disconnect(&mut self, now: Millis, retry_after_ms: Millis, actions: &mut Vec<ClientAction>) {
        let delay =
            self.rng.random_range(self.config.min_reconnect_delay_ms..=self.config.max_reconnect_delay_ms);
        self.phase = Phase::Disconnected(now + if retry_after_ms > 0.0 { retry_after_ms } else { delay });
        actions.push(ClientAction::Close);
        if let Phase::Disconnected(at) = self.phase {
            self.set_timer(at, actions);
        }
    }
}
