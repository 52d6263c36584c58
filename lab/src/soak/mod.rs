//! `marllink-lab soak`: runs many real processes under randomly drawn faults, and checks the protocol rules against
//! the notes of clients, servers and discovery.
//!
//! [`scenario`] draws a scenario from a seed, [`runner`] runs it, and [`verdict`] evaluates the notes and writes the
//! results.

mod runner;
mod scenario;
mod verdict;

pub use scenario::FaultKind;
use scenario::Scenario;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use verdict::Verdict;

/// Options of the runs.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seeds, one for each run.
    pub seeds: RangeInclusive<u64>,
    /// Number of balancers in each run.
    pub processes: usize,
    /// Time over which clients arrive in each run, in seconds.
    pub seconds: f64,
    /// Injects only this kind of faults.
    pub only: Option<FaultKind>,
    /// Bug to inject.
    pub injected_bug: Option<InjectedBug>,
    /// Fails the run if a planned fault never fires. Some faults may not fire in short runs.
    pub all_must_fire: bool,
    /// Folder in which the folders of the runs are created.
    pub results_folder: PathBuf,
}

/// A bug that is injected into all processes and must be found. Each is simulated by system calls that behave
/// accordingly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum InjectedBug {
    /// A line is written twice.
    SecondAnswer,
    /// An attempt is delayed until its client may have left.
    LateAttempt,
    /// An interrupted read is handled as the end of the connection.
    EintrIsEnd,
    /// A short write is handled as a complete one.
    ShortWriteIsWhole,
}

/// Runs all seeds. Returns true if no rule was violated and, with `all_must_fire`, all planned faults have fired.
///
/// # Errors
/// Fails if a scenario can't be run.
pub fn run(options: &Options) -> Result<bool, String> {
    let shim = shim_path()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let mut passed = true;
    let mut fired = BTreeMap::<String, usize>::new();
    for seed in options.seeds.clone() {
        let scenario = Scenario::draw(seed, options);
        let folder =
            crate::balancers::create_results_folder(&options.results_folder, &format!("soak-{seed}"));
        let folder = folder.map_err(|e| format!("{}: {e}", options.results_folder.display()))?;
        let running = runner::run_scenario(&scenario, &shim, &folder);
        let record = tokio::task::LocalSet::new().block_on(&runtime, running);
        let record = record.map_err(|e| format!("seed {seed}: {e}"))?;
        let verdict = Verdict::evaluate(&scenario, &record);
        verdict.write(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        println!("{}", verdict.summary());
        if let Some(first) = verdict.violations.first() {
            println!(
                "  BROKEN, {} violations, first: {first}; replay with: {}",
                verdict.violations.len(),
                replay_command(seed, options)
            );
        }
        verdict.late.iter().take(3).for_each(|late| println!("  late: {late}"));
        passed &= verdict.violations.is_empty();
        for (fault, count) in verdict.fired {
            *fired.entry(fault).or_default() += count;
        }
    }
    let all_fired = report_fired_faults(&fired);
    Ok(passed && (all_fired || !options.all_must_fire))
}

/// Returns the path of the library that injects faults into system calls. It is expected next to this program.
fn shim_path() -> Result<PathBuf, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let shim = program.with_file_name("libmarllink_shim.so");
    if shim.exists() {
        Ok(shim)
    } else {
        Err(format!("{} is missing; build it with `cargo build -p marllink-shim`", shim.display()))
    }
}

/// Returns the command that runs a seed again.
fn replay_command(seed: u64, options: &Options) -> String {
    let Options { processes, seconds, .. } = options;
    format!("marllink-lab soak --replay {seed} --processes {processes} --seconds {seconds}")
}

/// Prints how often each fault has fired. Returns false if one has never fired.
fn report_fired_faults(fired: &BTreeMap<String, usize>) -> bool {
    let counts: Vec<_> = fired.iter().map(|(fault, count)| format!("{fault} {count}")).collect();
    println!("faults fired: {}", if counts.is_empty() { "none".into() } else { counts.join(", ") });
    let never_fired: Vec<_> =
        fired.iter().filter(|(_, count)| **count == 0).map(|(fault, _)| &**fault).collect();
    if !never_fired.is_empty() {
        println!("planned, but never fired: {}", never_fired.join(", "));
    }
    never_fired.is_empty()
}

/// Writes lines to a file.
fn write_lines(path: &Path, lines: impl IntoIterator<Item = String>) -> std::io::Result<()> {
    let mut text = String::new();
    for line in lines {
        text.push_str(&line);
        text.push('\n');
    }
    std::fs::write(path, text)
}
