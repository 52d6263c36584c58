//! Cold hosts under the sum of what all balancers send, against the platform's own bound: N + 2 x root of N + 2.
#![allow(missing_docs, reason = "tests are named for what they show")]

mod support;

use marllink::{InjectedBug, Variant};
use marllink_fleet::{Day, Figure, Kind, Known, Shape, Strategy, What, play};
use support::{day, mean};

/// Falls a day over six seeds, where so many balancers stand before so many hosts.
fn falls(balancers: usize, hosts: usize, day: &Day, plant: Option<InjectedBug>) -> f64 {
    let shape = Shape {
        balancers,
        hosts,
        zones: 3,
        per_core: 18.0,
        most_per_core: 60.0,
        uneven: 0.7,
        life_s: 40.0,
        seconds: 25.0,
        kind: Kind { fall_by_chance: true, ..Kind::default() },
    };
    let with = Variant { injected_bug: plant, ..Variant::default() };
    let strategy = Strategy::Varied { name: "marllink".into(), with };
    let runs: Vec<_> = (1..=6).map(|seed| play(&shape, day, &strategy, seed)).collect();
    mean(&runs, Figure::ColdOver)
}

/// Six of ten hosts are replaced, and half as many more clients come.
fn join() -> Day {
    let replaced = What::ReplaceHosts { share: 0.6, over_s: 7.0, drain_s: 5.0 };
    day(0.42, vec![(6.0, replaced), (8.0, What::Burst { times: 1.5, for_s: 6.0 })])
}

#[test]
fn three_and_thirty_balancers_together_push_no_cold_host_over_under_a_burst() {
    for (balancers, hosts) in [(3, 10), (30, 18)] {
        let falls = falls(balancers, hosts, &join(), None);
        assert!(falls <= 0.5, "{balancers} balancers: {falls} a day");
    }
}

#[test]
fn balancers_that_restart_and_forget_what_they_have_sent_push_none_over() {
    let lost = What::LoseZone { zone: 1, for_s: 4.0 };
    let herd = What::KillBalancers { share: 0.7, back_after_s: 0.3, list: Known::Fresh };
    let falls = falls(30, 18, &day(0.45, vec![(6.0, lost), (10.2, herd)]), None);
    assert!(falls <= 0.5, "{falls} a day");
}

#[test]
fn balancers_that_do_not_count_each_other_push_many_over() {
    let falls = falls(30, 18, &join(), Some(InjectedBug::ColdBudgetNotDivided));
    assert!(falls > 1.0, "{falls} a day");
}
