//! Regression tests, one for each failure found in benchmarks or incidents.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use marllink::*;
use support::*;

fn report_message_delay(node: &mut Node, request: RequestId, delay_ms: Millis) -> Vec<Action> {
    node.handle(Event::MessageDelay { request, delay_ms })
}

fn move_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Move(_))).count()
}

#[test]
fn server_with_slow_messages_gets_no_new_connections() {
    let mut node = Node::new(settings(), entries(4));
    let (request, overloaded) = node.open_connection();
    report_message_delay(&mut node, request, 40.0);
    for _ in 0..20 {
        assert_ne!(node.open_connection().1, overloaded);
    }
}

#[test]
fn late_server_loses_connections_at_once_in_proportion_to_its_delay() {
    let moved_at = |delay_ms| {
        let mut node = Node::new(settings(), entries(2));
        let opened: Vec<_> = (0..80).map(|_| node.open_connection()).collect();
        let (request, _) = opened[0];
        move_count(&report_message_delay(&mut node, request, delay_ms))
    };
    assert_eq!(moved_at(40.0), 0);
    let (slightly_late, very_late) = (moved_at(60.0), moved_at(1_200.0));
    // The server holds about 40. Those with the most load are moved; the others above its limit end by
    // themselves.
    assert!((1..=3).contains(&slightly_late), "{slightly_late}");
    assert!((6..=10).contains(&very_late), "{very_late}");
}

#[test]
fn connection_with_the_most_load_per_value_is_moved_first() {
    let mut node = Node::new(settings(), entries(1));
    let opened: Vec<_> = (0..10).map(|_| node.open_connection().0).collect();
    node.handle(Event::ConnectionLoad { request: opened[3], load: 90_000.0 });
    let actions = report_message_delay(&mut node, opened[0], 400.0);
    assert!(actions.contains(&Action::Move(opened[3])), "{actions:?}");
}

#[test]
fn last_server_that_is_not_overloaded_does_not_get_all_connections() {
    // Guards against overloading the last server when all others are overloaded: without a limit it received
    // ten times its share.
    let mut node = Node::new(settings(), entries(10));
    let opened: Vec<_> = (0..100).map(|_| node.open_connection()).collect();
    let last = opened[0].1;
    for (request, server) in &opened {
        if *server != last {
            report_message_delay(&mut node, *request, 30.0);
        }
    }
    let (mut accepted, mut rejected) = (0, 0);
    for _ in 0..100 {
        let (_, actions) = node.request(250.0);
        accepted += usize::from(selected_server(&actions) == Some(last));
        rejected += rejection_count(&actions);
    }
    assert!(accepted > 0 && accepted < 30, "{accepted} accepted");
    assert_eq!(accepted + rejected, 100);
}

#[test]
fn server_that_drops_connections_is_ejected_for_longer_each_time() {
    // A server that accepts connections and drops them always has the fewest, so picking by count alone would
    // send it every connection (i9f39d2).
    let mut node = Node::new(settings(), entries(4));
    let mut drops = 0;
    for i in 0..400 {
        node.now = 1_000.0 + 20.0 * f64::from(i);
        if i % 10 == 0 {
            node.handle(Event::Timer(TimerToken(0)));
        }
        let (request, server) = node.open_connection();
        if server == ServerId(1) {
            drops += 1;
            node.end_attempt(request, 0, Outcome::Reset, true);
        }
    }
    assert!(drops <= 5, "picked {drops} times in 8 s");
}

#[test]
fn overloaded_fleet_rejects_new_connections() {
    // i9f39d2: with many nodes and few connections on each, a node knows nothing of most servers, so they
    // look healthy.
    let mut node = Node::new(settings(), entries(40));
    let opened: Vec<_> = (0..20).map(|_| node.open_connection()).collect();
    for (request, _) in &opened {
        report_message_delay(&mut node, *request, 30.0);
    }
    node.now += 1_200.0;
    node.handle(Event::Timer(TimerToken(0)));
    let rejected: usize = (0..20).map(|_| rejection_count(&node.request(250.0).1)).sum();
    assert_eq!(rejected, 20);
}

#[test]
fn fleet_limit_recovers_from_zero() {
    // i6e712b: after all connections were lost in an overload, the limit was zero, and multiplying did not
    // raise it.
    let mut node = Node::new(settings(), entries(40));
    let opened: Vec<_> = (0..100).map(|_| node.open_connection()).collect();
    for round in 0..4 {
        for (request, _) in opened.iter().skip(25 * round) {
            report_message_delay(&mut node, *request, 30.0);
        }
        for (request, _) in opened.iter().skip(25 * round).take(25) {
            node.end_attempt(*request, 0, Outcome::Ok, true);
        }
        node.now += 1_200.0;
        node.handle(Event::Timer(TimerToken(0)));
    }
    for _ in 0..5 {
        node.now += 1_200.0;
        node.handle(Event::Timer(TimerToken(0)));
    }
    let rejected: usize = (0..20).map(|_| rejection_count(&node.request(250.0).1)).sum();
    assert!(rejected <= 5, "{rejected} of 20 rejected after six seconds");
}

#[test]
fn servers_that_join_do_not_cause_rejections() {
    // i0722f5: the fleet more than doubled within seconds. The mean load fell, and with it the limit derived
    // from it.
    let mut node = Node::new(settings(), entries(10));
    node.connection_counts(100);
    node.now = 20_000.0;
    let joined = (11..=40).map(|id| ServerEntry { started_at: 20_000.0, ..entry(id, 1.0) }).collect();
    node.update_list(ListKind::Delta, joined);
    let rejected: usize = (0..20).map(|_| rejection_count(&node.request(250.0).1)).sum();
    assert!(rejected <= 5, "{rejected} of 20 rejected");
}

#[test]
fn attempts_are_throttled_when_most_of_them_fail_everywhere() {
    // When a store shared by all servers is down, further attempts keep it down (fedeclubes).
    let mut node = Node::new(settings(), entries(40));
    let mut sends = 0;
    for i in 0..300 {
        node.now += 5.0;
        let (request, mut actions) = node.request(1_000.0);
        let mut attempt = 0;
        while selected_server(&actions).is_some() {
            sends += 1;
            actions = node.end_attempt(request, attempt, Outcome::Error, false);
            attempt += 1;
        }
        assert_eq!(rejection_count(&actions), 1, "request {i}");
    }
    assert!(sends < 100, "{sends} sends for 300 requests with 4 attempts each");
}

#[test]
fn failed_list_calls_are_retried_soon_and_with_jitter_after_any_number_of_failures() {
    let mut settings = settings();
    settings.discovery = Discovery::Pull;
    settings.nodes = 40;
    let mut delays = Vec::new();
    for seed in 0..20 {
        let mut balancer = Balancer::new(settings.clone(), seed, 0.0);
        let mut actions = Vec::new();
        let list = Event::ServerList { kind: ListKind::Cached, entries: entries(3) };
        balancer.handle(0.0, list, &mut actions);
        for round in 0..12 {
            let fetch_delay_ms = actions.iter().find_map(|a| match a {
                Action::SetTimer { delay_ms, token } if token.0 == 1 => Some(*delay_ms),
                _ => None,
            });
            let delay_ms = fetch_delay_ms.expect("a timer for the next call");
            assert!(delay_ms < settings.rules.fetch_within_ms, "next call after {delay_ms}");
            if round == 1 {
                delays.push(delay_ms as u64);
            }
            // Changes must be known 6 s after discovery recovers, regardless of earlier failures, but calls
            // without a delay would be a busy loop.
            if round > 0 {
                assert!(
                    (200.0..=1_000.0).contains(&delay_ms),
                    "called again after {delay_ms}, round {round}"
                );
            }
            actions.clear();
            balancer.handle(0.0, Event::Timer(TimerToken(1)), &mut actions);
            assert_eq!(actions, [Action::WatchList]);
            actions.clear();
            let failed = Event::ServerList { kind: ListKind::Failed, entries: Vec::new() };
            balancer.handle(0.0, failed, &mut actions);
        }
    }
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 15, "nodes call at the same time: {delays:?}");
}

#[test]
fn connections_to_a_server_removed_from_the_list_do_no_harm() {
    let mut node = Node::new(settings(), entries(2));
    let opened: Vec<_> = (0..10).map(|_| node.open_connection()).collect();
    node.update_list(ListKind::Full, vec![entry(2, 1.0)]);
    for _ in 0..10 {
        assert_eq!(node.open_connection().1, ServerId(2));
    }
    for (request, server) in opened {
        if server == ServerId(1) {
            assert_eq!(rejection_count(&node.end_attempt(request, 0, Outcome::Reset, true)), 0);
        }
    }
    // The server returns under the same id.
    node.update_list(ListKind::Delta, vec![entry(1, 1.0)]);
    node.now += 10_000.0;
    node.handle(Event::Timer(TimerToken(0)));
    assert!(node.connection_counts(30).contains_key(&ServerId(1)));
}

#[test]
fn request_without_any_server_is_rejected_at_once() {
    let mut node = Node::new(settings(), Vec::new());
    let (_, actions) = node.request(1_000.0);
    assert_eq!(rejection_count(&actions), 1);
}

#[test]
fn retry_goes_to_another_server() {
    let mut node = Node::new(settings(), entries(8));
    for _ in 0..50 {
        let (request, actions) = node.request(1_000.0);
        let first = selected_server(&actions).expect("sent");
        let second =
            selected_server(&node.end_attempt(request, 0, Outcome::Full, false)).expect("sent again");
        assert_ne!(first, second);
        node.handle(Event::Established { request, attempt: AttemptNo(1), latency_ms: 1.0 });
        node.now += 20_000.0;
        node.handle(Event::Timer(TimerToken(0)));
    }
}

#[test]
fn own_zone_is_preferred_only_if_crossing_zones_has_a_price() {
    let own_zone_count = |price| {
        let mut settings = settings();
        settings.zones = 4;
        settings.prices.cross_zone = price;
        let list = (1..=12).map(|id| ServerEntry { zone: ZoneId((id % 4) as u8), ..entry(id, 1.0) });
        let counts = Node::new(settings, list.collect()).connection_counts(48);
        counts.iter().filter(|(s, _)| s.0 % 4 == 0).map(|(_, n)| *n).sum::<usize>()
    };
    let (free, priced) = (own_zone_count(0.0), own_zone_count(0.06));
    assert!((9..=18).contains(&free), "{free} of 48 in one of four zones");
    // Servers of the own zone get some more connections each, but the others stay in use.
    assert!((20..=36).contains(&priced), "{priced} of 48 in the own zone");
}

#[test]
fn unexpected_timer_does_not_start_a_second_chain() {
    let mut balancer = Balancer::new(settings(), 1, 0.0);
    let mut actions = Vec::new();
    let list = || Event::ServerList { kind: ListKind::Full, entries: entries(2) };
    balancer.handle(0.0, list(), &mut actions);
    balancer.handle(0.0, list(), &mut actions);
    let timers = actions.iter().filter(|a| matches!(a, Action::SetTimer { .. })).count();
    assert_eq!(timers, 1, "any first list starts housekeeping exactly once");
    actions.clear();
    balancer.handle(300.0, Event::Timer(TimerToken(0)), &mut actions);
    balancer.handle(301.0, Event::Timer(TimerToken(0)), &mut actions);
    assert_eq!(actions.len(), 1);
}

#[test]
fn queued_request_is_sent_when_a_server_is_listed_and_rejected_if_none_is() {
    let mut settings = settings();
    settings.classes[0].setup_goal_ms = 1_000.0;
    let mut node = Node::new(settings, Vec::new());
    let (first, actions) = node.request(3_000.0);
    assert!(actions.is_empty(), "not queued: {actions:?}");
    let actions = node.update_list(ListKind::Full, entries(1));
    assert!(matches!(actions[..], [Action::Send { request, .. }] if request == first), "{actions:?}");
    node.update_list(ListKind::Full, Vec::new());
    let (second, actions) = node.request(3_000.0);
    assert!(actions.is_empty(), "not queued: {actions:?}");
    let mut answers = Vec::new();
    for _ in 0..5 {
        node.now += 200.0;
        answers.extend(node.handle(Event::Timer(TimerToken(0))));
    }
    answers.retain(|a| !matches!(a, Action::SetTimer { .. }));
    assert_eq!(answers, [Action::Reject { request: second, retry_after_ms: 0.0 }]);
}

/// Settings that allow probes, with reports of the utilization.
fn probing_settings() -> Settings {
    let mut settings = settings();
    settings.limits.probe = true;
    settings.report_fields = vec![ReportField::Utilization, ReportField::InFlight];
    settings
}

fn probing_node(servers: u64) -> Node {
    Node::new(probing_settings(), entries(servers))
}

/// Reports a load now and in answer to later probes.
fn report_load(node: &mut Node, server: ServerId, load: f32) {
    node.probe_loads.insert(server, load);
    let report = vec![load, 20.0];
    assert_eq!(node.handle(Event::ProbeResult { server, ok: true, report }), []);
}

/// Runs housekeeping once, and returns the number of moved connections.
fn tick(node: &mut Node) -> usize {
    node.now += 200.0;
    move_count(&node.handle(Event::Timer(TimerToken(0))))
}

/// Runs housekeeping `ticks` times, and returns the servers probed.
fn run_ticks(node: &mut Node, ticks: u32) -> Vec<ServerId> {
    let mut probed = Vec::new();
    for _ in 0..ticks {
        node.now += 200.0;
        let actions = node.handle(Event::Timer(TimerToken(0)));
        probed.extend(actions.iter().filter_map(|a| if let Action::Probe(s) = a { Some(*s) } else { None }));
    }
    probed
}

#[test]
fn server_that_reports_overload_loses_connections_and_gets_no_new_ones() {
    // On real sockets an overloaded server still answers lines at once, so no message delay was reported, and
    // no connections were moved off servers at 1.07 and 1.68 of their capacity.
    let mut node = probing_node(4);
    (1..=4).for_each(|id| report_load(&mut node, ServerId(id), 0.3));
    let mut opened = Vec::new();
    for _ in 0..80 {
        opened.push(node.open_connection());
        node.handle(Event::ConnectionLoad { request: opened[opened.len() - 1].0, load: 1_000.0 });
        tick(&mut node);
    }
    let overloaded = opened[0].1;
    assert!(run_ticks(&mut node, 10).contains(&overloaded));
    report_load(&mut node, overloaded, 0.65);
    assert_eq!(tick(&mut node), 0);
    report_load(&mut node, overloaded, 1.6);
    let moved = tick(&mut node);
    assert!((10..=13).contains(&moved), "{moved} of 20 moved; a share of 0.9 / 1.6 is above the limit");
    for _ in 0..20 {
        assert_ne!(node.open_connection().1, overloaded);
    }
    // The next report may still show the earlier load.
    report_load(&mut node, overloaded, 1.6);
    assert_eq!(tick(&mut node), 0);
}

#[test]
fn load_added_after_a_report_counts_before_the_next_one() {
    // Reports are up to a second old: a burst filled servers that still looked idle.
    let mut node = probing_node(2);
    let opened: Vec<_> = (0..40).map(|_| node.open_connection()).collect();
    for (request, _) in &opened {
        node.handle(Event::ConnectionLoad { request: *request, load: 1_000.0 });
    }
    run_ticks(&mut node, 10);
    let (request, filling) = opened[0];
    for server in [opened[0].1, opened.iter().find(|p| p.1 != filling).expect("a second server").1] {
        report_load(&mut node, server, 0.5);
    }
    assert_eq!(tick(&mut node), 0);
    // Half of its capacity is 20 connections of 1,000; one connection that grows by 12,000 raises the load to
    // 0.8.
    node.handle(Event::ConnectionLoad { request, load: 13_000.0 });
    for _ in 0..10 {
        assert_ne!(node.open_connection().1, filling);
    }
}

#[test]
fn draining_server_loses_its_clients_gradually_within_seconds() {
    // A draining server keeps its connections until it stops, and then drops them.
    let mut node = Node::new(settings(), entries(2));
    let opened: Vec<_> = (0..40).map(|_| node.open_connection()).collect();
    let leaving = opened[0].1;
    let connection_count = opened.iter().filter(|(_, server)| *server == leaving).count();
    let draining = ServerEntry { state: ServerState::Draining, ..entry(leaving.0, 1.0) };
    node.update_list(ListKind::Delta, vec![draining]);
    let mut moved = Vec::new();
    for _ in 0..20 {
        node.now += 200.0;
        moved.push(move_count(&node.handle(Event::Timer(TimerToken(0)))));
    }
    assert_eq!(moved.iter().sum::<usize>(), connection_count);
    assert!(
        moved.iter().all(|m| *m <= connection_count / 3) && moved.iter().filter(|m| **m > 0).count() > 5,
        "{moved:?}"
    );
}

#[test]
fn nodes_with_one_connection_each_do_not_leave_a_draining_server_simultaneously() {
    // A share of one connection, rounded up, is one connection: all nodes moved theirs in the same
    // housekeeping cycle.
    let mut moved = [0; 24];
    for seed in 0..200 {
        let mut node = Node::with_seed(seed, settings(), entries(1));
        node.open_connection();
        let draining = ServerEntry { state: ServerState::Draining, ..entry(1, 1.0) };
        node.update_list(ListKind::Delta, vec![draining]);
        for tick in &mut moved {
            node.now += 200.0;
            *tick += move_count(&node.handle(Event::Timer(TimerToken(0))));
        }
    }
    assert_eq!(moved.iter().sum::<usize>(), 200, "{moved:?}");
    assert!(moved.iter().all(|m| *m < 40), "{moved:?}");
}

#[test]
fn overloaded_server_loses_connections_although_each_node_holds_only_one() {
    let mut moved = 0;
    for seed in 0..200 {
        let mut node = Node::with_seed(seed, probing_settings(), entries(1));
        let (request, _) = node.open_connection();
        node.handle(Event::ConnectionLoad { request, load: 10_000.0 });
        report_load(&mut node, ServerId(1), 1.0);
        node.now += 200.0;
        moved += move_count(&node.handle(Event::Timer(TimerToken(0))));
    }
    // Three tenths of the load are above the limit.
    assert!((40..80).contains(&moved), "{moved} of 200");
}

#[test]
fn pick_is_answered_when_the_only_server_is_removed_while_probed() {
    // Found by the fleet simulation: the server was removed while it was probed, and the client got no
    // answer.
    let mut node = probing_node(1);
    let (request, mut actions) = (RequestId(1), Vec::new());
    let new = NewRequest { request, time_left_ms: 2_000.0, ..NewRequest::default() };
    node.balancer.handle(node.now, Event::Request(new), &mut actions);
    assert!(actions.contains(&Action::Probe(ServerId(1))) && selected_server(&actions).is_none());
    node.update_list(ListKind::Full, Vec::new());
    let mut answers = 0;
    for _ in 0..10 {
        node.now += 200.0;
        answers += rejection_count(&node.handle(Event::Timer(TimerToken(2))));
        answers += rejection_count(&node.handle(Event::Timer(TimerToken(0))));
    }
    assert_eq!(answers, 1);
}

#[test]
fn fleet_below_its_overload_limit_accepts_requests_at_high_load() {
    // The limit, derived from the mean of the reports, restricted a node that had just moved connections to
    // the few it had left.
    let mut node = probing_node(4);
    node.connection_counts(80);
    run_ticks(&mut node, 10);
    for server in 1..=4 {
        report_load(&mut node, ServerId(server), 0.68);
    }
    // The limit of the fleet is updated once a second.
    run_ticks(&mut node, 6);
    let (_, actions) = node.request(100.0);
    assert!(selected_server(&actions).is_some(), "{actions:?}");
}

#[test]
fn request_that_fails_everywhere_does_not_eject_servers() {
    // For example an invalid request from a client of another node: ten of these ejected half of the servers,
    // and the retry limiter rejected the clients of the others.
    let mut node = Node::new(settings(), entries(6));
    for _ in 0..4 {
        let (request, mut actions) = node.request(2_000.0);
        let mut attempts = 0;
        while selected_server(&actions).is_some() {
            actions = node.end_attempt(request, attempts, Outcome::Error, false);
            attempts += 1;
        }
        assert_eq!((attempts, rejection_count(&actions)), (3, 1));
        node.now += 100.0;
    }
    assert_eq!(node.connection_counts(60).len(), 6);
}

#[test]
fn request_with_reset_attempts_is_retried_further() {
    // After three resets within 13 ms, a client was rejected whose fourth attempt would have succeeded.
    let mut node = Node::new(settings(), entries(6));
    let (request, _) = node.request(2_000.0);
    for attempt in 0..3 {
        let actions = node.end_attempt(request, attempt, Outcome::Reset, false);
        assert!(selected_server(&actions).is_some(), "{attempt}: {actions:?}");
    }
}

#[test]
fn server_that_fails_where_another_succeeds_is_ejected() {
    let mut node = Node::new(settings(), entries(6));
    let (request, actions) = node.request(2_000.0);
    let failing = selected_server(&actions).expect("a server for the request");
    let actions = node.end_attempt(request, 0, Outcome::Error, false);
    assert_ne!(selected_server(&actions), Some(failing));
    node.handle(Event::Established { request, attempt: AttemptNo(1), latency_ms: 1.0 });
    assert_eq!(node.connection_counts(60).get(&failing), None);
}

#[test]
fn servers_that_refuse_connections_are_all_ejected_without_throttling() {
    // With three of five servers down, the third was never ejected, and its failures triggered the throttle.
    let mut node = Node::new(settings(), entries(5));
    let mut connect_failures = 0;
    for _ in 0..20 {
        let (request, mut actions) = node.request(2_000.0);
        let mut attempt = 0;
        while selected_server(&actions).is_some_and(|server| server.0 <= 3) {
            connect_failures += 1;
            actions = node.end_attempt(request, attempt, Outcome::ConnectFailed, false);
            attempt += 1;
        }
        assert_eq!(rejection_count(&actions), 0, "{actions:?}");
        node.end_attempt(request, attempt, Outcome::Ok, true);
        node.now += 10.0;
    }
    assert!(connect_failures <= 3, "{connect_failures}");
}

#[test]
fn restarted_server_gets_clients_although_the_node_opened_none_for_long() {
    // The slow-start budget was estimated from the node's own new connections alone; a node that rejects
    // everything has none.
    let mut settings = settings();
    settings.limits.probe = true;
    settings.report_fields = vec![ReportField::Utilization, ReportField::InFlight];
    settings.rules = Rules {
        initial_capacity_ratio: 0.35,
        warm_up_ms: 9_000.0,
        collapse_load_ratio: 3.0,
        collapse_after_ms: 3_000.0,
        ..settings.rules
    };
    let mut node = Node::new(settings, entries(4));
    node.connection_counts(40);
    for server in 1..=4 {
        report_load(&mut node, ServerId(server), 0.4);
    }
    run_ticks(&mut node, 300);
    let restarted = ServerEntry { started_at: node.now, ..entry(4, 1.0) };
    node.update_list(ListKind::Delta, vec![restarted]);
    let mut accepted = 0;
    for _ in 0..20 {
        run_ticks(&mut node, 1);
        for server in 1..=3 {
            report_load(&mut node, ServerId(server), 0.75);
        }
        let (_, actions) = node.request(100.0);
        accepted += usize::from(selected_server(&actions) == Some(ServerId(4)));
    }
    // 20 connections are a load of 0.4 to 0.75, so 27 to 50 fill a warmed-up server, after 9 s. It starts at
    // 0.35 of that, and half of three times its capacity may be sent.
    assert!((3..=12).contains(&accepted), "{accepted}");
}

fn set_maintenance(node: &mut Node, begins: bool) -> Vec<Action> {
    node.handle(Event::Maintenance { server: ServerId(1), begins })
}

#[test]
fn server_in_maintenance_stays_drained_regardless_of_the_list() {
    let mut node = Node::new(settings(), entries(4));
    node.connection_counts(20);
    set_maintenance(&mut node, true);
    let mut moved = 0;
    while node.now < 10_000.0 {
        node.now += 200.0;
        for action in node.handle(Event::Timer(TimerToken(0))) {
            if let Action::Move(request) = action {
                moved += 1;
                node.end_attempt(request, 0, Outcome::Cancelled, true);
            }
        }
    }
    assert!(moved >= 4, "too few connections were moved: {moved}");
    for entries in [entries(4), entries(4).split_off(1), entries(4)] {
        node.update_list(ListKind::Full, entries);
        assert!(
            !node.connection_counts(20).contains_key(&ServerId(1)),
            "a connection was sent to a server in maintenance"
        );
    }
    set_maintenance(&mut node, false);
    // After maintenance it is in slow start. It gets the first connection, as random draws might not select
    // it for long and operators wait to see it serve.
    assert_eq!(node.open_connection().1, ServerId(1));
    let slow_start_count = node.connection_counts(40).get(&ServerId(1)).copied().unwrap_or_default();
    assert!(slow_start_count < 10, "{slow_start_count} of 40 to a server in slow start, one of four");
    // It has served since, so ending its maintenance again has no effect.
    set_maintenance(&mut node, false);
    node.now += 40_000.0;
    assert!(node.connection_counts(40).get(&ServerId(1)).is_some_and(|n| *n >= 8));
}

#[test]
fn failures_of_a_server_are_cleared_when_its_maintenance_ends() {
    let mut node = Node::new(settings(), entries(3));
    node.connection_counts(9);
    for _ in 0..6 {
        // Enough failures for the longest ejection.
        let (request, server) = node.open_connection();
        node.now += 100.0;
        if server == ServerId(1) {
            node.end_attempt(request, 0, Outcome::Reset, false);
        }
    }
    set_maintenance(&mut node, true);
    set_maintenance(&mut node, false);
    assert_eq!(node.open_connection().1, ServerId(1));
}

#[test]
fn unsafe_request_fails_at_once_when_it_may_have_been_executed() {
    // The answer was held until the end of the latency goal, waiting for a server although none could be
    // used.
    let mut settings = settings();
    settings.classes[0].idempotency = Idempotency::Unsafe;
    let mut node = Node::new(settings, entries(3));
    let (request, actions) = node.request(2_000.0);
    assert!(matches!(actions[..], [Action::Send { timeout_ms: 2_000.0, .. }]), "{actions:?}");
    assert_eq!(node.end_attempt(request, 0, Outcome::Reset, false), [Action::Fail(request)]);
    let (request, _) = node.request(2_000.0);
    assert!(selected_server(&node.end_attempt(request, 0, Outcome::ConnectFailed, false)).is_some());
}

#[test]
fn successor_does_not_overestimate_the_load_of_servers() {
    // Reports in the successor's first second were assumed not to include the load that it had taken over, so
    // servers looked twice as loaded: they got no new connections, and connections were moved off them.
    let mut old = probing_node(4);
    let mut servers = Vec::new();
    for _ in 0..40 {
        let (request, server) = old.open_connection();
        old.handle(Event::ConnectionLoad { request, load: 1_000.0 });
        servers.push(server);
    }
    for _ in 0..10 {
        tick(&mut old);
    }
    (1..=4).for_each(|id| report_load(&mut old, ServerId(id), 0.5));
    let mut new = probing_node(4);
    new.now = 500_000.0;
    new.handle(Event::TakeOver(old.balancer.learned_state()));
    new.handle(Event::PredecessorHoldings(old.balancer.holdings()));
    let mut moved = tick(&mut new);
    (1..=4).for_each(|id| report_load(&mut new, ServerId(id), 0.5));
    let mut holdings = old.balancer.holdings();
    for (i, server) in servers.into_iter().enumerate() {
        let held = holdings.iter_mut().find(|held| held.server == server).expect("a holding");
        (held.open, held.load) = (held.open - 1, held.load - 1_000.0);
        new.handle(Event::PredecessorHoldings(holdings.clone()));
        let request = NewRequest { request: RequestId(1_000 + i as u64), ..NewRequest::default() };
        new.handle(Event::OpenConnection { request, server });
        new.handle(Event::ConnectionLoad { request: RequestId(1_000 + i as u64), load: 1_000.0 });
        assert!(selected_server(&new.request(1_000.0).1).is_some(), "no server gets a new connection");
        moved += tick(&mut new);
    }
    assert_eq!(moved, 0);
}

#[test]
fn successor_keeps_maintenance_ejections_and_slow_start_budgets() {
    let mut old = Node::new(settings(), entries(4));
    old.connection_counts(12);
    set_maintenance(&mut old, true);
    old.update_list(ListKind::Delta, vec![ServerEntry { started_at: 900.0, ..entry(2, 1.0) }]);
    for _ in 0..3 {
        // A failure ejects it for some seconds.
        let (request, server) = old.open_connection();
        if server == ServerId(3) {
            old.end_attempt(request, 0, Outcome::ConnectFailed, false);
        }
        old.now += 60.0;
    }
    let learned = old.balancer.learned_state();
    let mut new = Node::with_seed(2, settings(), entries(4));
    new.now = 700_000.0;
    new.handle(Event::TakeOver(learned.clone()));
    let taken_over = new.balancer.learned_state();
    assert_eq!(taken_over.in_maintenance, [ServerId(1)]);
    let clock_offset_ms = new.now - learned.now;
    for (id, history) in learned.servers {
        let known = taken_over.servers.iter().find(|(other, _)| *other == id).expect("a known server");
        assert_eq!(known.1, history.shifted(clock_offset_ms));
    }
    for _ in 0..12 {
        assert_ne!(selected_server(&new.request(100.0).1), Some(ServerId(1)));
    }
}

#[test]
fn slow_start_budget_grows_while_the_server_reports_little_load() {
    // While servers were replaced one after another, clients were rejected for seconds although the servers
    // that had just started were nearly empty.
    let sends_at_load = |slow_start_load: f32| {
        let mut settings = settings();
        settings.limits.probe = true;
        settings.report_fields = vec![ReportField::Utilization, ReportField::InFlight];
        let (initial_capacity_ratio, warm_up_ms) = (0.35, 9_000.0);
        let (collapse_load_ratio, collapse_after_ms) = (3.0, 3_000.0);
        settings.rules = Rules {
            initial_capacity_ratio,
            warm_up_ms,
            collapse_load_ratio,
            collapse_after_ms,
            ..Rules::default()
        };
        let mut node = Node::new(settings, entries(4));
        node.connection_counts(400);
        node.now += 5_000.0;
        let started = (5..=6).map(|id| ServerEntry { started_at: node.now, ..entry(id, 1.0) });
        node.update_list(ListKind::Delta, started.collect());
        let mut sends = 0;
        for _ in 0..200 {
            node.now += 20.0;
            // The others are busy.
            (1..=6).for_each(|id| {
                report_load(&mut node, ServerId(id), if id > 4 { slow_start_load } else { 0.75 })
            });
            sends += usize::from(selected_server(&node.request(100.0).1).is_some());
        }
        sends
    };
    let (idle, loaded) = (sends_at_load(0.1), sends_at_load(0.5));
    assert!(idle > loaded && idle <= 2 * loaded, "{idle} and {loaded}");
}

/// A node with connections to all servers of two zones, with two servers each that answer probes.
fn node_with_two_zones() -> (Node, Vec<(RequestId, ServerId)>) {
    let mut settings = settings();
    (settings.zones, settings.limits.probe) = (2, true);
    settings.report_fields = vec![ReportField::Utilization, ReportField::InFlight];
    let list = (0..4).map(|id| ServerEntry { zone: ZoneId((id / 2) as u8), ..entry(id, 1.0) }).collect();
    let mut node = Node::new(settings, list);
    node.probe_loads = (0..4).map(|id| (ServerId(id), 0.3)).collect();
    let opened = (0..24).map(|_| node.open_connection()).collect();
    (node, opened)
}

fn moved_requests(actions: &[Action]) -> Vec<RequestId> {
    let id = |a: &Action| if let Action::Move(id) = a { Some(*id) } else { None };
    actions.iter().filter_map(id).collect()
}

#[test]
fn all_connections_leave_an_unresponsive_zone_after_one_overdue_reply() {
    // Half of the connections to a lost zone remained for over two seconds, moved one by one at random.
    let (mut node, opened) = node_with_two_zones();
    node.now += 2_000.0;
    node.probe_loads.clear();
    let actions = node.handle(Event::Unresponsive { server: ServerId(2), symptom: Symptom::OverdueReply });
    assert!(
        actions.contains(&Action::Probe(ServerId(2))) && moved_requests(&actions).is_empty(),
        "{actions:?}"
    );
    node.now += 200.0;
    let actions = node.handle(Event::Unresponsive { server: ServerId(2), symptom: Symptom::ConnectTimeout });
    let requests_of = |server: u64| opened.iter().filter(move |p| p.1 == ServerId(server)).map(|p| p.0);
    let (mut moved, mut expected) = (moved_requests(&actions), requests_of(2).collect::<Vec<_>>());
    moved.sort();
    expected.sort();
    assert!(moved == expected && !moved.is_empty(), "{moved:?} {expected:?}");
    // The other server of the zone is probed although none of its replies is overdue; those of the other zone
    // are not.
    assert!(actions.contains(&Action::Probe(ServerId(3))), "{actions:?}");
    assert!(!actions.iter().any(|a| matches!(a, Action::Probe(ServerId(0 | 1)))), "{actions:?}");
    node.now += 200.0;
    let actions = node.handle(Event::Unresponsive { server: ServerId(3), symptom: Symptom::ConnectTimeout });
    assert_eq!(moved_requests(&actions).len(), requests_of(3).count());
}

#[test]
fn server_with_an_overdue_reply_is_probed_and_keeps_its_connections() {
    let (mut node, _) = node_with_two_zones();
    node.now += 2_000.0;
    let actions = node.handle(Event::Unresponsive { server: ServerId(2), symptom: Symptom::OverdueReply });
    assert!(actions.contains(&Action::Probe(ServerId(2))), "{actions:?}");
    // It has answered the probe, so the connect timeout afterwards, after a lost packet, proves nothing.
    node.now += 200.0;
    assert!(
        moved_requests(
            &node.handle(Event::Unresponsive { server: ServerId(2), symptom: Symptom::ConnectTimeout })
        )
        .is_empty()
    );
}

#[test]
fn pick_that_waits_for_an_earlier_probe_resumes_after_its_timeout() {
    // A server that seemed unresponsive was probed and never answered. A pick that had drawn it waited only
    // for that probe, and its client got no answer in time.
    let mut settings = settings();
    settings.limits.probe = true;
    settings.report_fields = vec![ReportField::Utilization];
    let mut node = Node::new(settings, entries(1));
    let mut actions = Vec::new();
    let unresponsive = Event::Unresponsive { server: ServerId(1), symptom: Symptom::OverdueReply };
    node.balancer.handle(node.now, unresponsive, &mut actions);
    assert_eq!(actions, [Action::Probe(ServerId(1))]);
    actions.clear();
    let new = NewRequest { request: RequestId(1), time_left_ms: 1_000.0, ..NewRequest::default() };
    node.balancer.handle(node.now, Event::Request(new), &mut actions);
    // Each draw that waits sets a timer; after the last, the server is picked although it has not answered.
    for _ in 0..4 {
        let timer = actions.iter().find_map(|a| match a {
            Action::SetTimer { delay_ms, token } => Some((*delay_ms, *token)),
            _ => None,
        });
        if selected_server(&actions).is_some() {
            break;
        }
        let (delay_ms, token) = timer.expect("a timer that resumes the pick");
        node.now += delay_ms;
        actions.clear();
        node.balancer.handle(node.now, Event::Timer(token), &mut actions);
    }
    assert_eq!(selected_server(&actions), Some(ServerId(1)));
}
