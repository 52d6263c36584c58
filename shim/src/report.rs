//! Report of injected faults: one line for each, in the file named by `MARLLINK_FAULT_REPORT`.

use crate::plan::Rule;
use std::ffi::CString;
use std::sync::OnceLock;

/// Reports that a rule injected a fault into a call. Makes system calls directly, because the C library's functions
/// are overridden by the shim.
pub fn record_fault(call: &str, rule: &Rule) {
    static REPORT: OnceLock<i64> = OnceLock::new();
    let descriptor = *REPORT.get_or_init(open);
    if descriptor < 0 {
        return;
    }
    let line = format!("{call} {}\n", rule.fault_text);
    // SAFETY: the pointer and the length are those of a string that outlives the call.
    unsafe { libc::syscall(libc::SYS_write, descriptor, line.as_ptr(), line.len()) };
}

fn open() -> i64 {
    let Some(path) = std::env::var("MARLLINK_FAULT_REPORT").ok().and_then(|path| CString::new(path).ok())
    else {
        return -1;
    };
    let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
    // SAFETY: the path is a C string that outlives the call.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0o600) }
}
