//! Discovery's client: fetches the list of form hosts and watches its changes.
//!
//! Where discovery is asked, calls are made only when the decisions ask for them; each is answered by a
//! list or by word that it failed. When to ask again is theirs to decide: one service answers all.
//!
//! Where lists are pushed, an agent on this machine answers at once and at no cost, and what is pushed
//! comes by a watch that is open there. The decisions are told of lists alone and never ask, so the watch
//! is opened here at the start, and again whenever it ends.

use crate::core::{Core, Membership};
use crate::exchange::session_driver::SessionDriver;
use crate::io::clock::{Clock, Millis};
use crate::io::connect::connect;
use crate::io::pump;
use crate::membership::directory::Directory;
use crate::protocol::discovery::{self as syntax, List, Said, Target};
use crate::protocol::http::{self, Read};
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

/// Where lists are pushed, a watch that has ended is opened again after so long: the agent is this machine's
/// own and calls to it cost nothing, but one that refuses them must not be called in a loop.
const PUSHED_AGAIN_MS: Millis = 200.0;
/// ... and has it answer within this time: no others wait for their turn there.
const PUSHED_ANSWER_MS: Millis = 2_500.0;
/// No list comes near this; a longer body is refused.
const LONGEST_BODY: usize = 16 * 1024 * 1024;

/// Who keeps the list through a restart.
pub trait Keeper {
    /// Discovery has told; its list is this now.
    fn told(&self, list: List);
}

/// Follows the list.
pub struct Discovery {
    core: Weak<Core>,
    clock: Clock,
    directory: Rc<Directory>,
    address: Cell<SocketAddr>,
    zones: Vec<String>,
    /// Lists are pushed: the watch is kept open from here.
    pushed: bool,
    /// The list in hand, and its version.
    targets: RefCell<BTreeMap<String, Target>>,
    rev: Cell<u64>,
    /// The call for the whole list that is under way, and the watch that is open, if there are any.
    fetch: RefCell<Option<AbortHandle>>,
    watch: RefCell<Option<AbortHandle>>,
    /// Who else must know of form hosts, if anybody.
    resume: RefCell<Option<Rc<SessionDriver>>>,
    /// Who keeps the list through a restart, if anybody; and when the service was last heard of.
    keeper: RefCell<Option<Rc<dyn Keeper>>>,
    heard_at: Cell<Millis>,
    /// The service has refused the last call that reached it, or left it unanswered.
    busy: Cell<bool>,
    me: Weak<Discovery>,
}

impl Discovery {
    /// A client for the service at `address`.
    pub fn new(
        core: &Rc<Core>,
        clock: Clock,
        directory: Rc<Directory>,
        address: SocketAddr,
        zones: Vec<String>,
        pushed: bool,
    ) -> Rc<Self> {
        Rc::new_cyclic(|me| Self {
            core: Rc::downgrade(core),
            clock,
            directory,
            address: Cell::new(address),
            zones,
            pushed,
            targets: RefCell::default(),
            rev: Cell::new(0),
            fetch: RefCell::new(None),
            watch: RefCell::new(None),
            resume: RefCell::new(None),
            keeper: RefCell::new(None),
            heard_at: Cell::new(f64::MIN),
            busy: Cell::default(),
            me: me.clone(),
        })
    }

    /// Tells sessions of form hosts as well. To be called before the first list.
    pub fn tell_sessions(&self, resume: Rc<SessionDriver>) {
        self.resume.replace(Some(resume));
    }

    /// Tells who keeps the list. To be called before the first one.
    pub fn tell_keeper(&self, keeper: Rc<dyn Keeper>) {
        self.keeper.replace(Some(keeper));
    }

    /// When the service was last heard of, be it that nothing has changed.
    pub fn heard_at(&self) -> Millis {
        self.heard_at.get()
    }

    /// Has the decisions know of form hosts of the list in hand that they were not told of. What is not listed any
    /// more is passed over.
    pub fn admit(&self, servers: &[ServerId]) {
        let entries = {
            let targets = self.targets.borrow();
            let admitted = targets.values().filter(|t| servers.contains(&t.server()));
            admitted.map(|t| t.entry(&self.clock, &self.zones)).collect()
        };
        self.feed(Event::ServerList { kind: ListKind::Delta, entries });
    }

    /// Begins with the list as it was known before the start; it may be old. Where lists are pushed, what
    /// has changed since is asked for at once.
    pub fn start_from(&self, known: &List) {
        self.start_doubting(known, &|_| false);
    }

    /// The same, but keeps form hosts that `doubted` names from the decisions until [`Self::admit`] or the service
    /// itself tells of them.
    pub fn start_doubting(&self, known: &List, doubted: &dyn Fn(&Target) -> bool) {
        self.tell(known, ListKind::Cached, doubted);
        if self.pushed {
            tracing::info!("discovery: lists are pushed, the watch of {} is kept open", self.address.get());
            self.watch();
        }
    }

    /// Goes over to the service at another address, at once. Form hosts stay known until it tells
    /// otherwise, and connections stand.
    pub fn go_over_to(&self, address: SocketAddr) {
        if self.address.replace(address) == address {
            return;
        }
        // What the old address still answers must not undo what the new one tells.
        for call in [self.fetch.take(), self.watch.take()].into_iter().flatten() {
            call.abort();
        }
        // Versions need not go on from one service to the other: everything is asked for.
        self.rev.set(0);
        self.busy.set(false);
        self.watch();
    }

    /// The service as it is asked now.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// The list in hand.
    pub fn list(&self) -> List {
        List { rev: self.rev.get(), all: true, targets: self.targets.borrow().values().cloned().collect() }
    }

    /// Passes a list on. Changes that are part of the list in hand are passed over: discovery may
    /// answer a call that was made before a later one was answered. Where lists are pushed there is one watch at
    /// a time and no other call, and an agent that was restarted may count its versions from anew: there all
    /// that comes is news.
    fn take(&self, list: &List) {
        if list.all {
            self.tell(list, ListKind::Full, &|_| false);
        } else if self.pushed || list.rev > self.rev.get() {
            self.tell(list, ListKind::Delta, &|_| false);
        } else if let Some(keeper) = self.keeper.borrow().clone().filter(|_| list.rev == self.rev.get()) {
            // Nothing has changed: that is word as well.
            keeper.told(self.list());
        }
    }

    fn tell(&self, list: &List, kind: ListKind, left_out: &dyn Fn(&Target) -> bool) {
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
            self.directory.tell();
        }
        if let Some(resume) = self.resume.borrow().as_ref() {
            let listed = self.targets.borrow().values().map(|t| t.listed(&self.zones)).collect();
            resume.servers_changed(listed);
        }
        let told = list.targets.iter().filter(|t| !left_out(t));
        let entries = told.map(|t| t.entry(&self.clock, &self.zones)).collect();
        self.feed(Event::ServerList { kind, entries });
        let keeper = self.keeper.borrow().clone();
        if let Some(keeper) = keeper.filter(|_| kind != ListKind::Cached) {
            keeper.told(self.list());
        }
    }

    fn feed(&self, event: Event) {
        if let Some(core) = self.core.upgrade() {
            core.feed(event);
        }
    }

    /// Makes a call, and gives the answer once it has begun.
    ///
    /// # Errors
    /// Tells why there is none: the service can't be reached, refuses it, breaks, or does not answer in time.
    async fn call(&self, path: &str) -> Result<Body, String> {
        let host = self.address.get();
        let stream = connect(&self.clock, host, CONNECT_TIMEOUT_MS).await.map_err(|e| e.to_string())?;
        let patience = match (self.pushed, self.busy.replace(true)) {
            (true, _) => PUSHED_ANSWER_MS,
            (false, false) => RESPONSE_TIMEOUT_MS,
            (false, true) => OVERLOADED_RESPONSE_TIMEOUT_MS,
        };
        let body = self.clock.within(patience, begin(stream, host, path)).await.ok_or("no answer")??;
        self.busy.set(false);
        Ok(body)
    }

    /// Fetches the whole list.
    async fn fetch_list(&self) -> Result<(), String> {
        let before = self.rev.get();
        let mut body = self.call("/catalog/members").await?;
        let whole = self.clock.within(RESPONSE_TIMEOUT_MS, body.read_all()).await;
        whole.unwrap_or_else(|| Err("no end of the list".into()))?;
        let list = syntax::list(&body.text).ok_or("no list")?;
        // The watch may have brought later changes while this was under way.
        if list.rev >= self.rev.get() || self.rev.get() == before {
            self.take(&list);
        }
        Ok(())
    }

    /// Watches the list until the watch ends, and tells why it did.
    async fn watch_list(&self) -> Result<std::convert::Infallible, String> {
        let path = format!("/catalog/members?watch=1&after={}", self.rev.get());
        let mut body = self.call(&path).await?;
        // The last whole thing, or the first byte of one under way: a long list may come in many pieces, but pieces
        // that never come to an end say as little as none.
        let mut since = self.clock.now();
        let mut under_way = false;
        loop {
            while let Some(said) = syntax::take(&mut body.text, body.unread) {
                if let Said::List(list) = said.ok_or("no list")? {
                    self.take(&list);
                }
                (since, under_way, body.unread) = (self.clock.now(), false, 0);
            }
            if !body.text.is_empty() && !under_way {
                (since, under_way) = (self.clock.now(), true);
            }
            body.unread = body.text.len();
            let more = self.clock.within(since + WATCH_TIMEOUT_MS - self.clock.now(), body.read_some()).await;
            if !more.ok_or("silence")?? {
                return Err("the watch ended".into());
            }
            self.heard_at.set(self.clock.now());
        }
    }

    fn failed(&self, call: &str, reason: &str) {
        tracing::info!("discovery: {call}: {reason}");
        self.feed(Event::ServerList { kind: ListKind::Failed, entries: Vec::new() });
    }
}

impl Membership for Discovery {
    fn fetch(&self) {
        let Some(discovery) = self.me.upgrade() else { return };
        let fetching = tokio::task::spawn_local(async move {
            if let Err(reason) = discovery.fetch_list().await {
                discovery.failed("fetch", &reason);
            }
        });
        if let Some(before) = self.fetch.replace(Some(fetching.abort_handle())) {
            before.abort();
        }
    }

    fn watch(&self) {
        // The decisions ask again some time after a failure; a watch may have been opened meanwhile.
        if self.watch.borrow().as_ref().is_some_and(|open| !open.is_finished()) {
            return;
        }
        let Some(discovery) = self.me.upgrade() else { return };
        let watching = tokio::task::spawn_local(async move {
            loop {
                let Err(reason) = discovery.watch_list().await;
                if !discovery.pushed {
                    return discovery.failed("watch", &reason);
                }
                tracing::info!("discovery: watch: {reason}; it is opened again");
                discovery.clock.sleep(PUSHED_AGAIN_MS).await;
            }
        });
        self.watch.replace(Some(watching.abort_handle()));
    }
}

/// Asks, and waits for the head of the answer.
async fn begin(stream: TcpStream, host: SocketAddr, path: &str) -> Result<Body, String> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n");
    pump::write_all(&stream, request.as_bytes()).await.map_err(|e| e.to_string())?;
    let mut raw = Vec::new();
    loop {
        match http::head(&raw) {
            Read::Whole(head, n) if head.status == 200 => {
                raw.drain(..n);
                return Ok(Body { stream, raw, head, text: Vec::new(), unread: 0 });
            }
            Read::Whole(head, _) => return Err(format!("status {}", head.status)),
            Read::Malformed => return Err("no HTTP".into()),
            Read::Partial if !pump::read_more(&stream, &mut raw).await.map_err(|e| e.to_string())? => {
                return Err("cut off".into());
            }
            Read::Partial => {}
        }
    }
}

/// The body of an answer, as far as it has come.
struct Body {
    stream: TcpStream,
    /// As it came, not yet taken apart.
    raw: Vec<u8>,
    head: http::Head,
    /// Taken apart.
    text: Vec<u8>,
    /// So much of the text has been looked at for something whole, in vain.
    unread: usize,
}

impl Body {
    /// Adds to the text; false at the end of the body.
    async fn read_some(&mut self) -> Result<bool, String> {
        loop {
            if self.head.chunked {
                match http::chunk(&self.raw) {
                    Read::Whole([], _) => return Ok(false),
                    Read::Whole(chunk, n) => {
                        self.text.extend_from_slice(chunk);
                        self.raw.drain(..n);
                        return self.bounded();
                    }
                    Read::Malformed => return Err("no chunk".into()),
                    Read::Partial => {}
                }
            } else if !self.raw.is_empty() {
                self.text.append(&mut self.raw);
                return self.bounded();
            } else if self.head.length.is_some_and(|length| self.text.len() >= length) {
                return Ok(false);
            }
            if !pump::read_more(&self.stream, &mut self.raw).await.map_err(|e| e.to_string())? {
                // Only a body of neither chunks nor a length ends with its connection.
                let whole = !self.head.chunked && self.head.length.is_none();
                return if whole { Ok(false) } else { Err("cut off".into()) };
            }
        }
    }

    fn bounded(&self) -> Result<bool, String> {
        if self.text.len() > LONGEST_BODY { Err("a list without an end".into()) } else { Ok(true) }
    }

    async fn read_all(&mut self) -> Result<(), String> {
        while self.read_some().await? {}
        Ok(())
    }
}
