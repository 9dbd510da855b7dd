//! One watch on the endpoint list: a streaming HTTP response that carries JSON objects.

use super::list_update::{self, ListUpdate, UpdateDecoder, UpdateError};
use super::watch_selection::{OpenCandidate, WatchMessage};
use crate::json_stream::{JsonStream, MalformedStream, StreamItem};
use crate::limits::{
    MAX_LIST_ENTRY_BYTES, MAX_LIST_ENVELOPE_BYTES, WATCH_QUEUE_CAPACITY, WATCH_READ_BUFFER_BYTES,
};
use crate::reconnect::AbortOnDrop;
use crate::wall_clock::UnixTime;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    #[error("HTTP failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("cannot build the request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("status {0}, expected 200")]
    Status(StatusCode),
    #[error(transparent)]
    Malformed(#[from] MalformedStream),
    #[error(transparent)]
    Update(#[from] UpdateError),
    #[error("closed by the service")]
    Closed,
    #[error("no complete message within the silence limit")]
    Silent,
    #[error("the task of the watch ended unexpectedly")]
    TaskEnded,
}

/// A decoded message of a watch.
pub(super) enum Received {
    KeepAlive,
    Update(ListUpdate),
}

impl Received {
    /// Returns the fields of the message that [`super::watch_selection::WatchSelection`] decides by.
    pub(super) fn message(&self) -> WatchMessage {
        match self {
            Received::KeepAlive => WatchMessage::KeepAlive,
            Received::Update(update) => WatchMessage::Update {
                version: update.version,
                complete: update.complete,
            },
        }
    }
}

type MessageQueue = mpsc::Sender<Result<Received, WatchError>>;

/// A watch that runs in its own task, which is aborted when this is dropped. The task only forwards what it receives.
pub(super) struct Watch {
    _task: AbortOnDrop,
    received: mpsc::Receiver<Result<Received, WatchError>>,
}

impl Watch {
    /// Opens a watch. The decoded entries of one update may hold `max_update_bytes` of memory.
    pub(super) fn open(target: OpenCandidate, max_update_bytes: usize) -> Watch {
        let (queue, received) = mpsc::channel(WATCH_QUEUE_CAPACITY);
        let task = spawn_local(async move {
            let ended = run(target, max_update_bytes, &queue).await;
            let reason = ended.err().unwrap_or(WatchError::Closed);
            // A failed send means that the watch was dropped; the reason is no longer needed.
            let _ = queue.send(Err(reason)).await;
        });
        Watch {
            _task: AbortOnDrop(task.abort_handle()),
            received,
        }
    }

    /// Waits for the next message of a watch; forever if `watch` is `None`.
    pub(super) async fn next(watch: &mut Option<Watch>) -> Result<Received, WatchError> {
        let Some(watch) = watch else {
            return std::future::pending().await;
        };
        let received = watch.received.recv().await;
        received.unwrap_or(Err(WatchError::TaskEnded))
    }
}

async fn run(
    target: OpenCandidate,
    max_update_bytes: usize,
    queue: &MessageQueue,
) -> Result<(), WatchError> {
    let (mut sender, _connection) = connect(target.address).await?;
    let path = format!("/v1/servers?follow=1&since={}", target.since);
    let request = Request::get(path)
        .header(HOST, target.address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    receive(response, max_update_bytes, queue).await
}

async fn connect(
    address: SocketAddr,
) -> Result<(SendRequest<Empty<Bytes>>, AbortOnDrop), WatchError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(WatchError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(WATCH_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let driver = spawn_local(connection);
    Ok((sender, AbortOnDrop(driver.abort_handle())))
}

/// Forwards the messages of a response until it ends or the receiver is dropped.
async fn receive(
    response: Response<Incoming>,
    max_update_bytes: usize,
    queue: &MessageQueue,
) -> Result<(), WatchError> {
    let mut body = response.into_body();
    let mut stream = JsonStream::new(MAX_LIST_ENVELOPE_BYTES)
        .with_elements(list_update::ENTRIES, MAX_LIST_ENTRY_BYTES);
    let mut decoder = UpdateDecoder::new(max_update_bytes);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        stream.push(&data);
        let now = UnixTime::now();
        while let Some(item) = stream.next_item()? {
            let message = match item {
                StreamItem::Element(entry) => {
                    decoder.add_entry(&entry, now)?;
                    continue;
                }
                StreamItem::Object(envelope) => Received::Update(decoder.finish(&envelope)?),
                StreamItem::LineEnd => Received::KeepAlive,
            };
            if queue.send(Ok(message)).await.is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}
