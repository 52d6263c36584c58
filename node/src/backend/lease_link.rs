//! Links to lease replicas: at most one per server, each with a task that owns its socket.

use crate::exchange::session_driver::SessionDriver;
use crate::io::clock::{Clock, Millis};
use crate::io::connect::connect;
use crate::io::descriptors::Descriptor;
use crate::io::pump::{self, InterleavedLines};
use marllink::ServerId;
use marllink_sessions::Event;
use marllink_sessions::lease_protocol::{self, FrameReader, Reply};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;

/// Maximum time to connect and complete the handshake, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: Millis = 500.0;

/// Establishes a link, serves it until it ends, and reports the end to the session driver.
pub async fn run(
    session_driver: Weak<SessionDriver>,
    clock: Clock,
    server: ServerId,
    address: SocketAddr,
    owner: u64,
    outgoing: Rc<InterleavedLines>,
    descriptor: Descriptor,
) {
    let reason = match clock.within(HANDSHAKE_TIMEOUT_MS, handshake(&clock, address, owner)).await {
        None => "handshake timed out".to_owned(),
        Some(Err(reason)) => reason,
        Some(Ok((stream, incarnation, frames))) => {
            if let Some(session_driver) = session_driver.upgrade() {
                session_driver.feed(Event::LinkUp { server, incarnation });
            }
            tokio::select! {
                reason = read_replies(&session_driver, server, &stream, frames) => reason,
                reason = write_calls(&stream, outgoing) => reason,
            }
        }
    };
    drop(descriptor);
    if let Some(session_driver) = session_driver.upgrade() {
        tracing::debug!(event = "link_ended", server = server.0, reason);
        session_driver.link_ended(server);
    }
}

async fn handshake(
    clock: &Clock,
    address: SocketAddr,
    owner: u64,
) -> Result<(TcpStream, u64, FrameReader), String> {
    let stream = connect(clock, address, HANDSHAKE_TIMEOUT_MS).await.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    pump::write_all(&stream, lease_protocol::hello_line(owner).as_bytes())
        .await
        .map_err(|e| e.to_string())?;
    let mut frames = FrameReader::default();
    loop {
        if let Some(line) = frames.next_line() {
            let incarnation =
                lease_protocol::parse_welcome(&line).ok_or("the peer is not a lease replica")?;
            return Ok((stream, incarnation, frames));
        }
        let more = pump::read_more(&stream, frames.read_buffer()).await.map_err(|e| e.to_string())?;
        if !more || frames.line_too_long() {
            return Err("the peer is not a lease replica".into());
        }
    }
}

async fn read_replies(
    session_driver: &Weak<SessionDriver>,
    server: ServerId,
    stream: &TcpStream,
    mut frames: FrameReader,
) -> String {
    loop {
        loop {
            match frames.next_frame::<Reply>() {
                Ok(Some(reply)) => {
                    let Some(session_driver) = session_driver.upgrade() else {
                        return "the process is shutting down".into();
                    };
                    session_driver.feed(Event::ReplyReceived { server, reply });
                }
                Ok(None) => break,
                Err(error) => return error.to_string(),
            }
        }
        match pump::read_more(stream, frames.read_buffer()).await {
            Ok(true) => {}
            Ok(false) => return "closed".into(),
            Err(error) => return error.to_string(),
        }
    }
}

async fn write_calls(stream: &TcpStream, outgoing: Rc<InterleavedLines>) -> String {
    loop {
        outgoing.wait_for_lines().await;
        let bytes = outgoing.take();
        if let Err(error) = pump::write_all(stream, &bytes).await {
            return error.to_string();
        }
    }
}
