//! Simulation of a whole fleet in virtual time: the real decisions of hundreds of balancers, with modelled
//! clients, servers and discovery.
//!
//! A [`Matrix`] names scenarios, strategies and seeds. [`simulate`] runs one of each and returns the
//! [`RunResults`]: the share of the wanted value that was served, and what explains the rest, such as load
//! skew, attempts for each established connection, dropped connections, cross-zone requests, probes,
//! servers that collapsed in slow start, and moves. Runs are reproducible: the same seed gives identical results,
//! whatever else runs on the machine. Nothing in this crate reads a clock.
//!
//! Servers, clients and discovery are those of `marllink_emulator::model::fluid`. The balancers are
//! [`marllink::Balancer`], each with its own state, seed and clock. Metrics are taken from servers and
//! clients only, never from a balancer.

mod balancer;
mod baseline;
mod deployment;
mod event_queue;
mod faults;
mod metrics;
mod recovery;
mod results;
mod scenario;
mod setup;
mod simulation;

pub use deployment::{ConnectionClass, Deployment, Groups, ServerSize, Tenant};
pub use recovery::{ServiceSecond, seconds_to_recovery};
pub use results::{ConfidenceInterval, RunResults};
pub use scenario::{
    Bound, Comparison, Fault, FaultKind, FleetSize, InitialList, Matrix, Metric, Scenario, Shape, Strategy,
};

/// Milliseconds of virtual time.
pub type Millis = f64;

/// Runs one scenario under one strategy with one seed.
#[must_use]
pub fn simulate(shape: &Shape, scenario: &Scenario, strategy: &Strategy, seed: u64) -> RunResults {
    simulation::Simulation::new(shape, scenario, strategy, seed).run()
}
