//! Reads and discards what a client still sends while its connection closes.

use super::departure::is_transient;
use super::ClientStream;
use std::io;
use std::net::Shutdown;
use std::time::Duration;
use tokio::time::timeout;

/// Limit on the bytes that are read and discarded while a connection closes.
const MAX_DRAIN_BYTES: usize = 1 << 20;
/// Limit on the time for which bytes are read and discarded while a connection closes.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(500);
/// Bytes that are discarded at once while a connection closes.
const DRAIN_STEP_BYTES: usize = 4 << 10;

impl ClientStream {
    /// Shuts the write half down, then reads and discards for a limited time. Closing a socket with unread bytes sends
    /// a reset, which may reach the client before the last response.
    pub async fn drain(&self) {
        let _ = socket2::SockRef::from(&self.0.socket).shutdown(Shutdown::Write);
        let rest = async {
            let mut read = 0;
            while read < MAX_DRAIN_BYTES && self.0.socket.readable().await.is_ok() {
                match self.discard() {
                    Ok(0) => break,
                    Ok(more) => read += more,
                    Err(error) if is_transient(&error) => {}
                    Err(_) => break,
                }
            }
        };
        let _ = timeout(MAX_DRAIN_TIME, rest).await;
    }

    /// Reads and discards bytes once. The buffer is on the stack, not in the future of every connection.
    fn discard(&self) -> io::Result<usize> {
        let mut sink = [0; DRAIN_STEP_BYTES];
        self.0.socket.try_read(&mut sink)
    }
}
