//! The state machine: takes events and emits commands. `claims` contains the claims on sessions, `lifecycle`
//! the sessions with a server, `hold_end` the end of a server's hold, `replication` the links, leases and lease
//! replicas, and `search` the search for replicas that a claim does not know.

mod claims;
mod hold_end;
mod lifecycle;
mod replication;
mod search;

use crate::interface::*;
use crate::keys::KeyRing;
use crate::pending_calls::CallNumber;
use crate::placement::Candidate;
use crate::session::{Session, State};
use crate::timers::{TimerKey, Timers};
use marllink::{Millis, RequestId, ServerId};
use marllink_lease_protocol::{Call, SessionId, call};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};
use replication::Server;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;

/// The sessions that one balancer process owns.
///
/// Expected order of calls:
///
/// 1. [`new`](Self::new), then [`Event::Servers`] with the list of servers, and again whenever the list
///    changes.
/// 2. Each [`Command::OpenLink`] is answered by [`Event::LinkUp`] or [`Event::LinkDown`], and each
///    [`Event::LinkUp`] is eventually followed by one [`Event::LinkDown`]. In between, each [`Command::Call`]
///    is sent in order, and each reply is fed as [`Event::ReplyReceived`].
/// 3. For a request: [`Event::SessionRequested`]. Once the request may [proceed](Command::Proceed), for each
///    attempt [`Event::AttemptStarted`], the server's [`Event::LeaseRequested`] and, if the connection is
///    established, [`Event::AttemptEstablished`], followed by the events for the lines of the client and the
///    server. Each attempt ends with one [`Event::AttemptEnded`] and the request with one
///    [`Event::RequestClosed`], in either order.
/// 4. [`Command::SetTimer`] is answered by [`Event::Timer`] once that time has passed.
///
/// Events that do not apply, such as those of unknown requests, are ignored.
#[derive(Debug)]
pub struct Sessions {
    settings: Settings,
    keys: KeyRing,
    /// Number of this process as an owner, drawn at random.
    owner: u64,
    /// Unix time at the zero of this process's clock, in milliseconds.
    unix_offset_ms: Millis,
    rng: Xoshiro256PlusPlus,
    now: Millis,
    servers: FxHashMap<u64, Server>,
    sessions: FxHashMap<SessionId, Session>,
    requests: FxHashMap<RequestId, SessionId>,
    /// The sessions of which a server is a replica, by the number of the server.
    sessions_by_replica: FxHashMap<u64, FxHashSet<SessionId>>,
    /// Sessions with a claim in progress.
    claiming: FxHashSet<SessionId>,
    /// Sessions that a server may hold whose connection is lost.
    expiring: FxHashSet<SessionId>,
    /// Number of the last call of a claim.
    last_call: u64,
    /// Sessions whose holder has requested a lease that is not granted yet.
    awaiting_lease: FxHashSet<SessionId>,
    /// Sessions whose replicas are to be reviewed, in order.
    review_queue: VecDeque<SessionId>,
    queued_for_review: FxHashSet<SessionId>,
    /// Total size of all journals.
    total_journal_bytes: usize,
    timers: Timers,
}

/// Maximum number of sessions reviewed at a time.
const REVIEW_BATCH_SIZE: usize = 64;
/// Pause between two batches of reviews, in milliseconds, so that the saves of other sessions are not
/// delayed.
const REVIEW_PAUSE_MS: Millis = 5.0;

impl Sessions {
    /// Creates the state machine of a process without sessions. `seed` must differ between processes and
    /// between starts, as session ids and the nonces of tokens are derived from it. `unix_ms` is the
    /// wall-clock time at `now`.
    #[must_use]
    pub fn new(settings: Settings, keys: KeyRing, seed: [u8; 32], now: Millis, unix_ms: Millis) -> Self {
        let mut rng = Xoshiro256PlusPlus::from_seed(seed);
        Self {
            settings,
            keys,
            owner: rng.next_u64() | 1,
            unix_offset_ms: unix_ms - now,
            rng,
            now,
            servers: FxHashMap::default(),
            sessions: FxHashMap::default(),
            requests: FxHashMap::default(),
            sessions_by_replica: FxHashMap::default(),
            claiming: FxHashSet::default(),
            expiring: FxHashSet::default(),
            last_call: 0,
            awaiting_lease: FxHashSet::default(),
            review_queue: VecDeque::new(),
            queued_for_review: FxHashSet::default(),
            total_journal_bytes: 0,
            timers: Timers::default(),
        }
    }

    /// Handles one event at time `now` and appends the resulting commands. If the clock steps back, the last
    /// time applies.
    pub fn handle(&mut self, now: Millis, event: Event, commands: &mut Vec<Command>) {
        self.now = self.now.max(now);
        match event {
            Event::Servers(listed) => self.on_servers(&listed, commands),
            Event::LinkUp { server, incarnation } => self.on_link_up(server, incarnation, commands),
            Event::LinkDown { server } => self.on_link_down(server),
            Event::ReplyReceived { server, reply } => self.on_reply(server, reply, commands),
            Event::SessionRequested { request, session_request, wait_ms } => {
                self.on_session_requested(request, &session_request, wait_ms, commands)
            }
            Event::AttemptStarted { request, server } => self.on_attempt_started(request, server, commands),
            Event::LeaseRequested { request, k } => self.on_lease_requested(request, k, commands),
            Event::AttemptEstablished { request } => self.on_attempt_established(request, commands),
            Event::SaveReceived { request, field } => self.on_save_received(request, field, commands),
            Event::TokenConfirmed { request } => self.on_token_confirmed(request, commands),
            Event::SavesApplied { request, n } => self.on_saves_applied(request, n),
            Event::AttemptEnded { request, session_over, holder } => {
                self.on_attempt_ended(request, session_over, holder, commands)
            }
            Event::RequestClosed { request } => self.on_request_closed(request, commands),
            Event::Adopt { request, server, handover } => self.on_adopt(request, server, handover, commands),
            Event::Keys(keys) => self.on_keys(keys),
            Event::Settings(settings) => self.settings = settings,
            Event::Timer => self.timers.fired(),
        }
        while let Some(key) = self.timers.pop_due(self.now) {
            match key {
                TimerKey::Link(server) => self.on_link_timer(server, commands),
                TimerKey::Session(id) => self.on_session_timer(id, commands),
                TimerKey::Review => self.run_reviews(commands),
            }
        }
        if let Some(delay) = self.timers.next_delay(self.now) {
            commands.push(Command::SetTimer(delay));
        }
    }

    /// Returns the number of this process as an owner, which is sent first on each link.
    #[must_use]
    pub fn owner(&self) -> u64 {
        self.owner
    }

    /// Returns the time, on this clock, until which the server of the request's attempt may hold the session
    /// unless it closes the connection before.
    #[must_use]
    pub fn hold_until(&self, request: RequestId) -> Millis {
        self.session_of(request).map_or(0.0, |s| s.hold_until)
    }

    /// Returns true once the server of the request's attempt has been granted a lease.
    #[must_use]
    pub fn has_lease(&self, request: RequestId) -> bool {
        self.session_of(request).is_some_and(|s| s.has_lease)
    }

    /// Returns the time within which a server that accepts a session requests its lease, in milliseconds. A
    /// server that exceeds it is unresponsive: waiting for the whole attempt timeout would only cost the
    /// client time.
    #[must_use]
    pub fn lease_request_timeout_ms(&self) -> Millis {
        self.settings.lease_ms / 4.0
    }

    /// Returns the session and ballot under which the server of the request's attempt is to hold the session.
    #[must_use]
    pub fn session_ballot(&self, request: RequestId) -> Option<(SessionId, marllink_lease_protocol::Ballot)> {
        self.session_of(request).filter(|s| s.request == Some(request)).map(|s| (s.id, s.ballot))
    }

    /// Returns the number of saves that the client of a request may send before earlier ones are confirmed.
    #[must_use]
    pub fn save_capacity(&self, request: RequestId) -> usize {
        self.session_of(request).map_or(usize::MAX, |s| {
            self.settings.max_unconfirmed_saves.saturating_sub((s.journal.upto() - s.applied_upto) as usize)
        })
    }

    /// Returns the session of a request and the epoch of its claim, for logs.
    #[must_use]
    pub fn session(&self, request: RequestId) -> Option<(SessionId, u64)> {
        self.session_of(request).map(|s| (s.id, s.ballot.epoch))
    }

    /// Returns the number of sessions and the number of those with an established connection.
    #[must_use]
    pub fn count(&self) -> (usize, usize) {
        let established = self.sessions.values().filter(|s| matches!(s.state, State::Established)).count();
        (self.sessions.len(), established)
    }

    /// Returns the total size of all journals, in bytes.
    #[must_use]
    pub fn total_journal_bytes(&self) -> usize {
        self.total_journal_bytes
    }

    /// Removes an idle session and returns its state for the handover to the successor process. Returns
    /// `None` if the session has operations in progress or the request has no session.
    pub fn hand_over(&mut self, request: RequestId) -> Option<SessionHandover> {
        let session = self.session_of(request).filter(|s| s.is_idle() && s.hold_until > self.now)?;
        let handover = SessionHandover {
            session: session.id,
            ballot: session.ballot,
            confirmed_epoch: session.confirmed_epoch,
            replicas: session.replicas.clone(),
            journal: session.journal.to_message(),
            owner: self.owner,
            hold_ms: session.hold_until - self.now,
        };
        let id = session.id;
        self.remove(id);
        Some(handover)
    }

    /// Returns true if the request has a session that cannot be handed over at the moment.
    #[must_use]
    pub fn blocks_handover(&self, request: RequestId) -> bool {
        self.session_of(request).is_some_and(|s| !s.is_idle() || s.hold_until <= self.now)
    }

    fn session_of(&self, request: RequestId) -> Option<&Session> {
        self.sessions.get(self.requests.get(&request)?)
    }

    fn session_id_of(&self, request: RequestId) -> Option<SessionId> {
        self.requests.get(&request).copied()
    }

    fn unix_ms(&self) -> Millis {
        self.unix_offset_ms + self.now
    }

    fn next_call_number(&mut self) -> CallNumber {
        self.last_call += 1;
        CallNumber(self.last_call)
    }

    fn random_fraction(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Adds a session to the table and the indexes.
    fn insert(&mut self, session: Session) {
        let id = session.id;
        if let Some(request) = session.request {
            self.requests.insert(request, id);
        }
        self.total_journal_bytes += session.journal.bytes();
        let members: Vec<_> = session.replica_states.iter().map(|r| r.member.server).collect();
        self.sessions.insert(id, session);
        for server in members {
            self.sessions_by_replica.entry(server).or_default().insert(id);
        }
    }

    /// Removes a session from the table and the indexes.
    fn remove(&mut self, id: SessionId) -> Option<Session> {
        let session = self.sessions.remove(&id)?;
        for replica in &session.replica_states {
            self.remove_from_replica(replica.member.server, id);
        }
        if let Some(request) = session.request {
            self.requests.remove(&request);
        }
        if let Some(takeover) = &session.pending_takeover {
            self.requests.remove(&takeover.request);
        }
        self.claiming.remove(&id);
        self.expiring.remove(&id);
        self.awaiting_lease.remove(&id);
        self.total_journal_bytes -= session.journal.bytes();
        self.timers.clear(TimerKey::Session(id));
        Some(session)
    }

    fn remove_from_replica(&mut self, server: u64, id: SessionId) {
        if let Some(session_ids) = self.sessions_by_replica.get_mut(&server) {
            session_ids.remove(&id);
            if session_ids.is_empty() {
                self.sessions_by_replica.remove(&server);
            }
        }
    }

    /// Rejects a request. The retry delay is randomized so that requests rejected at the same time do not
    /// retry at the same time.
    fn reply_busy(&mut self, request: RequestId, delay_ms: Millis, commands: &mut Vec<Command>) {
        let retry_after_ms = delay_ms * (0.75 + 0.5 * self.random_fraction());
        commands.push(Command::ReplyBusy { request, retry_after_ms });
    }

    /// Sends a call to each member whose link is up with the same incarnation.
    fn call_members(
        &self,
        members: &[marllink_lease_protocol::Member],
        body: &call::Body,
        commands: &mut Vec<Command>,
    ) {
        for member in members {
            if self.servers.get(&member.server).is_some_and(|s| s.is_linked_as(member.incarnation)) {
                let server = ServerId(member.server);
                commands.push(Command::Call { server, call: Call::new(body.clone()) });
            }
        }
    }

    /// Returns the servers that can become a replica now.
    fn replica_candidates(&self) -> Vec<Candidate> {
        let candidate = |(number, s): (&u64, &Server)| {
            let zone = s.listed.filter(|l| l.ready)?.zone;
            (s.in_pool && s.has_lease(self.now) && s.full_until <= self.now)
                .then_some(Candidate { server: ServerId(*number), zone })
        };
        let mut candidates: Vec<_> = self.servers.iter().filter_map(candidate).collect();
        // The result must not depend on the order of the hash table.
        candidates.sort_unstable_by_key(|c| c.server);
        candidates
    }

    fn run_reviews(&mut self, commands: &mut Vec<Command>) {
        for _ in 0..REVIEW_BATCH_SIZE {
            let Some(id) = self.review_queue.pop_front() else { return };
            self.queued_for_review.remove(&id);
            self.maintain_replicas(id, commands);
        }
        self.timers.set(TimerKey::Review, self.now + REVIEW_PAUSE_MS);
    }

    /// Schedules a review of the session's replicas.
    fn queue_review(&mut self, id: SessionId) {
        if self.queued_for_review.insert(id) {
            self.review_queue.push_back(id);
            self.timers.set_earlier(TimerKey::Review, self.now);
        }
    }

    fn queue_reviews_of(&mut self, server: u64) {
        let mut session_ids: Vec<_> =
            self.sessions_by_replica.get(&server).into_iter().flatten().copied().collect();
        session_ids.sort_unstable();
        session_ids.into_iter().for_each(|id| self.queue_review(id));
    }
}
