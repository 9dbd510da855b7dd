//! The body of a response to a client.

use crate::upstream::UpstreamConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a response: buffered completely if it is short, streamed from the pod otherwise.
pub enum Body {
    /// The complete body.
    Complete(Full<Bytes>),
    /// A body that is streamed as it arrives.
    Streaming {
        /// The bytes that were already read.
        buffered: Option<Bytes>,
        /// The part that is still to be read.
        rest: Incoming,
        /// The connection to the pod, released once the body is read to its end.
        connection: Option<UpstreamConnection>,
    },
}

impl From<&'static str> for Body {
    fn from(text: &'static str) -> Body {
        Body::Complete(Full::new(Bytes::from_static(text.as_bytes())))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Body::Complete(complete) => Pin::new(complete)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Body::Streaming {
                buffered,
                rest,
                connection,
            } => {
                if let Some(buffered) = buffered.take() {
                    return Poll::Ready(Some(Ok(Frame::data(buffered))));
                }
                let polled = Pin::new(rest).poll_frame(cx);
                match &polled {
                    Poll::Ready(None) => connection
                        .take()
                        .into_iter()
                        .for_each(UpstreamConnection::release),
                    // A connection that failed cannot be used again.
                    Poll::Ready(Some(Err(_))) => drop(connection.take()),
                    _ => {}
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Complete(complete) => complete.is_end_stream(),
            Body::Streaming { buffered, rest, .. } => buffered.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Complete(complete) => complete.size_hint(),
            Body::Streaming { buffered, rest, .. } => {
                let buffered = buffered.as_ref().map_or(0, Bytes::len) as u64;
                rest.size_hint()
                    .exact()
                    .map_or_else(SizeHint::new, |rest| SizeHint::with_exact(rest + buffered))
            }
        }
    }
}
