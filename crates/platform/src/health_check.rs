//! Runs health checks of pods, on connections of the same pool as attempts.

use crate::attempt_outcome::{end_without_connection, health_check_end};
use crate::pod_client::PodClient;
use crate::pod_pool::ConnectionSource;
use crate::pod_response;
use crate::shell::Shell;
use crate::wire_headers::{HEALTH_PATH, LOAD_PATH};
use havenplank::interface::{AttemptEnd, HealthCheckResult, LoadReport, Nanos, PodId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::time::timeout;

/// How a health check ended, with the load report if the response carried one.
struct CheckOutcome {
    end: AttemptEnd,
    load: Option<LoadReport>,
}

impl From<AttemptEnd> for CheckOutcome {
    fn from(end: AttemptEnd) -> CheckOutcome {
        CheckOutcome { end, load: None }
    }
}

/// Checks a pod within the connect timeout and reports the result to the engine.
pub(crate) async fn run(shell: Rc<Shell>, check: u64, pod: PodId) {
    let began = Instant::now();
    let checking = async {
        match shell.pod_address(pod) {
            Some(address) => exchange(&shell.pods, address).await,
            None => AttemptEnd::NotSent.into(),
        }
    };
    let outcome = timeout(shell.pods.connect_timeout, checking).await;
    let CheckOutcome { end, load } = outcome.unwrap_or_else(|_| AttemptEnd::TimedOut.into());
    let result = HealthCheckResult {
        end,
        took: began.elapsed().as_nanos() as Nanos,
        load,
    };
    shell.call(|engine, now| engine.health_check_ended(now, check, result));
}

async fn exchange(pods: &PodClient, address: SocketAddr) -> CheckOutcome {
    let mut connection = match pods
        .pool
        .acquire(address, ConnectionSource::IdleOrNew)
        .await
    {
        Ok(connection) => connection,
        Err(reason) => return end_without_connection(reason).into(),
    };
    let path = if pods.has_load_reports() {
        LOAD_PATH
    } else {
        HEALTH_PATH
    };
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    if connection.write(request.as_bytes(), &[]).await.is_err() {
        return AttemptEnd::ConnectFailed.into();
    }
    let Ok(response) = pod_response::read(&mut connection.stream, &pods.memory).await else {
        return AttemptEnd::Reset.into();
    };
    if response.is_reusable {
        pods.pool.release(address, connection);
    }
    CheckOutcome {
        end: health_check_end(response.status),
        load: pods.decode_load(&response.body),
    }
}
