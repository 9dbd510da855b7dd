//! Sends one attempt to a pod and reports its result to the engine.

use crate::attempt_outcome::{
    attempt_end, end_without_connection, on_write_failure, reuse_outcome, WriteFailureAction,
};
use crate::counters::{increment, CountGuard};
use crate::idle_timeout::ReuseOutcome;
use crate::pod_pool::{ConnectionSource, PodConnection};
use crate::pod_response::{self, PodResponse, ResponseError};
use crate::prepared_request::PreparedRequest;
use crate::shell::{Body, Shell};
use crate::wire_headers::LOAD_REPORT;
use havenplank::interface::{AttemptEnd, Nanos, PodId};
use havenplank_sidecar::dispatcher::{AttemptId, AttemptResult};
use havenplank_sidecar::headers::strip_hop_by_hop;
use http_body_util::Full;
use hyper::header::CONTENT_LENGTH;
use hyper::Response;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

type AttemptResponse = Response<Body>;

/// One attempt in progress.
struct Attempt {
    shell: Rc<Shell>,
    request: Rc<PreparedRequest>,
    id: AttemptId,
    pod: PodId,
    timeout: Duration,
    /// Set once the last byte is written: before that the pod cannot have started on the request.
    written: Cell<bool>,
}

/// Runs one attempt and reports its result to the engine. On a timeout its connection is closed.
pub(crate) async fn send(
    shell: Rc<Shell>,
    request: Rc<PreparedRequest>,
    id: AttemptId,
    pod: PodId,
    timeout: Nanos,
) {
    let attempt = Attempt {
        shell,
        request,
        id,
        pod,
        timeout: Duration::from_nanos(timeout),
        written: Cell::new(false),
    };
    attempt
        .shell
        .run_attempt(id, attempt.timeout, &attempt.written, attempt.exchange())
        .await;
}

impl Attempt {
    async fn exchange(&self) -> AttemptResult<AttemptResponse> {
        let Some(address) = self.shell.pod_address(self.pod) else {
            return AttemptEnd::NotSent.into();
        };
        let mut connection = match self.write(address).await {
            Ok(connection) => connection,
            Err(end) => return end.into(),
        };
        self.written.set(true);
        let pods = &self.shell.pods;
        let _in_flight = CountGuard::new(&pods.counters.in_flight);
        increment(&pods.counters.sent);
        match pod_response::read(&mut connection.stream, &pods.memory).await {
            Ok(response) => self.finish(response, address, connection),
            Err(error) => {
                self.log_unusable(&connection, error);
                pods.pool.record_reuse(&connection, reuse_outcome(error));
                AttemptEnd::Reset.into()
            }
        }
    }

    /// Writes the complete request to an idle or new connection; if the idle one is broken, again to a new one.
    async fn write(&self, address: SocketAddr) -> Result<PodConnection, AttemptEnd> {
        let began = Instant::now();
        let pool = &self.shell.pods.pool;
        let mut source = ConnectionSource::IdleOrNew;
        loop {
            let mut connection = pool
                .acquire(address, source)
                .await
                .map_err(end_without_connection)?;
            // The pod was chosen before the wait for a connection: by now it may drain, or its build be closed.
            if !self.shell.may_send(self.id) {
                pool.release(address, connection);
                return Err(AttemptEnd::NotSent);
            }
            // Before the write: after it the request may have run, whatever becomes of this task.
            if let Some(id) = &self.request.once_only_id {
                self.shell.clients.sent_ids.insert(id);
            }
            let remaining = self.timeout.saturating_sub(began.elapsed());
            let head = self.request.head_with_remaining_time(remaining);
            let written = connection.write(&head, self.request.body()).await;
            if written.is_ok() {
                return Ok(connection);
            }
            match on_write_failure(connection.idle_before) {
                WriteFailureAction::Fail => return Err(AttemptEnd::ConnectFailed),
                WriteFailureAction::RetryOnNewConnection => {
                    pool.record_reuse(&connection, ReuseOutcome::Broken);
                    source = ConnectionSource::New;
                }
            }
        }
    }

    fn finish(
        &self,
        response: PodResponse,
        address: SocketAddr,
        connection: PodConnection,
    ) -> AttemptResult<AttemptResponse> {
        let pods = &self.shell.pods;
        pods.pool.record_reuse(&connection, ReuseOutcome::Answered);
        if response.is_reusable {
            pods.pool.release(address, connection);
        }
        let report = response.headers.get(LOAD_REPORT);
        let load = report.and_then(|report| pods.decode_load(report.as_bytes()));
        let end = attempt_end(response.status, &response.headers);
        let delivered = (end == AttemptEnd::Served).then(|| client_response(response));
        AttemptResult {
            end,
            load,
            response: delivered,
        }
    }

    fn log_unusable(&self, connection: &PodConnection, error: ResponseError) {
        let idle_us = connection.idle_before.map(|idle| idle.as_micros() as u64);
        tracing::debug!(
            request = self.id.request,
            attempt = self.id.number,
            pod = self.pod,
            idle_us,
            reason = %error,
            "unusable response"
        );
    }
}

/// Returns the response for the client: the pod's body, and its headers without the hop-by-hop ones.
fn client_response(response: PodResponse) -> AttemptResponse {
    let mut headers = response.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut delivered = Response::new(Full::new(response.body));
    *delivered.headers_mut() = headers;
    delivered
}
