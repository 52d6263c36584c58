//! What the cases share: the record, the balancer's processes, a discovery service and a client.

use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Error, Result, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Processes that were started and not waited for yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The longest time of a run.
const LONGEST_RUN: Duration = Duration::from_secs(112);

/// The exit statuses of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// What a case works with.
#[derive(Clone)]
pub struct Env {
    pub root: PathBuf,
    pub run: String,
    pub temporary: PathBuf,
    pub trouble: String,
    record: Rc<RefCell<File>>,
    origin: Instant,
}

impl Env {
    /// Reads the environment that `run-case-2.sh` sets.
    pub fn new() -> Result<Self> {
        let var = |name: &str| std::env::var(name).map_err(|_| Error::other(format!("{name} is not set")));
        let record = Rc::new(RefCell::new(File::create(var("CASE_RECORD")?)?));
        Ok(Self {
            root: var("CASE_ROOT")?.into(),
            run: var("CASE_RUN")?,
            temporary: var("CASE_TEMPORARY")?.into(),
            trouble: std::env::var("TROUBLE").unwrap_or_else(|_| "1".into()),
            record,
            origin: Instant::now(),
        })
    }

    pub fn has_trouble(&self) -> bool {
        self.trouble != "0"
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1_000.0
    }

    /// Writes a line of the record.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.1} {}\n", self.now(), text.as_ref());
        print!("{line}");
        let _ = self.record.borrow_mut().write_all(line.as_bytes());
    }
}

/// Ends the run if it takes too long.
pub fn watchdog() {
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        eprintln!("the run took too long");
        kill_all();
        std::process::exit(2);
    });
}

/// Kills all processes that were started.
pub fn kill_all() {
    let started = std::mem::take(&mut *STARTED.lock().expect("no thread panics with the lock"));
    for pid in started {
        signal(pid, "KILL");
    }
}

/// Sends a signal to a process that this run has started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
}

pub async fn sleep(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms.max(0.0) / 1_000.0)).await;
}

/// Returns a seed that is new with each configuration.
fn seed(name: &str, start: u64) -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one((name, start))
}

/// Returns a free loopback address.
pub fn free_address() -> Result<SocketAddr> {
    std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

/// One balancer: its folder, its configuration and its process.
pub struct Balancer {
    env: Env,
    pub name: String,
    folder: PathBuf,
    pub listen: SocketAddr,
    child: RefCell<Option<Child>>,
    starts: Cell<u64>,
}

impl Balancer {
    pub fn new(env: &Env, name: &str) -> Result<Self> {
        let folder = env.temporary.join(name);
        std::fs::create_dir_all(folder.join("tmp"))?;
        Ok(Self {
            env: env.clone(),
            name: name.into(),
            folder,
            listen: free_address()?,
            child: RefCell::default(),
            starts: Cell::default(),
        })
    }

    /// Writes a file into the balancer's folder.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Writes its configuration. The settings are those of `examples/config.json` with some changes.
    pub fn configure(&self, discovery: SocketAddr, known: Value, change: impl Fn(&mut Value)) -> Result<()> {
        self.starts.set(self.starts.get() + 1);
        let mut config: Value =
            serde_json::from_slice(&std::fs::read(self.env.root.join("examples/config.json"))?)?;
        config["name"] = json!(self.name);
        config["listen"] = json!(self.listen.to_string());
        config["discovery"] = json!(discovery.to_string());
        config["seed"] = json!(format!("{:x}", seed(&self.name, self.starts.get())));
        config["known"] = known;
        config.as_object_mut().expect("an object").remove("admin");
        change(&mut config["settings"]);
        self.write("config.json", &serde_json::to_string_pretty(&config)?).map(drop)
    }

    /// Starts a process with the command of the deploy file, and waits until it answers `PING`.
    pub async fn start(&self, operators: Option<&Path>) -> Result<()> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&self.env.run).current_dir(&self.env.root);
        command.env("NODE_CONFIG", self.folder.join("config.json")).env("TMPDIR", self.folder.join("tmp"));
        command.env("MARLLINK_LOG", std::env::var("MARLLINK_LOG").unwrap_or_else(|_| "info".into()));
        if let Some(operators) = operators {
            command.env("MARLLINK_OPERATORS", operators);
        }
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        STARTED.lock().expect("no thread panics with the lock").push(child.id());
        // For the script, in case this process is ended from outside.
        let mut pids =
            std::fs::OpenOptions::new().create(true).append(true).open(self.env.temporary.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.env.note(format!("{}: started", self.name));
        self.child.replace(Some(child));
        for _ in 0..200 {
            if let Ok(mut client) = Client::connect(self.listen).await
                && client.send("PING").await.is_ok()
                && client.line(1_000.0).await.as_deref() == Some("PONG")
            {
                return Ok(());
            }
            sleep(50.0).await;
        }
        Err(Error::other(format!("{} does not answer PING", self.name)))
    }

    /// Sends a signal to its process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.borrow() {
            self.env.note(format!("{}: SIG{name}", self.name));
            signal(child.id(), name);
        }
    }

    /// Kills its process.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.take() {
            self.env.note(format!("{}: SIGKILL", self.name));
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().expect("no thread panics with the lock").retain(|pid| *pid != child.id());
        }
    }

    /// Copies the last lines of its log that contain one of these words into the record.
    pub fn note_log(&self, words: &[&str]) {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        for line in log.lines().filter(|line| words.iter().any(|word| line.contains(word))).take(60) {
            self.env.note(format!("{}: log: {}", self.name, line.trim()));
        }
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A client's connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let connected = timeout(Duration::from_secs(3), TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| Error::other("no connection in time"))??;
        let _ = stream.set_nodelay(true);
        Ok(Self { stream: BufReader::new(stream) })
    }

    pub async fn send(&mut self, line: &str) -> Result<()> {
        self.stream.write_all(format!("{line}\r\n").as_bytes()).await
    }

    /// Returns the next line, or `None` at the end of the connection or if none comes in time.
    pub async fn line(&mut self, ms: f64) -> Option<String> {
        let mut line = String::new();
        match timeout(Duration::from_secs_f64(ms / 1_000.0), self.stream.read_line(&mut line)).await {
            Ok(Ok(n)) if n > 0 => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }

    /// Returns true if the connection has ended.
    pub async fn has_ended(&mut self) -> bool {
        let read = timeout(Duration::from_millis(1), self.stream.fill_buf()).await;
        matches!(read, Ok(Ok([])) | Ok(Err(_)))
    }

    /// Reads lines until one begins with this word.
    pub async fn line_with(&mut self, word: &str, ms: f64) -> Option<String> {
        let until = Instant::now() + Duration::from_secs_f64(ms / 1_000.0);
        loop {
            let left = until.saturating_duration_since(Instant::now()).as_secs_f64() * 1_000.0;
            let line = self.line(left).await?;
            if line.split(' ').next() == Some(word) {
                return Some(line);
            }
        }
    }
}

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub az: String,
    pub state: &'static str,
    pub boot_ms: u64,
    pub weight: f64,
}

impl Target {
    pub fn new(uid: &str, endpoint: SocketAddr, az: &str) -> Self {
        let (uid, az) = (uid.to_owned(), az.to_owned());
        Self { uid, endpoint, az, state: "SERVING", boot_ms: 0, weight: 1.0 }
    }

    fn json(&self) -> Value {
        json!({"uid": self.uid, "endpoint": self.endpoint.to_string(), "az": self.az, "model": "m", "pod_group": 0,
            "state": self.state, "capacity_hint": self.weight, "boot_ms": self.boot_ms})
    }
}

/// A discovery service, as the protocol page describes it: the whole list, and a watch whose first item holds what
/// has changed since the version that the caller names. A caller that names no version of its history gets the
/// whole list.
pub struct Discovery {
    env: Env,
    pub name: String,
    pub address: SocketAddr,
    targets: RefCell<BTreeMap<String, (u64, Target)>>,
    first_rev: u64,
    rev: Cell<u64>,
    changed: Notify,
}

impl Discovery {
    /// Starts the service at a version; its history begins at `first_rev`.
    pub async fn start(env: &Env, name: &str, first_rev: u64) -> Result<Rc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let this = Rc::new(Self {
            env: env.clone(),
            name: name.into(),
            address: listener.local_addr()?,
            targets: RefCell::default(),
            first_rev,
            rev: Cell::new(first_rev),
            changed: Notify::new(),
        });
        let discovery = this.clone();
        tokio::task::spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let discovery = discovery.clone();
                tokio::task::spawn_local(async move {
                    let _ = discovery.serve(stream).await;
                });
            }
        });
        Ok(this)
    }

    pub fn rev(&self) -> u64 {
        self.rev.get()
    }

    /// Changes one entry, in the next version.
    pub fn set(&self, target: Target) {
        self.rev.set(self.rev.get() + 1);
        self.targets.borrow_mut().insert(target.uid.clone(), (self.rev.get(), target));
        self.changed.notify_waiters();
    }

    pub fn set_state(&self, uid: &str, state: &'static str) {
        let target = self.targets.borrow().get(uid).map(|(_, target)| target.clone());
        if let Some(target) = target {
            self.set(Target { state, ..target });
        }
    }

    /// Skips versions, as if other entries had changed and changed back.
    pub fn skip_to(&self, rev: u64) {
        self.rev.set(rev.max(self.rev.get()));
    }

    /// Returns the entries that changed after a version, or the whole list.
    pub fn list(&self, after: Option<u64>) -> String {
        let after = after.filter(|after| (self.first_rev..=self.rev.get()).contains(after));
        let targets = self.targets.borrow();
        let changed = targets.values().filter(|(rev, target)| match after {
            Some(after) => *rev > after,
            None => target.state != "DELETED",
        });
        let changed: Vec<_> = changed.map(|(_, target)| target.json()).collect();
        json!({"rev": self.rev.get(), "all": after.is_none(), "targets": changed}).to_string()
    }

    async fn serve(&self, stream: TcpStream) -> Result<()> {
        let mut stream = BufReader::new(stream);
        let mut request = String::new();
        stream.read_line(&mut request).await?;
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 0 && !line.trim_end().is_empty() {
            line.clear();
        }
        if !request.contains("watch=1") {
            let body = self.list(None);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            return stream.write_all((head + &body).as_bytes()).await;
        }
        let after =
            request.split("after=").nth(1).and_then(|text| text.split([' ', '&']).next()?.parse().ok());
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut text = self.list(after);
        self.env.note(format!("{}: watch after {after:?}, answered {text}", self.name));
        let mut sent = self.rev.get();
        loop {
            let changed = self.changed.notified();
            stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await?;
            if self.rev.get() == sent {
                tokio::select! {
                    () = changed => {}
                    () = sleep(2_000.0) => {}
                }
            }
            text = if self.rev.get() == sent { String::new() } else { self.list(Some(sent)) };
            sent = self.rev.get();
        }
    }
}
