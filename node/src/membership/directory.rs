//! Server addresses. Written by discovery and read by the exchange.

use marllink::ServerId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::Notify;

/// Addresses by server id. A server stays known after it has left the list, as connections that were open to
/// it may still be referenced.
#[derive(Debug, Default)]
pub struct Directory {
    addresses: RefCell<HashMap<ServerId, SocketAddr>>,
    list_received: Cell<bool>,
    changed: Notify,
}

impl Directory {
    /// Records the address of a server.
    pub fn insert(&self, server: ServerId, address: SocketAddr) {
        self.addresses.borrow_mut().insert(server, address);
        self.changed.notify_waiters();
    }

    /// Returns the address of a server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.borrow().get(&server).copied()
    }

    /// Returns every server that was ever listed, with its address.
    pub fn all(&self) -> Vec<(ServerId, SocketAddr)> {
        self.addresses.borrow().iter().map(|(server, address)| (*server, *address)).collect()
    }

    /// Records that discovery itself has delivered a list: a server that is unknown now may never become
    /// known.
    pub fn mark_list_received(&self) {
        self.list_received.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until discovery has delivered a list.
    pub async fn wait_for_list(&self) {
        while !self.list_received.get() {
            self.changed.notified().await;
        }
    }

    /// Waits until the server is known.
    pub async fn wait_for_server(&self, server: ServerId) {
        while self.address(server).is_none() {
            self.changed.notified().await;
        }
    }
}
