//! A library for `LD_PRELOAD` that makes system calls of the program under test fail according to a plan.
//!
//! It overrides functions of the C library. Each override looks up the call in the plan, which is set by environment
//! variables, and then makes the call unchanged, makes it with a modification, or fails without making it. Every
//! injected fault is written to a report, so that a test can verify that it occurred.

mod calls;
mod plan;
mod report;
