//! What a unit of weight can carry, learnt from hosts' reports.

use serde::{Deserialize, Serialize};

/// Part of what was learnt that is kept with each report.
const KEEP: f64 = 0.97;

/// What a host reports of itself, beside what is known of it here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// Its weight.
    pub weight: f64,
    /// Its load over what it can do, as it reports.
    pub load: f64,
    /// The connections that it reports to hold.
    pub held: f64,
    /// Own connections there ...
    pub own: f64,
    /// ... and their load, in the caller's unit.
    pub own_load: f64,
}

/// What a unit of weight can carry. Reports tell loads over capacity and never capacity itself; what
/// the own connections weigh there tells the other half.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Carrying {
    load: f64,
    share: f64,
    held: f64,
    filled: f64,
}

impl Carrying {
    /// Takes a report.
    pub fn learn(&mut self, report: &Held) {
        let Held { weight, load, held, own, own_load } = *report;
        self.held = self.held * KEEP + held;
        self.filled = self.filled * KEEP + load * weight;
        // Own connections are taken to weigh as much as others' there.
        if own > 0.0 && held >= own {
            self.load = self.load * KEEP + own_load * held / own;
            self.share = self.share * KEEP + load * weight;
        }
    }

    /// The load that a unit of weight can carry, in the caller's unit; 0 as long as that is not known.
    #[must_use]
    pub fn load(&self) -> f64 {
        quotient(self.load, self.share)
    }

    /// The connections that fill a unit of weight; 0 as long as that is not known.
    #[must_use]
    pub fn connections(&self) -> f64 {
        quotient(self.held, self.filled)
    }
}

/// Nothing is known of what fills hosts that all report to be idle: a huge figure would be no bound at all.
fn quotient(of: f64, by: f64) -> f64 {
    if by > 1e-9 { of / by } else { 0.0 }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_learns_what_a_unit_carries_whatever_the_sizes() {
        let mut carrying = Carrying::default();
        assert_eq!((carrying.load(), carrying.connections()), (0.0, 0.0));
        for (weight, own) in [(1.0, 2.0), (4.0, 0.0), (6.0, 5.0)] {
            // 20 connections of 50 units each fill a unit of weight.
            let (load, held) = (0.5, 10.0 * weight);
            carrying.learn(&Held { weight, load, held, own, own_load: 50.0 * own });
        }
        assert!((carrying.load() - 1_000.0).abs() < 1e-6, "{}", carrying.load());
        assert!((carrying.connections() - 20.0).abs() < 1e-6);
        let mut idle = Carrying::default();
        idle.learn(&Held { weight: 1.0, load: 0.0, held: 5.0, own: 5.0, own_load: 3.0 });
        assert_eq!((idle.load(), idle.connections()), (0.0, 0.0));
    }
}
