//! Detection of unresponsive servers: a machine that has vanished or is cut off sends nothing.
//!
//! Its connections stay open, lines sent on them get no reply, and new connections are never established. No
//! single symptom is conclusive: an overloaded server replies late, and the first packet of a connection may be
//! lost. Two symptoms of different kinds within a short time are conclusive, and the first is a reason to probe.

use crate::Millis;
use rustc_hash::FxHashMap;
use std::hash::Hash;

/// Time in ms for which a symptom counts. Clients send a line every 2 s, and a healthy server replies at once.
const SYMPTOM_VALID_MS: Millis = 2_000.0;

/// An indication that a server is unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Symptom {
    /// A line on an own connection has waited for a reply for far longer than permitted.
    OverdueReply,
    /// A connection to the server was neither established nor refused within the connect timeout.
    ConnectTimeout,
    /// Another server next to it was found unresponsive: machines are seldom lost or cut off alone.
    NeighbourUnresponsive,
}

/// Conclusion from a symptom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server is unresponsive. Returned once, and again only after new symptoms.
    Unresponsive,
    /// The server may be unresponsive and should be probed.
    Suspect,
    /// No new information.
    Unchanged,
}

/// Recent symptoms of each server. Call [`UnresponsiveDetector::record`] for each symptom and
/// [`UnresponsiveDetector::clear`] when a server has sent anything.
#[derive(Clone, Debug)]
pub struct UnresponsiveDetector<S> {
    /// When each kind of symptom was last seen: first overdue replies and neighbours, then connect timeouts.
    symptoms: FxHashMap<S, [Option<Millis>; 2]>,
}

impl<S> Default for UnresponsiveDetector<S> {
    fn default() -> Self {
        Self { symptoms: FxHashMap::default() }
    }
}

impl<S: Copy + Eq + Hash> UnresponsiveDetector<S> {
    /// Records a symptom seen at `now`.
    pub fn record(&mut self, now: Millis, server: S, symptom: Symptom) -> Verdict {
        let symptoms = self.symptoms.entry(server).or_default();
        let kind = usize::from(symptom == Symptom::ConnectTimeout);
        let valid = |at: Option<Millis>| at.is_some_and(|at| now - at <= SYMPTOM_VALID_MS);
        if valid(symptoms[1 - kind]) {
            self.symptoms.remove(&server);
            return Verdict::Unresponsive;
        }
        // A line that remains overdue is no new symptom: it would cause a probe again and again.
        let known = valid(symptoms[kind]);
        if !known {
            symptoms[kind] = Some(now);
        }
        if known || symptom == Symptom::ConnectTimeout { Verdict::Unchanged } else { Verdict::Suspect }
    }

    /// Discards the symptoms of a server that has sent something or was removed.
    pub fn clear(&mut self, server: S) {
        self.symptoms.remove(&server);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_overdue_reply_makes_a_server_suspect_and_a_connect_timeout_confirms_it() {
        let mut detector = UnresponsiveDetector::default();
        assert_eq!(detector.record(0.0, "a", Symptom::OverdueReply), Verdict::Suspect);
        assert_eq!(detector.record(100.0, "a", Symptom::OverdueReply), Verdict::Unchanged, "already probed");
        assert_eq!(
            detector.record(150.0, "b", Symptom::ConnectTimeout),
            Verdict::Unchanged,
            "no line waits there"
        );
        assert_eq!(detector.record(200.0, "a", Symptom::ConnectTimeout), Verdict::Unresponsive);
        assert_eq!(detector.record(210.0, "a", Symptom::ConnectTimeout), Verdict::Unchanged, "reported once");
        assert_eq!(
            detector.record(220.0, "b", Symptom::NeighbourUnresponsive),
            Verdict::Unresponsive,
            "in either order"
        );
    }

    #[test]
    fn symptoms_of_one_kind_or_far_apart_or_before_a_sign_of_life_are_not_combined() {
        let mut detector = UnresponsiveDetector::default();
        detector.record(0.0, 1, Symptom::OverdueReply);
        assert_eq!(detector.record(10.0, 1, Symptom::NeighbourUnresponsive), Verdict::Unchanged);
        assert_eq!(detector.record(2_100.0, 1, Symptom::ConnectTimeout), Verdict::Unchanged, "too long ago");
        detector.clear(1);
        assert_eq!(detector.record(2_200.0, 1, Symptom::OverdueReply), Verdict::Suspect, "it was responsive");
        assert_eq!(
            detector.record(4_300.0, 1, Symptom::OverdueReply),
            Verdict::Suspect,
            "a new probe is required"
        );
    }
}
