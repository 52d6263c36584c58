//! Runs an experiment: starts the fleet and its clients, injects the faults and collects the results.

use crate::balancers::{Balancers, DiscoveryInfo};
use crate::experiment::{Experiment, FaultKind};
use crate::results::{Results, Sample};
use marllink_emulator::model::{InjectedBug, Note, SessionClientConfig, TokenKind};
use marllink_emulator::sockets::{
    Discovery, EntryLog, Impostor, ServerConfig, ServerFault, Servers, SessionClients, sleep,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// Maximum time that clients have for their open confirmations at the end of the run, in milliseconds.
const SETTLE_TIMEOUT_MS: f64 = 12_000.0;
/// Time from the rotation to a new key until the old key is withdrawn, in milliseconds.
const KEY_OVERLAP_MS: f64 = 3_000.0;

/// Options of a run.
pub struct Options {
    /// Program that runs the balancer daemon when started with the argument `daemon`.
    pub daemon_program: PathBuf,
    /// Folder for the results.
    pub results_folder: PathBuf,
    /// Bug to inject.
    pub injected_bug: Option<InjectedBug>,
    /// Called once a second with the sample and the last fault, to display progress.
    pub progress: fn(&Sample, &str),
}

/// State of a running experiment.
struct Run {
    log: Rc<EntryLog>,
    servers: Rc<Servers>,
    discovery: Rc<Discovery>,
    balancers: Rc<Balancers>,
    clients: Rc<SessionClients>,
    injected_bug: Option<InjectedBug>,
    last_fault: Rc<RefCell<String>>,
    errors: Rc<RefCell<Vec<String>>>,
    /// True once clients only wait for open confirmations. Impostors stop then.
    is_settling: Cell<bool>,
}

/// Runs an experiment to its end.
///
/// # Errors
/// Fails if the experiment can't be run. Rule violations are no errors; they are part of the results.
pub async fn run(experiment: &Experiment, options: &Options) -> io::Result<Results> {
    let Experiment { fleet, load, .. } = experiment;
    let log = EntryLog::new();
    let mut rng = SmallRng::seed_from_u64(experiment.seed);
    let server_config = ServerConfig {
        capacity: fleet.capacity,
        clock_drift: fleet.clock_drift_percent / 100.0,
        injected_bug: options.injected_bug,
    };
    let draw_clock_drift = || rng.random_range(-1.0..=1.0);
    let servers =
        Servers::start(log.clone(), fleet.servers, fleet.balancers, server_config, draw_clock_drift).await?;
    let zones: Vec<String> = (0..fleet.zones).map(|zone| format!("z{zone}")).collect();
    let discovery_delay_ms = f64::from(fleet.discovery_delay_ms);
    let discovery =
        Discovery::start(servers.clone(), fleet.balancers, zones.clone(), discovery_delay_ms, log.now())
            .await?;
    let balancers = Balancers::new(
        log.clone(),
        options.daemon_program.clone(),
        options.results_folder.clone(),
        fleet.balancers,
    )?;
    let discovery_infos: Vec<_> = (0..fleet.balancers)
        .map(|balancer| DiscoveryInfo {
            address: discovery.address(balancer),
            known_list: discovery.list(balancer),
        })
        .collect();
    let session_settings = &experiment.sessions;
    let sessions = serde_json::json!({"keys": "keys.json", "keepers": session_settings.replicas,
        "lease_ms": session_settings.lease_ms, "token_s": session_settings.token_s});
    balancers.configure(&discovery_infos, &sessions, &zones)?;
    let balancers = Rc::new(balancers);
    for balancer in 0..fleet.balancers {
        balancers.start(balancer).await?;
    }
    // Waits until the balancers have established their links to the lease replicas.
    sleep(500.0).await;
    let client_config = SessionClientConfig {
        save_interval_ms: load.save_interval_ms,
        field_count: load.field_count,
        value_bytes: load.value_bytes,
        max_unconfirmed: load.max_unconfirmed,
        min_reconnect_delay_ms: 170.0,
        max_reconnect_delay_ms: 1_700.0,
        balancer_count: fleet.balancers,
        answer_timeout_ms: 4_800.0,
        resumes_after_taken: true,
    };
    let started_at = log.now();
    let addresses = balancers.addresses();
    let arrival_ms = load.arrival_s * 1_000.0;
    let clients = SessionClients::start(
        log.clone(),
        addresses,
        load.clients,
        client_config,
        experiment.seed,
        arrival_ms,
    );
    let run_state = Rc::new(Run {
        log: log.clone(),
        servers,
        discovery,
        balancers: balancers.clone(),
        clients: clients.clone(),
        injected_bug: options.injected_bug,
        last_fault: Rc::default(),
        errors: Rc::default(),
        is_settling: Cell::default(),
    });
    run_state.schedule(experiment, rng);
    let mut samples = Vec::new();
    for second in 1..=experiment.duration_s {
        sleep(started_at + f64::from(second) * 1_000.0 - log.now()).await;
        let (connections, held_sessions) = run_state.servers.load();
        let sample =
            Sample { second, connected_clients: clients.connected_count(), connections, held_sessions };
        (options.progress)(&sample, &run_state.last_fault.borrow());
        samples.push(sample);
    }
    run_state.is_settling.set(true);
    clients.stop_saving();
    let settle_deadline = log.now() + SETTLE_TIMEOUT_MS;
    while clients.unsettled_count() > 0 && log.now() < settle_deadline {
        sleep(50.0).await;
    }
    let mut errors = run_state.errors.take();
    errors.extend(
        balancers.crashed().iter().map(|balancer| format!("balancer {balancer} exited unexpectedly")),
    );
    errors.extend(balancers.panic_messages());
    let entries = log.take();
    let was_interrupted = |balancer: usize, from: f64, to: f64| balancers.was_interrupted(balancer, from, to);
    Ok(Results::new(experiment, entries, samples, clients.unsettled_count(), errors, was_interrupted))
}

impl Run {
    /// Schedules the faults, the rotation of keys and the impostors.
    fn schedule(self: &Rc<Self>, experiment: &Experiment, rng: SmallRng) {
        for fault in experiment.faults.clone() {
            let this = self.clone();
            tokio::task::spawn_local(async move {
                sleep(fault.at_s * 1_000.0).await;
                let description = serde_json::to_string(&fault.kind).unwrap_or_default();
                this.last_fault.replace(description.clone());
                this.log.record("lab", Note::Fault { what: description });
                if let Err(error) = this.inject(fault.kind).await {
                    this.errors.borrow_mut().push(error.to_string());
                }
            });
        }
        let withdrawn_tokens = Rc::new(RefCell::new(Vec::new()));
        if let Some(at_s) = experiment.sessions.rotate_keys_at_s {
            let (this, withdrawn_tokens) = (self.clone(), withdrawn_tokens.clone());
            tokio::task::spawn_local(async move {
                sleep(at_s * 1_000.0).await;
                let old_tokens = this.clients.tokens();
                let result = this.rotate_keys().await;
                withdrawn_tokens.replace(old_tokens);
                this.errors.borrow_mut().extend(result.err().map(|e| e.to_string()));
            });
        }
        if experiment.load.impostor_interval_ms > 0.0 {
            let (this, interval_ms) = (self.clone(), experiment.load.impostor_interval_ms);
            tokio::task::spawn_local(
                async move { this.run_impostors(interval_ms, withdrawn_tokens, rng).await },
            );
        }
    }

    async fn inject(&self, kind: FaultKind) -> io::Result<()> {
        match kind {
            FaultKind::KillServer { server, for_s } => {
                self.servers.fault(server, ServerFault::Kill(for_s * 1_000.0))
            }
            FaultKind::StallServer { server, for_s } => {
                self.servers.fault(server, ServerFault::Stall(for_s * 1_000.0))
            }
            FaultKind::Partition { server, balancer, for_s } => {
                self.servers.fault(server, ServerFault::Partition(balancer, for_s * 1_000.0));
            }
            FaultKind::Drain { server, for_s } => {
                self.discovery.drain(server, true);
                sleep(for_s * 1_000.0).await;
                self.discovery.drain(server, false);
            }
            FaultKind::KillBalancer { balancer, for_s } => {
                self.balancers.kill_for(balancer, for_s * 1_000.0).await?
            }
            FaultKind::StallBalancer { balancer, for_s } => {
                self.balancers.suspend_for(balancer, for_s * 1_000.0).await
            }
            FaultKind::UpgradeBalancer { balancer } => self.balancers.upgrade(balancer).await?,
        }
        Ok(())
    }

    /// Rotates the keys: adds a new key, then withdraws the old one. The injected bug `forged-token` leaves the
    /// old key at balancer 0.
    async fn rotate_keys(&self) -> io::Result<()> {
        self.balancers.write_keys(&[0, 1], |_| true)?;
        sleep(KEY_OVERLAP_MS).await;
        let omits_balancer_0 = self.injected_bug == Some(InjectedBug::ForgedToken);
        self.balancers.write_keys(&[1], |balancer| !(omits_balancer_0 && balancer == 0))
    }

    /// Presents tokens that impostors must not get in with: a client's valid token at all balancers at once,
    /// tokens with one letter changed or the end missing, and tokens sealed with a withdrawn key.
    async fn run_impostors(
        &self,
        interval_ms: f64,
        withdrawn_tokens: Rc<RefCell<Vec<String>>>,
        mut rng: SmallRng,
    ) {
        let balancers = self.balancers.addresses().len();
        while !self.is_settling.get() {
            sleep(interval_ms).await;
            let tokens = self.clients.tokens();
            let Some(token) = tokens.choose(&mut rng).cloned() else { continue };
            let all_balancers = (0..balancers).chain([0]).collect();
            let stolen = Impostor { balancers: all_balancers, token, kind: TokenKind::Good, stay_ms: 200.0 };
            self.clients.present_token(&stolen);
            let mut forged = stolen.clone();
            forged.kind = TokenKind::Forged;
            // The last letters of base64 may encode padding bits only: a change there may leave the token valid.
            let position = rng.random_range(0..forged.token.len() - 4);
            let replacement = if forged.token.as_bytes()[position] == b'A' { "B" } else { "A" };
            forged.token.replace_range(position..=position, replacement);
            self.clients.present_token(&forged);
            forged.token.truncate(position.max(61));
            self.clients.present_token(&forged);
            let withdrawn = withdrawn_tokens.borrow().choose(&mut rng).cloned();
            if let Some(token) = withdrawn {
                self.clients.present_token(&Impostor { token, kind: TokenKind::Forged, ..stolen });
            }
        }
    }
}
