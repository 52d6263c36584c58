//! Models of servers and clients without I/O: events in, actions out, with the time as an argument, in
//! milliseconds on the emulated process's own clock.

pub mod fluid;
mod injected_bug;
mod lease_holder;
mod lease_replica;
mod record;
mod session_client;

pub use injected_bug::InjectedBug;
pub use lease_holder::{HolderAction, LeaseHolder};
pub use lease_replica::LeaseReplica;
pub use record::{Entry, Note, TokenKind, session_name};
pub use session_client::{ClientAction, SessionClient, SessionClientConfig};

/// Milliseconds, as a point in time or as a duration.
pub type Millis = f64;
