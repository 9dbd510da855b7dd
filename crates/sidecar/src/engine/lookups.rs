//! Read-only queries of an engine.

use super::request::InFlightRequest;
use super::Engine;
use havenplank::interface::{PodId, PodState, RouteClassId, Stage};
use havenplank::PodVisits;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use std::net::SocketAddr;

/// The state of an engine that operators see.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineStatus {
    /// Requests in flight; see [`Engine::requests_held`].
    pub requests: usize,
    /// Pods that the endpoint list shows as running.
    pub running_pods: usize,
    /// The last release stage received.
    pub stage: Option<Stage>,
    /// The sums of the sequential test of the build on trial.
    pub test_sums: TestSums,
}

/// The sums of log-likelihood ratios of the sequential test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TestSums {
    /// The sum over failures: failed attempts and reported wrong responses.
    pub failures: f64,
    /// The sum over slow responses.
    pub slow: f64,
    /// The sum over the alternating periods, which compares times with and without the build's share of requests.
    pub alternating_periods: f64,
}

impl Engine {
    /// Returns the index of a listed pod by its name.
    pub fn pod_id(&self, pod: &str) -> Option<PodId> {
        self.host.pods.find(pod)
    }

    /// Returns the address that a pod listens on.
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

    /// Returns the number of requests held: those that wait for their final response, and those that no longer wait but
    /// still have attempts in flight.
    pub fn requests_held(&self) -> usize {
        self.host.requests.len()
    }

    /// Returns the number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        let requests = self.host.requests.values();
        requests.map(InFlightRequest::attempts_in_flight).sum()
    }

    /// Returns how many pods the router has visited since the start.
    pub fn visits(&self) -> PodVisits {
        self.router.visits()
    }

    /// Returns the state that operators see.
    pub fn status(&self) -> EngineStatus {
        let endpoints = self.host.endpoints.iter().flatten();
        let running = endpoints.filter(|endpoint| endpoint.state == PodState::Running);
        let (failures, slow, alternating_periods) = self.router.sums();
        EngineStatus {
            requests: self.host.requests.len(),
            running_pods: running.count(),
            stage: self.stage,
            test_sums: TestSums {
                failures,
                slow,
                alternating_periods,
            },
        }
    }
}
