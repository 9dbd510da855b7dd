//! Accepts connections: as many at once as there are slots, until told to stop.

use crate::connection::serve_connection;
use crate::shell::Shell;
use crate::{admin, proxy};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long to wait after a connection could not be accepted: what is open must close first.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// An address cannot be listened on.
#[derive(Debug, thiserror::Error)]
#[error("listen on {address}: {source}; expected a free address of this machine")]
pub struct ListenError {
    /// The address that was asked for.
    pub address: SocketAddr,
    /// Why not.
    pub source: std::io::Error,
}

/// Listens on an address, and returns which it is where the system chose the port.
///
/// # Errors
/// An address that is taken or not this machine's.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), ListenError> {
    let bound = async {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    };
    bound
        .await
        .map_err(|source| ListenError { address, source })
}

/// Takes what the system has accepted at a listener that closes. Asked of the system itself: dropped with its listener,
/// such a connection is reset, with a request on it maybe. What comes between the last look and the drop is reset
/// still.
pub fn take_queued_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || loop {
        let accepted = listener.as_ref()?.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => return Some(stream),
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                ) => {}
            Err(_) => return None,
        }
    })
}

/// Whom a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Clients of the proxy.
    Clients,
    /// Operators.
    Operators,
}

/// Accepts connections until told to stop, at most `slots` at once, and returns once all have closed.
pub async fn accept(
    shell: Rc<Shell>,
    listener: TcpListener,
    slots: usize,
    audience: Audience,
    stopped: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(slots));
    let mut acceptor = Acceptor {
        shell,
        audience,
        stopped: stopped.clone(),
        open: JoinSet::new(),
    };
    let mut stop = stopped;
    loop {
        let next = async {
            let slot = slots.clone().acquire_owned().await;
            (slot, listener.accept().await)
        };
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => break,
            (slot, accepted) = next => match accepted {
                Ok((stream, _)) => acceptor.serve(stream, slot.ok()),
                // No descriptors left, most likely.
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    sleep(ACCEPT_RETRY).await;
                }
            },
            Some(_) = acceptor.open.join_next() => {}
        }
    }
    for stream in take_queued_connections(listener) {
        // Closed unread where every slot is taken: the client asks elsewhere.
        if let Ok(slot) = slots.clone().try_acquire_owned() {
            acceptor.serve(stream, Some(slot));
        }
    }
    while acceptor.open.join_next().await.is_some() {}
}

/// The open connections of a listener.
struct Acceptor {
    shell: Rc<Shell>,
    audience: Audience,
    stopped: watch::Receiver<bool>,
    open: JoinSet<()>,
}

impl Acceptor {
    fn serve(&mut self, stream: TcpStream, slot: Option<OwnedSemaphorePermit>) {
        let (shell, stopped) = (self.shell.clone(), self.stopped.clone());
        let audience = self.audience;
        self.open.spawn_local(async move {
            match audience {
                Audience::Clients => serve_connection(&shell, stream, stopped, proxy::serve).await,
                Audience::Operators => {
                    serve_connection(&shell, stream, stopped, admin::serve).await;
                }
            }
            drop(slot);
        });
    }
}
