//! Time, bytes and descriptors: what all other parts stand on.

pub mod clock;
pub mod connect;
pub mod descriptors;
pub mod listener;
pub mod places;
pub mod pump;
pub mod ring;
pub mod transient;
