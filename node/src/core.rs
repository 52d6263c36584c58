//! The decisions at work: feeds events to the balancer and has its actions carried out, in order.
//!
//! Owns the balancer, the numbering of requests, and its timers. Decides nothing, and knows no
//! sockets and no syntax: whoever brings requests, by whatever protocol, implements [`Requests`].

use crate::io::clock::{Clock, Millis};
use marllink::{Action, AttemptNo, Balancer, Event, Holding, LearnedState, RequestId, ServerId, Settings};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;

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
    /// A first connection stands.
    served: Notify,
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
            served: Notify::new(),
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

    /// Waits until a connection stands that was not there before. For one caller.
    pub async fn connection_established(&self) {
        self.served.notified().await;
    }

    /// What a successor is to know.
    pub fn knowledge(&self) -> LearnedState {
        LearnedState { now: self.clock.now(), ..self.balancer.borrow().learned_state() }
    }

    /// True if an attempt at this server may begin now. Not to be asked while an action is carried out.
    pub fn takes_new(&self, server: ServerId) -> bool {
        self.balancer.borrow().accepts_new(server)
    }

    /// What this process holds itself.
    pub fn holdings(&self) -> Vec<Holding> {
        let mut holdings = self.balancer.borrow().holdings();
        holdings.sort_by_key(|held| held.server);
        holdings
    }

    /// Takes an event. What carrying out its actions brings about comes after it, so that events
    /// are handled one at a time and actions carried out in the order they were decided.
    pub fn feed(&self, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.busy.replace(true) {
            return;
        }
        let _turn = Turn(&self.busy);
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else { break };
            if matches!(event, Event::Established { .. }) {
                self.served.notify_one();
            }
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
    }

    fn carry_out(&self, action: Action) {
        let requests = self.requests.borrow().as_ref().and_then(Weak::upgrade);
        let membership = self.membership.borrow().clone();
        let (Some(requests), Some(membership)) = (requests, membership) else { return };
        match action {
            Action::Send { request, server, timeout_ms } => requests.send(request, server, timeout_ms),
            Action::Cancel { request, attempt } => requests.cancel(request, attempt),
            Action::Reject { request, retry_after_ms } => requests.refuse(request, retry_after_ms),
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
            Action::SendToPeer { .. } => {}
        }
    }
}

/// Gives the turn to handle events back, also when a panic ends it: one event that fails must cost
/// its own request, and not leave all later ones in the queue for ever.
struct Turn<'a>(&'a Cell<bool>);

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use marllink::{CellId, Class, ListKind, NewRequest, ServerEntry, ServerState, ZoneId};

    /// Writes down what it is asked, and answers a send at once with an end, as a node without a
    /// free descriptor does.
    #[derive(Default)]
    struct Recorder {
        core: RefCell<Weak<Core>>,
        asked: RefCell<Vec<String>>,
        attempts: Cell<u8>,
        panics: Cell<bool>,
    }

    impl Recorder {
        fn note(&self, text: String) {
            self.asked.borrow_mut().push(text);
        }
    }

    impl Requests for Recorder {
        fn send(&self, request: RequestId, _: ServerId, _: Millis) {
            assert!(!self.panics.take(), "this one fails");
            let attempt = AttemptNo(self.attempts.replace(self.attempts.get() + 1));
            self.note(format!("send {} begins", request.0));
            let core = self.core.borrow().upgrade().expect("it is in use");
            core.feed(Event::AttemptEnded {
                request,
                attempt,
                outcome: marllink::Outcome::NotSent,
                closed: false,
            });
            self.note(format!("send {} ends", request.0));
        }
        fn cancel(&self, request: RequestId, _: AttemptNo) {
            self.note(format!("cancel {}", request.0));
        }
        fn refuse(&self, request: RequestId, _: Millis) {
            self.note(format!("refuse {}", request.0));
        }
        fn fail(&self, request: RequestId) {
            self.note(format!("fail {}", request.0));
        }
        fn move_client(&self, request: RequestId) {
            self.note(format!("move {}", request.0));
        }
        fn probe(&self, _: ServerId) {}
    }

    impl Membership for Recorder {
        fn fetch(&self) {}
        fn watch(&self) {}
    }

    /// A core with one server, between recorders.
    fn core() -> (Rc<Core>, Rc<Recorder>) {
        let mut settings = Settings { nodes: 1, classes: vec![Class::default()], ..Settings::default() };
        settings.limits.max_attempts = 2;
        let core = Core::new(Clock::settable(), settings, 1);
        let recorder = Rc::new(Recorder::default());
        *recorder.core.borrow_mut() = Rc::downgrade(&core);
        let requests: Weak<dyn Requests> = Rc::downgrade(&recorder) as _;
        core.connect(requests, recorder.clone());
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
        let request = core.number_request();
        Event::Request(NewRequest { request, time_left_ms: 2_000.0, ..NewRequest::default() })
    }

    #[tokio::test(flavor = "current_thread")]
    async fn what_an_action_brings_about_comes_after_it() {
        tokio::task::LocalSet::new()
            .run_until(async {
                let (core, recorder) = core();
                core.feed(request(&core));
                let asked = recorder.asked.borrow().join(", ");
                assert_eq!(asked, "send 1 begins, send 1 ends, send 1 begins, send 1 ends, refuse 1");
            })
            .await;
    }

    #[tokio::test(flavor = "current_thread")]
    async fn an_event_that_fails_does_not_hold_up_the_next() {
        tokio::task::LocalSet::new()
            .run_until(async {
                let (core, recorder) = core();
                recorder.panics.set(true);
                let failing = std::panic::AssertUnwindSafe(|| core.feed(request(&core)));
                assert!(std::panic::catch_unwind(failing).is_err());
                core.feed(request(&core));
                assert_eq!(recorder.asked.borrow().first().map(String::as_str), Some("send 2 begins"));
            })
            .await;
    }
}
