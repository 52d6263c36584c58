//! `marllink-lab noisy-clients`: what clients that are slow, unfinished or noisy cost the balancer in memory, and
//! other clients in service.

use crate::balancers::free_address;
use crate::daemon::{CONFIG_FILE, Daemon};
use marllink_emulator::platform::{Discovery, NoteLog, Server, UNANSWERED_PREFIX};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Limit of the balancer's memory, as on the deployment page, in MB.
const MEMORY_LIMIT_MB: u64 = 192;
/// Maximum time until an ordinary client is served: the goal of its class in the settings, in milliseconds.
const SETUP_GOAL_MS: f64 = 800.0;
/// Time that an ordinary client waits to be served, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Minimum share of the ordinary clients that is served in each phase: servers are healthy at all times.
const MIN_SERVED_RATIO: f64 = 0.99;
const SERVER_COUNT: usize = 2;
/// Number of ordinary clients at the same time.
const ORDINARY_CLIENTS: u64 = 20;
/// Number of lines that an ordinary client exchanges with its server, and the pause between them.
const LINES: usize = 5;
const LINE_INTERVAL: Duration = Duration::from_millis(20);
/// Time until an ordinary client comes again.
const RETURN_AFTER: Duration = Duration::from_millis(50);
/// Number of clients that are slow or unfinished.
const SLOW_CLIENTS: u64 = 450;
/// Interval at which a slow client writes a byte.
const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the part of a request that an unfinished client sends, just below the limit of a line, in bytes.
const UNFINISHED_BYTES: usize = 4_000;
/// Number of lines that a noisy client writes at a time.
const NOISE_BATCH_LINES: usize = 64;
/// First id of the noisy clients' requests, above those of the ordinary ones.
const FIRST_NOISY_ID: u64 = 1 << 40;
/// Interval at which the noisy clients check whether to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const QUIET_PHASE: Duration = Duration::from_secs(3);
const NOISY_PHASE: Duration = Duration::from_secs(8);

/// What one noisy client does until it is stopped.
type NoisyClient = Pin<Box<dyn Future<Output = std::io::Result<()>>>>;

/// What the other clients do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Noise {
    /// Hundreds of clients write a byte of their request now and then.
    SlowRequests,
    /// Hundreds of clients stop half way through a request of very many short fields.
    UnfinishedRequests,
    /// One client sends short lines at full speed on one connection, which its server reads and never answers.
    UnansweredLines,
    /// One client sends health checks at full speed, on a new connection whenever one is closed.
    HealthChecks,
    /// One client sends malformed requests at full speed, on a new connection whenever one is closed.
    MalformedRequests,
    /// One client requests ever new classes at full speed, on a new connection each time.
    UnknownClasses,
}

/// What ordinary clients saw in a phase.
#[derive(Clone, Debug, Default)]
struct Service {
    served_after_ms: Vec<f64>,
    unserved: usize,
}

impl Service {
    fn served_ratio(&self) -> f64 {
        self.served_after_ms.len() as f64 / (self.served_after_ms.len() + self.unserved).max(1) as f64
    }

    /// Returns the 99th percentile of the time until a client was served, in milliseconds.
    fn p99_ms(&self) -> f64 {
        let mut times = self.served_after_ms.clone();
        times.sort_by(f64::total_cmp);
        times.get((times.len() * 99).div_ceil(100).saturating_sub(1)).copied().unwrap_or(f64::INFINITY)
    }

    fn keeps_bounds(&self) -> bool {
        self.served_ratio() >= MIN_SERVED_RATIO && self.p99_ms() <= SETUP_GOAL_MS
    }

    fn describe(&self, phase: &str) -> String {
        let (served, ratio) = (self.served_after_ms.len(), self.served_ratio());
        format!(
            "{phase}: {served} served ({:.1}%), {} not, p99 {:.0} ms",
            100.0 * ratio,
            self.unserved,
            self.p99_ms()
        )
    }
}

/// Tasks that end when this is dropped.
#[derive(Default)]
struct Tasks(Vec<JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.drain(..).for_each(|task| task.abort());
    }
}

/// Runs the experiment for each kind of noise, or for one. Returns true if all bounds hold.
///
/// # Errors
/// Fails if a run can't be made.
pub fn run(noise: Option<Noise>, folder: &Path) -> Result<bool, String> {
    let all = <Noise as clap::ValueEnum>::value_variants();
    let mut passed = true;
    for noise in all.iter().filter(|kind| noise.is_none_or(|noise| noise == **kind)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let local_set = tokio::task::LocalSet::new();
        let kept = local_set.block_on(&runtime, run_one(*noise, folder)).map_err(|e| e.to_string())?;
        passed &= kept;
    }
    println!("noisy-clients: {}", if passed { "kept" } else { "BROKEN" });
    Ok(passed)
}

async fn run_one(noise: Noise, folder: &Path) -> std::io::Result<bool> {
    let folder = folder.join(format!("noisy-clients-{noise:?}"));
    std::fs::create_dir_all(&folder)?;
    let log = NoteLog::new();
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        servers.push(Server::start(log.clone(), number, true, None).await?);
    }
    let discovery = Discovery::start(log, servers.clone(), vec!["a".into()], false).await?;
    let address = free_address()?;
    let known: Value = serde_json::from_str(&discovery.list())?;
    let config = json!({"name": "n0", "listen": address.to_string(),
        "discovery": discovery.address().to_string(), "seed": "1", "known": known, "settings": settings(),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 1024}});
    std::fs::write(folder.join(CONFIG_FILE), config.to_string())?;
    let mut daemon = Daemon::start(&folder).await?;

    let service = Rc::new(RefCell::new(Service::default()));
    let ids = Rc::new(Cell::new(1));
    let mut ordinary = Tasks::default();
    for _ in 0..ORDINARY_CLIENTS {
        let (service, ids) = (service.clone(), ids.clone());
        ordinary.0.push(tokio::task::spawn_local(ordinary_client(address, service, ids)));
    }
    tokio::time::sleep(QUIET_PHASE).await;
    let before = service.take();
    let noisy = NoiseThread::start(noise, address);
    tokio::time::sleep(NOISY_PHASE).await;
    let during = service.take();
    drop(noisy);
    tokio::time::sleep(QUIET_PHASE).await;
    let after = service.take();
    if daemon.has_exited()? {
        println!("{noise:?}: BROKEN, the daemon has ended");
        return Ok(false);
    }
    let peak_mb = daemon.peak_memory_bytes()? / 1_000_000;
    let kept = peak_mb <= MEMORY_LIMIT_MB && [&before, &during, &after].iter().all(|s| s.keeps_bounds());
    println!("{noise:?}: {}, peak memory {peak_mb} MB", if kept { "kept" } else { "BROKEN" });
    for (phase, service) in [("before", before), ("during", during), ("after", after)] {
        println!("     {}", service.describe(phase));
    }
    Ok(kept)
}

fn settings() -> Value {
    json!({"index": 0, "balancers": 1, "zone": 0, "azs": ["a"], "discovery": "on_request",
        "classes": [{"name": "chat", "goalTimeMs": SETUP_GOAL_MS, "deadlineMs": DEADLINE_MS,
            "semantics": "repeatable", "importance": 1.0}],
        "specifics": {"mode": "proxy", "messageAimMs": [100.0]},
        "bounds": {"connectTimeoutMs": 200.0, "maxAttempts": 3, "mayCancel": true, "retryAfter": true,
            "maxRetryAfterMs": 2000.0},
        "invariants": {"askWithinMs": 10000.0, "coldFrom": 0.3, "warmAfterMs": 9000.0, "tipMultiple": 3.0,
            "overloadForMs": 3000.0}})
}

fn next_id(ids: &Cell<u64>) -> u64 {
    ids.replace(ids.get() + 1)
}

fn request_line(id: u64, class: &str) -> String {
    format!("OPEN {id:x} {id:x} c={class},d={DEADLINE_MS},g={id:x}\r\n")
}

/// Connects, exchanges a few lines and leaves, again and again.
async fn ordinary_client(address: SocketAddr, service: Rc<RefCell<Service>>, ids: Rc<Cell<u64>>) {
    loop {
        let started_at = Instant::now();
        let served = converse(address, next_id(&ids), &service, started_at).await;
        if served.is_err() {
            service.borrow_mut().unserved += 1;
        }
        tokio::time::sleep(RETURN_AFTER).await;
    }
}

async fn converse(
    address: SocketAddr,
    id: u64,
    service: &RefCell<Service>,
    started_at: Instant,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(TcpStream::connect(address).await?);
    stream.write_all(request_line(id, "chat").as_bytes()).await?;
    expect_line(&mut stream, "UP ").await?;
    service.borrow_mut().served_after_ms.push(started_at.elapsed().as_secs_f64() * 1_000.0);
    for _ in 0..LINES {
        if stream.write_all(b"hello\r\n").await.is_err() || expect_line(&mut stream, "hello").await.is_err() {
            // Moved or cut off after it was served.
            return Ok(());
        }
        tokio::time::sleep(LINE_INTERVAL).await;
    }
    Ok(())
}

async fn expect_line(stream: &mut BufReader<TcpStream>, prefix: &str) -> std::io::Result<()> {
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    if line.starts_with(prefix) { Ok(()) } else { Err(std::io::Error::other(line)) }
}

/// Noisy clients on a thread of their own, so that they cost ordinary clients nothing here. They end when this is
/// dropped.
struct NoiseThread {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl NoiseThread {
    fn start(noise: Noise, address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("the system has resources for an event loop");
            tokio::task::LocalSet::new().block_on(&runtime, async {
                let _tasks = start_noise(noise, address);
                while !stopped.load(Ordering::Relaxed) {
                    tokio::time::sleep(STOP_CHECK_INTERVAL).await;
                }
            });
        });
        Self { stop, thread: Some(thread) }
    }
}

impl Drop for NoiseThread {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn start_noise(noise: Noise, address: SocketAddr) -> Tasks {
    let ids = Rc::new(Cell::new(FIRST_NOISY_ID));
    let mut tasks = Tasks::default();
    let mut spawn = |client: NoisyClient| {
        tasks.0.push(tokio::task::spawn_local(async move {
            let _ = client.await;
        }));
    };
    match noise {
        Noise::SlowRequests => {
            (0..SLOW_CLIENTS).for_each(|_| spawn(Box::pin(slow_request(address, next_id(&ids)))));
        }
        Noise::UnfinishedRequests => {
            (0..SLOW_CLIENTS).for_each(|_| spawn(Box::pin(unfinished_request(address, next_id(&ids)))));
        }
        Noise::UnansweredLines => spawn(Box::pin(unanswered_lines(address, next_id(&ids)))),
        Noise::HealthChecks => spawn(Box::pin(flood(address, "PING\r\n".repeat(NOISE_BATCH_LINES)))),
        Noise::MalformedRequests => spawn(Box::pin(flood(address, "OPEN x\r\n".repeat(NOISE_BATCH_LINES)))),
        Noise::UnknownClasses => spawn(Box::pin(unknown_classes(address, ids))),
    }
    tasks
}

async fn slow_request(address: SocketAddr, id: u64) -> std::io::Result<()> {
    loop {
        let mut stream = TcpStream::connect(address).await?;
        for byte in request_line(id, "chat").bytes() {
            if stream.write_all(&[byte]).await.is_err() {
                break;
            }
            tokio::time::sleep(SLOW_BYTE_INTERVAL).await;
        }
    }
}

async fn unfinished_request(address: SocketAddr, id: u64) -> std::io::Result<()> {
    let line = request_line(id, "chat");
    let head = line.trim_end();
    let fields: String =
        (0..UNFINISHED_BYTES / 4).map(|n| format!(",{}=1", char::from(b'h' + n as u8 % 8))).collect();
    loop {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(format!("{head}{fields}").as_bytes()).await?;
        // Until the balancer closes the connection.
        let _ = stream.read_to_end(&mut Vec::new()).await;
    }
}

async fn unanswered_lines(address: SocketAddr, id: u64) -> std::io::Result<()> {
    let mut stream = BufReader::new(TcpStream::connect(address).await?);
    stream.write_all(request_line(id, "chat").as_bytes()).await?;
    expect_line(&mut stream, "UP ").await?;
    let lines = format!("{UNANSWERED_PREFIX}\r\n").repeat(NOISE_BATCH_LINES);
    loop {
        stream.write_all(lines.as_bytes()).await?;
        tokio::task::yield_now().await;
    }
}

async fn flood(address: SocketAddr, lines: String) -> std::io::Result<()> {
    loop {
        let mut stream = TcpStream::connect(address).await?;
        while stream.write_all(lines.as_bytes()).await.is_ok() {
            tokio::task::yield_now().await;
        }
    }
}

async fn unknown_classes(address: SocketAddr, ids: Rc<Cell<u64>>) -> std::io::Result<()> {
    loop {
        let id = next_id(&ids);
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request_line(id, &format!("class-{id}")).as_bytes()).await?;
        let _ = stream.read_to_end(&mut Vec::new()).await;
    }
}
