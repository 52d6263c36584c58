//! The rules of the platform's protocol, read from what stand-ins wrote down and from nothing else.

use super::{CLASS_SHIFT, Note, State};
use crate::model::Millis;
use std::collections::BTreeMap;

/// Time limits hold to so many ms.
const TOLERANCE_MS: Millis = 50.0;
/// No attempt begins so long after its client left: 0.1 s, and 0.15 s for a balancer that was held up.
const MAX_START_AFTER_LEAVE_MS: Millis = 250.0;
/// A client that stopped in the middle of its line is released within this.
const MAX_RELEASE_MS: Millis = 3_000.0;
/// What a client of a moment ago was told is on its way while its balancer is killed.
const KILL_MARGIN_MS: Millis = 250.0;

/// The figures of a deployment's rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Attempts for a request at most.
    pub max_attempts: usize,
    /// A form host may be sent to for so many ms after it was told as draining or gone.
    pub drain_grace_ms: Millis,
    /// `BUSY` may say when to come again, up to so many ms; `None` where it may not.
    pub max_retry_after_ms: Option<Millis>,
    /// Whether requests of a class must not run twice, by the class's number in their ids; the others may.
    pub non_idempotent: Vec<bool>,
}

impl Rules {
    fn is_non_idempotent(&self, id: u64) -> bool {
        let class = (id >> CLASS_SHIFT & 0xf) as usize;
        self.non_idempotent.get(class).copied().unwrap_or(false)
    }
}

/// What was findings. Faults of safety hold on any machine; late ones may be the machine's.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Requests, and how many of them were served.
    pub requests: usize,
    /// As above.
    pub served: usize,
    /// Attempts that came to form hosts.
    pub attempts: usize,
    /// Rules of safety that were broken, in words.
    pub violations: Vec<String>,
    /// Bounds on time that were exceeded, in words.
    pub late: Vec<String>,
}

#[derive(Default)]
struct Request {
    asked: Option<(Millis, Millis)>,
    answers: Vec<(Millis, String)>,
    sent: usize,
    out: Option<usize>,
    receipts: Vec<String>,
    connected: Option<Millis>,
    left: Option<Millis>,
    /// An attempt may have run.
    may_have_run: bool,
    /// Its balancer was killed before it had its answer.
    cut: bool,
}

/// Judges a run. The clients' waits are bounds on time; so is the grace of a drain.
#[must_use]
pub fn check(notes: &[(Millis, Note)], rules: &Rules) -> Findings {
    let mut findings = Findings::default();
    let mut requests = BTreeMap::<u64, Request>::new();
    let mut told = BTreeMap::<usize, Millis>::new();
    let mut stopped = BTreeMap::<u64, Millis>::new();
    let mut kills = Vec::new();
    for (at, note) in notes {
        match note {
            Note::Asked { id, wait_ms } => requests.entry(*id).or_default().asked = Some((*at, *wait_ms)),
            Note::Answered { id, line } => requests.entry(*id).or_default().answers.push((*at, line.clone())),
            Note::Receipt { id, receipt } => requests.entry(*id).or_default().receipts.push(receipt.clone()),
            Note::Told { host, state: State::Serving } => _ = told.remove(host),
            // Told again it stays told from the first time.
            Note::Told { host, .. } => _ = told.entry(*host).or_insert(*at),
            Note::Sent { id, host, since, wait_ms } => {
                findings.attempts += 1;
                let request = requests.entry(*id).or_default();
                request.sent += 1;
                if let Some(other) = request.out.replace(*host) {
                    findings.violations.push(format!(
                        "{id:x}: two max_attempts at non_idempotent, at hosts {other} and {host}, {at:.0} ms"
                    ));
                }
                if request.may_have_run && rules.is_non_idempotent(*id) {
                    findings
                        .violations
                        .push(format!("{id:x}: sent again though it may have run, {at:.0} ms"));
                }
                if let Some(left) =
                    request.left.filter(|left| since - *left > MAX_START_AFTER_LEAVE_MS + TOLERANCE_MS)
                {
                    findings
                        .violations
                        .push(format!("{id:x}: begun {:.0} ms after its client left", since - left));
                }
                if request.sent > rules.max_attempts {
                    findings
                        .violations
                        .push(format!("{id:x}: more than {} max_attempts, {at:.0} ms", rules.max_attempts));
                }
                match request.asked {
                    None => findings.violations.push(format!("{id:x}: sent and never asked for, {at:.0} ms")),
                    Some((_, wait)) if *wait_ms > wait => {
                        findings
                            .violations
                            .push(format!("{id:x}: says {wait_ms} ms where the client waits {wait}"));
                    }
                    Some(_) => {}
                }
                if let Some(drained) =
                    told.get(host).filter(|told| since - *told > rules.drain_grace_ms + TOLERANCE_MS)
                {
                    findings.violations.push(format!(
                        "{id:x}: host {host} was told as leaving at {drained:.0} ms and sent to at {since:.0} ms"
                    ));
                }
            }
            Note::Over { id, host, how } => {
                let request = requests.entry(*id).or_default();
                request.out = request.out.filter(|out| out != host);
                request.may_have_run |= how != "BUSY";
            }
            Note::Connected { id } => requests.entry(*id).or_default().connected = Some(*at),
            Note::Left { id } => requests.entry(*id).or_default().left = Some(*at),
            Note::StoppedMidLine { id } => _ = stopped.insert(*id, *at),
            Note::Released { id } => {
                let since = stopped.remove(id).unwrap_or(*at);
                if at - since > MAX_RELEASE_MS + TOLERANCE_MS {
                    findings.late.push(format!("{id:x}: released {:.0} ms after it stopped", at - since));
                }
            }
            Note::Killed => {
                told.clear();
                kills.push(*at);
                for request in requests.values_mut() {
                    let asked = request.asked.is_some_and(|(asked, _)| asked <= *at);
                    request.cut |= asked && request.answers.is_empty();
                    request.out = None;
                }
            }
        }
    }
    for (id, since) in stopped {
        if !kills.iter().any(|at| *at >= since) {
            findings.violations.push(format!("{id:x}: stopped in the middle of its line and never released"));
        }
    }
    for (id, request) in &requests {
        let Some((asked, wait)) = request.asked else { continue };
        findings.requests += 1;
        let Some((at, line)) = request.answers.first() else {
            if request.left.is_none() && !request.cut {
                findings.violations.push(format!("{id:x}: no answer"));
            }
            continue;
        };
        let since = request.connected.unwrap_or(asked);
        let killed = kills.iter().any(|kill| (since - KILL_MARGIN_MS..at + KILL_MARGIN_MS).contains(kill));
        if line == "(end)" && (request.cut || killed) {
            continue;
        }
        if rules.is_non_idempotent(*id) && request.may_have_run && line.starts_with("BUSY") {
            findings.violations.push(format!("{id:x}: answered \"{line}\" though it may have run"));
        }
        if request.answers.len() > 1 {
            findings.violations.push(format!("{id:x}: {} answers", request.answers.len()));
        }
        if at - asked > wait + TOLERANCE_MS {
            findings.late.push(format!("{id:x}: answered after {:.0} ms, waits {wait:.0}", at - asked));
        }
        let wrong = match line.split_once(' ') {
            Some(("UP", receipt)) => {
                findings.served += 1;
                !request.receipts.iter().any(|given| given == receipt)
            }
            Some(("BUSY", ms)) => {
                let ms = ms.parse::<f64>().unwrap_or(f64::INFINITY);
                rules.max_retry_after_ms.is_none_or(|most| ms > most)
            }
            // Without a word the balancer has lost it.
            _ => line == "(end)",
        };
        if wrong {
            findings.violations.push(format!("{id:x}: answered \"{line}\", which nobody gave or may give"));
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

    fn broken(notes: &[(Millis, Note)]) -> String {
        check(notes, &RULES).violations.join("; ")
    }

    #[test]
    fn a_sound_request_is_found_sound() {
        let receipt = (30.0, Note::Receipt { id: 1, receipt: "9".into() });
        let notes =
            [asked(1), sent(1, 0, 1.0), over(5.0, 1, 0), sent(1, 1, 8.0), receipt, answered(31.0, 1, "UP 9")];
        let findings = check(&notes, &RULES);
        assert_eq!((findings.requests, findings.served, findings.attempts), (1, 1, 2));
        assert!(findings.violations.is_empty() && findings.late.is_empty(), "{findings:?}");
    }

    #[test]
    fn each_rule_is_found_broken_by_its_own_fault() {
        let end = answered(40.0, 1, "BUSY");
        let two = [asked(1), sent(1, 0, 1.0), sent(1, 1, 2.0), over(3.0, 1, 0), over(4.0, 1, 1), end.clone()];
        assert!(broken(&two).contains("two max_attempts at non_idempotent"));
        let again = |host| [sent(1, host, 1.0), over(2.0, 1, host)];
        let mut many = vec![asked(1)];
        (0..3).for_each(|host| many.extend(again(host)));
        many.push(end.clone());
        assert!(broken(&many).contains("more than 2 max_attempts"));
        assert!(broken(&[asked(1)]).contains("no answer"));
        assert!(broken(&[asked(1), end.clone(), end.clone()]).contains("2 answers"));
        assert!(broken(&[asked(1), answered(9.0, 1, "(end)")]).contains("(end)"));
        assert!(broken(&[asked(1), answered(9.0, 1, "UP 7")]).contains("UP 7"));
        assert!(broken(&[asked(1), answered(9.0, 1, "BUSY 200")]).contains("BUSY 200"));
        assert!(broken(&[sent(5, 0, 1.0)]).contains("never asked for"));
        let told = (100.0, Note::Told { host: 0, state: State::Draining });
        let after = |since| [asked(1), told.clone(), sent(1, 0, since), over(900.0, 1, 0), end.clone()];
        assert!(broken(&after(651.0)).contains("told as leaving"));
        assert_eq!(broken(&after(649.0)), "");
        assert_eq!(check(&[asked(1), answered(1_051.0, 1, "BUSY")], &RULES).late.len(), 1);
    }

    #[test]
    fn a_host_that_serves_again_may_be_sent_to() {
        let told = |at, state| (at, Note::Told { host: 0, state });
        let notes = [
            asked(1),
            told(10.0, State::Deleted),
            told(20.0, State::Serving),
            sent(1, 0, 900.0),
            over(901.0, 1, 0),
            answered(902.0, 1, "BUSY"),
        ];
        assert_eq!(broken(&notes), "");
    }
}
