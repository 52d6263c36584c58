//! A listening socket that loses no connection to a failure that lasts a moment.

use crate::io::transient;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// So often a socket that was accepted is offered to the event loop.
const MOST_REGISTRATIONS: usize = 100;

/// A listening socket.
///
/// The runtime's own listener registers each connection as it accepts it, and closes one that it can't
/// register. Here both are steps of their own, so that the second can be made again.
#[derive(Debug)]
pub struct Listener {
    /// Only waited for and accepted from: the runtime tells of a stream when it is ready.
    socket: TcpStream,
}

impl Listener {
    /// Listens at an address. Two processes may do so, each with a queue of its own.
    ///
    /// # Errors
    /// Fails if the system lets nobody listen there.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        // A balancer starts again under its address at once.
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Self::from_std(socket.into())
    }

    /// Goes on with a socket that listens already.
    ///
    /// # Errors
    /// Fails if the event loop does not take it.
    pub fn from_std(listener: std::net::TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let socket = std::net::TcpStream::from(OwnedFd::from(listener));
        Ok(Self { socket: TcpStream::from_std(socket)? })
    }

    /// Waits for a connection.
    ///
    /// # Errors
    /// Fails if none can be accepted now, for a reason that may last.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        loop {
            let accepted = self.socket.async_io(Interest::READABLE, || self.accept_one()).await;
            match accepted {
                Ok(stream) => return register(stream).await,
                Err(error) if is_of_one_connection(&error) => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// A connection that waits to be accepted, whether or not the event loop has heard of it.
    pub fn accept_waiting(&self) -> Option<std::net::TcpStream> {
        loop {
            match self.accept_one() {
                Ok(stream) => return Some(stream),
                Err(error) if is_of_one_connection(&error) => {}
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

/// True for an error that tells of the connection at the head of the queue, which is gone with it.
fn is_of_one_connection(error: &io::Error) -> bool {
    let of_one = [libc::ECONNABORTED, libc::EPROTO, libc::EINTR, libc::ENETDOWN, libc::ENETUNREACH];
    error.raw_os_error().is_some_and(|number| of_one.contains(&number))
}

/// Has the event loop take an accepted connection. It has been taken off the queue, and its client is owed an
/// answer: a shortage is waited for.
///
/// # Errors
/// Fails if the shortage lasts.
pub async fn register(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    let mut spare = stream;
    for _ in 0..MOST_REGISTRATIONS {
        let Ok(offered) = spare.try_clone() else {
            transient::pause().await;
            continue;
        };
        match TcpStream::from_std(std::mem::replace(&mut spare, offered)) {
            Ok(stream) => return Ok(stream),
            Err(error) if transient::is_shortage(&error) => transient::pause().await,
            Err(error) => return Err(error),
        }
    }
    TcpStream::from_std(spare)
}
