//! Fronts: by what protocols clients bring their requests.

pub mod line;
