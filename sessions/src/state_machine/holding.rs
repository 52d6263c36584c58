//! A session with a form host: leases, saves, tokens, and its end.

use super::{Due, Sessions};
use crate::interface::{Command, LogEvent, SessionHandover};
use crate::journal::NotTaken;
use crate::placement;
use crate::session::{Session, State};
use crate::token::Token;
use marllink::{Millis, RequestId, ServerId};
use marllink_lease_protocol::{Append, Ballot, Configuration, Confirm, Field, Member, SessionId, call};
use rand_xoshiro::rand_core::Rng;

/// A holder's first lease is no shorter than this share of a whole one: it would have to ask again
/// before it has taken the session.
const FIRST_LEASE: f64 = 0.5;
/// Tokens that are all due at once, as after a change of keys, are spread over so long in ms.
const TOKENS_OVER_MS: Millis = 1_000.0;
/// Who can't be kept by anybody now is told to come again after about so long in ms.
const NO_KEEPERS_MS: Millis = 500.0;

impl Sessions {
    /// The session whose own connection this request is.
    fn own(&mut self, request: RequestId) -> Option<&mut Session> {
        let id = self.id_of(request)?;
        self.sessions.get_mut(&id).filter(|s| s.request == Some(request))
    }

    pub(super) fn on_attempt(&mut self, request: RequestId, server: ServerId, out: &mut Vec<Command>) {
        let Some(session) = self.own(request) else { return };
        if !matches!(session.state, State::Claimed) {
            return;
        }
        let id = session.id;
        if session.keepers.members.is_empty() {
            let members = self.choose_keepers(id, server);
            if members.is_empty() {
                let session = self.sessions.get_mut(&id).expect("just seen");
                session.state = State::Ending;
                return self.refuse(request, NO_KEEPERS_MS, out);
            }
            for member in &members {
                self.kept.entry(member.server).or_default().insert(id);
            }
            let session = self.sessions.get_mut(&id).expect("just seen");
            session.keep_by(Configuration { number: 1, members });
        }
        let session = self.sessions.get_mut(&id).expect("just seen");
        let Ballot { epoch, attempt } = session.ballot;
        session.bid(Ballot { epoch, attempt: attempt + 1 });
        session.holder = Some(server);
        session.state = State::Asked;
        session.leased = false;
        session.hold_until = 0.0;
        session.asks = None;
        session.pending.clear();
        session.sent = session.journal.upto();
        session.applied = session.sent;
        let members = session.keepers.members.clone();
        self.asking.remove(&id);
        for member in members {
            self.want(member.server, out);
        }
        self.look_after(id, out);
    }

    fn choose_keepers(&self, id: SessionId, holder: ServerId) -> Vec<Member> {
        let chosen = placement::choose(id, &self.candidates(), self.settings.replicas, &[], Some(holder));
        let member = |s: ServerId| {
            let incarnation = self.servers.get(&s.0)?.incarnation()?;
            Some(Member { server: s.0, incarnation })
        };
        chosen.into_iter().filter_map(member).collect()
    }

    pub(super) fn on_renews(&mut self, request: RequestId, k: u64, out: &mut Vec<Command>) {
        let Some(session) = self.own(request) else { return };
        if matches!(session.state, State::Asked | State::Standing) {
            session.asks = Some(k);
            let id = session.id;
            self.asking.insert(id);
            self.grant(id, out);
        }
    }

    /// Renewals at a keeper may have made leases longer for which holders wait.
    pub(super) fn grant_all(&mut self, server: u64, out: &mut Vec<Command>) {
        if self.asking.is_empty() {
            return;
        }
        let kept = self.kept.get(&server);
        let mut waiting: Vec<_> =
            self.asking.iter().filter(|id| kept.is_some_and(|k| k.contains(id))).copied().collect();
        waiting.sort_unstable();
        waiting.into_iter().for_each(|id| self.grant(id, out));
    }

    /// Answers a holder that has asked for a lease, as far as its keepers' leases cover it.
    pub(super) fn grant(&mut self, id: SessionId, out: &mut Vec<Command>) {
        let (now, clock_drift_ratio) = (self.now, self.settings.clock_drift_ratio);
        let least = self.settings.lease_ms * FIRST_LEASE;
        let Some(session) = self.sessions.get(&id) else { return };
        let (Some(k), Some(request)) = (session.asks, session.request) else { return };
        if !matches!(session.state, State::Asked | State::Standing) {
            return;
        }
        let covered = self.covered_until(id);
        let ms = ((covered - now) * (1.0 - clock_drift_ratio)).floor();
        let session = self.sessions.get_mut(&id).expect("just seen");
        if ms < 1.0 || (!session.leased && ms < least) {
            return;
        }
        let mut lines = format!("LEASE {k} {ms}\r\n").into_bytes();
        session.asks = None;
        session.hold_until = session.hold_until.max(covered);
        if !session.leased {
            session.leased = true;
            let fields = session.journal.in_order();
            for (n, name, value) in &fields {
                lines.extend(format!("FIELD {n} {name}=").bytes());
                lines.extend_from_slice(value);
                lines.extend(b"\r\n");
            }
            lines.extend(format!("STATE {} {}\r\n", session.journal.upto(), fields.len()).bytes());
        }
        self.asking.remove(&id);
        out.push(Command::SendToServer { request, lines });
        self.schedule(id);
    }

    pub(super) fn on_established(&mut self, request: RequestId, out: &mut Vec<Command>) {
        let now = self.now;
        let Some(session) = self.own(request) else { return };
        if !matches!(session.state, State::Asked) || !session.leased {
            return;
        }
        session.state = State::Standing;
        session.token_at = now;
        let id = session.id;
        out.push(Command::Log(LogEvent::Held {
            session: id,
            request,
            server: session.holder.unwrap_or_default(),
            epoch: session.ballot.epoch,
            upto: session.journal.upto(),
            resumed: session.ballot.epoch > 1,
            took_ms: now - session.asked_at,
        }));
        self.issue_token(id, out);
        self.review(id);
    }

    /// Gives the client a token of now.
    fn issue_token(&mut self, id: SessionId, out: &mut Vec<Command>) {
        let (now, unix, lasts) = (self.now, self.unix(), self.settings.token_validity_ms);
        let mut nonce = [0; 24];
        nonce.chunks_mut(8).for_each(|part| part.copy_from_slice(&self.rng.next_u64().to_le_bytes()));
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let token = Token {
            session: id,
            epoch: session.ballot.epoch,
            upto: session.applied,
            holder: session.holder.map_or(0, |h| h.0),
            replicas: session.keepers.clone(),
            issued_ms: unix as u64,
            expires_ms: (unix + lasts) as u64,
        };
        session.token_at = now + lasts / 2.0;
        session.expires_at = now + lasts;
        if let (Some(request), Some(text)) = (session.request, token.seal(&self.keys, nonce, unix)) {
            out.push(Command::SendToClient { request, lines: format!("TOKEN {text}\r\n").into_bytes() });
        }
        self.schedule(id);
    }

    pub(super) fn on_saves(&mut self, request: RequestId, field: Field, out: &mut Vec<Command>) {
        let (bound, room) = (
            self.settings.max_journal_bytes,
            self.settings.max_total_journals_bytes.saturating_sub(self.bytes),
        );
        let Some(session) = self.own(request) else { return };
        if !matches!(session.state, State::Standing) {
            return;
        }
        let id = session.id;
        let before = session.journal.bytes();
        match session.journal.save(&field, bound.min(before.saturating_add(room))) {
            Err(NotTaken::Known) if field.n <= session.applied => {
                out.push(Command::SendToClient {
                    request,
                    lines: format!("SAVED {}\r\n", field.n).into_bytes(),
                });
            }
            // It is on its way.
            Err(NotTaken::Known) => {}
            Err(NotTaken::Gap) => {
                let next = session.journal.upto() + 1;
                out.push(Command::SendToClient { request, lines: format!("GAP {next}\r\n").into_bytes() });
            }
            Err(NotTaken::Full) => {
                out.push(Command::SendToClient {
                    request,
                    lines: format!("FULL {}\r\n", field.n).into_bytes(),
                });
            }
            Ok(()) => {
                let after = session.journal.bytes();
                session.pending.push_back(field.clone());
                // A client that saves under this epoch has its token.
                session.confirmed = session.ballot.epoch;
                let append = Append { session: id, ballot: session.ballot, field };
                let told = |v: &&crate::session::Vote| v.written.is_some() || v.sent.is_some();
                let members: Vec<_> = session.votes.iter().filter(told).map(|v| v.member).collect();
                self.bytes = self.bytes - before + after;
                self.call_all(&members, &call::Body::Append(append), out);
            }
        }
    }

    /// Gives the holder the saves that outlive it.
    pub(super) fn pass_saves(&mut self, id: SessionId, out: &mut Vec<Command>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(request) = session.request.filter(|_| matches!(session.state, State::Standing)) else {
            return;
        };
        if session.pending.is_empty() {
            return;
        }
        let durable = session.durable();
        let mut lines = Vec::new();
        while session.pending.front().is_some_and(|f| f.n <= durable) {
            let Some(field) = session.pending.pop_front() else { break };
            lines.extend(format!("SAVE {} {}=", field.n, field.name).bytes());
            lines.extend_from_slice(&field.value);
            lines.extend(b"\r\n");
            session.sent = field.n;
        }
        if !lines.is_empty() {
            out.push(Command::SendToServer { request, lines });
        }
    }

    pub(super) fn on_has(&mut self, request: RequestId, out: &mut Vec<Command>) {
        let Some(session) = self.own(request) else { return };
        if matches!(session.state, State::Standing) && session.confirmed < session.ballot.epoch {
            session.confirmed = session.ballot.epoch;
            let confirm = Confirm { session: session.id, ballot: session.ballot };
            let members: Vec<_> = session.votes.iter().map(|v| v.member).collect();
            self.call_all(&members, &call::Body::Confirm(confirm), out);
        }
    }

    pub(super) fn on_saved(&mut self, request: RequestId, n: u64) {
        if let Some(session) = self.own(request) {
            session.applied = session.applied.max(n.min(session.sent));
        }
    }

    pub(super) fn on_attempt_ended(&mut self, request: RequestId, over: bool, out: &mut Vec<Command>) {
        let Some(session) = self.own(request) else { return };
        let id = session.id;
        session.holder = None;
        session.leased = false;
        session.hold_until = 0.0;
        session.asks = None;
        match session.state {
            // The request may go on to another form host, which gets a ballot of its own.
            State::Asked => session.state = State::Claimed,
            State::Standing | State::Ending => self.let_go(id, over, out),
            State::Claiming(_) | State::Claimed | State::Away => {}
        }
        self.asking.remove(&id);
        self.schedule(id);
    }

    /// Nobody holds a session any more that this process has had.
    fn let_go(&mut self, id: SessionId, over: bool, out: &mut Vec<Command>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        // One that never stood has no client that could come again.
        let over = over || session.expires_at.is_infinite();
        let members: Vec<_> = session.votes.iter().map(|v| v.member).collect();
        let ballot = session.ballot;
        let request = session.request.take();
        let successor = session.successor.take();
        session.state = State::Away;
        session.pending.clear();
        session.sent = session.journal.upto();
        session.applied = session.sent;
        if let Some(request) = request {
            self.requests.remove(&request);
        }
        self.release(&members, id, ballot, over, out);
        if over {
            self.remove(id);
            if let Some((request, ..)) = successor {
                self.requests.remove(&request);
                self.refuse(request, NO_KEEPERS_MS, out);
            }
        } else if let Some((request, epoch, until)) = successor {
            self.claim(id, request, epoch, None, until, out);
        }
    }

    pub(super) fn on_closed(&mut self, request: RequestId, out: &mut Vec<Command>) {
        let Some(id) = self.id_of(request) else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.successor.is_some_and(|(waits, ..)| waits == request) {
            session.successor = None;
            self.requests.remove(&request);
            return;
        }
        if session.request != Some(request) {
            return;
        }
        match session.state {
            State::Claiming(_) => {
                self.abandon(id, out);
            }
            State::Claimed => self.let_go(id, false, out),
            State::Asked | State::Standing if session.holder.is_none() => self.let_go(id, false, out),
            State::Asked | State::Standing => session.state = State::Ending,
            State::Ending if session.holder.is_none() => self.let_go(id, false, out),
            State::Ending | State::Away => {}
        }
        self.schedule(id);
    }

    pub(super) fn on_adopt(
        &mut self,
        request: RequestId,
        server: ServerId,
        handover: SessionHandover,
        out: &mut Vec<Command>,
    ) {
        let id = handover.session;
        self.remove(id);
        let mut session = Session::new(id, State::Standing, Some(request), self.now);
        session.keep_by(handover.replicas);
        session.bid(handover.ballot);
        session.from = handover.owner;
        session.confirmed = handover.confirmed_epoch;
        session.journal = handover.journal.into();
        session.sent = session.journal.upto();
        session.applied = session.sent;
        session.holder = Some(server);
        session.leased = true;
        session.hold_until = self.now + handover.hold_ms;
        session.expires_at = self.now + self.settings.token_validity_ms;
        session.token_at = self.now + TOKENS_OVER_MS * (1.0 + self.uniform());
        let members: Vec<_> = session.keepers.members.clone();
        self.insert(session);
        for member in members {
            self.want(member.server, out);
        }
        self.look_after(id, out);
        self.schedule(id);
    }

    /// Every client gets a token that the new keys open, before the old ones may be withdrawn.
    pub(super) fn on_keys(&mut self, keys: crate::keys::KeyRing) {
        self.keys = keys;
        let standing = |s: &&Session| matches!(s.state, State::Standing);
        let mut all: Vec<_> = self.sessions.values().filter(standing).map(|s| s.id).collect();
        all.sort_unstable();
        for id in all {
            let at = self.now + TOKENS_OVER_MS * self.uniform();
            if let Some(session) = self.sessions.get_mut(&id) {
                session.token_at = at;
            }
            self.schedule(id);
        }
    }

    pub(super) fn on_session_due(&mut self, id: SessionId, out: &mut Vec<Command>) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        match &session.state {
            State::Claiming(_) => self.on_claim_due(id, out),
            State::Standing if session.leased && session.hold_until <= now => {
                // Its form host has let go by now: it is silent, or its keepers are.
                session.state = State::Ending;
                out.extend(session.request.map(Command::Move));
            }
            State::Standing if session.token_at <= now => self.issue_token(id, out),
            State::Away if session.expires_at <= now => {
                let members: Vec<_> = session.votes.iter().map(|v| v.member).collect();
                let ballot = session.ballot;
                self.release(&members, id, ballot, true, out);
                self.remove(id);
            }
            State::Ending => {
                if let Some((request, ..)) = session.successor.take_if(|(.., until)| *until <= now) {
                    self.requests.remove(&request);
                    self.refuse(request, NO_KEEPERS_MS, out);
                }
            }
            _ => self.timers.clear(Due::Session(id)),
        }
        self.schedule(id);
    }
}
