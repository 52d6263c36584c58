//! Links to keepers: one to a form host at most, each with a task that owns its socket.

use crate::exchange::session_driver::SessionDriver;
use crate::io::clock::{Clock, Millis};
use crate::io::connect::connect;
use crate::io::descriptors::Descriptor;
use crate::io::pump::{self, Between};
use marllink::ServerId;
use marllink_sessions::Event;
use marllink_sessions::keep::{self, FrameReader, Reply};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;

/// A link that does not stand within this time has failed.
const LINK_MS: Millis = 500.0;

/// Makes a link and carries it to its end, of which it tells.
pub async fn run(
    resume: Weak<SessionDriver>,
    clock: Clock,
    server: ServerId,
    address: SocketAddr,
    owner: u64,
    words: Rc<Between>,
    descriptor: Descriptor,
) {
    let reason = match clock.within(LINK_MS, greet(&clock, address, owner)).await {
        None => "no answer in time".to_owned(),
        Some(Err(reason)) => reason,
        Some(Ok((stream, incarnation, frames))) => {
            if let Some(resume) = resume.upgrade() {
                resume.feed(Event::LinkUp { server, incarnation });
            }
            tokio::select! {
                reason = hear(&resume, server, &stream, frames) => reason,
                reason = say(&stream, words) => reason,
            }
        }
    };
    drop(descriptor);
    if let Some(resume) = resume.upgrade() {
        tracing::debug!(event = "link_ended", server = server.0, reason);
        resume.link_ended(server);
    }
}

async fn greet(
    clock: &Clock,
    address: SocketAddr,
    owner: u64,
) -> Result<(TcpStream, u64, FrameReader), String> {
    let stream = connect(clock, address, LINK_MS).await.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    pump::write_all(&stream, keep::hello_line(owner).as_bytes()).await.map_err(|e| e.to_string())?;
    let mut frames = FrameReader::default();
    loop {
        if let Some(line) = frames.next_line() {
            let incarnation = keep::parse_welcome(&line).ok_or("it is no keeper")?;
            return Ok((stream, incarnation, frames));
        }
        let more = pump::read_more(&stream, frames.read_buffer()).await.map_err(|e| e.to_string())?;
        if !more || frames.line_too_long() {
            return Err("it is no keeper".into());
        }
    }
}

async fn hear(
    resume: &Weak<SessionDriver>,
    server: ServerId,
    stream: &TcpStream,
    mut frames: FrameReader,
) -> String {
    loop {
        loop {
            match frames.next_frame::<Reply>() {
                Ok(Some(reply)) => {
                    let Some(resume) = resume.upgrade() else { return "the end".into() };
                    resume.feed(Event::Heard { server, reply });
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

async fn say(stream: &TcpStream, words: Rc<Between>) -> String {
    loop {
        words.some().await;
        let bytes = words.take();
        if let Err(error) = pump::write_all(stream, &bytes).await {
            return error.to_string();
        }
    }
}
