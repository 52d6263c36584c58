//! Which form hosts the operators have taken out, kept beside the meeting place of upgrades.
//!
//! What has been told at the door binds this balancer whichever of its processes hears it, and must not hang
//! on a hand-over: a snapshot may be of another version, be damaged, or never come, and then two processes
//! serve side by side. So it lies in a small file in `$TMPDIR`, which all of them share, written whole before
//! the door answers; each process looks whether another has written it.
//!
//! Where nothing can be written the door still binds the process that hears it, and those that it has a
//! link to; that is told in the log once.

use crate::core::Core;
use crate::io::clock::{Clock, Millis};
use crate::protocol::line;
use marllink::{Event, ServerId};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// How often a process looks whether another has written: well within the shortest time in which a send
/// to a form host that was taken out must have stopped.
const LOOK_MS: Millis = 100.0;
/// The version of the file. One of another version is left as it is and not read.
const VERSION: u32 = 1;
/// No list of form hosts comes near this; a larger file is not read.
const LARGEST: u64 = 4 * 1024 * 1024;

/// What lies in the file.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Written {
    version: u32,
    /// By their names at discovery.
    out: BTreeSet<String>,
}

/// Where it lies for the balancer that listens here.
pub fn path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("marllink-{listen}.out.json"))
}

/// The form hosts that are out, for this process. Say [`Maintenance::look`] once the first list is known,
/// [`Maintenance::take`] at each call, and let [`Maintenance::follow`] run.
pub struct Maintenance {
    core: Rc<Core>,
    clock: Clock,
    path: PathBuf,
    out: RefCell<BTreeSet<String>>,
    /// Which file was read last: its place and when it was written.
    seen: Cell<Option<(u64, i64, i64)>>,
    /// That it can't be written or read has been told.
    told: Cell<bool>,
}

impl Maintenance {
    /// For the balancer whose file lies there; nothing is read yet.
    pub fn new(core: Rc<Core>, clock: Clock, path: PathBuf) -> Rc<Self> {
        let (out, seen, told) = (RefCell::default(), Cell::new(None), Cell::new(false));
        Rc::new(Self { core, clock, path, out, seen, told })
    }

    /// The operators take a form host out, or put it back. What another process has written since counts.
    pub fn take(&self, uid: &str, begins: bool) {
        self.look();
        let changed = {
            let mut out = self.out.borrow_mut();
            if begins { out.insert(uid.to_owned()) } else { out.remove(uid) }
        };
        if changed && let Err(error) = self.write() {
            self.fault("a successor may not know of it", &error);
        }
        self.feed(uid, begins);
    }

    /// Looks whether another process has written, for ever.
    pub async fn follow(&self) {
        loop {
            self.clock.sleep(LOOK_MS).await;
            self.look();
        }
    }

    /// Takes what has been written since the last time.
    pub fn look(&self) {
        let Ok(file) = std::fs::metadata(&self.path) else { return };
        let seen = Some((file.ino(), file.mtime(), file.mtime_nsec()));
        if self.seen.replace(seen) == seen {
            return;
        }
        match read(&self.path, file.len()) {
            Ok(now) => {
                let before = self.out.replace(now.clone());
                now.difference(&before).for_each(|uid| self.feed(uid, true));
                before.difference(&now).for_each(|uid| self.feed(uid, false));
            }
            Err(error) => self.fault("it is left as it is", &error),
        }
    }

    fn feed(&self, uid: &str, begins: bool) {
        self.core.feed(Event::Maintenance { server: ServerId(line::number_of(uid)), begins });
    }

    /// Writes it whole: who reads meanwhile finds the old or the new.
    fn write(&self) -> io::Result<()> {
        let written = Written { version: VERSION, out: self.out.borrow().clone() };
        let text = serde_json::to_vec(&written).map_err(io::Error::other)?;
        let draft = self.path.with_extension(format!("{}.tmp", std::process::id()));
        std::fs::write(&draft, text)?;
        std::fs::rename(&draft, &self.path)?;
        let file = std::fs::metadata(&self.path)?;
        self.seen.set(Some((file.ino(), file.mtime(), file.mtime_nsec())));
        Ok(())
    }

    fn fault(&self, so: &str, error: &io::Error) {
        if !self.told.replace(true) {
            tracing::warn!("what operators have taken out, {}: {error}; {so}", self.path.display());
        }
    }
}

fn read(path: &Path, length: u64) -> io::Result<BTreeSet<String>> {
    if length > LARGEST {
        return Err(io::Error::other("larger than any list"));
    }
    let written: Written = serde_json::from_slice(&std::fs::read(path)?).map_err(io::Error::other)?;
    match written.version {
        VERSION => Ok(written.out),
        other => Err(io::Error::other(format!("of version {other}, not {VERSION}"))),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use marllink::Settings;

    /// Two processes of one balancer, and their file.
    fn two() -> (tempfile::TempDir, Rc<Maintenance>, Rc<Maintenance>) {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let clock = Clock::settable();
        let process = || {
            let core = Core::new(clock.clone(), Settings::default(), 1);
            Maintenance::new(core, clock.clone(), folder.path().join("out.json"))
        };
        let (one, other) = (process(), process());
        (folder, one, other)
    }

    fn out(of: &Maintenance) -> Vec<ServerId> {
        let mut out = of.core.knowledge().in_maintenance;
        out.sort_unstable();
        out
    }

    fn id(uid: &str) -> ServerId {
        ServerId(line::number_of(uid))
    }

    #[test]
    fn what_one_process_is_told_the_other_finds() {
        let (_folder, one, other) = two();
        other.look();
        one.take("s-1", true);
        one.take("s-2", true);
        assert_eq!(out(&other), []);
        other.look();
        assert_eq!(out(&other), out(&one));
        // It is told the next thing without having looked again.
        one.take("s-3", true);
        other.take("s-1", false);
        one.look();
        let mut both = [id("s-2"), id("s-3")];
        both.sort_unstable();
        assert_eq!((out(&one), out(&other)), (both.to_vec(), both.to_vec()));
    }

    #[test]
    fn a_damaged_file_and_a_vanished_folder_cost_no_more_than_that() {
        let (folder, one, other) = two();
        one.take("s-1", true);
        for text in ["", "{\"version\":1,\"out\":[\"s-", "{\"version\":2,\"out\":[]}"] {
            std::fs::write(&one.path, text).expect("it can be written");
            other.look();
            assert_eq!(out(&other), [], "{text}");
            one.look();
            assert_eq!(out(&one), [id("s-1")], "{text}");
        }
        drop(folder);
        one.take("s-2", true);
        assert_eq!(out(&one).len(), 2);
    }
}
