//! How long messages take at form hosts, measured by the lines of clients and their answers.

use crate::io::clock::Millis;
use marllink::{RequestId, ServerId};
use std::collections::{BTreeMap, VecDeque};

/// Lines of one connection that are waited for at most; who sends more without an answer has the
/// later ones not measured.
const MOST_WAITING: usize = 64;
/// Samples kept of one form host: its last second or so.
const MOST_SAMPLES: usize = 64;
/// A sample speaks of the present for so long, in milliseconds: clients send a line every 2 s.
const FRESH_MS: Millis = 1_000.0;

/// The lines of one connection that have no answer yet.
#[derive(Debug, Default)]
pub struct Waiting {
    sent: VecDeque<Millis>,
    heard: Millis,
}

impl Waiting {
    /// The client has sent a line.
    pub fn sent(&mut self, now: Millis) {
        if self.sent.len() < MOST_WAITING {
            self.sent.push_back(now);
        }
    }

    /// The form host has sent an answer: how long it took.
    pub fn answered(&mut self, now: Millis) -> Option<Millis> {
        self.heard = now;
        self.sent.pop_front().map(|sent| now - sent)
    }

    /// The form host has sent something.
    pub fn heard(&mut self, now: Millis) {
        self.heard = now;
    }

    /// For how long the form host has owed an answer and sent nothing.
    pub fn silent_for(&self, now: Millis) -> Millis {
        self.sent.front().map_or(0.0, |sent| now - sent.max(self.heard))
    }

    /// True if no line waits for its answer.
    pub fn none(&self) -> bool {
        self.sent.is_empty()
    }

    /// For how long the oldest line has had no answer.
    pub fn oldest(&self, now: Millis) -> Option<Millis> {
        self.sent.front().map(|sent| now - sent)
    }
}

/// One form host's recent delays.
#[derive(Debug, Default)]
struct Host {
    /// When, how long, and on whose connection.
    samples: VecDeque<(Millis, Millis, RequestId)>,
    /// The shortest round trip seen: the way there and back, and a message at an idle host.
    shortest: Option<Millis>,
    /// The last note told of a delay over the bound.
    over: bool,
    /// When the host itself last told a delay.
    told_at: Option<Millis>,
}

/// Delays by form host.
#[derive(Debug)]
pub struct Delays {
    /// Delays over this are told.
    bound: Millis,
    hosts: BTreeMap<ServerId, Host>,
}

impl Delays {
    /// Delays are told while they are over a third of the strictest aim for a message.
    pub fn new(strictest_aim_ms: Millis) -> Self {
        Self { bound: strictest_aim_ms / 3.0, hosts: BTreeMap::new() }
    }

    /// Delays over this are told.
    pub fn bound(&self) -> Millis {
        self.bound
    }

    /// A form host has told a delay itself.
    pub fn told(&mut self, server: ServerId, now: Millis) {
        self.hosts.entry(server).or_default().told_at = Some(now);
    }

    /// When it last did.
    pub fn told_at(&self, server: ServerId) -> Option<Millis> {
        self.hosts.get(&server)?.told_at
    }

    /// The aim has changed.
    pub fn tell_over(&mut self, strictest_aim_ms: Millis) {
        self.bound = strictest_aim_ms / 3.0;
    }

    /// A message took so long on this connection.
    pub fn sample(&mut self, now: Millis, server: ServerId, request: RequestId, took: Millis) {
        let host = self.hosts.entry(server).or_default();
        host.shortest = Some(host.shortest.map_or(took, |s| s.min(took)));
        host.samples.push_back((now, took, request));
        if host.samples.len() > MOST_SAMPLES {
            host.samples.pop_front();
        }
    }

    /// What is to be told now, to be asked for once a second: for each form host at most one
    /// connection and the delay there. `waiting` holds lines that have had no answer for so long.
    pub fn notes(
        &mut self,
        now: Millis,
        waiting: impl Iterator<Item = (ServerId, RequestId, Millis)>,
        is_open: impl Fn(RequestId) -> bool,
    ) -> Vec<(RequestId, Millis)> {
        let mut recent: BTreeMap<ServerId, Vec<(Millis, RequestId)>> = BTreeMap::new();
        for (server, host) in &mut self.hosts {
            while host.samples.front().is_some_and(|(at, ..)| now - at >= FRESH_MS) {
                host.samples.pop_front();
            }
            let shortest = host.shortest.unwrap_or_default();
            let samples = host.samples.iter().filter(|(.., id)| is_open(*id));
            recent.entry(*server).or_default().extend(samples.map(|(_, took, id)| (took - shortest, *id)));
        }
        // A line that waits longer than the bound says as much as an answer that came late.
        for (server, request, waited) in waiting {
            let shortest = self.hosts.get(&server).and_then(|h| h.shortest).unwrap_or_default();
            if waited - shortest > self.bound {
                recent.entry(server).or_default().push((waited - shortest, request));
            }
        }
        let mut notes = Vec::new();
        for (server, mut delays) in recent {
            if delays.is_empty() {
                continue;
            }
            delays.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
            let (delay, request) = delays[delays.len() / 2];
            let host = self.hosts.entry(server).or_default();
            if delay > self.bound || host.over {
                notes.push((request, delay));
                host.over = delay > self.bound;
            }
        }
        notes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOST: ServerId = ServerId(1);

    #[test]
    fn a_delay_over_a_third_of_the_aim_is_told_each_second_and_once_when_it_is_back_under() {
        let mut delays = Delays::new(60.0);
        let mut told = Vec::new();
        for (second, took) in [12.0, 20.0, 50.0, 60.0, 15.0, 15.0].into_iter().enumerate() {
            let now = second as f64 * 1_000.0;
            for id in 1..=3 {
                delays.sample(now, HOST, RequestId(id), took);
            }
            told.push(delays.notes(now, std::iter::empty(), |_| true).pop().map(|(_, delay)| delay));
        }
        assert_eq!(told, [None, None, Some(38.0), Some(48.0), Some(3.0), None]);
    }

    #[test]
    fn a_line_without_an_answer_counts_and_a_connection_that_is_over_is_not_named() {
        let mut delays = Delays::new(60.0);
        delays.sample(0.0, HOST, RequestId(1), 10.0);
        let waiting = [(HOST, RequestId(2), 500.0)];
        let notes = delays.notes(2_000.0, waiting.into_iter(), |id| id == RequestId(2));
        assert_eq!(notes, [(RequestId(2), 490.0)]);
    }

    #[test]
    fn silence_is_counted_from_the_first_line_without_an_answer() {
        let mut waiting = Waiting::default();
        assert_eq!(waiting.silent_for(9_000.0), 0.0);
        waiting.sent(10_000.0);
        waiting.sent(12_000.0);
        assert_eq!(waiting.silent_for(14_000.0), 4_000.0);
        assert_eq!(waiting.answered(14_100.0), Some(4_100.0));
        assert_eq!(waiting.silent_for(15_000.0), 900.0);
        assert_eq!(waiting.oldest(15_000.0), Some(3_000.0));
    }
}
