//! The load on a server and what the server does under overload.

use super::super::Millis;
use rand::Rng;

/// Age up to which [`Server::drops_new`] drops a connection.
const NEW_CONNECTION_MS: Millis = 400.0;

/// Properties of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerConfig {
    /// Zone of the server.
    pub zone: usize,
    /// Capacity as listed by discovery, in standard cores.
    pub weight: f64,
    /// Actual capacity after slow start, in standard cores.
    pub cores: f64,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum time that a new connection may have to wait, in ms, before it is rejected.
    pub max_setup_wait_ms: Millis,
    /// Backlog beyond which an overloaded server drops its newest connection, in ms at its current capacity.
    pub max_backlog_ms: Millis,
    /// Share of its capacity that a server has when it starts.
    pub initial_capacity_ratio: f64,
    /// Duration of slow start, in ms: the time until the server has its full capacity.
    pub warm_up_ms: Millis,
    /// Load of each group with at least one connection, in standard cores, on top of the load of its connections.
    pub group_load: f64,
}

/// State of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serves connections and accepts new ones.
    Up,
    /// Serves its connections and accepts no new ones.
    Draining,
    /// Does not run.
    Down,
}

/// Answer to a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Established after this many ms.
    Up(Millis),
    /// Rejected before any work was done, because the server drains or the wait would be too long.
    Busy,
    /// Failed.
    Err,
    /// Refused: the server has the maximum number of connections, or is down.
    Refused,
}

/// Load report of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Utilization: load over current capacity.
    pub load: f64,
    /// Number of connections.
    pub connections: f64,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    id: u64,
    class: usize,
    load: f64,
    group: u64,
    established_at: Millis,
}

/// A server. At a new time call [`Server::advance`] before the methods that take `&self`; the others call it
/// themselves.
#[derive(Clone, Debug)]
pub struct Server {
    /// Properties of the server.
    pub config: ServerConfig,
    /// State of the server.
    pub phase: Phase,
    /// Share of new connections that fail immediately.
    pub failure_ratio: f64,
    /// Factor on the capacity of the server; below 1 for a degraded server.
    pub speed_ratio: f64,
    /// Whether the server drops each new connection soon after it was established.
    pub drops_new: bool,
    started_at: Millis,
    advanced_to: Millis,
    connections: Vec<Connection>,
    load: f64,
    /// Accumulated work, in ms of one standard core.
    backlog_ms: f64,
    /// Connection-seconds in which messages were answered in time, by class.
    on_time_seconds: Vec<f64>,
    /// Ratio of the goal for message delays to the delay at an idle server, by class.
    goal_to_usual_ratio: Vec<f64>,
    /// Goal for message delays, by class.
    message_goals_ms: Vec<Millis>,
    report: LoadReport,
    /// Report that the next refresh publishes.
    next_report: LoadReport,
}

impl Server {
    /// Returns a server that started at `started_at`. `classes` gives the goals for message delays.
    #[must_use]
    pub fn new(config: ServerConfig, classes: &[super::Class], started_at: Millis, now: Millis) -> Self {
        Self {
            config,
            phase: Phase::Up,
            failure_ratio: 0.0,
            speed_ratio: 1.0,
            drops_new: false,
            started_at,
            advanced_to: now,
            connections: Vec::new(),
            load: 0.0,
            backlog_ms: 0.0,
            on_time_seconds: vec![0.0; classes.len()],
            goal_to_usual_ratio: classes.iter().map(|class| class.goal_to_usual_ratio).collect(),
            message_goals_ms: classes.iter().map(|class| class.message_goal_ms).collect(),
            report: LoadReport::default(),
            next_report: LoadReport::default(),
        }
    }

    /// Returns the share of its capacity that the server has at its age.
    #[must_use]
    pub fn warm_up_ratio(&self, now: Millis) -> f64 {
        let age = ((now - self.started_at) / self.config.warm_up_ms).clamp(0.0, 1.0);
        self.config.initial_capacity_ratio + (1.0 - self.config.initial_capacity_ratio) * age
    }

    /// Returns the current capacity, in standard cores.
    #[must_use]
    pub fn capacity(&self, now: Millis) -> f64 {
        self.config.cores * self.speed_ratio * self.warm_up_ratio(now)
    }

    /// Returns the time of the last start.
    #[must_use]
    pub fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Returns the utilization: load over current capacity, without the noise and delay of load reports.
    #[must_use]
    pub fn utilization(&self, now: Millis) -> f64 {
        self.load / self.capacity(now)
    }

    /// Returns the current delay of the answer to a message with this goal, in ms. It grows as the free capacity
    /// shrinks, and the backlog is processed first.
    #[must_use]
    pub fn message_delay_ms(&self, now: Millis, goal_ms: Millis, goal_to_usual_ratio: f64) -> Millis {
        let free = (1.0 - self.utilization(now)).max(0.05);
        goal_ms / goal_to_usual_ratio / free + self.backlog_ms / self.capacity(now)
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the ids of the connections, oldest first.
    pub fn connection_ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.connections.iter().map(|connection| connection.id)
    }

    /// Returns true if there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Advances the model to `now`.
    pub fn advance(&mut self, now: Millis) {
        let elapsed = now - self.advanced_to;
        if elapsed <= 0.0 {
            return;
        }
        self.advanced_to = now;
        if self.phase == Phase::Down {
            return;
        }
        let capacity = self.capacity(now);
        let free = (capacity - self.load).max(0.0);
        for connection in &self.connections {
            let is_late = self.backlog_ms / capacity > self.message_goals_ms[connection.class];
            let utilization = self.load / capacity;
            // The share of messages answered in time falls as the utilization approaches 1.
            let on_time = 1.0 - (-self.goal_to_usual_ratio[connection.class] * (1.0 - utilization)).exp();
            let on_time_share = if is_late || utilization >= 1.0 { 0.0 } else { on_time };
            self.on_time_seconds[connection.class] += on_time_share * elapsed / 1_000.0;
        }
        self.backlog_ms += (self.load - capacity) * elapsed;
        if self.backlog_ms <= 0.0 || (free > 0.0 && self.backlog_ms < 1e-9) {
            self.backlog_ms = 0.0;
        }
    }

    /// Adds work to the backlog, such as the setup of a connection or a probe.
    pub fn add_work(&mut self, now: Millis, work_ms: f64) {
        self.advance(now);
        if self.phase != Phase::Down {
            self.backlog_ms += work_ms;
        }
    }

    /// Handles a new connection that takes `work_ms` to set up.
    pub fn open(&mut self, now: Millis, work_ms: f64, rng: &mut impl Rng) -> Answer {
        self.advance(now);
        if self.phase == Phase::Down || self.connections.len() >= self.config.max_connections {
            return Answer::Refused;
        }
        let wait_ms = self.backlog_ms / self.capacity(now);
        if self.phase == Phase::Draining || wait_ms > self.config.max_setup_wait_ms {
            return Answer::Busy;
        }
        if self.failure_ratio > 0.0 && rng.random::<f64>() < self.failure_ratio {
            return Answer::Err;
        }
        self.backlog_ms += work_ms;
        Answer::Up(wait_ms + work_ms / self.speed_ratio / self.warm_up_ratio(now))
    }

    /// Adds an established connection, of this group; 0 for none.
    pub fn add_connection(&mut self, now: Millis, id: u64, class: usize, load: f64, group: u64) {
        self.advance(now);
        self.load += load + self.group_load(group);
        self.connections.push(Connection { id, class, load, group, established_at: now });
    }

    /// Returns the load that the first connection of a group adds, or 0 if the group has a connection already.
    fn group_load(&self, group: u64) -> f64 {
        let already_paid = group == 0 || self.connections.iter().any(|connection| connection.group == group);
        if already_paid { 0.0 } else { self.config.group_load }
    }

    /// Changes the load of a connection.
    pub fn set_connection_load(&mut self, now: Millis, id: u64, load: f64) {
        self.advance(now);
        if let Some(connection) = self.connections.iter_mut().find(|connection| connection.id == id) {
            self.load += load - connection.load;
            connection.load = load;
        }
    }

    /// Removes a connection. Returns true if there was one with this id.
    pub fn remove_connection(&mut self, now: Millis, id: u64) -> bool {
        self.advance(now);
        let Some(index) = self.connections.iter().position(|connection| connection.id == id) else {
            return false;
        };
        let Connection { load, group, .. } = self.connections.remove(index);
        self.load -= load + self.group_load(group);
        if self.connections.is_empty() {
            self.load = 0.0;
        }
        true
    }

    /// Drops the newest connection if the backlog is too large or if the server drops new connections. Returns its id.
    pub fn shed_newest(&mut self, now: Millis) -> Option<u64> {
        self.advance(now);
        let overloaded = self.backlog_ms / self.capacity(now) > self.config.max_backlog_ms
            && self.load > self.capacity(now);
        let newest = self.connections.last()?;
        let drop_new = self.drops_new && now - newest.established_at < NEW_CONNECTION_MS;
        let newest = Some(newest.id).filter(|_| overloaded || drop_new)?;
        self.remove_connection(now, newest);
        Some(newest)
    }

    /// Stops the server. Returns the ids of its connections, which are lost.
    pub fn stop(&mut self, now: Millis) -> Vec<u64> {
        self.advance(now);
        self.phase = Phase::Down;
        self.load = 0.0;
        self.backlog_ms = 0.0;
        self.connections.drain(..).map(|connection| connection.id).collect()
    }

    /// Starts the server again, in slow start.
    pub fn start(&mut self, now: Millis) {
        self.advance(now);
        self.phase = Phase::Up;
        self.started_at = now;
        (self.report, self.next_report) = (LoadReport::default(), LoadReport::default());
    }

    /// Publishes the report of the previous refresh and prepares the next one, off by up to the share `noise`. The
    /// delay of one refresh stands for the time that reports are in transit.
    pub fn refresh_report(&mut self, now: Millis, noise: f64, rng: &mut impl Rng) {
        self.advance(now);
        self.report = self.next_report;
        let load = self.utilization(now) * (1.0 + noise * (2.0 * rng.random::<f64>() - 1.0));
        self.next_report = LoadReport { load, connections: self.connections.len() as f64 };
    }

    /// Returns the latest published report.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        self.report
    }

    /// Returns the connection-seconds so far in which messages were answered in time, by class.
    pub fn on_time_seconds(&mut self, now: Millis) -> &[f64] {
        self.advance(now);
        &self.on_time_seconds
    }
}

#[cfg(test)]
mod tests {
    use super::super::Class;
    use super::*;
    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    fn server() -> Server {
        let config = ServerConfig {
            zone: 0,
            weight: 4.0,
            cores: 4.0,
            max_connections: 100,
            max_setup_wait_ms: 500.0,
            max_backlog_ms: 1_000.0,
            initial_capacity_ratio: 0.4,
            warm_up_ms: 10_000.0,
            group_load: 0.5,
        };
        Server::new(
            config,
            &[Class { goal_to_usual_ratio: 10.0, message_goal_ms: 100.0, ..Class::default() }],
            -1e9,
            0.0,
        )
    }

    #[test]
    fn an_overloaded_server_answers_nothing_in_time_and_drops_its_newest_connection() {
        let mut server = server();
        server.add_connection(0.0, 1, 0, 3.0, 0);
        let before = server.on_time_seconds(1_000.0)[0];
        assert!(before > 0.8, "{before}");
        server.add_connection(1_000.0, 2, 0, 3.0, 0);
        // With 6 cores of load on 4, the backlog limit of 1 s is exceeded after 2 s.
        assert_eq!(server.shed_newest(2_900.0), None);
        let later = server.on_time_seconds(2_900.0)[0];
        assert_eq!(server.shed_newest(3_100.0), Some(2));
        assert!((server.on_time_seconds(3_100.0)[0] - later).abs() < 1e-9);
        assert_eq!(server.len(), 1);
    }

    #[test]
    fn a_group_adds_its_load_once_while_it_has_connections() {
        let mut server = server();
        server.add_connection(0.0, 1, 0, 0.4, 7);
        server.add_connection(0.0, 2, 0, 0.4, 7);
        server.add_connection(0.0, 3, 0, 0.4, 8);
        assert!((server.utilization(0.0) - (3.0 * 0.4 + 2.0 * 0.5) / 4.0).abs() < 1e-9);
        assert!(
            server.message_delay_ms(0.0, 100.0, 10.0) > 20.0
                && server.message_delay_ms(0.0, 100.0, 10.0) < 25.0
        );
        server.remove_connection(0.0, 1);
        server.remove_connection(0.0, 3);
        assert!((server.utilization(0.0) - (0.4 + 0.5) / 4.0).abs() < 1e-9);
        server.remove_connection(0.0, 2);
        assert!(server.utilization(0.0).abs() < 1e-9);
    }

    #[test]
    fn a_server_that_drops_new_connections_keeps_the_old() {
        let mut server = server();
        server.add_connection(0.0, 1, 0, 0.1, 0);
        server.drops_new = true;
        server.add_connection(5_000.0, 2, 0, 0.1, 0);
        assert_eq!(server.shed_newest(5_100.0), Some(2));
        assert_eq!(server.shed_newest(5_100.0), None);
    }

    #[test]
    fn capacity_grows_from_its_initial_share_during_slow_start() {
        let mut server = server();
        server.stop(0.0);
        server.start(0.0);
        assert!((server.capacity(0.0) - 1.6).abs() < 1e-9);
        assert!((server.capacity(5_000.0) - 2.8).abs() < 1e-9);
        assert!((server.capacity(20_000.0) - 4.0).abs() < 1e-9);
    }

    #[test]
    fn a_report_shows_the_state_at_the_previous_refresh() {
        let (mut server, mut rng) = (server(), SmallRng::seed_from_u64(1));
        server.add_connection(0.0, 1, 0, 2.0, 0);
        server.refresh_report(0.0, 0.0, &mut rng);
        assert_eq!(server.report().connections, 0.0);
        server.refresh_report(700.0, 0.0, &mut rng);
        assert_eq!(server.report(), LoadReport { load: 0.5, connections: 1.0 });
    }

    #[test]
    fn a_full_draining_or_stopped_server_accepts_nothing() {
        let (mut server, mut rng) = (server(), SmallRng::seed_from_u64(1));
        assert!(matches!(server.open(0.0, 10.0, &mut rng), Answer::Up(_)));
        server.config.max_connections = 0;
        assert_eq!(server.open(0.0, 10.0, &mut rng), Answer::Refused);
        server.config.max_connections = 9;
        server.phase = Phase::Draining;
        assert_eq!(server.open(0.0, 10.0, &mut rng), Answer::Busy);
        server.stop(0.0);
        assert_eq!(server.open(0.0, 10.0, &mut rng), Answer::Refused);
    }
}
