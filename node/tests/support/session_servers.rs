//! Servers that take part in sessions: their lease replicas are emulated, their connections with clients are
//! played by the test.
#![allow(missing_docs, reason = "test names describe the expected behaviour")]

use super::support::{BalancerProcess, Peer, TestServer};
use marllink_emulator::model::LeaseReplica;
use marllink_sessions::lease_protocol::{self, Call, FrameReader, Reply, call, reply};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Short, so that the tests need not wait long for its end.
pub const LEASE_MS: u64 = 1_000;

/// A call that a replica has received, and when.
pub type ReceivedCall = (Instant, call::Body);

/// A connection for a session that the balancer has opened at one of the servers.
pub struct Upstream {
    pub peer: Peer,
}

impl Upstream {
    /// Requests a lease and returns the time until which it lasts.
    pub fn acquire_lease(&mut self) -> Instant {
        let sent_at = Instant::now();
        self.peer.send("RENEW 1\r\n");
        let line = self.peer.read_line();
        let ms = line.strip_prefix("LEASE 1 ").unwrap_or_else(|| panic!("no lease: {line}"));
        sent_at + Duration::from_millis(ms.parse().expect("a number"))
    }

    /// Receives the saved fields and accepts the connection.
    pub fn accept_session(&mut self) {
        while !self.peer.read_line().starts_with("STATE ") {}
        self.peer.send("UP 1\r\n");
    }
}

struct Shared {
    replica: Mutex<LeaseReplica>,
    started_at: Instant,
    server: usize,
    calls: Sender<ReceivedCall>,
    upstreams: Sender<Upstream>,
    answers_release_requests: Arc<AtomicBool>,
}

/// The servers of a test.
pub struct SessionServers {
    servers: Vec<TestServer>,
    calls: Receiver<ReceivedCall>,
    upstreams: Receiver<Upstream>,
    /// Whether the servers answer requests to release a session.
    pub answers_release_requests: Arc<AtomicBool>,
}

impl SessionServers {
    pub fn start() -> Self {
        let servers: Vec<_> = ["s-1", "s-2", "s-3", "s-4"].map(TestServer::new).into();
        let (call_sender, calls) = channel();
        let (upstream_sender, upstreams) = channel();
        let answers_release_requests = Arc::new(AtomicBool::new(false));
        for (server, played) in servers.iter().enumerate() {
            let listener = played.listener.try_clone().expect("a free descriptor");
            let shared = Arc::new(Shared {
                replica: LeaseReplica::new(100, None).into(),
                started_at: Instant::now(),
                server,
                calls: call_sender.clone(),
                upstreams: upstream_sender.clone(),
                answers_release_requests: answers_release_requests.clone(),
            });
            // The threads end with the test.
            std::thread::spawn(move || {
                while let Ok((stream, _)) = listener.accept() {
                    let shared = shared.clone();
                    std::thread::spawn(move || serve(stream, &shared));
                }
            });
        }
        Self { servers, calls, upstreams, answers_release_requests }
    }

    /// Starts a balancer with sessions, and waits until it has a lease at one server at least.
    pub fn start_balancer(&self) -> BalancerProcess {
        let servers: Vec<_> = self.servers.iter().collect();
        let balancer = BalancerProcess::start_prepared(&servers, 256, |socket| {
            let folder = socket.parent().expect("a path in the test's folder");
            let secret = "00112233445566778899aabbccddeeff".repeat(2);
            let keys = format!(r#"{{"keys":[{{"id":1,"secret":"{secret}"}}]}}"#);
            let operators = format!(
                r#"{{"sessions":{{"keys":"keys.json","keepers":3,"lease_ms":{LEASE_MS},"claim_ms":3000}}}}"#
            );
            std::fs::write(folder.join("keys.json"), keys).expect("a writable file");
            std::fs::write(folder.join("operators.json"), operators).expect("a writable file");
        });
        let mut renewals = 0;
        // With this many, at least one server has received two, the first of which was confirmed before.
        while renewals < 2 * servers.len() {
            let (_, body) = self.calls.recv_timeout(TIMEOUT).expect("a renewal");
            renewals += usize::from(matches!(body, call::Body::Renew(_)));
        }
        balancer
    }

    /// Waits for the next connection of a client.
    pub fn next_upstream(&self) -> Upstream {
        self.upstreams.recv_timeout(TIMEOUT).expect("a connection from the balancer")
    }

    /// Waits until a replica receives the release of the session, and returns when.
    pub fn wait_for_release(&self) -> Instant {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let (at, body) = self.calls.recv_timeout(left).expect("the session's release");
            if matches!(body, call::Body::Release(_)) {
                return at;
            }
        }
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    let mut frames = FrameReader::default();
    let first_line = loop {
        match frames.next_line() {
            Some(line) => break line,
            None if read_more(&mut stream, &mut frames) => {}
            None => return,
        }
    };
    match first_line.split(' ').next().unwrap_or_default() {
        "KEEP" => serve_link(stream, frames, &first_line, shared),
        "OPEN" => {
            let _ = shared.upstreams.send(Upstream { peer: Peer::from(stream) });
        }
        _ => {
            let _ = stream.write_all(b"PONG\r\n");
        }
    }
}

fn read_more(stream: &mut TcpStream, frames: &mut FrameReader) -> bool {
    let mut bytes = [0; 4_096];
    let count = stream.read(&mut bytes).unwrap_or(0);
    frames.read_buffer().extend_from_slice(&bytes[..count]);
    count > 0
}

fn serve_link(mut stream: TcpStream, mut frames: FrameReader, hello: &str, shared: &Shared) {
    let owner = lease_protocol::parse_hello(hello).expect("an owner number");
    let _ = stream.set_nodelay(true);
    let _ = stream.write_all(lease_protocol::welcome_line(shared.server as u64 + 1).as_bytes());
    loop {
        while let Some(call) = frames.next_frame::<Call>().expect("a frame") {
            let Some(reply) = handle(&call, owner, shared) else { continue };
            let mut frame = Vec::new();
            lease_protocol::write_frame(&reply, &mut frame);
            if stream.write_all(&frame).is_err() {
                return;
            }
        }
        if !read_more(&mut stream, &mut frames) {
            return;
        }
    }
}

fn handle(call: &Call, owner: u64, shared: &Shared) -> Option<Reply> {
    let body = call.body.clone()?;
    let reply = match &body {
        call::Body::LetGo(request) if shared.answers_release_requests.load(Ordering::Relaxed) => {
            Some(Reply::new(reply::Body::LetGo(*request)))
        }
        call::Body::LetGo(_) => None,
        _ => {
            let now = shared.started_at.elapsed().as_secs_f64() * 1_000.0;
            shared.replica.lock().expect("a healthy replica").handle(now, owner, call)
        }
    };
    let _ = shared.calls.send((Instant::now(), body));
    reply
}
