//! What one balancer knows and holds, passed on to the process that takes its place. Nothing is decided
//! here: it is written down, and read in.

use super::{Balancer, REPORT_AGE};
use crate::interface::*;
use rustc_hash::FxHashSet;

impl Balancer {
    /// What a successor is to know: it goes on as if it had seen all that this balancer has.
    #[must_use]
    pub fn learned_state(&self) -> LearnedState {
        let servers = self.index.iter().map(|(id, slot)| (*id, self.servers[*slot].track.clone())).collect();
        let sorted = |set: &FxHashSet<ServerId>| set.iter().copied().collect();
        let (out, back) = (sorted(&self.out), sorted(&self.back));
        let fleet = FleetHistory { limiter_counts: self.retries.counts(), ..self.fleet.clone() };
        LearnedState {
            now: self.now,
            servers,
            in_maintenance: out,
            returned: back,
            fleet,
            reported_loads: self.reports.recent_reports(self.now),
        }
    }

    /// Takes over what a predecessor knows. Its clock began elsewhere.
    pub(super) fn take_over(&mut self, knowledge: LearnedState) {
        let by = self.now - knowledge.now;
        self.fleet = knowledge.fleet.shifted(by);
        self.retries.restore(self.now, self.fleet.limiter_counts);
        knowledge
            .reported_loads
            .into_iter()
            .for_each(|(id, at, told)| self.reports.restore(at + by, id, told));
        self.out.extend(knowledge.in_maintenance);
        self.back.extend(knowledge.returned);
        for (id, track) in knowledge.servers {
            if let Some(&slot) = self.index.get(&id) {
                self.servers[slot].track = track.shifted(by);
            }
        }
        self.count_ready();
    }

    /// What this balancer holds itself, for a successor to count.
    #[must_use]
    pub fn holdings(&self) -> Vec<Holding> {
        let own = |slot: &usize| {
            let s = &self.servers[*slot];
            Holding { server: s.id, open: s.open - s.elsewhere.0, load: s.load - s.elsewhere.1 }
        };
        self.index.values().map(own).filter(|h| h.open > 0).collect()
    }

    /// A predecessor's connections count as own ones until it has given them up.
    pub(super) fn on_elsewhere(&mut self, holdings: &[Holding]) {
        for slot in 0..self.servers.len() {
            let id = self.servers[slot].id;
            if self.index.get(&id) != Some(&slot) {
                continue;
            }
            let held = holdings.iter().find(|h| h.server == id).map_or((0, 0.0), |h| (h.open, h.load));
            let server = &mut self.servers[slot];
            let before = std::mem::replace(&mut server.elsewhere, held);
            server.load += held.1 - before.1;
            if before.0 == 0 && server.connections.is_empty() {
                // It was there all along: the next report holds it, and is corrected by what came since.
                server.loads = [(f64::from(held.0), server.load); REPORT_AGE];
            }
            let by = held.0 as i32 - before.0 as i32;
            self.total = self.total.saturating_add_signed(by as isize);
            self.add_open(slot, by);
        }
    }
}
