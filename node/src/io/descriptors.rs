//! Accounting of the file descriptors that the process may hold.
//!
//! Code that opens a socket acquires a [`Descriptor`] first and drops it after the socket, so that the count
//! is returned in one place.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors reserved for the process itself: standard streams, listeners, the event queue, signals, calls
/// to discovery, accepted connections that wait for a slot, and those that libraries open.
const PROCESS_RESERVE_COUNT: usize = 20;
/// One in this many descriptors is reserved for the admin interface, whatever clients do.
const ADMIN_DIVISOR: usize = 16;
/// Maximum number of descriptors reserved for the admin interface.
const MAX_ADMIN_COUNT: usize = 16;
/// Share of the remaining descriptors for connections that have not sent a request yet or are being rejected.
/// The rest is for served connections, each of which needs a descriptor for the client and one for the
/// server. Pending connections may also use what these leave free, except for a reserve of the same size, so
/// that there is always room to serve.
const PENDING_RATIO: f64 = 0.25;

/// Number of unused descriptors that are kept when all others are released to a successor: for clients that
/// have connected without a request yet, and for their attempts.
const TRIM_HEADROOM_COUNT: usize = 16;

/// What a descriptor is used for. Each purpose has its own share, so that none starves another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A client connection that is served, or a connection to a server.
    Served,
    /// A new connection without a request yet.
    Pending,
    /// An admin request.
    Admin,
}

/// The pool of descriptors under the limit.
#[derive(Debug)]
pub struct Descriptors {
    limit: usize,
    used: [Cell<usize>; 3],
    /// Number of descriptors that a predecessor may hold.
    predecessor_reserve: Cell<usize>,
    /// Number of descriptors for served and pending connections together, since this process handed over.
    trimmed_to: Cell<Option<usize>>,
}

/// One acquired descriptor, returned to the pool when dropped.
#[derive(Debug)]
pub struct Descriptor {
    pool: Rc<Descriptors>,
    purpose: Purpose,
}

impl Descriptors {
    /// Creates a pool with `limit` descriptors, including those that the process needs for itself.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: Default::default(),
            predecessor_reserve: 0.into(),
            trimmed_to: Cell::default(),
        })
    }

    /// Returns the maximum number of descriptors for a purpose.
    fn capacity(&self, purpose: Purpose) -> usize {
        if let Some(total) = self.trimmed_to.get() {
            let without = |other| total.saturating_sub(self.in_use(other));
            return match purpose {
                Purpose::Served => without(Purpose::Pending),
                Purpose::Pending => without(Purpose::Served),
                Purpose::Admin => self.admin_capacity(),
            };
        }
        let limit = self.limit.saturating_sub(self.predecessor_reserve.get());
        // At least one connection may be pending, as otherwise none could even be rejected.
        let admin = self.admin_capacity();
        let available = limit.saturating_sub(PROCESS_RESERVE_COUNT + admin);
        let pending = ((available as f64 * PENDING_RATIO) as usize).max(1);
        match purpose {
            Purpose::Served => available.saturating_sub(pending.max(self.in_use(Purpose::Pending))),
            Purpose::Pending => pending.max(available.saturating_sub(self.in_use(Purpose::Served) + pending)),
            Purpose::Admin => admin,
        }
    }

    fn admin_capacity(&self) -> usize {
        (self.limit / ADMIN_DIVISOR).clamp(1, MAX_ADMIN_COUNT)
    }

    /// Reserves the number of descriptors that a predecessor may still hold.
    pub fn reserve_for_predecessor(&self, count: usize) {
        self.predecessor_reserve.set(count);
    }

    /// Releases all unused descriptors, except for some headroom, to a successor. Returns the number that
    /// this process may still hold, which never grows.
    pub fn trim(&self) -> usize {
        let total = self.in_use(Purpose::Served) + self.in_use(Purpose::Pending) + TRIM_HEADROOM_COUNT;
        let total = total.min(self.trimmed_to.get().unwrap_or(usize::MAX));
        self.trimmed_to.set(Some(total));
        PROCESS_RESERVE_COUNT + self.admin_capacity() + total + self.predecessor_reserve.get()
    }

    /// Reclaims the released descriptors: there is no successor.
    pub fn undo_trim(&self) {
        self.trimmed_to.set(None);
    }

    /// Returns the number of descriptors in use for a purpose.
    pub fn in_use(&self, purpose: Purpose) -> usize {
        self.used[purpose as usize].get()
    }

    /// Acquires a descriptor for this purpose if one is available.
    pub fn acquire(self: &Rc<Self>, purpose: Purpose) -> Option<Descriptor> {
        let used = &self.used[purpose as usize];
        (used.get() < self.capacity(purpose)).then(|| {
            used.set(used.get() + 1);
            Descriptor { pool: self.clone(), purpose }
        })
    }
}

impl Descriptors {
    /// Accounts for a descriptor that arrived with a socket from a predecessor, which has released it. It
    /// exists already, so no limit applies.
    pub fn adopt(self: &Rc<Self>) -> Descriptor {
        let used = &self.used[Purpose::Served as usize];
        used.set(used.get() + 1);
        Descriptor { pool: self.clone(), purpose: Purpose::Served }
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let used = &self.pool.used[self.purpose as usize];
        used.set(used.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn purposes_do_not_starve_each_other_and_descriptors_are_returned() {
        let pool = Descriptors::new(PROCESS_RESERVE_COUNT + 32);
        let acquire_all = |purpose| std::iter::from_fn(|| pool.acquire(purpose)).collect::<Vec<_>>();
        let available_counts =
            || [Purpose::Served, Purpose::Pending, Purpose::Admin].map(|p| acquire_all(p).len());
        let taken = [Purpose::Served, Purpose::Pending, Purpose::Admin].map(acquire_all);
        assert_eq!(taken.each_ref().map(Vec::len), [22, 7, 3]);
        assert_eq!(available_counts(), [0, 0, 0]);
        drop(taken);
        assert_eq!(
            available_counts(),
            [22, 22, 3],
            "pending connections use descriptors that others leave free"
        );
        let pending = acquire_all(Purpose::Pending);
        assert_eq!(
            (pending.len(), available_counts()),
            (22, [7, 0, 3]),
            "a reserve for served connections remains"
        );
        drop(pending);
        let held = acquire_all(Purpose::Served);
        pool.reserve_for_predecessor(12);
        assert_eq!(available_counts(), [0, 4, 3], "descriptors of a predecessor are not available");
        pool.reserve_for_predecessor(0);
        assert_eq!(pool.trim(), PROCESS_RESERVE_COUNT + 3 + 22 + TRIM_HEADROOM_COUNT);
        drop(held);
        assert_eq!(pool.trim(), PROCESS_RESERVE_COUNT + 3 + TRIM_HEADROOM_COUNT);
        let later = acquire_all(Purpose::Served);
        assert_eq!(
            (later.len(), available_counts()),
            (TRIM_HEADROOM_COUNT, [0, 0, 3]),
            "released descriptors are not reclaimed"
        );
        let small = Descriptors::new(3);
        assert!(small.acquire(Purpose::Served).is_none());
        assert!(small.acquire(Purpose::Pending).is_some() && small.acquire(Purpose::Admin).is_some());
    }
}
