//! The exchange connects the client side with the server side.
//!
//! The exchange owns each request from its first line to its end: the active attempt, whether the client has
//! had its one final answer, and the rings between the two sockets. The client side holds a
//! [`RequestHandle`] and the server side an [`AttemptHandle`]; dropping a handle reports that its side
//! is done, no matter how its task ended.

mod commands;
mod handles;
mod pipe;
pub mod record;
pub mod session_driver;

use crate::backend::message_delay::MessageDelays;
use crate::core::{Core, RequestActions};
use crate::io::clock::{Clock, Millis};
use crate::io::descriptors::{Descriptors, Purpose};
use crate::io::pump::InterleavedLines;
use crate::io::ring::End;
use crate::membership::directory::Directory;
use crate::operations::active_settings::ActiveSettings;
use crate::protocol::handover::Connection;
use crate::protocol::line::{self, OpenRequest};
use crate::protocol::session::{self, FromClient};
pub use commands::{AdoptedClient, Attempt, BackendCommand, Probe, RestoreRetry};
pub use handles::{AttemptHandle, ConnectionEnd, ProbeResult, RequestHandle};
use marllink::{
    AttemptNo, ClassId, Event, Idempotency, NewRequest, Outcome, RequestId, ServerId, Symptom, TenantId,
};
use marllink_sessions::{Event as SessionEvent, HolderEnd, SessionRequest};
use pipe::Handoff;
pub use pipe::{HandedOffConnection, HandedOffSocket, Pipe};
use record::{AttemptCause, AttemptEnd, AttemptRecord, EndReason, RequestRecord};
use session_driver::SessionDriver;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};

/// Time before a client's deadline at which its answer is sent, in milliseconds: the answer still has to
/// reach the client.
const ANSWER_MARGIN_MS: Millis = 10.0;
/// Maximum time to restore a connection that was open before, in milliseconds. Clients of such connections
/// announce a wait of over an hour, and a lost connection would be kept for that long.
const MAX_RESTORE_WAIT_MS: Millis = 40_000.0;
/// A server that has owed an answer for this long without sending anything is unresponsive: its connections
/// must end within 7 s of its last line, and clients send a line every 2 s.
const UNRESPONSIVE_MS: Millis = 4_500.0;
/// Interval between checks for unresponsive servers and unanswered lines, in milliseconds.
const SWEEP_INTERVAL_MS: Millis = 100.0;
/// A server that has owed an answer for more than this multiple of the strictest message goal is reported to
/// the balancer as possibly lost.
const UNANSWERED_GOAL_RATIO: f64 = 5.0;

enum Phase {
    /// The client waits for its final answer.
    Waiting,
    /// The connection to a server is established.
    Established,
    /// The client has had its final answer or has left, or its connection has ended.
    Ended,
}

/// A request id that is in use; released when dropped.
struct IdInUse {
    id: u64,
    all: Rc<RefCell<HashSet<u64>>>,
}

impl IdInUse {
    /// Reserves an id; returns `None` if an open request uses it.
    fn reserve(id: u64, all: &Rc<RefCell<HashSet<u64>>>) -> Option<Self> {
        all.borrow_mut().insert(id).then(|| Self { id, all: all.clone() })
    }
}

impl Drop for IdInUse {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}

struct RequestEntry {
    /// Reserves the client's id until the request has ended.
    _id: IdInUse,
    open_request: Rc<OpenRequest>,
    pipe: Rc<Pipe>,
    phase: Phase,
    /// Number of attempts made.
    attempt_count: u8,
    /// The attempt in progress.
    active_attempt: Option<ActiveAttempt>,
    /// The server and deadline of the next attempt, which starts once the active one has ended.
    next_attempt: Option<(ServerId, Millis)>,
    /// The client side still holds its request handle.
    handle_held: bool,
    /// Set for a request with a session: the request as it is passed to the balancer once the session has
    /// been claimed.
    session_request: Option<NewRequest>,
    received_at: Millis,
    record: RequestRecord,
}

struct ActiveAttempt {
    attempt: AttemptNo,
    server: ServerId,
    cancellation: Rc<Cancellation>,
}

/// Lets the exchange end an attempt that the server side serves.
#[derive(Default)]
struct Cancellation {
    outcome: Cell<Option<Outcome>>,
    triggered: Notify,
}

impl Cancellation {
    /// Ends the attempt with this outcome; later calls are ignored.
    fn trigger(&self, outcome: Outcome) {
        self.outcome.set(self.outcome.get().or(Some(outcome)));
        self.triggered.notify_one();
    }
}

/// The channels to the client side and to the server side.
pub struct Channels {
    /// Commands for the server side.
    pub backend_commands: mpsc::UnboundedSender<BackendCommand>,
    /// Handed-off connections for the client side.
    pub adopted_clients: mpsc::UnboundedSender<AdoptedClient>,
}

/// Connects clients' requests with attempts at servers.
pub struct Exchange {
    core: Rc<Core>,
    clock: Clock,
    directory: Rc<Directory>,
    descriptors: Rc<Descriptors>,
    settings: Rc<ActiveSettings>,
    backend_commands: mpsc::UnboundedSender<BackendCommand>,
    adopted_clients: mpsc::UnboundedSender<AdoptedClient>,
    entries: RefCell<BTreeMap<RequestId, RequestEntry>>,
    /// The ids of open requests, as chosen by the clients.
    ids_in_use: Rc<RefCell<HashSet<u64>>>,
    /// The ids of requests that are open at the predecessor process.
    predecessor_ids: RefCell<HashSet<u64>>,
    delays: RefCell<MessageDelays>,
    /// Set if sessions are enabled.
    session_driver: Option<Rc<SessionDriver>>,
    weak_self: Weak<Exchange>,
}

impl Exchange {
    /// Creates an exchange between both sides. Clients may request sessions if there is a `session_driver`.
    pub fn new(
        core: Rc<Core>,
        clock: Clock,
        directory: Rc<Directory>,
        descriptors: Rc<Descriptors>,
        settings: Rc<ActiveSettings>,
        channels: Channels,
        session_driver: Option<Rc<SessionDriver>>,
    ) -> Rc<Self> {
        let Channels { backend_commands, adopted_clients } = channels;
        let delays = RefCell::new(MessageDelays::new(strictest_message_goal_ms(&settings)));
        Rc::new_cyclic(|weak_self| Self {
            core,
            clock,
            directory,
            descriptors,
            settings,
            backend_commands,
            adopted_clients,
            entries: RefCell::default(),
            ids_in_use: Rc::default(),
            predecessor_ids: RefCell::default(),
            delays,
            session_driver,
            weak_self: weak_self.clone(),
        })
    }

    /// Accepts a client's request. From here on the client is owed exactly one final answer, which is sent
    /// through `pipe`. A connection that was open before goes back to its server. If that server is not
    /// known, the request waits for the first list from discovery, and for the server during the following
    /// `server_wait_ms`.
    ///
    /// # Errors
    /// Returns the reason if no server may receive the request.
    pub async fn open(
        &self,
        open_request: OpenRequest,
        pipe: Rc<Pipe>,
        server_wait_ms: Millis,
    ) -> Result<RequestHandle, &'static str> {
        let settings = self.settings.current();
        let names = &settings.names;
        // Substituting another class would serve the request by the wrong rules.
        let class = names.classes.id(&open_request.class).ok_or("unknown class")?;
        let tenant = match &open_request.tenant {
            Some(tenant) if !names.tenants.is_empty() => names.tenants.id(tenant).ok_or("unknown tenant")?,
            _ => 0,
        };
        // Servers identify connections by these ids: a second connection with the same id would be taken
        // for a copy of the first.
        let id_in_use = IdInUse::reserve(open_request.id, &self.ids_in_use)
            .filter(|id| !self.predecessor_ids.borrow().contains(&id.id))
            .ok_or("the request id is in use")?;
        let previous_server =
            open_request.previous_server.as_deref().map(|uid| ServerId(line::hash_server_name(uid)));
        let max_wait_ms = if previous_server.is_some() { MAX_RESTORE_WAIT_MS } else { f64::INFINITY };
        let wait_ms = open_request.wait_ms.min(max_wait_ms) - ANSWER_MARGIN_MS;
        let received_at = self.clock.now();
        if let Some(server) = previous_server {
            let known = self.directory.wait_for_server(server);
            let server_wait_over = async {
                self.directory.wait_for_list().await;
                self.clock.sleep(server_wait_ms).await;
            };
            tokio::select! {
                biased;
                () = known => {}
                () = server_wait_over => return Err("unknown server"),
                () = self.clock.sleep(wait_ms) => return Err("unknown server"),
            }
        }
        let id = self.core.next_request_id();
        let new_request = NewRequest {
            request: id,
            class: ClassId(class),
            tenant: TenantId(tenant),
            time_left_ms: wait_ms - (self.clock.now() - received_at),
            retry: open_request.is_retry,
            group: open_request.group,
        };
        let time_left_ms = new_request.time_left_ms;
        let session = open_request.session.as_ref().map(|(text, _)| text.clone());
        pipe.has_session.set(session.is_some());
        let entry = RequestEntry {
            _id: id_in_use,
            open_request: Rc::new(open_request),
            pipe,
            phase: Phase::Waiting,
            attempt_count: 0,
            active_attempt: None,
            next_attempt: None,
            handle_held: true,
            session_request: session.is_some().then(|| new_request.clone()),
            received_at: self.clock.now(),
            record: RequestRecord::new(self.clock.now()),
        };
        self.entries.borrow_mut().insert(id, entry);
        match (previous_server, session, &self.session_driver) {
            (None, Some(text), Some(session_driver)) => {
                let session_request = if text == "new" {
                    SessionRequest::New
                } else {
                    SessionRequest::Resume(text.into_bytes())
                };
                session_driver.feed(SessionEvent::SessionRequested {
                    request: id,
                    session_request,
                    wait_ms: time_left_ms,
                });
            }
            (None, ..) => self.core.feed(Event::Request(new_request)),
            (Some(server), ..) => {
                self.core.feed(Event::OpenConnection { request: new_request, server });
                self.send(id, server, time_left_ms);
            }
        }
        let exchange = self.weak_self.upgrade().expect("the exchange is alive while it is borrowed");
        Ok(RequestHandle { exchange, id, wait_ms: time_left_ms })
    }

    /// Ends connections to unresponsive servers and reports slow messages to the balancer, forever.
    pub async fn monitor_servers(&self) {
        let mut delays_reported_at = self.clock.now();
        loop {
            self.clock.sleep(SWEEP_INTERVAL_MS).await;
            let now = self.clock.now();
            self.end_unresponsive(now);
            self.report_unanswered(now);
            if now - delays_reported_at >= 1_000.0 {
                delays_reported_at = now;
                self.report_delays(now);
            }
        }
    }

    /// Ends the connections whose server is unresponsive: a machine that has vanished closes nothing, and
    /// its connections would stay open forever. The balancer sees a broken connection, so that the server
    /// does not look healthy.
    fn end_unresponsive(&self, now: Millis) {
        let unresponsive = |entry: &RequestEntry| {
            matches!(entry.phase, Phase::Established)
                && entry.pipe.unanswered.borrow().unresponsive_ms(now) > UNRESPONSIVE_MS
        };
        for entry in self.entries.borrow_mut().values_mut().filter(|entry| unresponsive(entry)) {
            entry.record.ended(EndReason::ServerSilent, now);
            entry.pipe.server_to_client.end(End::Reset);
            // The end of a connection that alone gets no answer is not held against its server.
            let outcome = if self.is_overtaken(entry) { Outcome::Cancelled } else { Outcome::Reset };
            if let Some(active) = &entry.active_attempt {
                active.cancellation.trigger(outcome);
            }
        }
    }

    /// Returns true if the server of a connection has answered a later line than the oldest one that waits on
    /// this connection.
    fn is_overtaken(&self, entry: &RequestEntry) -> bool {
        let sent_at = entry.pipe.unanswered.borrow().oldest_sent_at();
        let server = entry.active_attempt.as_ref().map(|active| active.server);
        let delays = self.delays.borrow();
        sent_at.zip(server).is_some_and(|(sent_at, server)| delays.is_overtaken(server, sent_at))
    }

    fn report_unanswered(&self, now: Millis) {
        let limit_ms = UNANSWERED_GOAL_RATIO * strictest_message_goal_ms(&self.settings);
        let overdue = |entry: &RequestEntry| {
            matches!(entry.phase, Phase::Established)
                && entry.pipe.unanswered.borrow().unresponsive_ms(now) > limit_ms
                && !self.is_overtaken(entry)
        };
        let entries = self.entries.borrow();
        let servers = entries
            .values()
            .filter(|entry| overdue(entry))
            .filter_map(|entry| entry.active_attempt.as_ref().map(|active| active.server));
        let servers: BTreeSet<_> = servers.collect();
        drop(entries);
        for server in servers {
            self.core.feed(Event::Unresponsive { server, symptom: Symptom::OverdueReply });
        }
    }

    fn report_delays(&self, now: Millis) {
        let reports = {
            let entries = self.entries.borrow();
            let established = |entry: &RequestEntry| matches!(entry.phase, Phase::Established);
            let waiting = entries.iter().filter(|(_, entry)| established(entry) && !self.is_overtaken(entry));
            let waiting = waiting.filter_map(|(id, entry)| {
                let sent_at = entry.pipe.unanswered.borrow().oldest_sent_at()?;
                Some((entry.active_attempt.as_ref()?.server, *id, now - sent_at))
            });
            let waiting: Vec<_> = waiting.collect();
            let is_open = |id| entries.get(&id).is_some_and(established);
            self.delays.borrow_mut().due_reports(now, waiting.into_iter(), is_open)
        };
        for (request, delay_ms) in reports {
            self.core.feed(Event::MessageDelay { request, delay_ms });
        }
    }

    /// Applies changed settings.
    pub fn settings_changed(&self) {
        self.delays.borrow_mut().set_strictest_goal(strictest_message_goal_ms(&self.settings));
    }

    /// Returns the ids of the open requests, as chosen by the clients.
    pub fn ids_in_use(&self) -> Vec<u64> {
        let mut ids: Vec<_> = self.ids_in_use.borrow().iter().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Sets the ids of the requests that are open at the predecessor process.
    pub fn set_predecessor_ids(&self, ids: Vec<u64>) {
        *self.predecessor_ids.borrow_mut() = ids.into_iter().collect();
    }

    /// Asks the clients of the `count` oldest established connections to reconnect.
    pub fn move_oldest(&self, count: usize) {
        for id in self.ids_where(|entry| matches!(entry.phase, Phase::Established)).into_iter().take(count) {
            self.move_client(id);
        }
    }

    /// Returns the number of established connections.
    pub fn established_count(&self) -> usize {
        self.entries.borrow().values().filter(|entry| matches!(entry.phase, Phase::Established)).count()
    }

    /// Hands off up to `max_count` established connections that have nothing in transit. Their requests end
    /// here.
    pub fn hand_off_idle(&self, max_count: usize, sender: &mpsc::UnboundedSender<HandedOffConnection>) {
        let mut entries = self.entries.borrow_mut();
        let session_busy = |id| self.session_driver.as_ref().is_some_and(|driver| driver.is_busy(id));
        let idle = |(id, entry): &(&RequestId, &mut RequestEntry)| {
            matches!(entry.phase, Phase::Established) && entry.pipe.is_idle() && !session_busy(**id)
        };
        for (id, entry) in entries.iter_mut().filter(idle).take(max_count) {
            let Some(active) = &entry.active_attempt else { continue };
            let session = self.session_driver.as_ref().and_then(|driver| driver.hand_over(*id));
            let connection = Connection {
                id: entry.open_request.id,
                class: entry.open_request.class.clone(),
                tenant: entry.open_request.tenant.clone(),
                group: entry.open_request.group,
                server: active.server,
                load: entry.pipe.reported_load.get(),
                session,
            };
            let (client, server) = (RefCell::default(), RefCell::default());
            *entry.pipe.handoff.borrow_mut() =
                Some(Rc::new(Handoff { connection, client, server, sender: sender.clone() }));
            entry.phase = Phase::Ended;
            entry.record.ended(EndReason::HandedOver, self.clock.now());
            entry.pipe.client_to_server.end(End::HandedOver);
            entry.pipe.server_to_client.end(End::HandedOver);
            active.cancellation.trigger(Outcome::Cancelled);
        }
    }

    /// Continues a connection that the predecessor process has handed off.
    pub fn adopt(&self, connection: Connection, client_socket: TcpStream, server_socket: TcpStream) {
        let Connection { id, class, tenant, group, server, load, session } = connection;
        // The predecessor may still list this id as its own, but no other request here can have it.
        let Some(id_in_use) = IdInUse::reserve(id, &self.ids_in_use) else { return };
        let names = &self.settings.current().names;
        let class_id = names.classes.id_including_withdrawn(&class);
        let tenant_id = tenant.as_ref().and_then(|tenant| names.tenants.id_including_withdrawn(tenant));
        let (request, exchange) = (
            self.core.next_request_id(),
            self.weak_self.upgrade().expect("the exchange is alive while it is borrowed"),
        );
        let pipe = Pipe::new();
        pipe.established.set(true);
        pipe.reported_load.set(load);
        let cancellation = Rc::new(Cancellation::default());
        let attempt = AttemptNo(0);
        let entry = RequestEntry {
            _id: id_in_use,
            open_request: Rc::new(OpenRequest::established(id, class, tenant, group)),
            pipe: pipe.clone(),
            phase: Phase::Established,
            attempt_count: 1,
            active_attempt: Some(ActiveAttempt { attempt, server, cancellation: cancellation.clone() }),
            next_attempt: None,
            handle_held: true,
            session_request: session.is_some().then(NewRequest::default),
            received_at: self.clock.now(),
            record: RequestRecord::new(self.clock.now()),
        };
        pipe.has_session.set(session.is_some());
        self.entries.borrow_mut().insert(request, entry);
        // A class that was removed from the settings before this process started has no id; an
        // out-of-range id makes the balancer use its defaults.
        let class = ClassId(class_id.unwrap_or(u16::MAX));
        let tenant = TenantId(tenant_id.unwrap_or(u16::MAX));
        let new_request = NewRequest { request, class, tenant, group, ..NewRequest::default() };
        self.core.feed(Event::OpenConnection { request: new_request, server });
        self.core.feed(Event::ConnectionLoad { request, load });
        if let (Some(handover), Some(session_driver)) = (session, &self.session_driver) {
            session_driver.feed(SessionEvent::Adopt { request, server, handover });
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
            lease_requested: Cell::default(),
            connection_end: Cell::default(),
        };
        let descriptor = self.descriptors.adopt();
        let _ = self.backend_commands.send(BackendCommand::Established {
            socket: server_socket,
            pipe: pipe.clone(),
            handle,
            descriptor,
        });
        let descriptor = self.descriptors.adopt();
        let _ = self.adopted_clients.send(AdoptedClient {
            socket: client_socket,
            request_handle,
            pipe,
            descriptor,
        });
    }

    /// Returns the session driver if sessions are enabled.
    pub fn session_driver(&self) -> Option<&Rc<SessionDriver>> {
        self.session_driver.as_ref()
    }

    /// Returns true if clients may request sessions.
    pub fn sessions_enabled(&self) -> bool {
        self.session_driver.is_some()
    }

    /// Passes a request to the balancer once its session has been claimed.
    fn proceed(&self, id: RequestId) {
        let now = self.clock.now();
        let request =
            self.entries.borrow().get(&id).filter(|entry| matches!(entry.phase, Phase::Waiting)).map(
                |entry| {
                    let request = entry.session_request.clone().unwrap_or_default();
                    NewRequest { time_left_ms: request.time_left_ms - (now - entry.received_at), ..request }
                },
            );
        if let Some(request) = request {
            self.core.feed(Event::Request(request));
        }
    }

    fn reject_session(&self, id: RequestId, retry_after_ms: Millis) {
        self.answer(id, line::busy_line(retry_after_ms), EndReason::Session);
        self.core.feed(Event::ClientGone(id));
    }

    fn fail_session(&self, id: RequestId) {
        self.answer(id, "ERR\r\n".into(), EndReason::Session);
        self.core.feed(Event::ClientGone(id));
    }

    /// Ends an established connection with a closing message.
    fn end_session(&self, id: RequestId, closing_message: &str) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        if matches!(entry.phase, Phase::Established) {
            self.finish(entry, End::ClosingMessage(closing_message.into()), EndReason::Session);
            drop(entries);
            self.request_closed(id);
            self.core.feed(Event::ClientGone(id));
        }
    }

    /// Inserts lines of the balancer between two lines of the connection, in the direction that `queue`
    /// selects.
    fn insert_lines(&self, id: RequestId, lines: &[u8], queue: impl Fn(&Pipe) -> &InterleavedLines) {
        let pipe = self.entries.borrow().get(&id).map(|entry| entry.pipe.clone());
        if let Some(pipe) = pipe
            && !queue(&pipe).push(lines)
        {
            // The queue is full because the receiver has stopped reading; the connection is of no use to it.
            self.end_session(id, "MOVE\r\n");
        }
    }

    /// Notifies the session driver that a request has ended.
    fn request_closed(&self, id: RequestId) {
        if let Some(session_driver) = &self.session_driver {
            session_driver.feed(SessionEvent::RequestClosed { request: id });
        }
    }

    /// Returns the session driver if the request has a session.
    fn session_driver_of(&self, id: RequestId) -> Option<&Rc<SessionDriver>> {
        let has_session = self.entries.borrow().get(&id).is_some_and(|entry| entry.pipe.has_session.get());
        self.session_driver.as_ref().filter(|_| has_session)
    }

    /// Processes the lines of a session's client while there is room for its saves. Returns false if a line
    /// is too long.
    fn forward_session_lines(&self, id: RequestId, pipe: &Pipe) -> bool {
        let Some(session_driver) = self.session_driver_of(id) else { return true };
        while session_driver.has_room(id)
            && let Some(line) = pipe.client_to_server.peek_line()
        {
            match session::from_client(&line) {
                Some(FromClient::Save(field)) => {
                    pipe.client_to_server.remove(line.len());
                    session_driver.feed(SessionEvent::SaveReceived { request: id, field });
                }
                Some(FromClient::Have) => {
                    pipe.client_to_server.remove(line.len());
                    session_driver.feed(SessionEvent::TokenConfirmed { request: id });
                }
                None => {
                    pipe.unanswered.borrow_mut().line_sent(self.clock.now());
                    pipe.client_to_server.commit(line.len());
                }
            }
        }
        pipe.client_to_server.uncommitted() <= line::MAX_LINE_BYTES
            || pipe.client_to_server.peek_line().is_some()
    }

    /// Sends the final answer to every request that still waits for it.
    pub fn answer_all_waiting(&self) {
        for id in self.ids_where(|entry| matches!(entry.phase, Phase::Waiting)) {
            self.answer_now(id);
        }
    }

    /// Sends the final answer to a request now, if it still waits for it.
    fn answer_now(&self, id: RequestId) {
        self.core.feed(Event::AnswerNow(id));
        // The balancer does not know a request whose session has not been claimed yet; that request was not
        // sent to any server.
        let unsent = self.entries.borrow().get(&id).is_none_or(|entry| entry.attempt_count == 0);
        let line = if unsent { line::busy_line(0.0) } else { "ERR\r\n".into() };
        self.answer(id, line, EndReason::AnsweredAtOnce);
    }

    fn ids_where(&self, predicate: impl Fn(&RequestEntry) -> bool) -> Vec<RequestId> {
        self.entries.borrow().iter().filter(|(_, entry)| predicate(entry)).map(|(id, _)| *id).collect()
    }

    /// Returns the number of requests that have not been cleaned up yet.
    pub fn request_count(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Sends the final answer if the client is still owed one.
    fn answer(&self, id: RequestId, line: String, reason: EndReason) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        if !matches!(entry.phase, Phase::Waiting) {
            return;
        }
        self.finish(entry, End::ClosingMessage(line), reason);
        drop(entries);
        self.request_closed(id);
        self.remove_if_done(id);
    }

    /// Handles the drop of a request handle: the client side is done with the request.
    fn client_left(&self, id: RequestId) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        entry.handle_held = false;
        let left_early = !matches!(entry.phase, Phase::Ended);
        let waiting = matches!(entry.phase, Phase::Waiting);
        let reason = if waiting { EndReason::ClientCancelled } else { EndReason::ClientClosed };
        self.finish(entry, End::Reset, reason);
        drop(entries);
        if left_early {
            self.request_closed(id);
            self.core.feed(Event::ClientGone(id));
        }
        self.remove_if_done(id);
    }

    /// Handles the end of an attempt, whose socket is closed by now.
    fn attempt_ended(&self, id: RequestId, attempt: AttemptNo, record: AttemptRecord, holder: HolderEnd) {
        let outcome = record.end.outcome;
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        entry.record.attempt_ended(record);
        entry.active_attempt = None;
        if matches!(entry.phase, Phase::Established) || outcome == Outcome::Ok {
            // What the server sent last is still delivered before a close. After a broken stream nothing
            // more may reach the client, whose connection is reset as well.
            let (end, reason) = match outcome {
                Outcome::Reset => (End::Reset, EndReason::ServerBroke),
                _ => (End::Closed, EndReason::ServerClosed),
            };
            self.finish(entry, end, reason);
        }
        let closed = matches!(entry.phase, Phase::Ended);
        let next_attempt = entry.next_attempt.take();
        let has_session = entry.session_request.is_some();
        drop(entries);
        if let Some(session_driver) = self.session_driver.as_ref().filter(|_| has_session) {
            let session_over = outcome == Outcome::Ok;
            session_driver.feed(SessionEvent::AttemptEnded { request: id, session_over, holder });
            if closed {
                self.request_closed(id);
            }
        }
        self.core.feed(Event::AttemptEnded { request: id, attempt, outcome, closed });
        if let Some((server, deadline)) = next_attempt {
            self.send(id, server, deadline - self.clock.now());
        }
        self.remove_if_done(id);
    }

    /// Ends a request on both sides: the client's direction gets the given end, the attempt is cancelled.
    fn finish(&self, entry: &mut RequestEntry, end: End, reason: EndReason) {
        let reset = end == End::Reset;
        entry.record.ended(reason, self.clock.now());
        entry.phase = Phase::Ended;
        entry.next_attempt = None;
        entry.pipe.server_to_client.end(end);
        entry.pipe.client_to_server.end(if reset { End::Reset } else { End::Closed });
        if let Some(active) = &entry.active_attempt {
            active.cancellation.trigger(Outcome::Cancelled);
        }
    }

    /// Returns which failed attempts to restore a connection of this class may be repeated.
    fn restore_retry(&self, class: &str) -> RestoreRetry {
        let settings = self.settings.current();
        let class_id = settings.names.classes.id(class);
        let class = class_id.and_then(|class_id| settings.balancing.classes.get(usize::from(class_id)));
        match class.map(|class| class.idempotency) {
            Some(Idempotency::Safe) => RestoreRetry::Always,
            Some(_) | None => RestoreRetry::IfNeverRan,
        }
    }

    /// Removes the entry of a request that has ended and is no longer used by either side, and logs its
    /// record.
    fn remove_if_done(&self, id: RequestId) {
        let mut entries = self.entries.borrow_mut();
        let done = |entry: &RequestEntry| {
            matches!(entry.phase, Phase::Ended) && entry.active_attempt.is_none() && !entry.handle_held
        };
        if entries.get(&id).is_some_and(done)
            && let Some(entry) = entries.remove(&id)
        {
            entry.record.log(entry.open_request.id);
        }
    }
}

fn strictest_message_goal_ms(settings: &ActiveSettings) -> Millis {
    let settings = settings.current();
    let goals =
        settings.balancing.classes.iter().map(|class| class.message_goal_ms).filter(|goal| *goal > 0.0);
    goals.fold(f64::INFINITY, f64::min)
}

impl RequestActions for Exchange {
    fn send(&self, id: RequestId, server: ServerId, timeout_ms: Millis) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        if let Some(active) = &entry.active_attempt {
            // Only one attempt may be active: this one starts after the other one's socket is closed.
            active.cancellation.trigger(Outcome::Cancelled);
            entry.next_attempt = Some((server, self.clock.now() + timeout_ms));
            return;
        }
        let attempt = AttemptNo(entry.attempt_count);
        entry.attempt_count = entry.attempt_count.saturating_add(1);
        let allowed = matches!(entry.phase, Phase::Waiting)
            && entry.attempt_count <= self.settings.current().balancing.limits.max_attempts.max(1);
        let address = self.directory.address(server).filter(|_| allowed);
        let Some((address, descriptor)) =
            address.and_then(|address| Some((address, self.descriptors.acquire(Purpose::Served)?)))
        else {
            let closed = matches!(entry.phase, Phase::Ended);
            let outcome = Outcome::NotSent;
            let end = AttemptEnd::new(outcome, AttemptCause::NotSent);
            entry.record.attempt_ended(AttemptRecord { server, end, took_ms: 0.0 });
            drop(entries);
            self.core.feed(Event::AttemptEnded { request: id, attempt, outcome, closed });
            return;
        };
        let cancellation = Rc::new(Cancellation::default());
        entry.active_attempt = Some(ActiveAttempt { attempt, server, cancellation: cancellation.clone() });
        let handle = AttemptHandle {
            exchange: self.weak_self.upgrade().expect("the exchange is alive while it is borrowed"),
            id,
            attempt,
            server,
            cancellation,
            sent_at: self.clock.now(),
            end: None,
            lease_requested: Cell::default(),
            connection_end: Cell::default(),
        };
        let (open_request, pipe) = (entry.open_request.clone(), entry.pipe.clone());
        let has_session = entry.session_request.is_some();
        drop(entries);
        let session_ballot =
            self.session_driver.as_ref().filter(|_| has_session).and_then(|session_driver| {
                // Lines for the server of an earlier attempt, a lease in particular, are not for this one.
                drop(pipe.inserted_to_server.take());
                session_driver.feed(SessionEvent::AttemptStarted { request: id, server });
                session_driver.session_ballot(id)
            });
        let restore_retry =
            open_request.previous_server.is_some().then(|| self.restore_retry(&open_request.class));
        let deadline = self.clock.now() + timeout_ms;
        let attempt = Attempt {
            session_ballot,
            address,
            open_request,
            deadline,
            restore_retry,
            pipe,
            handle,
            descriptor,
        };
        // The server side only ends together with the process; then dropping the handle ends the attempt.
        let _ = self.backend_commands.send(BackendCommand::Attempt(attempt));
    }

    fn cancel(&self, id: RequestId, attempt: AttemptNo) {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&id) else { return };
        // An established connection is not cancelled.
        if let Some(active) = entry.active_attempt.as_ref().filter(|active| active.attempt == attempt)
            && !matches!(entry.phase, Phase::Established)
        {
            active.cancellation.trigger(Outcome::Cancelled);
        }
    }

    fn reject(&self, id: RequestId, retry_after_ms: Millis) {
        self.answer(id, line::busy_line(retry_after_ms), EndReason::Rejected);
    }

    fn fail(&self, id: RequestId) {
        self.answer(id, "ERR\r\n".into(), EndReason::Failed);
    }

    fn move_client(&self, id: RequestId) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else { return };
        if matches!(entry.phase, Phase::Established) {
            self.finish(entry, End::ClosingMessage("MOVE\r\n".into()), EndReason::Moved);
            drop(entries);
            self.request_closed(id);
        }
    }

    fn probe(&self, server: ServerId) {
        let result = ProbeResult { exchange: self.weak_self.clone(), server, ok: false, report: Vec::new() };
        let address = self.directory.address(server);
        if let Some((address, descriptor)) =
            address.and_then(|address| Some((address, self.descriptors.acquire(Purpose::Served)?)))
        {
            let _ = self.backend_commands.send(BackendCommand::Probe(Probe { address, result, descriptor }));
        }
    }
}
