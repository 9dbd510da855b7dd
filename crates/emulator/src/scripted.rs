//! Peers of the operators' platform that send exactly the bytes that a test gives them, on loopback ports that the
//! system chooses.

use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Limit on each step of a test, far longer than any step takes on loopback.
const STEP_TIMEOUT: Duration = Duration::from_secs(8);

/// Runs a step, and fails when it takes longer than [`STEP_TIMEOUT`].
async fn within_limit<T>(what: &str, work: impl std::future::Future<Output = T>) -> io::Result<T> {
    let timed_out = |_| {
        io::Error::new(
            io::ErrorKind::TimedOut,
            format!("{what}: not within {STEP_TIMEOUT:?}"),
        )
    };
    timeout(STEP_TIMEOUT, work).await.map_err(timed_out)
}

/// A listener in place of a pod, the discovery service or the control plane.
pub struct ScriptedServer(TcpListener);

impl ScriptedServer {
    /// Binds a port.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn new() -> io::Result<ScriptedServer> {
        Ok(ScriptedServer(TcpListener::bind("127.0.0.1:0").await?))
    }

    /// The address that it listens on.
    ///
    /// # Errors
    /// The system does not know the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    /// No connection came in time.
    pub async fn accept(&self) -> io::Result<Connection> {
        Ok(Connection(
            within_limit("a connection", self.0.accept()).await??.0,
        ))
    }

    /// Whether no connection waits to be accepted.
    pub async fn has_no_pending_connection(&self) -> bool {
        timeout(Duration::ZERO, self.0.accept()).await.is_err()
    }
}

/// One side of a connection.
pub struct Connection(TcpStream);

impl From<TcpStream> for Connection {
    fn from(stream: TcpStream) -> Connection {
        Connection(stream)
    }
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    /// Nothing listens there.
    pub async fn connect(at: SocketAddr) -> io::Result<Connection> {
        Ok(Connection(TcpStream::connect(at).await?))
    }

    /// Returns the socket.
    ///
    /// # Errors
    /// The runtime has stopped.
    pub fn into_std(self) -> io::Result<std::net::TcpStream> {
        self.0.into_std()
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// The other side has closed the connection.
    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) -> io::Result<()> {
        self.0.write_all(bytes.as_ref()).await
    }

    /// Reads the next line, without its line end.
    ///
    /// # Errors
    /// The connection ended first, or nothing came in time.
    pub async fn line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        while let byte @ (0..=9 | 11..) = within_limit("a line", self.0.read_u8()).await?? {
            line.push(byte);
        }
        Ok(String::from_utf8_lossy(&line).trim_end().to_string())
    }

    /// Reads one HTTP message: its head in lower case, and a body of the length that the head states.
    ///
    /// # Errors
    /// The connection ended first, or nothing came in time.
    pub async fn message(&mut self) -> io::Result<(String, String)> {
        let mut head = String::new();
        loop {
            match self.line().await?.to_lowercase() {
                end if end.is_empty() => break,
                line => head += &format!("{line}\n"),
            }
        }
        let length = header(&head, "content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        within_limit("a body", self.0.read_exact(&mut body)).await??;
        Ok((head, String::from_utf8_lossy(&body).to_string()))
    }

    /// Reads the next HTTP response: its status, its head and its body.
    ///
    /// # Errors
    /// The connection ended first, or nothing came in time.
    pub async fn answer(&mut self) -> io::Result<(u16, String, String)> {
        let (head, body) = self.message().await?;
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        Ok((status, head, body))
    }

    /// Returns whether the other side closes the connection in time, whatever it sends before.
    pub async fn closes_in_time(&mut self) -> bool {
        let rest =
            async { while matches!(self.0.read(&mut [0; 4096]).await, Ok(more) if more > 0) {} };
        within_limit("an end", rest).await.is_ok()
    }
}

/// The value of a header in a head that [`Connection::message`] returned.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// The entry of a pod in the endpoint list.
pub fn entry(name: &str, at: SocketAddr, build: u32, health: &str) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "z", "class": "m", "block": 0, "health": health,
        "share": 3.0, "born_ms": 0, "revision_no": build})
}

/// A line of the endpoint list: the complete list if `complete` is set, otherwise changes.
pub fn list(seq: u64, complete: bool, hosts: &[Value]) -> String {
    format!(
        "{}\n",
        json!({"seq": seq, "whole": complete, "hosts": hosts})
    )
}

/// The response head of a watch; its lines follow as chunks.
pub const WATCH: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// One chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A configuration with the route classes `read` (idempotent), `mark` (keyed) and `write` (not idempotent), in which
/// build 7 is released.
pub fn configuration(discovery: SocketAddr, control_plane: SocketAddr, hosts: &[Value]) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "onTimeNs": 400_000_000u64, "giveUpNs": 900_000_000u64,
            "windowNs": 5_000_000_000u64, "worth": 1.0, "lateValue": 0.0, "stream": false, "keyScope": "all"})
    };
    let classes = [
        class("read", "free"),
        class("mark", "guarded"),
        class("write", "single_shot"),
    ];
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "0000000000000005",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64},
        "deployer": {"address": control_plane.to_string(),
            "news": {"image": 7, "ring": 1, "progress": "stable", "ceiling": 1.0, "lag_ms": 60_000}},
        "known": {"seq": 3, "whole": true, "hosts": hosts},
        "settings": {
            "azs": ["z"], "locality": "z", "skus": ["m"], "classes": classes, "instances": 1, "rank": 0,
            "discovery": "automatic", "loadReport": {"how": "silent", "columns": []},
            "familyInfo": {"control": "by_count", "counts": "all", "exposureWindowNs": 6_000_000_000u64,
                "free": 3.0, "mostShares": [0.5, 1.0], "oneWay": false, "style": "parallel", "noesNeeded": 1,
                "ballotTtlNs": 6_000_000_000u64, "callTimeoutNs": 800_000_000u64, "votesPerS": 5.0},
            "limits": {"connIdleNs": 30_000_000_000u64, "dialTimeoutNs": 250_000_000u64, "maxAttempts": 4,
                "mayCancel": true, "secondCopies": true, "retryAfter": true, "probing": true,
                "maxRetryAfterNs": 1_500_000_000u64},
            "rules": {"coldShare": 0.3, "drainGraceNs": 500_000_000u64, "fallMultiple": 3.0,
                "fallNs": 2_000_000_000u64, "warmUpNs": 2_000_000_000u64, "answerSlackNs": 5_000_000u64},
        },
    })
}
