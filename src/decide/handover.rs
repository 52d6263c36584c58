//! Handover of learned state and holdings to the process that replaces this one. Contains no decisions.

use super::{Balancer, REPORT_AGE_PERIODS};
use crate::interface::*;
use rustc_hash::FxHashSet;

impl Balancer {
    /// Returns the state for a successor, which then continues as if it had seen all events itself.
    #[must_use]
    pub fn learned_state(&self) -> LearnedState {
        let servers =
            self.slot_by_id.iter().map(|(id, slot)| (*id, self.servers[*slot].history.clone())).collect();
        let to_vec = |set: &FxHashSet<ServerId>| set.iter().copied().collect();
        let (in_maintenance, returned) = (to_vec(&self.in_maintenance), to_vec(&self.returned));
        let fleet = FleetHistory { limiter_counts: self.retry_limiter.counts(), ..self.fleet.clone() };
        LearnedState {
            now: self.now,
            servers,
            in_maintenance,
            returned,
            fleet,
            reported_loads: self.probe_pool.recent_reports(self.now),
        }
    }

    /// Takes over the state of a predecessor, whose clock has another origin.
    pub(super) fn take_over(&mut self, learned: LearnedState) {
        let offset_ms = self.now - learned.now;
        self.fleet = learned.fleet.shifted(offset_ms);
        self.retry_limiter.restore(self.now, self.fleet.limiter_counts);
        learned
            .reported_loads
            .into_iter()
            .for_each(|(id, at, load)| self.probe_pool.restore(at + offset_ms, id, load));
        self.in_maintenance.extend(learned.in_maintenance);
        self.returned.extend(learned.returned);
        for (id, history) in learned.servers {
            if let Some(&slot) = self.slot_by_id.get(&id) {
                self.servers[slot].history = history.shifted(offset_ms);
            }
        }
        self.rebuild_ready_set();
    }

    /// Returns what this process itself holds, without its predecessor's holdings.
    #[must_use]
    pub fn holdings(&self) -> Vec<Holding> {
        let own = |slot: &usize| {
            let s = &self.servers[*slot];
            Holding {
                server: s.id,
                open: s.open - s.predecessor_held.0,
                load: s.own_load - s.predecessor_held.1,
            }
        };
        self.slot_by_id.values().map(own).filter(|h| h.open > 0).collect()
    }

    /// Updates the predecessor's holdings, which count as own ones until they are released.
    pub(super) fn on_predecessor_holdings(&mut self, holdings: &[Holding]) {
        for slot in 0..self.servers.len() {
            let id = self.servers[slot].id;
            if self.slot_by_id.get(&id) != Some(&slot) {
                continue;
            }
            let held = holdings.iter().find(|h| h.server == id).map_or((0, 0.0), |h| (h.open, h.load));
            let server = &mut self.servers[slot];
            let before = std::mem::replace(&mut server.predecessor_held, held);
            server.own_load += held.1 - before.1;
            if before.0 == 0 && server.connections.is_empty() {
                // This load existed all along: the next report includes it and must only be corrected by
                // later changes.
                server.own_history = [(f64::from(held.0), server.own_load); REPORT_AGE_PERIODS];
            }
            let change = held.0 as i32 - before.0 as i32;
            self.connection_count = self.connection_count.saturating_add_signed(change as isize);
            self.add_open(slot, change);
        }
    }
}
