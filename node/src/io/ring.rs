//! The buffer between a client and its server, one for each direction of a connection.
//!
//! One task fills the ring from one socket, another drains it to the other socket. A ring is bounded: while it
//! is full, its source socket is not read, which applies backpressure to the peer. Bytes become available to
//! the draining task only once they are committed, which allows the direction to the client to forward whole
//! lines.

use std::cell::RefCell;
use std::io;
use tokio::sync::Notify;

/// Capacity of a ring: twice the maximum line length, so that one line can arrive while another is sent.
pub const CAPACITY_BYTES: usize = 8 * 1024;

/// How a direction ends once all committed bytes are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The sender closed its sending side; the other direction may continue.
    Closed,
    /// The connection failed.
    Reset,
    /// This line is sent, and then the connection is closed in both directions.
    ClosingMessage(String),
    /// Another process takes over the connection. Only an idle ring may end this way.
    HandedOver,
}

/// A bounded byte queue with one task that fills it and one that drains it.
#[derive(Debug)]
pub struct Ring {
    state: RefCell<State>,
    committed_notify: Notify,
    space_notify: Notify,
}

#[derive(Debug)]
struct State {
    bytes: Box<[u8]>,
    /// Index of the oldest byte.
    head: usize,
    /// Number of bytes that may be sent.
    committed: usize,
    /// Number of bytes after the committed ones, which may not be sent yet.
    uncommitted: usize,
    end: Option<End>,
}

impl State {
    fn free(&self) -> usize {
        self.bytes.len() - self.committed - self.uncommitted
    }
}

impl Ring {
    /// Creates an empty ring.
    pub fn new() -> Self {
        Self::with_capacity(CAPACITY_BYTES)
    }

    fn with_capacity(capacity: usize) -> Self {
        let bytes = vec![0; capacity].into_boxed_slice();
        let state = State { bytes, head: 0, committed: 0, uncommitted: 0, end: None };
        Self { state: RefCell::new(state), committed_notify: Notify::new(), space_notify: Notify::new() }
    }

    /// Waits until there is free space. Returns false if the direction has ended, so that no space is needed.
    pub async fn wait_for_space(&self) -> bool {
        loop {
            {
                let state = self.state.borrow();
                if state.end.is_some() {
                    return false;
                }
                if state.free() > 0 {
                    return true;
                }
            }
            self.space_notify.notified().await;
        }
    }

    /// Lets `read` write into contiguous free space. `read` must return the number of bytes that it wrote.
    pub fn fill(&self, read: impl FnOnce(&mut [u8]) -> io::Result<usize>) -> io::Result<usize> {
        let state = &mut *self.state.borrow_mut();
        let capacity = state.bytes.len();
        let start = (state.head + state.committed + state.uncommitted) % capacity;
        let end = (start + state.free()).min(capacity);
        let n = read(&mut state.bytes[start..end])?;
        state.uncommitted += n;
        Ok(n)
    }

    /// Returns the first uncommitted line, including its line end, if it is complete.
    pub fn peek_line(&self) -> Option<Vec<u8>> {
        let state = self.state.borrow();
        let capacity = state.bytes.len();
        let start = state.head + state.committed;
        let uncommitted = (0..state.uncommitted).map(|i| state.bytes[(start + i) % capacity]);
        let end = uncommitted.clone().position(|b| b == b'\n')?;
        Some(uncommitted.take(end + 1).collect())
    }

    /// Returns the number of uncommitted bytes.
    pub fn uncommitted(&self) -> usize {
        self.state.borrow().uncommitted
    }

    /// Commits the first `n` uncommitted bytes.
    pub fn commit(&self, n: usize) {
        let mut state = self.state.borrow_mut();
        let n = n.min(state.uncommitted);
        state.uncommitted -= n;
        state.committed += n;
        drop(state);
        self.committed_notify.notify_one();
    }

    /// Removes the first `n` uncommitted bytes, whether or not there are committed bytes before them. The
    /// bytes after them are moved up.
    pub fn remove(&self, n: usize) {
        let state = &mut *self.state.borrow_mut();
        let (capacity, n) = (state.bytes.len(), n.min(state.uncommitted));
        let start = state.head + state.committed;
        for i in 0..state.uncommitted - n {
            state.bytes[(start + i) % capacity] = state.bytes[(start + i + n) % capacity];
        }
        state.uncommitted -= n;
        self.space_notify.notify_one();
    }

    /// Drops the first `n` uncommitted bytes. Must only be called while nothing is committed.
    pub fn discard(&self, n: usize) {
        let state = &mut *self.state.borrow_mut();
        debug_assert_eq!(state.committed, 0, "dropped bytes must be the oldest");
        let n = n.min(state.uncommitted);
        state.uncommitted -= n;
        state.head = (state.head + n) % state.bytes.len();
        self.space_notify.notify_one();
    }

    /// Ends the direction; only the first call takes effect. Remaining uncommitted bytes belong to a line
    /// that will never be complete: they are sent before a close, as the sender sent them, and dropped
    /// otherwise.
    pub fn end(&self, end: End) {
        let mut state = self.state.borrow_mut();
        if state.end.is_some() {
            return;
        }
        let uncommitted = std::mem::take(&mut state.uncommitted);
        if end == End::Closed {
            state.committed += uncommitted;
        }
        state.end = Some(end);
        drop(state);
        self.committed_notify.notify_one();
        self.space_notify.notify_one();
    }

    /// Returns true if the ring is empty and the direction has not ended.
    pub fn is_idle(&self) -> bool {
        let state = self.state.borrow();
        state.committed + state.uncommitted == 0 && state.end.is_none()
    }

    /// Returns true once the direction has ended.
    pub fn has_ended(&self) -> bool {
        self.state.borrow().end.is_some()
    }

    /// Returns true if the direction ended because the connection failed.
    pub fn is_reset(&self) -> bool {
        self.state.borrow().end == Some(End::Reset)
    }

    /// Waits until the direction has ended. For use by the task that fills the ring.
    pub async fn wait_for_end(&self) {
        while !self.has_ended() {
            self.space_notify.notified().await;
        }
    }

    /// Waits until there are committed bytes. Returns the end instead if no committed bytes are left.
    pub async fn ready(&self) -> Option<End> {
        loop {
            {
                let state = self.state.borrow();
                if state.committed > 0 {
                    return None;
                }
                if state.end.is_some() {
                    return state.end.clone();
                }
            }
            self.committed_notify.notified().await;
        }
    }

    /// Lets `write` consume contiguous committed bytes. `write` must return the number of bytes that it
    /// consumed.
    pub fn consume(&self, write: impl FnOnce(&[u8]) -> io::Result<usize>) -> io::Result<usize> {
        let mut state = self.state.borrow_mut();
        let end = (state.head + state.committed).min(state.bytes.len());
        let n = write(&state.bytes[state.head..end])?;
        state.head = (state.head + n) % state.bytes.len();
        state.committed -= n;
        drop(state);
        self.space_notify.notify_one();
        Ok(n)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn write(ring: &Ring, bytes: &[u8]) -> usize {
        ring.fill(|space| {
            let n = space.len().min(bytes.len());
            space[..n].copy_from_slice(&bytes[..n]);
            Ok(n)
        })
        .expect("no socket is read")
    }

    fn drain(ring: &Ring) -> Vec<u8> {
        let mut all = Vec::new();
        let mut more = true;
        while more {
            more = ring
                .consume(|bytes| {
                    all.extend_from_slice(bytes);
                    Ok(bytes.len())
                })
                .expect("no socket is written")
                > 0;
        }
        all
    }

    #[test]
    fn lines_stay_whole_and_in_order_across_the_wrap_of_the_buffer() {
        let ring = Ring::with_capacity(8);
        let (mut sent, mut received) = (Vec::new(), Vec::new());
        for i in 0..50u8 {
            let line = [b'a' + i % 26, b'\r', b'\n'];
            for byte in line {
                assert_eq!(write(&ring, &[byte]), 1);
                assert_eq!(drain(&ring), b"", "an incomplete line must not be sent");
                if byte == b'\n' {
                    assert_eq!(ring.peek_line().as_deref(), Some(&line[..]));
                    ring.commit(line.len());
                }
            }
            sent.extend(line);
            received.extend(drain(&ring));
        }
        assert_eq!(sent, received);
    }

    #[test]
    fn a_line_can_be_removed_between_committed_and_uncommitted_bytes() {
        let ring = Ring::with_capacity(8);
        write(&ring, b"xxxx");
        ring.commit(4);
        assert_eq!(drain(&ring), b"xxxx");
        write(&ring, b"a\nbb");
        ring.commit(2);
        write(&ring, b"\ncc\n");
        assert_eq!(ring.peek_line().as_deref(), Some(&b"bb\n"[..]));
        ring.remove(3);
        assert_eq!(ring.peek_line().as_deref(), Some(&b"cc\n"[..]));
        ring.commit(3);
        assert_eq!(drain(&ring), b"a\ncc\n");
    }

    #[test]
    fn a_ring_is_idle_only_while_empty_and_not_ended() {
        let ring = Ring::new();
        assert!(ring.is_idle());
        write(&ring, b"half");
        assert!(!ring.is_idle());
        ring.commit(4);
        assert!(!ring.is_idle());
        drain(&ring);
        assert!(ring.is_idle());
        ring.end(End::HandedOver);
        assert!(!ring.is_idle());
    }

    #[tokio::test(flavor = "current_thread")]
    async fn a_full_ring_has_no_space_until_it_is_drained() {
        let ring = Ring::with_capacity(4);
        assert_eq!(write(&ring, b"abcdef"), 4);
        ring.commit(4);
        tokio::select! {
            biased;
            _ = ring.wait_for_space() => panic!("a full ring has no space"),
            () = std::future::ready(()) => {}
        }
        assert_eq!(drain(&ring), b"abcd");
        assert!(ring.wait_for_space().await);
    }

    #[tokio::test(flavor = "current_thread")]
    async fn committed_bytes_are_sent_before_the_end_and_a_partial_line_only_before_a_close() {
        for (end, expected) in [
            (End::Closed, &b"one\r\ntw"[..]),
            (End::Reset, &b"one\r\n"[..]),
            (End::ClosingMessage("MOVE\r\n".into()), &b"one\r\n"[..]),
        ] {
            let ring = Ring::new();
            write(&ring, b"one\r\ntw");
            ring.commit(5);
            ring.end(end.clone());
            ring.end(End::Reset);
            assert_eq!(ring.ready().await, None);
            assert_eq!(drain(&ring), expected);
            assert_eq!(ring.ready().await, Some(end));
        }
    }
}
