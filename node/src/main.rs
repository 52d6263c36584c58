//! The real balancer: marllink's decisions on real sockets. No decision is made here.

mod admin;
mod client;
mod clock;
mod config;
mod core;
mod delay;
mod descriptors;
mod directory;
mod discovery;
mod exchange;
mod places;
mod protocol;
mod pump;
mod reload;
mod ring;
mod server;
mod shutdown;

use clock::Clock;
use config::Config;
use std::cell::Cell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

fn main() -> ExitCode {
    let config = match config::load(|name| std::env::var(name).ok(), |path| std::fs::read(path)) {
        Ok(config) => config,
        Err(message) => {
            eprintln!("marllink: {message}");
            return ExitCode::FAILURE;
        }
    };
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    let level = std::env::var("MARLLINK_LOG").ok().and_then(|level| level.parse().ok());
    log.with_max_level(level.unwrap_or(tracing::Level::INFO)).without_time().init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.and_then(|runtime| {
        let ended = tokio::task::LocalSet::new().block_on(&runtime, run(config));
        // What is still open is cut off; waiting for it would only delay the end.
        runtime.shutdown_background();
        ended
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marllink: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Serves until a planned end.
async fn run(config: Config) -> std::io::Result<()> {
    let term = shutdown::listen()?;
    let hangup = reload::listen()?;
    let listener = listen(config.listen)?;
    let clock = Clock::of_machine();
    let decisions = config.settings.decisions.clone();
    let names = config.settings.names.clone();
    let core = core::Core::new(clock.clone(), decisions.clone(), config.seed);
    let directory = Rc::new(directory::Directory::default());
    let descriptors = descriptors::Descriptors::new(config.sockets);
    let (orders, to_servers) = tokio::sync::mpsc::unbounded_channel();
    let discovery = discovery::Discovery::new(
        &core,
        clock.clone(),
        directory.clone(),
        config.discovery,
        names.zones.clone(),
    );
    let exchange = exchange::Exchange::new(
        core.clone(),
        clock.clone(),
        directory.clone(),
        descriptors.clone(),
        config.settings.clone(),
        orders,
    );
    let requests: std::rc::Weak<dyn core::Requests> = Rc::downgrade(&exchange) as _;
    core.connect(requests, discovery.clone());

    let servers = server::Servers {
        clock: clock.clone(),
        connect_timeout_ms: decisions.limits.connect_timeout_ms,
        reports: !names.report_fields.is_empty(),
    };
    tokio::task::spawn_local(servers.run(to_servers));
    discovery.start_from(&config.known);
    let serving = Rc::new(Cell::new(false));
    if let Some(address) = config.admin {
        let (clock, directory, descriptors) = (clock.clone(), directory, descriptors.clone());
        let door = admin::Admin::new(core.clone(), clock, directory, serving.clone(), descriptors);
        tokio::task::spawn_local(door.listen(listen(address)?));
    }
    let clients = Rc::new(client::Clients {
        exchange: exchange.clone(),
        clock: clock.clone(),
        openings: places::Places::new(descriptors.clone(), descriptors::Purpose::Opening),
        descriptors,
        retry_after_ms: if decisions.limits.retry_after { decisions.limits.max_retry_after_ms } else { 0.0 },
        serving,
        turned_away: Cell::default(),
    });
    tracing::info!(
        "{}: listening on {}, {} form hosts known",
        config.name,
        config.listen,
        config.known.targets.len()
    );
    tokio::select! {
        () = clients.clone().accept(listener) => {}
        () = clients.tell() => {}
        () = exchange.watch_over() => {}
        () = reload::follow(hangup, &config, &discovery) => {}
        () = shutdown::orderly(term, &clock, &exchange) => {}
    }
    Ok(())
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A balancer starts again under its address at once.
    socket.set_reuseaddr(true)?;
    let listening = socket.bind(address).and_then(|()| socket.listen(BACKLOG));
    listening.map_err(|e| std::io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))
}
