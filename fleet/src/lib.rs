//! Hundreds of the real decisions before a model fleet, in virtual time.
//!
//! A [`Matrix`] names days, strategies and seeds. [`play`] runs one of each and returns what came of
//! it as [`Figures`], which say not only how much was served but why the rest was not: spread of load,
//! attempts for each that stood, drops, crossings, probes, cold hosts, moves. The same seed gives the
//! same run to the byte, whatever else runs beside it. Nothing here reads a clock.
//!
//! Hosts, clients and the list service are those of `marllink_emulator::model::fluid`; the balancers
//! are [`marllink::Balancer`], each with its own knowledge, seed and clock. The judge counts what hosts
//! and clients saw and never asks a balancer.

mod day;
mod drive;
mod figures;
mod kind;
mod ledger;
mod plain;
mod queue;
mod service;
mod setting;
mod trouble;
mod world;

pub use day::{Bound, Comparison, Day, Fault, Figure, Fleet, Known, Matrix, Shape, Strategy, What};
pub use figures::{Figures, Interval};
pub use kind::{Groups, Kind, Size, Sort, Tenant};
pub use service::{Second, back_after};

/// Milliseconds of virtual time.
pub type Millis = f64;

/// Plays one day under one strategy with one seed.
#[must_use]
pub fn play(shape: &Shape, day: &Day, strategy: &Strategy, seed: u64) -> Figures {
    world::World::new(shape, day, strategy, seed).run()
}
