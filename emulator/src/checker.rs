//! Judges a run by what form hosts and clients wrote down, and by nothing else.
//!
//! The rules: a session is held by one form host at a time; no confirmed field is missing_saves where it is
//! resumed; each save is applied once and in order; nobody gets in by a token that is not good; everything
//! that was asked has one answer.

use crate::model::{Entry, Millis, Note, TokenKind};
use marllink_lease_protocol::Ballot;
use std::collections::{BTreeMap, HashMap};

/// What was found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Sessions that were held at all.
    pub sessions: usize,
    /// Times that a session was held again after it had been.
    pub resumed: usize,
    /// Saves that clients were told will last.
    pub confirmed_saves: usize,
    /// Of these, how many are not there where the session went on.
    pub missing_saves: usize,
    /// Saves that were applied again.
    pub applied_twice: usize,
    /// Saves that were applied before one that comes first, or as what no client sent.
    pub out_of_order: usize,
    /// Sessions that two form hosts, or two connections, have held at the same moment.
    pub held_twice: usize,
    /// Connections that stood by a stale or a forged token.
    pub unauthorized_opens: usize,
    /// Requests that had two answers.
    pub answered_twice: usize,
    /// Requests that ended without an answer, though no fault had cut them off.
    pub unanswered: usize,
    /// Sessions that clients had to give up.
    pub abandoned_sessions: usize,
    /// The first few findings, in words.
    pub findings: Vec<String>,
}

impl Verdict {
    /// True if no rule was broken.
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

    fn find(&mut self, finding: String) {
        if self.findings.len() < 20 {
            self.findings.push(finding);
        }
    }
}

/// A form host's time with a session, under one ballot.
#[derive(Debug)]
struct Tenure {
    host: String,
    ballot: Ballot,
    from: Millis,
    to: Millis,
}

/// What a form host had of a session under one ballot.
#[derive(Debug)]
struct SessionCopy {
    at: Millis,
    host: String,
    upto: u64,
    fields: BTreeMap<String, String>,
    applied: Vec<(Millis, u64, String, String)>,
}

#[derive(Debug, Default)]
struct Client {
    /// What it sent, by number: a save that had no room is sent again in other words.
    sent: BTreeMap<u64, Vec<(String, String)>>,
    /// When it was told that its saves up to one will last.
    confirmed: Vec<(Millis, u64)>,
}

/// Judges what was written down. `faults_cut` tells whether a fault excuses that a request of this
/// balancer's, asked and ended at these times, had no answer.
#[must_use]
pub fn check(entries: &[Entry], faults_cut: impl Fn(usize, Millis, Millis) -> bool) -> Verdict {
    let mut verdict = Verdict::default();
    let (mut turns, mut parts, mut clients) = (HashMap::new(), HashMap::new(), HashMap::new());
    let mut asked: HashMap<(String, u64), (usize, Millis, usize)> = HashMap::new();
    for entry in entries {
        note(entry, &mut turns, &mut parts, &mut clients, &mut asked, &mut verdict, &faults_cut);
    }
    verdict.sessions = turns.len();
    let mut names: Vec<_> = turns.keys().cloned().collect();
    names.sort();
    for session in &names {
        let all = &turns[session];
        verdict.resumed += all.len() - 1;
        held_twice(session, all, &mut verdict);
    }
    let mut names: Vec<_> = parts.keys().cloned().collect();
    names.sort();
    for session in &names {
        lineage(session, &parts[session], &clients, &mut verdict);
    }
    verdict.confirmed_saves =
        clients.values().filter_map(|c| c.confirmed.last()).map(|(_, n)| *n as usize).sum();
    verdict
}

type Tenures = HashMap<String, Vec<Tenure>>;
type SessionCopies = HashMap<String, BTreeMap<Ballot, SessionCopy>>;

fn note(
    entry: &Entry,
    turns: &mut Tenures,
    parts: &mut SessionCopies,
    clients: &mut HashMap<String, Client>,
    asked: &mut HashMap<(String, u64), (usize, Millis, usize)>,
    verdict: &mut Verdict,
    faults_cut: &impl Fn(usize, Millis, Millis) -> bool,
) {
    let (at, by) = (entry.at, &entry.by);
    match &entry.note {
        Note::LeaseAcquired { session, ballot } => {
            let turn = Tenure { host: by.clone(), ballot: *ballot, from: at, to: f64::INFINITY };
            turns.entry(session.clone()).or_default().push(turn);
        }
        Note::LeaseReleased { session, ballot, late_ms } => {
            let all = turns.entry(session.clone()).or_default();
            if let Some(turn) = all.iter_mut().rev().find(|t| t.host == *by && t.ballot == *ballot) {
                turn.to = turn.to.min(at - late_ms);
            }
        }
        Note::StateLoaded { session, ballot, upto, fields } => {
            let fields = fields.iter().cloned().collect();
            let part = SessionCopy { at, host: by.clone(), upto: *upto, fields, applied: Vec::new() };
            parts.entry(session.clone()).or_default().insert(*ballot, part);
        }
        Note::SaveApplied { session, ballot, n, name, value } => {
            if let Some(part) = parts.get_mut(session).and_then(|p| p.get_mut(ballot)) {
                part.applied.push((at, *n, name.clone(), value.clone()));
            }
        }
        Note::SaveSent { n, name, value } => {
            let sent = &mut clients.entry(by.clone()).or_default().sent;
            sent.entry(*n).or_default().push((name.clone(), value.clone()));
        }
        Note::SavesConfirmed { n } => clients.entry(by.clone()).or_default().confirmed.push((at, *n)),
        Note::OpenSent { connection, balancer, .. } => {
            asked.insert((by.clone(), *connection), (*balancer, at, 0));
        }
        Note::Answered { connection, word, token } => {
            let Some((balancer, since, answers)) = asked.get_mut(&(by.clone(), *connection)) else { return };
            *answers += 1;
            if *answers > 1 {
                verdict.answered_twice += 1;
                verdict.find(format!("{by} had two answers on connection {connection}, the second {word:?}"));
            }
            if word.is_empty() && !faults_cut(*balancer, *since, at) {
                verdict.unanswered += 1;
                verdict.find(format!(
                    "{by} asked balancer {balancer} at {since:.0} and had no answer by {at:.0}"
                ));
            }
            if word == "UP" && matches!(token, TokenKind::Stale | TokenKind::Forged) {
                verdict.unauthorized_opens += 1;
                verdict.find(format!("{by} was let in at {at:.0} by a {token:?} token"));
            }
        }
        Note::SessionAbandoned => {
            verdict.abandoned_sessions += 1;
            verdict.find(format!("{by} had to give its session up at {at:.0}"));
        }
        Note::ConnectionEnded { .. } | Note::JournalFull { .. } | Note::Fault { .. } => {}
    }
}

fn held_twice(session: &str, turns: &[Tenure], verdict: &mut Verdict) {
    let mut order: Vec<_> = turns.iter().filter(|t| t.to > t.from).collect();
    order.sort_by(|a, b| a.from.total_cmp(&b.from));
    let mut last: Option<&Tenure> = None;
    for turn in order {
        if let Some(before) = last
            && turn.from < before.to
        {
            verdict.held_twice += 1;
            let over = before.to.min(turn.to) - turn.from;
            verdict.find(format!(
                "session {session} was held by {} under {} and by {} under {} from {:.1} on, for {over:.1} ms",
                before.host, before.ballot, turn.host, turn.ballot, turn.from
            ));
            return;
        }
        if last.is_none_or(|before| turn.to > before.to) {
            last = Some(turn);
        }
    }
}

/// The client that a save came from: its name stands in front of each value.
fn client_of(value: &str) -> Option<String> {
    value.split_once('.').map(|(number, _)| format!("d{number}"))
}

fn lineage(
    session: &str,
    parts: &BTreeMap<Ballot, SessionCopy>,
    clients: &HashMap<String, Client>,
    verdict: &mut Verdict,
) {
    let values =
        |p: &SessionCopy| p.applied.iter().map(|(.., v)| v.clone()).chain(p.fields.values().cloned()).next();
    let owner = parts.values().find_map(values).and_then(|value| client_of(&value));
    let nobody = Client::default();
    let client = owner.as_ref().and_then(|name| clients.get(name)).unwrap_or(&nobody);
    let last_confirmed = client.confirmed.last().map_or(0, |(_, n)| *n);
    let latest = parts.keys().next_back().copied();
    for (ballot, part) in parts {
        // Where the session goes on, all must be there that was confirmed by then.
        let by_then = client.confirmed.iter().rev().find(|(at, _)| *at < part.at).map_or(0, |(_, n)| *n);
        if part.upto < by_then {
            verdict.missing_saves += (by_then - part.upto) as usize;
            verdict.find(format!(
                "session {session} went on at {} under {ballot} with {} saves of {by_then} confirmed",
                part.host, part.upto
            ));
        }
        let mut expected: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (_, sent) in client.sent.range(..=part.upto) {
            if let Some((name, _)) = sent.last() {
                expected.insert(name, sent.iter().map(|(_, v)| v.as_str()).collect());
            }
        }
        for (name, values) in &expected {
            let there = part.fields.get(*name);
            if !there.is_some_and(|v| values.contains(&v.as_str())) {
                verdict.missing_saves += 1;
                verdict.find(format!(
                    "session {session} went on at {} under {ballot} with {name} as {there:?}, not {values:?}",
                    part.host
                ));
            }
        }
        let mut upto = part.upto;
        for (at, n, name, value) in &part.applied {
            if *n <= upto {
                verdict.applied_twice += 1;
                verdict.find(format!("{} applied save {n} of session {session} again at {at:.0}", part.host));
                continue;
            }
            let sent =
                client.sent.get(n).is_some_and(|all| all.iter().any(|s| s == &(name.clone(), value.clone())));
            if *n != upto + 1 || !sent {
                verdict.out_of_order += 1;
                verdict.find(format!("{} applied save {n} of session {session} after {upto}", part.host));
            }
            upto = *n;
        }
        if Some(*ballot) == latest && upto < last_confirmed {
            verdict.missing_saves += (last_confirmed - upto) as usize;
            verdict.find(format!(
                "session {session} has {upto} saves in the end at {}, and {last_confirmed} were confirmed",
                part.host
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

    fn holds(at: Millis, host: &'static str, epoch: u64) -> (Millis, &'static str, Note) {
        (at, host, Note::LeaseAcquired { session: "s".into(), ballot: ballot(epoch) })
    }

    fn lets_go(at: Millis, host: &'static str, epoch: u64, late_ms: Millis) -> (Millis, &'static str, Note) {
        (at, host, Note::LeaseReleased { session: "s".into(), ballot: ballot(epoch), late_ms })
    }

    fn begins(at: Millis, epoch: u64, upto: u64, fields: &[(&str, &str)]) -> (Millis, &'static str, Note) {
        let fields = fields.iter().map(|(n, v)| ((*n).into(), (*v).into())).collect();
        (at, "h", Note::StateLoaded { session: "s".into(), ballot: ballot(epoch), upto, fields })
    }

    fn applies(at: Millis, epoch: u64, n: u64) -> (Millis, &'static str, Note) {
        let (name, value) = ("f".into(), format!("1.{n}."));
        (at, "h", Note::SaveApplied { session: "s".into(), ballot: ballot(epoch), n, name, value })
    }

    fn sends(at: Millis, n: u64) -> (Millis, &'static str, Note) {
        (at, "d1", Note::SaveSent { n, name: "f".into(), value: format!("1.{n}.") })
    }

    fn confirmed(at: Millis, n: u64) -> (Millis, &'static str, Note) {
        (at, "d1", Note::SavesConfirmed { n })
    }

    #[test]
    fn a_sound_run_is_found_sound() {
        let verdict = run(vec![
            holds(1.0, "h", 1),
            begins(1.0, 1, 0, &[]),
            sends(2.0, 1),
            applies(3.0, 1, 1),
            confirmed(4.0, 1),
            sends(5.0, 2),
            lets_go(9.0, "h", 1, 3.0),
            holds(6.0, "g", 2),
            begins(7.0, 2, 1, &[("f", "1.1.")]),
            applies(8.0, 2, 2),
            confirmed(9.0, 2),
        ]);
        assert!(verdict.passed(), "{:?}", verdict.findings);
        assert_eq!((verdict.sessions, verdict.resumed, verdict.confirmed_saves), (1, 1, 2));
    }

    #[test]
    fn each_broken_rule_is_found() {
        let twice = run(vec![holds(1.0, "h", 1), holds(6.0, "g", 2), lets_go(9.0, "h", 1, 2.9)]);
        assert_eq!(twice.held_twice, 1, "{twice:?}");
        let base = || vec![begins(1.0, 1, 0, &[]), sends(2.0, 1), applies(3.0, 1, 1), confirmed(4.0, 1)];
        let with = |more: Vec<_>| run([base(), more].concat());
        assert_eq!(
            with(vec![begins(5.0, 2, 0, &[])]).missing_saves,
            2,
            "resumed without it, and ended without it"
        );
        assert_eq!(
            with(vec![begins(5.0, 2, 1, &[])]).missing_saves,
            1,
            "the number is there and the field is not"
        );
        assert_eq!(with(vec![begins(5.0, 2, 1, &[("f", "1.0.")])]).missing_saves, 1);
        assert_eq!(with(vec![applies(5.0, 1, 1)]).applied_twice, 1);
        assert_eq!(with(vec![begins(5.0, 2, 1, &[("f", "1.1.")]), applies(6.0, 2, 1)]).applied_twice, 1);
        assert_eq!(with(vec![sends(5.0, 2), sends(5.0, 3), applies(6.0, 1, 3)]).out_of_order, 1);
        assert_eq!(with(vec![applies(6.0, 1, 2)]).out_of_order, 1, "nobody sent it");
        let ask = |token| (1.0, "x", Note::OpenSent { connection: 1, balancer: 0, token });
        let answer =
            |word: &str, token| (2.0, "x", Note::Answered { connection: 1, word: word.into(), token });
        let good = TokenKind::Good;
        assert_eq!(run(vec![ask(good), answer("UP", good), answer("ERR", good)]).answered_twice, 1);
        assert_eq!(run(vec![ask(good), answer("", good)]).unanswered, 1);
        for token in [TokenKind::Stale, TokenKind::Forged] {
            assert_eq!(run(vec![ask(token), answer("UP", token)]).unauthorized_opens, 1);
            assert!(run(vec![ask(token), answer("ERR", token)]).passed());
        }
    }
}
