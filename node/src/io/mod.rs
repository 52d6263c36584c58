//! Low-level building blocks: time, byte buffers, sockets and file descriptors.

pub mod clock;
pub mod connect;
pub mod descriptors;
pub mod listener;
pub mod pump;
pub mod ring;
pub mod slots;
pub mod transient;
