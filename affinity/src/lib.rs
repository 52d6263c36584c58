//! Which hosts a group goes to, computed alike by all balancers without a word between them.
//!
//! Connections of a group share work, and each host that holds any of them pays for that once. Balancers
//! that pick for themselves spread a group over all hosts; those that order the hosts by one hash of group
//! and host (rendezvous hashing, Thaler and Ravishankar 1998, with weights after Schindelhauer and Schomaker
//! 2005) agree on where it goes first, next and so on, whatever each of them sees. A host that comes or
//! goes changes the place of no other.
//!
//! How many of them a group is to have follows from its share of all connections, which each balancer guesses by
//! what it has seen ([`Sizes`]): a group that is a quarter of all would else fill its first host while others idle.
//!
//! No I/O, no clock, no randomness: the same arguments give the same answer at every balancer.

mod sizes;

pub use sizes::Sizes;

/// What a host counts for with a group: the highest is its first host. A host of twice the weight comes
/// first for twice as many groups. `weight` is to be positive; one that is not comes last.
#[must_use]
pub fn score(group: u64, host: u64, weight: f64) -> f64 {
    if weight <= 0.0 {
        return 0.0;
    }
    // The finalizer of SplitMix64 (Steele, Lea and Flood 2014): every bit of both counts.
    let mut bits = group ^ host.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^= bits >> 31;
    let uniform = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / uniform.ln()
}

/// The first `most` of these hosts for a group, best first. Each is its number, its weight, and what the
/// caller knows it by.
#[must_use]
pub fn first<T>(group: u64, hosts: impl Iterator<Item = (u64, f64, T)>, most: usize) -> Vec<T> {
    let mut best = Vec::<(f64, T)>::with_capacity(most + 1);
    for (host, weight, known_by) in hosts {
        let score = score(group, host, weight);
        let place = best.iter().position(|b| b.0 < score).unwrap_or(best.len());
        if place < most {
            best.insert(place, (score, known_by));
            best.truncate(most);
        }
    }
    best.into_iter().map(|b| b.1).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn of(group: u64, hosts: &[(u64, f64)], most: usize) -> Vec<u64> {
        first(group, hosts.iter().map(|(host, weight)| (*host, *weight, *host)), most)
    }

    #[test]
    fn groups_fall_on_hosts_by_weight() {
        let hosts: Vec<_> = (1..=10).map(|h| (h, if h <= 2 { 4.0 } else { 1.0 })).collect();
        let heavy = (0..20_000).filter(|g| of(g * 7_919, &hosts, 1)[0] <= 2).count();
        // Two hosts have half of all weight.
        assert!((9_600..10_400).contains(&heavy), "{heavy}");
    }

    #[test]
    fn a_host_without_weight_comes_last_and_the_order_goes_on_past_it() {
        assert_eq!(of(5, &[(1, 0.0), (2, 1.0)], 2), [2, 1]);
        assert_eq!(of(5, &[], 3), Vec::<u64>::new());
    }

    proptest! {
        #[test]
        fn one_host_that_goes_moves_no_group_that_did_not_have_it(
            group in any::<u64>(), gone in 0usize..12, shift in 0usize..12
        ) {
            let mut hosts: Vec<_> = (0..12u64).map(|h| (h * 977 + 3, 1.0 + (h % 3) as f64)).collect();
            let before = of(group, &hosts, 3);
            let left = hosts.remove(gone).0;
            // The order in which hosts are listed does not matter either.
            hosts.rotate_left(shift % 11);
            let after = of(group, &hosts, 3);
            let stay: Vec<_> = before.iter().filter(|h| **h != left).collect();
            prop_assert!(stay.iter().zip(&after).all(|(a, b)| *a == b));
        }
    }
}
