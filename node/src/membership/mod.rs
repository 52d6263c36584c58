//! Which form hosts there are, and where they are reached.

pub mod directory;
pub mod discovery;
