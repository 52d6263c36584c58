//! Servers in slow start under the connections of all balancers together. A server that is allowed N
//! connections collapses above N + 2 x sqrt(N) + 2.
#![allow(missing_docs, reason = "test names say which failure they guard against")]

mod support;

use marllink::{InjectedBug, Variant};
use marllink_fleet::{Deployment, FaultKind, InitialList, Metric, Scenario, Shape, Strategy, simulate};
use support::{mean, scenario};

/// Returns the mean number of collapsed servers in a run, over six seeds.
fn collapses(balancers: usize, servers: usize, scenario: &Scenario, bug: Option<InjectedBug>) -> f64 {
    let shape = Shape {
        balancers,
        servers,
        zones: 3,
        connections_per_core: 18.0,
        max_connections_per_core: 60.0,
        traffic_sigma: 0.7,
        mean_lifetime_s: 40.0,
        duration_s: 25.0,
        deployment: Deployment { collapse_allows_variation: true, ..Deployment::default() },
    };
    let variant = Variant { injected_bug: bug, ..Variant::default() };
    let strategy = Strategy::Modified { name: "marllink".into(), variant };
    let runs: Vec<_> = (1..=6).map(|seed| simulate(&shape, scenario, &strategy, seed)).collect();
    mean(&runs, Metric::SlowStartCollapses)
}

/// Six of ten servers are replaced, and the rate of new clients rises by half.
fn replacement_under_burst() -> Scenario {
    let replaced = FaultKind::ReplaceServers { share: 0.6, over_s: 7.0, drain_s: 5.0 };
    scenario(0.42, vec![(6.0, replaced), (8.0, FaultKind::Burst { factor: 1.5, for_s: 6.0 })])
}

#[test]
fn three_or_thirty_balancers_do_not_overload_servers_in_slow_start_during_a_burst() {
    for (balancers, servers) in [(3, 10), (30, 18)] {
        let collapses = collapses(balancers, servers, &replacement_under_burst(), None);
        assert!(collapses <= 0.5, "{balancers} balancers: {collapses} collapses in a run");
    }
}

/// Guards against restarted balancers that have no record of the connections that they sent before.
#[test]
fn restarted_balancers_do_not_overload_servers_in_slow_start() {
    let lost = FaultKind::LoseZone { zone: 1, for_s: 4.0 };
    let restart =
        FaultKind::KillBalancers { share: 0.7, back_after_s: 0.3, initial_list: InitialList::Current };
    let collapses = collapses(30, 18, &scenario(0.45, vec![(6.0, lost), (10.2, restart)]), None);
    assert!(collapses <= 0.5, "{collapses} collapses in a run");
}

#[test]
fn balancers_that_do_not_divide_the_slow_start_budget_overload_servers() {
    let collapses = collapses(30, 18, &replacement_under_burst(), Some(InjectedBug::ColdBudgetNotDivided));
    assert!(collapses > 1.0, "{collapses} collapses in a run");
}
