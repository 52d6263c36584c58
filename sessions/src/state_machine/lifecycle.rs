//! A session at its server: leases, saves, tokens and its end.

use super::{Sessions, TimerKey};
use crate::interface::{Command, HolderEnd, LogEvent, SessionHandover};
use crate::journal::SaveError;
use crate::placement;
use crate::session::{PendingTakeover, Session, State};
use crate::token::Token;
use marllink::{Millis, RequestId, ServerId};
use marllink_lease_protocol::{Append, Ballot, Configuration, Confirm, Field, Member, SessionId, call};
use rand_xoshiro::rand_core::Rng;

/// Minimum duration of a holder's first lease, as a fraction of a full lease. With a shorter one the holder
/// would have to renew before it has accepted the session.
const MIN_FIRST_LEASE_RATIO: f64 = 0.5;
/// Tokens that are due at the same time, for example after a change of keys, are issued spread over this
/// time, in milliseconds.
const TOKEN_SPREAD_MS: Millis = 1_000.0;
/// Approximate retry delay for a client whose session has no available replicas or cannot be taken over now,
/// in milliseconds.
const UNAVAILABLE_RETRY_MS: Millis = 500.0;

impl Sessions {
    /// Returns the session whose current connection or claim belongs to this request.
    fn connected_session(&mut self, request: RequestId) -> Option<&mut Session> {
        let id = self.session_id_of(request)?;
        self.sessions.get_mut(&id).filter(|s| s.request == Some(request))
    }

    pub(super) fn on_attempt_started(
        &mut self,
        request: RequestId,
        server: ServerId,
        commands: &mut Vec<Command>,
    ) {
        let Some(session) = self.connected_session(request) else { return };
        if !matches!(session.state, State::Claimed) {
            return;
        }
        let id = session.id;
        if session.replicas.members.is_empty() {
            let members = self.choose_replicas(id, server);
            if members.is_empty() {
                let session = self.sessions.get_mut(&id).expect("the session exists");
                session.state = State::Closing;
                return self.reply_busy(request, UNAVAILABLE_RETRY_MS, commands);
            }
            for member in &members {
                self.sessions_by_replica.entry(member.server).or_default().insert(id);
            }
            let session = self.sessions.get_mut(&id).expect("the session exists");
            session.set_replicas(Configuration { number: 1, members });
        }
        let session = self.sessions.get_mut(&id).expect("the session exists");
        let Ballot { epoch, attempt } = session.ballot;
        session.set_ballot(Ballot { epoch, attempt: attempt + 1 });
        session.holder = Some(server);
        session.state = State::Attempting;
        session.has_lease = false;
        session.hold_until = 0.0;
        session.lease_request = None;
        session.unsent_saves.clear();
        session.sent_upto = session.journal.upto();
        session.applied_upto = session.sent_upto;
        let members = session.replicas.members.clone();
        self.awaiting_lease.remove(&id);
        for member in members {
            self.ensure_link(member.server, commands);
        }
        self.maintain_replicas(id, commands);
    }

    fn choose_replicas(&self, id: SessionId, holder: ServerId) -> Vec<Member> {
        let chosen =
            placement::choose(id, &self.replica_candidates(), self.settings.replicas, &[], Some(holder));
        let member = |s: ServerId| {
            let incarnation = self.servers.get(&s.0)?.incarnation()?;
            Some(Member { server: s.0, incarnation })
        };
        chosen.into_iter().filter_map(member).collect()
    }

    pub(super) fn on_lease_requested(&mut self, request: RequestId, k: u64, commands: &mut Vec<Command>) {
        let Some(session) = self.connected_session(request) else { return };
        if matches!(session.state, State::Attempting | State::Established) {
            session.lease_request = Some(k);
            let id = session.id;
            self.awaiting_lease.insert(id);
            self.grant_lease(id, commands);
        }
    }

    /// Grants the leases that became possible when this replica renewed the process's lease.
    pub(super) fn grant_leases_at(&mut self, server: u64, commands: &mut Vec<Command>) {
        if self.awaiting_lease.is_empty() {
            return;
        }
        let session_ids = self.sessions_by_replica.get(&server);
        let mut waiting: Vec<_> = self
            .awaiting_lease
            .iter()
            .filter(|id| session_ids.is_some_and(|ids| ids.contains(id)))
            .copied()
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().for_each(|id| self.grant_lease(id, commands));
    }

    /// Answers a holder's lease request if the leases at a majority of the replicas cover the session long
    /// enough.
    pub(super) fn grant_lease(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let (now, clock_drift_ratio) = (self.now, self.settings.clock_drift_ratio);
        let min_first_lease_ms = self.settings.lease_ms * MIN_FIRST_LEASE_RATIO;
        let Some(session) = self.sessions.get(&id) else { return };
        let (Some(k), Some(request)) = (session.lease_request, session.request) else { return };
        if !matches!(session.state, State::Attempting | State::Established) {
            return;
        }
        let covered_until = self.lease_covered_until(id);
        let ms = ((covered_until - now) * (1.0 - clock_drift_ratio)).floor();
        let session = self.sessions.get_mut(&id).expect("the session exists");
        if ms < 1.0 || (!session.has_lease && ms < min_first_lease_ms) {
            return;
        }
        let mut lines = format!("LEASE {k} {ms}\r\n").into_bytes();
        session.lease_request = None;
        session.hold_until = session.hold_until.max(covered_until);
        if !session.has_lease {
            session.has_lease = true;
            let fields = session.journal.fields_in_save_order();
            for (n, name, value) in &fields {
                lines.extend(format!("FIELD {n} {name}=").bytes());
                lines.extend_from_slice(value);
                lines.extend(b"\r\n");
            }
            lines.extend(format!("STATE {} {}\r\n", session.journal.upto(), fields.len()).bytes());
        }
        self.awaiting_lease.remove(&id);
        commands.push(Command::SendToServer { request, lines });
        self.schedule(id);
    }

    pub(super) fn on_attempt_established(&mut self, request: RequestId, commands: &mut Vec<Command>) {
        let now = self.now;
        let Some(session) = self.connected_session(request) else { return };
        if !matches!(session.state, State::Attempting) || !session.has_lease {
            return;
        }
        session.state = State::Established;
        session.next_token_at = now;
        let id = session.id;
        commands.push(Command::Log(LogEvent::Held {
            session: id,
            request,
            server: session.holder.unwrap_or_default(),
            epoch: session.ballot.epoch,
            upto: session.journal.upto(),
            resumed: session.ballot.epoch > 1,
            took_ms: now - session.requested_at,
        }));
        self.issue_token(id, commands);
        self.queue_review(id);
    }

    /// Issues a token to the client.
    fn issue_token(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let (now, unix_ms, validity_ms) = (self.now, self.unix_ms(), self.settings.token_validity_ms);
        let mut nonce = [0; 24];
        nonce.chunks_mut(8).for_each(|part| part.copy_from_slice(&self.rng.next_u64().to_le_bytes()));
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let token = Token {
            session: id,
            epoch: session.ballot.epoch,
            upto: session.applied_upto,
            holder: session.holder.map_or(0, |h| h.0),
            replicas: session.replicas.clone(),
            issued_ms: unix_ms as u64,
            expires_ms: (unix_ms + validity_ms) as u64,
        };
        session.next_token_at = now + validity_ms / 2.0;
        session.token_expires_at = now + validity_ms;
        if let (Some(request), Some(text)) = (session.request, token.seal(&self.keys, nonce, unix_ms)) {
            commands.push(Command::SendToClient { request, lines: format!("TOKEN {text}\r\n").into_bytes() });
        }
        self.schedule(id);
    }

    pub(super) fn on_save_received(&mut self, request: RequestId, field: Field, commands: &mut Vec<Command>) {
        let (max_bytes, remaining_bytes) = (
            self.settings.max_journal_bytes,
            self.settings.max_total_journals_bytes.saturating_sub(self.total_journal_bytes),
        );
        let Some(session) = self.connected_session(request) else { return };
        if !matches!(session.state, State::Established) {
            return;
        }
        let id = session.id;
        let bytes_before = session.journal.bytes();
        match session.journal.save(&field, max_bytes.min(bytes_before.saturating_add(remaining_bytes))) {
            Err(SaveError::Duplicate) if field.n <= session.applied_upto => {
                commands.push(Command::SendToClient {
                    request,
                    lines: format!("SAVED {}\r\n", field.n).into_bytes(),
                });
            }
            // The save was received before and will be confirmed once it is applied.
            Err(SaveError::Duplicate) => {}
            Err(SaveError::Gap) => {
                let next = session.journal.upto() + 1;
                commands
                    .push(Command::SendToClient { request, lines: format!("GAP {next}\r\n").into_bytes() });
            }
            Err(SaveError::Full) => {
                commands.push(Command::SendToClient {
                    request,
                    lines: format!("FULL {}\r\n", field.n).into_bytes(),
                });
            }
            Ok(()) => {
                let bytes_after = session.journal.bytes();
                session.unsent_saves.push_back(field.clone());
                // A client that saves under this epoch must have received its token.
                session.confirmed_epoch = session.ballot.epoch;
                let append = Append { session: id, ballot: session.ballot, field };
                let has_record = |r: &&crate::session::ReplicaState| {
                    r.written_generation.is_some() || r.pending_generation.is_some()
                };
                let members: Vec<_> =
                    session.replica_states.iter().filter(has_record).map(|r| r.member).collect();
                self.total_journal_bytes = self.total_journal_bytes - bytes_before + bytes_after;
                self.call_members(&members, &call::Body::Append(append), commands);
            }
        }
    }

    /// Sends the holder the saves that have become durable.
    pub(super) fn send_durable_saves(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(request) = session.request.filter(|_| matches!(session.state, State::Established)) else {
            return;
        };
        if session.unsent_saves.is_empty() {
            return;
        }
        let durable_upto = session.durable_upto();
        let mut lines = Vec::new();
        while session.unsent_saves.front().is_some_and(|f| f.n <= durable_upto) {
            let Some(field) = session.unsent_saves.pop_front() else { break };
            lines.extend(format!("SAVE {} {}=", field.n, field.name).bytes());
            lines.extend_from_slice(&field.value);
            lines.extend(b"\r\n");
            session.sent_upto = field.n;
        }
        if !lines.is_empty() {
            commands.push(Command::SendToServer { request, lines });
        }
    }

    pub(super) fn on_token_confirmed(&mut self, request: RequestId, commands: &mut Vec<Command>) {
        let Some(session) = self.connected_session(request) else { return };
        if matches!(session.state, State::Established) && session.confirmed_epoch < session.ballot.epoch {
            session.confirmed_epoch = session.ballot.epoch;
            let confirm = Confirm { session: session.id, ballot: session.ballot };
            let members: Vec<_> = session.replica_states.iter().map(|r| r.member).collect();
            self.call_members(&members, &call::Body::Confirm(confirm), commands);
        }
    }

    pub(super) fn on_saves_applied(&mut self, request: RequestId, n: u64) {
        if let Some(session) = self.connected_session(request) {
            session.applied_upto = session.applied_upto.max(n.min(session.sent_upto));
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        request: RequestId,
        session_over: bool,
        holder_end: HolderEnd,
        commands: &mut Vec<Command>,
    ) {
        let now = self.now;
        let Some(session) = self.connected_session(request) else { return };
        let id = session.id;
        session.lease_request = None;
        session.is_over = session_over;
        let may_be_held = holder_end == HolderEnd::Lost && session.hold_until > now;
        self.awaiting_lease.remove(&id);
        if may_be_held {
            self.await_lease_expiry(id, commands);
        } else {
            self.end_hold(id, commands);
        }
        self.schedule(id);
    }

    /// Releases a session that no server holds any more, and starts a pending takeover.
    pub(super) fn release_session(&mut self, id: SessionId, session_over: bool, commands: &mut Vec<Command>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        // If the connection was never established, the client has no token to resume with.
        let session_over = session_over || session.token_expires_at.is_infinite();
        let members: Vec<_> = session.replica_states.iter().map(|r| r.member).collect();
        let ballot = session.ballot;
        let request = session.request.take();
        let pending_takeover = session.pending_takeover.take();
        session.state = State::Detached;
        session.unsent_saves.clear();
        session.sent_upto = session.journal.upto();
        session.applied_upto = session.sent_upto;
        if let Some(request) = request {
            self.requests.remove(&request);
        }
        self.send_release(&members, id, ballot, session_over, commands);
        if session_over {
            self.remove(id);
            if let Some(PendingTakeover { request, .. }) = pending_takeover {
                self.requests.remove(&request);
                self.reply_busy(request, UNAVAILABLE_RETRY_MS, commands);
            }
        } else if let Some(takeover) = pending_takeover {
            self.claim_for(id, takeover, commands);
        }
    }

    pub(super) fn on_request_closed(&mut self, request: RequestId, commands: &mut Vec<Command>) {
        let Some(id) = self.session_id_of(request) else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.pending_takeover.as_ref().is_some_and(|takeover| takeover.request == request) {
            session.pending_takeover = None;
            self.requests.remove(&request);
            return;
        }
        if session.request != Some(request) {
            return;
        }
        match session.state {
            State::Claiming(_) => {
                self.abandon_claim(id, commands);
            }
            State::Claimed => self.release_session(id, false, commands),
            State::Attempting | State::Established if session.holder.is_none() => {
                self.release_session(id, false, commands)
            }
            State::Attempting | State::Established => session.state = State::Closing,
            State::Closing if session.holder.is_none() => self.release_session(id, false, commands),
            State::Closing | State::Expiring | State::Detached => {}
        }
        self.schedule(id);
    }

    pub(super) fn on_adopt(
        &mut self,
        request: RequestId,
        server: ServerId,
        handover: SessionHandover,
        commands: &mut Vec<Command>,
    ) {
        let id = handover.session;
        self.remove(id);
        let mut session = Session::new(id, State::Established, Some(request), self.now);
        session.set_replicas(handover.replicas);
        session.set_ballot(handover.ballot);
        session.previous_owner = handover.owner;
        session.confirmed_epoch = handover.confirmed_epoch;
        session.journal = handover.journal.into();
        session.sent_upto = session.journal.upto();
        session.applied_upto = session.sent_upto;
        session.holder = Some(server);
        session.has_lease = true;
        session.hold_until = self.now + handover.hold_ms;
        session.token_expires_at = self.now + self.settings.token_validity_ms;
        session.next_token_at = self.now + TOKEN_SPREAD_MS * (1.0 + self.random_fraction());
        let members: Vec<_> = session.replicas.members.clone();
        self.insert(session);
        for member in members {
            self.ensure_link(member.server, commands);
        }
        self.maintain_replicas(id, commands);
        self.schedule(id);
    }

    /// Changes the keys and issues a new token to every client, so that the old keys can be removed
    /// afterwards.
    pub(super) fn on_keys(&mut self, keys: crate::keys::KeyRing) {
        self.keys = keys;
        let established = |s: &&Session| matches!(s.state, State::Established);
        let mut ids: Vec<_> = self.sessions.values().filter(established).map(|s| s.id).collect();
        ids.sort_unstable();
        for id in ids {
            let at = self.now + TOKEN_SPREAD_MS * self.random_fraction();
            if let Some(session) = self.sessions.get_mut(&id) {
                session.next_token_at = at;
            }
            self.schedule(id);
        }
    }

    pub(super) fn on_session_timer(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        match &session.state {
            State::Claiming(_) => self.on_claim_timer(id, commands),
            State::Established if session.has_lease && session.hold_until <= now => {
                // The server's lease has ended, because the server or a majority of the replicas is
                // unresponsive.
                session.state = State::Closing;
                commands.extend(session.request.map(Command::Move));
            }
            State::Established if session.next_token_at <= now => self.issue_token(id, commands),
            State::Detached if session.token_expires_at <= now => {
                let members: Vec<_> = session.replica_states.iter().map(|r| r.member).collect();
                let ballot = session.ballot;
                self.send_release(&members, id, ballot, true, commands);
                self.remove(id);
            }
            State::Expiring if session.hold_until <= now => self.end_hold(id, commands),
            State::Closing | State::Expiring => {
                if let Some(PendingTakeover { request, .. }) =
                    session.pending_takeover.take_if(|takeover| takeover.deadline <= now)
                {
                    self.requests.remove(&request);
                    self.reply_busy(request, UNAVAILABLE_RETRY_MS, commands);
                }
            }
            _ => self.timers.clear(TimerKey::Session(id)),
        }
        self.schedule(id);
    }
}
