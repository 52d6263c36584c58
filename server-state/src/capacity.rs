//! Estimate of the capacity of a unit of weight, learnt from load reports.

use serde::{Deserialize, Serialize};

/// Factor by which earlier observations fade with each report.
const DECAY_RATIO: f64 = 0.97;

/// A load report of a server, combined with the balancer's own state of that server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerReport {
    /// Weight of the server.
    pub weight: f64,
    /// Reported load, as a ratio of the server's capacity.
    pub utilization: f64,
    /// Reported number of connections.
    pub connections: f64,
    /// Number of connections of this balancer to the server.
    pub own_connections: f64,
    /// Load of these connections, in the caller's unit.
    pub own_load: f64,
}

/// Capacity of a unit of weight. Reports give load relative to capacity and never the capacity itself; it
/// follows from the load of the balancer's own connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CapacityEstimate {
    load: f64,
    #[serde(rename = "share")]
    loaded_weight: f64,
    #[serde(rename = "held")]
    connections: f64,
    #[serde(rename = "filled")]
    filled_weight: f64,
}

impl CapacityEstimate {
    /// Records a report.
    pub fn record(&mut self, report: &ServerReport) {
        let ServerReport { weight, utilization, connections, own_connections, own_load } = *report;
        self.connections = self.connections * DECAY_RATIO + connections;
        self.filled_weight = self.filled_weight * DECAY_RATIO + utilization * weight;
        // Assumes that connections of other balancers have the same mean load as the own ones.
        if own_connections > 0.0 && connections >= own_connections {
            self.load = self.load * DECAY_RATIO + own_load * connections / own_connections;
            self.loaded_weight = self.loaded_weight * DECAY_RATIO + utilization * weight;
        }
    }

    /// Returns the load that a unit of weight can carry, in the caller's unit; 0 while unknown.
    #[must_use]
    pub fn load_per_weight(&self) -> f64 {
        quotient(self.load, self.loaded_weight)
    }

    /// Returns the number of connections that a unit of weight can carry; 0 while unknown.
    #[must_use]
    pub fn connections_per_weight(&self) -> f64 {
        quotient(self.connections, self.filled_weight)
    }
}

/// Returns 0 for "unknown" while all servers report no load: a huge quotient would not limit anything.
fn quotient(numerator: f64, denominator: f64) -> f64 {
    if denominator > 1e-9 { numerator / denominator } else { 0.0 }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_capacity_of_a_unit_of_weight_is_learnt_across_server_sizes() {
        let mut estimate = CapacityEstimate::default();
        assert_eq!((estimate.load_per_weight(), estimate.connections_per_weight()), (0.0, 0.0));
        for (weight, own_connections) in [(1.0, 2.0), (4.0, 0.0), (6.0, 5.0)] {
            // 20 connections with a load of 50 each fill a unit of weight.
            let (utilization, connections) = (0.5, 10.0 * weight);
            estimate.record(&ServerReport {
                weight,
                utilization,
                connections,
                own_connections,
                own_load: 50.0 * own_connections,
            });
        }
        assert!((estimate.load_per_weight() - 1_000.0).abs() < 1e-6, "{}", estimate.load_per_weight());
        assert!((estimate.connections_per_weight() - 20.0).abs() < 1e-6);
        let mut idle = CapacityEstimate::default();
        idle.record(&ServerReport {
            weight: 1.0,
            utilization: 0.0,
            connections: 5.0,
            own_connections: 5.0,
            own_load: 3.0,
        });
        assert_eq!((idle.load_per_weight(), idle.connections_per_weight()), (0.0, 0.0));
    }
}
