//! Groups that share work, tenants with shares, and fleets on which all hosts are slow at once.
#![allow(missing_docs, reason = "tests are named for what they show")]

mod support;

use marllink::*;
use std::collections::HashSet;
use support::*;

/// A site like the second: three nodes, nothing is reported, groups, two tenants with shares.
fn site(groups: bool) -> Settings {
    let tenant = |quota_connections| Tenant { quota_connections };
    Settings {
        nodes: 3,
        group_affinity: groups,
        tenants: vec![tenant(59.0), tenant(41.0)],
        over_quota_value_ratio: 0.1,
        ..settings()
    }
}

fn nodes(settings: &Settings, hosts: u64) -> Vec<Node> {
    (1..=3).map(|seed| Node::seeded(seed, settings.clone(), entries(hosts))).collect()
}

/// One more connection of a group and a tenant that stands at once; `None` if it is refused or must wait.
fn place(node: &mut Node, group: u64, tenant: u16) -> Option<(RequestId, ServerId)> {
    node.next += 1;
    let request = RequestId(node.next);
    let tenant = TenantId(tenant);
    let new = NewRequest { request, tenant, group, time_left_ms: 1_000.0, ..NewRequest::default() };
    let server = sent(&node.on(Event::Request(new)))?;
    node.on(Event::Established { request, attempt: AttemptNo(0), latency_ms: 1.0 });
    Some((request, server))
}

/// Hosts that hold any of a group, summed over ten groups of twelve that three nodes place in turn.
fn spread(groups: bool) -> usize {
    let mut nodes = nodes(&site(groups), 9);
    let mut held = HashSet::new();
    for nth in 0..120u64 {
        let group = 0x1000 + nth % 10;
        let placed = place(&mut nodes[(nth % 3) as usize], group, 0).expect("nothing is in its way");
        held.insert((group, placed.1));
    }
    held.len()
}

#[test]
fn nodes_that_share_nothing_keep_a_group_to_few_hosts() {
    let (alone, agreed) = (spread(false), spread(true));
    assert!(alone > 60, "{alone} of 90 pairs of group and host");
    assert!(agreed < alone * 2 / 3, "{agreed} of {alone}");
}

#[test]
fn one_group_that_is_half_of_all_does_not_fill_one_host() {
    let mut node = Node::new(site(true), entries(9));
    let mut counts = std::collections::HashMap::<ServerId, u32>::new();
    for nth in 0..90u64 {
        let group = if nth % 2 == 0 { 7 } else { 1_000 + nth };
        let (_, server) = place(&mut node, group, 0).expect("nothing is in its way");
        *counts.entry(server).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    // Ten each would be even.
    assert!(most <= 14, "{counts:?}");
}

#[test]
fn a_group_of_sixty_that_comes_back_together_finds_its_next_hosts_while_its_first_drains() {
    let mut node = Node::new(site(true), entries(9));
    let (_, first) = place(&mut node, 99, 0).expect("nothing is in its way");
    let draining = ServerEntry { state: ServerState::Draining, ..entry(first.0, 1.0) };
    node.list(ListKind::Delta, vec![draining]);
    let placed: Vec<_> = (0..60).filter_map(|_| place(&mut node, 99, 0)).collect();
    assert_eq!(placed.len(), 60);
    assert!(placed.iter().all(|(_, server)| *server != first), "a draining host was sent something");
    // Three fill up before the others, and none is pushed over by it.
    let mut counts: Vec<_> =
        (1..=9).map(|id| placed.iter().filter(|p| p.1 == ServerId(id)).count()).collect();
    counts.sort_unstable();
    assert!(counts[8] <= 12, "{counts:?}");
}

#[test]
fn a_tenant_far_above_its_share_is_refused_while_hosts_are_strained_and_the_other_is_not() {
    let mut node = Node::new(site(false), entries(6));
    let mut held = Vec::new();
    for nth in 0..60u16 {
        // Five to one, where the shares are three to two.
        held.extend(place(&mut node, 0, u16::from(nth % 6 == 0)));
    }
    assert_eq!(held.len(), 60, "nobody is turned away while no host is strained");
    let strained = held[0].1;
    let on_it = held.iter().find(|h| h.1 == strained).expect("one is there").0;
    node.on(Event::MessageDelay { request: on_it, delay_ms: 40.0 });
    node.now += 300.0;
    node.on(Event::Timer(TimerToken(0)));
    let served = |node: &mut Node, tenant| (0..10).filter(|_| place(node, 0, tenant).is_some()).count();
    assert_eq!(served(&mut node, 0), 0);
    assert_eq!(served(&mut node, 1), 10);
    // It is over once no host has been strained for a while.
    node.now += 4_000.0;
    node.on(Event::Timer(TimerToken(0)));
    assert!(served(&mut node, 0) > 0);
}

#[test]
fn a_host_that_is_slow_to_set_up_gets_nothing_new_for_a_while() {
    let mut node = Node::new(site(false), entries(4));
    let (request, actions) = node.ask(1_000.0);
    let slow = sent(&actions).expect("nothing is in its way");
    // Messages are wanted within 50 ms.
    node.now += 60.0;
    node.on(Event::Established { request, attempt: AttemptNo(0), latency_ms: 60.0 });
    for _ in 0..20 {
        assert_ne!(node.place().1, slow);
    }
    node.now += 1_500.0;
    assert!(node.shares(40).contains_key(&slow));
}

#[test]
fn where_all_hosts_are_slow_at_once_most_clients_stay_where_they_are() {
    let mut node = Node::new(site(false), entries(6));
    let mut held: Vec<_> = (0..60).filter_map(|_| place(&mut node, 0, 0)).collect();
    let mut moved = 0;
    for _ in 0..5 {
        node.now += 1_000.0;
        for server in 1..=6 {
            let Some((request, _)) = held.iter().find(|h| h.1 == ServerId(server)).copied() else { continue };
            let actions = node.on(Event::MessageDelay { request, delay_ms: 75.0 });
            for action in &actions {
                if let Action::Move(id) = action {
                    moved += 1;
                    held.retain(|h| h.0 != *id);
                    node.end(*id, 0, Outcome::Cancelled, true);
                }
            }
        }
    }
    // All have been slow for five notes. With all that is over the limit moved, 33 go.
    assert!(moved <= 22, "{moved} of 60 were moved");
}
