//! The guarantees of sessions, checked in a simulated network under the faults that they must survive.
#![allow(missing_docs, reason = "test names describe the guarded failure")]

mod simulated_network;

use marllink_emulator::checker::Verdict;
use marllink_emulator::model::InjectedBug;
use marllink_sessions::Settings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use simulated_network::{Fault, Node, SimulatedNetwork};

fn assert_passed(verdict: &Verdict) {
    assert!(verdict.passed(), "{:#?}", verdict);
    assert_eq!(verdict.abandoned_sessions, 0, "{:#?}", verdict.findings);
}

#[test]
fn sessions_are_created_and_saved_without_faults() {
    let mut network = SimulatedNetwork::new(1, 2, 5, 20, Settings::default(), None);
    network.run_for(5_000.0);
    let verdict = network.finish();
    assert_passed(&verdict);
    assert_eq!((verdict.sessions, verdict.resumed), (20, 0));
    assert!(verdict.confirmed_saves > 1_000, "{}", verdict.confirmed_saves);
}

#[test]
fn a_killed_server_loses_no_confirmed_save() {
    let mut network = SimulatedNetwork::new(2, 2, 6, 30, Settings::default(), None);
    for server in 0..4 {
        network.schedule_fault(2_000.0 + 3_000.0 * server as f64, Fault::Kill(Node::Server(server), 2_000.0));
    }
    network.run_for(16_000.0);
    let verdict = network.finish();
    assert_passed(&verdict);
    assert!(verdict.resumed >= 10, "{}", verdict.resumed);
}

/// Random kills, stalls and partitions of all nodes, drawn from a seed. At most one of three replicas is lost
/// at a time, so no session may be lost.
fn run_random_faults(seed: u64, injected_bug: Option<InjectedBug>) -> Verdict {
    let (balancers, servers) = (3, 8);
    let mut network = SimulatedNetwork::new(seed, balancers, servers, 40, Settings::default(), injected_bug);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xfa17);
    let mut at = 1_500.0;
    while at < 25_000.0 {
        let (balancer, server) =
            (Node::Balancer(rng.random_range(0..balancers)), Node::Server(rng.random_range(0..servers)));
        let fault = match rng.random_range(0..10) {
            0..3 => Fault::Kill(server, rng.random_range(300.0..4_000.0)),
            3..5 => Fault::Stall(server, rng.random_range(100.0..10_000.0)),
            5..7 => Fault::Partition(balancer, server, rng.random_range(100.0..10_000.0)),
            7 => Fault::Kill(balancer, rng.random_range(300.0..2_000.0)),
            8 => Fault::Stall(balancer, rng.random_range(100.0..10_000.0)),
            _ => Fault::RotateKeys(2),
        };
        network.schedule_fault(at, fault);
        // A lost replica is replaced within about 2.5 s.
        at += rng.random_range(3_000.0..5_000.0);
    }
    for step in 0..14 {
        network.run_for(2_000.0);
        // A token is presented at two balancers, and twice at one of them, while its rightful owner is
        // active.
        let client_index = (step * 3) % 40;
        network.present_token(client_index, &[step % balancers, (step + 1) % balancers, step % balancers]);
    }
    network.finish()
}

#[test]
fn random_faults_cause_no_double_holder_and_no_lost_save() {
    for seed in 0..12 {
        let verdict = run_random_faults(seed, None);
        assert!(verdict.passed(), "seed {seed}: {verdict:#?}");
        assert!(verdict.resumed > 20, "seed {seed}: {}", verdict.resumed);
    }
}

fn assert_detected(injected_bug: InjectedBug, count: fn(&Verdict) -> usize) {
    let verdicts: Vec<_> = (0..2).map(|seed| run_random_faults(seed, Some(injected_bug))).collect();
    assert!(verdicts.iter().any(|v| count(v) > 0), "{injected_bug:?}: {:?}", verdicts[0].findings);
}

#[test]
fn a_replica_that_promises_every_claim_is_detected() {
    // Two owners of one session overwrite each other's records endlessly, so a few clients are enough.
    let mut network = SimulatedNetwork::new(1, 2, 5, 4, Settings::default(), Some(InjectedBug::HeldTwice));
    network.run_for(2_000.0);
    for client_index in 0..4 {
        network.present_token(client_index, &[0, 1]);
        network.run_for(200.0);
    }
    assert!(network.check_history().held_twice > 0);
}

#[test]
fn a_replica_that_stores_nothing_is_detected() {
    assert_detected(InjectedBug::LostField, |v| v.missing_saves);
}

#[test]
fn a_holder_that_applies_a_save_twice_is_detected() {
    assert_detected(InjectedBug::DoubleApply, |v| v.applied_twice);
}
