//! `marllink-lab`: experiments with the real daemon between stand-ins.

mod balancers;
mod come_back;
mod deployments;
mod experiment;
mod matrix;
mod results;
mod run;
mod soak;

use clap::{Parser, Subcommand};
use experiment::{Experiment, Fault, Fleet, Load, Sessions, What};
use marllink_emulator::model::InjectedBug;
use results::Sample;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Experiments with the real daemon between stand-ins, on this machine's loopback addresses.
#[derive(Debug, Parser)]
#[command(name = "marllink-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an experiment, and exit with 0 only if no rule was broken and every bound holds.
    Run {
        /// The experiment's file.
        file: PathBuf,
        /// Plant this bug, which the experiment must then find.
        #[arg(long, value_name = "NAME")]
        plant: Option<String>,
        /// Where the folder of results goes.
        #[arg(long, value_name = "FOLDER", default_value = "target/lab")]
        out: PathBuf,
        /// Print nothing but the verdict.
        #[arg(long)]
        quiet: bool,
    },
    /// Start form hosts, discovery, balancers and drafters, kill a form host now and then, and show what
    /// becomes of the drafters' sessions.
    Demo {
        /// For how long.
        #[arg(long, default_value_t = 30)]
        seconds: u32,
        /// How many drafters.
        #[arg(long, default_value_t = 60)]
        drafters: usize,
    },
    /// Play days x strategies x seeds of a whole fleet in virtual time, and exit with 0 only if no rule was
    /// broken and every bound holds.
    Model {
        /// The matrix's file.
        file: PathBuf,
        /// Plant this bug in the first strategy, which the matrix must then find.
        #[arg(long, value_name = "NAME", value_parser = plant)]
        plant: Option<marllink::InjectedBug>,
        /// Play so many seeds instead of as many as the file says.
        #[arg(long, value_name = "COUNT", value_parser = clap::value_parser!(u64).range(1..=100))]
        seeds: Option<u64>,
        /// Play this day alone.
        #[arg(long, value_name = "NAME")]
        day: Option<String>,
        /// Where the folder of results goes.
        #[arg(long, value_name = "FOLDER", default_value = "target/lab")]
        out: PathBuf,
        /// Print nothing but the verdict.
        #[arg(long)]
        quiet: bool,
    },
    /// Run the real daemon between stand-ins on a sample of kinds of deployments, some seconds each, and exit with
    /// 0 only if no rule of the protocol was broken on any.
    Deployments {
        /// The number of the first.
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// How many.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=200))]
        count: u64,
        /// Plant a fault that must be found: discovery notes drains as told and keeps them to itself.
        #[arg(long)]
        plant_untold: bool,
        /// Where the daemons' folders go.
        #[arg(long, value_name = "FOLDER", default_value = "target/lab")]
        out: PathBuf,
    },
    /// Run many real processes under faults that follow from a seed, and exit with 0 only if no rule was broken.
    Soak {
        /// The seeds to play, as in 1..50.
        #[arg(long, default_value = "1..3", value_parser = seeds)]
        seeds: std::ops::RangeInclusive<u64>,
        /// Play this seed alone.
        #[arg(long, conflicts_with = "seeds")]
        replay: Option<u64>,
        /// Balancers in each run.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=400))]
        processes: u16,
        /// How long clients come in each run.
        #[arg(long, default_value_t = 6.0)]
        seconds: f64,
        /// One kind of faults alone.
        #[arg(long)]
        fault: Option<soak::FaultKind>,
        /// Plant this bug, which must then be found.
        #[arg(long)]
        plant: Option<soak::Plant>,
        /// Fail if a fault that was planned has never fired.
        #[arg(long)]
        all_must_fire: bool,
        /// Where the folders of the runs go.
        #[arg(long, value_name = "FOLDER", default_value = "target/lab")]
        out: PathBuf,
    },
    /// Print the JSON schema of experiment files, or of matrix files.
    Schema {
        /// Of which.
        #[arg(value_enum, default_value_t = Kind::Experiment)]
        of: Kind,
    },
    /// Serve as the daemon under test does, with the environment as `marllink` takes it.
    #[command(hide = true)]
    Daemon,
}

/// Kinds of files that the lab reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Kind {
    /// For `run`.
    Experiment,
    /// For `run`, with several balancers and a crowd.
    ComeBack,
    /// For `model`.
    Matrix,
}

/// A planted bug by its name.
fn plant(name: &str) -> Result<marllink::InjectedBug, String> {
    serde_json::from_value(serde_json::Value::from(name)).map_err(|e| e.to_string())
}

/// Seeds as `FIRST..LAST`, both of them included.
fn seeds(text: &str) -> Result<std::ops::RangeInclusive<u64>, String> {
    let (first, last) = text.split_once("..").ok_or("wanted: FIRST..LAST")?;
    let number = |text: &str| text.parse::<u64>().map_err(|e| e.to_string());
    Ok(number(first)?..=number(last)?)
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Daemon => return marllink_node::serve(&marllink_node::Options::default()),
        Command::Schema { of } => {
            let schema = match of {
                Kind::Matrix => matrix::schema(),
                Kind::Experiment => experiment::schema(),
                Kind::ComeBack => come_back::schema(),
            };
            println!("{schema:#}");
            Ok(true)
        }
        Command::Deployments { first, count, plant_untold, out } => balancers::folder(&out, "deployments")
            .map_err(|e| e.to_string())
            .and_then(|folder| deployments::sample(first, count, &folder, plant_untold)),
        Command::Model { file, plant, seeds, day, out, quiet } => {
            model(&file, plant, seeds, day, &out, quiet)
        }
        Command::Soak { seeds, replay, processes, seconds, fault, plant, all_must_fire, out } => {
            let seeds = replay.map_or(seeds, |seed| seed..=seed);
            let processes = usize::from(processes);
            let only = fault;
            soak::run(&soak::Options { seeds, processes, seconds, only, plant, all_must_fire, out })
        }
        Command::Run { file, plant, out, quiet } if come_backs(&file) => {
            come_back(&file, plant.as_deref(), &out, quiet)
        }
        Command::Run { file, plant, out, quiet } => {
            planted(plant.as_deref()).and_then(|plant| run(&read(&file)?, plant, &out, quiet))
        }
        Command::Demo { seconds, drafters } => {
            run(&demo(seconds, drafters), None, Path::new("target/lab"), false)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("marllink-lab: {message}");
            ExitCode::from(2)
        }
    }
}

/// A bug to plant by its name, among those of one kind of experiments.
fn planted<P: std::str::FromStr<Err = String>>(name: Option<&str>) -> Result<Option<P>, String> {
    name.map(|name| name.parse().map_err(|e| format!("--plant {name}: {e}"))).transpose()
}

/// True if a file is of those with several balancers and a crowd. What can't be read is told of by whoever reads it.
fn come_backs(file: &Path) -> bool {
    let value =
        std::fs::read(file).ok().and_then(|text| serde_json::from_slice::<serde_json::Value>(&text).ok());
    value.is_some_and(|value| value.get("crowd").is_some())
}

/// Runs an experiment with several balancers; true if it is sound.
fn come_back(file: &Path, plant: Option<&str>, out: &Path, quiet: bool) -> Result<bool, String> {
    let plant = planted(plant)?;
    let (name, experiment): (_, come_back::ComeBack) = read_by(file, &come_back::schema())?;
    come_back::sound(&experiment).map_err(|e| format!("{name}: {e}"))?;
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = balancers::folder(out, &experiment.name).map_err(|e| format!("{}: {e}", out.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let running = come_back::run(&experiment, program, &folder, plant);
    let results = tokio::task::LocalSet::new().block_on(&runtime, running).map_err(|e| e.to_string())?;
    results.write(&folder).map_err(|e| e.to_string())?;
    if !quiet {
        println!(
            "{} asked, {} served, {} lost with their balancer, {} refused or cut off; {} attempts at form hosts that are gone;\n\
             {:.2} attempts for each client in the worst second after a kill; full service after {:.1?} s",
            results.asked,
            results.served,
            results.lost,
            results.refused,
            results.stale,
            results.wave,
            results.back_s
        );
    }
    if results.late > 0 {
        println!("{} answers late: a loaded machine, or a fault", results.late);
    }
    match results.against.as_slice() {
        [] => println!("{}: kept: no rule was broken and every bound holds", experiment.name),
        against => {
            let shown = &against[..against.len().min(8)];
            println!("{}: BROKEN, {} times:\n  {}", experiment.name, against.len(), shown.join("\n  "));
        }
    }
    Ok(results.against.is_empty())
}

/// Reads a file by its schema, with its name as problems call it.
fn read_by<T: serde::de::DeserializeOwned>(
    file: &Path,
    schema: &serde_json::Value,
) -> Result<(String, T), String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let problems = |all: Vec<marllink_config::Problem>| {
        all.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    };
    let value = marllink_config::parse_with_schema(&name, &text, schema).map_err(problems)?;
    Ok((name, value))
}

/// Plays a matrix; true if nothing speaks against its first strategy.
fn model(
    file: &Path,
    plant: Option<marllink::InjectedBug>,
    seeds: Option<u64>,
    day: Option<String>,
    out: &Path,
    quiet: bool,
) -> Result<bool, String> {
    let (name, mut matrix): (_, marllink_fleet::Matrix) = read_by(file, &matrix::schema())?;
    matrix::sound(&name, &matrix)?;
    matrix.seeds = seeds.unwrap_or(matrix.seeds);
    if let Some(day) = day {
        matrix.scenarios.retain(|d| d.name == day);
        if matrix.scenarios.is_empty() {
            return Err(format!("{name}: there is no day \"{day}\""));
        }
    }
    if let Some(plant) = plant {
        matrix.strategies[0] = matrix.strategies[0].with_bug(plant);
        matrix.strategies.truncate(1);
    }
    let folder = balancers::folder(out, &matrix.name).map_err(|e| format!("{}: {e}", out.display()))?;
    let against = matrix::run(&matrix, &folder, quiet).map_err(|e| e.to_string())?;
    let shown = folder.strip_prefix(std::env::current_dir().unwrap_or_default()).unwrap_or(&folder);
    println!("results in {}", shown.display());
    match against.is_empty() {
        true => println!("{}: kept: no rule was broken and every bound holds", matrix.name),
        false => println!("{}: BROKEN:\n  {}", matrix.name, against.join("\n  ")),
    }
    Ok(against.is_empty())
}

fn read(file: &Path) -> Result<Experiment, String> {
    let (name, experiment): (_, Experiment) = read_by(file, &experiment::schema())?;
    let (hosts, balancers) = (experiment.fleet.hosts, experiment.fleet.balancers);
    for (at, fault) in experiment.faults.iter().enumerate() {
        let (host, balancer) = match fault.what {
            What::KillHost { host, .. } | What::StallHost { host, .. } | What::Drain { host, .. } => {
                (host, 0)
            }
            What::Split { host, balancer, .. } => (host, balancer),
            What::KillBalancer { balancer, .. }
            | What::StallBalancer { balancer, .. }
            | What::UpgradeBalancer { balancer } => (0, balancer),
        };
        if host >= hosts || balancer >= balancers {
            return Err(format!(
                "{name}: /faults/{at}/what: there is no such party; wanted: a form host under {hosts}, a balancer under {balancers}"
            ));
        }
    }
    Ok(experiment)
}

/// Runs an experiment; true if it is sound.
fn run(experiment: &Experiment, plant: Option<InjectedBug>, out: &Path, quiet: bool) -> Result<bool, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = balancers::folder(out, &experiment.name).map_err(|e| format!("{}: {e}", out.display()))?;
    let progress: fn(&Sample, &str) = if quiet { |_, _| {} } else { show };
    if !quiet {
        println!("{:>6} {:>8} {:>12} {:>8}  last fault", "second", "working", "connections", "held");
    }
    let options = run::Options { program, folder: folder.clone(), plant, progress };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let results = tokio::task::LocalSet::new()
        .block_on(&runtime, run::run(experiment, &options))
        .map_err(|e| e.to_string())?;
    results.write(&folder).map_err(|e| e.to_string())?;
    if !quiet {
        for (name, value) in &results.figures {
            println!("{name:>16} {value:.2}");
        }
        results.verdict.findings.iter().for_each(|finding| println!("  {finding}"));
    }
    let against = results.against();
    let shown = folder.strip_prefix(std::env::current_dir().unwrap_or_default()).unwrap_or(&folder);
    println!("results in {}", shown.display());
    match against.is_empty() {
        true => println!("{}: kept: no rule was broken and every bound holds", experiment.name),
        false => println!("{}: BROKEN: {}", experiment.name, against.join("; ")),
    }
    Ok(against.is_empty())
}

fn show(sample: &Sample, fault: &str) {
    let Sample { second, working, connections, held } = sample;
    println!("{second:>6} {working:>8} {connections:>12} {held:>8}  {fault}");
}

/// A form host is killed every 8 s, and one balancer in between.
fn demo(seconds: u32, drafters: usize) -> Experiment {
    let kill = |n: u32| Fault {
        at_s: f64::from(4 + 8 * n),
        what: What::KillHost { host: n as usize % 6, for_s: 3.0 },
    };
    let mut faults: Vec<_> = (0..seconds / 8).map(kill).collect();
    faults.push(Fault { at_s: 8.0, what: What::KillBalancer { balancer: 1, for_s: 1.0 } });
    Experiment {
        name: "demo".into(),
        seconds,
        seed: 1,
        fleet: Fleet {
            balancers: 2,
            hosts: 6,
            zones: 2,
            capacity: 1_000,
            clock_drift_percent: 0.0,
            late_news_ms: 1_000,
        },
        load: Load {
            drafters,
            over_s: 2.0,
            save_every_ms: 200.0,
            fields: 12,
            value_bytes: 24,
            in_flight: 4,
            thief_every_ms: 0.0,
        },
        sessions: Sessions { keepers: 3, lease_ms: 2_000, token_s: 120, rotate_keys_at_s: None },
        faults,
        verdict: Vec::new(),
    }
}
