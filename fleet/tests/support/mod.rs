//! What tests of days have in common.
#![allow(missing_docs, reason = "tests are named for what they show")]

use marllink_fleet::{Day, Fault, Figure, Figures, What};

pub fn day(load: f64, faults: Vec<(f64, What)>) -> Day {
    let faults = faults.into_iter().map(|(at_s, what)| Fault { at_s, what }).collect();
    Day {
        name: "test".into(),
        load,
        zones: None,
        traffic: Vec::new(),
        hosts: Vec::new(),
        faults,
        fleet: None,
        kind: None,
    }
}

pub fn mean(runs: &[Figures], figure: Figure) -> f64 {
    runs.iter().map(|run| run.values[&figure]).sum::<f64>() / runs.len() as f64
}
