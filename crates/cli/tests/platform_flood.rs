//! One client of `havenplank platform` that sends at full speed on one connection, beside others.

mod common;

use common::{head, run_locally, start_pods, Sidecar, CLIENT_TIME_MS, KIB, MS, PODS};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream as StdTcpStream};
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

const FLOOD_TIME: Duration = Duration::from_secs(4);
/// After this the memory of the sidecar no longer grows.
const WARM_UP: Duration = Duration::from_secs(1);
const POD_WORK: Duration = Duration::from_millis(5);
const OTHER_CLIENTS: usize = 8;
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(40);
/// "Some MB pass" on the page about the long day.
const MAX_GROWTH_BYTES: usize = 3_000_000;
/// Messages that the client writes at once.
const BATCH: usize = 200;

/// What the client sends, over and over.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flood {
    /// Health checks, which need no pod.
    HealthChecks,
    /// Small requests with ever new ids.
    SmallRequests,
    /// Requests with ever new ids, idempotency keys, tenants, cookies and fields.
    NewNames,
    /// Requests of ever new classes, which do not exist.
    UnknownClasses,
    /// Requests without an id.
    NoId,
    /// What can't be read.
    Garbage,
    /// Empty lines, which may stand before a request.
    EmptyLines,
    /// Requests whose length is wrong.
    WrongLengths,
}

const FLOODS: [Flood; 8] = [
    Flood::HealthChecks,
    Flood::SmallRequests,
    Flood::NewNames,
    Flood::UnknownClasses,
    Flood::NoId,
    Flood::Garbage,
    Flood::EmptyLines,
    Flood::WrongLengths,
];

fn message(flood: Flood, n: usize) -> String {
    let id = format!("flood-{n}");
    match flood {
        Flood::HealthChecks => "GET /healthz HTTP/1.1\r\n\r\n".into(),
        Flood::SmallRequests => head("GET /read/small", &id, ""),
        Flood::NewNames => {
            let names = format!(
                "idempotency-key: k{n}\r\nx-tenant: t{n}\r\ncookie: key={n}\r\nx-{n}: {n}\r\n"
            );
            head(
                "POST /mark/small",
                &id,
                &format!("{names}content-length: 1\r\n"),
            ) + "x"
        }
        Flood::UnknownClasses => head(&format!("GET /class-{n}/small"), &id, ""),
        Flood::NoId => "GET /read/small HTTP/1.1\r\nx-time-left-ms: 800\r\n\r\n".into(),
        Flood::Garbage => "\u{1}".repeat(100),
        Flood::EmptyLines => "\r\n".repeat(50),
        Flood::WrongLengths => head("POST /write/small", &id, "content-length: -1\r\n") + "x",
    }
}

/// Sends at full speed and reads what comes back; on a new connection whenever the sidecar has closed the last one.
/// Returns the number of connections.
fn run_flood(flood: Flood, sidecar: SocketAddr, until: Instant) -> usize {
    let (mut n, mut connections) = (0, 0);
    while Instant::now() < until {
        let Ok(mut stream) = StdTcpStream::connect(sidecar) else {
            continue;
        };
        connections += 1;
        stream.set_write_timeout(Some(100 * MS)).expect("a limit");
        let reader = read_all(stream.try_clone().expect("a second handle"));
        while Instant::now() < until {
            let batch: String = (n..n + BATCH).map(|n| message(flood, n)).collect();
            n += BATCH;
            if stream.write_all(batch.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        reader.join().expect("no panic");
    }
    connections
}

fn read_all(mut stream: StdTcpStream) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut sink = [0; 64 * KIB];
        while stream.read(&mut sink).is_ok_and(|read| read > 0) {}
    })
}

/// How the requests of a client went.
#[derive(Debug, Default)]
struct Figures {
    served: usize,
    failed: usize,
    longest: Duration,
}

impl Figures {
    fn add(&mut self, other: &Figures) {
        self.served += other.served;
        self.failed += other.failed;
        self.longest = self.longest.max(other.longest);
    }
}

async fn exchange(stream: &mut TcpStream, request: &str) -> std::io::Result<bool> {
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n\r\nyy") {
        if stream.read_buf(&mut response).await? == 0 {
            return Ok(false);
        }
        if !response.starts_with(b"HTTP/1.1 200") {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Sends one request after another on a connection that it keeps.
async fn run_client(client: usize, sidecar: SocketAddr, until: Instant) -> Figures {
    let mut figures = Figures::default();
    let mut stream = TcpStream::connect(sidecar).await.expect("a listener");
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        let began = Instant::now();
        let request = head("GET /read/small", &format!("client-{client}-{n}"), "");
        let limit = Duration::from_millis(CLIENT_TIME_MS);
        let exchanged = tokio::time::timeout(limit, exchange(&mut stream, &request)).await;
        if matches!(exchanged, Ok(Ok(true))) {
            figures.served += 1;
        } else {
            figures.failed += 1;
            stream = TcpStream::connect(sidecar).await.expect("a listener");
        }
        figures.longest = figures.longest.max(began.elapsed());
        sleep(PAUSE_BETWEEN_REQUESTS).await;
    }
    figures
}

fn run_clients(sidecar: SocketAddr, until: Instant) -> thread::JoinHandle<Figures> {
    thread::spawn(move || {
        let mut figures = Figures::default();
        run_locally(async {
            let mut clients = JoinSet::new();
            for client in 0..OTHER_CLIENTS {
                clients.spawn_local(run_client(client, sidecar, until));
            }
            while let Some(client) = clients.join_next().await {
                figures.add(&client.expect("no panic"));
            }
        });
        figures
    })
}

/// Returns the most memory that the sidecar uses until then, in bytes.
fn peak_until(sidecar: &Sidecar, until: Instant) -> usize {
    let mut peak = 0;
    while Instant::now() < until {
        peak = peak.max(sidecar.anonymous_bytes());
        thread::sleep(5 * MS);
    }
    peak
}

/// Returns how many requests the clients have served without a flood.
fn served_alone(sidecar: &Sidecar) -> usize {
    let clients = run_clients(sidecar.address, Instant::now() + FLOOD_TIME);
    clients.join().expect("no panic").served
}

/// While one client sends small or unsound messages on one connection at full speed, also under ever new names, each other
/// client gets its response in time, at least half as many as without it, and memory does not grow.
#[test]
fn one_client_at_full_speed_neither_delays_others_nor_lets_memory_grow() {
    let pods = start_pods(POD_WORK);
    let alone = served_alone(&Sidecar::start(&pods, PODS));
    let mut failures = Vec::new();
    for flood in FLOODS {
        let sidecar = Sidecar::start(&pods, PODS);
        let began = Instant::now();
        let (until, address) = (began + FLOOD_TIME, sidecar.address);
        let flooding = thread::spawn(move || run_flood(flood, address, until));
        let clients = run_clients(address, until);
        let early_peak = peak_until(&sidecar, began + WARM_UP);
        let late_peak = peak_until(&sidecar, until);
        let connections = flooding.join().expect("no panic");
        let figures = clients.join().expect("no panic");
        let line = format!(
            "{flood:?}: {figures:?}, {connections} connections, memory {} then {} KiB",
            early_peak / KIB,
            late_peak / KIB
        );
        println!("{line}");
        let has_grown = late_peak > early_peak + MAX_GROWTH_BYTES;
        if figures.failed > 0 || figures.served * 2 < alone || has_grown {
            failures.push(line);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
