//! Errors of system calls that tell of this machine and this moment, and of nobody else.

use std::io;
use std::time::Duration;

/// So long is waited before a call that was short of something is made again.
const PAUSE: Duration = Duration::from_millis(2);

/// True if the system was short of something for this call: the same call may do well soon, and the
/// connection that it was made for is as sound as before.
pub fn is_shortage(error: &io::Error) -> bool {
    let shortages =
        [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::ENOSPC, libc::EADDRNOTAVAIL];
    error.raw_os_error().is_some_and(|number| shortages.contains(&number))
}

/// True if a connect failed on this machine, so that nothing is known of the peer.
pub fn is_local_to_connect(error: &io::Error) -> bool {
    let no_way = [libc::EINTR, libc::EAGAIN, libc::EADDRINUSE, libc::ENETUNREACH, libc::ENETDOWN];
    is_shortage(error) || error.raw_os_error().is_some_and(|number| no_way.contains(&number))
}

/// Waits as long as a shortage may take to pass.
pub async fn pause() {
    tokio::time::sleep(PAUSE).await;
}
