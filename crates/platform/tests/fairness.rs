//! Clients that send much at once beside others, on sockets.

mod common;

use common::{get, run_test, Rig, HEALTH, OK};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use tokio::task::yield_now;
use tokio::time::sleep;

/// The requests that a connection may be answered while another one's request waits in its socket.
const MAX_AHEAD: usize = 50;
const FLOOD: usize = 1500;

/// A client that reads what has arrived without waiting for more.
struct FloodingClient {
    stream: TcpStream,
    received: String,
}

impl FloodingClient {
    /// Connects and writes without letting the runtime poll: the sidecar has seen nothing of it when this returns.
    fn start(rig: &Rig, text: &str) -> FloodingClient {
        let mut stream = TcpStream::connect(rig.address).expect("a listener");
        stream.write_all(text.as_bytes()).expect("written");
        stream.set_nonblocking(true).expect("a mode");
        FloodingClient {
            stream,
            received: String::new(),
        }
    }

    /// Returns the number of responses that have arrived so far.
    fn responses(&mut self) -> usize {
        let mut read = [0; 4096];
        loop {
            match self.stream.read(&mut read) {
                Ok(0) => break,
                Ok(more) => self.received += &String::from_utf8_lossy(&read[..more]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("{error}"),
            }
        }
        self.received.matches("HTTP/1.1 200").count()
    }
}

/// One client sends requests that are answered at once, as fast as it can. The sidecar answered up to a thousand of them
/// before it looked at its other sockets, so other clients waited that long at each step of their requests.
#[test]
fn a_client_with_many_requests_in_its_socket_does_not_hold_up_another() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        // A connection that is open already, so that only its request has to be read.
        let mut other = rig.client().await;
        other.send(HEALTH).await.unwrap();
        other.answer().await.unwrap();
        let mut flood = FloodingClient::start(&rig, &HEALTH.repeat(FLOOD));
        // The sidecar has begun with the flood when the other request arrives.
        while flood.responses() == 0 {
            yield_now().await;
        }
        other.send(get("i1")).await.unwrap();
        let mut pod = rig.pod.accept().await.unwrap();
        pod.message().await.unwrap();
        let ahead = flood.responses();
        assert!(ahead <= MAX_AHEAD, "{ahead} of {FLOOD} requests came first");
        pod.send(OK).await.unwrap();
        assert_eq!(other.answer().await.unwrap().0, 200);
        let until = Instant::now() + Duration::from_secs(5);
        while flood.responses() < FLOOD && Instant::now() < until {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(flood.responses(), FLOOD, "all of them are answered");
    });
}
