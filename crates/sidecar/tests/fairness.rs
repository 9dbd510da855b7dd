//! A client of the proxy that sends much at once, beside another.

mod common;

use common::{get, read_response, with_sidecar};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use tokio::io::AsyncWriteExt;
use tokio::task::yield_now;

/// The requests that a connection may be answered while another one's request waits in its socket.
const MAX_AHEAD: usize = 50;
const FLOOD: usize = 1500;

fn read_available(stream: &mut TcpStream, received: &mut String) {
    let mut read = [0; 4096];
    loop {
        match stream.read(&mut read) {
            Ok(0) => break,
            Ok(more) => *received += &String::from_utf8_lossy(&read[..more]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => panic!("{error}"),
        }
    }
}

/// One client sends requests that are rejected at once, as fast as it can: the sidecar answered hundreds of them before
/// it looked at its other sockets.
#[test]
fn a_client_with_many_requests_in_its_socket_does_not_hold_up_another() {
    with_sidecar(8, |sidecar| async move {
        // No pod is listed, so each request is rejected at once.
        let mut other = sidecar.connect().await;
        other.write_all(&get("/read", "")).await.expect("written");
        assert_eq!(read_response(&mut other).await.0, 503);
        let mut flood = TcpStream::connect(sidecar.address).expect("a sidecar");
        flood
            .write_all(&get("/read", "").repeat(FLOOD))
            .expect("written");
        flood.set_nonblocking(true).expect("a mode");
        let mut received = String::new();
        while received.is_empty() {
            yield_now().await;
            read_available(&mut flood, &mut received);
        }
        other.write_all(&get("/read", "")).await.expect("written");
        assert_eq!(read_response(&mut other).await.0, 503);
        read_available(&mut flood, &mut received);
        let ahead = received.matches("HTTP/1.1 503").count();
        assert!(ahead <= MAX_AHEAD, "{ahead} of {FLOOD} requests came first");
    });
}
