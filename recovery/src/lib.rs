//! Startup of a process whose stored server list may be outdated.
//!
//! A list that was stored on disk gives the servers of that time. A server that has gone since costs each request
//! that is sent to it an attempt, and one that was replaced under the same address needs a slow start. The servers of
//! a list beyond the trusted age are therefore *unverified*: each is probed first, a few at a time and in a random
//! order, so that the balancers of a fleet that starts together do not all probe the same server. A server that
//! answers is admitted; one that does not is probed again with increasing delays. Servers that were draining or gone
//! stay excluded until discovery lists them otherwise. A response of discovery, either a whole list or the changes to
//! the stored one, ends the verification.
//!
//! The library does no I/O and reads no clock: time is an argument. Call [`Recovery::new`], then [`Recovery::start`]
//! once, then [`Recovery::handle`] with each event, and with [`Event::Timeout`] at [`Recovery::next_timeout`].
//!
//! ```
//! use marllink_recovery::{Command, Event, Limits, Recovery};
//!
//! let mut recovery = Recovery::new(Limits::default(), 7, 0.0);
//! let mut commands = Vec::new();
//! // A list from three days ago, with one serving server.
//! recovery.start(0.0, Some(259_200_000.0), vec!["s-1"], &mut commands);
//! assert!(commands.contains(&Command::Probe("s-1")));
//! commands.clear();
//! recovery.handle(2.0, Event::ProbeCompleted { server: "s-1", reachable: true }, &mut commands);
//! assert!(commands.contains(&Command::Admit("s-1")));
//! ```

use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};

/// Milliseconds, as a point on the caller's monotonic clock or as a duration.
pub type Millis = f64;

/// Limits on the age of a list and on probes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Age in ms up to which a list is trusted: discovery itself would not have reported a change sooner.
    pub trusted_age_ms: Millis,
    /// Maximum number of concurrent probes.
    pub max_in_flight: usize,
    /// Maximum time to wait for the answer to a probe, in ms.
    pub probe_timeout_ms: Millis,
    /// Mean delay in ms before another probe of a server that did not answer; doubles with each failure, up to
    /// sixteenfold.
    pub retry_delay_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self { trusted_age_ms: 10_000.0, max_in_flight: 4, probe_timeout_ms: 500.0, retry_delay_ms: 1_000.0 }
    }
}

/// Phases of the startup, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// There is no list yet.
    NoList,
    /// There is a list that may be outdated. Ends when discovery responds or all servers have been admitted.
    Verifying,
    /// There is a list that is current. Ends when a connection is established.
    ListTrusted,
    /// The process serves clients.
    Serving,
}

impl Phase {
    /// Returns the name of the phase in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoList => "blind",
            Self::Verifying => "doubting",
            Self::ListTrusted => "listed",
            Self::Serving => "serving",
        }
    }
}

/// Input of [`Recovery::handle`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<S> {
    /// A probe was answered or failed.
    ProbeCompleted {
        /// The probed server.
        server: S,
        /// Whether it answered.
        reachable: bool,
    },
    /// Discovery has sent its list, or changes to the list at hand.
    ListReceived,
    /// A connection was established.
    ConnectionEstablished,
    /// The time of [`Recovery::next_timeout`] was reached.
    Timeout,
}

/// Output of [`Recovery`], to be carried out in order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command<S> {
    /// Permit connections to this server, as it is listed.
    Admit(S),
    /// Probe whether this server is reachable.
    Probe(S),
    /// A new phase has begun.
    PhaseChanged(Phase),
}

/// Verification state of one server.
#[derive(Clone, Debug)]
enum ProbeState {
    Waiting { probe_at: Millis },
    Probing { deadline: Millis },
    Admitted,
}

/// State of the startup of one process.
#[derive(Clone, Debug)]
pub struct Recovery<S> {
    limits: Limits,
    rng: Xoshiro256PlusPlus,
    phase: Phase,
    phase_started_at: Millis,
    phase_durations: Vec<(Phase, Millis)>,
    /// The unverified servers, each with its state and the number of failed probes.
    servers: Vec<(S, ProbeState, u32)>,
}

impl<S: Copy + PartialEq> Recovery<S> {
    /// Creates the state of a process without a list. `seed` should differ between balancers and between starts.
    #[must_use]
    pub fn new(limits: Limits, seed: u64, now: Millis) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self {
            limits,
            rng,
            phase: Phase::NoList,
            phase_started_at: now,
            phase_durations: Vec::new(),
            servers: Vec::new(),
        }
    }

    /// Starts with the servers that were serving in a list of this age, in ms. `None` for an unknown age counts as
    /// new: the platform hands over such a list at the start.
    pub fn start(
        &mut self,
        now: Millis,
        age_ms: Option<Millis>,
        servers: Vec<S>,
        commands: &mut Vec<Command<S>>,
    ) {
        if servers.is_empty() {
            return;
        }
        // If the clock was set back, the list may appear to be from the future: its real age is unknown.
        let trusted = age_ms.is_none_or(|age| (0.0..=self.limits.trusted_age_ms).contains(&age));
        if trusted {
            commands.extend(servers.into_iter().map(|server| Command::Admit(server)));
            self.enter(now, Phase::ListTrusted, commands);
            return;
        }
        self.servers =
            servers.into_iter().map(|server| (server, ProbeState::Waiting { probe_at: now }, 0)).collect();
        for at in (1..self.servers.len()).rev() {
            let other = (self.rng.next_u64() % (at as u64 + 1)) as usize;
            self.servers.swap(at, other);
        }
        self.enter(now, Phase::Verifying, commands);
        self.probe_waiting(now, commands);
    }

    /// Handles an event that happened at `now` and appends the resulting commands.
    pub fn handle(&mut self, now: Millis, event: Event<S>, commands: &mut Vec<Command<S>>) {
        match event {
            Event::ListReceived => {
                // Entries that discovery has not changed are valid as they were stored.
                let unverified = self.servers.drain(..).filter(|s| !matches!(s.1, ProbeState::Admitted));
                commands.extend(unverified.map(|s| Command::Admit(s.0)));
                self.enter(now, Phase::ListTrusted, commands);
            }
            Event::ConnectionEstablished if self.phase == Phase::ListTrusted => {
                self.enter(now, Phase::Serving, commands)
            }
            Event::ProbeCompleted { server, reachable } => {
                let Some((_, state, _)) = self.servers.iter_mut().find(|s| s.0 == server) else { return };
                if !matches!(state, ProbeState::Probing { .. }) {
                    return;
                }
                if reachable {
                    *state = ProbeState::Admitted;
                    commands.push(Command::Admit(server));
                } else {
                    self.record_failure(now, server);
                }
                if self.servers.iter().all(|s| matches!(s.1, ProbeState::Admitted)) {
                    self.enter(now, Phase::ListTrusted, commands);
                }
            }
            Event::Timeout | Event::ConnectionEstablished => {}
        }
        let timed_out =
            |s: &&(S, ProbeState, u32)| matches!(s.1, ProbeState::Probing { deadline } if deadline <= now);
        let timed_out: Vec<_> = self.servers.iter().filter(timed_out).map(|s| s.0).collect();
        timed_out.into_iter().for_each(|server| self.record_failure(now, server));
        self.probe_waiting(now, commands);
    }

    fn record_failure(&mut self, now: Millis, server: S) {
        let jitter = 0.5 + (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        if let Some((_, state, failures)) = self.servers.iter_mut().find(|s| s.0 == server) {
            let delay_ms = self.limits.retry_delay_ms * f64::from(1u32 << (*failures).min(4));
            *failures += 1;
            *state = ProbeState::Waiting { probe_at: now + delay_ms * jitter };
        }
    }

    fn probe_waiting(&mut self, now: Millis, commands: &mut Vec<Command<S>>) {
        let mut in_flight = self.servers.iter().filter(|s| matches!(s.1, ProbeState::Probing { .. })).count();
        for (server, state, _) in &mut self.servers {
            if in_flight < self.limits.max_in_flight
                && matches!(state, ProbeState::Waiting { probe_at } if *probe_at <= now)
            {
                *state = ProbeState::Probing { deadline: now + self.limits.probe_timeout_ms };
                commands.push(Command::Probe(*server));
                in_flight += 1;
            }
        }
    }

    fn enter(&mut self, now: Millis, phase: Phase, commands: &mut Vec<Command<S>>) {
        // The phase never goes back: later failures are handled by the balancing decisions.
        if phase > self.phase {
            self.phase_durations.push((self.phase, now - self.phase_started_at));
            (self.phase, self.phase_started_at) = (phase, now);
            commands.push(Command::PhaseChanged(phase));
        }
    }

    /// Returns when [`Event::Timeout`] is due; `None` if nothing is pending.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Millis> {
        let at_limit = self.servers.iter().filter(|s| matches!(s.1, ProbeState::Probing { .. })).count()
            >= self.limits.max_in_flight;
        let times = self.servers.iter().filter_map(|(_, state, _)| match state {
            ProbeState::Probing { deadline } => Some(*deadline),
            ProbeState::Waiting { probe_at } if !at_limit => Some(*probe_at),
            ProbeState::Waiting { .. } | ProbeState::Admitted => None,
        });
        times.min_by(f64::total_cmp)
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the completed phases with their durations in ms.
    #[must_use]
    pub fn phase_durations(&self) -> &[(Phase, Millis)] {
        &self.phase_durations
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const THREE_DAYS_MS: Millis = 3.0 * 86_400_000.0;

    fn started(age_ms: Option<Millis>, servers: u32, seed: u64) -> (Recovery<u32>, Vec<Command<u32>>) {
        let (mut recovery, mut commands) = (Recovery::new(Limits::default(), seed, 0.0), Vec::new());
        recovery.start(0.0, age_ms, (0..servers).collect(), &mut commands);
        (recovery, commands)
    }

    fn probed(commands: &[Command<u32>]) -> Vec<u32> {
        commands
            .iter()
            .filter_map(|c| if let Command::Probe(server) = c { Some(*server) } else { None })
            .collect()
    }

    #[test]
    fn a_recent_list_is_trusted_and_servers_of_an_old_one_are_probed_first() {
        for age_ms in [None, Some(0.0), Some(10_000.0)] {
            let (recovery, commands) = started(age_ms, 5, 1);
            assert_eq!(commands.iter().filter(|c| matches!(c, Command::Admit(_))).count(), 5);
            assert_eq!(recovery.phase(), Phase::ListTrusted);
        }
        // A negative age, as after the clock was set back, is not trusted.
        for age_ms in [Some(10_001.0), Some(THREE_DAYS_MS), Some(-1.0), Some(f64::NAN)] {
            let (recovery, commands) = started(age_ms, 5, 1);
            assert!(!commands.iter().any(|c| matches!(c, Command::Admit(_))), "{age_ms:?}");
            assert_eq!((probed(&commands).len(), recovery.phase()), (4, Phase::Verifying));
        }
        let (recovery, commands) = started(Some(THREE_DAYS_MS), 0, 1);
        assert!(commands.is_empty() && recovery.phase() == Phase::NoList);
    }

    #[test]
    fn a_server_that_answers_is_admitted_and_others_are_probed_again_with_increasing_delays() {
        let (mut recovery, commands) = started(Some(THREE_DAYS_MS), 1, 3);
        assert_eq!(probed(&commands), [0]);
        let mut delays = Vec::new();
        let mut now = 0.0;
        for _ in 0..7 {
            let (previous, mut commands) = (now, Vec::new());
            while probed(&commands).is_empty() {
                now = recovery.next_timeout().expect("another probe is due");
                recovery.handle(now, Event::Timeout, &mut commands);
            }
            delays.push(now - previous - 500.0);
        }
        assert!(
            delays
                .iter()
                .zip([1e3, 2e3, 4e3, 8e3, 16e3, 16e3, 16e3])
                .all(|(delay, mean)| { (0.5 * mean..=1.5 * mean).contains(delay) }),
            "{delays:?}"
        );
        let mut commands = Vec::new();
        recovery.handle(now, Event::ProbeCompleted { server: 0, reachable: true }, &mut commands);
        assert_eq!(commands, [Command::Admit(0), Command::PhaseChanged(Phase::ListTrusted)]);
        recovery.handle(now, Event::ConnectionEstablished, &mut commands);
        assert_eq!((recovery.phase(), recovery.next_timeout()), (Phase::Serving, None));
        assert!((recovery.phase_durations().iter().map(|s| s.1).sum::<f64>() - now).abs() < 1e-9);
    }

    #[test]
    fn an_answer_after_the_timeout_does_not_admit_the_server() {
        let (mut recovery, _) = started(Some(THREE_DAYS_MS), 1, 3);
        let mut commands = Vec::new();
        recovery.handle(500.0, Event::Timeout, &mut commands);
        recovery.handle(501.0, Event::ProbeCompleted { server: 0, reachable: true }, &mut commands);
        recovery.handle(501.0, Event::ProbeCompleted { server: 9, reachable: true }, &mut commands);
        assert!(commands.is_empty(), "{commands:?}");
    }

    #[test]
    fn the_list_of_discovery_admits_all_unverified_servers() {
        let (mut recovery, _) = started(Some(THREE_DAYS_MS), 40, 3);
        let mut commands = Vec::new();
        recovery.handle(80.0, Event::ListReceived, &mut commands);
        recovery.handle(90.0, Event::ProbeCompleted { server: 3, reachable: true }, &mut commands);
        assert_eq!(commands.iter().filter(|c| matches!(c, Command::Admit(_))).count(), 40);
        assert_eq!((commands.len(), commands.last()), (41, Some(&Command::PhaseChanged(Phase::ListTrusted))));
        assert_eq!(recovery.next_timeout(), None);
    }

    /// Returns the most probes that any server receives within 100 ms when all balancers start together with this list.
    fn peak_probes(balancers: u64, servers: u32) -> usize {
        let mut probes = std::collections::BTreeMap::<(u32, u64), usize>::new();
        for seed in 0..balancers {
            let (mut recovery, mut commands) = started(Some(THREE_DAYS_MS), servers, seed);
            let mut now = 0.0;
            while recovery.phase() == Phase::Verifying {
                let servers_probed = probed(&commands);
                commands.clear();
                servers_probed
                    .iter()
                    .for_each(|server| *probes.entry((*server, (now / 100.0) as u64)).or_default() += 1);
                // Each server answers after 5 ms.
                now += 5.0;
                for server in servers_probed {
                    recovery.handle(now, Event::ProbeCompleted { server, reachable: true }, &mut commands);
                }
            }
        }
        probes.into_values().max().unwrap_or_default()
    }

    #[test]
    fn a_fleet_that_starts_together_spreads_its_probes_over_all_servers() {
        for balancers in [12, 100, 300, 1_000] {
            let peak = peak_probes(balancers, 300);
            // Four probes take 5 ms, so each balancer probes 80 of 300 servers within 100 ms.
            let mean = balancers as f64 * 80.0 / 300.0;
            assert!((peak as f64) < mean + 5.0 * mean.sqrt() + 3.0, "{balancers}: {peak}, mean {mean:.0}");
        }
    }
}
