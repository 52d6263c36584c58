//! A request's way from a token to a session that is its own.

use super::{Due, Sessions};
use crate::claim::{Answer, Claim, Step};
use crate::interface::{Command, LogEvent, Rejection, SessionRequest};
use crate::session::{Session, State};
use crate::token::Token;
use marllink::{Millis, RequestId, ServerId};
use marllink_lease_protocol::{
    Ballot, Call, Claim as ClaimCall, Configuration, LetGo, Point, Pointer, Promised, Refused, SessionId,
    Why, call,
};
use rand_xoshiro::rand_core::Rng;

/// Who meets another claim on the same session is told to come again after about so long in ms: the
/// other has it by then, or has given up.
const CONFLICT_MS: Millis = 400.0;
/// Two that bid against each other wait so long in ms at least, and up to twice that.
const BACKOFF_MS: Millis = 20.0;
/// A holder that is asked to let go does so within this time in ms, or is cut off.
const LET_GO_MS: Millis = 200.0;
/// What a request needs after its claim to be served in, in ms: a claim must not use it up.
const SPARE_MS: Millis = 200.0;
/// After the end of a lease so long passes before the next claim, in ms.
const AFTER_LEASE_MS: Millis = 5.0;

impl Sessions {
    pub(super) fn on_begin(
        &mut self,
        request: RequestId,
        session_request: &SessionRequest,
        wait_ms: Millis,
        out: &mut Vec<Command>,
    ) {
        if self.requests.contains_key(&request) {
            return;
        }
        let text = match session_request {
            SessionRequest::New => return self.begin_new(request, out),
            SessionRequest::Resume(text) => text,
        };
        let token = match Token::validate(text, &self.keys, self.unix()) {
            Ok(token) => token,
            Err(error) => {
                out.push(Command::ReplyError { request, reason: Rejection::Token(error) });
                return;
            }
        };
        let id = token.session;
        let until = self.now + self.settings.claim_timeout_ms.min(wait_ms - SPARE_MS);
        let Some(session) = self.sessions.get_mut(&id) else {
            if !self.has_room(0) {
                return self.refuse(request, CONFLICT_MS, out);
            }
            self.insert(Session::new(id, State::Away, None, self.now));
            return self.claim(id, request, token.epoch, Some(token.replicas), until, out);
        };
        if token.epoch < session.confirmed {
            out.push(Command::ReplyError { request, reason: Rejection::Replayed });
            return;
        }
        match session.state {
            State::Away => self.claim(id, request, token.epoch, None, until, out),
            // The newcomer has the better claim: the other connection may be half open, and whoever sits
            // at it is told.
            State::Standing if session.successor.is_none() => {
                session.successor = Some((request, token.epoch, until));
                session.state = State::Ending;
                let taken = session.request;
                self.requests.insert(request, id);
                out.extend(taken.map(Command::Taken));
            }
            State::Ending if session.successor.is_none() => {
                session.successor = Some((request, token.epoch, until));
                self.requests.insert(request, id);
            }
            _ => self.refuse(request, CONFLICT_MS, out),
        }
    }

    fn begin_new(&mut self, request: RequestId, out: &mut Vec<Command>) {
        // What nobody could keep must not begin.
        if !self.has_room(0) || self.candidates().is_empty() {
            return self.refuse(request, CONFLICT_MS, out);
        }
        let id = SessionId { hi: self.rng.next_u64(), lo: self.rng.next_u64() };
        self.insert(Session::new(id, State::Claimed, Some(request), self.now));
        out.push(Command::Proceed(request));
    }

    /// Makes room for one more session with so many bytes: those whose client is away can do without this
    /// caretaker, as their keepers have all of it.
    fn has_room(&mut self, bytes: usize) -> bool {
        let full = |this: &Self| {
            this.sessions.len() >= this.settings.max_sessions
                || bytes > 0 && this.bytes + bytes > this.settings.max_total_journals_bytes
        };
        while full(self) {
            let away = self.sessions.values().filter(|s| matches!(s.state, State::Away));
            let Some(first) = away.min_by(|a, b| a.expires_at.total_cmp(&b.expires_at).then(a.id.cmp(&b.id)))
            else {
                return false;
            };
            let id = first.id;
            self.remove(id);
        }
        true
    }

    /// Claims a session for a request, by the keepers that are known or that a token names.
    pub(super) fn claim(
        &mut self,
        id: SessionId,
        request: RequestId,
        token_epoch: u64,
        keepers: Option<Configuration>,
        until: Millis,
        out: &mut Vec<Command>,
    ) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let known = keepers.is_none();
        let epoch = if known { session.ballot.epoch.max(token_epoch) } else { token_epoch };
        let mut claim = Claim {
            request,
            token_epoch,
            ballot: Ballot { epoch: epoch + 1, attempt: 0 },
            keepers: Configuration::default(),
            answers: Vec::new(),
            until,
            again_at: f64::INFINITY,
            proof: None,
            asked: None,
            mending: None,
            known,
        };
        claim.ask(keepers.unwrap_or_else(|| session.keepers.clone()));
        session.state = State::Claiming(Box::new(claim));
        session.request = Some(request);
        session.asked_at = now;
        self.requests.insert(request, id);
        self.claims.insert(id);
        self.ask_keepers(id, None, out);
    }

    /// Asks the keepers that have not answered: all of them, or one that is linked only now.
    pub(super) fn ask_keepers(&mut self, id: SessionId, only: Option<u64>, out: &mut Vec<Command>) {
        let Some(State::Claiming(claim)) = self.sessions.get_mut(&id).map(|s| &mut s.state) else { return };
        let call = ClaimCall {
            session: id,
            ballot: claim.ballot,
            configuration: claim.keepers.number,
            token_epoch: claim.token_epoch,
            proof: claim.proof,
        };
        // A holder that was to be asked, and is linked only now.
        let asked = claim.asked.filter(|h| only == Some(h.server) && claim.proof < Some(h.ballot));
        let members = claim.keepers.members.clone();
        let waiting: Vec<_> =
            members.into_iter().zip(&claim.answers).filter(|(_, a)| matches!(a, Answer::Waiting)).collect();
        let waiting: Vec<_> = waiting.into_iter().map(|(m, _)| m).collect();
        for member in waiting.into_iter().filter(|m| only.is_none_or(|only| only == m.server)) {
            match self.servers.get(&member.server) {
                Some(server) if server.is(member.incarnation) => {
                    let server = ServerId(member.server);
                    out.push(Command::Call { server, call: Call::new(call::Body::Claim(call)) });
                }
                // It has begun anew, and forgotten.
                Some(server) if server.linked() => {
                    if let Some(State::Claiming(claim)) = self.sessions.get_mut(&id).map(|s| &mut s.state)
                        && let Some(answer) = claim.answer(member.server)
                    {
                        *answer = Answer::None;
                    }
                }
                _ => self.want(member.server, out),
            }
        }
        if let Some(holder) = asked {
            self.ask_holder(id, holder.server, holder.ballot, out);
        }
        self.evaluate(id, out);
    }

    fn ask_holder(&mut self, id: SessionId, holder: u64, ballot: Ballot, out: &mut Vec<Command>) {
        if self.servers.get(&holder).is_some_and(super::Server::linked) {
            let call = Call::new(call::Body::LetGo(LetGo { session: id, ballot }));
            out.push(Command::Call { server: ServerId(holder), call });
        } else {
            self.want(holder, out);
        }
    }

    /// Does what follows from the answers so far.
    fn evaluate(&mut self, id: SessionId, out: &mut Vec<Command>) {
        let now = self.now;
        let backoff = BACKOFF_MS * (1.0 + self.uniform());
        let Some(State::Claiming(claim)) = self.sessions.get_mut(&id).map(|s| &mut s.state) else { return };
        claim.again_at = f64::INFINITY;
        match claim.step() {
            Step::Wait => {}
            Step::Won(record) => return self.won(id, *record, out),
            Step::Follow(keepers) => {
                claim.ask(keepers);
                return self.ask_keepers(id, None, out);
            }
            Step::Mend(pointer) => {
                if claim.mending.as_ref().is_none_or(|(other, _)| other.to != pointer.to) {
                    let pointer = Pointer { ballot: claim.ballot, to: pointer.to };
                    claim.mending = Some((pointer.clone(), Vec::new()));
                    let members = claim.keepers.members.clone();
                    self.call_all(&members, &call::Body::Point(Point { session: id, pointer }), out);
                }
            }
            Step::Bid(_) => claim.again_at = now + backoff,
            Step::Ask(holder) => {
                claim.asked = Some(holder);
                claim.again_at = now + LET_GO_MS;
                self.ask_holder(id, holder.server, holder.ballot, out);
            }
            Step::Later(left) => {
                let at = now + left + AFTER_LEASE_MS;
                if at <= claim.until {
                    claim.again_at = at;
                } else if !claim.answers.iter().any(|a| matches!(a, Answer::Waiting)) {
                    return self.decline(id, left, out);
                }
            }
            Step::Lost => return self.reject(id, Rejection::ReplicasLost, out),
        }
        self.schedule(id);
    }

    /// The time of a claim has come, for one thing or another.
    pub(super) fn on_claim_due(&mut self, id: SessionId, out: &mut Vec<Command>) {
        let now = self.now;
        let Some(State::Claiming(claim)) = self.sessions.get_mut(&id).map(|s| &mut s.state) else { return };
        if now >= claim.until {
            return self.decline(id, CONFLICT_MS, out);
        }
        if now >= claim.again_at {
            claim.again_at = f64::INFINITY;
            let promised = claim.answers.iter().filter_map(|a| match a {
                Answer::Outbid(promised) | Answer::Leased { promised, .. } => Some(promised.epoch),
                _ => None,
            });
            match promised.max() {
                Some(epoch) if epoch >= claim.ballot.epoch => claim.bid(epoch + 1),
                _ => claim.ask_again(),
            }
            return self.ask_keepers(id, None, out);
        }
        self.schedule(id);
    }

    pub(super) fn on_promised(&mut self, server: ServerId, promised: Promised, out: &mut Vec<Command>) {
        let id = promised.session;
        let Some(State::Claiming(claim)) = self.sessions.get_mut(&id).map(|s| &mut s.state) else { return };
        if claim.ballot != promised.ballot {
            return;
        }
        if let Some(answer) = claim.answer(server.0) {
            *answer = Answer::Promised(Box::new(promised));
            self.evaluate(id, out);
        }
    }

    pub(super) fn on_claim_refused(
        &mut self,
        server: ServerId,
        refused: Refused,
        why: Why,
        out: &mut Vec<Command>,
    ) {
        let id = refused.session;
        let Some(State::Claiming(claim)) = self.sessions.get_mut(&id).map(|s| &mut s.state) else { return };
        if claim.ballot != refused.ballot {
            return;
        }
        if why == Why::Stale {
            return self.reject(id, Rejection::Replayed, out);
        }
        let Some(answer) = claim.answer(server.0) else { return };
        *answer = match why {
            Why::Leased => Answer::Leased {
                left_ms: f64::from(refused.left_ms),
                holder: refused.holder,
                promised: refused.promised,
            },
            Why::Outbid => Answer::Outbid(refused.promised),
            _ => Answer::None,
        };
        self.evaluate(id, out);
    }

    /// A holder has let go.
    pub(super) fn on_let_go(&mut self, server: ServerId, gone: LetGo, out: &mut Vec<Command>) {
        let Some(State::Claiming(claim)) = self.sessions.get_mut(&gone.session).map(|s| &mut s.state) else {
            return;
        };
        if claim.asked.is_none_or(|h| h.server != server.0 || gone.ballot < h.ballot) {
            return;
        }
        claim.proof = claim.proof.max(Some(gone.ballot));
        claim.again_at = self.now;
        self.on_claim_due(gone.session, out);
    }

    /// A pointer is at one more of the keepers that it leads away from.
    pub(super) fn on_mended(&mut self, id: SessionId, out: &mut Vec<Command>) {
        let Some(State::Claiming(claim)) = self.sessions.get_mut(&id).map(|s| &mut s.state) else { return };
        let done = |(pointer, has): &mut (Pointer, Vec<u64>)| {
            (has.len() >= claim.keepers.majority()).then(|| pointer.to.clone())
        };
        if let Some(keepers) = claim.mending.as_mut().and_then(done) {
            claim.ask(keepers);
            self.ask_keepers(id, None, out);
        }
    }

    /// The session is the claimer's.
    fn won(&mut self, id: SessionId, record: Promised, out: &mut Vec<Command>) {
        let Some(mut session) = self.remove(id) else { return };
        let State::Claiming(claim) = session.state else { return };
        let request = claim.request;
        let journal = crate::journal::Journal::from(record.journal);
        let confirmed = claim.answers.iter().map(|a| match a {
            Answer::Promised(p) => p.confirmed,
            _ => 0,
        });
        session.confirmed = confirmed.max().unwrap_or_default();
        session.state = State::Claimed;
        session.request = Some(request);
        session.successor = None;
        session.keep_by(claim.keepers);
        session.bid(claim.ballot);
        session.expires_at = self.now + self.settings.token_validity_ms;
        if !self.has_room(journal.bytes()) {
            let members = session.keepers.members.clone();
            self.release(&members, id, session.ballot, false, out);
            return self.refuse(request, CONFLICT_MS, out);
        }
        session.journal = journal;
        self.insert(session);
        out.push(Command::Proceed(request));
    }

    /// Gives a claim up, whatever becomes of its request.
    pub(super) fn abandon(&mut self, id: SessionId, out: &mut Vec<Command>) -> Option<RequestId> {
        let Some(State::Claiming(claim)) = self.sessions.get_mut(&id).map(|s| &mut s.state) else {
            return None;
        };
        let (request, ballot, known) = (claim.request, claim.ballot, claim.known);
        let members = claim.keepers.members.clone();
        self.release(&members, id, ballot, false, out);
        self.claims.remove(&id);
        self.requests.remove(&request);
        if known {
            // Its keepers may have promised the claim, and outbid this caretaker by that: it will see.
            let session = self.sessions.get_mut(&id).expect("just seen");
            session.state = State::Away;
            session.request = None;
            self.schedule(id);
        } else {
            self.remove(id);
        }
        Some(request)
    }

    fn decline(&mut self, id: SessionId, about_ms: Millis, out: &mut Vec<Command>) {
        if let Some(State::Claiming(claim)) = self.sessions.get(&id).map(|s| &s.state) {
            let count = |of: fn(&Answer) -> bool| claim.answers.iter().filter(|a| of(a)).count();
            out.push(Command::Log(LogEvent::ClaimDeclined {
                session: id,
                configuration: claim.keepers.number,
                promised: count(|a| matches!(a, Answer::Promised(_))),
                unanswered: count(|a| matches!(a, Answer::Waiting)),
                no_record: count(|a| matches!(a, Answer::None)),
                refused: count(|a| matches!(a, Answer::Outbid(_) | Answer::Leased { .. })),
            }));
        }
        if let Some(request) = self.abandon(id, out) {
            self.refuse(request, about_ms.max(CONFLICT_MS / 4.0), out);
        }
    }

    fn reject(&mut self, id: SessionId, reason: Rejection, out: &mut Vec<Command>) {
        if let Some(request) = self.abandon(id, out) {
            out.push(Command::ReplyError { request, reason });
        }
    }

    /// Has a session looked at when something of it is due next.
    pub(super) fn schedule(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let at = match &session.state {
            State::Claiming(claim) => claim.until.min(claim.again_at),
            State::Standing => {
                session.token_at.min(if session.leased { session.hold_until } else { f64::INFINITY })
            }
            State::Away => session.expires_at,
            State::Ending => session.successor.map_or(f64::INFINITY, |(.., until)| until),
            State::Claimed | State::Asked => f64::INFINITY,
        };
        self.timers.set(Due::Session(id), at);
    }
}
