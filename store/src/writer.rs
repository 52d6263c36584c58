//! Writing to a store on a background thread.

use crate::frame::Record;
use crate::{Error, FileDisk, Store};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum time between a failed write and the next attempt. A new record triggers an attempt earlier.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Records that wait to be written. Only the latest under each name waits, so that a hanging disk does not consume
/// memory.
#[derive(Debug, Default)]
struct Pending {
    records: BTreeMap<String, Record>,
    shutdown: bool,
}

#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<Pending>,
    changed: Condvar,
}

impl Shared {
    fn pending(&self) -> MutexGuard<'_, Pending> {
        // Recovers from a poisoned lock: no holder of the lock leaves a partial change when it panics.
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes records to a store on a background thread. When it is dropped, the thread makes one attempt to write the
/// pending records and then ends; dropping never waits for it.
#[derive(Debug)]
pub struct Writer {
    shared: Arc<Shared>,
}

impl Writer {
    /// Starts the thread, which opens the store in `folder`. `on_status_change` is called with the first error of a
    /// series, and with `Ok` when writing succeeds again. Errors are a disk that is full, read-only or missing, or a
    /// directory that another process writes; the balancer continues without the store meanwhile.
    ///
    /// # Errors
    /// Fails if the thread can't be started.
    pub fn open(
        folder: PathBuf,
        on_status_change: impl FnMut(Result<(), &Error>) + Send + 'static,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let thread_shared = shared.clone();
        std::thread::Builder::new()
            .name("store".into())
            .spawn(move || run(&thread_shared, &folder, on_status_change))?;
        Ok(Self { shared })
    }

    /// Queues a record for writing and returns at once. A later record replaces a pending one with the same name.
    pub fn put(&self, record: Record) {
        let mut pending = self.shared.pending();
        if pending.records.get(&record.name).is_none_or(|queued| queued.at <= record.at) {
            pending.records.insert(record.name.clone(), record);
        }
        self.shared.changed.notify_one();
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.shared.pending().shutdown = true;
        self.shared.changed.notify_one();
    }
}

fn run(shared: &Shared, folder: &std::path::Path, mut on_status_change: impl FnMut(Result<(), &Error>)) {
    let (mut store, mut failing) = (None::<Store<FileDisk>>, false);
    loop {
        let (batch, shutdown) = {
            let mut pending = shared.pending();
            while pending.records.is_empty() && !pending.shutdown {
                pending = shared.changed.wait(pending).unwrap_or_else(PoisonError::into_inner);
            }
            (std::mem::take(&mut pending.records), pending.shutdown)
        };
        let result = write_batch(&mut store, folder, &batch);
        if result.is_err() != failing {
            failing = result.is_err();
            on_status_change(result.as_ref().map(|_| ()));
        }
        if shutdown {
            return;
        }
        if failing {
            // Queues the failed records again, except those that have been superseded meanwhile.
            let mut pending = shared.pending();
            for (name, record) in batch {
                pending.records.entry(name).or_insert(record);
            }
            if !pending.shutdown {
                drop(shared.changed.wait_timeout(pending, RETRY_INTERVAL));
            }
        }
    }
}

fn write_batch(
    store: &mut Option<Store<FileDisk>>,
    folder: &std::path::Path,
    batch: &BTreeMap<String, Record>,
) -> Result<(), Error> {
    if store.is_none() {
        *store = Some(Store::open(FileDisk::lock(folder)?)?);
    }
    let Some(open_store) = store else { return Ok(()) };
    for record in batch.values() {
        if let Err(error) = open_store.put(record.clone()) {
            // Closes the store, so that the next attempt recreates a directory that has been removed.
            *store = None;
            return Err(error);
        }
    }
    Ok(())
}
