//! Discovery client: fetches the list of servers and watches it for changes.
//!
//! In request mode, calls are made only when the decision logic commands them, and each one ends with a list
//! or a reported failure. The decision logic chooses when to retry, because one service serves all balancers.
//!
//! In push mode, an agent on this machine answers immediately and at no cost, and changes arrive through a
//! watch on it. The decision logic only receives lists and never commands calls, so this client opens the
//! watch at the start and reopens it whenever it ends.

use crate::core::{Core, Membership};
use crate::exchange::session_driver::SessionDriver;
use crate::io::clock::{Clock, Millis};
use crate::io::connect::connect;
use crate::io::pump;
use crate::membership::directory::Directory;
use crate::protocol::discovery::{self as syntax, List, Target, WatchItem};
use crate::protocol::http::{self, Parsed};
use marllink::{Event, ListKind, ServerId};
use marllink_rate_limits::discovery_calls::{
    CONNECT_TIMEOUT_MS, OVERLOADED_RESPONSE_TIMEOUT_MS, RESPONSE_TIMEOUT_MS, WATCH_TIMEOUT_MS,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// In push mode, the delay before a watch that has ended is reopened. The agent runs on this machine and
/// calls to it cost nothing, but an agent that refuses calls must not be called in a tight loop.
const PUSH_WATCH_RETRY_MS: Millis = 200.0;
/// In push mode, the maximum time to wait for the agent's answer: no other balancers wait for their turn
/// there.
const PUSH_AGENT_TIMEOUT_MS: Millis = 2_500.0;
/// Maximum size of a response body, well above that of any list. A longer body is rejected.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Observes the list in order to keep it across restarts.
pub trait ListObserver {
    /// The service has confirmed or changed the list; this is the current one.
    fn list_updated(&self, list: List);
}

/// Follows the list of servers.
pub struct Discovery {
    core: Weak<Core>,
    clock: Clock,
    directory: Rc<Directory>,
    address: Cell<SocketAddr>,
    zones: Vec<String>,
    /// Push mode: the watch is kept open by this client.
    push_mode: bool,
    /// The current list and its version.
    targets: RefCell<BTreeMap<String, Target>>,
    rev: Cell<u64>,
    /// The pending fetch of the whole list and the open watch, if any.
    fetch: RefCell<Option<AbortHandle>>,
    watch: RefCell<Option<AbortHandle>>,
    /// The session component, which also needs to know the servers, if sessions are enabled.
    session_driver: RefCell<Option<Rc<SessionDriver>>>,
    /// The observer that keeps the list across restarts, if any, and the time at which a watch last delivered
    /// data.
    observer: RefCell<Option<Rc<dyn ListObserver>>>,
    last_contact_at: Cell<Millis>,
    /// The last call that reached the service was rejected or not answered.
    busy: Cell<bool>,
    weak_self: Weak<Discovery>,
}

impl Discovery {
    /// Creates a client for the service at `address`.
    pub fn new(
        core: &Rc<Core>,
        clock: Clock,
        directory: Rc<Directory>,
        address: SocketAddr,
        zones: Vec<String>,
        push_mode: bool,
    ) -> Rc<Self> {
        Rc::new_cyclic(|weak_self| Self {
            core: Rc::downgrade(core),
            clock,
            directory,
            address: Cell::new(address),
            zones,
            push_mode,
            targets: RefCell::default(),
            rev: Cell::new(0),
            fetch: RefCell::new(None),
            watch: RefCell::new(None),
            session_driver: RefCell::new(None),
            observer: RefCell::new(None),
            last_contact_at: Cell::new(f64::MIN),
            busy: Cell::default(),
            weak_self: weak_self.clone(),
        })
    }

    /// Also reports servers to the session component. Must be called before the first list.
    pub fn attach_sessions(&self, driver: Rc<SessionDriver>) {
        self.session_driver.replace(Some(driver));
    }

    /// Reports list updates to the observer. Must be called before the first list.
    pub fn attach_observer(&self, observer: Rc<dyn ListObserver>) {
        self.observer.replace(Some(observer));
    }

    /// Returns the time at which a watch last delivered data, including confirmations that nothing has
    /// changed.
    pub fn last_contact_at(&self) -> Millis {
        self.last_contact_at.get()
    }

    /// Passes servers of the current list to the decision logic that were withheld from it. Servers that are
    /// no longer listed are ignored.
    pub fn admit(&self, servers: &[ServerId]) {
        let entries = {
            let targets = self.targets.borrow();
            let admitted = targets.values().filter(|t| servers.contains(&t.server()));
            admitted.map(|t| t.entry(&self.clock, &self.zones)).collect()
        };
        self.feed(Event::ServerList { kind: ListKind::Delta, entries });
    }

    /// Starts with the list that was known when the process started, which may be stale. In push mode, the
    /// watch for later changes is opened immediately.
    pub fn start(&self, known_list: &List) {
        self.start_withholding(known_list, &|_| false);
    }

    /// As [`Self::start`], but withholds the servers selected by `withheld` from the decision logic until
    /// [`Self::admit`] is called or the service itself reports them.
    pub fn start_withholding(&self, known_list: &List, withheld: &dyn Fn(&Target) -> bool) {
        self.apply(known_list, ListKind::Cached, withheld);
        if self.push_mode {
            tracing::info!("discovery: push mode, keeping a watch open on {}", self.address.get());
            self.watch();
        }
    }

    /// Switches to the service at another address immediately. Servers stay known until that service reports
    /// otherwise, and connections stay open.
    pub fn switch_to(&self, address: SocketAddr) {
        if self.address.replace(address) == address {
            return;
        }
        // A late response from the old address must not overwrite what the new one reports.
        for call in [self.fetch.take(), self.watch.take()].into_iter().flatten() {
            call.abort();
        }
        // Versions may not be comparable between services, so the whole list is requested.
        self.rev.set(0);
        self.busy.set(false);
        self.watch();
    }

    /// Returns the address of the service in use.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Returns the current list.
    pub fn list(&self) -> List {
        List { rev: self.rev.get(), all: true, targets: self.targets.borrow().values().cloned().collect() }
    }

    /// Processes a received list. Changes that are already part of the current list are ignored, since the
    /// response to an earlier call may arrive after that to a later one. In push mode there is a single watch
    /// and no other call, and an agent that was restarted may restart its version numbers, so everything
    /// received is applied.
    fn receive(&self, list: &List) {
        if list.all {
            self.apply(list, ListKind::Full, &|_| false);
        } else if self.push_mode || list.rev > self.rev.get() {
            self.apply(list, ListKind::Delta, &|_| false);
        } else if let Some(observer) = self.observer.borrow().clone().filter(|_| list.rev == self.rev.get()) {
            // An unchanged list is still a confirmation by the service.
            observer.list_updated(self.list());
        }
    }

    fn apply(&self, list: &List, kind: ListKind, withheld: &dyn Fn(&Target) -> bool) {
        self.rev.set(list.rev);
        if list.all {
            self.targets.borrow_mut().clear();
        }
        for target in &list.targets {
            if target.is_deleted() {
                self.targets.borrow_mut().remove(&target.uid);
            } else {
                self.targets.borrow_mut().insert(target.uid.clone(), target.clone());
            }
            self.directory.insert(target.server(), target.endpoint);
        }
        if kind != ListKind::Cached {
            self.directory.mark_list_received();
        }
        if let Some(driver) = self.session_driver.borrow().as_ref() {
            let entries = self.targets.borrow().values().map(|t| t.session_entry(&self.zones)).collect();
            driver.servers_changed(entries);
        }
        let entries = list.targets.iter().filter(|t| !withheld(t));
        let entries = entries.map(|t| t.entry(&self.clock, &self.zones)).collect();
        self.feed(Event::ServerList { kind, entries });
        let observer = self.observer.borrow().clone();
        if let Some(observer) = observer.filter(|_| kind != ListKind::Cached) {
            observer.list_updated(self.list());
        }
    }

    fn feed(&self, event: Event) {
        if let Some(core) = self.core.upgrade() {
            core.feed(event);
        }
    }

    /// Makes a call, and returns the response once its head has arrived.
    ///
    /// # Errors
    /// Fails if the service is unreachable, rejects the call, breaks the connection or does not answer in
    /// time.
    async fn call(&self, path: &str) -> Result<Body, String> {
        let address = self.address.get();
        let stream = connect(&self.clock, address, CONNECT_TIMEOUT_MS).await.map_err(|e| e.to_string())?;
        let response_timeout_ms = match (self.push_mode, self.busy.replace(true)) {
            (true, _) => PUSH_AGENT_TIMEOUT_MS,
            (false, false) => RESPONSE_TIMEOUT_MS,
            (false, true) => OVERLOADED_RESPONSE_TIMEOUT_MS,
        };
        let body = self
            .clock
            .within(response_timeout_ms, send_request(stream, address, path))
            .await
            .ok_or("no response in time")??;
        self.busy.set(false);
        Ok(body)
    }

    /// Fetches the whole list.
    async fn fetch_list(&self) -> Result<(), String> {
        let rev_before = self.rev.get();
        let mut body = self.call("/catalog/members").await?;
        let read = self.clock.within(RESPONSE_TIMEOUT_MS, body.read_all()).await;
        read.unwrap_or_else(|| Err("the list did not arrive completely in time".into()))?;
        let list = syntax::parse_list(&body.decoded).ok_or("malformed list")?;
        // The watch may have delivered later changes in the meantime.
        if list.rev >= self.rev.get() || self.rev.get() == rev_before {
            self.receive(&list);
        }
        Ok(())
    }

    /// Watches the list until the watch ends, and returns the reason.
    async fn watch_list(&self) -> Result<std::convert::Infallible, String> {
        let path = format!("/catalog/members?watch=1&after={}", self.rev.get());
        let mut body = self.call(&path).await?;
        // Time of the last complete item, or of the first byte of an incomplete one. A long list may arrive
        // in many pieces, but pieces that never complete an item don't count as a sign of life.
        let mut progress_at = self.clock.now();
        let mut item_started = false;
        loop {
            while let Some(item) = syntax::take_watch_item(&mut body.decoded, body.scanned) {
                if let WatchItem::List(list) = item.ok_or("malformed list")? {
                    self.receive(&list);
                }
                (progress_at, item_started, body.scanned) = (self.clock.now(), false, 0);
            }
            if !body.decoded.is_empty() && !item_started {
                (progress_at, item_started) = (self.clock.now(), true);
            }
            body.scanned = body.decoded.len();
            let received =
                self.clock.within(progress_at + WATCH_TIMEOUT_MS - self.clock.now(), body.read_some()).await;
            if !received.ok_or("no data in time")?? {
                return Err("the watch was closed".into());
            }
            self.last_contact_at.set(self.clock.now());
        }
    }

    fn report_failure(&self, call: &str, reason: &str) {
        tracing::info!("discovery: {call} failed: {reason}");
        self.feed(Event::ServerList { kind: ListKind::Failed, entries: Vec::new() });
    }
}

impl Membership for Discovery {
    fn fetch(&self) {
        let Some(discovery) = self.weak_self.upgrade() else { return };
        let task = tokio::task::spawn_local(async move {
            if let Err(reason) = discovery.fetch_list().await {
                discovery.report_failure("fetch", &reason);
            }
        });
        if let Some(previous) = self.fetch.replace(Some(task.abort_handle())) {
            previous.abort();
        }
    }

    fn watch(&self) {
        // The decision logic retries some time after a failure; a watch may have been opened in the meantime.
        if self.watch.borrow().as_ref().is_some_and(|open| !open.is_finished()) {
            return;
        }
        let Some(discovery) = self.weak_self.upgrade() else { return };
        let task = tokio::task::spawn_local(async move {
            loop {
                let Err(reason) = discovery.watch_list().await;
                if !discovery.push_mode {
                    return discovery.report_failure("watch", &reason);
                }
                tracing::info!("discovery: watch failed: {reason}; reopening it");
                discovery.clock.sleep(PUSH_WATCH_RETRY_MS).await;
            }
        });
        self.watch.replace(Some(task.abort_handle()));
    }
}

/// Sends the request and waits for the head of the response.
async fn send_request(stream: TcpStream, address: SocketAddr, path: &str) -> Result<Body, String> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
    pump::write_all(&stream, request.as_bytes()).await.map_err(|e| e.to_string())?;
    let mut raw = Vec::new();
    loop {
        match http::parse_response_head(&raw) {
            Parsed::Complete(head, n) if head.status == 200 => {
                raw.drain(..n);
                return Ok(Body { stream, raw, head, decoded: Vec::new(), scanned: 0 });
            }
            Parsed::Complete(head, _) => return Err(format!("status {}", head.status)),
            Parsed::Malformed => return Err("malformed HTTP response".into()),
            Parsed::Partial if !pump::read_more(&stream, &mut raw).await.map_err(|e| e.to_string())? => {
                return Err("connection closed before the end of the response".into());
            }
            Parsed::Partial => {}
        }
    }
}

/// The body of a response, as far as it has arrived.
struct Body {
    stream: TcpStream,
    /// Received bytes that are not decoded yet.
    raw: Vec<u8>,
    head: http::ResponseHead,
    /// Decoded bytes.
    decoded: Vec<u8>,
    /// Number of decoded bytes that were already scanned without finding a complete item.
    scanned: usize,
}

impl Body {
    /// Appends to the decoded bytes. Returns false at the end of the body.
    async fn read_some(&mut self) -> Result<bool, String> {
        loop {
            if self.head.chunked {
                match http::parse_chunk(&self.raw) {
                    Parsed::Complete([], _) => return Ok(false),
                    Parsed::Complete(chunk, n) => {
                        self.decoded.extend_from_slice(chunk);
                        self.raw.drain(..n);
                        return self.check_size();
                    }
                    Parsed::Malformed => return Err("malformed chunk".into()),
                    Parsed::Partial => {}
                }
            } else if !self.raw.is_empty() {
                self.decoded.append(&mut self.raw);
                return self.check_size();
            } else if self.head.length.is_some_and(|length| self.decoded.len() >= length) {
                return Ok(false);
            }
            if !pump::read_more(&self.stream, &mut self.raw).await.map_err(|e| e.to_string())? {
                // Only a body with neither chunks nor a length ends with the connection.
                let complete = !self.head.chunked && self.head.length.is_none();
                return if complete {
                    Ok(false)
                } else {
                    Err("connection closed before the end of the response".into())
                };
            }
        }
    }

    fn check_size(&self) -> Result<bool, String> {
        if self.decoded.len() > MAX_BODY_BYTES {
            Err("the list exceeds the size limit".into())
        } else {
            Ok(true)
        }
    }

    async fn read_all(&mut self) -> Result<(), String> {
        while self.read_some().await? {}
        Ok(())
    }
}
