//! The fleet that a day begins with: sizes, zones, shares of traffic, and what balancers are told.

use crate::day::{Day, Known, Shape};
use crate::drive::Node;
use crate::kind::{Kind, Size, Sort};
use marllink::{
    Class as Told, Discovery, Idempotency, Limits, NodeId, Prices, ReportField, Rules, Settings, ZoneId,
};
use marllink_emulator::model::fluid::{
    Class, DiscoveryLimits, DiscoveryService, ReconnectPolicy, Server, ServerConfig,
};
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use rustc_hash::FxHashMap;

/// True speeds spread by this part round what is registered.
const SPEED_SPREAD: f64 = 0.15;
/// Balancers are told of a colder start and a longer warm-up than hosts have, by this factor.
const CAUTION: f64 = 9.0 / 7.0;

/// Shares by zone that sum to 1, even where none are given.
pub fn shares(given: &[f64], zones: usize) -> Vec<f64> {
    let of = |zone: usize| if given.is_empty() { 1.0 } else { given.get(zone).copied().unwrap_or(0.0) };
    let sum: f64 = (0..zones).map(of).sum();
    (0..zones).map(|zone| of(zone) / sum.max(f64::MIN_POSITIVE)).collect()
}

/// An index by chance in proportion to these shares.
pub fn draw(shares: &[f64], rng: &mut SmallRng) -> usize {
    let mut at = rng.random::<f64>() * shares.iter().sum::<f64>();
    for (index, share) in shares.iter().enumerate() {
        at -= share;
        if at < 0.0 {
            return index;
        }
    }
    shares.iter().rposition(|s| *s > 0.0).unwrap_or(0)
}

/// The classes, each once for each tenant and then the next. Their mean load fills a core with `per_core` of
/// them.
pub fn classes(kind: &Kind, per_core: f64) -> Vec<Class> {
    let mean: f64 = kind.classes.iter().map(|c| c.share * c.load).sum();
    let of = |sort: &Sort, tenant| Class {
        share: sort.share * kind.tenant_share(tenant),
        value: sort.worth,
        load: sort.load / mean / per_core,
        setup_work_ms: 8.0,
        message_goal_ms: sort.message_aim_ms,
        goal_to_usual_ratio: sort.ease,
    };
    let tenants = kind.tenants();
    kind.classes.iter().flat_map(|sort| (0..tenants).map(move |tenant| of(sort, tenant))).collect()
}

/// Shares of groups by size; none where there are no groups.
pub fn groups(kind: &Kind, standing: f64) -> Vec<f64> {
    let Some(groups) = kind.groups else { return Vec::new() };
    let count = (standing / groups.size).round().max(1.0) as usize;
    (1..=count).map(|rank| (rank as f64).powf(-groups.zipf)).collect()
}

pub fn hosts(
    shape: &Shape,
    day: &Day,
    kind: &Kind,
    zones: usize,
    classes: &[Class],
    rng: &mut SmallRng,
) -> Vec<Server> {
    let by_zone = shares(&day.hosts, zones);
    let sizes: Vec<f64> = kind.sizes.iter().map(|size| size.share).collect();
    let spread = LogNormal::new(0.0, SPEED_SPREAD).expect("sound");
    (0..shape.hosts)
        .map(|at| {
            let Size { cores, speed, .. } = kind.sizes[draw(&sizes, rng)];
            // Every zone has one, however small its share.
            let zone = if at < zones { at } else { draw(&by_zone, rng) };
            let form = ServerConfig {
                zone,
                weight: cores * speed,
                cores: cores * speed * spread.sample(rng),
                max_connections: (cores * shape.most_per_core) as usize,
                max_setup_wait_ms: 400.0,
                max_backlog_ms: 1_500.0,
                initial_capacity_ratio: kind.cold_from,
                warm_up_ms: kind.warm_ms,
                group_load: kind.groups.map_or(0.0, |g| g.cost / shape.per_core),
            };
            Server::new(form, classes, -1e9, 0.0)
        })
        .collect()
}

pub fn manners(rng: &mut SmallRng) -> ReconnectPolicy {
    ReconnectPolicy {
        honors_retry_after_ratio: 0.4 * rng.random::<f64>(),
        reconnect_delay_ms: (170.0, 1_700.0),
        backoff_ms: (40.0, 320.0),
        move_delay_ms: (20.0, 200.0),
        attempt_timeout_ms: 4_800.0,
    }
}

/// A call sends a line for each host, of which the service does some tens a second at each place.
pub fn calls(shape: &Shape, rng: &mut SmallRng) -> DiscoveryService {
    let lines_ms = 20.0 * rng.random_range(0.5..1.5) * (shape.hosts as f64 / 90.0).min(4.0);
    DiscoveryService::new(DiscoveryLimits { concurrency: 4, call_ms: lines_ms, queue_timeout_ms: 2_000.0 })
}

pub fn nodes(shape: &Shape, kind: &Kind, zones: usize, cores: f64, rng: &mut SmallRng) -> Vec<Node> {
    let all = cores * shape.per_core;
    let uneven = LogNormal::new(0.0, shape.uneven).expect("sound");
    (0..shape.balancers)
        .map(|at| Node {
            decider: None,
            life: 0,
            settings: told(shape, kind, zones, at, all),
            share: uneven.sample(rng),
            dealt: false,
            subscribed: false,
            tries: Vec::new(),
            told: FxHashMap::default(),
            leaving: false,
            known: Known::Fresh,
        })
        .collect()
}

/// What a balancer is told at its start, where all hosts can do so many connections.
fn told(shape: &Shape, kind: &Kind, zones: usize, at: usize, all: f64) -> Settings {
    let class = |sort: &Sort| Told {
        setup_goal_ms: 800.0,
        idempotency: Idempotency::Safe,
        value: sort.worth,
        message_goal_ms: sort.message_aim_ms,
    };
    let fields = vec![ReportField::Utilization, ReportField::InFlight];
    Settings {
        node: NodeId(at as u16),
        nodes: shape.balancers as u16,
        zone: ZoneId((at % zones) as u8),
        zones: zones as u8,
        discovery: if kind.pushed { Discovery::Push } else { Discovery::Pull },
        classes: kind.classes.iter().map(class).collect(),
        tenants: kind.tenants.iter().map(|t| marllink::Tenant { quota_connections: t.quota * all }).collect(),
        over_quota_value_ratio: kind.over_share_worth,
        group_affinity: kind.groups.is_some(),
        report_fields: if kind.reports { fields } else { Vec::new() },
        limits: Limits {
            connect_timeout_ms: 200.0,
            max_attempts: kind.attempts,
            cancel: true,
            probe: true,
            peers: false,
            retry_after: true,
            max_retry_after_ms: 2_000.0,
        },
        rules: Rules {
            fetch_within_ms: 10_000.0,
            initial_capacity_ratio: kind.cold_from / CAUTION,
            warm_up_ms: kind.warm_ms * CAUTION,
            collapse_load_ratio: 3.0,
            collapse_after_ms: 3_000.0,
        },
        prices: Prices { moves: kind.moves, probe: 0.002, cross_zone: kind.crossing, late_failure: 0.058 },
    }
}
