//! Decides which clients' connections are kept and which give their place up, and how descriptors are shared out.
//!
//! Free of I/O; time is handed in. A listener that is full must still take those who send requests, whoever holds the
//! places. The test is `tests/connection_slots.rs`.

use std::time::{Duration, Instant};

/// Descriptors for what is neither a client's connection nor a pod's: log, runtime, listener, discovery and control
/// plane with their successors, and connections that close just now.
const OTHER_DESCRIPTORS: usize = 28;
/// Percentage of the rest that clients' connections may take.
const CLIENT_PERCENT: usize = 45;
/// The protocol wants a bad client dealt with within 3 s of connecting.
const FIRST_REQUEST_LIMIT: Duration = Duration::from_millis(2500);
/// For so long after connecting a connection counts as about to send its first request.
const NEWCOMER_GRACE: Duration = Duration::from_millis(200);
/// Bound on reading a request, from its first byte to its last, and on writing a response that has no deadline.
const READ_LIMIT: Duration = Duration::from_secs(2);
/// For so long past its deadline a response may still be written: by then a client gets it for nothing, and later it
/// counts as never answered.
const WRITE_GRACE: Duration = Duration::from_millis(500);
/// For so long after a stop new connections are taken. They come for 0.2 to 0.4 s after SIGTERM, and a request that
/// comes later than 0.7 s after it may meet SIGKILL.
pub const STOP_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// The protocol lets a connection without a request close after 2 s.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DescriptorBudget {
    /// Clients' connections.
    pub clients: usize,
    /// Clients' connections that sent a request, from which on the one idle the longest closes. All clients together
    /// hold no more than a third of our descriptors for requests, and where those that ask once and stay hold them
    /// all the others cannot come: so four fifths of that third.
    pub active_clients: usize,
    /// Connections to pods.
    pub pods: usize,
}

impl DescriptorBudget {
    /// Shares out the descriptors of the process.
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

/// Identifies a client's connection; never given twice.
pub type ConnectionId = u64;

/// What a client's connection is at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Activity {
    /// No request is on it.
    Idle,
    /// A request that began then is being read.
    Reading {
        /// When its first byte came.
        began: Instant,
    },
    /// A request was read and its response is not written yet.
    Responding {
        /// By when the response must be written; none until it was handed over.
        write_by: Option<Instant>,
    },
}

/// A client's connection as it stands.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSlot {
    /// When it was accepted.
    pub connected: Instant,
    /// Since when it carries no request.
    pub idle_since: Instant,
    /// What it is at.
    pub activity: Activity,
    /// Whether some request of it was read whole.
    pub has_requested: bool,
}

impl ConnectionSlot {
    /// A connection that was just accepted.
    pub fn new(now: Instant) -> ConnectionSlot {
        ConnectionSlot {
            connected: now,
            idle_since: now,
            activity: Activity::Idle,
            has_requested: false,
        }
    }

    /// Returns by when a request that began then must be read whole.
    pub fn read_by(&self, began: Instant) -> Instant {
        let limit = began + READ_LIMIT;
        if self.has_requested {
            return limit;
        }
        limit.min(self.connected + FIRST_REQUEST_LIMIT)
    }

    /// Returns when it closes if nothing more is received, `stopped_at` being when the process was told to stop; none
    /// while a request waits for its response.
    pub fn closes_at(&self, stopped_at: Option<Instant>) -> Option<Instant> {
        match self.activity {
            Activity::Responding { write_by } => write_by,
            // A request half read is still taken.
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
        // It came just now, and is about to send a request.
        let newcomer = (stopped_at + STOP_ACCEPT_TIME).max(self.connected + NEWCOMER_GRACE);
        closes_at.min(newcomer)
    }

    /// Returns by when a response must be written; `deadline` is that of its request, where it had one. A client that
    /// does not read it by then holds its place no longer.
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

/// Which connections go first, in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// It was silent from the start.
    Silent,
    /// Its response was written.
    Idle,
    /// It came just now and is about to send a request.
    Newcomer,
    /// It is in the middle of its next request.
    Reading,
}

/// Returns the connection idle the longest, where those that sent a request exceed their budget.
pub fn idle_candidate(
    slots: &[(ConnectionId, ConnectionSlot)],
    budget: DescriptorBudget,
) -> Option<ConnectionId> {
    let active = slots.iter().filter(|(_, slot)| slot.has_requested);
    if active.clone().count() < budget.active_clients {
        return None;
    }
    let idle = active.filter(|(_, slot)| slot.is_idle());
    idle.min_by_key(|(_, slot)| slot.idle_since)
        .map(|(id, _)| *id)
}

/// Returns the connection that makes room at a full listener, if one can: of those that were silent from the start the
/// oldest, else the one idle the longest since its response. One that came just now is about to send a request, and
/// one in the middle of its next request has begun to: they come last, and one that waits for a response never.
pub fn eviction_candidate(
    slots: &[(ConnectionId, ConnectionSlot)],
    now: Instant,
) -> Option<ConnectionId> {
    let evictable = slots.iter().filter(|(_, slot)| !slot.is_responding());
    evictable
        .min_by_key(|(_, slot)| (slot.eviction_rank(now), slot.idle_since))
        .map(|(id, _)| *id)
}
