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

/// Returns the servers in the order in which they become replicas of a session.
pub fn rank(session: SessionId, mut servers: Vec<ServerId>) -> Vec<ServerId> {
    servers.sort_by_cached_key(|server| (std::cmp::Reverse(score(session, *server)), *server));
    servers
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
mod tests;
