//! A balancer is killed while one host restarts. Exits with 1 if a client that comes again with its valid
//! token is told that it is not valid, although two of the three replicas of its session are up and have it.

use marllink_emulator::model::{Note, SessionClientConfig, TokenKind};
use marllink_emulator::sockets::{EntryLog, ServerConfig, ServerFault, Servers, SessionClients};
use marllink_review::*;

const SERVERS: usize = 6;
/// Both balancers are in zone `bkk`, so that its clients come to the other one.
const BALANCERS: usize = 2;
const CLIENTS: usize = 240;
/// One way to each host, in microseconds: hosts with even numbers are in the balancers' zone (0.13 to 0.31 ms),
/// the others in the other zone (5.6 to 10 ms).
const ONE_WAY_US: [u64; SERVERS] = [200, 6_000, 200, 7_000, 200, 8_000];
/// For how long the host is down, in milliseconds.
const DOWN_MS: f64 = 300.0;
const SESSIONS: &str = r#"{"sessions":{"keys":"keys.json","keepers":3,"lease_ms":2000,"clock_drift_percent":2,"token_s":600,"claim_ms":1000}}"#;

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let code = tokio::task::LocalSet::new().block_on(&runtime, within_limit(run()));
    std::process::exit(code);
}

async fn run() -> i32 {
    let record = Record::create();
    let log = EntryLog::new();
    let config = ServerConfig { capacity: 1_000, clock_drift: 0.0, injected_bug: None };
    let Ok(servers) = Servers::start(log.clone(), SERVERS, BALANCERS, config, || 0.0).await else {
        return NOT_RUN;
    };
    let (mut proxies, mut balancers) = (Vec::new(), Vec::new());
    for b in 0..BALANCERS {
        let mut listed = Vec::new();
        for s in 0..SERVERS {
            let name = servers.name(s).to_owned();
            let proxy =
                Proxy::start(record.clone(), name.clone(), servers.address(s, b), ONE_WAY_US[s]).await;
            listed.push(Listed {
                uid: name,
                endpoint: proxy.address,
                zone: ["bkk", "cnx"][s % 2],
                state: "SERVING",
            });
            proxies.push(proxy);
        }
        let list = list_text(1, true, &listed);
        let discovery = StillDiscovery::start(list.clone()).await;
        let balancer = Balancer::new(&record, &format!("n{b}"), Some(SESSIONS));
        balancer.configure(b, BALANCERS, 0, discovery.address, &list);
        balancers.push(balancer);
    }
    for balancer in &balancers {
        if !balancer.start().await {
            return NOT_RUN;
        }
    }
    sleep(3_000).await;
    let client_config = SessionClientConfig {
        save_interval_ms: 500.0,
        field_count: 4,
        value_bytes: 24,
        max_unconfirmed: 4,
        min_reconnect_delay_ms: 170.0,
        max_reconnect_delay_ms: 1_700.0,
        balancer_count: BALANCERS,
        answer_timeout_ms: 4_800.0,
        resumes_after_taken: true,
    };
    let addresses = balancers.iter().map(|balancer| balancer.listen).collect();
    let offset_ms = record.now() - log.now();
    let clients = SessionClients::start(log.clone(), addresses, CLIENTS, client_config, 1, 4_000.0);
    sleep(8_000).await;
    if clients.connected_count() < CLIENTS {
        record.note("not all clients are connected");
        return NOT_RUN;
    }
    let (host, killed) = (0, 0);
    if has_trouble() {
        let only = std::env::var("ONLY").unwrap_or_default();
        if only != "balancer" {
            record.note(&format!("trouble: {} restarts and is down for {DOWN_MS} ms", servers.name(host)));
            servers.fault(host, ServerFault::Kill(DOWN_MS));
        }
        if only != "host" {
            record.note(&format!("trouble: the balancer at {} is killed", balancers[killed].listen));
            balancers[killed].kill();
            sleep(3_000).await;
            if !balancers[killed].start().await {
                return NOT_RUN;
            }
        }
    }
    sleep(6_000).await;
    clients.stop_saving();
    sleep(2_000).await;
    let entries = log.take();
    let (mut lines, mut lost) = (Vec::new(), 0);
    for entry in &entries {
        let at = entry.at + offset_ms;
        match &entry.note {
            Note::SaveApplied { .. } | Note::StateLoaded { .. } | Note::SaveSent { .. } => {}
            Note::SavesConfirmed { .. } | Note::LeaseAcquired { .. } | Note::LeaseReleased { .. } => {}
            Note::Answered { word, token: TokenKind::Good, .. } if word == "ERR" => {
                lost += 1;
                let confirmed = entries.iter().filter(|other| other.by == entry.by).filter_map(|other| {
                    if let Note::SavesConfirmed { n } = other.note { Some(n) } else { None }
                });
                lines.push((
                    at,
                    format!(
                        "{} presents its valid token and is told ERR: {} confirmed saves are lost",
                        entry.by,
                        confirmed.max().unwrap_or_default()
                    ),
                ));
            }
            other => lines.push((at, format!("{} {other:?}", entry.by))),
        }
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    record.plain("--- what clients did and were answered, in order");
    lines.iter().for_each(|(at, line)| record.plain(&format!("{at:9.1} {line}")));
    for (b, balancer) in balancers.iter().enumerate() {
        let text = std::fs::read_to_string(balancer.folder().join("log")).unwrap_or_default();
        record.plain(&format!("n{b} logged keepers_lost {} times", text.matches("keepers_lost").count()));
    }
    record.plain("--- verdict");
    record
        .plain(&format!("{CLIENTS} sessions, {lost} lost, {} clients unsettled", clients.unsettled_count()));
    if lost > 0 { BROKEN } else { HELD }
}
