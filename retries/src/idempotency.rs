//! Whether, and where, a request may be retried without taking effect twice.

use crate::Millis;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Idempotency {
    /// Repeated execution is harmless.
    #[default]
    Safe,
    /// Servers within `scope` drop duplicates for `window_ms` after the first possible execution.
    Keyed {
        /// The servers that drop each other's duplicates.
        scope: DedupScope,
        /// How long they do, in ms.
        window_ms: Millis,
    },
    /// The request must not be executed twice.
    Unsafe,
}

/// The servers among which duplicates of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// The first attempt of a request that may have been executed: when it was sent, and where to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PossibleExecution {
    /// When the attempt was sent.
    pub sent_at: Millis,
    /// Zone of the server.
    pub zone: u8,
    /// Cell of the server.
    pub cell: u16,
}

impl Idempotency {
    /// Returns whether another attempt is safe at all, given the first possible execution.
    #[must_use]
    pub fn may_repeat(self, now: Millis, executed: Option<PossibleExecution>) -> bool {
        match (executed, self) {
            (None, _) | (_, Self::Safe) => true,
            (_, Self::Unsafe) => false,
            (Some(executed), Self::Keyed { window_ms, .. }) => now - executed.sent_at < window_ms,
        }
    }

    /// Returns whether the next attempt may go to a server of this zone and cell.
    #[must_use]
    pub fn may_execute_on(
        self,
        now: Millis,
        executed: Option<PossibleExecution>,
        zone: u8,
        cell: u16,
    ) -> bool {
        let in_scope = match (executed, self) {
            (Some(executed), Self::Keyed { scope: DedupScope::Zone, .. }) => zone == executed.zone,
            (Some(executed), Self::Keyed { scope: DedupScope::Cell, .. }) => cell == executed.cell,
            _ => true,
        };
        in_scope && self.may_repeat(now, executed)
    }

    /// Returns whether the client itself may safely retry, at any balancer and so on any server.
    #[must_use]
    pub fn client_may_retry(self, executed: Option<PossibleExecution>) -> bool {
        matches!(self, Self::Safe | Self::Keyed { scope: DedupScope::All, .. }) || executed.is_none()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_possible_execution_is_repeated_only_where_and_while_duplicates_are_dropped() {
        let executed = Some(PossibleExecution { sent_at: 100.0, zone: 1, cell: 7 });
        let keyed = |scope| Idempotency::Keyed { scope, window_ms: 50.0 };
        for (idempotency, other_zone, same_zone, late, client_may_retry) in [
            (Idempotency::Safe, true, true, true, true),
            (keyed(DedupScope::All), true, true, false, true),
            (keyed(DedupScope::Zone), false, true, false, false),
            (keyed(DedupScope::Cell), false, false, false, false),
            (Idempotency::Unsafe, false, false, false, false),
        ] {
            assert_eq!(idempotency.may_execute_on(149.0, executed, 2, 8), other_zone, "{idempotency:?}");
            assert_eq!(idempotency.may_execute_on(149.0, executed, 1, 8), same_zone, "{idempotency:?}");
            assert_eq!(
                idempotency.may_execute_on(149.0, executed, 1, 7),
                idempotency != Idempotency::Unsafe,
                "{idempotency:?}"
            );
            assert_eq!(idempotency.may_repeat(150.0, executed), late, "{idempotency:?}");
            assert_eq!(idempotency.client_may_retry(executed), client_may_retry, "{idempotency:?}");
            assert!(idempotency.may_execute_on(1e9, None, 2, 8) && idempotency.client_may_retry(None));
        }
    }
}
