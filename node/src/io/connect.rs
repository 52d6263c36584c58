//! Connects to a peer, through failures of this machine's own that last a moment.

use crate::io::clock::{Clock, Millis};
use crate::io::transient;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The peer refused it, or could not be reached.
    #[error("{0}")]
    Failed(io::Error),
    /// This machine could not make it: that tells nothing of the peer.
    #[error("{0} (local)")]
    Local(io::Error),
    /// Nothing came back in time.
    #[error("no connection in time")]
    TimedOut,
}

/// Connects within a time in milliseconds. A connect that fails on this machine is made again until then.
///
/// # Errors
/// Fails if the peer refuses, or time is over.
pub async fn connect(clock: &Clock, to: SocketAddr, within_ms: Millis) -> Result<TcpStream, ConnectError> {
    let until = clock.now() + within_ms;
    let mut local = None;
    loop {
        let left = until - clock.now();
        match clock.within(left, TcpStream::connect(to)).await {
            Some(Ok(stream)) => return Ok(stream),
            Some(Err(error)) if transient::is_local_to_connect(&error) => local = Some(error),
            Some(Err(error)) => return Err(ConnectError::Failed(error)),
            None => return Err(local.map_or(ConnectError::TimedOut, ConnectError::Local)),
        }
        transient::pause().await;
    }
}
