//! Whether, and where, a request may be tried again without any effect happening twice.

use crate::Millis;

/// May a request run more than once?
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Effect {
    /// Repeating it is harmless.
    #[default]
    Safe,
    /// Servers within `scope` drop repeats for `window_ms` after the first that may have run.
    Keyed {
        /// Which servers drop each other's repeats.
        scope: KeyScope,
        /// For how long they do.
        window_ms: Millis,
    },
    /// It must not run twice.
    Unsafe,
}

/// The servers among which a keyed request's repeats are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// When an attempt was sent that may have run, and in which zone and cell; the first such of a request counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ran {
    /// When.
    pub at: Millis,
    /// In this zone.
    pub zone: u8,
    /// In this cell.
    pub cell: u16,
}

impl Effect {
    /// May there be another attempt at all, with what may have run so far?
    #[must_use]
    pub fn may_repeat(self, now: Millis, ran: Option<Ran>) -> bool {
        match (ran, self) {
            (None, _) | (_, Self::Safe) => true,
            (_, Self::Unsafe) => false,
            (Some(ran), Self::Keyed { window_ms, .. }) => now - ran.at < window_ms,
        }
    }

    /// May the next attempt go to a server of this zone and cell?
    #[must_use]
    pub fn may_run_on(self, now: Millis, ran: Option<Ran>, zone: u8, cell: u16) -> bool {
        let within = match (ran, self) {
            (Some(ran), Self::Keyed { scope: KeyScope::Zone, .. }) => zone == ran.zone,
            (Some(ran), Self::Keyed { scope: KeyScope::Cell, .. }) => cell == ran.cell,
            _ => true,
        };
        within && self.may_repeat(now, ran)
    }

    /// Is it harmless if the client itself tries again, at any balancer and so at any server?
    #[must_use]
    pub fn harmless(self, ran: Option<Ran>) -> bool {
        matches!(self, Self::Safe | Self::Keyed { scope: KeyScope::All, .. }) || ran.is_none()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_may_have_run_is_repeated_only_where_and_as_long_as_repeats_are_dropped() {
        let ran = Some(Ran { at: 100.0, zone: 1, cell: 7 });
        let keyed = |scope| Effect::Keyed { scope, window_ms: 50.0 };
        for (effect, elsewhere, same_zone, late, harmless) in [
            (Effect::Safe, true, true, true, true),
            (keyed(KeyScope::All), true, true, false, true),
            (keyed(KeyScope::Zone), false, true, false, false),
            (keyed(KeyScope::Cell), false, false, false, false),
            (Effect::Unsafe, false, false, false, false),
        ] {
            assert_eq!(effect.may_run_on(149.0, ran, 2, 8), elsewhere, "{effect:?}");
            assert_eq!(effect.may_run_on(149.0, ran, 1, 8), same_zone, "{effect:?}");
            assert_eq!(effect.may_run_on(149.0, ran, 1, 7), effect != Effect::Unsafe, "{effect:?}");
            assert_eq!(effect.may_repeat(150.0, ran), late, "{effect:?}");
            assert_eq!(effect.harmless(ran), harmless, "{effect:?}");
            assert!(effect.may_run_on(1e9, None, 2, 8) && effect.harmless(None));
        }
    }
}
