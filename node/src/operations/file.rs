//! Reads files through failures that last a moment.

use crate::io::clock::{Clock, Millis};
use std::io;
use std::path::Path;

/// For so long a file is tried.
const READ_MS: Millis = 1_000.0;
/// So long after one try follows the next.
const READ_AGAIN_MS: Millis = 25.0;

/// Reads a file. A read that fails, but for a reason that lies in the file, is made again for a while.
///
/// # Errors
/// Fails if the file is not there or may not be read, or if its failure lasts.
pub async fn read(clock: &Clock, path: &Path) -> io::Result<Vec<u8>> {
    let until = clock.now() + READ_MS;
    loop {
        match std::fs::read(path) {
            Err(error) if may_pass(&error) && clock.now() < until => {
                tracing::warn!(%error, "{} can't be read yet", path.display());
                clock.sleep(READ_AGAIN_MS).await;
            }
            done => return done,
        }
    }
}

fn may_pass(error: &io::Error) -> bool {
    use io::ErrorKind::{IsADirectory, NotADirectory, NotFound, PermissionDenied};
    !matches!(error.kind(), IsADirectory | NotADirectory | NotFound | PermissionDenied)
}
