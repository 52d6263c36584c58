//! Scenarios drawn from a seed: a deployment, its load and a timeline of faults.

use super::{InjectedBug, Options};
use marllink_emulator::platform::rules::Rules;
use marllink_emulator::platform::{ClientClass, ServerBehavior};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

/// Maximum number of attempts for a request.
const MAX_ATTEMPTS: usize = 4;
/// Time for which requests may still be sent to a server after discovery listed it as draining, in milliseconds.
const DRAIN_GRACE_MS: f64 = 500.0;
/// Maximum delay that a `BUSY` line may ask clients to wait before a retry, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 1_000.0;
/// Earliest time of a fault, in milliseconds after the first client.
const FIRST_FAULT_MS: f64 = 400.0;
/// Latest time of a fault, in milliseconds after the first client. A process that restarts later wouldn't be running
/// again before the end.
const LAST_FAULT_MS: f64 = 4_500.0;
/// Maximum time for which a process is suspended, in milliseconds. The rules allow no longer pause.
const MAX_HOLD_MS: f64 = 150.0;
/// Number of system call faults in a run.
const CALL_FAULT_COUNT: usize = 6;

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum FaultKind {
    /// Signals, restarts and upgrades.
    Signals,
    /// Servers that reject or fail requests, are unresponsive or slow, or reset connections.
    Servers,
    /// Drains of servers, and outages of discovery.
    Discovery,
    /// System calls that fail.
    Calls,
}

/// A fault of a process, a server or discovery. Processes and servers are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// SIGTERM, SIGKILL at the earliest time that is allowed, and a start.
    Restart(usize),
    /// The same with a SIGHUP right after SIGTERM.
    RestartWithReload(usize),
    /// Restarts of all processes with an even number at the same time.
    RestartHalf,
    /// A number of SIGHUP in a row.
    Reloads(usize, u32),
    /// SIGSTOP for this time, in milliseconds.
    Hold(usize, f64),
    /// SIGKILL and a start.
    Kill(usize),
    /// An upgrade: a new process takes over from the running one.
    Upgrade(usize),
    /// An upgrade during which the old process is killed.
    KilledUpgrade(usize),
    /// A server changes its behavior.
    Behave(usize, ServerBehavior),
    /// A server is listed as draining for this time, in milliseconds.
    Drain(usize, f64),
    /// Discovery is down for this time, in milliseconds.
    DiscoveryDown(f64),
}

/// A scenario: a deployment, its clients and its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed that the scenario is drawn from, together with the options.
    pub seed: u64,
    /// Number of balancers.
    pub processes: usize,
    /// Number of servers.
    pub servers: usize,
    /// Time over which clients arrive, in milliseconds.
    pub lasts_ms: f64,
    /// True if discovery pushes lists; false if it is polled.
    pub pushed: bool,
    /// Classes of requests.
    pub classes: Vec<ClientClass>,
    /// For each class, true if its requests must not run twice.
    once: Vec<bool>,
    /// Total number of clients.
    pub clients: usize,
    /// Faults in order of time, with their time in milliseconds.
    pub timeline: Vec<(f64, Fault)>,
    /// System call faults, as rules of the shim.
    pub calls: Vec<String>,
    /// True if each process stores its server list on disk.
    pub stores: bool,
}

/// System call faults that a correct program tolerates.
const CALL_FAULTS: [&str; 22] = [
    "accept=ECONNABORTED%30",
    "accept=EMFILE%40",
    "accept=ENFILE%40",
    "accept=ENOBUFS%40",
    "connect=ENOBUFS%20",
    "connect=EADDRNOTAVAIL%20",
    "connect=ENETUNREACH%30",
    "connect=EHOSTUNREACH%40",
    "connect=EINTR%30",
    "socket=ENFILE%30",
    "socket=ENOMEM%30",
    "recv=EINTR%6",
    "recv=SHORT%4",
    "recv=ENOMEM%30",
    "send=EINTR%6",
    "send=SHORT%4",
    "send=ENOBUFS%20",
    "epoll_wait=EINTR%9",
    "epoll_ctl=ENOMEM%25",
    "setsockopt=ENOMEM%8",
    "shutdown=EINTR%9",
    "clock=STEP:3600000%2",
];
/// System call faults on the disk, for processes with a store.
const DISK_CALL_FAULTS: [&str; 4] =
    ["write=ENOSPC@state.log%3", "write=EIO@state.log%3", "write=SHORT@state.log%2", "fsync=EIO%3"];

impl Scenario {
    /// Draws the scenario of a seed.
    pub fn draw(seed: u64, options: &Options) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let processes = options.processes;
        let servers = rng.random_range(4..=8);
        let lasts_ms = options.seconds * 1_000.0;
        let once = vec![false, rng.random()];
        let short_wait_ms = [300.0, 500.0, 900.0, 1_500.0, 3_000.0][rng.random_range(0..5)];
        let class = |number: u8, name: &str, wait_ms| ClientClass { number, name: name.into(), wait_ms };
        let classes = vec![class(0, "watch", short_wait_ms), class(1, "file", 2.0 * short_wait_ms)];
        let pushed = rng.random();
        let stores = rng.random();
        let is_selected = |kind| options.only.is_none_or(|only| only == kind);
        let mut calls = draw_call_faults(&mut rng, stores);
        if !is_selected(FaultKind::Calls) {
            calls.clear();
        }
        if let Some(injected_bug) = options.injected_bug {
            // Other faults are left out, so that a violation is due to the bug.
            calls = vec![call_fault_of(injected_bug)];
        }
        let mut timeline = Vec::new();
        if is_selected(FaultKind::Signals) {
            timeline.extend(draw_signals(&mut rng, processes));
        }
        if is_selected(FaultKind::Servers) {
            timeline.extend(draw_server_faults(&mut rng, servers));
        }
        if is_selected(FaultKind::Discovery) {
            timeline.extend(draw_discovery_faults(&mut rng, servers));
        }
        timeline.sort_by(|a, b| a.0.total_cmp(&b.0));
        let clients = (processes as f64 * options.seconds * 4.0) as usize;
        Self { seed, processes, servers, lasts_ms, pushed, classes, once, clients, timeline, calls, stores }
    }

    /// Returns the protocol rules of the deployment.
    pub fn rules(&self) -> Rules {
        Rules {
            max_attempts: MAX_ATTEMPTS,
            drain_grace_ms: DRAIN_GRACE_MS,
            max_retry_after_ms: Some(MAX_RETRY_AFTER_MS),
            non_idempotent: self.once.clone(),
        }
    }

    /// Returns the time from SIGTERM to SIGKILL, in milliseconds.
    pub fn kill_delay_ms(&self) -> f64 {
        let max_wait_ms = self.classes.iter().map(|class| class.wait_ms).fold(0.0, f64::max);
        max_wait_ms.min(3_000.0) + 700.0
    }

    /// Returns the settings of a process.
    pub fn settings(&self, process: usize) -> Value {
        let class = |class: &ClientClass| {
            let once = self.once[usize::from(class.number)];
            json!({"name": class.name, "goalTimeMs": class.wait_ms / 2.0, "deadlineMs": class.wait_ms,
                "semantics": if once { "once" } else { "repeatable" }, "importance": 1.0})
        };
        json!({
            "index": process, "balancers": self.processes, "zone": process % 2, "azs": ["a", "b"],
            "discovery": if self.pushed { "pushed" } else { "on_request" },
            "classes": self.classes.iter().map(class).collect::<Vec<_>>(),
            "specifics": {"mode": "proxy", "messageAimMs": [500.0, 500.0], "groups": false, "tellsDelay": false},
            "loadReport": {"how": "off", "fields": []},
            "bounds": {"connectTimeoutMs": 100.0, "maxAttempts": MAX_ATTEMPTS, "mayCancel": true, "mayProbe": true,
                "retryAfter": true, "maxRetryAfterMs": MAX_RETRY_AFTER_MS},
            "invariants": {"askWithinMs": 3000.0, "coldFrom": 0.3, "warmAfterMs": 3000.0, "tipMultiple": 3.0,
                "overloadForMs": 3000.0, "drainGraceMs": DRAIN_GRACE_MS},
            "prices": {"crossZone": 0.0, "moves": 0.01, "probe": 0.001, "lateFail": 0.03}
        })
    }
}

fn draw_call_faults(rng: &mut SmallRng, stores: bool) -> Vec<String> {
    let mut calls: Vec<_> =
        CALL_FAULTS.choose_multiple(rng, CALL_FAULT_COUNT).map(|call| (*call).to_owned()).collect();
    if stores {
        calls.extend(DISK_CALL_FAULTS.choose(rng).map(|call| (*call).to_owned()));
    }
    calls
}

/// Returns the system call fault that simulates a bug.
fn call_fault_of(injected_bug: InjectedBug) -> String {
    match injected_bug {
        InjectedBug::SecondAnswer => "send=TWICE%5",
        InjectedBug::LateAttempt => "send=HOLD:500%4",
        InjectedBug::EintrIsEnd => "recv=END%15",
        InjectedBug::ShortWriteIsWhole => "send=WHOLE%12",
    }
    .into()
}

/// Draws the time of a fault, in milliseconds.
fn draw_time(rng: &mut SmallRng) -> f64 {
    rng.random_range(FIRST_FAULT_MS..LAST_FAULT_MS)
}

/// Draws one restart, kill, upgrade or series of reloads for each process, and a suspension soon after it. In one of
/// four scenarios, half of the processes restart at the same time instead.
fn draw_signals(rng: &mut SmallRng, processes: usize) -> Vec<(f64, Fault)> {
    let mut faults = Vec::new();
    if rng.random_ratio(1, 4) {
        faults.push((draw_time(rng), Fault::RestartHalf));
        return faults;
    }
    for process in 0..processes {
        let fault = match rng.random_range(0..7) {
            0 | 1 => Fault::Restart(process),
            2 => Fault::RestartWithReload(process),
            3 => Fault::Reloads(process, rng.random_range(2..6)),
            4 => Fault::Kill(process),
            5 => Fault::Upgrade(process),
            _ => Fault::KilledUpgrade(process),
        };
        let at = draw_time(rng);
        faults.push((at, fault));
        let hold = Fault::Hold(process, rng.random_range(20.0..MAX_HOLD_MS));
        faults.push((at + rng.random_range(10.0..300.0), hold));
    }
    faults
}

/// Draws two periods of misbehavior for each of the first half of the servers.
fn draw_server_faults(rng: &mut SmallRng, servers: usize) -> Vec<(f64, Fault)> {
    let behaviors = [
        ServerBehavior::Busy,
        ServerBehavior::Errs,
        ServerBehavior::Resets,
        ServerBehavior::Mute,
        ServerBehavior::Pieces,
        ServerBehavior::Slow(120),
        ServerBehavior::BreaksAfter(30),
    ];
    let mut faults = Vec::new();
    for server in 0..servers / 2 {
        for _ in 0..2 {
            let at = draw_time(rng);
            let behavior = *behaviors.choose(rng).expect("the list is not empty");
            faults.push((at, Fault::Behave(server, behavior)));
            faults
                .push((at + rng.random_range(200.0..1_200.0), Fault::Behave(server, ServerBehavior::Serves)));
        }
    }
    faults
}

/// Draws drains of two of the other servers, and in half of the scenarios an outage of discovery.
fn draw_discovery_faults(rng: &mut SmallRng, servers: usize) -> Vec<(f64, Fault)> {
    let mut draining: Vec<_> = (servers / 2..servers).collect();
    draining.shuffle(rng);
    draining.truncate(2);
    let mut faults: Vec<_> = draining
        .into_iter()
        .map(|server| (draw_time(rng), Fault::Drain(server, rng.random_range(600.0..1_500.0))))
        .collect();
    if rng.random() {
        faults.push((draw_time(rng), Fault::DiscoveryDown(rng.random_range(300.0..1_500.0))));
    }
    faults
}
