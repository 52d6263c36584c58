//! `marllink-lab deployments`: runs the real daemon for a few seconds on each of several randomly drawn deployments.

use crate::balancers::free_address;
use crate::daemon::{CONFIG_FILE, Daemon};
use marllink_emulator::platform::rules::{Findings, Rules, check};
use marllink_emulator::platform::{
    ClientPopulation, Discovery, NoteLog, Server, ServerBehavior, State, run_clients,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// Number of servers in each deployment.
const SERVER_COUNT: usize = 6;
/// Time over which clients arrive, in milliseconds. The faults happen within it.
const ARRIVAL_MS: f64 = 2_600.0;
const CLIENT_COUNT: usize = 90;

/// A randomly drawn deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Seed that the deployment is drawn from, and its number in the sample.
    pub seed: u64,
    pushes_list: bool,
    reports_load: bool,
    has_groups: bool,
    tenant_count: usize,
    zone_count: usize,
    max_attempts: usize,
    drain_grace_ms: f64,
    max_retry_after_ms: Option<f64>,
    cross_zone_price: f64,
}

impl Deployment {
    /// Draws the deployment of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            seed,
            pushes_list: rng.random(),
            reports_load: rng.random(),
            has_groups: rng.random(),
            tenant_count: rng.random_range(1..=3),
            zone_count: rng.random_range(1..=5),
            max_attempts: rng.random_range(2..=5),
            drain_grace_ms: rng.random_range(200.0f64..3_000.0).round(),
            max_retry_after_ms: rng.random::<bool>().then(|| rng.random_range(500.0f64..3_000.0).round()),
            cross_zone_price: if rng.random() { 0.1 } else { 0.0 },
        }
    }

    /// Returns a short description.
    pub fn name(&self) -> String {
        let choose = |condition, yes, no| if condition { yes } else { no };
        format!(
            "{:>3}: {}, {}, {}, {} tenants, {} zones, {} attempts, grace {:.0} ms, {}",
            self.seed,
            choose(self.pushes_list, "pushed", "asked"),
            choose(self.reports_load, "reports", "no reports"),
            choose(self.has_groups, "groups", "no groups"),
            self.tenant_count,
            self.zone_count,
            self.max_attempts,
            self.drain_grace_ms,
            choose(self.max_retry_after_ms.is_some(), "advice", "no advice"),
        )
    }

    fn zone_names(&self) -> Vec<String> {
        (0..self.zone_count).map(|zone| format!("hall-{zone}")).collect()
    }

    fn tenant_names(&self) -> Vec<String> {
        (0..self.tenant_count).map(|tenant| format!("firm-{tenant}")).collect()
    }

    fn classes(&self) -> Vec<(String, f64)> {
        vec![("watch".into(), 3_000.0), ("file".into(), 4_500.0)]
    }

    fn rules(&self) -> Rules {
        Rules {
            max_attempts: self.max_attempts,
            drain_grace_ms: self.drain_grace_ms,
            max_retry_after_ms: self.max_retry_after_ms,
            ..Rules::default()
        }
    }

    fn settings(&self) -> Value {
        let class = |(name, wait): &(String, f64)| {
            json!({"name": name, "goalTimeMs": 800.0, "deadlineMs": wait, "semantics": "repeatable",
                "importance": 1.0})
        };
        let account = |name: String| json!({"name": name, "quotaPerS": 10.0});
        let quotas = vec![40.0; self.tenant_count];
        json!({
            "index": 0, "balancers": 3, "zone": 0, "azs": self.zone_names(),
            "discovery": if self.pushes_list { "pushed" } else { "on_request" },
            "classes": self.classes().iter().map(class).collect::<Vec<_>>(),
            "accounts": self.tenant_names().into_iter().map(account).collect::<Vec<_>>(),
            "overShareWorth": 0.1,
            "specifics": {"mode": "proxy", "messageAimMs": [150.0, 100.0], "groups": self.has_groups,
                "tellsDelay": false, "tenantQuotaConnections": quotas},
            "loadReport": if self.reports_load { json!({"how": "on_probe", "fields": ["x0", "rif"]}) }
                else { json!({"how": "off", "fields": []}) },
            "bounds": {"connectTimeoutMs": 150.0, "maxAttempts": self.max_attempts, "mayCancel": true,
                "mayProbe": true, "retryAfter": self.max_retry_after_ms.is_some(),
                "maxRetryAfterMs": self.max_retry_after_ms.unwrap_or(0.0)},
            "invariants": {"askWithinMs": 3000.0, "coldFrom": 0.3, "warmAfterMs": 9000.0, "tipMultiple": 3.0,
                "overloadForMs": 3000.0, "drainGraceMs": self.drain_grace_ms},
            "prices": {"crossZone": self.cross_zone_price, "moves": 0.01, "probe": 0.001, "lateFail": 0.03}
        })
    }
}

/// Runs one deployment. `hides_drains` injects a bug into discovery that the checker must find: it records drains as
/// sent without sending them.
///
/// # Errors
/// Fails if the daemon doesn't start.
pub async fn run(deployment: &Deployment, folder: &Path, hides_drains: bool) -> std::io::Result<Findings> {
    let folder = folder.join(deployment.seed.to_string());
    std::fs::create_dir_all(&folder)?;
    let note_log = NoteLog::new();
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        let report = deployment.reports_load.then(|| "x0=0.3,rif=4".to_owned());
        servers.push(Server::start(note_log.clone(), number, true, report).await?);
    }
    let discovery =
        Discovery::start(note_log.clone(), servers.clone(), deployment.zone_names(), hides_drains).await?;
    let listen_address = free_address()?;
    let known_list: Value = serde_json::from_str(&discovery.list())?;
    let config = json!({"name": "n0", "listen": listen_address.to_string(), "discovery": discovery.address().to_string(),
        "seed": format!("{:x}", deployment.seed + 1), "known": known_list, "settings": deployment.settings(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}});
    std::fs::write(folder.join(CONFIG_FILE), config.to_string())?;
    let mut daemon = Daemon::start(&folder).await?;
    let population = ClientPopulation {
        count: CLIENT_COUNT,
        arrival_ms: ARRIVAL_MS,
        classes: deployment.classes(),
        tenants: deployment.tenant_names(),
        group_count: if deployment.has_groups { 4 } else { 0 },
        max_stay_ms: 1_500.0,
    };
    let mut rng = SmallRng::seed_from_u64(deployment.seed);
    let faults = tokio::task::spawn_local(inject_faults(servers, discovery));
    run_clients(note_log.clone(), listen_address, &population, &mut rng).await;
    let _ = faults.await;
    let mut findings = check(&note_log.notes(), &deployment.rules());
    if daemon.has_exited()? {
        findings.violations.push("the daemon exited unexpectedly".into());
    }
    if daemon.log_contains("panicked")? {
        findings.violations.push(format!("a task panicked; see {}", daemon.log_path().display()));
    }
    if findings.served * 2 < findings.requests {
        findings.violations.push(format!(
            "only {} of {} requests served, with healthy servers available at all times",
            findings.served, findings.requests
        ));
    }
    Ok(findings)
}

/// Injects the same faults into each deployment: servers drain, are deleted and stop, reject or fail requests, reset
/// connections and become unresponsive.
async fn inject_faults(servers: Vec<Rc<Server>>, discovery: Rc<Discovery>) {
    sleep_ms(300.0).await;
    servers[0].set_behavior(ServerBehavior::Busy);
    servers[1].set_behavior(ServerBehavior::Errs);
    sleep_ms(300.0).await;
    discovery.set_state(2, State::Draining);
    servers[3].set_behavior(ServerBehavior::Resets);
    sleep_ms(300.0).await;
    servers[0].set_behavior(ServerBehavior::Serves);
    servers[1].set_behavior(ServerBehavior::Mute);
    discovery.set_state(3, State::Deleted);
    servers[3].stop();
    sleep_ms(600.0).await;
    servers[1].set_behavior(ServerBehavior::Serves);
    discovery.set_state(4, State::Draining);
    sleep_ms(500.0).await;
    discovery.set_state(2, State::Serving);
}

async fn sleep_ms(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms / 1_000.0)).await;
}

/// Runs `count` deployments, beginning with the seed `first`. Returns true if no deployment violated a rule.
///
/// # Errors
/// Fails if a deployment can't be run.
pub fn run_sample(first: u64, count: u64, folder: &Path, hides_drains: bool) -> Result<bool, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let mut passed = true;
    let mut late_count = 0;
    for seed in first..first + count {
        let deployment = Deployment::draw(seed);
        let local_set = tokio::task::LocalSet::new();
        let findings = local_set.block_on(&runtime, run(&deployment, folder, hides_drains));
        let findings = findings.map_err(|e| format!("{}: {e}", deployment.name()))?;
        println!(
            "{}: {} of {} served, {} sent",
            deployment.name(),
            findings.served,
            findings.requests,
            findings.attempts
        );
        findings.violations.iter().take(5).for_each(|violation| println!("     BROKEN {violation}"));
        // Late answers are reported only, because they may be caused by load on this machine.
        findings.late.iter().take(3).for_each(|late| println!("     late {late}"));
        passed &= findings.violations.is_empty();
        late_count += findings.late.len();
    }
    println!(
        "deployments: {}{}",
        if passed { "kept" } else { "BROKEN" },
        match late_count {
            0 => String::new(),
            late_count => format!(", {late_count} late answers, caused by a loaded machine or a fault"),
        }
    );
    Ok(passed)
}
