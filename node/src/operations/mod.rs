//! What operators do to a running process, and what they tell it.

pub mod admin;
pub mod config;
pub mod features;
pub mod file;
pub mod handover;
pub mod maintenance;
pub mod reload;
pub mod shutdown;
pub mod state;
pub mod tuning;
