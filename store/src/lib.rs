//! What a balancer keeps on disk: the latest of each thing that it knows by name, with when it was known.
//!
//! A folder holds one log. Each record in it is whole by itself, with a checksum, so that a part that is
//! damaged costs that part alone, and a write that a crash cut off costs that write alone. Now and then the log
//! is written anew without what is outdated, beside the old one, and takes its place in one step.
//!
//! [`frame`] is the format, pure. [`Store`] reads and writes one by way of a [`Disk`]. A [`Writer`] does that on a
//! thread of its own: a disk that is full, read-only, hangs or vanishes never stalls whoever has something to keep.
//!
//! In this order: [`read`] at the start, which needs no lock and changes nothing; then [`Writer::open`], and
//! [`Writer::put`] whenever something has changed.

pub mod frame;
mod store;
mod writer;

pub use frame::{LogContents, Record};
pub use store::{Disk, FileDisk, Store, read};
pub use writer::Writer;

/// The log's name in its folder.
pub const LOG_FILE: &str = "state.log";
/// Its draft while it is written anew.
pub const DRAFT_FILE: &str = "state.new";
/// Who writes holds a lock on this file.
pub const LOCK_FILE: &str = "state.lock";

/// What keeps a store from being used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A newer program has written it.
    #[error(
        "written by a newer program (version {found}, this one reads up to {supported}); start that one, or name another folder"
    )]
    NewerVersion {
        /// The version in the file.
        found: u32,
        /// The highest that this program reads.
        supported: u32,
    },
    /// It does not begin as a store does.
    #[error("{LOG_FILE} is no store; name another folder, or remove the file")]
    NotAStore,
    /// Another process writes it.
    #[error("another process writes it; each balancer needs a folder of its own")]
    Locked,
    /// A record is longer than any may be.
    #[error("a record of {0} bytes, {max} at most", max = frame::MAX_BODY_BYTES)]
    RecordTooLong(usize),
    /// The disk.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}
