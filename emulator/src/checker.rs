//! Checks a run with sessions from the log entries of servers and clients alone.
//!
//! The rules: a session is held by one server at a time; no confirmed save is missing where the session is resumed;
//! each save is applied once and in order; only valid tokens are accepted; every request gets exactly one answer.

use crate::model::{Entry, Millis, Note, TokenKind};
use marllink_lease_protocol::Ballot;
use std::collections::{BTreeMap, HashMap};

/// The result of a check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Number of sessions that were held by a server.
    pub sessions: usize,
    /// Number of times that a session was held again.
    pub resumed: usize,
    /// Number of saves that were confirmed to clients.
    pub confirmed_saves: usize,
    /// Number of confirmed saves or fields that were missing where the session was resumed or ended.
    pub missing_saves: usize,
    /// Number of saves that were applied more than once.
    pub applied_twice: usize,
    /// Number of saves that were applied after a gap, or that no client sent with this value.
    pub out_of_order: usize,
    /// Number of sessions that two servers, or two connections, held at the same time.
    pub held_twice: usize,
    /// Number of requests with a stale or forged token that were accepted.
    pub unauthorized_opens: usize,
    /// Number of requests that got more than one answer.
    pub answered_twice: usize,
    /// Number of requests that ended without an answer, although no fault cut them off.
    pub unanswered: usize,
    /// Number of sessions that clients had to abandon.
    pub abandoned_sessions: usize,
    /// Descriptions of the first few findings.
    pub findings: Vec<String>,
}

impl Verdict {
    /// Returns true if no rule was violated.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.missing_saves
            + self.applied_twice
            + self.out_of_order
            + self.held_twice
            + self.unauthorized_opens
            + self.answered_twice
            + self.unanswered
            == 0
    }

    fn add_finding(&mut self, finding: String) {
        if self.findings.len() < 20 {
            self.findings.push(finding);
        }
    }
}

/// The time in which a server held a session under one ballot.
#[derive(Debug)]
struct Tenure {
    server: String,
    ballot: Ballot,
    from: Millis,
    to: Millis,
}

/// The state of a session that a server had under one ballot.
#[derive(Debug)]
struct SessionCopy {
    at: Millis,
    server: String,
    upto: u64,
    fields: BTreeMap<String, String>,
    applied: Vec<(Millis, u64, String, String)>,
}

#[derive(Debug, Default)]
struct Client {
    /// The saves that the client sent, by number. A save for which the journal had no room is sent again with another
    /// value.
    sent: BTreeMap<u64, Vec<(String, String)>>,
    /// Times at which the client received the confirmation of its saves up to a number.
    confirmed: Vec<(Millis, u64)>,
}

/// Checks the entries of a run. `excused_by_fault` takes the balancer of a request and the times at which the request
/// was sent and ended, and returns true if a fault explains why it got no answer.
#[must_use]
pub fn check(entries: &[Entry], excused_by_fault: impl Fn(usize, Millis, Millis) -> bool) -> Verdict {
    let mut verdict = Verdict::default();
    let (mut tenures, mut copies, mut clients) = (HashMap::new(), HashMap::new(), HashMap::new());
    let mut requests: HashMap<(String, u64), (usize, Millis, usize)> = HashMap::new();
    for entry in entries {
        read_entry(
            entry,
            &mut tenures,
            &mut copies,
            &mut clients,
            &mut requests,
            &mut verdict,
            &excused_by_fault,
        );
    }
    verdict.sessions = tenures.len();
    let mut names: Vec<_> = tenures.keys().cloned().collect();
    names.sort();
    for session in &names {
        let session_tenures = &tenures[session];
        verdict.resumed += session_tenures.len() - 1;
        check_tenures(session, session_tenures, &mut verdict);
    }
    let mut names: Vec<_> = copies.keys().cloned().collect();
    names.sort();
    for session in &names {
        check_saves(session, &copies[session], &clients, &mut verdict);
    }
    verdict.confirmed_saves =
        clients.values().filter_map(|client| client.confirmed.last()).map(|(_, n)| *n as usize).sum();
    verdict
}

type Tenures = HashMap<String, Vec<Tenure>>;
type SessionCopies = HashMap<String, BTreeMap<Ballot, SessionCopy>>;

fn read_entry(
    entry: &Entry,
    tenures: &mut Tenures,
    copies: &mut SessionCopies,
    clients: &mut HashMap<String, Client>,
    requests: &mut HashMap<(String, u64), (usize, Millis, usize)>,
    verdict: &mut Verdict,
    excused_by_fault: &impl Fn(usize, Millis, Millis) -> bool,
) {
    let (at, by) = (entry.at, &entry.by);
    match &entry.note {
        Note::LeaseAcquired { session, ballot } => {
            let tenure = Tenure { server: by.clone(), ballot: *ballot, from: at, to: f64::INFINITY };
            tenures.entry(session.clone()).or_default().push(tenure);
        }
        Note::LeaseReleased { session, ballot, late_ms } => {
            let session_tenures = tenures.entry(session.clone()).or_default();
            if let Some(tenure) = session_tenures
                .iter_mut()
                .rev()
                .find(|tenure| tenure.server == *by && tenure.ballot == *ballot)
            {
                tenure.to = tenure.to.min(at - late_ms);
            }
        }
        Note::StateLoaded { session, ballot, upto, fields } => {
            let fields = fields.iter().cloned().collect();
            let copy = SessionCopy { at, server: by.clone(), upto: *upto, fields, applied: Vec::new() };
            copies.entry(session.clone()).or_default().insert(*ballot, copy);
        }
        Note::SaveApplied { session, ballot, n, name, value } => {
            if let Some(copy) = copies.get_mut(session).and_then(|by_ballot| by_ballot.get_mut(ballot)) {
                copy.applied.push((at, *n, name.clone(), value.clone()));
            }
        }
        Note::SaveSent { n, name, value } => {
            let sent = &mut clients.entry(by.clone()).or_default().sent;
            sent.entry(*n).or_default().push((name.clone(), value.clone()));
        }
        Note::SavesConfirmed { n } => clients.entry(by.clone()).or_default().confirmed.push((at, *n)),
        Note::OpenSent { connection, balancer, .. } => {
            requests.insert((by.clone(), *connection), (*balancer, at, 0));
        }
        Note::Answered { connection, word, token } => {
            let Some((balancer, sent_at, answers)) = requests.get_mut(&(by.clone(), *connection)) else {
                return;
            };
            *answers += 1;
            if *answers > 1 {
                verdict.answered_twice += 1;
                verdict.add_finding(format!(
                    "{by} got two answers on connection {connection}, the second is {word:?}"
                ));
            }
            if word.is_empty() && !excused_by_fault(*balancer, *sent_at, at) {
                verdict.unanswered += 1;
                verdict.add_finding(format!(
                    "{by} sent a request to balancer {balancer} at {sent_at:.0} and got no answer by {at:.0}"
                ));
            }
            if word == "UP" && matches!(token, TokenKind::Stale | TokenKind::Forged) {
                verdict.unauthorized_opens += 1;
                verdict
                    .add_finding(format!("a request of {by} with a {token:?} token was accepted at {at:.0}"));
            }
        }
        Note::SessionAbandoned => {
            verdict.abandoned_sessions += 1;
            verdict.add_finding(format!("{by} had to abandon its session at {at:.0}"));
        }
        Note::ConnectionEnded { .. } | Note::JournalFull { .. } | Note::Fault { .. } => {}
    }
}

fn check_tenures(session: &str, tenures: &[Tenure], verdict: &mut Verdict) {
    let mut order: Vec<_> = tenures.iter().filter(|tenure| tenure.to > tenure.from).collect();
    order.sort_by(|a, b| a.from.total_cmp(&b.from));
    let mut last: Option<&Tenure> = None;
    for tenure in order {
        if let Some(previous) = last
            && tenure.from < previous.to
        {
            verdict.held_twice += 1;
            let overlap_ms = previous.to.min(tenure.to) - tenure.from;
            verdict.add_finding(format!(
                "session {session} was held by {} under {} and by {} under {} from {:.1} on, for {overlap_ms:.1} ms",
                previous.server, previous.ballot, tenure.server, tenure.ballot, tenure.from
            ));
            return;
        }
        if last.is_none_or(|previous| tenure.to > previous.to) {
            last = Some(tenure);
        }
    }
}

/// Returns the name of the client that sent a value, which begins with the client's number.
fn client_of(value: &str) -> Option<String> {
    value.split_once('.').map(|(number, _)| format!("d{number}"))
}

fn check_saves(
    session: &str,
    copies: &BTreeMap<Ballot, SessionCopy>,
    clients: &HashMap<String, Client>,
    verdict: &mut Verdict,
) {
    let first_value = |copy: &SessionCopy| {
        copy.applied.iter().map(|(.., v)| v.clone()).chain(copy.fields.values().cloned()).next()
    };
    let client_name = copies.values().find_map(first_value).and_then(|value| client_of(&value));
    let no_client = Client::default();
    let client = client_name.as_ref().and_then(|name| clients.get(name)).unwrap_or(&no_client);
    let last_confirmed = client.confirmed.last().map_or(0, |(_, n)| *n);
    let latest_ballot = copies.keys().next_back().copied();
    for (ballot, copy) in copies {
        // Where the session is resumed, every save that was confirmed before must be present.
        let confirmed_before =
            client.confirmed.iter().rev().find(|(at, _)| *at < copy.at).map_or(0, |(_, n)| *n);
        if copy.upto < confirmed_before {
            verdict.missing_saves += (confirmed_before - copy.upto) as usize;
            verdict.add_finding(format!(
                "session {session} was resumed at {} under {ballot} with {} of {confirmed_before} confirmed saves",
                copy.server, copy.upto
            ));
        }
        let mut expected: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (_, sent) in client.sent.range(..=copy.upto) {
            if let Some((name, _)) = sent.last() {
                expected.insert(name, sent.iter().map(|(_, v)| v.as_str()).collect());
            }
        }
        for (name, values) in &expected {
            let actual = copy.fields.get(*name);
            if !actual.is_some_and(|value| values.contains(&value.as_str())) {
                verdict.missing_saves += 1;
                verdict.add_finding(format!(
                    "session {session} was resumed at {} under {ballot} with {name} as {actual:?}, not {values:?}",
                    copy.server
                ));
            }
        }
        let mut upto = copy.upto;
        for (at, n, name, value) in &copy.applied {
            if *n <= upto {
                verdict.applied_twice += 1;
                verdict.add_finding(format!(
                    "{} applied save {n} of session {session} again at {at:.0}",
                    copy.server
                ));
                continue;
            }
            let sent = client
                .sent
                .get(n)
                .is_some_and(|saves| saves.iter().any(|save| save == &(name.clone(), value.clone())));
            if *n != upto + 1 || !sent {
                verdict.out_of_order += 1;
                verdict.add_finding(format!(
                    "{} applied save {n} of session {session} after {upto}",
                    copy.server
                ));
            }
            upto = *n;
        }
        if Some(*ballot) == latest_ballot && upto < last_confirmed {
            verdict.missing_saves += (last_confirmed - upto) as usize;
            verdict.add_finding(format!(
                "session {session} has {upto} saves at the end at {}, but {last_confirmed} were confirmed",
                copy.server
            ));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ballot(epoch: u64) -> Ballot {
        Ballot { epoch, attempt: 1 }
    }

    fn run(notes: Vec<(Millis, &str, Note)>) -> Verdict {
        let entries: Vec<_> =
            notes.into_iter().map(|(at, by, note)| Entry { at, by: by.into(), note }).collect();
        check(&entries, |_, _, _| false)
    }

    fn acquired(at: Millis, server: &'static str, epoch: u64) -> (Millis, &'static str, Note) {
        (at, server, Note::LeaseAcquired { session: "s".into(), ballot: ballot(epoch) })
    }

    fn released(
        at: Millis,
        server: &'static str,
        epoch: u64,
        late_ms: Millis,
    ) -> (Millis, &'static str, Note) {
        (at, server, Note::LeaseReleased { session: "s".into(), ballot: ballot(epoch), late_ms })
    }

    fn loaded(at: Millis, epoch: u64, upto: u64, fields: &[(&str, &str)]) -> (Millis, &'static str, Note) {
        let fields = fields.iter().map(|(n, v)| ((*n).into(), (*v).into())).collect();
        (at, "h", Note::StateLoaded { session: "s".into(), ballot: ballot(epoch), upto, fields })
    }

    fn applied(at: Millis, epoch: u64, n: u64) -> (Millis, &'static str, Note) {
        let (name, value) = ("f".into(), format!("1.{n}."));
        (at, "h", Note::SaveApplied { session: "s".into(), ballot: ballot(epoch), n, name, value })
    }

    fn sent(at: Millis, n: u64) -> (Millis, &'static str, Note) {
        (at, "d1", Note::SaveSent { n, name: "f".into(), value: format!("1.{n}.") })
    }

    fn confirmed(at: Millis, n: u64) -> (Millis, &'static str, Note) {
        (at, "d1", Note::SavesConfirmed { n })
    }

    #[test]
    fn a_run_without_violations_passes() {
        let verdict = run(vec![
            acquired(1.0, "h", 1),
            loaded(1.0, 1, 0, &[]),
            sent(2.0, 1),
            applied(3.0, 1, 1),
            confirmed(4.0, 1),
            sent(5.0, 2),
            released(9.0, "h", 1, 3.0),
            acquired(6.0, "g", 2),
            loaded(7.0, 2, 1, &[("f", "1.1.")]),
            applied(8.0, 2, 2),
            confirmed(9.0, 2),
        ]);
        assert!(verdict.passed(), "{:?}", verdict.findings);
        assert_eq!((verdict.sessions, verdict.resumed, verdict.confirmed_saves), (1, 1, 2));
    }

    #[test]
    fn each_violation_is_detected() {
        let held_twice = run(vec![acquired(1.0, "h", 1), acquired(6.0, "g", 2), released(9.0, "h", 1, 2.9)]);
        assert_eq!(held_twice.held_twice, 1, "{held_twice:?}");
        let base = || vec![loaded(1.0, 1, 0, &[]), sent(2.0, 1), applied(3.0, 1, 1), confirmed(4.0, 1)];
        let with = |more: Vec<_>| run([base(), more].concat());
        assert_eq!(
            with(vec![loaded(5.0, 2, 0, &[])]).missing_saves,
            2,
            "missing at the resume and at the end"
        );
        assert_eq!(
            with(vec![loaded(5.0, 2, 1, &[])]).missing_saves,
            1,
            "the number is present but the field is missing"
        );
        assert_eq!(with(vec![loaded(5.0, 2, 1, &[("f", "1.0.")])]).missing_saves, 1);
        assert_eq!(with(vec![applied(5.0, 1, 1)]).applied_twice, 1);
        assert_eq!(with(vec![loaded(5.0, 2, 1, &[("f", "1.1.")]), applied(6.0, 2, 1)]).applied_twice, 1);
        assert_eq!(with(vec![sent(5.0, 2), sent(5.0, 3), applied(6.0, 1, 3)]).out_of_order, 1);
        assert_eq!(with(vec![applied(6.0, 1, 2)]).out_of_order, 1, "no client sent it");
        let request = |token| (1.0, "x", Note::OpenSent { connection: 1, balancer: 0, token });
        let answer =
            |word: &str, token| (2.0, "x", Note::Answered { connection: 1, word: word.into(), token });
        let good = TokenKind::Good;
        assert_eq!(run(vec![request(good), answer("UP", good), answer("ERR", good)]).answered_twice, 1);
        assert_eq!(run(vec![request(good), answer("", good)]).unanswered, 1);
        for token in [TokenKind::Stale, TokenKind::Forged] {
            assert_eq!(run(vec![request(token), answer("UP", token)]).unauthorized_opens, 1);
            assert!(run(vec![request(token), answer("ERR", token)]).passed());
        }
    }
}
