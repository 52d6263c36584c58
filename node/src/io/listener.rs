//! A listening socket that survives transient failures without losing a connection.

use crate::io::transient;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Maximum number of connections in the accept queue.
const BACKLOG: i32 = 1024;
/// Maximum number of attempts to register an accepted socket with the event loop.
const MAX_REGISTRATION_ATTEMPTS: usize = 100;

/// A listening socket.
///
/// Tokio's `TcpListener` registers each connection as it accepts it, and closes the connection if
/// registration fails. Here, accepting and registering are separate steps, so that registration can be
/// retried.
#[derive(Debug)]
pub struct Listener {
    /// Used only to wait for readiness and to accept: Tokio's `TcpStream` exposes readiness for arbitrary
    /// I/O.
    socket: TcpStream,
}

impl Listener {
    /// Binds and listens on an address. Two processes may listen on the same address, each with its own
    /// accept queue.
    ///
    /// # Errors
    /// Fails if the operating system does not allow listening on the address.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        // Lets a restarted balancer bind its address immediately.
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Self::from_std(socket.into())
    }

    /// Wraps a socket that is already listening.
    ///
    /// # Errors
    /// Fails if the socket can't be registered with the event loop.
    pub fn from_std(listener: std::net::TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let socket = std::net::TcpStream::from(OwnedFd::from(listener));
        Ok(Self { socket: TcpStream::from_std(socket)? })
    }

    /// Waits for and accepts a connection.
    ///
    /// # Errors
    /// Fails if no connection can be accepted now for a reason that may persist.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        loop {
            let accepted = self.socket.async_io(Interest::READABLE, || self.accept_one()).await;
            match accepted {
                Ok(stream) => return register(stream).await,
                Err(error) if is_per_connection(&error) => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Accepts a connection from the queue if there is one, even if the event loop has not reported readiness
    /// yet.
    pub fn try_accept(&self) -> Option<std::net::TcpStream> {
        loop {
            match self.accept_one() {
                Ok(stream) => return Some(stream),
                Err(error) if is_per_connection(&error) => {}
                Err(_) => return None,
            }
        }
    }

    fn accept_one(&self) -> io::Result<std::net::TcpStream> {
        SockRef::from(&self.socket).accept().map(|(socket, _)| socket.into())
    }
}

impl AsFd for Listener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}

/// Returns true if the error concerns only the connection at the head of the queue, which the kernel has
/// already removed.
fn is_per_connection(error: &io::Error) -> bool {
    let per_connection = [libc::ECONNABORTED, libc::EPROTO, libc::EINTR, libc::ENETDOWN, libc::ENETUNREACH];
    error.raw_os_error().is_some_and(|number| per_connection.contains(&number))
}

/// Registers an accepted connection with the event loop. The connection is no longer in the accept queue and
/// its client expects an answer, so a resource shortage is waited out.
///
/// # Errors
/// Fails if the shortage persists.
pub async fn register(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    let mut duplicate = stream;
    for _ in 0..MAX_REGISTRATION_ATTEMPTS {
        let Ok(next_duplicate) = duplicate.try_clone() else {
            transient::backoff().await;
            continue;
        };
        match TcpStream::from_std(std::mem::replace(&mut duplicate, next_duplicate)) {
            Ok(stream) => return Ok(stream),
            Err(error) if transient::is_shortage(&error) => transient::backoff().await,
            Err(error) => return Err(error),
        }
    }
    TcpStream::from_std(duplicate)
}
