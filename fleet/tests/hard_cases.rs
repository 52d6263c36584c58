//! The hard cases of a large fleet whose balancers see little, each caused here without the bench.
#![allow(missing_docs, reason = "tests are named for what they show")]

mod support;

use marllink::{InjectedBug, Variant};
use marllink_fleet::{Day, Figure, Figures, Kind, Known, Shape, Strategy, What, play};
use support::{day, mean};

fn shape() -> Shape {
    Shape {
        balancers: 100,
        hosts: 40,
        zones: 2,
        per_core: 18.0,
        most_per_core: 60.0,
        uneven: 0.7,
        life_s: 40.0,
        seconds: 20.0,
        kind: Kind::default(),
    }
}

/// Plays it on three seeds. No rule may break whatever happens.
fn run(shape: &Shape, day: &Day, strategy: &Strategy) -> Vec<Figures> {
    let runs: Vec<_> = (1..=3).map(|seed| play(shape, day, strategy, seed)).collect();
    for run in &runs {
        assert!(run.broken.is_empty(), "{:?}", run.broken);
    }
    runs
}

fn ours(day: &Day) -> Vec<Figures> {
    run(&shape(), day, &Strategy::Marllink)
}

#[test]
fn the_same_seed_gives_the_same_run_and_another_does_not() {
    let day =
        day(0.4, vec![(5.0, What::KillBalancers { share: 0.5, back_after_s: 0.5, list: Known::Fresh })]);
    let once = play(&shape(), &day, &Strategy::Marllink, 5);
    assert_eq!(once, play(&shape(), &day, &Strategy::Marllink, 5));
    assert_ne!(once.values, play(&shape(), &day, &Strategy::Marllink, 6).values);
}

#[test]
fn a_calm_day_is_served_by_capacity_with_few_questions_and_no_crossing() {
    let runs = ours(&day(0.4, Vec::new()));
    assert!(mean(&runs, Figure::Served) > 0.96);
    assert!(mean(&runs, Figure::Probes) < 4.0);
    assert!(mean(&runs, Figure::Crossed) < 0.1);
    assert!(mean(&runs, Figure::WaitTail) < 100.0);
    let random = run(&shape(), &day(0.4, Vec::new()), &Strategy::Random);
    assert!(mean(&runs, Figure::Skew) < mean(&random, Figure::Skew) / 3.0);
}

#[test]
fn a_zone_with_four_times_the_traffic_and_a_third_of_the_hosts_is_helped_by_the_others() {
    let crowded = Day { traffic: vec![4.0, 1.0], hosts: vec![1.0, 2.0], ..day(0.55, Vec::new()) };
    let runs = run(&Shape { life_s: 8.0, ..shape() }, &crowded, &Strategy::Marllink);
    // It asks for a third more than its own hosts can do.
    assert!(mean(&runs, Figure::Crossed) > 0.1);
    assert!(mean(&runs, Figure::Served) > 0.8, "{}", mean(&runs, Figure::Served));
}

#[test]
fn one_of_five_zones_is_lost_and_comes_back_cold() {
    let lost = What::LoseZone { zone: 1, for_s: 5.0 };
    let runs = ours(&Day { zones: Some(5), ..day(0.35, vec![(5.0, lost)]) });
    assert!(mean(&runs, Figure::Served) > 0.85, "{}", mean(&runs, Figure::Served));
    assert!(mean(&runs, Figure::ColdOver) < 1.0);
}

#[test]
fn seven_of_ten_balancers_are_killed_in_one_instant() {
    let herd = What::KillBalancers { share: 0.7, back_after_s: 0.5, list: Known::Fresh };
    let runs = ours(&day(0.45, vec![(6.0, herd)]));
    assert!(mean(&runs, Figure::Worst) > 0.6, "{}", mean(&runs, Figure::Worst));
    assert!(mean(&runs, Figure::Dropped) < 0.1, "{}", mean(&runs, Figure::Dropped));
}

#[test]
fn six_of_ten_hosts_are_replaced_within_seven_seconds() {
    let replaced = What::ReplaceHosts { share: 0.6, over_s: 7.0, drain_s: 5.0 };
    let runs = ours(&day(0.4, vec![(5.0, replaced)]));
    assert!(mean(&runs, Figure::Served) > 0.8, "{}", mean(&runs, Figure::Served));
    assert!(mean(&runs, Figure::MovedAtOnce) < 0.2);
}

#[test]
fn one_of_eight_hosts_fails_fast_so_that_it_looks_idle() {
    let fails = What::FailHosts { share: 0.125, rate: 0.8, for_s: 12.0 };
    let runs = ours(&day(0.4, vec![(4.0, fails)]));
    assert!(mean(&runs, Figure::Served) > 0.95, "{}", mean(&runs, Figure::Served));
    assert!(mean(&runs, Figure::Vain) < 0.5, "{}", mean(&runs, Figure::Vain));
}

#[test]
fn reports_four_seconds_late_and_probes_that_fail_cost_little() {
    for what in [
        What::LateReports { ms: 4_000.0, for_s: 12.0 },
        What::MuteProbes { refused: true, for_s: 12.0 },
        What::MuteProbes { refused: false, for_s: 12.0 },
    ] {
        let runs = ours(&day(0.4, vec![(4.0, what.clone())]));
        assert!(mean(&runs, Figure::Served) > 0.92, "{what:?}: {}", mean(&runs, Figure::Served));
    }
}

#[test]
fn all_hosts_at_their_cap_turn_clients_away_with_an_answer() {
    let few = What::FewPlaces { factor: 0.1, for_s: 10.0 };
    let runs = ours(&day(0.4, vec![(4.0, few)]));
    // What was placed before is kept, and nobody waits for an answer that does not come.
    assert!(mean(&runs, Figure::Refused) > 0.1);
    assert!(mean(&runs, Figure::Served) > 0.5, "{}", mean(&runs, Figure::Served));
}

#[test]
fn a_host_that_drops_each_newest_connection_does_not_get_them_all() {
    let drops = What::DropNew { share: 0.125, for_s: 12.0 };
    let runs = ours(&day(0.4, vec![(4.0, drops)]));
    assert!(mean(&runs, Figure::Served) > 0.9, "{}", mean(&runs, Figure::Served));
}

#[test]
fn balancers_that_see_little_and_much_serve_alike() {
    let uneven = Shape { uneven: 1.5, ..shape() };
    let runs = run(&uneven, &day(0.4, Vec::new()), &Strategy::Marllink);
    assert!(mean(&runs, Figure::Served) > 0.95, "{}", mean(&runs, Figure::Served));
}

#[test]
fn a_list_service_that_refuses_three_of_four_calls_holds_nobody_up() {
    let herd = What::KillBalancers { share: 0.7, back_after_s: 0.5, list: Known::Fresh };
    let runs = ours(&day(0.4, vec![(5.0, What::BusyList { for_s: 12.0 }), (6.0, herd)]));
    assert!(mean(&runs, Figure::Served) > 0.85, "{}", mean(&runs, Figure::Served));
}

#[test]
fn each_planted_bug_shows_in_its_figure() {
    let planted = |plant| Strategy::Varied {
        name: "planted".into(),
        with: Variant { injected_bug: Some(plant), ..Variant::default() },
    };
    let worse = |day: &Day, plant, figure, by: f64| {
        let (sound, planted) = (ours(day), run(&shape(), day, &planted(plant)));
        let (sound, planted) = (mean(&sound, figure), mean(&planted, figure));
        assert!(planted > sound * by + 0.01, "{plant:?}: {figure:?} {sound} and {planted}");
    };
    let replaced = What::ReplaceHosts { share: 0.3, over_s: 0.01, drain_s: 5.0 };
    worse(&day(0.4, vec![(5.0, replaced)]), InjectedBug::DrainAtLeastOne, Figure::MovedAtOnce, 1.5);
    worse(&day(0.4, Vec::new()), InjectedBug::CreditByWeight, Figure::Skew, 1.5);
    let fails = What::FailHosts { share: 1.0, rate: 0.9, for_s: 8.0 };
    worse(&day(0.4, vec![(5.0, fails)]), InjectedBug::RetryStorm, Figure::Attempts, 1.5);
    let lost = What::LoseZone { zone: 1, for_s: 4.0 };
    let herd = What::KillBalancers { share: 0.7, back_after_s: 0.3, list: Known::Fresh };
    worse(
        &day(0.6, vec![(5.0, lost), (9.2, herd)]),
        InjectedBug::ColdBudgetNotDivided,
        Figure::ColdOver,
        1.2,
    );
}

#[test]
fn a_zone_that_falls_silent_is_left_before_its_machines_are_back() {
    let hushed = day(0.35, vec![(5.0, What::HushZone { zone: 1, for_s: 5.0 })]);
    let untold = Strategy::Varied {
        name: "planted".into(),
        with: Variant { injected_bug: Some(InjectedBug::UnresponsiveNotReported), ..Variant::default() },
    };
    let (sound, planted) = (ours(&hushed), run(&shape(), &hushed, &untold));
    let (sound, planted) = (mean(&sound, Figure::Worst), mean(&planted, Figure::Worst));
    assert!(sound > planted + 0.03, "worth of the worst 5 s: {sound}, and {planted} where it is not told");
}
