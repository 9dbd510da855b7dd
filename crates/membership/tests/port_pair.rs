//! Tests that UDP and TCP are bound to the same port, even if the first port chosen is taken for TCP.

use havenplank_membership::port_pair::PortPair;
use std::net::{SocketAddr, TcpListener, UdpSocket};

const ANY_PORT: &str = "127.0.0.1:0";

/// Returns a port that the system chose for UDP, and a listener that occupies it for TCP.
fn port_taken_for_tcp() -> (SocketAddr, TcpListener) {
    loop {
        let datagrams = UdpSocket::bind(ANY_PORT).expect("a UDP port");
        let address = datagrams.local_addr().expect("its address");
        if let Ok(streams) = TcpListener::bind(address) {
            return (address, streams);
        }
    }
}

#[tokio::test]
async fn chooses_another_port_when_the_first_is_taken_for_tcp() {
    let (taken, _listener) = port_taken_for_tcp();
    let any: SocketAddr = ANY_PORT.parse().expect("an address");
    let choices = [taken].into_iter().chain([any; 16]);
    let pair = PortPair::bind_first_free(choices).await.expect("a pair");
    let address = pair.local_address().expect("its address");
    assert_ne!(address, taken);
    assert_eq!(pair.streams.local_addr().expect("its address"), address);
}

#[tokio::test]
async fn fails_on_a_given_port_that_is_taken_for_tcp_and_chooses_no_other() {
    let (taken, _listener) = port_taken_for_tcp();
    let error = PortPair::bind(taken).await.expect_err("taken");
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
    let free = PortPair::bind(ANY_PORT.parse().expect("an address")).await;
    assert!(free.is_ok());
}
