//! The lifecycle of the balancer process: startup, alone or as the successor of another process, service,
//! and shutdown.

use crate::backend::server;
use crate::exchange::session_driver::SessionDriver;
use crate::frontend::line as frontend;
use crate::io::clock::{Clock, Millis};
use crate::io::listener::Listener;
use crate::io::{descriptors, slots};
use crate::membership::{directory, discovery};
use crate::operations::config::{self, Config};
use crate::operations::features::{self, Features};
use crate::operations::file;
use crate::operations::handover::{self, Inherited};
use crate::operations::{active_settings, admin, maintenance, reload, shutdown, state};
use crate::{core, exchange};
use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// Options besides those from the environment.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Path of the operators' configuration file.
    pub operators: Option<PathBuf>,
    /// Writes the log as JSON, one object per line.
    pub json_log: bool,
}

/// Maximum time to retry binding a listener, in milliseconds; a balancer has to be ready within seconds.
const BIND_TIMEOUT_MS: Millis = 2_000.0;
/// Interval between attempts to bind a listener, in milliseconds.
const BIND_RETRY_MS: Millis = 50.0;

/// Runs the balancer as configured by the environment until it is shut down. This is what `marllink` without
/// a subcommand does.
pub fn serve(options: &Options) -> ExitCode {
    // A log that cannot be written must not end the process: the library would report it with a panic.
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).log_internal_errors(false);
    let log = log.with_ansi(false).with_target(false);
    let level = env_var("MARLLINK_LOG").and_then(|level| level.parse().ok());
    let log = log.with_max_level(level.unwrap_or(tracing::Level::INFO));
    if options.json_log {
        log.json().flatten_event(true).init();
    } else {
        log.without_time().init();
    }
    let operators = features::path(options.operators.clone());
    let features = match features::load(operators.as_deref()) {
        Ok(features) => features,
        Err(message) => return exit_with_error(&message),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(&error.to_string()),
    };
    let result = tokio::task::LocalSet::new().block_on(&runtime, start(features, operators));
    // Tasks that are still running are dropped; waiting for them would only delay the exit.
    runtime.shutdown_background();
    result.map_or_else(|message| exit_with_error(&message), |()| ExitCode::SUCCESS)
}

fn env_var(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn exit_with_error(message: &str) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "marllink: {message}");
    ExitCode::FAILURE
}

/// Starts the process, as the successor of one that is already serving if there is one.
async fn start(features: Features, operators: Option<PathBuf>) -> Result<(), String> {
    // Signal handlers come first: an unhandled SIGHUP or SIGTERM ends the process, and a SIGHUP that arrives
    // while the configuration is read must reload it.
    let signals = Signals::listen().map_err(|error| error.to_string())?;
    let clock = Clock::system();
    let configured = match env_var(config::PATH_VARIABLE) {
        Some(path) => {
            let text = file::read_with_retries(&clock, Path::new(&path)).await;
            config::load(env_var, |_| text.as_ref().map(Clone::clone).map_err(config::clone_error))
        }
        None => config::load(env_var, |path| std::fs::read(path)),
    };
    let listen = match &configured {
        Ok(config) => Some(config.listen),
        // The configuration of the predecessor may be used instead. The predecessor is found by the listen
        // address, which may be set in the environment alone.
        Err(_) => env_var("NODE_LISTEN").and_then(|text| text.parse().ok()),
    };
    let handover_path = listen.map(handover::path);
    let inherited = match &handover_path {
        Some(path) => handover::request(path, &clock).await,
        None => None,
    };
    let (config, inherited) = match inherited {
        None => (configured?, None),
        Some(inherited) => {
            let predecessor = &inherited.snapshot;
            match config::inherit(configured.clone(), &predecessor.config, predecessor.discovery, env_var) {
                Ok(config) => (config, Some(inherited)),
                Err(message) => {
                    tracing::warn!("no handover from the predecessor: {message}; starting without its state");
                    (configured?, None)
                }
            }
        }
    };
    let running = run(config, clock, inherited, features, operators.as_deref(), signals);
    running.await.map_err(|error| error.to_string())
}

/// The signals that the process handles.
struct Signals {
    term: Signal,
    hangup: Signal,
}

impl Signals {
    fn listen() -> std::io::Result<Self> {
        Ok(Self { term: shutdown::listen()?, hangup: reload::listen()? })
    }
}

/// Serves until a planned shutdown.
async fn run(
    config: Config,
    clock: Clock,
    inherited: Option<Inherited>,
    features: Features,
    operators: Option<&Path>,
    Signals { term, hangup }: Signals,
) -> std::io::Result<()> {
    let core = core::Core::new(clock.clone(), config.settings.balancing.clone(), config.seed);
    let directory = Rc::new(directory::Directory::default());
    let descriptors = descriptors::Descriptors::new(config.sockets);
    let settings = active_settings::ActiveSettings::new(config.settings.clone());
    let (backend_commands, backend_receiver) = tokio::sync::mpsc::unbounded_channel();
    let (adopted_clients, adopted_receiver) = tokio::sync::mpsc::unbounded_channel();
    let discovery = discovery::Discovery::new(
        &core,
        clock.clone(),
        directory.clone(),
        config.discovery,
        config.settings.names.zones.clone(),
        config.settings.balancing.discovery == marllink::Discovery::Push,
    );
    let session_driver = match (&features.operators.sessions, features.keys) {
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
                settings.clone(),
            ))
        }
        _ => None,
    };
    let exchange = exchange::Exchange::new(
        core.clone(),
        clock.clone(),
        directory.clone(),
        descriptors.clone(),
        settings.clone(),
        exchange::Channels { backend_commands, adopted_clients },
        session_driver.clone(),
    );
    if let Some(session_driver) = &session_driver {
        session_driver.connect(Rc::downgrade(&exchange));
        discovery.attach_sessions(session_driver.clone());
        tracing::info!("sessions are enabled: servers replicate their state");
    }
    let request_actions: std::rc::Weak<dyn core::RequestActions> = Rc::downgrade(&exchange) as _;
    core.connect(request_actions, discovery.clone());
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
            let dependencies = state::Dependencies {
                core: core.clone(),
                clock: clock.clone(),
                discovery: discovery.clone(),
                directory: directory.clone(),
                descriptors: descriptors.clone(),
                settings: settings.clone(),
            };
            Some((state::StoredState::new(dependencies, store, &folder, config.seed)?, folder))
        }
        None => None,
    };
    let backend = server::Backend { clock: clock.clone(), settings: settings.clone() };
    tokio::task::spawn_local(backend.run(backend_receiver));
    let path = handover::path(config.listen);
    let (listener, successors) = match inherited {
        None => {
            match &state {
                Some((state, folder)) => state.start(&config.known_list, folder),
                None => discovery.start(&config.known_list),
            }
            (listen(&clock, config.listen).await?, handover::listen(&path))
        }
        Some(inherited) => {
            let (predecessor, link, clients, successors) = inherited.into_parts();
            for (server, address) in &predecessor.addresses {
                directory.insert(*server, *address);
            }
            discovery.start(&predecessor.list);
            handover.follow_predecessor(predecessor, link);
            (clients, Ok(successors))
        }
    };
    if let Some((state, _)) = state {
        tokio::task::spawn_local(state.run());
    }
    let maintenance =
        maintenance::Maintenance::new(core.clone(), clock.clone(), maintenance::path(config.listen));
    maintenance.refresh();
    let own_socket = handover::socket_identity(&path);
    let listener = Rc::new(listener);
    match successors {
        Ok(successors) => {
            tokio::task::spawn_local(handover.clone().listen(successors, listener.clone()));
        }
        // The balancer can serve without this socket; an upgrade is then a plain restart.
        Err(error) => tracing::warn!("cannot listen for a successor process at {}: {error}", path.display()),
    }
    if let Some(address) = config.admin {
        let admin =
            admin::Admin::new(clock.clone(), handover.clone(), maintenance.clone(), descriptors.clone());
        tokio::task::spawn_local(admin.listen(listen(&clock, address).await?));
    }
    let frontend = Rc::new(frontend::LineFrontend {
        exchange: exchange.clone(),
        clock: clock.clone(),
        pending_slots: slots::Slots::new(descriptors.clone(), descriptors::Purpose::Pending),
        descriptors,
        settings: settings.clone(),
        serving: handover.serving.subscribe(),
        terminating: handover.terminating.subscribe(),
        rejected_count: Cell::default(),
    });
    let shutdown = shutdown::Shutdown {
        clock: &clock,
        settings: &settings,
        handover: &handover,
        frontend: &frontend,
        listener: &listener,
    };
    tracing::info!(
        "{}: listening on {}, {} servers known",
        config.name,
        config.listen,
        discovery.list().targets.len()
    );
    handover.serving.send_replace(true);
    tokio::select! {
        () = frontend.clone().accept(&listener) => {}
        () = frontend.clone().adopt(adopted_receiver) => {}
        () = frontend.log_rejected() => {}
        () = exchange.monitor_servers() => {}
        () = maintenance.watch(), if config.admin.is_some() => {}
        () = reload::run(hangup, &config, &settings, &handover, operators) => {}
        () = shutdown.graceful(term) => {}
    }
    if *handover.serving.borrow() && own_socket == handover::socket_identity(&path) {
        // No successor has taken over or bound a socket of its own there, so the path would be stale.
        let _ = std::fs::remove_file(&path);
    }
    Ok(())
}

/// Listens on an address. Retries for a while, as the address may become free soon, for example when a
/// process that used it exits.
async fn listen(clock: &Clock, address: SocketAddr) -> std::io::Result<Listener> {
    let deadline = clock.now() + BIND_TIMEOUT_MS;
    loop {
        match Listener::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if clock.now() >= deadline => {
                return Err(std::io::Error::new(
                    error.kind(),
                    format!("cannot listen on {address}: {error}"),
                ));
            }
            Err(error) => {
                tracing::warn!(%error, "cannot listen on {address} yet, retrying");
                clock.sleep(BIND_RETRY_MS).await;
            }
        }
    }
}
