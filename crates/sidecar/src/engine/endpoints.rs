//! Events about pods: from service discovery, health checks, and clients that report a wrong response.

use super::events::Event;
use super::Engine;
use havenplank::interface::{Endpoint, HealthCheckResult, Nanos, PodId, RouteClassId};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;

impl Engine {
    /// Applies an endpoint list: a `complete` one replaces the previous list, any other changes it. Returns the index
    /// of each pod in the list, which is valid as long as the pod is listed or has attempts in flight. The index is
    /// `None` for a pod beyond the limit of the pod registry.
    pub fn update_endpoints(
        &mut self,
        now: Nanos,
        complete: bool,
        pods: Vec<ListedEndpoint>,
    ) -> Vec<Option<PodId>> {
        self.advance(now);
        let observed = self.observer.is_some().then(|| pods.clone());
        let endpoints = self.host.pods.update(self.host.now, complete, pods);
        let pod_ids: Vec<Option<PodId>> = endpoints
            .iter()
            .map(|endpoint| endpoint.map(|endpoint| endpoint.pod))
            .collect();
        if let Some(pods) = observed {
            self.observe(|| Event::EndpointsListed {
                complete,
                pods,
                pod_ids: pod_ids.clone(),
            });
        }
        let endpoints: Vec<Endpoint> = endpoints.into_iter().flatten().collect();
        self.host.set_endpoints(complete, &endpoints);
        self.router
            .update_endpoints(&mut self.host, complete, &endpoints);
        self.host.pods.free_unused_indices();
        pod_ids
    }

    /// Records that the watch on the endpoint list failed.
    pub fn endpoint_watch_failed(&mut self, now: Nanos) {
        self.advance(now);
        self.observe(|| Event::EndpointWatchFailed);
        self.router.endpoint_watch_failed(&mut self.host);
    }

    /// Records the result of a health check. Ignores a second result for the same check.
    pub fn health_check_ended(&mut self, now: Nanos, check: u64, result: HealthCheckResult) {
        self.advance(now);
        if let Some(on_done) = self.host.health_checks.remove(&check) {
            self.observe(|| Event::HealthCheckEnded {
                check,
                result: result.clone(),
            });
            on_done(&mut self.router, &mut self.host, result);
        }
    }

    /// Records that a client reported a wrong response, which the pod sent `ago` nanoseconds before. Returns false if
    /// the pod or the route class is unknown.
    pub fn report_fault(&mut self, now: Nanos, pod: &str, route_class: &str, ago: Nanos) -> bool {
        let pod = self.pod_id(pod);
        let Some((pod, route_class)) = pod.zip(self.route_class(route_class)) else {
            return false;
        };
        self.record_fault(now, pod, route_class, ago);
        true
    }

    pub(super) fn record_fault(
        &mut self,
        now: Nanos,
        pod: PodId,
        route_class: RouteClassId,
        ago: Nanos,
    ) {
        self.advance(now);
        self.observe(|| Event::FaultReported {
            pod,
            route_class,
            ago,
        });
        self.router
            .report_fault(&mut self.host, pod, route_class, ago);
    }
}
