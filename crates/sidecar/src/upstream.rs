//! Connections to pods: kept while idle, capped for each pod, opened as needed within the time for it.

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

/// No connection was had in time: the pod is down, out of reach or at its cap.
#[derive(Debug)]
pub struct NoConnection;

/// Whether an idle connection will do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// An idle one first.
    Idle,
    /// A new one, as an idle one just proved closed.
    Never,
}

struct IdleConnection {
    sender: Sender,
    since: Instant,
}

/// The connections to one pod.
struct Pool {
    /// One for each connection in use; those waiting for one are requests in flight, which the listener bounds, and
    /// none waits longer than a connect may take.
    permits: Arc<Semaphore>,
    /// No more than were in use at once.
    idle: RefCell<Vec<IdleConnection>>,
}

impl Pool {
    /// Takes the connection that was used last.
    fn pop_idle(&self) -> Option<IdleConnection> {
        self.idle.borrow_mut().pop()
    }
}

/// The connections to all pods.
pub struct UpstreamConnections {
    connect_time: Duration,
    per_pod: usize,
    idle_timeout: Duration,
    /// Emptied of a pod's address when the list drops it.
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
}

/// A connection in use. Dropped, it is closed; released, it is kept for the next attempt.
pub struct UpstreamConnection {
    /// Sends requests on it.
    pub sender: Sender,
    pool: Rc<Pool>,
    _permit: OwnedSemaphorePermit,
}

impl UpstreamConnection {
    /// Keeps the connection for the next attempt, unless it is closed.
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
    /// Builds an empty set of connections with these limits.
    pub fn new(settings: &Settings) -> UpstreamConnections {
        UpstreamConnections {
            connect_time: Duration::from_nanos(settings.connect_timeout),
            per_pod: settings.max_connections_per_pod,
            idle_timeout: Duration::from_nanos(settings.idle_timeout),
            pools: RefCell::default(),
        }
    }

    fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        let new = || {
            let permits = Arc::new(Semaphore::new(self.per_pod));
            Rc::new(Pool {
                permits,
                idle: RefCell::default(),
            })
        };
        let mut pools = self.pools.borrow_mut();
        pools.entry(address).or_insert_with(new).clone()
    }

    /// Takes a connection to a pod, waiting no longer than a connect may take.
    ///
    /// # Errors
    /// The pod did not accept one in time, or has as many as it may.
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
                let left = self.connect_time.saturating_sub(began.elapsed());
                let connected = timeout(left, connect(address)).await;
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
        let waited = timeout(self.connect_time, pool.permits.clone().acquire_owned()).await;
        waited.map_err(|_| NoConnection)?.map_err(|_| NoConnection)
    }

    /// Takes an idle connection that is still good; closes those that are not.
    async fn ready_idle(&self, pool: &Pool) -> Option<Sender> {
        while let Some(IdleConnection { mut sender, since }) = pool.pop_idle() {
            // One that is not ready at once has its last answer's end still to read: that takes a moment.
            let is_fresh = since.elapsed() < self.idle_timeout && !sender.is_closed();
            if is_fresh && sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        None
    }

    /// Closes idle connections to pods no longer listed, and those that were idle too long.
    pub fn sweep(&self, listed: &HashSet<SocketAddr>) {
        let in_use = |pool: &Pool| pool.permits.available_permits() < self.per_pod;
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
        // How it ended shows in the attempt that was on it.
        let _ = connection.await;
    });
    Ok(sender)
}
