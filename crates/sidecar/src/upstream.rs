//! Connections to pods: kept while idle, capped for each pod, opened as needed within the time for it.

use bytes::Bytes;
use havenplank_settings::Links as Rules;
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
pub struct NoConnection;

struct Pool {
    /// One for each connection in use; those waiting for one are hits in flight, which the door bounds, and
    /// none waits longer than a connect may take.
    permits: Arc<Semaphore>,
    /// No more than were in use at once.
    idle: RefCell<Vec<(Sender, Instant)>>,
}

pub struct Links {
    connect_time: Duration,
    per_pod: usize,
    idle: Duration,
    /// Emptied of a pod's address when the list drops it.
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
}

/// A connection in use. Dropped, it is closed; given back, it is kept for the next forward.
pub struct Lease {
    pub sender: Sender,
    pool: Rc<Pool>,
    _permit: OwnedSemaphorePermit,
}

impl Lease {
    pub fn give_back(self) {
        if !self.sender.is_closed() {
            self.pool
                .idle
                .borrow_mut()
                .push((self.sender, Instant::now()));
        }
    }
}

impl Links {
    pub fn new(rules: &Rules) -> Links {
        Links {
            connect_time: Duration::from_nanos(rules.connect_time),
            per_pod: rules.per_pod,
            idle: Duration::from_nanos(rules.idle),
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
        self.pools
            .borrow_mut()
            .entry(address)
            .or_insert_with(new)
            .clone()
    }

    /// An idle connection, else a new one. `fresh` passes over idle ones, as one of them just proved closed.
    pub async fn take(&self, address: SocketAddr, fresh: bool) -> Result<Lease, NoConnection> {
        let pool = self.pool(address);
        let began = Instant::now();
        let permit = match pool.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                let waited = timeout(self.connect_time, pool.permits.clone().acquire_owned()).await;
                waited
                    .map_err(|_| NoConnection)?
                    .map_err(|_| NoConnection)?
            }
        };
        loop {
            let kept = if fresh {
                None
            } else {
                pool.idle.borrow_mut().pop()
            };
            let Some((mut sender, since)) = kept else {
                break;
            };
            // One that is not ready at once has its last answer's end still to read: that takes a moment.
            if since.elapsed() < self.idle && !sender.is_closed() && sender.ready().await.is_ok() {
                return Ok(Lease {
                    sender,
                    pool,
                    _permit: permit,
                });
            }
        }
        let left = self.connect_time.saturating_sub(began.elapsed());
        let sender = timeout(left, connect(address))
            .await
            .map_err(|_| NoConnection)?
            .map_err(|_| NoConnection)?;
        Ok(Lease {
            sender,
            pool,
            _permit: permit,
        })
    }

    /// Closes idle connections to pods no longer listed, and those that were idle too long.
    pub fn sweep(&self, listed: &HashSet<SocketAddr>) {
        let in_use = |pool: &Pool| pool.permits.available_permits() < self.per_pod;
        self.pools.borrow_mut().retain(|address, pool| {
            let keep = listed.contains(address);
            let idle = self.idle;
            pool.idle
                .borrow_mut()
                .retain(|(sender, since)| keep && !sender.is_closed() && since.elapsed() < idle);
            keep || in_use(pool)
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
        // How it ended shows in the forward that was on it.
        let _ = connection.await;
    });
    Ok(sender)
}
