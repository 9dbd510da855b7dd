//! Performs the effects that the engine requests on the platform's sockets.

use crate::attempt;
use crate::control_plane;
use crate::health_check;
use crate::prepared_request::PreparedRequest;
use crate::shell::{Body, Platform, Shell};
use crate::units::{NANOS_PER_MILLI, NANOS_PER_SECOND};
use havenplank::interface::{Build, Nanos, PodId, Vote};
use havenplank_sidecar::dispatcher::{AttemptId, Transport};
use havenplank_sidecar::responses;
use hyper::header::HeaderValue;
use hyper::Response;
use std::future::Future;
use std::rc::Rc;
use tokio::task::spawn_local;

impl Transport for Platform {
    type Request = PreparedRequest;
    type Response = Response<Body>;

    fn send_attempt(
        shell: Rc<Shell>,
        request: Rc<PreparedRequest>,
        id: AttemptId,
        pod: PodId,
        timeout: Nanos,
    ) -> impl Future<Output = ()> + 'static {
        attempt::send(shell, request, id, pod, timeout)
    }

    fn rejected(&self, retry_after: Nanos) -> Response<Body> {
        let header = (retry_after > 0).then(|| format_retry_after(retry_after));
        responses::rejected(header.flatten())
    }

    fn failed(&self, timed_out: bool) -> Response<Body> {
        responses::failed(timed_out)
    }

    fn cast_vote(shell: &Rc<Shell>, id: u64, build: Build, stage: usize, vote: Vote) {
        control_plane::cast_vote(shell, id, build, stage, vote);
    }

    fn health_check(shell: &Rc<Shell>, check: u64, pod: PodId) {
        spawn_local(health_check::run(shell.clone(), check, pod));
    }

    /// No effect: a watch is always open, and discovery sends the complete list on it where changes are not enough.
    fn poll_endpoints(_: &Rc<Shell>) {}

    /// No effect: a watch is always open.
    fn watch_endpoints(_: &Rc<Shell>, _: bool) {}
}

/// Formats a Retry-After header in decimal seconds, rounded down to milliseconds.
fn format_retry_after(retry_after: Nanos) -> Option<HeaderValue> {
    let seconds = retry_after / NANOS_PER_SECOND;
    let millis = retry_after / NANOS_PER_MILLI % 1_000;
    HeaderValue::from_str(&format!("{seconds}.{millis:03}")).ok()
}
