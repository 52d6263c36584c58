//! The known servers and their addresses.

pub mod directory;
pub mod discovery;
