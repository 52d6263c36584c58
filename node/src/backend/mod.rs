//! The side of form hosts.

pub mod backoff;
pub mod lease_link;
pub mod load_line;
pub mod message_delay;
pub mod server;
