//! Decides which watch on the endpoint list is in force, when another is opened beside it and which updates apply.
//!
//! Free of I/O; time and backoff delays are handed in. One watch at most is active: its messages are taken. One at
//! most is the candidate that is to follow it. The active one stays in force until the candidate speaks, so that a
//! move to another address or a doubt leaves no gap. The test is `tests/watch_selection.rs`.
//!
//! Discovery sends an empty line every 2 s where nothing changes, and what a silent watch misses counts as told 6 s
//! after it fell silent, maybe right after its last message. The limits below make a lost watch good within that.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The active watch is overdue: a candidate is opened beside it.
const OVERDUE: Duration = Duration::from_millis(2500);
/// Two messages are missing: the active watch is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(4500);
/// The agent is on this machine and answers immediately. A candidate that has not spoken by then, its connect
/// included, is opened anew: three of them fit between [`OVERDUE`] and the 6 s.
const CANDIDATE_LIMIT: Duration = Duration::from_millis(1000);

/// A version of the endpoint list, as discovery counts them.
pub type ListVersion = u64;

/// A complete message of a watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchMessage {
    /// An empty line: nothing changed.
    KeepAlive,
    /// A version of the list.
    Update {
        /// Its version.
        version: ListVersion,
        /// Whether it names all endpoints, or only those that changed.
        complete: bool,
    },
}

/// Whether a message's update goes to the router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It goes there.
    Apply,
    /// There is none, or it would set back what is known.
    Ignore,
}

/// A watch to be opened as the candidate, in place of the one there may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenCandidate {
    /// Where discovery is reached.
    pub address: SocketAddr,
    /// The version after which the watch starts.
    pub since: ListVersion,
}

/// What to do as a deadline passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OnDeadline {
    /// Whether the active watch is given up for its silence.
    pub drop_active: bool,
    /// The candidate to open, if any.
    pub open: Option<OpenCandidate>,
}

/// What to do with a candidate that spoke.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OnCandidateMessage {
    /// It is the active watch from now on, with this verdict on its message.
    Promote(Verdict),
    /// Its list is older than the last message of the active watch: another candidate takes its place.
    Replace(OpenCandidate),
}

#[derive(Clone, Copy)]
struct Candidate {
    address: SocketAddr,
    since: ListVersion,
    opened: Instant,
}

/// The list's version and what is known of the watches on it.
pub struct WatchSelection {
    /// Where discovery is reached now.
    address: SocketAddr,
    version: ListVersion,
    /// The address of the active watch.
    active: Option<SocketAddr>,
    candidate: Option<Candidate>,
    /// When the active watch spoke last. Half a message is none.
    last_message: Instant,
    /// No candidate is opened before then, after one that ended.
    retry_at: Instant,
}

impl WatchSelection {
    /// Starts without a watch, from a version of the list that is known.
    pub fn new(now: Instant, address: SocketAddr, version: ListVersion) -> WatchSelection {
        WatchSelection {
            address,
            version,
            active: None,
            candidate: None,
            last_message: now,
            retry_at: now,
        }
    }

    /// Returns the version that is in force.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Returns when to call [`WatchSelection::on_deadline`] if nothing happens before.
    pub fn next_deadline(&self) -> Instant {
        let opens = self.candidate_due();
        match self.active {
            Some(_) => opens.min(self.silence_deadline()),
            None => opens,
        }
    }

    fn silence_deadline(&self) -> Instant {
        self.last_message + SILENCE_LIMIT
    }

    fn candidate_due(&self) -> Instant {
        if let Some(candidate) = &self.candidate {
            return candidate.opened + CANDIDATE_LIMIT;
        }
        if self.active == Some(self.address) {
            return self.retry_at.max(self.last_message + OVERDUE);
        }
        self.retry_at
    }

    /// Gives up an active watch that was silent for too long, and opens a candidate where one is due.
    pub fn on_deadline(&mut self, now: Instant) -> OnDeadline {
        let drop_active = self.active.is_some() && now >= self.silence_deadline();
        if drop_active {
            self.active = None;
        }
        let is_due = now >= self.next_deadline();
        OnDeadline {
            drop_active,
            open: is_due.then(|| self.open_candidate(now)),
        }
    }

    fn open_candidate(&mut self, now: Instant) -> OpenCandidate {
        self.candidate = Some(Candidate {
            address: self.address,
            since: self.version,
            opened: now,
        });
        OpenCandidate {
            address: self.address,
            since: self.version,
        }
    }

    /// Discovery moved: a candidate is opened there at once.
    pub fn on_address_change(&mut self, now: Instant, address: SocketAddr) -> OpenCandidate {
        self.address = address;
        self.open_candidate(now)
    }

    /// Judges a message of the active watch.
    pub fn on_active_message(&mut self, now: Instant, message: WatchMessage) -> Verdict {
        self.last_message = now;
        let WatchMessage::Update { version, complete } = message else {
            return Verdict::Ignore;
        };
        // Changes up to a version that is known already would set back what was received since.
        if !complete && version < self.version {
            return Verdict::Ignore;
        }
        self.version = version;
        Verdict::Apply
    }

    /// The active watch ended; no candidate is opened before `delay` is over.
    pub fn on_active_end(&mut self, now: Instant, delay: Duration) {
        self.active = None;
        self.retry_at = now + delay;
    }

    /// Promotes a candidate that spoke, unless its message is outdated. A complete list may go back to an earlier
    /// version, but not by a message that was on its way when a later one came.
    pub fn on_candidate_message(
        &mut self,
        now: Instant,
        message: WatchMessage,
    ) -> Option<OnCandidateMessage> {
        let candidate = self.candidate.take()?;
        if let WatchMessage::Update { version, complete } = message {
            if complete && version < self.version && candidate.since != self.version {
                return Some(OnCandidateMessage::Replace(self.open_candidate(now)));
            }
        }
        self.active = Some(candidate.address);
        let verdict = self.on_active_message(now, message);
        Some(OnCandidateMessage::Promote(verdict))
    }

    /// The candidate ended before it spoke; the next is not opened before `delay` is over.
    pub fn on_candidate_end(&mut self, now: Instant, delay: Duration) {
        self.candidate = None;
        self.retry_at = now + delay;
    }
}
