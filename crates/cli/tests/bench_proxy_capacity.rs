//! The pods of `bench capacity --what proxy`: one process serves each pod on an address of its own.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

const ADDRESSES: [&str; 3] = ["127.1.0.1:0", "127.1.0.2:0", "127.1.1.0:0"];

/// Kills the process when dropped, also after a failed assertion.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends a request without keep-alive, and returns the text of the response.
fn response(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).expect("a listener");
    stream
        .write_all(b"GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
        .expect("the request is sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a response");
    text
}

#[test]
fn each_pod_of_a_process_answers_on_its_own_address() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_havenplank"))
        .args(["bench-part", "pods"])
        .args(ADDRESSES)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program runs");
    let output = child.stdout.take().expect("standard output");
    let _kill_on_drop = KillOnDrop(child);
    let mut line = String::new();
    BufReader::new(output)
        .read_line(&mut line)
        .expect("a line of addresses");
    let bound: Vec<SocketAddr> = line
        .split_whitespace()
        .map(|address| address.parse().expect("an address"))
        .collect();
    let expected = ADDRESSES.map(|address| address.parse::<SocketAddr>().expect("an address").ip());
    assert_eq!(
        bound.iter().map(SocketAddr::ip).collect::<Vec<_>>(),
        expected
    );
    for address in bound {
        let text = response(address);
        assert!(
            text.starts_with("HTTP/1.1 200") && text.ends_with("ok"),
            "{address}: {text}"
        );
    }
}
