//! Resumable sessions, which survive the loss of the server that holds them: the decisions of the owner
//! process, without I/O and without a clock. `docs/design/resume.md` describes the guarantees and why they
//! hold.
//!
//! Each balancer process has one [`Sessions`]. The node feeds it [`Event`]s and carries out the [`Command`]s
//! in order; [`Sessions`] documents the expected order of calls. A [`KeyRing`] seals and opens tokens.

mod claim;
mod interface;
mod journal;
mod keys;
mod pending_calls;
mod placement;
mod session;
mod state_machine;
mod timers;
mod token;

pub use interface::*;
pub use keys::{KeyError, KeyRing};
pub use state_machine::Sessions;
pub use token::{Token, TokenError};

pub use marllink_lease_protocol as lease_protocol;
