//! A client saves a field with a line of full length, and the save is confirmed. Then its server dies. Exits
//! with 1 if the session can't be resumed with that field.

use marllink_emulator::model::Note;
use marllink_emulator::sockets::{EntryLog, ServerConfig, ServerFault, Servers};
use marllink_review::*;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const SERVERS: usize = 6;
/// A line holds at most 4 KiB; the line end counts, as it does for the balancer.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// For how long the client tries to resume, in seconds.
const RESUME_S: u64 = 30;
const SESSIONS: &str = r#"{"sessions":{"keys":"keys.json","keepers":3,"lease_ms":2000,"clock_drift_percent":2,"token_s":600,"journal_kib":16,"claim_ms":1000}}"#;

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let code = tokio::task::LocalSet::new().block_on(&runtime, within_limit(run()));
    std::process::exit(code);
}

/// The line buffer of a server: it takes no line that is longer than the protocol allows, answers one with
/// `ERR` and ends the connection. All else passes unchanged. Returns the address for the balancer.
async fn start_line_buffer(record: Rc<Record>, name: String, server: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    tokio::task::spawn_local(async move {
        while let Ok((balancer_side, _)) = listener.accept().await {
            let (record, name) = (record.clone(), name.clone());
            tokio::task::spawn_local(async move {
                // A server that is down refuses connections; here they are reset at once.
                let Ok(server_side) = TcpStream::connect(server).await else { return reset(balancer_side) };
                let _ = serve_lines(&record, &name, balancer_side, server_side).await;
            });
        }
    });
    address
}

#[allow(deprecated)]
fn reset(stream: TcpStream) {
    let _ = stream.set_linger(Some(Duration::ZERO));
}

async fn serve_lines(
    record: &Record,
    name: &str,
    balancer_side: TcpStream,
    server_side: TcpStream,
) -> std::io::Result<()> {
    let _ = balancer_side.set_nodelay(true);
    let _ = server_side.set_nodelay(true);
    let mut first = [0; 5];
    let has_lines = balancer_side.peek(&mut first).await? == 5 && &first == b"OPEN ";
    let (from_balancer, mut to_balancer) = balancer_side.into_split();
    let (mut from_server, mut to_server) = server_side.into_split();
    let mut lines = BufReader::new(from_balancer);
    let up = async {
        if !has_lines {
            return tokio::io::copy(&mut lines, &mut to_server).await.map(|_| None);
        }
        let mut line = Vec::new();
        while lines.read_until(b'\n', &mut line).await? > 0 {
            if line.len() > MAX_LINE_BYTES {
                return Ok(Some(line));
            }
            to_server.write_all(&line).await?;
            line.clear();
        }
        Ok(None)
    };
    let down = async { tokio::io::copy(&mut from_server, &mut to_balancer).await.map(|_| ()) };
    let too_long: std::io::Result<Option<Vec<u8>>> = tokio::select! {
        end = up => end,
        end = down => end.map(|()| None),
    };
    if let Ok(Some(line)) = too_long {
        let start = String::from_utf8_lossy(&line[..line.len().min(24)]).into_owned();
        record.note(&format!("{name} gets a line of {} bytes, {start:?}..., and answers ERR", line.len()));
        to_balancer.write_all(b"ERR\r\n").await?;
    }
    Ok(())
}

/// One connection of the client.
struct Connection {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl Connection {
    async fn open(record: &Record, balancer: SocketAddr, id: u64, session: &str) -> Option<(Self, String)> {
        let stream = TcpStream::connect(balancer).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let mut connection = Self { reader: BufReader::new(reader), writer };
        let shown = if session == "new" { "new" } else { "TOKEN" };
        record.note(&format!("client: OPEN {id:016x} ... s={shown}"));
        connection.send(&format!("OPEN {id:016x} 7 c=field-save,d=4800,s={session}")).await?;
        let answer = connection.line(6_000).await.unwrap_or_default();
        record.note(&format!("client gets {answer:?}"));
        Some((connection, answer))
    }

    async fn send(&mut self, line: &str) -> Option<()> {
        self.writer.write_all(format!("{line}\r\n").as_bytes()).await.ok()
    }

    async fn line(&mut self, ms: u64) -> Option<String> {
        let mut line = String::new();
        let read = timeout(Duration::from_millis(ms), self.reader.read_line(&mut line)).await.ok()?.ok()?;
        (read > 0).then(|| line.trim_end().to_owned())
    }
}

async fn run() -> i32 {
    let record = Record::create();
    let log = EntryLog::new();
    let config = ServerConfig { capacity: 1_000, clock_drift: 0.0, injected_bug: None };
    let Ok(servers) = Servers::start(log.clone(), SERVERS, 1, config, || 0.0).await else { return NOT_RUN };
    let mut listed = Vec::new();
    for s in 0..SERVERS {
        let name = servers.name(s).to_owned();
        let endpoint = start_line_buffer(record.clone(), name.clone(), servers.address(s, 0)).await;
        listed.push(Listed { uid: name, endpoint, zone: ["bkk", "cnx"][s % 2], state: "SERVING" });
    }
    let list = list_text(1, true, &listed);
    let discovery = StillDiscovery::start(list.clone()).await;
    let balancer = Balancer::new(&record, "n0", Some(SESSIONS));
    balancer.configure(0, 1, 0, discovery.address, &list);
    if !balancer.start().await {
        return NOT_RUN;
    }
    sleep(3_000).await;
    let line_bytes = std::env::var("LINE_BYTES").ok().and_then(|n| n.parse().ok()).unwrap_or(MAX_LINE_BYTES);
    let start = "SAVE 1 sheet=";
    let value = "x".repeat(line_bytes - start.len() - 2);
    let Some((mut client, answer)) = Connection::open(&record, balancer.listen, 1, "new").await else {
        return NOT_RUN;
    };
    if !answer.starts_with("UP ") {
        return NOT_RUN;
    }
    let Some(token) = client.line(2_000).await.and_then(|l| l.strip_prefix("TOKEN ").map(str::to_owned))
    else {
        return NOT_RUN;
    };
    client.send("HAVE").await;
    record.note(&format!("client: a SAVE line of {line_bytes} bytes, its line end included"));
    client.send(&format!("{start}{value}")).await;
    let confirmed = client.line(4_000).await.unwrap_or_default();
    record.note(&format!("client gets {confirmed:?}"));
    if confirmed != "SAVED 1" {
        return NOT_RUN;
    }
    let entries = log.take();
    let holder = entries.iter().rev().find(|e| matches!(e.note, Note::LeaseAcquired { .. }));
    let Some(holder) = holder.and_then(|e| (0..SERVERS).find(|s| servers.name(*s) == e.by)) else {
        return NOT_RUN;
    };
    sleep(2_000).await;
    if !has_trouble() {
        client.send("still here").await;
        let echoed = client.line(2_000).await;
        record.note(&format!("client sends a line and gets {echoed:?}"));
        return if echoed.as_deref() == Some("still here") { HELD } else { BROKEN };
    }
    record.note(&format!("trouble: {} is killed and stays down", servers.name(holder)));
    servers.fault(holder, ServerFault::Kill(200_000.0));
    while client.line(10_000).await.is_some() {}
    record.note("the client's connection has ended");
    let until = Instant::now() + Duration::from_secs(RESUME_S);
    let mut id = 2;
    let mut verdict = "the client can't resume its session: its confirmed save is lost";
    let mut code = BROKEN;
    while Instant::now() < until {
        sleep(600).await;
        let Some((_connection, answer)) = Connection::open(&record, balancer.listen, id, &token).await else {
            continue;
        };
        id += 1;
        if answer.starts_with("UP ") {
            let entries = log.take();
            let has_field = entries.iter().any(|e| match &e.note {
                Note::StateLoaded { upto, fields, .. } => {
                    *upto == 1 && fields.iter().any(|(name, v)| name == "sheet" && *v == value)
                }
                _ => false,
            });
            (code, verdict) = if has_field {
                (HELD, "the session is resumed with the field")
            } else {
                (BROKEN, "the session is resumed without the field")
            };
            break;
        }
        if answer == "ERR" {
            verdict =
                "the client is told ERR: its token is not valid any more, and its confirmed save is lost";
            break;
        }
        if let Some(ms) = answer.strip_prefix("BUSY ").and_then(|ms| ms.parse::<u64>().ok()) {
            sleep(ms.min(2_000)).await;
        }
    }
    record.note(verdict);
    code
}
