//! Links to keepers, leases at them, and who keeps what.

use super::{Due, Sessions};
use crate::interface::{Command, ListedServer, LogEvent};
use crate::placement;
use crate::session::{State, Vote};
use marllink::{Millis, ServerId, ZoneId};
use marllink_lease_protocol::{
    Ballot, Call, Configuration, Hold, Member, Point, Pointer, Refused, Renew, Reply, SessionId, Stored, Why,
    call, reply,
};
use std::collections::VecDeque;

/// A lease is renewed so many times while it runs: two renewals may be lost.
const RENEWALS: f64 = 4.0;
/// Renewals that wait for an answer; older ones would tell nothing any more.
const MOST_RENEWALS: usize = 8;
/// A link that could not be made is tried again after so long in ms, doubled with each failure.
const RELINK_MS: Millis = 100.0;
const MOST_RELINK_MS: Millis = 2_000.0;
/// A link that nothing needs any more stays for so long in ms.
const IDLE_MS: Millis = 30_000.0;
/// A keeper whose link has been down for so many leases is replaced: one that only stalls for a moment
/// comes back with all that it keeps.
const GIVEN_UP: f64 = 0.75;
/// A keeper without room is asked for nothing new for so long in ms.
const FULL_MS: Millis = 10_000.0;

/// A form host as a keeper.
#[derive(Debug, Default)]
pub struct Server {
    /// As the list has it, if it does.
    pub listed: Option<Seen>,
    /// One of those that keep what is new here.
    pub pooled: bool,
    /// It has no room until then.
    pub full_until: Millis,
    link: Link,
    /// Counts the times at which a lease may have lapsed.
    generation: u32,
    lease_until: Millis,
    lapsed: bool,
    /// Renewals under way: their numbers and when they were sent.
    renewals: VecDeque<(u64, Millis)>,
    next_renewal: u64,
    renew_at: Millis,
    /// Since when there has been no link.
    down_since: Millis,
    failures: u32,
    /// Something needs the link until then.
    wanted_until: Millis,
}

/// A listed form host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Where it is.
    pub zone: ZoneId,
    /// Whether it takes anything new.
    pub ready: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Link {
    #[default]
    Down,
    Making,
    Up(u64),
}

impl Server {
    /// True if it is linked in this life.
    pub fn is(&self, incarnation: u64) -> bool {
        self.link == Link::Up(incarnation)
    }

    /// True if it is linked.
    pub fn linked(&self) -> bool {
        self.incarnation().is_some()
    }

    /// Its present life, if it is linked.
    pub fn incarnation(&self) -> Option<u64> {
        if let Link::Up(incarnation) = self.link { Some(incarnation) } else { None }
    }

    /// True if it is linked and the lease runs.
    pub fn live(&self, now: Millis) -> bool {
        matches!(self.link, Link::Up(_)) && self.lease_until > now
    }

    /// The lease at this member, if the vote was given under it.
    fn covers(&self, vote: &Vote) -> Millis {
        let written = vote.written == Some(self.generation) && self.is(vote.member.incarnation);
        if written { self.lease_until } else { 0.0 }
    }
}

impl Sessions {
    pub(super) fn on_servers(&mut self, listed: &[ListedServer], out: &mut Vec<Command>) {
        for server in self.servers.values_mut() {
            server.listed = None;
        }
        for ListedServer { server, zone, ready } in listed {
            let entry = self.servers.entry(server.0).or_default();
            entry.listed = Some(Seen { zone: *zone, ready: *ready });
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
            let pooled = pool.contains(&ServerId(*number));
            if server.pooled && !pooled {
                changed.push(*number);
            }
            server.pooled = pooled;
        }
        changed.sort_unstable();
        changed.into_iter().for_each(|server| self.review_kept_by(server));
        for server in pool {
            self.want(server.0, out);
        }
        let nowhere = |s: &Server| s.listed.is_none() && s.link == Link::Down && s.wanted_until <= self.now;
        let gone: Vec<_> = self
            .servers
            .iter()
            .filter(|(n, s)| nowhere(s) && !self.kept.contains_key(n))
            .map(|(n, _)| *n)
            .collect();
        for server in gone {
            self.servers.remove(&server);
            self.timers.clear(Due::Link(server));
        }
    }

    /// Has a link made, unless it stands or is tried again soon.
    pub(super) fn want(&mut self, number: u64, out: &mut Vec<Command>) {
        let now = self.now;
        let server = self.servers.entry(number).or_default();
        server.wanted_until = now + IDLE_MS;
        if server.link == Link::Down && (server.failures == 0 || server.renew_at <= now) {
            server.link = Link::Making;
            out.push(Command::OpenLink(ServerId(number)));
        }
    }

    pub(super) fn on_link_up(&mut self, server: ServerId, incarnation: u64, out: &mut Vec<Command>) {
        let now = self.now;
        let Some(entry) = self.servers.get_mut(&server.0) else {
            out.push(Command::CloseLink(server));
            return;
        };
        entry.link = Link::Up(incarnation);
        entry.failures = 0;
        entry.lease_until = 0.0;
        entry.lapsed = true;
        entry.generation += 1;
        entry.renewals.clear();
        entry.renew_at = now;
        self.on_link_due(server.0, out);
        // Who is asked for a session must know of the lease first, which has just been sent.
        let mut claims: Vec<_> = self.claims.iter().copied().collect();
        claims.sort_unstable();
        claims.into_iter().for_each(|id| self.ask_keepers(id, Some(server.0), out));
        self.review_kept_by(server.0);
    }

    pub(super) fn on_link_down(&mut self, server: ServerId) {
        let now = self.now;
        let give_up = self.settings.lease_ms * GIVEN_UP;
        let Some(entry) = self.servers.get_mut(&server.0) else { return };
        if entry.link != Link::Making {
            entry.down_since = now;
        }
        entry.link = Link::Down;
        entry.generation += 1;
        entry.lease_until = 0.0;
        entry.failures += 1;
        let wait = RELINK_MS * f64::from(1u32 << (entry.failures - 1).min(10));
        entry.renew_at = now + wait.min(MOST_RELINK_MS);
        let at = entry.renew_at.min(entry.down_since + give_up);
        self.timers.sooner(Due::Link(server.0), at.max(now + 1.0));
    }

    /// Renews the lease, makes a link again, or ends one that nothing needs.
    pub(super) fn on_link_due(&mut self, number: u64, out: &mut Vec<Command>) {
        let (now, lease) = (self.now, self.settings.lease_ms);
        let kept = self.kept.contains_key(&number);
        let Some(server) = self.servers.get_mut(&number) else { return };
        let needed = kept || server.pooled || server.wanted_until > now;
        match server.link {
            Link::Down if needed && server.renew_at <= now => {
                server.link = Link::Making;
                out.push(Command::OpenLink(ServerId(number)));
            }
            Link::Down if needed => {
                let at = server.renew_at;
                self.timers.set(Due::Link(number), at);
                self.review_kept_by(number);
            }
            Link::Up(_) if !needed => {
                server.link = Link::Down;
                server.generation += 1;
                server.lease_until = 0.0;
                out.push(Command::CloseLink(ServerId(number)));
            }
            Link::Up(_) => {
                if !server.lapsed && server.lease_until <= now {
                    server.lapsed = true;
                    server.generation += 1;
                    out.push(Command::Log(LogEvent::LeaseLapsed { server: ServerId(number) }));
                }
                if server.renew_at <= now {
                    server.next_renewal += 1;
                    server.renewals.push_back((server.next_renewal, now));
                    if server.renewals.len() > MOST_RENEWALS {
                        server.renewals.pop_front();
                    }
                    server.renew_at = now + lease / RENEWALS;
                    let renew = Renew { k: server.next_renewal, ms: lease as u32 };
                    let call = Call::new(call::Body::Renew(renew));
                    out.push(Command::Call { server: ServerId(number), call });
                }
                let at =
                    if server.lapsed { server.renew_at } else { server.renew_at.min(server.lease_until) };
                let lapsed = server.lapsed;
                self.timers.set(Due::Link(number), at.max(now + 1.0));
                if lapsed {
                    // One that has not answered for so long is not waited for.
                    self.review_kept_by(number);
                }
            }
            Link::Down | Link::Making => {}
        }
    }

    pub(super) fn on_heard(&mut self, server: ServerId, reply: Reply, out: &mut Vec<Command>) {
        match reply.body {
            Some(reply::Body::Renewed(renewed)) => self.on_renewed(server.0, renewed.k, out),
            Some(reply::Body::Promised(promised)) => self.on_promised(server, promised, out),
            Some(reply::Body::Stored(stored)) => self.on_stored(server, stored, out),
            Some(reply::Body::Refused(refused)) => self.on_refused(server, refused, out),
            Some(reply::Body::LetGo(gone)) => self.on_let_go(server, gone, out),
            None => {}
        }
    }

    fn on_renewed(&mut self, number: u64, k: u64, out: &mut Vec<Command>) {
        let now = self.now;
        let runs = self.settings.lease_ms * (1.0 - self.settings.clock_drift_ratio);
        let Some(server) = self.servers.get_mut(&number) else { return };
        let Some(at) = server.renewals.iter().position(|(n, _)| *n == k) else { return };
        let (_, sent) = server.renewals.drain(..=at).next_back().expect("it was just seen");
        if sent + runs <= now {
            return;
        }
        // Until this answer came, the keeper may have thought that the one before was over.
        let lapsed = server.lapsed || server.lease_until <= now;
        if lapsed {
            server.generation += 1;
        }
        server.lapsed = false;
        server.lease_until = server.lease_until.max(sent + runs);
        let at = server.renew_at.min(server.lease_until);
        self.timers.set(Due::Link(number), at);
        if lapsed {
            self.review_kept_by(number);
        } else {
            self.grant_all(number, out);
        }
    }

    /// Until when the lease of a majority of the keepers covers a session.
    pub(super) fn covered_until(&self, id: SessionId) -> Millis {
        let Some(session) = self.sessions.get(&id) else { return 0.0 };
        let covers =
            |vote: &Vote| self.servers.get(&vote.member.server).map_or(0.0, |server| server.covers(vote));
        session.quorum(0.0, covers)
    }

    /// Has a session's record where it should be, and its keepers replaced that are lost.
    pub(super) fn look_after(&mut self, id: SessionId, out: &mut Vec<Command>) {
        let Some(session) = self.sessions.get(&id) else { return };
        if !(session.out() || matches!(session.state, State::Away)) || session.ballot.attempt == 0 {
            return;
        }
        let unwritten: Vec<_> = session
            .votes
            .iter()
            .filter(|v| {
                let server = self.servers.get(&v.member.server);
                server.is_some_and(|s| {
                    let current = Some(s.generation);
                    s.is(v.member.incarnation)
                        && s.live(self.now)
                        && v.written != current
                        && v.sent != current
                })
            })
            .map(|v| v.member)
            .collect();
        for member in unwritten {
            self.write(id, member, out);
        }
        self.replace_keepers(id, out);
    }

    /// Writes the whole record to one keeper.
    pub(super) fn write(&mut self, id: SessionId, member: Member, out: &mut Vec<Command>) {
        let keep_ms = (self.settings.token_validity_ms * 1.5) as u64;
        let Some(generation) = self.servers.get(&member.server).map(|s| s.generation) else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let old = session.keepers.members.contains(&member);
        let next = session.next.as_ref().map_or(0, |next| next.number);
        let hold = Hold {
            session: id,
            ballot: session.ballot,
            holder: session.holder.map_or(0, |h| h.0),
            journal: session.journal.told(),
            confirmed: session.confirmed,
            from: session.from,
            tag: generation,
            keep_ms,
            configuration: if old { session.keepers.number } else { next },
        };
        if let Some(vote) = session.vote(member.server) {
            vote.sent = Some(generation);
            vote.written = None;
        }
        out.push(Command::Call { server: ServerId(member.server), call: Call::new(call::Body::Hold(hold)) });
    }

    fn on_stored(&mut self, server: ServerId, stored: Stored, out: &mut Vec<Command>) {
        let id = stored.session;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if let State::Claiming(claim) = &mut session.state {
            if claim.ballot == stored.ballot
                && let Some((pointer, has)) = &mut claim.mending
                && pointer.to.number == stored.pointer
                && !has.contains(&server.0)
            {
                has.push(server.0);
                self.on_mended(id, out);
            }
            return;
        }
        if session.ballot != stored.ballot {
            return;
        }
        let next = session.next.as_ref().map(|next| next.number);
        let Some(vote) = session.vote(server.0) else { return };
        vote.upto = vote.upto.max(stored.upto);
        if stored.tag != 0 && vote.sent == Some(stored.tag) {
            vote.written = vote.sent.take();
        }
        vote.pointed |= stored.pointer != 0 && Some(stored.pointer) == next;
        self.progress(id, out);
    }

    /// Something of a session is at more keepers than before.
    pub(super) fn progress(&mut self, id: SessionId, out: &mut Vec<Command>) {
        self.change_keepers(id, out);
        self.pass_saves(id, out);
        self.grant(id, out);
    }

    fn on_refused(&mut self, server: ServerId, refused: Refused, out: &mut Vec<Command>) {
        let id = refused.session;
        let why = Why::try_from(refused.why).unwrap_or(Why::Unknown);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if matches!(session.state, State::Claiming(_)) {
            self.on_claim_refused(server, refused, why, out);
            return;
        }
        if session.ballot != refused.ballot {
            return;
        }
        let Some(vote) = session.vote(server.0) else { return };
        (vote.written, vote.sent) = (None, None);
        match why {
            Why::Outbid | Why::Leased | Why::Stale => {
                // Marked as the member of a life that it never had: it counts no more, and is replaced.
                vote.member.incarnation = 0;
                vote.upto = 0;
                let outbid = |v: &Vote| v.member.incarnation == 0;
                let mine =
                    |m: &Member| session.votes.iter().any(|v| v.member.server == m.server && outbid(v));
                let count = session.keepers.members.iter().filter(|m| mine(m)).count();
                if count >= session.keepers.majority() {
                    self.lost(id, out);
                } else {
                    self.review(id);
                }
            }
            Why::Full => {
                if let Some(server) = self.servers.get_mut(&server.0) {
                    server.full_until = self.now + FULL_MS;
                }
                self.review(id);
            }
            Why::Unknown | Why::Unwritten => self.review(id),
        }
    }

    /// True if a keeper is to be replaced.
    fn is_lost(&self, vote: &Vote) -> bool {
        let Some(server) = self.servers.get(&vote.member.server) else { return true };
        let down = match server.link {
            Link::Up(incarnation) if incarnation != vote.member.incarnation => return true,
            Link::Up(_) => server.lapsed && server.lease_until > 0.0,
            Link::Making | Link::Down => {
                self.now - server.down_since >= self.settings.lease_ms * GIVEN_UP && server.failures > 0
            }
        };
        down || server.listed.is_none_or(|l| !l.ready) || server.full_until > self.now
    }

    /// Begins to replace keepers that are lost.
    fn replace_keepers(&mut self, id: SessionId, out: &mut Vec<Command>) {
        let Some(session) = self.sessions.get(&id) else { return };
        let stands = matches!(session.state, State::Standing | State::Away);
        if !stands || session.next.is_some() || session.keepers.members.is_empty() {
            return;
        }
        let holder = session.holder;
        let lost = |v: &&Vote| self.is_lost(v) || Some(ServerId(v.member.server)) == holder;
        let stay: Vec<_> =
            session.votes.iter().filter(|v| !lost(v)).map(|v| ServerId(v.member.server)).collect();
        if stay.len() == session.keepers.members.len() && stay.len() >= self.settings.replicas {
            return;
        }
        let candidates = self.candidates();
        let chosen = placement::choose(id, &candidates, self.settings.replicas, &stay, holder);
        let member = |s: &ServerId| {
            let incarnation = self.servers.get(&s.0)?.incarnation()?;
            Some(Member { server: s.0, incarnation })
        };
        let Some(members) = chosen.iter().map(member).collect::<Option<Vec<_>>>() else { return };
        let better = members.iter().any(|m| !session.keepers.members.contains(m))
            && members.len() >= session.keepers.members.len()
            && holder.is_none_or(|h| !chosen.contains(&h) || chosen.len() == 1);
        // A majority of those that are must agree; without it there is nothing to be done.
        if !better || !session.quorum(false, |v| v.written.is_some()) {
            return;
        }
        let number = session.keepers.number + 1;
        let new: Vec<_> =
            members.iter().filter(|m| !session.votes.iter().any(|v| v.member == **m)).copied().collect();
        let session = self.sessions.get_mut(&id).expect("just seen");
        // One that has begun anew, or has outbid this owner, gives its place to its new self.
        session.votes.retain(|v| !new.iter().any(|m| m.server == v.member.server));
        session.votes.extend(new.iter().copied().map(Vote::new));
        session.next = Some(Configuration { number, members });
        session.pointing = false;
        for member in new {
            self.kept.entry(member.server).or_default().insert(id);
            self.write(id, member, out);
        }
    }

    /// Goes on with a change of keepers: first the record at a majority of the new ones, then the
    /// pointer at a majority of the old ones.
    fn change_keepers(&mut self, id: SessionId, out: &mut Vec<Command>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(next) = session.next.clone() else { return };
        let has =
            |m: &Member, of: &dyn Fn(&Vote) -> bool| session.votes.iter().any(|v| v.member == *m && of(v));
        if !session.pointing {
            let written = next.members.iter().filter(|m| has(m, &|v| v.written.is_some())).count();
            if written < next.majority() {
                return;
            }
            session.pointing = true;
            let pointer = Pointer { ballot: session.ballot, to: next };
            let point = call::Body::Point(Point { session: id, pointer });
            let members = session.keepers.members.clone();
            self.call_all(&members, &point, out);
            return;
        }
        let pointed = session.keepers.members.iter().filter(|m| has(m, &|v| v.pointed)).count();
        if pointed < session.keepers.majority() {
            return;
        }
        let left: Vec<_> = session
            .votes
            .iter()
            .map(|v| v.member)
            .filter(|m| !next.members.iter().any(|n| n.server == m.server))
            .collect();
        session.votes.retain(|v| next.members.contains(&v.member));
        session.votes.iter_mut().for_each(|v| v.pointed = false);
        let configuration = next.number;
        session.keepers = next;
        session.next = None;
        session.pointing = false;
        session.token_at = self.now;
        for member in left {
            self.unkeep(member.server, id);
        }
        out.push(Command::Log(LogEvent::ReplicasChanged { session: id, configuration }));
        self.schedule(id);
        self.review(id);
    }

    /// Another claim has been promised by a majority.
    pub(super) fn lost(&mut self, id: SessionId, out: &mut Vec<Command>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let epoch = session.ballot.epoch;
        out.push(Command::Log(LogEvent::TakenOver { session: id, epoch }));
        match (&session.state, session.request) {
            (State::Standing, Some(request)) => {
                session.state = State::Ending;
                out.push(Command::Taken(request));
            }
            (State::Asked | State::Claimed, Some(request)) => {
                session.state = State::Ending;
                out.push(Command::ReplyBusy { request, retry_after_ms: 0.0 });
            }
            (State::Away, _) => {
                self.remove(id);
            }
            _ => {}
        }
    }

    /// Tells keepers that a session is nobody's any more.
    pub(super) fn release(
        &self,
        members: &[Member],
        id: SessionId,
        ballot: Ballot,
        over: bool,
        out: &mut Vec<Command>,
    ) {
        let release = marllink_lease_protocol::Release { session: id, ballot, over };
        self.call_all(members, &call::Body::Release(release), out);
    }
}
