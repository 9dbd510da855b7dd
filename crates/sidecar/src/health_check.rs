//! Checks the health of a pod: a response with a status below 500 from its health-check path means that it is healthy.

use crate::attempt::load_report;
use crate::shell::Shell;
use crate::upstream::Reuse;
use bytes::Bytes;
use havenplank::interface::{AttemptEnd, HealthCheckResult, LoadReport, Nanos, PodId};
use http_body_util::Full;
use hyper::header::VIA;
use hyper::{Request, Uri};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Checks the health of a pod. The complete check is limited by the connect timeout.
pub async fn check(shell: &Rc<Shell>, pod: PodId) -> HealthCheckResult {
    let began = Instant::now();
    let time = Duration::from_nanos(shell.site.upstream.connect_timeout);
    let (end, load) = match timeout(time, exchange(shell, pod)).await {
        Ok(Ok((end, load))) => (end, load),
        Ok(Err(end)) => (end, None),
        Err(_) => (AttemptEnd::TimedOut, None),
    };
    HealthCheckResult {
        end,
        took: began.elapsed().as_nanos() as Nanos,
        load,
    }
}

async fn exchange(
    shell: &Shell,
    pod: PodId,
) -> Result<(AttemptEnd, Option<LoadReport>), AttemptEnd> {
    let address = shell.pod_address(pod).ok_or(AttemptEnd::NotSent)?;
    let connection = shell.upstream.acquire(address, Reuse::Never).await;
    let mut connection = connection.map_err(|_| AttemptEnd::ConnectFailed)?;
    let mut request = Request::new(Full::new(Bytes::new()));
    let path = shell.site.upstream.health_check_path.parse();
    *request.uri_mut() = path.unwrap_or_else(|_| Uri::from_static("/"));
    request.headers_mut().insert(VIA, shell.via.clone());
    let response = connection.sender.send_request(request).await;
    let response = response.map_err(|_| AttemptEnd::Reset)?;
    let end = if response.status().is_server_error() {
        AttemptEnd::Failed
    } else {
        AttemptEnd::Served
    };
    Ok((end, load_report(shell, response.headers())))
}
