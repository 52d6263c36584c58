//! The rules of the protocol for plain connections, checked on the observations of servers, discovery and clients
//! alone.

use super::{CLASS_SHIFT, Note, State};
use crate::model::Millis;
use std::collections::BTreeMap;

/// Tolerance of all time limits.
const TOLERANCE_MS: Millis = 50.0;
/// Maximum time between the departure of a client and the start of an attempt for it: 0.1 s, and 0.15 s for a
/// balancer process that was not scheduled.
const MAX_START_AFTER_LEAVE_MS: Millis = 250.0;
/// Maximum time until a client that stopped in the middle of its request is released.
const MAX_RELEASE_MS: Millis = 3_000.0;
/// Time before and after the kill of a balancer in which answers may be lost in transit.
const KILL_MARGIN_MS: Millis = 250.0;

/// The limits of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Maximum number of attempts for a request.
    pub max_attempts: usize,
    /// Time after discovery listed a server as draining or deleted in which it may still receive requests, in ms.
    pub drain_grace_ms: Millis,
    /// Maximum retry delay in `BUSY`, in ms; `None` where `BUSY` may not have one.
    pub max_retry_after_ms: Option<Millis>,
    /// Whether the requests of a class must not run twice, by the number of the class in their ids. Requests of other
    /// classes may.
    pub non_idempotent: Vec<bool>,
}

impl Rules {
    fn is_non_idempotent(&self, id: u64) -> bool {
        let class = (id >> CLASS_SHIFT & 0xf) as usize;
        self.non_idempotent.get(class).copied().unwrap_or(false)
    }
}

/// The result of a check. Violations hold on any machine; late events may be due to the load of the machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Number of requests.
    pub requests: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Number of attempts that reached servers.
    pub attempts: usize,
    /// Descriptions of violated rules.
    pub violations: Vec<String>,
    /// Descriptions of exceeded time limits.
    pub late: Vec<String>,
}

#[derive(Default)]
struct Request {
    /// Time at which the client sent it, and its wait time.
    sent: Option<(Millis, Millis)>,
    answers: Vec<(Millis, String)>,
    attempts: usize,
    /// The server with an attempt in progress.
    active_server: Option<usize>,
    receipts: Vec<String>,
    connected_at: Option<Millis>,
    left_at: Option<Millis>,
    /// Whether an attempt may have run.
    may_have_run: bool,
    /// Whether the balancer was killed before the answer.
    balancer_killed: bool,
}

/// Checks a run. The wait times of clients and the grace period of a drain are time limits.
#[must_use]
pub fn check(notes: &[(Millis, Note)], rules: &Rules) -> Findings {
    let mut findings = Findings::default();
    let mut requests = BTreeMap::<u64, Request>::new();
    let mut leaving = BTreeMap::<usize, Millis>::new();
    let mut stopped = BTreeMap::<u64, Millis>::new();
    let mut kills = Vec::new();
    for (at, note) in notes {
        match note {
            Note::Asked { id, wait_ms } => requests.entry(*id).or_default().sent = Some((*at, *wait_ms)),
            Note::Answered { id, line } => requests.entry(*id).or_default().answers.push((*at, line.clone())),
            Note::Receipt { id, receipt } => requests.entry(*id).or_default().receipts.push(receipt.clone()),
            Note::Told { host, state: State::Serving } => _ = leaving.remove(host),
            // A server that is listed as leaving again counts from the first time.
            Note::Told { host, .. } => _ = leaving.entry(*host).or_insert(*at),
            Note::Sent { id, host, since, wait_ms } => {
                findings.attempts += 1;
                let request = requests.entry(*id).or_default();
                request.attempts += 1;
                if let Some(other) = request.active_server.replace(*host) {
                    findings.violations.push(format!(
                        "{id:x}: concurrent attempts at servers {other} and {host}, {at:.0} ms"
                    ));
                }
                if request.may_have_run && rules.is_non_idempotent(*id) {
                    findings.violations.push(format!("{id:x}: retried although it may have run, {at:.0} ms"));
                }
                if let Some(left_at) = request
                    .left_at
                    .filter(|left_at| since - *left_at > MAX_START_AFTER_LEAVE_MS + TOLERANCE_MS)
                {
                    findings.violations.push(format!(
                        "{id:x}: attempt started {:.0} ms after its client left",
                        since - left_at
                    ));
                }
                if request.attempts > rules.max_attempts {
                    findings
                        .violations
                        .push(format!("{id:x}: more than {} attempts, {at:.0} ms", rules.max_attempts));
                }
                match request.sent {
                    None => findings
                        .violations
                        .push(format!("{id:x}: attempt without a client request, {at:.0} ms")),
                    Some((_, client_wait_ms)) if *wait_ms > client_wait_ms => {
                        findings
                            .violations
                            .push(format!("{id:x}: attempt with a wait time of {wait_ms} ms where the client waits {client_wait_ms} ms"));
                    }
                    Some(_) => {}
                }
                if let Some(listed_at) = leaving
                    .get(host)
                    .filter(|listed_at| since - *listed_at > rules.drain_grace_ms + TOLERANCE_MS)
                {
                    findings.violations.push(format!(
                        "{id:x}: server {host} was listed as leaving at {listed_at:.0} ms and received a request at {since:.0} ms"
                    ));
                }
            }
            Note::Over { id, host, how } => {
                let request = requests.entry(*id).or_default();
                request.active_server = request.active_server.filter(|active| active != host);
                request.may_have_run |= how != "BUSY";
            }
            Note::Connected { id } => requests.entry(*id).or_default().connected_at = Some(*at),
            Note::Left { id } => requests.entry(*id).or_default().left_at = Some(*at),
            Note::StoppedMidLine { id } => _ = stopped.insert(*id, *at),
            Note::Released { id } => {
                let since = stopped.remove(id).unwrap_or(*at);
                if at - since > MAX_RELEASE_MS + TOLERANCE_MS {
                    findings
                        .late
                        .push(format!("{id:x}: released {:.0} ms after its client stopped", at - since));
                }
            }
            Note::Killed => {
                leaving.clear();
                kills.push(*at);
                for request in requests.values_mut() {
                    let was_sent = request.sent.is_some_and(|(sent_at, _)| sent_at <= *at);
                    request.balancer_killed |= was_sent && request.answers.is_empty();
                    request.active_server = None;
                }
            }
        }
    }
    for (id, since) in stopped {
        if !kills.iter().any(|at| *at >= since) {
            findings
                .violations
                .push(format!("{id:x}: stopped in the middle of its request and never released"));
        }
    }
    for (id, request) in &requests {
        let Some((sent_at, wait_ms)) = request.sent else { continue };
        findings.requests += 1;
        let Some((at, line)) = request.answers.first() else {
            if request.left_at.is_none() && !request.balancer_killed {
                findings.violations.push(format!("{id:x}: no answer"));
            }
            continue;
        };
        let since = request.connected_at.unwrap_or(sent_at);
        let killed = kills.iter().any(|kill| (since - KILL_MARGIN_MS..at + KILL_MARGIN_MS).contains(kill));
        if line == "(end)" && (request.balancer_killed || killed) {
            continue;
        }
        if rules.is_non_idempotent(*id) && request.may_have_run && line.starts_with("BUSY") {
            findings.violations.push(format!("{id:x}: answered \"{line}\" although it may have run"));
        }
        if request.answers.len() > 1 {
            findings.violations.push(format!("{id:x}: {} answers", request.answers.len()));
        }
        if at - sent_at > wait_ms + TOLERANCE_MS {
            findings.late.push(format!(
                "{id:x}: answered after {:.0} ms, but the client waits {wait_ms:.0} ms",
                at - sent_at
            ));
        }
        let invalid = match line.split_once(' ') {
            Some(("UP", receipt)) => {
                findings.served += 1;
                !request.receipts.iter().any(|issued| issued == receipt)
            }
            Some(("BUSY", ms)) => {
                let ms = ms.parse::<f64>().unwrap_or(f64::INFINITY);
                rules.max_retry_after_ms.is_none_or(|max_ms| ms > max_ms)
            }
            // The connection ended without an answer: the balancer has lost the request.
            _ => line == "(end)",
        };
        if invalid {
            findings.violations.push(format!("{id:x}: invalid answer \"{line}\""));
        }
    }
    findings
}

#[cfg(test)]
mod tests {
    use super::*;

    const RULES: Rules = Rules {
        max_attempts: 2,
        drain_grace_ms: 500.0,
        max_retry_after_ms: None,
        non_idempotent: Vec::new(),
    };

    fn sent(id: u64, host: usize, since: Millis) -> (Millis, Note) {
        (since + 1.0, Note::Sent { id, host, since, wait_ms: 900.0 })
    }

    fn over(at: Millis, id: u64, host: usize) -> (Millis, Note) {
        (at, Note::Over { id, host, how: "BUSY".into() })
    }

    fn asked(id: u64) -> (Millis, Note) {
        (0.0, Note::Asked { id, wait_ms: 1_000.0 })
    }

    fn answered(at: Millis, id: u64, line: &str) -> (Millis, Note) {
        (at, Note::Answered { id, line: line.into() })
    }

    fn violations(notes: &[(Millis, Note)]) -> String {
        check(notes, &RULES).violations.join("; ")
    }

    #[test]
    fn a_request_without_violations_passes() {
        let receipt = (30.0, Note::Receipt { id: 1, receipt: "9".into() });
        let notes =
            [asked(1), sent(1, 0, 1.0), over(5.0, 1, 0), sent(1, 1, 8.0), receipt, answered(31.0, 1, "UP 9")];
        let findings = check(&notes, &RULES);
        assert_eq!((findings.requests, findings.served, findings.attempts), (1, 1, 2));
        assert!(findings.violations.is_empty() && findings.late.is_empty(), "{findings:?}");
    }

    #[test]
    fn each_violation_is_detected() {
        let end = answered(40.0, 1, "BUSY");
        let concurrent =
            [asked(1), sent(1, 0, 1.0), sent(1, 1, 2.0), over(3.0, 1, 0), over(4.0, 1, 1), end.clone()];
        assert!(violations(&concurrent).contains("concurrent attempts"));
        let attempt = |host| [sent(1, host, 1.0), over(2.0, 1, host)];
        let mut many = vec![asked(1)];
        (0..3).for_each(|host| many.extend(attempt(host)));
        many.push(end.clone());
        assert!(violations(&many).contains("more than 2 attempts"));
        assert!(violations(&[asked(1)]).contains("no answer"));
        assert!(violations(&[asked(1), end.clone(), end.clone()]).contains("2 answers"));
        assert!(violations(&[asked(1), answered(9.0, 1, "(end)")]).contains("(end)"));
        assert!(violations(&[asked(1), answered(9.0, 1, "UP 7")]).contains("UP 7"));
        assert!(violations(&[asked(1), answered(9.0, 1, "BUSY 200")]).contains("BUSY 200"));
        assert!(violations(&[sent(5, 0, 1.0)]).contains("without a client request"));
        let listed = (100.0, Note::Told { host: 0, state: State::Draining });
        let after = |since| [asked(1), listed.clone(), sent(1, 0, since), over(900.0, 1, 0), end.clone()];
        assert!(violations(&after(651.0)).contains("listed as leaving"));
        assert_eq!(violations(&after(649.0)), "");
        assert_eq!(check(&[asked(1), answered(1_051.0, 1, "BUSY")], &RULES).late.len(), 1);
    }

    #[test]
    fn a_server_that_serves_again_may_receive_requests() {
        let listed = |at, state| (at, Note::Told { host: 0, state });
        let notes = [
            asked(1),
            listed(10.0, State::Deleted),
            listed(20.0, State::Serving),
            sent(1, 0, 900.0),
            over(901.0, 1, 0),
            answered(902.0, 1, "BUSY"),
        ];
        assert_eq!(violations(&notes), "");
    }
}
