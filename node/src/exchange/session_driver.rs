//! Drives the session state machine: feeds it events and carries out its commands.
//!
//! A request for a session reaches the balancer only once its session has been claimed; from then on it
//! is handled like any other request. The exchange reports the request's progress to the state machine.

use super::Exchange;
use crate::backend::lease_link;
use crate::io::clock::Clock;
use crate::io::descriptors::{Descriptors, Purpose};
use crate::io::pump::InterleavedLines;
use crate::membership::directory::Directory;
use crate::operations::active_settings::ActiveSettings;
use marllink::{RequestId, ServerId};
use marllink_sessions::{
    Command, Event, KeyRing, ListedServer, LogEvent, SessionHandover, Sessions, Settings, lease_protocol,
};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::{Rc, Weak};
use tokio::task::AbortHandle;

/// The sessions of this process.
pub struct SessionDriver {
    clock: Clock,
    sessions: RefCell<Sessions>,
    commands: RefCell<VecDeque<Command>>,
    /// Commands are being carried out; further commands are only queued.
    busy: Cell<bool>,
    links: RefCell<HashMap<ServerId, Link>>,
    directory: Rc<Directory>,
    descriptors: Rc<Descriptors>,
    settings: Rc<ActiveSettings>,
    exchange: RefCell<Weak<Exchange>>,
    weak_self: Weak<SessionDriver>,
}

struct Link {
    outgoing: Rc<InterleavedLines>,
    task: AbortHandle,
}

impl SessionDriver {
    /// Creates a driver without sessions. `seed` must come from the system's random number generator.
    pub fn new(
        clock: Clock,
        session_settings: Settings,
        keys: KeyRing,
        seed: [u8; 32],
        directory: Rc<Directory>,
        descriptors: Rc<Descriptors>,
        settings: Rc<ActiveSettings>,
    ) -> Rc<Self> {
        let (now, unix) = (clock.now(), clock.unix_ms());
        let sessions = Sessions::new(session_settings, keys, seed, now, unix).into();
        Rc::new_cyclic(|weak_self| Self {
            clock,
            sessions,
            commands: RefCell::default(),
            busy: Cell::default(),
            links: RefCell::default(),
            directory,
            descriptors,
            settings,
            exchange: RefCell::default(),
            weak_self: weak_self.clone(),
        })
    }

    /// Sets the exchange that owns the requests. Must be called before the first event.
    pub fn connect(&self, exchange: Weak<Exchange>) {
        self.exchange.replace(exchange);
    }

    /// Handles an event immediately. The resulting commands are carried out in order, after those already
    /// queued.
    pub fn feed(&self, event: Event) {
        let mut commands = Vec::new();
        self.sessions.borrow_mut().handle(self.clock.now(), event, &mut commands);
        self.commands.borrow_mut().extend(commands);
        if self.busy.replace(true) {
            return;
        }
        loop {
            let Some(command) = self.commands.borrow_mut().pop_front() else { break };
            self.execute(command);
        }
        self.busy.set(false);
    }

    /// Applies a changed list of servers.
    pub fn servers_changed(&self, listed: Vec<ListedServer>) {
        self.feed(Event::Servers(listed));
    }

    /// Handles a link that ended on its own.
    pub fn link_ended(&self, server: ServerId) {
        self.links.borrow_mut().remove(&server);
        self.feed(Event::LinkDown { server });
    }

    /// Returns the session and ballot under which the server of a request's attempt is to hold the
    /// session, as written in the first line to the server.
    pub fn session_ballot(&self, request: RequestId) -> Option<String> {
        let (session, ballot) = self.sessions.borrow().session_ballot(request)?;
        Some(format!("{session}.{ballot}"))
    }

    /// Returns the time within which a server that accepts a session requests its lease, in milliseconds.
    pub fn lease_request_timeout_ms(&self) -> f64 {
        self.sessions.borrow().lease_request_timeout_ms()
    }

    /// Returns how much longer the server of a request's attempt may hold the session, in milliseconds.
    pub fn hold_ms(&self, request: RequestId) -> f64 {
        self.sessions.borrow().hold_until(request) - self.clock.now()
    }

    /// Returns true once the server of a request's attempt has been granted a lease.
    pub fn has_lease(&self, request: RequestId) -> bool {
        self.sessions.borrow().has_lease(request)
    }

    /// Returns true if the client of a request may save more before earlier saves are confirmed.
    pub fn has_room(&self, request: RequestId) -> bool {
        self.sessions.borrow().save_capacity(request) > 0
    }

    /// Returns true if the request's session cannot be handed over at the moment.
    pub fn is_busy(&self, request: RequestId) -> bool {
        self.sessions.borrow().blocks_handover(request)
    }

    /// Releases a session for the handover to the successor process.
    pub fn hand_over(&self, request: RequestId) -> Option<SessionHandover> {
        self.sessions.borrow_mut().hand_over(request)
    }

    fn execute(&self, command: Command) {
        let Some(exchange) = self.exchange.borrow().upgrade() else { return };
        match command {
            Command::OpenLink(server) => self.open_link(server),
            Command::CloseLink(server) => {
                if let Some(link) = self.links.borrow_mut().remove(&server) {
                    link.task.abort();
                }
            }
            Command::Call { server, call } => {
                let mut frame = Vec::new();
                lease_protocol::write_frame(&call, &mut frame);
                let queued = self.links.borrow().get(&server).is_none_or(|link| link.outgoing.push(&frame));
                if !queued {
                    // The queue of the link is full because the server has stopped reading.
                    self.execute(Command::CloseLink(server));
                    self.feed(Event::LinkDown { server });
                }
            }
            Command::Proceed(request) => exchange.proceed(request),
            Command::ReplyBusy { request, retry_after_ms } => {
                let limits = &self.settings.current().balancing.limits;
                let advised_ms =
                    if limits.retry_after { retry_after_ms.min(limits.max_retry_after_ms) } else { 0.0 };
                tracing::debug!(event = "session_refused", request = request.0, retry_after_ms = advised_ms);
                exchange.reject_session(request, advised_ms);
            }
            Command::ReplyError { request, reason } => {
                tracing::info!(event = "session_rejected", request = request.0, reason = reason.name());
                exchange.fail_session(request);
            }
            Command::SendToServer { request, lines } => {
                exchange.insert_lines(request, &lines, |pipe| &pipe.inserted_to_server)
            }
            Command::SendToClient { request, lines } => {
                exchange.insert_lines(request, &lines, |pipe| &pipe.inserted_to_client)
            }
            Command::Move(request) => {
                tracing::info!(event = "session_cut", request = request.0);
                exchange.end_session(request, "MOVE\r\n");
            }
            Command::Taken(request) => exchange.end_session(request, "TAKEN\r\n"),
            Command::SetTimer(ms) => {
                let Some(session_driver) = self.weak_self.upgrade() else { return };
                tokio::task::spawn_local(async move {
                    session_driver.clock.sleep(ms).await;
                    session_driver.feed(Event::Timer);
                });
            }
            Command::Log(event) => log_event(event),
        }
    }

    fn open_link(&self, server: ServerId) {
        let address = self.directory.address(server);
        let reserved =
            address.and_then(|address| Some((address, self.descriptors.acquire(Purpose::Served)?)));
        let (Some((address, descriptor)), Some(session_driver)) = (reserved, self.weak_self.upgrade()) else {
            self.feed(Event::LinkDown { server });
            return;
        };
        let outgoing = Rc::new(InterleavedLines::default());
        let owner = self.sessions.borrow().owner();
        let link = lease_link::run(
            Rc::downgrade(&session_driver),
            self.clock.clone(),
            server,
            address,
            owner,
            outgoing.clone(),
            descriptor,
        );
        let task = tokio::task::spawn_local(link).abort_handle();
        self.links.borrow_mut().insert(server, Link { outgoing, task });
    }
}

fn log_event(event: LogEvent) {
    match event {
        LogEvent::Held { session, request, server, epoch, upto, resumed, took_ms } => {
            tracing::info!(
                event = "session_held",
                session = %session,
                request = request.0,
                host = server.0,
                epoch,
                upto,
                resumed,
                took_ms = took_ms.round()
            );
        }
        LogEvent::HolderLost { session, server, hold_ms } => {
            tracing::info!(
                event = "session_holder_lost",
                session = %session,
                host = server.0,
                hold_ms = hold_ms.round()
            );
        }
        LogEvent::HolderReleased { session, server } => {
            tracing::info!(event = "session_holder_released", session = %session, host = server.0);
        }
        LogEvent::ReplicasChanged { session, configuration } => {
            tracing::info!(event = "session_rekept", session = %session, configuration);
        }
        LogEvent::TakenOver { session, epoch } => {
            tracing::info!(event = "session_lost", session = %session, epoch);
        }
        LogEvent::ClaimDeclined { session, configuration, promised, unanswered, no_record, refused } => {
            tracing::info!(
                event = "claim_declined",
                session = %session,
                configuration,
                promised,
                waiting = unanswered,
                none = no_record,
                elsewhere = refused
            );
        }
        LogEvent::SearchStarted { session, configuration } => {
            tracing::info!(event = "session_search", session = %session, configuration);
        }
        LogEvent::ReplicasFound { session, configuration } => {
            tracing::info!(event = "session_found", session = %session, configuration);
        }
        LogEvent::LeaseLapsed { server } => tracing::warn!(event = "keeper_lapsed", host = server.0),
    }
}
