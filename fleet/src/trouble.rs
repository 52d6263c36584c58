//! What goes wrong with the fleet, and what it does to hosts and balancers.

use crate::Millis;
use crate::day::What;
use crate::world::{Event, World};
use marllink::{Event as In, InjectedBug, RequestId, ServerId, Symptom};
use marllink_emulator::model::fluid::{Phase, ReconnectReason};
use rand::Rng;
use rand::seq::SliceRandom;

/// Discovery tells of a host that has come or gone after between so many ms.
const NEWS_MS: (f64, f64) = (300.0, 2_500.0);
/// And of one that has vanished, after so many.
const SILENT_MS: (f64, f64) = (800.0, 5_000.0);
/// Clients send a line so many ms apart. One that waits for so many is told of as unanswered, so often.
const LINE_MS: f64 = 2_000.0;
const DOUBT_MS: f64 = 300.0;
const TOLD_MS: f64 = 500.0;
/// A cold host may get so many connections more than its limit by chance.
const SLACK: f64 = 3.0;

impl World {
    /// A part of all hosts, or of all balancers, by chance.
    fn some(&mut self, of: usize, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        all.shuffle(&mut self.rng);
        all.truncate((of as f64 * share).round() as usize);
        all
    }

    /// A fault begins.
    pub(crate) fn fault(&mut self, at: usize) {
        let what = self.day.faults[at].what.clone();
        let over = |world: &mut Self, for_s: f64| {
            world.queue.after(for_s * 1_000.0, Event::Over(at));
        };
        match what {
            What::Burst { times, for_s } => {
                self.times = times;
                over(self, for_s);
            }
            What::TenantBurst { tenant, times, for_s } => {
                self.tenant_times[tenant] = times;
                over(self, for_s);
            }
            What::GroupReconnect => {
                for at in self.of_the_largest_group() {
                    self.break_off(at, ReconnectReason::Disconnected);
                }
            }
            What::Reconnect { share } => self.reconnect(share),
            What::KillBalancers { share, back_after_s, list } => {
                for node in self.some(self.nodes.len(), share) {
                    self.nodes[node].known = list;
                    let spread = 400.0 * self.rng.random::<f64>();
                    self.kill(node, back_after_s * 1_000.0 + spread);
                }
            }
            What::RestartBalancers { share, every_s } => {
                for (nth, node) in self.some(self.nodes.len(), 1.0).into_iter().enumerate() {
                    let part = (nth as f64 / self.nodes.len() as f64 / share).floor();
                    self.queue.after(part * every_s * 1_000.0, Event::Term(node));
                }
            }
            What::ReplaceHosts { share, over_s, drain_s } => {
                let chosen = self.some(self.hosts.len(), share);
                for (nth, host) in chosen.iter().enumerate() {
                    let after = nth as f64 / chosen.len() as f64 * over_s * 1_000.0;
                    self.untouched[*host] = false;
                    self.queue.after(after, Event::Drain(*host));
                    self.queue.after(after + drain_s * 1_000.0, Event::Gone(*host));
                    // What comes in its place is there a while later, under a new number at its start.
                    self.queue.after(after + drain_s * 1_000.0 + 300.0, Event::Up(*host));
                }
            }
            What::LoseZone { zone, for_s } => {
                for host in self.in_zone(zone) {
                    self.untouched[host] = false;
                    self.gone(host, 1.0);
                    self.queue.after(for_s * 1_000.0, Event::Up(host));
                }
            }
            What::HushZone { zone, for_s } => {
                for host in self.in_zone(zone) {
                    self.untouched[host] = false;
                    self.hush(host);
                }
                over(self, for_s);
            }
            What::CutZone { zone, for_s } => {
                self.cut[zone] = true;
                over(self, for_s);
            }
            What::FailHosts { share, rate, for_s } => {
                for host in self.some(self.hosts.len(), share) {
                    self.untouched[host] = false;
                    self.hosts[host].failure_ratio = rate;
                }
                over(self, for_s);
            }
            What::SlowHosts { share, factor, for_s } => {
                let now = self.now();
                for host in self.some(self.hosts.len(), share) {
                    self.untouched[host] = false;
                    self.hosts[host].advance(now);
                    self.hosts[host].speed_ratio = factor;
                }
                over(self, for_s);
            }
            What::LateReports { ms, for_s } => {
                self.late_ms = ms;
                over(self, for_s);
            }
            What::MuteProbes { refused, for_s } => {
                self.mute = Some(refused);
                over(self, for_s);
            }
            What::FewPlaces { factor, for_s } => {
                self.hosts.iter_mut().for_each(|h| {
                    h.config.max_connections = (h.config.max_connections as f64 * factor) as usize
                });
                over(self, for_s);
            }
            What::DropNew { share, for_s } => {
                for host in self.some(self.hosts.len(), share) {
                    self.untouched[host] = false;
                    self.hosts[host].drops_new = true;
                }
                over(self, for_s);
            }
            What::BusyList { for_s } => self.calls.overloaded_until = self.now() + for_s * 1_000.0,
            What::NoList { for_s } => self.calls.down_until = self.now() + for_s * 1_000.0,
        }
    }

    /// A fault is over.
    pub(crate) fn fault_over(&mut self, at: usize) {
        let now = self.now();
        match &self.day.faults[at].what {
            What::Burst { .. } => self.times = 1.0,
            What::TenantBurst { tenant, .. } => self.tenant_times[*tenant] = 1.0,
            What::CutZone { zone, .. } => self.cut[*zone] = false,
            What::HushZone { zone, .. } => {
                for host in self.in_zone(*zone) {
                    self.speak(host);
                }
            }
            What::FailHosts { .. } => self.hosts.iter_mut().for_each(|h| h.failure_ratio = 0.0),
            What::DropNew { .. } => self.hosts.iter_mut().for_each(|h| h.drops_new = false),
            What::SlowHosts { .. } => {
                for host in &mut self.hosts {
                    host.advance(now);
                    host.speed_ratio = 1.0;
                }
            }
            What::LateReports { .. } => self.late_ms = 0.0,
            What::MuteProbes { .. } => self.mute = None,
            What::FewPlaces { factor, .. } => {
                let factor = *factor;
                self.hosts.iter_mut().for_each(|h| {
                    h.config.max_connections = (h.config.max_connections as f64 / factor) as usize
                });
            }
            _ => {}
        }
    }

    fn in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.hosts.len()).filter(|h| self.hosts[*h].config.zone == zone).collect()
    }

    /// A part of the standing connections breaks.
    fn reconnect(&mut self, share: f64) {
        for at in self.standing() {
            if self.rng.random::<f64>() < share {
                self.break_off(at, ReconnectReason::Disconnected);
            }
        }
    }

    /// A host drains.
    pub(crate) fn drain(&mut self, host: usize) {
        self.hosts[host].phase = Phase::Draining;
        self.publish(host, (NEWS_MS.0, NEWS_MS.0 * 2.0));
    }

    /// A host is gone, and what it held is cut off. `silent` is 1 where nobody is told at once.
    pub(crate) fn gone(&mut self, host: usize, silent: f64) {
        let now = self.now();
        for id in self.hosts[host].stop(now) {
            self.dropped(id as usize);
        }
        self.publish(host, if silent > 0.0 { SILENT_MS } else { NEWS_MS });
    }

    /// A host's machine vanishes: its connections stand and nothing is served on them.
    fn hush(&mut self, host: usize) {
        let now = self.now();
        self.hushed[host] = true;
        for id in self.hosts[host].stop(now) {
            let at = id as usize;
            self.not_held(at);
            let since = now + LINE_MS * self.rng.random::<f64>();
            self.queue.at(since + DOUBT_MS, Event::Unanswered { at, host, since });
        }
        self.publish(host, SILENT_MS);
    }

    /// It is back, and resets what was open.
    fn speak(&mut self, host: usize) {
        self.hushed[host] = false;
        for at in self.standing() {
            if self.on_host(at) == Some(host) {
                self.dropped(at);
            }
        }
        self.up(host);
    }

    /// A line has had no answer since then: its balancer sees that, and the same line for as long as it waits.
    pub(crate) fn unanswered(&mut self, at: usize, host: usize, since: Millis) {
        let Some(node) = self.stands_at(at, host).filter(|_| self.hushed[host]) else { return };
        self.tell_silence(node, host, Symptom::OverdueReply);
        let waited = self.now() - since;
        if let Some(node) = self.stands_at(at, host) {
            // Notes of slow messages come once a second.
            if (waited / TOLD_MS) as u64 % 2 == 1 {
                let request = RequestId(at as u64);
                self.feed(node, In::MessageDelay { request, delay_ms: waited });
            }
            self.queue.after(TOLD_MS, Event::Unanswered { at, host, since });
        }
    }

    /// The network code of a balancer tells its decisions that a host looks silent.
    pub(crate) fn tell_silence(&mut self, node: usize, host: usize, symptom: Symptom) {
        if !self.strategy.is_planted(InjectedBug::UnresponsiveNotReported) {
            self.feed(node, In::Unresponsive { server: ServerId(host as u64), symptom });
        }
    }

    /// A host starts, cold.
    pub(crate) fn up(&mut self, host: usize) {
        if self.collapsed[host] {
            return;
        }
        let now = self.now();
        self.hosts[host].start(now);
        self.arrivals[host].clear();
        self.publish(host, NEWS_MS);
    }

    /// A connection reaches a host. One that is cold falls over when too many do.
    pub(crate) fn cold_arrival(&mut self, host: usize) {
        let now = self.now();
        let rules = self.nodes[0].settings.rules.clone();
        let form = &self.hosts[host].config;
        let age = now - self.hosts[host].started_at();
        if age >= form.warm_up_ms || self.hosts[host].started_at() <= 0.0 {
            return;
        }
        let filled = form.cores * self.shape.per_core;
        let rate = filled / rules.warm_up_ms * self.hosts[host].warm_up_ratio(now);
        let allowed = rules.collapse_load_ratio * rate * rules.collapse_after_ms;
        let most = allowed + if self.kind.fall_by_chance { 2.0 * allowed.sqrt() + 2.0 } else { SLACK };
        let arrivals = &mut self.arrivals[host];
        arrivals.push(now);
        arrivals.retain(|at| now - *at < rules.collapse_after_ms);
        if arrivals.len() as f64 > most {
            self.arrivals[host].clear();
            self.ledger.cold_over += 1.0;
            self.collapsed[host] = true;
            self.gone(host, 1.0);
        }
    }
}
