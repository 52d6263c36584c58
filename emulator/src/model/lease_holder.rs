//! The lease holder: how a server holds the sessions that balancers open at it. It implements
//! `docs/protocol-resume.md`.

use super::record::{Note, session_name};
use super::{InjectedBug, Millis};
use marllink_lease_protocol::{Ballot, SessionId};
use std::collections::{BTreeMap, HashMap};

/// An action that the caller carries out for the lease holder.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderAction {
    /// Send this line on the connection, with a line end appended.
    SendLine(u64, String),
    /// Close the connection once all lines are sent.
    Close(u64),
    /// Log this event.
    Record(Note),
}

/// The sessions of a server, by connection.
#[derive(Debug)]
pub struct LeaseHolder {
    sessions: HashMap<u64, HeldSession>,
    /// By session: the highest ballot that the server has released and no longer accepts, and the time of the last
    /// release.
    released: HashMap<SessionId, (Ballot, Millis)>,
    injected_bug: Option<InjectedBug>,
}

#[derive(Debug)]
struct HeldSession {
    session: SessionId,
    ballot: Ballot,
    /// End of the lease; `None` before the first lease.
    lease_expires_at: Option<Millis>,
    /// Send times of the `RENEW` lines without an answer, by number.
    renewals: BTreeMap<u64, Millis>,
    next_renewal: u64,
    renew_at: Millis,
    established: bool,
    upto: u64,
    fields: BTreeMap<String, String>,
}

/// Time for which released ballots are remembered. No attempt to open a session takes nearly as long.
const RELEASED_RETENTION_MS: Millis = 120_000.0;

impl LeaseHolder {
    /// Returns a lease holder without sessions.
    #[must_use]
    pub fn new(injected_bug: Option<InjectedBug>) -> Self {
        Self { sessions: HashMap::new(), released: HashMap::new(), injected_bug }
    }

    /// Handles the first line of a connection for a session; `session` and `ballot` are its key `s`. Rejects ballots
    /// that were released or that are not above the ballot of a connection with the same session, and closes
    /// connections of the session with lower ballots.
    pub fn open(
        &mut self,
        now: Millis,
        connection: u64,
        session: SessionId,
        ballot: Ballot,
        actions: &mut Vec<HolderAction>,
    ) {
        let rejected = self.released.get(&session).is_some_and(|(highest, _)| ballot <= *highest);
        let others: Vec<_> = self.sessions.iter().filter(|(_, held)| held.session == session).collect();
        if rejected || others.iter().any(|(_, held)| held.ballot >= ballot) {
            actions.push(HolderAction::SendLine(connection, "BUSY".into()));
            actions.push(HolderAction::Close(connection));
            return;
        }
        let superseded: Vec<_> = others.into_iter().map(|(connection, _)| *connection).collect();
        for connection in superseded {
            self.end(now, connection, "MOVE", actions);
        }
        let held = HeldSession {
            session,
            ballot,
            lease_expires_at: None,
            renewals: BTreeMap::from([(1, now)]),
            next_renewal: 2,
            renew_at: f64::INFINITY,
            established: false,
            upto: 0,
            fields: BTreeMap::new(),
        };
        self.sessions.insert(connection, held);
        actions.push(HolderAction::SendLine(connection, "RENEW 1".into()));
    }

    /// Handles a line, without its line end. Returns true if the connection has a session and the line is one of the
    /// session protocol.
    pub fn handle_line(
        &mut self,
        now: Millis,
        connection: u64,
        line: &str,
        actions: &mut Vec<HolderAction>,
    ) -> bool {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        if !self.sessions.contains_key(&connection)
            || !["LEASE", "FIELD", "STATE", "SAVE", "DONE"].contains(&word)
        {
            return false;
        }
        // A line that arrives after the lease has expired must not be handled any more.
        self.check_lease(now, connection, actions);
        let Some(held) = self.sessions.get_mut(&connection) else { return true };
        let session = session_name(held.session);
        match word {
            "LEASE" => {
                let numbers = rest
                    .split_once(' ')
                    .and_then(|(number, ms)| Some((number.parse().ok()?, ms.parse().ok()?)));
                let Some((number, ms)): Option<(u64, Millis)> = numbers else { return true };
                if let Some(sent_at) = held.renewals.remove(&number) {
                    held.renewals.retain(|other, _| *other > number);
                    let first = held.lease_expires_at.is_none();
                    held.lease_expires_at = Some(held.lease_expires_at.unwrap_or(0.0).max(sent_at + ms));
                    held.renew_at = sent_at + ms / 4.0;
                    if first && sent_at + ms > now {
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
                let numbers: Option<(u64, usize)> = rest
                    .split_once(' ')
                    .and_then(|(upto, count)| Some((upto.parse().ok()?, count.parse().ok()?)));
                match numbers {
                    Some((upto, count)) if count == held.fields.len() && held.lease_expires_at.is_some() => {
                        held.upto = upto;
                        held.established = true;
                        let fields =
                            held.fields.iter().map(|(name, value)| (name.clone(), value.clone())).collect();
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
                    let applied = Note::SaveApplied { session, ballot: held.ballot, n, name, value };
                    if self.injected_bug == Some(InjectedBug::DoubleApply) && n % 50 == 0 {
                        actions.push(HolderAction::Record(applied.clone()));
                    }
                    actions.push(HolderAction::Record(applied));
                }
                // Duplicates of applied saves are confirmed again. A save after a gap is not confirmed.
                if n <= held.upto {
                    actions.push(HolderAction::SendLine(connection, format!("SAVED {n}")));
                }
            }
            _ => self.end(now, connection, "BYE", actions),
        }
        true
    }

    /// Releases a session up to a ballot for a new claim, and rejects these ballots from now on.
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
        let entry = self.released.entry(session).or_insert((ballot, now));
        *entry = (entry.0.max(ballot), now);
        self.released.retain(|_, (_, released_at)| now - *released_at < RELEASED_RETENTION_MS);
        let released =
            self.sessions.iter().filter(|(_, held)| held.session == session && held.ballot <= ballot);
        let connections: Vec<_> = released.map(|(connection, _)| *connection).collect();
        for connection in connections {
            self.end(now, connection, "TAKEN", actions);
        }
    }

    /// Handles a connection that the balancer has closed.
    pub fn handle_close(&mut self, now: Millis, connection: u64, actions: &mut Vec<HolderAction>) {
        if let Some(held) = self.sessions.remove(&connection) {
            record_end(now, &held, actions);
        }
    }

    /// Renews leases that are due, and closes connections whose lease has expired.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<HolderAction>) {
        let mut connections: Vec<_> = self.sessions.keys().copied().collect();
        connections.sort_unstable();
        for connection in connections {
            self.check_lease(now, connection, actions);
        }
    }

    fn check_lease(&mut self, now: Millis, connection: u64, actions: &mut Vec<HolderAction>) {
        let Some(held) = self.sessions.get_mut(&connection) else { return };
        if held.lease_expires_at.is_some_and(|expires_at| expires_at <= now) {
            self.end(now, connection, "MOVE", actions);
            return;
        }
        if held.renew_at <= now {
            let number = held.next_renewal;
            held.next_renewal += 1;
            held.renewals.insert(number, now);
            // Without an answer the renewal is sent again.
            held.renew_at = now + 250.0;
            actions.push(HolderAction::SendLine(connection, format!("RENEW {number}")));
        }
    }

    /// Closes a connection with a closing message.
    fn end(&mut self, now: Millis, connection: u64, word: &str, actions: &mut Vec<HolderAction>) {
        if let Some(held) = self.sessions.remove(&connection) {
            record_end(now, &held, actions);
            actions.push(HolderAction::SendLine(connection, word.into()));
            actions.push(HolderAction::Close(connection));
        }
    }

    /// Drops all state, as a killed process does.
    pub fn kill(&mut self, now: Millis, actions: &mut Vec<HolderAction>) {
        for (_, held) in std::mem::take(&mut self.sessions) {
            record_end(now, &held, actions);
        }
        self.released.clear();
    }

    /// Returns the number of connections with a session, including those without a lease yet.
    #[must_use]
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }
}

/// Logs the release of a session. A holder whose lease expired while it was stalled has released the session at the
/// expiry by its own clock.
fn record_end(now: Millis, held: &HeldSession, actions: &mut Vec<HolderAction>) {
    if let Some(expires_at) = held.lease_expires_at {
        let (session, ballot) = (session_name(held.session), held.ballot);
        let late_ms = (now - expires_at).max(0.0);
        actions.push(HolderAction::Record(Note::LeaseReleased { session, ballot, late_ms }));
    }
}
