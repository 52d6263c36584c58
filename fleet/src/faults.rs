//! Faults and changes of load, and their effects on servers and balancers.

use crate::Millis;
use crate::scenario::FaultKind;
use crate::simulation::{Event, Simulation};
use marllink::{Event as BalancerEvent, InjectedBug, RequestId, ServerId, Symptom};
use marllink_emulator::model::fluid::{Phase, ReconnectReason};
use rand::Rng;
use rand::seq::SliceRandom;

/// Range of the time until discovery publishes that a server has started or stopped, in milliseconds.
const UPDATE_DELAY_MS: (f64, f64) = (300.0, 2_500.0);
/// Range of the time until discovery publishes that a server has stopped without notice, in milliseconds.
const LOSS_DETECTION_MS: (f64, f64) = (800.0, 5_000.0);
/// Interval between two messages of a client, in milliseconds.
const MESSAGE_INTERVAL_MS: f64 = 2_000.0;
/// Time without a reply after which a message is reported as overdue, in milliseconds.
const OVERDUE_AFTER_MS: f64 = 300.0;
/// Interval at which an overdue message is reported again, in milliseconds.
const OVERDUE_REPEAT_MS: f64 = 500.0;
/// Number of connections above its limit that a server in slow start survives, because arrivals vary
/// randomly.
const COLLAPSE_MARGIN_CONNECTIONS: f64 = 3.0;

impl Simulation {
    /// Draws a share of the indices below `count`, in random order.
    fn draw_share(&mut self, count: usize, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        all.shuffle(&mut self.rng);
        all.truncate((count as f64 * share).round() as usize);
        all
    }

    /// Begins the scenario's fault of this index.
    pub(crate) fn begin_fault(&mut self, index: usize) {
        let kind = self.scenario.faults[index].kind.clone();
        let schedule_end = |simulation: &mut Self, for_s: f64| {
            simulation.queue.schedule_after(for_s * 1_000.0, Event::FaultEnds(index));
        };
        match kind {
            FaultKind::Burst { factor, for_s } => {
                self.traffic_factor = factor;
                schedule_end(self, for_s);
            }
            FaultKind::TenantBurst { tenant, factor, for_s } => {
                self.tenant_traffic_factors[tenant] = factor;
                schedule_end(self, for_s);
            }
            FaultKind::GroupReconnect => {
                for request in self.largest_group_requests() {
                    self.disconnect_client(request, ReconnectReason::Disconnected);
                }
            }
            FaultKind::Reconnect { share } => self.disconnect_share(share),
            FaultKind::KillBalancers { share, back_after_s, initial_list } => {
                for balancer in self.draw_share(self.balancers.len(), share) {
                    self.balancers[balancer].initial_list = initial_list;
                    let jitter = 400.0 * self.rng.random::<f64>();
                    self.kill_balancer(balancer, back_after_s * 1_000.0 + jitter);
                }
            }
            FaultKind::RestartBalancers { share, every_s } => {
                for (nth, balancer) in self.draw_share(self.balancers.len(), 1.0).into_iter().enumerate() {
                    let batch = (nth as f64 / self.balancers.len() as f64 / share).floor();
                    self.queue.schedule_after(batch * every_s * 1_000.0, Event::TerminateBalancer(balancer));
                }
            }
            FaultKind::ReplaceServers { share, over_s, drain_s } => {
                let chosen = self.draw_share(self.servers.len(), share);
                for (nth, server) in chosen.iter().enumerate() {
                    let after = nth as f64 / chosen.len() as f64 * over_s * 1_000.0;
                    self.unaffected[*server] = false;
                    self.queue.schedule_after(after, Event::DrainServer(*server));
                    self.queue.schedule_after(after + drain_s * 1_000.0, Event::StopServer(*server));
                    // The replacement reuses the index and the id, with a new start time.
                    self.queue.schedule_after(after + drain_s * 1_000.0 + 300.0, Event::StartServer(*server));
                }
            }
            FaultKind::LoseZone { zone, for_s } => {
                for server in self.servers_in_zone(zone) {
                    self.unaffected[server] = false;
                    self.stop_server(server, 1.0);
                    self.queue.schedule_after(for_s * 1_000.0, Event::StartServer(server));
                }
            }
            FaultKind::UnresponsiveZone { zone, for_s } => {
                for server in self.servers_in_zone(zone) {
                    self.unaffected[server] = false;
                    self.make_unresponsive(server);
                }
                schedule_end(self, for_s);
            }
            FaultKind::PartitionZone { zone, for_s } => {
                self.partitioned_zones[zone] = true;
                schedule_end(self, for_s);
            }
            FaultKind::FailServers { share, rate, for_s } => {
                for server in self.draw_share(self.servers.len(), share) {
                    self.unaffected[server] = false;
                    self.servers[server].failure_ratio = rate;
                }
                schedule_end(self, for_s);
            }
            FaultKind::SlowServers { share, factor, for_s } => {
                let now = self.now();
                for server in self.draw_share(self.servers.len(), share) {
                    self.unaffected[server] = false;
                    self.servers[server].advance(now);
                    self.servers[server].speed_ratio = factor;
                }
                schedule_end(self, for_s);
            }
            FaultKind::LateReports { delay_ms, for_s } => {
                self.report_delay_ms = delay_ms;
                schedule_end(self, for_s);
            }
            FaultKind::FailProbes { refused, for_s } => {
                self.probes_refused = Some(refused);
                schedule_end(self, for_s);
            }
            FaultKind::LowerConnectionLimits { factor, for_s } => {
                self.servers.iter_mut().for_each(|s| {
                    s.config.max_connections = (s.config.max_connections as f64 * factor) as usize
                });
                schedule_end(self, for_s);
            }
            FaultKind::DropNewConnections { share, for_s } => {
                for server in self.draw_share(self.servers.len(), share) {
                    self.unaffected[server] = false;
                    self.servers[server].drops_new = true;
                }
                schedule_end(self, for_s);
            }
            FaultKind::BusyDiscovery { for_s } => {
                self.discovery.overloaded_until = self.now() + for_s * 1_000.0
            }
            FaultKind::DiscoveryDown { for_s } => self.discovery.down_until = self.now() + for_s * 1_000.0,
        }
    }

    /// Ends the scenario's fault of this index.
    pub(crate) fn end_fault(&mut self, index: usize) {
        let now = self.now();
        match &self.scenario.faults[index].kind {
            FaultKind::Burst { .. } => self.traffic_factor = 1.0,
            FaultKind::TenantBurst { tenant, .. } => self.tenant_traffic_factors[*tenant] = 1.0,
            FaultKind::PartitionZone { zone, .. } => self.partitioned_zones[*zone] = false,
            FaultKind::UnresponsiveZone { zone, .. } => {
                for server in self.servers_in_zone(*zone) {
                    self.restart_unresponsive(server);
                }
            }
            FaultKind::FailServers { .. } => self.servers.iter_mut().for_each(|s| s.failure_ratio = 0.0),
            FaultKind::DropNewConnections { .. } => self.servers.iter_mut().for_each(|s| s.drops_new = false),
            FaultKind::SlowServers { .. } => {
                for server in &mut self.servers {
                    server.advance(now);
                    server.speed_ratio = 1.0;
                }
            }
            FaultKind::LateReports { .. } => self.report_delay_ms = 0.0,
            FaultKind::FailProbes { .. } => self.probes_refused = None,
            FaultKind::LowerConnectionLimits { factor, .. } => {
                let factor = *factor;
                self.servers.iter_mut().for_each(|s| {
                    s.config.max_connections = (s.config.max_connections as f64 / factor) as usize
                });
            }
            _ => {}
        }
    }

    fn servers_in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.servers.len()).filter(|s| self.servers[*s].config.zone == zone).collect()
    }

    /// Breaks each established connection with this probability.
    fn disconnect_share(&mut self, share: f64) {
        for request in self.established_requests() {
            if self.rng.random::<f64>() < share {
                self.disconnect_client(request, ReconnectReason::Disconnected);
            }
        }
    }

    pub(crate) fn drain_server(&mut self, server: usize) {
        self.servers[server].phase = Phase::Draining;
        self.publish_server(server, (UPDATE_DELAY_MS.0, UPDATE_DELAY_MS.0 * 2.0));
    }

    /// Stops a server and cuts off its connections. If `unannounced` is greater than 0, discovery publishes
    /// the loss later, because it has to detect it first.
    pub(crate) fn stop_server(&mut self, server: usize, unannounced: f64) {
        let now = self.now();
        for id in self.servers[server].stop(now) {
            self.drop_connection(id as usize);
        }
        self.publish_server(server, if unannounced > 0.0 { LOSS_DETECTION_MS } else { UPDATE_DELAY_MS });
    }

    /// Makes a server's machine unresponsive: its connections stay established, but nothing is served on
    /// them.
    fn make_unresponsive(&mut self, server: usize) {
        let now = self.now();
        self.unresponsive[server] = true;
        for id in self.servers[server].stop(now) {
            let request = id as usize;
            self.mark_not_held(request);
            let since = now + MESSAGE_INTERVAL_MS * self.rng.random::<f64>();
            self.queue.schedule_at(since + OVERDUE_AFTER_MS, Event::OverdueReply { request, server, since });
        }
        self.publish_server(server, LOSS_DETECTION_MS);
    }

    /// Restarts an unresponsive server, which resets the connections that were still open.
    fn restart_unresponsive(&mut self, server: usize) {
        self.unresponsive[server] = false;
        for request in self.established_requests() {
            if self.current_server(request) == Some(server) {
                self.drop_connection(request);
            }
        }
        self.start_server(server);
    }

    /// Reports to the client's balancer that a message sent at `since` has no reply yet, and schedules the
    /// next report while the reply is missing.
    pub(crate) fn report_overdue_reply(&mut self, request: usize, server: usize, since: Millis) {
        let Some(balancer) =
            self.balancer_if_established(request, server).filter(|_| self.unresponsive[server])
        else {
            return;
        };
        self.report_unresponsive(balancer, server, Symptom::OverdueReply);
        let waited = self.now() - since;
        if let Some(balancer) = self.balancer_if_established(request, server) {
            // Message delays are reported once a second: with every other report of an overdue reply.
            if (waited / OVERDUE_REPEAT_MS) as u64 % 2 == 1 {
                let id = RequestId(request as u64);
                self.handle_event(balancer, BalancerEvent::MessageDelay { request: id, delay_ms: waited });
            }
            self.queue.schedule_after(OVERDUE_REPEAT_MS, Event::OverdueReply { request, server, since });
        }
    }

    /// Reports to a balancer's decisions that a server looks unresponsive, as its network code does.
    pub(crate) fn report_unresponsive(&mut self, balancer: usize, server: usize, symptom: Symptom) {
        if !self.strategy.injects(InjectedBug::UnresponsiveNotReported) {
            self.handle_event(
                balancer,
                BalancerEvent::Unresponsive { server: ServerId(server as u64), symptom },
            );
        }
    }

    /// Starts a server, in slow start. A server that has collapsed stays down.
    pub(crate) fn start_server(&mut self, server: usize) {
        if self.collapsed[server] {
            return;
        }
        let now = self.now();
        self.servers[server].start(now);
        self.recent_arrivals[server].clear();
        self.publish_server(server, UPDATE_DELAY_MS);
    }

    /// Records that a connection reaches a server. A server in slow start collapses if it receives too many
    /// connections within the rules' `collapse_after_ms`.
    pub(crate) fn record_slow_start_arrival(&mut self, server: usize) {
        let now = self.now();
        let rules = self.balancers[0].settings.rules.clone();
        let config = &self.servers[server].config;
        let age = now - self.servers[server].started_at();
        if age >= config.warm_up_ms || self.servers[server].started_at() <= 0.0 {
            return;
        }
        let full_connections = config.cores * self.shape.connections_per_core;
        let rate = full_connections / rules.warm_up_ms * self.servers[server].warm_up_ratio(now);
        let allowed = rules.collapse_load_ratio * rate * rules.collapse_after_ms;
        let limit = allowed
            + if self.deployment.collapse_allows_variation {
                2.0 * allowed.sqrt() + 2.0
            } else {
                COLLAPSE_MARGIN_CONNECTIONS
            };
        let arrivals = &mut self.recent_arrivals[server];
        arrivals.push(now);
        arrivals.retain(|at| now - *at < rules.collapse_after_ms);
        if arrivals.len() as f64 > limit {
            self.recent_arrivals[server].clear();
            self.metrics.slow_start_collapses += 1.0;
            self.collapsed[server] = true;
            self.stop_server(server, 1.0);
        }
    }
}
