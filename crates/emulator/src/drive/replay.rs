//! State that the emulated pods, services and clients of one drive share.

use super::outcome::DriveOutcome;
use super::script::{Notification, Script};
use havenplank::interface::{Build, Nanos, RequestId};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// How often a service checks whether the drive has begun.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A pod by name and incarnation, as another pod may reuse a name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PodKey {
    name: String,
    incarnation: u64,
}

impl PodKey {
    pub(super) fn of(pod: &ListedEndpoint) -> PodKey {
        PodKey {
            name: pod.name.clone(),
            incarnation: pod.incarnation,
        }
    }
}

/// The state that the emulated pods, services and clients of one drive share.
pub(super) struct Replay {
    pub(super) script: Script,
    pub(super) began: Cell<Option<Instant>>,
    /// Addresses of the emulated pods; bounded by the script's endpoint lists.
    pub(super) pods: RefCell<HashMap<PodKey, SocketAddr>>,
    /// Number of attempts so far, by request and build; bounded by the script's requests.
    pub(super) attempt_counts: RefCell<HashMap<RequestId, HashMap<Build, usize>>>,
    pub(super) counts: RefCell<DriveOutcome>,
    /// The last endpoint list sent, for a sidecar that polls; bounded by the script's endpoint lists.
    pub(super) endpoints: RefCell<BTreeMap<String, ListedEndpoint>>,
}

impl Replay {
    pub(super) fn new(script: Script) -> Replay {
        Replay {
            script,
            began: Cell::new(None),
            pods: RefCell::default(),
            attempt_counts: RefCell::default(),
            counts: RefCell::default(),
            endpoints: RefCell::default(),
        }
    }

    /// Time since the drive began, and 0 before.
    pub(super) fn now(&self) -> Nanos {
        self.began
            .get()
            .map_or(0, |began| began.elapsed().as_nanos() as Nanos)
    }

    /// The notification at this index, if it is due.
    pub(super) fn due_notification(&self, index: usize) -> Option<&Notification> {
        let timed = self.script.notifications.get(index)?;
        (timed.at <= self.now()).then_some(&timed.notification)
    }

    /// Waits until the notification at this index is due; never returns after the last one.
    ///
    /// Before the drive begins it returns after [`START_CHECK_INTERVAL`], and the caller calls it again.
    pub(super) async fn until_notification(&self, index: usize) {
        let due = self.script.notifications.get(index).map(|timed| timed.at);
        match (due, self.began.get()) {
            (Some(due), Some(began)) => sleep_until(began + Duration::from_nanos(due)).await,
            (Some(_), None) => sleep(START_CHECK_INTERVAL).await,
            (None, _) => std::future::pending().await,
        }
    }
}
