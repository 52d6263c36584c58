//! The limits that tells the list: of fixed capacity, and all balancers call it.

use super::super::Millis;

/// What the limits can do.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryLimits {
    /// DiscoveryService worked at together.
    pub concurrency: usize,
    /// A call takes this long, in ms.
    pub call_ms: Millis,
    /// A call that has waited longer than this, in ms, fails.
    pub queue_timeout_ms: Millis,
}

/// DiscoveryService under way, each by when its place is free again.
#[derive(Clone, Debug)]
pub struct DiscoveryService {
    limits: DiscoveryLimits,
    free_at: Vec<Millis>,
    /// It answers nothing until then.
    pub down_until: Millis,
    /// It refuses three of four calls until then.
    pub overloaded_until: Millis,
    calls: u64,
}

impl DiscoveryService {
    /// A limits that nobody has called yet.
    #[must_use]
    pub fn new(limits: DiscoveryLimits) -> Self {
        Self {
            free_at: vec![0.0; limits.concurrency.max(1)],
            limits,
            down_until: f64::NEG_INFINITY,
            overloaded_until: f64::NEG_INFINITY,
            calls: 0,
        }
    }

    /// Takes a call: when it is answered, or else when it fails.
    ///
    /// # Errors
    /// The time at which it fails, because it would wait too long or the limits is down.
    pub fn call(&mut self, now: Millis) -> Result<Millis, Millis> {
        self.calls += 1;
        if now < self.down_until || (now < self.overloaded_until && self.calls % 4 != 0) {
            return Err(now + 1.0);
        }
        let first = (0..self.free_at.len()).min_by(|a, b| self.free_at[*a].total_cmp(&self.free_at[*b]));
        let first = first.expect("there is a place");
        let begins = self.free_at[first].max(now);
        if begins - now > self.limits.queue_timeout_ms {
            return Err(now + self.limits.queue_timeout_ms);
        }
        self.free_at[first] = begins + self.limits.call_ms;
        Ok(self.free_at[first])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_wait_in_turn_and_fail_when_that_is_too_long() {
        let mut calls = DiscoveryService::new(DiscoveryLimits {
            concurrency: 2,
            call_ms: 100.0,
            queue_timeout_ms: 150.0,
        });
        let ends: Vec<_> = (0..6).map(|_| calls.call(0.0)).collect();
        assert_eq!(ends, [Ok(100.0), Ok(100.0), Ok(200.0), Ok(200.0), Err(150.0), Err(150.0)]);
        assert_eq!(calls.call(60.0), Ok(300.0));
        calls.down_until = 400.0;
        assert_eq!(calls.call(399.0), Err(400.0));
        assert_eq!(calls.call(400.0), Ok(500.0));
        calls.overloaded_until = 2_000.0;
        let answered = (0..8).filter(|n| calls.call(1_000.0 + f64::from(*n) * 100.0).is_ok()).count();
        assert_eq!(answered, 2);
    }
}
