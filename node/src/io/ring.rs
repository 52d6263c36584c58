//! The buffer between a client and its form host, one for each direction of a connection.
//!
//! One side fills a ring from its socket, the other empties it into its own. A ring is bounded:
//! when it is full its socket is not read, and so the peer is held back. What has been filled is
//! passed on only once it is committed, which lets the down direction pass on whole lines.

use std::cell::RefCell;
use std::io;
use tokio::sync::Notify;

/// Room in a ring: the longest line twice over, so that one can come in while another goes out.
pub const CAPACITY: usize = 8 * 1024;

/// How a direction ends, once all that was committed has gone out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The sender has ended its sending; the other direction may go on.
    Closed,
    /// The connection broke.
    Reset,
    /// This line goes out, and then the connection is closed in both directions.
    ClosingMessage(String),
    /// Another process goes on with the connection. Only a ring that is idle may end so.
    HandedOver,
}

/// A bounded byte queue with one task that fills it and one that empties it.
#[derive(Debug)]
pub struct Ring {
    state: RefCell<State>,
    filled: Notify,
    emptied: Notify,
}

#[derive(Debug)]
struct State {
    bytes: Box<[u8]>,
    /// Where the oldest byte lies.
    head: usize,
    /// Bytes that may go out.
    committed: usize,
    /// Bytes after those, which may not yet.
    held: usize,
    end: Option<End>,
}

impl State {
    fn free(&self) -> usize {
        self.bytes.len() - self.committed - self.held
    }
}

impl Ring {
    /// An empty ring.
    pub fn new() -> Self {
        Self::with_capacity(CAPACITY)
    }

    fn with_capacity(capacity: usize) -> Self {
        let bytes = vec![0; capacity].into_boxed_slice();
        let state = State { bytes, head: 0, committed: 0, held: 0, end: None };
        Self { state: RefCell::new(state), filled: Notify::new(), emptied: Notify::new() }
    }

    /// Waits until there is room. False if the direction has ended, so that none is needed.
    pub async fn room(&self) -> bool {
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
            self.emptied.notified().await;
        }
    }

    /// Lets `read` put bytes into free room, in one piece; it tells how many.
    pub fn fill(&self, read: impl FnOnce(&mut [u8]) -> io::Result<usize>) -> io::Result<usize> {
        let state = &mut *self.state.borrow_mut();
        let capacity = state.bytes.len();
        let from = (state.head + state.committed + state.held) % capacity;
        let to = (from + state.free()).min(capacity);
        let n = read(&mut state.bytes[from..to])?;
        state.held += n;
        Ok(n)
    }

    /// The first held line, its line end included, if it is whole.
    pub fn line(&self) -> Option<Vec<u8>> {
        let state = self.state.borrow();
        let capacity = state.bytes.len();
        let start = state.head + state.committed;
        let held = (0..state.held).map(|i| state.bytes[(start + i) % capacity]);
        let end = held.clone().position(|b| b == b'\n')?;
        Some(held.take(end + 1).collect())
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.state.borrow().held
    }

    /// Passes on the first `n` bytes held.
    pub fn commit(&self, n: usize) {
        let mut state = self.state.borrow_mut();
        let n = n.min(state.held);
        state.held -= n;
        state.committed += n;
        drop(state);
        self.filled.notify_one();
    }

    /// Takes the first `n` bytes held out, whatever is committed before them: those after move up.
    pub fn take(&self, n: usize) {
        let state = &mut *self.state.borrow_mut();
        let (capacity, n) = (state.bytes.len(), n.min(state.held));
        let start = state.head + state.committed;
        for i in 0..state.held - n {
            state.bytes[(start + i) % capacity] = state.bytes[(start + i + n) % capacity];
        }
        state.held -= n;
        self.emptied.notify_one();
    }

    /// Drops the first `n` bytes held. Only to be called while nothing is committed.
    pub fn discard(&self, n: usize) {
        let state = &mut *self.state.borrow_mut();
        debug_assert_eq!(state.committed, 0, "what is dropped must come first");
        let n = n.min(state.held);
        state.held -= n;
        state.head = (state.head + n) % state.bytes.len();
        self.emptied.notify_one();
    }

    /// Ends the direction; the first end holds. Bytes still held are part of a line that will
    /// never be whole: they go out before a close, as the sender sent them, and else not at all.
    pub fn end(&self, end: End) {
        let mut state = self.state.borrow_mut();
        if state.end.is_some() {
            return;
        }
        let held = std::mem::take(&mut state.held);
        if end == End::Closed {
            state.committed += held;
        }
        state.end = Some(end);
        drop(state);
        self.filled.notify_one();
        self.emptied.notify_one();
    }

    /// True if nothing is under way, and the direction has not ended.
    pub fn idle(&self) -> bool {
        let state = self.state.borrow();
        state.committed + state.held == 0 && state.end.is_none()
    }

    /// True once the direction has ended.
    pub fn ended(&self) -> bool {
        self.state.borrow().end.is_some()
    }

    /// True if the direction has ended because the connection broke.
    pub fn broken(&self) -> bool {
        self.state.borrow().end == Some(End::Reset)
    }

    /// Waits until the direction has ended. For the task that fills the ring.
    pub async fn closed(&self) {
        while !self.ended() {
            self.emptied.notified().await;
        }
    }

    /// Waits until there is something to send; the end, if that is all there is.
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
            self.filled.notified().await;
        }
    }

    /// Lets `write` take committed bytes, in one piece; it tells how many.
    pub fn empty(&self, write: impl FnOnce(&[u8]) -> io::Result<usize>) -> io::Result<usize> {
        let mut state = self.state.borrow_mut();
        let to = (state.head + state.committed).min(state.bytes.len());
        let n = write(&state.bytes[state.head..to])?;
        state.head = (state.head + n) % state.bytes.len();
        state.committed -= n;
        drop(state);
        self.emptied.notify_one();
        Ok(n)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn put(ring: &Ring, bytes: &[u8]) -> usize {
        ring.fill(|room| {
            let n = room.len().min(bytes.len());
            room[..n].copy_from_slice(&bytes[..n]);
            Ok(n)
        })
        .expect("no socket is read")
    }

    fn take(ring: &Ring) -> Vec<u8> {
        let mut all = Vec::new();
        let mut more = true;
        while more {
            more = ring
                .empty(|bytes| {
                    all.extend_from_slice(bytes);
                    Ok(bytes.len())
                })
                .expect("no socket is written")
                > 0;
        }
        all
    }

    #[test]
    fn lines_come_out_whole_and_in_order_round_the_end_of_the_buffer() {
        let ring = Ring::with_capacity(8);
        let (mut sent, mut got) = (Vec::new(), Vec::new());
        for i in 0..50u8 {
            let line = [b'a' + i % 26, b'\r', b'\n'];
            for byte in line {
                assert_eq!(put(&ring, &[byte]), 1);
                assert_eq!(take(&ring), b"", "a line that is not whole must not go out");
                if byte == b'\n' {
                    assert_eq!(ring.line().as_deref(), Some(&line[..]));
                    ring.commit(line.len());
                }
            }
            sent.extend(line);
            got.extend(take(&ring));
        }
        assert_eq!(sent, got);
    }

    #[test]
    fn a_line_can_be_taken_out_between_what_is_committed_and_what_is_held() {
        let ring = Ring::with_capacity(8);
        put(&ring, b"xxxx");
        ring.commit(4);
        assert_eq!(take(&ring), b"xxxx");
        put(&ring, b"a\nbb");
        ring.commit(2);
        put(&ring, b"\ncc\n");
        assert_eq!(ring.line().as_deref(), Some(&b"bb\n"[..]));
        ring.take(3);
        assert_eq!(ring.line().as_deref(), Some(&b"cc\n"[..]));
        ring.commit(3);
        assert_eq!(take(&ring), b"a\ncc\n");
    }

    #[test]
    fn a_ring_is_idle_while_it_holds_nothing_and_has_not_ended() {
        let ring = Ring::new();
        assert!(ring.idle());
        put(&ring, b"half");
        assert!(!ring.idle());
        ring.commit(4);
        assert!(!ring.idle());
        take(&ring);
        assert!(ring.idle());
        ring.end(End::HandedOver);
        assert!(!ring.idle());
    }

    #[tokio::test(flavor = "current_thread")]
    async fn a_full_ring_gives_no_room_until_it_is_emptied() {
        let ring = Ring::with_capacity(4);
        assert_eq!(put(&ring, b"abcdef"), 4);
        ring.commit(4);
        tokio::select! {
            biased;
            _ = ring.room() => panic!("there is none"),
            () = std::future::ready(()) => {}
        }
        assert_eq!(take(&ring), b"abcd");
        assert!(ring.room().await);
    }

    #[tokio::test(flavor = "current_thread")]
    async fn what_was_committed_goes_out_before_the_end_and_half_a_line_only_before_a_close() {
        for (end, expected) in [
            (End::Closed, &b"one\r\ntw"[..]),
            (End::Reset, &b"one\r\n"[..]),
            (End::ClosingMessage("MOVE\r\n".into()), &b"one\r\n"[..]),
        ] {
            let ring = Ring::new();
            put(&ring, b"one\r\ntw");
            ring.commit(5);
            ring.end(end.clone());
            ring.end(End::Reset);
            assert_eq!(ring.ready().await, None);
            assert_eq!(take(&ring), expected);
            assert_eq!(ring.ready().await, Some(end));
        }
    }
}
