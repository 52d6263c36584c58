//! Group affinity, tenant quotas, and fleets in which all servers are slow at once.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

mod support;

use marllink::*;
use std::collections::HashSet;
use support::*;

/// Settings for three nodes, without load reports, with two tenants that have quotas.
fn deployment_settings(group_affinity: bool) -> Settings {
    let tenant = |quota_connections| Tenant { quota_connections };
    Settings {
        nodes: 3,
        group_affinity,
        tenants: vec![tenant(59.0), tenant(41.0)],
        over_quota_value_ratio: 0.1,
        ..settings()
    }
}

fn three_nodes(settings: &Settings, server_count: u64) -> Vec<Node> {
    (1..=3).map(|seed| Node::with_seed(seed, settings.clone(), entries(server_count))).collect()
}

/// Opens a connection of a group and a tenant that is established at once. Returns `None` if the request is
/// rejected or must wait.
fn open(node: &mut Node, group: u64, tenant: u16) -> Option<(RequestId, ServerId)> {
    node.last_request_id += 1;
    let request = RequestId(node.last_request_id);
    let tenant = TenantId(tenant);
    let new = NewRequest { request, tenant, group, time_left_ms: 1_000.0, ..NewRequest::default() };
    let server = selected_server(&node.handle(Event::Request(new)))?;
    node.handle(Event::Established { request, attempt: AttemptNo(0), latency_ms: 1.0 });
    Some((request, server))
}

/// Counts the servers that hold any connection of a group, summed over ten groups of twelve connections that
/// three nodes open in turn.
fn group_server_pairs(group_affinity: bool) -> usize {
    let mut nodes = three_nodes(&deployment_settings(group_affinity), 9);
    let mut pairs = HashSet::new();
    for nth in 0..120u64 {
        let group = 0x1000 + nth % 10;
        let opened = open(&mut nodes[(nth % 3) as usize], group, 0).expect("a server for the request");
        pairs.insert((group, opened.1));
    }
    pairs.len()
}

#[test]
fn group_affinity_keeps_a_group_on_few_servers_without_shared_state() {
    let (without, with) = (group_server_pairs(false), group_server_pairs(true));
    assert!(without > 60, "{without} of 90 pairs of group and server");
    assert!(with < without * 2 / 3, "{with} of {without}");
}

#[test]
fn group_with_half_of_the_connections_does_not_overfill_one_server() {
    let mut node = Node::new(deployment_settings(true), entries(9));
    let mut counts = std::collections::HashMap::<ServerId, u32>::new();
    for nth in 0..90u64 {
        let group = if nth % 2 == 0 { 7 } else { 1_000 + nth };
        let (_, server) = open(&mut node, group, 0).expect("a server for the request");
        *counts.entry(server).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    // An even distribution is ten each.
    assert!(most <= 14, "{counts:?}");
}

#[test]
fn reconnecting_group_is_spread_evenly_while_its_first_server_drains() {
    let mut node = Node::new(deployment_settings(true), entries(9));
    let (_, first) = open(&mut node, 99, 0).expect("a server for the request");
    let draining = ServerEntry { state: ServerState::Draining, ..entry(first.0, 1.0) };
    node.update_list(ListKind::Delta, vec![draining]);
    let opened: Vec<_> = (0..60).filter_map(|_| open(&mut node, 99, 0)).collect();
    assert_eq!(opened.len(), 60);
    assert!(opened.iter().all(|(_, server)| *server != first), "a connection was sent to a draining server");
    // Three servers fill up before the others, and none is overloaded.
    let mut counts: Vec<_> =
        (1..=9).map(|id| opened.iter().filter(|p| p.1 == ServerId(id)).count()).collect();
    counts.sort_unstable();
    assert!(counts[8] <= 12, "{counts:?}");
}

#[test]
fn only_the_tenant_above_its_quota_is_rejected_under_overload() {
    let mut node = Node::new(deployment_settings(false), entries(6));
    let mut opened = Vec::new();
    for nth in 0..60u16 {
        // Five to one, while the quotas are about three to two.
        opened.extend(open(&mut node, 0, u16::from(nth % 6 == 0)));
    }
    assert_eq!(opened.len(), 60, "a request was rejected while no server is overloaded");
    let overloaded = opened[0].1;
    let request = opened.iter().find(|c| c.1 == overloaded).expect("a connection to it").0;
    node.handle(Event::MessageDelay { request, delay_ms: 40.0 });
    node.now += 300.0;
    node.handle(Event::Timer(TimerToken(0)));
    let accepted = |node: &mut Node, tenant| (0..10).filter(|_| open(node, 0, tenant).is_some()).count();
    assert_eq!(accepted(&mut node, 0), 0);
    assert_eq!(accepted(&mut node, 1), 10);
    // The quota no longer applies once no server has been overloaded for a while.
    node.now += 4_000.0;
    node.handle(Event::Timer(TimerToken(0)));
    assert!(accepted(&mut node, 0) > 0);
}

#[test]
fn server_with_slow_connection_setup_gets_no_new_connections() {
    let mut node = Node::new(deployment_settings(false), entries(4));
    let (request, actions) = node.request(1_000.0);
    let slow = selected_server(&actions).expect("a server for the request");
    // The goal for a message is 50 ms.
    node.now += 60.0;
    node.handle(Event::Established { request, attempt: AttemptNo(0), latency_ms: 60.0 });
    for _ in 0..20 {
        assert_ne!(node.open_connection().1, slow);
    }
    node.now += 1_500.0;
    assert!(node.connection_counts(40).contains_key(&slow));
}

#[test]
fn most_clients_are_not_moved_when_all_servers_are_slow() {
    let mut node = Node::new(deployment_settings(false), entries(6));
    let mut opened: Vec<_> = (0..60).filter_map(|_| open(&mut node, 0, 0)).collect();
    let mut moved = 0;
    for _ in 0..5 {
        node.now += 1_000.0;
        for server in 1..=6 {
            let Some((request, _)) = opened.iter().find(|c| c.1 == ServerId(server)).copied() else {
                continue;
            };
            let actions = node.handle(Event::MessageDelay { request, delay_ms: 75.0 });
            for action in &actions {
                if let Action::Move(id) = action {
                    moved += 1;
                    opened.retain(|c| c.0 != *id);
                    node.end_attempt(*id, 0, Outcome::Cancelled, true);
                }
            }
        }
    }
    // Each server has been slow for five reports. Moving everything above the limit would move 33.
    assert!(moved <= 22, "{moved} of 60 were moved");
}
