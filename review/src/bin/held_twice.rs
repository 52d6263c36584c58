//! A session's connection is reset between its balancer and its server, and the reset reaches the server
//! later than the balancer. Exits with 1 if two servers held a session at the same time.

use marllink_emulator::model::{Note, SessionClientConfig};
use marllink_emulator::sockets::{EntryLog, ServerConfig, Servers, SessionClients};
use marllink_review::*;
use std::collections::BTreeMap;

const SERVERS: usize = 6;
const BALANCERS: usize = 2;
const CLIENTS: usize = 30;
/// For how long one server is cut off, in milliseconds.
const CUT_MS: u64 = 3_000;
/// Each time limit of the rules is this much longer on sockets, in milliseconds.
const SLACK_MS: f64 = 50.0;
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
        let (mut of_balancer, mut listed) = (Vec::new(), Vec::new());
        for s in 0..SERVERS {
            let name = servers.name(s).to_owned();
            let proxy = Proxy::start(record.clone(), name.clone(), servers.address(s, b), 0).await;
            let zone = ["bkk", "cnx"][s % 2];
            listed.push(Listed { uid: name, endpoint: proxy.address, zone, state: "SERVING" });
            of_balancer.push(proxy);
        }
        proxies.push(of_balancer);
        let list = list_text(1, true, &listed);
        let discovery = StillDiscovery::start(list.clone()).await;
        let balancer = Balancer::new(&record, &format!("n{b}"), Some(SESSIONS));
        balancer.configure(b, BALANCERS, b % 2, discovery.address, &list);
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
    let clients = SessionClients::start(log.clone(), addresses, CLIENTS, client_config, 1, 2_000.0);
    sleep(6_000).await;
    if clients.connected_count() < CLIENTS {
        record.note("not all clients are connected");
        return NOT_RUN;
    }
    // The server that holds the most sessions, and all of its sessions.
    let mut held = BTreeMap::<String, usize>::new();
    let mut entries = log.take();
    for entry in &entries {
        match entry.note {
            Note::LeaseAcquired { .. } => *held.entry(entry.by.clone()).or_default() += 1,
            Note::LeaseReleased { .. } => *held.entry(entry.by.clone()).or_default() -= 1,
            _ => {}
        }
    }
    let victim = (0..SERVERS).max_by_key(|s| held.get(servers.name(*s)).copied()).unwrap_or(0);
    record.note(&format!("sessions held: {held:?}"));
    if has_trouble() {
        let resets = std::env::var("RESETS").map_or(true, |value| value != "0");
        record.note(&format!("trouble: {} is cut off for {CUT_MS} ms", servers.name(victim)));
        for of_balancer in &proxies {
            of_balancer[victim].cut_off(CUT_MS, resets);
        }
    }
    sleep(8_000).await;
    clients.stop_saving();
    sleep(2_000).await;
    let unsettled = clients.unsettled_count();
    let mut tenures: BTreeMap<String, Vec<(f64, f64, String, String)>> = BTreeMap::new();
    let mut lines = Vec::new();
    entries.extend(log.take());
    for entry in entries {
        let at = entry.at + offset_ms;
        match &entry.note {
            Note::LeaseAcquired { session, ballot } => {
                lines.push((at, format!("{} holds session {session} under {ballot}", entry.by)));
                let tenure = (at, f64::INFINITY, entry.by.clone(), ballot.to_string());
                tenures.entry(session.clone()).or_default().push(tenure);
            }
            Note::LeaseReleased { session, ballot, late_ms } => {
                lines.push((
                    at - late_ms,
                    format!("{} no longer holds session {session} under {ballot}", entry.by),
                ));
                let held = tenures.entry(session.clone()).or_default().iter_mut();
                let ballot = ballot.to_string();
                for tenure in held.filter(|t| t.2 == entry.by && t.3 == ballot) {
                    tenure.1 = tenure.1.min(at - late_ms);
                }
            }
            Note::SaveApplied { .. } | Note::StateLoaded { .. } | Note::SaveSent { .. } => {}
            other => lines.push((at, format!("{} {other:?}", entry.by))),
        }
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    record.plain("--- what servers and clients did, in order");
    lines.iter().for_each(|(at, line)| record.plain(&format!("{at:9.1} {line}")));
    record.plain("--- verdict");
    let mut broken = 0;
    for (session, held) in &mut tenures {
        held.sort_by(|a, b| a.0.total_cmp(&b.0));
        for pair in held.windows(2) {
            let overlap_ms = pair[0].1.min(pair[1].1) - pair[1].0;
            if overlap_ms > SLACK_MS {
                broken += 1;
                record.plain(&format!(
                    "session {session}: {} under {} and {} under {} both held it for {overlap_ms:.0} ms",
                    pair[0].2, pair[0].3, pair[1].2, pair[1].3
                ));
            }
        }
    }
    record.plain(&format!("{} sessions, {broken} held twice, {unsettled} clients unsettled", tenures.len()));
    if tenures.len() < CLIENTS {
        NOT_RUN
    } else if broken > 0 {
        BROKEN
    } else {
        HELD
    }
}
