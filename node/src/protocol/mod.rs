//! Wire formats, as pure functions that convert between bytes and values.

pub mod admin;
pub mod discovery;
pub mod handover;
pub mod http;
pub mod line;
pub mod report;
pub mod session;
