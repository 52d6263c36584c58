//! The balancer's life as a process: it starts, alone or in the place of another, serves, and ends.

use crate::backend::server;
use crate::exchange::session_driver::SessionDriver;
use crate::frontend::line as frontend;
use crate::io::clock::{Clock, Millis};
use crate::io::listener::Listener;
use crate::io::{descriptors, places};
use crate::membership::{directory, discovery};
use crate::operations::config::{self, Config};
use crate::operations::features::{self, Features};
use crate::operations::file;
use crate::operations::handover::{self, Heritage};
use crate::operations::{admin, maintenance, reload, shutdown, state, tuning};
use crate::{core, exchange};
use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// How to serve, besides what the environment says.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The operators' file.
    pub operators: Option<PathBuf>,
    /// The log is JSON, an object a line.
    pub json_log: bool,
}

/// For so long it is tried to listen; a balancer has to be ready within seconds.
const LISTEN_MS: Millis = 2_000.0;
/// So long after one try follows the next.
const LISTEN_AGAIN_MS: Millis = 50.0;

/// Serves as the environment says, until a planned end; what `marllink` without arguments does.
pub fn serve(options: &Options) -> ExitCode {
    // A log that can't be written is no reason to end: the library would tell of that by a panic.
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).log_internal_errors(false);
    let log = log.with_ansi(false).with_target(false);
    let level = variable("MARLLINK_LOG").and_then(|level| level.parse().ok());
    let log = log.with_max_level(level.unwrap_or(tracing::Level::INFO));
    if options.json_log {
        log.json().flatten_event(true).init();
    } else {
        log.without_time().init();
    }
    let operators = features::path(options.operators.clone());
    let features = match features::load(operators.as_deref()) {
        Ok(features) => features,
        Err(message) => return failed(&message),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return failed(&error.to_string()),
    };
    let ended = tokio::task::LocalSet::new().block_on(&runtime, start(features, operators));
    // What is still open is cut off; waiting for it would only delay the end.
    runtime.shutdown_background();
    ended.map_or_else(|message| failed(&message), |()| ExitCode::SUCCESS)
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn failed(message: &str) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "marllink: {message}");
    ExitCode::FAILURE
}

/// Starts in the place of a process that serves already, if there is one.
async fn start(features: Features, operators: Option<PathBuf>) -> Result<(), String> {
    // Before all else: a signal that comes unheard ends the process, and the file is read after it can be heard of.
    let signals = Signals::listen().map_err(|error| error.to_string())?;
    let clock = Clock::of_machine();
    let told = match variable(config::PATH_VARIABLE) {
        Some(path) => {
            let text = file::read(&clock, Path::new(&path)).await;
            config::load(variable, |_| text.as_ref().map(Clone::clone).map_err(config::copied))
        }
        None => config::load(variable, |path| std::fs::read(path)),
    };
    let listen = match &told {
        Ok(config) => Some(config.listen),
        // What was in force may do in its place; where to ask for it is told by the variable as well.
        Err(_) => variable("NODE_LISTEN").and_then(|text| text.parse().ok()),
    };
    let meeting = listen.map(handover::path);
    let heritage = match &meeting {
        Some(path) => handover::ask(path, &clock).await,
        None => None,
    };
    let (config, heritage) = match heritage {
        None => (told?, None),
        Some(heritage) => {
            let before = &heritage.snapshot;
            match config::inherit(told.clone(), &before.config, before.discovery, variable) {
                Ok(config) => (config, Some(heritage)),
                Err(message) => {
                    tracing::warn!("the process before hands nothing over: {message}");
                    (told?, None)
                }
            }
        }
    };
    let run = run(config, clock, heritage, features, operators.as_deref(), signals);
    run.await.map_err(|error| error.to_string())
}

/// The signals that are heard.
struct Signals {
    term: Signal,
    hangup: Signal,
}

impl Signals {
    fn listen() -> std::io::Result<Self> {
        Ok(Self { term: shutdown::listen()?, hangup: reload::listen()? })
    }
}

/// Serves until a planned end.
async fn run(
    config: Config,
    clock: Clock,
    heritage: Option<Heritage>,
    features: Features,
    operators: Option<&Path>,
    Signals { term, hangup }: Signals,
) -> std::io::Result<()> {
    let core = core::Core::new(clock.clone(), config.settings.balancing.clone(), config.seed);
    let directory = Rc::new(directory::Directory::default());
    let descriptors = descriptors::Descriptors::new(config.sockets);
    let tuning = tuning::Tuning::new(config.settings.clone());
    let (orders, to_servers) = tokio::sync::mpsc::unbounded_channel();
    let (adopted, to_clients) = tokio::sync::mpsc::unbounded_channel();
    let discovery = discovery::Discovery::new(
        &core,
        clock.clone(),
        directory.clone(),
        config.discovery,
        config.settings.names.zones.clone(),
        config.settings.balancing.discovery == marllink::Discovery::Push,
    );
    let resume = match (&features.operators.sessions, features.keys) {
        (Some(sessions), Some(keys)) => {
            let mut seed = [0; 32];
            getrandom::fill(&mut seed).map_err(|e| std::io::Error::other(e.to_string()))?;
            Some(SessionDriver::new(
                clock.clone(),
                sessions.settings(),
                keys,
                seed,
                directory.clone(),
                descriptors.clone(),
                tuning.clone(),
            ))
        }
        _ => None,
    };
    let exchange = exchange::Exchange::new(
        core.clone(),
        clock.clone(),
        directory.clone(),
        descriptors.clone(),
        tuning.clone(),
        exchange::Sides { orders, adopted },
        resume.clone(),
    );
    if let Some(resume) = &resume {
        resume.connect(Rc::downgrade(&exchange));
        discovery.tell_sessions(resume.clone());
        tracing::info!("sessions are on: form hosts are asked to keep them");
    }
    let requests: std::rc::Weak<dyn core::Requests> = Rc::downgrade(&exchange) as _;
    core.connect(requests, discovery.clone());
    let handover = handover::Handover::new(
        core.clone(),
        clock.clone(),
        exchange.clone(),
        descriptors.clone(),
        discovery.clone(),
        directory.clone(),
        config.text.clone(),
    );

    let state = match &features.operators.store {
        Some(store) => {
            let folder = operators.and_then(Path::parent).unwrap_or(Path::new("")).join(&store.folder);
            let parts = state::Parts {
                core: core.clone(),
                clock: clock.clone(),
                discovery: discovery.clone(),
                directory: directory.clone(),
                descriptors: descriptors.clone(),
                tuning: tuning.clone(),
            };
            Some((state::State::new(parts, store, &folder, config.seed)?, folder))
        }
        None => None,
    };
    let servers = server::Servers { clock: clock.clone(), tuning: tuning.clone() };
    tokio::task::spawn_local(servers.run(to_servers));
    let path = handover::path(config.listen);
    let (listener, successors) = match heritage {
        None => {
            match &state {
                Some((state, folder)) => state.start(&config.known, folder),
                None => discovery.start_from(&config.known),
            }
            (listen(&clock, config.listen).await?, handover::listen(&path))
        }
        Some(heritage) => {
            let (before, link, clients, successors) = heritage.parts();
            for (server, address) in &before.addresses {
                directory.insert(*server, *address);
            }
            discovery.start_from(&before.list);
            handover.follow(before, link);
            (clients, Ok(successors))
        }
    };
    if let Some((state, _)) = state {
        tokio::task::spawn_local(state.follow());
    }
    let maintenance =
        maintenance::Maintenance::new(core.clone(), clock.clone(), maintenance::path(config.listen));
    maintenance.look();
    let own = handover::lies_there(&path);
    let listener = Rc::new(listener);
    match successors {
        Ok(successors) => {
            tokio::task::spawn_local(handover.clone().listen(successors, listener.clone()));
        }
        // An upgrade will be a plain restart then; that is no reason not to serve.
        Err(error) => tracing::warn!("no successor can ask at {}: {error}", path.display()),
    }
    if let Some(address) = config.admin {
        let door =
            admin::Admin::new(clock.clone(), handover.clone(), maintenance.clone(), descriptors.clone());
        tokio::task::spawn_local(door.listen(listen(&clock, address).await?));
    }
    let clients = Rc::new(frontend::LineFrontend {
        exchange: exchange.clone(),
        clock: clock.clone(),
        openings: places::Places::new(descriptors.clone(), descriptors::Purpose::Opening),
        descriptors,
        tuning: tuning.clone(),
        serving: handover.serving.subscribe(),
        ending: handover.ending.subscribe(),
        turned_away: Cell::default(),
    });
    let leaving = shutdown::Leaving {
        clock: &clock,
        tuning: &tuning,
        handover: &handover,
        clients: &clients,
        listener: &listener,
    };
    tracing::info!(
        "{}: listening on {}, {} form hosts known",
        config.name,
        config.listen,
        discovery.list().targets.len()
    );
    handover.serving.send_replace(true);
    tokio::select! {
        () = clients.clone().accept(&listener) => {}
        () = clients.clone().adopt(to_clients) => {}
        () = clients.tell() => {}
        () = exchange.watch_over() => {}
        () = maintenance.follow(), if config.admin.is_some() => {}
        () = reload::follow(hangup, &config, &tuning, &handover, operators) => {}
        () = leaving.orderly(term) => {}
    }
    if *handover.serving.borrow() && own == handover::lies_there(&path) {
        // Nobody has taken over, or laid a socket of its own there: there is nobody to ask any more.
        let _ = std::fs::remove_file(&path);
    }
    Ok(())
}

/// Listens at an address. What keeps others from listening there may be over soon, as when a process that has
/// held it ends.
async fn listen(clock: &Clock, address: SocketAddr) -> std::io::Result<Listener> {
    let until = clock.now() + LISTEN_MS;
    loop {
        match Listener::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if clock.now() >= until => {
                return Err(std::io::Error::new(
                    error.kind(),
                    format!("cannot listen on {address}: {error}"),
                ));
            }
            Err(error) => {
                tracing::warn!(%error, "cannot listen on {address} yet");
                clock.sleep(LISTEN_AGAIN_MS).await;
            }
        }
    }
}
