//! Discards what a refused client still sends.
//!
//! If a connection is closed while bytes lie unread, the operating system resets it, and the client may lose the answer.

use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Time for which a client may go on to send.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes read at a time.
const PIECE_BYTES: usize = 16 * 1024;

/// Reads and drops what arrives until the client closes the connection, a second has passed, or more than `max_bytes` have
/// been read.
pub async fn discard_rest(stream: &mut (impl AsyncRead + Unpin), max_bytes: usize) {
    let discard = async {
        let (mut buffer, mut discarded) = (vec![0; PIECE_BYTES], 0);
        while discarded <= max_bytes {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => discarded += count,
            }
        }
    };
    // The connection is closed either way.
    let _ = tokio::time::timeout(TIMEOUT, discard).await;
}
