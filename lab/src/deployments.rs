//! `marllink-lab deployments`: a seeded sample of kinds of deployments, and the real daemon on each for some seconds.

use crate::balancers::free;
use marllink_emulator::platform::rules::{Findings, Rules, check};
use marllink_emulator::platform::{
    ClientPopulation, Discovery, NoteLog, Server, ServerBehavior, State, run_clients,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

/// Form hosts of each.
const HOSTS: usize = 6;
/// Clients come over so many ms, and what goes wrong goes wrong meanwhile.
const OVER_MS: f64 = 2_600.0;
const CLIENTS: usize = 90;
/// A daemon that does not serve by then has failed, in ms.
const START_MS: f64 = 10_000.0;

/// A kind of deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Its number in the sample.
    pub seed: u64,
    pushed: bool,
    reports: bool,
    groups: bool,
    tenants: usize,
    zones: usize,
    attempts: usize,
    grace_ms: f64,
    advice_ms: Option<f64>,
    crossing: f64,
}

impl Deployment {
    /// The one of this number.
    pub fn drawn(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            seed,
            pushed: rng.random(),
            reports: rng.random(),
            groups: rng.random(),
            tenants: rng.random_range(1..=3),
            zones: rng.random_range(1..=5),
            attempts: rng.random_range(2..=5),
            grace_ms: rng.random_range(200.0f64..3_000.0).round(),
            advice_ms: rng.random::<bool>().then(|| rng.random_range(500.0f64..3_000.0).round()),
            crossing: if rng.random() { 0.1 } else { 0.0 },
        }
    }

    /// In a few words.
    pub fn name(&self) -> String {
        let word = |on, yes, no| if on { yes } else { no };
        format!(
            "{:>3}: {}, {}, {}, {} tenants, {} zones, {} attempts, grace {:.0} ms, {}",
            self.seed,
            word(self.pushed, "pushed", "asked"),
            word(self.reports, "reports", "no reports"),
            word(self.groups, "groups", "no groups"),
            self.tenants,
            self.zones,
            self.attempts,
            self.grace_ms,
            word(self.advice_ms.is_some(), "advice", "no advice"),
        )
    }

    fn zone_names(&self) -> Vec<String> {
        (0..self.zones).map(|zone| format!("hall-{zone}")).collect()
    }

    fn tenant_names(&self) -> Vec<String> {
        (0..self.tenants).map(|tenant| format!("firm-{tenant}")).collect()
    }

    fn classes(&self) -> Vec<(String, f64)> {
        vec![("watch".into(), 3_000.0), ("file".into(), 4_500.0)]
    }

    fn rules(&self) -> Rules {
        Rules {
            max_attempts: self.attempts,
            drain_grace_ms: self.grace_ms,
            max_retry_after_ms: self.advice_ms,
            ..Rules::default()
        }
    }

    fn settings(&self) -> Value {
        let class = |(name, wait): &(String, f64)| {
            json!({"name": name, "goalTimeMs": 800.0, "deadlineMs": wait, "semantics": "repeatable",
                "importance": 1.0})
        };
        let account = |name: String| json!({"name": name, "quotaPerS": 10.0});
        let quotas = vec![40.0; self.tenants];
        json!({
            "index": 0, "balancers": 3, "zone": 0, "azs": self.zone_names(),
            "discovery": if self.pushed { "pushed" } else { "on_request" },
            "classes": self.classes().iter().map(class).collect::<Vec<_>>(),
            "accounts": self.tenant_names().into_iter().map(account).collect::<Vec<_>>(),
            "overShareWorth": 0.1,
            "specifics": {"mode": "proxy", "messageAimMs": [150.0, 100.0], "groups": self.groups,
                "tellsDelay": false, "tenantQuotaConnections": quotas},
            "loadReport": if self.reports { json!({"how": "on_probe", "fields": ["x0", "rif"]}) }
                else { json!({"how": "off", "fields": []}) },
            "bounds": {"connectTimeoutMs": 150.0, "maxAttempts": self.attempts, "mayCancel": true,
                "mayProbe": true, "retryAfter": self.advice_ms.is_some(),
                "maxRetryAfterMs": self.advice_ms.unwrap_or(0.0)},
            "invariants": {"askWithinMs": 3000.0, "coldFrom": 0.3, "warmAfterMs": 9000.0, "tipMultiple": 3.0,
                "overloadForMs": 3000.0, "drainGraceMs": self.grace_ms},
            "prices": {"crossZone": self.crossing, "moves": 0.01, "probe": 0.001, "lateFail": 0.03}
        })
    }
}

/// The daemon under test, ended with this.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

/// Runs one deployment. `mum` plants a fault in discovery, which the rules must then find.
///
/// # Errors
/// Fails if the daemon does not start, or ends.
pub async fn run(deployment: &Deployment, folder: &Path, mum: bool) -> std::io::Result<Findings> {
    let folder = folder.join(deployment.seed.to_string());
    std::fs::create_dir_all(&folder)?;
    let book = NoteLog::new();
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let report = deployment.reports.then(|| "x0=0.3,rif=4".to_owned());
        hosts.push(Server::start(book.clone(), number, true, report).await?);
    }
    let discovery = Discovery::start(book.clone(), hosts.clone(), deployment.zone_names(), mum).await?;
    let listen = free()?;
    let known: Value = serde_json::from_str(&discovery.list())?;
    let config = json!({"name": "n0", "listen": listen.to_string(), "discovery": discovery.address().to_string(),
        "seed": format!("{:x}", deployment.seed + 1), "known": known, "settings": deployment.settings(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}});
    std::fs::write(folder.join("config.json"), config.to_string())?;
    let log = folder.join("log");
    let daemon = Command::new(std::env::current_exe()?)
        .arg("daemon")
        .env("NODE_CONFIG", folder.join("config.json"))
        .env("TMPDIR", &folder)
        .env_remove("NODE_LISTEN")
        .env_remove("NODE_DISCOVERY")
        .env_remove("NODE_ADMIN")
        .env_remove("MARLLINK_OPERATORS")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(std::fs::File::create(&log)?)
        .spawn()?;
    let mut daemon = Daemon(daemon);
    let until = book.now() + START_MS;
    while !std::fs::read_to_string(&log)?.contains("listening on") {
        if book.now() > until || daemon.0.try_wait()?.is_some() {
            return Err(std::io::Error::other(format!("it does not serve; see {}", log.display())));
        }
        pause(10.0).await;
    }
    let habits = ClientPopulation {
        count: CLIENTS,
        arrival_ms: OVER_MS,
        classes: deployment.classes(),
        tenants: deployment.tenant_names(),
        group_count: if deployment.groups { 4 } else { 0 },
        max_stay_ms: 1_500.0,
    };
    let mut rng = SmallRng::seed_from_u64(deployment.seed);
    let faults = tokio::task::spawn_local(go_wrong(hosts, discovery));
    run_clients(book.clone(), listen, &habits, &mut rng).await;
    let _ = faults.await;
    let mut found = check(&book.notes(), &deployment.rules());
    if daemon.0.try_wait()?.is_some() {
        found.violations.push("the daemon has ended".into());
    }
    if std::fs::read_to_string(&log)?.contains("panicked") {
        found.violations.push(format!("a task has panicked; see {}", log.display()));
    }
    if found.served * 2 < found.requests {
        found.violations.push(format!(
            "{} of {} served, with a host or two sound all the time",
            found.served, found.requests
        ));
    }
    Ok(found)
}

/// What goes wrong on each: one drains, one is deleted and ends, others turn away, fail, break off or say nothing.
async fn go_wrong(hosts: Vec<Rc<Server>>, discovery: Rc<Discovery>) {
    pause(300.0).await;
    hosts[0].set_behavior(ServerBehavior::Busy);
    hosts[1].set_behavior(ServerBehavior::Errs);
    pause(300.0).await;
    discovery.set_state(2, State::Draining);
    hosts[3].set_behavior(ServerBehavior::Resets);
    pause(300.0).await;
    hosts[0].set_behavior(ServerBehavior::Serves);
    hosts[1].set_behavior(ServerBehavior::Mute);
    discovery.set_state(3, State::Deleted);
    hosts[3].stop();
    pause(600.0).await;
    hosts[1].set_behavior(ServerBehavior::Serves);
    discovery.set_state(4, State::Draining);
    pause(500.0).await;
    discovery.set_state(2, State::Serving);
}

async fn pause(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms / 1_000.0)).await;
}

/// Runs so many deployments from this number on, some at a time; true if no rule was broken on any.
///
/// # Errors
/// Fails if one of them can't be run.
pub fn sample(first: u64, count: u64, folder: &Path, mum: bool) -> Result<bool, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let mut kept = true;
    let mut late = 0;
    for seed in first..first + count {
        let deployment = Deployment::drawn(seed);
        let local = tokio::task::LocalSet::new();
        let found = local.block_on(&runtime, run(&deployment, folder, mum));
        let found = found.map_err(|e| format!("{}: {e}", deployment.name()))?;
        println!(
            "{}: {} of {} served, {} sent",
            deployment.name(),
            found.served,
            found.requests,
            found.attempts
        );
        found.violations.iter().take(5).for_each(|broken| println!("     BROKEN {broken}"));
        // A bound on time may hang on the machine's load, and says so.
        found.late.iter().take(3).for_each(|late| println!("     late {late}"));
        kept &= found.violations.is_empty();
        late += found.late.len();
    }
    println!(
        "deployments: {}{}",
        if kept { "kept" } else { "BROKEN" },
        match late {
            0 => String::new(),
            late => format!(", {late} answers late: a loaded machine, or a fault"),
        }
    );
    Ok(kept)
}
