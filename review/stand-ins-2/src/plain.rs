//! The cases without sessions.

use crate::common::*;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

/// Servers that run each request once in the time for which they remember its id.
struct KeyedServers {
    env: Env,
    window_ms: f64,
    addresses: Vec<SocketAddr>,
    /// By server: whether it accepts connections.
    accepts: Vec<Cell<bool>>,
    resumed: Notify,
    /// By id: when it was received first, and when it was run.
    received: RefCell<BTreeMap<String, f64>>,
    runs: RefCell<BTreeMap<String, Vec<f64>>>,
    /// The request that meets the trouble, and the server that has it.
    victim: RefCell<Option<(String, usize)>>,
    trouble: Cell<bool>,
    reset_after_ms: f64,
    late_ms: f64,
}

/// Starts one server whose queue of connections that are not accepted yet has room for one.
fn listen() -> Result<(SocketAddr, TcpListener)> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
    let listener = socket.listen(0)?;
    Ok((listener.local_addr()?, listener))
}

impl KeyedServers {
    async fn accept(self: Rc<Self>, index: usize, listener: TcpListener) {
        loop {
            while !self.accepts[index].get() {
                self.resumed.notified().await;
            }
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.resumed.notified() => continue,
            };
            let Ok((stream, _)) = accepted else { continue };
            let servers = self.clone();
            tokio::task::spawn_local(async move {
                let _ = servers.serve(index, stream).await;
            });
        }
    }

    async fn serve(self: &Rc<Self>, index: usize, stream: TcpStream) -> Result<()> {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        let Some(id) = line.strip_prefix("OPEN ").and_then(|rest| rest.split(' ').next()).map(str::to_owned)
        else {
            return stream.write_all(b"NO\r\n").await;
        };
        let now = self.env.now();
        let first = *self.received.borrow_mut().entry(id.clone()).or_insert(now);
        let remembered = now - first < self.window_ms && first < now;
        self.env.note(format!(
            "s-{index}: request {id}, {:.0} ms after it was first received: {}",
            now - first,
            line.trim_end()
        ));
        if remembered {
            self.env
                .note(format!("s-{index}: request {id} is a repeat within the window, and is not run again"));
        } else {
            self.runs.borrow_mut().entry(id.clone()).or_default().push(now);
            self.env.note(format!("s-{index}: request {id} is run"));
        }
        let strikes = self.trouble.get() && self.victim.borrow().is_none();
        if strikes {
            *self.victim.borrow_mut() = Some((id.clone(), index));
            self.hold_others(index);
            sleep(self.reset_after_ms).await;
            self.env.note(format!("s-{index}: resets the connection of request {id}"));
            stream.get_ref().set_zero_linger()?;
            return Ok(());
        }
        stream.write_all(format!("UP r-{id}\r\n").as_bytes()).await?;
        loop {
            line.clear();
            if stream.read_line(&mut line).await? == 0 {
                return stream.write_all(b"BYE\r\n").await;
            }
            stream.write_all(line.as_bytes()).await?;
        }
    }

    /// Lets the connections to the other servers come up late: their queues are full until they accept again.
    fn hold_others(self: &Rc<Self>, index: usize) {
        let others: Vec<_> = (0..self.addresses.len()).filter(|other| *other != index).collect();
        let mut fillers = Vec::new();
        for other in &others {
            self.accepts[*other].set(false);
        }
        self.resumed.notify_waiters();
        let servers = self.clone();
        tokio::task::spawn_local(async move {
            sleep(200.0).await;
            for other in &others {
                for _ in 0..3 {
                    let socket = TcpSocket::new_v4().expect("a socket");
                    let connecting = socket.connect(servers.addresses[*other]);
                    if let Ok(Ok(stream)) =
                        tokio::time::timeout(std::time::Duration::from_millis(100), connecting).await
                    {
                        fillers.push(stream);
                    }
                }
            }
            servers.env.note(format!(
                "connections to {others:?} come up late from now on ({} waiting there)",
                fillers.len()
            ));
            sleep(servers.reset_after_ms - 600.0 * others.len() as f64 + servers.late_ms).await;
            drop(fillers);
            for other in &others {
                servers.accepts[*other].set(true);
            }
            servers.resumed.notify_waiters();
            servers.env.note("connections come up at once again");
        });
    }
}

/// A request of a class with a window for repeats is reset under way, and the next connection comes up late.
pub async fn repeat_window(env: &Env) -> Result<Verdict> {
    let window_ms = 2_000.0;
    // Each time limit is 50 ms longer on sockets, and a balancer may be held up for 0.15 s.
    let allowed_ms = window_ms + 50.0 + 150.0;
    let mut listeners = Vec::new();
    for _ in 0..2 {
        listeners.push(listen()?);
    }
    let servers = Rc::new(KeyedServers {
        env: env.clone(),
        window_ms,
        addresses: listeners.iter().map(|(address, _)| *address).collect(),
        accepts: listeners.iter().map(|_| Cell::new(true)).collect(),
        resumed: Notify::new(),
        received: RefCell::default(),
        runs: RefCell::default(),
        victim: RefCell::default(),
        trouble: Cell::new(false),
        reset_after_ms: 1_900.0,
        late_ms: 600.0,
    });
    let discovery = Discovery::start(env, "discovery", 1).await?;
    for (index, (address, listener)) in listeners.into_iter().enumerate() {
        discovery.set(Target::new(&format!("s-{index}"), address, "bkk"));
        tokio::task::spawn_local(servers.clone().accept(index, listener));
    }
    let balancer = Balancer::new(env, "b0")?;
    balancer.configure(discovery.address, serde_json::from_str(&discovery.list(None))?, |settings| {
        settings["classes"][1]["semantics"] = json!("by_key");
        settings["classes"][1]["dedupScope"] = json!("all");
        settings["classes"][1]["repeatWindowMs"] = json!(window_ms);
        settings["bounds"]["connectTimeoutMs"] = json!(1_500.0);
        settings["bounds"]["mayProbe"] = json!(false);
        settings["loadReport"] = json!({"how": "off", "fields": []});
    })?;
    balancer.start(None).await?;
    sleep(1_000.0).await;
    let mut answers = BTreeMap::new();
    for number in 1..=6_u64 {
        // Every other request meets the trouble; the others show that all is well between.
        servers.trouble.set(env.has_trouble() && number % 2 == 0);
        servers.victim.replace(None);
        let mut client = Client::connect(balancer.listen).await?;
        let id = format!("{number:x}");
        env.note(format!("client: OPEN {id}"));
        client.send(&format!("OPEN {id} {id} c=field-save,d=4800,g={id}")).await?;
        let answer = client.line(6_000.0).await;
        env.note(format!("client: request {id} answered {answer:?}"));
        answers.insert(id, answer);
        servers.trouble.set(false);
        drop(client);
        sleep(9_000.0 * f64::from(u8::from(env.has_trouble() && number % 2 == 0)) + 500.0).await;
    }
    balancer.kill();
    let mut late = 0;
    for (id, runs) in &*servers.runs.borrow() {
        if let [first, .., last] = runs[..] {
            env.note(format!("request {id} was run {} times, {:.0} ms apart", runs.len(), last - first));
            late += usize::from(last - first > allowed_ms);
        }
    }
    let unanswered = answers.values().filter(|answer| answer.is_none()).count();
    env.note(format!("{late} requests run again more than {allowed_ms} ms after they were sent first, {unanswered} unanswered"));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

/// A server that answers every request, and notes it.
async fn plain_server(
    env: &Env,
    name: &'static str,
    sent: Rc<RefCell<Vec<(f64, &'static str)>>>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let env = env.clone();
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let (env, sent) = (env.clone(), sent.clone());
            tokio::task::spawn_local(async move {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                loop {
                    line.clear();
                    if stream.read_line(&mut line).await.unwrap_or(0) == 0 {
                        let _ = stream.write_all(b"BYE\r\n").await;
                        return;
                    }
                    let answer = match line.split_whitespace().next() {
                        Some("PING") => "PONG\r\n".to_owned(),
                        Some("STATS") => "PONG x0=0.1,inflight=1\r\n".to_owned(),
                        Some("OPEN") => {
                            sent.borrow_mut().push((env.now(), name));
                            format!("UP {name}-r\r\n")
                        }
                        _ => line.clone(),
                    };
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// A balancer with a store is started again with another discovery service.
pub async fn moved_discovery(env: &Env) -> Result<Verdict> {
    let grace_ms = 6_000.0 + 500.0 + 50.0;
    let sent = Rc::new(RefCell::new(Vec::new()));
    let names = ["s-1", "s-2", "s-3"];
    let (old, new) =
        (Discovery::start(env, "old discovery", 40).await?, Discovery::start(env, "new discovery", 1).await?);
    for name in names {
        let address = plain_server(env, name, sent.clone()).await?;
        for discovery in [&old, &new] {
            discovery.set(Target::new(name, address, "bkk"));
        }
    }
    let balancer = Balancer::new(env, "b0")?;
    balancer.configure(old.address, json!({"rev": 0, "all": true, "targets": []}), |_| {})?;
    let operators = balancer
        .write("store.json", r#"{"store": {"folder": "store", "trusted_s": 10, "asked_at_once": 4}}"#)?;
    std::fs::create_dir_all(operators.with_file_name("store"))?;
    balancer.start(Some(&operators)).await?;
    let mut id = 1;
    for _ in 0..10 {
        request(env, &balancer, &mut id).await;
        sleep(300.0).await;
    }
    sleep(2_000.0).await;
    balancer.kill();
    // While the balancer is down, a server begins to drain. Both services know it.
    for discovery in [&old, &new] {
        discovery.set_state("s-1", "DRAINING");
    }
    let drained_at = env.now();
    new.skip_to(old.rev() + 20);
    let mut other = Target::new("s-4", "127.0.0.1:9".parse().expect("an address"), "bkk");
    other.state = "DRAINING";
    new.set(other);
    env.note(format!("s-1 drains; versions: old {}, new {}", old.rev(), new.rev()));
    if env.has_trouble() {
        balancer.configure(new.address, json!({"rev": 0, "all": true, "targets": []}), |_| {})?;
        env.note("the configuration names the new discovery");
    }
    sleep(1_000.0).await;
    balancer.start(Some(&operators)).await?;
    let started_at = env.now();
    while env.now() < started_at + 25_000.0 {
        request(env, &balancer, &mut id).await;
        sleep(300.0).await;
    }
    balancer.note_log(&["starting from", "recovery", "discovery"]);
    balancer.kill();
    let told_at = started_at.max(drained_at) + grace_ms;
    let late: Vec<_> =
        sent.borrow().iter().filter(|(at, name)| *name == "s-1" && *at > told_at).copied().collect();
    let all = sent.borrow().iter().filter(|(at, _)| *at > told_at).count();
    env.note(format!(
        "after {told_at:.0}, when the drain counts as told and the grace is over: {all} requests, {} of them to s-1",
        late.len()
    ));
    Ok(match (late.len(), all) {
        (_, 0) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// What the servers of `zones` do with keyed requests.
struct ZoneServers {
    env: Env,
    /// By id: the zones that have received it, and how often it was run.
    received: RefCell<BTreeMap<String, Vec<&'static str>>>,
    runs: RefCell<BTreeMap<String, Vec<(f64, &'static str)>>>,
    resets: Cell<bool>,
}

impl ZoneServers {
    async fn start(self: &Rc<Self>, name: String, zone: &'static str) -> Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let servers = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (servers, name) = (servers.clone(), name.clone());
                tokio::task::spawn_local(async move {
                    let _ = servers.serve(&name, zone, stream).await;
                });
            }
        });
        Ok(address)
    }

    async fn serve(&self, name: &str, zone: &'static str, stream: TcpStream) -> Result<()> {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            if stream.read_line(&mut line).await? == 0 {
                return stream.write_all(b"BYE\r\n").await;
            }
            let Some(id) = line.strip_prefix("OPEN ").and_then(|rest| rest.split(' ').next()) else {
                let answer = match line.trim_end() {
                    "PING" => "PONG\r\n",
                    "STATS" => "PONG x0=0.1,inflight=1\r\n",
                    _ => &line,
                };
                stream.write_all(answer.as_bytes()).await?;
                continue;
            };
            let is_first = self.received.borrow().get(id).is_none();
            let knows = self.received.borrow().get(id).is_some_and(|zones| zones.contains(&zone));
            self.received.borrow_mut().entry(id.to_owned()).or_default().push(zone);
            if !knows {
                self.runs.borrow_mut().entry(id.to_owned()).or_default().push((self.env.now(), zone));
            }
            let done = if knows { "is a repeat within its zone, and is not run again" } else { "is run" };
            self.env.note(format!("{name} in {zone}: request {id} {done}"));
            if is_first && self.resets.get() {
                self.env.note(format!("{name} in {zone}: the connection of request {id} is reset"));
                return stream.get_ref().set_zero_linger();
            }
            stream.write_all(format!("UP {name}-{id}\r\n").as_bytes()).await?;
        }
    }
}

/// New settings name more zones, and servers there join; connections are reset under requests that have begun.
pub async fn more_zones(env: &Env) -> Result<Verdict> {
    let servers = Rc::new(ZoneServers {
        env: env.clone(),
        received: RefCell::default(),
        runs: RefCell::default(),
        resets: Cell::new(false),
    });
    let (before, after) = (json!(["bkk", "cnx"]), json!(["bkk", "cnx", "hkt", "nst"]));
    let resets = env.trouble != "0";
    // All else is in order if the settings name all zones from the start.
    let from_start = env.trouble == "named";
    let discovery = Discovery::start(env, "discovery", 1).await?;
    for (index, zone) in ["bkk", "bkk", "cnx", "cnx"].into_iter().enumerate() {
        let name = format!("s-{index}");
        discovery.set(Target::new(&name, servers.start(name.clone(), zone).await?, zone));
    }
    let balancer = Balancer::new(env, "b0")?;
    let configure = |zones: &serde_json::Value| {
        balancer.configure(discovery.address, serde_json::from_str(&discovery.list(None))?, |settings| {
            settings["azs"] = zones.clone();
            // The servers of all zones are used alike.
            settings["prices"]["crossZone"] = json!(0.0);
            settings["classes"][1]["semantics"] = json!("by_key");
            settings["classes"][1]["dedupScope"] = json!("zone");
            settings["classes"][1]["repeatWindowMs"] = json!(5_000.0);
        })
    };
    configure(if from_start { &after } else { &before })?;
    balancer.start(None).await?;
    sleep(1_000.0).await;
    let mut number = 0;
    for round in 0..2 {
        if round == 1 {
            env.note("the new settings name all zones");
            configure(&after)?;
            balancer.signal("HUP");
            sleep(2_000.0).await;
            for (index, zone) in ["hkt", "hkt", "nst", "nst"].into_iter().enumerate() {
                let name = format!("s-{}", index + 4);
                discovery.set(Target::new(&name, servers.start(name.clone(), zone).await?, zone));
            }
            env.note("servers in hkt and nst have joined");
            sleep(2_000.0).await;
        }
        for _ in 0..[12, 140][round] {
            number += 1;
            servers.resets.set(resets && number % 4 == 0);
            let mut client = Client::connect(balancer.listen).await?;
            let id = format!("{number:x}");
            client.send(&format!("OPEN {id} {id} c=field-save,d=4800,g={id}")).await?;
            let answer = client.line(6_000.0).await;
            env.note(format!("client: request {id} answered {answer:?}"));
            drop(client);
            sleep(450.0).await;
        }
    }
    balancer.note_log(&["SIGHUP"]);
    balancer.kill();
    let mut twice = 0;
    for (id, runs) in &*servers.runs.borrow() {
        if let [first, second, ..] = runs[..] {
            env.note(format!(
                "request {id} was run in {} and {:.0} ms later in {}",
                first.1,
                second.0 - first.0,
                second.1
            ));
            twice += 1;
        }
    }
    env.note(format!("{twice} of {number} requests were run in two zones"));
    Ok(if twice > 0 { Verdict::Broken } else { Verdict::Held })
}

async fn request(env: &Env, balancer: &Balancer, id: &mut u64) {
    *id += 1;
    let answer = async {
        let mut client = Client::connect(balancer.listen).await?;
        client.send(&format!("OPEN {id:x} {id:x} c=sheet-view,d=4800,g={id:x}")).await?;
        Ok::<_, std::io::Error>(client.line(6_000.0).await)
    };
    let answer = answer.await;
    env.note(format!("client: request {id:x} answered {answer:?}"));
}
