//! What balancers and hosts send each other, and what becomes of it on the way.

use super::*;

impl World {
    /// One way between a balancer and a host, in ms; `None` where there is none.
    pub(crate) fn way(&self, node: usize, host: usize) -> Option<Millis> {
        let (a, b) = (usize::from(self.nodes[node].settings.zone.0), self.hosts[host].config.zone);
        match a == b {
            _ if self.hushed[host] => None,
            true => Some(SAME_MS),
            false if self.cut[a] || self.cut[b] => None,
            false => Some(CROSS_MS),
        }
    }

    pub(super) fn send(&mut self, at: usize, server: ServerId, timeout_ms: Millis) {
        let now = self.now();
        let (node, host) = (self.tries[at].node, server.0 as usize);
        if self.tries[at].out.is_some() || self.tries[at].at != At::Waiting {
            self.ledger.breach(now, || format!("try {at} has two attempts out, or one after its answer"));
            return;
        }
        let told = self.nodes[node].told.get(&server).copied();
        if told.is_some_and(|told| now - told > self.kind.grace_ms) {
            self.ledger.breach(now, || format!("host {host} was sent a try long after it drained"));
        }
        self.ledger.sent(now);
        self.ledger.stale += f64::from(u8::from(self.hosts[host].phase != Phase::Up));
        let attempt = self.tries[at].attempts;
        self.tries[at].attempts += 1;
        let most = self.kind.attempts;
        if attempt >= most {
            self.ledger.breach(now, || format!("try {at} has more than {most} attempts"));
        }
        self.tries[at].out = Some(Out { attempt, host, held: false });
        let zone = usize::from(self.nodes[node].settings.zone.0);
        self.ledger.crossed += f64::from(u8::from(zone != self.hosts[host].config.zone));
        let connect_ms = self.nodes[node].settings.limits.connect_timeout_ms.min(timeout_ms);
        let (way, down) = (self.way(node, host), self.hosts[host].phase == Phase::Down);
        match way {
            Some(way) if down => {
                let outcome = Outcome::ConnectFailed;
                self.queue.after(2.0 * way, Event::Ends { at, attempt, outcome });
            }
            Some(way) => {
                self.queue.after(way * (1.0 + 2.0 * HANDSHAKE), Event::AtHost { at, attempt });
                let outcome = Outcome::TimedOut;
                self.queue.after(timeout_ms, Event::Ends { at, attempt, outcome });
            }
            None => {
                let (life, outcome) = (self.nodes[node].life, Outcome::ConnectFailed);
                self.queue.after(connect_ms, Event::NoConnection { node, life, host });
                self.queue.after(connect_ms, Event::Ends { at, attempt, outcome });
            }
        }
    }

    pub(super) fn at_host(&mut self, at: usize, attempt: u8) {
        let now = self.now();
        let Try { client, node, life, .. } = self.tries[at];
        let Some(out) = self.tries[at].out.as_ref().filter(|out| out.attempt == attempt) else { return };
        if !self.alive(node, life) {
            return;
        }
        let host = out.host;
        let Some(way) = self.way(node, host) else { return };
        let Client { class, load, group, .. } = self.clients[client];
        self.cold_arrival(host);
        let work = self.classes[class].setup_work_ms + HANDSHAKE_WORK_MS;
        let outcome = match self.hosts[host].open(now, work, &mut self.rng) {
            Answer::Up(after) => {
                self.hosts[host].add_connection(now, at as u64, class, load, group);
                self.tries[at].out = Some(Out { attempt, host, held: true });
                return self.queue.after(after + way, Event::Stands { at, attempt });
            }
            Answer::Busy => Outcome::Full,
            Answer::Err => Outcome::Error,
            Answer::Refused => Outcome::ConnectFailed,
        };
        self.waste_ms += HANDSHAKE_WORK_MS;
        self.queue.after(way, Event::Ends { at, attempt, outcome });
    }

    pub(super) fn stands(&mut self, at: usize, attempt: u8) {
        let now = self.now();
        let Try { client, node, life, since, .. } = self.tries[at];
        let out = self.tries[at].out.as_ref();
        let Some(host) = out.filter(|out| out.attempt == attempt).map(|out| out.host) else { return };
        if !self.alive(node, life) || self.tries[at].at != At::Waiting {
            return;
        }
        self.tries[at].at = At::Standing;
        self.clients[client].failures = 0;
        self.ledger.stands(now, host, now - since);
        let request = RequestId(at as u64);
        let latency_ms = now - since;
        self.feed(node, In::Established { request, attempt: AttemptNo(attempt), latency_ms });
        self.tell_load(at);
        self.queue.at(self.clients[client].until, Event::Leaves(at));
        self.change_later(at);
    }

    /// An attempt that does not stand has ended.
    pub(super) fn ends(&mut self, at: usize, attempt: u8, outcome: Outcome) {
        if self.tries[at].at == At::Standing
            || self.tries[at].out.as_ref().is_none_or(|out| out.attempt != attempt)
        {
            return;
        }
        let now = self.now();
        self.ledger.vain(now);
        let closed = self.tries[at].at == At::Over;
        self.end(at, outcome, closed);
    }

    pub(super) fn asked(&mut self, node: usize, life: u32, host: usize) {
        let now = self.now();
        let (ok, report) = match (self.hosts[host].phase, self.mute) {
            (Phase::Down, _) | (_, Some(true)) => (false, Vec::new()),
            (_, Some(false)) => {
                let (ok, report) = (false, Vec::new());
                return self.queue.after(1_000.0, Event::Told { node, life, host, ok, report });
            }
            _ => {
                self.hosts[host].add_work(now, PROBE_WORK_MS + HANDSHAKE_WORK_MS);
                let due = now - self.late_ms;
                let made = &self.past_reports[host];
                let report = made.iter().rev().find(|(at, _)| *at <= due).or_else(|| made.first());
                (true, report.map_or_else(Vec::new, |(_, r)| r.to_vec()))
            }
        };
        let Some(way) = self.way(node, host) else {
            // It was cut off with the question on its way: the balancer gives that up after a second.
            let (ok, report) = (false, Vec::new());
            return self.queue.after(1_000.0, Event::Told { node, life, host, ok, report });
        };
        self.queue.after(way, Event::Told { node, life, host, ok, report });
    }
}
