//! Moves bytes between a socket and a ring.

use crate::io::ring::{End, Ring};
use crate::io::transient;
use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Why a ring is filled no further.
#[derive(Debug)]
pub enum Filled {
    /// The sender has ended its sending.
    Closed,
    /// The connection broke.
    Broken(io::Error),
    /// What arrived was enough, or too much.
    Stopped,
    /// The direction has ended.
    DirectionEnded,
}

/// Fills the ring with what the socket brings, until the sender ends its sending, the connection
/// breaks, or the direction ends; `arrived` is called after each fill and tells whether to go on.
/// It is left to the caller to end the direction likewise.
pub async fn fill(stream: &TcpStream, ring: &Ring, mut arrived: impl FnMut() -> bool) -> Filled {
    while ring.room().await {
        // The direction may end while nothing comes.
        let readable = tokio::select! {
            readable = stream.readable() => readable,
            () = ring.closed() => return Filled::DirectionEnded,
        };
        // Both may be true. What would be read now would be lost to who goes on with the connection.
        if ring.ended() {
            return Filled::DirectionEnded;
        }
        match readable.and_then(|()| ring.fill(|room| stream.try_read(room))) {
            Ok(0) => return Filled::Closed,
            Ok(_) if arrived() => {}
            Ok(_) => return Filled::Stopped,
            Err(error) => {
                if let Err(error) = passing(error).await {
                    return Filled::Broken(error);
                }
            }
        }
    }
    Filled::DirectionEnded
}

/// Sends what the ring holds, and ends the direction on the socket as it ended in the ring. True
/// if the other direction may go on.
pub async fn empty(ring: &Ring, stream: &TcpStream) -> bool {
    loop {
        match ring.ready().await {
            None => {
                let written = stream.writable().await;
                if let Err(error) = written.and_then(|()| ring.empty(|bytes| stream.try_write(bytes)))
                    && passing(error).await.is_err()
                {
                    return false;
                }
            }
            Some(End::Closed) => return SockRef::from(stream).shutdown(Shutdown::Write).is_ok(),
            Some(End::Reset) => {
                reset(stream);
                return false;
            }
            Some(End::HandedOver) => return false,
            Some(End::ClosingMessage(line)) => {
                // Who does not take its last line in time does not get it.
                let _ = write_all(stream, line.as_bytes()).await;
                return false;
            }
        }
    }
}

/// Sends what the ring holds as [`empty`] does, and between two of its lines what is to come between them.
/// Only whole lines may be committed to such a ring. Unless it has `begun`, its first line comes first.
pub async fn empty_between(ring: &Ring, between: &Between, stream: &TcpStream, begun: bool) -> bool {
    let mut whole = begun;
    loop {
        if whole {
            let lines = between.take();
            if !lines.is_empty() && write_all(stream, &lines).await.is_err() {
                return false;
            }
        }
        let ready = tokio::select! {
            biased;
            () = between.some(), if whole => continue,
            ready = ring.ready() => ready,
        };
        if ready.is_some() {
            return empty(ring, stream).await;
        }
        let written = stream.writable().await.and_then(|()| {
            ring.empty(|bytes| {
                // To the end of a line and no further, if there is one.
                let end = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |at| at + 1);
                let n = stream.try_write(&bytes[..end])?;
                whole = n > 0 && bytes[n - 1] == b'\n';
                Ok(n)
            })
        });
        if let Err(error) = written
            && passing(error).await.is_err()
        {
            return false;
        }
    }
}

/// Lines that come between those of a ring.
#[derive(Debug, Default)]
pub struct Between {
    lines: RefCell<Vec<u8>>,
    added: Notify,
}

/// Who lets so many bytes wait does not read any more.
const MOST_BETWEEN: usize = 1024 * 1024;

impl Between {
    /// Adds whole lines. False if they are not taken: too much waits already.
    pub fn add(&self, lines: &[u8]) -> bool {
        let mut waiting = self.lines.borrow_mut();
        if waiting.len() + lines.len() > MOST_BETWEEN {
            return false;
        }
        waiting.extend_from_slice(lines);
        drop(waiting);
        self.added.notify_one();
        true
    }

    /// All that wait.
    pub fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.lines.borrow_mut())
    }

    /// True if none wait.
    pub fn is_empty(&self) -> bool {
        self.lines.borrow().is_empty()
    }

    /// Waits until there are some.
    pub async fn some(&self) {
        while self.is_empty() {
            self.added.notified().await;
        }
    }
}

/// Writes all bytes.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(error) => passing(error).await?,
        }
    }
    Ok(())
}

/// Writes what the socket takes at once, whether or not the event loop has heard that it takes any.
pub fn write_now(stream: &TcpStream, bytes: &[u8]) {
    // Who does not take its last line now does not get it.
    while let Err(error) = SockRef::from(stream).send(bytes) {
        if error.kind() != io::ErrorKind::Interrupted {
            return;
        }
    }
}

/// Adds what there is; false at the end of the connection.
///
/// # Errors
/// Fails if the connection is broken.
pub async fn read_more(stream: &TcpStream, to: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        stream.readable().await?;
        let before = to.len();
        to.reserve(4_096);
        match stream.try_read_buf(to) {
            Ok(_) => return Ok(to.len() > before),
            Err(error) => passing(error).await?,
        }
    }
}

/// Drops up to `most` bytes that have come, without copying them; false at the sender's end.
///
/// # Errors
/// Fails if the connection is broken.
pub async fn discard(stream: &TcpStream, most: usize) -> io::Result<bool> {
    loop {
        stream.readable().await?;
        let mut left = most;
        let dropped = stream.try_io(tokio::io::Interest::READABLE, || {
            while left > 0 {
                let mut unread = [MaybeUninit::uninit(); 32 * 1024];
                let piece = left.min(unread.len());
                // Truncating, TCP lets go of the bytes and leaves the buffer alone.
                match SockRef::from(stream).recv_with_flags(&mut unread[..piece], libc::MSG_TRUNC)? {
                    0 => return Ok(false),
                    n => left -= n,
                }
            }
            Ok(true)
        });
        match dropped {
            Err(error) => {
                passing(error).await?;
                // What has come is dropped; the end, if there is one, is seen next time.
                if left < most {
                    return Ok(true);
                }
            }
            done => return done,
        }
    }
}

/// Drops what has come and was not read, whether or not the event loop has heard of it: a close over unread bytes is
/// a reset, and what was written last may go with it.
pub fn drop_unread(stream: &TcpStream) {
    let mut unread = [MaybeUninit::uninit(); 32 * 1024];
    // Bounded, as a flood may come faster than it is dropped.
    for _ in 0..MOST_DROPS {
        match SockRef::from(stream).recv_with_flags(&mut unread, libc::MSG_TRUNC) {
            Ok(0) => return,
            Err(error) if !is_passing(&error) => return,
            Ok(_) | Err(_) => {}
        }
    }
}

/// So many times unread bytes are dropped right before a close.
const MOST_DROPS: usize = 64;

/// Has the socket reset when it is closed.
pub fn reset(stream: &TcpStream) {
    // It may be broken already, which is as good.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// True if the connection is as sound as before the call that failed like this.
fn is_passing(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted || transient::is_shortage(error)
}

/// Returns once a read or write that failed may be made again; the error if the connection is broken.
async fn passing(error: io::Error) -> io::Result<()> {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted => Ok(()),
        _ if transient::is_shortage(&error) => {
            transient::pause().await;
            Ok(())
        }
        _ => Err(error),
    }
}
