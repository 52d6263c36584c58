//! Measures message delays at servers: the time between a client's line and the server's answer.

use crate::io::clock::Millis;
use marllink::{RequestId, ServerId};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of unanswered lines that are tracked per connection; further lines are not measured.
const MAX_UNANSWERED_LINES: usize = 64;
/// Maximum number of samples that are kept per server: about one second's worth.
const MAX_SAMPLES: usize = 64;
/// Maximum age of a sample, in milliseconds. Clients send a line every 2 s, so an older sample no longer
/// describes the current delay.
const MAX_SAMPLE_AGE_MS: Millis = 1_000.0;

/// The lines of one connection that the server has not answered yet.
#[derive(Debug, Default)]
pub struct UnansweredLines {
    sent_at: VecDeque<Millis>,
    received_at: Millis,
}

impl UnansweredLines {
    /// Records that the client sent a line.
    pub fn line_sent(&mut self, now: Millis) {
        if self.sent_at.len() < MAX_UNANSWERED_LINES {
            self.sent_at.push_back(now);
        }
    }

    /// Records that the server sent an answer. Returns how long the answer took.
    pub fn answer_received(&mut self, now: Millis) -> Option<Millis> {
        self.received_at = now;
        self.sent_at.pop_front().map(|sent_at| now - sent_at)
    }

    /// Records that the server sent a line that answers none.
    pub fn line_received(&mut self, now: Millis) {
        self.received_at = now;
    }

    /// Returns how long the server has owed an answer without sending anything; 0 if it owes none.
    pub fn unresponsive_ms(&self, now: Millis) -> Millis {
        self.sent_at.front().map_or(0.0, |sent_at| now - sent_at.max(self.received_at))
    }

    /// Returns true if no line waits for its answer.
    pub fn is_empty(&self) -> bool {
        self.sent_at.is_empty()
    }

    /// Returns when the oldest line that waits for its answer was sent.
    pub fn oldest_sent_at(&self) -> Option<Millis> {
        self.sent_at.front().copied()
    }
}

/// The recent message delays of one server.
#[derive(Debug, Default)]
struct ServerDelays {
    /// When a round trip ended, how long it took, and on which request's connection.
    samples: VecDeque<(Millis, Millis, RequestId)>,
    /// The shortest round trip seen: the time that the network and an idle server need. A delay is the time
    /// beyond that.
    min_round_trip_ms: Option<Millis>,
    /// The last report to the balancer was above the threshold.
    above_threshold: bool,
    /// When the server itself last reported a delay, or a value that may be one.
    server_reported_at: Option<Millis>,
    /// When the latest line was sent that the server has answered, on any connection.
    answered_sent_at: Option<Millis>,
}

/// Message delays by server.
#[derive(Debug)]
pub struct MessageDelays {
    /// Delays above this are reported, in milliseconds.
    report_threshold_ms: Millis,
    servers: BTreeMap<ServerId, ServerDelays>,
}

impl MessageDelays {
    /// Creates an empty record. Delays are reported while they are above a third of the strictest message
    /// goal.
    pub fn new(strictest_goal_ms: Millis) -> Self {
        Self { report_threshold_ms: strictest_goal_ms / 3.0, servers: BTreeMap::new() }
    }

    /// Returns the delay above which delays are reported, in milliseconds.
    pub fn report_threshold_ms(&self) -> Millis {
        self.report_threshold_ms
    }

    /// Records that a server itself reported a delay, or a value that may be one.
    pub fn record_server_report(&mut self, server: ServerId, now: Millis) {
        self.servers.entry(server).or_default().server_reported_at = Some(now);
    }

    /// Returns when the server itself last reported a delay, or a value that may be one.
    pub fn server_reported_at(&self, server: ServerId) -> Option<Millis> {
        self.servers.get(&server)?.server_reported_at
    }

    /// Applies a changed message goal.
    pub fn set_strictest_goal(&mut self, strictest_goal_ms: Millis) {
        self.report_threshold_ms = strictest_goal_ms / 3.0;
    }

    /// Records the round trip of a message on a request's connection.
    pub fn add_sample(&mut self, now: Millis, server: ServerId, request: RequestId, round_trip_ms: Millis) {
        let delays = self.servers.entry(server).or_default();
        let sent_at = now - round_trip_ms;
        delays.answered_sent_at = Some(delays.answered_sent_at.map_or(sent_at, |latest| latest.max(sent_at)));
        delays.min_round_trip_ms =
            Some(delays.min_round_trip_ms.map_or(round_trip_ms, |shortest| shortest.min(round_trip_ms)));
        delays.samples.push_back((now, round_trip_ms, request));
        if delays.samples.len() > MAX_SAMPLES {
            delays.samples.pop_front();
        }
    }

    /// Returns true if the server has answered a later line, on any connection, than the one sent at this time.
    /// That the earlier one waits is then no sign of a slow or unresponsive server: its client may have sent
    /// what the server does not answer.
    pub fn is_overtaken(&self, server: ServerId, sent_at: Millis) -> bool {
        let answered_sent_at = self.servers.get(&server).and_then(|delays| delays.answered_sent_at);
        answered_sent_at.is_some_and(|answered_sent_at| answered_sent_at > sent_at)
    }

    /// Returns the delays to report to the balancer now; to be called once a second. There is at most one
    /// report per server: the connection with the median delay, and that delay. `waiting` yields the
    /// lines that are still unanswered, and for how long.
    pub fn due_reports(
        &mut self,
        now: Millis,
        waiting: impl Iterator<Item = (ServerId, RequestId, Millis)>,
        is_open: impl Fn(RequestId) -> bool,
    ) -> Vec<(RequestId, Millis)> {
        let mut recent: BTreeMap<ServerId, Vec<(Millis, RequestId)>> = BTreeMap::new();
        for (server, delays) in &mut self.servers {
            while delays.samples.front().is_some_and(|(at, ..)| now - at >= MAX_SAMPLE_AGE_MS) {
                delays.samples.pop_front();
            }
            let shortest_ms = delays.min_round_trip_ms.unwrap_or_default();
            let samples = delays.samples.iter().filter(|(.., request)| is_open(*request));
            recent
                .entry(*server)
                .or_default()
                .extend(samples.map(|(_, round_trip_ms, request)| (round_trip_ms - shortest_ms, *request)));
        }
        // A line that has waited longer than the threshold counts like an answer that came late.
        for (server, request, waited_ms) in waiting {
            let shortest_ms =
                self.servers.get(&server).and_then(|delays| delays.min_round_trip_ms).unwrap_or_default();
            if waited_ms - shortest_ms > self.report_threshold_ms {
                recent.entry(server).or_default().push((waited_ms - shortest_ms, request));
            }
        }
        let mut reports = Vec::new();
        for (server, mut delays) in recent {
            if delays.is_empty() {
                continue;
            }
            delays.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
            let (delay_ms, request) = delays[delays.len() / 2];
            let server_delays = self.servers.entry(server).or_default();
            if delay_ms > self.report_threshold_ms || server_delays.above_threshold {
                reports.push((request, delay_ms));
                server_delays.above_threshold = delay_ms > self.report_threshold_ms;
            }
        }
        reports
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SERVER: ServerId = ServerId(1);

    #[test]
    fn a_delay_above_a_third_of_the_goal_is_reported_each_second_and_once_after_it_falls_below() {
        let mut delays = MessageDelays::new(60.0);
        let mut reported = Vec::new();
        for (second, round_trip_ms) in [12.0, 20.0, 50.0, 60.0, 15.0, 15.0].into_iter().enumerate() {
            let now = second as f64 * 1_000.0;
            for id in 1..=3 {
                delays.add_sample(now, SERVER, RequestId(id), round_trip_ms);
            }
            reported
                .push(delays.due_reports(now, std::iter::empty(), |_| true).pop().map(|(_, delay)| delay));
        }
        assert_eq!(reported, [None, None, Some(38.0), Some(48.0), Some(3.0), None]);
    }

    #[test]
    fn an_unanswered_line_counts_and_a_closed_connection_is_not_reported() {
        let mut delays = MessageDelays::new(60.0);
        delays.add_sample(0.0, SERVER, RequestId(1), 10.0);
        let waiting = [(SERVER, RequestId(2), 500.0)];
        let reports = delays.due_reports(2_000.0, waiting.into_iter(), |id| id == RequestId(2));
        assert_eq!(reports, [(RequestId(2), 490.0)]);
    }

    #[test]
    fn unresponsive_time_starts_at_the_oldest_unanswered_line_or_the_last_line_received() {
        let mut unanswered = UnansweredLines::default();
        assert_eq!(unanswered.unresponsive_ms(9_000.0), 0.0);
        unanswered.line_sent(10_000.0);
        unanswered.line_sent(12_000.0);
        assert_eq!(unanswered.unresponsive_ms(14_000.0), 4_000.0);
        assert_eq!(unanswered.answer_received(14_100.0), Some(4_100.0));
        assert_eq!(unanswered.unresponsive_ms(15_000.0), 900.0);
        assert_eq!(unanswered.oldest_sent_at(), Some(12_000.0));
    }
}
