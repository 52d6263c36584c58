//! The balancers under test: real processes, killed, stopped and upgraded as the experiment says.

use marllink_emulator::sockets::{EntryLog, sleep};
use rustix::process::{Pid, Signal, kill_process};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

/// A balancer that does not serve by then has failed, in milliseconds.
const START_MS: f64 = 10_000.0;

/// Secrets of this experiment's own keys: drawn once, and worth nothing elsewhere.
const SECRETS: [&str; 2] = [
    "5f0c1b7a99d24e3388a1c6f2740be9d35f0c1b7a99d24e3388a1c6f2740be9d3",
    "a3d8e61f0b9247cc95e27d1840f6b3aaa3d8e61f0b9247cc95e27d1840f6b3aa",
];

/// All balancers of an experiment.
pub struct Balancers {
    ledger: Rc<EntryLog>,
    program: PathBuf,
    folder: PathBuf,
    each: Vec<Balancer>,
    /// When which was cut off, from and to.
    cuts: RefCell<Vec<(usize, f64, f64)>>,
    /// Variables that each is started with besides its own.
    environment: Vec<(String, String)>,
}

struct Balancer {
    listen: SocketAddr,
    child: RefCell<Option<Child>>,
    starts: Cell<u32>,
}

/// What a balancer is told at its start.
pub struct Told {
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The list of form hosts as known.
    pub known: String,
}

impl Balancers {
    /// Balancers with their folders, not started yet. `program` is run with `daemon` as its argument.
    ///
    /// # Errors
    /// Fails if a folder can't be made or no address is free.
    pub fn new(ledger: Rc<EntryLog>, program: PathBuf, folder: PathBuf, count: usize) -> io::Result<Self> {
        let mut each = Vec::<Balancer>::new();
        while each.len() < count {
            // An address that is free may be one that another balancer is about to have, and both could listen there.
            let listen = free()?;
            if each.iter().all(|other| other.listen != listen) {
                std::fs::create_dir_all(folder.join(format!("b{}", each.len())))?;
                each.push(Balancer { listen, child: RefCell::default(), starts: Cell::default() });
            }
        }
        Ok(Self { ledger, program, folder, each, cuts: RefCell::default(), environment: Vec::new() })
    }

    /// The same, started with these variables as well.
    #[must_use]
    pub fn with_environment(mut self, environment: Vec<(String, String)>) -> Self {
        self.environment = environment;
        self
    }

    /// Where clients connect.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.each.iter().map(|b| b.listen).collect()
    }

    /// True if a fault excuses that something asked and ended at these times had no answer.
    #[must_use]
    pub fn was_cut(&self, balancer: usize, from: f64, to: f64) -> bool {
        self.cuts.borrow().iter().any(|(b, f, t)| *b == balancer && *f <= to && *t >= from)
    }

    /// The folder of one.
    pub fn folder_of(&self, n: usize) -> PathBuf {
        self.folder.join(format!("b{n}"))
    }

    /// Writes what each balancer reads at its start.
    ///
    /// # Errors
    /// Fails if a file can't be written.
    pub fn configure(&self, told: &[Told], sessions: &serde_json::Value, zones: &[String]) -> io::Result<()> {
        for (n, Told { discovery, known }) in told.iter().enumerate() {
            let config = serde_json::json!({
                "name": format!("b{n}"), "listen": self.each[n].listen.to_string(),
                "discovery": discovery.to_string(), "seed": format!("{:x}", n + 1),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 20_000},
                "known": serde_json::from_str::<serde_json::Value>(known)?,
                "settings": {
                    "index": n, "balancers": self.each.len(), "zone": n % zones.len(), "azs": zones,
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
            self.lay(n, &config, &serde_json::json!({"sessions": sessions}))?;
        }
        self.keys(&[0], |_| true)
    }

    /// Lays what a balancer reads at its start.
    ///
    /// # Errors
    /// Fails if a file can't be written.
    pub fn lay(&self, n: usize, config: &serde_json::Value, operators: &serde_json::Value) -> io::Result<()> {
        let folder = self.folder_of(n);
        std::fs::write(folder.join("config.json"), config.to_string())?;
        std::fs::write(folder.join("operators.json"), operators.to_string())
    }

    /// Lays a file with these keys, the last of which seals, at each balancer that `at` names.
    ///
    /// # Errors
    /// Fails if a file can't be written.
    pub fn keys(&self, keys: &[usize], at: impl Fn(usize) -> bool) -> io::Result<()> {
        let keys: Vec<_> = keys
            .iter()
            .enumerate()
            .map(|(from, k)| serde_json::json!({"id": k + 1, "seals_from": from, "secret": SECRETS[*k]}))
            .collect();
        for n in (0..self.each.len()).filter(|n| at(*n)) {
            let file = self.folder_of(n).join("keys.json");
            std::fs::write(file, serde_json::json!({"keys": keys}).to_string())?;
            self.signal(n, Signal::HUP);
        }
        Ok(())
    }

    /// Starts one, and waits until it serves.
    ///
    /// # Errors
    /// Fails if it does not; the log tells why.
    pub async fn start(&self, n: usize) -> io::Result<()> {
        let child = self.spawn(n).await?;
        self.each[n].child.replace(Some(child));
        Ok(())
    }

    async fn spawn(&self, n: usize) -> io::Result<Child> {
        let folder = self.folder_of(n);
        let start = self.each[n].starts.replace(self.each[n].starts.get() + 1);
        let log = folder.join(format!("log.{start}"));
        let mut child = Command::new(&self.program)
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
            .stderr(File::create(&log)?)
            .spawn()?;
        let until = self.ledger.now() + START_MS;
        while self.ledger.now() < until {
            let text = std::fs::read_to_string(&log)?;
            if text.contains("listening on") {
                return Ok(child);
            }
            if child.try_wait()?.is_some() {
                return Err(io::Error::other(format!("balancer {n} did not start: {text}")));
            }
            sleep(10.0).await;
        }
        let _ = child.kill();
        Err(io::Error::other(format!("balancer {n} says nothing; see {}", log.display())))
    }

    fn pid(&self, n: usize) -> Option<Pid> {
        self.each[n].child.borrow().as_ref().and_then(|child| Pid::from_raw(child.id() as i32))
    }

    fn signal(&self, n: usize, signal: Signal) {
        if let Some(pid) = self.pid(n) {
            // One that has ended by itself is seen at the end.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills one, and starts it again after so long.
    ///
    /// # Errors
    /// Fails if it does not start again.
    pub async fn kill(&self, n: usize, for_ms: f64) -> io::Result<()> {
        self.halt(n)?;
        sleep(for_ms).await;
        self.back(n).await
    }

    /// Kills one, which stays away until [`Self::back`].
    ///
    /// # Errors
    /// Fails if it can't be killed.
    pub fn halt(&self, n: usize) -> io::Result<()> {
        let from = self.ledger.now();
        if let Some(mut child) = self.each[n].child.take() {
            child.kill()?;
            child.wait()?;
        }
        self.cuts.borrow_mut().push((n, from, f64::INFINITY));
        Ok(())
    }

    /// Starts one again that was killed.
    ///
    /// # Errors
    /// Fails if it does not start.
    pub async fn back(&self, n: usize) -> io::Result<()> {
        self.start(n).await?;
        self.cut_ends(n);
        Ok(())
    }

    /// Stops one for so long.
    pub async fn stall(&self, n: usize, for_ms: f64) {
        self.cuts.borrow_mut().push((n, self.ledger.now(), f64::INFINITY));
        // Another process may have its place by the time it goes on.
        let stopped = self.pid(n);
        if let Some(pid) = stopped {
            let _ = kill_process(pid, Signal::STOP);
        }
        sleep(for_ms).await;
        if let Some(pid) = stopped {
            let _ = kill_process(pid, Signal::CONT);
        }
        self.cut_ends(n);
    }

    fn cut_ends(&self, n: usize) {
        let now = self.ledger.now();
        let mut cuts = self.cuts.borrow_mut();
        cuts.iter_mut()
            .filter(|(b, _, to)| *b == n && to.is_infinite())
            .for_each(|(.., to)| *to = now + 100.0);
    }

    /// Has one read its configuration again.
    pub fn reload(&self, n: usize) {
        self.signal(n, Signal::HUP);
    }

    /// Tells one to end.
    pub fn terminate(&self, n: usize) {
        self.signal(n, Signal::TERM);
    }

    /// Whether one has ended.
    ///
    /// # Errors
    /// Fails if the system does not tell, or it has ended with a failure.
    pub fn has_ended(&self, n: usize) -> io::Result<bool> {
        let mut child = self.each[n].child.borrow_mut();
        let Some(child) = child.as_mut() else { return Ok(true) };
        match child.try_wait()? {
            None => Ok(false),
            Some(status) if status.success() => Ok(true),
            Some(status) => Err(io::Error::other(format!("balancer {n} ended with {status}"))),
        }
    }

    /// Starts another process in the place of one, which is given back.
    ///
    /// # Errors
    /// Fails if the new one does not serve.
    pub async fn replace(&self, n: usize) -> io::Result<Option<Child>> {
        let new = self.spawn(n).await?;
        Ok(self.each[n].child.replace(Some(new)))
    }

    /// Has another process take its place.
    ///
    /// # Errors
    /// Fails if the new one does not serve, or the old one does not end.
    pub async fn upgrade(&self, n: usize) -> io::Result<()> {
        let new = self.spawn(n).await?;
        self.signal(n, Signal::TERM);
        let Some(mut old) = self.each[n].child.replace(Some(new)) else { return Ok(()) };
        for _ in 0..500 {
            if let Some(status) = old.try_wait()? {
                return if status.success() {
                    Ok(())
                } else {
                    Err(io::Error::other(format!("the old balancer {n} ended with {status}")))
                };
            }
            sleep(10.0).await;
        }
        Err(io::Error::other(format!("the old balancer {n} does not end")))
    }

    /// Those that have ended by themselves.
    #[must_use]
    pub fn crashed(&self) -> Vec<usize> {
        let ended = |n: &usize| {
            let mut child = self.each[*n].child.borrow_mut();
            child.as_mut().is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
        };
        (0..self.each.len()).filter(ended).collect()
    }

    /// What of the logs tells of a fault in the program itself.
    #[must_use]
    pub fn panics(&self) -> Vec<String> {
        let mut found = Vec::new();
        for n in 0..self.each.len() {
            for start in 0..self.each[n].starts.get() {
                let log = self.folder_of(n).join(format!("log.{start}"));
                let text = std::fs::read_to_string(&log).unwrap_or_default();
                found.extend(text.lines().filter(|l| l.contains("panicked")).map(|l| format!("b{n}: {l}")));
            }
        }
        found
    }
}

impl Drop for Balancers {
    fn drop(&mut self) {
        for balancer in &self.each {
            if let Some(child) = balancer.child.borrow_mut().as_mut() {
                let _ = (child.kill(), child.wait());
            }
        }
    }
}

/// An address that is free now, of this process's own part of the loopback network: a balancer that is killed leaves its
/// port free for a while, and another run beside this one must not get it.
///
/// # Errors
/// Fails if there is none.
pub fn free() -> io::Result<SocketAddr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    TcpListener::bind((Ipv4Addr::new(127, 96 + high % 32, low, 1), 0))?.local_addr()
}

/// The folder of an experiment's results, empty.
///
/// # Errors
/// Fails if it can't be made.
pub fn folder(root: &Path, name: &str) -> io::Result<PathBuf> {
    let folder = root.join(name);
    match std::fs::remove_dir_all(&folder) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    std::fs::create_dir_all(&folder)?;
    folder.canonicalize()
}
