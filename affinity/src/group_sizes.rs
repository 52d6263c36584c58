//! Share of each group in all connections, as one balancer sees it.

use rustc_hash::FxHashMap;

/// Connections of other groups that are assumed in addition to those seen: of the first two connections of a balancer
/// one is half, which says little about the fleet.
const PRIOR_CONNECTION_COUNT: f64 = 16.0;
/// Number of connections after which all counts are halved, so that old connections fade and memory stays bounded.
const HALVING_COUNT: f64 = 4_096.0;

/// Number of connections seen by group. Call [`GroupSizes::record`] for each connection, and
/// [`GroupSizes::server_count`] before placing another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupSizes {
    counts: FxHashMap<u64, f64>,
    total: f64,
}

impl GroupSizes {
    /// Records a connection of this group; 0 for no group.
    pub fn record(&mut self, group: u64) {
        *self.counts.entry(group).or_default() += 1.0;
        self.total += 1.0;
        if self.total >= HALVING_COUNT {
            self.counts.values_mut().for_each(|count| *count /= 2.0);
            self.counts.retain(|_, count| *count >= 1.0);
            self.total = self.counts.values().sum();
        }
    }

    /// Returns how many of `servers` a group should use: its share of them, rounded at random, and at least one.
    /// `uniform` is a random number in 0..1.
    #[must_use]
    pub fn server_count(&self, group: u64, servers: usize, uniform: f64) -> usize {
        let share = self.counts.get(&group).copied().unwrap_or(0.0) / (self.total + PRIOR_CONNECTION_COUNT);
        ((share * servers as f64 + uniform).floor() as usize).clamp(1, servers.max(1))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_group_with_half_of_all_connections_gets_half_of_the_servers_and_a_small_one_gets_one() {
        let mut sizes = GroupSizes::default();
        for n in 0..1_000u64 {
            sizes.record(if n % 2 == 0 { 7 } else { 100 + n });
        }
        let large = sizes.server_count(7, 80, 0.5);
        assert!((38..=41).contains(&large), "{large}");
        assert_eq!(
            (sizes.server_count(101, 80, 0.5), sizes.server_count(9, 80, 0.5), sizes.server_count(7, 0, 0.9)),
            (1, 1, 1)
        );
    }

    #[test]
    fn few_connections_widen_no_group_much_and_a_fractional_share_holds_on_average() {
        let mut sizes = GroupSizes::default();
        sizes.record(7);
        sizes.record(8);
        // One of eighteen, not one of two.
        assert_eq!((sizes.server_count(7, 81, 0.4), sizes.server_count(7, 81, 0.6)), (4, 5));
    }

    #[test]
    fn old_connections_fade_and_memory_stays_bounded() {
        let mut sizes = GroupSizes::default();
        (0..3_000).for_each(|_| sizes.record(7));
        (0..100_000u64).for_each(|n| sizes.record(1_000 + n));
        assert!(sizes.counts.len() < 5_000, "{}", sizes.counts.len());
        assert_eq!(sizes.server_count(7, 80, 0.5), 1);
    }
}
