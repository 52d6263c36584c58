//! The servers that operators have put into maintenance, stored in a file next to the handover socket.
//!
//! A command given on the admin interface applies to this balancer regardless of which of its processes
//! receives it. It must not depend on a handover: a snapshot may have another version, be damaged, or never
//! arrive, and then two processes serve side by side. Therefore the set is stored in a small file in
//! `$TMPDIR`, which all processes share. The file is replaced atomically before the admin interface responds,
//! and each process polls it for changes by others.
//!
//! If the file can't be written, a command still applies to the process that receives it and to those linked
//! to it; the failure is logged once.

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

/// Interval at which a process checks the file for changes by others: well within the shortest time in which
/// requests to a server in maintenance must have stopped.
const POLL_INTERVAL_MS: Millis = 100.0;
/// The version of the file format. A file of another version is not read.
const VERSION: u32 = 1;
/// Maximum size of the file, well above that of any list of servers. A larger file is not read.
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// The contents of the file.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct MaintenanceFile {
    version: u32,
    /// Server names as listed by discovery.
    #[serde(rename = "out")]
    in_maintenance: BTreeSet<String>,
}

/// Returns the path of the file for the balancer with this listen address.
pub fn path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("marllink-{listen}.out.json"))
}

/// The servers in maintenance, as known by this process. Call [`Maintenance::refresh`] once the first list is
/// known, [`Maintenance::set`] at each command, and run [`Maintenance::watch`].
pub struct Maintenance {
    core: Rc<Core>,
    clock: Clock,
    path: PathBuf,
    in_maintenance: RefCell<BTreeSet<String>>,
    /// Identifies the file read last: its inode and modification time.
    last_read: Cell<Option<(u64, i64, i64)>>,
    /// A failure to read or write the file was logged.
    fault_reported: Cell<bool>,
}

impl Maintenance {
    /// Uses the file at this path; nothing is read yet.
    pub fn new(core: Rc<Core>, clock: Clock, path: PathBuf) -> Rc<Self> {
        let (in_maintenance, last_read, fault_reported) =
            (RefCell::default(), Cell::new(None), Cell::new(false));
        Rc::new(Self { core, clock, path, in_maintenance, last_read, fault_reported })
    }

    /// Puts a server into maintenance or back into service. Changes that other processes have written since
    /// are applied first.
    pub fn set(&self, uid: &str, begins: bool) {
        self.refresh();
        let changed = {
            let mut in_maintenance = self.in_maintenance.borrow_mut();
            if begins { in_maintenance.insert(uid.to_owned()) } else { in_maintenance.remove(uid) }
        };
        if changed && let Err(error) = self.write() {
            self.report_fault("a successor may not know of the change", &error);
        }
        self.feed(uid, begins);
    }

    /// Checks for changes by other processes, forever.
    pub async fn watch(&self) {
        loop {
            self.clock.sleep(POLL_INTERVAL_MS).await;
            self.refresh();
        }
    }

    /// Applies the changes written since the last check.
    pub fn refresh(&self) {
        let Ok(metadata) = std::fs::metadata(&self.path) else { return };
        let version = Some((metadata.ino(), metadata.mtime(), metadata.mtime_nsec()));
        if self.last_read.replace(version) == version {
            return;
        }
        match read(&self.path, metadata.len()) {
            Ok(current) => {
                let previous = self.in_maintenance.replace(current.clone());
                current.difference(&previous).for_each(|uid| self.feed(uid, true));
                previous.difference(&current).for_each(|uid| self.feed(uid, false));
            }
            Err(error) => self.report_fault("keeping the known state", &error),
        }
    }

    fn feed(&self, uid: &str, begins: bool) {
        self.core.feed(Event::Maintenance { server: ServerId(line::hash_server_name(uid)), begins });
    }

    /// Replaces the file atomically, so that readers find either the old or the new contents.
    fn write(&self) -> io::Result<()> {
        let file = MaintenanceFile { version: VERSION, in_maintenance: self.in_maintenance.borrow().clone() };
        let text = serde_json::to_vec(&file).map_err(io::Error::other)?;
        let temporary_path = self.path.with_extension(format!("{}.tmp", std::process::id()));
        std::fs::write(&temporary_path, text)?;
        std::fs::rename(&temporary_path, &self.path)?;
        let metadata = std::fs::metadata(&self.path)?;
        self.last_read.set(Some((metadata.ino(), metadata.mtime(), metadata.mtime_nsec())));
        Ok(())
    }

    fn report_fault(&self, consequence: &str, error: &io::Error) {
        if !self.fault_reported.replace(true) {
            tracing::warn!("maintenance file {}: {error}; {consequence}", self.path.display());
        }
    }
}

fn read(path: &Path, length: u64) -> io::Result<BTreeSet<String>> {
    if length > MAX_FILE_BYTES {
        return Err(io::Error::other("the file exceeds the size limit"));
    }
    let file: MaintenanceFile = serde_json::from_slice(&std::fs::read(path)?).map_err(io::Error::other)?;
    match file.version {
        VERSION => Ok(file.in_maintenance),
        version => Err(io::Error::other(format!("version {version} instead of {VERSION}"))),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use marllink::Settings;

    /// Two processes of one balancer that share a file.
    fn two_processes() -> (tempfile::TempDir, Rc<Maintenance>, Rc<Maintenance>) {
        let folder = tempfile::tempdir().expect("the folder can be created");
        let clock = Clock::manual();
        let process = || {
            let core = Core::new(clock.clone(), Settings::default(), 1);
            Maintenance::new(core, clock.clone(), folder.path().join("out.json"))
        };
        let (first, second) = (process(), process());
        (folder, first, second)
    }

    fn in_maintenance(process: &Maintenance) -> Vec<ServerId> {
        let mut servers = process.core.learned_state().in_maintenance;
        servers.sort_unstable();
        servers
    }

    fn id(uid: &str) -> ServerId {
        ServerId(line::hash_server_name(uid))
    }

    #[test]
    fn a_command_to_one_process_reaches_the_other() {
        let (_folder, first, second) = two_processes();
        second.refresh();
        first.set("s-1", true);
        first.set("s-2", true);
        assert_eq!(in_maintenance(&second), []);
        second.refresh();
        assert_eq!(in_maintenance(&second), in_maintenance(&first));
        // The next command arrives without a refresh in between.
        first.set("s-3", true);
        second.set("s-1", false);
        first.refresh();
        let mut both = [id("s-2"), id("s-3")];
        both.sort_unstable();
        assert_eq!((in_maintenance(&first), in_maintenance(&second)), (both.to_vec(), both.to_vec()));
    }

    #[test]
    fn a_damaged_file_or_missing_folder_does_not_change_the_known_state() {
        let (folder, first, second) = two_processes();
        first.set("s-1", true);
        for text in ["", "{\"version\":1,\"out\":[\"s-", "{\"version\":2,\"out\":[]}"] {
            std::fs::write(&first.path, text).expect("the file can be written");
            second.refresh();
            assert_eq!(in_maintenance(&second), [], "{text}");
            first.refresh();
            assert_eq!(in_maintenance(&first), [id("s-1")], "{text}");
        }
        drop(folder);
        first.set("s-2", true);
        assert_eq!(in_maintenance(&first).len(), 2);
    }
}
