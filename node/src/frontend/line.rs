//! The client side: takes connections, reads what they ask, and carries lines to and from the
//! exchange. Knows nothing of form hosts.

use crate::exchange::{Adopted, Exchange, Pipe, RequestHandle};
use crate::io::clock::{Clock, Millis};
use crate::io::descriptors::{Descriptor, Descriptors, Purpose};
use crate::io::listener::{self, Listener};
use crate::io::places::{Place, Places};
use crate::io::pump::{self, Filled};
use crate::io::ring::End;
use crate::operations::tuning::Tuning;
use crate::protocol::line::{self, Hello, LONGEST, Opening};
use socket2::SockRef;
use std::cell::Cell;
use std::net::Shutdown;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// A connection must have asked for something sound within this time of being accepted, however
/// many lines it sends: a limit on each line could be drawn out for ever. Clients may take 2 s to
/// write, and whoever asks for nothing is owed an answer within 3 s of connecting.
const OPENING_MS: Millis = 2_700.0;
/// So many `PING`s may come before that; more is a flood.
const MOST_PINGS: usize = 8;
/// A connection that is turned away has so long to take its last line, counted as above. It may be
/// sending all the while, and a close with input unread would destroy that line.
const TURN_AWAY_MS: Millis = 5_500.0;
/// When one direction has ended, the other has so long to end as well.
const LINGER_MS: Millis = 30_000.0;
/// A client that has had its last line and sends nothing has so long to close.
const CLOSE_MS: Millis = 500.0;
/// After a failed accept so long passes before the next.
const PAUSE_MS: Millis = 10.0;
/// The decisions answer before a client's time is over; this much later the guard does.
const OVERDUE_MS: Millis = 5.0;
/// Input that nobody wants is dropped in pieces of this size ...
const DROPPED: usize = 512 * 1024;
/// ... with a pause after each: a flood at full speed must not take the CPU from those served.
const DROP_PAUSE_MS: Millis = 5.0;
/// So often is told how many were turned away.
const TELL_MS: Millis = 10_000.0;

/// The client side.
pub struct LineFrontend {
    /// Where requests go.
    pub exchange: Rc<Exchange>,
    /// For the time limits.
    pub clock: Clock,
    /// For the sockets.
    pub descriptors: Rc<Descriptors>,
    /// For what a client is told that comes while all descriptors are in use.
    pub tuning: Rc<Tuning>,
    /// Of connections that have not asked for anything sound yet or are being turned away.
    pub openings: Rc<Places>,
    /// Whether clients are accepted.
    pub serving: watch::Receiver<bool>,
    /// Whether the process is about to end: who has not asked yet is sent elsewhere.
    pub ending: watch::Receiver<bool>,
    /// How many have been turned away since that was last told.
    pub turned_away: Cell<usize>,
}

impl LineFrontend {
    /// Accepts connections for ever, while this process serves.
    pub async fn accept(self: Rc<Self>, listener: &Listener) {
        let mut serving = self.serving.clone();
        while serving.wait_for(|serving| *serving).await.is_ok() {
            let accepted = tokio::select! {
                biased;
                _ = serving.wait_for(|serving| !*serving) => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(stream) => {
                    let place = self.openings.place().await;
                    let clients = self.clone();
                    tokio::task::spawn_local(async move { clients.serve(stream, place).await });
                }
                Err(error) => {
                    // Trying again at once would spin, and what is missing comes back with time.
                    tracing::warn!(%error, "a connection could not be accepted");
                    self.clock.sleep(PAUSE_MS).await;
                }
            }
        }
    }

    /// Carries connections that another process has passed on, for ever.
    pub async fn adopt(self: Rc<Self>, mut adopted: mpsc::UnboundedReceiver<Adopted>) {
        while let Some(Adopted { socket, request_handle, pipe, descriptor }) = adopted.recv().await {
            let clients = self.clone();
            tokio::task::spawn_local(async move {
                clients.carry(&socket, request_handle, &pipe).await;
                pipe.release_client(socket, descriptor);
            });
        }
    }

    /// Tells from time to time how many were turned away, if any were, for ever.
    pub async fn tell(&self) {
        loop {
            self.clock.sleep(TELL_MS).await;
            let count = self.turned_away.take();
            if count > 0 {
                tracing::info!("{count} connections that asked for nothing sound were turned away");
            }
        }
    }

    /// Takes connections that wait to be accepted now, whether or not the event loop has heard of them. Tells if
    /// there were any.
    pub fn accept_pending(self: &Rc<Self>, listener: &Listener) -> bool {
        let mut any = false;
        while let Some(stream) = listener.accept_waiting() {
            any = true;
            let clients = self.clone();
            tokio::task::spawn_local(async move {
                let place = clients.openings.place().await;
                match listener::register(stream).await {
                    Ok(stream) => clients.serve(stream, place).await,
                    Err(error) => tracing::warn!(%error, "an accepted connection could not be served"),
                }
            });
        }
        any
    }

    /// Serves one connection to its end.
    async fn serve(&self, stream: TcpStream, place: Place) {
        // Lines are short and must not wait for others.
        let _ = stream.set_nodelay(true);
        let until = self.clock.now() + OPENING_MS;
        let pipe = Pipe::new();
        match self.taken(&stream, &pipe, &place, until).await {
            Ok((request_handle, descriptor)) => {
                drop(place);
                self.carry(&stream, request_handle, &pipe).await;
                pipe.release_client(stream, descriptor);
            }
            Err(RejectReason::Gone) => drop(stream),
            Err(reason) => {
                if !matches!(reason, RejectReason::Refused(_)) {
                    tracing::debug!("a client is turned away: {}", reason.why());
                    self.turned_away.set(self.turned_away.get() + 1);
                }
                let line = match reason {
                    RejectReason::Refused(wait_ms) => line::busy(wait_ms),
                    _ => "ERR\r\n".into(),
                };
                let needed = async {
                    if !matches!(reason, RejectReason::Needed) {
                        place.needed().await;
                    }
                };
                tokio::select! {
                    biased;
                    () = needed => {
                        // There is no time to wait for anything; a line this short fits in any socket.
                        pump::write_now(&stream, line.as_bytes());
                        let _ = SockRef::from(&stream).shutdown(Shutdown::Write);
                        pump::drop_unread(&stream);
                    }
                    () = self.turn_away(&stream, &line, until) => {}
                }
                // The place is given back after the socket, as a newcomer needs the descriptor.
                drop(stream);
            }
        }
    }

    /// Reads what a client asks, and has the exchange take it.
    async fn taken(
        &self,
        stream: &TcpStream,
        pipe: &Rc<Pipe>,
        place: &Place,
        until: Millis,
    ) -> Result<(RequestHandle, Descriptor), RejectReason> {
        let mut ending = self.ending.clone();
        let asked = tokio::select! {
            biased;
            asked = self.clock.within(OPENING_MS, self.asked(stream, pipe, place)) => asked,
            () = place.needed() => Some(Err(RejectReason::Needed)),
            _ = ending.wait_for(|ending| *ending) => Some(Err(RejectReason::Refused(0.0))),
        };
        let opening = asked.unwrap_or(Err(RejectReason::Late))?;
        if *self.ending.borrow() {
            return Err(RejectReason::Refused(0.0));
        }
        let Some(descriptor) = self.descriptors.take(Purpose::Served) else {
            let limits = &self.tuning.now().balancing.limits;
            return Err(RejectReason::Refused(if limits.retry_after {
                limits.max_retry_after_ms
            } else {
                0.0
            }));
        };
        if opening.at.is_some() {
            // What was open before may have to wait, and must not leave for that.
            place.release();
        }
        let left = until - self.clock.now();
        // It may leave while it waits for its form host to be listed, and may say nothing before its answer.
        let request_handle = tokio::select! {
            biased;
            request_handle = self.exchange.open(opening, pipe.clone(), left) => request_handle.map_err(RejectReason::Unservable)?,
            _ = pump::fill(stream, &pipe.up, || false) => {
                return Err(if pipe.up.held() > 0 { RejectReason::Malformed } else { RejectReason::Gone });
            }
        };
        Ok((request_handle, descriptor))
    }

    /// Reads until a client has asked for a connection, and answers `PING`s before.
    async fn asked(&self, stream: &TcpStream, pipe: &Pipe, place: &Place) -> Result<Opening, RejectReason> {
        for _ in 0..=MOST_PINGS {
            first_line(stream, pipe, place).await?;
            match self.hello(pipe) {
                Some(Hello::Ping) => {
                    pump::write_all(stream, b"PONG\r\n").await.map_err(|_| RejectReason::Gone)?;
                    place.answered();
                }
                Some(Hello::Open(opening)) => return Ok(*opening),
                None => break,
            }
        }
        Err(RejectReason::Malformed)
    }

    /// The first line, if it has come whole and is sound.
    fn hello(&self, pipe: &Pipe) -> Option<Hello> {
        let line = pipe.up.line().filter(|line| line.len() <= LONGEST)?;
        pipe.up.discard(line.len());
        let hello = line::hello(&line);
        if hello.is_none() {
            tracing::debug!("no line of the protocol: {}", line[..line.len().min(200)].escape_ascii());
        }
        // A client waits for its answer before it sends more.
        hello.filter(|hello| match hello {
            Hello::Ping => true,
            Hello::Open(opening) => pipe.up.held() == 0 && self.may_ask(opening),
        })
    }

    /// Sessions are asked for only where they are switched on; else that is no line of the protocol.
    fn may_ask(&self, opening: &Opening) -> bool {
        opening.session.is_none() || self.exchange.resumes() && opening.at.is_none()
    }

    /// Carries one request and its connection.
    async fn carry(&self, stream: &TcpStream, request_handle: RequestHandle, pipe: &Pipe) {
        let reading = pump::fill(stream, &pipe.up, || {
            if pipe.standing() && pipe.session.get() {
                return request_handle.sent_in_session(pipe);
            }
            if pipe.standing() {
                request_handle.sent(pipe);
            } else {
                request_handle.malformed();
            }
            true
        });
        // Nothing of the balancer's own comes before the answer.
        let begun = pipe.standing();
        let writing = async {
            if pipe.session.get() {
                pump::empty_between(&pipe.down, &pipe.to_client, stream, begun).await
            } else {
                pump::empty(&pipe.down, stream).await
            }
        };
        tokio::pin!(reading, writing);
        let mut client_may_send = true;
        let more = tokio::select! {
            () = self.overdue(&request_handle) => false,
            left = &mut reading => match left {
                Filled::Closed if pipe.standing() => {
                    pipe.up.end(End::Closed);
                    self.clock.within(LINGER_MS, &mut writing).await;
                    return;
                }
                // A client that leaves before its answer has cancelled.
                Filled::Closed | Filled::Stopped => return,
                Filled::Broken(error) => {
                    tracing::debug!(%error, "reading from a client failed");
                    return;
                }
                Filled::DirectionEnded => {
                    // The form host is gone: nothing more is read, only what it said last goes out.
                    client_may_send = false;
                    self.clock.within(LINGER_MS, &mut writing).await.unwrap_or(false)
                }
            },
            more = &mut writing => more,
        };
        if more && client_may_send {
            // The form host has ended its sending; the client may still send.
            match self.clock.within(LINGER_MS, &mut reading).await {
                Some(Filled::Closed) => return pipe.up.end(End::Closed),
                Some(Filled::Broken(_) | Filled::Stopped) => return pipe.up.end(End::Reset),
                Some(Filled::DirectionEnded) | None => {}
            }
        }
        // The form host is gone, and what the client still says goes nowhere; but its last line must reach it.
        if !pipe.down.broken() && !pipe.handed_over() {
            self.drain(stream, TURN_AWAY_MS - OPENING_MS).await;
        }
    }

    /// Guards the client's time; ends only with the connection.
    async fn overdue(&self, request_handle: &RequestHandle) {
        self.clock.sleep(request_handle.wait_ms() + OVERDUE_MS).await;
        request_handle.overdue();
        std::future::pending().await
    }

    /// Sends a last line and closes; `until` is the end of the time to ask in.
    async fn turn_away(&self, stream: &TcpStream, line: &str, until: Millis) {
        let left = until - OPENING_MS + TURN_AWAY_MS - self.clock.now();
        if self.clock.within(CLOSE_MS, pump::write_all(stream, line.as_bytes())).await.is_some() {
            self.drain(stream, left).await;
        }
    }

    /// Ends our sending and waits for the client to close, or to be quiet for a while. A close with
    /// lines of the client unread is a reset, which may overtake the last line we sent.
    async fn drain(&self, stream: &TcpStream, for_ms: Millis) {
        let _ = SockRef::from(stream).shutdown(Shutdown::Write);
        let rest = async {
            while let Some(Ok(true)) = self.clock.within(CLOSE_MS, pump::discard(stream, DROPPED)).await {
                self.clock.sleep(DROP_PAUSE_MS).await;
            }
        };
        self.clock.within(for_ms, rest).await;
    }
}

/// A connection that is not served.
#[derive(Debug)]
enum RejectReason {
    /// The client has closed or broken it.
    Gone,
    /// What came is not of the protocol.
    Malformed,
    /// No request came in the time for that.
    Late,
    /// Its place is needed for a newcomer.
    Needed,
    /// It asks for what there is not.
    Unservable(&'static str),
    /// It may come again, here or elsewhere, after so many ms; 0 for no advice.
    Refused(Millis),
}

impl RejectReason {
    fn why(&self) -> &'static str {
        match self {
            Self::Gone => "it has left",
            Self::Malformed => "no line of the protocol",
            Self::Late => "no request in time",
            Self::Needed => "its place is needed for another",
            Self::Unservable(why) => why,
            Self::Refused(_) => "it may come again",
        }
    }
}

/// Waits until a first line is there, or too much for one.
async fn first_line(stream: &TcpStream, pipe: &Pipe, place: &Place) -> Result<(), RejectReason> {
    let up = &pipe.up;
    let whole = || up.line().is_some() || up.held() > LONGEST;
    let arrived = || {
        place.heard();
        !whole()
    };
    if whole() {
        return Ok(());
    }
    match pump::fill(stream, up, arrived).await {
        Filled::Stopped => Ok(()),
        Filled::Closed | Filled::Broken(_) | Filled::DirectionEnded => Err(RejectReason::Gone),
    }
}
