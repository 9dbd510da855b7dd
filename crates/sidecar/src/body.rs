//! The body of an answer to a client.

use crate::upstream::UpstreamConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// An answer's body: complete where it was short, else passed on as it comes.
pub enum Body {
    /// All of it.
    Complete(Full<Bytes>),
    /// What was read of it, and what is to come.
    Streaming {
        /// Read ahead of the rest.
        first: Option<Bytes>,
        /// To be passed on as it comes.
        rest: Incoming,
        /// Released once all of it is read.
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
                first,
                rest,
                connection,
            } => {
                if let Some(first) = first.take() {
                    return Poll::Ready(Some(Ok(Frame::data(first))));
                }
                let polled = Pin::new(rest).poll_frame(cx);
                match &polled {
                    Poll::Ready(None) => connection
                        .take()
                        .into_iter()
                        .for_each(UpstreamConnection::release),
                    // Its connection is no good any more.
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
            Body::Streaming { first, rest, .. } => first.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Complete(complete) => complete.size_hint(),
            Body::Streaming { first, rest, .. } => {
                let more = first.as_ref().map_or(0, Bytes::len) as u64;
                rest.size_hint()
                    .exact()
                    .map_or_else(SizeHint::new, |rest| SizeHint::with_exact(rest + more))
            }
        }
    }
}
