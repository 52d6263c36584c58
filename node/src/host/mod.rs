//! The side of form hosts.

pub mod backoff;
pub mod delay;
pub mod links;
pub mod server;
pub mod told;
