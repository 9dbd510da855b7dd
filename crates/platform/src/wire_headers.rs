//! The platform's own HTTP header names, cookie and paths.

use hyper::header::HeaderName;

/// Identifies a request; unique for each request.
pub(crate) const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Whole milliseconds that the sender will wait for the response, from the time of sending.
pub(crate) const REMAINING_TIME: HeaderName = HeaderName::from_static("x-time-left-ms");
/// The idempotency key.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `1` on a retry by the client.
pub(crate) const RETRY: HeaderName = HeaderName::from_static("x-repeat");
/// The tenant's name.
pub(crate) const TENANT: HeaderName = HeaderName::from_static("x-account");
/// The client's estimate of what a request costs.
pub(crate) const COST_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
/// `1` on a pod's response to a request that never ran.
pub(crate) const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// The load report of a pod, on its responses.
pub(crate) const LOAD_REPORT: HeaderName = HeaderName::from_static("x-backend-load");
/// Prefix of the cookie that holds the key of a request: requests with the same key concern the same object.
pub(crate) const KEY_COOKIE: &[u8] = b"sid=";
/// The path of health checks, both those of the sidecar by the load balancer and those of pods by the sidecar.
pub(crate) const HEALTH_PATH: &str = "/healthz";
/// The path of health checks of pods whose response carries a load report.
pub(crate) const LOAD_PATH: &str = "/load";
