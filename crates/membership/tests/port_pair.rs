//! Whether UDP and TCP come to share a port though the first choice is taken.

use havenplank_membership::port_pair::PortPair;
use std::net::{SocketAddr, TcpListener, UdpSocket};

const ANY_PORT: &str = "127.0.0.1:0";

/// A port that the system gave for UDP, with its TCP half taken.
fn half_taken_port() -> (SocketAddr, TcpListener) {
    loop {
        let datagrams = UdpSocket::bind(ANY_PORT).expect("a UDP port");
        let address = datagrams.local_addr().expect("its address");
        if let Ok(streams) = TcpListener::bind(address) {
            return (address, streams);
        }
    }
}

#[tokio::test]
async fn another_port_is_chosen_when_the_tcp_half_of_the_first_is_taken() {
    let (taken, _held) = half_taken_port();
    let any: SocketAddr = ANY_PORT.parse().expect("an address");
    let choices = [taken].into_iter().chain([any; 16]);
    let pair = PortPair::bind_first_free(choices).await.expect("a pair");
    let address = pair.local_address().expect("its address");
    assert_ne!(address, taken);
    assert_eq!(pair.streams.local_addr().expect("its address"), address);
}

#[tokio::test]
async fn a_given_port_whose_tcp_half_is_taken_is_an_error_and_no_other_port_is_chosen() {
    let (taken, _held) = half_taken_port();
    let error = PortPair::bind(taken).await.expect_err("taken");
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
    let free = PortPair::bind(ANY_PORT.parse().expect("an address")).await;
    assert!(free.is_ok());
}
