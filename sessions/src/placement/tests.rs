//! Tests of the selection of replicas.

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
    assert!(sessions_per_server.iter().all(|count| (880..1_120).contains(count)), "{sessions_per_server:?}");
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
