//! `marllink-lab soak`: many real processes under faults that follow from a seed, judged by what clients,
//! servers and discovery wrote down.
//!
//! [`scenario`] draws what is played, [`player`] plays it, [`verdict`] judges it and writes it out.

mod player;
mod scenario;
mod verdict;

pub use scenario::FaultKind;
use scenario::Scenario;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use verdict::Verdict;

/// What to play.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seeds, one run each.
    pub seeds: RangeInclusive<u64>,
    /// Balancers in each run.
    pub processes: usize,
    /// How long each run lasts, in seconds.
    pub seconds: f64,
    /// One kind of faults alone.
    pub only: Option<FaultKind>,
    /// A bug to plant.
    pub plant: Option<Plant>,
    /// Whether a fault that was planned and never fired fails the run. Short runs may be too short for some.
    pub all_must_fire: bool,
    /// Where the folders of the runs go.
    pub out: PathBuf,
}

/// A bug that is planted in all processes, and has to be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Plant {
    /// A line to a client is written twice.
    SecondAnswer,
    /// An attempt is held back until its client may have left.
    LateAttempt,
    /// An interrupted read is taken for the end of the connection.
    EintrIsEnd,
    /// A short write is taken for a whole one.
    ShortWriteIsWhole,
}

/// Plays all seeds; true if no rule was broken and, where that is asked for, every fault that was planned has fired.
///
/// # Errors
/// Fails if a run can't be made.
pub fn run(options: &Options) -> Result<bool, String> {
    let shim = shim()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let mut kept = true;
    let mut fired = BTreeMap::<String, usize>::new();
    for seed in options.seeds.clone() {
        let scenario = Scenario::draw(seed, options);
        let folder = crate::balancers::folder(&options.out, &format!("soak-{seed}"));
        let folder = folder.map_err(|e| format!("{}: {e}", options.out.display()))?;
        let playing = player::play(&scenario, &shim, &folder);
        let record = tokio::task::LocalSet::new().block_on(&runtime, playing);
        let record = record.map_err(|e| format!("seed {seed}: {e}"))?;
        let verdict = Verdict::of(&scenario, &record);
        verdict.write(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        println!("{}", verdict.summary());
        if let Some(first) = verdict.broken.first() {
            println!(
                "  BROKEN, {} times: {first}; again with: {}",
                verdict.broken.len(),
                again(seed, options)
            );
        }
        verdict.late.iter().take(3).for_each(|late| println!("  late: {late}"));
        kept &= verdict.broken.is_empty();
        for (fault, count) in verdict.fired {
            *fired.entry(fault).or_default() += count;
        }
    }
    let all_fired = report_fired(&fired);
    Ok(kept && (all_fired || !options.all_must_fire))
}

/// The library that makes system calls fail lies beside this program.
fn shim() -> Result<PathBuf, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let shim = program.with_file_name("libmarllink_shim.so");
    if shim.exists() {
        Ok(shim)
    } else {
        Err(format!("{} is missing; build it with cargo build -p marllink-shim", shim.display()))
    }
}

fn again(seed: u64, options: &Options) -> String {
    let Options { processes, seconds, .. } = options;
    format!("marllink-lab soak --replay {seed} --processes {processes} --seconds {seconds}")
}

/// Prints how often each fault has fired; false if one never did.
fn report_fired(fired: &BTreeMap<String, usize>) -> bool {
    let shown: Vec<_> = fired.iter().map(|(fault, count)| format!("{fault} {count}")).collect();
    println!("faults fired: {}", if shown.is_empty() { "none".into() } else { shown.join(", ") });
    let never: Vec<_> = fired.iter().filter(|(_, count)| **count == 0).map(|(fault, _)| &**fault).collect();
    if !never.is_empty() {
        println!("planned and never fired: {}", never.join(", "));
    }
    never.is_empty()
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
