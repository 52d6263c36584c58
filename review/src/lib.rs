//! What the cases share: the record of a run, a balancer as a process of its own, a discovery, and the
//! small parts of clients.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Exit code of a run in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a run in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a run that could not be carried out.
pub const NOT_RUN: i32 = 2;

/// Whether this run has its disruption: `TROUBLE=0` switches it off.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Sleeps for this many milliseconds.
pub async fn sleep(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Runs a case for 115 s at most, after which it counts as not run. Whatever it has started ends with it.
pub async fn within_limit(case: impl Future<Output = i32>) -> i32 {
    tokio::time::timeout(Duration::from_secs(115), case).await.unwrap_or(NOT_RUN)
}

/// The record of a run: what was sent, answered and run, each with the time since the start.
pub struct Record {
    start: Instant,
    file: RefCell<File>,
}

impl Record {
    /// Creates the file that `RECORD` names.
    ///
    /// # Panics
    /// Panics if the file can't be created; the run can't be carried out then.
    #[must_use]
    pub fn create() -> Rc<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(path).expect("the record can be created");
        Rc::new(Self { start: Instant::now(), file: file.into() })
    }

    /// Returns the milliseconds since the start.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    /// Adds a line.
    pub fn note(&self, text: &str) {
        let line = format!("{:9.1} {text}\n", self.now());
        let _ = self.file.borrow_mut().write_all(line.as_bytes());
    }

    /// Adds a line without a time.
    pub fn plain(&self, text: &str) {
        let _ = self.file.borrow_mut().write_all(format!("{text}\n").as_bytes());
    }
}

/// The root of the repository, which `ROOT` names.
#[must_use]
pub fn root() -> PathBuf {
    std::env::var_os("ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from)
}

/// The command of the deploy file that runs a balancer.
///
/// # Panics
/// Panics if the deploy file has none.
#[must_use]
pub fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file exists");
    let value = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("it has a command");
    value.split('"').next().unwrap_or_default().to_owned()
}

/// Returns a free loopback address.
///
/// # Panics
/// Panics if there is none.
#[must_use]
pub fn free_address() -> SocketAddr {
    let listener = StdListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    listener.local_addr().expect("a bound socket has an address")
}

/// A balancer: a process of its own, with the command of the deploy file.
pub struct Balancer {
    /// Where clients connect.
    pub listen: SocketAddr,
    folder: PathBuf,
    child: RefCell<Option<Child>>,
    operators: Option<PathBuf>,
    record: Rc<Record>,
}

impl Balancer {
    /// Prepares a balancer with a folder of its own for its files and as its `TMPDIR`.
    ///
    /// # Panics
    /// Panics if the folder can't be created.
    #[must_use]
    pub fn new(record: &Rc<Record>, name: &str, sessions: Option<&str>) -> Self {
        let base = std::env::var_os("WORK").map_or_else(std::env::temp_dir, PathBuf::from);
        let folder = base.join(name);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let operators = sessions.map(|sessions| {
            let secret = "5f0c1b7a99d24e3388a1c6f2740be9d35f0c1b7a99d24e3388a1c6f2740be9d3";
            let keys = format!("{{\"keys\":[{{\"id\":1,\"seals_from\":0,\"secret\":\"{secret}\"}}]}}");
            std::fs::write(folder.join("keys.json"), keys).expect("the keys can be written");
            let path = folder.join("operators.json");
            std::fs::write(&path, sessions).expect("the operators' file can be written");
            path
        });
        Self { listen: free_address(), folder, child: RefCell::default(), operators, record: record.clone() }
    }

    /// Prepares another process of the same balancer: with its address, its folder and its configuration.
    #[must_use]
    pub fn successor(&self) -> Self {
        let (folder, operators) = (self.folder.clone(), self.operators.clone());
        Self {
            listen: self.listen,
            folder,
            child: RefCell::default(),
            operators,
            record: self.record.clone(),
        }
    }

    /// Waits for up to 5 s until the balancer's log contains this text.
    pub async fn wait_for_log(&self, text: &str) -> bool {
        for _ in 0..250 {
            let log = std::fs::read(self.folder.join("log")).unwrap_or_default();
            if String::from_utf8_lossy(&log).contains(text) {
                return true;
            }
            sleep(20).await;
        }
        false
    }

    /// The folder of this balancer.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes the configuration: settings of a small deployment of the site `permit-forms-th`.
    ///
    /// # Panics
    /// Panics if the file can't be written.
    pub fn configure(&self, index: usize, balancers: usize, zone: usize, discovery: SocketAddr, known: &str) {
        let seed =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64 ^ index as u64;
        let config = format!(
            r#"{{"name":"n{index}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
"settings":{{"index":{index},"balancers":{balancers},"zone":{zone},"azs":["bkk","cnx"],"discovery":"on_request","accounts":[],
"classes":[{{"name":"sheet-view","goalTimeMs":800.0,"deadlineMs":4800.0,"semantics":"repeatable","dedupScope":"all","repeatWindowMs":5000.0,"importance":3.0,"lateValue":0.0,"streaming":true}},
{{"name":"field-save","goalTimeMs":800.0,"deadlineMs":4800.0,"semantics":"repeatable","dedupScope":"all","repeatWindowMs":5000.0,"importance":5.0,"lateValue":0.0,"streaming":true}}],
"specifics":{{"groups":false,"mode":"proxy","messageAimMs":[100.0,60.0],"tellsDelay":true,"tellsLoad":true}},
"loadReport":{{"how":"on_probe","fields":["x0","rif"]}},
"bounds":{{"connIdleMs":5000.0,"connectTimeoutMs":200.0,"maxAttempts":5,"mayCancel":true,"mayProbe":true,"mayDuplicate":false,"peers":false,"retryAfter":true,"maxRetryAfterMs":2000.0}},
"invariants":{{"askWithinMs":10000.0,"coldFrom":0.35,"drainGraceMs":500.0,"graceToAnswerMs":8.0,"warmAfterMs":9000.0,"tipMultiple":3.0,"overloadForMs":3000.0}},
"prices":{{"crossZone":0.16,"moves":0.02,"probe":0.002,"lateFail":0.058,"waste":0.18}}}}}}"#,
            listen = self.listen,
        );
        std::fs::write(self.folder.join("config.json"), config).expect("the configuration can be written");
    }

    /// Starts the process. Returns false if it does not answer `PING` within 10 s.
    ///
    /// # Panics
    /// Panics if the process can't be started.
    pub async fn start(&self) -> bool {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("the log can be created");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command()])
            .current_dir(root())
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", &self.folder)
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env_remove("NODE_ADMIN")
            .env_remove("MARLLINK_OPERATORS")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(operators) = &self.operators {
            command.env("MARLLINK_OPERATORS", operators);
        }
        let child = command.spawn().expect("the shell can be started");
        self.record.note(&format!("balancer at {} started as process {}", self.listen, child.id()));
        if let Some(work) = std::env::var_os("WORK") {
            // Whatever is left when the case is interrupted is ended by these ids.
            let pids = File::options().create(true).append(true).open(PathBuf::from(work).join("pids"));
            let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        }
        self.child.replace(Some(child));
        for _ in 0..200 {
            if answer_to(self.listen, "PING").await.is_some_and(|line| line == "PONG") {
                self.record.note(&format!("balancer at {} answers PONG", self.listen));
                return true;
            }
            sleep(50).await;
        }
        false
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.borrow() {
            self.record.note(&format!("signal {name} to the balancer at {}", self.listen));
            let kill = format!("kill -{name} {}", child.id());
            let _ = Command::new("/bin/sh").args(["-c", &kill]).status();
        }
    }

    /// Returns true if the process has ended.
    pub fn has_ended(&self) -> bool {
        self.child.borrow_mut().as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Ends the process.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Connects, sends one line and returns the first line of the answer, if one comes within a second.
pub async fn answer_to(address: SocketAddr, line: &str) -> Option<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(format!("{line}\r\n").as_bytes()).await.ok()?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).await.ok()?;
        Some(answer.trim_end().to_owned())
    };
    tokio::time::timeout(Duration::from_secs(1), exchange).await.ok().flatten()
}

/// One server as discovery lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its name.
    pub uid: String,
    /// Its address.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub zone: &'static str,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub state: &'static str,
}

/// Writes a list in discovery's form.
#[must_use]
pub fn list_text(rev: u64, all: bool, listed: &[Listed]) -> String {
    let targets = listed.iter().map(|l| {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"large-std","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":0}}"#,
            l.uid, l.endpoint, l.zone, l.state
        )
    });
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.collect::<Vec<_>>().join(","))
}

/// A sound discovery with a list that never changes: the whole list, then an empty line every 2 s.
pub struct StillDiscovery {
    /// Its address.
    pub address: SocketAddr,
}

impl StillDiscovery {
    /// Starts it.
    ///
    /// # Panics
    /// Panics if no address is free.
    pub async fn start(list: String) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let list = list.clone();
                tokio::task::spawn_local(async move {
                    let _ = Self::serve(stream, &list).await;
                });
            }
        });
        Self { address }
    }

    async fn serve(stream: TcpStream, list: &str) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let request = read_http_request(&mut stream).await?;
        if !request.contains("watch=1") {
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            return stream.write_all(response.as_bytes()).await;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        write_watch_line(&mut stream, list).await?;
        loop {
            sleep(2_000).await;
            write_watch_line(&mut stream, "").await?;
        }
    }
}

/// Reads the head of an HTTP request and returns its first line.
///
/// # Errors
/// Fails if the connection breaks.
pub async fn read_http_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<String> {
    let mut request = String::new();
    stream.read_line(&mut request).await?;
    let mut line = String::new();
    while stream.read_line(&mut line).await? > 0 && !line.trim_end().is_empty() {
        line.clear();
    }
    Ok(request.trim_end().to_owned())
}

/// Writes one line of a watch as a chunk.
///
/// # Errors
/// Fails if the connection breaks.
pub async fn write_watch_line(stream: &mut BufReader<TcpStream>, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
}

/// Starts a sound server without sessions: it answers `UP`, echoes lines and answers probes. `on_request` is
/// called with each request.
///
/// # Panics
/// Panics if no address is free.
pub async fn start_server(on_request: impl Fn(&str) + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let on_request = on_request.clone();
            tokio::task::spawn_local(async move {
                let (reader, mut writer) = stream.into_split();
                let mut reader = BufReader::new(reader);
                let mut line = String::new();
                while matches!(reader.read_line(&mut line).await, Ok(n) if n > 0) {
                    let answer = match line.split(' ').next().unwrap_or_default().trim_end() {
                        "OPEN" => {
                            on_request(line.trim_end());
                            "UP 1f\r\n".to_owned()
                        }
                        "PING" => "PONG\r\n".to_owned(),
                        "STATS" => "PONG x0=0.2,inflight=4\r\n".to_owned(),
                        _ => line.clone(),
                    };
                    if writer.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

/// A proxy before one address of a server: the network between one balancer and this server. It passes
/// bytes on both ways, and can cut the server off.
pub struct Proxy {
    /// Where the balancer connects.
    pub address: SocketAddr,
    cut: Rc<Cut>,
}

/// The state of a cut, and the delay without one.
#[derive(Default)]
struct Cut {
    /// Until when nothing passes.
    until: Cell<Option<Instant>>,
    /// The connections with a client's request are reset towards their balancer when the cut begins.
    resets: Cell<bool>,
    begins: Notify,
    /// How long bytes take one way, in microseconds.
    one_way_us: u64,
}

impl Cut {
    async fn wait_until_over(&self) {
        while let Some(until) = self.until.get().filter(|until| *until > Instant::now()) {
            tokio::time::sleep_until(until.into()).await;
        }
    }
}

impl Proxy {
    /// Starts a proxy before `server`.
    ///
    /// # Panics
    /// Panics if no address is free.
    pub async fn start(record: Rc<Record>, name: String, server: SocketAddr, one_way_us: u64) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let cut = Rc::new(Cut { one_way_us, ..Cut::default() });
        let shared = cut.clone();
        tokio::task::spawn_local(async move {
            while let Ok((balancer_side, _)) = listener.accept().await {
                let (record, name, cut) = (record.clone(), name.clone(), shared.clone());
                tokio::task::spawn_local(async move {
                    cut.wait_until_over().await;
                    // A server that is down refuses connections; here they are reset at once.
                    let Ok(server_side) = TcpStream::connect(server).await else {
                        return reset(balancer_side);
                    };
                    pass(&record, &name, balancer_side, server_side, &cut).await;
                });
            }
        });
        Self { address, cut }
    }

    /// Cuts the server off for `ms`: nothing passes. If `resets`, the balancer finds the connections of its
    /// clients to this server reset as the cut begins; the server hears of it when the cut is over.
    pub fn cut_off(&self, ms: u64, resets: bool) {
        self.cut.until.set(Some(Instant::now() + Duration::from_millis(ms)));
        self.cut.resets.set(resets);
        self.cut.begins.notify_waiters();
    }
}

/// Copies bytes, each after the delay of the network. Returns once all bytes before the end have arrived.
async fn copy(from: &TcpStream, to: &TcpStream, cut: &Cut) -> std::io::Result<()> {
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    let reading = async {
        let sender = sender;
        let mut buffer = vec![0; 64 * 1024];
        loop {
            from.readable().await?;
            cut.wait_until_over().await;
            match from.try_read(&mut buffer) {
                Ok(0) => return Ok::<(), std::io::Error>(()),
                Ok(n) => {
                    let due = Instant::now() + Duration::from_micros(cut.one_way_us);
                    let _ = sender.send((due, buffer[..n].to_vec()));
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    };
    let writing = async {
        while let Some((due, bytes)) = receiver.recv().await {
            if due > Instant::now() {
                tokio::time::sleep_until(due.into()).await;
            }
            let mut unsent = &bytes[..];
            while !unsent.is_empty() {
                to.writable().await?;
                match to.try_write(unsent) {
                    Ok(n) => unsent = &unsent[n..],
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            }
        }
        Ok(())
    };
    let (read, written) = tokio::join!(reading, writing);
    read.and(written)
}

#[allow(deprecated)]
fn reset(stream: TcpStream) {
    let _ = stream.set_linger(Some(Duration::ZERO));
}

async fn pass(record: &Record, name: &str, balancer_side: TcpStream, server_side: TcpStream, cut: &Cut) {
    let _ = balancer_side.set_nodelay(true);
    let _ = server_side.set_nodelay(true);
    let mut first = [0; 5];
    let has_request = matches!(balancer_side.peek(&mut first).await, Ok(5)) && &first == b"OPEN ";
    let reset_by_cut = async {
        loop {
            cut.begins.notified().await;
            if has_request && cut.resets.get() {
                return;
            }
        }
    };
    let end = tokio::select! {
        end = copy(&balancer_side, &server_side, cut) => Some(end),
        end = copy(&server_side, &balancer_side, cut) => Some(end),
        () = reset_by_cut => None,
    };
    match end {
        // One side has closed, and its peer learns it in the same way.
        Some(Ok(())) => {}
        Some(Err(_)) => {
            reset(balancer_side);
            reset(server_side);
        }
        None => {
            record.note(&format!(
                "a connection to {name} is reset towards its balancer; {name} hears nothing yet"
            ));
            reset(balancer_side);
            cut.wait_until_over().await;
            record.note(&format!("the cut is over: the reset reaches {name}"));
            reset(server_side);
        }
    }
}
