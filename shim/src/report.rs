//! Tells which faults have fired: a line each, in the file that `MARLLINK_FAULT_REPORT` names.

use crate::plan::Rule;
use std::ffi::CString;
use std::sync::OnceLock;

/// Writes that a rule has fired at a call. Uses system calls alone, as the functions of the C
/// library are the shim's own.
pub fn fired(call: &str, rule: &Rule) {
    static REPORT: OnceLock<i64> = OnceLock::new();
    let report = *REPORT.get_or_init(open);
    if report < 0 {
        return;
    }
    let line = format!("{call} {}\n", rule.name);
    // SAFETY: the pointer and the length are those of a string that outlives the call.
    unsafe { libc::syscall(libc::SYS_write, report, line.as_ptr(), line.len()) };
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
