//! The cases with sessions. Servers are the project's own emulated ones, which implement `docs/protocol-resume.md`.

use crate::common::*;
use crate::model::Note;
use crate::sockets::{EntryLog, ServerConfig, ServerFault, Servers};
use serde_json::json;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::Result;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

const KEYS: &str = r#"{"keys":[{"id":1,"seals_from":0,"secret":"5f0c1b7a99d24e3388a1c6f2740be9d35f0c1b7a99d24e3388a1c6f2740be9d3"}]}"#;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Servers that hold sessions, and the discovery that lists them.
struct Fleet {
    env: Env,
    log: Rc<EntryLog>,
    log_offset_ms: f64,
    servers: Rc<Servers>,
    discovery: Rc<Discovery>,
    next_id: Cell<u64>,
}

impl Fleet {
    async fn start(env: &Env, count: usize) -> Result<Self> {
        let log = EntryLog::new();
        let log_offset_ms = env.now() - log.now();
        let config = ServerConfig { capacity: 200, clock_drift: 0.0, injected_bug: None };
        let servers = Servers::start(log.clone(), count, 1, config, || 0.0).await?;
        let discovery = Discovery::start(env, "discovery", 1).await?;
        for index in 0..count {
            let address = servers.address(index, 0);
            let az = ["bkk", "cnx"][index % 2];
            discovery.set(Target::new(servers.name(index), address, az));
        }
        Ok(Self { env: env.clone(), log, log_offset_ms, servers, discovery, next_id: Cell::new(1) })
    }

    /// Starts a balancer with sessions.
    async fn balancer(&self, index: usize, lease_ms: u64) -> Result<Balancer> {
        let balancer = Balancer::new(&self.env, &format!("b{index}"))?;
        let known = serde_json::from_str(&self.discovery.list(None))?;
        balancer.configure(self.discovery.address, known, |settings| {
            settings["balancers"] = json!(2);
            settings["index"] = json!(index);
        })?;
        balancer.write("keys.json", KEYS)?;
        let operators = write_operators(&balancer, lease_ms)?;
        balancer.start(Some(&operators)).await?;
        Ok(balancer)
    }

    /// Sends a request for a session and returns the connection with the first line of the answer.
    async fn open(&self, balancer: &Balancer, session: &str) -> Result<(Client, String)> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let mut client = Client::connect(balancer.listen).await?;
        let shown = if session == "new" { "new" } else { "TOKEN" };
        self.env.note(format!("client {id:x} to {}: OPEN s={shown}", balancer.name));
        client.send(&format!("OPEN {id:x} {id:x} c=field-save,d=4800,g={id:x},s={session}")).await?;
        let answer = client.line(6_000.0).await.unwrap_or_default();
        self.env.note(format!("client {id:x} from {}: {answer:?}", balancer.name));
        Ok((client, answer))
    }

    /// Resumes a session; while the answer is `BUSY` the client comes again, up to a time.
    async fn resume(&self, balancer: &Balancer, token: &str, for_ms: f64) -> Result<(Client, String)> {
        let until = self.env.now() + for_ms;
        loop {
            let (client, answer) = self.open(balancer, token).await?;
            if !answer.starts_with("BUSY") || self.env.now() > until {
                return Ok((client, answer));
            }
            let wait = answer.split(' ').nth(1).and_then(|ms| ms.parse().ok()).unwrap_or(300.0);
            sleep(wait).await;
        }
    }

    /// Restarts a server's process, which comes back empty, and lists the new start.
    async fn restart(&self, index: usize) {
        self.env.note(format!("server {}: restarted", self.servers.name(index)));
        self.servers.fault(index, ServerFault::Kill(300.0));
        sleep(400.0).await;
        let az = ["bkk", "cnx"][index % 2];
        let mut target = Target::new(self.servers.name(index), self.servers.address(index, 0), az);
        target.boot_ms = unix_ms();
        self.discovery.set(target);
    }

    /// Moves what the servers have logged to the record and returns it, on the clock of the record.
    fn server_log(&self) -> Vec<(f64, String, Note)> {
        let entries = self.log.take().into_iter();
        let entries = entries.map(|entry| (entry.at + self.log_offset_ms, entry.by, entry.note));
        let entries: Vec<_> = entries.collect();
        for (at, by, note) in &entries {
            self.env.note(format!("server {by} at {at:.1}: {}", short(&format!("{note:?}"))));
        }
        entries
    }
}

fn short(text: &str) -> String {
    if text.len() > 260 { format!("{}... ({} bytes)", &text[..260], text.len()) } else { text.into() }
}

fn write_operators(balancer: &Balancer, lease_ms: u64) -> Result<PathBuf> {
    let sessions = json!({"sessions": {"keys": "keys.json", "keepers": 3, "lease_ms": lease_ms,
        "clock_drift_percent": 2, "token_s": 600, "journal_kib": 16, "journals_mib": 64, "window": 64,
        "most_sessions": 2000, "claim_ms": 1000, "most_links": 64}});
    balancer.write("operators.json", &sessions.to_string())
}

fn token_of(line: Option<String>) -> Result<String> {
    line.and_then(|line| line.strip_prefix("TOKEN ").map(str::to_owned))
        .ok_or_else(|| std::io::Error::other("the client got no token"))
}

/// A session that a client has begun, with its last token.
struct Begun {
    client: Client,
    token: String,
}

async fn begin(fleet: &Fleet, balancer: &Balancer) -> Result<Begun> {
    let (mut client, answer) = fleet.resume(balancer, "new", 5_000.0).await?;
    if !answer.starts_with("UP ") {
        return Err(std::io::Error::other(format!("no new session: {answer:?}")));
    }
    let token = token_of(client.line_with("TOKEN", 2_000.0).await)?;
    client.send("HAVE").await?;
    Ok(Begun { client, token })
}

async fn save(begun: &mut Begun, n: u64, name: &str, value: &str) -> Result<bool> {
    begun.client.send(&format!("SAVE {n} {name}={value}")).await?;
    let until = tokio::time::Instant::now() + std::time::Duration::from_secs(3);
    while tokio::time::Instant::now() < until {
        match begun.client.line(3_000.0).await {
            Some(line) if line == format!("SAVED {n}") => return Ok(true),
            Some(line) if line.starts_with("TOKEN ") => begun.token = line[6..].to_owned(),
            Some(_) => {}
            None => return Ok(false),
        }
    }
    Ok(false)
}

/// A shorter lease takes effect by SIGHUP; seconds later the balancer's machine vanishes.
pub async fn held_twice(env: &Env) -> Result<Verdict> {
    const SESSIONS: usize = 8;
    let (long_ms, short_ms) = (15_000, 2_000);
    let (shortens, vanishes) = match env.trouble.as_str() {
        "0" => (false, false),
        "reload" => (true, false),
        "vanish" => (false, true),
        _ => (true, true),
    };
    let fleet = Fleet::start(env, 6).await?;
    let (first, second) = (fleet.balancer(0, long_ms).await?, fleet.balancer(1, long_ms).await?);
    sleep(1_500.0).await;
    let mut sessions = Vec::new();
    for _ in 0..SESSIONS {
        let mut begun = begin(&fleet, &first).await?;
        if !save(&mut begun, 1, "owner", "Somchai").await? {
            return Ok(Verdict::NotRun);
        }
        sessions.push(begun);
    }
    // Every holder has had its lease renewed by now.
    sleep(8_000.0).await;
    for balancer in [&first, &second] {
        write_operators(balancer, if shortens { short_ms } else { long_ms })?;
        balancer.signal("HUP");
    }
    env.note(format!("lease_ms is {}", if shortens { short_ms } else { long_ms }));
    sleep(4_500.0).await;
    if vanishes {
        // From outside a stopped process is a machine that has vanished: nothing is said on its connections.
        first.signal("STOP");
    } else {
        for begun in &mut sessions {
            let _ = begun.client.send("bye for now").await;
        }
    }
    // The clients notice the silence, and come again at the other balancer.
    sleep(3_000.0).await;
    let mut again = Vec::new();
    for begun in sessions {
        let Begun { client, token } = begun;
        drop(client);
        let (resumed, answer) = fleet.open(&second, &token).await?;
        again.push((resumed, answer, token));
    }
    sleep(1_000.0).await;
    for (resumed, answer, token) in &mut again {
        if answer.starts_with("BUSY") {
            (*resumed, *answer) = fleet.resume(&second, token, 20_000.0).await?;
        }
    }
    sleep(2_000.0).await;
    if vanishes {
        // The machine is back after six seconds.
        first.signal("CONT");
    }
    sleep(10_000.0).await;
    drop(again);
    sleep(3_000.0).await;
    first.note_log(&["SIGHUP", "session_held"]);
    second.note_log(&["SIGHUP", "session_held"]);
    first.kill();
    second.kill();
    sleep(500.0).await;
    Ok(judge_holds(env, &fleet.server_log()))
}

/// "Each time limit grows by 50 ms."
const SLACK_MS: f64 = 50.0;

/// Checks that no session is held by two servers at the same time.
fn judge_holds(env: &Env, log: &[(f64, String, Note)]) -> Verdict {
    type Hold = (String, f64, f64, String);
    let mut holds: BTreeMap<String, Vec<Hold>> = BTreeMap::new();
    for (at, by, note) in log {
        match note {
            Note::LeaseAcquired { session, ballot } => {
                holds.entry(session.clone()).or_default().push((
                    by.clone(),
                    *at,
                    f64::INFINITY,
                    format!("{ballot:?}"),
                ));
            }
            Note::LeaseReleased { session, ballot, late_ms } => {
                let holds = holds.entry(session.clone()).or_default();
                let ballot = format!("{ballot:?}");
                if let Some(hold) = holds.iter_mut().find(|hold| hold.0 == *by && hold.3 == ballot) {
                    hold.2 = at - late_ms;
                }
            }
            _ => {}
        }
    }
    let (mut twice, mut resumed) = (0, 0);
    for (session, holds) in &holds {
        resumed += usize::from(holds.len() > 1);
        for (index, (server, from, until, ballot)) in holds.iter().enumerate() {
            for (other, other_from, other_until, other_ballot) in &holds[..index] {
                let both_ms = until.min(*other_until) - from.max(*other_from);
                if both_ms > SLACK_MS && server != other {
                    twice += 1;
                    env.note(format!(
                        "HELD TWICE: session {session} by {other} ({other_ballot}, {other_from:.0} to {other_until:.0}) \
                         and by {server} ({ballot}, {from:.0} to {until:.0}), both for {both_ms:.0} ms"
                    ));
                }
            }
        }
    }
    env.note(format!(
        "{} sessions, {resumed} held again after the first time, {twice} times by two servers",
        holds.len()
    ));
    match (twice, resumed) {
        (0, 0) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Half of the servers are restarted one by one while the clients are away; they resume at the other balancer.
pub async fn rolling_restart(env: &Env) -> Result<Verdict> {
    const SERVERS: usize = 6;
    const SESSIONS: usize = 32;
    const SAVES: u64 = 5;
    let fleet = Fleet::start(env, SERVERS).await?;
    let (first, second) = (fleet.balancer(0, 2_000).await?, fleet.balancer(1, 2_000).await?);
    sleep(1_500.0).await;
    let mut tokens = Vec::new();
    for number in 0..SESSIONS {
        let mut begun = begin(&fleet, &first).await?;
        for n in 1..=SAVES {
            if !save(&mut begun, n, &format!("field-{n}"), &format!("value-{number}-{n}")).await? {
                return Ok(Verdict::NotRun);
            }
        }
        // The client keeps the last token that it is sent.
        while let Some(line) = begun.client.line(150.0).await {
            if let Some(token) = line.strip_prefix("TOKEN ") {
                begun.token = token.to_owned();
            }
        }
        env.note(format!("client of session {number}: has SAVED {SAVES}, and leaves with its token"));
        tokens.push(begun.token);
    }
    sleep(2_000.0).await;
    fleet.server_log();
    for index in 0..SERVERS / 2 {
        if env.has_trouble() {
            fleet.restart(index).await;
        }
        sleep(8_000.0).await;
    }
    fleet.server_log();
    let (mut lost, mut resumed) = (0, 0);
    for (number, token) in tokens.iter().enumerate() {
        let (client, answer) = fleet.resume(&second, token, 10_000.0).await?;
        sleep(200.0).await;
        drop(client);
        let state = loaded_state(&fleet.server_log());
        let up = answer.starts_with("UP ");
        // `BUSY` is no refusal: the client may come again.
        let complete = if up { state == Some((SAVES, SAVES as usize)) } else { !answer.starts_with("ERR") };
        resumed += usize::from(up);
        env.note(format!(
            "session {number} at {}: {answer:?}, state {state:?}, sound: {complete}",
            second.name
        ));
        lost += usize::from(!complete);
        if !complete {
            // The saved fields still exist: the last owner finds them.
            let (client, answer) = fleet.resume(&first, token, 10_000.0).await?;
            sleep(200.0).await;
            drop(client);
            let state = loaded_state(&fleet.server_log());
            env.note(format!("session {number} at {}: {answer:?}, state {state:?}", first.name));
        }
    }
    sleep(300.0).await;
    first.note_log(&["session_rekept", "session_rejected", "claim_", "keeper_"]);
    second.note_log(&["session_held", "session_rejected", "claim_", "keeper_"]);
    env.note(format!("{lost} of {SESSIONS} sessions could not be resumed with all that was confirmed"));
    Ok(match (lost, resumed) {
        (0, 0) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Returns the number of the last save and of the fields of the state that a server was given last.
fn loaded_state(log: &[(f64, String, Note)]) -> Option<(u64, usize)> {
    log.iter().rev().find_map(|(.., note)| match note {
        Note::StateLoaded { upto, fields, .. } => Some((*upto, fields.len())),
        _ => None,
    })
}

/// Stays connected at a balancer until a time: sends a line every 2 s, confirms each token, and comes again when the
/// connection ends. Returns the last token.
async fn stay(
    fleet: &Fleet,
    balancer: &Balancer,
    mut token: String,
    until: f64,
    mut n: u64,
) -> Result<(String, u64)> {
    let env = &fleet.env;
    while env.now() < until {
        let (mut client, answer) = fleet.resume(balancer, &token, until - env.now()).await?;
        if !answer.starts_with("UP ") {
            return Err(std::io::Error::other(format!("not resumed at {}: {answer:?}", balancer.name)));
        }
        let mut last_sent = 0.0;
        while env.now() < until {
            if env.now() - last_sent > 2_000.0 {
                last_sent = env.now();
                let _ = client.send("still here").await;
            }
            match client.line(500.0_f64.min(until - env.now()).max(1.0)).await {
                Some(line) if line.starts_with("TOKEN ") => {
                    token = line[6..].to_owned();
                    let _ = client.send("HAVE").await;
                    let _ = client.send(&format!("SAVE {} field-{}=value", n + 1, n + 1)).await;
                }
                Some(line) if line.starts_with("SAVED ") => n = line[6..].parse().unwrap_or(n).max(n),
                Some(line) if line == "MOVE" || line == "BYE" => break,
                Some(_) => {}
                // No line for a while, or the end of the connection.
                None if client.has_ended().await => break,
                None => {}
            }
        }
        drop(client);
        sleep(400.0).await;
    }
    Ok((token, n))
}

/// Clients move from one balancer to the other, half of the servers are restarted one by one, and the clients come
/// back with their last tokens.
pub async fn coming_back(env: &Env) -> Result<Verdict> {
    const SERVERS: usize = 6;
    const SESSIONS: u64 = 40;
    let fleet = Rc::new(Fleet::start(env, SERVERS).await?);
    let first = fleet.balancer(0, 2_000).await?;
    let second = Rc::new(fleet.balancer(1, 2_000).await?);
    sleep(1_500.0).await;
    let mut tokens = Vec::new();
    for number in 0..SESSIONS {
        let mut begun = begin(&fleet, &first).await?;
        if !save(&mut begun, 1, "field-1", &format!("value-{number}")).await? {
            return Ok(Verdict::NotRun);
        }
        while let Some(line) = begun.client.line(100.0).await {
            if let Some(token) = line.strip_prefix("TOKEN ") {
                begun.token = token.to_owned();
            }
        }
        tokens.push(begun.token);
    }
    env.note("the clients go to the other balancer, and stay there");
    let until = env.now() + 30_000.0;
    let mut staying = Vec::new();
    for token in tokens {
        let (fleet, second) = (fleet.clone(), second.clone());
        staying.push(tokio::task::spawn_local(async move { stay(&fleet, &second, token, until, 1).await }));
    }
    sleep(3_000.0).await;
    for index in 0..SERVERS / 2 {
        if env.has_trouble() {
            fleet.restart(index).await;
        }
        sleep(8_000.0).await;
    }
    let mut sessions = Vec::new();
    for task in staying {
        sessions.push(task.await.map_err(std::io::Error::other)??);
    }
    fleet.server_log();
    env.note("the clients come back to the first balancer, each with its last token");
    let (mut lost, mut resumed) = (0, 0);
    for (number, (token, saved)) in sessions.iter().enumerate() {
        let (client, answer) = fleet.resume(&first, token, 8_000.0).await?;
        sleep(150.0).await;
        drop(client);
        let state = loaded_state(&fleet.server_log());
        let up = answer.starts_with("UP ");
        // `BUSY` is no refusal: the client may come again.
        let complete =
            if up { state.is_some_and(|(upto, _)| upto >= *saved) } else { !answer.starts_with("ERR") };
        resumed += usize::from(up);
        env.note(format!(
            "session {number} (SAVED {saved}) at {}: {answer:?}, state {state:?}, sound: {complete}",
            first.name
        ));
        if !complete {
            lost += 1;
            let (client, answer) = fleet.resume(&second, token, 8_000.0).await?;
            sleep(150.0).await;
            drop(client);
            let state = loaded_state(&fleet.server_log());
            env.note(format!("session {number} at {}: {answer:?}, state {state:?}", second.name));
        }
    }
    sleep(300.0).await;
    first.note_log(&["session_rejected", "claim_"]);
    second.note_log(&["session_rejected", "claim_"]);
    env.note(format!("{lost} of {SESSIONS} clients were refused with their last token"));
    Ok(match (lost, resumed) {
        (0, 0) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    })
}
