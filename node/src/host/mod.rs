//! The side of form hosts.

pub mod delay;
pub mod server;
