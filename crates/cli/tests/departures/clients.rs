//! Clients that close their connection while their request is in flight.

use super::{CLIENT_TIME_MS, MS};
use havenplank_sidecar::read_ahead::MAX_HELD_BYTES;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const LARGE_BODY_BYTES: usize = 40_000;
const MANY_REQUESTS_BYTES: usize = 100_000;

/// What a client sends behind its request, and how it leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// Nothing.
    Nothing,
    /// One more request.
    OneRequest,
    /// Some 100 KB of requests.
    ManyRequests,
    /// This many zero bytes, which are no request.
    Zeros(usize),
    /// As many requests with bodies as the sockets take.
    RequestsWithBodies,
    /// Twelve requests with bodies of 40 KB in a row.
    TwelveBodies,
    /// Single bytes, each in a segment of its own.
    SingleBytes(usize),
    /// Some 60 KB, and a reset in place of a close.
    Reset,
}

pub const FORMS: [Form; 9] = [
    Form::Nothing,
    Form::OneRequest,
    Form::ManyRequests,
    Form::Zeros(200_000),
    Form::Zeros(8_000_000),
    Form::RequestsWithBodies,
    Form::TwelveBodies,
    Form::SingleBytes(2_000),
    Form::Reset,
];

impl Form {
    /// Returns whether a sidecar reads all of it ahead, so that the request itself is sent to a pod at first.
    pub fn fits_read_ahead(self) -> bool {
        match self {
            Form::Zeros(count) => count < MAX_HELD_BYTES,
            Form::RequestsWithBodies | Form::TwelveBodies => false,
            _ => true,
        }
    }
}

/// A client that has left.
#[derive(Clone, Debug)]
pub struct Departure {
    /// The number of the client, with which the ids of its requests begin.
    pub client: usize,
    pub closed: Instant,
}

impl Departure {
    /// Returns whether the client sent the request with this id.
    pub fn sent(&self, id: &str) -> bool {
        id.strip_prefix('c').and_then(|rest| rest.split('-').next())
            == Some(&self.client.to_string())
    }
}

pub fn get(id: &str) -> String {
    head("GET /read/a", id, "")
}

pub fn post(id: &str, body_bytes: usize) -> String {
    let fields = format!("idempotency-key: \"k{id}\"\r\ncontent-length: {body_bytes}\r\n");
    head("POST /mark/a", id, &fields) + &"b".repeat(body_bytes)
}

fn head(line: &str, id: &str, fields: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nhost: h\r\nx-correlation-id: {id}\r\nx-time-left-ms: {CLIENT_TIME_MS}\r\n{fields}\r\n"
    )
}

/// Sends a request, what the form has behind it, and leaves `after` the request was written.
pub fn send_and_leave(
    sidecar: SocketAddr,
    form: Form,
    client: usize,
    after: Duration,
) -> Departure {
    let mut stream = TcpStream::connect(sidecar).expect("a listener");
    stream.set_nodelay(true).expect("an option");
    stream.set_nonblocking(true).expect("a mode");
    let id = |n: usize| format!("c{client}-{n}");
    let first = match form {
        Form::TwelveBodies => post(&id(0), LARGE_BODY_BYTES),
        _ => get(&id(0)),
    };
    let leave_at = Instant::now() + after;
    write_until(&mut stream, first.as_bytes(), leave_at);
    match form {
        Form::Nothing => {}
        Form::OneRequest => write_until(&mut stream, get(&id(1)).as_bytes(), leave_at),
        Form::ManyRequests => {
            let count = MANY_REQUESTS_BYTES / get(&id(100)).len();
            let requests: String = (1..=count).map(|n| get(&id(n))).collect();
            write_until(&mut stream, requests.as_bytes(), leave_at);
        }
        Form::Zeros(count) => write_until(&mut stream, &vec![0; count], leave_at),
        Form::RequestsWithBodies => {
            for n in 1.. {
                write_until(
                    &mut stream,
                    post(&id(n), LARGE_BODY_BYTES).as_bytes(),
                    leave_at,
                );
                if Instant::now() >= leave_at {
                    break;
                }
            }
        }
        Form::TwelveBodies => {
            for n in 1..12 {
                write_until(
                    &mut stream,
                    post(&id(n), LARGE_BODY_BYTES).as_bytes(),
                    leave_at,
                );
            }
        }
        Form::SingleBytes(count) => {
            for _ in 0..count {
                write_until(&mut stream, b"x", leave_at);
            }
        }
        Form::Reset => {
            write_until(&mut stream, &vec![b'x'; 60_000], leave_at);
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("an option");
        }
    }
    thread::sleep(leave_at.saturating_duration_since(Instant::now()));
    drop(stream);
    Departure {
        client,
        closed: Instant::now(),
    }
}

/// Writes all bytes, or as many as the sockets take until then.
fn write_until(stream: &mut TcpStream, mut bytes: &[u8], until: Instant) {
    while !bytes.is_empty() && Instant::now() < until {
        match stream.write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => thread::sleep(MS),
            // The sidecar may close the connection of a client that sends too much.
            Err(_) => return,
        }
    }
}
