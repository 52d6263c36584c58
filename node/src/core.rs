//! Drives the balancer: feeds it events and executes its actions in order.
//!
//! Owns the balancer, the numbering of requests, and the timers. Makes no decisions and is independent of
//! sockets and protocols: the component that brings requests implements [`RequestActions`].

use crate::io::clock::{Clock, Millis};
use marllink::{
    Action, AttemptNo, Balancer, Event, Holding, LearnedState, RequestId, SendDenied, ServerId, Settings,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;

/// The balancer's actions on requests and servers.
pub trait RequestActions {
    /// Sends the next attempt of a request.
    fn send(&self, request: RequestId, server: ServerId, timeout_ms: Millis);
    /// Cancels an attempt.
    fn cancel(&self, request: RequestId, attempt: AttemptNo);
    /// Sends the final answer to a rejected request, with the time to wait before a retry; 0 for no advice.
    fn reject(&self, request: RequestId, retry_after_ms: Millis);
    /// Sends the final answer to a failed request.
    fn fail(&self, request: RequestId);
    /// Asks the client of an established connection to reconnect.
    fn move_client(&self, request: RequestId);
    /// Sends a load probe to a server.
    fn probe(&self, server: ServerId);
}

/// The balancer's actions on the server list.
pub trait Membership {
    /// Fetches the whole list once.
    fn fetch(&self);
    /// Subscribes to changes of the list.
    fn watch(&self);
}

/// Drives one balancer.
pub struct Core {
    clock: Clock,
    balancer: RefCell<Balancer>,
    queue: RefCell<VecDeque<Event>>,
    /// An event is being handled; further events are only queued.
    busy: Cell<bool>,
    next_request: Cell<u64>,
    request_actions: RefCell<Option<Weak<dyn RequestActions>>>,
    membership: RefCell<Option<Rc<dyn Membership>>>,
    /// Notified whenever a connection is established.
    established: Notify,
    weak_self: Weak<Core>,
}

impl Core {
    /// Creates a core whose balancer has no server list yet.
    pub fn new(clock: Clock, settings: Settings, seed: u64) -> Rc<Self> {
        let balancer = RefCell::new(Balancer::new(settings, seed, clock.now()));
        Rc::new_cyclic(|weak_self| Self {
            clock,
            balancer,
            queue: RefCell::default(),
            busy: Cell::new(false),
            next_request: Cell::new(1),
            request_actions: RefCell::new(None),
            membership: RefCell::new(None),
            established: Notify::new(),
            weak_self: weak_self.clone(),
        })
    }

    /// Sets the components that execute the actions. Must be called before the first event.
    pub fn connect(&self, request_actions: Weak<dyn RequestActions>, membership: Rc<dyn Membership>) {
        *self.request_actions.borrow_mut() = Some(request_actions);
        *self.membership.borrow_mut() = Some(membership);
    }

    /// Returns the id for a new request, which is never reused.
    pub fn next_request_id(&self) -> RequestId {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
        RequestId(id)
    }

    /// Waits until the next connection is established. Supports a single waiting task.
    pub async fn connection_established(&self) {
        self.established.notified().await;
    }

    /// Returns what the balancer has learned, for the successor process.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState { now: self.clock.now(), ..self.balancer.borrow().learned_state() }
    }

    /// Checks whether an attempt may be sent now.
    ///
    /// # Errors
    /// Returns the limit that the attempt would violate.
    pub fn check_send(&self, request: RequestId, attempt: AttemptNo) -> Result<(), SendDenied> {
        self.balancer.borrow().check_send(self.clock.now(), request, attempt)
    }

    /// Returns the connections and load that this process itself holds, by server.
    pub fn holdings(&self) -> Vec<Holding> {
        let mut holdings = self.balancer.borrow().holdings();
        holdings.sort_by_key(|holding| holding.server);
        holdings
    }

    /// Handles an event. Events that arise while its actions are executed are queued, so that events are
    /// handled one at a time and actions are executed in the order in which they were decided.
    pub fn feed(&self, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.busy.replace(true) {
            return;
        }
        let _guard = BusyGuard(&self.busy);
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else { break };
            if matches!(event, Event::Established { .. }) {
                self.established.notify_one();
            }
            if !matches!(event, Event::Timer(_)) {
                tracing::debug!("{:.1} {event:?}", self.clock.now());
            }
            self.balancer.borrow_mut().handle(self.clock.now(), event, &mut actions);
            for action in actions.iter().filter(|action| !matches!(action, Action::SetTimer { .. })) {
                tracing::debug!("{:.1} {action:?}", self.clock.now());
            }
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }

    fn execute(&self, action: Action) {
        let request_actions = self.request_actions.borrow().as_ref().and_then(Weak::upgrade);
        let membership = self.membership.borrow().clone();
        let (Some(request_actions), Some(membership)) = (request_actions, membership) else { return };
        match action {
            Action::Send { request, server, timeout_ms } => request_actions.send(request, server, timeout_ms),
            Action::Cancel { request, attempt } => request_actions.cancel(request, attempt),
            Action::Reject { request, retry_after_ms } => request_actions.reject(request, retry_after_ms),
            Action::Fail(request) => request_actions.fail(request),
            Action::Move(request) => request_actions.move_client(request),
            Action::Probe(server) => request_actions.probe(server),
            Action::FetchList => membership.fetch(),
            Action::WatchList => membership.watch(),
            Action::SetTimer { delay_ms, token } => {
                let Some(core) = self.weak_self.upgrade() else { return };
                tokio::task::spawn_local(async move {
                    core.clock.sleep(delay_ms).await;
                    core.feed(Event::Timer(token));
                });
            }
            Action::Log(text) => tracing::info!("{text}"),
            // Balancer processes have no channel between them, and the settings do not allow this action.
            Action::SendToPeer { .. } => {}
        }
    }
}

/// Clears the busy flag when dropped, even by a panic: an event whose handling panics must not leave all
/// later events in the queue forever.
struct BusyGuard<'a>(&'a Cell<bool>);

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use marllink::{CellId, Class, ListKind, NewRequest, ServerEntry, ServerState, ZoneId};

    /// Records the actions, and ends each attempt at once, as a node without a free descriptor does.
    #[derive(Default)]
    struct Recorder {
        core: RefCell<Weak<Core>>,
        recorded: RefCell<Vec<String>>,
        attempts: Cell<u8>,
        panic_on_send: Cell<bool>,
    }

    impl Recorder {
        fn record(&self, text: String) {
            self.recorded.borrow_mut().push(text);
        }
    }

    impl RequestActions for Recorder {
        fn send(&self, request: RequestId, _: ServerId, _: Millis) {
            assert!(!self.panic_on_send.take(), "simulated panic");
            let attempt = AttemptNo(self.attempts.replace(self.attempts.get() + 1));
            self.record(format!("send {} begins", request.0));
            let core = self.core.borrow().upgrade().expect("the core is alive while it executes an action");
            core.feed(Event::AttemptEnded {
                request,
                attempt,
                outcome: marllink::Outcome::NotSent,
                closed: false,
            });
            self.record(format!("send {} ends", request.0));
        }
        fn cancel(&self, request: RequestId, _: AttemptNo) {
            self.record(format!("cancel {}", request.0));
        }
        fn reject(&self, request: RequestId, _: Millis) {
            self.record(format!("reject {}", request.0));
        }
        fn fail(&self, request: RequestId) {
            self.record(format!("fail {}", request.0));
        }
        fn move_client(&self, request: RequestId) {
            self.record(format!("move {}", request.0));
        }
        fn probe(&self, _: ServerId) {}
    }

    impl Membership for Recorder {
        fn fetch(&self) {}
        fn watch(&self) {}
    }

    /// Creates a core with one server, and the recorder that executes its actions.
    fn core() -> (Rc<Core>, Rc<Recorder>) {
        let mut settings = Settings { nodes: 1, classes: vec![Class::default()], ..Settings::default() };
        settings.limits.max_attempts = 2;
        let core = Core::new(Clock::manual(), settings, 1);
        let recorder = Rc::new(Recorder::default());
        *recorder.core.borrow_mut() = Rc::downgrade(&core);
        let request_actions: Weak<dyn RequestActions> = Rc::downgrade(&recorder) as _;
        core.connect(request_actions, recorder.clone());
        let entry = ServerEntry {
            server: ServerId(1),
            zone: ZoneId(0),
            cell: CellId(0),
            state: ServerState::Ready,
            weight: 1.0,
            started_at: 0.0,
        };
        core.feed(Event::ServerList { kind: ListKind::Full, entries: vec![entry] });
        (core, recorder)
    }

    fn request(core: &Core) -> Event {
        let request = core.next_request_id();
        Event::Request(NewRequest { request, time_left_ms: 2_000.0, ..NewRequest::default() })
    }

    #[tokio::test(flavor = "current_thread")]
    async fn events_from_an_action_are_handled_after_it() {
        tokio::task::LocalSet::new()
            .run_until(async {
                let (core, recorder) = core();
                core.feed(request(&core));
                let recorded = recorder.recorded.borrow().join(", ");
                assert_eq!(recorded, "send 1 begins, send 1 ends, send 1 begins, send 1 ends, reject 1");
            })
            .await;
    }

    #[tokio::test(flavor = "current_thread")]
    async fn a_panic_while_handling_an_event_does_not_block_later_events() {
        tokio::task::LocalSet::new()
            .run_until(async {
                let (core, recorder) = core();
                recorder.panic_on_send.set(true);
                let panicking = std::panic::AssertUnwindSafe(|| core.feed(request(&core)));
                assert!(std::panic::catch_unwind(panicking).is_err());
                core.feed(request(&core));
                assert_eq!(recorder.recorded.borrow().first().map(String::as_str), Some("send 2 begins"));
            })
            .await;
    }
}
