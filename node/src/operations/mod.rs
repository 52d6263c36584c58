//! Operation of a running process: configuration, reload, handover, maintenance and shutdown.

pub mod active_settings;
pub mod admin;
pub mod config;
pub mod features;
pub mod file;
pub mod handover;
pub mod maintenance;
pub mod reload;
pub mod shutdown;
pub mod state;
