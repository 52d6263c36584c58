//! Runs a scenario with real processes.

use super::scenario::{Fault, Scenario};
use crate::balancers::Balancers;
use marllink_emulator::platform::{
    ALL_CLIENT_KINDS, BalancerEndpoint, ClientKind, Discovery, MixedClient, Note, NoteLog, Server, State,
};
use marllink_emulator::sockets::{EntryLog, sleep};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;
use tokio::sync::Notify;

/// Time for which new clients still connect to a process after its SIGTERM, in milliseconds: the frontend in front
/// of the balancers notices the shutdown with a delay.
const FRONTEND_DELAY_MS: f64 = 300.0;
/// Maximum time that a client stays connected, in milliseconds.
const MAX_STAY_MS: f64 = 2_500.0;
/// Time from which the start of a process is reported as slow, in milliseconds.
const MAX_START_MS: f64 = 6_000.0;
/// Time from SIGTERM to the SIGHUP that follows it, in milliseconds.
const RELOAD_DELAY_MS: f64 = 40.0;
/// Time from the start of the new process of an upgrade until the old one is killed, in milliseconds.
const UPGRADE_KILL_DELAY_MS: f64 = 30.0;

/// The notes of all participants of a run.
pub struct Record {
    /// Notes of clients and servers, in order of time.
    pub notes: Vec<(f64, Note)>,
    /// For each process, the notes of its discovery agent and of its kills.
    pub process_notes: Vec<Vec<(f64, Note)>>,
    /// Failures that the runner itself has found.
    pub findings: Vec<String>,
    /// Messages for processes that started slowly.
    pub slow_starts: Vec<String>,
    /// Number of times that each planned fault has fired.
    pub fired_faults: BTreeMap<String, usize>,
}

struct Runner {
    scenario: Scenario,
    note_log: Rc<NoteLog>,
    servers: Vec<Rc<Server>>,
    agents: Vec<Rc<Discovery>>,
    process_notes: Vec<Rc<NoteLog>>,
    balancers: Balancers,
    endpoints: Vec<Rc<BalancerEndpoint>>,
    in_transition: Vec<Cell<bool>>,
    findings: RefCell<Vec<String>>,
    slow_starts: RefCell<Vec<String>>,
}

/// Runs a scenario to its end.
///
/// # Errors
/// Fails if the scenario can't be run.
pub async fn run_scenario(scenario: &Scenario, shim: &Path, folder: &Path) -> io::Result<Record> {
    let runner = Rc::new(Runner::start(scenario, shim, folder).await?);
    let started_at = runner.note_log.now();
    let faults: Vec<_> = scenario
        .timeline
        .iter()
        .map(|(at, fault)| {
            let (runner, at, fault) = (runner.clone(), *at, *fault);
            tokio::task::spawn_local(async move {
                sleep(started_at + at - runner.note_log.now()).await;
                if let Err(error) = runner.inject(fault).await {
                    runner.findings.borrow_mut().push(format!("{fault:?}: {error}"));
                }
            })
        })
        .collect();
    let mut rng = SmallRng::seed_from_u64(scenario.seed ^ 0x5eed);
    let mut clients = Vec::new();
    for number in 0..scenario.clients {
        let arrives_at = started_at + scenario.lasts_ms * number as f64 / scenario.clients as f64;
        sleep(arrives_at - runner.note_log.now()).await;
        clients.extend(runner.next_client(&mut rng).map(tokio::task::spawn_local));
    }
    for fault in faults {
        let result = fault.await;
        runner.findings.borrow_mut().extend(result.err().map(|error| error.to_string()));
    }
    for client in clients {
        let _ = client.await;
    }
    Ok(runner.record(folder))
}

impl Runner {
    async fn start(scenario: &Scenario, shim: &Path, folder: &Path) -> io::Result<Self> {
        let note_log = NoteLog::new();
        let mut servers = Vec::new();
        for number in 0..scenario.servers {
            servers.push(Server::start(note_log.clone(), number, true, None).await?);
        }
        let daemon_program = std::env::current_exe()?;
        let count = scenario.processes;
        let balancers = Balancers::new(EntryLog::new(), daemon_program, folder.to_path_buf(), count)?;
        let balancers = balancers.with_environment(environment(scenario, shim, folder));
        let (mut agents, mut process_notes) = (Vec::new(), Vec::new());
        let operators = if scenario.stores { json!({"store": {"folder": "state"}}) } else { json!({}) };
        for process in 0..count {
            let process_log = note_log.with_same_clock();
            let zones = vec!["a".into(), "b".into()];
            let agent = Discovery::start(process_log.clone(), servers.clone(), zones, false).await?;
            let known_list: serde_json::Value = serde_json::from_str(&agent.list())?;
            let config = json!({"name": format!("b{process}"), "listen": balancers.addresses()[process].to_string(),
                "discovery": agent.address().to_string(), "seed": format!("{:x}", scenario.seed * 1_000 + process as u64),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
                "known": known_list, "settings": scenario.settings(process)});
            balancers.write_config(process, &config, &operators)?;
            agents.push(agent);
            process_notes.push(process_log);
        }
        for process in 0..count {
            balancers.start(process).await?;
        }
        let endpoint = |(process, address)| {
            Rc::new(BalancerEndpoint {
                process,
                address,
                accepts_connections: Cell::new(true),
                shutdown: Notify::new(),
            })
        };
        let endpoints = balancers.addresses().into_iter().enumerate().map(endpoint).collect();
        Ok(Self {
            scenario: scenario.clone(),
            note_log,
            servers,
            agents,
            process_notes,
            balancers,
            endpoints,
            in_transition: vec![Cell::new(false); count],
            findings: RefCell::default(),
            slow_starts: RefCell::default(),
        })
    }

    /// Creates the next client, if a process accepts new connections.
    fn next_client(&self, rng: &mut SmallRng) -> Option<impl Future<Output = ()> + use<>> {
        let accepting: Vec<_> =
            self.endpoints.iter().filter(|endpoint| endpoint.accepts_connections.get()).collect();
        if accepting.is_empty() {
            return None;
        }
        let endpoint = accepting[rng.random_range(0..accepting.len())].clone();
        let class = self.scenario.classes[rng.random_range(0..self.scenario.classes.len())].clone();
        let kind = if rng.random() {
            ClientKind::Talks
        } else {
            ALL_CLIENT_KINDS[rng.random_range(0..ALL_CLIENT_KINDS.len())]
        };
        let client_rng = SmallRng::seed_from_u64(rng.random());
        let stay_ms = MAX_STAY_MS * rng.random::<f64>();
        Some(MixedClient::new(self.note_log.clone(), endpoint, class, kind, client_rng).run(stay_ms))
    }

    async fn inject(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Restart(process) => self.exclusively(process, self.restart(process, false)).await,
            Fault::RestartWithReload(process) => self.exclusively(process, self.restart(process, true)).await,
            Fault::RestartHalf => self.restart_half().await,
            Fault::Reloads(process, times) => {
                for _ in 0..times {
                    self.balancers.reload(process);
                    sleep(7.0).await;
                }
                Ok(())
            }
            Fault::Hold(process, ms) => {
                self.balancers.suspend_for(process, ms).await;
                Ok(())
            }
            Fault::Kill(process) => self.exclusively(process, self.kill(process)).await,
            Fault::Upgrade(process) => self.exclusively(process, self.upgrade(process)).await,
            Fault::KilledUpgrade(process) => {
                self.exclusively(process, self.kill_during_upgrade(process)).await
            }
            Fault::Behave(server, behavior) => {
                self.servers[server].set_behavior(behavior);
                Ok(())
            }
            Fault::Drain(server, for_ms) => {
                self.agents.iter().for_each(|agent| agent.set_state(server, State::Draining));
                sleep(for_ms).await;
                self.agents.iter().for_each(|agent| agent.set_state(server, State::Serving));
                Ok(())
            }
            Fault::DiscoveryDown(for_ms) => {
                self.agents.iter().for_each(|agent| agent.set_down(true));
                sleep(for_ms).await;
                self.agents.iter().for_each(|agent| agent.set_down(false));
                Ok(())
            }
        }
    }

    /// Runs a restart, kill or upgrade of a process, unless one is in progress already.
    async fn exclusively(
        &self,
        process: usize,
        transition: impl Future<Output = io::Result<()>>,
    ) -> io::Result<()> {
        if self.in_transition[process].replace(true) {
            return Ok(());
        }
        let result = transition.await;
        self.in_transition[process].set(false);
        result
    }

    async fn restart_half(&self) -> io::Result<()> {
        let restarts: Vec<_> = (0..self.scenario.processes)
            .step_by(2)
            .map(|process| self.exclusively(process, self.restart(process, false)))
            .collect();
        let mut restarts: Vec<_> = restarts.into_iter().map(Box::pin).collect();
        let mut failed = Ok(());
        std::future::poll_fn(|context| {
            restarts.retain_mut(|restart| match restart.as_mut().poll(context) {
                std::task::Poll::Ready(result) => {
                    if result.is_err() {
                        failed = result;
                    }
                    false
                }
                std::task::Poll::Pending => true,
            });
            if restarts.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
        })
        .await;
        failed
    }

    async fn restart(&self, process: usize, reload: bool) -> io::Result<()> {
        let terminated_at = self.note_log.now();
        self.balancers.terminate(process);
        self.endpoints[process].shutdown.notify_waiters();
        if reload {
            sleep(RELOAD_DELAY_MS).await;
            self.balancers.reload(process);
        }
        sleep(terminated_at + FRONTEND_DELAY_MS - self.note_log.now()).await;
        self.endpoints[process].accepts_connections.set(false);
        let kill_deadline = terminated_at + self.scenario.kill_delay_ms();
        while self.note_log.now() < kill_deadline {
            if self.balancers.has_exited(process)? {
                break;
            }
            sleep(5.0).await;
        }
        if !self.balancers.has_exited(process)? {
            self.findings.borrow_mut().push(format!("b{process}: still running when SIGKILL is due"));
            self.balancers.kill(process)?;
        }
        self.start_new_process(process).await
    }

    async fn kill(&self, process: usize) -> io::Result<()> {
        self.balancers.kill(process)?;
        self.endpoints[process].accepts_connections.set(false);
        self.start_new_process(process).await
    }

    /// Starts a killed or exited process again. The note of the kill clears what the checker expects the process to
    /// know.
    async fn start_new_process(&self, process: usize) -> io::Result<()> {
        self.process_notes[process].record(Note::Killed);
        let started_at = self.note_log.now();
        self.balancers.restart(process).await?;
        let took_ms = self.note_log.now() - started_at;
        if took_ms > MAX_START_MS {
            self.slow_starts.borrow_mut().push(format!("b{process}: started after {took_ms:.0} ms"));
        }
        self.endpoints[process].accepts_connections.set(true);
        Ok(())
    }

    async fn upgrade(&self, process: usize) -> io::Result<()> {
        self.balancers.upgrade(process).await
    }

    async fn kill_during_upgrade(&self, process: usize) -> io::Result<()> {
        let old = self.balancers.replace(process).await?;
        sleep(UPGRADE_KILL_DELAY_MS).await;
        if let Some(mut old) = old {
            old.kill()?;
            old.wait()?;
        }
        self.process_notes[process].record(Note::Killed);
        Ok(())
    }

    fn record(&self, folder: &Path) -> Record {
        let mut findings = self.findings.take();
        findings.extend(
            self.balancers.crashed().iter().map(|process| format!("b{process}: exited unexpectedly")),
        );
        findings.extend(self.balancers.panic_messages());
        let fired_faults = count_fired_faults(&self.scenario, &folder.join(FIRED_FAULTS_FILE));
        let process_notes = self.process_notes.iter().map(|log| log.notes()).collect();
        Record {
            notes: self.note_log.notes(),
            process_notes,
            findings,
            slow_starts: self.slow_starts.take(),
            fired_faults,
        }
    }
}

/// File to which the shim writes the faults that have fired.
const FIRED_FAULTS_FILE: &str = "faults.fired";

/// Returns the environment variables that load and configure the shim.
fn environment(scenario: &Scenario, shim: &Path, folder: &Path) -> Vec<(String, String)> {
    if scenario.calls.is_empty() {
        return Vec::new();
    }
    let variable = |name: &str, value: String| (name.to_owned(), value);
    vec![
        variable("LD_PRELOAD", shim.display().to_string()),
        variable("MARLLINK_FAULTS", scenario.calls.join(";")),
        variable("MARLLINK_FAULT_SEED", scenario.seed.to_string()),
        variable("MARLLINK_FAULT_REPORT", folder.join(FIRED_FAULTS_FILE).display().to_string()),
    ]
}

/// Counts the faults in the shim's report.
fn count_fired_faults(scenario: &Scenario, report: &Path) -> BTreeMap<String, usize> {
    let report = std::fs::read_to_string(report).unwrap_or_default();
    let name = |rule: &String| {
        let end = rule.find(['@', '#', '%']).unwrap_or(rule.len());
        rule[..end].replacen('=', " ", 1)
    };
    let count = |name: &str| report.lines().filter(|line| *line == name).count();
    scenario.calls.iter().map(name).map(|name| (name.clone(), count(&name))).collect()
}
