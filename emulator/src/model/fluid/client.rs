//! A client that needs one connection for some time, and reconnects until that time is over.

use super::super::Millis;
use rand::Rng;

/// A class of connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Share of all clients.
    pub share: f64,
    /// Value of a second of an established connection.
    pub value: f64,
    /// Mean load of a connection, in standard cores.
    pub load: f64,
    /// Work to set up a connection, in ms of one standard core.
    pub setup_work_ms: f64,
    /// Goal for the delay of the answer to a message, in ms.
    pub message_goal_ms: Millis,
    /// Ratio of that goal to the delay at an idle server.
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

/// When clients reconnect.
#[derive(Clone, Debug, PartialEq)]
pub struct ReconnectPolicy {
    /// Share of rejections in which the client obeys the retry delay that the balancer asks for.
    pub honors_retry_after_ratio: f64,
    /// Minimum and maximum delay after a lost connection or a failed request, in ms.
    pub reconnect_delay_ms: (Millis, Millis),
    /// Minimum and maximum delay after a rejection, or when no balancer was reachable, in ms. Doubles with each
    /// failure in a row, up to eightfold.
    pub backoff_ms: (Millis, Millis),
    /// Minimum and maximum delay after `MOVE`, in ms.
    pub move_delay_ms: (Millis, Millis),
    /// Maximum duration of an attempt, in ms.
    pub attempt_timeout_ms: Millis,
}

/// Why a client has to reconnect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReconnectReason {
    /// The connection was lost or the request failed.
    Disconnected,
    /// The request was rejected, with a delay in ms after which to retry; 0 for none.
    Rejected(Millis),
    /// No balancer was reachable.
    Unreachable,
    /// The balancer asked the client to reconnect.
    Moved,
}

/// A client.
#[derive(Clone, Debug, PartialEq)]
pub struct Client {
    /// Zone of the client.
    pub zone: usize,
    /// Class of its connection.
    pub class: usize,
    /// Affinity group of the client; 0 for none.
    pub group: u64,
    /// Current load of its connection, in standard cores.
    pub load: f64,
    /// Start of the time in which the client needs a connection.
    pub from: Millis,
    /// End of the time in which the client needs a connection.
    pub until: Millis,
    /// Number of failures in a row.
    pub failures: u32,
}

impl Client {
    /// Returns the time of the next attempt, or `None` if the client needs no connection any more by then.
    pub fn next_attempt_at(
        &mut self,
        now: Millis,
        reason: ReconnectReason,
        policy: &ReconnectPolicy,
        rng: &mut impl Rng,
    ) -> Option<Millis> {
        let mut draw = |(low, high): (Millis, Millis)| low + (high - low) * rng.random::<f64>();
        let delay = match reason {
            ReconnectReason::Moved => draw(policy.move_delay_ms),
            ReconnectReason::Disconnected => draw(policy.reconnect_delay_ms),
            ReconnectReason::Rejected(_) | ReconnectReason::Unreachable => {
                self.failures += 1;
                draw(policy.backoff_ms) * f64::from(1u32 << self.failures.min(4).saturating_sub(1))
            }
        };
        let requested = match reason {
            ReconnectReason::Rejected(requested_ms)
                if requested_ms > 0.0 && rng.random::<f64>() < policy.honors_retry_after_ratio =>
            {
                requested_ms
            }
            _ => 0.0,
        };
        Some(now + delay.max(requested)).filter(|at| *at < self.until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    #[test]
    fn reconnects_back_off_after_rejections_and_stop_at_the_end() {
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
