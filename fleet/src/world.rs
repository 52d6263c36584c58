//! The fleet in virtual time: clients, a front for each zone, balancers, the network, hosts.

mod lives;
mod network;

use crate::Millis;
use crate::day::{Day, Fleet, Shape, Strategy};
use crate::drive::{self, Node};
use crate::figures::Figures;
use crate::kind::Kind;
use crate::ledger::Ledger;
use crate::plain::{Seen, Truth};
use crate::queue::Queue;
use crate::setting;
use marllink::{
    Action, AttemptNo, ClassId, Event as In, InjectedBug, ListKind, NewRequest, Outcome, RequestId,
    ServerEntry, ServerId, ServerState, Symptom, TimerToken,
};
use marllink_emulator::model::fluid::{
    Answer, Class, Client, DiscoveryService, Phase, ReconnectPolicy, ReconnectReason, Server,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;

/// One way between a client and its balancer, and between parties of a zone and of two, in ms.
const CLIENT_MS: Millis = 0.6;
const SAME_MS: Millis = 0.2;
const CROSS_MS: Millis = 7.0;
/// Round trips that a connection takes before its first line is read.
const HANDSHAKE: f64 = 2.0;
/// Work that a new connection and a probe are for a host, in ms.
const HANDSHAKE_WORK_MS: f64 = 2.3;
const PROBE_WORK_MS: f64 = 1.4;
/// How often hosts make reports, and how often they look whether too much is piled up, in ms.
const REPORT_MS: Millis = 700.0;
const SHED_MS: Millis = 100.0;
/// How often hosts that report nothing tell of slow messages, in ms.
const NOTE_MS: Millis = 1_000.0;
/// How often worth is added up, and the true state is looked at, in ms.
const COUNT_MS: Millis = 100.0;
/// A final answer may be so late, in ms.
const GRACE_MS: Millis = 50.0;
/// The front notices a balancer that is gone after between so many ms.
const NOTICE_MS: (Millis, Millis) = (1_000.0, 3_900.0);
/// Balancers serve on for so long after SIGTERM, then move clients for so long, in ms.
const TERM_WAIT_MS: Millis = 1_700.0;
const TERM_MOVE_MS: Millis = 900.0;
/// Mean time between two changes of a connection's load, in ms.
const CHANGE_MS: Millis = 8_000.0;

/// Something that is to happen.
pub(crate) enum Event {
    Arrive(usize),
    Try(usize),
    Done(usize),
    AtBalancer(usize),
    AtHost {
        at: usize,
        attempt: u8,
    },
    Stands {
        at: usize,
        attempt: u8,
    },
    Ends {
        at: usize,
        attempt: u8,
        outcome: Outcome,
    },
    Deadline(usize),
    Leaves(usize),
    Changes(usize),
    Timer {
        node: usize,
        life: u32,
        token: TimerToken,
    },
    Asked {
        node: usize,
        life: u32,
        host: usize,
    },
    Told {
        node: usize,
        life: u32,
        host: usize,
        ok: bool,
        report: Vec<f32>,
    },
    News {
        node: usize,
        life: u32,
        kind: ListKind,
        hosts: Vec<usize>,
    },
    Reports,
    Notes,
    Shed,
    Count,
    /// A line of a client waits for an answer of a host that is silent.
    Unanswered {
        at: usize,
        host: usize,
        since: Millis,
    },
    /// A connection to a host has not come up in the time for that.
    NoConnection {
        node: usize,
        life: u32,
        host: usize,
    },
    Fault(usize),
    Over(usize),
    Kill {
        node: usize,
        back_after: Millis,
    },
    Start(usize),
    Deal {
        node: usize,
        life: u32,
        dealt: bool,
    },
    Term(usize),
    TermMoves {
        node: usize,
        life: u32,
    },
    Drain(usize),
    Gone(usize),
    Up(usize),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum At {
    /// Its answer is owed.
    Waiting,
    /// Its connection stands.
    Standing,
    /// It is over.
    Over,
}

/// Worth of a while: of all tenants, and of each that keeps to its share.
#[derive(Default)]
struct Worth {
    all: f64,
    within: Vec<Option<f64>>,
}

struct Out {
    attempt: u8,
    host: usize,
    /// The host holds it.
    held: bool,
}

/// A client's try at a balancer.
struct Try {
    client: usize,
    node: usize,
    life: u32,
    at: At,
    since: Millis,
    attempts: u8,
    out: Option<Out>,
}

/// The fleet.
pub(crate) struct World {
    pub queue: Queue<Event>,
    pub rng: SmallRng,
    pub shape: Shape,
    pub day: Day,
    pub strategy: Strategy,
    pub kind: Kind,
    pub zones: usize,
    /// Each class once for each tenant and then the next.
    pub classes: Vec<Class>,
    /// Shares of the groups; none where there are no groups.
    groups: Vec<f64>,
    /// Each tenant's clients come so many times as often as usual.
    pub tenant_times: Vec<f64>,
    /// Connections of each tenant within its share.
    quotas: Vec<f64>,
    /// Hosts that have told of slow messages and not yet that they are well again.
    noted: Vec<bool>,
    pub hosts: Vec<Server>,
    pub nodes: Vec<Node>,
    pub calls: DiscoveryService,
    pub ledger: Ledger,
    /// Zones cut off from the others.
    pub cut: Vec<bool>,
    /// Hosts whose machines have vanished.
    pub hushed: Vec<bool>,
    pub times: f64,
    pub noise: f64,
    /// Reports are told so much later, in ms.
    pub late_ms: Millis,
    /// Probes are refused, or not answered.
    pub mute: Option<bool>,
    /// Hosts that count for the skew: there from the start, and never touched.
    pub untouched: Vec<bool>,
    pub arrivals: Vec<Vec<Millis>>,
    pub collapsed: Vec<bool>,
    past_reports: Vec<Vec<(Millis, [f32; 2])>>,
    seed: u64,
    manners: ReconnectPolicy,
    clients: Vec<Client>,
    tries: Vec<Try>,
    wanting: Vec<f64>,
    counted_at: Millis,
    earned: Vec<f64>,
    waste_ms: f64,
    truth: Rc<RefCell<Truth>>,
    see_late: Millis,
    life: LogNormal<f64>,
    load: LogNormal<f64>,
    actions: Vec<Action>,
}

impl World {
    /// A fleet at the start of a day, with connections open in proportion to what hosts can do.
    pub fn new(shape: &Shape, day: &Day, strategy: &Strategy, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let size = day.fleet.unwrap_or(Fleet { balancers: shape.balancers, hosts: shape.hosts });
        let shape = &Shape { balancers: size.balancers, hosts: size.hosts, ..shape.clone() };
        let zones = day.zones.unwrap_or(shape.zones);
        let kind = day.kind.as_ref().unwrap_or(&shape.kind).clone();
        let classes = setting::classes(&kind, shape.per_core);
        let hosts = setting::hosts(shape, day, &kind, zones, &classes, &mut rng);
        let cores: f64 = hosts.iter().map(|h| h.config.cores).sum();
        let mut nodes = setting::nodes(shape, &kind, zones, cores, &mut rng);
        if strategy.is_planted(InjectedBug::TenantQuotasUnknown) {
            nodes.iter_mut().for_each(|node| node.settings.tenants.clear());
        }
        let all = cores * shape.per_core;
        let quotas: Vec<f64> = (0..kind.tenants()).map(|tenant| kind.quota(tenant) * all).collect();
        let count = hosts.len();
        let tenants = kind.tenants();
        let see_late = if let Strategy::Seeing { late_ms } = strategy { *late_ms } else { 0.0 };
        let (manners, calls) = (setting::manners(&mut rng), setting::calls(shape, &mut rng));
        let mut world = Self {
            queue: Queue::new(),
            shape: shape.clone(),
            day: day.clone(),
            strategy: strategy.clone(),
            groups: setting::groups(&kind, day.load * all),
            tenant_times: vec![1.0; tenants],
            quotas,
            noted: vec![false; count],
            kind,
            zones,
            hosts,
            nodes,
            calls,
            ledger: Ledger::new(shape.seconds, count, tenants),
            cut: vec![false; zones],
            hushed: vec![false; count],
            times: 1.0,
            noise: 0.04,
            late_ms: 0.0,
            mute: None,
            untouched: vec![true; count],
            arrivals: vec![Vec::new(); count],
            collapsed: vec![false; count],
            past_reports: vec![Vec::new(); count],
            seed,
            manners,
            clients: Vec::new(),
            tries: Vec::new(),
            wanting: vec![0.0; classes.len()],
            earned: vec![0.0; classes.len()],
            classes,
            counted_at: 0.0,
            waste_ms: 0.0,
            truth: Rc::default(),
            see_late,
            // Means of 1: exp(mu + sigma^2 / 2).
            life: LogNormal::new(-0.5, 1.0).expect("sound"),
            load: LogNormal::new(-0.5, 1.0).expect("sound"),
            rng,
            actions: Vec::new(),
        };
        world.begin();
        world
    }

    /// Plays the day.
    pub fn run(mut self) -> Figures {
        let end = self.shape.seconds * 1_000.0;
        while let Some(event) = self.queue.next(end) {
            self.happen(event);
        }
        let sizes: Vec<_> = (0..self.hosts.len())
            .map(|h| self.untouched[h].then(|| (self.hosts[h].config.weight * 1_000.0) as u64))
            .collect();
        let offered = self.ledger.stood * self.classes.iter().map(|c| c.share * c.setup_work_ms).sum::<f64>();
        let waste = 0.18 * self.waste_ms / offered.max(1.0) * 0.02;
        let prices = self.nodes[0].settings.prices.clone();
        let last_fault_s = self.day.faults.iter().map(|fault| fault.at_s).reduce(f64::max);
        self.ledger.figures(&sizes, self.nodes.len(), &prices, waste, last_fault_s)
    }

    pub fn now(&self) -> Millis {
        self.queue.now()
    }

    fn begin(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node);
            self.nodes[node].dealt = true;
        }
        self.fill();
        for zone in 0..self.zones {
            self.next_arrival(zone);
        }
        for host in 0..self.hosts.len() {
            self.report_made(host);
        }
        self.queue.after(REPORT_MS / 7.0, Event::Reports);
        if !self.kind.reports {
            self.queue.after(NOTE_MS / 10.0, Event::Notes);
        }
        self.queue.after(SHED_MS, Event::Shed);
        self.queue.after(COUNT_MS, Event::Count);
        for at in 0..self.day.faults.len() {
            self.queue.at(self.day.faults[at].at_s * 1_000.0, Event::Fault(at));
        }
        self.look();
    }

    /// Connections that stand when the day begins, told to the balancers as open.
    fn fill(&mut self) {
        let rate: f64 = (0..self.zones).map(|zone| self.rate(zone)).sum();
        let standing = (rate * self.shape.life_s * 1_000.0) as usize;
        let capacity: Vec<f64> = self.hosts.iter().map(|h| h.capacity(0.0)).collect();
        let traffic = setting::shares(&self.day.traffic, self.zones);
        for _ in 0..standing {
            let zone = setting::draw(&traffic, &mut self.rng);
            let client = self.new_client(zone);
            let Some(node) = self.deal(zone) else { continue };
            // Groups go together where there are any, as they would have come.
            let group = self.clients[client].group;
            let host = match group {
                0 => setting::draw(&capacity, &mut self.rng),
                _ => self.usual_host(group, &capacity),
            };
            if self.hosts[host].len() >= self.hosts[host].config.max_connections {
                continue;
            }
            let at = self.new_try(client, node);
            self.tries[at].at = At::Standing;
            self.tries[at].attempts = 1;
            self.tries[at].out = Some(Out { attempt: 0, host, held: true });
            let Client { class, load, group, .. } = self.clients[client];
            self.hosts[host].add_connection(0.0, at as u64, class, load, group);
            let request = self.request(at);
            let server = ServerId(host as u64);
            self.feed(node, In::OpenConnection { request, server });
            self.tell_load(at);
            self.queue.at(self.clients[client].until, Event::Leaves(at));
            self.change_later(at);
        }
    }

    /// Clients a ms that come in a zone.
    fn rate(&self, zone: usize) -> f64 {
        let traffic = setting::shares(&self.day.traffic, self.zones);
        let cores: f64 = self.hosts.iter().map(|h| h.config.cores).sum();
        let standing = self.day.load * cores * self.shape.per_core;
        traffic[zone] * standing / (self.shape.life_s * 1_000.0)
    }

    pub(crate) fn next_arrival(&mut self, zone: usize) {
        let tenants = self.tenant_times.iter().enumerate();
        let burst: f64 = tenants.map(|(t, times)| times * self.kind.tenant_share(t)).sum();
        let rate = self.rate(zone) * self.times * burst;
        if let Ok(gap) = Exp::new(rate) {
            let wait = gap.sample(&mut self.rng);
            self.queue.after(wait, Event::Arrive(zone));
        }
    }

    fn new_client(&mut self, zone: usize) -> usize {
        let times = |at: usize| self.tenant_times[at % self.tenant_times.len()];
        let shares: Vec<f64> = self.classes.iter().enumerate().map(|(at, c)| c.share * times(at)).collect();
        let group = match self.groups.is_empty() {
            true => 0,
            // By size, from 1 on.
            false => setting::draw(&self.groups, &mut self.rng) as u64 + 1,
        };
        let class = setting::draw(&shares, &mut self.rng);
        let load = self.classes[class].load * self.load.sample(&mut self.rng);
        let now = self.now();
        let until = now + self.shape.life_s * 1_000.0 * self.life.sample(&mut self.rng);
        self.clients.push(Client { zone, class, group, load, from: now, until, failures: 0 });
        self.wanting[class] += 1.0;
        let client = self.clients.len() - 1;
        self.queue.at(until, Event::Done(client));
        client
    }

    /// The host of a group's connection that stands when the day begins: one of as many as the group fills.
    fn usual_host(&mut self, group: u64, capacity: &[f64]) -> usize {
        let share = self.groups[group as usize - 1] / self.groups.iter().sum::<f64>();
        let hosts = (share * capacity.len() as f64).ceil() as usize;
        let nth = self.rng.random_range(0..hosts.max(1)) as u64;
        setting::draw(capacity, &mut SmallRng::seed_from_u64(group << 32 | nth))
    }

    /// What a balancer is told of a try.
    fn request(&self, at: usize) -> NewRequest {
        let Client { class, group, .. } = self.clients[self.tries[at].client];
        let tenants = self.kind.tenants();
        NewRequest {
            request: RequestId(at as u64),
            class: ClassId((class / tenants) as u16),
            tenant: marllink::TenantId((class % tenants) as u16),
            // A number that says nothing of the size.
            group: group.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            time_left_ms: self.manners.attempt_timeout_ms - CLIENT_MS,
            ..NewRequest::default()
        }
    }

    fn new_try(&mut self, client: usize, node: usize) -> usize {
        let life = self.nodes[node].life;
        let since = self.now();
        self.tries.push(Try { client, node, life, at: At::Waiting, since, attempts: 0, out: None });
        let at = self.tries.len() - 1;
        self.nodes[node].tries.push(at);
        at
    }

    /// The balancer that the zone's front deals a client to.
    fn deal(&mut self, zone: usize) -> Option<usize> {
        let share = |n: &Node| {
            if n.dealt && usize::from(n.settings.zone.0) == zone { n.share } else { 0.0 }
        };
        let shares: Vec<f64> = self.nodes.iter().map(share).collect();
        (shares.iter().sum::<f64>() > 0.0).then(|| setting::draw(&shares, &mut self.rng))
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(zone) => {
                let client = self.new_client(zone);
                self.ledger.first += 1.0;
                self.queue.after(0.0, Event::Try(client));
                self.next_arrival(zone);
            }
            Event::Done(client) => self.wanting[self.clients[client].class] -= 1.0,
            Event::Try(client) => self.come(client),
            Event::AtBalancer(at) => self.arrive(at),
            Event::AtHost { at, attempt } => self.at_host(at, attempt),
            Event::Stands { at, attempt } => self.stands(at, attempt),
            Event::Ends { at, attempt, outcome } => self.ends(at, attempt, outcome),
            Event::Deadline(at) => self.deadline(at),
            Event::Leaves(at) => self.leaves(at),
            Event::Changes(at) => self.changes(at),
            Event::Timer { node, life, token } => {
                if self.alive(node, life) {
                    self.feed(node, In::Timer(token));
                }
            }
            Event::Asked { node, life, host } => self.asked(node, life, host),
            Event::Told { node, life, host, ok, report } => {
                if self.alive(node, life) {
                    self.feed(node, In::ProbeResult { server: ServerId(host as u64), ok, report });
                }
            }
            Event::News { node, life, kind, hosts } => self.news(node, life, kind, &hosts),
            Event::Reports => {
                for host in 0..self.hosts.len() {
                    // Not all at once: each has its own phase.
                    if (self.now() / (REPORT_MS / 7.0)).round() as usize % 7 == host % 7 {
                        let (now, noise) = (self.now(), self.noise);
                        self.hosts[host].refresh_report(now, noise, &mut self.rng);
                        self.report_made(host);
                    }
                }
                self.queue.after(REPORT_MS / 7.0, Event::Reports);
            }
            Event::Notes => {
                self.notes();
                self.queue.after(NOTE_MS / 10.0, Event::Notes);
            }
            Event::Shed => {
                for host in 0..self.hosts.len() {
                    let now = self.now();
                    if let Some(id) = self.hosts[host].shed_newest(now) {
                        self.dropped(id as usize);
                    }
                }
                self.queue.after(SHED_MS, Event::Shed);
            }
            Event::Count => {
                self.count();
                self.look();
                self.queue.after(COUNT_MS, Event::Count);
            }
            Event::Unanswered { at, host, since } => self.unanswered(at, host, since),
            Event::NoConnection { node, life, host } => {
                if self.alive(node, life) {
                    self.tell_silence(node, host, Symptom::ConnectTimeout);
                }
            }
            Event::Fault(at) => self.fault(at),
            Event::Over(at) => self.fault_over(at),
            Event::Kill { node, back_after } => self.kill(node, back_after),
            Event::Start(node) => self.start(node),
            Event::Deal { node, life, dealt } => {
                if self.nodes[node].life == life {
                    self.nodes[node].dealt = dealt;
                }
            }
            Event::Term(node) => self.term(node),
            Event::TermMoves { node, life } => self.term_moves(node, life),
            Event::Drain(host) => self.drain(host),
            Event::Gone(host) => self.gone(host, 0.0),
            Event::Up(host) => self.up(host),
        }
    }

    fn report_made(&mut self, host: usize) {
        let report = self.hosts[host].report();
        let (now, made) = (self.now(), &mut self.past_reports[host]);
        made.push((now, [report.load as f32, report.connections as f32]));
        if made.len() > 16 {
            made.remove(0);
        }
    }

    fn look(&mut self) {
        if !matches!(self.strategy, Strategy::Seeing { .. }) {
            return;
        }
        let now = self.now();
        let see = |(at, host): (usize, &Server)| Seen {
            server: ServerId(at as u64),
            zone: host.config.zone,
            capacity: host.capacity(now),
            strain: host.utilization(now),
            sound: host.phase == Phase::Up && host.failure_ratio == 0.0,
        };
        let seen = self.hosts.iter().enumerate().map(see).collect();
        self.truth.borrow_mut().look(now, self.see_late, seen);
    }

    fn count(&mut self) {
        let now = self.now();
        let passed = (now - self.counted_at) / 1_000.0;
        self.counted_at = now;
        let mut earned = vec![0.0; self.classes.len()];
        for host in &mut self.hosts {
            earned.iter_mut().zip(host.on_time_seconds(now)).for_each(|(sum, of)| *sum += of);
        }
        let served: Vec<f64> = earned.iter().zip(&self.earned).map(|(now, before)| now - before).collect();
        let wanted: Vec<f64> = self.wanting.iter().map(|count| count * passed).collect();
        let (wanted, served) = (self.worth_of(&wanted, passed), self.worth_of(&served, passed));
        for (tenant, (wanted, served)) in wanted.within.iter().zip(&served.within).enumerate() {
            self.ledger.tenant(tenant, *wanted, *served);
        }
        self.ledger.worth(now - 1.0, wanted.all, served.all);
        self.earned = earned;
        for host in 0..self.hosts.len() {
            if self.hosts[host].phase == Phase::Up {
                self.ledger.capacity[host] += self.hosts[host].capacity(now) * passed;
            }
        }
    }

    /// The worth of so many seconds of each class and tenant, within a time: what a tenant has beyond its share
    /// is worth less.
    fn worth_of(&self, seconds: &[f64], passed: f64) -> Worth {
        let tenants = self.kind.tenants();
        let mut worth = Worth::default();
        for tenant in 0..tenants {
            let own = || (tenant..seconds.len()).step_by(tenants);
            let connections = own().map(|at| seconds[at]).sum::<f64>() / passed.max(f64::MIN_POSITIVE);
            let part = (self.quotas[tenant] / connections.max(f64::MIN_POSITIVE)).min(1.0);
            let full: f64 = own().map(|at| seconds[at] * self.classes[at].value).sum();
            worth.within.push(if part < 1.0 { None } else { Some(full) });
            worth.all += full * (part + (1.0 - part) * self.kind.over_share_worth);
        }
        worth
    }

    /// Hosts on which messages are slow tell each balancer with connections there, once a second, and once more
    /// when they are well again.
    fn notes(&mut self) {
        let now = self.now();
        let strictest = self.classes.iter().min_by(|a, b| a.message_goal_ms.total_cmp(&b.message_goal_ms));
        let Some(Class { message_goal_ms: message_aim_ms, goal_to_usual_ratio: ease, .. }) =
            strictest.cloned()
        else {
            return;
        };
        for host in 0..self.hosts.len() {
            // Not all at once: each has its own phase.
            if (now / (NOTE_MS / 10.0)).round() as usize % 10 != host % 10 {
                continue;
            }
            self.hosts[host].advance(now);
            let delay_ms = self.hosts[host].message_delay_ms(now, message_aim_ms, ease);
            let slow = self.hosts[host].phase != Phase::Down && delay_ms > message_aim_ms / 3.0;
            if !std::mem::replace(&mut self.noted[host], slow) && !slow {
                continue;
            }
            let mut told = FxHashMap::default();
            for id in self.hosts[host].connection_ids() {
                if let Some(node) = self.stands_at(id as usize, host) {
                    told.entry(node).or_insert(id);
                }
            }
            let mut told: Vec<_> = told.into_iter().collect();
            told.sort_unstable();
            for (node, id) in told {
                self.feed(node, In::MessageDelay { request: RequestId(id), delay_ms });
            }
        }
    }

    // ---- Clients --------------------------------------------------------------------------------

    fn come(&mut self, client: usize) {
        let zone = self.clients[client].zone;
        let Some(node) = self.deal(zone) else { return self.again(client, ReconnectReason::Unreachable) };
        if self.nodes[node].decider.is_none() {
            // The front has not noticed yet.
            return self.again(client, ReconnectReason::Unreachable);
        }
        let at = self.new_try(client, node);
        self.queue.after(CLIENT_MS, Event::AtBalancer(at));
    }

    pub(crate) fn again(&mut self, client: usize, gap: ReconnectReason) {
        let now = self.now();
        if let Some(at) = self.clients[client].next_attempt_at(now, gap, &self.manners, &mut self.rng) {
            self.queue.at(at, Event::Try(client));
        }
    }

    fn arrive(&mut self, at: usize) {
        let Try { client, node, life, .. } = self.tries[at];
        if !self.alive(node, life) {
            self.tries[at].at = At::Over;
            return self.again(client, ReconnectReason::Unreachable);
        }
        self.queue.after(self.manners.attempt_timeout_ms + GRACE_MS, Event::Deadline(at));
        self.ledger.tries += 1.0;
        let request = self.request(at);
        self.feed(node, In::Request(request));
    }

    fn deadline(&mut self, at: usize) {
        if self.tries[at].at == At::Waiting {
            let now = self.now();
            self.ledger.breach(now, || format!("try {at} has had no final answer in its time"));
            self.tries[at].at = At::Over;
            let client = self.tries[at].client;
            self.again(client, ReconnectReason::Disconnected);
        }
    }

    fn change_later(&mut self, at: usize) {
        let wait = Exp::new(1.0 / CHANGE_MS).expect("sound").sample(&mut self.rng);
        self.queue.after(wait, Event::Changes(at));
    }

    fn changes(&mut self, at: usize) {
        if self.tries[at].at != At::Standing {
            return;
        }
        let client = self.tries[at].client;
        let usual = self.classes[self.clients[client].class].load;
        let swing = self.load.sample(&mut self.rng);
        // Part of its load stays, so that a heavy one is heavy for long.
        self.clients[client].load = 0.7 * self.clients[client].load + 0.3 * usual * swing;
        let (now, load) = (self.now(), self.clients[client].load);
        if let Some(out) = &self.tries[at].out {
            self.hosts[out.host].set_connection_load(now, at as u64, load);
        }
        self.tell_load(at);
        self.change_later(at);
    }

    fn tell_load(&mut self, at: usize) {
        let Try { client, node, .. } = self.tries[at];
        let load = self.clients[client].load * 1e6;
        self.feed(node, In::ConnectionLoad { request: RequestId(at as u64), load });
    }

    /// The client has had what it wanted.
    fn leaves(&mut self, at: usize) {
        if self.tries[at].at != At::Standing {
            return;
        }
        self.end(at, Outcome::Ok, true);
    }

    /// The host where a try's connection is, or is to be.
    pub(crate) fn on_host(&self, at: usize) -> Option<usize> {
        self.tries[at].out.as_ref().map(|out| out.host)
    }

    /// The balancer of a try whose connection stands at this host.
    pub(crate) fn stands_at(&self, at: usize, host: usize) -> Option<usize> {
        let Try { node, life, at: state, .. } = self.tries[at];
        let stands = state == At::Standing && self.on_host(at) == Some(host) && self.alive(node, life);
        stands.then_some(node)
    }

    /// A host does not hold a connection any more, though it stands.
    pub(crate) fn not_held(&mut self, at: usize) {
        if let Some(out) = &mut self.tries[at].out {
            out.held = false;
        }
    }

    /// A host has dropped a connection, or was lost with it.
    pub(crate) fn dropped(&mut self, at: usize) {
        let Some(out) = &mut self.tries[at].out else { return };
        out.held = false;
        let now = self.now();
        self.ledger.dropped += 1.0;
        self.ledger.vain(now);
        if self.tries[at].at == At::Standing {
            self.end(at, Outcome::Reset, true);
            let client = self.tries[at].client;
            self.again(client, ReconnectReason::Disconnected);
        } else {
            let attempt = self.tries[at].out.as_ref().map_or(0, |o| o.attempt);
            self.ends(at, attempt, Outcome::Reset);
        }
    }

    /// Ends the attempt that is out and tells its balancer.
    fn end(&mut self, at: usize, outcome: Outcome, closed: bool) {
        let now = self.now();
        let Some(out) = self.tries[at].out.take() else { return };
        if out.held {
            self.hosts[out.host].remove_connection(now, at as u64);
        }
        if closed {
            self.tries[at].at = At::Over;
        }
        let Try { node, life, .. } = self.tries[at];
        if self.alive(node, life) {
            if closed {
                self.nodes[node].tries.retain(|t| *t != at);
            }
            let attempt = AttemptNo(out.attempt);
            let request = RequestId(at as u64);
            self.feed(node, In::AttemptEnded { request, attempt, outcome, closed });
        }
    }

    /// The tries whose connections stand, oldest first.
    pub(crate) fn standing(&self) -> Vec<usize> {
        (0..self.tries.len()).filter(|at| self.tries[*at].at == At::Standing).collect()
    }

    /// Those of them that are of the largest group; none where there are no groups.
    pub(crate) fn of_the_largest_group(&self) -> Vec<usize> {
        let of = |at: &usize| self.clients[self.tries[*at].client].group;
        let mut sizes = std::collections::BTreeMap::<u64, usize>::new();
        let mut standing = self.standing();
        standing.iter().for_each(|at| *sizes.entry(of(at)).or_default() += 1);
        let largest = sizes.iter().filter(|(group, _)| **group != 0).max_by_key(|(_, size)| **size);
        let largest = largest.map_or(0, |(group, _)| *group);
        standing.retain(|at| largest != 0 && of(at) == largest);
        standing
    }

    /// A client's standing connection breaks on its own side.
    pub(crate) fn break_off(&mut self, at: usize, gap: ReconnectReason) {
        let client = self.tries[at].client;
        self.end(at, Outcome::Ok, true);
        self.again(client, gap);
    }

    // ---- Balancers ------------------------------------------------------------------------------

    fn alive(&self, node: usize, life: u32) -> bool {
        self.nodes[node].life == life && self.nodes[node].decider.is_some()
    }

    /// Feeds an event, and carries out what is decided.
    pub(crate) fn feed(&mut self, node: usize, event: In) {
        let now = self.now();
        let Some(mut decider) = self.nodes[node].decider.take() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        decider.handle(now, event, &mut actions);
        self.nodes[node].decider = Some(decider);
        for action in actions.drain(..) {
            self.carry_out(node, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        let now = self.now();
        let life = self.nodes[node].life;
        match action {
            Action::Send { request, server, timeout_ms } => self.send(request.0 as usize, server, timeout_ms),
            Action::Cancel { request, attempt } => {
                let (at, attempt, outcome) = (request.0 as usize, attempt.0, Outcome::Cancelled);
                self.queue.after(0.0, Event::Ends { at, attempt, outcome });
            }
            Action::Reject { request, retry_after_ms } => {
                self.ledger.refused(now);
                self.answer(request.0 as usize, ReconnectReason::Rejected(retry_after_ms));
            }
            Action::Fail(request) => {
                if self.tries[request.0 as usize].at != At::Over {
                    self.answer(request.0 as usize, ReconnectReason::Disconnected);
                }
            }
            Action::Move(request) => self.moved(request.0 as usize),
            Action::SetTimer { delay_ms, token } => {
                self.queue.after(delay_ms, Event::Timer { node, life, token });
            }
            Action::Probe(server) => {
                self.ledger.probes += 1.0;
                let host = server.0 as usize;
                match self.way(node, host) {
                    Some(way) => {
                        self.queue.after(way * (1.0 + HANDSHAKE), Event::Asked { node, life, host });
                    }
                    None => {
                        let wait = self.nodes[node].settings.limits.connect_timeout_ms;
                        let (ok, report) = (false, Vec::new());
                        self.queue.after(wait, Event::NoConnection { node, life, host });
                        self.queue.after(wait, Event::Told { node, life, host, ok, report });
                    }
                }
            }
            Action::FetchList | Action::WatchList => {
                self.ledger.called(now);
                let (ok, at) = match self.calls.call(now) {
                    Ok(at) => (true, at),
                    Err(at) => (false, at),
                };
                let (kind, hosts) = if ok {
                    (ListKind::Full, (0..self.hosts.len()).collect())
                } else {
                    (ListKind::Failed, Vec::new())
                };
                self.queue.at(at, Event::News { node, life, kind, hosts });
            }
            Action::SendToPeer { .. } | Action::Log(_) => {}
        }
    }

    fn answer(&mut self, at: usize, gap: ReconnectReason) {
        let now = self.now();
        if self.tries[at].at != At::Waiting {
            self.ledger.breach(now, || format!("try {at} was answered twice"));
            return;
        }
        self.tries[at].at = At::Over;
        let Try { client, node, .. } = self.tries[at];
        self.nodes[node].tries.retain(|t| *t != at);
        self.again(client, gap);
    }

    pub(crate) fn moved(&mut self, at: usize) {
        if self.tries[at].at != At::Standing {
            return;
        }
        let now = self.now();
        self.ledger.moved(now);
        let client = self.tries[at].client;
        self.end(at, Outcome::Cancelled, true);
        self.again(client, ReconnectReason::Moved);
    }
}
