//! Connects to a peer, retrying transient local failures.

use crate::io::clock::{Clock, Millis};
use crate::io::transient;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Why a connection attempt failed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The peer refused the connection or is unreachable.
    #[error("{0}")]
    Failed(io::Error),
    /// A local failure, which says nothing about the peer's health.
    #[error("{0} (local)")]
    Local(io::Error),
    /// The connection was not established in time.
    #[error("no connection in time")]
    TimedOut,
}

/// Connects within `timeout_ms` milliseconds. Attempts that fail for a local reason are repeated until then.
///
/// # Errors
/// Fails if the peer refuses the connection, is unreachable, or the timeout expires.
pub async fn connect(
    clock: &Clock,
    address: SocketAddr,
    timeout_ms: Millis,
) -> Result<TcpStream, ConnectError> {
    let deadline = clock.now() + timeout_ms;
    let mut local_error = None;
    loop {
        let remaining = deadline - clock.now();
        match clock.within(remaining, TcpStream::connect(address)).await {
            Some(Ok(stream)) => return Ok(stream),
            Some(Err(error)) if transient::is_local_connect_error(&error) => local_error = Some(error),
            Some(Err(error)) => return Err(ConnectError::Failed(error)),
            None => return Err(local_error.map_or(ConnectError::TimedOut, ConnectError::Local)),
        }
        transient::backoff().await;
    }
}
