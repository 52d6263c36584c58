//! Search for the present replicas of a session whose known replicas are lost.
//!
//! A token names the replicas at its issue. While its client is away, the owner replaces each replica that is
//! lost, so all that the token names may be gone while the session is safe elsewhere. Each present replica
//! stores a pointer to its own configuration, so that any one of them leads to all.

use super::SentQuery;
use crate::pending_calls::CallNumber;
use marllink::Millis;
use marllink_lease_protocol::{Ballot, Configuration, Holder, Promised};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of servers whose answers are awaited at the same time.
const MAX_PENDING_QUERIES: usize = 8;

/// Answer of a server to the question for a later configuration of the session.
#[derive(Clone, Debug, PartialEq)]
pub enum SearchAnswer {
    /// No answer to the last query, or no query sent yet.
    Pending(Option<SentQuery>),
    /// It has no record of the session, or that of a configuration that is known to be lost.
    Nothing,
    /// It has the record of a later configuration, which may not have taken effect yet.
    Unproven,
    /// It is a replica of this later configuration.
    Found(Configuration),
    /// It has a record, and refuses because of another process's claim or lease.
    Refused {
        /// The highest ballot that it has promised.
        promised: Ballot,
        /// Maximum remaining time of the lease; 0 for a refusal because of a higher ballot.
        remaining_ms: Millis,
        /// The server that holds the session, as far as it knows.
        holder: Option<Holder>,
    },
}

/// A search in progress.
#[derive(Debug, Default)]
pub struct Search {
    /// Servers that are still to be asked, the most likely first.
    unasked: VecDeque<u64>,
    answers: BTreeMap<u64, SearchAnswer>,
}

impl Search {
    /// Adds servers that are to be asked, the most likely first. Those that the search knows are skipped.
    pub fn add(&mut self, servers: impl IntoIterator<Item = u64>) {
        for server in servers {
            if !self.answers.contains_key(&server) && !self.unasked.contains(&server) {
                self.unasked.push_back(server);
            }
        }
    }

    /// Returns the servers to which a query must be sent now.
    pub fn take_due_queries(&mut self) -> Vec<u64> {
        let is_sent = |answer: &&SearchAnswer| matches!(answer, SearchAnswer::Pending(Some(_)));
        let sent = self.answers.values().filter(is_sent).count();
        let count = MAX_PENDING_QUERIES.saturating_sub(sent).min(self.unasked.len());
        for server in self.unasked.drain(..count) {
            self.answers.insert(server, SearchAnswer::Pending(None));
        }
        let unsent = self.answers.iter().filter(|(_, answer)| **answer == SearchAnswer::Pending(None));
        unsent.map(|(server, _)| *server).collect()
    }

    /// Records that a query was sent to a server.
    pub fn query_sent(&mut self, server: u64, query: SentQuery) {
        self.answers.insert(server, SearchAnswer::Pending(Some(query)));
    }

    /// Forgets the query that was sent to a server on a link that has ended since: it may be lost.
    pub fn forget_query(&mut self, server: u64) {
        if let Some(answer @ SearchAnswer::Pending(Some(_))) = self.answers.get_mut(&server) {
            *answer = SearchAnswer::Pending(None);
        }
    }

    /// Asks those servers again that have refused or may become a replica. Returns false if there are none.
    pub fn retry_refused(&mut self) -> bool {
        let has_record = |answer: &&mut SearchAnswer| {
            matches!(answer, SearchAnswer::Refused { .. } | SearchAnswer::Unproven)
        };
        let mut any = false;
        for answer in self.answers.values_mut().filter(has_record) {
            *answer = SearchAnswer::Pending(None);
            any = true;
        }
        any
    }

    /// Returns the answer of this server, to be set from the reply to a call. Returns `None` if the call was
    /// not the last query to this server.
    pub fn answer_to(&mut self, server: u64, call: CallNumber) -> Option<&mut SearchAnswer> {
        let answer = self.answers.get_mut(&server)?;
        matches!(answer, SearchAnswer::Pending(Some(sent)) if sent.call == call).then_some(answer)
    }

    /// Returns the answers so far.
    pub fn answers(&self) -> impl Iterator<Item = &SearchAnswer> {
        self.answers.values()
    }

    /// Returns true if every server has answered.
    pub fn is_complete(&self) -> bool {
        self.unasked.is_empty()
            && !self.answers.values().any(|answer| matches!(answer, SearchAnswer::Pending(_)))
    }
}

/// Classifies a server's promise for a search beyond the configuration with this number.
pub fn classify(promised: &Promised, server: u64, number: u32) -> SearchAnswer {
    match own_configuration(promised, server).filter(|configuration| configuration.number > number) {
        Some(configuration) => SearchAnswer::Found(configuration.clone()),
        None if promised.configuration > number => SearchAnswer::Unproven,
        None => SearchAnswer::Nothing,
    }
}

/// Returns the configuration of which a server is a replica, if its record proves that this configuration has
/// taken effect.
///
/// An owner writes the record of a new configuration to the servers that join before the change takes effect,
/// and the pointer to those that stay. Only afterwards, under the same ballot, it writes the other one of the
/// two, so a server that stores both under one ballot is a replica of a configuration in effect.
fn own_configuration(promised: &Promised, server: u64) -> Option<&Configuration> {
    let is_own = |configuration: &Configuration| {
        configuration.number == promised.configuration
            && configuration.members.iter().any(|member| member.server == server)
    };
    let under_its_ballot = promised.pointers.iter().filter(|pointer| pointer.ballot == promised.written);
    under_its_ballot.map(|pointer| &pointer.to).find(|configuration| is_own(configuration))
}

#[cfg(test)]
mod tests;
