//! Whose connections are worth least while there is not enough for all: those of tenants above their share.
//!
//! The settings tell for each tenant how many open connections of it, over all balancers, are within its
//! share, and what others are worth. No balancer sees all of them, and traffic falls unevenly on balancers;
//! so each compares the tenants with each other by what it holds itself: a tenant is above its share where it
//! holds more for its share than all tenants together do for theirs, and more than the balancer's part of that
//! share, by more than chance. Of a fleet that the others leave to it, it may have its share and all that is
//! idle. While hosts are strained, what
//! such a tenant asks for beyond that is refused, and it is the first to be relieved of; while they are not,
//! nobody is turned away. That is weighted max-min fairness, by connections.
//!
//! No I/O, no clock, no randomness: time is an argument.

/// Milliseconds, as a point on the caller's monotonic clock.
pub type Millis = f64;

/// Above its share is who holds more than what all hold for theirs, by so many standard deviations, were each
/// connection of any tenant by chance: one balancer of hundreds holds four, of which three say nothing.
const CHANCE: f64 = 1.0;
/// With this part of the own connections on strained hosts there is not enough for all ...
const STRAINED: f64 = 0.1;
/// ... and until so many ms have passed without: notes on strained hosts hold for half as long.
const STRAINED_MS: Millis = 3_000.0;

/// What one balancer holds of each tenant. Say [`Shares::opened`] and [`Shares::closed`] of each
/// connection, [`Shares::review`] now and then, and ask [`Shares::refuses`] before another.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    /// Open connections within the share of each, over all balancers; 0 where none is told.
    quotas: Vec<f64>,
    /// Over so many balancers.
    balancers: f64,
    held: Vec<f64>,
    strained_until: Millis,
}

impl Shares {
    /// For tenants with these shares, in open connections over so many balancers; 0 for none.
    #[must_use]
    pub fn new(quotas: Vec<f64>, balancers: u16) -> Self {
        let balancers = f64::from(balancers.max(1));
        Self { held: vec![0.0; quotas.len()], quotas, balancers, strained_until: f64::MIN }
    }

    /// Other shares are in force, over so many balancers. Tenants keep their numbers.
    pub fn retune(&mut self, quotas: Vec<f64>, balancers: u16) {
        self.balancers = f64::from(balancers.max(1));
        self.held.resize(quotas.len().max(self.held.len()), 0.0);
        self.quotas = quotas;
    }

    /// A connection of this tenant stands.
    pub fn opened(&mut self, tenant: u16) {
        if let Some(held) = self.held.get_mut(usize::from(tenant)) {
            *held += 1.0;
        }
    }

    /// A connection of this tenant that stood has ended.
    pub fn closed(&mut self, tenant: u16) {
        if let Some(held) = self.held.get_mut(usize::from(tenant)) {
            *held = (*held - 1.0).max(0.0);
        }
    }

    /// Takes note of how many own connections there are, and on strained hosts.
    pub fn review(&mut self, now: Millis, held: f64, strained: f64) {
        if held > 0.0 && strained >= STRAINED * held {
            self.strained_until = now + STRAINED_MS;
        }
    }

    /// True if this tenant is above its share with so many connections more.
    #[must_use]
    pub fn above(&self, tenant: u16, more: f64) -> bool {
        let tenant = usize::from(tenant);
        let Some(quota) = self.quotas.get(tenant).copied().filter(|q| *q > 0.0) else { return false };
        let told = || self.quotas.iter().zip(&self.held).filter(|(quota, _)| **quota > 0.0);
        let all: f64 = told().map(|(_, held)| held).sum::<f64>() + more;
        let quotas: f64 = told().map(|(quota, _)| quota).sum();
        let part = quota / quotas;
        let within = (all * part).max(quota / self.balancers);
        self.held[tenant] + more > within + CHANCE * (all * part * (1.0 - part)).sqrt()
    }

    /// True if another connection of this tenant is not to be taken now.
    #[must_use]
    pub fn refuses(&self, now: Millis, tenant: u16) -> bool {
        now < self.strained_until && self.above(tenant, 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn held(quotas: &[f64], balancers: u16, held: &[u32]) -> Shares {
        let mut shares = Shares::new(quotas.to_vec(), balancers);
        for (tenant, count) in held.iter().enumerate() {
            (0..*count).for_each(|_| shares.opened(tenant as u16));
        }
        shares
    }

    #[test]
    fn a_tenant_at_five_times_its_share_is_refused_while_hosts_are_strained_and_nobody_else() {
        // This balancer sees much of one and little of the other; the shares are of the whole fleet.
        let mut shares = held(&[59.0, 41.0], 3, &[50, 7]);
        assert!(!shares.refuses(0.0, 0), "no host is strained");
        shares.review(0.0, 57.0, 5.0);
        assert!(!shares.refuses(0.0, 0), "too few are on strained hosts");
        shares.review(0.0, 57.0, 6.0);
        assert!(shares.refuses(2_999.0, 0) && !shares.refuses(2_999.0, 1));
        assert!(!shares.refuses(3_000.0, 0));
        // Once enough of it has ended it may have more again.
        (0..40).for_each(|_| shares.closed(0));
        assert!(!shares.refuses(0.0, 0));
    }

    #[test]
    fn whoever_keeps_to_the_shares_is_never_above_and_one_tenant_alone_is_none() {
        let even = held(&[59.0, 41.0], 1, &[59, 41]);
        assert!(!even.above(0, 1.0) && !even.above(1, 1.0));
        assert!(!held(&[59.0], 3, &[400]).above(0, 1.0));
        assert!(!held(&[0.0, 0.0], 3, &[400, 1]).above(0, 1.0));
        assert!(!held(&[], 3, &[]).above(3, 1.0));
    }

    #[test]
    fn a_tenant_whose_neighbours_are_idle_has_its_share_and_a_few_connections_say_nothing() {
        assert!(!held(&[59.0, 41.0], 3, &[15, 0]).above(0, 1.0));
        assert!(!held(&[59.0, 41.0], 3, &[21, 12]).above(0, 1.0), "more than others, by chance");
        assert!(held(&[59.0, 41.0], 3, &[30, 2]).above(0, 1.0));
        // One of 300 balancers holds four.
        assert!(!held(&[59.0, 41.0], 300, &[3, 1]).above(0, 1.0));
    }

    #[test]
    fn new_shares_count_what_is_held_already() {
        let mut shares = held(&[50.0, 50.0], 3, &[30, 30]);
        assert!(!shares.above(0, 1.0));
        shares.retune(vec![10.0, 50.0, 10.0], 3);
        assert!(shares.above(0, 1.0) && !shares.above(1, 1.0) && !shares.above(2, 1.0));
        shares.closed(9);
    }
}
