//! Emulated servers, discovery and clients for tests and experiments with the balancer, written from the protocol
//! specifications alone, and checkers of the logs that they write.
//!
//! [`model`] has the behavior of servers, lease replicas and clients without sockets and without a clock, so that
//! the same code runs in virtual time and on real sockets. [`sockets`] runs the models of sessions on loopback
//! sockets. [`platform`] has servers, discovery and clients of plain connections on loopback sockets. [`checker`]
//! checks the log of a run with sessions, [`platform::rules`] that of a run with plain connections.
//!
//! Except for the frames and lines of session links, nothing here shares code with the implementation that it checks.

pub mod checker;
pub mod model;
pub mod platform;
pub mod sockets;
