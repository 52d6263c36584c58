//! A drafter at a client: saves fields, one after another, and comes back whenever it is cut off.

use super::Millis;
use super::record::{Note, TokenKind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// How drafters are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Habits {
    /// A save comes so long after the one before, give or take half.
    pub save_every_ms: Millis,
    /// Fields of the form.
    pub fields: usize,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Saves that it sends without waiting for their confirmation.
    pub in_flight: usize,
    /// Who is cut off comes back after so long at least ...
    pub back_from_ms: Millis,
    /// ... and at most.
    pub back_to_ms: Millis,
    /// So many balancers there are to come back to.
    pub balancers: usize,
    /// How long it waits for an answer.
    pub wait_ms: Millis,
    /// It comes back though it is told that another goes on with its session.
    pub stubborn: bool,
}

/// What a drafter wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Wish {
    /// Connect to this balancer, and send this line.
    Connect(usize, String),
    /// Send this line.
    Line(String),
    /// Close the connection.
    Close,
    /// Write this down.
    Note(Note),
    /// Wake it then.
    Wake(Millis),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    /// Comes back at that time.
    Away(Millis),
    /// Waits for an answer.
    Asking,
    /// Its connection stands.
    Working,
    /// It has ended for good.
    Gone,
}

/// One drafter.
#[derive(Debug)]
pub struct Drafter {
    number: u64,
    habits: Habits,
    rng: SmallRng,
    place: Place,
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

impl Drafter {
    /// A drafter who comes at `at` for the first time. Two of the same number and seed do the same.
    #[must_use]
    pub fn new(number: u64, habits: Habits, seed: u64, at: Millis) -> Self {
        Self {
            number,
            habits,
            rng: SmallRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            place: Place::Away(at),
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
    pub fn working(&self) -> bool {
        self.place == Place::Working
    }

    /// True once all that it has sent is confirmed, or it has ended for good.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.waiting.is_empty() && self.place == Place::Working || self.place == Place::Gone
    }

    /// It saves nothing more, and only sees through what it has.
    pub fn finish(&mut self) {
        self.finishing = true;
    }

    /// Its time has come, for one thing or another.
    pub fn wake(&mut self, now: Millis, wishes: &mut Vec<Wish>) {
        if self.armed.is_some_and(|at| at <= now) {
            self.armed = None;
        }
        match self.place {
            Place::Away(at) if at <= now => self.ask(wishes),
            Place::Away(at) => self.arm(at, wishes),
            Place::Working => self.work(now, wishes),
            Place::Asking | Place::Gone => {}
        }
    }

    fn arm(&mut self, at: Millis, wishes: &mut Vec<Wish>) {
        if self.armed.is_none_or(|armed| armed > at) {
            self.armed = Some(at);
            wishes.push(Wish::Wake(at));
        }
    }

    fn ask(&mut self, wishes: &mut Vec<Wish>) {
        let balancer = self.rng.random_range(0..self.habits.balancers);
        self.connection += 1;
        self.kind = if self.token.is_some() { TokenKind::Good } else { TokenKind::New };
        let session = self.token.as_deref().unwrap_or("new");
        let (id, class) = (self.number << 24 | self.connection, "field-save");
        let line =
            format!("OPEN {id:x} {:x} c={class},d={},s={session}", self.number, self.habits.wait_ms as u64);
        self.place = Place::Asking;
        self.sent = 0;
        let note = Note::Asks { connection: self.connection, balancer, token: self.kind };
        wishes.push(Wish::Note(note));
        wishes.push(Wish::Connect(balancer, line));
    }

    fn work(&mut self, now: Millis, wishes: &mut Vec<Wish>) {
        let more = self.waiting.len() < self.habits.in_flight && !self.finishing;
        if self.save_at <= now && more {
            let field = self.rng.random_range(0..self.habits.fields);
            let name = format!("f{field}");
            let mut value = format!("{}.{}.", self.number, self.next);
            while value.len() < self.habits.value_bytes {
                value.push(char::from(self.rng.random_range(b'a'..=b'z')));
            }
            wishes.push(Wish::Note(Note::Sends { n: self.next, name: name.clone(), value: value.clone() }));
            self.waiting.push_back((self.next, name, value));
            self.next += 1;
            self.save_at = now + self.habits.save_every_ms * self.rng.random_range(0.5..1.5);
        }
        self.send(wishes);
        if !self.finishing {
            self.arm(self.save_at.max(now + 1.0), wishes);
        }
    }

    fn send(&mut self, wishes: &mut Vec<Wish>) {
        for (n, name, value) in self.waiting.iter().skip(self.sent) {
            wishes.push(Wish::Line(format!("SAVE {n} {name}={value}")));
        }
        self.sent = self.waiting.len();
    }

    /// A line has come, without its end.
    pub fn line(&mut self, now: Millis, line: &str, wishes: &mut Vec<Wish>) {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match (self.place, word) {
            (Place::Asking, "UP") => {
                self.answered(word, wishes);
                self.place = Place::Working;
                self.save_at = now;
                self.work(now, wishes);
            }
            (Place::Asking, "BUSY") => {
                self.answered(word, wishes);
                let wait = rest.parse().unwrap_or(0.0);
                self.leave(now, wait, wishes);
            }
            (Place::Asking, _) => {
                self.answered(word, wishes);
                if self.token.take().is_some() {
                    // What it had is lost to it; whether that may be, the checker tells.
                    wishes.push(Wish::Note(Note::GivesUp));
                    self.place = Place::Gone;
                    wishes.push(Wish::Close);
                } else {
                    self.leave(now, 0.0, wishes);
                }
            }
            (Place::Working, "TOKEN") => {
                self.token = Some(rest.to_owned());
                wishes.push(Wish::Line("HAVE".into()));
            }
            (Place::Working, "SAVED") => {
                let n = rest.parse().unwrap_or(0).min(self.next - 1);
                if n > self.confirmed {
                    self.confirmed = n;
                    while self.waiting.front().is_some_and(|(first, ..)| *first <= n) {
                        self.waiting.pop_front();
                        self.sent = self.sent.saturating_sub(1);
                    }
                    wishes.push(Wish::Note(Note::Confirmed { n }));
                }
            }
            (Place::Working, "GAP") => {
                // All from this one on are sent again.
                let from: u64 = rest.parse().unwrap_or(0);
                self.sent = self.waiting.iter().filter(|(n, ..)| *n < from).count();
                self.send(wishes);
            }
            (Place::Working, "FULL") => {
                let n: u64 = rest.parse().unwrap_or(0);
                wishes.push(Wish::Note(Note::Full { n }));
                if let Some((_, _, value)) = self.waiting.iter_mut().find(|(m, ..)| *m == n) {
                    // It says the same in fewer words.
                    value.truncate(8);
                    let (_, name, value) = self.waiting.iter().find(|(m, ..)| *m == n).expect("just seen");
                    wishes.push(Wish::Note(Note::Sends { n, name: name.clone(), value: value.clone() }));
                    wishes.push(Wish::Line(format!("SAVE {n} {name}={value}")));
                }
            }
            (Place::Working, "MOVE" | "TAKEN" | "BYE") => {
                wishes.push(Wish::Note(Note::Ends { connection: self.connection, how: word.into() }));
                if word == "MOVE" || word == "TAKEN" && self.habits.stubborn {
                    self.leave(now, 0.0, wishes);
                } else {
                    self.place = Place::Gone;
                }
            }
            _ => {}
        }
    }

    /// The connection has ended.
    pub fn ended(&mut self, now: Millis, how: &str, wishes: &mut Vec<Wish>) {
        match self.place {
            Place::Asking => {
                self.answered("", wishes);
                self.leave(now, 0.0, wishes);
            }
            Place::Working => {
                wishes.push(Wish::Note(Note::Ends { connection: self.connection, how: how.into() }));
                self.leave(now, 0.0, wishes);
            }
            Place::Away(_) | Place::Gone => {}
        }
    }

    fn answered(&self, word: &str, wishes: &mut Vec<Wish>) {
        let (connection, word, token) = (self.connection, word.to_owned(), self.kind);
        wishes.push(Wish::Note(Note::Answered { connection, word, token }));
    }

    /// Comes back after some time, or after what it was told.
    fn leave(&mut self, now: Millis, told: Millis, wishes: &mut Vec<Wish>) {
        let own = self.rng.random_range(self.habits.back_from_ms..=self.habits.back_to_ms);
        self.place = Place::Away(now + if told > 0.0 { told } else { own });
        wishes.push(Wish::Close);
        if let Place::Away(at) = self.place {
            self.arm(at, wishes);
        }
    }
}
