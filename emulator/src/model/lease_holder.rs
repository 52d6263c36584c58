//! A holder: what a form host does with sessions that it is given. `docs/protocol-resume.md` has the
//! rules.

use super::record::{Note, session_name};
use super::{InjectedBug, Millis};
use marllink_lease_protocol::{Ballot, SessionId};
use std::collections::{BTreeMap, HashMap};

/// What a holder says on a connection, or does with it.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderAction {
    /// A line, without its end.
    SendLine(u64, String),
    /// The connection ends.
    Close(u64),
    /// To be written down.
    Record(Note),
}

/// The sessions of a form host, by its connections.
#[derive(Debug)]
pub struct LeaseHolder {
    held: HashMap<u64, Session>,
    /// Ballots that this form host has promised to take no more, and since when.
    let_go: HashMap<SessionId, (Ballot, Millis)>,
    injected_bug: Option<InjectedBug>,
}

#[derive(Debug)]
struct Session {
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
const LET_GO_RETENTION_MS: Millis = 120_000.0;

impl LeaseHolder {
    /// One that holds nothing.
    #[must_use]
    pub fn new(injected_bug: Option<InjectedBug>) -> Self {
        Self { held: HashMap::new(), let_go: HashMap::new(), injected_bug }
    }

    /// A connection asks for a session to be held: `s` of its first line.
    pub fn open(
        &mut self,
        now: Millis,
        connection: u64,
        session: SessionId,
        ballot: Ballot,
        actions: &mut Vec<HolderAction>,
    ) {
        let promised = self.let_go.get(&session).is_some_and(|(up_to, _)| ballot <= *up_to);
        let others: Vec<_> = self.held.iter().filter(|(_, h)| h.session == session).collect();
        if promised || others.iter().any(|(_, h)| h.ballot >= ballot) {
            actions.push(HolderAction::SendLine(connection, "BUSY".into()));
            actions.push(HolderAction::Close(connection));
            return;
        }
        let earlier: Vec<_> = others.into_iter().map(|(connection, _)| *connection).collect();
        for connection in earlier {
            self.end(now, connection, "MOVE", actions);
        }
        let held = Session {
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
        actions.push(HolderAction::SendLine(connection, "RENEW 1".into()));
    }

    /// A line has come on a connection. True if it is one of those that holders understand.
    pub fn handle_line(
        &mut self,
        now: Millis,
        connection: u64,
        line: &str,
        actions: &mut Vec<HolderAction>,
    ) -> bool {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        if !self.held.contains_key(&connection)
            || !["LEASE", "FIELD", "STATE", "SAVE", "DONE"].contains(&word)
        {
            return false;
        }
        // Whatever comes after the lease's end comes too late.
        self.check_lease(now, connection, actions);
        let Some(held) = self.held.get_mut(&connection) else { return true };
        let session = session_name(held.session);
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
                        actions
                            .push(HolderAction::Record(Note::LeaseAcquired { session, ballot: held.ballot }));
                    }
                }
                self.check_lease(now, connection, actions);
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
                        actions.push(HolderAction::Record(Note::StateLoaded {
                            session,
                            ballot: held.ballot,
                            upto,
                            fields,
                        }));
                        actions.push(HolderAction::SendLine(
                            connection,
                            format!("UP {}-{}", held.session, held.ballot),
                        ));
                    }
                    _ => self.end(now, connection, "ERR", actions),
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
                    let applies = Note::SaveApplied { session, ballot: held.ballot, n, name, value };
                    if self.injected_bug == Some(InjectedBug::DoubleApply) && n % 50 == 0 {
                        actions.push(HolderAction::Record(applies.clone()));
                    }
                    actions.push(HolderAction::Record(applies));
                }
                // What is missing is not confirmed, and what was applied before is confirmed again.
                if n <= held.upto {
                    actions.push(HolderAction::SendLine(connection, format!("SAVED {n}")));
                }
            }
            _ => self.end(now, connection, "BYE", actions),
        }
        true
    }

    /// A claimer asks to let go of a session. What is answered holds from now on.
    pub fn let_go(
        &mut self,
        now: Millis,
        session: SessionId,
        ballot: Ballot,
        actions: &mut Vec<HolderAction>,
    ) {
        if self.injected_bug == Some(InjectedBug::HeldTwice) {
            return;
        }
        let entry = self.let_go.entry(session).or_insert((ballot, now));
        *entry = (entry.0.max(ballot), now);
        self.let_go.retain(|_, (_, since)| now - *since < LET_GO_RETENTION_MS);
        let held = self.held.iter().filter(|(_, h)| h.session == session && h.ballot <= ballot);
        let connections: Vec<_> = held.map(|(connection, _)| *connection).collect();
        for connection in connections {
            self.end(now, connection, "TAKEN", actions);
        }
    }

    /// A connection has ended from the other side.
    pub fn handle_close(&mut self, now: Millis, connection: u64, actions: &mut Vec<HolderAction>) {
        if let Some(held) = self.held.remove(&connection) {
            record_end(now, &held, actions);
        }
    }

    /// Renews leases that are due, and lets go of sessions whose lease is over.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<HolderAction>) {
        let mut connections: Vec<_> = self.held.keys().copied().collect();
        connections.sort_unstable();
        for connection in connections {
            self.check_lease(now, connection, actions);
        }
    }

    fn check_lease(&mut self, now: Millis, connection: u64, actions: &mut Vec<HolderAction>) {
        let Some(held) = self.held.get_mut(&connection) else { return };
        if held.lease_until.is_some_and(|until| until <= now) {
            self.end(now, connection, "MOVE", actions);
            return;
        }
        if held.renew_at <= now {
            let k = held.next_k;
            held.next_k += 1;
            held.asked.insert(k, now);
            // Asked again soon if no answer comes.
            held.renew_at = now + 250.0;
            actions.push(HolderAction::SendLine(connection, format!("RENEW {k}")));
        }
    }

    /// Ends a connection with a last word.
    fn end(&mut self, now: Millis, connection: u64, word: &str, actions: &mut Vec<HolderAction>) {
        if let Some(held) = self.held.remove(&connection) {
            record_end(now, &held, actions);
            actions.push(HolderAction::SendLine(connection, word.into()));
            actions.push(HolderAction::Close(connection));
        }
    }

    /// Forgets everything, as a process that is killed does.
    pub fn kill(&mut self, now: Millis, actions: &mut Vec<HolderAction>) {
        for (_, held) in std::mem::take(&mut self.held) {
            record_end(now, &held, actions);
        }
        self.let_go.clear();
    }

    /// Connections by which something is held or is about to be.
    #[must_use]
    pub fn session_count(&self) -> usize {
        self.held.len()
    }
}

/// By its own clock a holder lets go when its lease ends, though it may be asleep then.
fn record_end(now: Millis, held: &Session, actions: &mut Vec<HolderAction>) {
    if let Some(until) = held.lease_until {
        let (session, ballot) = (session_name(held.session), held.ballot);
        let late_ms = (now - until).max(0.0);
        actions.push(HolderAction::Record(Note::LeaseReleased { session, ballot, late_ms }));
    }
}
