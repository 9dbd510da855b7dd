//! Tests of `src/attempt_outcome.rs`.

use super::*;
use hyper::header::HeaderValue;

#[test]
fn only_a_200_is_served_and_only_a_marked_503_or_504_never_ran() {
    let unmarked = HeaderMap::new();
    let mut marked = HeaderMap::new();
    marked.insert(UNPROCESSED, HeaderValue::from_static("1"));
    let mut denied = HeaderMap::new();
    denied.insert(UNPROCESSED, HeaderValue::from_static("0"));
    for (status, headers, expected) in [
        (200, &unmarked, AttemptEnd::Served),
        (200, &marked, AttemptEnd::Served),
        (503, &marked, AttemptEnd::Rejected),
        (504, &marked, AttemptEnd::Rejected),
        (503, &unmarked, AttemptEnd::Failed),
        (503, &denied, AttemptEnd::Failed),
        (500, &marked, AttemptEnd::Failed),
        (204, &marked, AttemptEnd::Failed),
    ] {
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(
            attempt_end(status, headers),
            expected,
            "{status} {headers:?}"
        );
    }
}

#[test]
fn only_a_connection_that_ended_before_any_response_byte_counts_as_broken() {
    for (error, expected) in [
        (ResponseError::ClosedUnanswered, ReuseOutcome::Broken),
        (ResponseError::ResetUnanswered, ReuseOutcome::Broken),
        (ResponseError::ClosedMidResponse, ReuseOutcome::Answered),
        (ResponseError::InvalidHead, ReuseOutcome::Answered),
    ] {
        assert_eq!(reuse_outcome(error), expected, "{error}");
    }
}

#[test]
fn a_request_is_written_again_only_if_its_connection_was_reused() {
    let kept = Some(Duration::from_millis(30));
    assert_eq!(
        on_write_failure(kept),
        WriteFailureAction::RetryOnNewConnection
    );
    assert_eq!(on_write_failure(None), WriteFailureAction::Fail);
}
