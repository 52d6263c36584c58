//! `marllink-lab`: experiments that run the real daemon against emulated clients, servers and discovery, with faults.

mod balancers;
mod daemon;
mod deployments;
mod experiment;
mod matrix;
mod noisy_clients;
mod recovery;
mod results;
mod run;
mod soak;

use clap::{Parser, Subcommand};
use experiment::{Experiment, Fault, FaultKind, Fleet, Load, Sessions};
use marllink_emulator::model::InjectedBug;
use results::Sample;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs experiments with the real daemon against emulated clients, servers and discovery, on loopback addresses.
#[derive(Debug, Parser)]
#[command(name = "marllink-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an experiment. Exits with 0 only if no rule is violated and all bounds hold.
    Run {
        /// Experiment file.
        file: PathBuf,
        /// Inject this bug, which the experiment must find.
        #[arg(long = "plant", value_name = "NAME")]
        injected_bug: Option<String>,
        /// Folder in which the folder of results is created.
        #[arg(long = "out", value_name = "FOLDER", default_value = "target/lab")]
        results_folder: PathBuf,
        /// Print only the verdict.
        #[arg(long)]
        quiet: bool,
    },
    /// Run servers, discovery, balancers and clients, kill servers and a balancer, and show what happens to
    /// the clients' sessions.
    Demo {
        /// Duration, in seconds.
        #[arg(long, default_value_t = 30)]
        seconds: u32,
        /// Number of clients.
        #[arg(long = "drafters", value_name = "DRAFTERS", default_value_t = 60)]
        clients: usize,
    },
    /// Simulate a whole fleet in virtual time, for each scenario, strategy and seed. Exits with 0 only if no
    /// invariant is violated and all bounds hold.
    Model {
        /// Matrix file.
        file: PathBuf,
        /// Inject this bug into the first strategy, which the bounds must find.
        #[arg(long = "plant", value_name = "NAME", value_parser = parse_model_bug)]
        injected_bug: Option<marllink::InjectedBug>,
        /// Number of seeds, instead of the number in the file.
        #[arg(long, value_name = "COUNT", value_parser = clap::value_parser!(u64).range(1..=100))]
        seeds: Option<u64>,
        /// Run only this scenario.
        #[arg(long = "day", value_name = "NAME")]
        scenario: Option<String>,
        /// Folder in which the folder of results is created.
        #[arg(long = "out", value_name = "FOLDER", default_value = "target/lab")]
        results_folder: PathBuf,
        /// Print only the verdict.
        #[arg(long)]
        quiet: bool,
    },
    /// Run the real daemon for a few seconds on each of several randomly drawn deployments. Exits with 0 only if
    /// no rule of the protocol is violated.
    Deployments {
        /// Number of the first deployment.
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Number of deployments.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=200))]
        count: u64,
        /// Inject a bug that must be found: discovery records drains as sent without sending them.
        #[arg(long = "plant-untold")]
        hides_drains: bool,
        /// Folder in which the daemons' folders are created.
        #[arg(long = "out", value_name = "FOLDER", default_value = "target/lab")]
        results_folder: PathBuf,
    },
    /// Run slow, unfinished and noisy clients beside ordinary ones. Exits with 0 only if the memory limit holds
    /// and ordinary clients are served as before.
    NoisyClients {
        /// Run only this kind of noise.
        #[arg(long, value_enum)]
        noise: Option<noisy_clients::Noise>,
        /// Folder in which the daemons' folders are created.
        #[arg(long = "out", value_name = "FOLDER", default_value = "target/lab")]
        results_folder: PathBuf,
    },
    /// Run many real processes under randomly drawn faults. Exits with 0 only if no rule is violated.
    Soak {
        /// Range of seeds, both ends included, as in 1..50.
        #[arg(long, default_value = "1..3", value_parser = parse_seeds)]
        seeds: std::ops::RangeInclusive<u64>,
        /// Run only this seed.
        #[arg(long, conflicts_with = "seeds")]
        replay: Option<u64>,
        /// Number of balancers in each run.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=400))]
        processes: u16,
        /// Time over which clients arrive in each run, in seconds.
        #[arg(long, default_value_t = 6.0)]
        seconds: f64,
        /// Inject only this kind of faults.
        #[arg(long)]
        fault: Option<soak::FaultKind>,
        /// Inject this bug, which must be found.
        #[arg(long = "plant", value_name = "PLANT")]
        injected_bug: Option<soak::InjectedBug>,
        /// Fail if a planned fault never fires.
        #[arg(long)]
        all_must_fire: bool,
        /// Folder in which the folders of the runs are created.
        #[arg(long = "out", value_name = "FOLDER", default_value = "target/lab")]
        results_folder: PathBuf,
    },
    /// Print the JSON schema of a kind of input files.
    Schema {
        /// Kind of files.
        #[arg(value_enum, value_name = "OF", default_value_t = FileKind::Experiment)]
        kind: FileKind,
    },
    /// Run as the daemon under test, configured by the same environment variables as `marllink`.
    #[command(hide = true)]
    Daemon,
}

/// The kinds of input files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum FileKind {
    /// Experiments of `run`.
    Experiment,
    /// Experiments of `run` on the recovery of several balancers.
    #[value(name = "come-back")]
    Recovery,
    /// Matrices of `model`.
    Matrix,
}

/// Parses the name of a bug that can be injected into a strategy.
fn parse_model_bug(name: &str) -> Result<marllink::InjectedBug, String> {
    serde_json::from_value(serde_json::Value::from(name)).map_err(|e| e.to_string())
}

/// Parses a range of seeds, `FIRST..LAST`, both ends included.
fn parse_seeds(text: &str) -> Result<std::ops::RangeInclusive<u64>, String> {
    let (first, last) = text.split_once("..").ok_or("expected FIRST..LAST")?;
    let number = |text: &str| text.parse::<u64>().map_err(|e| e.to_string());
    Ok(number(first)?..=number(last)?)
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Daemon => return marllink_node::serve(&marllink_node::Options::default()),
        Command::Schema { kind } => {
            let schema = match kind {
                FileKind::Matrix => matrix::schema(),
                FileKind::Experiment => experiment::schema(),
                FileKind::Recovery => recovery::schema(),
            };
            println!("{schema:#}");
            Ok(true)
        }
        Command::Deployments { first, count, hides_drains, results_folder } => {
            balancers::create_results_folder(&results_folder, "deployments")
                .map_err(|e| e.to_string())
                .and_then(|folder| deployments::run_sample(first, count, &folder, hides_drains))
        }
        Command::Model { file, injected_bug, seeds, scenario, results_folder, quiet } => {
            run_model(&file, injected_bug, seeds, scenario, &results_folder, quiet)
        }
        Command::NoisyClients { noise, results_folder } => {
            balancers::create_results_folder(&results_folder, "noisy-clients")
                .map_err(|e| e.to_string())
                .and_then(|folder| noisy_clients::run(noise, &folder))
        }
        Command::Soak {
            seeds,
            replay,
            processes,
            seconds,
            fault,
            injected_bug,
            all_must_fire,
            results_folder,
        } => {
            let seeds = replay.map_or(seeds, |seed| seed..=seed);
            let processes = usize::from(processes);
            let only = fault;
            soak::run(&soak::Options {
                seeds,
                processes,
                seconds,
                only,
                injected_bug,
                all_must_fire,
                results_folder,
            })
        }
        Command::Run { file, injected_bug, results_folder, quiet } if is_recovery_experiment(&file) => {
            run_recovery(&file, injected_bug.as_deref(), &results_folder, quiet)
        }
        Command::Run { file, injected_bug, results_folder, quiet } => parse_bug(injected_bug.as_deref())
            .and_then(|injected_bug| run(&read_experiment(&file)?, injected_bug, &results_folder, quiet)),
        Command::Demo { seconds, clients } => {
            run(&demo_experiment(seconds, clients), None, Path::new("target/lab"), false)
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("marllink-lab: {message}");
            ExitCode::from(2)
        }
    }
}

/// Parses the name of a bug that can be injected into one kind of experiments.
fn parse_bug<P: std::str::FromStr<Err = String>>(name: Option<&str>) -> Result<Option<P>, String> {
    name.map(|name| name.parse().map_err(|e| format!("--plant {name}: {e}"))).transpose()
}

/// Returns true if a file is an experiment on recovery. Errors are left to the function that reads the whole file.
fn is_recovery_experiment(file: &Path) -> bool {
    let value =
        std::fs::read(file).ok().and_then(|text| serde_json::from_slice::<serde_json::Value>(&text).ok());
    value.is_some_and(|value| value.get("crowd").is_some())
}

/// Runs an experiment on recovery. Returns true if it passes.
fn run_recovery(
    file: &Path,
    injected_bug: Option<&str>,
    results_folder: &Path,
    quiet: bool,
) -> Result<bool, String> {
    let injected_bug = parse_bug(injected_bug)?;
    let (name, experiment): (_, recovery::RecoveryExperiment) = read_with_schema(file, &recovery::schema())?;
    recovery::validate(&experiment).map_err(|e| format!("{name}: {e}"))?;
    let daemon_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = balancers::create_results_folder(results_folder, &experiment.name)
        .map_err(|e| format!("{}: {e}", results_folder.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let running = recovery::run(&experiment, daemon_program, &folder, injected_bug);
    let results = tokio::task::LocalSet::new().block_on(&runtime, running).map_err(|e| e.to_string())?;
    results.write(&folder).map_err(|e| e.to_string())?;
    if !quiet {
        println!(
            "{} requests, {} served, {} lost with their balancer, {} rejected or interrupted; {} attempts at deleted servers;\n\
             {:.2} attempts for each client in the worst second after a kill; service recovered after {:.1?} s",
            results.requests,
            results.served,
            results.lost_requests,
            results.rejected,
            results.stale_attempts,
            results.attempt_burst,
            results.recovery_s
        );
    }
    if results.late_answers > 0 {
        println!("{} late answers, caused by a loaded machine or a fault", results.late_answers);
    }
    match results.failures.as_slice() {
        [] => println!("{}: kept: no rule violated, all bounds hold", experiment.name),
        failures => {
            let displayed = &failures[..failures.len().min(8)];
            println!(
                "{}: BROKEN, {} failures:\n  {}",
                experiment.name,
                failures.len(),
                displayed.join("\n  ")
            );
        }
    }
    Ok(results.failures.is_empty())
}

/// Reads a file and checks it against its schema. Returns its name for error messages, and the value.
fn read_with_schema<T: serde::de::DeserializeOwned>(
    file: &Path,
    schema: &serde_json::Value,
) -> Result<(String, T), String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let format_problems = |all: Vec<marllink_config::Problem>| {
        all.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    };
    let value = marllink_config::parse_with_schema(&name, &text, schema).map_err(format_problems)?;
    Ok((name, value))
}

/// Runs a matrix. Returns true if its first strategy passes.
fn run_model(
    file: &Path,
    injected_bug: Option<marllink::InjectedBug>,
    seeds: Option<u64>,
    scenario: Option<String>,
    results_folder: &Path,
    quiet: bool,
) -> Result<bool, String> {
    let (name, mut matrix): (_, marllink_fleet::Matrix) = read_with_schema(file, &matrix::schema())?;
    matrix::validate(&name, &matrix)?;
    matrix.seeds = seeds.unwrap_or(matrix.seeds);
    if let Some(scenario_name) = scenario {
        matrix.scenarios.retain(|scenario| scenario.name == scenario_name);
        if matrix.scenarios.is_empty() {
            return Err(format!("{name}: unknown scenario \"{scenario_name}\""));
        }
    }
    if let Some(injected_bug) = injected_bug {
        matrix.strategies[0] = matrix.strategies[0].with_bug(injected_bug);
        matrix.strategies.truncate(1);
    }
    let folder = balancers::create_results_folder(results_folder, &matrix.name)
        .map_err(|e| format!("{}: {e}", results_folder.display()))?;
    let failures = matrix::run(&matrix, &folder, quiet).map_err(|e| e.to_string())?;
    let displayed = folder.strip_prefix(std::env::current_dir().unwrap_or_default()).unwrap_or(&folder);
    println!("results in {}", displayed.display());
    match failures.is_empty() {
        true => println!("{}: kept: no rule violated, all bounds hold", matrix.name),
        false => println!("{}: BROKEN:\n  {}", matrix.name, failures.join("\n  ")),
    }
    Ok(failures.is_empty())
}

/// Reads an experiment file and checks that all servers and balancers in it exist.
fn read_experiment(file: &Path) -> Result<Experiment, String> {
    let (name, experiment): (_, Experiment) = read_with_schema(file, &experiment::schema())?;
    let (servers, balancers) = (experiment.fleet.servers, experiment.fleet.balancers);
    for (index, fault) in experiment.faults.iter().enumerate() {
        let (server, balancer) = match fault.kind {
            FaultKind::KillServer { server, .. }
            | FaultKind::StallServer { server, .. }
            | FaultKind::Drain { server, .. } => (server, 0),
            FaultKind::Partition { server, balancer, .. } => (server, balancer),
            FaultKind::KillBalancer { balancer, .. }
            | FaultKind::StallBalancer { balancer, .. }
            | FaultKind::UpgradeBalancer { balancer } => (0, balancer),
        };
        if server >= servers || balancer >= balancers {
            return Err(format!(
                "{name}: /faults/{index}/what: the server must be less than {servers}, and the balancer less than {balancers}"
            ));
        }
    }
    Ok(experiment)
}

/// Runs an experiment. Returns true if it passes.
fn run(
    experiment: &Experiment,
    injected_bug: Option<InjectedBug>,
    results_folder: &Path,
    quiet: bool,
) -> Result<bool, String> {
    let daemon_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = balancers::create_results_folder(results_folder, &experiment.name)
        .map_err(|e| format!("{}: {e}", results_folder.display()))?;
    let progress: fn(&Sample, &str) = if quiet { |_, _| {} } else { print_sample };
    if !quiet {
        println!("{:>6} {:>8} {:>12} {:>8}  last fault", "second", "working", "connections", "held");
    }
    let options = run::Options { daemon_program, results_folder: folder.clone(), injected_bug, progress };
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
    let failures = results.failures();
    let displayed = folder.strip_prefix(std::env::current_dir().unwrap_or_default()).unwrap_or(&folder);
    println!("results in {}", displayed.display());
    match failures.is_empty() {
        true => println!("{}: kept: no rule violated, all bounds hold", experiment.name),
        false => println!("{}: BROKEN: {}", experiment.name, failures.join("; ")),
    }
    Ok(failures.is_empty())
}

/// Prints a sample of a running experiment as a row of the table.
fn print_sample(sample: &Sample, fault: &str) {
    let Sample { second, connected_clients, connections, held_sessions } = sample;
    println!("{second:>6} {connected_clients:>8} {connections:>12} {held_sessions:>8}  {fault}");
}

/// Returns the experiment of `demo`: a server is killed every 8 s, and a balancer once.
fn demo_experiment(seconds: u32, clients: usize) -> Experiment {
    let kill_server = |n: u32| Fault {
        at_s: f64::from(4 + 8 * n),
        kind: FaultKind::KillServer { server: n as usize % 6, for_s: 3.0 },
    };
    let mut faults: Vec<_> = (0..seconds / 8).map(kill_server).collect();
    faults.push(Fault { at_s: 8.0, kind: FaultKind::KillBalancer { balancer: 1, for_s: 1.0 } });
    Experiment {
        name: "demo".into(),
        duration_s: seconds,
        seed: 1,
        fleet: Fleet {
            balancers: 2,
            servers: 6,
            zones: 2,
            capacity: 1_000,
            clock_drift_percent: 0.0,
            discovery_delay_ms: 1_000,
        },
        load: Load {
            clients,
            arrival_s: 2.0,
            save_interval_ms: 200.0,
            field_count: 12,
            value_bytes: 24,
            max_unconfirmed: 4,
            impostor_interval_ms: 0.0,
        },
        sessions: Sessions { replicas: 3, lease_ms: 2_000, token_s: 120, rotate_keys_at_s: None },
        faults,
        bounds: Vec::new(),
    }
}
