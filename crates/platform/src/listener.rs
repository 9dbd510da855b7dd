//! Accepts client connections, evicting others when the table is full.

use crate::client_connection::ClientConnection;
use crate::client_session::{self, StopTime};
use crate::connection_slots::{eviction_before_accept, ConnectionId, Eviction};
use crate::limits::ACCEPT_ERROR_PAUSE;
use crate::shell::Shell;
use havenplank_sidecar::take_queued_connections;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// Accepts connections until `close` fires, then those that were in the kernel's accept queue by that time.
pub(crate) async fn accept(
    shell: Rc<Shell>,
    listener: TcpListener,
    stop: watch::Receiver<StopTime>,
    mut close: oneshot::Receiver<()>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => admit(&shell, stream, &stop).await,
                Err(error) => {
                    tracing::warn!(%error, "could not accept a connection; retrying");
                    shell.clients.evict_one();
                    sleep(ACCEPT_ERROR_PAUSE).await;
                }
            },
            _ = &mut close => break,
        }
    }
    for stream in take_queued_connections(listener) {
        admit(&shell, stream, &stop).await;
    }
}

async fn admit(shell: &Rc<Shell>, stream: TcpStream, stop: &watch::Receiver<StopTime>) {
    let clients = &shell.clients;
    clients.close_surplus_idle();
    let eviction = eviction_before_accept(clients.is_full(), shell.client_memory());
    match eviction {
        Eviction::None => {}
        Eviction::Silent => {
            clients.evict_silent();
        }
        Eviction::Any => {
            if !clients.evict_one() {
                // Every connection has a request in progress. The new one is closed with nothing read from it, so that
                // its client can safely send the request elsewhere.
                return;
            }
        }
    }
    if eviction != Eviction::None {
        // The evicted connection's descriptor and memory are free once the runtime has dropped its task.
        yield_now().await;
    }
    serve(shell, stream, stop.clone());
}

/// Removes the client from the table when its task ends, in whatever way.
struct Registration {
    shell: Rc<Shell>,
    id: ConnectionId,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.shell.clients.remove(self.id);
    }
}

fn serve(shell: &Rc<Shell>, stream: TcpStream, stop: watch::Receiver<StopTime>) {
    let _ = stream.set_nodelay(true);
    let client = Rc::new(ClientConnection::new(stream, shell.read_ahead.clone()));
    let registration = Registration {
        shell: shell.clone(),
        id: shell.clients.insert(client.clone()),
    };
    let session_client = client.clone();
    let task = spawn_local(async move {
        client_session::run(&registration.shell, &session_client, stop).await;
    });
    client.set_task(task.abort_handle());
}
