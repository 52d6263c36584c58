//! Selection of the replicas of a session: rendezvous hashing (Thaler and Ravishankar, "Using name-based
//! mappings to increase hit rates", 1998), spread over the zones.

use marllink::{ServerId, ZoneId};
use marllink_lease_protocol::SessionId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A server that may become a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
}

/// Returns the hash that ranks a server for a session: the servers with the highest values are selected.
fn score(session: SessionId, server: ServerId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&session.hi.to_le_bytes());
    bytes[8..].copy_from_slice(&session.lo.to_le_bytes());
    xxh3_64_with_seed(&bytes, server.0)
}

/// Selects `count` candidates: those in `preferred` come first and `avoided` last. Except for preferred
/// servers, no zone has more than its share if other zones have enough candidates.
pub fn choose(
    session: SessionId,
    candidates: &[Candidate],
    count: usize,
    preferred: &[ServerId],
    avoided: Option<ServerId>,
) -> Vec<ServerId> {
    let mut ranked: Vec<_> = candidates.to_vec();
    ranked.sort_by_cached_key(|c| {
        (
            Some(c.server) == avoided,
            !preferred.contains(&c.server),
            std::cmp::Reverse(score(session, c.server)),
        )
    });
    let mut zones: Vec<_> = ranked.iter().filter(|c| Some(c.server) != avoided).map(|c| c.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let max_per_zone = count.div_ceil(zones.len().max(1));
    let (mut chosen, mut rest) = (Vec::with_capacity(count), Vec::new());
    for candidate in ranked {
        let in_zone = chosen.iter().filter(|c: &&Candidate| c.zone == candidate.zone).count();
        // A preferred server has the journal already, which outweighs an even spread.
        let is_preferred = preferred.contains(&candidate.server) && Some(candidate.server) != avoided;
        if chosen.len() < count
            && (in_zone < max_per_zone || is_preferred)
            && Some(candidate.server) != avoided
        {
            chosen.push(candidate);
        } else {
            rest.push(candidate);
        }
    }
    let missing = count.saturating_sub(chosen.len());
    chosen.extend(rest.into_iter().take(missing));
    chosen.into_iter().map(|c| c.server).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidates(count: u64, zones: u8) -> Vec<Candidate> {
        (0..count).map(|n| Candidate { server: ServerId(n), zone: ZoneId(n as u8 % zones) }).collect()
    }

    fn session(n: u64) -> SessionId {
        SessionId { hi: n, lo: !n }
    }

    #[test]
    fn sessions_are_spread_evenly_and_only_those_of_a_lost_server_move() {
        let all = candidates(12, 1);
        let mut sessions_per_server = [0; 12];
        let mut moved = 0;
        for n in 0..4_000 {
            let before = choose(session(n), &all, 3, &[], None);
            before.iter().for_each(|s| sessions_per_server[s.0 as usize] += 1);
            let after = choose(session(n), &all[1..], 3, &[], None);
            moved += after.iter().filter(|s| !before.contains(s)).count();
            assert_eq!(
                after.iter().filter(|s| before.contains(s)).count(),
                if before.contains(&ServerId(0)) { 2 } else { 3 }
            );
        }
        // 1,000 each on average, with a standard deviation of about 27.
        assert!(
            sessions_per_server.iter().all(|count| (880..1_120).contains(count)),
            "{sessions_per_server:?}"
        );
        assert_eq!(moved, sessions_per_server[0]);
    }

    #[test]
    fn no_zone_has_all_replicas_if_there_are_two_zones_and_the_holder_is_avoided() {
        for n in 0..200 {
            let chosen = choose(session(n), &candidates(12, 2), 3, &[], Some(ServerId(n % 12)));
            let in_zone = chosen.iter().filter(|s| s.0 % 2 == 0).count();
            assert!((1..=2).contains(&in_zone) && chosen.len() == 3);
            assert!(!chosen.contains(&ServerId(n % 12)));
            // Preferred servers are selected regardless of the spread.
            let preferred = [ServerId(0), ServerId(2), ServerId(4)];
            let chosen = choose(session(n), &candidates(12, 2), 3, &preferred, None);
            assert!(preferred.iter().all(|s| chosen.contains(s)));
        }
        // With too few candidates, fewer are selected. The holder is selected only if it is the only
        // candidate.
        assert_eq!(choose(session(1), &candidates(1, 1), 3, &[], Some(ServerId(0))), [ServerId(0)]);
        assert_eq!(choose(session(1), &candidates(2, 1), 1, &[], Some(ServerId(0))), [ServerId(1)]);
    }
}
