//! A balancer is upgraded: a new process takes over, and the old one is told to end with SIGTERM. Then the
//! new process is killed. Exits with 1 if requests that come afterwards are never answered although the old
//! process still runs and its machine has accepted their connections.

use marllink_review::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

const SERVERS: usize = 4;
/// Connections that are open before the upgrade: one of two balancers' part of 7.7 a second for up to 59 s.
const STANDING: u64 = 200;
/// From SIGTERM to the kill of the new process, in milliseconds.
const KILL_AFTER_MS: u64 = 100;
/// Interval between the clients that the front sends to this balancer, in milliseconds.
const CLIENT_INTERVAL_MS: u64 = 40;
/// From SIGTERM: how long new connections keep coming, in milliseconds (0.2 to 0.4 s).
const FRONT_SENDS_MS: u64 = 400;
/// The class's time until a client gives up, in milliseconds.
const DEADLINE_MS: u64 = 4_800;
/// After its time a request may still be answered for this long, in milliseconds; later it is lost.
const LATE_MS: u64 = 550;

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let code = tokio::task::LocalSet::new().block_on(&runtime, within_limit(run()));
    std::process::exit(code);
}

/// What became of one request.
struct Outcome {
    sent_at: f64,
    answer: String,
    ended_at: f64,
}

async fn client(record: Rc<Record>, balancer: SocketAddr, id: u64, outcomes: Rc<RefCell<Vec<Outcome>>>) {
    let Ok(Ok(stream)) = timeout(Duration::from_millis(1_000), TcpStream::connect(balancer)).await else {
        // Nobody listens: nothing was taken, and the front sends the client elsewhere.
        record.note(&format!("request {id:x}: the connection is refused"));
        return;
    };
    let (reader, mut writer) = stream.into_split();
    let line = format!("OPEN {id:016x} {id:x} c=sheet-view,d={DEADLINE_MS}\r\n");
    if writer.write_all(line.as_bytes()).await.is_err() {
        return;
    }
    let sent_at = record.now();
    let mut reader = BufReader::new(reader);
    let mut answer = String::new();
    let read = timeout(Duration::from_millis(DEADLINE_MS + LATE_MS), reader.read_line(&mut answer)).await;
    let answer = match read {
        Ok(Ok(n)) if n > 0 => answer.trim_end().to_owned(),
        Ok(Ok(_)) => "(closed without an answer)".to_owned(),
        Ok(Err(error)) => format!("(broken without an answer: {error})"),
        Err(_) => "(no answer in its time)".to_owned(),
    };
    let ended_at = record.now();
    record.note(&format!("request {id:x}, sent at {sent_at:.1}: {answer}"));
    let up = answer.starts_with("UP ");
    outcomes.borrow_mut().push(Outcome { sent_at, answer, ended_at });
    if up {
        // The client stays, and sends a line every 2 s until the connection ends.
        let mut line = String::new();
        loop {
            if writer.write_all(b"hello\r\n").await.is_err() {
                return;
            }
            for _ in 0..2 {
                line.clear();
                let read = timeout(Duration::from_millis(1_000), reader.read_line(&mut line)).await;
                if matches!(read, Ok(Ok(0) | Err(_))) || line.starts_with("MOVE") {
                    return;
                }
            }
        }
    }
}

async fn run() -> i32 {
    let record = Record::create();
    let mut listed = Vec::new();
    for s in 0..SERVERS {
        let endpoint = start_server(|_| ()).await;
        listed.push(Listed {
            uid: format!("s-{s}"),
            endpoint,
            zone: ["bkk", "cnx"][s % 2],
            state: "SERVING",
        });
    }
    let list = list_text(1, true, &listed);
    let discovery = StillDiscovery::start(list.clone()).await;
    let old = Balancer::new(&record, "n0", None);
    old.configure(0, 2, 0, discovery.address, &list);
    if !old.start().await {
        return NOT_RUN;
    }
    let outcomes = Rc::new(RefCell::new(Vec::new()));
    for id in 0x1000..0x1000 + STANDING {
        tokio::task::spawn_local(client(record.clone(), old.listen, id, outcomes.clone()));
        sleep(15).await;
    }
    let (front_record, front_outcomes, listen) = (record.clone(), outcomes.clone(), old.listen);
    let front = tokio::task::spawn_local(async move {
        for id in 0x100.. {
            let (record, outcomes) = (front_record.clone(), front_outcomes.clone());
            tokio::task::spawn_local(client(record, listen, id, outcomes));
            sleep(CLIENT_INTERVAL_MS).await;
        }
    });
    sleep(3_000).await;
    record.note("upgrade: a new process at the same address and with the same TMPDIR");
    let new = old.successor();
    if !new.start().await || !old.wait_for_log("a successor accepts clients").await {
        return NOT_RUN;
    }
    sleep(500).await;
    old.signal("TERM");
    let term_at = record.now();
    sleep(KILL_AFTER_MS).await;
    let killed_at = record.now();
    if has_trouble() {
        record.note("trouble: the new process is killed");
        new.kill();
    }
    sleep(FRONT_SENDS_MS - KILL_AFTER_MS).await;
    record.note("the front sends nobody here any more");
    let front_ends_at = record.now();
    front.abort();
    while !old.has_ended() && record.now() - term_at < 4_000.0 {
        sleep(20).await;
    }
    let old_ended_at = record.now();
    record.note(&format!("the old process has ended: {}", old.has_ended()));
    sleep(DEADLINE_MS + LATE_MS + 200).await;
    let outcomes = outcomes.borrow();
    // Those that the new process may have held when it was killed are lost with it, which is no fault.
    let judged = |o: &&Outcome| !has_trouble() || o.ended_at < killed_at || o.sent_at > killed_at + 50.0;
    let lost: Vec<_> = outcomes.iter().filter(judged).filter(|o| o.answer.starts_with('(')).collect();
    record.plain("--- verdict");
    record.plain(&format!(
        "{} requests, {} of them sent from the kill to {front_ends_at:.0}, the old process ended at {old_ended_at:.0}",
        outcomes.len(),
        outcomes.iter().filter(|o| o.sent_at > killed_at).count(),
    ));
    record.plain(&format!("{} requests were taken and never answered", lost.len()));
    if outcomes.len() < 30 {
        NOT_RUN
    } else if lost.is_empty() {
        HELD
    } else {
        BROKEN
    }
}
