//! Clients that stay: each of their requests is owed one final answer in time, and a response of its own.

use super::clients::{get, post};
use super::{CLIENT_TIME_MS, MS};
use havenplank_emulator::scripted::header;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Up to half a second after its time an answer only earns nothing; every time limit is 50 ms longer on sockets.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(CLIENT_TIME_MS + 550);
const PAUSE: Duration = Duration::from_millis(30);

/// A response as a client reads it.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
    /// Whether the sidecar says that it closes the connection.
    pub closes: bool,
}

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    Answered(Response),
    /// The connection ended before the first byte of a response.
    Closed,
    /// The connection ended within a response, or none came in time.
    Failed(String),
}

/// A connection of a client that stays.
pub struct Connection {
    stream: TcpStream,
    /// Bytes that were read behind the last response.
    received: Vec<u8>,
}

impl Connection {
    pub fn open(sidecar: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(sidecar)?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            received: Vec::new(),
        })
    }

    /// Sends bytes on a thread of its own, as the sidecar may read them only while its responses are read.
    pub fn send_beside(&self, bytes: Vec<u8>) {
        let mut stream = self.stream.try_clone().expect("a second handle");
        // The sidecar may close the connection of a client that sends too much.
        std::thread::spawn(move || stream.write_all(&bytes));
    }

    pub fn send(&mut self, request: &str) -> std::io::Result<()> {
        self.stream.write_all(request.as_bytes())
    }

    /// Reads the next response.
    pub fn read_response(&mut self, limit: Duration) -> Outcome {
        let until = Instant::now() + limit;
        loop {
            if let Some(response) = self.take_response() {
                return Outcome::Answered(response);
            }
            let left = until.saturating_duration_since(Instant::now()).max(MS);
            self.stream.set_read_timeout(Some(left)).expect("a limit");
            let mut read = [0; 16 << 10];
            match self.stream.read(&mut read) {
                Ok(0) => return self.ended("closed"),
                Ok(length) => self.received.extend_from_slice(&read[..length]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return Outcome::Failed(format!("no response within {limit:?}"));
                }
                Err(error) => return self.ended(&error.to_string()),
            }
        }
    }

    fn ended(&self, how: &str) -> Outcome {
        if self.received.is_empty() {
            return Outcome::Closed;
        }
        Outcome::Failed(format!("{how} within a response"))
    }

    fn take_response(&mut self) -> Option<Response> {
        let text = String::from_utf8_lossy(&self.received);
        let (head, rest) = text.split_once("\r\n\r\n")?;
        let lines = head.to_lowercase().replace("\r\n", "\n");
        let length = header(&lines, "content-length").map_or(Ok(0), str::parse);
        let length: usize = length.expect("a length");
        let body = rest.get(..length)?.to_string();
        let response = Response {
            status: head.get(9..12)?.parse().expect("a status"),
            body,
            closes: header(&lines, "connection") == Some("close"),
        };
        let end = head.len() + 4 + length;
        self.received.drain(..end);
        Some(response)
    }
}

/// What a client that stays has seen.
#[derive(Debug, Default)]
pub struct Report {
    /// The ids of the requests that were answered, with their statuses, in order.
    pub answered: Vec<(String, u16)>,
    /// The ids of requests on which the connection ended without an answer.
    pub unanswered: Vec<String>,
    pub failures: Vec<String>,
}

impl Report {
    pub fn served(&self) -> usize {
        let served = self.answered.iter().filter(|(_, status)| *status == 200);
        served.count()
    }

    /// Records an outcome. Returns whether the connection can be used again.
    fn record(&mut self, id: &str, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Answered(response) => {
                self.answered.push((id.to_string(), response.status));
                if response.status == 200 && response.body != id {
                    self.failures
                        .push(format!("{id} got the response of {}", response.body));
                }
                !response.closes
            }
            Outcome::Closed => {
                self.unanswered.push(id.to_string());
                false
            }
            Outcome::Failed(why) => {
                self.failures.push(format!("{id}: {why}"));
                false
            }
        }
    }
}

/// Sends one request after another until then, on a connection that it keeps as long as the sidecar does.
pub fn send_in_series(sidecar: SocketAddr, client: usize, until: Instant) -> Report {
    let mut report = Report::default();
    let mut connection = None;
    for n in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("c{client}-{n}-{}", ["r", "m", "w"][n % 3]);
        let is_new = connection.is_none();
        let Ok(mut open) = connection
            .take()
            .map_or_else(|| Connection::open(sidecar), Ok)
        else {
            // The sidecar has stopped listening.
            break;
        };
        let sent = open.send(&series_request(&id, n));
        let outcome = match sent {
            Ok(()) => open.read_response(MAX_ANSWER_TIME),
            Err(_) => Outcome::Closed,
        };
        if is_new && matches!(outcome, Outcome::Closed) {
            report.failures.push(format!(
                "{id}: closed without an answer, on a new connection"
            ));
        }
        if report.record(&id, outcome) {
            connection = Some(open);
        }
        std::thread::sleep(PAUSE);
    }
    report
}

fn series_request(id: &str, n: usize) -> String {
    match n % 3 {
        0 => get(id),
        1 => post(id, if n.is_multiple_of(2) { 40_000 } else { 10 }),
        _ => post(id, 10).replace("/mark/", "/write/"),
    }
}

/// Sends requests one behind the other without waiting, then reads their responses in order.
pub fn send_at_once(sidecar: SocketAddr, client: usize, count: usize, body_bytes: usize) -> Report {
    let mut report = Report::default();
    let mut connection = Connection::open(sidecar).expect("a listener");
    let ids: Vec<String> = (0..count).map(|n| format!("c{client}-{n}-p")).collect();
    let requests: String = ids.iter().map(|id| post(id, body_bytes)).collect();
    connection.send_beside(requests.into_bytes());
    for id in &ids {
        // Each waits for those before it.
        let outcome = connection.read_response(MAX_ANSWER_TIME);
        if !report.record(id, outcome) {
            break;
        }
    }
    report
}
