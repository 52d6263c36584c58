//! The hard cases of a deployment that pushes its lists, reports no load, and has groups and tenants.
#![allow(missing_docs, reason = "tests are named for what they show")]

mod support;

use marllink::{InjectedBug, Variant};
use marllink_fleet::{Day, Figure, Figures, Fleet, Groups, Kind, Shape, Strategy, Tenant, What, play};
use support::{day, mean};

fn kind() -> Kind {
    Kind {
        reports: false,
        pushed: true,
        attempts: 3,
        grace_ms: 1_500.0,
        cold_from: 0.25,
        warm_ms: 18_000.0,
        groups: Some(Groups { size: 40.0, zipf: 0.95, cost: 3.0 }),
        tenants: vec![Tenant { share: 0.6, quota: 0.35 }, Tenant { share: 0.4, quota: 0.4 }],
        over_share_worth: 0.1,
        crossing: 0.03,
        moves: 0.01,
        ..Kind::default()
    }
}

fn shape(balancers: usize, hosts: usize) -> Shape {
    Shape {
        balancers,
        hosts,
        zones: 3,
        per_core: 15.0,
        most_per_core: 700.0,
        uneven: 0.2,
        life_s: 30.0,
        seconds: 30.0,
        kind: kind(),
    }
}

fn planted(plant: InjectedBug) -> Strategy {
    Strategy::Marllink.planted(plant)
}

/// Plays it on four seeds. No rule may break whatever happens.
fn ours(shape: &Shape, day: &Day, strategy: &Strategy) -> Vec<Figures> {
    let runs: Vec<_> = (1..=4).map(|seed| play(shape, day, strategy, seed)).collect();
    for run in &runs {
        assert!(run.broken.is_empty(), "{:?}", run.broken);
    }
    runs
}

#[test]
fn a_fleet_whose_agents_say_nothing_at_first_takes_what_is_told_once_they_speak() {
    let replaced = What::ReplaceHosts { share: 0.5, over_s: 6.0, drain_s: 6.0 };
    let silent = day(0.3, vec![(0.0, What::NoList { for_s: 10.0 }), (14.0, replaced)]);
    let runs = ours(&shape(3, 10), &silent, &Strategy::Marllink);
    assert!(mean(&runs, Figure::Served) > 0.7, "{}", mean(&runs, Figure::Served));
    let unwatched = play(&shape(3, 10), &silent, &planted(InjectedBug::WatchNeverOpened), 1);
    assert!(unwatched.broken.iter().any(|b| b.contains("after it drained")), "{:?}", unwatched.broken);
}

#[test]
fn one_tenant_at_ten_times_its_usual_takes_little_from_the_other() {
    let over = day(0.42, vec![(8.0, What::TenantBurst { tenant: 0, times: 10.0, for_s: 20.0 })]);
    let sound = mean(&ours(&shape(3, 10), &over, &Strategy::Marllink), Figure::LeastTenant);
    let blind =
        mean(&ours(&shape(3, 10), &over, &planted(InjectedBug::TenantQuotasUnknown)), Figure::LeastTenant);
    assert!(sound > blind + 0.04, "the tenant that keeps to its share: {sound}, and {blind}");
}

#[test]
fn one_group_that_is_half_of_all_traffic_does_not_fill_its_first_hosts() {
    let mut many = shape(300, 60);
    // Five groups, of which the first is half of all.
    many.kind.groups = Some(Groups { size: 60.0, zipf: 1.4, cost: 3.0 });
    let runs = ours(&many, &day(0.3, Vec::new()), &Strategy::Marllink);
    assert!(mean(&runs, Figure::Served) > 0.8, "{}", mean(&runs, Figure::Served));
    assert!(mean(&runs, Figure::Dropped) < 0.1, "{}", mean(&runs, Figure::Dropped));
}

#[test]
fn the_largest_group_comes_back_together_while_hosts_drain() {
    let replaced = What::ReplaceHosts { share: 0.2, over_s: 1.0, drain_s: 5.0 };
    let back = day(0.35, vec![(9.0, replaced), (10.0, What::GroupReconnect)]);
    let runs = ours(&shape(3, 10), &back, &Strategy::Marllink);
    assert!(mean(&runs, Figure::Served) > 0.75, "{}", mean(&runs, Figure::Served));
    assert!(mean(&runs, Figure::ColdOver) < 0.5);
}

#[test]
fn every_host_slow_at_once_and_then_well_is_no_reason_to_move_all_clients() {
    let slow = day(0.42, vec![(8.0, What::SlowHosts { share: 1.0, factor: 0.4, for_s: 8.0 })]);
    let sound = mean(&ours(&shape(60, 40), &slow, &Strategy::Marllink), Figure::Moves);
    let all = mean(&ours(&shape(60, 40), &slow, &planted(InjectedBug::MoveWhenAllSlow)), Figure::Moves);
    assert!(all > 1.3 * sound, "moves for each client: {sound}, and {all} where all over the limit go");
}

#[test]
fn a_cold_host_that_three_balancers_each_see_idle_is_not_pushed_over() {
    let lost = What::LoseZone { zone: 1, for_s: 4.0 };
    let runs = ours(&shape(3, 9), &day(0.4, vec![(6.0, lost)]), &Strategy::Marllink);
    assert!(mean(&runs, Figure::ColdOver) < 0.5, "{}", mean(&runs, Figure::ColdOver));
}

#[test]
fn hosts_that_fail_fast_use_up_three_attempts_and_every_client_is_answered() {
    let fails = What::FailHosts { share: 1.0, rate: 0.9, for_s: 8.0 };
    let runs = ours(&shape(3, 10), &day(0.4, vec![(6.0, fails)]), &Strategy::Marllink);
    assert!(mean(&runs, Figure::Refused) > 0.1 && mean(&runs, Figure::Attempts) < 2.0);
}

#[test]
fn the_same_seed_gives_the_same_run_of_this_kind_too() {
    let small = Day { fleet: Some(Fleet { balancers: 30, hosts: 20 }), ..day(0.4, Vec::new()) };
    let with = Variant { injected_bug: Some(InjectedBug::WatchNeverOpened), ..Variant::default() };
    let unwatched = Strategy::Varied { name: "marllink".into(), with };
    for strategy in [Strategy::Marllink, unwatched] {
        assert_eq!(play(&shape(3, 10), &small, &strategy, 5), play(&shape(3, 10), &small, &strategy, 5));
    }
}
