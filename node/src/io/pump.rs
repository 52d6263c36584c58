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

/// Why filling a ring stopped.
#[derive(Debug)]
pub enum FillEnd {
    /// The sender closed its sending side.
    Closed,
    /// The connection failed.
    Broken(io::Error),
    /// The callback requested a stop: enough data has arrived, or too much.
    Stopped,
    /// The direction has ended.
    DirectionEnded,
}

/// Why flushing a ring stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlushEnd {
    /// The direction was closed in order; the other one may continue.
    Closed,
    /// The direction ended in another way.
    Ended,
    /// The connection failed.
    Broken,
}

/// Fills the ring from the socket until the sender closes, the connection fails or the direction ends.
/// `on_data` is called after each read and returns whether to continue. The caller is responsible for ending
/// the direction accordingly.
pub async fn fill(stream: &TcpStream, ring: &Ring, mut on_data: impl FnMut() -> bool) -> FillEnd {
    while ring.wait_for_space().await {
        // The direction may end while no data arrives.
        let readable = tokio::select! {
            readable = stream.readable() => readable,
            () = ring.wait_for_end() => return FillEnd::DirectionEnded,
        };
        // Data may have arrived at the same moment as the end. Bytes read now would be lost to the process
        // that takes over the connection.
        if ring.has_ended() {
            return FillEnd::DirectionEnded;
        }
        match readable.and_then(|()| ring.fill(|space| stream.try_read(space))) {
            Ok(0) => return FillEnd::Closed,
            Ok(_) if on_data() => {}
            Ok(_) => return FillEnd::Stopped,
            Err(error) => {
                if let Err(error) = recover(error).await {
                    return FillEnd::Broken(error);
                }
            }
        }
    }
    FillEnd::DirectionEnded
}

/// Sends the ring's committed bytes, and ends the direction on the socket as it ended in the ring.
pub async fn flush(ring: &Ring, stream: &TcpStream) -> FlushEnd {
    loop {
        match ring.ready().await {
            None => {
                let written = stream.writable().await;
                if let Err(error) = written.and_then(|()| ring.consume(|bytes| stream.try_write(bytes)))
                    && recover(error).await.is_err()
                {
                    return FlushEnd::Broken;
                }
            }
            Some(End::Closed) => {
                return match SockRef::from(stream).shutdown(Shutdown::Write) {
                    Ok(()) => FlushEnd::Closed,
                    Err(_) => FlushEnd::Broken,
                };
            }
            Some(End::Reset) => {
                reset(stream);
                return FlushEnd::Ended;
            }
            Some(End::HandedOver) => return FlushEnd::Ended,
            Some(End::ClosingMessage(line)) => {
                // Best effort: a client that does not read its closing message in time does not receive it.
                return match write_all(stream, line.as_bytes()).await {
                    Ok(()) => FlushEnd::Ended,
                    Err(_) => FlushEnd::Broken,
                };
            }
        }
    }
}

/// Sends the ring's committed bytes as [`flush`] does, and inserts the interleaved lines between two of its
/// lines. Only whole lines may be committed to such a ring. Unless `first_line_sent` is true, the ring's
/// first line is sent first.
pub async fn flush_interleaved(
    ring: &Ring,
    interleaved: &InterleavedLines,
    stream: &TcpStream,
    first_line_sent: bool,
) -> FlushEnd {
    let mut at_line_start = first_line_sent;
    loop {
        if at_line_start {
            let lines = interleaved.take();
            if !lines.is_empty() && write_all(stream, &lines).await.is_err() {
                return FlushEnd::Broken;
            }
        }
        let ready = tokio::select! {
            biased;
            () = interleaved.wait_for_lines(), if at_line_start => continue,
            ready = ring.ready() => ready,
        };
        if ready.is_some() {
            return flush(ring, stream).await;
        }
        let written = stream.writable().await.and_then(|()| {
            ring.consume(|bytes| {
                // Up to the end of the current line, if it is complete.
                let end = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |at| at + 1);
                let n = stream.try_write(&bytes[..end])?;
                at_line_start = n > 0 && bytes[n - 1] == b'\n';
                Ok(n)
            })
        });
        if let Err(error) = written
            && recover(error).await.is_err()
        {
            return FlushEnd::Broken;
        }
    }
}

/// Lines to be sent between those of a ring. Links to lease replicas use the same queue for their frames.
#[derive(Debug, Default)]
pub struct InterleavedLines {
    lines: RefCell<Vec<u8>>,
    added: Notify,
}

/// Maximum size of the waiting lines. A peer that lets more accumulate is no longer reading.
const MAX_INTERLEAVED_BYTES: usize = 1024 * 1024;

impl InterleavedLines {
    /// Adds whole lines. Returns false, and adds nothing, if the waiting lines would exceed the maximum size.
    pub fn push(&self, lines: &[u8]) -> bool {
        let mut waiting = self.lines.borrow_mut();
        if waiting.len() + lines.len() > MAX_INTERLEAVED_BYTES {
            return false;
        }
        waiting.extend_from_slice(lines);
        drop(waiting);
        self.added.notify_one();
        true
    }

    /// Removes and returns all waiting lines.
    pub fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.lines.borrow_mut())
    }

    /// Returns true if no lines are waiting.
    pub fn is_empty(&self) -> bool {
        self.lines.borrow().is_empty()
    }

    /// Waits until there are lines.
    pub async fn wait_for_lines(&self) {
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
            Err(error) => recover(error).await?,
        }
    }
    Ok(())
}

/// Writes what the socket accepts immediately, even if the event loop has not reported it as writable.
pub fn write_now(stream: &TcpStream, bytes: &[u8]) {
    // Best effort: a closing message that does not fit into the socket's buffer now is dropped.
    while let Err(error) = SockRef::from(stream).send(bytes) {
        if error.kind() != io::ErrorKind::Interrupted {
            return;
        }
    }
}

/// Appends available bytes to the buffer. Returns false at the end of the stream.
///
/// # Errors
/// Fails if the connection is broken.
pub async fn read_more(stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        stream.readable().await?;
        let before = buffer.len();
        buffer.reserve(4_096);
        match stream.try_read_buf(buffer) {
            Ok(_) => return Ok(buffer.len() > before),
            Err(error) => recover(error).await?,
        }
    }
}

/// Discards up to `max_bytes` received bytes without copying them. Returns false at the end of the stream.
///
/// # Errors
/// Fails if the connection is broken.
pub async fn discard(stream: &TcpStream, max_bytes: usize) -> io::Result<bool> {
    loop {
        stream.readable().await?;
        let mut remaining = max_bytes;
        let dropped = stream.try_io(tokio::io::Interest::READABLE, || {
            while remaining > 0 {
                let mut unread = [MaybeUninit::uninit(); 32 * 1024];
                let length = remaining.min(unread.len());
                // With MSG_TRUNC, TCP discards the bytes without writing to the buffer.
                match SockRef::from(stream).recv_with_flags(&mut unread[..length], libc::MSG_TRUNC)? {
                    0 => return Ok(false),
                    n => remaining -= n,
                }
            }
            Ok(true)
        });
        match dropped {
            Err(error) => {
                recover(error).await?;
                // Some bytes were discarded; the end of the stream, if reached, is seen by the next call.
                if remaining < max_bytes {
                    return Ok(true);
                }
            }
            result => return result,
        }
    }
}

/// Discards received bytes that were not read, even if the event loop has not reported them. Closing a socket
/// with unread bytes sends a reset, which may drop the last bytes written.
pub fn drop_unread(stream: &TcpStream) {
    let mut unread = [MaybeUninit::uninit(); 32 * 1024];
    // Bounded, as data may arrive faster than it is discarded.
    for _ in 0..MAX_DROP_ROUNDS {
        match SockRef::from(stream).recv_with_flags(&mut unread, libc::MSG_TRUNC) {
            Ok(0) => return,
            Err(error) if !is_recoverable(&error) => return,
            Ok(_) | Err(_) => {}
        }
    }
}

/// Maximum number of rounds in which unread bytes are discarded right before a close.
const MAX_DROP_ROUNDS: usize = 64;

/// Makes the socket send a reset when it is closed.
pub fn reset(stream: &TcpStream) {
    // An error means that the connection is already broken, which has the same effect.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Returns true if the failed call left the connection intact.
fn is_recoverable(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted || transient::is_shortage(error)
}

/// Waits until a failed read or write may be retried. Returns the error if the connection is broken.
pub async fn recover(error: io::Error) -> io::Result<()> {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted => Ok(()),
        _ if transient::is_shortage(&error) => {
            transient::backoff().await;
            Ok(())
        }
        _ => Err(error),
    }
}
