//! Which servers there are, by the list and by the operators, and what follows for the sums that picks are made by.
//! Nothing is decided about a request here.

use super::{ASK, Balancer, LEAVE_MS, NOWHERE, REPORT_AGE, Server};
use crate::draws::draw_count;
use crate::interface::*;
use marllink_rate_limits::{SlowStartBudget, discovery_calls};
use marllink_server_state::Event as Asked;
use rustc_hash::FxHashMap;

impl Balancer {
    pub(super) fn on_list(&mut self, kind: ListKind, entries: &[ServerEntry], out: &mut Vec<Action>) {
        match kind {
            ListKind::Failed => {
                let delay_ms = discovery_calls::retry_delay(self.uniform());
                out.push(Action::SetTimer { delay_ms, token: ASK });
                return;
            }
            ListKind::Cached => {
                if self.settings.discovery == Discovery::Pull {
                    let (nodes, within) = (self.settings.nodes, self.settings.rules.fetch_within_ms);
                    let delay_ms = discovery_calls::initial_delay(nodes, within, self.uniform());
                    out.push(Action::SetTimer { delay_ms, token: ASK });
                }
            }
            ListKind::Delta | ListKind::Full => {}
        }
        if kind != ListKind::Delta {
            // A server that a whole list leaves out is gone.
            let listed: FxHashMap<ServerId, ()> = entries.iter().map(|e| (e.server, ())).collect();
            for slot in 0..self.servers.len() {
                if !listed.contains_key(&self.servers[slot].id) {
                    self.servers[slot].listed = ServerState::Gone;
                }
            }
        }
        for entry in entries {
            self.take_entry(entry);
        }
        self.count_ready();
        self.retry_held(out);
    }

    fn take_entry(&mut self, entry: &ServerEntry) {
        let slot = match self.index.get(&entry.server) {
            Some(slot) => *slot,
            None if entry.state == ServerState::Gone => return,
            None => self.add_server(entry),
        };
        // Each node starts somewhere in its budget for a cold server, so that all nodes together
        // start at the middle of it rather than each with a whole connection.
        let budget = self.uniform();
        let server = &mut self.servers[slot];
        if entry.started_at > server.track.started_at {
            // What was known of the process before does not hold for the new one.
            server.track.consecutive_failures = 0;
            server.track.ejected_until = 0.0;
            server.track.budget = SlowStartBudget::new(budget, self.now);
        }
        server.zone = entry.zone;
        server.cell = entry.cell;
        server.listed = entry.state;
        server.listed_weight = entry.weight;
        // Put back by the operators after it was started, it counts from then.
        server.track.started_at = server.track.started_at.max(entry.started_at);
    }

    pub(super) fn add_server(&mut self, entry: &ServerEntry) -> usize {
        let server = Server {
            id: entry.server,
            zone: entry.zone,
            cell: entry.cell,
            state: entry.state,
            listed: entry.state,
            listed_weight: entry.weight,
            weight: 1.0,
            open: 0,
            connections: Vec::new(),
            elsewhere: (0, 0.0),
            load: 0.0,
            loads: [(0.0, 0.0); REPORT_AGE],
            leave_by: f64::INFINITY,
            place: NOWHERE,
            track: ServerHistory { strain: OverloadState::new(self.now), ..ServerHistory::default() },
        };
        let slot = match self.free.pop() {
            Some(slot) => {
                self.servers[slot] = server;
                slot
            }
            None => {
                self.servers.push(server);
                self.servers.len() - 1
            }
        };
        self.index.insert(entry.server, slot);
        slot
    }

    /// Maintenance: a server that the operators take out drains until they put it back, whatever the
    /// list says. It is restarted meanwhile: it comes back cold, and nothing is held against it.
    pub(super) fn on_maintenance(&mut self, id: ServerId, begins: bool, out: &mut Vec<Action>) {
        if begins {
            self.out.insert(id);
            self.back.remove(&id);
        } else if self.out.remove(&id) {
            self.back.insert(id);
            if let Some(&slot) = self.index.get(&id) {
                let server = &mut self.servers[slot];
                let (strain, started_at, budget) =
                    (OverloadState::new(self.now), self.now, SlowStartBudget::new(1.0, self.now));
                server.track = ServerHistory { strain, started_at, budget, ..ServerHistory::default() };
            }
        }
        self.count_ready();
        self.retry_held(out);
    }

    /// Gives up the slot of a server that is gone and holds nothing, unless that was done before
    /// and the server has since come back in another slot.
    pub(super) fn forget(&mut self, slot: usize, id: ServerId) {
        if self.index.get(&id) == Some(&slot) {
            self.index.remove(&id);
            self.free.push(slot);
            self.reports.handle(self.now, Asked::Removed(id), &mut Vec::new());
            self.silence.clear(id);
        }
    }

    /// Weights, sums, d and the ready set anew after the list has changed.
    pub(super) fn count_ready(&mut self) {
        let usable = |w: f64| w > 0.0 && w.is_finite();
        let (mut sum, mut known) = (0.0, 0.0);
        self.ready = 0;
        for s in &mut self.servers {
            let kept_out = s.listed == ServerState::Ready && self.out.contains(&s.id);
            s.state = if kept_out { ServerState::Draining } else { s.listed };
            let drains = s.state == ServerState::Draining;
            s.leave_by = if drains { s.leave_by.min(self.now + LEAVE_MS) } else { f64::INFINITY };
        }
        for s in self.servers.iter().filter(|s| s.state == ServerState::Ready) {
            self.ready += 1;
            if usable(s.listed_weight) {
                sum += s.listed_weight;
                known += 1.0;
            }
        }
        let mean = if known > 0.0 { sum / known } else { 1.0 };
        let (mut min, mut max) = (mean, mean);
        self.ready_weight = 0.0;
        self.ready_open = 0.0;
        self.pickable.clear();
        self.ejected.clear();
        for slot in 0..self.servers.len() {
            let s = &mut self.servers[slot];
            s.place = NOWHERE;
            if s.state == ServerState::Gone && s.open == 0 {
                let id = s.id;
                self.forget(slot, id);
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
            if s.track.ejected_until > self.now {
                self.ejected.push(slot);
            } else {
                s.place = self.pickable.len();
                self.pickable.push(slot);
            }
        }
        self.draws = draw_count(max, mean, min);
        self.least = min;
        self.weigh_warm();
    }
}
