//! Log entries of servers whose clocks run at other rates than the clock of the log.
#![allow(missing_docs, reason = "test names describe the guarded failure")]

use marllink_emulator::model::{HolderAction, LeaseHolder, Note};
use marllink_lease_protocol::{Ballot, SessionId};

/// A server that is stalled when its lease expires records that late, by a duration on its own clock.
#[test]
fn lease_that_expires_during_a_stall_is_recorded_as_expired_at_its_end_on_every_clock() {
    let (lease_ms, stalled_until_ms) = (2_000.0, 12_000.0);
    for clock_rate in [0.985, 0.99, 1.0, 1.01, 1.015] {
        let mut holder = LeaseHolder::new(None);
        let mut actions = Vec::new();
        let (session, ballot) = (SessionId { hi: 1, lo: 2 }, Ballot { epoch: 1, attempt: 1 });
        holder.open(0.0, 1, session, ballot, &mut actions);
        holder.handle_line(0.0, 1, &format!("LEASE 1 {lease_ms}"), &mut actions);
        actions.clear();
        holder.tick(stalled_until_ms * clock_rate, &mut actions);
        let late_ms = actions.into_iter().find_map(|action| match action {
            HolderAction::Record(note) => match note.on_log_clock(clock_rate) {
                Note::LeaseReleased { late_ms, .. } => Some(late_ms),
                _ => None,
            },
            _ => None,
        });
        let expired_at = stalled_until_ms - late_ms.expect("the lease is released");
        assert!((expired_at - lease_ms / clock_rate).abs() < 0.001, "{clock_rate}: {expired_at}");
    }
}
