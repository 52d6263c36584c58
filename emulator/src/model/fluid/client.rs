//! A client that wants one connection for a while, and comes next_attempt_at until it has had it.

use super::super::Millis;
use rand::Rng;

/// A class of connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Part of all clients.
    pub share: f64,
    /// Worth of a second.
    pub value: f64,
    /// Mean load, in standard cores.
    pub load: f64,
    /// Work in ms to set one up.
    pub setup_work_ms: f64,
    /// A message is to be answered within this, in ms.
    pub message_goal_ms: Millis,
    /// How often a message's usual time goes into that.
    pub goal_to_usual_ratio: f64,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            share: 1.0,
            value: 1.0,
            load: 0.05,
            setup_work_ms: 8.0,
            message_goal_ms: 100.0,
            goal_to_usual_ratio: 10.0,
        }
    }
}

/// How clients behave.
#[derive(Clone, Debug, PartialEq)]
pub struct ReconnectPolicy {
    /// This part of them heeds advice when to come next_attempt_at.
    pub honors_retry_after_ratio: f64,
    /// Who was cut off comes next_attempt_at after between so many ms.
    pub reconnect_delay_ms: (Millis, Millis),
    /// Who was refused, or found nobody, comes next_attempt_at after between so many ms, longer each time.
    pub backoff_ms: (Millis, Millis),
    /// Who was asked to move comes next_attempt_at after between so many ms.
    pub move_delay_ms: (Millis, Millis),
    /// A try is given up after so many ms.
    pub attempt_timeout_ms: Millis,
}

/// Why a client has to come next_attempt_at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReconnectReason {
    /// Cut off, or failed.
    Disconnected,
    /// Rejected, with advice in ms; 0 for none.
    Rejected(Millis),
    /// Unreachable was there.
    Unreachable,
    /// Asked to move.
    Moved,
}

/// A client.
#[derive(Clone, Debug, PartialEq)]
pub struct Client {
    /// Its zone.
    pub zone: usize,
    /// Its class.
    pub class: usize,
    /// Its group; 0 for none.
    pub group: u64,
    /// Its connection's load now, in standard cores.
    pub load: f64,
    /// It wants its connection from then ...
    pub from: Millis,
    /// ... until then.
    pub until: Millis,
    /// Tries in a row that came to nothing.
    pub failures: u32,
}

impl Client {
    /// When it comes next_attempt_at, as of `now`; `None` once it is done.
    pub fn next_attempt_at(
        &mut self,
        now: Millis,
        reason: ReconnectReason,
        policy: &ReconnectPolicy,
        rng: &mut impl Rng,
    ) -> Option<Millis> {
        let mut between = |(low, high): (Millis, Millis)| low + (high - low) * rng.random::<f64>();
        let wait = match reason {
            ReconnectReason::Moved => between(policy.move_delay_ms),
            ReconnectReason::Disconnected => between(policy.reconnect_delay_ms),
            ReconnectReason::Rejected(_) | ReconnectReason::Unreachable => {
                self.failures += 1;
                between(policy.backoff_ms) * f64::from(1u32 << self.failures.min(4).saturating_sub(1))
            }
        };
        let advised = match reason {
            ReconnectReason::Rejected(advice)
                if advice > 0.0 && rng.random::<f64>() < policy.honors_retry_after_ratio =>
            {
                advice
            }
            _ => 0.0,
        };
        Some(now + wait.max(advised)).filter(|at| *at < self.until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    #[test]
    fn it_comes_again_until_it_is_done_and_later_after_each_refusal() {
        let policy = ReconnectPolicy {
            honors_retry_after_ratio: 1.0,
            reconnect_delay_ms: (100.0, 200.0),
            backoff_ms: (40.0, 40.0),
            move_delay_ms: (20.0, 20.0),
            attempt_timeout_ms: 4_800.0,
        };
        let mut client =
            Client { zone: 0, class: 0, group: 0, load: 0.1, from: 0.0, until: 5_000.0, failures: 0 };
        let mut rng = SmallRng::seed_from_u64(3);
        assert_eq!(
            client.next_attempt_at(0.0, ReconnectReason::Rejected(0.0), &policy, &mut rng),
            Some(40.0)
        );
        assert_eq!(client.next_attempt_at(0.0, ReconnectReason::Unreachable, &policy, &mut rng), Some(80.0));
        assert_eq!(
            client.next_attempt_at(0.0, ReconnectReason::Rejected(900.0), &policy, &mut rng),
            Some(900.0)
        );
        assert_eq!(client.next_attempt_at(0.0, ReconnectReason::Moved, &policy, &mut rng), Some(20.0));
        assert!(
            client
                .next_attempt_at(0.0, ReconnectReason::Disconnected, &policy, &mut rng)
                .is_some_and(|at| at >= 100.0)
        );
        assert_eq!(client.next_attempt_at(4_990.0, ReconnectReason::Moved, &policy, &mut rng), None);
    }
}
