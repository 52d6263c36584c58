//! The state that this balancer keeps on disk, if operators have configured a folder for it, and the recovery
//! from that state.
//!
//! The list is stored whenever discovery reports a change, and again while discovery confirms that nothing
//! has changed, so that the stored time is when the list was last known to be valid. At the start,
//! `marllink_recovery` decides which servers of the list are admitted immediately and which are probed first.
//! This module performs the probes: it connects and sends `PING` if the settings allow probes, and only
//! connects otherwise.

use crate::core::Core;
use crate::io::clock::{Clock, Millis};
use crate::io::connect::connect;
use crate::io::descriptors::{Descriptors, Purpose};
use crate::io::pump;
use crate::membership::directory::Directory;
use crate::membership::discovery::{Discovery, ListObserver};
use crate::operations::active_settings::ActiveSettings;
use crate::protocol::discovery::List;
use marllink::ServerId;
use marllink_config::Store;
use marllink_recovery::{Command, Event, Limits, Phase, Recovery};
use marllink_store::{Record, Writer};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;

/// Record name of the list.
const LIST_RECORD: &str = "list";
/// Maximum time to wait for the answer to a probe. A server that does not answer in time is considered
/// absent.
const PROBE_TIMEOUT_MS: Millis = 450.0;

/// A list as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredList {
    /// The service that delivered the list: versions of different services can't be compared.
    pub discovery: SocketAddr,
    /// The list.
    pub list: List,
}

/// Chooses the list to start with, and returns it with its age in milliseconds, if known. A list that was
/// passed in by the platform or a predecessor has no age. An older version never replaces a newer one,
/// whichever of them is on disk.
#[must_use]
pub fn choose_list(
    known: &List,
    discovery: SocketAddr,
    stored: Option<(StoredList, Millis)>,
    unix_ms: Millis,
) -> (List, Option<Millis>) {
    match stored {
        Some((stored, at))
            if known.targets.is_empty()
                || (stored.discovery == discovery && stored.list.rev >= known.rev) =>
        {
            (stored.list, Some(unix_ms - at))
        }
        _ => (known.clone(), None),
    }
}

/// Reads the stored list, if possible. Failures are logged.
fn read(folder: &Path) -> Option<(StoredList, Millis)> {
    let found = match marllink_store::read(folder) {
        Ok(found) => found,
        Err(error) => {
            tracing::warn!("the store {}: {error}; starting without stored state", folder.display());
            return None;
        }
    };
    if found.damaged_bytes > 0 {
        tracing::warn!(
            "the store {}: {} bytes are damaged; the rest is used",
            folder.display(),
            found.damaged_bytes
        );
    }
    let record = found.latest.get(LIST_RECORD)?;
    Some((serde_json::from_value(record.body.clone()).ok()?, record.at))
}

/// The components that this module works with.
pub struct Dependencies {
    /// Runs the decision logic.
    pub core: Rc<Core>,
    /// The clock.
    pub clock: Clock,
    /// Delivers the list.
    pub discovery: Rc<Discovery>,
    /// Server addresses.
    pub directory: Rc<Directory>,
    /// The descriptors used by probes.
    pub descriptors: Rc<Descriptors>,
    /// The active settings.
    pub settings: Rc<ActiveSettings>,
}

/// The balancer's state on disk, and the recovery from it.
pub struct StoredState {
    dependencies: Dependencies,
    recovery: RefCell<Recovery<ServerId>>,
    writer: Writer,
    trusted_ms: Millis,
    stored_at: Cell<Millis>,
    changed: Notify,
    weak_self: Weak<StoredState>,
}

impl StoredState {
    /// Opens the store in the folder that operators have configured.
    ///
    /// # Errors
    /// Fails if the writer thread can't be started. A failing disk is logged and does not stop the balancer.
    pub fn new(
        dependencies: Dependencies,
        store: &Store,
        folder: &Path,
        seed: u64,
    ) -> std::io::Result<Rc<Self>> {
        let display_path = folder.display().to_string();
        let writer = Writer::open(folder.into(), move |result| match result {
            Ok(()) => tracing::info!("the store {display_path}: writing works again"),
            Err(error) => tracing::warn!("the store {display_path}: {error}; continuing without it"),
        })?;
        let trusted_ms = f64::from(store.trusted_s) * 1_000.0;
        let limits = Limits {
            trusted_age_ms: trusted_ms,
            max_in_flight: usize::from(store.concurrent_probes),
            ..Limits::default()
        };
        let recovery = RefCell::new(Recovery::new(limits, seed, dependencies.clock.now()));
        let (stored_at, changed) = (Cell::new(f64::MIN), Notify::new());
        let this = Rc::new_cyclic(|weak_self| Self {
            dependencies,
            recovery,
            writer,
            trusted_ms,
            stored_at,
            changed,
            weak_self: weak_self.clone(),
        });
        this.dependencies.discovery.attach_observer(this.clone());
        Ok(this)
    }

    /// Starts with the newer of the given and the stored list.
    pub fn start(&self, known: &List, folder: &Path) {
        let Dependencies { discovery, clock, .. } = &self.dependencies;
        let (list, age_ms) = choose_list(known, discovery.address(), read(folder), clock.unix_ms());
        let serving = list.targets.iter().filter(|t| t.is_serving()).map(|t| t.server()).collect();
        let mut commands = Vec::new();
        self.recovery.borrow_mut().start(clock.now(), age_ms, serving, &mut commands);
        let admitted: HashSet<_> = commands
            .iter()
            .filter_map(|c| if let Command::Admit(server) = c { Some(*server) } else { None })
            .collect();
        if let Some(age_ms) = age_ms {
            let treatment =
                if admitted.is_empty() { "each server is probed first" } else { "used without probes" };
            tracing::info!(
                "starting from a list of {} servers, {:.0} s old: {treatment}",
                list.targets.len(),
                age_ms / 1_000.0
            );
        }
        commands.retain(|c| !matches!(c, Command::Admit(_)));
        discovery.start_withholding(&list, &|t| t.is_serving() && !admitted.contains(&t.server()));
        self.execute(commands);
    }

    /// Runs the recovery's timers and refreshes the stored list, forever.
    pub async fn run(self: Rc<Self>) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            this.dependencies.core.connection_established().await;
            // Requests served before the list is confirmed don't count as service.
            while this.recovery.borrow().phase() < Phase::ListTrusted {
                this.dependencies.core.connection_established().await;
            }
            this.handle(Event::ConnectionEstablished);
        });
        loop {
            let now = self.dependencies.clock.now();
            let due_at = self.recovery.borrow().next_timeout();
            let wait_ms = due_at
                .map_or(self.trusted_ms / 4.0, |due_at| (due_at - now).clamp(1.0, self.trusted_ms / 4.0));
            let changed = self.changed.notified();
            tokio::select! {
                () = self.dependencies.clock.sleep(wait_ms) => {}
                () = changed => {}
            }
            if due_at.is_some_and(|due_at| due_at <= self.dependencies.clock.now()) {
                self.step(Event::Timeout);
            }
            let last_contact_at = self.dependencies.discovery.last_contact_at();
            if last_contact_at > self.stored_at.get() + self.trusted_ms / 4.0 {
                self.store_list(&self.dependencies.discovery.list());
            }
        }
    }

    fn store_list(&self, list: &List) {
        self.stored_at.set(self.dependencies.clock.now());
        let stored = StoredList { discovery: self.dependencies.discovery.address(), list: list.clone() };
        match serde_json::to_value(stored) {
            Ok(body) => self.writer.put(Record {
                name: LIST_RECORD.into(),
                at: self.dependencies.clock.unix_ms(),
                body,
            }),
            Err(error) => tracing::warn!("the list can't be stored: {error}"),
        }
    }

    /// Handles an event from outside the timer loop. The loop is woken, as the next due time may have
    /// changed.
    fn handle(&self, event: Event<ServerId>) {
        self.step(event);
        self.changed.notify_one();
    }

    fn step(&self, event: Event<ServerId>) {
        let mut commands = Vec::new();
        self.recovery.borrow_mut().handle(self.dependencies.clock.now(), event, &mut commands);
        self.execute(commands);
    }

    fn execute(&self, commands: Vec<Command<ServerId>>) {
        let admitted =
            |c: &Command<ServerId>| if let Command::Admit(server) = c { Some(*server) } else { None };
        let admitted: Vec<_> = commands.iter().filter_map(admitted).collect();
        if !admitted.is_empty() {
            self.dependencies.discovery.admit(&admitted);
        }
        for command in commands {
            match command {
                Command::Probe(server) => self.probe(server),
                Command::PhaseChanged(phase) => {
                    let recovery = self.recovery.borrow();
                    let previous_ms = recovery.phase_durations().last().map_or(0.0, |previous| previous.1);
                    tracing::info!(
                        "recovery: phase {}, after {previous_ms:.0} ms in the previous phase",
                        phase.name()
                    );
                }
                Command::Admit(_) => {}
            }
        }
    }

    fn probe(&self, server: ServerId) {
        let Some(this) = self.weak_self.upgrade() else { return };
        tokio::task::spawn_local(async move {
            let responsive = this
                .dependencies
                .clock
                .within(PROBE_TIMEOUT_MS, this.responds(server))
                .await
                .unwrap_or(false);
            this.handle(Event::ProbeCompleted { server, reachable: responsive });
        });
    }

    /// Returns true if the server responds.
    async fn responds(&self, server: ServerId) -> bool {
        let Some(_descriptor) = self.dependencies.descriptors.acquire(Purpose::Served) else { return false };
        let Some(address) = self.dependencies.directory.address(server) else { return false };
        let Ok(stream) = connect(&self.dependencies.clock, address, PROBE_TIMEOUT_MS).await else {
            return false;
        };
        if !self.dependencies.settings.current().balancing.limits.probe {
            return true;
        }
        let mut answer = Vec::new();
        if pump::write_all(&stream, b"PING\r\n").await.is_err() {
            return false;
        }
        while !answer.contains(&b'\n') {
            if !pump::read_more(&stream, &mut answer).await.unwrap_or(false) {
                return false;
            }
        }
        answer.starts_with(b"PONG")
    }
}

impl ListObserver for StoredState {
    fn list_updated(&self, list: List) {
        self.store_list(&list);
        // Discovery is still processing the list; the recovery's commands for the decision logic follow
        // afterwards.
        let Some(this) = self.weak_self.upgrade() else { return };
        tokio::task::spawn_local(async move { this.handle(Event::ListReceived) });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(rev: u64, server_count: usize) -> List {
        let target =
            |n| serde_json::json!({"uid": format!("s-{n}"), "endpoint": "127.0.0.1:1", "state": "SERVING"});
        let targets: Vec<_> = (0..server_count).map(target).collect();
        serde_json::from_value(serde_json::json!({"rev": rev, "all": true, "targets": targets}))
            .expect("a valid list")
    }

    #[test]
    fn a_stored_list_is_used_if_newer_or_if_nothing_else_is_known() {
        let current_service: SocketAddr = "127.0.0.1:8500".parse().expect("a valid address");
        let other_service: SocketAddr = "127.0.0.1:8501".parse().expect("a valid address");
        let stored = |discovery, rev| Some((StoredList { discovery, list: list(rev, 2) }, 1_000.0));
        let choose = |known: &List, stored| {
            let (list, age_ms) = choose_list(known, current_service, stored, 5_000.0);
            (list.rev, list.targets.len(), age_ms)
        };
        assert_eq!(choose(&list(41, 3), None), (41, 3, None));
        assert_eq!(choose(&list(41, 3), stored(current_service, 42)), (42, 2, Some(4_000.0)));
        // With equal versions, the stored list is used because its age is known.
        assert_eq!(choose(&list(41, 3), stored(current_service, 41)), (41, 2, Some(4_000.0)));
        assert_eq!(choose(&list(41, 3), stored(current_service, 40)), (41, 3, None));
        assert_eq!(choose(&list(41, 3), stored(other_service, 99)), (41, 3, None));
        assert_eq!(choose(&list(0, 0), stored(other_service, 9)), (9, 2, Some(4_000.0)));
    }
}
