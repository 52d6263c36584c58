//! The set of servers, from the server list and from operators, and the sums that picks are based on.
//! Contains no decisions about requests.

use super::{Balancer, DRAIN_MS, LIST_TIMER, NO_INDEX, REPORT_AGE_PERIODS, Server};
use crate::draws::draw_count;
use crate::interface::*;
use marllink_rate_limits::{SlowStartBudget, discovery_calls};
use marllink_server_state::Event as ProbeEvent;
use rustc_hash::FxHashMap;

impl Balancer {
    pub(super) fn on_list(&mut self, kind: ListKind, entries: &[ServerEntry], actions: &mut Vec<Action>) {
        match kind {
            ListKind::Failed => {
                let delay_ms = discovery_calls::retry_delay(self.uniform());
                actions.push(Action::SetTimer { delay_ms, token: LIST_TIMER });
                return;
            }
            ListKind::Cached => {
                if self.settings.discovery == Discovery::Pull {
                    let (nodes, within) = (self.settings.nodes, self.settings.rules.fetch_within_ms);
                    let delay_ms = discovery_calls::initial_delay(nodes, within, self.uniform());
                    actions.push(Action::SetTimer { delay_ms, token: LIST_TIMER });
                }
            }
            ListKind::Delta | ListKind::Full => {}
        }
        if kind != ListKind::Delta {
            // A server missing from a complete list is gone.
            let listed: FxHashMap<ServerId, ()> = entries.iter().map(|e| (e.server, ())).collect();
            for slot in 0..self.servers.len() {
                if !listed.contains_key(&self.servers[slot].id) {
                    self.servers[slot].listed_state = ServerState::Gone;
                }
            }
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        self.rebuild_ready_set();
        self.retry_queued(actions);
    }

    fn apply_entry(&mut self, entry: &ServerEntry) {
        let slot = match self.slot_by_id.get(&entry.server) {
            Some(slot) => *slot,
            None if entry.state == ServerState::Gone => return,
            None => self.add_server(entry),
        };
        // Each node starts at a random point of its slow-start budget, so that all nodes together start in
        // the middle of theirs instead of each sending a whole connection.
        let initial_tokens = self.uniform();
        let server = &mut self.servers[slot];
        if entry.started_at > server.history.started_at {
            // Failures of the previous process do not apply to the new one.
            server.history.consecutive_failures = 0;
            server.history.ejected_until = 0.0;
            server.history.budget = SlowStartBudget::new(initial_tokens, self.now);
        }
        server.zone = entry.zone;
        server.cell = entry.cell;
        server.listed_state = entry.state;
        server.listed_weight = entry.weight;
        // A server that returned from maintenance after this start counts as started at its return.
        server.history.started_at = server.history.started_at.max(entry.started_at);
    }

    pub(super) fn add_server(&mut self, entry: &ServerEntry) -> usize {
        let server = Server {
            id: entry.server,
            zone: entry.zone,
            cell: entry.cell,
            state: entry.state,
            listed_state: entry.state,
            listed_weight: entry.weight,
            weight: 1.0,
            open: 0,
            connections: Vec::new(),
            predecessor_held: (0, 0.0),
            own_load: 0.0,
            own_history: [(0.0, 0.0); REPORT_AGE_PERIODS],
            drain_by: f64::INFINITY,
            pickable_index: NO_INDEX,
            history: ServerHistory { overload: OverloadState::new(self.now), ..ServerHistory::default() },
        };
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.servers[slot] = server;
                slot
            }
            None => {
                self.servers.push(server);
                self.servers.len() - 1
            }
        };
        self.slot_by_id.insert(entry.server, slot);
        slot
    }

    /// Puts a server into maintenance, in which it drains whatever the list says, or returns it to service.
    /// It is assumed to restart in maintenance, so it returns in slow start and without a failure history.
    pub(super) fn on_maintenance(&mut self, id: ServerId, begins: bool, actions: &mut Vec<Action>) {
        if begins {
            self.in_maintenance.insert(id);
            self.returned.remove(&id);
        } else if self.in_maintenance.remove(&id) {
            self.returned.insert(id);
            if let Some(&slot) = self.slot_by_id.get(&id) {
                let server = &mut self.servers[slot];
                let (overload, started_at, budget) =
                    (OverloadState::new(self.now), self.now, SlowStartBudget::new(1.0, self.now));
                server.history = ServerHistory { overload, started_at, budget, ..ServerHistory::default() };
            }
        }
        self.rebuild_ready_set();
        self.retry_queued(actions);
    }

    /// Releases the slot of a server that is gone and holds nothing, unless it was already released and
    /// the server has returned in another slot.
    pub(super) fn release_slot(&mut self, slot: usize, id: ServerId) {
        if self.slot_by_id.get(&id) == Some(&slot) {
            self.slot_by_id.remove(&id);
            self.free_slots.push(slot);
            self.probe_pool.handle(self.now, ProbeEvent::Removed(id), &mut Vec::new());
            self.unresponsive_detector.clear(id);
        }
    }

    /// Recomputes states, weights, sums, the number of draws and the ready set after a change of the list or
    /// of maintenance.
    pub(super) fn rebuild_ready_set(&mut self) {
        let usable = |weight: f64| weight > 0.0 && weight.is_finite();
        let (mut weight_sum, mut weight_count) = (0.0, 0.0);
        self.ready_count = 0;
        for s in &mut self.servers {
            let in_maintenance = s.listed_state == ServerState::Ready && self.in_maintenance.contains(&s.id);
            s.state = if in_maintenance { ServerState::Draining } else { s.listed_state };
            let drains = s.state == ServerState::Draining;
            s.drain_by = if drains { s.drain_by.min(self.now + DRAIN_MS) } else { f64::INFINITY };
        }
        for s in self.servers.iter().filter(|s| s.state == ServerState::Ready) {
            self.ready_count += 1;
            if usable(s.listed_weight) {
                weight_sum += s.listed_weight;
                weight_count += 1.0;
            }
        }
        let mean = if weight_count > 0.0 { weight_sum / weight_count } else { 1.0 };
        let (mut min, mut max) = (mean, mean);
        self.ready_weight = 0.0;
        self.ready_open = 0.0;
        self.pickable.clear();
        self.ejected.clear();
        for slot in 0..self.servers.len() {
            let s = &mut self.servers[slot];
            s.pickable_index = NO_INDEX;
            if s.state == ServerState::Gone && s.open == 0 {
                let id = s.id;
                self.release_slot(slot, id);
                continue;
            }
            if s.state != ServerState::Ready {
                continue;
            }
            s.weight = if usable(s.listed_weight) { s.listed_weight } else { mean };
            min = min.min(s.weight);
            max = max.max(s.weight);
            self.ready_weight += s.weight;
            self.ready_open += f64::from(s.open);
            if s.history.ejected_until > self.now {
                self.ejected.push(slot);
            } else {
                s.pickable_index = self.pickable.len();
                self.pickable.push(slot);
            }
        }
        self.draw_count = draw_count(max, mean, min);
        self.min_weight = min;
        self.update_available_weight();
    }
}
