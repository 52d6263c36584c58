//! Claims whose known replicas are lost: the search for the present ones.

use super::Sessions;
use super::claims::{LEASE_END_MARGIN_MS, RELEASE_TIMEOUT_MS, SEARCH_RETRY_MS};
use crate::claim::search::{SearchAnswer, classify};
use crate::claim::{Claim, ReleaseRequest, ReplicaAnswer, SentQuery};
use crate::interface::{Command, LogEvent, Rejection};
use crate::pending_calls::CallNumber;
use crate::placement;
use marllink::{Millis, ServerId};
use marllink_lease_protocol::{Claim as ClaimCall, Member, SessionId, call};

/// Next step of a search.
enum SearchStep {
    /// Claim the session at these replicas.
    Follow(marllink_lease_protocol::Configuration),
    /// This server may hold the session: request its release.
    RequestRelease(marllink_lease_protocol::Holder),
    /// Ask those that have refused again after this time.
    RetryAfter(Millis),
    /// Wait for further answers.
    Wait,
    /// No server has the session any more.
    Lost,
}

impl Sessions {
    /// Searches for the present replicas of a session, as its known ones can't form a majority any more.
    pub(super) fn search_replicas(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let now = self.now;
        self.update_search(id, commands);
        let Some(claim) = self.claim_in_progress(id) else { return };
        match next_search_step(claim) {
            SearchStep::Follow(replicas) => {
                let configuration = replicas.number;
                claim.query(replicas);
                commands.push(Command::Log(LogEvent::ReplicasFound { session: id, configuration }));
                return self.query_replicas(id, None, commands);
            }
            SearchStep::RequestRelease(holder) => {
                let reply_due_at = now + RELEASE_TIMEOUT_MS;
                claim.release_request = Some(ReleaseRequest { holder, reply_due_at });
                claim.retry_at = reply_due_at;
                self.request_release(id, holder.server, holder.ballot, commands);
            }
            SearchStep::RetryAfter(remaining_ms) => {
                let at = now + remaining_ms;
                let reply_due_at = claim.release_reply_due_at(now).unwrap_or(f64::INFINITY);
                claim.retry_at = at.min(reply_due_at);
                // A server that has not answered yet may know the present replicas.
                if claim.retry_at > claim.deadline && !awaits_answers(claim) {
                    return self.decline_claim(id, remaining_ms, commands);
                }
            }
            SearchStep::Wait => {}
            SearchStep::Lost => return self.reject_claim(id, Rejection::ReplicasLost, commands),
        }
        self.query_searched(id, commands);
        self.schedule(id);
    }

    /// Starts the search of a claim, or adds the servers that it does not know yet. The known replicas that
    /// are left are queried by the claim itself.
    fn update_search(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let Some(claim) = self.claim_in_progress(id) else { return };
        let configuration = claim.replicas.number;
        let has_begun = claim.search.is_some();
        let known = claim.replicas.members.iter().zip(&claim.answers);
        let known: Vec<_> = known
            .filter(|(_, answer)| !matches!(answer, ReplicaAnswer::NoRecord))
            .map(|(member, _)| member.server)
            .collect();
        let listed = self.servers.iter().filter(|(_, server)| server.listed.is_some());
        let unknown = listed.map(|(number, _)| *number).filter(|number| !known.contains(number));
        let ranked = placement::rank(id, unknown.map(ServerId).collect());
        let Some(claim) = self.claim_in_progress(id) else { return };
        claim.search.get_or_insert_default().add(ranked.into_iter().map(|server| server.0));
        if !has_begun {
            commands.push(Command::Log(LogEvent::SearchStarted { session: id, configuration }));
        }
    }

    /// Sends the queries of a search that are due.
    fn query_searched(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let Some(claim) = self.claim_in_progress(id) else { return };
        let servers = claim.search.as_mut().map(|search| search.take_due_queries()).unwrap_or_default();
        for server in servers {
            self.query_searched_server(id, server, commands);
        }
    }

    fn query_searched_server(&mut self, id: SessionId, server: u64, commands: &mut Vec<Command>) {
        let Some(incarnation) = self.servers.get(&server).and_then(super::Server::incarnation) else {
            return self.ensure_link(server, commands);
        };
        let number = self.next_call_number();
        let Some(claim) = self.claim_in_progress(id) else { return };
        let call = ClaimCall {
            session: id,
            ballot: claim.ballot,
            configuration: claim.replicas.number,
            token_epoch: claim.token_epoch,
            proof: claim.released_ballot,
        };
        if let Some(search) = &mut claim.search {
            search.query_sent(server, SentQuery { call: number, proof: call.proof });
        }
        claim.note_searched(Member { server, incarnation });
        self.send_claim_call(id, Member { server, incarnation }, number, call::Body::Claim(call), commands);
    }

    /// Returns the answer of the search that a reply to this call sets.
    pub(super) fn search_answer_to(
        &mut self,
        id: SessionId,
        server: u64,
        call: CallNumber,
    ) -> Option<&mut SearchAnswer> {
        self.claim_in_progress(id)?.search.as_mut()?.answer_to(server, call)
    }

    /// Returns true if the replicas of a claim that may still vote are too few for a majority: the others have
    /// lost the session, or have left the list.
    pub(super) fn has_too_few_voters(&self, claim: &Claim) -> bool {
        let may_vote = |(member, answer): &(&Member, &ReplicaAnswer)| match answer {
            ReplicaAnswer::NoRecord => false,
            ReplicaAnswer::Pending(_) => {
                self.servers.get(&member.server).is_some_and(|server| server.listed.is_some())
            }
            _ => true,
        };
        let voters = claim.replicas.members.iter().zip(&claim.answers).filter(may_vote).count();
        voters < claim.replicas.majority()
    }
}

/// Determines the next step from the answers so far.
fn next_search_step(claim: &Claim) -> SearchStep {
    let answers = all_answers(claim);
    let found = answers.iter().filter_map(|answer| match answer {
        SearchAnswer::Found(configuration) => Some(configuration),
        _ => None,
    });
    if let Some(configuration) = found.max_by_key(|configuration| configuration.number) {
        return SearchStep::Follow(configuration.clone());
    }
    let holders = answers.iter().filter_map(|answer| match answer {
        SearchAnswer::Refused { promised, holder: Some(holder), .. } if holder.ballot == *promised => {
            Some(*holder)
        }
        _ => None,
    });
    if let Some(holder) = holders.max_by_key(|holder| holder.ballot)
        && !claim.was_requested_to_release(holder)
    {
        return SearchStep::RequestRelease(holder);
    }
    let retry_after_ms = answers.iter().filter_map(|answer| match answer {
        SearchAnswer::Refused { remaining_ms, .. } if *remaining_ms > 0.0 => {
            Some(remaining_ms + LEASE_END_MARGIN_MS)
        }
        SearchAnswer::Refused { .. } => Some(SEARCH_RETRY_MS),
        _ => None,
    });
    if let Some(retry_after_ms) = retry_after_ms.reduce(f64::min) {
        return SearchStep::RetryAfter(retry_after_ms);
    }
    if awaits_answers(claim) {
        return SearchStep::Wait;
    }
    // A list without servers proves nothing, and a configuration that is about to take effect is no loss.
    let proves_loss = answers.len() >= claim.replicas.members.len()
        && answers.iter().all(|answer| *answer == SearchAnswer::Nothing);
    if proves_loss && claim.has_lost_majority() {
        SearchStep::Lost
    } else {
        SearchStep::RetryAfter(SEARCH_RETRY_MS)
    }
}

/// Returns true if a known replica or a server that is to be asked has not answered.
fn awaits_answers(claim: &Claim) -> bool {
    claim.answers.iter().any(|answer| matches!(answer, ReplicaAnswer::Pending(_)))
        || claim.search.as_ref().is_some_and(|search| !search.is_complete())
}

/// Returns the answers of the servers that the search has asked and of the known replicas that are left.
fn all_answers(claim: &Claim) -> Vec<SearchAnswer> {
    let number = claim.replicas.number;
    let known = claim.replicas.members.iter().zip(&claim.answers);
    let known = known.filter_map(|(member, answer)| match answer {
        ReplicaAnswer::NoRecord => None,
        ReplicaAnswer::Pending(sent) => Some(SearchAnswer::Pending(*sent)),
        ReplicaAnswer::Promised(promised) => Some(classify(promised, member.server, number)),
        ReplicaAnswer::HigherBallot(promised) => {
            Some(SearchAnswer::Refused { promised: *promised, remaining_ms: 0.0, holder: None })
        }
        ReplicaAnswer::Leased { remaining_ms, holder, promised } => {
            Some(SearchAnswer::Refused { promised: *promised, remaining_ms: *remaining_ms, holder: *holder })
        }
    });
    let searched = claim.search.iter().flat_map(|search| search.answers().cloned());
    known.chain(searched).collect()
}
