//! The pool of connections to pods: one limit for all pods, idle connections kept by address, the most recently used
//! reused first.

use crate::config::PodConnectionSettings;
use crate::counters::{increment, CountGuard};
use crate::idle_timeout::{may_reuse_after, IdleTimeout, ReuseOutcome};
use bytes::Buf;
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

/// Why no connection was available within the connect timeout.
#[derive(Debug, PartialEq)]
pub(crate) enum AcquireError {
    /// The pod is down, unreachable or at its own connection limit.
    PodUnreachable,
    /// Every connection permit of the pool is in use.
    NoPermit,
}

/// Which connection to acquire.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionSource {
    /// An idle connection, or a new one if none is usable.
    IdleOrNew,
    /// A new connection.
    New,
}

/// A connection to a pod, closed when it is dropped.
pub(crate) struct PodConnection {
    pub(crate) stream: TcpStream,
    /// How long the connection was idle before its present request; `None` if that is its first.
    pub(crate) idle_before: Option<Duration>,
    _permit: OwnedSemaphorePermit,
}

impl PodConnection {
    /// Returns whether the connection is open and has no unread bytes: bytes after a response would be read as the
    /// response to the next request. Peeks at the socket, because the runtime learns of bytes only when it polls.
    fn is_clean(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Writes a complete request.
    pub(crate) async fn write(&mut self, head: &[u8], body: &[u8]) -> IoResult<()> {
        self.stream.write_all_buf(&mut head.chain(body)).await
    }
}

struct IdleConnection {
    connection: PodConnection,
    since: Instant,
}

/// Numbers of connections in the pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ConnectionCounts {
    /// All open connections, including idle ones.
    pub(crate) open: usize,
    pub(crate) idle: usize,
}

/// A pool of connections to pods, limited by permits.
pub(crate) struct PodPool {
    settings: PodConnectionSettings,
    /// Each open connection holds one, including idle ones.
    permits: Arc<Semaphore>,
    max_connections: usize,
    /// Attempts and health checks that wait for a permit. Attempts are bounded by the requests in flight, which the
    /// listener bounds.
    waiting: Cell<usize>,
    /// Connections that are being opened. Bounded by the permits.
    connecting: Cell<usize>,
    /// By address, the most recently used last. [`PodPool::sweep`] removes connections that were idle too long or whose
    /// pod is no longer listed.
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
            connecting: Cell::new(0),
            idle: RefCell::default(),
            idle_timeout: RefCell::new(idle_timeout),
            opened: Cell::new(0),
        }
    }

    /// Returns how long a connection is kept idle at present.
    pub(crate) fn idle_timeout(&self) -> Duration {
        self.idle_timeout.borrow().current()
    }

    /// Records how a request on a reused connection ended; no effect for the first request of a connection.
    pub(crate) fn record_reuse(&self, connection: &PodConnection, outcome: ReuseOutcome) {
        if let Some(idle) = connection.idle_before {
            let mut idle_timeout = self.idle_timeout.borrow_mut();
            idle_timeout.record(Instant::now(), idle, outcome);
        }
    }

    pub(crate) fn counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            open: self.max_connections - self.permits.available_permits(),
            idle: self.idle.borrow().values().map(Vec::len).sum(),
        }
    }

    /// Returns the number of attempts and health checks that wait for a permit.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.get()
    }

    /// Returns the number of connections that are being opened.
    pub(crate) fn connecting_count(&self) -> usize {
        self.connecting.get()
    }

    /// Returns the number of connections opened since the process started.
    pub(crate) fn opened_count(&self) -> u64 {
        self.opened.get()
    }

    /// Takes an idle connection out of the pool or opens one, within the connect timeout.
    pub(crate) async fn acquire(
        &self,
        address: SocketAddr,
        source: ConnectionSource,
    ) -> Result<PodConnection, AcquireError> {
        let idle = self.take_idle(address);
        if let (Some(connection), ConnectionSource::IdleOrNew) = (idle, source) {
            return Ok(connection);
        }
        let began = Instant::now();
        let permit = self.acquire_permit().await?;
        let remaining = self
            .settings
            .connect_timeout
            .saturating_sub(began.elapsed());
        let connecting = CountGuard::new(&self.connecting);
        let connected = timeout(remaining, TcpStream::connect(address)).await;
        drop(connecting);
        let Ok(Ok(stream)) = connected else {
            return Err(AcquireError::PodUnreachable);
        };
        let _ = stream.set_nodelay(true);
        increment(&self.opened);
        Ok(PodConnection {
            stream,
            idle_before: None,
            _permit: permit,
        })
    }

    /// Takes the most recently used connection that may be reused. Closes those on the way that are too old, closed or
    /// have unread bytes.
    fn take_idle(&self, address: SocketAddr) -> Option<PodConnection> {
        let idle_timeout = self.idle_timeout();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let reusable = |idle: &IdleConnection| may_reuse_after(idle.since.elapsed());
        while let Some(last) = connections.iter().rposition(reusable) {
            let IdleConnection {
                mut connection,
                since,
            } = connections.remove(last);
            let idle_time = since.elapsed();
            if idle_time < idle_timeout && connection.is_clean() {
                connection.idle_before = Some(idle_time);
                return Some(connection);
            }
        }
        None
    }

    /// Acquires a permit, closing the longest idle connection if none is left.
    async fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, AcquireError> {
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
            _ => Err(AcquireError::NoPermit),
        }
    }

    /// Closes the longest idle connection of all pods. Returns false if there is none.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let longest_idle = idle
            .iter()
            .filter_map(|(address, connections)| Some((*address, connections.first()?.since)));
        let Some((address, _)) = longest_idle.min_by_key(|(_, since)| *since) else {
            return false;
        };
        let connections = idle.get_mut(&address);
        connections
            .map(|connections| connections.remove(0))
            .is_some()
    }

    /// Returns a connection to the pool for its next request. While attempts wait for a permit it is closed instead: it
    /// would keep its permit, and those attempts may go to other pods.
    pub(crate) fn release(&self, address: SocketAddr, connection: PodConnection) {
        if self.waiting.get() > 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(address).or_default().push(IdleConnection {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes idle connections to pods that are no longer listed, and those that were idle too long, were closed by the
    /// pod or have unread bytes.
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
