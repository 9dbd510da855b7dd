//! Accepts connections up to a limit until it is stopped.

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

/// How long to wait after a connection could not be accepted, so that open connections can close and free resources.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The sidecar cannot listen on an address.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}; expected a free address of this machine")]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: std::io::Error,
}

/// Listens on an address. Returns the listener with its actual address, whose port is chosen by the system if the given
/// port is 0.
///
/// # Errors
/// Fails if the address is in use or does not belong to this machine.
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

/// Returns the connections in the accept queue of a listener that is being closed. Closing a listener resets the
/// connections in its queue, which may already carry a request, so they are accepted from the system first. A
/// connection that arrives between the last accept and the close is still reset.
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

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Clients of the proxy.
    Clients,
    /// Operators.
    Operators,
}

/// Accepts connections until `stopped` becomes true, with at most `slots` open at once, and returns when all have
/// closed.
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
                // The most likely cause is that the process has no file descriptors left.
                Err(error) => {
                    tracing::warn!(%error, "could not accept a connection; retrying");
                    sleep(ACCEPT_RETRY).await;
                }
            },
            Some(_) = acceptor.open.join_next() => {}
        }
    }
    for stream in take_queued_connections(listener) {
        // If all slots are in use, the connection is closed unread, and its client can retry at another sidecar.
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
