//! The memory that bytes read ahead really hold, as the allocator counts it. The only test of its process.

use cap::Cap;
use havenplank_sidecar::client_stream::ClientStream;
use havenplank_sidecar::read_ahead::ReadAheadMemory;
use std::alloc::System;
use std::io::Write;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const SENT_BYTES: usize = 1 << 20;
const KEPT_BYTES: usize = 1000;
/// What the client sends over and over, outside the heap.
static PIECE: [u8; 4 << 10] = [b'x'; 4 << 10];
/// What two partly used steps, the runtime and the test itself may hold.
const MAX_OTHER_BYTES: usize = 32 << 10;

/// Reads ahead until everything has arrived, and returns what the process has allocated for it.
async fn read_all_ahead(stream: &ClientStream, before: usize) -> usize {
    while stream.read_ahead_bytes() < SENT_BYTES {
        assert_eq!(stream.look_for_departure(), None);
        tokio::task::yield_now().await;
    }
    ALLOCATOR.allocated().saturating_sub(before)
}

/// The buffer of a connection doubled while it grew, and stayed as large until it was empty, while only the bytes left in
/// it counted: connections that had passed nearly all on held many times their share.
#[tokio::test(flavor = "current_thread")]
async fn bytes_read_ahead_hold_no_more_memory_than_is_counted() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = std::thread::spawn(move || {
        let mut client = std::net::TcpStream::connect(address).expect("a listener");
        for _ in 0..SENT_BYTES / PIECE.len() {
            client.write_all(&PIECE).expect("written");
        }
        client
    });
    let (socket, _) = listener.accept().await.expect("a client");
    let memory = Rc::new(ReadAheadMemory::for_connections(1000));
    let mut stream = ClientStream::new(socket, memory);
    let mut sink = vec![0; 4 << 10];
    let before = ALLOCATOR.allocated();
    let at_most = read_all_ahead(&stream, before).await;
    let _client = client.join().expect("no panic");
    while stream.read_ahead_bytes() > KEPT_BYTES {
        let length = sink.len().min(stream.read_ahead_bytes() - KEPT_BYTES);
        stream.read_exact(&mut sink[..length]).await.expect("held");
    }
    let left = ALLOCATOR.allocated().saturating_sub(before);
    println!("{at_most} allocated with all held, {left} with {KEPT_BYTES} left");
    assert!(at_most <= SENT_BYTES + MAX_OTHER_BYTES, "{at_most} for all");
    assert!(left <= MAX_OTHER_BYTES, "{left} for {KEPT_BYTES}");
}
