//! Overrides of C library functions.

use crate::plan::{self, Fault, Target};
use crate::report;
use libc::{
    c_char, c_int, c_long, c_void, epoll_event, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec,
};
use std::ffi::CStr;
use std::time::Duration;

/// Nanoseconds in a millisecond.
const NANOS_PER_MS: i64 = 1_000_000;
/// Nanoseconds in a second.
const NANOS_PER_S: i64 = 1_000_000_000;

fn set_errno(error_number: c_int) {
    // SAFETY: the location belongs to the current thread.
    unsafe { *libc::__errno_location() = error_number };
}

/// Returns the port of an IPv4 socket address, or `None` for other address families.
///
/// # Safety
/// `address` must point to a socket address of at least `length` bytes.
unsafe fn port_of(address: *const sockaddr, length: socklen_t) -> Option<u16> {
    if address.is_null() || (length as usize) < size_of::<libc::sockaddr_in>() {
        return None;
    }
    // SAFETY: the caller guarantees the length, and the read does not require alignment.
    let address = unsafe { address.cast::<libc::sockaddr_in>().read_unaligned() };
    (c_int::from(address.sin_family) == libc::AF_INET).then(|| u16::from_be(address.sin_port))
}

/// Returns the port that `getsockname` or `getpeername` reports, given as the number of the system call.
fn port_from_syscall(syscall_number: c_long, socket: c_int) -> Option<u16> {
    // SAFETY: an address of zero bytes is valid.
    let mut address: libc::sockaddr_in = unsafe { std::mem::zeroed() };
    let mut length = size_of::<libc::sockaddr_in>() as socklen_t;
    // SAFETY: the kernel writes at most `length` bytes to the address.
    let result = unsafe { libc::syscall(syscall_number, socket, &raw mut address, &raw mut length) };
    if result < 0 {
        return None;
    }
    // SAFETY: the pointer and the length are those of a local variable.
    unsafe { port_of((&raw const address).cast(), length) }
}

/// Returns a TCP socket as a target, or `None` for other files.
fn socket_target(socket: c_int) -> Option<Target> {
    let local_port = port_from_syscall(libc::SYS_getsockname, socket)?;
    Some(Target::Socket([local_port, port_from_syscall(libc::SYS_getpeername, socket).unwrap_or(0)]))
}

/// Returns the fault that applies to a call, after reporting it, setting `errno` and waiting as it requires.
fn inject_fault(call: &str, target: impl Fn() -> Option<Target>) -> Option<Fault> {
    let rule = plan::find_rule(call, target)?;
    report::record_fault(call, rule);
    match rule.fault {
        Fault::Error(error_number) => set_errno(error_number),
        Fault::Delay(ms) => std::thread::sleep(Duration::from_millis(u64::from(ms))),
        _ => {}
    }
    Some(rule.fault)
}

/// Returns the number of bytes that a call may transfer, or `None` if it must fail.
fn permitted_bytes(fault: Option<Fault>, requested_bytes: size_t) -> Option<size_t> {
    match fault {
        Some(Fault::Error(_)) => None,
        Some(Fault::Short | Fault::FalseSuccess) => Some(requested_bytes.min(1)),
        _ => Some(requested_bytes),
    }
}

/// Overrides `socket`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let is_tcp = || (domain == libc::AF_INET && kind & 0xf == libc::SOCK_STREAM).then_some(Target::Other);
    if let Some(Fault::Error(_)) = inject_fault("socket", is_tcp) {
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// Overrides `bind`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn bind(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the caller guarantees a valid address.
    let target = || unsafe { port_of(address, length) }.map(|port| Target::Socket([port, 0]));
    if let Some(Fault::Error(_)) = inject_fault("bind", target) {
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_bind, socket, address, length) as c_int }
}

/// Overrides `connect`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the caller guarantees a valid address.
    let target = || unsafe { port_of(address, length) }.map(|port| Target::Socket([0, port]));
    if let Some(Fault::Error(_)) = inject_fault("connect", target) {
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_connect, socket, address, length) as c_int }
}

/// Overrides `accept4`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(Fault::Error(_)) = inject_fault("accept", || socket_target(socket)) {
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int }
}

/// Overrides `accept`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept(socket: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    // SAFETY: the arguments are passed on unchanged.
    unsafe { accept4(socket, address, length, 0) }
}

/// Overrides `recv`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let fault = inject_fault("recv", || socket_target(socket));
    if fault == Some(Fault::End) {
        return 0;
    }
    let Some(length) = permitted_bytes(fault, length) else { return -1 };
    // SAFETY: the arguments are passed on, with at most the given length.
    unsafe { libc::syscall(libc::SYS_recvfrom, socket, buffer, length, flags, 0, 0) as ssize_t }
}

/// Overrides `send`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let fault = inject_fault("send", || socket_target(socket));
    let Some(permitted) = permitted_bytes(fault, length) else { return -1 };
    if fault == Some(Fault::Twice) {
        // SAFETY: the arguments are passed on, with at most the given length.
        unsafe { libc::syscall(libc::SYS_sendto, socket, buffer, permitted, flags, 0, 0) };
    }
    // SAFETY: the arguments are passed on, with at most the given length.
    let sent = unsafe { libc::syscall(libc::SYS_sendto, socket, buffer, permitted, flags, 0, 0) as ssize_t };
    if fault == Some(Fault::FalseSuccess) { length as ssize_t } else { sent }
}

/// Overrides `shutdown`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn shutdown(socket: c_int, how: c_int) -> c_int {
    if let Some(Fault::Error(_)) = inject_fault("shutdown", || socket_target(socket)) {
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_shutdown, socket, how) as c_int }
}

/// Overrides `setsockopt`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn setsockopt(
    socket: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    if let Some(Fault::Error(_)) = inject_fault("setsockopt", || socket_target(socket)) {
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_setsockopt, socket, level, name, value, length) as c_int }
}

/// Overrides `epoll_ctl`. Only the addition of sockets can fail, and a rule's port is compared with theirs.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    file: c_int,
    event: *mut epoll_event,
) -> c_int {
    let is_addition = operation == libc::EPOLL_CTL_ADD;
    if is_addition && let Some(Fault::Error(_)) = inject_fault("epoll_ctl", || socket_target(file)) {
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, epoll, operation, file, event) as c_int }
}

/// Overrides `epoll_wait`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(Fault::Error(_)) = inject_fault("epoll_wait", || Some(Target::Other)) {
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged; the signal mask is null.
    unsafe { libc::syscall(libc::SYS_epoll_pwait, epoll, events, max_events, timeout, 0, 8) as c_int }
}

/// Overrides `write` for regular files and the log on standard error; sockets are written with `send`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let Some(length) = permitted_bytes(inject_fault("write", || file_target(file)), length) else {
        return -1;
    };
    // SAFETY: the arguments are passed on, with at most the given length.
    unsafe { libc::syscall(libc::SYS_write, file, buffer, length) as ssize_t }
}

/// Overrides `open64`.
///
/// # Safety
/// Same requirements as the C function. The variadic mode is declared as a third parameter, which has the same
/// calling convention on this platform.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller guarantees a valid path.
    let target = || unsafe { CStr::from_ptr(path) }.to_str().ok().map(|path| Target::File(path.to_owned()));
    if let Some(Fault::Error(_)) = inject_fault("open", target) {
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int }
}

/// Overrides `fsync`.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if let Some(Fault::Error(_)) = inject_fault("fsync", || Some(Target::Other)) {
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_fsync, file) as c_int }
}

/// Overrides `fdatasync`, to which rules for `fsync` apply as well.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if let Some(Fault::Error(_)) = inject_fault("fsync", || Some(Target::Other)) {
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_fdatasync, file) as c_int }
}

/// Returns a regular file or standard error, where the log is written, as a target, or `None` for other files.
fn file_target(file: c_int) -> Option<Target> {
    if file == libc::STDERR_FILENO {
        return Some(Target::File("stderr".into()));
    }
    // SAFETY: a status of zero bytes is valid.
    let mut status: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the kernel writes one status to the pointer.
    let result = unsafe { libc::fstat(file, &raw mut status) };
    if result != 0 || status.st_mode & libc::S_IFMT != libc::S_IFREG {
        return None;
    }
    let path = std::fs::read_link(format!("/proc/self/fd/{file}")).ok()?;
    Some(Target::File(path.display().to_string()))
}

/// Overrides `clock_gettime`. Steps apply only to the wall clock.
///
/// # Safety
/// Same requirements as the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are passed on unchanged.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int };
    if result != 0 || clock != libc::CLOCK_REALTIME {
        return result;
    }
    if let Some(Fault::Step(ms)) = inject_fault("clock", || Some(Target::Other)) {
        // SAFETY: the call succeeded, so the pointer is valid.
        let time = unsafe { &mut *time };
        let nanos = time.tv_nsec + ms * NANOS_PER_MS;
        time.tv_sec += nanos.div_euclid(NANOS_PER_S);
        time.tv_nsec = nanos.rem_euclid(NANOS_PER_S);
    }
    result
}
