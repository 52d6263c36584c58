//! A store: one directory with one log.

use crate::frame::{self, LogContents, Record};
use crate::{DRAFT_FILE, Error, LOCK_FILE, LOG_FILE};
use rustix::fs::{FlockOperation, flock};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The log is compacted once it is larger than this multiple of the records in force.
const COMPACTION_RATIO: usize = 4;
/// Minimum log size for compaction: rewriting a small log saves too little.
const MIN_COMPACTION_BYTES: usize = 64 * 1024;

/// File operations that a store needs. Each operation is durable once it returns, and may fail after any byte.
pub trait Disk {
    /// Returns the contents of a file, or no bytes if it does not exist.
    ///
    /// # Errors
    /// Returns the I/O error of the disk.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is created if it does not exist.
    ///
    /// # Errors
    /// Returns the I/O error of the disk; some of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Creates a file, or truncates an existing one, and writes the bytes.
    ///
    /// # Errors
    /// Returns the I/O error of the disk; some of the bytes may have been written.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Atomically replaces the file `name` with the file `replacement`.
    ///
    /// # Errors
    /// Returns the I/O error of the disk; in this case nothing has changed.
    fn replace(&mut self, name: &str, replacement: &str) -> io::Result<()>;
}

/// A directory in the file system that is locked for this process.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    /// Holds the lock until the value is dropped, so that only one process writes.
    _lock: File,
}

impl FileDisk {
    /// Locks a directory for this process, and creates it if it does not exist.
    ///
    /// # Errors
    /// Fails if another process holds the lock, or with the I/O error of the disk.
    pub fn lock(folder: &Path) -> Result<Self, Error> {
        std::fs::create_dir_all(folder)?;
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK_FILE))?;
        match flock(&lock, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Self { folder: folder.into(), _lock: lock }),
            Err(rustix::io::Errno::WOULDBLOCK) => Err(Error::Locked),
            Err(errno) => Err(io::Error::from(errno).into()),
        }
    }
}

fn read_or_empty(path: &Path) -> io::Result<Vec<u8>> {
    match std::fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        read => read,
    }
}

impl Disk for FileDisk {
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        read_or_empty(&self.folder.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = OpenOptions::new().create(true).append(true).open(self.folder.join(name))?;
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = File::create(self.folder.join(name))?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn replace(&mut self, name: &str, replacement: &str) -> io::Result<()> {
        std::fs::rename(self.folder.join(replacement), self.folder.join(name))?;
        // The rename is durable only after the directory has been synced.
        File::open(&self.folder)?.sync_all()
    }
}

/// Reads the contents of a store without locking or modifying it. A directory that does not exist contains no records.
///
/// # Errors
/// Fails if the log can't be read, was written by a newer program, or is not a store.
pub fn read(folder: &Path) -> Result<LogContents, Error> {
    frame::decode(&read_or_empty(&folder.join(LOG_FILE))?)
}

/// A store that is open for writing. Each store has one writer at a time.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    latest: BTreeMap<String, Record>,
    /// Length of the log, including superseded records.
    log_bytes: usize,
    /// True after a failed write, whose remains at the end of the log are unknown: the next write compacts the log.
    torn: bool,
}

impl<D: Disk> Store<D> {
    /// Opens a store and loads all intact records.
    ///
    /// # Errors
    /// Fails if the log can't be read, was written by a newer program, or is not a store.
    pub fn open(mut disk: D) -> Result<Self, Error> {
        let contents = frame::decode(&disk.read(LOG_FILE)?)?;
        let torn = contents.damaged_bytes > 0;
        Ok(Self { disk, latest: contents.latest, log_bytes: contents.total_bytes, torn })
    }

    /// Returns the records in force, by name.
    #[must_use]
    pub fn latest(&self) -> &BTreeMap<String, Record> {
        &self.latest
    }

    /// Writes a record, unless the store has a later one with the same name. Returns true once the record is durable,
    /// and false if it was ignored as outdated.
    ///
    /// # Errors
    /// Fails with the I/O error of the disk, or if the record is too long. The previous record then stays in force.
    pub fn put(&mut self, record: Record) -> Result<bool, Error> {
        if self.latest.get(&record.name).is_some_and(|current| current.at > record.at) {
            return Ok(false);
        }
        let bytes = frame::encode(&record)?;
        let previous = self.latest.insert(record.name.clone(), record.clone());
        let written =
            if self.torn || self.needs_compaction(bytes.len()) { self.compact() } else { self.append(bytes) };
        if let Err(error) = written {
            match previous {
                Some(previous) => self.latest.insert(record.name, previous),
                None => self.latest.remove(&record.name),
            };
            return Err(error);
        }
        Ok(true)
    }

    /// Returns true if the log, with `added_bytes` more, is due for compaction.
    fn needs_compaction(&self, added_bytes: usize) -> bool {
        if self.log_bytes + added_bytes <= MIN_COMPACTION_BYTES {
            return false;
        }
        let live_bytes = self.latest.values().filter_map(|r| frame::encode(r).ok()).map(|b| b.len());
        self.log_bytes + added_bytes > COMPACTION_RATIO * live_bytes.sum::<usize>()
    }

    fn append(&mut self, mut bytes: Vec<u8>) -> Result<(), Error> {
        if self.log_bytes == 0 {
            bytes = [frame::header(), bytes].concat();
        }
        self.torn = true;
        self.disk.append(LOG_FILE, &bytes)?;
        self.torn = false;
        self.log_bytes += bytes.len();
        Ok(())
    }

    /// Rewrites the log with only the records in force.
    ///
    /// # Errors
    /// Fails with the I/O error of the disk; the log is then unchanged.
    pub fn compact(&mut self) -> Result<(), Error> {
        let mut bytes = frame::header();
        for record in self.latest.values() {
            bytes.extend(frame::encode(record)?);
        }
        self.disk.write(DRAFT_FILE, &bytes)?;
        self.disk.replace(LOG_FILE, DRAFT_FILE)?;
        (self.log_bytes, self.torn) = (bytes.len(), false);
        Ok(())
    }
}
