//! Streams between members: one to each address for what is too long for a datagram, a frame a message.

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

/// Streams of others that are open at once; a further one waits to be accepted.
const MAX_INCOMING_STREAMS: usize = 256;
/// Messages that wait for one stream; a further one is dropped, as a datagram might have been.
pub(super) const MAX_WAITING_MESSAGES: usize = 64;
/// How long connecting may take, and sending one message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// A stream that carried nothing for so long is closed by whoever opened it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The same at whoever accepted it: later, so that no message is sent into a closing stream.
const ACCEPTED_IDLE_TIMEOUT: Duration = Duration::from_secs(40);
/// The pause after a failed accept: no descriptors are left, most likely.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_STREAM_BYTES)
        .new_codec()
}

/// The streams that we opened. An entry is removed with its stream, so there are at most as many as members.
#[derive(Clone, Default)]
pub(super) struct OutgoingStreams {
    by_address: Rc<RefCell<HashMap<SocketAddr, mpsc::Sender<Bytes>>>>,
}

impl OutgoingStreams {
    /// Sends a message over the stream to this address, which is opened if need be. Returns false where too many wait
    /// for it.
    pub fn send(&self, address: SocketAddr, message: Bytes) -> bool {
        let mut streams = self.by_address.borrow_mut();
        let messages = streams.entry(address).or_insert_with(|| {
            let (messages, waiting) = mpsc::channel(MAX_WAITING_MESSAGES);
            spawn_local(self.clone().run(address, waiting));
            messages
        });
        messages.try_send(message).is_ok()
    }

    /// Carries messages to one address until nothing more comes or the stream breaks.
    async fn run(self, address: SocketAddr, mut waiting: mpsc::Receiver<Bytes>) {
        carry_messages(address, &mut waiting).await;
        self.by_address.borrow_mut().remove(&address);
    }
}

async fn carry_messages(address: SocketAddr, waiting: &mut mpsc::Receiver<Bytes>) {
    let Ok(Ok(stream)) = timeout(SEND_TIMEOUT, TcpStream::connect(address)).await else {
        return;
    };
    // Without it messages come later, and nothing else changes.
    let _ = stream.set_nodelay(true);
    let mut frames = Framed::new(stream, codec());
    while let Ok(Some(message)) = timeout(IDLE_TIMEOUT, waiting.recv()).await {
        if !matches!(
            timeout(SEND_TIMEOUT, frames.send(message)).await,
            Ok(Ok(()))
        ) {
            return;
        }
    }
}

/// Accepts streams and passes on the messages that they carry, without end.
pub(super) async fn accept_streams(listener: &TcpListener, received: mpsc::Sender<Bytes>) {
    let permits = Arc::new(Semaphore::new(MAX_INCOMING_STREAMS));
    let mut open = JoinSet::new();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let received = received.clone();
                    open.spawn_local(async move {
                        read_messages(stream, received).await;
                        drop(permit);
                    });
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = open.join_next() => {}
        }
    }
}

/// Passes on the messages of one stream until it ends, breaks or stays idle.
async fn read_messages(stream: TcpStream, received: mpsc::Sender<Bytes>) {
    let mut frames = Framed::new(stream, codec());
    while let Ok(Some(Ok(message))) = timeout(ACCEPTED_IDLE_TIMEOUT, frames.next()).await {
        if received.send(message.freeze()).await.is_err() {
            return;
        }
    }
}
