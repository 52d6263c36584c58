//! What stand-ins do: events in, answers out, time as an argument (milliseconds on the stand-in's own
//! clock).

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

/// Milliseconds.
pub type Millis = f64;
