//! What balancers are told of the list, and how they start, are killed and are restarted.

use super::*;
use crate::day::Known;

/// An agent on a balancer's own machine answers after so many ms.
const AGENT_MS: Millis = 5.0;

impl World {
    // ---- The list -------------------------------------------------------------------------------

    pub(super) fn entry(&self, host: usize) -> ServerEntry {
        let h = &self.hosts[host];
        let state = match h.phase {
            Phase::Up => ServerState::Ready,
            Phase::Draining => ServerState::Draining,
            Phase::Down => ServerState::Gone,
        };
        ServerEntry {
            server: ServerId(host as u64),
            zone: marllink::ZoneId(h.config.zone as u8),
            cell: marllink::CellId(0),
            state,
            weight: h.config.weight,
            started_at: h.started_at().max(0.0),
        }
    }

    pub(super) fn news(&mut self, node: usize, life: u32, kind: ListKind, hosts: &[usize]) {
        if !self.alive(node, life) {
            return;
        }
        let now = self.now();
        let mut entries: Vec<_> = hosts.iter().map(|h| self.entry(*h)).collect();
        if kind == ListKind::Full {
            entries.retain(|e| e.state != ServerState::Gone);
            self.nodes[node].subscribed = true;
        }
        for entry in &entries {
            match entry.state {
                ServerState::Ready => self.nodes[node].told.remove(&entry.server),
                _ => Some(*self.nodes[node].told.entry(entry.server).or_insert(now)),
            };
        }
        // What an agent has counts as told, whether it was asked for or not.
        if !(self.kind.pushed && self.strategy.is_planted(InjectedBug::WatchNeverOpened)) {
            self.feed(node, In::ServerList { kind, entries });
        }
    }

    /// An agent is silent while discovery is down, and then tells what has become of it.
    fn pushed_at(&self, at: Millis) -> Millis {
        if self.kind.pushed { at.max(self.calls.down_until) } else { at }
    }

    /// Tells all subscribers of a host, after a while.
    pub(crate) fn publish(&mut self, host: usize, after: (Millis, Millis)) {
        let wait = after.0 + (after.1 - after.0) * self.rng.random::<f64>();
        for node in 0..self.nodes.len() {
            if self.nodes[node].subscribed {
                let life = self.nodes[node].life;
                let spread = 60.0 * self.rng.random::<f64>();
                let (kind, hosts) = (ListKind::Delta, vec![host]);
                let at = self.pushed_at(self.now() + wait + spread);
                self.queue.at(at, Event::News { node, life, kind, hosts });
            }
        }
    }

    // ---- Lives of balancers ---------------------------------------------------------------------

    pub(super) fn start(&mut self, node: usize) {
        let now = self.now();
        let seed = self.seed.wrapping_mul(0x9e37_79b9).wrapping_add(self.rng.random::<u64>());
        let settings = self.nodes[node].settings.clone();
        let decider = drive::decider(&self.strategy, &settings, seed, now, &self.truth);
        let n = &mut self.nodes[node];
        n.life += 1;
        n.decider = Some(decider);
        n.leaving = false;
        n.told.clear();
        let life = n.life;
        let entries: Vec<_> = (0..self.hosts.len()).map(|h| self.entry(h)).collect();
        let entries = match self.nodes[node].known {
            Known::Fresh => entries.into_iter().filter(|e| e.state != ServerState::Gone).collect(),
            Known::Old => {
                let old = |e| ServerEntry { state: ServerState::Ready, started_at: 0.0, ..e };
                entries.into_iter().map(old).collect()
            }
            Known::Nothing => Vec::new(),
        };
        self.feed(node, In::ServerList { kind: ListKind::Cached, entries });
        if self.kind.pushed {
            // The network code opens the watch unasked, and the agent answers at once with all that it has.
            let (kind, hosts) = (ListKind::Full, (0..self.hosts.len()).collect());
            self.queue.at(self.pushed_at(now + AGENT_MS), Event::News { node, life, kind, hosts });
        }
        let wait = 100.0 + 200.0 * self.rng.random::<f64>();
        self.queue.after(wait, Event::Deal { node, life, dealt: true });
    }

    pub(crate) fn kill(&mut self, node: usize, back_after: Millis) {
        if self.nodes[node].decider.take().is_none() {
            return;
        }
        let life = self.nodes[node].life;
        self.nodes[node].subscribed = false;
        for at in std::mem::take(&mut self.nodes[node].tries) {
            let (now, client) = (self.now(), self.tries[at].client);
            if let Some(out) = self.tries[at].out.take().filter(|out| out.held) {
                self.hosts[out.host].remove_connection(now, at as u64);
            }
            if self.tries[at].at != At::Over {
                self.tries[at].at = At::Over;
                self.again(client, ReconnectReason::Disconnected);
            }
        }
        let notice = NOTICE_MS.0 + (NOTICE_MS.1 - NOTICE_MS.0) * self.rng.random::<f64>();
        self.queue.after(notice, Event::Deal { node, life, dealt: false });
        self.queue.after(back_after, Event::Start(node));
    }

    pub(super) fn term(&mut self, node: usize) {
        if self.nodes[node].decider.is_none() {
            return;
        }
        self.nodes[node].leaving = true;
        let life = self.nodes[node].life;
        self.queue.after(300.0, Event::Deal { node, life, dealt: false });
        self.queue.after(TERM_WAIT_MS, Event::TermMoves { node, life });
        let back_after = 300.0;
        self.queue.after(TERM_WAIT_MS + TERM_MOVE_MS + 50.0, Event::Kill { node, back_after });
    }

    pub(super) fn term_moves(&mut self, node: usize, life: u32) {
        if !self.alive(node, life) {
            return;
        }
        let standing = |at: &&usize| self.tries[**at].at == At::Standing;
        let left: Vec<_> = self.nodes[node].tries.iter().filter(standing).copied().collect();
        let end = TERM_MOVE_MS / 50.0;
        // Evenly over the time there is, by chance where no whole client is due.
        for at in left {
            if self.rng.random::<f64>() < 1.0 / end {
                self.moved(at);
            }
        }
        self.queue.after(50.0, Event::TermMoves { node, life });
    }
}
