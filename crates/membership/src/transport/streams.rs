//! Streams between members: one to each address, for messages that are too long for a datagram. Each message is one
//! frame.

use crate::frame::MAX_STREAM_BYTES;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Limit on the open streams from other members; a further one waits to be accepted.
const MAX_INCOMING_STREAMS: usize = 256;
/// Limit on the messages that wait for one stream; a further one is dropped, as a datagram might have been.
pub(super) const MAX_WAITING_MESSAGES: usize = 64;
/// Time limit for connecting, and for sending one message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// A stream without messages for this time is closed by the member that opened it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// A stream without messages for this time is closed by the member that accepted it. Longer than [`IDLE_TIMEOUT`], so
/// that no message is sent into a stream that is being closed.
const ACCEPTED_IDLE_TIMEOUT: Duration = Duration::from_secs(40);
/// The pause after a failed accept, which most likely means that no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_STREAM_BYTES)
        .new_codec()
}

/// The streams that this member opened. An entry is removed with its stream, so there are at most as many as members.
#[derive(Clone, Default)]
pub(super) struct OutgoingStreams {
    by_address: Rc<RefCell<HashMap<SocketAddr, mpsc::Sender<Bytes>>>>,
}

impl OutgoingStreams {
    /// Sends a message over the stream to this address, which is opened if necessary. Returns false if too many
    /// messages are waiting for it.
    pub fn send(&self, address: SocketAddr, message: Bytes) -> bool {
        let mut streams = self.by_address.borrow_mut();
        let messages = streams.entry(address).or_insert_with(|| {
            let (messages, queue) = mpsc::channel(MAX_WAITING_MESSAGES);
            spawn_local(self.clone().run(address, queue));
            messages
        });
        messages.try_send(message).is_ok()
    }

    /// Sends the messages for one address until the stream has been idle for too long or fails.
    async fn run(self, address: SocketAddr, mut queue: mpsc::Receiver<Bytes>) {
        send_messages(address, &mut queue).await;
        self.by_address.borrow_mut().remove(&address);
    }
}

async fn send_messages(address: SocketAddr, queue: &mut mpsc::Receiver<Bytes>) {
    let Ok(Ok(stream)) = timeout(SEND_TIMEOUT, TcpStream::connect(address)).await else {
        return;
    };
    // Ignores a failure: without TCP_NODELAY messages arrive later, and nothing else changes.
    let _ = stream.set_nodelay(true);
    let mut frames = Framed::new(stream, codec());
    while let Ok(Some(message)) = timeout(IDLE_TIMEOUT, queue.recv()).await {
        if !matches!(
            timeout(SEND_TIMEOUT, frames.send(message)).await,
            Ok(Ok(()))
        ) {
            return;
        }
    }
}

/// Accepts streams and passes on the messages that they carry. Runs forever.
pub(super) async fn accept_streams(listener: &TcpListener, message_sender: mpsc::Sender<Bytes>) {
    let permits = Arc::new(Semaphore::new(MAX_INCOMING_STREAMS));
    let mut open = JoinSet::new();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let message_sender = message_sender.clone();
                    open.spawn_local(async move {
                        read_messages(stream, message_sender).await;
                        drop(permit);
                    });
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = open.join_next() => {}
        }
    }
}

/// Passes on the messages of one stream until it ends, fails or has been idle for too long.
async fn read_messages(stream: TcpStream, message_sender: mpsc::Sender<Bytes>) {
    let mut frames = Framed::new(stream, codec());
    while let Ok(Some(Ok(message))) = timeout(ACCEPTED_IDLE_TIMEOUT, frames.next()).await {
        if message_sender.send(message.freeze()).await.is_err() {
            return;
        }
    }
}
