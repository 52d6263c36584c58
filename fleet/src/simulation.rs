//! State and event loop of a simulated fleet: clients, a front end for each zone, balancers, the network and
//! servers.

mod lifecycle;
mod network;

use crate::Millis;
use crate::balancer::{self, SimulatedBalancer};
use crate::baseline::{GroundTruth, ServerSnapshot};
use crate::deployment::Deployment;
use crate::event_queue::EventQueue;
use crate::metrics::MetricsCollector;
use crate::results::RunResults;
use crate::scenario::{FleetSize, Scenario, Shape, Strategy};
use crate::setup;
use marllink::{
    Action, AttemptNo, ClassId, Event as BalancerEvent, InjectedBug, ListKind, NewRequest, Outcome,
    RequestId, ServerEntry, ServerId, ServerState, Symptom, TimerToken,
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

/// One-way latency between a client and its balancer, in milliseconds.
const CLIENT_LATENCY_MS: Millis = 0.6;
/// One-way latency within a zone, in milliseconds.
const SAME_ZONE_LATENCY_MS: Millis = 0.2;
/// One-way latency between two zones, in milliseconds.
const CROSS_ZONE_LATENCY_MS: Millis = 7.0;
/// Number of round trips before a server reads the first line of a new connection.
const HANDSHAKE_ROUND_TRIPS: f64 = 2.0;
/// Work of a server for the handshake of a connection, in milliseconds.
const HANDSHAKE_WORK_MS: f64 = 2.3;
/// Work of a server for the answer to a probe, in milliseconds.
const PROBE_WORK_MS: f64 = 1.4;
/// Interval at which a server updates its load report, in milliseconds.
const REPORT_INTERVAL_MS: Millis = 700.0;
/// Interval at which servers check whether they must drop connections because of overload, in milliseconds.
const SHED_INTERVAL_MS: Millis = 100.0;
/// Interval at which servers that don't report their load send notices of slow messages, in milliseconds.
const DELAY_NOTICE_INTERVAL_MS: Millis = 1_000.0;
/// Interval at which the value served is added up and the ground truth is recorded, in milliseconds.
const SAMPLE_INTERVAL_MS: Millis = 100.0;
/// Tolerance for a final answer after the request's deadline, in milliseconds.
const ANSWER_TOLERANCE_MS: Millis = 50.0;
/// Range of the time until the front end notices that a balancer is down, in milliseconds.
const DEAD_BALANCER_DETECTION_MS: (Millis, Millis) = (1_000.0, 3_900.0);
/// Time from SIGTERM until a balancer begins to move its clients, in milliseconds.
const SHUTDOWN_WAIT_MS: Millis = 1_700.0;
/// Time over which a balancer that shuts down moves its clients, in milliseconds.
const SHUTDOWN_MOVE_MS: Millis = 900.0;
/// Mean time between two changes of a connection's load, in milliseconds.
const MEAN_LOAD_CHANGE_INTERVAL_MS: Millis = 8_000.0;

/// A future event. Clients, requests, balancers and servers are given by their index.
pub(crate) enum Event {
    /// A new client arrives in this zone.
    ClientArrives(usize),
    /// A client connects to a balancer, for the first time or again.
    ClientConnects(usize),
    /// A client doesn't need its connection any more.
    ClientDone(usize),
    RequestReachesBalancer(usize),
    AttemptReachesServer {
        request: usize,
        attempt: u8,
    },
    /// The balancer receives the server's answer that a connection is established.
    Established {
        request: usize,
        attempt: u8,
    },
    /// An attempt ends without an established connection.
    AttemptEnds {
        request: usize,
        attempt: u8,
        outcome: Outcome,
    },
    /// The time for a request's final answer is over.
    AnswerDeadline(usize),
    /// A client closes its established connection.
    ClientLeaves(usize),
    /// The load of an established connection changes.
    LoadChanges(usize),
    Timer {
        balancer: usize,
        incarnation: u32,
        token: TimerToken,
    },
    ProbeReachesServer {
        balancer: usize,
        incarnation: u32,
        server: usize,
    },
    ProbeResult {
        balancer: usize,
        incarnation: u32,
        server: usize,
        ok: bool,
        report: Vec<f32>,
    },
    /// A balancer receives the server list, an update to it, or an error.
    ListUpdate {
        balancer: usize,
        incarnation: u32,
        kind: ListKind,
        servers: Vec<usize>,
    },
    /// Some of the servers update their load reports.
    UpdateReports,
    /// Some of the servers send notices of slow messages.
    SendDelayNotices,
    /// Overloaded servers drop connections.
    ShedOverload,
    /// Metrics and the ground truth are sampled.
    Sample,
    /// A message of a client has had no reply from an unresponsive server.
    OverdueReply {
        request: usize,
        server: usize,
        since: Millis,
    },
    /// A connection to a server was not established within the connect timeout.
    ConnectTimeout {
        balancer: usize,
        incarnation: u32,
        server: usize,
    },
    FaultBegins(usize),
    FaultEnds(usize),
    KillBalancer {
        balancer: usize,
        restart_after_ms: Millis,
    },
    StartBalancer(usize),
    /// The front end begins or stops routing clients to a balancer.
    SetRotation {
        balancer: usize,
        incarnation: u32,
        in_rotation: bool,
    },
    TerminateBalancer(usize),
    /// A balancer that shuts down moves some of its clients.
    MoveBeforeExit {
        balancer: usize,
        incarnation: u32,
    },
    DrainServer(usize),
    StopServer(usize),
    StartServer(usize),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// The client waits for the final answer.
    Waiting,
    /// The connection is established.
    Established,
    /// The request was rejected or failed, or its connection was closed.
    Finished,
}

/// Value of connections over a time span: in total, and by tenant. The latter is `None` if the tenant is
/// above its quota.
#[derive(Default)]
struct ConnectionValue {
    total: f64,
    within_quota: Vec<Option<f64>>,
}

/// The pending attempt of a request, or the one that established its connection.
struct CurrentAttempt {
    attempt: u8,
    server: usize,
    /// True while the server holds the connection.
    held: bool,
}

/// A client's request for a connection.
struct ClientRequest {
    client: usize,
    balancer: usize,
    incarnation: u32,
    state: RequestState,
    since: Millis,
    attempts: u8,
    current_attempt: Option<CurrentAttempt>,
}

/// State of the whole fleet during a run.
pub(crate) struct Simulation {
    pub queue: EventQueue<Event>,
    pub rng: SmallRng,
    pub shape: Shape,
    pub scenario: Scenario,
    pub strategy: Strategy,
    pub deployment: Deployment,
    pub zones: usize,
    /// One class for each pair of class and tenant, with the tenants of a class next to each other.
    pub classes: Vec<Class>,
    /// The groups' relative shares of the connections; empty if there are no groups.
    group_shares: Vec<f64>,
    /// Factor on the rate of each tenant's new clients.
    pub tenant_traffic_factors: Vec<f64>,
    /// Each tenant's quota, in connections.
    tenant_quotas: Vec<f64>,
    /// Servers that have sent a notice of slow messages and not yet one that they are fast again.
    slow_notified: Vec<bool>,
    pub servers: Vec<Server>,
    pub balancers: Vec<SimulatedBalancer>,
    pub discovery: DiscoveryService,
    pub metrics: MetricsCollector,
    /// Zones that are cut off from all others by a network partition.
    pub partitioned_zones: Vec<bool>,
    /// Servers whose machines are unresponsive.
    pub unresponsive: Vec<bool>,
    /// Factor on the rate of new clients.
    pub traffic_factor: f64,
    /// Maximum relative error of load reports.
    pub report_noise: f64,
    /// Delay of load reports, in milliseconds.
    pub report_delay_ms: Millis,
    /// `Some(true)` while probes are refused, `Some(false)` while they get no answer.
    pub probes_refused: Option<bool>,
    /// Servers that no fault has affected. Only these count for the skew.
    pub unaffected: Vec<bool>,
    /// Times of the recent arrivals at each server in slow start.
    pub recent_arrivals: Vec<Vec<Millis>>,
    /// Servers that have collapsed in slow start. They stay down.
    pub collapsed: Vec<bool>,
    past_reports: Vec<Vec<(Millis, [f32; 2])>>,
    seed: u64,
    reconnect_policy: ReconnectPolicy,
    clients: Vec<Client>,
    requests: Vec<ClientRequest>,
    /// Number of connections that clients want, by class.
    wanted_connections: Vec<f64>,
    sampled_at: Millis,
    /// Connection-seconds served as of the last sample, by class.
    served_seconds: Vec<f64>,
    wasted_work_ms: f64,
    ground_truth: Rc<RefCell<GroundTruth>>,
    ground_truth_delay_ms: Millis,
    lifetime_distribution: LogNormal<f64>,
    load_distribution: LogNormal<f64>,
    /// Buffer that is reused between calls.
    actions: Vec<Action>,
}

impl Simulation {
    /// Creates a fleet at the start of a scenario, with open connections in proportion to the servers'
    /// capacity.
    pub fn new(shape: &Shape, scenario: &Scenario, strategy: &Strategy, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let size =
            scenario.fleet_size.unwrap_or(FleetSize { balancers: shape.balancers, servers: shape.servers });
        let shape = &Shape { balancers: size.balancers, servers: size.servers, ..shape.clone() };
        let zones = scenario.zones.unwrap_or(shape.zones);
        let deployment = scenario.deployment.as_ref().unwrap_or(&shape.deployment).clone();
        let classes = setup::classes(&deployment, shape.connections_per_core);
        let servers = setup::servers(shape, scenario, &deployment, zones, &classes, &mut rng);
        let cores: f64 = servers.iter().map(|s| s.config.cores).sum();
        let mut balancers = setup::balancers(shape, &deployment, zones, cores, &mut rng);
        if strategy.injects(InjectedBug::TenantQuotasUnknown) {
            balancers.iter_mut().for_each(|balancer| balancer.settings.tenants.clear());
        }
        let fleet_connections = cores * shape.connections_per_core;
        let tenant_quotas: Vec<f64> = (0..deployment.tenant_count())
            .map(|tenant| deployment.quota(tenant) * fleet_connections)
            .collect();
        let server_count = servers.len();
        let tenants = deployment.tenant_count();
        let ground_truth_delay_ms =
            if let Strategy::Oracle { delay_ms } = strategy { *delay_ms } else { 0.0 };
        let (reconnect_policy, discovery) =
            (setup::reconnect_policy(&mut rng), setup::discovery(shape, &mut rng));
        let mut simulation = Self {
            queue: EventQueue::new(),
            shape: shape.clone(),
            scenario: scenario.clone(),
            strategy: strategy.clone(),
            group_shares: setup::group_shares(&deployment, scenario.load * fleet_connections),
            tenant_traffic_factors: vec![1.0; tenants],
            tenant_quotas,
            slow_notified: vec![false; server_count],
            deployment,
            zones,
            servers,
            balancers,
            discovery,
            metrics: MetricsCollector::new(shape.duration_s, server_count, tenants),
            partitioned_zones: vec![false; zones],
            unresponsive: vec![false; server_count],
            traffic_factor: 1.0,
            report_noise: 0.04,
            report_delay_ms: 0.0,
            probes_refused: None,
            unaffected: vec![true; server_count],
            recent_arrivals: vec![Vec::new(); server_count],
            collapsed: vec![false; server_count],
            past_reports: vec![Vec::new(); server_count],
            seed,
            reconnect_policy,
            clients: Vec::new(),
            requests: Vec::new(),
            wanted_connections: vec![0.0; classes.len()],
            served_seconds: vec![0.0; classes.len()],
            classes,
            sampled_at: 0.0,
            wasted_work_ms: 0.0,
            ground_truth: Rc::default(),
            ground_truth_delay_ms,
            // Log-normal distributions with a mean of exp(mu + sigma^2 / 2) = 1.
            lifetime_distribution: LogNormal::new(-0.5, 1.0).expect("sigma is finite and positive"),
            load_distribution: LogNormal::new(-0.5, 1.0).expect("sigma is finite and positive"),
            rng,
            actions: Vec::new(),
        };
        simulation.initialize();
        simulation
    }

    /// Runs the scenario to its end.
    pub fn run(mut self) -> RunResults {
        let end = self.shape.duration_s * 1_000.0;
        while let Some(event) = self.queue.pop_until(end) {
            self.dispatch(event);
        }
        let sizes: Vec<_> = (0..self.servers.len())
            .map(|s| self.unaffected[s].then(|| (self.servers[s].config.weight * 1_000.0) as u64))
            .collect();
        let setup_work_total_ms =
            self.metrics.established * self.classes.iter().map(|c| c.share * c.setup_work_ms).sum::<f64>();
        let wasted_work_price = 0.18 * self.wasted_work_ms / setup_work_total_ms.max(1.0) * 0.02;
        let prices = self.balancers[0].settings.prices.clone();
        let last_fault_s = self.scenario.faults.iter().map(|fault| fault.at_s).reduce(f64::max);
        self.metrics.results(&sizes, self.balancers.len(), &prices, wasted_work_price, last_fault_s)
    }

    pub fn now(&self) -> Millis {
        self.queue.now()
    }

    /// Starts the balancers, opens the initial connections and schedules the first events.
    fn initialize(&mut self) {
        for balancer in 0..self.balancers.len() {
            self.start_balancer(balancer);
            self.balancers[balancer].in_rotation = true;
        }
        self.open_initial_connections();
        for zone in 0..self.zones {
            self.schedule_next_arrival(zone);
        }
        for server in 0..self.servers.len() {
            self.record_report(server);
        }
        self.queue.schedule_after(REPORT_INTERVAL_MS / 7.0, Event::UpdateReports);
        if !self.deployment.reports_load {
            self.queue.schedule_after(DELAY_NOTICE_INTERVAL_MS / 10.0, Event::SendDelayNotices);
        }
        self.queue.schedule_after(SHED_INTERVAL_MS, Event::ShedOverload);
        self.queue.schedule_after(SAMPLE_INTERVAL_MS, Event::Sample);
        for index in 0..self.scenario.faults.len() {
            self.queue.schedule_at(self.scenario.faults[index].at_s * 1_000.0, Event::FaultBegins(index));
        }
        self.record_ground_truth();
    }

    /// Opens the connections that are established when the scenario begins, and reports them to the
    /// balancers.
    fn open_initial_connections(&mut self) {
        let rate: f64 = (0..self.zones).map(|zone| self.arrival_rate(zone)).sum();
        let connections = (rate * self.shape.mean_lifetime_s * 1_000.0) as usize;
        let capacities: Vec<f64> = self.servers.iter().map(|s| s.capacity(0.0)).collect();
        let traffic = setup::zone_shares(&self.scenario.traffic_shares, self.zones);
        for _ in 0..connections {
            let zone = setup::draw_index(&traffic, &mut self.rng);
            let client = self.new_client(zone);
            let Some(balancer) = self.route(zone) else { continue };
            // The connections of a group share servers, as they would have if the balancers had placed them.
            let group = self.clients[client].group;
            let server = match group {
                0 => setup::draw_index(&capacities, &mut self.rng),
                _ => self.initial_server(group, &capacities),
            };
            if self.servers[server].len() >= self.servers[server].config.max_connections {
                continue;
            }
            let index = self.add_request(client, balancer);
            self.requests[index].state = RequestState::Established;
            self.requests[index].attempts = 1;
            self.requests[index].current_attempt = Some(CurrentAttempt { attempt: 0, server, held: true });
            let Client { class, load, group, .. } = self.clients[client];
            self.servers[server].add_connection(0.0, index as u64, class, load, group);
            let request = self.balancer_request(index);
            let server = ServerId(server as u64);
            self.handle_event(balancer, BalancerEvent::OpenConnection { request, server });
            self.report_connection_load(index);
            self.queue.schedule_at(self.clients[client].until, Event::ClientLeaves(index));
            self.schedule_load_change(index);
        }
    }

    /// Returns the normal rate of new clients in a zone, for each millisecond.
    fn arrival_rate(&self, zone: usize) -> f64 {
        let traffic = setup::zone_shares(&self.scenario.traffic_shares, self.zones);
        let cores: f64 = self.servers.iter().map(|s| s.config.cores).sum();
        let connections = self.scenario.load * cores * self.shape.connections_per_core;
        traffic[zone] * connections / (self.shape.mean_lifetime_s * 1_000.0)
    }

    pub(crate) fn schedule_next_arrival(&mut self, zone: usize) {
        let tenants = self.tenant_traffic_factors.iter().enumerate();
        let tenant_factor: f64 = tenants.map(|(t, factor)| factor * self.deployment.tenant_share(t)).sum();
        let rate = self.arrival_rate(zone) * self.traffic_factor * tenant_factor;
        if let Ok(interval) = Exp::new(rate) {
            let delay = interval.sample(&mut self.rng);
            self.queue.schedule_after(delay, Event::ClientArrives(zone));
        }
    }

    fn new_client(&mut self, zone: usize) -> usize {
        let factor = |class: usize| self.tenant_traffic_factors[class % self.tenant_traffic_factors.len()];
        let shares: Vec<f64> =
            self.classes.iter().enumerate().map(|(class, c)| c.share * factor(class)).collect();
        let group = match self.group_shares.is_empty() {
            true => 0,
            // Group numbers begin at 1; 0 stands for no group.
            false => setup::draw_index(&self.group_shares, &mut self.rng) as u64 + 1,
        };
        let class = setup::draw_index(&shares, &mut self.rng);
        let load = self.classes[class].load * self.load_distribution.sample(&mut self.rng);
        let now = self.now();
        let until =
            now + self.shape.mean_lifetime_s * 1_000.0 * self.lifetime_distribution.sample(&mut self.rng);
        self.clients.push(Client { zone, class, group, load, from: now, until, failures: 0 });
        self.wanted_connections[class] += 1.0;
        let client = self.clients.len() - 1;
        self.queue.schedule_at(until, Event::ClientDone(client));
        client
    }

    /// Returns the server of a group's initial connection: one of as many servers as the group needs for its
    /// share of the connections.
    fn initial_server(&mut self, group: u64, capacities: &[f64]) -> usize {
        let share = self.group_shares[group as usize - 1] / self.group_shares.iter().sum::<f64>();
        let servers = (share * capacities.len() as f64).ceil() as usize;
        let nth = self.rng.random_range(0..servers.max(1)) as u64;
        setup::draw_index(capacities, &mut SmallRng::seed_from_u64(group << 32 | nth))
    }

    /// Returns the description of a request that its balancer receives.
    fn balancer_request(&self, index: usize) -> NewRequest {
        let Client { class, group, .. } = self.clients[self.requests[index].client];
        let tenants = self.deployment.tenant_count();
        NewRequest {
            request: RequestId(index as u64),
            class: ClassId((class / tenants) as u16),
            tenant: marllink::TenantId((class % tenants) as u16),
            // Scrambled, so that the id doesn't reveal the rank of the group by size.
            group: group.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            time_left_ms: self.reconnect_policy.attempt_timeout_ms - CLIENT_LATENCY_MS,
            ..NewRequest::default()
        }
    }

    fn add_request(&mut self, client: usize, balancer: usize) -> usize {
        let incarnation = self.balancers[balancer].incarnation;
        let since = self.now();
        self.requests.push(ClientRequest {
            client,
            balancer,
            incarnation,
            state: RequestState::Waiting,
            since,
            attempts: 0,
            current_attempt: None,
        });
        let index = self.requests.len() - 1;
        self.balancers[balancer].requests.push(index);
        index
    }

    /// Returns the balancer that the zone's front end routes a client to; `None` if no balancer is in
    /// rotation.
    fn route(&mut self, zone: usize) -> Option<usize> {
        let share = |b: &SimulatedBalancer| {
            if b.in_rotation && usize::from(b.settings.zone.0) == zone { b.traffic_share } else { 0.0 }
        };
        let shares: Vec<f64> = self.balancers.iter().map(share).collect();
        (shares.iter().sum::<f64>() > 0.0).then(|| setup::draw_index(&shares, &mut self.rng))
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::ClientArrives(zone) => {
                let client = self.new_client(zone);
                self.metrics.new_clients += 1.0;
                self.queue.schedule_after(0.0, Event::ClientConnects(client));
                self.schedule_next_arrival(zone);
            }
            Event::ClientDone(client) => self.wanted_connections[self.clients[client].class] -= 1.0,
            Event::ClientConnects(client) => self.connect_client(client),
            Event::RequestReachesBalancer(request) => self.request_reaches_balancer(request),
            Event::AttemptReachesServer { request, attempt } => self.attempt_reaches_server(request, attempt),
            Event::Established { request, attempt } => self.connection_established(request, attempt),
            Event::AttemptEnds { request, attempt, outcome } => {
                self.attempt_failed(request, attempt, outcome)
            }
            Event::AnswerDeadline(request) => self.check_answer(request),
            Event::ClientLeaves(request) => self.close_connection(request),
            Event::LoadChanges(request) => self.change_load(request),
            Event::Timer { balancer, incarnation, token } => {
                if self.is_running(balancer, incarnation) {
                    self.handle_event(balancer, BalancerEvent::Timer(token));
                }
            }
            Event::ProbeReachesServer { balancer, incarnation, server } => {
                self.probe_reaches_server(balancer, incarnation, server)
            }
            Event::ProbeResult { balancer, incarnation, server, ok, report } => {
                if self.is_running(balancer, incarnation) {
                    self.handle_event(
                        balancer,
                        BalancerEvent::ProbeResult { server: ServerId(server as u64), ok, report },
                    );
                }
            }
            Event::ListUpdate { balancer, incarnation, kind, servers } => {
                self.deliver_list(balancer, incarnation, kind, &servers)
            }
            Event::UpdateReports => {
                for server in 0..self.servers.len() {
                    // Each server updates in one of seven phases, so that the reports are spread over the
                    // interval.
                    if (self.now() / (REPORT_INTERVAL_MS / 7.0)).round() as usize % 7 == server % 7 {
                        let (now, noise) = (self.now(), self.report_noise);
                        self.servers[server].refresh_report(now, noise, &mut self.rng);
                        self.record_report(server);
                    }
                }
                self.queue.schedule_after(REPORT_INTERVAL_MS / 7.0, Event::UpdateReports);
            }
            Event::SendDelayNotices => {
                self.send_delay_notices();
                self.queue.schedule_after(DELAY_NOTICE_INTERVAL_MS / 10.0, Event::SendDelayNotices);
            }
            Event::ShedOverload => {
                for server in 0..self.servers.len() {
                    let now = self.now();
                    if let Some(id) = self.servers[server].shed_newest(now) {
                        self.drop_connection(id as usize);
                    }
                }
                self.queue.schedule_after(SHED_INTERVAL_MS, Event::ShedOverload);
            }
            Event::Sample => {
                self.sample_value();
                self.record_ground_truth();
                self.queue.schedule_after(SAMPLE_INTERVAL_MS, Event::Sample);
            }
            Event::OverdueReply { request, server, since } => {
                self.report_overdue_reply(request, server, since)
            }
            Event::ConnectTimeout { balancer, incarnation, server } => {
                if self.is_running(balancer, incarnation) {
                    self.report_unresponsive(balancer, server, Symptom::ConnectTimeout);
                }
            }
            Event::FaultBegins(index) => self.begin_fault(index),
            Event::FaultEnds(index) => self.end_fault(index),
            Event::KillBalancer { balancer, restart_after_ms } => {
                self.kill_balancer(balancer, restart_after_ms)
            }
            Event::StartBalancer(balancer) => self.start_balancer(balancer),
            Event::SetRotation { balancer, incarnation, in_rotation } => {
                if self.balancers[balancer].incarnation == incarnation {
                    self.balancers[balancer].in_rotation = in_rotation;
                }
            }
            Event::TerminateBalancer(balancer) => self.terminate_balancer(balancer),
            Event::MoveBeforeExit { balancer, incarnation } => self.move_before_exit(balancer, incarnation),
            Event::DrainServer(server) => self.drain_server(server),
            Event::StopServer(server) => self.stop_server(server, 0.0),
            Event::StartServer(server) => self.start_server(server),
        }
    }

    /// Keeps a server's report, so that probes can be answered with an older one while reports are delayed.
    fn record_report(&mut self, server: usize) {
        let report = self.servers[server].report();
        let (now, reports) = (self.now(), &mut self.past_reports[server]);
        reports.push((now, [report.load as f32, report.connections as f32]));
        if reports.len() > 16 {
            reports.remove(0);
        }
    }

    fn record_ground_truth(&mut self) {
        if !matches!(self.strategy, Strategy::Oracle { .. }) {
            return;
        }
        let now = self.now();
        let snapshot = |(index, server): (usize, &Server)| ServerSnapshot {
            server: ServerId(index as u64),
            zone: server.config.zone,
            capacity: server.capacity(now),
            utilization: server.utilization(now),
            healthy: server.phase == Phase::Up && server.failure_ratio == 0.0,
        };
        let snapshots = self.servers.iter().enumerate().map(snapshot).collect();
        self.ground_truth.borrow_mut().record(now, self.ground_truth_delay_ms, snapshots);
    }

    /// Adds the value wanted and served since the last sample to the metrics, and the servers' capacity.
    fn sample_value(&mut self) {
        let now = self.now();
        let elapsed_s = (now - self.sampled_at) / 1_000.0;
        self.sampled_at = now;
        let mut served_seconds = vec![0.0; self.classes.len()];
        for server in &mut self.servers {
            served_seconds
                .iter_mut()
                .zip(server.on_time_seconds(now))
                .for_each(|(sum, seconds)| *sum += seconds);
        }
        let served: Vec<f64> = served_seconds
            .iter()
            .zip(&self.served_seconds)
            .map(|(current, previous)| current - previous)
            .collect();
        let wanted: Vec<f64> = self.wanted_connections.iter().map(|count| count * elapsed_s).collect();
        let (wanted, served) = (self.value_of(&wanted, elapsed_s), self.value_of(&served, elapsed_s));
        for (tenant, (wanted, served)) in wanted.within_quota.iter().zip(&served.within_quota).enumerate() {
            self.metrics.add_tenant_value(tenant, *wanted, *served);
        }
        self.metrics.add_value(now - 1.0, wanted.total, served.total);
        self.served_seconds = served_seconds;
        for server in 0..self.servers.len() {
            if self.servers[server].phase == Phase::Up {
                self.metrics.capacity_by_server[server] += self.servers[server].capacity(now) * elapsed_s;
            }
        }
    }

    /// Returns the value of these connection-seconds by class, over a time span. Connections above a tenant's
    /// quota have a lower value.
    fn value_of(&self, seconds: &[f64], elapsed_s: f64) -> ConnectionValue {
        let tenants = self.deployment.tenant_count();
        let mut value = ConnectionValue::default();
        for tenant in 0..tenants {
            let own = || (tenant..seconds.len()).step_by(tenants);
            let connections =
                own().map(|class| seconds[class]).sum::<f64>() / elapsed_s.max(f64::MIN_POSITIVE);
            let within_ratio = (self.tenant_quotas[tenant] / connections.max(f64::MIN_POSITIVE)).min(1.0);
            let full: f64 = own().map(|class| seconds[class] * self.classes[class].value).sum();
            value.within_quota.push(if within_ratio < 1.0 { None } else { Some(full) });
            value.total +=
                full * (within_ratio + (1.0 - within_ratio) * self.deployment.over_quota_value_ratio);
        }
        value
    }

    /// Has servers with slow messages send a notice to each balancer that has a connection there, once a
    /// second, and once more when messages are fast again.
    fn send_delay_notices(&mut self) {
        let now = self.now();
        let strictest = self.classes.iter().min_by(|a, b| a.message_goal_ms.total_cmp(&b.message_goal_ms));
        let Some(Class { message_goal_ms, goal_to_usual_ratio, .. }) = strictest.cloned() else { return };
        for server in 0..self.servers.len() {
            // Each server sends in one of ten phases, so that the notices are spread over the interval.
            if (now / (DELAY_NOTICE_INTERVAL_MS / 10.0)).round() as usize % 10 != server % 10 {
                continue;
            }
            self.servers[server].advance(now);
            let delay_ms = self.servers[server].message_delay_ms(now, message_goal_ms, goal_to_usual_ratio);
            let slow = self.servers[server].phase != Phase::Down && delay_ms > message_goal_ms / 3.0;
            if !std::mem::replace(&mut self.slow_notified[server], slow) && !slow {
                continue;
            }
            let mut recipients = FxHashMap::default();
            for id in self.servers[server].connection_ids() {
                if let Some(balancer) = self.balancer_if_established(id as usize, server) {
                    recipients.entry(balancer).or_insert(id);
                }
            }
            let mut recipients: Vec<_> = recipients.into_iter().collect();
            recipients.sort_unstable();
            for (balancer, id) in recipients {
                self.handle_event(balancer, BalancerEvent::MessageDelay { request: RequestId(id), delay_ms });
            }
        }
    }

    // ---- Clients --------------------------------------------------------------------------------

    fn connect_client(&mut self, client: usize) {
        let zone = self.clients[client].zone;
        let Some(balancer) = self.route(zone) else {
            return self.schedule_reconnect(client, ReconnectReason::Unreachable);
        };
        if self.balancers[balancer].policy.is_none() {
            // The front end has not yet noticed that the balancer is down.
            return self.schedule_reconnect(client, ReconnectReason::Unreachable);
        }
        let request = self.add_request(client, balancer);
        self.queue.schedule_after(CLIENT_LATENCY_MS, Event::RequestReachesBalancer(request));
    }

    /// Schedules a client's next request, unless it doesn't need a connection any more.
    pub(crate) fn schedule_reconnect(&mut self, client: usize, reason: ReconnectReason) {
        let now = self.now();
        if let Some(at) =
            self.clients[client].next_attempt_at(now, reason, &self.reconnect_policy, &mut self.rng)
        {
            self.queue.schedule_at(at, Event::ClientConnects(client));
        }
    }

    fn request_reaches_balancer(&mut self, index: usize) {
        let ClientRequest { client, balancer, incarnation, .. } = self.requests[index];
        if !self.is_running(balancer, incarnation) {
            self.requests[index].state = RequestState::Finished;
            return self.schedule_reconnect(client, ReconnectReason::Unreachable);
        }
        self.queue.schedule_after(
            self.reconnect_policy.attempt_timeout_ms + ANSWER_TOLERANCE_MS,
            Event::AnswerDeadline(index),
        );
        self.metrics.requests += 1.0;
        let request = self.balancer_request(index);
        self.handle_event(balancer, BalancerEvent::Request(request));
    }

    /// Records a violation if a request has no final answer at its deadline.
    fn check_answer(&mut self, request: usize) {
        if self.requests[request].state == RequestState::Waiting {
            let now = self.now();
            self.metrics.record_violation(now, || {
                format!("request {request} has had no final answer by its deadline")
            });
            self.requests[request].state = RequestState::Finished;
            let client = self.requests[request].client;
            self.schedule_reconnect(client, ReconnectReason::Disconnected);
        }
    }

    fn schedule_load_change(&mut self, request: usize) {
        let delay =
            Exp::new(1.0 / MEAN_LOAD_CHANGE_INTERVAL_MS).expect("the rate is positive").sample(&mut self.rng);
        self.queue.schedule_after(delay, Event::LoadChanges(request));
    }

    fn change_load(&mut self, request: usize) {
        if self.requests[request].state != RequestState::Established {
            return;
        }
        let client = self.requests[request].client;
        let class_load = self.classes[self.clients[client].class].load;
        let factor = self.load_distribution.sample(&mut self.rng);
        // Keeps most of the current load, so that a heavy connection stays heavy for a while.
        self.clients[client].load = 0.7 * self.clients[client].load + 0.3 * class_load * factor;
        let (now, load) = (self.now(), self.clients[client].load);
        if let Some(current) = &self.requests[request].current_attempt {
            self.servers[current.server].set_connection_load(now, request as u64, load);
        }
        self.report_connection_load(request);
        self.schedule_load_change(request);
    }

    /// Reports a connection's load to its balancer.
    fn report_connection_load(&mut self, request: usize) {
        let ClientRequest { client, balancer, .. } = self.requests[request];
        let load = self.clients[client].load * 1e6;
        self.handle_event(
            balancer,
            BalancerEvent::ConnectionLoad { request: RequestId(request as u64), load },
        );
    }

    /// Closes an established connection that its client doesn't need any more.
    fn close_connection(&mut self, request: usize) {
        if self.requests[request].state != RequestState::Established {
            return;
        }
        self.end_attempt(request, Outcome::Ok, true);
    }

    /// Returns the server of a request's current attempt.
    pub(crate) fn current_server(&self, request: usize) -> Option<usize> {
        self.requests[request].current_attempt.as_ref().map(|a| a.server)
    }

    /// Returns the balancer of a request if its connection is established on this server and the balancer
    /// still runs.
    pub(crate) fn balancer_if_established(&self, request: usize, server: usize) -> Option<usize> {
        let ClientRequest { balancer, incarnation, state, .. } = self.requests[request];
        let established = state == RequestState::Established
            && self.current_server(request) == Some(server)
            && self.is_running(balancer, incarnation);
        established.then_some(balancer)
    }

    /// Marks a connection as no longer held by its server, although it stays established for the balancer.
    pub(crate) fn mark_not_held(&mut self, request: usize) {
        if let Some(current) = &mut self.requests[request].current_attempt {
            current.held = false;
        }
    }

    /// Ends a connection that its server has dropped, or that was lost with the server.
    pub(crate) fn drop_connection(&mut self, request: usize) {
        let Some(current) = &mut self.requests[request].current_attempt else { return };
        current.held = false;
        let now = self.now();
        self.metrics.dropped += 1.0;
        self.metrics.count_wasted_attempt(now);
        if self.requests[request].state == RequestState::Established {
            self.end_attempt(request, Outcome::Reset, true);
            let client = self.requests[request].client;
            self.schedule_reconnect(client, ReconnectReason::Disconnected);
        } else {
            let attempt = self.requests[request].current_attempt.as_ref().map_or(0, |a| a.attempt);
            self.attempt_failed(request, attempt, Outcome::Reset);
        }
    }

    /// Ends the current attempt and reports it to its balancer.
    fn end_attempt(&mut self, request: usize, outcome: Outcome, closed: bool) {
        let now = self.now();
        let Some(ended) = self.requests[request].current_attempt.take() else { return };
        if ended.held {
            self.servers[ended.server].remove_connection(now, request as u64);
        }
        if closed {
            self.requests[request].state = RequestState::Finished;
        }
        let ClientRequest { balancer, incarnation, .. } = self.requests[request];
        if self.is_running(balancer, incarnation) {
            if closed {
                self.balancers[balancer].requests.retain(|r| *r != request);
            }
            let attempt = AttemptNo(ended.attempt);
            let id = RequestId(request as u64);
            self.handle_event(
                balancer,
                BalancerEvent::AttemptEnded { request: id, attempt, outcome, closed },
            );
        }
    }

    /// Returns the requests with established connections, oldest first.
    pub(crate) fn established_requests(&self) -> Vec<usize> {
        (0..self.requests.len()).filter(|r| self.requests[*r].state == RequestState::Established).collect()
    }

    /// Returns the established requests of the largest group; empty if there are no groups.
    pub(crate) fn largest_group_requests(&self) -> Vec<usize> {
        let group_of = |request: &usize| self.clients[self.requests[*request].client].group;
        let mut sizes = std::collections::BTreeMap::<u64, usize>::new();
        let mut established = self.established_requests();
        established.iter().for_each(|request| *sizes.entry(group_of(request)).or_default() += 1);
        let largest = sizes.iter().filter(|(group, _)| **group != 0).max_by_key(|(_, size)| **size);
        let largest = largest.map_or(0, |(group, _)| *group);
        established.retain(|request| largest != 0 && group_of(request) == largest);
        established
    }

    /// Closes a connection from the client's side and schedules the client's next request.
    pub(crate) fn disconnect_client(&mut self, request: usize, reason: ReconnectReason) {
        let client = self.requests[request].client;
        self.end_attempt(request, Outcome::Ok, true);
        self.schedule_reconnect(client, reason);
    }

    // ---- Balancers ------------------------------------------------------------------------------

    /// Returns true if the balancer runs and has not been restarted since this incarnation.
    fn is_running(&self, balancer: usize, incarnation: u32) -> bool {
        self.balancers[balancer].incarnation == incarnation && self.balancers[balancer].policy.is_some()
    }

    /// Passes an event to a balancer's decisions and executes the resulting actions.
    pub(crate) fn handle_event(&mut self, balancer: usize, event: BalancerEvent) {
        let now = self.now();
        let Some(mut policy) = self.balancers[balancer].policy.take() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        policy.handle(now, event, &mut actions);
        self.balancers[balancer].policy = Some(policy);
        for action in actions.drain(..) {
            self.execute(balancer, action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, balancer: usize, action: Action) {
        let now = self.now();
        let incarnation = self.balancers[balancer].incarnation;
        match action {
            Action::Send { request, server, timeout_ms } => {
                self.send_attempt(request.0 as usize, server, timeout_ms)
            }
            Action::Cancel { request, attempt } => {
                let (request, attempt, outcome) = (request.0 as usize, attempt.0, Outcome::Cancelled);
                self.queue.schedule_after(0.0, Event::AttemptEnds { request, attempt, outcome });
            }
            Action::Reject { request, retry_after_ms } => {
                self.metrics.count_rejected(now);
                self.answer_request(request.0 as usize, ReconnectReason::Rejected(retry_after_ms));
            }
            Action::Fail(request) => {
                if self.requests[request.0 as usize].state != RequestState::Finished {
                    self.answer_request(request.0 as usize, ReconnectReason::Disconnected);
                }
            }
            Action::Move(request) => self.move_client(request.0 as usize),
            Action::SetTimer { delay_ms, token } => {
                self.queue.schedule_after(delay_ms, Event::Timer { balancer, incarnation, token });
            }
            Action::Probe(server) => {
                self.metrics.probes += 1.0;
                let server = server.0 as usize;
                match self.one_way_latency(balancer, server) {
                    Some(latency) => {
                        self.queue.schedule_after(
                            latency * (1.0 + HANDSHAKE_ROUND_TRIPS),
                            Event::ProbeReachesServer { balancer, incarnation, server },
                        );
                    }
                    None => {
                        let timeout = self.balancers[balancer].settings.limits.connect_timeout_ms;
                        let (ok, report) = (false, Vec::new());
                        self.queue
                            .schedule_after(timeout, Event::ConnectTimeout { balancer, incarnation, server });
                        self.queue.schedule_after(
                            timeout,
                            Event::ProbeResult { balancer, incarnation, server, ok, report },
                        );
                    }
                }
            }
            Action::FetchList | Action::WatchList => {
                self.metrics.count_discovery_call(now);
                let (ok, at) = match self.discovery.call(now) {
                    Ok(at) => (true, at),
                    Err(at) => (false, at),
                };
                let (kind, servers) = if ok {
                    (ListKind::Full, (0..self.servers.len()).collect())
                } else {
                    (ListKind::Failed, Vec::new())
                };
                self.queue.schedule_at(at, Event::ListUpdate { balancer, incarnation, kind, servers });
            }
            Action::SendToPeer { .. } | Action::Log(_) => {}
        }
    }

    /// Gives a client the final answer that its request was rejected or has failed.
    fn answer_request(&mut self, request: usize, reason: ReconnectReason) {
        let now = self.now();
        if self.requests[request].state != RequestState::Waiting {
            self.metrics.record_violation(now, || format!("request {request} was answered twice"));
            return;
        }
        self.requests[request].state = RequestState::Finished;
        let ClientRequest { client, balancer, .. } = self.requests[request];
        self.balancers[balancer].requests.retain(|r| *r != request);
        self.schedule_reconnect(client, reason);
    }

    /// Closes an established connection and has its client reconnect to be placed elsewhere.
    pub(crate) fn move_client(&mut self, request: usize) {
        if self.requests[request].state != RequestState::Established {
            return;
        }
        let now = self.now();
        self.metrics.count_move(now);
        let client = self.requests[request].client;
        self.end_attempt(request, Outcome::Cancelled, true);
        self.schedule_reconnect(client, ReconnectReason::Moved);
    }
}
