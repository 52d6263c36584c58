//! The server side: connections and lease links to servers, load probes, and message delays.

pub mod backoff;
pub mod lease_link;
pub mod load_line;
pub mod message_delay;
pub mod server;
