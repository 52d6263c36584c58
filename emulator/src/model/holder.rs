//! A holder: what a form host does with sessions that it is given. `docs/protocol-resume.md` has the
//! rules.

use super::record::{Note, name};
use super::{Millis, Plant};
use marllink_lease_protocol::{Ballot, SessionId};
use std::collections::{BTreeMap, HashMap};

/// What a holder says on a connection, or does with it.
#[derive(Clone, Debug, PartialEq)]
pub enum Say {
    /// A line, without its end.
    Line(u64, String),
    /// The connection ends.
    Close(u64),
    /// To be written down.
    Note(Note),
}

/// The sessions of a form host, by its connections.
#[derive(Debug)]
pub struct Holder {
    held: HashMap<u64, Held>,
    /// Ballots that this form host has promised to take no more, and since when.
    let_go: HashMap<SessionId, (Ballot, Millis)>,
    plant: Option<Plant>,
}

#[derive(Debug)]
struct Held {
    session: SessionId,
    ballot: Ballot,
    /// Until when its lease runs; before the first it has none.
    lease_until: Option<Millis>,
    /// When each `RENEW` was sent that has no answer yet.
    asked: BTreeMap<u64, Millis>,
    next_k: u64,
    renew_at: Millis,
    up: bool,
    upto: u64,
    fields: BTreeMap<String, String>,
}

/// A promise to take no more of a ballot is kept for so long: no attempt takes nearly that.
const LET_GO_MS: Millis = 120_000.0;

impl Holder {
    /// One that holds nothing.
    #[must_use]
    pub fn new(plant: Option<Plant>) -> Self {
        Self { held: HashMap::new(), let_go: HashMap::new(), plant }
    }

    /// A connection asks for a session to be held: `s` of its first line.
    pub fn open(
        &mut self,
        now: Millis,
        connection: u64,
        session: SessionId,
        ballot: Ballot,
        say: &mut Vec<Say>,
    ) {
        let promised = self.let_go.get(&session).is_some_and(|(up_to, _)| ballot <= *up_to);
        let others: Vec<_> = self.held.iter().filter(|(_, h)| h.session == session).collect();
        if promised || others.iter().any(|(_, h)| h.ballot >= ballot) {
            say.push(Say::Line(connection, "BUSY".into()));
            say.push(Say::Close(connection));
            return;
        }
        let earlier: Vec<_> = others.into_iter().map(|(connection, _)| *connection).collect();
        for connection in earlier {
            self.end(now, connection, "MOVE", say);
        }
        let held = Held {
            session,
            ballot,
            lease_until: None,
            asked: BTreeMap::from([(1, now)]),
            next_k: 2,
            renew_at: f64::INFINITY,
            up: false,
            upto: 0,
            fields: BTreeMap::new(),
        };
        self.held.insert(connection, held);
        say.push(Say::Line(connection, "RENEW 1".into()));
    }

    /// A line has come on a connection. True if it is one of those that holders understand.
    pub fn line(&mut self, now: Millis, connection: u64, line: &str, say: &mut Vec<Say>) -> bool {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        if !self.held.contains_key(&connection)
            || !["LEASE", "FIELD", "STATE", "SAVE", "DONE"].contains(&word)
        {
            return false;
        }
        // Whatever comes after the lease's end comes too late.
        self.tick_one(now, connection, say);
        let Some(held) = self.held.get_mut(&connection) else { return true };
        let session = name(held.session);
        match word {
            "LEASE" => {
                let numbers =
                    rest.split_once(' ').and_then(|(k, ms)| Some((k.parse().ok()?, ms.parse().ok()?)));
                let Some((k, ms)): Option<(u64, Millis)> = numbers else { return true };
                if let Some(asked) = held.asked.remove(&k) {
                    held.asked.retain(|other, _| *other > k);
                    let first = held.lease_until.is_none();
                    held.lease_until = Some(held.lease_until.unwrap_or(0.0).max(asked + ms));
                    held.renew_at = asked + ms / 4.0;
                    if first && asked + ms > now {
                        say.push(Say::Note(Note::Holds { session, ballot: held.ballot }));
                    }
                }
                self.tick_one(now, connection, say);
            }
            "FIELD" => {
                if let Some((_, field)) = rest.split_once(' ')
                    && let Some((name, value)) = field.split_once('=')
                {
                    held.fields.insert(name.into(), value.into());
                }
            }
            "STATE" => {
                let numbers: Option<(u64, usize)> =
                    rest.split_once(' ').and_then(|(n, c)| Some((n.parse().ok()?, c.parse().ok()?)));
                match numbers {
                    Some((upto, count)) if count == held.fields.len() && held.lease_until.is_some() => {
                        held.upto = upto;
                        held.up = true;
                        let fields = held.fields.iter().map(|(n, v)| (n.clone(), v.clone())).collect();
                        say.push(Say::Note(Note::Begins { session, ballot: held.ballot, upto, fields }));
                        say.push(Say::Line(connection, format!("UP {}-{}", held.session, held.ballot)));
                    }
                    _ => self.end(now, connection, "ERR", say),
                }
            }
            "SAVE" => {
                let Some((n, field)) = rest.split_once(' ') else { return true };
                let (Ok(n), Some((name, value))) = (n.parse::<u64>(), field.split_once('=')) else {
                    return true;
                };
                if n == held.upto + 1 {
                    held.upto = n;
                    held.fields.insert(name.into(), value.into());
                    let (name, value): (String, String) = (name.into(), value.into());
                    let applies = Note::Applies { session, ballot: held.ballot, n, name, value };
                    if self.plant == Some(Plant::DoubleApply) && n % 50 == 0 {
                        say.push(Say::Note(applies.clone()));
                    }
                    say.push(Say::Note(applies));
                }
                // What is missing is not confirmed, and what was applied before is confirmed again.
                if n <= held.upto {
                    say.push(Say::Line(connection, format!("SAVED {n}")));
                }
            }
            _ => self.end(now, connection, "BYE", say),
        }
        true
    }

    /// A claimer asks to let go of a session. What is answered holds from now on.
    pub fn let_go(&mut self, now: Millis, session: SessionId, ballot: Ballot, say: &mut Vec<Say>) {
        if self.plant == Some(Plant::HeldTwice) {
            return;
        }
        let entry = self.let_go.entry(session).or_insert((ballot, now));
        *entry = (entry.0.max(ballot), now);
        self.let_go.retain(|_, (_, since)| now - *since < LET_GO_MS);
        let held = self.held.iter().filter(|(_, h)| h.session == session && h.ballot <= ballot);
        let connections: Vec<_> = held.map(|(connection, _)| *connection).collect();
        for connection in connections {
            self.end(now, connection, "TAKEN", say);
        }
    }

    /// A connection has ended from the other side.
    pub fn closed(&mut self, now: Millis, connection: u64, say: &mut Vec<Say>) {
        if let Some(held) = self.held.remove(&connection) {
            note_end(now, &held, say);
        }
    }

    /// Renews leases that are due, and lets go of sessions whose lease is over.
    pub fn tick(&mut self, now: Millis, say: &mut Vec<Say>) {
        let mut connections: Vec<_> = self.held.keys().copied().collect();
        connections.sort_unstable();
        for connection in connections {
            self.tick_one(now, connection, say);
        }
    }

    fn tick_one(&mut self, now: Millis, connection: u64, say: &mut Vec<Say>) {
        let Some(held) = self.held.get_mut(&connection) else { return };
        if held.lease_until.is_some_and(|until| until <= now) {
            self.end(now, connection, "MOVE", say);
            return;
        }
        if held.renew_at <= now {
            let k = held.next_k;
            held.next_k += 1;
            held.asked.insert(k, now);
            // Asked again soon if no answer comes.
            held.renew_at = now + 250.0;
            say.push(Say::Line(connection, format!("RENEW {k}")));
        }
    }

    /// Ends a connection with a last word.
    fn end(&mut self, now: Millis, connection: u64, word: &str, say: &mut Vec<Say>) {
        if let Some(held) = self.held.remove(&connection) {
            note_end(now, &held, say);
            say.push(Say::Line(connection, word.into()));
            say.push(Say::Close(connection));
        }
    }

    /// Forgets everything, as a process that is killed does.
    pub fn killed(&mut self, now: Millis, say: &mut Vec<Say>) {
        for (_, held) in std::mem::take(&mut self.held) {
            note_end(now, &held, say);
        }
        self.let_go.clear();
    }

    /// Connections by which something is held or is about to be.
    #[must_use]
    pub fn count(&self) -> usize {
        self.held.len()
    }
}

/// By its own clock a holder lets go when its lease ends, though it may be asleep then.
fn note_end(now: Millis, held: &Held, say: &mut Vec<Say>) {
    if let Some(until) = held.lease_until {
        let (session, ballot) = (name(held.session), held.ballot);
        let late_ms = (now - until).max(0.0);
        say.push(Say::Note(Note::LetsGo { session, ballot, late_ms }));
    }
}
