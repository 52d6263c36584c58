//! How much of all connections each group makes up, as one balancer sees it.

use rustc_hash::FxHashMap;

/// So many connections that the balancer has not seen count as seen, of other groups: of a balancer's first
/// two connections one is half, and says little of the fleet.
const UNSEEN: f64 = 16.0;
/// After so many connections all counts are halved, so that what is long past fades and what is kept is bounded.
const HALVED_AT: f64 = 4_096.0;

/// Connections seen by group. Say [`Sizes::seen`] of each, and ask [`Sizes::width`] before placing another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sizes {
    seen: FxHashMap<u64, f64>,
    all: f64,
}

impl Sizes {
    /// A connection of this group has come; 0 for none.
    pub fn seen(&mut self, group: u64) {
        *self.seen.entry(group).or_default() += 1.0;
        self.all += 1.0;
        if self.all >= HALVED_AT {
            self.seen.values_mut().for_each(|count| *count /= 2.0);
            self.seen.retain(|_, count| *count >= 1.0);
            self.all = self.seen.values().sum();
        }
    }

    /// How many of so many hosts a group is to have: its share of them, by chance where that is no whole number,
    /// and one at least. `uniform` is a random number in 0..1.
    #[must_use]
    pub fn width(&self, group: u64, hosts: usize, uniform: f64) -> usize {
        let share = self.seen.get(&group).copied().unwrap_or(0.0) / (self.all + UNSEEN);
        ((share * hosts as f64 + uniform).floor() as usize).clamp(1, hosts.max(1))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_group_that_is_half_of_all_gets_half_of_the_hosts_and_a_small_one_gets_one() {
        let mut sizes = Sizes::default();
        for n in 0..1_000u64 {
            sizes.seen(if n % 2 == 0 { 7 } else { 100 + n });
        }
        let wide = sizes.width(7, 80, 0.5);
        assert!((38..=41).contains(&wide), "{wide}");
        assert_eq!((sizes.width(101, 80, 0.5), sizes.width(9, 80, 0.5), sizes.width(7, 0, 0.9)), (1, 1, 1));
    }

    #[test]
    fn few_connections_say_little_and_a_share_between_whole_numbers_holds_on_the_mean() {
        let mut sizes = Sizes::default();
        sizes.seen(7);
        sizes.seen(8);
        // One of eighteen, not one of two.
        assert_eq!((sizes.width(7, 81, 0.4), sizes.width(7, 81, 0.6)), (4, 5));
    }

    #[test]
    fn what_is_long_past_fades_and_what_is_kept_is_bounded() {
        let mut sizes = Sizes::default();
        (0..3_000).for_each(|_| sizes.seen(7));
        (0..100_000u64).for_each(|n| sizes.seen(1_000 + n));
        assert!(sizes.seen.len() < 5_000, "{}", sizes.seen.len());
        assert_eq!(sizes.width(7, 80, 0.5), 1);
    }
}
