//! The balancer daemon: drives marllink's decisions with real sockets. No decision is made here.
//!
//! The modules are grouped by concern. `frontend` and `backend` own the sockets of clients and of servers
//! and meet only in `exchange`; `membership` follows the server list; `operations` is what operators do
//! with a running process; `io` has the time, byte and descriptor primitives that all of them use;
//! `protocol` parses and formats. `core` drives the decisions, and `serve` assembles the process.

mod backend;
mod cli;
mod core;
mod exchange;
mod frontend;
mod io;
mod membership;
mod operations;
mod protocol;
mod serve;

pub use cli::main;
pub use serve::{Options, serve};
