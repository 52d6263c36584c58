//! The functions of the C library that the shim stands in for.

use crate::plan::{self, Fault, Subject};
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

fn set_errno(number: c_int) {
    // SAFETY: the location is this thread's own.
    unsafe { *libc::__errno_location() = number };
}

/// A port in an IPv4 socket address, or `None` for another family.
///
/// # Safety
/// `address` must point to a socket address of at least `length` bytes.
unsafe fn port_of(address: *const sockaddr, length: socklen_t) -> Option<u16> {
    if address.is_null() || (length as usize) < size_of::<libc::sockaddr_in>() {
        return None;
    }
    // SAFETY: the caller vouches for the bytes; they need not be aligned.
    let address = unsafe { address.cast::<libc::sockaddr_in>().read_unaligned() };
    (c_int::from(address.sin_family) == libc::AF_INET).then(|| u16::from_be(address.sin_port))
}

fn named(call: c_long, socket: c_int) -> Option<u16> {
    // SAFETY: all bytes zero is a valid address.
    let mut address: libc::sockaddr_in = unsafe { std::mem::zeroed() };
    let mut length = size_of::<libc::sockaddr_in>() as socklen_t;
    // SAFETY: the kernel writes at most `length` bytes to the address.
    let result = unsafe { libc::syscall(call, socket, &raw mut address, &raw mut length) };
    if result < 0 {
        return None;
    }
    // SAFETY: the address is a whole one.
    unsafe { port_of((&raw const address).cast(), length) }
}

/// A TCP socket, by its ports. `None` for other files.
fn ports(socket: c_int) -> Option<Subject> {
    let own = named(libc::SYS_getsockname, socket)?;
    Some(Subject::Socket([own, named(libc::SYS_getpeername, socket).unwrap_or(0)]))
}

/// What a call comes to: the fault that fires, or none.
fn planned(call: &str, subject: impl Fn() -> Option<Subject>) -> Option<Fault> {
    let rule = plan::fault(call, subject)?;
    report::fired(call, rule);
    match rule.fault {
        Fault::Error(number) => set_errno(number),
        Fault::Hold(ms) => std::thread::sleep(Duration::from_millis(u64::from(ms))),
        _ => {}
    }
    Some(rule.fault)
}

/// How many bytes a call may handle; `None` if it is to fail.
fn allowed(fault: Option<Fault>, wanted: size_t) -> Option<size_t> {
    match fault {
        Some(Fault::Error(_)) => None,
        Some(Fault::Short | Fault::Whole) => Some(wanted.min(1)),
        _ => Some(wanted),
    }
}

/// Stands in for `socket`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let is_tcp = || (domain == libc::AF_INET && kind & 0xf == libc::SOCK_STREAM).then_some(Subject::Other);
    if let Some(Fault::Error(_)) = planned("socket", is_tcp) {
        return -1;
    }
    // SAFETY: passed on as given.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// Stands in for `bind`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn bind(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the caller vouches for the address.
    let to = || unsafe { port_of(address, length) }.map(|port| Subject::Socket([port, 0]));
    if let Some(Fault::Error(_)) = planned("bind", to) {
        return -1;
    }
    // SAFETY: passed on as given.
    unsafe { libc::syscall(libc::SYS_bind, socket, address, length) as c_int }
}

/// Stands in for `connect`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the caller vouches for the address.
    let to = || unsafe { port_of(address, length) }.map(|port| Subject::Socket([0, port]));
    if let Some(Fault::Error(_)) = planned("connect", to) {
        return -1;
    }
    // SAFETY: passed on as given.
    unsafe { libc::syscall(libc::SYS_connect, socket, address, length) as c_int }
}

/// Stands in for `accept4`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(Fault::Error(_)) = planned("accept", || ports(socket)) {
        return -1;
    }
    // SAFETY: passed on as given.
    unsafe { libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int }
}

/// Stands in for `accept`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept(socket: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    // SAFETY: passed on as given.
    unsafe { accept4(socket, address, length, 0) }
}

/// Stands in for `recv`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let fault = planned("recv", || ports(socket));
    if fault == Some(Fault::End) {
        return 0;
    }
    let Some(length) = allowed(fault, length) else { return -1 };
    // SAFETY: passed on as given, or for less of the buffer.
    unsafe { libc::syscall(libc::SYS_recvfrom, socket, buffer, length, flags, 0, 0) as ssize_t }
}

/// Stands in for `send`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let fault = planned("send", || ports(socket));
    let Some(part) = allowed(fault, length) else { return -1 };
    if fault == Some(Fault::Twice) {
        // SAFETY: passed on as given.
        unsafe { libc::syscall(libc::SYS_sendto, socket, buffer, part, flags, 0, 0) };
    }
    // SAFETY: passed on as given, or for less of the buffer.
    let sent = unsafe { libc::syscall(libc::SYS_sendto, socket, buffer, part, flags, 0, 0) as ssize_t };
    if fault == Some(Fault::Whole) { length as ssize_t } else { sent }
}

/// Stands in for `shutdown`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn shutdown(socket: c_int, how: c_int) -> c_int {
    if let Some(Fault::Error(_)) = planned("shutdown", || ports(socket)) {
        return -1;
    }
    // SAFETY: passed on as given.
    unsafe { libc::syscall(libc::SYS_shutdown, socket, how) as c_int }
}

/// Stands in for `setsockopt`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn setsockopt(
    socket: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    if let Some(Fault::Error(_)) = planned("setsockopt", || ports(socket)) {
        return -1;
    }
    // SAFETY: passed on as given.
    unsafe { libc::syscall(libc::SYS_setsockopt, socket, level, name, value, length) as c_int }
}

/// Stands in for `epoll_ctl`; a rule's port is one of the socket's that is added.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    file: c_int,
    event: *mut epoll_event,
) -> c_int {
    let adds = operation == libc::EPOLL_CTL_ADD;
    if adds && let Some(Fault::Error(_)) = planned("epoll_ctl", || ports(file)) {
        return -1;
    }
    // SAFETY: passed on as given.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, epoll, operation, file, event) as c_int }
}

/// Stands in for `epoll_wait`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(Fault::Error(_)) = planned("epoll_wait", || Some(Subject::Other)) {
        return -1;
    }
    // SAFETY: passed on as given; the signal mask is none.
    unsafe { libc::syscall(libc::SYS_epoll_pwait, epoll, events, most, timeout, 0, 8) as c_int }
}

/// Stands in for `write`, for regular files and the log: sockets are written by `send`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let Some(length) = allowed(planned("write", || file_or_log(file)), length) else { return -1 };
    // SAFETY: passed on as given, or for less of the buffer.
    unsafe { libc::syscall(libc::SYS_write, file, buffer, length) as ssize_t }
}

/// Stands in for `open64`.
///
/// # Safety
/// As the C function; the mode is passed in the place of its third argument, as C does for this platform.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller vouches for the path.
    let named = || unsafe { CStr::from_ptr(path) }.to_str().ok().map(|path| Subject::File(path.to_owned()));
    if let Some(Fault::Error(_)) = planned("open", named) {
        return -1;
    }
    // SAFETY: passed on as given.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int }
}

/// Stands in for `fsync`.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if let Some(Fault::Error(_)) = planned("fsync", || Some(Subject::Other)) {
        return -1;
    }
    // SAFETY: passed on as given.
    unsafe { libc::syscall(libc::SYS_fsync, file) as c_int }
}

/// Stands in for `fdatasync`; a rule for `fsync` is meant for it as well.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if let Some(Fault::Error(_)) = planned("fsync", || Some(Subject::Other)) {
        return -1;
    }
    // SAFETY: passed on as given.
    unsafe { libc::syscall(libc::SYS_fdatasync, file) as c_int }
}

/// A regular file by its path, or the log; `None` for other files.
fn file_or_log(file: c_int) -> Option<Subject> {
    if file == libc::STDERR_FILENO {
        return Some(Subject::File("stderr".into()));
    }
    // SAFETY: all bytes zero is a valid status.
    let mut status: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the kernel fills the status.
    let result = unsafe { libc::fstat(file, &raw mut status) };
    if result != 0 || status.st_mode & libc::S_IFMT != libc::S_IFREG {
        return None;
    }
    let path = std::fs::read_link(format!("/proc/self/fd/{file}")).ok()?;
    Some(Subject::File(path.display().to_string()))
}

/// Stands in for `clock_gettime`: steps concern the wall clock alone.
///
/// # Safety
/// As the C function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: passed on as given.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int };
    if result != 0 || clock != libc::CLOCK_REALTIME {
        return result;
    }
    if let Some(Fault::Step(ms)) = planned("clock", || Some(Subject::Other)) {
        // SAFETY: the kernel has just filled it.
        let time = unsafe { &mut *time };
        let nanos = time.tv_nsec + ms * NANOS_PER_MS;
        time.tv_sec += nanos.div_euclid(NANOS_PER_S);
        time.tv_nsec = nanos.rem_euclid(NANOS_PER_S);
    }
    result
}
