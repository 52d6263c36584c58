//! A library for LD_PRELOAD that makes system calls of the program under test fail by plan.
//!
//! It stands in for functions of the C library. Each looks the call up in the plan, which the
//! environment gives, and either makes the call as it is, changes it, or fails it without making it.
//! Every fault that fires is written to the report, so that a test can tell that it did.

mod calls;
mod plan;
mod report;
