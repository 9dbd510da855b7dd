//! Which clients' connections are kept and which give their place up; how descriptors are shared out.
//!
//! Free of I/O; time is handed in. A listener that is full must still take those who ask, whoever holds the places.

use std::time::{Duration, Instant};

/// Descriptors for what is neither a client's connection nor a pod's: log, runtime, listener, node list and
/// release desk with their successors, and those that close just now.
const OTHERS: usize = 28;
/// Parts in a hundred of the rest that clients' connections may take.
const CLIENTS: usize = 45;
/// The protocol wants a bad client dealt with within 3 s of connecting.
const FIRST_HIT: Duration = Duration::from_millis(2500);
/// So long a connection that asked nothing yet counts as one that is about to.
const NEW: Duration = Duration::from_millis(200);
/// From a hit's first byte to its last.
const READING: Duration = Duration::from_secs(2);
/// How late an answer may be and still counts as one.
const LATE: Duration = Duration::from_millis(500);
/// New connections come for 0.2 to 0.4 s after SIGTERM, and what is asked later than 0.7 s after it may meet SIGKILL.
pub const COMING: Duration = Duration::from_millis(600);
/// The protocol lets a connection with no hit on it close after 2 s.
const IDLE: Duration = Duration::from_secs(2);

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    pub clients: usize,
    /// Clients' connections that asked, from which on those idle the longest go. All clients together hold no
    /// more than a third of our descriptors for hits, and where those that ask once and stay hold them all the
    /// others cannot come: so four fifths of that third.
    pub asked: usize,
    pub pods: usize,
}

impl Shares {
    pub fn of(sockets: usize) -> Shares {
        let places = sockets.saturating_sub(OTHERS);
        let clients = places * CLIENTS / 100;
        Shares {
            clients,
            asked: sockets * 4 / 15,
            pods: places - clients,
        }
    }
}

/// A client's connection as it stands.
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    pub connected: Instant,
    /// Since when no hit is on it.
    pub since: Instant,
    /// When the first byte came of a hit that is not read yet.
    pub began: Option<Instant>,
    /// From a hit's reading to the last byte of its answer written.
    pub serving: bool,
    /// By when the answer that was handed over must be written.
    pub write_by: Option<Instant>,
    /// Some hit of it was read whole.
    pub asked: bool,
}

impl Slot {
    pub fn new(now: Instant) -> Slot {
        Slot {
            connected: now,
            since: now,
            began: None,
            serving: false,
            write_by: None,
            asked: false,
        }
    }

    /// By when a hit that began then must be read whole.
    pub fn read_by(&self, began: Instant) -> Instant {
        let patience = began + READING;
        if self.asked {
            patience
        } else {
            patience.min(self.connected + FIRST_HIT)
        }
    }

    /// When it closes if nothing more is heard, `stop` being when we were told to stop; none while a hit waits for
    /// its answer.
    pub fn closes(&self, stop: Option<Instant>) -> Option<Instant> {
        let quiet = match self.began {
            _ if self.serving => return self.write_by,
            // A hit half read is still taken.
            Some(began) => return Some(self.read_by(began)),
            None if self.asked => self.since + IDLE,
            None => (self.since + IDLE).min(self.connected + FIRST_HIT),
        };
        let stop = stop.map(|stop| match self.asked {
            true => stop,
            // It came just now, and is about to ask.
            false => (stop + COMING).max(self.connected + NEW),
        });
        Some(stop.map_or(quiet, |stop| stop.min(quiet)))
    }

    /// By when the answer to a hit must be written: half a second past its time a client still gets it for nothing,
    /// and later it counts as never answered. Who does not read it by then holds its place no longer.
    pub fn written_by(now: Instant, deadline: Option<Instant>) -> Instant {
        deadline.map_or(now + READING, |deadline| deadline.max(now) + LATE)
    }

    fn is_idle(&self) -> bool {
        !self.serving && self.began.is_none()
    }
}

/// The one idle the longest, where those that asked are too many.
pub fn longest_idle(slots: &[(u64, Slot)], shares: Shares) -> Option<u64> {
    let asked = || slots.iter().filter(|(_, slot)| slot.asked);
    let many = asked().count() >= shares.asked;
    let idle = asked().filter(|(_, slot)| many && slot.is_idle());
    idle.min_by_key(|(_, slot)| slot.since).map(|(id, _)| *id)
}

/// Who makes room at a full listener, if anyone can: of those that were silent from the start the oldest, else the
/// one idle the longest since its answer. One that came just now is about to ask, and one in the middle of its
/// next hit has begun to: they come last, and one whose hit is served never.
pub fn evicted(slots: &[(u64, Slot)], now: Instant) -> Option<u64> {
    let class = |slot: &Slot| match (slot.asked, slot.began.is_some()) {
        (false, _) if now.saturating_duration_since(slot.connected) >= NEW => 0,
        (true, false) => 1,
        (false, _) => 2,
        (true, true) => 3,
    };
    let free = slots.iter().filter(|(_, slot)| !slot.serving);
    free.min_by_key(|(_, slot)| (class(slot), slot.since))
        .map(|(id, _)| *id)
}
