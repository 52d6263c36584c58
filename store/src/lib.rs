//! Persistent store of a balancer: the latest record under each name, with the time at which it was observed.
//!
//! A store is a directory with one log file. Every record in the log carries its own checksum, so damage to a region
//! loses only the records in that region, and a write interrupted by a crash loses only that write. Compaction writes
//! the records in force to a second file and atomically renames it over the log.
//!
//! [`frame`] defines the format and performs no I/O. [`Store`] reads and writes a store through a [`Disk`]. [`Writer`]
//! writes on a background thread, so that a disk that is full, read-only, hanging or missing never blocks the caller.
//!
//! Typical use: call [`read`] at startup, which takes no lock and modifies nothing, then [`Writer::open`], then
//! [`Writer::put`] after each change.

pub mod frame;
mod store;
mod writer;

pub use frame::{LogContents, Record};
pub use store::{Disk, FileDisk, Store, read};
pub use writer::Writer;

/// File name of the log.
pub const LOG_FILE: &str = "state.log";
/// File name of the new log while compaction writes it.
pub const DRAFT_FILE: &str = "state.new";
/// File on which the writing process holds an exclusive lock.
pub const LOCK_FILE: &str = "state.lock";

/// Reasons why a store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log has a format version that this program does not support.
    #[error(
        "written by a newer program (format version {found}, this program supports up to {supported}); run the newer program, or configure another folder"
    )]
    NewerVersion {
        /// The version found in the log.
        found: u32,
        /// The highest version that this program supports.
        supported: u32,
    },
    /// The log has no valid header and contains no intact record.
    #[error("{LOG_FILE} is not a store; configure another folder, or remove the file")]
    NotAStore,
    /// Another process holds the lock.
    #[error("another process writes it; each balancer needs a folder of its own")]
    Locked,
    /// The record's body exceeds [`frame::MAX_BODY_BYTES`].
    #[error("a record of {0} bytes exceeds the limit of {max} bytes", max = frame::MAX_BODY_BYTES)]
    RecordTooLong(usize),
    /// An I/O operation failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}
