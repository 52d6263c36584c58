//! Where form hosts are reached. Discovery writes it, the exchange reads it.

use marllink::ServerId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::Notify;

/// Addresses by id. A form host stays known once it has left the list, as connections that were
/// open at it may still be named.
#[derive(Debug, Default)]
pub struct Directory {
    addresses: RefCell<HashMap<ServerId, SocketAddr>>,
    told: Cell<bool>,
    changed: Notify,
}

impl Directory {
    /// Takes note of an address.
    pub fn insert(&self, server: ServerId, address: SocketAddr) {
        self.addresses.borrow_mut().insert(server, address);
        self.changed.notify_waiters();
    }

    /// Where a form host is reached.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.borrow().get(&server).copied()
    }

    /// All that were ever listed.
    pub fn all(&self) -> Vec<(ServerId, SocketAddr)> {
        self.addresses.borrow().iter().map(|(server, address)| (*server, *address)).collect()
    }

    /// Discovery itself has told of the form hosts: who is not known now may never be.
    pub fn tell(&self) {
        self.told.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until discovery has told.
    pub async fn told(&self) {
        while !self.told.get() {
            self.changed.notified().await;
        }
    }

    /// Waits until a form host is known.
    pub async fn known(&self, server: ServerId) {
        while self.address(server).is_none() {
            self.changed.notified().await;
        }
    }
}
