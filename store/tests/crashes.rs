//! Store behaviour with interrupted writes, damaged logs and failing disks.

use marllink_store::frame::{self, Record};
use marllink_store::{Disk, Error, FileDisk, LOG_FILE, Store, Writer, read};
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

/// A disk in memory that fails permanently once a byte budget is spent. A replacement costs one byte.
#[derive(Clone, Debug, Default)]
struct CrashingDisk {
    files: Rc<RefCell<BTreeMap<String, Vec<u8>>>>,
    budget_bytes: Rc<RefCell<usize>>,
}

impl CrashingDisk {
    fn spend(&self, max_bytes: usize) -> usize {
        let mut budget_bytes = self.budget_bytes.borrow_mut();
        let spent_bytes = max_bytes.min(*budget_bytes);
        *budget_bytes -= spent_bytes;
        spent_bytes
    }
}

impl Disk for CrashingDisk {
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.files.borrow().get(name).cloned().unwrap_or_default())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let spent_bytes = self.spend(bytes.len());
        self.files.borrow_mut().entry(name.into()).or_default().extend(&bytes[..spent_bytes]);
        if spent_bytes < bytes.len() { Err(io::Error::other("crashed")) } else { Ok(()) }
    }
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.files.borrow_mut().remove(name);
        self.append(name, bytes)
    }
    fn replace(&mut self, name: &str, replacement: &str) -> io::Result<()> {
        if self.spend(1) == 0 {
            return Err(io::Error::other("crashed"));
        }
        let mut files = self.files.borrow_mut();
        let file = files.remove(replacement).ok_or_else(|| io::Error::other("no such file"))?;
        files.insert(name.into(), file);
        Ok(())
    }
}

fn record(name: &str, at: f64, fill_bytes: usize) -> Record {
    Record { name: name.into(), at, body: serde_json::json!({"n": at, "fill": "x".repeat(fill_bytes)}) }
}

/// A fixed workload: a list that is updated and grows, between records with other names, until the log has been
/// compacted twice.
fn workload() -> Vec<Record> {
    let nth_record = |n: u32| match n % 3 {
        0 => record("list", f64::from(n), if n < 6 { 40 } else { 4_000 }),
        1 => record("out", f64::from(n), 40),
        _ => record("cold", f64::from(n), 60),
    };
    (1..=75).map(nth_record).collect()
}

/// Runs the workload until the disk has spent its budget. Returns the number of stored records, the number of bytes
/// written, and the disk.
fn run_until_crash(budget_bytes: usize) -> (usize, usize, CrashingDisk) {
    let disk = CrashingDisk { budget_bytes: Rc::new(RefCell::new(budget_bytes)), ..CrashingDisk::default() };
    let mut stored = 0;
    if let Ok(mut store) = Store::open(disk.clone()) {
        for record in workload() {
            if store.put(record).is_err() {
                break;
            }
            stored += 1;
        }
    }
    let unspent_bytes = *disk.budget_bytes.borrow();
    (stored, budget_bytes - unspent_bytes, disk)
}

#[test]
fn a_crash_at_any_write_loses_no_stored_record() {
    let (stored, written_bytes, disk) = run_until_crash(usize::MAX / 2);
    assert_eq!(stored, workload().len());
    assert!(disk.files.borrow()[LOG_FILE].len() < written_bytes, "the log was compacted");
    // Every byte at the beginning, which contains three complete records, and every 499th byte after that.
    let crash_points: Vec<usize> = (0..600).chain((600..written_bytes).step_by(499)).collect();
    assert!(crash_points.len() > 700, "{}", crash_points.len());
    for crash_point in crash_points {
        let (stored, _, disk) = run_until_crash(crash_point);
        *disk.budget_bytes.borrow_mut() = usize::MAX;
        let mut store = Store::open(disk).expect("the store opens");
        let mut expected = BTreeMap::new();
        workload().into_iter().take(stored).for_each(|r| _ = expected.insert(r.name.clone(), r));
        for (name, record) in &expected {
            let found = store.latest().get(name);
            // The record that was being written may be present as well.
            let interrupted = workload().into_iter().nth(stored).filter(|r| &r.name == name);
            assert!(
                found == Some(record) || (interrupted.is_some() && found == interrupted.as_ref()),
                "{crash_point}: {name}"
            );
        }
        // The store accepts new records.
        store.put(record("list", 1e6, 10)).expect("the disk works again");
        assert_eq!(store.latest()["list"].at, 1e6);
    }
}

#[test]
fn a_flipped_bit_loses_at_most_one_record() {
    let mut bytes = frame::header();
    for (n, name) in ["a", "b", "c", "d"].iter().enumerate() {
        bytes.extend(frame::encode(&record(name, n as f64, 20)).expect("the record is short enough"));
    }
    for bit in 0..bytes.len() * 8 {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        let contents = frame::decode(&damaged).unwrap_or_else(|e| panic!("bit {bit}: {e}"));
        assert!(contents.record_count >= 3, "bit {bit}: {}", contents.record_count);
        let unchanged = contents.latest.values().all(|r| *r == record(&r.name, r.at, 20));
        assert!(unchanged, "bit {bit}: a record differs from the one written");
    }
}

#[test]
fn a_store_of_a_newer_program_is_refused() {
    let mut bytes = frame::header();
    bytes[8] = 2;
    let error = frame::decode(&bytes).expect_err("the version is newer").to_string();
    assert!(error.contains("version 2") && !error.contains('\n'), "{error}");
    assert!(matches!(frame::decode(b"something else"), Err(Error::NotAStore)));
    assert_eq!(frame::decode(b"").expect("an empty log is valid").record_count, 0);
}

#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let disk = CrashingDisk { budget_bytes: Rc::new(RefCell::new(usize::MAX)), ..CrashingDisk::default() };
    let mut store = Store::open(disk.clone()).expect("an empty store opens");
    assert!(store.put(record("list", 9.0, 1)).expect("the record is stored"));
    assert!(!store.put(record("list", 8.0, 1)).expect("the record is ignored"));
    assert!(matches!(
        store.put(record("list", 10.0, 2 * frame::MAX_BODY_BYTES)),
        Err(Error::RecordTooLong(_))
    ));
    assert_eq!(Store::open(disk).expect("the log is intact").latest()["list"].at, 9.0);
}

#[test]
fn only_one_process_writes_while_others_read() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let mut store =
        Store::open(FileDisk::lock(folder.path()).expect("the lock is free")).expect("the store opens");
    assert!(matches!(FileDisk::lock(folder.path()), Err(Error::Locked)));
    store.put(record("list", 1.0, 5)).expect("the record is stored");
    assert_eq!(read(folder.path()).expect("the log is intact").latest.len(), 1);
    drop(store);
    FileDisk::lock(folder.path()).expect("the lock is free again");
    assert_eq!(read(&folder.path().join("none")).expect("a missing directory is empty").record_count, 0);
}

#[test]
fn the_writer_survives_a_failing_disk_and_reports_each_change_once() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    // A file occupies the path of the store's directory.
    let folder = parent.path().join("state");
    std::fs::write(&folder, "in the way").expect("the file is written");
    let (sender, reports) = mpsc::channel();
    let writer =
        Writer::open(folder.clone(), move |status| _ = sender.send(status.map_err(ToString::to_string)))
            .expect("the thread starts");
    let timeout = Duration::from_secs(20);
    writer.put(record("list", 1.0, 5));
    assert!(reports.recv_timeout(timeout).expect("a status is reported").is_err());
    writer.put(record("list", 2.0, 5));
    writer.put(record("list", 1.5, 5));
    std::fs::remove_file(&folder).expect("the file is removed");
    assert_eq!(reports.recv_timeout(timeout).expect("a status is reported"), Ok(()));
    assert!(reports.try_recv().is_err(), "each status is reported once");
    assert_eq!(read(&folder).expect("the log is intact").latest["list"].at, 2.0);
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut log = frame::header();
        log.extend(frame::encode(&record("a", 1.0, 3)).expect("the record is short enough"));
        log.extend(&bytes);
        prop_assert!(frame::decode(&log).is_ok_and(|contents| contents.latest.contains_key("a")));
        let _ = frame::decode(&bytes);
    }
}
