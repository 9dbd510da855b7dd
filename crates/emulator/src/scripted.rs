//! Peers of the operators' platform whose every byte a test decides, on loopback ports of the system's choice.

use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Far beyond what anything on loopback takes; reached, the test fails.
const PATIENCE: Duration = Duration::from_secs(8);

async fn soon<T>(what: &str, work: impl std::future::Future<Output = T>) -> io::Result<T> {
    let late = |_| {
        io::Error::new(
            io::ErrorKind::TimedOut,
            format!("{what}: not within {PATIENCE:?}"),
        )
    };
    timeout(PATIENCE, work).await.map_err(late)
}

/// A pod, node list or release desk before anybody connected.
pub struct ScriptedServer(TcpListener);

impl ScriptedServer {
    /// # Errors
    /// No port to be had.
    pub async fn new() -> io::Result<ScriptedServer> {
        Ok(ScriptedServer(TcpListener::bind("127.0.0.1:0").await?))
    }

    /// # Errors
    /// The system does not tell.
    pub fn at(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// The next connection.
    ///
    /// # Errors
    /// None came in time.
    pub async fn accept(&self) -> io::Result<Connection> {
        Ok(Connection(soon("a connection", self.0.accept()).await??.0))
    }

    /// Whether nobody is waiting to be accepted now.
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
    /// # Errors
    /// Nobody listens there.
    pub async fn connect(at: SocketAddr) -> io::Result<Connection> {
        Ok(Connection(TcpStream::connect(at).await?))
    }

    /// # Errors
    /// The other side is gone.
    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) -> io::Result<()> {
        self.0.write_all(bytes.as_ref()).await
    }

    /// The next line, without its end.
    ///
    /// # Errors
    /// The connection ended first, or nothing came in time.
    pub async fn line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        while let byte @ (0..=9 | 11..) = soon("a line", self.0.read_u8()).await?? {
            line.push(byte);
        }
        Ok(String::from_utf8_lossy(&line).trim_end().to_string())
    }

    /// One HTTP message: its head in lower case, and the body that its length tells.
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
        soon("a body", self.0.read_exact(&mut body)).await??;
        Ok((head, String::from_utf8_lossy(&body).to_string()))
    }

    /// The status of the next answer, its head and its body.
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

    /// Whether the other side ends the connection, whatever it says before.
    pub async fn closes_in_time(&mut self) -> bool {
        let rest =
            async { while matches!(self.0.read(&mut [0; 4096]).await, Ok(more) if more > 0) {} };
        soon("an end", rest).await.is_ok()
    }
}

/// The value of a header in a head as [`Connection::message`] gives it.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// A pod's entry in the node list.
pub fn entry(name: &str, at: SocketAddr, build: u32, health: &str) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "z", "class": "m", "block": 0, "health": health,
        "share": 3.0, "born_ms": 0, "revision_no": build})
}

/// A line of the node list.
pub fn list(seq: u64, whole: bool, hosts: &[Value]) -> String {
    format!("{}\n", json!({"seq": seq, "whole": whole, "hosts": hosts}))
}

/// What stands in front of the lines of a watch, and one chunk of it.
pub const WATCH: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A configuration with path groups `read` (repeatable), `mark` (tagged) and `write` (mutating); build 7 is
/// released in it.
pub fn configuration(nodes: SocketAddr, desk: SocketAddr, hosts: &[Value]) -> Value {
    let group = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "onTimeNs": 400_000_000u64, "giveUpNs": 900_000_000u64,
            "windowNs": 5_000_000_000u64, "worth": 1.0, "lateValue": 0.0, "stream": false, "keyScope": "all"})
    };
    let groups = [
        group("read", "free"),
        group("mark", "guarded"),
        group("write", "single_shot"),
    ];
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": nodes.to_string(), "seed": "0000000000000005",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64},
        "deployer": {"address": desk.to_string(),
            "news": {"image": 7, "ring": 1, "progress": "stable", "ceiling": 1.0, "lag_ms": 60_000}},
        "known": {"seq": 3, "whole": true, "hosts": hosts},
        "settings": {
            "azs": ["z"], "locality": "z", "skus": ["m"], "classes": groups, "instances": 1, "rank": 0,
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
