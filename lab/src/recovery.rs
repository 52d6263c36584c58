//! `marllink-lab run` for files with a `crowd`: recovery of several real balancers that are killed or suspended at the
//! same time, while their stores are kept, deleted, truncated, outdated or swapped. Each balancer has its own discovery
//! agent, and the clients reconnect.

use crate::balancers::Balancers;
use marllink_emulator::platform::rules::{Rules, check};
use marllink_emulator::platform::{
    BALANCER_SHIFT, Discovery, Note, NoteLog, ReconnectPool, ReconnectingClient, Server, ServerBehavior,
    State,
};
use marllink_emulator::sockets::{EntryLog, sleep};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Interval at which connected clients are counted, in milliseconds.
const SAMPLE_INTERVAL_MS: f64 = 100.0;
/// Service has recovered when this share of the previous number of clients stays connected for
/// [`RECOVERY_WINDOW_MS`]. `marllink_fleet::seconds_to_recovery` uses the same definition.
const FULL_SERVICE_RATIO: f64 = 0.95;
/// Time for which the clients must stay connected, in milliseconds.
const RECOVERY_WINDOW_MS: f64 = 3_000.0;
/// Time before a kill over which the number of connected clients is averaged, in milliseconds.
const BASELINE_MS: f64 = 2_000.0;
/// Age from which balancers don't trust a stored list any more, in seconds. Faults with outdated stores must happen
/// later in the run than this.
const MAX_LIST_AGE_S: u32 = 4;

/// An experiment on the recovery of several balancers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "ComeBack")]
pub struct RecoveryExperiment {
    /// Name of the experiment, and of the folder that its results are written to.
    pub name: String,
    /// Duration, in seconds.
    #[schemars(range(min = 1.0, max = 600.0))]
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Seed of the choice of balancers for each fault, and of the clients' behavior.
    pub seed: u64,
    /// Number of balancers.
    #[schemars(range(min = 2, max = 30))]
    pub balancers: usize,
    /// Number of servers.
    #[schemars(range(min = 2, max = 200))]
    #[serde(rename = "hosts")]
    pub servers: usize,
    /// The clients.
    #[serde(rename = "crowd")]
    pub load: Load,
    /// The faults.
    pub faults: Vec<Fault>,
    /// Bounds on the results.
    #[serde(rename = "verdict")]
    pub bounds: Bounds,
}

/// Clients that reconnect whenever they lose their connection.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Crowd")]
pub struct Load {
    /// Number of clients.
    #[schemars(range(min = 1, max = 10_000))]
    pub clients: usize,
    /// Time over which the clients arrive, in seconds.
    #[serde(rename = "over_s")]
    pub arrival_s: f64,
}

/// A fault at a given time.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time at which it begins, in seconds from the start of the first client.
    pub at_s: f64,
    /// What happens.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// The types of faults. Servers are numbered from 0.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[schemars(rename = "What")]
pub enum FaultKind {
    /// A server drains and is deleted later. From then on its address belongs to an unrelated service.
    #[serde(rename = "retire")]
    RetireServer {
        /// Index of the server.
        #[serde(rename = "host")]
        server: usize,
        /// Time from the drain until the server is deleted, in seconds.
        after_s: f64,
    },
    /// All stores are copied. A later fault with the store `old` restores the copies.
    CopyStores {},
    /// Discovery is down.
    DiscoveryDown {
        /// Duration, in seconds.
        for_s: f64,
    },
    /// Randomly chosen balancers are killed at the same instant and start again.
    Kill {
        /// Number of balancers.
        count: usize,
        /// Time until they start again, in seconds.
        for_s: f64,
        /// State of their stores when they start again.
        store: StoreFault,
    },
    /// Randomly chosen balancers are suspended with SIGSTOP.
    #[serde(rename = "stop")]
    Suspend {
        /// Number of balancers.
        count: usize,
        /// Duration, in seconds.
        for_s: f64,
    },
}

/// What happens to a balancer's store while its process is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Store")]
pub enum StoreFault {
    /// The store is unchanged.
    #[serde(rename = "kept")]
    Unchanged,
    /// The store is deleted.
    Wiped,
    /// The store is replaced by its earlier copy.
    #[serde(rename = "old")]
    Outdated,
    /// The last record is incomplete, as after a crash in the middle of a write.
    Torn,
    /// The stores of the killed balancers are swapped among them.
    Swapped,
}

/// Bounds on the results. Independent of them, no protocol rule may be violated.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Verdict")]
pub struct Bounds {
    /// Maximum time until service has recovered, in seconds: from the restart of killed balancers, or from the
    /// return of discovery if it was down at the restart.
    #[serde(rename = "back_within_s")]
    pub max_recovery_s: f64,
    /// Maximum number of attempts sent to deleted servers by balancers that discovery hasn't notified.
    #[serde(rename = "stale_at_most")]
    pub max_stale_attempts: usize,
    /// Maximum number of attempts in the worst second after a kill, for each client.
    #[serde(rename = "wave_at_most")]
    pub max_attempt_burst: f64,
    /// Maximum number of answers other than `UP`, for each client.
    #[serde(rename = "refused_at_most")]
    pub max_rejected_ratio: f64,
}

/// A bug that is injected into the balancers, which the experiment must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Stored lists of any age are trusted.
    TrustsOutdatedList,
    /// A torn write makes the whole store unreadable instead of its last record only.
    TornWrite,
}

impl std::str::FromStr for InjectedBug {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "trusts-old-list" => Ok(Self::TrustsOutdatedList),
            "torn-write" => Ok(Self::TornWrite),
            _ => Err("expected trusts-old-list or torn-write".into()),
        }
    }
}

/// Returns the JSON schema of these files.
pub fn schema() -> Value {
    schemars::schema_for!(RecoveryExperiment).to_value()
}

/// Checks the times, servers and numbers of balancers of all faults.
///
/// # Errors
/// Returns the path of the first invalid fault, and the valid values.
pub fn validate(experiment: &RecoveryExperiment) -> Result<(), String> {
    let RecoveryExperiment { servers, balancers, .. } = experiment;
    for (index, fault) in experiment.faults.iter().enumerate() {
        let invalid = match fault.kind {
            FaultKind::RetireServer { server, .. } => server >= *servers,
            FaultKind::Kill { count, .. } | FaultKind::Suspend { count, .. } => {
                count == 0 || count > *balancers
            }
            FaultKind::CopyStores {} | FaultKind::DiscoveryDown { .. } => false,
        };
        if invalid || fault.at_s < 0.0 || fault.at_s >= experiment.duration_s {
            return Err(format!(
                "/faults/{index}: expected a time before the end, a server less than {servers}, and 1 to {balancers} balancers"
            ));
        }
    }
    Ok(())
}

/// Results of a run.
#[derive(Debug, Default, Serialize)]
pub struct Results {
    /// A message for each reason why the run fails.
    #[serde(rename = "against")]
    pub failures: Vec<String>,
    /// Number of answers after the client's deadline. They are reported without failing the run, because they may be
    /// caused by load on this machine.
    #[serde(rename = "late")]
    pub late_answers: usize,
    /// Number of requests.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Number of served requests.
    pub served: usize,
    /// Number of requests without an answer because their balancer was killed or suspended.
    #[serde(rename = "lost")]
    pub lost_requests: usize,
    /// Number of requests that got an answer other than `UP`, or lost their balancer.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Number of attempts sent to deleted servers.
    #[serde(rename = "stale")]
    pub stale_attempts: usize,
    /// Number of attempts in the worst second after a kill, for each client.
    #[serde(rename = "wave")]
    pub attempt_burst: f64,
    /// Time until service has recovered from each kill, in seconds. See [`Bounds::max_recovery_s`].
    #[serde(rename = "back_s")]
    pub recovery_s: Vec<f64>,
    /// Number of connected clients every 100 ms, by time in milliseconds.
    #[serde(skip)]
    pub samples: Vec<(f64, usize)>,
}

struct Run {
    experiment: RecoveryExperiment,
    note_log: Rc<NoteLog>,
    servers: Vec<Rc<Server>>,
    agents: Vec<Rc<Discovery>>,
    discovery_logs: Vec<Rc<NoteLog>>,
    balancers: Balancers,
    injected_bug: Option<InjectedBug>,
    /// Time at which each deleted server was deleted.
    removed_servers: RefCell<BTreeMap<usize, f64>>,
    /// Start and end of each kill.
    kills: RefCell<Vec<(f64, f64)>>,
    /// Start and end of each outage of discovery.
    outages: RefCell<Vec<(f64, f64)>>,
    errors: RefCell<Vec<String>>,
    rng: RefCell<SmallRng>,
}

/// Runs an experiment to its end.
///
/// # Errors
/// Fails if the experiment can't be run.
pub async fn run(
    experiment: &RecoveryExperiment,
    daemon_program: PathBuf,
    folder: &Path,
    injected_bug: Option<InjectedBug>,
) -> std::io::Result<Results> {
    let (note_log, clock) = (NoteLog::new(), EntryLog::new());
    let mut servers = Vec::new();
    for number in 0..experiment.servers {
        servers.push(Server::start(note_log.clone(), number, true, None).await?);
    }
    let count = experiment.balancers;
    let (mut agents, mut discovery_logs) = (Vec::new(), Vec::new());
    for _ in 0..count {
        let balancer_notes = note_log.with_same_clock();
        agents.push(
            Discovery::start(balancer_notes.clone(), servers.clone(), vec!["a".into(), "b".into()], false)
                .await?,
        );
        discovery_logs.push(balancer_notes);
    }
    let balancers = Balancers::new(clock, daemon_program, folder.to_path_buf(), count)?;
    let max_list_age_s =
        if injected_bug == Some(InjectedBug::TrustsOutdatedList) { 86_400 } else { MAX_LIST_AGE_S };
    for (balancer, agent) in agents.iter().enumerate() {
        let config = json!({"name": format!("b{balancer}"), "listen": balancers.addresses()[balancer].to_string(),
            "discovery": agent.address().to_string(), "seed": format!("{:x}", experiment.seed * 1_000 + balancer as u64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 8_192},
            "known": {"rev": 0, "all": true, "targets": []}, "settings": settings(balancer, count)});
        balancers.write_config(
            balancer,
            &config,
            &json!({"store": {"folder": "state", "trusted_s": max_list_age_s}}),
        )?;
    }
    for balancer in 0..count {
        balancers.start(balancer).await?;
    }
    let client_pool = ReconnectPool::new(note_log.clone(), balancers.addresses(), classes());
    let run = Rc::new(Run {
        experiment: experiment.clone(),
        note_log: note_log.clone(),
        servers,
        agents,
        discovery_logs,
        balancers,
        injected_bug,
        removed_servers: RefCell::default(),
        kills: RefCell::default(),
        outages: RefCell::default(),
        errors: RefCell::default(),
        rng: RefCell::new(SmallRng::seed_from_u64(experiment.seed)),
    });
    let started_at = note_log.now();
    let mut rng = SmallRng::seed_from_u64(experiment.seed + 1);
    let clients: Vec<_> = (0..experiment.load.clients)
        .map(|_| {
            let client = ReconnectingClient::new(client_pool.clone(), rng.random());
            tokio::task::spawn_local(client.run(rng.random::<f64>() * experiment.load.arrival_s * 1_000.0))
        })
        .collect();
    let faults: Vec<_> = experiment
        .faults
        .iter()
        .cloned()
        .map(|fault| {
            let run = run.clone();
            tokio::task::spawn_local(async move {
                sleep(started_at + fault.at_s * 1_000.0 - run.note_log.now()).await;
                if let Err(error) = run.inject(fault.kind).await {
                    run.errors.borrow_mut().push(error.to_string());
                }
            })
        })
        .collect();
    let mut samples = Vec::new();
    while note_log.now() < started_at + experiment.duration_s * 1_000.0 {
        sleep(SAMPLE_INTERVAL_MS).await;
        samples.push((note_log.now(), client_pool.connected()));
    }
    for fault in faults {
        // A fault whose task panicked hasn't happened, which makes the run invalid.
        let result = fault.await;
        run.errors.borrow_mut().extend(result.err().map(|e| e.to_string()));
    }
    client_pool.stop();
    for client in clients {
        let _ = client.await;
    }
    Ok(run.results(samples, client_pool.rejected()))
}

fn classes() -> Vec<(String, f64)> {
    vec![("watch".into(), 3_000.0), ("file".into(), 4_500.0)]
}

fn settings(balancer: usize, count: usize) -> Value {
    let class = |(name, deadline_ms): &(String, f64)| json!({"name": name, "goalTimeMs": 800.0, "deadlineMs": deadline_ms, "semantics": "repeatable", "importance": 1.0});
    json!({
        "index": balancer, "balancers": count, "zone": balancer % 2, "azs": ["a", "b"], "discovery": "pushed",
        "classes": classes().iter().map(class).collect::<Vec<_>>(),
        "specifics": {"mode": "proxy", "messageAimMs": [500.0, 500.0], "groups": false, "tellsDelay": false},
        "loadReport": {"how": "off", "fields": []},
        "bounds": {"connectTimeoutMs": 150.0, "maxAttempts": 3, "mayCancel": true, "mayProbe": true,
            "retryAfter": true, "maxRetryAfterMs": 2000.0},
        "invariants": {"askWithinMs": 3000.0, "coldFrom": 0.3, "warmAfterMs": 3000.0, "tipMultiple": 3.0,
            "overloadForMs": 3000.0, "drainGraceMs": 1500.0},
        "prices": {"crossZone": 0.0, "moves": 0.01, "probe": 0.001, "lateFail": 0.03}
    })
}

fn rules() -> Rules {
    Rules { max_attempts: 3, drain_grace_ms: 1_500.0, max_retry_after_ms: Some(2_000.0), ..Rules::default() }
}

impl Run {
    fn choose_balancers(&self, count: usize) -> Vec<usize> {
        let mut balancers: Vec<_> = (0..self.experiment.balancers).collect();
        balancers.shuffle(&mut *self.rng.borrow_mut());
        balancers.truncate(count);
        balancers
    }

    async fn inject(&self, kind: FaultKind) -> std::io::Result<()> {
        match kind {
            FaultKind::RetireServer { server, after_s } => {
                self.agents.iter().for_each(|agent| agent.set_state(server, State::Draining));
                sleep(after_s * 1_000.0).await;
                self.agents.iter().for_each(|agent| agent.set_state(server, State::Deleted));
                self.servers[server].set_behavior(ServerBehavior::Gone);
                self.removed_servers.borrow_mut().insert(server, self.note_log.now());
            }
            FaultKind::CopyStores {} => {
                for balancer in 0..self.experiment.balancers {
                    std::fs::copy(self.store_path(balancer), self.store_copy_path(balancer))?;
                }
            }
            FaultKind::DiscoveryDown { for_s } => {
                let from = self.note_log.now();
                self.agents.iter().for_each(|agent| agent.set_down(true));
                sleep(for_s * 1_000.0).await;
                self.agents.iter().for_each(|agent| agent.set_down(false));
                self.outages.borrow_mut().push((from, self.note_log.now()));
            }
            FaultKind::Kill { count, for_s, store } => {
                let chosen = self.choose_balancers(count);
                let from = self.note_log.now();
                for balancer in &chosen {
                    self.balancers.kill(*balancer)?;
                }
                self.change_stores(&chosen, store)?;
                sleep(for_s * 1_000.0).await;
                let restarts: Vec<_> =
                    chosen.iter().map(|balancer| self.balancers.restart(*balancer)).collect();
                for start in restarts {
                    start.await?;
                }
                self.kills.borrow_mut().push((from, self.note_log.now()));
            }
            FaultKind::Suspend { count, for_s } => {
                let suspensions: Vec<_> = self
                    .choose_balancers(count)
                    .into_iter()
                    .map(|balancer| self.balancers.suspend_for(balancer, for_s * 1_000.0))
                    .collect();
                // All futures are polled together, so that all balancers are suspended before the first one continues.
                let mut suspensions: Vec<_> = suspensions.into_iter().map(Box::pin).collect();
                std::future::poll_fn(|context| {
                    suspensions.retain_mut(|suspension| suspension.as_mut().poll(context).is_pending());
                    if suspensions.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
                })
                .await;
            }
        }
        Ok(())
    }

    fn store_path(&self, balancer: usize) -> PathBuf {
        self.balancers.balancer_folder(balancer).join("state").join("state.log")
    }

    fn store_copy_path(&self, balancer: usize) -> PathBuf {
        self.balancers.balancer_folder(balancer).join("state.copy")
    }

    fn change_stores(&self, chosen: &[usize], store: StoreFault) -> std::io::Result<()> {
        // The drains that a process knew from its lost store can't be expected of the next process.
        let forgets_drains = matches!(store, StoreFault::Wiped | StoreFault::Outdated);
        for balancer in chosen {
            match store {
                StoreFault::Unchanged => {}
                StoreFault::Wiped => std::fs::remove_file(self.store_path(*balancer))?,
                StoreFault::Outdated => {
                    _ = std::fs::copy(self.store_copy_path(*balancer), self.store_path(*balancer))?
                }
                StoreFault::Torn => {
                    let mut bytes = std::fs::read(self.store_path(*balancer))?;
                    // Appends the beginning of another record.
                    let partial_record = bytes[12..bytes.len().min(60)].to_vec();
                    bytes.extend(partial_record);
                    if self.injected_bug == Some(InjectedBug::TornWrite) {
                        bytes.truncate(20);
                    }
                    std::fs::write(self.store_path(*balancer), bytes)?;
                }
                StoreFault::Swapped => {
                    let other = chosen
                        [(chosen.iter().position(|other| other == balancer).unwrap_or(0) + 1) % chosen.len()];
                    if balancer < &other {
                        let (a, b) = (
                            std::fs::read(self.store_path(*balancer))?,
                            std::fs::read(self.store_path(other))?,
                        );
                        std::fs::write(self.store_path(*balancer), b)?;
                        std::fs::write(self.store_path(other), a)?;
                    }
                }
            }
            if forgets_drains {
                for server in 0..self.experiment.servers {
                    self.discovery_logs[*balancer].record(Note::Told { host: server, state: State::Serving });
                }
            }
        }
        Ok(())
    }

    /// Evaluates the run. Each balancer is checked against the notes of its own clients, its own discovery agent and
    /// the servers.
    fn results(&self, samples: Vec<(f64, usize)>, rejected: usize) -> Results {
        let mut results = Results { failures: self.errors.take(), rejected, ..Results::default() };
        results.failures.extend(
            self.balancers
                .crashed()
                .iter()
                .map(|balancer| format!("balancer {balancer} exited unexpectedly")),
        );
        results.failures.extend(self.balancers.panic_messages());
        let mut notes_by_balancer = vec![Vec::<(f64, Note)>::new(); self.experiment.balancers];
        let notes = self.note_log.notes();
        for (at, note) in &notes {
            let Some(id) = note.request() else { continue };
            notes_by_balancer[(id >> BALANCER_SHIFT) as usize].push((*at, note.clone()));
        }
        for (balancer, mut balancer_notes) in notes_by_balancer.into_iter().enumerate() {
            let lost_requests = self.lost_requests(balancer, &balancer_notes);
            balancer_notes.retain(|(_, note)| !note.request().is_some_and(|id| lost_requests.contains(&id)));
            balancer_notes.extend(self.discovery_logs[balancer].notes());
            balancer_notes.sort_by(|a, b| a.0.total_cmp(&b.0));
            let findings = check(&balancer_notes, &rules());
            results.requests += findings.requests + lost_requests.len();
            results.served += findings.served;
            results.lost_requests += lost_requests.len();
            results.late_answers += findings.late.len();
            let name = |violation: &String| format!("balancer {balancer}: {violation}");
            results.failures.extend(findings.violations.iter().map(name));
        }
        let removed_servers = self.removed_servers.borrow();
        let is_stale = |note: &Note| {
            matches!(note, Note::Sent { host, since, .. }
            if removed_servers.get(host).is_some_and(|from| since - from > rules().drain_grace_ms))
        };
        results.stale_attempts = notes.iter().filter(|(_, note)| is_stale(note)).count();
        self.evaluate_recovery(&notes, &samples, &mut results);
        let Bounds { max_recovery_s, max_stale_attempts, max_attempt_burst, max_rejected_ratio } =
            self.experiment.bounds;
        let rejected_ratio = rejected as f64 / self.experiment.load.clients as f64;
        if rejected_ratio > max_rejected_ratio {
            results.failures.push(format!(
                "{rejected_ratio:.2} rejections for each client, at most {max_rejected_ratio} allowed"
            ));
        }
        if results.stale_attempts > max_stale_attempts {
            results.failures.push(format!(
                "{} attempts at deleted servers, at most {max_stale_attempts} allowed",
                results.stale_attempts
            ));
        }
        if results.attempt_burst > max_attempt_burst {
            results.failures.push(format!(
                "{:.2} attempts for each client in the worst second, at most {max_attempt_burst} allowed",
                results.attempt_burst
            ));
        }
        for recovery_s in &results.recovery_s {
            if *recovery_s > max_recovery_s {
                results.failures.push(format!(
                    "service recovered after {recovery_s:.1} s, at most {max_recovery_s} s allowed; load on this machine may delay it"
                ));
            }
        }
        results.samples = samples;
        results
    }

    /// Returns the requests whose missing answer is excused because their balancer was killed or suspended.
    fn lost_requests(&self, balancer: usize, balancer_notes: &[(f64, Note)]) -> BTreeSet<u64> {
        let mut answers = BTreeMap::<u64, (f64, Option<(f64, bool)>)>::new();
        for (at, note) in balancer_notes {
            match note {
                Note::Asked { id, .. } => _ = answers.insert(*id, (*at, None)),
                Note::Answered { id, line } => {
                    if let Some(request) = answers.get_mut(id) {
                        request.1 = Some((*at, line == "(end)"));
                    }
                }
                _ => {}
            }
        }
        let is_excused = |(requested_at, answer): (f64, Option<(f64, bool)>)| match answer {
            Some((_, false)) => false,
            Some((at, true)) => self.balancers.was_interrupted(balancer, requested_at - 5.0, at + 5.0),
            None => self.balancers.was_interrupted(balancer, requested_at - 5.0, requested_at + 6_500.0),
        };
        answers.into_iter().filter(|(_, times)| is_excused(*times)).map(|(id, _)| id).collect()
    }

    fn evaluate_recovery(&self, notes: &[(f64, Note)], samples: &[(f64, usize)], results: &mut Results) {
        let attempt_times: Vec<f64> =
            notes.iter().filter(|(_, note)| matches!(note, Note::Sent { .. })).map(|(at, _)| *at).collect();
        for (from, to) in self.kills.borrow().iter() {
            // Recovery counts from the return of discovery if it was down at the restart.
            let outages = self.outages.borrow();
            let to = outages.iter().filter(|o| (o.0..o.1).contains(to)).fold(*to, |to, o| to.max(o.1));
            let baseline: Vec<_> = samples
                .iter()
                .filter(|(at, _)| (from - BASELINE_MS..*from).contains(at))
                .map(|sample| sample.1 as f64)
                .collect();
            let full_service =
                FULL_SERVICE_RATIO * baseline.iter().sum::<f64>() / baseline.len().max(1) as f64;
            let mut recovered_at = f64::INFINITY;
            let mut recovery_s = f64::INFINITY;
            for (at, connected) in samples.iter().filter(|(at, _)| at >= from) {
                recovered_at =
                    if *connected as f64 >= full_service { recovered_at.min(*at) } else { f64::INFINITY };
                if at - recovered_at >= RECOVERY_WINDOW_MS {
                    recovery_s = (recovered_at - to).max(0.0) / 1_000.0;
                    break;
                }
            }
            results.recovery_s.push(recovery_s);
            let attempts_in_second =
                |start: f64| attempt_times.iter().filter(|at| (start..start + 1_000.0).contains(*at)).count();
            let worst =
                (0..50).map(|step| attempts_in_second(from + 100.0 * f64::from(step))).max().unwrap_or(0);
            results.attempt_burst =
                results.attempt_burst.max(worst as f64 / self.experiment.load.clients as f64);
        }
    }
}

impl Results {
    /// Writes the results, and the number of connected clients over time.
    ///
    /// # Errors
    /// Fails if a file can't be written.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        std::fs::write(folder.join("results.json"), serde_json::to_vec_pretty(self)?)?;
        let mut table = csv::Writer::from_path(folder.join("clients.csv"))?;
        table.write_record(["at_ms", "connected"])?;
        for (at, connected) in &self.samples {
            table.write_record([format!("{at:.0}"), connected.to_string()])?;
        }
        table.flush()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn experiment(fault: Value) -> RecoveryExperiment {
        let mut value: Value = serde_json::from_str(include_str!("../experiments/come-back-short.json"))
            .expect("the file is valid JSON");
        value["faults"] = json!([fault]);
        serde_json::from_value(value).expect("the file matches the schema")
    }

    #[test]
    fn invalid_fault_is_rejected_with_its_path() {
        let kill = |count: usize, at: f64| {
            experiment(json!({"at_s": at, "what": {"kill": {"count": count, "for_s": 1, "store": "kept"}}}))
        };
        assert_eq!(validate(&kill(5, 6.0)), Ok(()));
        for invalid in [kill(6, 6.0), kill(0, 6.0), kill(5, 24.0)] {
            assert!(
                validate(&invalid).is_err_and(|message| message.starts_with("/faults/0: ")),
                "{invalid:?}"
            );
        }
        let retire = experiment(json!({"at_s": 1, "what": {"retire": {"host": 10, "after_s": 1}}}));
        assert!(validate(&retire).is_err());
    }
}
