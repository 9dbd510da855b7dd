//! Looks at an engine that change nothing.

use super::request::InFlightRequest;
use super::Engine;
use havenplank::interface::{PodId, PodState, RouteClassId, Stage};
use havenplank::PodVisits;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use std::net::SocketAddr;

/// What an operator may look at.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineStatus {
    /// Requests in flight; see [`Engine::requests_held`].
    pub requests: usize,
    /// Pods that are listed as running.
    pub running_pods: usize,
    /// The last stage received.
    pub stage: Option<Stage>,
    /// The sequential test's sums on the build on trial.
    pub test_sums: TestSums,
}

/// Log-likelihood sums of the sequential test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TestSums {
    /// On failed requests.
    pub failures: f64,
    /// On slow answers.
    pub slow: f64,
    /// On failures by the share of requests sampled in.
    pub by_share: f64,
}

impl Engine {
    /// Returns the index of a pod that is listed.
    pub fn pod_id(&self, pod: &str) -> Option<PodId> {
        self.host.pods.find(pod)
    }

    /// Returns where a pod listens.
    pub fn pod_address(&self, pod: PodId) -> Option<SocketAddr> {
        self.host.pods.address(pod)
    }

    /// Returns the name of a pod.
    pub fn pod_name(&self, pod: PodId) -> Option<&str> {
        self.host.pods.name(pod)
    }

    /// Returns the endpoint list as last received, to be cached for a start without service discovery.
    pub fn listed_pods(&self) -> Vec<ListedEndpoint> {
        self.host.pods.listed(self.host.now)
    }

    pub(super) fn route_class(&self, name: &str) -> Option<RouteClassId> {
        self.slots.find(name)
    }

    /// Returns how many requests are held: those that wait for an answer, and those whose attempts are still in flight
    /// though their client left.
    pub fn requests_held(&self) -> usize {
        self.host.requests.len()
    }

    /// Returns how many attempts have not ended.
    pub fn attempts_in_flight(&self) -> usize {
        let requests = self.host.requests.values();
        requests.map(InFlightRequest::attempts_in_flight).sum()
    }

    /// Returns how many pods the decisions looked at since the start.
    pub fn visits(&self) -> PodVisits {
        self.router.visits()
    }

    /// Returns what an operator may look at.
    pub fn status(&self) -> EngineStatus {
        let endpoints = self.host.endpoints.iter().flatten();
        let running = endpoints.filter(|endpoint| endpoint.state == PodState::Running);
        let (failures, slow, by_share) = self.router.sums();
        EngineStatus {
            requests: self.host.requests.len(),
            running_pods: running.count(),
            stage: self.stage,
            test_sums: TestSums {
                failures,
                slow,
                by_share,
            },
        }
    }
}
