//! The fleet that a day begins with: sizes, zones, shares of traffic, and what balancers are told.

use crate::day::{Day, Shape};
use crate::drive::Node;
use marllink::{
    Class as Told, Discovery, Effect, Limits, NodeId, Prices, ReportField, Rules, Settings, ZoneId,
};
use marllink_emulator::model::crowd::{Calls, Class, Form, Host, Manners, Service};
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use rustc_hash::FxHashMap;

/// Kinds of hosts: share, cores, and what a core does.
const KINDS: [(f64, f64, f64); 3] = [(0.2, 4.0, 1.6), (0.4, 4.0, 1.0), (0.4, 2.0, 0.6)];
/// True speeds spread by this part round what is registered.
const SPEED_SPREAD: f64 = 0.15;
/// Hosts start with this part of their capacity, and have all of it after so many ms.
const COLD_FROM: f64 = 0.45;
const WARM_MS: f64 = 7_000.0;
/// What balancers are told of that.
const TOLD_COLD_FROM: f64 = 0.35;
const TOLD_WARM_MS: f64 = 9_000.0;

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

/// Light connections, and fewer that weigh six times as much. Their mean load fills a core with
/// `per_core` of them.
pub fn classes(per_core: f64) -> Vec<Class> {
    let light = 0.4 / per_core;
    vec![
        Class { share: 0.7, worth: 3.0, load: light, set_up_ms: 8.0, message_aim_ms: 100.0, ease: 12.0 },
        Class { share: 0.3, worth: 5.0, load: 6.0 * light, set_up_ms: 8.0, message_aim_ms: 60.0, ease: 8.0 },
    ]
}

pub fn hosts(shape: &Shape, day: &Day, zones: usize, classes: &[Class], rng: &mut SmallRng) -> Vec<Host> {
    let by_zone = shares(&day.hosts, zones);
    let kinds: Vec<f64> = KINDS.iter().map(|k| k.0).collect();
    let spread = LogNormal::new(0.0, SPEED_SPREAD).expect("sound");
    (0..shape.hosts)
        .map(|at| {
            let (_, cores, speed) = KINDS[draw(&kinds, rng)];
            // Every zone has one, however small its share.
            let zone = if at < zones { at } else { draw(&by_zone, rng) };
            let form = Form {
                zone,
                weight: cores * speed,
                cores: cores * speed * spread.sample(rng),
                most: (cores * shape.most_per_core) as usize,
                patience_ms: 400.0,
                buffer_ms: 1_500.0,
                cold_from: COLD_FROM,
                warm_ms: WARM_MS,
            };
            Host::new(form, classes, -1e9, 0.0)
        })
        .collect()
}

pub fn manners(rng: &mut SmallRng) -> Manners {
    Manners {
        honours: 0.4 * rng.random::<f64>(),
        rejoin_ms: (170.0, 1_700.0),
        back_off_ms: (40.0, 320.0),
        move_ms: (20.0, 200.0),
        deadline_ms: 4_800.0,
    }
}

/// A call sends a line for each host, of which the service does some tens a second at each place.
pub fn calls(shape: &Shape, rng: &mut SmallRng) -> Calls {
    let lines_ms = 20.0 * rng.random_range(0.5..1.5) * (shape.hosts as f64 / 90.0).min(4.0);
    Calls::new(Service { places: 4, call_ms: lines_ms, patience_ms: 2_000.0 })
}

pub fn nodes(shape: &Shape, zones: usize, rng: &mut SmallRng) -> Vec<Node> {
    let uneven = LogNormal::new(0.0, shape.uneven).expect("sound");
    (0..shape.balancers)
        .map(|at| Node {
            decider: None,
            life: 0,
            settings: told(shape, zones, at),
            share: uneven.sample(rng),
            dealt: false,
            subscribed: false,
            tries: Vec::new(),
            told: FxHashMap::default(),
            leaving: false,
        })
        .collect()
}

/// What a balancer is told at its start.
fn told(shape: &Shape, zones: usize, at: usize) -> Settings {
    let class = |worth, message_aim_ms| Told { aim_ms: 800.0, effect: Effect::Safe, worth, message_aim_ms };
    Settings {
        node: NodeId(at as u16),
        nodes: shape.balancers as u16,
        zone: ZoneId((at % zones) as u8),
        zones: zones as u8,
        discovery: Discovery::Ask,
        classes: vec![class(3.0, 100.0), class(5.0, 60.0)],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        groups: false,
        report_fields: vec![ReportField::Utilization, ReportField::InFlight],
        limits: Limits {
            connect_timeout_ms: 200.0,
            max_attempts: 5,
            cancel: true,
            probe: true,
            peers: false,
            retry_after: true,
            max_retry_after_ms: 2_000.0,
        },
        rules: Rules {
            ask_within_ms: 10_000.0,
            cold_from: TOLD_COLD_FROM,
            warm_after_ms: TOLD_WARM_MS,
            tip_multiple: 3.0,
            overload_for_ms: 3_000.0,
        },
        prices: Prices { moves: 0.02, probe: 0.002, cross_zone: 0.16, late_fail: 0.058 },
    }
}
