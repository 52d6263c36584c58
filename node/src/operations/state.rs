//! What this balancer keeps on disk, where operators have named a folder for it, and how it comes back with that.
//!
//! The list is kept whenever discovery tells of a change, and again while it says that nothing has changed, so that
//! the time in the folder is when the list was last known to hold. At the start `marllink_recovery` decides which of
//! its form hosts are let in at once and which are asked first; here they are asked, by a connection that says `PING`
//! where the settings allow probes and nothing elsewhere.

use crate::core::Core;
use crate::io::clock::{Clock, Millis};
use crate::io::connect::connect;
use crate::io::descriptors::{Descriptors, Purpose};
use crate::io::pump;
use crate::membership::directory::Directory;
use crate::membership::discovery::{Discovery, Keeper};
use crate::operations::tuning::Tuning;
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

/// Under which name the list is kept.
const LIST: &str = "list";
/// A form host that was asked answers within this, or is taken not to be there.
const ANSWER_MS: Millis = 450.0;

/// A list as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// The service that told it: versions of another one say nothing.
    pub discovery: SocketAddr,
    /// The list.
    pub list: List,
}

/// With which list to begin, and its age in ms if that is known. What the platform hands over has no age. A newer
/// version never gives way to an older one, whichever of the two is on disk.
#[must_use]
pub fn choose(
    known: &List,
    discovery: SocketAddr,
    kept: Option<(Kept, Millis)>,
    unix: Millis,
) -> (List, Option<Millis>) {
    match kept {
        Some((kept, at))
            if known.targets.is_empty() || (kept.discovery == discovery && kept.list.rev >= known.rev) =>
        {
            (kept.list, Some(unix - at))
        }
        _ => (known.clone(), None),
    }
}

/// What lies in the folder, if it can be read; why not is told.
fn read(folder: &Path) -> Option<(Kept, Millis)> {
    let found = match marllink_store::read(folder) {
        Ok(found) => found,
        Err(error) => {
            tracing::warn!("the store {}: {error}; starting without", folder.display());
            return None;
        }
    };
    if found.damaged_bytes > 0 {
        tracing::warn!(
            "the store {}: {} bytes are damaged; the rest holds",
            folder.display(),
            found.damaged_bytes
        );
    }
    let record = found.latest.get(LIST)?;
    Some((serde_json::from_value(record.body.clone()).ok()?, record.at))
}

/// The parts of the balancer that this one deals with.
pub struct Parts {
    /// The decisions at work.
    pub core: Rc<Core>,
    /// Time.
    pub clock: Clock,
    /// Who tells the list.
    pub discovery: Rc<Discovery>,
    /// Where form hosts are reached.
    pub directory: Rc<Directory>,
    /// What asking takes.
    pub descriptors: Rc<Descriptors>,
    /// The settings in force.
    pub tuning: Rc<Tuning>,
}

/// The balancer's state on disk, and its coming back.
pub struct State {
    parts: Parts,
    recovery: RefCell<Recovery<ServerId>>,
    writer: Writer,
    trusted_ms: Millis,
    kept_at: Cell<Millis>,
    changed: Notify,
    me: Weak<State>,
}

impl State {
    /// For the folder that operators have named.
    ///
    /// # Errors
    /// Fails if there can be no thread that writes; a disk that fails is told of and harms nothing.
    pub fn new(parts: Parts, store: &Store, folder: &Path, seed: u64) -> std::io::Result<Rc<Self>> {
        let shown = folder.display().to_string();
        let writer = Writer::open(folder.into(), move |so| match so {
            Ok(()) => tracing::info!("the store {shown}: it is written again"),
            Err(error) => tracing::warn!("the store {shown}: {error}; going on without"),
        })?;
        let trusted_ms = f64::from(store.trusted_s) * 1_000.0;
        let limits = Limits {
            trusted_age_ms: trusted_ms,
            max_in_flight: usize::from(store.concurrent_probes),
            ..Limits::default()
        };
        let recovery = RefCell::new(Recovery::new(limits, seed, parts.clock.now()));
        let (kept_at, changed) = (Cell::new(f64::MIN), Notify::new());
        let this = Rc::new_cyclic(|me| Self {
            parts,
            recovery,
            writer,
            trusted_ms,
            kept_at,
            changed,
            me: me.clone(),
        });
        this.parts.discovery.tell_keeper(this.clone());
        Ok(this)
    }

    /// Begins with what was handed over or lies in the folder, whichever is newer.
    pub fn start(&self, known: &List, folder: &Path) {
        let Parts { discovery, clock, .. } = &self.parts;
        let (list, age_ms) = choose(known, discovery.address(), read(folder), clock.unix());
        let serving = list.targets.iter().filter(|t| t.is_serving()).map(|t| t.server()).collect();
        let mut commands = Vec::new();
        self.recovery.borrow_mut().start(clock.now(), age_ms, serving, &mut commands);
        let admitted: HashSet<_> = commands
            .iter()
            .filter_map(|c| if let Command::Admit(host) = c { Some(*host) } else { None })
            .collect();
        if let Some(age) = age_ms {
            let doubted =
                if admitted.is_empty() { "each form host is asked first" } else { "it is taken as it is" };
            tracing::info!(
                "a list of {} form hosts, {:.0} s old: {doubted}",
                list.targets.len(),
                age / 1_000.0
            );
        }
        commands.retain(|c| !matches!(c, Command::Admit(_)));
        discovery.start_doubting(&list, &|t| t.is_serving() && !admitted.contains(&t.server()));
        self.carry_out(commands);
    }

    /// Feeds what is due, and keeps the list fresh on disk, for ever.
    pub async fn follow(self: Rc<Self>) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            this.parts.core.connection_established().await;
            // Before the list is good that is no service yet.
            while this.recovery.borrow().phase() < Phase::ListTrusted {
                this.parts.core.connection_established().await;
            }
            this.handle(Event::ConnectionEstablished);
        });
        loop {
            let now = self.parts.clock.now();
            let due = self.recovery.borrow().next_timeout();
            let wait = due.map_or(self.trusted_ms / 4.0, |due| (due - now).clamp(1.0, self.trusted_ms / 4.0));
            let changed = self.changed.notified();
            tokio::select! {
                () = self.parts.clock.sleep(wait) => {}
                () = changed => {}
            }
            if due.is_some_and(|due| due <= self.parts.clock.now()) {
                self.step(Event::Timeout);
            }
            let heard = self.parts.discovery.heard_at();
            if heard > self.kept_at.get() + self.trusted_ms / 4.0 {
                self.keep(&self.parts.discovery.list());
            }
        }
    }

    fn keep(&self, list: &List) {
        self.kept_at.set(self.parts.clock.now());
        let kept = Kept { discovery: self.parts.discovery.address(), list: list.clone() };
        match serde_json::to_value(kept) {
            Ok(body) => self.writer.put(Record { name: LIST.into(), at: self.parts.clock.unix(), body }),
            Err(error) => tracing::warn!("the list can't be kept: {error}"),
        }
    }

    /// Feeds an event from elsewhere: what is due may be another time now.
    fn handle(&self, event: Event<ServerId>) {
        self.step(event);
        self.changed.notify_one();
    }

    fn step(&self, event: Event<ServerId>) {
        let mut commands = Vec::new();
        self.recovery.borrow_mut().handle(self.parts.clock.now(), event, &mut commands);
        self.carry_out(commands);
    }

    fn carry_out(&self, commands: Vec<Command<ServerId>>) {
        let admitted = |c: &Command<ServerId>| if let Command::Admit(host) = c { Some(*host) } else { None };
        let admitted: Vec<_> = commands.iter().filter_map(admitted).collect();
        if !admitted.is_empty() {
            self.parts.discovery.admit(&admitted);
        }
        for command in commands {
            match command {
                Command::Probe(host) => self.ask(host),
                Command::PhaseChanged(phase) => {
                    let recovery = self.recovery.borrow();
                    let took = recovery.phase_durations().last().map_or(0.0, |spent| spent.1);
                    tracing::info!("phase {}, after {took:.0} ms", phase.name());
                }
                Command::Admit(_) => {}
            }
        }
    }

    fn ask(&self, host: ServerId) {
        let Some(this) = self.me.upgrade() else { return };
        tokio::task::spawn_local(async move {
            let there = this.parts.clock.within(ANSWER_MS, this.is_there(host)).await.unwrap_or(false);
            this.handle(Event::ProbeCompleted { server: host, reachable: there });
        });
    }

    /// Whether a form host is there.
    async fn is_there(&self, host: ServerId) -> bool {
        let Some(_descriptor) = self.parts.descriptors.take(Purpose::Served) else { return false };
        let Some(address) = self.parts.directory.address(host) else { return false };
        let Ok(stream) = connect(&self.parts.clock, address, ANSWER_MS).await else { return false };
        if !self.parts.tuning.now().balancing.limits.probe {
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

impl Keeper for State {
    fn told(&self, list: List) {
        self.keep(&list);
        // Discovery is in the middle of telling: what follows for the decisions comes after that.
        let Some(this) = self.me.upgrade() else { return };
        tokio::task::spawn_local(async move { this.handle(Event::ListReceived) });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(rev: u64, hosts: usize) -> List {
        let target =
            |n| serde_json::json!({"uid": format!("s-{n}"), "endpoint": "127.0.0.1:1", "state": "SERVING"});
        let targets: Vec<_> = (0..hosts).map(target).collect();
        serde_json::from_value(serde_json::json!({"rev": rev, "all": true, "targets": targets}))
            .expect("a list")
    }

    #[test]
    fn the_newer_list_of_one_service_counts_and_another_services_only_where_nothing_is_known() {
        let here: SocketAddr = "127.0.0.1:8500".parse().expect("an address");
        let there: SocketAddr = "127.0.0.1:8501".parse().expect("an address");
        let kept = |discovery, rev| Some((Kept { discovery, list: list(rev, 2) }, 1_000.0));
        let chosen = |known: &List, kept| {
            let (list, age) = choose(known, here, kept, 5_000.0);
            (list.rev, list.targets.len(), age)
        };
        assert_eq!(chosen(&list(41, 3), None), (41, 3, None));
        assert_eq!(chosen(&list(41, 3), kept(here, 42)), (42, 2, Some(4_000.0)));
        // The same version: its age is known by the one on disk.
        assert_eq!(chosen(&list(41, 3), kept(here, 41)), (41, 2, Some(4_000.0)));
        assert_eq!(chosen(&list(41, 3), kept(here, 40)), (41, 3, None));
        assert_eq!(chosen(&list(41, 3), kept(there, 99)), (41, 3, None));
        assert_eq!(chosen(&list(0, 0), kept(there, 9)), (9, 2, Some(4_000.0)));
    }
}
