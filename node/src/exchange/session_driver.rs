//! Sessions at work: feeds the machine that decides about them, and has its commands carried out.
//!
//! A request that asks for a session goes to the decisions only once that is its own; from then on it
//! is a request like any other. What the machine needs to know of it comes from the exchange.

use super::Exchange;
use crate::backend::lease_link;
use crate::io::clock::Clock;
use crate::io::descriptors::{Descriptors, Purpose};
use crate::io::pump::Between;
use crate::membership::directory::Directory;
use crate::operations::tuning::Tuning;
use marllink::{RequestId, ServerId};
use marllink_sessions::{Command, Event, KeyRing, Listed, Note, Passed, Sessions, Settings, keep};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::{Rc, Weak};
use tokio::task::AbortHandle;

/// The sessions of this process.
pub struct SessionDriver {
    clock: Clock,
    machine: RefCell<Sessions>,
    commands: RefCell<VecDeque<Command>>,
    /// Commands are being carried out; more of them only join the queue.
    busy: Cell<bool>,
    links: RefCell<HashMap<ServerId, Link>>,
    directory: Rc<Directory>,
    descriptors: Rc<Descriptors>,
    tuning: Rc<Tuning>,
    exchange: RefCell<Weak<Exchange>>,
    me: Weak<SessionDriver>,
}

struct Link {
    words: Rc<Between>,
    task: AbortHandle,
}

impl SessionDriver {
    /// Sessions of a process that has none yet; `seed` is drawn by the system.
    pub fn new(
        clock: Clock,
        settings: Settings,
        keys: KeyRing,
        seed: [u8; 32],
        directory: Rc<Directory>,
        descriptors: Rc<Descriptors>,
        tuning: Rc<Tuning>,
    ) -> Rc<Self> {
        let (now, unix) = (clock.now(), clock.unix());
        let machine = Sessions::new(settings, keys, seed, now, unix).into();
        Rc::new_cyclic(|me| Self {
            clock,
            machine,
            commands: RefCell::default(),
            busy: Cell::default(),
            links: RefCell::default(),
            directory,
            descriptors,
            tuning,
            exchange: RefCell::default(),
            me: me.clone(),
        })
    }

    /// Tells whose requests these are. To be called before the first event.
    pub fn connect(&self, exchange: Weak<Exchange>) {
        self.exchange.replace(exchange);
    }

    /// Takes an event at once. Its commands are carried out in order, after those that wait already.
    pub fn feed(&self, event: Event) {
        let mut commands = Vec::new();
        self.machine.borrow_mut().handle(self.clock.now(), event, &mut commands);
        self.commands.borrow_mut().extend(commands);
        if self.busy.replace(true) {
            return;
        }
        loop {
            let Some(command) = self.commands.borrow_mut().pop_front() else { break };
            self.carry_out(command);
        }
        self.busy.set(false);
    }

    /// The form hosts that are known have changed.
    pub fn servers_changed(&self, listed: Vec<Listed>) {
        self.feed(Event::Servers(listed));
    }

    /// A link has ended by itself.
    pub fn link_ended(&self, server: ServerId) {
        self.links.borrow_mut().remove(&server);
        self.feed(Event::LinkDown { server });
    }

    /// How the form host of a request's attempt is to hold its session: what its first line says.
    pub fn held_as(&self, request: RequestId) -> Option<String> {
        let (session, ballot) = self.machine.borrow().held_as(request)?;
        Some(format!("{session}.{ballot}"))
    }

    /// A form host that takes a session asks for its lease within so long.
    pub fn asks_within(&self) -> f64 {
        self.machine.borrow().asks_within()
    }

    /// For how long the form host of a request's attempt may hold its session yet.
    pub fn hold_ms(&self, request: RequestId) -> f64 {
        self.machine.borrow().hold_until(request) - self.clock.now()
    }

    /// True once the form host of a request's attempt has been given a lease.
    pub fn leased(&self, request: RequestId) -> bool {
        self.machine.borrow().leased(request)
    }

    /// True if the client of this request may save more before something is confirmed.
    pub fn has_room(&self, request: RequestId) -> bool {
        self.machine.borrow().room(request) > 0
    }

    /// True if the request's session could not be passed on as of now.
    pub fn is_busy(&self, request: RequestId) -> bool {
        self.machine.borrow().busy(request)
    }

    /// Gives up a session for the process that takes this one's place.
    pub fn pass_on(&self, request: RequestId) -> Option<Passed> {
        self.machine.borrow_mut().pass_on(request)
    }

    fn carry_out(&self, command: Command) {
        let Some(exchange) = self.exchange.borrow().upgrade() else { return };
        match command {
            Command::Link(server) => self.link(server),
            Command::Unlink(server) => {
                if let Some(link) = self.links.borrow_mut().remove(&server) {
                    link.task.abort();
                }
            }
            Command::Call { server, call } => {
                let mut frame = Vec::new();
                keep::write_frame(&call, &mut frame);
                let taken = self.links.borrow().get(&server).is_none_or(|link| link.words.add(&frame));
                if !taken {
                    // Nobody reads at the other end.
                    self.carry_out(Command::Unlink(server));
                    self.feed(Event::LinkDown { server });
                }
            }
            Command::Proceed(request) => exchange.proceed(request),
            Command::Refuse { request, retry_after_ms } => {
                let limits = &self.tuning.now().balancing.limits;
                let told =
                    if limits.retry_after { retry_after_ms.min(limits.max_retry_after_ms) } else { 0.0 };
                tracing::debug!(event = "session_refused", request = request.0, retry_after_ms = told);
                exchange.refuse_session(request, told);
            }
            Command::Reject { request, why } => {
                tracing::info!(event = "session_rejected", request = request.0, reason = why.name());
                exchange.fail_session(request);
            }
            Command::ToHost { request, lines } => exchange.tell(request, &lines, |pipe| &pipe.to_host),
            Command::ToClient { request, lines } => exchange.tell(request, &lines, |pipe| &pipe.to_client),
            Command::Move(request) => {
                tracing::info!(event = "session_cut", request = request.0);
                exchange.end_session(request, "MOVE\r\n");
            }
            Command::Taken(request) => exchange.end_session(request, "TAKEN\r\n"),
            Command::SetTimer(ms) => {
                let Some(resume) = self.me.upgrade() else { return };
                tokio::task::spawn_local(async move {
                    resume.clock.sleep(ms).await;
                    resume.feed(Event::Timer);
                });
            }
            Command::Note(note) => tell(note),
        }
    }

    fn link(&self, server: ServerId) {
        let way = self.directory.address(server);
        let way = way.and_then(|address| Some((address, self.descriptors.take(Purpose::Served)?)));
        let (Some((address, descriptor)), Some(resume)) = (way, self.me.upgrade()) else {
            self.feed(Event::LinkDown { server });
            return;
        };
        let words = Rc::new(Between::default());
        let owner = self.machine.borrow().owner();
        let link = lease_link::run(
            Rc::downgrade(&resume),
            self.clock.clone(),
            server,
            address,
            owner,
            words.clone(),
            descriptor,
        );
        let task = tokio::task::spawn_local(link).abort_handle();
        self.links.borrow_mut().insert(server, Link { words, task });
    }
}

fn tell(note: Note) {
    match note {
        Note::Held { session, request, server, epoch, upto, resumed, took_ms } => {
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
        Note::Rekept { session, configuration } => {
            tracing::info!(event = "session_rekept", session = %session, configuration);
        }
        Note::Lost { session, epoch } => {
            tracing::info!(event = "session_lost", session = %session, epoch);
        }
        Note::Declined { session, configuration, promised, waiting, none, elsewhere } => {
            tracing::info!(
                event = "claim_declined",
                session = %session,
                configuration,
                promised,
                waiting,
                none,
                elsewhere
            );
        }
        Note::Lapsed { server } => tracing::warn!(event = "keeper_lapsed", host = server.0),
    }
}
