//! What goes over the sockets, as pure functions from bytes to values and back.

pub mod admin;
pub mod discovery;
pub mod handover;
pub mod http;
pub mod line;
pub mod report;
pub mod session;
