//! The client side: takes connections, reads what they ask, and carries lines to and from the
//! exchange. Knows nothing of form hosts.

use crate::clock::{Clock, Millis};
use crate::descriptors::{Descriptor, Descriptors};
use crate::exchange::{Exchange, Pipe, Ticket};
use crate::protocol::line::{self, Hello, LONGEST, Opening};
use crate::pump;
use crate::ring::End;
use socket2::SockRef;
use std::net::Shutdown;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// A connection must send its first line within this time: clients send it at once.
const FIRST_LINE_MS: Millis = 5_000.0;
/// When one direction has ended, the other has so long to end as well.
const LINGER_MS: Millis = 30_000.0;
/// A client that has had its last line has so long to close.
const CLOSE_MS: Millis = 500.0;
/// After a failed accept, and while no descriptor is free, so long passes before the next.
const PAUSE_MS: Millis = 10.0;
/// The decisions answer before a client's time is over; this much later the guard does.
const OVERDUE_MS: Millis = 5.0;

/// The client side.
pub struct Clients {
    /// Where requests go.
    pub exchange: Rc<Exchange>,
    /// For the time limits.
    pub clock: Clock,
    /// For the sockets.
    pub descriptors: Rc<Descriptors>,
    /// What a client is told that comes while all descriptors are in use; 0 for nothing.
    pub retry_after_ms: Millis,
}

impl Clients {
    /// Accepts connections for ever.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let descriptor = self.descriptor().await;
                    let clients = self.clone();
                    tokio::task::spawn_local(async move { clients.serve(stream, descriptor).await });
                }
                Err(error) => {
                    // Trying again at once would spin, and what is missing comes back with time.
                    tracing::warn!(%error, "a connection could not be accepted");
                    self.clock.sleep(PAUSE_MS).await;
                }
            }
        }
    }

    /// A descriptor for a connection just accepted, by which it is served or at least refused.
    async fn descriptor(&self) -> Descriptor {
        loop {
            let descriptor = self.descriptors.take().or_else(|| self.descriptors.take_for_refusal());
            match descriptor {
                Some(descriptor) => return descriptor,
                None => self.clock.sleep(PAUSE_MS).await,
            }
        }
    }

    /// Serves one connection to its end; the descriptor is given back after the socket.
    async fn serve(&self, stream: TcpStream, descriptor: Descriptor) {
        // Lines are short and must not wait for others.
        let _ = stream.set_nodelay(true);
        let pipe = Pipe::new();
        loop {
            let Some(hello) = self.clock.within(FIRST_LINE_MS, first_line(&stream, &pipe)).await else {
                break;
            };
            match hello {
                Ok(Some(Hello::Ping)) => {
                    if pump::write_all(&stream, b"PONG\r\n").await.is_err() {
                        break;
                    }
                }
                Ok(Some(Hello::Open(_))) if descriptor.for_refusal() => {
                    self.farewell(&stream, &line::busy(self.retry_after_ms)).await;
                    break;
                }
                Ok(Some(Hello::Open(opening))) => {
                    self.carry(&stream, *opening, pipe).await;
                    break;
                }
                Ok(None) => {
                    self.farewell(&stream, "ERR\r\n").await;
                    break;
                }
                Err(Gone) => break,
            }
        }
        drop(stream);
        drop(descriptor);
    }

    /// Carries one request and its connection.
    async fn carry(&self, stream: &TcpStream, opening: Opening, pipe: Rc<Pipe>) {
        let Some(ticket) = self.exchange.open(opening, pipe.clone()).await else {
            return self.farewell(stream, "ERR\r\n").await;
        };
        // Lines may have come along with the first.
        ticket.sent(&pipe);
        let reading = pump::fill(stream, &pipe.up, || {
            ticket.sent(&pipe);
            true
        });
        let writing = pump::empty(&pipe.down, stream);
        tokio::pin!(reading, writing);
        let mut client_may_send = true;
        let more = tokio::select! {
            () = self.overdue(&ticket) => false,
            left = &mut reading => match left {
                Some(End::Closed) if pipe.standing() => {
                    pipe.up.end(End::Closed);
                    self.clock.within(LINGER_MS, &mut writing).await;
                    return;
                }
                // A client that leaves before its answer has given up.
                Some(_) => return,
                None => {
                    // The form host is gone: nothing more is read, only what it said last goes out.
                    client_may_send = false;
                    self.clock.within(LINGER_MS, &mut writing).await.unwrap_or(false)
                }
            },
            more = &mut writing => more,
        };
        if more && client_may_send {
            // The form host has ended its sending; the client may still send.
            if let Some(Some(end)) = self.clock.within(LINGER_MS, &mut reading).await {
                pipe.up.end(end);
            }
        } else if !pipe.down.broken() {
            self.drain(stream).await;
        }
    }

    /// Guards the client's time; ends only with the connection.
    async fn overdue(&self, ticket: &Ticket) {
        self.clock.sleep(ticket.wait_ms() + OVERDUE_MS).await;
        ticket.overdue();
        std::future::pending().await
    }

    /// Sends a last line and closes.
    async fn farewell(&self, stream: &TcpStream, line: &str) {
        if self.clock.within(CLOSE_MS, pump::write_all(stream, line.as_bytes())).await.is_some() {
            self.drain(stream).await;
        }
    }

    /// Ends our sending and waits for the client to close. A close with lines of the client unread
    /// is a reset, which may overtake the last line we sent.
    async fn drain(&self, stream: &TcpStream) {
        let _ = SockRef::from(stream).shutdown(Shutdown::Write);
        let rest = async {
            let mut unread = [0; 1024];
            loop {
                if stream.readable().await.is_err() {
                    return;
                }
                match stream.try_read(&mut unread) {
                    Ok(0) => return,
                    Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return,
                    _ => {}
                }
            }
        };
        self.clock.within(CLOSE_MS, rest).await;
    }
}

/// The client has closed or broken its connection.
struct Gone;

/// Reads a first line; `None` if it is not of the protocol, or too long.
async fn first_line(stream: &TcpStream, pipe: &Pipe) -> Result<Option<Hello>, Gone> {
    let up = &pipe.up;
    let whole = || up.line().is_some() || up.held() > LONGEST;
    if !whole() && pump::fill(stream, up, || !whole()).await != Some(End::Reset) || !whole() {
        return Err(Gone);
    }
    Ok(up.line().filter(|line| line.len() <= LONGEST).and_then(|line| {
        up.discard(line.len());
        line::hello(&line)
    }))
}
