//! Writing on a thread of its own.

use crate::frame::Record;
use crate::{Error, FileDisk, Store};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// After a fault the disk is tried again with the next record, or after this.
const AGAIN: Duration = Duration::from_millis(500);

/// What waits to be written: the latest under each name, so that a disk that hangs costs no memory.
#[derive(Debug, Default)]
struct Waiting {
    records: BTreeMap<String, Record>,
    ends: bool,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Shared {
    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        // Whoever panicked with it held no half-made change.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps records in a folder, on a thread of its own. Dropped, it writes what still waits if the disk answers at
/// once, and never waits for a disk that does not.
#[derive(Debug)]
pub struct Writer {
    shared: Arc<Shared>,
}

impl Writer {
    /// Begins. The folder is opened on that thread. `told` hears of the first fault, and of its end: a disk that is
    /// full, read-only or gone, or a folder that another process writes. Until then all goes on without.
    ///
    /// # Errors
    /// Fails if there can be no thread.
    pub fn open(
        folder: PathBuf,
        told: impl FnMut(Result<(), &Error>) + Send + 'static,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let own = shared.clone();
        std::thread::Builder::new().name("store".into()).spawn(move || write(&own, &folder, told))?;
        Ok(Self { shared })
    }

    /// Has this kept. Returns at once; a later record of the same name takes the place of one that still waits.
    pub fn put(&self, record: Record) {
        let mut waiting = self.shared.waiting();
        if waiting.records.get(&record.name).is_none_or(|held| held.at <= record.at) {
            waiting.records.insert(record.name.clone(), record);
        }
        self.shared.changed.notify_one();
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.shared.waiting().ends = true;
        self.shared.changed.notify_one();
    }
}

fn write(shared: &Shared, folder: &std::path::Path, mut told: impl FnMut(Result<(), &Error>)) {
    let (mut open, mut faulty) = (None::<Store<FileDisk>>, false);
    loop {
        let (batch, ends) = {
            let mut waiting = shared.waiting();
            while waiting.records.is_empty() && !waiting.ends {
                waiting = shared.changed.wait(waiting).unwrap_or_else(PoisonError::into_inner);
            }
            (std::mem::take(&mut waiting.records), waiting.ends)
        };
        let done = write_all(&mut open, folder, &batch);
        if done.is_err() != faulty {
            faulty = done.is_err();
            told(done.as_ref().map(|_| ()));
        }
        if ends {
            return;
        }
        if faulty {
            // What could not be written waits again, unless something later has come.
            let mut waiting = shared.waiting();
            for (name, record) in batch {
                waiting.records.entry(name).or_insert(record);
            }
            if !waiting.ends {
                drop(shared.changed.wait_timeout(waiting, AGAIN));
            }
        }
    }
}

fn write_all(
    open: &mut Option<Store<FileDisk>>,
    folder: &std::path::Path,
    batch: &BTreeMap<String, Record>,
) -> Result<(), Error> {
    if open.is_none() {
        *open = Some(Store::open(FileDisk::lock(folder)?)?);
    }
    let Some(store) = open else { return Ok(()) };
    for record in batch.values() {
        if let Err(error) = store.put(record.clone()) {
            // A folder that has vanished is made anew by the next try.
            *open = None;
            return Err(error);
        }
    }
    Ok(())
}
