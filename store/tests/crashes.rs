//! A store that is stopped at every byte that it writes, damaged at every bit, and met by a disk that fails.

use marllink_store::frame::{self, Record};
use marllink_store::{Disk, Error, FileDisk, LOG_FILE, Store, Writer, read};
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

/// A disk in memory that stops for good after so many bytes; a replacement counts as one.
#[derive(Clone, Debug, Default)]
struct Mortal {
    files: Rc<RefCell<BTreeMap<String, Vec<u8>>>>,
    left: Rc<RefCell<usize>>,
}

impl Mortal {
    fn spend(&self, most: usize) -> usize {
        let mut left = self.left.borrow_mut();
        let spent = most.min(*left);
        *left -= spent;
        spent
    }
}

impl Disk for Mortal {
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.files.borrow().get(name).cloned().unwrap_or_default())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let spent = self.spend(bytes.len());
        self.files.borrow_mut().entry(name.into()).or_default().extend(&bytes[..spent]);
        if spent < bytes.len() { Err(io::Error::other("stopped")) } else { Ok(()) }
    }
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.files.borrow_mut().remove(name);
        self.append(name, bytes)
    }
    fn replace(&mut self, name: &str, by: &str) -> io::Result<()> {
        if self.spend(1) == 0 {
            return Err(io::Error::other("stopped"));
        }
        let mut files = self.files.borrow_mut();
        let file = files.remove(by).ok_or_else(|| io::Error::other("no such file"))?;
        files.insert(name.into(), file);
        Ok(())
    }
}

fn record(name: &str, at: f64, fill: usize) -> Record {
    Record { name: name.into(), at, body: serde_json::json!({"n": at, "fill": "x".repeat(fill)}) }
}

/// A fixed run: lists that grow and change, with other things between, until the log is written anew twice.
fn run() -> Vec<Record> {
    let kept = |n: u32| match n % 3 {
        0 => record("list", f64::from(n), if n < 6 { 40 } else { 4_000 }),
        1 => record("out", f64::from(n), 40),
        _ => record("cold", f64::from(n), 60),
    };
    (1..=75).map(kept).collect()
}

/// Plays the run until the disk stops after so many bytes; how far it came, the bytes written, and the disk after.
fn play(bytes: usize) -> (usize, usize, Mortal) {
    let disk = Mortal { left: Rc::new(RefCell::new(bytes)), ..Mortal::default() };
    let mut kept = 0;
    if let Ok(mut store) = Store::open(disk.clone()) {
        for record in run() {
            if store.put(record).is_err() {
                break;
            }
            kept += 1;
        }
    }
    let left = *disk.left.borrow();
    (kept, bytes - left, disk)
}

#[test]
fn a_run_stopped_at_every_write_loses_nothing_that_was_kept() {
    let (all, whole, disk) = play(usize::MAX / 2);
    assert_eq!(all, run().len());
    assert!(disk.files.borrow()[LOG_FILE].len() < whole, "the log was written anew");
    // Every byte of the beginning, which holds three whole records, and every 499th of what follows.
    let points: Vec<usize> = (0..600).chain((600..whole).step_by(499)).collect();
    assert!(points.len() > 700, "{}", points.len());
    for point in points {
        let (kept, _, disk) = play(point);
        *disk.left.borrow_mut() = usize::MAX;
        let mut store = Store::open(disk).expect("it opens");
        let mut wanted = BTreeMap::new();
        run().into_iter().take(kept).for_each(|r| _ = wanted.insert(r.name.clone(), r));
        for (name, record) in &wanted {
            let found = store.latest().get(name);
            // What was being written may be there as well.
            let next = run().into_iter().nth(kept).filter(|r| &r.name == name);
            assert!(found == Some(record) || (next.is_some() && found == next.as_ref()), "{point}: {name}");
        }
        // It goes on from there.
        store.put(record("list", 1e6, 10)).expect("the disk is back");
        assert_eq!(store.latest()["list"].at, 1e6);
    }
}

#[test]
fn a_flipped_bit_costs_one_record_at_most() {
    let mut bytes = frame::header();
    for (n, name) in ["a", "b", "c", "d"].iter().enumerate() {
        bytes.extend(frame::encode(&record(name, n as f64, 20)).expect("short"));
    }
    for bit in 0..bytes.len() * 8 {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        let found = frame::decode(&damaged).unwrap_or_else(|e| panic!("bit {bit}: {e}"));
        assert!(found.record_count >= 3, "bit {bit}: {}", found.record_count);
        let sound = found.latest.values().all(|r| *r == record(&r.name, r.at, 20));
        assert!(sound, "bit {bit}: something else is read than was written");
    }
}

#[test]
fn a_newer_programs_store_is_refused_and_left_as_it_is() {
    let mut bytes = frame::header();
    bytes[8] = 2;
    let error = frame::decode(&bytes).expect_err("it is newer").to_string();
    assert!(error.contains("version 2") && !error.contains('\n'), "{error}");
    assert!(matches!(frame::decode(b"something else"), Err(Error::NotAStore)));
    assert_eq!(frame::decode(b"").expect("empty").record_count, 0);
}

#[test]
fn what_is_old_never_replaces_what_is_newer() {
    let disk = Mortal { left: Rc::new(RefCell::new(usize::MAX)), ..Mortal::default() };
    let mut store = Store::open(disk.clone()).expect("empty");
    assert!(store.put(record("list", 9.0, 1)).expect("kept"));
    assert!(!store.put(record("list", 8.0, 1)).expect("passed over"));
    assert!(matches!(
        store.put(record("list", 10.0, 2 * frame::MAX_BODY_BYTES)),
        Err(Error::RecordTooLong(_))
    ));
    assert_eq!(Store::open(disk).expect("sound").latest()["list"].at, 9.0);
}

#[test]
fn one_process_writes_and_any_may_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(FileDisk::lock(folder.path()).expect("free")).expect("empty");
    assert!(matches!(FileDisk::lock(folder.path()), Err(Error::Locked)));
    store.put(record("list", 1.0, 5)).expect("kept");
    assert_eq!(read(folder.path()).expect("sound").latest.len(), 1);
    drop(store);
    FileDisk::lock(folder.path()).expect("free again");
    assert_eq!(read(&folder.path().join("none")).expect("nothing").record_count, 0);
}

#[test]
fn a_writer_goes_on_without_a_disk_and_tells_once_until_it_is_back() {
    let place = tempfile::tempdir().expect("a folder");
    // A file lies where the folder is to be.
    let folder = place.path().join("state");
    std::fs::write(&folder, "in the way").expect("written");
    let (tell, told) = mpsc::channel();
    let writer = Writer::open(folder.clone(), move |so| _ = tell.send(so.map_err(ToString::to_string)))
        .expect("a thread");
    let wait = Duration::from_secs(20);
    writer.put(record("list", 1.0, 5));
    assert!(told.recv_timeout(wait).expect("told").is_err());
    writer.put(record("list", 2.0, 5));
    writer.put(record("list", 1.5, 5));
    std::fs::remove_file(&folder).expect("out of the way");
    assert_eq!(told.recv_timeout(wait).expect("told"), Ok(()));
    assert!(told.try_recv().is_err(), "once each");
    assert_eq!(read(&folder).expect("sound").latest["list"].at, 2.0);
}

proptest! {
    #[test]
    fn whatever_lies_there_is_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut log = frame::header();
        log.extend(frame::encode(&record("a", 1.0, 3)).expect("short"));
        log.extend(&bytes);
        prop_assert!(frame::decode(&log).is_ok_and(|found| found.latest.contains_key("a")));
        let _ = frame::decode(&bytes);
    }
}
