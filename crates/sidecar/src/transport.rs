//! How a sidecar's effects leave: attempts and health checks to pods, lines to service discovery and control plane.

use crate::attempt;
use crate::body::Body;
use crate::dispatcher::{AttemptId, Transport};
use crate::health_check;
use crate::prepared_request::{LocalReply, PreparedRequest};
use crate::responses;
use crate::shell::{Shell, Sidecar};
use havenplank::interface::{Build, Nanos, PodId, Vote, VoteReceipt, VoteReply};
use havenplank_line_protocol::{control_plane, endpoint_list};
use hyper::Response;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

impl Transport for Sidecar {
    type Request = PreparedRequest;
    type Response = Response<Body>;

    fn send_attempt(
        shell: Rc<Shell>,
        request: Rc<PreparedRequest>,
        attempt: AttemptId,
        pod: PodId,
        timeout: Nanos,
    ) -> impl Future<Output = ()> + 'static {
        attempt::send(shell, request, attempt, pod, Duration::from_nanos(timeout))
    }

    fn rejected(&self, retry_after: Nanos) -> Response<Body> {
        self.marked(
            LocalReply::Rejected,
            responses::rejected_with_retry_after(retry_after),
        )
    }

    fn failed(&self, timed_out: bool) -> Response<Body> {
        self.marked(LocalReply::Failed, responses::failed(timed_out))
    }

    /// Sends a vote and sees to it that it is answered: not sent is rejected, no answer in time is unknown.
    fn cast_vote(shell: &Rc<Shell>, id: u64, build: Build, stage: usize, vote: Vote) {
        let line = control_plane::vote_line(id, build, stage, vote);
        let sent =
            shell.control_plane_up.get() && shell.control_plane_requests.try_send(line).is_ok();
        let shell = shell.clone();
        spawn_local(async move {
            let receipt = if sent {
                sleep(Duration::from_nanos(shell.site.votes.call_timeout)).await;
                VoteReceipt::Unknown
            } else {
                VoteReceipt::Rejected
            };
            let reply = VoteReply {
                receipt,
                stage: None,
            };
            shell.call(|engine, now| engine.vote_answered(now, id, reply));
        });
    }

    fn health_check(shell: &Rc<Shell>, check: u64, pod: PodId) {
        let shell = shell.clone();
        spawn_local(async move {
            let result = health_check::check(&shell, pod).await;
            shell.call(|engine, now| engine.health_check_ended(now, check, result));
        });
    }

    fn poll_endpoints(shell: &Rc<Shell>) {
        ask_discovery(shell, endpoint_list::poll_line());
    }

    fn watch_endpoints(shell: &Rc<Shell>, on: bool) {
        ask_discovery(shell, endpoint_list::watch_line(on));
    }
}

impl Sidecar {
    /// Marks an answer as this sidecar's own, for the backups that keep it.
    fn marked(&self, answer: LocalReply, mut response: Response<Body>) -> Response<Body> {
        if self.takeover.is_some() {
            response.extensions_mut().insert(answer);
        }
        response
    }
}

fn ask_discovery(shell: &Rc<Shell>, line: String) {
    if shell.discovery_requests.try_send(line).is_err() {
        // In a task of its own, as the engine may be in the middle of what asked for it.
        let shell = shell.clone();
        spawn_local(async move { shell.call(|engine, now| engine.endpoint_watch_failed(now)) });
    }
}
