//! Which servers are probed, which picks wait, and for how long a report counts.
#![allow(missing_docs, reason = "test names state what they check")]

use marllink_server_state::{Command, Event, ProbePool, ProbeSettings};
use proptest::prelude::*;

type Pool = ProbePool<u32, f64>;

fn handle(pool: &mut Pool, now: f64, event: Event<u32, f64>) -> Vec<Command<u32>> {
    let mut commands = Vec::new();
    pool.handle(now, event, &mut commands);
    commands
}

fn request_pick(pool: &mut Pool, now: f64, pick: u64, servers: &[u32]) -> Vec<Command<u32>> {
    handle(pool, now, Event::PickRequested { pick, servers: servers.to_vec() })
}

fn report_load(pool: &mut Pool, now: f64, server: u32, load: f64) -> Vec<Command<u32>> {
    handle(pool, now, Event::ProbeCompleted { server, report: Some(load) })
}

#[test]
fn a_fresh_report_saves_probes_for_a_bounded_number_of_picks() {
    let mut pool = Pool::new(ProbeSettings { max_uses: 2, ..ProbeSettings::default() });
    assert_eq!(request_pick(&mut pool, 0.0, 1, &[7]), [Command::Probe(7)]);
    assert_eq!(report_load(&mut pool, 5.0, 7, 0.3), [Command::Proceed(1)]);
    for pick in 2..4 {
        assert_eq!(request_pick(&mut pool, 10.0, pick, &[7]), [Command::Proceed(pick)]);
        assert!(handle(&mut pool, 10.0, Event::ReportUsed(7)).is_empty());
    }
    assert_eq!(request_pick(&mut pool, 11.0, 4, &[7]), [Command::Probe(7)]);
    report_load(&mut pool, 12.0, 7, 0.4);
    assert_eq!(request_pick(&mut pool, 900.0, 5, &[7]), [Command::Probe(7)], "the report is no longer fresh");
}

#[test]
fn a_pick_proceeds_without_the_missing_reports_when_it_times_out() {
    let mut pool = Pool::new(ProbeSettings::default());
    request_pick(&mut pool, 0.0, 1, &[1, 2]);
    report_load(&mut pool, 10.0, 1, 0.5);
    assert_eq!(pool.next_timeout(), Some(80.0));
    assert!(handle(&mut pool, 40.0, Event::Timeout).is_empty());
    assert!(!pool.is_unresponsive(79.0, 2));
    assert_eq!(handle(&mut pool, 80.0, Event::Timeout), [Command::Proceed(1)]);
    assert!(pool.is_unresponsive(80.0, 2), "no answer within the pick timeout");
    assert_eq!(pool.next_timeout(), None);
    // The late report is still recorded.
    assert!(report_load(&mut pool, 90.0, 2, 0.9).is_empty());
    assert_eq!(pool.report(91.0, 2), Some(&0.9));
}

#[test]
fn one_probe_serves_all_picks_that_wait_for_it() {
    let mut pool = Pool::new(ProbeSettings::default());
    assert_eq!(request_pick(&mut pool, 0.0, 1, &[1]), [Command::Probe(1)]);
    assert!(request_pick(&mut pool, 1.0, 2, &[1]).is_empty());
    assert_eq!(report_load(&mut pool, 9.0, 1, 0.1), [Command::Proceed(1), Command::Proceed(2)]);
}

#[test]
fn a_failed_probe_delays_no_pick_and_pauses_probes_of_that_server() {
    let mut pool = Pool::new(ProbeSettings::default());
    request_pick(&mut pool, 0.0, 1, &[1]);
    assert!(!pool.is_unresponsive(4.0, 1));
    assert_eq!(
        handle(&mut pool, 5.0, Event::ProbeCompleted { server: 1, report: None }),
        [Command::Proceed(1)]
    );
    assert!(pool.is_unresponsive(10.0, 1) && !pool.is_unresponsive(2_100.0, 1));
    assert_eq!(request_pick(&mut pool, 10.0, 2, &[1]), [Command::Proceed(2)]);
    assert_eq!(request_pick(&mut pool, 2_100.0, 3, &[1]), [Command::Probe(1)]);
    // An unanswered probe is followed by another once it has timed out.
    handle(&mut pool, 2_200.0, Event::Timeout);
    assert_eq!(request_pick(&mut pool, 3_700.0, 4, &[1]), [Command::Probe(1)]);
}

#[test]
fn a_removed_server_delays_no_pick() {
    let mut pool = Pool::new(ProbeSettings::default());
    request_pick(&mut pool, 0.0, 1, &[1, 2]);
    assert!(handle(&mut pool, 1.0, Event::Removed(1)).is_empty());
    assert!(handle(&mut pool, 2.0, Event::Removed(2)).is_empty());
    assert_eq!(
        handle(&mut pool, 2.5, Event::Timeout),
        [Command::Proceed(1)],
        "the pick outlives its servers"
    );
    assert!(report_load(&mut pool, 3.0, 1, 0.2).is_empty());
    assert_eq!(pool.report(3.0, 1), None);
}

#[test]
fn a_report_beyond_its_maximum_age_is_ignored() {
    let mut pool = Pool::new(ProbeSettings::default());
    request_pick(&mut pool, 0.0, 1, &[1]);
    report_load(&mut pool, 1.0, 1, 0.2);
    assert_eq!(pool.report(5_000.0, 1), Some(&0.2));
    assert_eq!(pool.report(5_002.0, 1), None);
    assert_eq!(pool.report_age(5_002.0, 1), Some(5_001.0));
}

#[test]
fn a_successor_restores_the_reports_of_its_predecessor() {
    let mut predecessor = Pool::new(ProbeSettings::default());
    request_pick(&mut predecessor, 0.0, 1, &[1]);
    report_load(&mut predecessor, 1.0, 1, 0.2);
    let mut successor = Pool::new(ProbeSettings::default());
    for (server, at, report) in predecessor.recent_reports(100.0) {
        successor.restore(at + 1_000.0, server, report);
    }
    assert_eq!(successor.report(1_100.0, 1), Some(&0.2));
    assert!(predecessor.recent_reports(9_000.0).is_empty());
}

#[test]
fn probes_in_flight_are_bounded_and_lost_ones_free_their_slots() {
    let mut pool = Pool::new(ProbeSettings { max_in_flight: 2, ..ProbeSettings::default() });
    assert_eq!(request_pick(&mut pool, 0.0, 1, &[1, 2, 3]), [Command::Probe(1), Command::Probe(2)]);
    assert_eq!(request_pick(&mut pool, 1.0, 2, &[4]), [Command::Proceed(2)]);
    assert_eq!(request_pick(&mut pool, 1_600.0, 3, &[4]), [Command::Probe(4)]);
}

#[test]
fn a_refresh_probes_the_oldest_reports_within_its_credit_and_is_not_blocked_by_unanswered_probes() {
    let mut pool = Pool::new(ProbeSettings { credit_per_event: 1.0, ..ProbeSettings::default() });
    for server in 1..=4 {
        request_pick(&mut pool, 0.0, u64::from(server), &[server]);
        report_load(&mut pool, f64::from(server) * 10.0, server, 0.3);
    }
    let refresh = |pool: &mut Pool, now| handle(pool, now, Event::Refresh(vec![4, 3, 2, 1]));
    assert!(refresh(&mut pool, 2_000.0).is_empty(), "no credit");
    (0..3).for_each(|_| assert!(handle(&mut pool, 2_000.0, Event::RefreshCredited).is_empty()));
    assert!(refresh(&mut pool, 900.0).is_empty(), "the reports are recent enough");
    assert_eq!(refresh(&mut pool, 2_000.0), [Command::Probe(1), Command::Probe(2)]);
    assert_eq!(refresh(&mut pool, 2_200.0), [Command::Probe(3)]);
    assert!(refresh(&mut pool, 2_400.0).is_empty(), "the credit is spent");
}

proptest! {
    /// Every pick proceeds exactly once and within its timeout, for any sequence of events.
    #[test]
    fn every_pick_proceeds_once_and_in_time(
        steps in proptest::collection::vec((0u8..6, 0u32..6, 0.0..80.0f64), 1..300)
    ) {
        let settings = ProbeSettings { max_in_flight: 4, ..ProbeSettings::default() };
        let mut pool = Pool::new(settings.clone());
        let (mut now, mut next_pick) = (0.0, 0);
        let mut waiting = std::collections::BTreeMap::new();
        for (kind, server, elapsed_ms) in steps {
            now += elapsed_ms;
            let mut commands = handle(&mut pool, now, Event::Timeout);
            match kind {
                0 | 1 => {
                    next_pick += 1;
                    waiting.insert(next_pick, now);
                    commands.extend(request_pick(&mut pool, now, next_pick, &[server, (server + 1) % 6]));
                }
                2 => commands.extend(report_load(&mut pool, now, server, 0.5)),
                3 => commands.extend(handle(&mut pool, now, Event::ProbeCompleted { server, report: None })),
                4 => commands.extend(handle(&mut pool, now, Event::Removed(server))),
                _ => {
                    // Cancels the newest waiting pick, which must not proceed after that.
                    if let Some((&pick, _)) = waiting.last_key_value()
                        && !commands.contains(&Command::Proceed(pick))
                    {
                        waiting.remove(&pick);
                        commands.extend(handle(&mut pool, now, Event::PickCancelled(pick)));
                    }
                }
            }
            for command in commands {
                if let Command::Proceed(pick) = command {
                    let requested_at = waiting.remove(&pick);
                    prop_assert!(requested_at.is_some(), "pick {} proceeded twice or without a request", pick);
                    // A timeout event comes at most one step late.
                    prop_assert!(now - requested_at.unwrap_or(now) <= settings.pick_timeout_ms + 80.5);
                }
            }
        }
        now += settings.pick_timeout_ms;
        for command in handle(&mut pool, now, Event::Timeout) {
            if let Command::Proceed(pick) = command {
                prop_assert!(waiting.remove(&pick).is_some());
            }
        }
        prop_assert!(waiting.is_empty(), "{:?} never proceeded", waiting);
    }
}
