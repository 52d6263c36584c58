//! Checks the notes of a run against the protocol rules, and writes all events in order of time.

use super::runner::Record;
use super::scenario::Scenario;
use super::write_lines;
use marllink_emulator::platform::rules::{Findings, check};
use marllink_emulator::platform::{Note, PROCESS_SHIFT};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// File with all events of a run, in order of time.
const EVENTS_FILE: &str = "events.txt";

/// Results of a run.
pub struct Verdict {
    seed: u64,
    processes: usize,
    requests: usize,
    served: usize,
    attempts: usize,
    /// Messages for violated rules.
    pub violations: Vec<String>,
    /// Messages for exceeded time limits, which may be caused by load on this machine.
    pub late: Vec<String>,
    /// Number of times that each fault has fired.
    pub fired: BTreeMap<String, usize>,
    events: Vec<(f64, String)>,
}

impl Verdict {
    /// Checks each process against the notes of its own clients, its own discovery agent, and the servers that it
    /// sent requests to.
    pub fn evaluate(scenario: &Scenario, record: &Record) -> Self {
        let mut verdict = Self {
            seed: scenario.seed,
            processes: scenario.processes,
            requests: 0,
            served: 0,
            attempts: 0,
            violations: record.findings.clone(),
            late: record.slow_starts.clone(),
            fired: record.fired_faults.clone(),
            events: events(scenario, record),
        };
        let mut notes_by_process = record.process_notes.clone();
        for (at, note) in &record.notes {
            let process = note.request().map_or(usize::MAX, |id| (id >> PROCESS_SHIFT) as usize);
            match notes_by_process.get_mut(process) {
                Some(notes) => notes.push((*at, note.clone())),
                None => verdict.violations.push(format!("{at:.0} ms: note without a process: {note:?}")),
            }
        }
        for (process, mut notes) in notes_by_process.into_iter().enumerate() {
            notes.sort_by(|a, b| a.0.total_cmp(&b.0));
            verdict.add(process, check(&notes, &scenario.rules()));
        }
        verdict
    }

    fn add(&mut self, process: usize, findings: Findings) {
        self.requests += findings.requests;
        self.served += findings.served;
        self.attempts += findings.attempts;
        self.violations
            .extend(findings.violations.iter().map(|violation| format!("b{process}: {violation}")));
        self.late.extend(findings.late.iter().map(|late| format!("b{process}: {late}")));
    }

    /// Returns a summary of one line.
    pub fn summary(&self) -> String {
        let Self { seed, processes, requests, served, attempts, violations, late, .. } = self;
        let word = if violations.is_empty() { "kept" } else { "BROKEN" };
        let late = late.len();
        format!(
            "seed {seed}: {word}; {processes} processes, {requests} requests, {served} served, {attempts} attempts, {late} late"
        )
    }

    /// Writes the events and the findings.
    ///
    /// # Errors
    /// Fails if a file can't be written.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let events = self.events.iter().map(|(at, event)| format!("{at:10.1} {event}"));
        write_lines(&folder.join(EVENTS_FILE), events)?;
        write_lines(&folder.join("broken.txt"), self.violations.iter().chain(&self.late).cloned())
    }
}

fn events(scenario: &Scenario, record: &Record) -> Vec<(f64, String)> {
    let mut events: Vec<_> =
        scenario.timeline.iter().map(|(at, fault)| (*at, format!("planned {fault:?}"))).collect();
    let describe = |(at, note): &(f64, Note)| match note.request() {
        Some(id) => (*at, format!("{id:016x} {note:?}")),
        None => (*at, format!("{note:?}")),
    };
    events.extend(record.notes.iter().map(describe));
    for (process, process_notes) in record.process_notes.iter().enumerate() {
        events.extend(process_notes.iter().map(|(at, note)| (*at, format!("b{process} {note:?}"))));
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    events
}
