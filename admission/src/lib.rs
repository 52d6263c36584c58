//! Admission control by tenant: which connections to reject while capacity is scarce.
//!
//! The settings give for each tenant the number of open connections, over all balancers, that are within its share,
//! and the value of those above it. No balancer sees all connections, and traffic is spread unevenly over balancers.
//! Each therefore compares the tenants by its own connections: a tenant exceeds its share if it has a larger part of
//! the connections than of the quotas, and more than the balancer's part of its quota, by more than chance. In a
//! fleet that the other tenants leave idle, a tenant may use its share and all idle capacity. While servers are
//! overloaded, further connections of a tenant above its share are rejected, and its connections are the first to be
//! moved away; otherwise none are rejected. This is weighted max-min fairness, by connections.
//!
//! The library does no I/O, reads no clock and draws no random numbers: time is an argument.

/// Milliseconds, as a point on the caller's monotonic clock.
pub type Millis = f64;

/// Standard deviations by which a tenant must exceed its share, as connections of each tenant reach a balancer at
/// random: where a balancer of hundreds has four connections, three of one tenant prove nothing.
const EXCESS_SIGMAS: f64 = 1.0;
/// Ratio of own connections on overloaded servers from which capacity is scarce.
const SCARCE_RATIO: f64 = 0.1;
/// Time in ms for which capacity counts as scarce after that; twice as long as a server's report of overload is valid.
const SCARCE_HOLD_MS: Millis = 3_000.0;

/// Connections of one balancer by tenant. Call [`TenantShares::opened`] and [`TenantShares::closed`] for each
/// connection and [`TenantShares::review`] regularly, and check [`TenantShares::rejects`] before another connection.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantShares {
    /// Open connections within the share of each tenant, over all balancers; 0 for a tenant without a quota.
    quotas: Vec<f64>,
    /// Number of balancers in the fleet.
    balancers: f64,
    /// Own open connections of each tenant.
    open: Vec<f64>,
    scarce_until: Millis,
}

impl TenantShares {
    /// Creates the state for tenants with these quotas, in open connections over all balancers; 0 for none.
    #[must_use]
    pub fn new(quotas: Vec<f64>, balancers: u16) -> Self {
        let balancers = f64::from(balancers.max(1));
        Self { open: vec![0.0; quotas.len()], quotas, balancers, scarce_until: f64::MIN }
    }

    /// Replaces the quotas and the number of balancers. The indices of tenants stay valid.
    pub fn update_quotas(&mut self, quotas: Vec<f64>, balancers: u16) {
        self.balancers = f64::from(balancers.max(1));
        self.open.resize(quotas.len().max(self.open.len()), 0.0);
        self.quotas = quotas;
    }

    /// Records an established connection of this tenant.
    pub fn opened(&mut self, tenant: u16) {
        if let Some(open) = self.open.get_mut(usize::from(tenant)) {
            *open += 1.0;
        }
    }

    /// Records the end of an established connection of this tenant.
    pub fn closed(&mut self, tenant: u16) {
        if let Some(open) = self.open.get_mut(usize::from(tenant)) {
            *open = (*open - 1.0).max(0.0);
        }
    }

    /// Updates whether capacity is scarce, from the number of own connections in total and on overloaded servers.
    pub fn review(&mut self, now: Millis, open: f64, on_overloaded: f64) {
        if open > 0.0 && on_overloaded >= SCARCE_RATIO * open {
            self.scarce_until = now + SCARCE_HOLD_MS;
        }
    }

    /// Returns whether this tenant exceeds its share with that many additional connections.
    #[must_use]
    pub fn exceeds_share(&self, tenant: u16, additional: f64) -> bool {
        let tenant = usize::from(tenant);
        let Some(quota) = self.quotas.get(tenant).copied().filter(|q| *q > 0.0) else { return false };
        let tenants_with_quota = || self.quotas.iter().zip(&self.open).filter(|(quota, _)| **quota > 0.0);
        let total: f64 = tenants_with_quota().map(|(_, open)| open).sum::<f64>() + additional;
        let quota_sum: f64 = tenants_with_quota().map(|(quota, _)| quota).sum();
        let share = quota / quota_sum;
        let allowed = (total * share).max(quota / self.balancers);
        self.open[tenant] + additional > allowed + EXCESS_SIGMAS * (total * share * (1.0 - share)).sqrt()
    }

    /// Returns whether another connection of this tenant is to be rejected now.
    #[must_use]
    pub fn rejects(&self, now: Millis, tenant: u16) -> bool {
        now < self.scarce_until && self.exceeds_share(tenant, 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn with_open(quotas: &[f64], balancers: u16, open: &[u32]) -> TenantShares {
        let mut shares = TenantShares::new(quotas.to_vec(), balancers);
        for (tenant, count) in open.iter().enumerate() {
            (0..*count).for_each(|_| shares.opened(tenant as u16));
        }
        shares
    }

    #[test]
    fn only_a_tenant_above_its_share_is_rejected_and_only_while_servers_are_overloaded() {
        // This balancer sees much traffic of one tenant and little of the other; the quotas are of the whole fleet.
        let mut shares = with_open(&[59.0, 41.0], 3, &[50, 7]);
        assert!(!shares.rejects(0.0, 0), "no server is overloaded");
        shares.review(0.0, 57.0, 5.0);
        assert!(!shares.rejects(0.0, 0), "too few connections are on overloaded servers");
        shares.review(0.0, 57.0, 6.0);
        assert!(shares.rejects(2_999.0, 0) && !shares.rejects(2_999.0, 1));
        assert!(!shares.rejects(3_000.0, 0));
        // Once enough of its connections have closed, it may open connections again.
        (0..40).for_each(|_| shares.closed(0));
        assert!(!shares.rejects(0.0, 0));
    }

    #[test]
    fn tenants_within_their_shares_and_a_single_tenant_never_exceed_them() {
        let within_quota = with_open(&[59.0, 41.0], 1, &[59, 41]);
        assert!(!within_quota.exceeds_share(0, 1.0) && !within_quota.exceeds_share(1, 1.0));
        assert!(!with_open(&[59.0], 3, &[400]).exceeds_share(0, 1.0));
        assert!(!with_open(&[0.0, 0.0], 3, &[400, 1]).exceeds_share(0, 1.0));
        assert!(!with_open(&[], 3, &[]).exceeds_share(3, 1.0));
    }

    #[test]
    fn a_tenant_has_its_share_while_others_are_idle_and_few_connections_prove_nothing() {
        assert!(!with_open(&[59.0, 41.0], 3, &[15, 0]).exceeds_share(0, 1.0));
        assert!(
            !with_open(&[59.0, 41.0], 3, &[21, 12]).exceeds_share(0, 1.0),
            "above the other tenant, by chance"
        );
        assert!(with_open(&[59.0, 41.0], 3, &[30, 2]).exceeds_share(0, 1.0));
        // One of 300 balancers has four connections.
        assert!(!with_open(&[59.0, 41.0], 300, &[3, 1]).exceeds_share(0, 1.0));
    }

    #[test]
    fn new_quotas_apply_to_connections_that_are_already_open() {
        let mut shares = with_open(&[50.0, 50.0], 3, &[30, 30]);
        assert!(!shares.exceeds_share(0, 1.0));
        shares.update_quotas(vec![10.0, 50.0, 10.0], 3);
        assert!(
            shares.exceeds_share(0, 1.0) && !shares.exceeds_share(1, 1.0) && !shares.exceeds_share(2, 1.0)
        );
        shares.closed(9);
    }
}
