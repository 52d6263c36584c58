//! One folder with one log.

use crate::frame::{self, LogContents, Record};
use crate::{DRAFT_FILE, Error, LOCK_FILE, LOG_FILE};
use rustix::fs::{FlockOperation, flock};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The log is written anew once it holds so many times what is in force ...
const GROWN: usize = 4;
/// ... and so many bytes: a small one is not worth it.
const SMALL: usize = 64 * 1024;

/// Where a log lies. Each call is durable once it returns, and may fail at any byte.
pub trait Disk {
    /// All of a file; empty if it is not there.
    ///
    /// # Errors
    /// As the disk has it.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Adds to the end of a file, which is made if it is not there.
    ///
    /// # Errors
    /// As the disk has it; a part may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Writes a file anew.
    ///
    /// # Errors
    /// As the disk has it; a part may have been written.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Puts a file in the place of another, in one step.
    ///
    /// # Errors
    /// As the disk has it; then nothing has changed.
    fn replace(&mut self, name: &str, by: &str) -> io::Result<()>;
}

/// Files in a folder.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    /// Held for as long as this lives: one process writes.
    _lock: File,
}

impl FileDisk {
    /// Takes a folder for this process, and makes it if it is not there.
    ///
    /// # Errors
    /// Fails if another process has it, or as the disk has it.
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

fn bytes_of(path: &Path) -> io::Result<Vec<u8>> {
    match std::fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        read => read,
    }
}

impl Disk for FileDisk {
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        bytes_of(&self.folder.join(name))
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

    fn replace(&mut self, name: &str, by: &str) -> io::Result<()> {
        std::fs::rename(self.folder.join(by), self.folder.join(name))?;
        // The step itself is durable once the folder is.
        File::open(&self.folder)?.sync_all()
    }
}

/// Reads what a folder holds, without a lock and without a change; a folder that is not there holds nothing.
///
/// # Errors
/// Fails if it can't be read, a newer program has written it, or it is no store.
pub fn read(folder: &Path) -> Result<LogContents, Error> {
    frame::decode(&bytes_of(&folder.join(LOG_FILE))?)
}

/// A store that is open for writing: one owner at a time.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    latest: BTreeMap<String, Record>,
    /// Bytes of the log, and of the records in force in it.
    size: usize,
    /// A write has failed, and what it left at the end is not known: the next one writes the log anew.
    torn: bool,
}

impl<D: Disk> Store<D> {
    /// Opens it with all that is sound in it.
    ///
    /// # Errors
    /// Fails if it can't be read, a newer program has written it, or it is no store.
    pub fn open(mut disk: D) -> Result<Self, Error> {
        let found = frame::decode(&disk.read(LOG_FILE)?)?;
        let torn = found.damaged_bytes > 0;
        Ok(Self { disk, latest: found.latest, size: found.total_bytes, torn })
    }

    /// What is in force.
    #[must_use]
    pub fn latest(&self) -> &BTreeMap<String, Record> {
        &self.latest
    }

    /// Keeps a record, unless a later one of its name is held: what is old never replaces what is newer. True once
    /// it is durable.
    ///
    /// # Errors
    /// Fails as the disk has it, or if it is too long; what was in force before still is.
    pub fn put(&mut self, record: Record) -> Result<bool, Error> {
        if self.latest.get(&record.name).is_some_and(|held| held.at > record.at) {
            return Ok(false);
        }
        let bytes = frame::encode(&record)?;
        let before = self.latest.insert(record.name.clone(), record.clone());
        let written = if self.torn || self.grown(bytes.len()) { self.compact() } else { self.append(bytes) };
        if let Err(error) = written {
            match before {
                Some(before) => self.latest.insert(record.name, before),
                None => self.latest.remove(&record.name),
            };
            return Err(error);
        }
        Ok(true)
    }

    /// With so many bytes more, the log holds far more than what is in force.
    fn grown(&self, more: usize) -> bool {
        if self.size + more <= SMALL {
            return false;
        }
        let bytes = self.latest.values().filter_map(|r| frame::encode(r).ok()).map(|b| b.len());
        self.size + more > GROWN * bytes.sum::<usize>()
    }

    fn append(&mut self, mut bytes: Vec<u8>) -> Result<(), Error> {
        if self.size == 0 {
            bytes = [frame::header(), bytes].concat();
        }
        self.torn = true;
        self.disk.append(LOG_FILE, &bytes)?;
        self.torn = false;
        self.size += bytes.len();
        Ok(())
    }

    /// Writes the log anew with nothing but what is in force.
    ///
    /// # Errors
    /// Fails as the disk has it; the log is then as it was.
    pub fn compact(&mut self) -> Result<(), Error> {
        let mut bytes = frame::header();
        for record in self.latest.values() {
            bytes.extend(frame::encode(record)?);
        }
        self.disk.write(DRAFT_FILE, &bytes)?;
        self.disk.replace(LOG_FILE, DRAFT_FILE)?;
        (self.size, self.torn) = (bytes.len(), false);
        Ok(())
    }
}
