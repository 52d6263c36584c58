//! Claims on sessions: from a client's token to ownership of its session.

use super::{Sessions, TimerKey};
use crate::claim::search::{SearchAnswer, classify};
use crate::claim::{Claim, PendingPointer, ReleaseRequest, ReplicaAnswer, SentQuery, Step};
use crate::interface::{Command, LogEvent, Rejection, SessionRequest};
use crate::pending_calls::CallNumber;
use crate::session::{PendingTakeover, Session, State};
use crate::token::Token;
use marllink::{Millis, RequestId, ServerId};
use marllink_lease_protocol::{
    Ballot, Call, Claim as ClaimCall, Configuration, LetGo, Member, Point, Pointer, Promised, Refused,
    SessionId, Why, call,
};
use rand_xoshiro::rand_core::Rng;

/// Approximate retry delay for a client whose session is being claimed by another request, in milliseconds:
/// by then the other claim has succeeded or timed out. Also used if there is no room for the session.
const CONFLICT_RETRY_MS: Millis = 400.0;
/// Minimum delay before a claim is repeated under a higher ballot, in milliseconds. The delay is random, up
/// to twice this value, so that competing claims do not collide again.
const MIN_BACKOFF_MS: Millis = 20.0;
/// Time for a holder to reply to a release request, in milliseconds. A holder that exceeds it is unreachable.
pub(super) const RELEASE_TIMEOUT_MS: Millis = 200.0;
/// Time that a claim must leave for serving the request afterwards, in milliseconds.
const RESERVED_FOR_SERVICE_MS: Millis = 200.0;
/// Delay between the expiry of a lease and the next claim, in milliseconds.
pub(super) const LEASE_END_MARGIN_MS: Millis = 5.0;
/// Delay before a search asks servers again that may answer otherwise by then, in milliseconds.
pub(super) const SEARCH_RETRY_MS: Millis = 200.0;

impl Sessions {
    pub(super) fn on_session_requested(
        &mut self,
        request: RequestId,
        session_request: &SessionRequest,
        wait_ms: Millis,
        commands: &mut Vec<Command>,
    ) {
        if self.requests.contains_key(&request) {
            return;
        }
        let text = match session_request {
            SessionRequest::New => return self.begin_session(request, commands),
            SessionRequest::Resume(text) => text,
        };
        let token = match Token::validate(text, &self.keys, self.unix_ms()) {
            Ok(token) => token,
            Err(error) => {
                commands.push(Command::ReplyError { request, reason: Rejection::Token(error) });
                return;
            }
        };
        let id = token.session;
        let deadline = self.now + self.settings.claim_timeout_ms.min(wait_ms - RESERVED_FOR_SERVICE_MS);
        let Some(session) = self.sessions.get_mut(&id) else {
            if !self.make_room(0) {
                return self.reply_busy(request, CONFLICT_RETRY_MS, commands);
            }
            self.insert(Session::new(id, State::Detached, None, self.now));
            return self.claim(id, request, token.epoch, Some(token.replicas), deadline, commands);
        };
        if token.epoch < session.confirmed_epoch {
            commands.push(Command::ReplyError { request, reason: Rejection::Replayed });
            return;
        }
        // Another process has claimed the session since this one did: what is kept here is out of date.
        let is_superseded = token.epoch > session.ballot.epoch;
        let newer_replicas = is_superseded.then_some(token.replicas);
        let takeover = PendingTakeover { request, token_epoch: token.epoch, newer_replicas, deadline };
        match session.state {
            State::Detached => self.claim_for(id, takeover, commands),
            // The new connection takes precedence: the old one may be half-open. If its client is still
            // there, it is notified.
            State::Established if session.pending_takeover.is_none() => {
                session.pending_takeover = Some(takeover);
                session.state = State::Closing;
                let taken = session.request;
                self.requests.insert(request, id);
                commands.extend(taken.map(Command::Taken));
            }
            State::Closing | State::Expiring if session.pending_takeover.is_none() => {
                session.pending_takeover = Some(takeover);
                self.requests.insert(request, id);
            }
            _ => self.reply_busy(request, CONFLICT_RETRY_MS, commands),
        }
    }

    /// Claims a session that this process keeps and no server holds.
    pub(super) fn claim_for(
        &mut self,
        id: SessionId,
        takeover: PendingTakeover,
        commands: &mut Vec<Command>,
    ) {
        let PendingTakeover { request, token_epoch, newer_replicas, deadline } = takeover;
        if newer_replicas.is_some() {
            self.remove(id);
            self.insert(Session::new(id, State::Detached, None, self.now));
        }
        self.claim(id, request, token_epoch, newer_replicas, deadline, commands);
    }

    fn begin_session(&mut self, request: RequestId, commands: &mut Vec<Command>) {
        // A session that no server could store must not begin.
        if !self.make_room(0) || self.replica_candidates().is_empty() {
            return self.reply_busy(request, CONFLICT_RETRY_MS, commands);
        }
        let id = SessionId { hi: self.rng.next_u64(), lo: self.rng.next_u64() };
        self.insert(Session::new(id, State::Claimed, Some(request), self.now));
        commands.push(Command::Proceed(request));
    }

    /// Makes room for one more session with this journal size. Sessions whose client is disconnected can be
    /// removed here, because their replicas store all of their state. Returns false if there is no room.
    fn make_room(&mut self, bytes: usize) -> bool {
        let is_full = |this: &Self| {
            this.sessions.len() >= this.settings.max_sessions
                || bytes > 0 && this.total_journal_bytes + bytes > this.settings.max_total_journals_bytes
        };
        while is_full(self) {
            let detached = self.sessions.values().filter(|s| matches!(s.state, State::Detached));
            let Some(oldest) = detached
                .min_by(|a, b| a.token_expires_at.total_cmp(&b.token_expires_at).then(a.id.cmp(&b.id)))
            else {
                return false;
            };
            let id = oldest.id;
            self.remove(id);
        }
        true
    }

    /// Starts a claim on a session for a request. `replicas` are those named by the token, or `None` if the
    /// session is known here.
    pub(super) fn claim(
        &mut self,
        id: SessionId,
        request: RequestId,
        token_epoch: u64,
        replicas: Option<Configuration>,
        deadline: Millis,
        commands: &mut Vec<Command>,
    ) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let was_known = replicas.is_none();
        let epoch = if was_known { session.ballot.epoch.max(token_epoch) } else { token_epoch };
        let mut claim = Claim {
            request,
            token_epoch,
            ballot: Ballot { epoch: epoch + 1, attempt: 0 },
            replicas: Configuration::default(),
            answers: Vec::new(),
            started_at: now,
            deadline,
            retry_at: f64::INFINITY,
            released_ballot: None,
            release_request: None,
            pending_pointer: None,
            was_known,
            search: None,
            searched: Vec::new(),
        };
        claim.query(replicas.unwrap_or_else(|| session.replicas.clone()));
        session.state = State::Claiming(Box::new(claim));
        session.request = Some(request);
        session.requested_at = now;
        self.requests.insert(request, id);
        self.claiming.insert(id);
        self.query_replicas(id, None, commands);
    }

    /// Returns the claim on a session that is in progress.
    pub(super) fn claim_in_progress(&mut self, id: SessionId) -> Option<&mut Claim> {
        match &mut self.sessions.get_mut(&id)?.state {
            State::Claiming(claim) => Some(claim),
            _ => None,
        }
    }

    fn claims_in_progress(&self) -> Vec<SessionId> {
        let mut claims: Vec<_> = self.claiming.iter().copied().collect();
        claims.sort_unstable();
        claims
    }

    /// Continues the claims that wait for this server, whose link has just come up.
    pub(super) fn query_linked_server(&mut self, server: u64, commands: &mut Vec<Command>) {
        for id in self.claims_in_progress() {
            if let Some(claim) = self.claim_in_progress(id) {
                claim.forget_query(server);
            }
            self.query_replicas(id, Some(server), commands);
            self.repeat_release_request(id, server, commands);
        }
    }

    /// Requests the release of a session again if this server, whose link has just come up, has not replied.
    fn repeat_release_request(&mut self, id: SessionId, server: u64, commands: &mut Vec<Command>) {
        let Some(claim) = self.claim_in_progress(id) else { return };
        let Some(ReleaseRequest { holder, .. }) = claim.release_request else { return };
        if holder.server == server && claim.released_ballot < Some(holder.ballot) {
            self.request_release(id, server, holder.ballot, commands);
        }
    }

    /// Continues the claims that wait for another run of this server, which is known to have ended if the
    /// server is in its current run after the claim has begun.
    pub(super) fn check_for_restart(&mut self, server: u64, incarnation: u64, commands: &mut Vec<Command>) {
        for id in self.claims_in_progress() {
            let waits = |claim: &mut Claim| claim.waits_for_other_run(server, incarnation);
            if self.claim_in_progress(id).is_some_and(waits) {
                self.query_replicas(id, Some(server), commands);
            }
        }
    }

    /// Sends the claim to the replicas that have not answered: to all of them, or only to one whose link has
    /// just come up.
    pub(super) fn query_replicas(&mut self, id: SessionId, only: Option<u64>, commands: &mut Vec<Command>) {
        let Some(claim) = self.claim_in_progress(id) else { return };
        let members = claim.replicas.members.iter().zip(&claim.answers);
        let unanswered: Vec<_> = members
            .filter(|(_, answer)| claim.needs_query(answer))
            .map(|(member, _)| *member)
            .filter(|member| only.is_none_or(|only| only == member.server))
            .collect();
        for member in unanswered {
            self.query_replica(id, member, commands);
        }
        self.evaluate_answers(id, commands);
    }

    /// Sends the claim to one replica, or establishes a link to it.
    fn query_replica(&mut self, id: SessionId, member: Member, commands: &mut Vec<Command>) {
        match self.servers.get(&member.server) {
            Some(server) if server.is_linked_as(member.incarnation) => {
                let number = self.next_call_number();
                let Some(claim) = self.claim_in_progress(id) else { return };
                let call = ClaimCall {
                    session: id,
                    ballot: claim.ballot,
                    configuration: claim.replicas.number,
                    token_epoch: claim.token_epoch,
                    proof: claim.released_ballot,
                };
                if let Some(answer) = claim.answer_of(member.server) {
                    *answer = ReplicaAnswer::Pending(Some(SentQuery { call: number, proof: call.proof }));
                }
                self.send_claim_call(id, member, number, call::Body::Claim(call), commands);
            }
            Some(server) if server.is_linked() => {
                let alive_at = server.alive_at;
                let Some(claim) = self.claim_in_progress(id) else { return };
                let started_at = claim.started_at;
                if alive_at < started_at {
                    // The link may be to a run of the server before the one that the token names.
                    self.renew_after(member.server, started_at);
                } else if let Some(answer) = claim.answer_of(member.server) {
                    // The server has restarted and lost its records.
                    *answer = ReplicaAnswer::NoRecord;
                }
            }
            _ => self.ensure_link(member.server, commands),
        }
    }

    /// Sends a numbered call of a claim to a replica whose link is up.
    pub(super) fn send_claim_call(
        &mut self,
        id: SessionId,
        member: Member,
        number: CallNumber,
        body: call::Body,
        commands: &mut Vec<Command>,
    ) {
        let Some(ballot) = self.claim_in_progress(id).map(|claim| claim.ballot) else { return };
        if let Some(server) = self.servers.get_mut(&member.server) {
            server.pending_calls.add(id, ballot, number);
            commands.push(Command::Call { server: ServerId(member.server), call: Call::new(body) });
        }
    }

    pub(super) fn request_release(
        &mut self,
        id: SessionId,
        holder: u64,
        ballot: Ballot,
        commands: &mut Vec<Command>,
    ) {
        if self.servers.get(&holder).is_some_and(super::Server::is_linked) {
            let call = Call::new(call::Body::LetGo(LetGo { session: id, ballot }));
            commands.push(Command::Call { server: ServerId(holder), call });
        } else {
            self.ensure_link(holder, commands);
        }
    }

    /// Acts on the answers received so far.
    fn evaluate_answers(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let now = self.now;
        let backoff = MIN_BACKOFF_MS * (1.0 + self.random_fraction());
        let Some(claim) = self.claim_in_progress(id) else { return };
        claim.retry_at = f64::INFINITY;
        let step = claim.next_step();
        let Some(State::Claiming(claim)) = self.sessions.get(&id).map(|session| &session.state) else {
            return;
        };
        if step == Step::ReplicasLost || step == Step::Wait && self.has_too_few_voters(claim) {
            return self.search_replicas(id, commands);
        }
        let Some(claim) = self.claim_in_progress(id) else { return };
        match step {
            Step::Wait | Step::ReplicasLost => {}
            Step::Won(record) => return self.on_claim_won(id, *record, commands),
            Step::FollowPointer(replicas) => {
                claim.query(replicas);
                return self.query_replicas(id, None, commands);
            }
            Step::CompletePointer(pointer) => {
                if claim.pending_pointer.as_ref().is_none_or(|pending| pending.pointer.to != pointer.to) {
                    self.complete_pointer(id, pointer.to, commands);
                }
            }
            Step::RaiseBallot(_) => claim.retry_at = now + backoff,
            Step::RequestRelease(holder) => {
                let reply_due_at = now + RELEASE_TIMEOUT_MS;
                claim.release_request = Some(ReleaseRequest { holder, reply_due_at });
                claim.retry_at = reply_due_at;
                self.request_release(id, holder.server, holder.ballot, commands);
            }
            Step::RetryAfter(remaining_ms) => {
                let at = now + remaining_ms + LEASE_END_MARGIN_MS;
                // The holder may release the session before its lease ends.
                if let Some(reply_due_at) = claim.release_reply_due_at(now) {
                    claim.retry_at = at.min(reply_due_at);
                } else if at <= claim.deadline {
                    claim.retry_at = at;
                } else if !claim.answers.iter().any(|a| matches!(a, ReplicaAnswer::Pending(_))) {
                    return self.decline_claim(id, remaining_ms, commands);
                }
            }
        }
        self.schedule(id);
    }

    /// Writes a pointer to a later configuration, under the claim's ballot, to the replicas.
    fn complete_pointer(&mut self, id: SessionId, to: Configuration, commands: &mut Vec<Command>) {
        let number = self.next_call_number();
        let Some(claim) = self.claim_in_progress(id) else { return };
        let pointer = Pointer { ballot: claim.ballot, to };
        claim.pending_pointer =
            Some(PendingPointer { pointer: pointer.clone(), call: number, stored_by: Vec::new() });
        for member in claim.replicas.members.clone() {
            if self.servers.get(&member.server).is_some_and(|s| s.is_linked_as(member.incarnation)) {
                let body = call::Body::Point(Point { session: id, pointer: pointer.clone() });
                self.send_claim_call(id, member, number, body, commands);
            }
        }
    }

    /// Handles the timer of a claim: its deadline or the time of a retry.
    pub(super) fn on_claim_timer(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let now = self.now;
        let Some(claim) = self.claim_in_progress(id) else { return };
        if now >= claim.deadline {
            return self.decline_claim(id, CONFLICT_RETRY_MS, commands);
        }
        if now >= claim.retry_at {
            claim.retry_at = f64::INFINITY;
            let promised = claim.answers.iter().filter_map(|a| match a {
                ReplicaAnswer::HigherBallot(promised) | ReplicaAnswer::Leased { promised, .. } => {
                    Some(promised.epoch)
                }
                _ => None,
            });
            let searched = claim.search.iter().flat_map(|search| search.answers());
            let searched_promised = searched.filter_map(|answer| match answer {
                SearchAnswer::Refused { promised, .. } => Some(promised.epoch),
                _ => None,
            });
            let promised = promised.chain(searched_promised);
            match promised.max() {
                Some(epoch) if epoch >= claim.ballot.epoch => claim.raise_ballot(epoch + 1),
                _ => claim.retry_refused(),
            }
            return self.query_replicas(id, None, commands);
        }
        self.schedule(id);
    }

    pub(super) fn on_promised(&mut self, server: ServerId, promised: Promised, commands: &mut Vec<Command>) {
        let id = promised.session;
        let Some(call) = self.take_answered_call(server, id, promised.ballot) else { return };
        let Some(claim) = self.claim_in_progress(id) else { return };
        let number = claim.replicas.number;
        if let Some(answer) = claim.answer_to(server.0, call) {
            *answer = ReplicaAnswer::Promised(Box::new(promised));
        } else if let Some(answer) = self.search_answer_to(id, server.0, call) {
            *answer = classify(&promised, server.0, number);
        } else {
            return;
        }
        self.evaluate_answers(id, commands);
    }

    /// Returns the number of the claim's call that a reply answers, if there is one.
    pub(super) fn take_answered_call(
        &mut self,
        server: ServerId,
        session: SessionId,
        ballot: Ballot,
    ) -> Option<CallNumber> {
        self.servers.get_mut(&server.0)?.pending_calls.take_answered(session, ballot)
    }

    pub(super) fn on_claim_refused(
        &mut self,
        server: ServerId,
        call: CallNumber,
        refused: Refused,
        reason: Why,
        commands: &mut Vec<Command>,
    ) {
        let id = refused.session;
        let Refused { left_ms, holder, promised, .. } = refused;
        let remaining_ms = f64::from(left_ms);
        let Some(claim) = self.claim_in_progress(id) else { return };
        if let Some(answer) = claim.answer_to(server.0, call) {
            *answer = match reason {
                Why::Leased => ReplicaAnswer::Leased { remaining_ms, holder, promised },
                Why::Outbid => ReplicaAnswer::HigherBallot(promised),
                _ => ReplicaAnswer::NoRecord,
            };
        } else if let Some(answer) = self.search_answer_to(id, server.0, call) {
            *answer = match reason {
                Why::Leased => SearchAnswer::Refused { promised, remaining_ms, holder },
                Why::Outbid => SearchAnswer::Refused { promised, remaining_ms: 0.0, holder: None },
                _ => SearchAnswer::Nothing,
            };
        } else {
            return;
        }
        if reason == Why::Stale {
            return self.reject_claim(id, Rejection::Replayed, commands);
        }
        self.evaluate_answers(id, commands);
    }

    /// Handles the reply of a holder that has released the session.
    pub(super) fn on_holder_released(
        &mut self,
        server: ServerId,
        released: LetGo,
        commands: &mut Vec<Command>,
    ) {
        if self.on_expiring_released(server, released, commands) {
            return;
        }
        let now = self.now;
        let Some(claim) = self.claim_in_progress(released.session) else { return };
        let is_answered = |request: ReleaseRequest| {
            request.holder.server == server.0 && released.ballot >= request.holder.ballot
        };
        if !claim.release_request.is_some_and(is_answered) {
            return;
        }
        claim.released_ballot = claim.released_ballot.max(Some(released.ballot));
        claim.retry_at = now;
        self.on_claim_timer(released.session, commands);
    }

    /// Handles the reply to a pointer, and continues with the new replicas once it is stored at a majority.
    pub(super) fn on_pointer_stored(
        &mut self,
        server: ServerId,
        call: CallNumber,
        id: SessionId,
        commands: &mut Vec<Command>,
    ) {
        let Some(claim) = self.claim_in_progress(id) else { return };
        let Some(pending) = claim.pending_pointer.as_mut().filter(|pending| pending.call == call) else {
            return;
        };
        if !pending.stored_by.contains(&server.0) {
            pending.stored_by.push(server.0);
        }
        if pending.stored_by.len() >= claim.replicas.majority() {
            let replicas = pending.pointer.to.clone();
            claim.query(replicas);
            self.query_replicas(id, None, commands);
        }
    }

    /// Takes ownership of a session after a majority of its replicas has promised the claim.
    fn on_claim_won(&mut self, id: SessionId, record: Promised, commands: &mut Vec<Command>) {
        let Some(mut session) = self.remove(id) else { return };
        let State::Claiming(claim) = session.state else { return };
        let request = claim.request;
        let is_replica = |member: &Member| claim.replicas.members.iter().any(|m| m.server == member.server);
        let others: Vec<_> = claim.searched.iter().filter(|member| !is_replica(member)).copied().collect();
        self.send_release(&others, id, claim.ballot, false, commands);
        let journal = crate::journal::Journal::from(record.journal);
        let confirmed = claim.answers.iter().map(|a| match a {
            ReplicaAnswer::Promised(p) => p.confirmed,
            _ => 0,
        });
        session.confirmed_epoch = confirmed.max().unwrap_or_default();
        session.state = State::Claimed;
        session.request = Some(request);
        session.pending_takeover = None;
        session.set_replicas(claim.replicas);
        session.set_ballot(claim.ballot);
        session.token_expires_at = self.now + self.settings.token_validity_ms;
        if !self.make_room(journal.bytes()) {
            let members = session.replicas.members.clone();
            self.send_release(&members, id, session.ballot, false, commands);
            return self.reply_busy(request, CONFLICT_RETRY_MS, commands);
        }
        session.journal = journal;
        self.insert(session);
        commands.push(Command::Proceed(request));
    }

    /// Cancels a claim and returns its request, which remains to be answered.
    pub(super) fn abandon_claim(&mut self, id: SessionId, commands: &mut Vec<Command>) -> Option<RequestId> {
        let Some(State::Claiming(claim)) = self.sessions.get_mut(&id).map(|s| &mut s.state) else {
            return None;
        };
        let (request, ballot, was_known) = (claim.request, claim.ballot, claim.was_known);
        let members = claim.possible_promisers();
        self.send_release(&members, id, ballot, false, commands);
        self.claiming.remove(&id);
        self.requests.remove(&request);
        if was_known {
            // Replicas that have promised the claim refuse the session's previous ballot from now on. Their
            // later replies will show that.
            let session = self.sessions.get_mut(&id).expect("the session exists");
            session.state = State::Detached;
            session.request = None;
            self.schedule(id);
        } else {
            self.remove(id);
        }
        Some(request)
    }

    pub(super) fn decline_claim(&mut self, id: SessionId, delay_ms: Millis, commands: &mut Vec<Command>) {
        if let Some(State::Claiming(claim)) = self.sessions.get(&id).map(|s| &s.state) {
            let count =
                |matching: fn(&ReplicaAnswer) -> bool| claim.answers.iter().filter(|a| matching(a)).count();
            commands.push(Command::Log(LogEvent::ClaimDeclined {
                session: id,
                configuration: claim.replicas.number,
                promised: count(|a| matches!(a, ReplicaAnswer::Promised(_))),
                unanswered: count(|a| matches!(a, ReplicaAnswer::Pending(_))),
                no_record: count(|a| matches!(a, ReplicaAnswer::NoRecord)),
                refused: count(|a| {
                    matches!(a, ReplicaAnswer::HigherBallot(_) | ReplicaAnswer::Leased { .. })
                }),
            }));
        }
        if let Some(request) = self.abandon_claim(id, commands) {
            self.reply_busy(request, delay_ms.max(CONFLICT_RETRY_MS / 4.0), commands);
        }
    }

    pub(super) fn reject_claim(&mut self, id: SessionId, reason: Rejection, commands: &mut Vec<Command>) {
        if let Some(request) = self.abandon_claim(id, commands) {
            commands.push(Command::ReplyError { request, reason });
        }
    }

    /// Sets the timer of a session to its next deadline.
    pub(super) fn schedule(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let at = match &session.state {
            State::Claiming(claim) => claim.deadline.min(claim.retry_at),
            State::Established => {
                session.next_token_at.min(if session.has_lease { session.hold_until } else { f64::INFINITY })
            }
            State::Detached => session.token_expires_at,
            State::Closing => session.takeover_deadline(),
            State::Expiring => session.hold_until.min(session.takeover_deadline()),
            State::Claimed | State::Attempting => f64::INFINITY,
        };
        self.timers.set(TimerKey::Session(id), at);
    }
}
