//! Who keeps a session: rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
//! increase hit rates", 1998), spread over the zones.

use marllink::{ServerId, ZoneId};
use marllink_lease_protocol::SessionId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A form host that may keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Which.
    pub server: ServerId,
    /// Where it is.
    pub zone: ZoneId,
}

/// How much a form host is the one for a session: the highest are its keepers.
fn score(session: SessionId, server: ServerId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&session.hi.to_le_bytes());
    bytes[8..].copy_from_slice(&session.lo.to_le_bytes());
    xxh3_64_with_seed(&bytes, server.0)
}

/// Chooses `count` of the candidates, those of `stay` among them first and `but` last of all. No zone
/// has more than its part of them, if there are enough elsewhere.
pub fn choose(
    session: SessionId,
    candidates: &[Candidate],
    count: usize,
    stay: &[ServerId],
    but: Option<ServerId>,
) -> Vec<ServerId> {
    let mut ranked: Vec<_> = candidates.to_vec();
    ranked.sort_by_cached_key(|c| {
        (Some(c.server) == but, !stay.contains(&c.server), std::cmp::Reverse(score(session, c.server)))
    });
    let mut zones: Vec<_> = ranked.iter().filter(|c| Some(c.server) != but).map(|c| c.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let part = count.div_ceil(zones.len().max(1));
    let (mut chosen, mut left) = (Vec::with_capacity(count), Vec::new());
    for candidate in ranked {
        let there = chosen.iter().filter(|c: &&Candidate| c.zone == candidate.zone).count();
        // One that stays has the journal already, which is worth more than an even spread.
        let stays = stay.contains(&candidate.server) && Some(candidate.server) != but;
        if chosen.len() < count && (there < part || stays) && Some(candidate.server) != but {
            chosen.push(candidate);
        } else {
            left.push(candidate);
        }
    }
    let missing = count.saturating_sub(chosen.len());
    chosen.extend(left.into_iter().take(missing));
    chosen.into_iter().map(|c| c.server).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hosts(count: u64, zones: u8) -> Vec<Candidate> {
        (0..count).map(|n| Candidate { server: ServerId(n), zone: ZoneId(n as u8 % zones) }).collect()
    }

    fn session(n: u64) -> SessionId {
        SessionId { hi: n, lo: !n }
    }

    #[test]
    fn every_host_keeps_its_part_and_only_those_of_a_lost_one_move() {
        let all = hosts(12, 1);
        let mut kept = [0; 12];
        let mut moved = 0;
        for n in 0..4_000 {
            let before = choose(session(n), &all, 3, &[], None);
            before.iter().for_each(|s| kept[s.0 as usize] += 1);
            let after = choose(session(n), &all[1..], 3, &[], None);
            moved += after.iter().filter(|s| !before.contains(s)).count();
            assert_eq!(
                after.iter().filter(|s| before.contains(s)).count(),
                if before.contains(&ServerId(0)) { 2 } else { 3 }
            );
        }
        // 1,000 each on the mean; a standard deviation is about 27.
        assert!(kept.iter().all(|k| (880..1_120).contains(k)), "{kept:?}");
        assert_eq!(moved, kept[0]);
    }

    #[test]
    fn no_zone_has_all_where_there_are_two_and_the_holder_is_none_of_them() {
        for n in 0..200 {
            let chosen = choose(session(n), &hosts(12, 2), 3, &[], Some(ServerId(n % 12)));
            let there = chosen.iter().filter(|s| s.0 % 2 == 0).count();
            assert!((1..=2).contains(&there) && chosen.len() == 3);
            assert!(!chosen.contains(&ServerId(n % 12)));
            // Those that stay do, whatever the spread.
            let stay = [ServerId(0), ServerId(2), ServerId(4)];
            let chosen = choose(session(n), &hosts(12, 2), 3, &stay, None);
            assert!(stay.iter().all(|s| chosen.contains(s)));
        }
        // With too few there are fewer, and the holder itself before none.
        assert_eq!(choose(session(1), &hosts(1, 1), 3, &[], Some(ServerId(0))), [ServerId(0)]);
        assert_eq!(choose(session(1), &hosts(2, 1), 1, &[], Some(ServerId(0))), [ServerId(1)]);
    }
}
