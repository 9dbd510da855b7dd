//! Follows the endpoint list of discovery and passes its updates to the engine.
//!
//! [`watch_selection`] decides which watch is active, [`list_update`] decodes updates, `watch` is the connection of one
//! watch.

mod list_status;
pub mod list_update;
mod watch;
pub mod watch_selection;

use crate::counters::increment;
use crate::reconnect::backoff;
use crate::shell::Shell;
use havenplank_line_protocol::backoff::Backoff;
pub(crate) use list_status::ListStatus;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::watch::Receiver;
use tokio::time::sleep_until;
use watch::{Received, Watch, WatchError};
use watch_selection::{CandidateAction, ListVersion, OpenCandidate, UpdateAction, WatchSelection};

/// What following the list starts from.
pub(crate) struct Start {
    /// The version of the list that the sidecar has.
    pub(crate) since: ListVersion,
    /// Limit on the memory that the decoded entries of one update hold.
    pub(crate) max_update_bytes: usize,
    /// Seed of the backoff.
    pub(crate) seed: u64,
}

/// A [`WatchSelection`] and the connections that it decides about.
struct DiscoveryClient {
    shell: Rc<Shell>,
    selection: WatchSelection,
    active: Option<Watch>,
    candidate: Option<Watch>,
    max_update_bytes: usize,
    backoff: Backoff,
}

/// Follows the list until the sender of `address` is dropped.
pub(crate) async fn follow(shell: Rc<Shell>, mut address: Receiver<SocketAddr>, start: Start) {
    let current = *address.borrow_and_update();
    shell.list_status.version.set(start.since);
    let mut client = DiscoveryClient {
        shell,
        selection: WatchSelection::new(Instant::now(), current, start.since),
        active: None,
        candidate: None,
        max_update_bytes: start.max_update_bytes,
        backoff: backoff(start.seed),
    };
    loop {
        let deadline = client.selection.next_deadline();
        tokio::select! {
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                client.on_address_change(*address.borrow_and_update());
            }
            received = Watch::next(&mut client.active) => client.on_active(received),
            received = Watch::next(&mut client.candidate) => client.on_candidate(received),
            () = sleep_until(deadline.into()) => client.on_deadline(),
        }
    }
}

impl DiscoveryClient {
    fn on_address_change(&mut self, to: SocketAddr) {
        tracing::info!(%to, "endpoint list: address changed");
        let target = self.selection.on_address_change(Instant::now(), to);
        self.open_candidate(target);
    }

    fn on_deadline(&mut self) {
        let due = self.selection.on_deadline(Instant::now());
        if due.drop_active {
            self.log_end(&WatchError::Silent);
            self.active = None;
        }
        if let Some(target) = due.open {
            self.open_candidate(target);
        }
    }

    fn on_active(&mut self, received: Result<Received, WatchError>) {
        match received {
            Ok(received) => {
                let action = self
                    .selection
                    .on_active_message(Instant::now(), received.message());
                self.apply(action, received);
            }
            Err(reason) => {
                self.log_end(&reason);
                self.active = None;
                let delay = self.backoff.next_delay();
                self.selection.on_active_end(Instant::now(), delay);
            }
        }
    }

    fn on_candidate(&mut self, received: Result<Received, WatchError>) {
        match received {
            Ok(received) => self.on_candidate_message(received),
            Err(reason) => {
                self.log_end(&reason);
                self.candidate = None;
                let delay = self.backoff.next_delay();
                self.selection.on_candidate_end(Instant::now(), delay);
            }
        }
    }

    fn on_candidate_message(&mut self, received: Received) {
        let now = Instant::now();
        match self.selection.on_candidate_message(now, received.message()) {
            Some(CandidateAction::Promote(action)) => {
                self.active = self.candidate.take();
                self.backoff.reset();
                self.apply(action, received);
            }
            Some(CandidateAction::Replace(target)) => self.open_candidate(target),
            None => {}
        }
    }

    fn open_candidate(&mut self, target: OpenCandidate) {
        self.candidate = Some(Watch::open(target, self.max_update_bytes));
    }

    fn apply(&self, action: UpdateAction, received: Received) {
        let status = &self.shell.list_status;
        status.last_message.set(Instant::now());
        status.version.set(self.selection.version());
        let Received::Update(update) = received else {
            return;
        };
        tracing::debug!(
            version = update.version,
            complete = update.complete,
            endpoints = update.endpoints.len(),
            "endpoint list update received"
        );
        if action == UpdateAction::Apply {
            self.shell.call(|engine, now| {
                engine.update_endpoints(now, update.complete, update.endpoints)
            });
        }
    }

    fn log_end(&self, reason: &WatchError) {
        increment(&self.shell.list_status.ended_watches);
        let version = self.selection.version();
        tracing::warn!(service = "endpoint list", %reason, version, "connection ended");
    }
}
