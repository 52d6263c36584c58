//! The client side, by protocol.

pub mod line;
