//! Errors of client requests. Each is answered with a status and a text, after which the connection closes.

use havenplank_sidecar::request_body::BodyError;
use hyper::StatusCode;

/// Why a client request was rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestError {
    TransferEncoding,
    NotAPath,
    UnknownRouteClass,
    WrongMethod,
    BodyTooLarge,
    UnexpectedBody,
    MultipleIds,
    InvalidId,
    MultipleIdempotencyKeys,
    MissingIdempotencyKey,
    MultipleRemainingTimes,
    InvalidRemainingTime,
    IdInFlight,
    IdMayHaveRun,
    BodyIncomplete,
    BodyTooSlow,
    NoMemory,
}

impl RequestError {
    /// Returns the status and the body of the response.
    pub(crate) fn response(self) -> (StatusCode, &'static str) {
        const BAD: StatusCode = StatusCode::BAD_REQUEST;
        match self {
            RequestError::TransferEncoding => (
                BAD,
                "Transfer-Encoding: expected none, and a length instead\n",
            ),
            RequestError::NotAPath => (BAD, "expected a path\n"),
            RequestError::UnknownRouteClass => {
                (StatusCode::NOT_FOUND, "no path group has this name\n")
            }
            RequestError::WrongMethod => (
                StatusCode::METHOD_NOT_ALLOWED,
                "not the method of this path group\n",
            ),
            RequestError::BodyTooLarge => {
                (StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n")
            }
            RequestError::UnexpectedBody => (BAD, "expected no body\n"),
            RequestError::MultipleIds => (BAD, "X-Correlation-Id: expected one\n"),
            RequestError::InvalidId => (
                BAD,
                "X-Correlation-Id: expected 1 to 128 visible characters\n",
            ),
            RequestError::MultipleIdempotencyKeys => (BAD, "Idempotency-Key: expected one\n"),
            RequestError::MissingIdempotencyKey => {
                (BAD, "Idempotency-Key: needed by this path group\n")
            }
            RequestError::MultipleRemainingTimes => (BAD, "X-Time-Left-Ms: expected one\n"),
            RequestError::InvalidRemainingTime => {
                (BAD, "X-Time-Left-Ms: expected whole milliseconds\n")
            }
            RequestError::IdInFlight => (
                StatusCode::CONFLICT,
                "X-Correlation-Id: of another hit in flight\n",
            ),
            RequestError::IdMayHaveRun => (
                StatusCode::BAD_GATEWAY,
                "X-Correlation-Id: sent before, and may have run\n",
            ),
            RequestError::BodyIncomplete => (BAD, "the body broke off\n"),
            RequestError::BodyTooSlow => (StatusCode::REQUEST_TIMEOUT, "the body took too long\n"),
            RequestError::NoMemory => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no memory for the request; a retry is harmless\n",
            ),
        }
    }
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> RequestError {
        match error {
            BodyError::TooLarge => RequestError::BodyTooLarge,
            BodyError::Incomplete => RequestError::BodyIncomplete,
            BodyError::TooSlow => RequestError::BodyTooSlow,
            BodyError::NoMemory(_) => RequestError::NoMemory,
        }
    }
}
