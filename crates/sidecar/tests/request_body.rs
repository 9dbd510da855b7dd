//! Tests of `src/request_body.rs` and `src/body_memory.rs`.

use bytes::Bytes;
use havenplank_sidecar::body_memory::{BodyMemory, MemoryExhausted};
use havenplank_sidecar::request_body::{read_body, BodyError, BodyLimits};
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

const READ_BUFFER_BYTES: usize = 8 << 10;
const SEGMENT_BYTES: usize = 1460;
const BODY_BYTES: usize = 64 << 10;
const MS: Duration = Duration::from_millis(1);

/// A read buffer of the HTTP server, counted while it is allocated.
struct ReadBuffer(Arc<AtomicUsize>);

impl AsRef<[u8]> for ReadBuffer {
    fn as_ref(&self) -> &[u8] {
        &[7; READ_BUFFER_BYTES]
    }
}

impl Drop for ReadBuffer {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body in segments, each a slice of a read buffer of its own, as the HTTP server passes them on.
struct SegmentedBody {
    announced: Option<u64>,
    remaining: usize,
    allocated: Arc<AtomicUsize>,
    max_allocated: Arc<AtomicUsize>,
    /// Whether the client sends no further byte after the present ones, and stays.
    stalls: bool,
}

impl SegmentedBody {
    fn new(length: usize) -> SegmentedBody {
        SegmentedBody {
            announced: Some(length as u64),
            remaining: length,
            allocated: Arc::default(),
            max_allocated: Arc::default(),
            stalls: false,
        }
    }

    fn stalled_after(length: usize) -> SegmentedBody {
        SegmentedBody {
            announced: Some(BODY_BYTES as u64),
            stalls: true,
            ..SegmentedBody::new(length)
        }
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining == 0 {
            return if self.stalls {
                Poll::Pending
            } else {
                Poll::Ready(None)
            };
        }
        let length = self.remaining.min(SEGMENT_BYTES);
        self.remaining -= length;
        let allocated = self.allocated.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_allocated.fetch_max(allocated, Ordering::Relaxed);
        let buffer = Bytes::from_owner(ReadBuffer(self.allocated.clone()));
        Poll::Ready(Some(Ok(Frame::data(buffer.slice(..length)))))
    }

    fn size_hint(&self) -> SizeHint {
        self.announced
            .map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

fn limits(reserve_after: Duration) -> BodyLimits {
    BodyLimits {
        max_bytes: BODY_BYTES,
        read_by: Instant::now() + 5000 * MS,
        reserve_by: Instant::now() + reserve_after,
    }
}

fn run<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(work)
}

/// The frames of a body kept 45 read buffers allocated: 380 KB for 64 KiB, and the sidecar was killed for its memory.
#[test]
fn a_body_in_segments_keeps_no_read_buffer_allocated() {
    run(async {
        let memory = BodyMemory::new(BODY_BYTES);
        let body = SegmentedBody::new(BODY_BYTES);
        let max_allocated = body.max_allocated.clone();
        let read = read_body(body, &limits(1000 * MS), &memory).await.unwrap();
        assert_eq!(read, vec![7; BODY_BYTES]);
        assert_eq!(max_allocated.load(Ordering::Relaxed), 1);
        assert_eq!(memory.held(), BODY_BYTES, "the capacity of the buffer");
        drop(read);
        assert_eq!(memory.held(), 0);
    });
}

/// Bodies beyond the memory limit were read regardless of it.
#[test]
fn a_body_waits_for_memory_and_fails_when_none_is_free_in_time() {
    run(async {
        let memory = BodyMemory::new(BODY_BYTES);
        let first = read_body(SegmentedBody::new(BODY_BYTES), &limits(1000 * MS), &memory)
            .await
            .unwrap();
        let second = read_body(SegmentedBody::new(BODY_BYTES), &limits(20 * MS), &memory).await;
        assert_eq!(second, Err(BodyError::NoMemory(MemoryExhausted)));
        assert_eq!(memory.exhausted_count(), 1);
        let limits = limits(1000 * MS);
        let third = read_body(SegmentedBody::new(BODY_BYTES), &limits, &memory);
        let release = async {
            tokio::time::sleep(20 * MS).await;
            drop(first);
        };
        let (third, ()) = tokio::join!(third, release);
        assert_eq!(third.unwrap().len(), BODY_BYTES);
    });
}

/// Clients that announce bodies and do not send them must not keep the memory from those that do.
#[test]
fn a_client_that_only_announces_a_body_holds_little_memory() {
    run(async {
        let memory = BodyMemory::new(2 * BODY_BYTES);
        let limits = limits(1000 * MS);
        let stalled: Vec<_> = (0..8)
            .map(|_| read_body(SegmentedBody::stalled_after(1000), &limits, &memory))
            .map(Box::pin)
            .collect();
        let mut stalled = futures_util::future::join_all(stalled);
        let complete = read_body(SegmentedBody::new(BODY_BYTES), &limits, &memory);
        tokio::select! {
            biased;
            _ = &mut stalled => panic!("a stalled body is not complete"),
            read = complete => assert_eq!(read.unwrap().len(), BODY_BYTES),
        }
    });
}

/// A buffer that doubled past the limit of a body asked for more memory than there was, and a valid body was rejected.
#[test]
fn a_body_of_unannounced_length_needs_no_more_memory_than_its_limit() {
    run(async {
        let memory = BodyMemory::new(BODY_BYTES);
        let body = SegmentedBody {
            announced: None,
            ..SegmentedBody::new(BODY_BYTES)
        };
        let read = read_body(body, &limits(20 * MS), &memory).await;
        assert_eq!(read.expect("memory for one body").len(), BODY_BYTES);
    });
}
