//! The pods that the bench of the proxy's capacity lists: one listener for each address, in one process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

const ADDRESSES: [&str; 3] = ["127.1.0.1:0", "127.1.0.2:0", "127.1.1.0:0"];

/// Ends the process also where a check fails.
struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn answer(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).expect("a listener");
    stream
        .write_all(b"GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
        .expect("it takes a request");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
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
    let output = child.stdout.take().expect("its output");
    let _ended = Ended(child);
    let mut line = String::new();
    BufReader::new(output)
        .read_line(&mut line)
        .expect("its addresses");
    let bound: Vec<SocketAddr> = line
        .split_whitespace()
        .map(|address| address.parse().expect("an address"))
        .collect();
    let wanted = ADDRESSES.map(|address| address.parse::<SocketAddr>().expect("an address").ip());
    assert_eq!(bound.iter().map(SocketAddr::ip).collect::<Vec<_>>(), wanted);
    for address in bound {
        let text = answer(address);
        assert!(
            text.starts_with("HTTP/1.1 200") && text.ends_with("ok"),
            "{address}: {text}"
        );
    }
}
