//! Names of the platform's headers, and what else of HTTP is its own.

use hyper::header::HeaderName;

/// Identifies a request, fresh on each.
pub(crate) const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Whole milliseconds that the sender will wait, from the moment of sending.
pub(crate) const REMAINING_TIME: HeaderName = HeaderName::from_static("x-time-left-ms");
/// The idempotency key.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `1` on a client's retry.
pub(crate) const RETRY: HeaderName = HeaderName::from_static("x-repeat");
/// The tenant's name.
pub(crate) const TENANT: HeaderName = HeaderName::from_static("x-account");
/// The client's estimate of what a request costs.
pub(crate) const COST_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
/// `1` on a pod's response to a request that never ran.
pub(crate) const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// A pod's load report.
pub(crate) const LOAD_REPORT: HeaderName = HeaderName::from_static("x-backend-load");
/// The cookie that names what a request is about: requests that share it belong together.
pub(crate) const KEY_COOKIE: &[u8] = b"sid=";
/// The path of health checks, by the front of us and by us of pods.
pub(crate) const HEALTH_PATH: &str = "/healthz";
/// The path of a pod's health check with its load report.
pub(crate) const LOAD_PATH: &str = "/load";
