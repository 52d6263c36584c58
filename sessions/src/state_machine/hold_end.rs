//! The end of a server's hold on a session. The balancer's end of a connection proves nothing about it: the
//! session is free once the server has closed the connection in order, has confirmed the release, or its lease
//! has expired.

use super::Sessions;
use crate::interface::{Command, LogEvent};
use crate::session::{Session, State};
use marllink::ServerId;
use marllink_lease_protocol::{LetGo, SessionId};

impl Sessions {
    /// Keeps a session that the server of a lost connection may hold: the server may not have noticed the loss.
    pub(super) fn await_lease_expiry(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(server) = session.holder else { return };
        let was_attempting = matches!(session.state, State::Attempting);
        let hold_ms = session.hold_until - now;
        let request = session.request;
        session.state = State::Expiring;
        self.expiring.insert(id);
        commands.push(Command::Log(LogEvent::HolderLost { session: id, server, hold_ms }));
        if let Some(request) = request.filter(|_| was_attempting) {
            self.reply_busy(request, hold_ms, commands);
        }
        self.request_release_of_expiring(id, commands);
    }

    /// Requests the server of a lost connection to release the session, so that its lease need not expire.
    fn request_release_of_expiring(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let Some(session) = self.sessions.get(&id) else { return };
        let ballot = session.ballot;
        if let Some(holder) = session.holder {
            self.request_release(id, holder.0, ballot, commands);
        }
    }

    /// Repeats the requests for release that a server has not answered, as its link has just come up.
    pub(super) fn request_releases_at(&mut self, server: ServerId, commands: &mut Vec<Command>) {
        let is_holder = |id: &&SessionId| self.sessions.get(id).is_some_and(|s| s.holder == Some(server));
        let mut expiring: Vec<_> = self.expiring.iter().filter(is_holder).copied().collect();
        expiring.sort_unstable();
        expiring.into_iter().for_each(|id| self.request_release_of_expiring(id, commands));
    }

    /// Handles the reply of a server that has released a session up to a ballot. Returns false if the session
    /// does not wait for that.
    pub(super) fn on_expiring_released(
        &mut self,
        server: ServerId,
        released: LetGo,
        commands: &mut Vec<Command>,
    ) -> bool {
        let id = released.session;
        let is_awaited = |s: &Session| {
            matches!(s.state, State::Expiring) && s.holder == Some(server) && released.ballot >= s.ballot
        };
        if !self.sessions.get(&id).is_some_and(is_awaited) {
            return false;
        }
        commands.push(Command::Log(LogEvent::HolderReleased { session: id, server }));
        self.end_hold(id, commands);
        self.schedule(id);
        true
    }

    /// Continues after the server of a session has stopped holding it.
    pub(super) fn end_hold(&mut self, id: SessionId, commands: &mut Vec<Command>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.holder = None;
        session.has_lease = false;
        session.hold_until = 0.0;
        self.expiring.remove(&id);
        match session.state {
            // The request may continue at another server, under a new ballot.
            State::Attempting => session.state = State::Claimed,
            State::Established | State::Closing | State::Expiring => {
                let session_over = session.is_over;
                self.release_session(id, session_over, commands);
            }
            State::Claiming(_) | State::Claimed | State::Detached => {}
        }
    }
}
