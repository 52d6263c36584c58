//! One balancer of the fleet: the decisions, and what is known of it from outside.

use crate::Millis;
use crate::day::{Known, Strategy};
use crate::plain::{Plain, Truth};
use marllink::{Action, Balancer, Event, ServerId, Settings};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;

/// Decides for one balancer.
pub trait Decider {
    /// Takes an event and appends what is to be done.
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>);
}

impl Decider for Balancer {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }
}

/// A decider by this strategy that knows nothing yet.
pub fn decider(
    strategy: &Strategy,
    settings: &Settings,
    seed: u64,
    now: Millis,
    truth: &Rc<RefCell<Truth>>,
) -> Box<dyn Decider> {
    match strategy {
        Strategy::Marllink => Box::new(Balancer::new(settings.clone(), seed, now)),
        Strategy::Varied { with, .. } => {
            Box::new(Balancer::with_variant(settings.clone(), seed, now, with.clone()))
        }
        Strategy::Random => Box::new(Plain::new(settings, seed, None)),
        Strategy::Seeing { .. } => Box::new(Plain::new(settings, seed, Some(truth.clone()))),
    }
}

/// A balancer.
pub struct Node {
    /// The decisions; none while it is down.
    pub decider: Option<Box<dyn Decider>>,
    /// Starts so far: what was meant for an earlier life is not for this one.
    pub life: u32,
    /// What it is told at its start.
    pub settings: Settings,
    /// Its share of its zone's traffic.
    pub share: f64,
    /// The front deals clients to it.
    pub dealt: bool,
    /// It gets news of the list.
    pub subscribed: bool,
    /// Its connections and requests.
    pub tries: Vec<usize>,
    /// When it was told that a host drains or is gone.
    pub told: FxHashMap<ServerId, Millis>,
    /// It has had SIGTERM.
    pub leaving: bool,
    /// What list it finds at its next start.
    pub known: Known,
}
