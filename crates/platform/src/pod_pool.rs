//! The pool of connections to pods: bounded together, kept idle by address, the last used taken first.

use crate::config::PodConnectionSettings;
use crate::counters::{increment, CountGuard};
use crate::idle_timeout::{has_rested, IdleTimeout, Reuse};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io::{ErrorKind, Result as IoResult};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Why no connection was had within the connect time.
#[derive(Debug, PartialEq)]
pub(crate) enum NoConnection {
    /// The pod is down, out of reach or at its own limit.
    Pod,
    /// Every permit is taken.
    Permits,
}

/// Which connection is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Wanted {
    /// An idle one, or a new one where none is.
    IdleOrNew,
    /// A new one.
    New,
}

/// A connection to a pod, closed when it is dropped.
pub(crate) struct PodConnection {
    pub(crate) stream: TcpStream,
    /// How long it was idle before its present request; none where that is its first.
    pub(crate) idle_before: Option<Duration>,
    _permit: OwnedSemaphorePermit,
}

impl PodConnection {
    /// Returns whether it is open and nothing lies unread on it: what came behind a response is no response to the
    /// next request. Asks the socket itself, as the runtime learns of bytes only when it polls.
    fn is_clean(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> IoResult<()> {
        self.stream.write_all(bytes).await
    }
}

struct IdleConnection {
    connection: PodConnection,
    since: Instant,
}

/// Connections of the pool at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ConnectionCounts {
    /// All, idle ones included.
    pub(crate) open: usize,
    pub(crate) idle: usize,
}

/// Connections to pods, bounded by permits.
pub(crate) struct PodPool {
    settings: PodConnectionSettings,
    /// One for each connection, idle ones included.
    permits: Arc<Semaphore>,
    max_connections: usize,
    /// Attempts that wait for a permit; bounded by the requests in flight, which the listener bounds.
    waiting: Cell<usize>,
    /// By address, the last used at the end. Emptied of what was idle too long or is no longer listed.
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    idle_timeout: RefCell<IdleTimeout>,
    opened: Cell<u64>,
}

impl PodPool {
    pub(crate) fn new(settings: PodConnectionSettings, max_connections: usize) -> PodPool {
        let idle_timeout = IdleTimeout::new(Instant::now(), settings.idle_limit);
        PodPool {
            settings,
            permits: Arc::new(Semaphore::new(max_connections)),
            max_connections,
            waiting: Cell::new(0),
            idle: RefCell::default(),
            idle_timeout: RefCell::new(idle_timeout),
            opened: Cell::new(0),
        }
    }

    /// Returns how long a connection is kept idle just now.
    pub(crate) fn idle_timeout(&self) -> Duration {
        self.idle_timeout.borrow().current()
    }

    /// Learns how a request on a kept connection went; no effect for a connection's first request.
    pub(crate) fn record_reuse(&self, connection: &PodConnection, reuse: Reuse) {
        if let Some(idle) = connection.idle_before {
            let mut idle_timeout = self.idle_timeout.borrow_mut();
            idle_timeout.record(Instant::now(), idle, reuse);
        }
    }

    pub(crate) fn counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            open: self.max_connections - self.permits.available_permits(),
            idle: self.idle.borrow().values().map(Vec::len).sum(),
        }
    }

    /// Returns how many connections were opened since the start.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Takes a connection out of the pool or opens one, within the connect time.
    pub(crate) async fn take(
        &self,
        address: SocketAddr,
        wanted: Wanted,
    ) -> Result<PodConnection, NoConnection> {
        let idle = self.take_idle(address);
        if let (Some(connection), Wanted::IdleOrNew) = (idle, wanted) {
            return Ok(connection);
        }
        let began = Instant::now();
        let permit = self.permit().await?;
        let remaining = self
            .settings
            .connect_timeout
            .saturating_sub(began.elapsed());
        let connecting = timeout(remaining, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connecting else {
            return Err(NoConnection::Pod);
        };
        let _ = stream.set_nodelay(true);
        increment(&self.opened);
        Ok(PodConnection {
            stream,
            idle_before: None,
            _permit: permit,
        })
    }

    /// Takes the last used connection that has rested, closing those behind it that are of no use.
    fn take_idle(&self, address: SocketAddr) -> Option<PodConnection> {
        let idle_timeout = self.idle_timeout();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let rested = |idle: &IdleConnection| has_rested(idle.since.elapsed());
        while let Some(last) = connections.iter().rposition(rested) {
            let IdleConnection {
                mut connection,
                since,
            } = connections.remove(last);
            let age = since.elapsed();
            if age < idle_timeout && connection.is_clean() {
                connection.idle_before = Some(age);
                return Some(connection);
            }
        }
        None
    }

    /// Gets a permit, at the cost of the connection idle the longest where none is left.
    async fn permit(&self) -> Result<OwnedSemaphorePermit, NoConnection> {
        let try_permit = || self.permits.clone().try_acquire_owned();
        if let Ok(permit) = try_permit() {
            return Ok(permit);
        }
        if self.close_longest_idle() {
            if let Ok(permit) = try_permit() {
                return Ok(permit);
            }
        }
        let _waiting = CountGuard::new(&self.waiting);
        let acquiring = self.permits.clone().acquire_owned();
        match timeout(self.settings.connect_timeout, acquiring).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(NoConnection::Permits),
        }
    }

    /// Closes the connection that was idle the longest, whichever pod it goes to; returns whether there was one.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let firsts = idle
            .iter()
            .filter_map(|(address, connections)| Some((*address, connections.first()?.since)));
        let Some((address, _)) = firsts.min_by_key(|(_, since)| *since) else {
            return false;
        };
        let connections = idle.get_mut(&address);
        connections
            .map(|connections| connections.remove(0))
            .is_some()
    }

    /// Keeps a connection for its next request. While others wait for a permit it is closed: its permit would stay
    /// taken, and who waits may want another pod.
    pub(crate) fn give_back(&self, address: SocketAddr, connection: PodConnection) {
        if self.waiting.get() > 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(address).or_default().push(IdleConnection {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes idle connections to pods no longer listed, and those that were idle too long or were closed.
    pub(crate) fn sweep(&self, listed: &HashSet<SocketAddr>) {
        let idle_timeout = self.idle_timeout();
        self.idle.borrow_mut().retain(|address, connections| {
            connections
                .retain(|idle| idle.since.elapsed() < idle_timeout && idle.connection.is_clean());
            listed.contains(address) && !connections.is_empty()
        });
    }
}

#[cfg(test)]
#[path = "../tests/unit/pod_pool.rs"]
mod tests;
