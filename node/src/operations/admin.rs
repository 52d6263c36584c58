//! The admin interface: accepts HTTP requests, one per connection, and answers each immediately.
//!
//! Its connections have slots of their own, so that clients can't use them up. A connection whose request
//! does not arrive completely in time, or whose slot is needed, is closed.

use crate::io::clock::{Clock, Millis};
use crate::io::descriptors::{Descriptors, Purpose};
use crate::io::listener::Listener;
use crate::io::pump;
use crate::io::slots::{Slot, Slots};
use crate::operations::handover::Handover;
use crate::operations::maintenance::Maintenance;
use crate::protocol::admin::{self, Command, Response};
use crate::protocol::http::{self, Parsed, RequestHead};
use crate::protocol::line;
use marllink::ServerId;
use socket2::SockRef;
use std::net::Shutdown;
use std::rc::Rc;
use tokio::net::TcpStream;

/// Maximum time to wait for a request.
const REQUEST_TIMEOUT_MS: Millis = 2_500.0;
/// Maximum time for the response to be read and the connection to be closed.
const CLOSE_TIMEOUT_MS: Millis = 500.0;
/// Delay after a failed accept.
const ACCEPT_RETRY_MS: Millis = 10.0;
/// Bytes received after a request are discarded in chunks of this size.
const DISCARD_CHUNK_BYTES: usize = 16 * 1024;

/// The admin interface.
pub struct Admin {
    clock: Clock,
    /// Knows whether this process accepts clients, and informs the other process of maintenance.
    handover: Rc<Handover>,
    maintenance: Rc<Maintenance>,
    slots: Rc<Slots>,
}

impl Admin {
    /// Creates the admin interface of this process.
    pub fn new(
        clock: Clock,
        handover: Rc<Handover>,
        maintenance: Rc<Maintenance>,
        descriptors: Rc<Descriptors>,
    ) -> Rc<Self> {
        Rc::new(Self { clock, handover, maintenance, slots: Slots::new(descriptors, Purpose::Admin) })
    }

    /// Accepts requests, forever.
    pub async fn listen(self: Rc<Self>, listener: Listener) {
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    let slot = self.slots.acquire().await;
                    let admin = self.clone();
                    tokio::task::spawn_local(async move { admin.serve(stream, slot).await });
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept an admin connection");
                    self.clock.sleep(ACCEPT_RETRY_MS).await;
                }
            }
        }
    }

    /// Serves one request; the slot is returned after the socket is closed.
    async fn serve(&self, stream: TcpStream, slot: Slot) {
        let handling = async {
            let response = match self.clock.within(REQUEST_TIMEOUT_MS, read_request(&stream)).await {
                Some(Some(Ok(request))) => self.respond(&request),
                Some(Some(Err(response))) => response,
                // No response is needed once the peer has closed.
                Some(None) => return,
                None => Response::new(408, "no call in time"),
            };
            let closing = async {
                pump::write_all(&stream, response.to_http().as_bytes()).await.ok()?;
                SockRef::from(&stream).shutdown(Shutdown::Write).ok()?;
                // Closing a socket with unread input sends a reset, which may overtake the response.
                while pump::discard(&stream, DISCARD_CHUNK_BYTES).await.ok()? {}
                Some(())
            };
            self.clock.within(CLOSE_TIMEOUT_MS, closing).await;
        };
        tokio::select! {
            biased;
            () = handling => {}
            () = slot.evicted() => {}
        }
        drop(stream);
    }

    fn respond(&self, request: &RequestHead) -> Response {
        match admin::parse_command(request) {
            Ok(Command::Health) if *self.handover.serving.borrow() => Response::new(200, "taking clients"),
            Ok(Command::Health) => Response::new(503, "taking no clients"),
            Ok(Command::Maintenance { uid, begins }) => {
                let server = ServerId(line::hash_server_name(uid));
                if self.handover.directory.address(server).is_none() {
                    return Response::new(404, "no such form host was ever listed");
                }
                tracing::info!(
                    "admin: {uid} is {}",
                    if begins { "in maintenance" } else { "back in service" }
                );
                self.maintenance.set(uid, begins);
                self.handover.notify_maintenance(server, begins);
                Response::new(200, if begins { "out" } else { "back" })
            }
            Err(response) => response,
        }
    }
}

/// Reads a request. Returns `None` if the peer closes before it is complete.
async fn read_request(stream: &TcpStream) -> Option<Result<RequestHead, Response>> {
    let mut raw = Vec::new();
    loop {
        match http::parse_request_head(&raw) {
            Parsed::Complete(request, _) => return Some(Ok(request)),
            Parsed::Malformed => return Some(Err(Response::new(400, "no call"))),
            Parsed::Partial => {}
        }
        if !pump::read_more(stream, &mut raw).await.ok()? {
            return None;
        }
    }
}
