//! The balancers under test: real processes that can be killed, suspended, restarted and upgraded.

use marllink_emulator::sockets::{EntryLog, sleep};
use rustix::process::{Pid, Signal, kill_process};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

/// Maximum time until a started balancer listens, in milliseconds.
const START_TIMEOUT_MS: f64 = 10_000.0;

/// Secrets of the session keys. They are used in experiments only and protect nothing.
const KEY_SECRETS: [&str; 2] = [
    "5f0c1b7a99d24e3388a1c6f2740be9d35f0c1b7a99d24e3388a1c6f2740be9d3",
    "a3d8e61f0b9247cc95e27d1840f6b3aaa3d8e61f0b9247cc95e27d1840f6b3aa",
];

/// The balancers of an experiment.
pub struct Balancers {
    clock: Rc<EntryLog>,
    daemon_program: PathBuf,
    folder: PathBuf,
    balancers: Vec<Balancer>,
    /// Times at which balancers were killed or suspended: balancer, start and end.
    interruptions: RefCell<Vec<(usize, f64, f64)>>,
    /// Additional environment variables of all balancers.
    environment: Vec<(String, String)>,
}

struct Balancer {
    listen_address: SocketAddr,
    child: RefCell<Option<Child>>,
    start_count: Cell<u32>,
}

/// What a balancer knows about discovery when it starts.
pub struct DiscoveryInfo {
    /// Address of discovery.
    pub address: SocketAddr,
    /// Server list that is written into the balancer's configuration.
    pub known_list: String,
}

impl Balancers {
    /// Creates the folders of the balancers and selects their addresses, without starting them.
    /// `daemon_program` is run with the argument `daemon`.
    ///
    /// # Errors
    /// Fails if a folder can't be created or no address is free.
    pub fn new(
        clock: Rc<EntryLog>,
        daemon_program: PathBuf,
        folder: PathBuf,
        count: usize,
    ) -> io::Result<Self> {
        let mut balancers = Vec::<Balancer>::new();
        while balancers.len() < count {
            // A free port may already be assigned to another balancer that hasn't started yet, and both could listen
            // on it.
            let listen_address = free_address()?;
            if balancers.iter().all(|other| other.listen_address != listen_address) {
                std::fs::create_dir_all(folder.join(format!("b{}", balancers.len())))?;
                balancers.push(Balancer {
                    listen_address,
                    child: RefCell::default(),
                    start_count: Cell::default(),
                });
            }
        }
        Ok(Self {
            clock,
            daemon_program,
            folder,
            balancers,
            interruptions: RefCell::default(),
            environment: Vec::new(),
        })
    }

    /// Sets additional environment variables for all balancers.
    #[must_use]
    pub fn with_environment(mut self, environment: Vec<(String, String)>) -> Self {
        self.environment = environment;
        self
    }

    /// Returns the addresses that the balancers listen on.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.balancers.iter().map(|balancer| balancer.listen_address).collect()
    }

    /// Returns true if the balancer was killed or suspended at any time of this interval, which excuses a
    /// missing answer.
    #[must_use]
    pub fn was_interrupted(&self, balancer: usize, from: f64, to: f64) -> bool {
        self.interruptions
            .borrow()
            .iter()
            .any(|(b, start, end)| *b == balancer && *start <= to && *end >= from)
    }

    /// Returns the folder of a balancer.
    pub fn balancer_folder(&self, balancer: usize) -> PathBuf {
        self.folder.join(format!("b{balancer}"))
    }

    /// Writes the configuration and the keys of all balancers.
    ///
    /// # Errors
    /// Fails if a file can't be written.
    pub fn configure(
        &self,
        discovery_infos: &[DiscoveryInfo],
        sessions: &serde_json::Value,
        zones: &[String],
    ) -> io::Result<()> {
        for (balancer, DiscoveryInfo { address, known_list }) in discovery_infos.iter().enumerate() {
            let config = serde_json::json!({
                "name": format!("b{balancer}"), "listen": self.balancers[balancer].listen_address.to_string(),
                "discovery": address.to_string(), "seed": format!("{:x}", balancer + 1),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 20_000},
                "known": serde_json::from_str::<serde_json::Value>(known_list)?,
                "settings": {
                    "index": balancer, "balancers": self.balancers.len(), "zone": balancer % zones.len(), "azs": zones,
                    "discovery": "on_request",
                    "classes": [
                        {"name": "sheet-view", "goalTimeMs": 800.0, "deadlineMs": 4800.0, "semantics": "repeatable", "importance": 3.0},
                        {"name": "field-save", "goalTimeMs": 800.0, "deadlineMs": 4800.0, "semantics": "repeatable", "importance": 5.0}],
                    "specifics": {"mode": "proxy", "messageAimMs": [100.0, 60.0]},
                    "loadReport": {"how": "on_probe", "fields": ["x0", "rif"]},
                    "bounds": {"connectTimeoutMs": 200.0, "maxAttempts": 5, "mayCancel": true, "mayProbe": true,
                        "retryAfter": true, "maxRetryAfterMs": 2000.0},
                    "invariants": {"askWithinMs": 10000.0, "coldFrom": 0.35, "warmAfterMs": 9000.0,
                        "tipMultiple": 3.0, "overloadForMs": 3000.0},
                    "prices": {"crossZone": 0.16, "moves": 0.02, "probe": 0.002, "lateFail": 0.058}
                }
            });
            self.write_config(balancer, &config, &serde_json::json!({"sessions": sessions}))?;
        }
        self.write_keys(&[0], |_| true)
    }

    /// Writes a balancer's configuration and operators' configuration.
    ///
    /// # Errors
    /// Fails if a file can't be written.
    pub fn write_config(
        &self,
        balancer: usize,
        config: &serde_json::Value,
        operators: &serde_json::Value,
    ) -> io::Result<()> {
        let folder = self.balancer_folder(balancer);
        std::fs::write(folder.join("config.json"), config.to_string())?;
        std::fs::write(folder.join("operators.json"), operators.to_string())
    }

    /// Writes the key file of each balancer that `selects` returns true for, and has the balancer reload it. The
    /// last key seals new tokens.
    ///
    /// # Errors
    /// Fails if a file can't be written.
    pub fn write_keys(&self, keys: &[usize], selects: impl Fn(usize) -> bool) -> io::Result<()> {
        let keys: Vec<_> = keys
            .iter()
            .enumerate()
            .map(|(from, key)| serde_json::json!({"id": key + 1, "seals_from": from, "secret": KEY_SECRETS[*key]}))
            .collect();
        for balancer in (0..self.balancers.len()).filter(|balancer| selects(*balancer)) {
            let file = self.balancer_folder(balancer).join("keys.json");
            std::fs::write(file, serde_json::json!({"keys": keys}).to_string())?;
            self.signal(balancer, Signal::HUP);
        }
        Ok(())
    }

    /// Starts a balancer and waits until it listens.
    ///
    /// # Errors
    /// Fails if the balancer doesn't listen in time; its log says why.
    pub async fn start(&self, balancer: usize) -> io::Result<()> {
        let child = self.spawn(balancer).await?;
        self.balancers[balancer].child.replace(Some(child));
        Ok(())
    }

    async fn spawn(&self, balancer: usize) -> io::Result<Child> {
        let folder = self.balancer_folder(balancer);
        let start =
            self.balancers[balancer].start_count.replace(self.balancers[balancer].start_count.get() + 1);
        let log_path = folder.join(format!("log.{start}"));
        let mut child = Command::new(&self.daemon_program)
            .arg("daemon")
            .env("NODE_CONFIG", folder.join("config.json"))
            .env("MARLLINK_OPERATORS", folder.join("operators.json"))
            .env("TMPDIR", &folder)
            .envs(self.environment.iter().map(|(name, value)| (name, value)))
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env_remove("NODE_ADMIN")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log_path)?)
            .spawn()?;
        let deadline = self.clock.now() + START_TIMEOUT_MS;
        while self.clock.now() < deadline {
            let text = std::fs::read_to_string(&log_path)?;
            if text.contains("listening on") {
                return Ok(child);
            }
            if child.try_wait()?.is_some() {
                return Err(io::Error::other(format!("balancer {balancer} exited during its start: {text}")));
            }
            sleep(10.0).await;
        }
        let _ = child.kill();
        Err(io::Error::other(format!(
            "balancer {balancer} doesn't listen after {START_TIMEOUT_MS:.0} ms; see {}",
            log_path.display()
        )))
    }

    fn pid(&self, balancer: usize) -> Option<Pid> {
        self.balancers[balancer].child.borrow().as_ref().and_then(|child| Pid::from_raw(child.id() as i32))
    }

    fn signal(&self, balancer: usize, signal: Signal) {
        if let Some(pid) = self.pid(balancer) {
            // A balancer that has exited unexpectedly is reported at the end of the run.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a balancer and restarts it after this time.
    ///
    /// # Errors
    /// Fails if the balancer can't be killed or restarted.
    pub async fn kill_for(&self, balancer: usize, for_ms: f64) -> io::Result<()> {
        self.kill(balancer)?;
        sleep(for_ms).await;
        self.restart(balancer).await
    }

    /// Kills a balancer. It stays down until [`Self::restart`].
    ///
    /// # Errors
    /// Fails if the balancer can't be killed.
    pub fn kill(&self, balancer: usize) -> io::Result<()> {
        let from = self.clock.now();
        if let Some(mut child) = self.balancers[balancer].child.take() {
            child.kill()?;
            child.wait()?;
        }
        self.interruptions.borrow_mut().push((balancer, from, f64::INFINITY));
        Ok(())
    }

    /// Restarts a killed balancer.
    ///
    /// # Errors
    /// Fails if the balancer doesn't start.
    pub async fn restart(&self, balancer: usize) -> io::Result<()> {
        self.start(balancer).await?;
        self.end_interruptions(balancer);
        Ok(())
    }

    /// Suspends a balancer with SIGSTOP for this time.
    pub async fn suspend_for(&self, balancer: usize, for_ms: f64) {
        self.interruptions.borrow_mut().push((balancer, self.clock.now(), f64::INFINITY));
        // The process ID is kept for SIGCONT: another process may have replaced this one by then.
        let suspended = self.pid(balancer);
        if let Some(pid) = suspended {
            let _ = kill_process(pid, Signal::STOP);
        }
        sleep(for_ms).await;
        if let Some(pid) = suspended {
            let _ = kill_process(pid, Signal::CONT);
        }
        self.end_interruptions(balancer);
    }

    fn end_interruptions(&self, balancer: usize) {
        let now = self.clock.now();
        let mut interruptions = self.interruptions.borrow_mut();
        interruptions
            .iter_mut()
            .filter(|(b, _, end)| *b == balancer && end.is_infinite())
            .for_each(|(.., end)| *end = now + 100.0);
    }

    /// Has a balancer reload its configuration, with SIGHUP.
    pub fn reload(&self, balancer: usize) {
        self.signal(balancer, Signal::HUP);
    }

    /// Sends SIGTERM to a balancer.
    pub fn terminate(&self, balancer: usize) {
        self.signal(balancer, Signal::TERM);
    }

    /// Returns true if a balancer has exited.
    ///
    /// # Errors
    /// Fails if the status is unavailable, or if the balancer has exited with a failure.
    pub fn has_exited(&self, balancer: usize) -> io::Result<bool> {
        let mut child = self.balancers[balancer].child.borrow_mut();
        let Some(child) = child.as_mut() else { return Ok(true) };
        match child.try_wait()? {
            None => Ok(false),
            Some(status) if status.success() => Ok(true),
            Some(status) => Err(io::Error::other(format!("balancer {balancer} exited with {status}"))),
        }
    }

    /// Starts a new process of a balancer and returns the old one, which still runs.
    ///
    /// # Errors
    /// Fails if the new process doesn't start.
    pub async fn replace(&self, balancer: usize) -> io::Result<Option<Child>> {
        let new = self.spawn(balancer).await?;
        Ok(self.balancers[balancer].child.replace(Some(new)))
    }

    /// Upgrades a balancer: starts a new process, and terminates the old one with SIGTERM.
    ///
    /// # Errors
    /// Fails if the new process doesn't start, or if the old one doesn't exit successfully within 5 s.
    pub async fn upgrade(&self, balancer: usize) -> io::Result<()> {
        let new = self.spawn(balancer).await?;
        self.signal(balancer, Signal::TERM);
        let Some(mut old) = self.balancers[balancer].child.replace(Some(new)) else { return Ok(()) };
        for _ in 0..500 {
            if let Some(status) = old.try_wait()? {
                return if status.success() {
                    Ok(())
                } else {
                    Err(io::Error::other(format!(
                        "the old process of balancer {balancer} exited with {status}"
                    )))
                };
            }
            sleep(10.0).await;
        }
        Err(io::Error::other(format!("the old process of balancer {balancer} doesn't exit")))
    }

    /// Returns the balancers that have exited unexpectedly.
    #[must_use]
    pub fn crashed(&self) -> Vec<usize> {
        let has_exited = |balancer: &usize| {
            let mut child = self.balancers[*balancer].child.borrow_mut();
            child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
        };
        (0..self.balancers.len()).filter(has_exited).collect()
    }

    /// Returns the log lines that report a panic.
    #[must_use]
    pub fn panic_messages(&self) -> Vec<String> {
        let mut messages = Vec::new();
        for balancer in 0..self.balancers.len() {
            for start in 0..self.balancers[balancer].start_count.get() {
                let log_path = self.balancer_folder(balancer).join(format!("log.{start}"));
                let text = std::fs::read_to_string(&log_path).unwrap_or_default();
                messages.extend(
                    text.lines()
                        .filter(|line| line.contains("panicked"))
                        .map(|line| format!("b{balancer}: {line}")),
                );
            }
        }
        messages
    }
}

impl Drop for Balancers {
    fn drop(&mut self) {
        for balancer in &self.balancers {
            if let Some(child) = balancer.child.borrow_mut().as_mut() {
                let _ = (child.kill(), child.wait());
            }
        }
    }
}

/// Returns a free address. It is from a part of the loopback network that depends on this process's ID: the port of
/// a killed balancer is free for a while, and another run on the same machine must not get it.
///
/// # Errors
/// Fails if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    TcpListener::bind((Ipv4Addr::new(127, 96 + high % 32, low, 1), 0))?.local_addr()
}

/// Creates an empty folder for the results of an experiment and returns its path. An old folder of that name is
/// deleted.
///
/// # Errors
/// Fails if the folder can't be deleted or created.
pub fn create_results_folder(root: &Path, name: &str) -> io::Result<PathBuf> {
    let folder = root.join(name);
    match std::fs::remove_dir_all(&folder) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    std::fs::create_dir_all(&folder)?;
    folder.canonicalize()
}
