//! The real balancer: marllink's decisions on real sockets. No decision is made here.
//!
//! The modules are grouped by concern. `front` and `host` own the sockets of clients and of form hosts
//! and never meet but in `exchange`; `membership` follows the list; `operations` is what operators do to
//! a running process; `io` is what all of them stand on; `protocol` is syntax alone. `core` runs the
//! decisions, and `serve` puts the parts together.

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
