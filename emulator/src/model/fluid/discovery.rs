//! The discovery service that all balancers query for the server list, with a fixed capacity.

use super::super::Millis;

/// Capacity of the discovery service.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryLimits {
    /// Maximum number of calls in progress.
    pub concurrency: usize,
    /// Duration of a call, in ms.
    pub call_ms: Millis,
    /// Maximum time that a call waits for its start before it fails, in ms.
    pub queue_timeout_ms: Millis,
}

/// State of the discovery service.
#[derive(Clone, Debug)]
pub struct DiscoveryService {
    limits: DiscoveryLimits,
    /// Time at which each slot for a call is free again.
    free_at: Vec<Millis>,
    /// All calls fail until this time.
    pub down_until: Millis,
    /// Three of four calls fail until this time.
    pub overloaded_until: Millis,
    call_count: u64,
}

impl DiscoveryService {
    /// Returns an idle service.
    #[must_use]
    pub fn new(limits: DiscoveryLimits) -> Self {
        Self {
            free_at: vec![0.0; limits.concurrency.max(1)],
            limits,
            down_until: f64::NEG_INFINITY,
            overloaded_until: f64::NEG_INFINITY,
            call_count: 0,
        }
    }

    /// Handles a call and returns the time at which it is answered.
    ///
    /// # Errors
    /// Returns the time at which the call fails: the service is down or overloaded, or the call would wait too long.
    pub fn call(&mut self, now: Millis) -> Result<Millis, Millis> {
        self.call_count += 1;
        if now < self.down_until || (now < self.overloaded_until && self.call_count % 4 != 0) {
            return Err(now + 1.0);
        }
        let slot = (0..self.free_at.len()).min_by(|a, b| self.free_at[*a].total_cmp(&self.free_at[*b]));
        let slot = slot.expect("there is at least one slot");
        let start = self.free_at[slot].max(now);
        if start - now > self.limits.queue_timeout_ms {
            return Err(now + self.limits.queue_timeout_ms);
        }
        self.free_at[slot] = start + self.limits.call_ms;
        Ok(self.free_at[slot])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_queue_for_a_slot_and_fail_after_the_timeout() {
        let mut service = DiscoveryService::new(DiscoveryLimits {
            concurrency: 2,
            call_ms: 100.0,
            queue_timeout_ms: 150.0,
        });
        let ends: Vec<_> = (0..6).map(|_| service.call(0.0)).collect();
        assert_eq!(ends, [Ok(100.0), Ok(100.0), Ok(200.0), Ok(200.0), Err(150.0), Err(150.0)]);
        assert_eq!(service.call(60.0), Ok(300.0));
        service.down_until = 400.0;
        assert_eq!(service.call(399.0), Err(400.0));
        assert_eq!(service.call(400.0), Ok(500.0));
        service.overloaded_until = 2_000.0;
        let answered = (0..8).filter(|n| service.call(1_000.0 + f64::from(*n) * 100.0).is_ok()).count();
        assert_eq!(answered, 2);
    }
}
