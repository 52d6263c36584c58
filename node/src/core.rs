//! The decisions at work: feeds events to the balancer and has its actions carried out, in order.
//!
//! Owns the balancer, the numbering of requests, and its timers. Decides nothing, and knows no
//! sockets and no syntax: whoever brings requests, by whatever protocol, implements [`Requests`].

use crate::clock::{Clock, Millis};
use marllink::{Action, AttemptNo, Balancer, Event, RequestId, ServerId, Settings};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};

/// What the decisions do about requests and servers.
pub trait Requests {
    /// Sends the next attempt of a request.
    fn send(&self, request: RequestId, server: ServerId, timeout_ms: Millis);
    /// Stops waiting for an attempt.
    fn cancel(&self, request: RequestId, attempt: AttemptNo);
    /// Final answer: refused, and when to come again; 0 for no advice.
    fn refuse(&self, request: RequestId, retry_after_ms: Millis);
    /// Final answer: failed.
    fn fail(&self, request: RequestId);
    /// Asks an open connection's client to come again.
    fn move_client(&self, request: RequestId);
    /// Asks a server for its load.
    fn probe(&self, server: ServerId);
}

/// What the decisions do about the list of servers.
pub trait Membership {
    /// Asks for the whole list once.
    fn fetch(&self);
    /// Subscribes to its changes.
    fn watch(&self);
}

/// Runs one balancer.
pub struct Core {
    clock: Clock,
    balancer: RefCell<Balancer>,
    queue: RefCell<VecDeque<Event>>,
    /// Events are being handled; more of them only join the queue.
    busy: Cell<bool>,
    next_request: Cell<u64>,
    requests: RefCell<Option<Weak<dyn Requests>>>,
    membership: RefCell<Option<Rc<dyn Membership>>>,
    me: Weak<Core>,
}

impl Core {
    /// A core whose balancer knows nothing yet.
    pub fn new(clock: Clock, settings: Settings, seed: u64) -> Rc<Self> {
        let balancer = RefCell::new(Balancer::new(settings, seed, clock.now()));
        Rc::new_cyclic(|me| Self {
            clock,
            balancer,
            queue: RefCell::default(),
            busy: Cell::new(false),
            next_request: Cell::new(1),
            requests: RefCell::new(None),
            membership: RefCell::new(None),
            me: me.clone(),
        })
    }

    /// Tells who carries the actions out. To be called before the first event.
    pub fn connect(&self, requests: Weak<dyn Requests>, membership: Rc<dyn Membership>) {
        *self.requests.borrow_mut() = Some(requests);
        *self.membership.borrow_mut() = Some(membership);
    }

    /// A number for a new request; never the same twice.
    pub fn number_request(&self) -> RequestId {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
        RequestId(id)
    }

    /// Takes an event. What carrying out its actions brings about comes after it, so that events
    /// are handled one at a time and actions carried out in the order they were decided.
    pub fn feed(&self, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.busy.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else { break };
            if !matches!(event, Event::Timer(_)) {
                tracing::debug!("{:.1} {event:?}", self.clock.now());
            }
            self.balancer.borrow_mut().handle(self.clock.now(), event, &mut actions);
            for action in actions.iter().filter(|a| !matches!(a, Action::SetTimer { .. })) {
                tracing::debug!("{:.1} {action:?}", self.clock.now());
            }
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
        self.busy.set(false);
    }

    fn carry_out(&self, action: Action) {
        let requests = self.requests.borrow().as_ref().and_then(Weak::upgrade);
        let membership = self.membership.borrow().clone();
        let (Some(requests), Some(membership)) = (requests, membership) else { return };
        match action {
            Action::Send { request, server, timeout_ms } => requests.send(request, server, timeout_ms),
            Action::Cancel { request, attempt } => requests.cancel(request, attempt),
            Action::Refuse { request, retry_after_ms } => requests.refuse(request, retry_after_ms),
            Action::Fail(request) => requests.fail(request),
            Action::Move(request) => requests.move_client(request),
            Action::Probe(server) => requests.probe(server),
            Action::FetchList => membership.fetch(),
            Action::WatchList => membership.watch(),
            Action::SetTimer { delay_ms, token } => {
                let Some(core) = self.me.upgrade() else { return };
                tokio::task::spawn_local(async move {
                    core.clock.sleep(delay_ms).await;
                    core.feed(Event::Timer(token));
                });
            }
            Action::Log(text) => tracing::info!("{text}"),
            // There is no way between balancers here, and the settings do not allow one.
            Action::TellPeer { .. } => {}
        }
    }
}
