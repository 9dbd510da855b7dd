//! What all tasks of one sidecar share.

use crate::dispatcher::Dispatcher;
use crate::membership::Membership;
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

/// What brings routes while the process runs.
pub trait ConfigurationSource {
    /// Returns what an operator sees of it.
    fn state(&self) -> Value;
}

/// What the tasks of one sidecar share beside its engine.
pub struct Sidecar {
    /// The settings.
    pub site: Site,
    /// The routes in force; swapped as a whole.
    pub routes: RefCell<Rc<RouteTable>>,
    /// What brings them while the process runs; unset where they are those of the settings.
    pub configuration: OnceCell<Box<dyn ConfigurationSource>>,
    /// Connections to pods.
    pub upstream: UpstreamConnections,
    /// The `Via` header of what it sends.
    pub via: HeaderValue,
    /// The header in which pods are told how long an attempt may take.
    pub timeout_header: HeaderName,
    /// `None` where no sidecar knows of another.
    pub membership: Option<Rc<Membership>>,
    /// `None` where no sidecar takes another's work over.
    pub takeover: Option<Rc<TakeoverService>>,
    /// Wakes whoever writes the cached endpoint list.
    pub endpoints_changed: Notify,
    /// Lines to service discovery.
    pub discovery_requests: mpsc::Sender<String>,
    /// Lines to the control plane.
    pub control_plane_requests: mpsc::Sender<String>,
    /// Whether the control plane is connected.
    pub control_plane_up: Cell<bool>,
    /// Set once no more requests are taken.
    pub stopping: Cell<bool>,
}

/// One sidecar: its engine, and what its tasks share.
pub type Shell = Dispatcher<Sidecar>;

impl Shell {
    /// Returns whether the sidecar holds as many requests as it may, or stops. Clients that ask and leave at once count
    /// until their attempts have ended, else they could pile up attempts past the bound.
    pub fn is_full(&self) -> bool {
        let protected = self
            .takeover
            .as_ref()
            .map_or(0, |service| service.serving());
        let held = self.engine().requests_held().max(protected);
        self.stopping.get() || held >= self.site.listener.max_requests
    }

    /// Returns the routes in force now; whoever holds them goes on by them.
    pub fn routes(&self) -> Rc<RouteTable> {
        self.routes.borrow().clone()
    }

    /// Returns a pod's name as a header carries it.
    pub fn pod_name(&self, pod: PodId) -> Option<HeaderValue> {
        HeaderValue::from_str(self.engine().pod_name(pod)?).ok()
    }
}
