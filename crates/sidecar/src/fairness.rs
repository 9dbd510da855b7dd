//! Lets other connections proceed between requests that are answered at once.
//!
//! The runtime looks at its sockets only after it has run dozens of tasks. A connection that always has its next request
//! at hand would be answered that often before any other connection's request is read.

use std::future::{poll_fn, Future};
use std::pin::pin;
use tokio::task::yield_now;

/// Performs a piece of work. If the work never waited for anything, lets the runtime run all other tasks and look at its
/// sockets before it returns the result.
pub async fn yield_unless_waited<F: Future>(work: F) -> F::Output {
    let mut work = pin!(work);
    let mut has_waited = false;
    let result = poll_fn(|cx| {
        let polled = work.as_mut().poll(cx);
        has_waited |= polled.is_pending();
        polled
    })
    .await;
    if !has_waited {
        yield_now().await;
    }
    result
}
