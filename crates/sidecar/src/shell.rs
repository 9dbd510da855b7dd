//! The shell of a sidecar: the part that performs the I/O around the engine. Holds the state that all tasks of the
//! sidecar share.

use crate::body_memory::BodyMemory;
use crate::dispatcher::Dispatcher;
use crate::membership::Membership;
use crate::read_ahead::ReadAheadMemory;
use crate::routes::RouteTable;
use crate::takeover_service::TakeoverService;
use crate::upstream::UpstreamConnections;
use havenplank::interface::PodId;
use havenplank_settings::Site;
use hyper::header::{HeaderName, HeaderValue};
use serde_json::Value;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};

/// A source of routes that can change while the process runs.
pub trait ConfigurationSource {
    /// Returns the state of the source that operators see.
    fn state(&self) -> Value;
}

/// The state that the tasks of one sidecar share, other than its engine.
pub struct Sidecar {
    /// The settings of the sidecar.
    pub site: Site,
    /// The current routes. A change replaces the complete table.
    pub routes: RefCell<Rc<RouteTable>>,
    /// The source of changing routes; unset if the routes are fixed in the settings.
    pub configuration: OnceCell<Box<dyn ConfigurationSource>>,
    /// The memory for the bodies of requests.
    pub request_memory: BodyMemory,
    /// The memory for what clients send behind requests in flight.
    pub read_ahead: Rc<ReadAheadMemory>,
    /// Connections to pods.
    pub upstream: UpstreamConnections,
    /// The value of the `Via` header on requests to pods.
    pub via: HeaderValue,
    /// The header in which pods get the time that an attempt may take.
    pub timeout_header: HeaderName,
    /// The membership of sidecars; `None` if it is not configured.
    pub membership: Option<Rc<Membership>>,
    /// The takeover of requests between sidecars; `None` if it is not configured.
    pub takeover: Option<Rc<TakeoverService>>,
    /// Wakes the task that writes the cached endpoint list.
    pub endpoints_changed: Notify,
    /// Sends lines to service discovery.
    pub discovery_requests: mpsc::Sender<String>,
    /// Sends lines to the control plane.
    pub control_plane_requests: mpsc::Sender<String>,
    /// Whether the control plane is connected.
    pub control_plane_up: Cell<bool>,
    /// Set once the sidecar accepts no more requests.
    pub stopping: Cell<bool>,
}

/// The shell of one sidecar: the dispatcher of its engine, with the shared state of the tasks as its transport.
pub type Shell = Dispatcher<Sidecar>;

impl Shell {
    /// Returns whether the sidecar is at its request limit or is shutting down. A request whose client disconnected
    /// counts until its attempts have ended; otherwise clients that disconnect at once could pile up attempts beyond
    /// the limit.
    pub fn is_full(&self) -> bool {
        let protected = self
            .takeover
            .as_ref()
            .map_or(0, |service| service.serving_count());
        let held = self.engine().requests_held().max(protected);
        self.stopping.get() || held >= self.site.listener.max_requests
    }

    /// Returns the current routes. A caller that keeps the table continues to use this version.
    pub fn routes(&self) -> Rc<RouteTable> {
        self.routes.borrow().clone()
    }

    /// Returns the name of a pod as a header value; `None` if the pod is unknown or its name is not a valid value.
    pub fn pod_name(&self, pod: PodId) -> Option<HeaderValue> {
        HeaderValue::from_str(self.engine().pod_name(pod)?).ok()
    }
}
