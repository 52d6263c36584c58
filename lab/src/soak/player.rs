//! Plays a scenario with real processes.

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

/// A front sends new connections to a process for so long after its SIGTERM.
const FRONT_MS: f64 = 300.0;
/// Clients stay for so long at most.
const STAY_MS: f64 = 2_500.0;
/// A process that is not ready by then has come back too late.
const READY_MS: f64 = 6_000.0;
/// SIGHUP comes so long after the SIGTERM that it follows.
const RELOAD_AFTER_MS: f64 = 40.0;
/// Upgrades are killed so long after the new process serves.
const KILL_UPGRADE_MS: f64 = 30.0;

/// What all parties wrote down.
pub struct Record {
    /// What clients and servers wrote, by time.
    pub notes: Vec<(f64, Note)>,
    /// What each process was told, and when it was killed.
    pub told: Vec<Vec<(f64, Note)>>,
    /// What the player itself has seen go wrong.
    pub findings: Vec<String>,
    /// Processes that came back too late.
    pub late: Vec<String>,
    /// How often each fault has fired; 0 for those that were planned and never did.
    pub fired: BTreeMap<String, usize>,
}

struct Player {
    scenario: Scenario,
    book: Rc<NoteLog>,
    servers: Vec<Rc<Server>>,
    agents: Vec<Rc<Discovery>>,
    told: Vec<Rc<NoteLog>>,
    balancers: Balancers,
    entrances: Vec<Rc<BalancerEndpoint>>,
    busy: Vec<Cell<bool>>,
    findings: RefCell<Vec<String>>,
    late: RefCell<Vec<String>>,
}

/// Plays it to its end.
///
/// # Errors
/// Fails if it can't be played.
pub async fn play(scenario: &Scenario, shim: &Path, folder: &Path) -> io::Result<Record> {
    let player = Rc::new(Player::set_up(scenario, shim, folder).await?);
    let began = player.book.now();
    let faults: Vec<_> = scenario
        .timeline
        .iter()
        .map(|(at, fault)| {
            let (player, at, fault) = (player.clone(), *at, *fault);
            tokio::task::spawn_local(async move {
                sleep(began + at - player.book.now()).await;
                if let Err(error) = player.happen(fault).await {
                    player.findings.borrow_mut().push(format!("{fault:?}: {error}"));
                }
            })
        })
        .collect();
    let mut rng = SmallRng::seed_from_u64(scenario.seed ^ 0x5eed);
    let mut clients = Vec::new();
    for nth in 0..scenario.clients {
        let due = began + scenario.lasts_ms * nth as f64 / scenario.clients as f64;
        sleep(due - player.book.now()).await;
        clients.extend(player.client(&mut rng).map(tokio::task::spawn_local));
    }
    for fault in faults {
        let ended = fault.await;
        player.findings.borrow_mut().extend(ended.err().map(|error| error.to_string()));
    }
    for client in clients {
        let _ = client.await;
    }
    Ok(player.record(folder))
}

impl Player {
    async fn set_up(scenario: &Scenario, shim: &Path, folder: &Path) -> io::Result<Self> {
        let book = NoteLog::new();
        let mut servers = Vec::new();
        for number in 0..scenario.servers {
            servers.push(Server::start(book.clone(), number, true, None).await?);
        }
        let program = std::env::current_exe()?;
        let count = scenario.processes;
        let balancers = Balancers::new(EntryLog::new(), program, folder.to_path_buf(), count)?;
        let balancers = balancers.with_environment(environment(scenario, shim, folder));
        let (mut agents, mut told) = (Vec::new(), Vec::new());
        let operators = if scenario.stores { json!({"store": {"folder": "state"}}) } else { json!({}) };
        for n in 0..count {
            let own = book.with_same_clock();
            let zones = vec!["a".into(), "b".into()];
            let agent = Discovery::start(own.clone(), servers.clone(), zones, false).await?;
            let known: serde_json::Value = serde_json::from_str(&agent.list())?;
            let config = json!({"name": format!("b{n}"), "listen": balancers.addresses()[n].to_string(),
                "discovery": agent.address().to_string(), "seed": format!("{:x}", scenario.seed * 1_000 + n as u64),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
                "known": known, "settings": scenario.settings(n)});
            balancers.lay(n, &config, &operators)?;
            agents.push(agent);
            told.push(own);
        }
        for n in 0..count {
            balancers.start(n).await?;
        }
        let entrance = |(process, address)| {
            Rc::new(BalancerEndpoint {
                process,
                address,
                accepts_connections: Cell::new(true),
                shutdown: Notify::new(),
            })
        };
        let entrances = balancers.addresses().into_iter().enumerate().map(entrance).collect();
        Ok(Self {
            scenario: scenario.clone(),
            book,
            servers,
            agents,
            told,
            balancers,
            entrances,
            busy: vec![Cell::new(false); count],
            findings: RefCell::default(),
            late: RefCell::default(),
        })
    }

    /// The life of one more client, if a process takes new ones.
    fn client(&self, rng: &mut SmallRng) -> Option<impl Future<Output = ()> + use<>> {
        let open: Vec<_> =
            self.entrances.iter().filter(|entrance| entrance.accepts_connections.get()).collect();
        if open.is_empty() {
            return None;
        }
        let entrance = open[rng.random_range(0..open.len())].clone();
        let class = self.scenario.classes[rng.random_range(0..self.scenario.classes.len())].clone();
        let kind = if rng.random() {
            ClientKind::Talks
        } else {
            ALL_CLIENT_KINDS[rng.random_range(0..ALL_CLIENT_KINDS.len())]
        };
        let own = SmallRng::seed_from_u64(rng.random());
        let stay_ms = STAY_MS * rng.random::<f64>();
        Some(MixedClient::new(self.book.clone(), entrance, class, kind, own).run(stay_ms))
    }

    async fn happen(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Restart(n) => self.alone(n, self.restart(n, false)).await,
            Fault::RestartWithReload(n) => self.alone(n, self.restart(n, true)).await,
            Fault::RestartHalf => self.restart_half().await,
            Fault::Reloads(n, times) => {
                for _ in 0..times {
                    self.balancers.reload(n);
                    sleep(7.0).await;
                }
                Ok(())
            }
            Fault::Hold(n, ms) => {
                self.balancers.stall(n, ms).await;
                Ok(())
            }
            Fault::Kill(n) => self.alone(n, self.kill(n)).await,
            Fault::Upgrade(n) => self.alone(n, self.upgrade(n)).await,
            Fault::KilledUpgrade(n) => self.alone(n, self.killed_upgrade(n)).await,
            Fault::Behave(server, manner) => {
                self.servers[server].set_behavior(manner);
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

    /// One restart, kill or upgrade of a process at a time.
    async fn alone(&self, n: usize, doing: impl Future<Output = io::Result<()>>) -> io::Result<()> {
        if self.busy[n].replace(true) {
            return Ok(());
        }
        let done = doing.await;
        self.busy[n].set(false);
        done
    }

    async fn restart_half(&self) -> io::Result<()> {
        let restarts: Vec<_> =
            (0..self.scenario.processes).step_by(2).map(|n| self.alone(n, self.restart(n, false))).collect();
        let mut restarts: Vec<_> = restarts.into_iter().map(Box::pin).collect();
        let mut failed = Ok(());
        std::future::poll_fn(|context| {
            restarts.retain_mut(|restart| match restart.as_mut().poll(context) {
                std::task::Poll::Ready(done) => {
                    if done.is_err() {
                        failed = done;
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

    async fn restart(&self, n: usize, reload: bool) -> io::Result<()> {
        let told_at = self.book.now();
        self.balancers.terminate(n);
        self.entrances[n].shutdown.notify_waiters();
        if reload {
            sleep(RELOAD_AFTER_MS).await;
            self.balancers.reload(n);
        }
        sleep(told_at + FRONT_MS - self.book.now()).await;
        self.entrances[n].accepts_connections.set(false);
        let killed_at = told_at + self.scenario.killed_after_ms();
        while self.book.now() < killed_at {
            if self.balancers.has_ended(n)? {
                break;
            }
            sleep(5.0).await;
        }
        if !self.balancers.has_ended(n)? {
            self.findings.borrow_mut().push(format!("b{n}: still there when SIGKILL comes"));
            self.balancers.halt(n)?;
        }
        self.start_again(n).await
    }

    async fn kill(&self, n: usize) -> io::Result<()> {
        self.balancers.halt(n)?;
        self.entrances[n].accepts_connections.set(false);
        self.start_again(n).await
    }

    /// What was told to the process before is not held against the next one.
    async fn start_again(&self, n: usize) -> io::Result<()> {
        self.told[n].record(Note::Killed);
        let began = self.book.now();
        self.balancers.back(n).await?;
        let took = self.book.now() - began;
        if took > READY_MS {
            self.late.borrow_mut().push(format!("b{n}: ready after {took:.0} ms"));
        }
        self.entrances[n].accepts_connections.set(true);
        Ok(())
    }

    async fn upgrade(&self, n: usize) -> io::Result<()> {
        self.balancers.upgrade(n).await
    }

    async fn killed_upgrade(&self, n: usize) -> io::Result<()> {
        let old = self.balancers.replace(n).await?;
        sleep(KILL_UPGRADE_MS).await;
        if let Some(mut old) = old {
            old.kill()?;
            old.wait()?;
        }
        self.told[n].record(Note::Killed);
        Ok(())
    }

    fn record(&self, folder: &Path) -> Record {
        let mut findings = self.findings.take();
        findings.extend(self.balancers.crashed().iter().map(|n| format!("b{n}: ended by itself")));
        findings.extend(self.balancers.panics());
        let fired = count_fired(&self.scenario, &folder.join(FIRED));
        let told = self.told.iter().map(|book| book.notes()).collect();
        Record { notes: self.book.notes(), told, findings, late: self.late.take(), fired }
    }
}

/// The file in which the shim tells which faults have fired.
const FIRED: &str = "faults.fired";

fn environment(scenario: &Scenario, shim: &Path, folder: &Path) -> Vec<(String, String)> {
    if scenario.calls.is_empty() {
        return Vec::new();
    }
    let pair = |name: &str, value: String| (name.to_owned(), value);
    vec![
        pair("LD_PRELOAD", shim.display().to_string()),
        pair("MARLLINK_FAULTS", scenario.calls.join(";")),
        pair("MARLLINK_FAULT_SEED", scenario.seed.to_string()),
        pair("MARLLINK_FAULT_REPORT", folder.join(FIRED).display().to_string()),
    ]
}

fn count_fired(scenario: &Scenario, report: &Path) -> BTreeMap<String, usize> {
    let report = std::fs::read_to_string(report).unwrap_or_default();
    let name = |rule: &String| {
        let end = rule.find(['@', '#', '%']).unwrap_or(rule.len());
        rule[..end].replacen('=', " ", 1)
    };
    let count = |name: &str| report.lines().filter(|line| *line == name).count();
    scenario.calls.iter().map(name).map(|name| (name.clone(), count(&name))).collect()
}
