//! Delivery of the server list to balancers, and their starts, crashes and restarts.

use super::*;
use crate::scenario::InitialList;

/// Time until the agent on a balancer's machine answers, in milliseconds.
const AGENT_RESPONSE_MS: Millis = 5.0;

impl Simulation {
    // ---- The server list ------------------------------------------------------------------------

    pub(super) fn list_entry(&self, index: usize) -> ServerEntry {
        let server = &self.servers[index];
        let state = match server.phase {
            Phase::Up => ServerState::Ready,
            Phase::Draining => ServerState::Draining,
            Phase::Down => ServerState::Gone,
        };
        ServerEntry {
            server: ServerId(index as u64),
            zone: marllink::ZoneId(server.config.zone as u8),
            cell: marllink::CellId(0),
            state,
            weight: server.config.weight,
            started_at: server.started_at().max(0.0),
        }
    }

    pub(super) fn deliver_list(
        &mut self,
        balancer: usize,
        incarnation: u32,
        kind: ListKind,
        servers: &[usize],
    ) {
        if !self.is_running(balancer, incarnation) {
            return;
        }
        let now = self.now();
        let mut entries: Vec<_> = servers.iter().map(|s| self.list_entry(*s)).collect();
        if kind == ListKind::Full {
            entries.retain(|e| e.state != ServerState::Gone);
            self.balancers[balancer].subscribed = true;
        }
        for entry in &entries {
            match entry.state {
                ServerState::Ready => self.balancers[balancer].drain_notified_at.remove(&entry.server),
                _ => Some(*self.balancers[balancer].drain_notified_at.entry(entry.server).or_insert(now)),
            };
        }
        // Servers in a list that the agent has pushed count as notified, even if an injected bug keeps the
        // list from the balancer.
        if !(self.deployment.pushes_list && self.strategy.injects(InjectedBug::WatchNeverOpened)) {
            self.handle_event(balancer, BalancerEvent::ServerList { kind, entries });
        }
    }

    /// Returns when an update that is due at `at` arrives: an agent sends nothing while discovery is down.
    fn update_arrives_at(&self, at: Millis) -> Millis {
        if self.deployment.pushes_list { at.max(self.discovery.down_until) } else { at }
    }

    /// Publishes a server's state to all subscribed balancers, after a random delay in the given range.
    pub(crate) fn publish_server(&mut self, server: usize, delay_range: (Millis, Millis)) {
        let delay = delay_range.0 + (delay_range.1 - delay_range.0) * self.rng.random::<f64>();
        for balancer in 0..self.balancers.len() {
            if self.balancers[balancer].subscribed {
                let incarnation = self.balancers[balancer].incarnation;
                let jitter = 60.0 * self.rng.random::<f64>();
                let (kind, servers) = (ListKind::Delta, vec![server]);
                let at = self.update_arrives_at(self.now() + delay + jitter);
                self.queue.schedule_at(at, Event::ListUpdate { balancer, incarnation, kind, servers });
            }
        }
    }

    // ---- Starts and stops of balancers ----------------------------------------------------------

    pub(super) fn start_balancer(&mut self, index: usize) {
        let now = self.now();
        let seed = self.seed.wrapping_mul(0x9e37_79b9).wrapping_add(self.rng.random::<u64>());
        let settings = self.balancers[index].settings.clone();
        let policy = balancer::new_policy(&self.strategy, &settings, seed, now, &self.ground_truth);
        let started = &mut self.balancers[index];
        started.incarnation += 1;
        started.policy = Some(policy);
        started.shutting_down = false;
        started.drain_notified_at.clear();
        let incarnation = started.incarnation;
        let entries: Vec<_> = (0..self.servers.len()).map(|s| self.list_entry(s)).collect();
        let entries = match self.balancers[index].initial_list {
            InitialList::Current => entries.into_iter().filter(|e| e.state != ServerState::Gone).collect(),
            InitialList::Outdated => {
                let outdated = |e| ServerEntry { state: ServerState::Ready, started_at: 0.0, ..e };
                entries.into_iter().map(outdated).collect()
            }
            InitialList::Missing => Vec::new(),
        };
        self.handle_event(index, BalancerEvent::ServerList { kind: ListKind::Cached, entries });
        if self.deployment.pushes_list {
            // The network code opens the watch by itself, and the agent answers with the full list.
            let (kind, servers) = (ListKind::Full, (0..self.servers.len()).collect());
            self.queue.schedule_at(
                self.update_arrives_at(now + AGENT_RESPONSE_MS),
                Event::ListUpdate { balancer: index, incarnation, kind, servers },
            );
        }
        let delay = 100.0 + 200.0 * self.rng.random::<f64>();
        self.queue
            .schedule_after(delay, Event::SetRotation { balancer: index, incarnation, in_rotation: true });
    }

    pub(crate) fn kill_balancer(&mut self, balancer: usize, restart_after_ms: Millis) {
        if self.balancers[balancer].policy.take().is_none() {
            return;
        }
        let incarnation = self.balancers[balancer].incarnation;
        self.balancers[balancer].subscribed = false;
        for request in std::mem::take(&mut self.balancers[balancer].requests) {
            let (now, client) = (self.now(), self.requests[request].client);
            if let Some(current) = self.requests[request].current_attempt.take().filter(|a| a.held) {
                self.servers[current.server].remove_connection(now, request as u64);
            }
            if self.requests[request].state != RequestState::Finished {
                self.requests[request].state = RequestState::Finished;
                self.schedule_reconnect(client, ReconnectReason::Disconnected);
            }
        }
        let detection = DEAD_BALANCER_DETECTION_MS.0
            + (DEAD_BALANCER_DETECTION_MS.1 - DEAD_BALANCER_DETECTION_MS.0) * self.rng.random::<f64>();
        self.queue
            .schedule_after(detection, Event::SetRotation { balancer, incarnation, in_rotation: false });
        self.queue.schedule_after(restart_after_ms, Event::StartBalancer(balancer));
    }

    /// Delivers SIGTERM to a balancer.
    pub(super) fn terminate_balancer(&mut self, balancer: usize) {
        if self.balancers[balancer].policy.is_none() {
            return;
        }
        self.balancers[balancer].shutting_down = true;
        let incarnation = self.balancers[balancer].incarnation;
        self.queue.schedule_after(300.0, Event::SetRotation { balancer, incarnation, in_rotation: false });
        self.queue.schedule_after(SHUTDOWN_WAIT_MS, Event::MoveBeforeExit { balancer, incarnation });
        let restart_after_ms = 300.0;
        self.queue.schedule_after(
            SHUTDOWN_WAIT_MS + SHUTDOWN_MOVE_MS + 50.0,
            Event::KillBalancer { balancer, restart_after_ms },
        );
    }

    pub(super) fn move_before_exit(&mut self, balancer: usize, incarnation: u32) {
        if !self.is_running(balancer, incarnation) {
            return;
        }
        let established = |request: &&usize| self.requests[**request].state == RequestState::Established;
        let remaining: Vec<_> =
            self.balancers[balancer].requests.iter().filter(established).copied().collect();
        let steps = SHUTDOWN_MOVE_MS / 50.0;
        // Spreads the moves over the available time: each client moves with a probability of 1 / `steps` in
        // each step.
        for request in remaining {
            if self.rng.random::<f64>() < 1.0 / steps {
                self.move_client(request);
            }
        }
        self.queue.schedule_after(50.0, Event::MoveBeforeExit { balancer, incarnation });
    }
}
