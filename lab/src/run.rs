//! Runs an experiment.

use crate::balancers::{Balancers, Told};
use crate::experiment::{Experiment, What};
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

/// So long after the end drafters may still see through what they have, in milliseconds.
const SETTLE_MS: f64 = 12_000.0;
/// The old key is withdrawn so long after a new one seals, in milliseconds.
const WITHDRAW_MS: f64 = 3_000.0;

/// How to run it.
pub struct Options {
    /// The program that serves as the daemon when it is given the argument `daemon`.
    pub program: PathBuf,
    /// Where the results go.
    pub folder: PathBuf,
    /// A bug that is planted.
    pub plant: Option<InjectedBug>,
    /// Told once a second, for whoever watches.
    pub progress: fn(&Sample, &str),
}

/// All that an experiment consists of while it runs.
struct Running {
    ledger: Rc<EntryLog>,
    hosts: Rc<Servers>,
    discovery: Rc<Discovery>,
    balancers: Rc<Balancers>,
    clients: Rc<SessionClients>,
    plant: Option<InjectedBug>,
    last_fault: Rc<RefCell<String>>,
    errors: Rc<RefCell<Vec<String>>>,
    /// Drafters see what they have through, and nobody disturbs them any more.
    settling: Cell<bool>,
}

/// Runs an experiment to its end.
///
/// # Errors
/// Fails if it could not be run; that it was run and broke a rule is in the results.
pub async fn run(experiment: &Experiment, options: &Options) -> io::Result<Results> {
    let Experiment { fleet, load, .. } = experiment;
    let ledger = EntryLog::new();
    let mut rng = SmallRng::seed_from_u64(experiment.seed);
    let traits = ServerConfig {
        capacity: fleet.capacity,
        clock_drift: fleet.clock_drift_percent / 100.0,
        injected_bug: options.plant,
    };
    let rate = || rng.random_range(-1.0..=1.0);
    let hosts = Servers::start(ledger.clone(), fleet.hosts, fleet.balancers, traits, rate).await?;
    let zones: Vec<String> = (0..fleet.zones).map(|z| format!("z{z}")).collect();
    let late = f64::from(fleet.late_news_ms);
    let discovery =
        Discovery::start(hosts.clone(), fleet.balancers, zones.clone(), late, ledger.now()).await?;
    let balancers =
        Balancers::new(ledger.clone(), options.program.clone(), options.folder.clone(), fleet.balancers)?;
    let told: Vec<_> = (0..fleet.balancers)
        .map(|b| Told { discovery: discovery.address(b), known: discovery.list(b) })
        .collect();
    let set = &experiment.sessions;
    let sessions = serde_json::json!({"keys": "keys.json", "keepers": set.keepers, "lease_ms": set.lease_ms,
        "token_s": set.token_s});
    balancers.configure(&told, &sessions, &zones)?;
    let balancers = Rc::new(balancers);
    for b in 0..fleet.balancers {
        balancers.start(b).await?;
    }
    // Links to keepers come up within a moment of the start.
    sleep(500.0).await;
    let habits = SessionClientConfig {
        save_interval_ms: load.save_every_ms,
        field_count: load.fields,
        value_bytes: load.value_bytes,
        max_unconfirmed: load.in_flight,
        min_reconnect_delay_ms: 170.0,
        max_reconnect_delay_ms: 1_700.0,
        balancer_count: fleet.balancers,
        answer_timeout_ms: 4_800.0,
        resumes_after_taken: true,
    };
    let began = ledger.now();
    let addresses = balancers.addresses();
    let over_ms = load.over_s * 1_000.0;
    let clients =
        SessionClients::start(ledger.clone(), addresses, load.drafters, habits, experiment.seed, over_ms);
    let running = Rc::new(Running {
        ledger: ledger.clone(),
        hosts,
        discovery,
        balancers: balancers.clone(),
        clients: clients.clone(),
        plant: options.plant,
        last_fault: Rc::default(),
        errors: Rc::default(),
        settling: Cell::default(),
    });
    running.begin(experiment, rng);
    let mut samples = Vec::new();
    for second in 1..=experiment.seconds {
        sleep(began + f64::from(second) * 1_000.0 - ledger.now()).await;
        let (connections, held) = running.hosts.load();
        let sample = Sample { second, working: clients.connected_count(), connections, held };
        (options.progress)(&sample, &running.last_fault.borrow());
        samples.push(sample);
    }
    running.settling.set(true);
    clients.stop_saving();
    let until = ledger.now() + SETTLE_MS;
    while clients.unsettled_count() > 0 && ledger.now() < until {
        sleep(50.0).await;
    }
    let mut errors = running.errors.take();
    errors.extend(balancers.crashed().iter().map(|b| format!("balancer {b} has ended by itself")));
    errors.extend(balancers.panics());
    let entries = ledger.take();
    let cut = |b: usize, from: f64, to: f64| balancers.was_cut(b, from, to);
    Ok(Results::new(experiment, entries, samples, clients.unsettled_count(), errors, cut))
}

impl Running {
    /// Has everything happen in its time that is to happen.
    fn begin(self: &Rc<Self>, experiment: &Experiment, rng: SmallRng) {
        for fault in experiment.faults.clone() {
            let this = self.clone();
            tokio::task::spawn_local(async move {
                sleep(fault.at_s * 1_000.0).await;
                let what = serde_json::to_string(&fault.what).unwrap_or_default();
                this.last_fault.replace(what.clone());
                this.ledger.record("lab", Note::Fault { what });
                if let Err(error) = this.happen(fault.what).await {
                    this.errors.borrow_mut().push(error.to_string());
                }
            });
        }
        let withdrawn = Rc::new(RefCell::new(Vec::new()));
        if let Some(at_s) = experiment.sessions.rotate_keys_at_s {
            let (this, withdrawn) = (self.clone(), withdrawn.clone());
            tokio::task::spawn_local(async move {
                sleep(at_s * 1_000.0).await;
                let old = this.clients.tokens();
                let done = this.rotate().await;
                withdrawn.replace(old);
                this.errors.borrow_mut().extend(done.err().map(|e| e.to_string()));
            });
        }
        if experiment.load.thief_every_ms > 0.0 {
            let (this, every) = (self.clone(), experiment.load.thief_every_ms);
            tokio::task::spawn_local(async move { this.thieves(every, withdrawn, rng).await });
        }
    }

    async fn happen(&self, what: What) -> io::Result<()> {
        match what {
            What::KillHost { host, for_s } => self.hosts.fault(host, ServerFault::Kill(for_s * 1_000.0)),
            What::StallHost { host, for_s } => self.hosts.fault(host, ServerFault::Stall(for_s * 1_000.0)),
            What::Split { host, balancer, for_s } => {
                self.hosts.fault(host, ServerFault::Partition(balancer, for_s * 1_000.0));
            }
            What::Drain { host, for_s } => {
                self.discovery.drain(host, true);
                sleep(for_s * 1_000.0).await;
                self.discovery.drain(host, false);
            }
            What::KillBalancer { balancer, for_s } => self.balancers.kill(balancer, for_s * 1_000.0).await?,
            What::StallBalancer { balancer, for_s } => self.balancers.stall(balancer, for_s * 1_000.0).await,
            What::UpgradeBalancer { balancer } => self.balancers.upgrade(balancer).await?,
        }
        Ok(())
    }

    /// A new key, and then no old one any more: but at balancer 0 if that bug is planted.
    async fn rotate(&self) -> io::Result<()> {
        self.balancers.keys(&[0, 1], |_| true)?;
        sleep(WITHDRAW_MS).await;
        let forgets = self.plant == Some(InjectedBug::ForgedToken);
        self.balancers.keys(&[1], |b| !(forgets && b == 0))
    }

    /// Tokens are shown by those they were not given to: at once at all balancers, changed by a letter,
    /// and those of a key that was withdrawn.
    async fn thieves(&self, every_ms: f64, withdrawn: Rc<RefCell<Vec<String>>>, mut rng: SmallRng) {
        let balancers = self.balancers.addresses().len();
        while !self.settling.get() {
            sleep(every_ms).await;
            let tokens = self.clients.tokens();
            let Some(token) = tokens.choose(&mut rng).cloned() else { continue };
            let all = (0..balancers).chain([0]).collect();
            let stolen = Impostor { balancers: all, token, kind: TokenKind::Good, stay_ms: 200.0 };
            self.clients.present_token(&stolen);
            let mut forged = stolen.clone();
            forged.kind = TokenKind::Forged;
            // The last letters of base64 may stand for bits that are not there.
            let at = rng.random_range(0..forged.token.len() - 4);
            let other = if forged.token.as_bytes()[at] == b'A' { "B" } else { "A" };
            forged.token.replace_range(at..=at, other);
            self.clients.present_token(&forged);
            forged.token.truncate(at.max(61));
            self.clients.present_token(&forged);
            let old = withdrawn.borrow().choose(&mut rng).cloned();
            if let Some(token) = old {
                self.clients.present_token(&Impostor { token, kind: TokenKind::Forged, ..stolen });
            }
        }
    }
}
