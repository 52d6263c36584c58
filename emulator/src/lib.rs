//! Stand-ins for all that the balancer talks to, written from the protocol pages alone.
//!
//! [`model`] has what a form host, a keeper and a drafter do, without sockets and without a clock, so
//! that virtual time and real sockets run the same. [`platform`] has plain form hosts, discovery and clients on sockets. Nothing here shares code with the deciders
//! whose work it judges; it shares the syntax of links with them, and no more.

pub mod checker;
pub mod model;
pub mod platform;
pub mod sockets;
