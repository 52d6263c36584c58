//! What a seed stands for: a deployment, its load, and a timeline of faults.

use super::{Options, Plant};
use marllink_emulator::platform::rules::Rules;
use marllink_emulator::platform::{ClientClass, ServerBehavior};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

/// Attempts for a request at most.
const ATTEMPTS: usize = 4;
/// A server may be sent to for so long after it was told as draining.
const GRACE_MS: f64 = 500.0;
/// Clients honour no longer advice.
const ADVICE_MS: f64 = 1_000.0;
/// Faults begin so long after the first client ...
const FIRST_FAULT_MS: f64 = 400.0;
/// ... and none so late that a restarted process would not be back before the end.
const LAST_FAULT_MS: f64 = 4_500.0;
/// One process is held up for so long at most: no longer one is within the terms.
const LONGEST_HOLD_MS: f64 = 150.0;
/// So many kinds of failing calls are in force in one run.
const CALL_FAULTS: usize = 6;

/// A family of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum FaultKind {
    /// Signals, restarts and upgrades.
    Signals,
    /// Servers that reject, err, hang, break off or are slow.
    Servers,
    /// Discovery that tells of drains, or is down.
    Discovery,
    /// System calls that fail.
    Calls,
}

/// Something that happens to one process, or to what it deals with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// SIGTERM, SIGKILL as early as it may come, and a start.
    Restart(usize),
    /// SIGTERM, and SIGHUP right after it.
    RestartWithReload(usize),
    /// SIGTERM to all of an even number.
    RestartHalf,
    /// Several SIGHUP in a row.
    Reloads(usize, u32),
    /// SIGSTOP for so many ms.
    Hold(usize, f64),
    /// SIGKILL, and a start.
    Kill(usize),
    /// Another process takes the place of this one.
    Upgrade(usize),
    /// The old process is killed while an upgrade is under way.
    KilledUpgrade(usize),
    /// A server behaves so from now on.
    Behave(usize, ServerBehavior),
    /// A server is told as draining, and serves again after so many ms.
    Drain(usize, f64),
    /// Discovery is down for so many ms.
    DiscoveryDown(f64),
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// It follows from this, and from what was asked for.
    pub seed: u64,
    /// Balancers.
    pub processes: usize,
    /// Servers.
    pub servers: usize,
    /// How long clients come, in milliseconds.
    pub lasts_ms: f64,
    /// Whether lists are pushed.
    pub pushed: bool,
    /// Classes, and which of them must not run twice.
    pub classes: Vec<ClientClass>,
    once: Vec<bool>,
    /// Clients in all.
    pub clients: usize,
    /// Faults by their time in milliseconds.
    pub timeline: Vec<(f64, Fault)>,
    /// Calls that fail, as the shim's rules.
    pub calls: Vec<String>,
    /// Whether each process keeps its list on disk.
    pub stores: bool,
}

/// Failing calls that a sound program survives.
const CALLS: [&str; 22] = [
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
/// Failing calls on the disk, for processes with a store.
const DISK_CALLS: [&str; 4] =
    ["write=ENOSPC@state.log%3", "write=EIO@state.log%3", "write=SHORT@state.log%2", "fsync=EIO%3"];

impl Scenario {
    /// The one of a seed.
    pub fn draw(seed: u64, options: &Options) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let processes = options.processes;
        let servers = rng.random_range(4..=8);
        let lasts_ms = options.seconds * 1_000.0;
        let once = vec![false, rng.random()];
        let short = [300.0, 500.0, 900.0, 1_500.0, 3_000.0][rng.random_range(0..5)];
        let class = |number: u8, name: &str, wait_ms| ClientClass { number, name: name.into(), wait_ms };
        let classes = vec![class(0, "watch", short), class(1, "file", 2.0 * short)];
        let pushed = rng.random();
        let stores = rng.random();
        let wants = |kind| options.only.is_none_or(|only| only == kind);
        let mut calls = draw_calls(&mut rng, stores);
        if !wants(FaultKind::Calls) {
            calls.clear();
        }
        if let Some(plant) = options.plant {
            // Nothing else may be what is found.
            calls = vec![plan_of(plant)];
        }
        let mut timeline = Vec::new();
        if wants(FaultKind::Signals) {
            timeline.extend(signals(&mut rng, processes));
        }
        if wants(FaultKind::Servers) {
            timeline.extend(server_faults(&mut rng, servers));
        }
        if wants(FaultKind::Discovery) {
            timeline.extend(discovery_faults(&mut rng, servers));
        }
        timeline.sort_by(|a, b| a.0.total_cmp(&b.0));
        let clients = (processes as f64 * options.seconds * 4.0) as usize;
        Self { seed, processes, servers, lasts_ms, pushed, classes, once, clients, timeline, calls, stores }
    }

    /// The rules of this deployment.
    pub fn rules(&self) -> Rules {
        Rules {
            max_attempts: ATTEMPTS,
            drain_grace_ms: GRACE_MS,
            max_retry_after_ms: Some(ADVICE_MS),
            non_idempotent: self.once.clone(),
        }
    }

    /// SIGKILL comes so long after SIGTERM.
    pub fn killed_after_ms(&self) -> f64 {
        let longest = self.classes.iter().map(|class| class.wait_ms).fold(0.0, f64::max);
        longest.min(3_000.0) + 700.0
    }

    /// The settings of one process.
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
            "bounds": {"connectTimeoutMs": 100.0, "maxAttempts": ATTEMPTS, "mayCancel": true, "mayProbe": true,
                "retryAfter": true, "maxRetryAfterMs": ADVICE_MS},
            "invariants": {"askWithinMs": 3000.0, "coldFrom": 0.3, "warmAfterMs": 3000.0, "tipMultiple": 3.0,
                "overloadForMs": 3000.0, "drainGraceMs": GRACE_MS},
            "prices": {"crossZone": 0.0, "moves": 0.01, "probe": 0.001, "lateFail": 0.03}
        })
    }
}

fn draw_calls(rng: &mut SmallRng, stores: bool) -> Vec<String> {
    let mut calls: Vec<_> = CALLS.choose_multiple(rng, CALL_FAULTS).map(|call| (*call).to_owned()).collect();
    if stores {
        calls.extend(DISK_CALLS.choose(rng).map(|call| (*call).to_owned()));
    }
    calls
}

fn plan_of(plant: Plant) -> String {
    match plant {
        Plant::SecondAnswer => "send=TWICE%5",
        Plant::LateAttempt => "send=HOLD:500%4",
        Plant::EintrIsEnd => "recv=END%15",
        Plant::ShortWriteIsWhole => "send=WHOLE%12",
    }
    .into()
}

fn any_time(rng: &mut SmallRng) -> f64 {
    rng.random_range(FIRST_FAULT_MS..LAST_FAULT_MS)
}

/// Each process meets one of these, and is held up now and then.
fn signals(rng: &mut SmallRng, processes: usize) -> Vec<(f64, Fault)> {
    let mut faults = Vec::new();
    if rng.random_ratio(1, 4) {
        faults.push((any_time(rng), Fault::RestartHalf));
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
        let at = any_time(rng);
        faults.push((at, fault));
        let hold = Fault::Hold(process, rng.random_range(20.0..LONGEST_HOLD_MS));
        faults.push((at + rng.random_range(10.0..300.0), hold));
    }
    faults
}

/// Half of the servers misbehave for a while, one way after another.
fn server_faults(rng: &mut SmallRng, servers: usize) -> Vec<(f64, Fault)> {
    let manners = [
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
            let at = any_time(rng);
            let manner = *manners.choose(rng).expect("there are some");
            faults.push((at, Fault::Behave(server, manner)));
            faults
                .push((at + rng.random_range(200.0..1_200.0), Fault::Behave(server, ServerBehavior::Serves)));
        }
    }
    faults
}

/// Some servers drain, and discovery is down once.
fn discovery_faults(rng: &mut SmallRng, servers: usize) -> Vec<(f64, Fault)> {
    let mut draining: Vec<_> = (servers / 2..servers).collect();
    draining.shuffle(rng);
    draining.truncate(2);
    let mut faults: Vec<_> = draining
        .into_iter()
        .map(|server| (any_time(rng), Fault::Drain(server, rng.random_range(600.0..1_500.0))))
        .collect();
    if rng.random() {
        faults.push((any_time(rng), Fault::DiscoveryDown(rng.random_range(300.0..1_500.0))));
    }
    faults
}
