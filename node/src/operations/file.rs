//! Reads files, retrying on transient failures.

use crate::io::clock::{Clock, Millis};
use std::io;
use std::path::Path;

/// Maximum time for which reading a file is retried.
const READ_TIMEOUT_MS: Millis = 1_000.0;
/// Delay between two attempts.
const READ_RETRY_INTERVAL_MS: Millis = 25.0;

/// Reads a file. A failed read is retried for a while unless the cause lies in the file itself.
///
/// # Errors
/// Fails if the file does not exist or may not be read, or if the failure persists.
pub async fn read_with_retries(clock: &Clock, path: &Path) -> io::Result<Vec<u8>> {
    let deadline = clock.now() + READ_TIMEOUT_MS;
    loop {
        match std::fs::read(path) {
            Err(error) if is_temporary(&error) && clock.now() < deadline => {
                tracing::warn!(%error, "cannot read {} yet, retrying", path.display());
                clock.sleep(READ_RETRY_INTERVAL_MS).await;
            }
            result => return result,
        }
    }
}

fn is_temporary(error: &io::Error) -> bool {
    use io::ErrorKind::{IsADirectory, NotADirectory, NotFound, PermissionDenied};
    !matches!(error.kind(), IsADirectory | NotADirectory | NotFound | PermissionDenied)
}
