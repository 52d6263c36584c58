//! Classifies errors of system calls that are caused by this machine's momentary state and not by the peer.

use std::io;
use std::time::Duration;

/// Delay before a call that failed because of a resource shortage is retried.
const BACKOFF: Duration = Duration::from_millis(2);

/// Returns true if the call failed because of a resource shortage: the same call may soon succeed, and the
/// connection that it was made for is unaffected.
pub fn is_shortage(error: &io::Error) -> bool {
    let shortages =
        [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::ENOSPC, libc::EADDRNOTAVAIL];
    error.raw_os_error().is_some_and(|number| shortages.contains(&number))
}

/// Returns true if a connect failed for a local reason, so that nothing is known about the peer.
pub fn is_local_connect_error(error: &io::Error) -> bool {
    let local_errors = [libc::EINTR, libc::EAGAIN, libc::EADDRINUSE, libc::ENETUNREACH, libc::ENETDOWN];
    is_shortage(error) || error.raw_os_error().is_some_and(|number| local_errors.contains(&number))
}

/// Waits for a shortage to pass.
pub async fn backoff() {
    tokio::time::sleep(BACKOFF).await;
}
