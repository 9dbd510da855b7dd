//! Decides which client connections are kept and which are closed, and how the file descriptors are divided between
//! clients and pods.
//!
//! Free of I/O; the caller passes in times. A full listener must still accept clients that send requests, whichever
//! connections are open already. Tests: `tests/connection_slots.rs`.

use crate::memory_budget::ClientMemory;
use std::time::{Duration, Instant};

/// Descriptors for everything except client and pod connections: log, runtime, listener, two connections each to
/// discovery and the control plane during a move, and connections that are being closed.
const OTHER_DESCRIPTORS: usize = 28;
/// Percentage of the remaining descriptors that client connections may use.
const CLIENT_PERCENT: usize = 45;
/// Limit from connecting to the end of the first request. The protocol requires that a misbehaving client is answered
/// or closed within 3 s of connecting.
const FIRST_REQUEST_LIMIT: Duration = Duration::from_millis(2500);
/// How long after connecting a client is expected to be about to send its first request.
const NEWCOMER_GRACE: Duration = Duration::from_millis(200);
/// Limit on reading a request, from its first byte to its last, and on writing a response that has no deadline.
const READ_LIMIT: Duration = Duration::from_secs(2);
/// How long past its deadline a response may still be written. A response within this time has no value to the client;
/// after it the request counts as never answered.
const WRITE_GRACE: Duration = Duration::from_millis(500);
/// How long after SIGTERM new connections are accepted. Clients open new ones for 0.2 to 0.4 s after SIGTERM, and a
/// request that arrives later than 0.7 s after SIGTERM may be cut off by SIGKILL.
pub const STOP_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// Idle time after which a connection is closed. The protocol permits closing a connection without a request after 2 s.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// Limits on the numbers of open connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DescriptorBudget {
    /// Client connections.
    pub clients: usize,
    /// Client connections that have sent a request; from this number on, the longest idle one is closed. All clients
    /// together open at most a third of the sidecar's descriptors for requests. If clients that send one request and
    /// stay connected held all of these, no other client could connect, so this is four fifths of that third.
    pub active_clients: usize,
    /// Connections to pods.
    pub pods: usize,
}

impl DescriptorBudget {
    /// Divides the descriptors of the process.
    pub fn new(descriptors: usize) -> DescriptorBudget {
        let connections = descriptors.saturating_sub(OTHER_DESCRIPTORS);
        let clients = connections * CLIENT_PERCENT / 100;
        DescriptorBudget {
            clients,
            active_clients: descriptors * 4 / 15,
            pods: connections - clients,
        }
    }
}

/// Identifies a client connection; never reused.
pub type ConnectionId = u64;

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Activity {
    /// No request is in progress.
    Idle,
    /// A request is being read.
    Reading {
        /// When the first byte of the request was received.
        began: Instant,
    },
    /// A request was read and its response is not fully written yet.
    Responding {
        /// Time by which the response must be written; `None` until the HTTP server was given the response.
        write_by: Option<Instant>,
    },
}

/// The state of a client connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// When the connection was accepted.
    pub connected: Instant,
    /// When its last response was written; when the connection was accepted, if there was none.
    pub idle_since: Instant,
    /// What the connection is doing.
    pub activity: Activity,
    /// Whether a complete request has been read from the connection.
    pub has_requested: bool,
}

impl ConnectionState {
    /// Returns the state of a connection that was just accepted.
    pub fn new(now: Instant) -> ConnectionState {
        ConnectionState {
            connected: now,
            idle_since: now,
            activity: Activity::Idle,
            has_requested: false,
        }
    }

    /// Returns the time by which a request whose first byte came at `began` must be read.
    pub fn read_by(&self, began: Instant) -> Instant {
        let limit = began + READ_LIMIT;
        if self.has_requested {
            return limit;
        }
        limit.min(self.connected + FIRST_REQUEST_LIMIT)
    }

    /// Returns when to close the connection if nothing more is received; `None` while a request waits for its response.
    /// `stopped_at` is when the process was asked to stop.
    pub fn closes_at(&self, stopped_at: Option<Instant>) -> Option<Instant> {
        match self.activity {
            Activity::Responding { write_by } => write_by,
            // A partly read request is still accepted after a stop.
            Activity::Reading { began } => Some(self.read_by(began)),
            Activity::Idle => Some(self.idle_closes_at(stopped_at)),
        }
    }

    fn idle_closes_at(&self, stopped_at: Option<Instant>) -> Instant {
        let mut closes_at = self.idle_since + IDLE_LIMIT;
        if !self.has_requested {
            closes_at = closes_at.min(self.connected + FIRST_REQUEST_LIMIT);
        }
        let Some(stopped_at) = stopped_at else {
            return closes_at;
        };
        if self.has_requested {
            return closes_at.min(stopped_at);
        }
        // A client that has just connected is about to send a request.
        let newcomer = (stopped_at + STOP_ACCEPT_TIME).max(self.connected + NEWCOMER_GRACE);
        closes_at.min(newcomer)
    }

    /// Returns the time by which a response must be written; `deadline` is that of its request, if any. A client that
    /// does not read its response by then is disconnected.
    pub fn write_by(now: Instant, deadline: Option<Instant>) -> Instant {
        match deadline {
            Some(deadline) => deadline.max(now) + WRITE_GRACE,
            None => now + READ_LIMIT,
        }
    }

    fn is_idle(&self) -> bool {
        self.activity == Activity::Idle
    }

    fn is_responding(&self) -> bool {
        matches!(self.activity, Activity::Responding { .. })
    }

    fn eviction_rank(&self, now: Instant) -> EvictionRank {
        let is_new = now.saturating_duration_since(self.connected) < NEWCOMER_GRACE;
        match (self.has_requested, self.is_idle()) {
            (false, _) if !is_new => EvictionRank::Silent,
            (true, true) => EvictionRank::Idle,
            (false, _) => EvictionRank::Newcomer,
            (true, false) => EvictionRank::Reading,
        }
    }
}

/// Ranks of connections that may be evicted; the lowest is evicted first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// The client has sent no complete request since connecting.
    Silent,
    /// The last response was written, and no further request has begun.
    Idle,
    /// The client has just connected and is about to send a request.
    Newcomer,
    /// A further request is being read.
    Reading,
}

/// Returns the longest idle connection if those that have sent a request reach their budget.
pub fn idle_candidate(
    connections: &[(ConnectionId, ConnectionState)],
    budget: DescriptorBudget,
) -> Option<ConnectionId> {
    let active = connections.iter().filter(|(_, state)| state.has_requested);
    if active.clone().count() < budget.active_clients {
        return None;
    }
    let idle = active.filter(|(_, state)| state.is_idle());
    idle.min_by_key(|(_, state)| state.idle_since)
        .map(|(id, _)| *id)
}

/// Which connections may be evicted before a new one is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// None is evicted.
    None,
    /// Those of clients that have sent no complete request for a while; if there is none, the new one is accepted all the
    /// same.
    Silent,
    /// All except those that wait for a response; if there is none, the new one is closed.
    Any,
}

/// Decides which connections a new one may displace. Memory that is short is first taken from silent clients.
pub fn eviction_before_accept(is_full: bool, memory: ClientMemory) -> Eviction {
    match memory {
        _ if is_full => Eviction::Any,
        ClientMemory::Ample => Eviction::None,
        ClientMemory::Short => Eviction::Silent,
        ClientMemory::Exhausted => Eviction::Any,
    }
}

/// Returns the oldest connection of a client that has sent no complete request for a while.
pub fn silent_candidate(
    connections: &[(ConnectionId, ConnectionState)],
    now: Instant,
) -> Option<ConnectionId> {
    let silent = connections.iter().filter(|(_, state)| {
        !state.is_responding() && state.eviction_rank(now) == EvictionRank::Silent
    });
    silent
        .min_by_key(|(_, state)| state.idle_since)
        .map(|(id, _)| *id)
}

/// Returns the connection to evict from a full listener, if any: the oldest of those that never sent a request, or
/// otherwise the one idle the longest since its last response. A new connection, which is about to send a request, and
/// one whose next request is being read come last. A connection that waits for a response is never evicted.
pub fn eviction_candidate(
    connections: &[(ConnectionId, ConnectionState)],
    now: Instant,
) -> Option<ConnectionId> {
    let evictable = connections
        .iter()
        .filter(|(_, state)| !state.is_responding());
    evictable
        .min_by_key(|(_, state)| (state.eviction_rank(now), state.idle_since))
        .map(|(id, _)| *id)
}
