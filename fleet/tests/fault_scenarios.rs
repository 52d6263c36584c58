//! Fault scenarios of a large fleet in which each balancer sees little of the traffic.
#![allow(missing_docs, reason = "test names say which failure they guard against")]

mod support;

use marllink::{InjectedBug, Variant};
use marllink_fleet::{
    Deployment, FaultKind, InitialList, Metric, RunResults, Scenario, Shape, Strategy, simulate,
};
use support::{mean, scenario};

fn shape() -> Shape {
    Shape {
        balancers: 100,
        servers: 40,
        zones: 2,
        connections_per_core: 18.0,
        max_connections_per_core: 60.0,
        traffic_sigma: 0.7,
        mean_lifetime_s: 40.0,
        duration_s: 20.0,
        deployment: Deployment::default(),
    }
}

/// Runs the scenario with three seeds and checks that no invariant is violated.
fn run(shape: &Shape, scenario: &Scenario, strategy: &Strategy) -> Vec<RunResults> {
    let runs: Vec<_> = (1..=3).map(|seed| simulate(shape, scenario, strategy, seed)).collect();
    for run in &runs {
        assert!(run.violations.is_empty(), "{:?}", run.violations);
    }
    runs
}

fn run_marllink(scenario: &Scenario) -> Vec<RunResults> {
    run(&shape(), scenario, &Strategy::Marllink)
}

#[test]
fn the_same_seed_gives_the_same_run_and_another_seed_does_not() {
    let scenario = scenario(
        0.4,
        vec![(
            5.0,
            FaultKind::KillBalancers { share: 0.5, back_after_s: 0.5, initial_list: InitialList::Current },
        )],
    );
    let once = simulate(&shape(), &scenario, &Strategy::Marllink, 5);
    assert_eq!(once, simulate(&shape(), &scenario, &Strategy::Marllink, 5));
    assert_ne!(once.values, simulate(&shape(), &scenario, &Strategy::Marllink, 6).values);
}

#[test]
fn without_faults_load_follows_capacity_with_few_probes_and_little_cross_zone_traffic() {
    let runs = run_marllink(&scenario(0.4, Vec::new()));
    assert!(mean(&runs, Metric::ServedRatio) > 0.96);
    assert!(mean(&runs, Metric::Probes) < 4.0);
    assert!(mean(&runs, Metric::CrossZone) < 0.1);
    assert!(mean(&runs, Metric::WaitP99) < 100.0);
    let random = run(&shape(), &scenario(0.4, Vec::new()), &Strategy::Random);
    assert!(mean(&runs, Metric::Skew) < mean(&random, Metric::Skew) / 3.0);
}

#[test]
fn an_overloaded_zone_sends_its_excess_to_other_zones() {
    let overloaded = Scenario {
        traffic_shares: vec![4.0, 1.0],
        server_shares: vec![1.0, 2.0],
        ..scenario(0.55, Vec::new())
    };
    let runs = run(&Shape { mean_lifetime_s: 8.0, ..shape() }, &overloaded, &Strategy::Marllink);
    // The first zone's load is a third above the capacity of its own servers.
    assert!(mean(&runs, Metric::CrossZone) > 0.1);
    assert!(mean(&runs, Metric::ServedRatio) > 0.8, "{}", mean(&runs, Metric::ServedRatio));
}

#[test]
fn the_loss_of_one_of_five_zones_costs_little_service_and_few_slow_start_collapses() {
    let lost = FaultKind::LoseZone { zone: 1, for_s: 5.0 };
    let runs = run_marllink(&Scenario { zones: Some(5), ..scenario(0.35, vec![(5.0, lost)]) });
    assert!(mean(&runs, Metric::ServedRatio) > 0.85, "{}", mean(&runs, Metric::ServedRatio));
    assert!(mean(&runs, Metric::SlowStartCollapses) < 1.0);
}

#[test]
fn service_continues_when_seven_of_ten_balancers_are_killed_at_once() {
    let killed =
        FaultKind::KillBalancers { share: 0.7, back_after_s: 0.5, initial_list: InitialList::Current };
    let runs = run_marllink(&scenario(0.45, vec![(6.0, killed)]));
    assert!(mean(&runs, Metric::WorstServedRatio) > 0.6, "{}", mean(&runs, Metric::WorstServedRatio));
    assert!(mean(&runs, Metric::Dropped) < 0.1, "{}", mean(&runs, Metric::Dropped));
}

#[test]
fn replacing_six_of_ten_servers_in_seven_seconds_does_not_move_clients_in_bursts() {
    let replaced = FaultKind::ReplaceServers { share: 0.6, over_s: 7.0, drain_s: 5.0 };
    let runs = run_marllink(&scenario(0.4, vec![(5.0, replaced)]));
    assert!(mean(&runs, Metric::ServedRatio) > 0.8, "{}", mean(&runs, Metric::ServedRatio));
    assert!(mean(&runs, Metric::MoveBurst) < 0.2);
}

#[test]
fn servers_that_fail_fast_and_look_idle_do_not_attract_the_traffic() {
    let failing = FaultKind::FailServers { share: 0.125, rate: 0.8, for_s: 12.0 };
    let runs = run_marllink(&scenario(0.4, vec![(4.0, failing)]));
    assert!(mean(&runs, Metric::ServedRatio) > 0.95, "{}", mean(&runs, Metric::ServedRatio));
    assert!(mean(&runs, Metric::WastedAttempts) < 0.5, "{}", mean(&runs, Metric::WastedAttempts));
}

#[test]
fn reports_four_seconds_late_and_failing_probes_cost_little_service() {
    for fault in [
        FaultKind::LateReports { delay_ms: 4_000.0, for_s: 12.0 },
        FaultKind::FailProbes { refused: true, for_s: 12.0 },
        FaultKind::FailProbes { refused: false, for_s: 12.0 },
    ] {
        let runs = run_marllink(&scenario(0.4, vec![(4.0, fault.clone())]));
        assert!(mean(&runs, Metric::ServedRatio) > 0.92, "{fault:?}: {}", mean(&runs, Metric::ServedRatio));
    }
}

#[test]
fn clients_are_rejected_with_an_answer_when_all_servers_are_at_their_connection_limit() {
    let lowered = FaultKind::LowerConnectionLimits { factor: 0.1, for_s: 10.0 };
    let runs = run_marllink(&scenario(0.4, vec![(4.0, lowered)]));
    // Established connections are kept, and each request gets a final answer.
    assert!(mean(&runs, Metric::Rejected) > 0.1);
    assert!(mean(&runs, Metric::ServedRatio) > 0.5, "{}", mean(&runs, Metric::ServedRatio));
}

#[test]
fn servers_that_drop_new_connections_do_not_attract_the_traffic() {
    let dropping = FaultKind::DropNewConnections { share: 0.125, for_s: 12.0 };
    let runs = run_marllink(&scenario(0.4, vec![(4.0, dropping)]));
    assert!(mean(&runs, Metric::ServedRatio) > 0.9, "{}", mean(&runs, Metric::ServedRatio));
}

#[test]
fn very_uneven_traffic_shares_of_balancers_do_not_reduce_service() {
    let uneven = Shape { traffic_sigma: 1.5, ..shape() };
    let runs = run(&uneven, &scenario(0.4, Vec::new()), &Strategy::Marllink);
    assert!(mean(&runs, Metric::ServedRatio) > 0.95, "{}", mean(&runs, Metric::ServedRatio));
}

#[test]
fn balancers_serve_after_a_restart_while_discovery_rejects_three_of_four_calls() {
    let killed =
        FaultKind::KillBalancers { share: 0.7, back_after_s: 0.5, initial_list: InitialList::Current };
    let runs =
        run_marllink(&scenario(0.4, vec![(5.0, FaultKind::BusyDiscovery { for_s: 12.0 }), (6.0, killed)]));
    assert!(mean(&runs, Metric::ServedRatio) > 0.85, "{}", mean(&runs, Metric::ServedRatio));
}

#[test]
fn each_injected_bug_worsens_its_metric() {
    let with_bug = |bug| Strategy::Modified {
        name: "with-bug".into(),
        variant: Variant { injected_bug: Some(bug), ..Variant::default() },
    };
    let assert_worse = |scenario: &Scenario, bug, metric, ratio: f64| {
        let (correct, buggy) = (run_marllink(scenario), run(&shape(), scenario, &with_bug(bug)));
        let (correct, buggy) = (mean(&correct, metric), mean(&buggy, metric));
        assert!(
            buggy > correct * ratio + 0.01,
            "{bug:?}: {metric:?} is {correct} without and {buggy} with the bug"
        );
    };
    let replaced = FaultKind::ReplaceServers { share: 0.3, over_s: 0.01, drain_s: 5.0 };
    assert_worse(&scenario(0.4, vec![(5.0, replaced)]), InjectedBug::DrainAtLeastOne, Metric::MoveBurst, 1.5);
    assert_worse(&scenario(0.4, Vec::new()), InjectedBug::CreditByWeight, Metric::Skew, 1.5);
    let failing = FaultKind::FailServers { share: 1.0, rate: 0.9, for_s: 8.0 };
    assert_worse(&scenario(0.4, vec![(5.0, failing)]), InjectedBug::RetryStorm, Metric::Attempts, 1.5);
    let lost = FaultKind::LoseZone { zone: 1, for_s: 4.0 };
    let killed =
        FaultKind::KillBalancers { share: 0.7, back_after_s: 0.3, initial_list: InitialList::Current };
    assert_worse(
        &scenario(0.6, vec![(5.0, lost), (9.2, killed)]),
        InjectedBug::ColdBudgetNotDivided,
        Metric::SlowStartCollapses,
        1.2,
    );
}

#[test]
fn an_unresponsive_zone_is_avoided_before_its_machines_are_back() {
    let unresponsive = scenario(0.35, vec![(5.0, FaultKind::UnresponsiveZone { zone: 1, for_s: 5.0 })]);
    let not_reported = Strategy::Modified {
        name: "with-bug".into(),
        variant: Variant { injected_bug: Some(InjectedBug::UnresponsiveNotReported), ..Variant::default() },
    };
    let (correct, buggy) = (run_marllink(&unresponsive), run(&shape(), &unresponsive, &not_reported));
    let (correct, buggy) = (mean(&correct, Metric::WorstServedRatio), mean(&buggy, Metric::WorstServedRatio));
    assert!(
        correct > buggy + 0.03,
        "served ratio of the worst 5 s: {correct}, and {buggy} if unresponsive servers are not reported"
    );
}
