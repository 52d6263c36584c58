//! Helpers for tests of scenarios.
#![allow(missing_docs, reason = "test helpers need no docs beyond their names")]

use marllink_fleet::{Fault, FaultKind, Metric, RunResults, Scenario};

pub fn scenario(load: f64, faults: Vec<(f64, FaultKind)>) -> Scenario {
    let faults = faults.into_iter().map(|(at_s, kind)| Fault { at_s, kind }).collect();
    Scenario {
        name: "test".into(),
        load,
        zones: None,
        traffic_shares: Vec::new(),
        server_shares: Vec::new(),
        faults,
        fleet_size: None,
        deployment: None,
    }
}

pub fn mean(runs: &[RunResults], metric: Metric) -> f64 {
    runs.iter().map(|run| run.values[&metric]).sum::<f64>() / runs.len() as f64
}
