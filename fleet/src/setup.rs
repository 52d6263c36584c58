//! Initial state of a fleet: server sizes, zones, traffic shares, and the balancers' settings.

use crate::balancer::SimulatedBalancer;
use crate::deployment::{ConnectionClass, Deployment, ServerSize};
use crate::scenario::{InitialList, Scenario, Shape};
use marllink::{
    Class as ClassSettings, Discovery, Idempotency, Limits, NodeId, Prices, ReportField, Rules, Settings,
    ZoneId,
};
use marllink_emulator::model::fluid::{
    Class, DiscoveryLimits, DiscoveryService, ReconnectPolicy, Server, ServerConfig,
};
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use rustc_hash::FxHashMap;

/// Sigma of the log-normal distribution of true server speeds around the registered ones.
const SPEED_SIGMA: f64 = 0.15;
/// Safety margin in the balancers' settings: slow start is assumed to begin at a capacity lower by this
/// factor than it really does, and to take longer by the same factor.
const SLOW_START_MARGIN: f64 = 9.0 / 7.0;

/// Returns shares by zone that sum to 1; equal shares if none are given.
pub fn zone_shares(given: &[f64], zones: usize) -> Vec<f64> {
    let share_of = |zone: usize| if given.is_empty() { 1.0 } else { given.get(zone).copied().unwrap_or(0.0) };
    let sum: f64 = (0..zones).map(share_of).sum();
    (0..zones).map(|zone| share_of(zone) / sum.max(f64::MIN_POSITIVE)).collect()
}

/// Draws an index with a probability in proportion to its share.
pub fn draw_index(shares: &[f64], rng: &mut SmallRng) -> usize {
    let mut remaining = rng.random::<f64>() * shares.iter().sum::<f64>();
    for (index, share) in shares.iter().enumerate() {
        remaining -= share;
        if remaining < 0.0 {
            return index;
        }
    }
    shares.iter().rposition(|s| *s > 0.0).unwrap_or(0)
}

/// Returns the classes of connections: one for each pair of class and tenant, with the tenants of a class
/// next to each other. Loads are scaled so that `connections_per_core` average connections use up a standard
/// core.
pub fn classes(deployment: &Deployment, connections_per_core: f64) -> Vec<Class> {
    let mean: f64 = deployment.classes.iter().map(|c| c.share * c.load).sum();
    let class_of = |class: &ConnectionClass, tenant| Class {
        share: class.share * deployment.tenant_share(tenant),
        value: class.value,
        load: class.load / mean / connections_per_core,
        setup_work_ms: 8.0,
        message_goal_ms: class.message_goal_ms,
        goal_to_usual_ratio: class.goal_to_usual_ratio,
    };
    let tenants = deployment.tenant_count();
    deployment
        .classes
        .iter()
        .flat_map(|class| (0..tenants).map(move |tenant| class_of(class, tenant)))
        .collect()
}

/// Returns the groups' relative shares of the connections, which need not sum to 1; empty if there are no
/// groups.
pub fn group_shares(deployment: &Deployment, connections: f64) -> Vec<f64> {
    let Some(groups) = deployment.groups else { return Vec::new() };
    let count = (connections / groups.mean_size).round().max(1.0) as usize;
    (1..=count).map(|rank| (rank as f64).powf(-groups.zipf_exponent)).collect()
}

pub fn servers(
    shape: &Shape,
    scenario: &Scenario,
    deployment: &Deployment,
    zones: usize,
    classes: &[Class],
    rng: &mut SmallRng,
) -> Vec<Server> {
    let by_zone = zone_shares(&scenario.server_shares, zones);
    let size_shares: Vec<f64> = deployment.server_sizes.iter().map(|size| size.share).collect();
    let speed_distribution = LogNormal::new(0.0, SPEED_SIGMA).expect("sigma is finite and positive");
    (0..shape.servers)
        .map(|index| {
            let ServerSize { cores, speed, .. } = deployment.server_sizes[draw_index(&size_shares, rng)];
            // Each zone has at least one server, however small its share.
            let zone = if index < zones { index } else { draw_index(&by_zone, rng) };
            let config = ServerConfig {
                zone,
                weight: cores * speed,
                cores: cores * speed * speed_distribution.sample(rng),
                max_connections: (cores * shape.max_connections_per_core) as usize,
                max_setup_wait_ms: 400.0,
                max_backlog_ms: 1_500.0,
                initial_capacity_ratio: deployment.initial_capacity_ratio,
                warm_up_ms: deployment.warm_up_ms,
                group_load: deployment.groups.map_or(0.0, |g| g.cost / shape.connections_per_core),
            };
            Server::new(config, classes, -1e9, 0.0)
        })
        .collect()
}

pub fn reconnect_policy(rng: &mut SmallRng) -> ReconnectPolicy {
    ReconnectPolicy {
        honors_retry_after_ratio: 0.4 * rng.random::<f64>(),
        reconnect_delay_ms: (170.0, 1_700.0),
        backoff_ms: (40.0, 320.0),
        move_delay_ms: (20.0, 200.0),
        attempt_timeout_ms: 4_800.0,
    }
}

/// Creates discovery. A call transfers one line for each server: with a list of 90 servers, each slot serves
/// some tens of calls a second. The duration of a call grows with the list, up to four times as long.
pub fn discovery(shape: &Shape, rng: &mut SmallRng) -> DiscoveryService {
    let transfer_ms = 20.0 * rng.random_range(0.5..1.5) * (shape.servers as f64 / 90.0).min(4.0);
    DiscoveryService::new(DiscoveryLimits { concurrency: 4, call_ms: transfer_ms, queue_timeout_ms: 2_000.0 })
}

pub fn balancers(
    shape: &Shape,
    deployment: &Deployment,
    zones: usize,
    cores: f64,
    rng: &mut SmallRng,
) -> Vec<SimulatedBalancer> {
    let fleet_connections = cores * shape.connections_per_core;
    let share_distribution =
        LogNormal::new(0.0, shape.traffic_sigma).expect("sigma is finite and not negative");
    (0..shape.balancers)
        .map(|index| SimulatedBalancer {
            policy: None,
            incarnation: 0,
            settings: settings(shape, deployment, zones, index, fleet_connections),
            traffic_share: share_distribution.sample(rng),
            in_rotation: false,
            subscribed: false,
            requests: Vec::new(),
            drain_notified_at: FxHashMap::default(),
            shutting_down: false,
            initial_list: InitialList::Current,
        })
        .collect()
}

/// Returns a balancer's settings. `fleet_connections` is the number of connections that all servers can
/// serve.
fn settings(
    shape: &Shape,
    deployment: &Deployment,
    zones: usize,
    index: usize,
    fleet_connections: f64,
) -> Settings {
    let class = |class: &ConnectionClass| ClassSettings {
        setup_goal_ms: 800.0,
        idempotency: Idempotency::Safe,
        value: class.value,
        message_goal_ms: class.message_goal_ms,
    };
    let report_fields = vec![ReportField::Utilization, ReportField::InFlight];
    Settings {
        node: NodeId(index as u16),
        nodes: shape.balancers as u16,
        zone: ZoneId((index % zones) as u8),
        zones: zones as u8,
        discovery: if deployment.pushes_list { Discovery::Push } else { Discovery::Pull },
        classes: deployment.classes.iter().map(class).collect(),
        tenants: deployment
            .tenants
            .iter()
            .map(|t| marllink::Tenant { quota_connections: t.quota * fleet_connections })
            .collect(),
        over_quota_value_ratio: deployment.over_quota_value_ratio,
        group_affinity: deployment.groups.is_some(),
        report_fields: if deployment.reports_load { report_fields } else { Vec::new() },
        limits: Limits {
            connect_timeout_ms: 200.0,
            max_attempts: deployment.max_attempts,
            cancel: true,
            probe: true,
            peers: false,
            retry_after: true,
            max_retry_after_ms: 2_000.0,
        },
        rules: Rules {
            fetch_within_ms: 10_000.0,
            initial_capacity_ratio: deployment.initial_capacity_ratio / SLOW_START_MARGIN,
            warm_up_ms: deployment.warm_up_ms * SLOW_START_MARGIN,
            collapse_load_ratio: 3.0,
            collapse_after_ms: 3_000.0,
        },
        prices: Prices {
            moves: deployment.move_price,
            probe: 0.002,
            cross_zone: deployment.cross_zone_price,
            late_failure: 0.058,
        },
    }
}
