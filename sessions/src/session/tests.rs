//! Tests of the state of a session.

use super::*;

#[test]
fn a_save_is_durable_only_at_a_majority_of_both_configurations_during_a_change() {
    let member = |n: u64| Member { server: n, incarnation: 1 };
    let replicas = |number, servers: [u64; 3]| Configuration { number, members: servers.map(member).into() };
    let mut session = Session::new(SessionId::default(), State::Established, None, 0.0);
    session.set_replicas(replicas(1, [1, 2, 3]));
    for (server, upto) in [(1, 9), (2, 7), (3, 4)] {
        session.replica_state(server).expect("the server is a replica").upto = upto;
    }
    assert_eq!(session.durable_upto(), 7);
    session.replica_states.push(ReplicaState::new(member(4)));
    session.next_replicas = Some(replicas(2, [1, 3, 4]));
    assert_eq!(session.durable_upto(), 4);
    session.replica_state(4).expect("the server is a replica").upto = 8;
    assert_eq!(session.durable_upto(), 7, "the current configuration has no majority beyond 7");
    session.set_replicas(Configuration { number: 3, members: vec![member(1)] });
    session.replica_state(1).expect("the server is a replica").upto = 5;
    assert_eq!(session.durable_upto(), 5);
}
