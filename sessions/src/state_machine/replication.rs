//! Links to lease replicas, leases at them, and the replicas of each session.

use super::{Sessions, TimerKey};
use crate::interface::{Command, ListedServer, LogEvent};
use crate::pending_calls::PendingCalls;
use crate::placement;
use crate::session::{ReplicaState, State};
use marllink::{Millis, ServerId, ZoneId};
use marllink_lease_protocol::{
    Ballot, Call, Configuration, Hold, Member, Point, Pointer, Refused, Renew, Reply, SessionId, Stored, Why,
    call, reply,
};
use std::collections::VecDeque;

/// Number of renewals per lease duration, so that two consecutive renewals may be lost.
const RENEWALS_PER_LEASE: f64 = 4.0;
/// Maximum number of unanswered renewals that are remembered. The lease that an older one grants would have
/// expired already.
const MAX_PENDING_RENEWALS: usize = 8;
/// Delay before the first attempt to re-establish a link, in milliseconds. It doubles with each failure.
const RECONNECT_DELAY_MS: Millis = 100.0;
/// Maximum delay between attempts to re-establish a link, in milliseconds.
const MAX_RECONNECT_DELAY_MS: Millis = 2_000.0;
/// Time after which an unused link is closed, in milliseconds.
const IDLE_LINK_TIMEOUT_MS: Millis = 30_000.0;
/// A replica is replaced once its link has been down for this fraction of the lease duration. One that stalls
/// only briefly comes back with all of its records.
const REPLACE_AFTER_LEASE_RATIO: f64 = 0.75;
/// Time during which a replica that is full is not used for further sessions, in milliseconds.
const FULL_REPLICA_PAUSE_MS: Millis = 10_000.0;

/// A server in its role as a lease replica.
#[derive(Debug, Default)]
pub struct Server {
    /// Its entry in the server list, if it is listed.
    pub listed: Option<Listing>,
    /// True if this process uses it as a replica of new sessions.
    pub in_pool: bool,
    /// Time until which it is assumed to be full.
    pub full_until: Millis,
    link: Link,
    /// Time at which the link was last opened.
    opened_at: Millis,
    /// Latest time after which the server has shown that it is in its current run, by its handshake or the
    /// confirmation of a renewal.
    pub alive_at: Millis,
    /// Incremented whenever a lease may have lapsed.
    lease_generation: u32,
    /// End of the current lease on this clock; 0 before the first renewal on a link is confirmed.
    lease_until: Millis,
    /// True while the link is up without a lease in force.
    lease_lapsed: bool,
    /// Unanswered renewals: their numbers and the times at which they were sent.
    pending_renewals: VecDeque<(u64, Millis)>,
    /// Unanswered calls of claims on the current link.
    pub pending_calls: PendingCalls,
    /// Number of the last renewal sent.
    last_renewal: u64,
    /// Time of the next renewal, or of the next attempt to re-establish the link while it is down.
    next_attempt_at: Millis,
    /// Time at which the link went down.
    down_since: Millis,
    /// Number of times the link has ended or failed since it was last up.
    failures: u32,
    /// Time until which the link is needed.
    needed_until: Millis,
}

/// A server's entry in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Its zone.
    pub zone: ZoneId,
    /// True if it accepts new connections.
    pub ready: bool,
}

/// State of a link to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Link {
    #[default]
    Down,
    Connecting,
    /// Up, with this incarnation of the server.
    Up(u64),
}

impl Server {
    /// Returns true if the link is up with this incarnation.
    pub fn is_linked_as(&self, incarnation: u64) -> bool {
        self.link == Link::Up(incarnation)
    }

    /// Returns true if the link is up.
    pub fn is_linked(&self) -> bool {
        self.incarnation().is_some()
    }

    /// Returns the incarnation of the server if the link is up.
    pub fn incarnation(&self) -> Option<u64> {
        if let Link::Up(incarnation) = self.link { Some(incarnation) } else { None }
    }

    /// Returns true if the link is up and the lease has not expired.
    pub fn has_lease(&self, now: Millis) -> bool {
        matches!(self.link, Link::Up(_)) && self.lease_until > now
    }

    /// Returns the end of the lease at this replica if the record was written under it, or 0.
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
        // Each balancer limits its number of links, and selects its pool of replicas by its owner number.
        let ready: Vec<_> = listed
            .iter()
            .filter(|l| l.ready)
            .map(|l| placement::Candidate { server: l.server, zone: l.zone })
            .collect();
        let pool_key = SessionId { hi: self.owner, lo: 0 };
        let pool = placement::choose(pool_key, &ready, self.settings.max_links, &[], None);
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

    /// Opens a link, unless it exists or a retry is due soon.
    pub(super) fn ensure_link(&mut self, number: u64, commands: &mut Vec<Command>) {
        let now = self.now;
        let server = self.servers.entry(number).or_default();
        server.needed_until = now + IDLE_LINK_TIMEOUT_MS;
        if server.link == Link::Down && (server.failures == 0 || server.next_attempt_at <= now) {
            server.link = Link::Connecting;
            server.opened_at = now;
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
        entry.alive_at = entry.opened_at;
        entry.lease_until = 0.0;
        entry.lease_lapsed = true;
        entry.lease_generation += 1;
        entry.pending_renewals.clear();
        entry.pending_calls.clear();
        entry.next_attempt_at = now;
        self.on_link_timer(server.0, commands);
        // The replica must receive the lease renewal, which has just been sent, before any claim.
        self.query_linked_server(server.0, commands);
        self.request_releases_at(server, commands);
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
        let delay_ms = RECONNECT_DELAY_MS * f64::from(1u32 << (entry.failures - 1).min(10));
        entry.next_attempt_at = now + delay_ms.min(MAX_RECONNECT_DELAY_MS);
        let at = entry.next_attempt_at.min(entry.down_since + replace_after_ms);
        self.timers.set_earlier(TimerKey::Link(server.0), at.max(now + 1.0));
    }

    /// Handles the timer of a link: renews the lease, reopens the link, or closes it if unused.
    pub(super) fn on_link_timer(&mut self, number: u64, commands: &mut Vec<Command>) {
        let (now, lease_ms) = (self.now, self.settings.lease_ms);
        let stores_sessions = self.sessions_by_replica.contains_key(&number);
        let Some(server) = self.servers.get_mut(&number) else { return };
        let needed = stores_sessions || server.in_pool || server.needed_until > now;
        match server.link {
            Link::Down if needed && server.next_attempt_at <= now => {
                server.link = Link::Connecting;
                server.opened_at = now;
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
                    if server.pending_renewals.len() > MAX_PENDING_RENEWALS {
                        server.pending_renewals.pop_front();
                    }
                    server.next_attempt_at = now + lease_ms / RENEWALS_PER_LEASE;
                    let renew = Renew { k: server.last_renewal, ms: lease_ms as u32 };
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
                    // The replica has not answered in time. Its sessions may need a replacement.
                    self.queue_reviews_of(number);
                }
            }
            Link::Down | Link::Connecting => {}
        }
    }

    /// Renews the lease at a server now, unless a renewal was sent at this time or later.
    pub(super) fn renew_after(&mut self, number: u64, time: Millis) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&number) else { return };
        if server.pending_renewals.back().is_none_or(|(_, sent_at)| *sent_at < time) {
            server.next_attempt_at = now;
            self.timers.set_earlier(TimerKey::Link(number), now);
        }
    }

    pub(super) fn on_reply(&mut self, server: ServerId, reply: Reply, commands: &mut Vec<Command>) {
        match reply.body {
            Some(reply::Body::Renewed(renewed)) => self.on_renewed(server.0, renewed.k, commands),
            Some(reply::Body::Promised(promised)) => self.on_promised(server, promised, commands),
            Some(reply::Body::Stored(stored)) => self.on_stored(server, stored, commands),
            Some(reply::Body::Refused(refused)) => self.on_refused(server, refused, commands),
            Some(reply::Body::LetGo(released)) => self.on_holder_released(server, released, commands),
            None => {}
        }
    }

    fn on_renewed(&mut self, number: u64, k: u64, commands: &mut Vec<Command>) {
        let now = self.now;
        let lease_duration_ms = self.settings.lease_ms * (1.0 - self.settings.clock_drift_ratio);
        let Some(server) = self.servers.get_mut(&number) else { return };
        let Some(index) = server.pending_renewals.iter().position(|(n, _)| *n == k) else { return };
        let (_, sent_at) =
            server.pending_renewals.drain(..=index).next_back().expect("the renewal is pending");
        server.alive_at = sent_at;
        if let Some(incarnation) = server.incarnation() {
            self.check_for_restart(number, incarnation, commands);
        }
        let Some(server) = self.servers.get_mut(&number) else { return };
        if sent_at + lease_duration_ms <= now {
            return;
        }
        // The previous lease may have expired at the replica before this renewal arrived there.
        let lapsed = server.lease_lapsed || server.lease_until <= now;
        if lapsed {
            server.lease_generation += 1;
        }
        server.lease_lapsed = false;
        server.lease_until = server.lease_until.max(sent_at + lease_duration_ms);
        let at = server.next_attempt_at.min(server.lease_until);
        self.timers.set(TimerKey::Link(number), at);
        if lapsed {
            self.queue_reviews_of(number);
        } else {
            self.grant_leases_at(number, commands);
        }
    }

    /// Returns the time until which the leases at a majority of the replicas cover a session.
    pub(super) fn lease_covered_until(&self, id: SessionId) -> Millis {
        let Some(session) = self.sessions.get(&id) else { return 0.0 };
        let covered_until = |replica: &ReplicaState| {
            self.servers
                .get(&replica.member.server)
                .map_or(0.0, |server| server.lease_covering_until(replica))
        };
        session.quorum_value(0.0, covered_until)
    }

    /// Writes the session's record to the replicas that lack it, and replaces lost replicas.
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

    /// Writes the complete record to one replica.
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
        // Each replica leads to the others, for claimants that do not know the present ones. The first
        // configuration is named in every token.
        let own_pointer = (in_current && session.replicas.number > 1)
            .then(|| Pointer { ballot: session.ballot, to: session.replicas.clone() });
        if let Some(replica) = session.replica_state(member.server) {
            replica.pending_generation = Some(generation);
            replica.written_generation = None;
        }
        let server = ServerId(member.server);
        commands.push(Command::Call { server, call: Call::new(call::Body::Hold(hold)) });
        if let Some(pointer) = own_pointer {
            let point = call::Body::Point(Point { session: id, pointer });
            commands.push(Command::Call { server, call: Call::new(point) });
        }
    }

    fn on_stored(&mut self, server: ServerId, stored: Stored, commands: &mut Vec<Command>) {
        let id = stored.session;
        if let Some(call) = self.take_answered_call(server, id, stored.ballot) {
            self.on_pointer_stored(server, call, id, commands);
            return;
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if matches!(session.state, State::Claiming(_)) {
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

    /// Continues what depends on the state of the replicas, after one of them has stored something.
    pub(super) fn on_progress(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        self.advance_reconfiguration(id, commands);
        self.send_durable_saves(id, commands);
        self.grant_lease(id, commands);
    }

    fn on_refused(&mut self, server: ServerId, refused: Refused, commands: &mut Vec<Command>) {
        let id = refused.session;
        let reason = Why::try_from(refused.why).unwrap_or(Why::Unknown);
        if let Some(call) = self.take_answered_call(server, id, refused.ballot) {
            self.on_claim_refused(server, call, refused, reason, commands);
            return;
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if matches!(session.state, State::Claiming(_)) {
            return;
        }
        if session.ballot != refused.ballot {
            return;
        }
        let Some(replica) = session.replica_state(server.0) else { return };
        (replica.written_generation, replica.pending_generation) = (None, None);
        match reason {
            Why::Outbid | Why::Leased | Why::Stale => {
                // Incarnation 0 never occurs: the replica no longer counts and will be replaced.
                replica.member.incarnation = 0;
                replica.upto = 0;
                replica.has_pointer = false;
                if !session.refused_by.contains(&server.0) {
                    session.refused_by.push(server.0);
                }
                let is_superseded = |r: &ReplicaState| r.member.incarnation == 0;
                let member_superseded = |m: &Member| {
                    session.replica_states.iter().any(|r| r.member.server == m.server && is_superseded(r))
                };
                let count = session.replicas.members.iter().filter(|m| member_superseded(m)).count();
                if count >= session.replicas.majority() {
                    self.on_taken_over(id, commands);
                } else {
                    self.abandon_impossible_change(id);
                    self.advance_reconfiguration(id, commands);
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

    /// Gives up a change of configuration whose new replicas can't form a majority any more, so that a later
    /// review chooses others. Once the pointers were sent, claimants may complete the change, so it stays.
    fn abandon_impossible_change(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(next) = session.next_replicas.as_ref().filter(|_| !session.pointers_sent) else { return };
        let refused = next.members.iter().filter(|m| session.refused_by.contains(&m.server)).count();
        if next.members.len() - refused >= next.majority() {
            return;
        }
        session.next_replicas = None;
        let current = &session.replicas.members;
        let is_current = |replica: &ReplicaState| current.iter().any(|m| m.server == replica.member.server);
        let (kept, removed): (Vec<_>, Vec<_>) =
            std::mem::take(&mut session.replica_states).into_iter().partition(is_current);
        session.replica_states = kept;
        for replica in removed {
            self.remove_from_replica(replica.member.server, id);
        }
    }

    /// Returns true if a replica must be replaced.
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

    /// Starts a change of configuration if replicas are lost or the holder is one of them.
    fn replace_replicas(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let Some(session) = self.sessions.get(&id) else { return };
        let is_maintained = matches!(session.state, State::Established | State::Detached);
        if !is_maintained || session.next_replicas.is_some() || session.replicas.members.is_empty() {
            return;
        }
        let holder = session.holder;
        let needs_replacement =
            |r: &&ReplicaState| self.is_replica_lost(r) || Some(ServerId(r.member.server)) == holder;
        let remaining: Vec<_> = session
            .replica_states
            .iter()
            .filter(|r| !needs_replacement(r))
            .map(|r| ServerId(r.member.server))
            .collect();
        if remaining.len() == session.replicas.members.len() && remaining.len() >= self.settings.replicas {
            return;
        }
        let mut candidates = self.replica_candidates();
        candidates.retain(|candidate| !session.refused_by.contains(&candidate.server.0));
        let chosen = placement::choose(id, &candidates, self.settings.replicas, &remaining, holder);
        let member = |s: &ServerId| {
            let incarnation = self.servers.get(&s.0)?.incarnation()?;
            Some(Member { server: s.0, incarnation })
        };
        let Some(members) = chosen.iter().map(member).collect::<Option<Vec<_>>>() else { return };
        let improves = members.iter().any(|m| !session.replicas.members.contains(m))
            && members.len() >= session.replicas.members.len()
            && holder.is_none_or(|h| !chosen.contains(&h) || chosen.len() == 1);
        // A majority of the current replicas must agree to a change, which is impossible without one: records of
        // a change that can't take effect would only look to claimants as if one might.
        let may_agree = |r: &ReplicaState| {
            let server = self.servers.get(&r.member.server);
            r.written_generation.is_some() && server.is_some_and(|s| s.is_linked_as(r.member.incarnation))
        };
        if !improves || !session.quorum_value(false, may_agree) {
            return;
        }
        let number = session.replicas.number + 1;
        let added: Vec<_> = members
            .iter()
            .filter(|m| !session.replica_states.iter().any(|r| r.member == **m))
            .copied()
            .collect();
        let session = self.sessions.get_mut(&id).expect("the session exists");
        // A server that has restarted or has refused this owner's ballot is replaced by its new incarnation.
        session.replica_states.retain(|r| !added.iter().any(|m| m.server == r.member.server));
        session.replica_states.extend(added.iter().copied().map(ReplicaState::new));
        session.next_replicas = Some(Configuration { number, members });
        session.pointers_sent = false;
        for member in added {
            self.sessions_by_replica.entry(member.server).or_default().insert(id);
            self.write_record(id, member, commands);
        }
    }

    /// Continues a change of configuration: first the record is written to a majority of the new replicas,
    /// then the pointer to a majority of the current ones.
    fn advance_reconfiguration(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(next) = session.next_replicas.clone() else { return };
        let any_state = |m: &Member, condition: &dyn Fn(&ReplicaState) -> bool| {
            session.replica_states.iter().any(|r| r.member == *m && condition(r))
        };
        if !session.pointers_sent {
            let written_count =
                next.members.iter().filter(|m| any_state(m, &|r| r.written_generation.is_some())).count();
            if written_count < next.majority() {
                return;
            }
            session.pointers_sent = true;
            let pointer = Pointer { ballot: session.ballot, to: next };
            let point = call::Body::Point(Point { session: id, pointer });
            let members = session.replicas.members.clone();
            self.call_members(&members, &point, commands);
            return;
        }
        let pointer_count =
            session.replicas.members.iter().filter(|m| any_state(m, &|r| r.has_pointer)).count();
        if pointer_count < session.replicas.majority() {
            return;
        }
        let removed: Vec<_> = session
            .replica_states
            .iter()
            .map(|r| r.member)
            .filter(|m| !next.members.iter().any(|n| n.server == m.server))
            .collect();
        session.replica_states.retain(|r| next.members.contains(&r.member));
        for replica in &mut session.replica_states {
            replica.has_pointer = false;
            // The record is written once more, as one of the new configuration and with the pointer to it.
            (replica.written_generation, replica.pending_generation) = (None, None);
        }
        let configuration = next.number;
        session.replicas = next;
        session.next_replicas = None;
        session.pointers_sent = false;
        session.next_token_at = self.now;
        for member in removed {
            self.remove_from_replica(member.server, id);
        }
        commands.push(Command::Log(LogEvent::ReplicasChanged { session: id, configuration }));
        self.schedule(id);
        self.queue_review(id);
    }

    /// Handles the loss of a session: a majority has promised another claim.
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

    /// Notifies the replicas that a session is released.
    pub(super) fn send_release(
        &self,
        members: &[Member],
        id: SessionId,
        ballot: Ballot,
        session_over: bool,
        commands: &mut Vec<Command>,
    ) {
        let release = marllink_lease_protocol::Release { session: id, ballot, over: session_over };
        self.call_members(members, &call::Body::Release(release), commands);
    }
}
