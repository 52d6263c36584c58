//! Judges a run by what was written down, and writes that out in one file by time.

use super::player::Record;
use super::scenario::Scenario;
use super::write_lines;
use marllink_emulator::platform::rules::{Findings, check};
use marllink_emulator::platform::{Note, PROCESS_SHIFT};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// All that is written down in one run, by time.
const EVENTS: &str = "events.txt";

/// What came of a run.
pub struct Verdict {
    seed: u64,
    processes: usize,
    asked: usize,
    served: usize,
    sent: usize,
    /// Rules that were broken, in words.
    pub broken: Vec<String>,
    /// Bounds on time that were exceeded: a loaded machine, or a fault.
    pub late: Vec<String>,
    /// How often each fault has fired.
    pub fired: BTreeMap<String, usize>,
    events: Vec<(f64, String)>,
}

impl Verdict {
    /// Judges each process by its own clients, by its own discovery, and by what servers had from it.
    pub fn of(scenario: &Scenario, record: &Record) -> Self {
        let mut verdict = Self {
            seed: scenario.seed,
            processes: scenario.processes,
            asked: 0,
            served: 0,
            sent: 0,
            broken: record.findings.clone(),
            late: record.late.clone(),
            fired: record.fired.clone(),
            events: events(scenario, record),
        };
        let mut of_process = record.told.clone();
        for (at, note) in &record.notes {
            let process = note.request().map_or(usize::MAX, |id| (id >> PROCESS_SHIFT) as usize);
            match of_process.get_mut(process) {
                Some(own) => own.push((*at, note.clone())),
                None => verdict.broken.push(format!("{at:.0} ms: nobody's {note:?}")),
            }
        }
        for (process, mut own) in of_process.into_iter().enumerate() {
            own.sort_by(|a, b| a.0.total_cmp(&b.0));
            verdict.add(process, check(&own, &scenario.rules()));
        }
        verdict
    }

    fn add(&mut self, process: usize, found: Findings) {
        self.asked += found.requests;
        self.served += found.served;
        self.sent += found.attempts;
        self.broken.extend(found.violations.iter().map(|broken| format!("b{process}: {broken}")));
        self.late.extend(found.late.iter().map(|late| format!("b{process}: {late}")));
    }

    /// One line.
    pub fn summary(&self) -> String {
        let Self { seed, processes, asked, served, sent, broken, late, .. } = self;
        let word = if broken.is_empty() { "kept" } else { "BROKEN" };
        let late = late.len();
        format!(
            "seed {seed}: {word}; {processes} processes, {asked} asked, {served} served, {sent} sent, {late} late"
        )
    }

    /// Writes the events and the findings.
    ///
    /// # Errors
    /// Fails as the disk has it.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let events = self.events.iter().map(|(at, event)| format!("{at:10.1} {event}"));
        write_lines(&folder.join(EVENTS), events)?;
        write_lines(&folder.join("broken.txt"), self.broken.iter().chain(&self.late).cloned())
    }
}

fn events(scenario: &Scenario, record: &Record) -> Vec<(f64, String)> {
    let mut events: Vec<_> =
        scenario.timeline.iter().map(|(at, fault)| (*at, format!("planned {fault:?}"))).collect();
    let described = |(at, note): &(f64, Note)| match note.request() {
        Some(id) => (*at, format!("{id:016x} {note:?}")),
        None => (*at, format!("{note:?}")),
    };
    events.extend(record.notes.iter().map(described));
    for (process, told) in record.told.iter().enumerate() {
        events.extend(told.iter().map(|(at, note)| (*at, format!("b{process} {note:?}"))));
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    events
}
