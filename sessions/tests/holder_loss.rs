//! The end of a server's hold on a session: only its orderly close, its release or the end of its lease proves it.
#![allow(missing_docs, reason = "test names describe the guarded failure")]

mod emulated_replicas;
mod simulated_network;

use emulated_replicas::{Balancer, EmulatedServers, HOLDER, UNIX_MS, hold_events, keys};
use marllink::RequestId;
use marllink_lease_protocol::call;
use marllink_sessions::{Command, Event, HolderEnd, SessionRequest, Sessions, Settings};
use simulated_network::{Fault, Node, SimulatedNetwork};

const REQUEST: RequestId = RequestId(1);
const TAKEOVER_REQUEST: RequestId = RequestId(2);
const START_MS: f64 = 1_000.0;
/// Longer than any lease of the default settings, in milliseconds.
const LATER_MS: f64 = 3_000.0;

/// What a session is doing when its attempt ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// The server has not requested a lease.
    Opening,
    /// The server was granted a lease and has not accepted the connection.
    Leased,
    Established,
    /// The client has left.
    Closing,
    /// Another connection of the client waits to take the session over.
    TakenOver,
}

const PHASES: [Phase; 5] =
    [Phase::Opening, Phase::Leased, Phase::Established, Phase::Closing, Phase::TakenOver];

fn balancer_in(phase: Phase, holder_silent: bool) -> Balancer {
    let sessions = Sessions::new(Settings::default(), keys(), [1; 32], START_MS, UNIX_MS);
    let mut balancer = Balancer::new(START_MS, sessions, EmulatedServers::new(holder_silent));
    let (request, session_request) = (REQUEST, SessionRequest::New);
    balancer.feed(Event::SessionRequested { request, session_request, wait_ms: 4_800.0 });
    let [started, lease_requested] = hold_events(request);
    balancer.feed(started);
    if phase != Phase::Opening {
        balancer.feed(lease_requested);
        balancer.deliver_all();
        assert!(balancer.sessions.has_lease(request));
    }
    if !matches!(phase, Phase::Opening | Phase::Leased) {
        balancer.feed(Event::AttemptEstablished { request });
    }
    match phase {
        Phase::Closing => balancer.feed(Event::RequestClosed { request }),
        Phase::TakenOver => {
            let session_request = SessionRequest::Resume(balancer.token());
            balancer.feed(Event::SessionRequested {
                request: TAKEOVER_REQUEST,
                session_request,
                wait_ms: 4_800.0,
            });
            balancer.feed(Event::RequestClosed { request });
        }
        Phase::Opening | Phase::Leased | Phase::Established => {}
    }
    balancer.deliver_all();
    balancer.commands.clear();
    balancer
}

/// Returns when the replicas were first sent the release of the session, or another claim on it.
fn freed_at(balancer: &Balancer) -> Option<f64> {
    let frees = |command: &Command| {
        matches!(
            command,
            Command::Call { call, .. }
                if matches!(call.body, Some(call::Body::Release(_) | call::Body::Claim(_)))
        )
    };
    balancer.commands.iter().find(|(_, command)| frees(command)).map(|(at, _)| *at)
}

fn end_attempt(balancer: &mut Balancer, session_over: bool, holder: HolderEnd) {
    balancer.feed(Event::AttemptEnded { request: REQUEST, session_over, holder });
    balancer.feed(Event::RequestClosed { request: REQUEST });
}

#[test]
fn session_is_not_free_before_its_holder_has_closed_or_its_lease_has_expired() {
    for phase in PHASES {
        for session_over in [false, true] {
            for holder in [HolderEnd::Released, HolderEnd::Lost] {
                let mut balancer = balancer_in(phase, true);
                let ended_at = balancer.now;
                let hold_until = balancer.sessions.hold_until(REQUEST);
                assert_eq!(hold_until > ended_at, phase != Phase::Opening);
                end_attempt(&mut balancer, session_over, holder);
                balancer.run_until(ended_at + LATER_MS);
                let case = format!("{phase:?}, over: {session_over}, {holder:?}");
                let freed_at = freed_at(&balancer).unwrap_or_else(|| panic!("{case}: never free"));
                let earliest = if holder == HolderEnd::Lost { hold_until.max(ended_at) } else { ended_at };
                assert!(freed_at >= earliest, "{case}: free at {freed_at}, held until {hold_until}");
                assert!(freed_at <= earliest + 5.0, "{case}: free at {freed_at} instead of {earliest}");
            }
        }
    }
}

/// A server that can be reached need not be waited for.
#[test]
fn session_is_free_once_the_server_of_a_lost_connection_confirms_its_release() {
    for phase in PHASES {
        let mut balancer = balancer_in(phase, false);
        let ended_at = balancer.now;
        end_attempt(&mut balancer, false, HolderEnd::Lost);
        assert_eq!(freed_at(&balancer).is_some(), phase == Phase::Opening, "{phase:?}: free without a proof");
        balancer.now += 20.0;
        balancer.deliver_all();
        let expected = if phase == Phase::Opening { ended_at } else { ended_at + 20.0 };
        assert_eq!(freed_at(&balancer), Some(expected), "{phase:?}");
    }
}

/// The release is requested again once there is a link to the server again.
#[test]
fn release_is_requested_anew_from_a_server_whose_link_was_lost_with_the_connection() {
    let mut balancer = balancer_in(Phase::Established, false);
    let ended_at = balancer.now;
    balancer.feed(Event::LinkDown { server: HOLDER });
    end_attempt(&mut balancer, false, HolderEnd::Lost);
    assert_eq!(freed_at(&balancer), None);
    balancer.run_until(ended_at + 500.0);
    let freed_at = freed_at(&balancer).expect("the server has answered");
    assert!(freed_at < ended_at + 500.0, "{freed_at}");
}

#[test]
fn request_whose_server_may_hold_the_session_starts_no_attempt_elsewhere() {
    let mut balancer = balancer_in(Phase::Leased, true);
    let (request, holder) = (REQUEST, HolderEnd::Lost);
    balancer.feed(Event::AttemptEnded { request, session_over: false, holder });
    let is_busy = |(_, command): &(f64, Command)| matches!(command, Command::ReplyBusy { .. });
    assert!(balancer.commands.iter().any(is_busy), "{:?}", balancer.commands);
    balancer.commands.clear();
    let [started, lease_requested] = hold_events(request);
    balancer.feed(started);
    balancer.feed(lease_requested);
    balancer.deliver_all();
    let is_lease = |(_, command): &(f64, Command)| matches!(command, Command::SendToServer { .. });
    assert!(!balancer.commands.iter().any(is_lease), "{:?}", balancer.commands);
}

/// All connections to one server are reset after the other; it hears of that late, or not before it can be
/// reached again.
#[test]
fn reset_that_the_holder_has_not_heard_of_causes_no_double_holder() {
    for seed in 0..8 {
        for cut_off in [false, true] {
            let (balancers, servers) = (2, 6);
            let mut network = SimulatedNetwork::new(seed, balancers, servers, 30, Settings::default(), None);
            for server in 0..servers {
                let at = 2_000.0 + 4_000.0 * server as f64;
                for balancer in (0..balancers).filter(|_| cut_off) {
                    let partition = Fault::Partition(Node::Balancer(balancer), Node::Server(server), 3_000.0);
                    network.schedule_fault(at, partition);
                }
                network.schedule_fault(at + 1.0, Fault::Reset(server, 3_000.0));
            }
            network.run_for(28_000.0);
            let verdict = network.finish();
            assert!(verdict.passed(), "seed {seed}, cut off: {cut_off}: {verdict:#?}");
            assert!(verdict.resumed >= 20, "seed {seed}: {}", verdict.resumed);
        }
    }
}
