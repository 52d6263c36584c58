//! A crowd of clients before a fleet of form hosts, as a model of load: what hosts can do and how they
//! fail under too much, how long clients stay and when they come again, how a list service keeps up.
//!
//! Fluid where single messages do not matter: a host has work coming in at a rate, and what it cannot
//! do piles up. Times are in ms, work is in ms of one standard core.

mod client;
mod discovery;
mod server;

pub use client::{Class, Client, ReconnectPolicy, ReconnectReason};
pub use discovery::{DiscoveryLimits, DiscoveryService};
pub use server::{Answer, LoadReport, Phase, Server, ServerConfig};
