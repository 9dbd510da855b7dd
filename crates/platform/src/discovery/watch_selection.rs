//! Decides which watch on the endpoint list is active, when another is opened next to it and which updates apply.
//!
//! Free of I/O; the caller passes in times and backoff delays. At most one watch is active, and its updates are
//! applied. At most one watch is the candidate that is to replace it. The active watch stays active until the candidate
//! delivers a message, so that updates continue during a move to another address and while a watch is overdue. Tests:
//! `tests/watch_selection.rs`.
//!
//! Discovery sends an empty line every 2 s while nothing changes. It considers the sidecar informed of an update 6 s
//! after a watch fell silent, and a watch may fall silent right after its last message. The limits below replace a
//! silent watch within those 6 s.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time without a message after which the active watch is overdue and a candidate is opened: one empty line is missing.
const OVERDUE_AFTER: Duration = Duration::from_millis(2500);
/// Time without a message after which the active watch is dropped: two empty lines are missing.
const SILENCE_LIMIT: Duration = Duration::from_millis(4500);
/// Time for a candidate to connect and deliver a message before it is replaced by a new one. The discovery agent is on
/// this machine and answers immediately; three candidates fit between [`OVERDUE_AFTER`] and the 6 s.
const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(1000);

/// A version of the endpoint list, as numbered by discovery.
pub type ListVersion = u64;

/// A complete message of a watch, without the entries of its update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchMessage {
    /// An empty line: nothing changed.
    KeepAlive,
    /// An update of the list.
    Update {
        /// The version that the update leads to.
        version: ListVersion,
        /// Whether the update carries the complete list rather than only the changed entries.
        complete: bool,
    },
}

/// What to do with the update in a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpdateAction {
    /// Pass the update to the engine.
    Apply,
    /// Drop the message: it has no update, or an update older than the present list.
    Ignore,
}

/// A watch to open as the candidate, replacing the present candidate if there is one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenCandidate {
    /// Where discovery is reached.
    pub address: SocketAddr,
    /// The version after which the watch starts.
    pub since: ListVersion,
}

/// What to do when a deadline passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeadlineActions {
    /// Whether to drop the active watch because it was silent too long.
    pub drop_active: bool,
    /// The candidate to open, if any.
    pub open: Option<OpenCandidate>,
}

/// What to do with a candidate that delivered a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CandidateAction {
    /// Make the candidate the active watch, and treat its message as given.
    Promote(UpdateAction),
    /// Replace the candidate by a new one: its list is older than the last message of the active watch.
    Replace(OpenCandidate),
}

#[derive(Clone, Copy)]
struct Candidate {
    address: SocketAddr,
    since: ListVersion,
    opened: Instant,
}

/// The version of the list, the active watch and the candidate.
pub struct WatchSelection {
    /// The present address of discovery.
    address: SocketAddr,
    version: ListVersion,
    /// The address of the active watch.
    active: Option<SocketAddr>,
    candidate: Option<Candidate>,
    /// When the active watch last delivered a complete message.
    last_message: Instant,
    /// The earliest time to open a candidate after a watch ended.
    retry_at: Instant,
}

impl WatchSelection {
    /// Starts without a watch; `version` is that of the list the sidecar has.
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

    /// Returns the version of the present list.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Returns when to call [`WatchSelection::on_deadline`] if no other event comes first.
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
            return candidate.opened + CANDIDATE_TIMEOUT;
        }
        if self.active == Some(self.address) {
            return self.retry_at.max(self.last_message + OVERDUE_AFTER);
        }
        self.retry_at
    }

    /// Drops an active watch that was silent too long, and opens a candidate if one is due.
    pub fn on_deadline(&mut self, now: Instant) -> DeadlineActions {
        let drop_active = self.active.is_some() && now >= self.silence_deadline();
        if drop_active {
            self.active = None;
        }
        let is_due = now >= self.next_deadline();
        DeadlineActions {
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

    /// Opens a candidate immediately at the new address of discovery.
    pub fn on_address_change(&mut self, now: Instant, address: SocketAddr) -> OpenCandidate {
        self.address = address;
        self.open_candidate(now)
    }

    /// Records a message of the active watch and decides whether its update applies.
    pub fn on_active_message(&mut self, now: Instant, message: WatchMessage) -> UpdateAction {
        self.last_message = now;
        let WatchMessage::Update { version, complete } = message else {
            return UpdateAction::Ignore;
        };
        // Applying changes older than the present list would undo newer ones.
        if !complete && version < self.version {
            return UpdateAction::Ignore;
        }
        self.version = version;
        UpdateAction::Apply
    }

    /// Records that the active watch ended; no candidate is opened before `delay` has passed.
    pub fn on_active_end(&mut self, now: Instant, delay: Duration) {
        self.active = None;
        self.retry_at = now + delay;
    }

    /// Promotes a candidate that delivered a message, unless the message is outdated. A complete list may return to an
    /// earlier version, but not in a message that was sent before the last one of the active watch.
    pub fn on_candidate_message(
        &mut self,
        now: Instant,
        message: WatchMessage,
    ) -> Option<CandidateAction> {
        let candidate = self.candidate.take()?;
        if let WatchMessage::Update { version, complete } = message {
            if complete && version < self.version && candidate.since != self.version {
                return Some(CandidateAction::Replace(self.open_candidate(now)));
            }
        }
        self.active = Some(candidate.address);
        let action = self.on_active_message(now, message);
        Some(CandidateAction::Promote(action))
    }

    /// Records that the candidate ended without a message; the next one is not opened before `delay` has passed.
    pub fn on_candidate_end(&mut self, now: Instant, delay: Duration) {
        self.candidate = None;
        self.retry_at = now + delay;
    }
}
