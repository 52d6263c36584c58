//! A config server under load.

use super::super::Millis;
use rand::Rng;

/// A connection is new for so many ms.
const NEW_CONNECTION_MS: Millis = 400.0;

/// What a config server is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerConfig {
    /// Its zone.
    pub zone: usize,
    /// Its size as registered, in standard cores.
    pub weight: f64,
    /// What it truly does when warm, in standard cores.
    pub cores: f64,
    /// Connections that it holds at max_connections.
    pub max_connections: usize,
    /// A new connection that would wait longer than this, in ms, is turned away.
    pub max_setup_wait_ms: Millis,
    /// With more than this backlog_ms up, in ms of all it can do, it drops its newest connection.
    pub max_backlog_ms: Millis,
    /// Part of its capacity that it has when it starts ...
    pub initial_capacity_ratio: f64,
    /// ... and the time in ms until it has all of it.
    pub warm_up_ms: Millis,
    /// What it pays for each group that it holds any connection of, in standard cores.
    pub group_load: f64,
}

/// Where a config server is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone, or not back yet.
    Down,
}

/// How it answers a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// It stands, after so many ms.
    Up(Millis),
    /// Turned away unseen: draining, or the wait would be too long.
    Busy,
    /// Failed.
    Err,
    /// It has no place for another connection, or is down.
    Refused,
}

/// What it says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Load asked over what it can do.
    pub load: f64,
    /// Connections held.
    pub connections: f64,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    id: u64,
    class: usize,
    load: f64,
    group: u64,
    since: Millis,
}

/// A config server. Say [`Server::advance`] before anything else at a new time; the other calls do so
/// themselves.
#[derive(Clone, Debug)]
pub struct Server {
    /// What it is made of.
    pub config: ServerConfig,
    /// Where it is in its life.
    pub phase: Phase,
    /// It failure_ratio this part of new connections at once.
    pub failure_ratio: f64,
    /// It does this part of what it should.
    pub speed_ratio: f64,
    /// It drops each new connection soon after it has taken it.
    pub drops_new: bool,
    started_at: Millis,
    at: Millis,
    connections: Vec<Connection>,
    load: f64,
    backlog_ms: f64,
    /// Seconds of connections whose messages were answered in time, by class.
    on_time_seconds: Vec<f64>,
    /// For each class, how much longer than an idle server's answer a message may take: aim over usual.
    goal_to_usual_ratio: Vec<f64>,
    message_goals_ms: Vec<Millis>,
    report: LoadReport,
    next_report: LoadReport,
}

impl Server {
    /// A server that started long ago, or at `started_at`. `classes` tells what messages may take.
    #[must_use]
    pub fn new(config: ServerConfig, classes: &[super::Class], started_at: Millis, now: Millis) -> Self {
        Self {
            config,
            phase: Phase::Up,
            failure_ratio: 0.0,
            speed_ratio: 1.0,
            drops_new: false,
            started_at,
            at: now,
            connections: Vec::new(),
            load: 0.0,
            backlog_ms: 0.0,
            on_time_seconds: vec![0.0; classes.len()],
            goal_to_usual_ratio: classes.iter().map(|c| c.goal_to_usual_ratio).collect(),
            message_goals_ms: classes.iter().map(|c| c.message_goal_ms).collect(),
            report: LoadReport::default(),
            next_report: LoadReport::default(),
        }
    }

    /// Part of its capacity that it has, for its age.
    #[must_use]
    pub fn warm_up_ratio(&self, now: Millis) -> f64 {
        let age = ((now - self.started_at) / self.config.warm_up_ms).clamp(0.0, 1.0);
        self.config.initial_capacity_ratio + (1.0 - self.config.initial_capacity_ratio) * age
    }

    /// What it can do now, in standard cores.
    #[must_use]
    pub fn capacity(&self, now: Millis) -> f64 {
        self.config.cores * self.speed_ratio * self.warm_up_ratio(now)
    }

    /// When it last started.
    #[must_use]
    pub fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Load asked over what it can do, as it truly is.
    #[must_use]
    pub fn utilization(&self, now: Millis) -> f64 {
        self.load / self.capacity(now)
    }

    /// How long a message takes now, in ms, where it is to be answered within `goal_ms` and usually takes `goal_to_usual_ratio`
    /// times less: longer the less there is free, and what is backlog_ms up goes first.
    #[must_use]
    pub fn message_delay_ms(&self, now: Millis, goal_ms: Millis, goal_to_usual_ratio: f64) -> Millis {
        let free = (1.0 - self.utilization(now)).max(0.05);
        goal_ms / goal_to_usual_ratio / free + self.backlog_ms / self.capacity(now)
    }

    /// Connections held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// The connection_ids of the connections held, oldest first.
    pub fn connection_ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.connections.iter().map(|connection| connection.id)
    }

    /// True if it holds nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Millis) {
        let passed = now - self.at;
        if passed <= 0.0 {
            return;
        }
        self.at = now;
        if self.phase == Phase::Down {
            return;
        }
        let capacity = self.capacity(now);
        // A fuller table takes more of what it can do.
        let room = (capacity - self.load).max(0.0);
        for connection in &self.connections {
            let late = self.backlog_ms / capacity > self.message_goals_ms[connection.class];
            let utilization = self.load / capacity;
            let in_time = 1.0 - (-self.goal_to_usual_ratio[connection.class] * (1.0 - utilization)).exp();
            let share = if late || utilization >= 1.0 { 0.0 } else { in_time };
            self.on_time_seconds[connection.class] += share * passed / 1_000.0;
        }
        self.backlog_ms += (self.load - capacity) * passed;
        if self.backlog_ms <= 0.0 || (room > 0.0 && self.backlog_ms < 1e-9) {
            self.backlog_ms = 0.0;
        }
    }

    /// Work that took its time: a new connection's, or a probe's.
    pub fn add_work(&mut self, now: Millis, work_ms: f64) {
        self.advance(now);
        if self.phase != Phase::Down {
            self.backlog_ms += work_ms;
        }
    }

    /// How it answers a new connection that takes so much work to set up.
    pub fn open(&mut self, now: Millis, work_ms: f64, rng: &mut impl Rng) -> Answer {
        self.advance(now);
        if self.phase == Phase::Down || self.connections.len() >= self.config.max_connections {
            return Answer::Refused;
        }
        let wait = self.backlog_ms / self.capacity(now);
        if self.phase == Phase::Draining || wait > self.config.max_setup_wait_ms {
            return Answer::Busy;
        }
        if self.failure_ratio > 0.0 && rng.random::<f64>() < self.failure_ratio {
            return Answer::Err;
        }
        self.backlog_ms += work_ms;
        Answer::Up(wait + work_ms / self.speed_ratio / self.warm_up_ratio(now))
    }

    /// A connection stands from now on, of this group; 0 for none.
    pub fn add_connection(&mut self, now: Millis, id: u64, class: usize, load: f64, group: u64) {
        self.advance(now);
        self.load += load + self.group_cost(group);
        self.connections.push(Connection { id, class, load, group, since: now });
    }

    /// What a group costs beyond its connections, as long as it holds none of them.
    fn group_cost(&self, group: u64) -> f64 {
        let held = group == 0 || self.connections.iter().any(|connection| connection.group == group);
        if held { 0.0 } else { self.config.group_load }
    }

    /// A connection's load has changed.
    pub fn set_connection_load(&mut self, now: Millis, id: u64, load: f64) {
        self.advance(now);
        if let Some(connection) = self.connections.iter_mut().find(|connection| connection.id == id) {
            self.load += load - connection.load;
            connection.load = load;
        }
    }

    /// A connection has ended. True if it was held.
    pub fn remove_connection(&mut self, now: Millis, id: u64) -> bool {
        self.advance(now);
        let Some(at) = self.connections.iter().position(|connection| connection.id == id) else {
            return false;
        };
        let Connection { load, group, .. } = self.connections.remove(at);
        self.load -= load + self.group_cost(group);
        if self.connections.is_empty() {
            self.load = 0.0;
        }
        true
    }

    /// The connection that it drops now, if too much is backlog_ms up: the newest.
    pub fn shed_newest(&mut self, now: Millis) -> Option<u64> {
        self.advance(now);
        let over = self.backlog_ms / self.capacity(now) > self.config.max_backlog_ms
            && self.load > self.capacity(now);
        let newest = self.connections.last()?;
        let new = self.drops_new && now - newest.since < NEW_CONNECTION_MS;
        let newest = Some(newest.id).filter(|_| over || new)?;
        self.remove_connection(now, newest);
        Some(newest)
    }

    /// It stops: what it held is cut off.
    pub fn stop(&mut self, now: Millis) -> Vec<u64> {
        self.advance(now);
        self.phase = Phase::Down;
        self.load = 0.0;
        self.backlog_ms = 0.0;
        self.connections.drain(..).map(|connection| connection.id).collect()
    }

    /// It starts again, cold.
    pub fn start(&mut self, now: Millis) {
        self.advance(now);
        self.phase = Phase::Up;
        self.started_at = now;
        (self.report, self.next_report) = (LoadReport::default(), LoadReport::default());
    }

    /// Makes its report anew, off by up to `noise` of it. What was made before is told from now on:
    /// reports are a while under way.
    pub fn refresh_report(&mut self, now: Millis, noise: f64, rng: &mut impl Rng) {
        self.advance(now);
        self.report = self.next_report;
        let load = self.utilization(now) * (1.0 + noise * (2.0 * rng.random::<f64>() - 1.0));
        self.next_report = LoadReport { load, connections: self.connections.len() as f64 };
    }

    /// What it says of itself to who asks now.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        self.report
    }

    /// Seconds of connections answered in time so far, by class.
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
    fn one_that_has_more_than_it_can_do_earns_nothing_and_drops_its_newest() {
        let mut server = server();
        server.add_connection(0.0, 1, 0, 3.0, 0);
        let before = server.on_time_seconds(1_000.0)[0];
        assert!(before > 0.8, "{before}");
        server.add_connection(1_000.0, 2, 0, 3.0, 0);
        // Two cores short, in which a second of all four piles up in two seconds.
        assert_eq!(server.shed_newest(2_900.0), None);
        let later = server.on_time_seconds(2_900.0)[0];
        assert_eq!(server.shed_newest(3_100.0), Some(2));
        assert!((server.on_time_seconds(3_100.0)[0] - later).abs() < 1e-9);
        assert_eq!(server.len(), 1);
    }

    #[test]
    fn a_group_is_paid_for_once_as_long_as_any_of_it_is_held() {
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
    fn one_that_drops_new_connections_keeps_the_old() {
        let mut server = server();
        server.add_connection(0.0, 1, 0, 0.1, 0);
        server.drops_new = true;
        server.add_connection(5_000.0, 2, 0, 0.1, 0);
        assert_eq!(server.shed_newest(5_100.0), Some(2));
        assert_eq!(server.shed_newest(5_100.0), None);
    }

    #[test]
    fn a_cold_one_can_do_little_and_warms_up() {
        let mut server = server();
        server.stop(0.0);
        server.start(0.0);
        assert!((server.capacity(0.0) - 1.6).abs() < 1e-9);
        assert!((server.capacity(5_000.0) - 2.8).abs() < 1e-9);
        assert!((server.capacity(20_000.0) - 4.0).abs() < 1e-9);
    }

    #[test]
    fn a_report_tells_of_the_time_before() {
        let (mut server, mut rng) = (server(), SmallRng::seed_from_u64(1));
        server.add_connection(0.0, 1, 0, 2.0, 0);
        server.refresh_report(0.0, 0.0, &mut rng);
        assert_eq!(server.report().connections, 0.0);
        server.refresh_report(700.0, 0.0, &mut rng);
        assert_eq!(server.report(), LoadReport { load: 0.5, connections: 1.0 });
    }

    #[test]
    fn one_that_is_full_down_or_draining_takes_nothing() {
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
