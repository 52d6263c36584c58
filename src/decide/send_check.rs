//! Checks whether an attempt that was decided earlier may still be sent.
//!
//! Between the decision and the first byte on the connection lies the time that the connection takes to be
//! established. Every limit of a request that can be reached meanwhile is checked again here.

use super::{Balancer, Phase};
use crate::interface::*;

impl Balancer {
    /// Checks whether the pending attempt of a request may be sent at `now`. The node must call this right
    /// before each write of the request, with no wait in between.
    ///
    /// # Errors
    /// Returns the limit that the attempt would violate. Its outcome is then [`Outcome::NotSent`].
    pub fn check_send(&self, now: Millis, request: RequestId, attempt: AttemptNo) -> Result<(), SendDenied> {
        let state = self.requests.get(&request).ok_or(SendDenied::RequestOver)?;
        // A restored connection belongs to its server, which is not picked: it is sent there even if that
        // server is draining.
        if state.phase == Phase::Open {
            return Ok(());
        }
        if state.phase != Phase::Attempting || state.attempts != attempt.0.wrapping_add(1) {
            return Err(SendDenied::RequestOver);
        }
        if now >= state.deadline {
            return Err(SendDenied::DeadlinePassed);
        }
        if state.attempts > self.settings.limits.max_attempts {
            return Err(SendDenied::AttemptsExhausted);
        }
        if self.servers[state.slot].state != ServerState::Ready {
            return Err(SendDenied::ServerDraining);
        }
        if !self.may_execute_at(now, state, state.slot) {
            return Err(SendDenied::DuplicateExecution);
        }
        Ok(())
    }
}
