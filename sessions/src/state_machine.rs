//! The machine: takes events, gives commands. What it decides about each matter lies in a file of
//! its own: `claiming`, `holding` and `keeping`.

mod claiming;
mod holding;
mod keeping;

use crate::interface::*;
use crate::keys::KeyRing;
use crate::placement::Candidate;
use crate::session::{Session, State};
use crate::timers::{Due, Timers};
use keeping::Server;
use marllink::{Millis, RequestId, ServerId};
use marllink_lease_protocol::{Call, SessionId, call};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;

/// The sessions that one balancer process owns.
///
/// In what order to call what:
///
/// 1. [`new`](Self::new), then [`Event::Servers`] with the form hosts that are known, and again whenever
///    that changes.
/// 2. Each [`Command::OpenLink`] is answered by [`Event::LinkUp`] or [`Event::LinkDown`]; after an up there is
///    one down, sooner or later. In between, [`Command::Call`]s are said in order, and each reply is fed as
///    [`Event::ReplyReceived`].
/// 3. A request: [`Event::SessionRequested`], and once it may [proceed](Command::Proceed), for each attempt
///    [`Event::AttemptStarted`], the host's [`Event::LeaseRequested`] and, if it stands, [`Event::AttemptEstablished`]; then the
///    client's and the host's lines. Each attempt ends in one [`Event::AttemptEnded`], the request in one
///    [`Event::RequestClosed`], in whichever order that happens.
/// 4. [`Command::SetTimer`] is answered by [`Event::Timer`] once that time has passed.
///
/// Events that make no sense, as of requests that are not known, are passed over.
#[derive(Debug)]
pub struct Sessions {
    settings: Settings,
    keys: KeyRing,
    /// This process, among all that own sessions.
    owner: u64,
    /// Unix time at this clock's zero, in milliseconds.
    unix: Millis,
    rng: Xoshiro256PlusPlus,
    now: Millis,
    servers: FxHashMap<u64, Server>,
    sessions: FxHashMap<SessionId, Session>,
    requests: FxHashMap<RequestId, SessionId>,
    /// By the number of a form host: the sessions that it keeps.
    kept: FxHashMap<u64, FxHashSet<SessionId>>,
    /// Sessions that are claimed just now.
    claims: FxHashSet<SessionId>,
    /// Sessions whose holder waits for a lease.
    asking: FxHashSet<SessionId>,
    /// Sessions whose keepers are to be looked at, in turn.
    review: VecDeque<SessionId>,
    in_review: FxHashSet<SessionId>,
    /// Of all journals.
    bytes: usize,
    timers: Timers,
}

/// So many sessions' keepers are looked at in one go ...
const REVIEWS: usize = 64;
/// ... with such a pause in between, in ms: others' saves must not wait for it.
const REVIEW_MS: Millis = 5.0;

impl Sessions {
    /// Sessions of a process that owns none yet. `seed` must differ between processes and starts, as
    /// session ids and the nonces of tokens are drawn by it; `unix_ms` is the wall clock's time at
    /// `now`.
    #[must_use]
    pub fn new(settings: Settings, keys: KeyRing, seed: [u8; 32], now: Millis, unix_ms: Millis) -> Self {
        let mut rng = Xoshiro256PlusPlus::from_seed(seed);
        Self {
            settings,
            keys,
            owner: rng.next_u64() | 1,
            unix: unix_ms - now,
            rng,
            now,
            servers: FxHashMap::default(),
            sessions: FxHashMap::default(),
            requests: FxHashMap::default(),
            kept: FxHashMap::default(),
            claims: FxHashSet::default(),
            asking: FxHashSet::default(),
            review: VecDeque::new(),
            in_review: FxHashSet::default(),
            bytes: 0,
            timers: Timers::default(),
        }
    }

    /// Takes one event at `now`, and appends what is to be done. A clock that steps back stands still.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Command>) {
        self.now = self.now.max(now);
        match event {
            Event::Servers(listed) => self.on_servers(&listed, out),
            Event::LinkUp { server, incarnation } => self.on_link_up(server, incarnation, out),
            Event::LinkDown { server } => self.on_link_down(server),
            Event::ReplyReceived { server, reply } => self.on_heard(server, reply, out),
            Event::SessionRequested { request, session_request, wait_ms } => {
                self.on_begin(request, &session_request, wait_ms, out)
            }
            Event::AttemptStarted { request, server } => self.on_attempt(request, server, out),
            Event::LeaseRequested { request, k } => self.on_renews(request, k, out),
            Event::AttemptEstablished { request } => self.on_established(request, out),
            Event::SaveReceived { request, field } => self.on_saves(request, field, out),
            Event::TokenConfirmed { request } => self.on_has(request, out),
            Event::SavesApplied { request, n } => self.on_saved(request, n),
            Event::AttemptEnded { request, session_over } => {
                self.on_attempt_ended(request, session_over, out)
            }
            Event::RequestClosed { request } => self.on_closed(request, out),
            Event::Adopt { request, server, handover } => self.on_adopt(request, server, handover, out),
            Event::Keys(keys) => self.on_keys(keys),
            Event::Settings(settings) => self.settings = settings,
            Event::Timer => self.timers.fired(),
        }
        while let Some(due) = self.timers.pop(self.now) {
            match due {
                Due::Link(server) => self.on_link_due(server, out),
                Due::Session(id) => self.on_session_due(id, out),
                Due::Review => self.on_review(out),
            }
        }
        if let Some(delay) = self.timers.arm(self.now) {
            out.push(Command::SetTimer(delay));
        }
    }

    /// This process's number as an owner, which each link begins with.
    #[must_use]
    pub fn owner(&self) -> u64 {
        self.owner
    }

    /// Until when the form host of this request's attempt may hold the session, on this clock. An attempt
    /// that its form host does not end is over then, and not before.
    #[must_use]
    pub fn hold_until(&self, request: RequestId) -> Millis {
        self.of(request).map_or(0.0, |s| s.hold_until)
    }

    /// True once the form host of this request's attempt has been given a lease.
    #[must_use]
    pub fn has_lease(&self, request: RequestId) -> bool {
        self.of(request).is_some_and(|s| s.leased)
    }

    /// A form host that takes a session asks for its lease at once: one that has not after so long, in
    /// ms, is silent, and waiting for it as long as for an answer would only cost the client its time.
    #[must_use]
    pub fn lease_request_timeout_ms(&self) -> Millis {
        self.settings.lease_ms / 4.0
    }

    /// Under which ballot the form host of this request's attempt is to hold its session.
    #[must_use]
    pub fn session_ballot(&self, request: RequestId) -> Option<(SessionId, marllink_lease_protocol::Ballot)> {
        self.of(request).filter(|s| s.request == Some(request)).map(|s| (s.id, s.ballot))
    }

    /// Saves of this request that the client may still send before one is confirmed.
    #[must_use]
    pub fn save_capacity(&self, request: RequestId) -> usize {
        self.of(request).map_or(usize::MAX, |s| {
            self.settings.max_unconfirmed_saves.saturating_sub((s.journal.upto() - s.applied) as usize)
        })
    }

    /// The session of a request, and its claim's epoch: for logs.
    #[must_use]
    pub fn session(&self, request: RequestId) -> Option<(SessionId, u64)> {
        self.of(request).map(|s| (s.id, s.ballot.epoch))
    }

    /// How many sessions there are here, and how many of them stand.
    #[must_use]
    pub fn count(&self) -> (usize, usize) {
        let standing = self.sessions.values().filter(|s| matches!(s.state, State::Standing)).count();
        (self.sessions.len(), standing)
    }

    /// Bytes in all journals.
    #[must_use]
    pub fn total_journal_bytes(&self) -> usize {
        self.bytes
    }

    /// Gives up a session with its connection, for the process that takes this one's place. `None`
    /// while something of it is under way, or if the request has none.
    pub fn hand_over(&mut self, request: RequestId) -> Option<SessionHandover> {
        let session = self.of(request).filter(|s| s.idle() && s.hold_until > self.now)?;
        let passed = SessionHandover {
            session: session.id,
            ballot: session.ballot,
            confirmed_epoch: session.confirmed,
            replicas: session.keepers.clone(),
            journal: session.journal.told(),
            owner: self.owner,
            hold_ms: session.hold_until - self.now,
        };
        let id = session.id;
        self.remove(id);
        Some(passed)
    }

    /// True if the request has a session that could not be passed on as of now.
    #[must_use]
    pub fn is_busy(&self, request: RequestId) -> bool {
        self.of(request).is_some_and(|s| !s.idle() || s.hold_until <= self.now)
    }

    fn of(&self, request: RequestId) -> Option<&Session> {
        self.sessions.get(self.requests.get(&request)?)
    }

    fn id_of(&self, request: RequestId) -> Option<SessionId> {
        self.requests.get(&request).copied()
    }

    fn unix(&self) -> Millis {
        self.unix + self.now
    }

    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Enters a session, and what it is found by.
    fn insert(&mut self, session: Session) {
        let id = session.id;
        if let Some(request) = session.request {
            self.requests.insert(request, id);
        }
        self.bytes += session.journal.bytes();
        let members: Vec<_> = session.votes.iter().map(|v| v.member.server).collect();
        self.sessions.insert(id, session);
        for server in members {
            self.kept.entry(server).or_default().insert(id);
        }
    }

    /// Takes a session out of everything that it is found by.
    fn remove(&mut self, id: SessionId) -> Option<Session> {
        let session = self.sessions.remove(&id)?;
        for vote in &session.votes {
            self.unkeep(vote.member.server, id);
        }
        if let Some(request) = session.request {
            self.requests.remove(&request);
        }
        if let Some((request, ..)) = session.successor {
            self.requests.remove(&request);
        }
        self.claims.remove(&id);
        self.asking.remove(&id);
        self.bytes -= session.journal.bytes();
        self.timers.clear(Due::Session(id));
        Some(session)
    }

    fn unkeep(&mut self, server: u64, id: SessionId) {
        if let Some(kept) = self.kept.get_mut(&server) {
            kept.remove(&id);
            if kept.is_empty() {
                self.kept.remove(&server);
            }
        }
    }

    /// Refuses, with some spread so that those refused together do not come again together.
    fn refuse(&mut self, request: RequestId, about_ms: Millis, out: &mut Vec<Command>) {
        let retry_after_ms = about_ms * (0.75 + 0.5 * self.uniform());
        out.push(Command::ReplyBusy { request, retry_after_ms });
    }

    /// Says something to each of these that is linked as the member it was.
    fn call_all(
        &self,
        members: &[marllink_lease_protocol::Member],
        body: &call::Body,
        out: &mut Vec<Command>,
    ) {
        for member in members {
            if self.servers.get(&member.server).is_some_and(|s| s.is(member.incarnation)) {
                let server = ServerId(member.server);
                out.push(Command::Call { server, call: Call::new(body.clone()) });
            }
        }
    }

    /// Form hosts that could keep something new now.
    fn candidates(&self) -> Vec<Candidate> {
        let may = |(number, s): (&u64, &Server)| {
            let zone = s.listed.filter(|l| l.ready)?.zone;
            (s.pooled && s.live(self.now) && s.full_until <= self.now)
                .then_some(Candidate { server: ServerId(*number), zone })
        };
        let mut all: Vec<_> = self.servers.iter().filter_map(may).collect();
        // The order of a hash table must decide nothing.
        all.sort_unstable_by_key(|c| c.server);
        all
    }

    fn on_review(&mut self, out: &mut Vec<Command>) {
        for _ in 0..REVIEWS {
            let Some(id) = self.review.pop_front() else { return };
            self.in_review.remove(&id);
            self.look_after(id, out);
        }
        self.timers.set(Due::Review, self.now + REVIEW_MS);
    }

    /// Has the keepers of a session looked at soon.
    fn review(&mut self, id: SessionId) {
        if self.in_review.insert(id) {
            self.review.push_back(id);
            self.timers.sooner(Due::Review, self.now);
        }
    }

    fn review_kept_by(&mut self, server: u64) {
        let mut kept: Vec<_> = self.kept.get(&server).into_iter().flatten().copied().collect();
        kept.sort_unstable();
        kept.into_iter().for_each(|id| self.review(id));
    }
}
