//! Servers of a connection group, computed identically by all balancers without communication.
//!
//! Connections of a group share work, and each server with any of them bears its cost once. Balancers that pick
//! independently spread a group over all servers. Balancers that order the servers by a common hash of group and
//! server (rendezvous hashing, Thaler and Ravishankar 1998, with weights after Schindelhauer and Schomaker 2005)
//! agree on the first, second and further servers of a group, whatever each of them observes. Adding or removing a
//! server does not change the relative order of the others.
//!
//! The number of servers of a group follows from its share of all connections, which each balancer estimates from
//! those that it has seen ([`GroupSizes`]): a group with a quarter of all connections would otherwise fill its first
//! server while others are idle.
//!
//! The library does no I/O, reads no clock and draws no random numbers: the same arguments give the same result on
//! every balancer.

mod group_sizes;

pub use group_sizes::GroupSizes;

/// Returns the score of a server for a group; the server with the highest score is the group's first. A server of
/// twice the weight is the first of twice as many groups. A server without a positive weight comes last.
#[must_use]
pub fn score(group: u64, server: u64, weight: f64) -> f64 {
    if weight <= 0.0 {
        return 0.0;
    }
    // The finalizer of SplitMix64 (Steele, Lea and Flood 2014): every bit of both numbers affects the result.
    let mut bits = group ^ server.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^= bits >> 31;
    let uniform = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / uniform.ln()
}

/// Returns the first `count` servers of a group, best first. Each server is given as its number, its weight, and the
/// value to return for it.
#[must_use]
pub fn top_servers<T>(group: u64, servers: impl Iterator<Item = (u64, f64, T)>, count: usize) -> Vec<T> {
    let mut best = Vec::<(f64, T)>::with_capacity(count + 1);
    for (server, weight, id) in servers {
        let score = score(group, server, weight);
        let rank = best.iter().position(|b| b.0 < score).unwrap_or(best.len());
        if rank < count {
            best.insert(rank, (score, id));
            best.truncate(count);
        }
    }
    best.into_iter().map(|b| b.1).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn top(group: u64, servers: &[(u64, f64)], count: usize) -> Vec<u64> {
        top_servers(group, servers.iter().map(|(server, weight)| (*server, *weight, *server)), count)
    }

    #[test]
    fn groups_are_spread_over_servers_by_weight() {
        let servers: Vec<_> = (1..=10).map(|number| (number, if number <= 2 { 4.0 } else { 1.0 })).collect();
        let heavy = (0..20_000).filter(|group| top(group * 7_919, &servers, 1)[0] <= 2).count();
        // Two servers have half of the total weight.
        assert!((9_600..10_400).contains(&heavy), "{heavy}");
    }

    #[test]
    fn a_server_without_weight_comes_last_and_does_not_end_the_order() {
        assert_eq!(top(5, &[(1, 0.0), (2, 1.0)], 2), [2, 1]);
        assert_eq!(top(5, &[], 3), Vec::<u64>::new());
    }

    proptest! {
        #[test]
        fn removing_a_server_moves_only_the_groups_that_used_it(
            group in any::<u64>(), removed_index in 0usize..12, shift in 0usize..12
        ) {
            let mut servers: Vec<_> = (0..12u64).map(|n| (n * 977 + 3, 1.0 + (n % 3) as f64)).collect();
            let before = top(group, &servers, 3);
            let removed = servers.remove(removed_index).0;
            // The order of the list must not matter either.
            servers.rotate_left(shift % 11);
            let after = top(group, &servers, 3);
            let remaining: Vec<_> = before.iter().filter(|server| **server != removed).collect();
            prop_assert!(remaining.iter().zip(&after).all(|(a, b)| *a == b));
        }
    }
}
