//! Fault scenarios of a deployment with pushed server lists, no load reports, groups and tenants.
#![allow(missing_docs, reason = "test names say which failure they guard against")]

mod support;

use marllink::{InjectedBug, Variant};
use marllink_fleet::{
    Deployment, FaultKind, FleetSize, Groups, Metric, RunResults, Scenario, Shape, Strategy, Tenant, simulate,
};
use support::{mean, scenario};

fn deployment() -> Deployment {
    Deployment {
        reports_load: false,
        pushes_list: true,
        max_attempts: 3,
        drain_grace_ms: 1_500.0,
        initial_capacity_ratio: 0.25,
        warm_up_ms: 18_000.0,
        groups: Some(Groups { mean_size: 40.0, zipf_exponent: 0.95, cost: 3.0 }),
        tenants: vec![Tenant { share: 0.6, quota: 0.35 }, Tenant { share: 0.4, quota: 0.4 }],
        over_quota_value_ratio: 0.1,
        cross_zone_price: 0.03,
        move_price: 0.01,
        ..Deployment::default()
    }
}

fn shape(balancers: usize, servers: usize) -> Shape {
    Shape {
        balancers,
        servers,
        zones: 3,
        connections_per_core: 15.0,
        max_connections_per_core: 700.0,
        traffic_sigma: 0.2,
        mean_lifetime_s: 30.0,
        duration_s: 30.0,
        deployment: deployment(),
    }
}

fn with_bug(bug: InjectedBug) -> Strategy {
    Strategy::Marllink.with_bug(bug)
}

/// Runs the scenario with four seeds and checks that no invariant is violated.
fn run(shape: &Shape, scenario: &Scenario, strategy: &Strategy) -> Vec<RunResults> {
    let runs: Vec<_> = (1..=4).map(|seed| simulate(shape, scenario, strategy, seed)).collect();
    for run in &runs {
        assert!(run.violations.is_empty(), "{:?}", run.violations);
    }
    runs
}

/// Guards against balancers that never learn of drains because the list was missing at their start.
#[test]
fn lists_pushed_only_after_discovery_is_back_are_followed() {
    let replaced = FaultKind::ReplaceServers { share: 0.5, over_s: 6.0, drain_s: 6.0 };
    let late_list = scenario(0.3, vec![(0.0, FaultKind::DiscoveryDown { for_s: 10.0 }), (14.0, replaced)]);
    let runs = run(&shape(3, 10), &late_list, &Strategy::Marllink);
    assert!(mean(&runs, Metric::ServedRatio) > 0.7, "{}", mean(&runs, Metric::ServedRatio));
    let unwatched = simulate(&shape(3, 10), &late_list, &with_bug(InjectedBug::WatchNeverOpened), 1);
    assert!(
        unwatched.violations.iter().any(|v| v.contains("after it drained")),
        "{:?}",
        unwatched.violations
    );
}

#[test]
fn a_tenant_at_ten_times_its_normal_traffic_takes_little_from_the_other_tenant() {
    let burst = scenario(0.42, vec![(8.0, FaultKind::TenantBurst { tenant: 0, factor: 10.0, for_s: 20.0 })]);
    let correct = mean(&run(&shape(3, 10), &burst, &Strategy::Marllink), Metric::WorstTenantServedRatio);
    let buggy = mean(
        &run(&shape(3, 10), &burst, &with_bug(InjectedBug::TenantQuotasUnknown)),
        Metric::WorstTenantServedRatio,
    );
    assert!(
        correct > buggy + 0.04,
        "served ratio of the tenant within its quota: {correct}, and {buggy} without quotas"
    );
}

#[test]
fn a_group_with_half_of_all_traffic_does_not_overload_its_first_servers() {
    let mut large = shape(300, 60);
    // Five groups, of which the first has half of the connections.
    large.deployment.groups = Some(Groups { mean_size: 60.0, zipf_exponent: 1.4, cost: 3.0 });
    let runs = run(&large, &scenario(0.3, Vec::new()), &Strategy::Marllink);
    assert!(mean(&runs, Metric::ServedRatio) > 0.8, "{}", mean(&runs, Metric::ServedRatio));
    assert!(mean(&runs, Metric::Dropped) < 0.1, "{}", mean(&runs, Metric::Dropped));
}

#[test]
fn the_largest_group_reconnecting_during_drains_does_not_overload_servers_in_slow_start() {
    let replaced = FaultKind::ReplaceServers { share: 0.2, over_s: 1.0, drain_s: 5.0 };
    let reconnect = scenario(0.35, vec![(9.0, replaced), (10.0, FaultKind::GroupReconnect)]);
    let runs = run(&shape(3, 10), &reconnect, &Strategy::Marllink);
    assert!(mean(&runs, Metric::ServedRatio) > 0.75, "{}", mean(&runs, Metric::ServedRatio));
    assert!(mean(&runs, Metric::SlowStartCollapses) < 0.5);
}

#[test]
fn clients_are_not_all_moved_when_every_server_is_slow_for_a_while() {
    let slow = scenario(0.42, vec![(8.0, FaultKind::SlowServers { share: 1.0, factor: 0.4, for_s: 8.0 })]);
    let correct = mean(&run(&shape(60, 40), &slow, &Strategy::Marllink), Metric::Moves);
    let buggy = mean(&run(&shape(60, 40), &slow, &with_bug(InjectedBug::MoveWhenAllSlow)), Metric::Moves);
    assert!(
        buggy > 1.3 * correct,
        "moves for each client: {correct}, and {buggy} if clients leave every overloaded server"
    );
}

#[test]
fn three_balancers_that_each_see_an_idle_server_do_not_overload_it_in_slow_start() {
    let lost = FaultKind::LoseZone { zone: 1, for_s: 4.0 };
    let runs = run(&shape(3, 9), &scenario(0.4, vec![(6.0, lost)]), &Strategy::Marllink);
    assert!(mean(&runs, Metric::SlowStartCollapses) < 0.5, "{}", mean(&runs, Metric::SlowStartCollapses));
}

#[test]
fn every_client_is_answered_when_servers_fail_fast_and_attempts_run_out() {
    let failing = FaultKind::FailServers { share: 1.0, rate: 0.9, for_s: 8.0 };
    let runs = run(&shape(3, 10), &scenario(0.4, vec![(6.0, failing)]), &Strategy::Marllink);
    assert!(mean(&runs, Metric::Rejected) > 0.1 && mean(&runs, Metric::Attempts) < 2.0);
}

#[test]
fn the_same_seed_gives_the_same_run_in_this_deployment_too() {
    let small =
        Scenario { fleet_size: Some(FleetSize { balancers: 30, servers: 20 }), ..scenario(0.4, Vec::new()) };
    let variant = Variant { injected_bug: Some(InjectedBug::WatchNeverOpened), ..Variant::default() };
    let unwatched = Strategy::Modified { name: "marllink".into(), variant };
    for strategy in [Strategy::Marllink, unwatched] {
        assert_eq!(
            simulate(&shape(3, 10), &small, &strategy, 5),
            simulate(&shape(3, 10), &small, &strategy, 5)
        );
    }
}
