//! The project's emulated servers of sessions, from their own source files. The package `marllink-emulator` itself
//! would need a library that the deploy file's build does not.
#![allow(dead_code, unused_imports)]

#[path = "../../../emulator/src/model/injected_bug.rs"]
mod injected_bug;
#[path = "../../../emulator/src/model/lease_holder.rs"]
mod lease_holder;
#[path = "../../../emulator/src/model/lease_replica.rs"]
mod lease_replica;
#[path = "../../../emulator/src/model/record.rs"]
mod record;

pub use injected_bug::InjectedBug;
pub use lease_holder::{HolderAction, LeaseHolder};
pub use lease_replica::LeaseReplica;
pub use record::{Entry, Note, session_name};

/// Milliseconds, as a point in time or as a duration.
pub type Millis = f64;
