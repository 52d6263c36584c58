//! A fluid model of the load of clients on a fleet of servers: the capacity of servers and how they fail under
//! overload, how long clients stay and when they reconnect, and the capacity of the discovery service.
//!
//! Single messages are not modeled: work arrives at a server at a rate, and what exceeds its capacity accumulates as
//! backlog. Times are in ms, work is in ms of one standard core.

mod client;
mod discovery;
mod server;

pub use client::{Class, Client, ReconnectPolicy, ReconnectReason};
pub use discovery::{DiscoveryLimits, DiscoveryService};
pub use server::{Answer, LoadReport, Phase, Server, ServerConfig};
