//! Connections to pods: opened on demand within the connect timeout, limited for each pod, and reused when idle.

use bytes::Bytes;
use havenplank_settings::UpstreamSettings as Settings;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

type Sender = SendRequest<Full<Bytes>>;

/// No connection could be acquired in time: the pod is down, unreachable or at its connection limit.
#[derive(Debug)]
pub struct NoConnection;

/// Whether an idle connection may be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Use an idle connection if there is one.
    Idle,
    /// Open a new connection, for example because an idle one turned out to be closed.
    Never,
}

struct IdleConnection {
    sender: Sender,
    since: Instant,
}

/// The connections to one pod.
struct Pool {
    /// One permit for each connection in use. The waiters are attempts of requests in flight, whose number the listener
    /// limits, and none waits longer than the connect timeout.
    permits: Arc<Semaphore>,
    /// Idle connections, at most as many as were ever in use at once.
    idle: RefCell<Vec<IdleConnection>>,
}

impl Pool {
    /// Removes and returns the most recently used idle connection.
    fn pop_idle(&self) -> Option<IdleConnection> {
        self.idle.borrow_mut().pop()
    }
}

/// The connections to all pods.
pub struct UpstreamConnections {
    connect_timeout: Duration,
    max_per_pod: usize,
    idle_timeout: Duration,
    /// The pools by address of the pod. A pool is removed when its pod is no longer listed and no connection
    /// of it is in use.
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
}

/// A connection in use. Dropping it closes the connection; releasing it keeps the connection for another attempt.
pub struct UpstreamConnection {
    /// Sends requests on the connection.
    pub sender: Sender,
    pool: Rc<Pool>,
    _permit: OwnedSemaphorePermit,
}

impl UpstreamConnection {
    /// Keeps the connection for another attempt, unless it is closed.
    pub fn release(self) {
        if !self.sender.is_closed() {
            let idle = IdleConnection {
                sender: self.sender,
                since: Instant::now(),
            };
            self.pool.idle.borrow_mut().push(idle);
        }
    }
}

impl UpstreamConnections {
    /// Creates an empty set of connections with the limits of the settings.
    pub fn new(settings: &Settings) -> UpstreamConnections {
        UpstreamConnections {
            connect_timeout: Duration::from_nanos(settings.connect_timeout),
            max_per_pod: settings.max_connections_per_pod,
            idle_timeout: Duration::from_nanos(settings.idle_timeout),
            pools: RefCell::default(),
        }
    }

    fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        let new = || {
            let permits = Arc::new(Semaphore::new(self.max_per_pod));
            Rc::new(Pool {
                permits,
                idle: RefCell::default(),
            })
        };
        let mut pools = self.pools.borrow_mut();
        pools.entry(address).or_insert_with(new).clone()
    }

    /// Returns a connection to a pod. Waits no longer than the connect timeout.
    ///
    /// # Errors
    /// Fails if the pod did not accept a connection in time or stayed at its connection limit.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        reuse: Reuse,
    ) -> Result<UpstreamConnection, NoConnection> {
        let pool = self.pool(address);
        let began = Instant::now();
        let permit = self.permit(&pool).await?;
        let idle = match reuse {
            Reuse::Idle => self.ready_idle(&pool).await,
            Reuse::Never => None,
        };
        let sender = match idle {
            Some(sender) => sender,
            None => {
                let remaining = self.connect_timeout.saturating_sub(began.elapsed());
                let connected = timeout(remaining, connect(address)).await;
                connected
                    .map_err(|_| NoConnection)?
                    .map_err(|_| NoConnection)?
            }
        };
        Ok(UpstreamConnection {
            sender,
            pool,
            _permit: permit,
        })
    }

    async fn permit(&self, pool: &Pool) -> Result<OwnedSemaphorePermit, NoConnection> {
        if let Ok(permit) = pool.permits.clone().try_acquire_owned() {
            return Ok(permit);
        }
        let waited = timeout(self.connect_timeout, pool.permits.clone().acquire_owned()).await;
        waited.map_err(|_| NoConnection)?.map_err(|_| NoConnection)
    }

    /// Returns an idle connection that can still be used, and closes those that cannot.
    async fn ready_idle(&self, pool: &Pool) -> Option<Sender> {
        while let Some(IdleConnection { mut sender, since }) = pool.pop_idle() {
            // A connection that is not ready at once still has to read the end of its last response, which is short.
            let is_usable = since.elapsed() < self.idle_timeout && !sender.is_closed();
            if is_usable && sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        None
    }

    /// Closes idle connections to pods that are no longer listed, and connections that have been idle too long.
    pub fn sweep(&self, listed: &HashSet<SocketAddr>) {
        let in_use = |pool: &Pool| pool.permits.available_permits() < self.max_per_pod;
        self.pools.borrow_mut().retain(|address, pool| {
            let is_listed = listed.contains(address);
            pool.idle.borrow_mut().retain(|idle| {
                is_listed && !idle.sender.is_closed() && idle.since.elapsed() < self.idle_timeout
            });
            is_listed || in_use(pool)
        });
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::task::spawn_local(async move {
        // An error of the connection also fails the attempt on it, which reports it.
        let _ = connection.await;
    });
    Ok(sender)
}
