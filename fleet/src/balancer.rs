//! One simulated balancer: its decisions, and the state that the simulation keeps for it.

use crate::Millis;
use crate::baseline::{BaselinePolicy, GroundTruth};
use crate::scenario::{InitialList, Strategy};
use marllink::{Action, Balancer, Event, ServerId, Settings};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;

/// The decisions of one balancer.
pub trait BalancingPolicy {
    /// Handles an event and appends the resulting actions.
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>);
}

impl BalancingPolicy for Balancer {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// Creates a policy for the strategy, without any state yet.
pub fn new_policy(
    strategy: &Strategy,
    settings: &Settings,
    seed: u64,
    now: Millis,
    ground_truth: &Rc<RefCell<GroundTruth>>,
) -> Box<dyn BalancingPolicy> {
    match strategy {
        Strategy::Marllink => Box::new(Balancer::new(settings.clone(), seed, now)),
        Strategy::Modified { variant, .. } => {
            Box::new(Balancer::with_variant(settings.clone(), seed, now, variant.clone()))
        }
        Strategy::Random => Box::new(BaselinePolicy::new(settings, seed, None)),
        Strategy::Oracle { .. } => Box::new(BaselinePolicy::new(settings, seed, Some(ground_truth.clone()))),
    }
}

/// A simulated balancer.
pub struct SimulatedBalancer {
    /// The decisions; `None` while the balancer is down.
    pub policy: Option<Box<dyn BalancingPolicy>>,
    /// Number of starts so far. Events for an earlier incarnation are ignored.
    pub incarnation: u32,
    /// Settings that it starts with.
    pub settings: Settings,
    /// Its relative share of its zone's traffic.
    pub traffic_share: f64,
    /// True while the front end of its zone routes clients to it.
    pub in_rotation: bool,
    /// True while it receives updates of the server list.
    pub subscribed: bool,
    /// Indices of its open requests, connections included.
    pub requests: Vec<usize>,
    /// When it was first notified that a server drains or has stopped.
    pub drain_notified_at: FxHashMap<ServerId, Millis>,
    /// True once it has received SIGTERM.
    pub shutting_down: bool,
    /// Server list that it has at its next start.
    pub initial_list: InitialList,
}
