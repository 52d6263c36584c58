//! Messages between balancers and servers: attempts, their outcomes, and probes.

use super::*;

impl Simulation {
    /// Returns the one-way latency between a balancer and a server, in milliseconds; `None` if they can't
    /// reach each other.
    pub(crate) fn one_way_latency(&self, balancer: usize, server: usize) -> Option<Millis> {
        let (balancer_zone, server_zone) =
            (usize::from(self.balancers[balancer].settings.zone.0), self.servers[server].config.zone);
        match balancer_zone == server_zone {
            _ if self.unresponsive[server] => None,
            true => Some(SAME_ZONE_LATENCY_MS),
            false if self.partitioned_zones[balancer_zone] || self.partitioned_zones[server_zone] => None,
            false => Some(CROSS_ZONE_LATENCY_MS),
        }
    }

    pub(super) fn send_attempt(&mut self, request: usize, server_id: ServerId, timeout_ms: Millis) {
        let now = self.now();
        let (balancer, server) = (self.requests[request].balancer, server_id.0 as usize);
        if self.requests[request].current_attempt.is_some()
            || self.requests[request].state != RequestState::Waiting
        {
            self.metrics.record_violation(now, || {
                format!("request {request} has two concurrent attempts, or one after its final answer")
            });
            return;
        }
        let notified_at = self.balancers[balancer].drain_notified_at.get(&server_id).copied();
        if notified_at.is_some_and(|notified_at| now - notified_at > self.deployment.drain_grace_ms) {
            self.metrics.record_violation(now, || {
                format!("server {server} received an attempt long after it drained")
            });
        }
        self.metrics.count_attempt(now);
        self.metrics.stale_attempts += f64::from(u8::from(self.servers[server].phase != Phase::Up));
        let attempt = self.requests[request].attempts;
        self.requests[request].attempts += 1;
        let max_attempts = self.deployment.max_attempts;
        if attempt >= max_attempts {
            self.metrics
                .record_violation(now, || format!("request {request} has more than {max_attempts} attempts"));
        }
        self.requests[request].current_attempt = Some(CurrentAttempt { attempt, server, held: false });
        let zone = usize::from(self.balancers[balancer].settings.zone.0);
        self.metrics.cross_zone += f64::from(u8::from(zone != self.servers[server].config.zone));
        let connect_ms = self.balancers[balancer].settings.limits.connect_timeout_ms.min(timeout_ms);
        let (latency, down) =
            (self.one_way_latency(balancer, server), self.servers[server].phase == Phase::Down);
        match latency {
            Some(latency) if down => {
                let outcome = Outcome::ConnectFailed;
                self.queue.schedule_after(2.0 * latency, Event::AttemptEnds { request, attempt, outcome });
            }
            Some(latency) => {
                self.queue.schedule_after(
                    latency * (1.0 + 2.0 * HANDSHAKE_ROUND_TRIPS),
                    Event::AttemptReachesServer { request, attempt },
                );
                let outcome = Outcome::TimedOut;
                self.queue.schedule_after(timeout_ms, Event::AttemptEnds { request, attempt, outcome });
            }
            None => {
                let (incarnation, outcome) = (self.balancers[balancer].incarnation, Outcome::ConnectFailed);
                self.queue
                    .schedule_after(connect_ms, Event::ConnectTimeout { balancer, incarnation, server });
                self.queue.schedule_after(connect_ms, Event::AttemptEnds { request, attempt, outcome });
            }
        }
    }

    pub(super) fn attempt_reaches_server(&mut self, request: usize, attempt: u8) {
        let now = self.now();
        let ClientRequest { client, balancer, incarnation, .. } = self.requests[request];
        let Some(current) = self.requests[request].current_attempt.as_ref().filter(|a| a.attempt == attempt)
        else {
            return;
        };
        if !self.is_running(balancer, incarnation) {
            return;
        }
        let server = current.server;
        let Some(latency) = self.one_way_latency(balancer, server) else { return };
        let Client { class, load, group, .. } = self.clients[client];
        self.record_slow_start_arrival(server);
        let work = self.classes[class].setup_work_ms + HANDSHAKE_WORK_MS;
        let outcome = match self.servers[server].open(now, work, &mut self.rng) {
            Answer::Up(after) => {
                self.servers[server].add_connection(now, request as u64, class, load, group);
                self.requests[request].current_attempt = Some(CurrentAttempt { attempt, server, held: true });
                return self.queue.schedule_after(after + latency, Event::Established { request, attempt });
            }
            Answer::Busy => Outcome::Full,
            Answer::Err => Outcome::Error,
            Answer::Refused => Outcome::ConnectFailed,
        };
        self.wasted_work_ms += HANDSHAKE_WORK_MS;
        self.queue.schedule_after(latency, Event::AttemptEnds { request, attempt, outcome });
    }

    pub(super) fn connection_established(&mut self, request: usize, attempt: u8) {
        let now = self.now();
        let ClientRequest { client, balancer, incarnation, since, .. } = self.requests[request];
        let current = self.requests[request].current_attempt.as_ref();
        let Some(server) = current.filter(|a| a.attempt == attempt).map(|a| a.server) else { return };
        if !self.is_running(balancer, incarnation) || self.requests[request].state != RequestState::Waiting {
            return;
        }
        self.requests[request].state = RequestState::Established;
        self.clients[client].failures = 0;
        self.metrics.count_established(now, server, now - since);
        let id = RequestId(request as u64);
        let latency_ms = now - since;
        self.handle_event(
            balancer,
            BalancerEvent::Established { request: id, attempt: AttemptNo(attempt), latency_ms },
        );
        self.report_connection_load(request);
        self.queue.schedule_at(self.clients[client].until, Event::ClientLeaves(request));
        self.schedule_load_change(request);
    }

    /// Ends an attempt whose connection was not established.
    pub(super) fn attempt_failed(&mut self, request: usize, attempt: u8, outcome: Outcome) {
        if self.requests[request].state == RequestState::Established
            || self.requests[request].current_attempt.as_ref().is_none_or(|a| a.attempt != attempt)
        {
            return;
        }
        let now = self.now();
        self.metrics.count_wasted_attempt(now);
        let closed = self.requests[request].state == RequestState::Finished;
        self.end_attempt(request, outcome, closed);
    }

    pub(super) fn probe_reaches_server(&mut self, balancer: usize, incarnation: u32, server: usize) {
        let now = self.now();
        let (ok, report) = match (self.servers[server].phase, self.probes_refused) {
            (Phase::Down, _) | (_, Some(true)) => (false, Vec::new()),
            (_, Some(false)) => {
                let (ok, report) = (false, Vec::new());
                return self.queue.schedule_after(
                    1_000.0,
                    Event::ProbeResult { balancer, incarnation, server, ok, report },
                );
            }
            _ => {
                self.servers[server].add_work(now, PROBE_WORK_MS + HANDSHAKE_WORK_MS);
                let as_of = now - self.report_delay_ms;
                let reports = &self.past_reports[server];
                let report = reports.iter().rev().find(|(at, _)| *at <= as_of).or_else(|| reports.first());
                (true, report.map_or_else(Vec::new, |(_, r)| r.to_vec()))
            }
        };
        let Some(latency) = self.one_way_latency(balancer, server) else {
            // The server became unreachable while the probe was under way: the balancer's probe times out
            // after 1 s.
            let (ok, report) = (false, Vec::new());
            return self
                .queue
                .schedule_after(1_000.0, Event::ProbeResult { balancer, incarnation, server, ok, report });
        };
        self.queue.schedule_after(latency, Event::ProbeResult { balancer, incarnation, server, ok, report });
    }
}
