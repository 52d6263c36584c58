//! Where the client side and the server side meet.
//!
//! The exchange owns each request from its first line to its end: which attempt is out for it,
//! whether it has had its one final answer, and the rings between its two sockets. The client
//! side holds a [`RequestHandle`] and the server side an [`AttemptHandle`]; each gives back what it stands for
//! when it is dropped, however its task ends.

mod commands;
mod handles;
mod pipe;
pub mod record;
pub mod session_driver;

use crate::backend::message_delay::Delays;
use crate::core::{Core, Requests};
use crate::io::clock::{Clock, Millis};
use crate::io::descriptors::{Descriptors, Purpose};
use crate::io::pump::Between;
use crate::io::ring::End;
use crate::membership::directory::Directory;
use crate::operations::tuning::Tuning;
use crate::protocol::handover::Connection;
use crate::protocol::line::{self, Opening};
use crate::protocol::session::{self, FromClient};
pub use commands::{Adopted, Attempt, Order, Probe, Restores};
pub use handles::{AttemptHandle, ProbeResult, RequestHandle};
use marllink::{
    AttemptNo, ClassId, Event, Idempotency, NewRequest, Outcome, RequestId, ServerId, Symptom, TenantId,
};
use marllink_sessions::{Ask, Event as SessionEvent};
use pipe::Handoff;
pub use pipe::{HandedOffConnection, HandedOffSocket, Pipe};
use record::{AttemptCause, AttemptEnd, AttemptRecord, EndReason, RequestRecord};
use session_driver::SessionDriver;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};

/// A client's answer is sent so long before it gives up: the way back takes time as well.
const ANSWER_MARGIN_MS: Millis = 10.0;
/// How long a connection may take to come up that was open before. Such clients say that they wait for over an hour, which would hold a lost one for as long.
const NO_DEADLINE_MS: Millis = 40_000.0;
/// A form host that has owed an answer for so long and sent nothing is lost: the connection must
/// end within 7 s of its last sign of life, and clients send a line every 2 s.
const SILENT_MS: Millis = 4_500.0;
/// How often silent connections are looked for.
const SWEEP_MS: Millis = 100.0;
/// A form host that owes an answer for so many times the strictest aim may be lost: the decisions are told.
const DOUBT_AIMS: f64 = 5.0;

enum Phase {
    /// The client waits for its final answer.
    Waiting,
    /// Its connection stands.
    Standing,
    /// It has had its final answer, or its connection has ended, or it has left.
    Over,
}

/// An id in use, given back when dropped.
struct IdInUse {
    id: u64,
    all: Rc<RefCell<HashSet<u64>>>,
}

impl IdInUse {
    /// Takes an id; `None` if an open request has it.
    fn take(id: u64, all: &Rc<RefCell<HashSet<u64>>>) -> Option<Self> {
        all.borrow_mut().insert(id).then(|| Self { id, all: all.clone() })
    }
}

impl Drop for IdInUse {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}

struct Entry {
    /// Held until the request is over.
    _id: IdInUse,
    opening: Rc<Opening>,
    pipe: Rc<Pipe>,
    phase: Phase,
    /// Attempts made.
    attempts: u8,
    /// The attempt that is out.
    out: Option<Out>,
    /// One that waits for that to end.
    next: Option<(ServerId, Millis)>,
    /// The client side still holds its request handle.
    held: bool,
    /// What the decisions are asked once its session is its own.
    asks: Option<NewRequest>,
    /// When it was taken.
    taken_at: Millis,
    record: RequestRecord,
}

struct Out {
    attempt: AttemptNo,
    server: ServerId,
    cancellation: Rc<Cancellation>,
}

/// By which an attempt that is out is ended from this side.
#[derive(Default)]
struct Cancellation {
    outcome: Cell<Option<Outcome>>,
    called: Notify,
}

impl Cancellation {
    /// Has the attempt end like this; the first call holds.
    fn call(&self, outcome: Outcome) {
        self.outcome.set(self.outcome.get().or(Some(outcome)));
        self.called.notify_one();
    }
}

/// The ways to both sides.
pub struct Sides {
    /// Orders for the server side.
    pub orders: mpsc::UnboundedSender<Order>,
    /// What the client side adopts.
    pub adopted: mpsc::UnboundedSender<Adopted>,
}

/// Pairs clients with attempts.
pub struct Exchange {
    core: Rc<Core>,
    clock: Clock,
    directory: Rc<Directory>,
    descriptors: Rc<Descriptors>,
    tuning: Rc<Tuning>,
    orders: mpsc::UnboundedSender<Order>,
    adopted: mpsc::UnboundedSender<Adopted>,
    entries: RefCell<BTreeMap<RequestId, Entry>>,
    /// The ids, as clients gave them, of requests that are not over.
    in_use: Rc<RefCell<HashSet<u64>>>,
    /// Those of a predecessor's.
    elsewhere: RefCell<HashSet<u64>>,
    delays: RefCell<Delays>,
    /// Sessions, where they are switched on.
    resume: Option<Rc<SessionDriver>>,
    me: Weak<Exchange>,
}

impl Exchange {
    /// An exchange between both sides. Where there is `resume`, clients may ask for sessions.
    pub fn new(
        core: Rc<Core>,
        clock: Clock,
        directory: Rc<Directory>,
        descriptors: Rc<Descriptors>,
        tuning: Rc<Tuning>,
        sides: Sides,
        resume: Option<Rc<SessionDriver>>,
    ) -> Rc<Self> {
        let Sides { orders, adopted } = sides;
        let delays = RefCell::new(Delays::new(strictest_aim(&tuning)));
        Rc::new_cyclic(|me| Self {
            core,
            clock,
            directory,
            descriptors,
            tuning,
            orders,
            adopted,
            entries: RefCell::default(),
            in_use: Rc::default(),
            elsewhere: RefCell::default(),
            delays,
            resume,
            me: me.clone(),
        })
    }

    /// Takes a client's request. From here on it is owed exactly one final answer, which comes by
    /// `pipe`. A connection that was open before goes to its form host, once that is known; while
    /// discovery has told nothing yet it is waited for, and else only for `patience_ms`.
    ///
    /// # Errors
    /// Tells what is wrong with a request that no form host may see.
    pub async fn open(
        &self,
        opening: Opening,
        pipe: Rc<Pipe>,
        patience_ms: Millis,
    ) -> Result<RequestHandle, &'static str> {
        let settings = self.tuning.now();
        let names = &settings.names;
        // A class taken for another would be served as what it is not.
        let class = names.classes.id(&opening.class).ok_or("no such class")?;
        let tenant = match &opening.tenant {
            Some(tenant) if !names.tenants.is_empty() => names.tenants.id(tenant).ok_or("no such tenant")?,
            _ => 0,
        };
        // Form hosts tell connections apart by their ids: a second one would be a copy of the first.
        let id_in_use = IdInUse::take(opening.id, &self.in_use)
            .filter(|id| !self.elsewhere.borrow().contains(&id.id))
            .ok_or("the id of an open request")?;
        let at = opening.at.as_deref().map(|uid| ServerId(line::number_of(uid)));
        let most = if at.is_some() { NO_DEADLINE_MS } else { f64::INFINITY };
        let wait_ms = opening.wait_ms.min(most) - ANSWER_MARGIN_MS;
        let taken_at = self.clock.now();
        if let Some(server) = at {
            let known = self.directory.known(server);
            let told = async {
                self.directory.told().await;
                self.clock.sleep(patience_ms).await;
            };
            tokio::select! {
                biased;
                () = known => {}
                () = told => return Err("no such form host"),
                () = self.clock.sleep(wait_ms) => return Err("no such form host"),
            }
        }
        let id = self.core.number_request();
        let new = NewRequest {
            request: id,
            class: ClassId(class),
            tenant: TenantId(tenant),
            time_left_ms: wait_ms - (self.clock.now() - taken_at),
            retry: opening.retry,
            group: opening.group,
        };
        let time_left_ms = new.time_left_ms;
        let session = opening.session.as_ref().map(|(text, _)| text.clone());
        pipe.session.set(session.is_some());
        let entry = Entry {
            _id: id_in_use,
            opening: Rc::new(opening),
            pipe,
            phase: Phase::Waiting,
            attempts: 0,
            out: None,
            next: None,
            held: true,
            asks: session.is_some().then(|| new.clone()),
            taken_at: self.clock.now(),
            record: RequestRecord::new(self.clock.now()),
        };
        self.entries.borrow_mut().insert(id, entry);
        match (at, session, &self.resume) {
            (None, Some(text), Some(resume)) => {
                let ask = if text == "new" { Ask::New } else { Ask::Resume(text.into_bytes()) };
                resume.feed(SessionEvent::Begin { request: id, ask, wait_ms: time_left_ms });
            }
            (None, ..) => self.core.feed(Event::Request(new)),
            (Some(server), ..) => {
                self.core.feed(Event::OpenConnection { request: new, server });
                self.send(id, server, time_left_ms);
            }
        }
        let exchange = self.me.upgrade().expect("it is in use");
        Ok(RequestHandle { exchange, id, wait_ms: time_left_ms })
    }

    /// Looks for connections whose form host has gone silent, and tells of slow messages.
    pub async fn watch_over(&self) {
        let mut told_at = self.clock.now();
        loop {
            self.clock.sleep(SWEEP_MS).await;
            let now = self.clock.now();
            self.end_silent(now);
            self.tell_unanswered(now);
            if now - told_at >= 1_000.0 {
                told_at = now;
                self.tell_delays(now);
            }
        }
    }

    /// A machine that has vanished says nothing: its connections would stay open for ever.
    /// For the decisions it is a connection that broke: the host must not look sound to them.
    fn end_silent(&self, now: Millis) {
        let silent = |e: &Entry| {
            matches!(e.phase, Phase::Standing) && e.pipe.waiting.borrow().silent_for(now) > SILENT_MS
        };
        for entry in self.entries.borrow_mut().values_mut().filter(|e| silent(e)) {
            entry.record.over(EndReason::ServerSilent, now);
            entry.pipe.down.end(End::Reset);
            if let Some(out) = &entry.out {
                out.cancellation.call(Outcome::Reset);
            }
        }
    }

    fn tell_unanswered(&self, now: Millis) {
        let bound = DOUBT_AIMS * strictest_aim(&self.tuning);
        let owed =
            |e: &Entry| matches!(e.phase, Phase::Standing) && e.pipe.waiting.borrow().silent_for(now) > bound;
        let entries = self.entries.borrow();
        let owing = entries.values().filter(|e| owed(e)).filter_map(|e| e.out.as_ref().map(|out| out.server));
        let owing: BTreeSet<_> = owing.collect();
        drop(entries);
        for server in owing {
            self.core.feed(Event::Unresponsive { server, symptom: Symptom::OverdueReply });
        }
    }

    fn tell_delays(&self, now: Millis) {
        let notes = {
            let entries = self.entries.borrow();
            let standing = |e: &Entry| matches!(e.phase, Phase::Standing);
            let waiting = entries.iter().filter(|(_, e)| standing(e)).filter_map(|(id, e)| {
                Some((e.out.as_ref()?.server, *id, e.pipe.waiting.borrow().oldest(now)?))
            });
            self.delays.borrow_mut().notes(now, waiting, |id| entries.get(&id).is_some_and(standing))
        };
        for (request, delay_ms) in notes {
            self.core.feed(Event::MessageDelay { request, delay_ms });
        }
    }

    /// The settings in force have changed.
    pub fn settings_changed(&self) {
        self.delays.borrow_mut().tell_over(strictest_aim(&self.tuning));
    }

    /// The ids of requests that are not over.
    pub fn ids_in_use(&self) -> Vec<u64> {
        let mut ids: Vec<_> = self.in_use.borrow().iter().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// These ids are in use at a predecessor.
    pub fn set_predecessor_ids(&self, ids: Vec<u64>) {
        *self.elsewhere.borrow_mut() = ids.into_iter().collect();
    }

    /// Moves so many of the connections that stand, oldest first.
    pub fn move_oldest(&self, count: usize) {
        for id in self.ids(|e| matches!(e.phase, Phase::Standing)).into_iter().take(count) {
            self.move_client(id);
        }
    }

    /// Connections that stand.
    pub fn established_count(&self) -> usize {
        self.entries.borrow().values().filter(|e| matches!(e.phase, Phase::Standing)).count()
    }

    /// Has up to `most` connections of which nothing is under way passed on. Here they are over.
    pub fn hand_off_idle(&self, most: usize, to: &mpsc::UnboundedSender<HandedOffConnection>) {
        let mut entries = self.entries.borrow_mut();
        let busy = |id| self.resume.as_ref().is_some_and(|resume| resume.is_busy(id));
        let idle = |(id, e): &(&RequestId, &mut Entry)| {
            matches!(e.phase, Phase::Standing) && e.pipe.idle() && !busy(**id)
        };
        for (id, entry) in entries.iter_mut().filter(idle).take(most) {
            let Some(out) = &entry.out else { continue };
            let session = self.resume.as_ref().and_then(|resume| resume.pass_on(*id));
            let connection = Connection {
                id: entry.opening.id,
                class: entry.opening.class.clone(),
                tenant: entry.opening.tenant.clone(),
                group: entry.opening.group,
                server: out.server,
                load: entry.pipe.load.get(),
                session,
            };
            let (client, host) = (RefCell::default(), RefCell::default());
            *entry.pipe.handoff.borrow_mut() =
                Some(Rc::new(Handoff { connection, client, host, to: to.clone() }));
            entry.phase = Phase::Over;
            entry.record.over(EndReason::HandedOver, self.clock.now());
            entry.pipe.up.end(End::HandedOver);
            entry.pipe.down.end(End::HandedOver);
            out.cancellation.call(Outcome::Cancelled);
        }
    }

    /// Goes on with a connection that a predecessor has passed on.
    pub fn adopt(&self, connection: Connection, client: TcpStream, host: TcpStream) {
        let Connection { id, class, tenant, group, server, load, session } = connection;
        // The predecessor may still tell that it holds this id, but it can't be open here.
        let Some(id_in_use) = IdInUse::take(id, &self.in_use) else { return };
        let names = &self.tuning.now().names;
        let number = names.classes.id_including_withdrawn(&class);
        let of_tenant = tenant.as_ref().and_then(|tenant| names.tenants.id_including_withdrawn(tenant));
        let (request, exchange) = (self.core.number_request(), self.me.upgrade().expect("it is in use"));
        let pipe = Pipe::new();
        pipe.standing.set(true);
        pipe.load.set(load);
        let cancellation = Rc::new(Cancellation::default());
        let attempt = AttemptNo(0);
        let entry = Entry {
            _id: id_in_use,
            opening: Rc::new(Opening::standing(id, class, tenant, group)),
            pipe: pipe.clone(),
            phase: Phase::Standing,
            attempts: 1,
            out: Some(Out { attempt, server, cancellation: cancellation.clone() }),
            next: None,
            held: true,
            asks: session.is_some().then(NewRequest::default),
            taken_at: self.clock.now(),
            record: RequestRecord::new(self.clock.now()),
        };
        pipe.session.set(session.is_some());
        self.entries.borrow_mut().insert(request, entry);
        // A class that was withdrawn before this process began has no number here, and counts as any.
        let class = ClassId(number.unwrap_or(u16::MAX));
        let tenant = TenantId(of_tenant.unwrap_or(u16::MAX));
        let new = NewRequest { request, class, tenant, group, ..NewRequest::default() };
        self.core.feed(Event::OpenConnection { request: new, server });
        self.core.feed(Event::ConnectionLoad { request, load });
        if let (Some(passed), Some(resume)) = (session, &self.resume) {
            resume.feed(SessionEvent::Adopt { request, server, passed });
        }
        let request_handle =
            RequestHandle { exchange: exchange.clone(), id: request, wait_ms: f64::INFINITY };
        let (sent_at, end) = (self.clock.now(), None);
        let handle = AttemptHandle {
            exchange,
            id: request,
            attempt,
            server,
            cancellation,
            sent_at,
            end,
            asked: Cell::default(),
        };
        let descriptor = self.descriptors.adopt();
        let _ = self.orders.send(Order::Standing { socket: host, pipe: pipe.clone(), handle, descriptor });
        let descriptor = self.descriptors.adopt();
        let _ = self.adopted.send(Adopted { socket: client, request_handle, pipe, descriptor });
    }

    /// Sessions, where they are switched on.
    pub fn session_driver(&self) -> Option<&Rc<SessionDriver>> {
        self.resume.as_ref()
    }

    /// True if clients may ask for sessions.
    pub fn resumes(&self) -> bool {
        self.resume.is_some()
    }

    /// The request's session is its own: the decisions are asked, as for any other.
    fn proceed(&self, id: RequestId) {
        let now = self.clock.now();
        let asks = self.entries.borrow().get(&id).filter(|e| matches!(e.phase, Phase::Waiting)).map(|e| {
            let asks = e.asks.clone().unwrap_or_default();
            NewRequest { time_left_ms: asks.time_left_ms - (now - e.taken_at), ..asks }
        });
        if let Some(asks) = asks {
            self.core.feed(Event::Request(asks));
        }
    }

    fn refuse_session(&self, id: RequestId, retry_after_ms: Millis) {
        self.answer(id, line::busy(retry_after_ms), EndReason::Session);
        self.core.feed(Event::ClientGone(id));
    }

    fn fail_session(&self, id: RequestId) {
        self.answer(id, "ERR\r\n".into(), EndReason::Session);
        self.core.feed(Event::ClientGone(id));
    }

    /// Ends a connection that stands with a last line.
    fn end_session(&self, id: RequestId, last: &str) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        if matches!(entry.phase, Phase::Standing) {
            self.finish(entry, End::ClosingMessage(last.into()), EndReason::Session);
            drop(entries);
            self.closed(id);
            self.core.feed(Event::ClientGone(id));
        }
    }

    /// Has lines of the balancer's own come between two others.
    fn tell(&self, id: RequestId, lines: &[u8], way: impl Fn(&Pipe) -> &Between) {
        let pipe = self.entries.borrow().get(&id).map(|e| e.pipe.clone());
        if let Some(pipe) = pipe
            && !way(&pipe).add(lines)
        {
            // The other side does not read: there is nothing for it in going on.
            self.end_session(id, "MOVE\r\n");
        }
    }

    /// The machine that decides about sessions hears that a request is over.
    fn closed(&self, id: RequestId) {
        if let Some(resume) = &self.resume {
            resume.feed(SessionEvent::Closed { request: id });
        }
    }

    /// The ways of lines about a session, if this request has one.
    fn session_of(&self, id: RequestId) -> Option<&Rc<SessionDriver>> {
        let has = self.entries.borrow().get(&id).is_some_and(|e| e.pipe.session.get());
        self.resume.as_ref().filter(|_| has)
    }

    /// Takes the lines of a session's client, as far as there is room for its saves. False if one is too
    /// long.
    fn client_said(&self, id: RequestId, pipe: &Pipe) -> bool {
        let Some(resume) = self.session_of(id) else { return true };
        while resume.has_room(id)
            && let Some(text) = pipe.up.line()
        {
            match session::from_client(&text) {
                Some(FromClient::Save(field)) => {
                    pipe.up.take(text.len());
                    resume.feed(SessionEvent::Saves { request: id, field });
                }
                Some(FromClient::Have) => {
                    pipe.up.take(text.len());
                    resume.feed(SessionEvent::Has { request: id });
                }
                None => {
                    pipe.waiting.borrow_mut().sent(self.clock.now());
                    pipe.up.commit(text.len());
                }
            }
        }
        pipe.up.held() <= line::LONGEST || pipe.up.line().is_some()
    }

    /// Has every request that still waits get its final answer.
    pub fn answer_all_waiting(&self) {
        for id in self.ids(|e| matches!(e.phase, Phase::Waiting)) {
            self.answer_now(id);
        }
    }

    /// Has a request get its final answer now, if it still waits for that.
    fn answer_now(&self, id: RequestId) {
        self.core.feed(Event::AnswerNow(id));
        // The decisions do not know one whose session is not its own yet; nothing was sent on for it.
        let unsent = self.entries.borrow().get(&id).is_none_or(|e| e.attempts == 0);
        let line = if unsent { line::busy(0.0) } else { "ERR\r\n".into() };
        self.answer(id, line, EndReason::AnsweredAtOnce);
    }

    fn ids(&self, wanted: impl Fn(&Entry) -> bool) -> Vec<RequestId> {
        self.entries.borrow().iter().filter(|(_, e)| wanted(e)).map(|(id, _)| *id).collect()
    }

    /// Requests that are not over yet.
    pub fn request_count(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Gives the final answer, if the client is still owed one.
    fn answer(&self, id: RequestId, line: String, reason: EndReason) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        if !matches!(entry.phase, Phase::Waiting) {
            return;
        }
        self.finish(entry, End::ClosingMessage(line), reason);
        drop(entries);
        self.closed(id);
        self.forget(id);
    }

    /// The client side is done with a request.
    fn client_left(&self, id: RequestId) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        entry.held = false;
        let left = !matches!(entry.phase, Phase::Over);
        let waits = matches!(entry.phase, Phase::Waiting);
        let reason = if waits { EndReason::ClientCancelled } else { EndReason::ClientClosed };
        self.finish(entry, End::Reset, reason);
        drop(entries);
        if left {
            self.closed(id);
            self.core.feed(Event::ClientGone(id));
        }
        self.forget(id);
    }

    /// An attempt is over, and its socket closed.
    fn attempt_ended(&self, id: RequestId, attempt: AttemptNo, record: AttemptRecord) {
        let outcome = record.end.outcome;
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        entry.record.attempted(record);
        entry.out = None;
        if matches!(entry.phase, Phase::Standing) || outcome == Outcome::Ok {
            // What the form host sent last goes out first. A broken stream has ended for its
            // client as well; nothing may follow it.
            let (end, reason) = match outcome {
                Outcome::Reset => (End::Reset, EndReason::ServerBroke),
                _ => (End::Closed, EndReason::ServerClosed),
            };
            self.finish(entry, end, reason);
        }
        let closed = matches!(entry.phase, Phase::Over);
        let next = entry.next.take();
        let session = entry.asks.is_some();
        drop(entries);
        if let Some(resume) = self.resume.as_ref().filter(|_| session) {
            resume.feed(SessionEvent::AttemptEnded { request: id, over: outcome == Outcome::Ok });
            if closed {
                self.closed(id);
            }
        }
        self.core.feed(Event::AttemptEnded { request: id, attempt, outcome, closed });
        if let Some((server, timeout_ms)) = next {
            self.send(id, server, timeout_ms);
        }
        self.forget(id);
    }

    /// Ends a request for both sides: the client gets the end given, the attempt is called off.
    fn finish(&self, entry: &mut Entry, end: End, reason: EndReason) {
        let reset = end == End::Reset;
        entry.record.over(reason, self.clock.now());
        entry.phase = Phase::Over;
        entry.next = None;
        entry.pipe.down.end(end);
        entry.pipe.up.end(if reset { End::Reset } else { End::Closed });
        if let Some(out) = &entry.out {
            out.cancellation.call(Outcome::Cancelled);
        }
    }

    /// How attempts to restore a connection of this class may be repeated.
    fn restores(&self, class: &str) -> Restores {
        let settings = self.tuning.now();
        let number = settings.names.classes.id(class);
        let class = number.and_then(|number| settings.balancing.classes.get(usize::from(number)));
        match class.map(|class| class.idempotency) {
            Some(Idempotency::Safe) => Restores::Always,
            Some(_) | None => Restores::IfNeverRan,
        }
    }

    /// Gives up the entry of a request that is over and of which neither side holds anything.
    fn forget(&self, id: RequestId) {
        let mut entries = self.entries.borrow_mut();
        let done = |e: &Entry| matches!(e.phase, Phase::Over) && e.out.is_none() && !e.held;
        if entries.get(&id).is_some_and(done)
            && let Some(entry) = entries.remove(&id)
        {
            entry.record.log(entry.opening.id);
        }
    }
}

fn strictest_aim(tuning: &Tuning) -> Millis {
    let settings = tuning.now();
    let aims = settings.balancing.classes.iter().map(|c| c.message_goal_ms).filter(|aim| *aim > 0.0);
    aims.fold(f64::INFINITY, f64::min)
}

impl Requests for Exchange {
    fn send(&self, id: RequestId, server: ServerId, timeout_ms: Millis) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        if let Some(out) = &entry.out {
            // One attempt out at a time: this one goes out once the other's socket is closed.
            out.cancellation.call(Outcome::Cancelled);
            entry.next = Some((server, timeout_ms));
            return;
        }
        let attempt = AttemptNo(entry.attempts);
        entry.attempts = entry.attempts.saturating_add(1);
        let allowed = matches!(entry.phase, Phase::Waiting)
            && entry.attempts <= self.tuning.now().balancing.limits.max_attempts.max(1);
        let way = self.directory.address(server).filter(|_| allowed);
        let Some((address, descriptor)) =
            way.and_then(|a| Some((a, self.descriptors.take(Purpose::Served)?)))
        else {
            let closed = matches!(entry.phase, Phase::Over);
            let outcome = Outcome::NotSent;
            let end = AttemptEnd::new(outcome, AttemptCause::NotSent);
            entry.record.attempted(AttemptRecord { server, end, took_ms: 0.0 });
            drop(entries);
            self.core.feed(Event::AttemptEnded { request: id, attempt, outcome, closed });
            return;
        };
        let cancellation = Rc::new(Cancellation::default());
        entry.out = Some(Out { attempt, server, cancellation: cancellation.clone() });
        let handle = AttemptHandle {
            exchange: self.me.upgrade().expect("it is in use"),
            id,
            attempt,
            server,
            cancellation,
            sent_at: self.clock.now(),
            end: None,
            asked: Cell::default(),
        };
        let (opening, pipe) = (entry.opening.clone(), entry.pipe.clone());
        let session = entry.asks.is_some();
        drop(entries);
        let held_as = self.resume.as_ref().filter(|_| session).and_then(|resume| {
            // What was meant for the form host of an earlier attempt, a lease above all, is not for this one.
            drop(pipe.to_host.take());
            resume.feed(SessionEvent::Attempt { request: id, server });
            resume.held_as(id)
        });
        let restores = opening.at.is_some().then(|| self.restores(&opening.class));
        let wait_ms = timeout_ms;
        let attempt = Attempt { held_as, address, opening, wait_ms, restores, pipe, handle, descriptor };
        // If the server side has ended, so has the program; the handle's drop ends the attempt.
        let _ = self.orders.send(Order::Attempt(attempt));
    }

    fn cancel(&self, id: RequestId, attempt: AttemptNo) {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&id) else { return };
        // One whose stream has begun is not called off.
        if let Some(out) = entry.out.as_ref().filter(|o| o.attempt == attempt)
            && !matches!(entry.phase, Phase::Standing)
        {
            out.cancellation.call(Outcome::Cancelled);
        }
    }

    fn refuse(&self, id: RequestId, retry_after_ms: Millis) {
        self.answer(id, line::busy(retry_after_ms), EndReason::Rejected);
    }

    fn fail(&self, id: RequestId) {
        self.answer(id, "ERR\r\n".into(), EndReason::Failed);
    }

    fn move_client(&self, id: RequestId) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        if matches!(entry.phase, Phase::Standing) {
            self.finish(entry, End::ClosingMessage("MOVE\r\n".into()), EndReason::Moved);
            drop(entries);
            self.closed(id);
        }
    }

    fn probe(&self, server: ServerId) {
        let result = ProbeResult { exchange: self.me.clone(), server, ok: false, report: Vec::new() };
        let way = self.directory.address(server);
        if let Some((address, descriptor)) =
            way.and_then(|a| Some((a, self.descriptors.take(Purpose::Served)?)))
        {
            let _ = self.orders.send(Order::Probe(Probe { address, result, descriptor }));
        }
    }
}
