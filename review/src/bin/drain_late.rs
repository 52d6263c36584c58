//! An open watch falls silent, and discovery is crowded: the next call waits for 2 s and is refused, the one
//! after it is answered after 1.9 s. Meanwhile a server drains. Exits with 1 if it gets new connections later
//! than 6 s, the grace and the slack after the watch fell silent.

use marllink_review::*;
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// What is missed on a silent watch counts as told this long after it fell silent (6 s), the window in which
/// sends must stop (`drainGraceMs`) and the slack on sockets, in milliseconds.
const LATEST_MS: f64 = 6_000.0 + 500.0 + 50.0;
/// How long a call that is refused has waited, and how long the next one waits for its answer, in milliseconds.
const REFUSED_AFTER_MS: u64 = 2_000;
const ANSWERED_AFTER_MS: u64 = 1_900;

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let code = tokio::task::LocalSet::new().block_on(&runtime, within_limit(run()));
    std::process::exit(code);
}

struct Discovery {
    record: Rc<Record>,
    before: String,
    after: String,
    silent: Cell<bool>,
    calls: Cell<u32>,
    last_line_at: Cell<f64>,
}

impl Discovery {
    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        read_http_request(&mut stream).await?;
        let list = if self.silent.get() {
            self.calls.set(self.calls.get() + 1);
            self.record.note(&format!("discovery: call {} since the silence", self.calls.get()));
            if self.calls.get() == 1 {
                sleep(REFUSED_AFTER_MS).await;
                self.record.note("discovery: the call has waited too long and is refused with 503");
                let refusal = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                return stream.write_all(refusal).await;
            }
            sleep(ANSWERED_AFTER_MS).await;
            self.record.note("discovery: the call's turn has come");
            &self.after
        } else {
            &self.before
        };
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        write_watch_line(&mut stream, list).await?;
        let from_before = !self.silent.get();
        loop {
            sleep(2_000).await;
            while from_before && self.silent.get() {
                sleep(1_000).await;
            }
            self.last_line_at.set(self.record.now());
            write_watch_line(&mut stream, "").await?;
        }
    }
}

async fn run() -> i32 {
    let record = Record::create();
    let sends = Rc::new(RefCell::new(Vec::new()));
    let mut listed = Vec::new();
    for s in 0..4 {
        let (sends, clock) = (sends.clone(), record.clone());
        let endpoint = start_server(move |_| {
            if s == 0 {
                sends.borrow_mut().push(clock.now());
            }
        })
        .await;
        listed.push(Listed { uid: format!("s-{s}"), endpoint, zone: "bkk", state: "SERVING" });
    }
    let before = list_text(1, true, &listed);
    listed[0].state = "DRAINING";
    let discovery = Rc::new(Discovery {
        record: record.clone(),
        before: before.clone(),
        after: list_text(2, true, &listed),
        silent: Cell::default(),
        calls: Cell::default(),
        last_line_at: Cell::default(),
    });
    let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await else { return NOT_RUN };
    let Ok(address) = listener.local_addr() else { return NOT_RUN };
    let shared = discovery.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let discovery = shared.clone();
            tokio::task::spawn_local(async move {
                let _ = discovery.serve(stream).await;
            });
        }
    });
    let balancer = Balancer::new(&record, "n0", None);
    balancer.configure(0, 2, 0, address, &before);
    if !balancer.start().await {
        return NOT_RUN;
    }
    let listen = balancer.listen;
    tokio::task::spawn_local(async move {
        for id in 1_u64.. {
            tokio::task::spawn_local(async move {
                let Ok(mut stream) = TcpStream::connect(listen).await else { return };
                let line = format!("OPEN {id:x} {id:x} c=sheet-view,d=4800\r\n");
                let _ = stream.write_all(line.as_bytes()).await;
                sleep(1_500).await;
            });
            sleep(25).await;
        }
    });
    sleep(3_000).await;
    // The watch falls silent right after a line.
    let line_before = discovery.last_line_at.get();
    while discovery.last_line_at.get() == line_before {
        sleep(5).await;
    }
    let silent_at = record.now();
    if has_trouble() {
        discovery.silent.set(true);
        record.note("trouble: the watch falls silent; s-0 drains from now on");
    }
    sleep(12_000).await;
    let late = sends.borrow().iter().filter(|at| **at > silent_at + LATEST_MS).count();
    let last_ms = sends.borrow().iter().fold(0.0, |last: f64, at| last.max(at - silent_at));
    record.plain(&format!(
        "{late} new connections to s-0 later than {LATEST_MS:.0} ms, the last after {last_ms:.0} ms"
    ));
    if !has_trouble() || late == 0 { HELD } else { BROKEN }
}
