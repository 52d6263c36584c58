//! Sessions that outlive the form host that holds them: the decisions of an owner, without I/O and
//! without a clock. `docs/design/resume.md` tells what is promised and why it holds.
//!
//! One [`Sessions`] serves one balancer process. The node feeds [`Event`]s and carries out [`Command`]s
//! in the order written; see [`Sessions`] for the order in which to call what. Tokens are sealed and
//! opened by a [`KeyRing`].

mod claim;
mod interface;
mod journal;
mod keys;
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
