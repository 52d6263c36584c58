//! The operators' door: takes their calls, one to a connection, and answers each at once.
//!
//! Its connections have places of their own, so that clients can't take them, and a call that is not
//! made in full in time, or when its place is needed, is cut off.

use crate::io::clock::{Clock, Millis};
use crate::io::descriptors::{Descriptors, Purpose};
use crate::io::listener::Listener;
use crate::io::places::{Place, Places};
use crate::io::pump;
use crate::operations::handover::Handover;
use crate::operations::maintenance::Maintenance;
use crate::protocol::admin::{self, Answer, Asked};
use crate::protocol::http::{self, Call, Read};
use crate::protocol::line;
use marllink::ServerId;
use socket2::SockRef;
use std::net::Shutdown;
use std::rc::Rc;
use tokio::net::TcpStream;

/// A call must have been made within this time.
const CALL_MS: Millis = 2_500.0;
/// An answer must have been taken, and the connection closed, within this time.
const CLOSE_MS: Millis = 500.0;
/// After a failed accept so long passes before the next.
const PAUSE_MS: Millis = 10.0;
/// What comes after a call is dropped in pieces of this size.
const DROPPED: usize = 16 * 1024;

/// The door.
pub struct Admin {
    clock: Clock,
    /// Whether this process takes clients, and who must know of maintenance.
    handover: Rc<Handover>,
    maintenance: Rc<Maintenance>,
    places: Rc<Places>,
}

impl Admin {
    /// The door of this process.
    pub fn new(
        clock: Clock,
        handover: Rc<Handover>,
        maintenance: Rc<Maintenance>,
        descriptors: Rc<Descriptors>,
    ) -> Rc<Self> {
        Rc::new(Self { clock, handover, maintenance, places: Places::new(descriptors, Purpose::Call) })
    }

    /// Takes calls for ever.
    pub async fn listen(self: Rc<Self>, listener: Listener) {
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    let place = self.places.place().await;
                    let admin = self.clone();
                    tokio::task::spawn_local(async move { admin.serve(stream, place).await });
                }
                Err(error) => {
                    tracing::warn!(%error, "a call could not be accepted");
                    self.clock.sleep(PAUSE_MS).await;
                }
            }
        }
    }

    /// Serves one call to its end; the place is given back after the socket.
    async fn serve(&self, stream: TcpStream, place: Place) {
        let serving = async {
            let answer = match self.clock.within(CALL_MS, called(&stream)).await {
                Some(Some(Ok(call))) => self.answer(&call),
                Some(Some(Err(answer))) => answer,
                // Who has left is owed nothing.
                Some(None) => return,
                None => Answer::new(408, "no call in time"),
            };
            let closing = async {
                pump::write_all(&stream, answer.written().as_bytes()).await.ok()?;
                SockRef::from(&stream).shutdown(Shutdown::Write).ok()?;
                // A close with input unread is a reset, which may overtake the answer.
                while pump::discard(&stream, DROPPED).await.ok()? {}
                Some(())
            };
            self.clock.within(CLOSE_MS, closing).await;
        };
        tokio::select! {
            biased;
            () = serving => {}
            () = place.needed() => {}
        }
        drop(stream);
    }

    fn answer(&self, call: &Call) -> Answer {
        match admin::asked(call) {
            Ok(Asked::Health) if *self.handover.serving.borrow() => Answer::new(200, "taking clients"),
            Ok(Asked::Health) => Answer::new(503, "taking no clients"),
            Ok(Asked::Maintenance { uid, begins }) => {
                let server = ServerId(line::number_of(uid));
                if self.handover.directory.address(server).is_none() {
                    return Answer::new(404, "no such form host was ever listed");
                }
                tracing::info!("operators: {uid} is {}", if begins { "taken out" } else { "put back" });
                self.maintenance.take(uid, begins);
                self.handover.tell_maintenance(server, begins);
                Answer::new(200, if begins { "out" } else { "back" })
            }
            Err(answer) => answer,
        }
    }
}

/// Reads a call; `None` if the caller leaves before it is whole.
async fn called(stream: &TcpStream) -> Option<Result<Call, Answer>> {
    let mut raw = Vec::new();
    loop {
        match http::call(&raw) {
            Read::Whole(call, _) => return Some(Ok(call)),
            Read::Malformed => return Some(Err(Answer::new(400, "no call"))),
            Read::Partial => {}
        }
        if !pump::read_more(stream, &mut raw).await.ok()? {
            return None;
        }
    }
}
