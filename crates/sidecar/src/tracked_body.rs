//! Bodies on a client's stream that tell the stream where a request or a response ends.

use crate::client_stream::ClientStream;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a request that is being received. Once it is complete, the bytes that the stream receives belong to the
/// next request.
pub struct TrackedRequestBody {
    body: Incoming,
    stream: ClientStream,
}

impl TrackedRequestBody {
    pub(crate) fn new(body: Incoming, stream: ClientStream) -> TrackedRequestBody {
        TrackedRequestBody { body, stream }
    }

    /// Returns the stream that the body arrives on.
    pub fn stream(&self) -> &ClientStream {
        &self.stream
    }
}

impl Body for TrackedRequestBody {
    type Data = <Incoming as Body>::Data;
    type Error = <Incoming as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let is_complete = match &polled {
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(None) => true,
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if is_complete {
            self.stream.record_request_complete();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of a response that is being sent. The HTTP connection drops it once it has consumed all of it, before it
/// writes the last bytes.
pub struct TrackedResponseBody<B> {
    body: B,
    stream: ClientStream,
}

impl<B> TrackedResponseBody<B> {
    pub(crate) fn new(body: B, stream: ClientStream) -> TrackedResponseBody<B> {
        TrackedResponseBody { body, stream }
    }
}

impl<B> Drop for TrackedResponseBody<B> {
    fn drop(&mut self) {
        self.stream.record_response_consumed();
    }
}

impl<B: Body + Unpin> Body for TrackedResponseBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
