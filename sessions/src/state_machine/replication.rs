//! Links to keepers, leases at them, and who keeps what.

use super::{Sessions, TimerKey};
use crate::interface::{Command, ListedServer, LogEvent};
use crate::placement;
use crate::session::{ReplicaState, State};
use marllink::{Millis, ServerId, ZoneId};
use marllink_lease_protocol::{
    Ballot, Call, Configuration, Hold, Member, Point, Pointer, Refused, Renew, Reply, SessionId, Stored, Why,
    call, reply,
};
use std::collections::VecDeque;

/// A lease is renewed so many times while it runs: two renewals may be lost.
const RENEWALS_PER_LEASE_COUNT: f64 = 4.0;
/// Renewals that wait for an answer; older ones would tell nothing any more.
const MAX_PENDING_RENEWALS_COUNT: usize = 8;
/// A link that could not be made is tried again after so long in ms, doubled with each failure.
const RECONNECT_DELAY_MS: Millis = 100.0;
const MAX_RECONNECT_DELAY_MS: Millis = 2_000.0;
/// A link that nothing needs any more stays for so long in ms.
const IDLE_LINK_TIMEOUT_MS: Millis = 30_000.0;
/// A keeper whose link has been down for so many leases is replaced: one that only stalls for a moment
/// comes back with all that it keeps.
const REPLACE_AFTER_LEASE_RATIO: f64 = 0.75;
/// A keeper without room is asked for nothing new for so long in ms.
const FULL_REPLICA_PAUSE_MS: Millis = 10_000.0;

/// A form host as a keeper.
#[derive(Debug, Default)]
pub struct Server {
    /// As the list has it, if it does.
    pub listed: Option<Listing>,
    /// One of those that keep what is new here.
    pub in_pool: bool,
    /// It has no room until then.
    pub full_until: Millis,
    link: Link,
    /// Counts the times at which a lease may have lapsed.
    lease_generation: u32,
    lease_until: Millis,
    lease_lapsed: bool,
    /// Renewals under way: their numbers and when they were sent.
    pending_renewals: VecDeque<(u64, Millis)>,
    last_renewal: u64,
    next_attempt_at: Millis,
    /// Since when there has been no link.
    down_since: Millis,
    failures: u32,
    /// Something needs the link until then.
    needed_until: Millis,
}

/// A listed form host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Where it is.
    pub zone: ZoneId,
    /// Whether it takes anything new.
    pub ready: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Link {
    #[default]
    Down,
    Connecting,
    Up(u64),
}

impl Server {
    /// True if it is linked in this life.
    pub fn is_linked_as(&self, incarnation: u64) -> bool {
        self.link == Link::Up(incarnation)
    }

    /// True if it is linked.
    pub fn is_linked(&self) -> bool {
        self.incarnation().is_some()
    }

    /// Its present life, if it is linked.
    pub fn incarnation(&self) -> Option<u64> {
        if let Link::Up(incarnation) = self.link { Some(incarnation) } else { None }
    }

    /// True if it is linked and the lease runs.
    pub fn has_lease(&self, now: Millis) -> bool {
        matches!(self.link, Link::Up(_)) && self.lease_until > now
    }

    /// The lease at this member, if the vote was given under it.
    fn lease_covering_until(&self, replica: &ReplicaState) -> Millis {
        let written = replica.written_generation == Some(self.lease_generation)
            && self.is_linked_as(replica.member.incarnation);
        if written { self.lease_until } else { 0.0 }
    }
}

impl Sessions {
    pub(super) fn on_servers(&mut self, listed: &[ListedServer], commands: &mut Vec<Command>) {
        for server in self.servers.values_mut() {
            server.listed = None;
        }
        for ListedServer { server, zone, ready } in listed {
            let entry = self.servers.entry(server.0).or_default();
            entry.listed = Some(Listing { zone: *zone, ready: *ready });
        }
        // Each balancer has so many links at most; which, is drawn by its own number.
        let ready: Vec<_> = listed
            .iter()
            .filter(|l| l.ready)
            .map(|l| placement::Candidate { server: l.server, zone: l.zone })
            .collect();
        let own = SessionId { hi: self.owner, lo: 0 };
        let pool = placement::choose(own, &ready, self.settings.max_links, &[], None);
        let mut changed = Vec::new();
        for (number, server) in &mut self.servers {
            let in_pool = pool.contains(&ServerId(*number));
            if server.in_pool && !in_pool {
                changed.push(*number);
            }
            server.in_pool = in_pool;
        }
        changed.sort_unstable();
        changed.into_iter().for_each(|server| self.queue_reviews_of(server));
        for server in pool {
            self.ensure_link(server.0, commands);
        }
        let unused = |s: &Server| s.listed.is_none() && s.link == Link::Down && s.needed_until <= self.now;
        let unused_servers: Vec<_> = self
            .servers
            .iter()
            .filter(|(n, s)| unused(s) && !self.sessions_by_replica.contains_key(n))
            .map(|(n, _)| *n)
            .collect();
        for server in unused_servers {
            self.servers.remove(&server);
            self.timers.clear(TimerKey::Link(server));
        }
    }

    /// Has a link made, unless it stands or is tried again soon.
    pub(super) fn ensure_link(&mut self, number: u64, commands: &mut Vec<Command>) {
        let now = self.now;
        let server = self.servers.entry(number).or_default();
        server.needed_until = now + IDLE_LINK_TIMEOUT_MS;
        if server.link == Link::Down && (server.failures == 0 || server.next_attempt_at <= now) {
            server.link = Link::Connecting;
            commands.push(Command::OpenLink(ServerId(number)));
        }
    }

    pub(super) fn on_link_up(&mut self, server: ServerId, incarnation: u64, commands: &mut Vec<Command>) {
        let now = self.now;
        let Some(entry) = self.servers.get_mut(&server.0) else {
            commands.push(Command::CloseLink(server));
            return;
        };
        entry.link = Link::Up(incarnation);
        entry.failures = 0;
        entry.lease_until = 0.0;
        entry.lease_lapsed = true;
        entry.lease_generation += 1;
        entry.pending_renewals.clear();
        entry.next_attempt_at = now;
        self.on_link_timer(server.0, commands);
        // Who is asked for a session must know of the lease first, which has just been sent.
        let mut claims: Vec<_> = self.claiming.iter().copied().collect();
        claims.sort_unstable();
        claims.into_iter().for_each(|id| self.query_replicas(id, Some(server.0), commands));
        self.queue_reviews_of(server.0);
    }

    pub(super) fn on_link_down(&mut self, server: ServerId) {
        let now = self.now;
        let replace_after_ms = self.settings.lease_ms * REPLACE_AFTER_LEASE_RATIO;
        let Some(entry) = self.servers.get_mut(&server.0) else { return };
        if entry.link != Link::Connecting {
            entry.down_since = now;
        }
        entry.link = Link::Down;
        entry.lease_generation += 1;
        entry.lease_until = 0.0;
        entry.failures += 1;
        let wait = RECONNECT_DELAY_MS * f64::from(1u32 << (entry.failures - 1).min(10));
        entry.next_attempt_at = now + wait.min(MAX_RECONNECT_DELAY_MS);
        let at = entry.next_attempt_at.min(entry.down_since + replace_after_ms);
        self.timers.set_earlier(TimerKey::Link(server.0), at.max(now + 1.0));
    }

    /// Renews the lease, makes a link again, or ends one that nothing needs.
    pub(super) fn on_link_timer(&mut self, number: u64, commands: &mut Vec<Command>) {
        let (now, lease) = (self.now, self.settings.lease_ms);
        let kept = self.sessions_by_replica.contains_key(&number);
        let Some(server) = self.servers.get_mut(&number) else { return };
        let needed = kept || server.in_pool || server.needed_until > now;
        match server.link {
            Link::Down if needed && server.next_attempt_at <= now => {
                server.link = Link::Connecting;
                commands.push(Command::OpenLink(ServerId(number)));
            }
            Link::Down if needed => {
                let at = server.next_attempt_at;
                self.timers.set(TimerKey::Link(number), at);
                self.queue_reviews_of(number);
            }
            Link::Up(_) if !needed => {
                server.link = Link::Down;
                server.lease_generation += 1;
                server.lease_until = 0.0;
                commands.push(Command::CloseLink(ServerId(number)));
            }
            Link::Up(_) => {
                if !server.lease_lapsed && server.lease_until <= now {
                    server.lease_lapsed = true;
                    server.lease_generation += 1;
                    commands.push(Command::Log(LogEvent::LeaseLapsed { server: ServerId(number) }));
                }
                if server.next_attempt_at <= now {
                    server.last_renewal += 1;
                    server.pending_renewals.push_back((server.last_renewal, now));
                    if server.pending_renewals.len() > MAX_PENDING_RENEWALS_COUNT {
                        server.pending_renewals.pop_front();
                    }
                    server.next_attempt_at = now + lease / RENEWALS_PER_LEASE_COUNT;
                    let renew = Renew { k: server.last_renewal, ms: lease as u32 };
                    let call = Call::new(call::Body::Renew(renew));
                    commands.push(Command::Call { server: ServerId(number), call });
                }
                let at = if server.lease_lapsed {
                    server.next_attempt_at
                } else {
                    server.next_attempt_at.min(server.lease_until)
                };
                let lapsed = server.lease_lapsed;
                self.timers.set(TimerKey::Link(number), at.max(now + 1.0));
                if lapsed {
                    // One that has not answered for so long is not waited for.
                    self.queue_reviews_of(number);
                }
            }
            Link::Down | Link::Connecting => {}
        }
    }

    pub(super) fn on_reply(&mut self, server: ServerId, reply: Reply, commands: &mut Vec<Command>) {
        match reply.body {
            Some(reply::Body::Renewed(renewed)) => self.on_renewed(server.0, renewed.k, commands),
            Some(reply::Body::Promised(promised)) => self.on_promised(server, promised, commands),
            Some(reply::Body::Stored(stored)) => self.on_stored(server, stored, commands),
            Some(reply::Body::Refused(refused)) => self.on_refused(server, refused, commands),
            Some(reply::Body::LetGo(unused_servers)) => {
                self.on_holder_released(server, unused_servers, commands)
            }
            None => {}
        }
    }

    fn on_renewed(&mut self, number: u64, k: u64, commands: &mut Vec<Command>) {
        let now = self.now;
        let runs = self.settings.lease_ms * (1.0 - self.settings.clock_drift_ratio);
        let Some(server) = self.servers.get_mut(&number) else { return };
        let Some(at) = server.pending_renewals.iter().position(|(n, _)| *n == k) else { return };
        let (_, sent) = server.pending_renewals.drain(..=at).next_back().expect("it was just seen");
        if sent + runs <= now {
            return;
        }
        // Until this answer came, the keeper may have thought that the one before was over.
        let lapsed = server.lease_lapsed || server.lease_until <= now;
        if lapsed {
            server.lease_generation += 1;
        }
        server.lease_lapsed = false;
        server.lease_until = server.lease_until.max(sent + runs);
        let at = server.next_attempt_at.min(server.lease_until);
        self.timers.set(TimerKey::Link(number), at);
        if lapsed {
            self.queue_reviews_of(number);
        } else {
            self.grant_leases_at(number, commands);
        }
    }

    /// Until when the lease of a majority of the keepers covers a session.
    pub(super) fn lease_covered_until(&self, id: SessionId) -> Millis {
        let Some(session) = self.sessions.get(&id) else { return 0.0 };
        let covers = |replica: &ReplicaState| {
            self.servers
                .get(&replica.member.server)
                .map_or(0.0, |server| server.lease_covering_until(replica))
        };
        session.quorum_value(0.0, covers)
    }

    /// Has a session's record where it should be, and its keepers replaced that are lost.
    pub(super) fn maintain_replicas(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let Some(session) = self.sessions.get(&id) else { return };
        if !(session.may_be_held() || matches!(session.state, State::Detached)) || session.ballot.attempt == 0
        {
            return;
        }
        let unwritten: Vec<_> = session
            .replica_states
            .iter()
            .filter(|r| {
                let server = self.servers.get(&r.member.server);
                server.is_some_and(|s| {
                    let current = Some(s.lease_generation);
                    s.is_linked_as(r.member.incarnation)
                        && s.has_lease(self.now)
                        && r.written_generation != current
                        && r.pending_generation != current
                })
            })
            .map(|r| r.member)
            .collect();
        for member in unwritten {
            self.write_record(id, member, commands);
        }
        self.replace_replicas(id, commands);
    }

    /// Writes the whole record to one keeper.
    pub(super) fn write_record(&mut self, id: SessionId, member: Member, commands: &mut Vec<Command>) {
        let keep_ms = (self.settings.token_validity_ms * 1.5) as u64;
        let Some(generation) = self.servers.get(&member.server).map(|s| s.lease_generation) else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let in_current = session.replicas.members.contains(&member);
        let next = session.next_replicas.as_ref().map_or(0, |next| next.number);
        let hold = Hold {
            session: id,
            ballot: session.ballot,
            holder: session.holder.map_or(0, |h| h.0),
            journal: session.journal.to_message(),
            confirmed: session.confirmed_epoch,
            from: session.previous_owner,
            tag: generation,
            keep_ms,
            configuration: if in_current { session.replicas.number } else { next },
        };
        if let Some(replica) = session.replica_state(member.server) {
            replica.pending_generation = Some(generation);
            replica.written_generation = None;
        }
        commands
            .push(Command::Call { server: ServerId(member.server), call: Call::new(call::Body::Hold(hold)) });
    }

    fn on_stored(&mut self, server: ServerId, stored: Stored, commands: &mut Vec<Command>) {
        let id = stored.session;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if let State::Claiming(claim) = &mut session.state {
            if claim.ballot == stored.ballot
                && let Some((pointer, has)) = &mut claim.pending_pointer
                && pointer.to.number == stored.pointer
                && !has.contains(&server.0)
            {
                has.push(server.0);
                self.on_pointer_stored(id, commands);
            }
            return;
        }
        if session.ballot != stored.ballot {
            return;
        }
        let next = session.next_replicas.as_ref().map(|next| next.number);
        let Some(replica) = session.replica_state(server.0) else { return };
        replica.upto = replica.upto.max(stored.upto);
        if stored.tag != 0 && replica.pending_generation == Some(stored.tag) {
            replica.written_generation = replica.pending_generation.take();
        }
        replica.has_pointer |= stored.pointer != 0 && Some(stored.pointer) == next;
        self.on_progress(id, commands);
    }

    /// Something of a session is at more keepers than before.
    pub(super) fn on_progress(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        self.advance_reconfiguration(id, commands);
        self.send_durable_saves(id, commands);
        self.grant_lease(id, commands);
    }

    fn on_refused(&mut self, server: ServerId, refused: Refused, commands: &mut Vec<Command>) {
        let id = refused.session;
        let why = Why::try_from(refused.why).unwrap_or(Why::Unknown);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if matches!(session.state, State::Claiming(_)) {
            self.on_claim_refused(server, refused, why, commands);
            return;
        }
        if session.ballot != refused.ballot {
            return;
        }
        let Some(replica) = session.replica_state(server.0) else { return };
        (replica.written_generation, replica.pending_generation) = (None, None);
        match why {
            Why::Outbid | Why::Leased | Why::Stale => {
                // Marked as the member of a life that it never had: it counts no more, and is replaced.
                replica.member.incarnation = 0;
                replica.upto = 0;
                let is_superseded = |r: &ReplicaState| r.member.incarnation == 0;
                let member_superseded = |m: &Member| {
                    session.replica_states.iter().any(|r| r.member.server == m.server && is_superseded(r))
                };
                let count = session.replicas.members.iter().filter(|m| member_superseded(m)).count();
                if count >= session.replicas.majority() {
                    self.on_taken_over(id, commands);
                } else {
                    self.queue_review(id);
                }
            }
            Why::Full => {
                if let Some(server) = self.servers.get_mut(&server.0) {
                    server.full_until = self.now + FULL_REPLICA_PAUSE_MS;
                }
                self.queue_review(id);
            }
            Why::Unknown | Why::Unwritten => self.queue_review(id),
        }
    }

    /// True if a keeper is to be replaced.
    fn is_replica_lost(&self, replica: &ReplicaState) -> bool {
        let Some(server) = self.servers.get(&replica.member.server) else { return true };
        let down = match server.link {
            Link::Up(incarnation) if incarnation != replica.member.incarnation => return true,
            Link::Up(_) => server.lease_lapsed && server.lease_until > 0.0,
            Link::Connecting | Link::Down => {
                self.now - server.down_since >= self.settings.lease_ms * REPLACE_AFTER_LEASE_RATIO
                    && server.failures > 0
            }
        };
        down || server.listed.is_none_or(|l| !l.ready) || server.full_until > self.now
    }

    /// Begins to replace keepers that are lost.
    fn replace_replicas(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let Some(session) = self.sessions.get(&id) else { return };
        let is_maintained = matches!(session.state, State::Established | State::Detached);
        if !is_maintained || session.next_replicas.is_some() || session.replicas.members.is_empty() {
            return;
        }
        let holder = session.holder;
        let lost = |r: &&ReplicaState| self.is_replica_lost(r) || Some(ServerId(r.member.server)) == holder;
        let remaining: Vec<_> =
            session.replica_states.iter().filter(|r| !lost(r)).map(|r| ServerId(r.member.server)).collect();
        if remaining.len() == session.replicas.members.len() && remaining.len() >= self.settings.replicas {
            return;
        }
        let candidates = self.replica_candidates();
        let chosen = placement::choose(id, &candidates, self.settings.replicas, &remaining, holder);
        let member = |s: &ServerId| {
            let incarnation = self.servers.get(&s.0)?.incarnation()?;
            Some(Member { server: s.0, incarnation })
        };
        let Some(members) = chosen.iter().map(member).collect::<Option<Vec<_>>>() else { return };
        let better = members.iter().any(|m| !session.replicas.members.contains(m))
            && members.len() >= session.replicas.members.len()
            && holder.is_none_or(|h| !chosen.contains(&h) || chosen.len() == 1);
        // A majority of those that are must agree; without it there is nothing to be done.
        if !better || !session.quorum_value(false, |r| r.written_generation.is_some()) {
            return;
        }
        let number = session.replicas.number + 1;
        let new: Vec<_> = members
            .iter()
            .filter(|m| !session.replica_states.iter().any(|r| r.member == **m))
            .copied()
            .collect();
        let session = self.sessions.get_mut(&id).expect("just seen");
        // One that has begun anew, or has outbid this owner, gives its place to its new self.
        session.replica_states.retain(|r| !new.iter().any(|m| m.server == r.member.server));
        session.replica_states.extend(new.iter().copied().map(ReplicaState::new));
        session.next_replicas = Some(Configuration { number, members });
        session.pointers_sent = false;
        for member in new {
            self.sessions_by_replica.entry(member.server).or_default().insert(id);
            self.write_record(id, member, commands);
        }
    }

    /// Goes on with a change of keepers: first the record at a majority of the new ones, then the
    /// pointer at a majority of the old ones.
    fn advance_reconfiguration(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(next) = session.next_replicas.clone() else { return };
        let has = |m: &Member, of: &dyn Fn(&ReplicaState) -> bool| {
            session.replica_states.iter().any(|r| r.member == *m && of(r))
        };
        if !session.pointers_sent {
            let written = next.members.iter().filter(|m| has(m, &|r| r.written_generation.is_some())).count();
            if written < next.majority() {
                return;
            }
            session.pointers_sent = true;
            let pointer = Pointer { ballot: session.ballot, to: next };
            let point = call::Body::Point(Point { session: id, pointer });
            let members = session.replicas.members.clone();
            self.call_members(&members, &point, commands);
            return;
        }
        let pointed = session.replicas.members.iter().filter(|m| has(m, &|r| r.has_pointer)).count();
        if pointed < session.replicas.majority() {
            return;
        }
        let left: Vec<_> = session
            .replica_states
            .iter()
            .map(|r| r.member)
            .filter(|m| !next.members.iter().any(|n| n.server == m.server))
            .collect();
        session.replica_states.retain(|r| next.members.contains(&r.member));
        session.replica_states.iter_mut().for_each(|r| r.has_pointer = false);
        let configuration = next.number;
        session.replicas = next;
        session.next_replicas = None;
        session.pointers_sent = false;
        session.next_token_at = self.now;
        for member in left {
            self.remove_from_replica(member.server, id);
        }
        commands.push(Command::Log(LogEvent::ReplicasChanged { session: id, configuration }));
        self.schedule(id);
        self.queue_review(id);
    }

    /// Another claim has been promised by a majority.
    pub(super) fn on_taken_over(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let epoch = session.ballot.epoch;
        commands.push(Command::Log(LogEvent::TakenOver { session: id, epoch }));
        match (&session.state, session.request) {
            (State::Established, Some(request)) => {
                session.state = State::Closing;
                commands.push(Command::Taken(request));
            }
            (State::Attempting | State::Claimed, Some(request)) => {
                session.state = State::Closing;
                commands.push(Command::ReplyBusy { request, retry_after_ms: 0.0 });
            }
            (State::Detached, _) => {
                self.remove(id);
            }
            _ => {}
        }
    }

    /// Tells keepers that a session is nobody's any more.
    pub(super) fn send_release(
        &self,
        members: &[Member],
        id: SessionId,
        ballot: Ballot,
        over: bool,
        commands: &mut Vec<Command>,
    ) {
        let release = marllink_lease_protocol::Release { session: id, ballot, over };
        self.call_members(members, &call::Body::Release(release), commands);
    }
}
