//! The rules of sessions in a world of virtual time, under the faults that they are to hold under.
#![allow(missing_docs, reason = "tests are named for what they show")]

mod world;

use marllink_emulator::checker::Verdict;
use marllink_emulator::model::InjectedBug;
use marllink_sessions::Settings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use world::{Fault, Place, World};

fn kept(verdict: &Verdict) {
    assert!(verdict.passed(), "{:#?}", verdict);
    assert_eq!(verdict.abandoned_sessions, 0, "{:#?}", verdict.findings);
}

#[test]
fn sessions_begin_save_and_stand_without_any_fault() {
    let mut world = World::new(1, 2, 5, 20, Settings::default(), None);
    world.run_for(5_000.0);
    let verdict = world.finish();
    kept(&verdict);
    assert_eq!((verdict.sessions, verdict.resumed), (20, 0));
    assert!(verdict.confirmed_saves > 1_000, "{}", verdict.confirmed_saves);
}

#[test]
fn a_killed_host_costs_no_confirmed_field() {
    let mut world = World::new(2, 2, 6, 30, Settings::default(), None);
    for h in 0..4 {
        world.fault(2_000.0 + 3_000.0 * h as f64, Fault::Kill(Place::Host(h), 2_000.0));
    }
    world.run_for(16_000.0);
    let verdict = world.finish();
    kept(&verdict);
    assert!(verdict.resumed >= 10, "{}", verdict.resumed);
}

/// Kills, stalls and splits of everything, drawn by a seed. Never more than one keeper of three at a
/// time is lost, so no session may be.
fn chaos(seed: u64, plant: Option<InjectedBug>) -> Verdict {
    let (balancers, hosts) = (3, 8);
    let mut world = World::new(seed, balancers, hosts, 40, Settings::default(), plant);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xfa17);
    let mut at = 1_500.0;
    while at < 25_000.0 {
        let (b, h) =
            (Place::Balancer(rng.random_range(0..balancers)), Place::Host(rng.random_range(0..hosts)));
        let fault = match rng.random_range(0..10) {
            0..3 => Fault::Kill(h, rng.random_range(300.0..4_000.0)),
            3..5 => Fault::Stall(h, rng.random_range(100.0..10_000.0)),
            5..7 => Fault::Split(b, h, rng.random_range(100.0..10_000.0)),
            7 => Fault::Kill(b, rng.random_range(300.0..2_000.0)),
            8 => Fault::Stall(b, rng.random_range(100.0..10_000.0)),
            _ => Fault::Keys(2),
        };
        world.fault(at, fault);
        // A keeper that is lost is replaced within some 2.5 s.
        at += rng.random_range(3_000.0..5_000.0);
    }
    for step in 0..14 {
        world.run_for(2_000.0);
        // Each at two balancers and at one twice, while its rightful owner works on.
        let d = (step * 3) % 40;
        world.twins(d, &[step % balancers, (step + 1) % balancers, step % balancers]);
    }
    world.finish()
}

#[test]
fn no_fault_has_a_session_held_twice_or_a_field_lost() {
    for seed in 0..12 {
        let verdict = chaos(seed, None);
        assert!(verdict.passed(), "seed {seed}: {verdict:#?}");
        assert!(verdict.resumed > 20, "seed {seed}: {}", verdict.resumed);
    }
}

fn found(plant: InjectedBug, count: fn(&Verdict) -> usize) {
    let verdicts: Vec<_> = (0..2).map(|seed| chaos(seed, Some(plant))).collect();
    assert!(verdicts.iter().any(|v| count(v) > 0), "{plant:?}: {:?}", verdicts[0].findings);
}

#[test]
fn a_keeper_that_promises_to_everybody_is_found_out() {
    // Two owners of one session write over each other without an end: a few are enough.
    let mut world = World::new(1, 2, 5, 4, Settings::default(), Some(InjectedBug::HeldTwice));
    world.run_for(2_000.0);
    for d in 0..4 {
        world.twins(d, &[0, 1]);
        world.run_for(200.0);
    }
    assert!(world.judge().held_twice > 0);
}

#[test]
fn a_keeper_that_keeps_nothing_is_found_out() {
    found(InjectedBug::LostField, |v| v.missing_saves);
}

#[test]
fn a_holder_that_applies_a_save_again_is_found_out() {
    found(InjectedBug::DoubleApply, |v| v.applied_twice);
}
