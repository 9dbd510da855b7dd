//! The node list: a watch that stays open, decoded into the engine's list calls.

use crate::config;
use crate::node::Shell;
use crate::steady::{self, Task, Up};
use bytes::{Buf, Bytes, BytesMut};
use havenplank::port::{Build, Ns, PodState};
use havenplank_adapter::line::Fields;
use havenplank_feeds::lines::MOST_PODS;
use havenplank_feeds::nodes::Listed;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

const CONNECT: Duration = Duration::from_secs(1);
/// An empty line comes every 2 s: one was lost, and then another.
const SILENCE: Duration = Duration::from_millis(4500);
const LINE_BYTES: usize = 1 << 20;

/// Unix time.
pub fn wall() -> Ns {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Ns)
}

pub struct Told {
    pub seq: u64,
    pub whole: bool,
    pub pods: Vec<Listed>,
}

/// Decodes one object of the list.
///
/// # Errors
/// The first field that is missing or wrong.
pub fn read(fields: &Fields, wall: Ns) -> Result<Told, String> {
    let hosts = fields.objects("hosts")?;
    if hosts.len() > MOST_PODS {
        return Err(fields.complain("hosts", "expected fewer pods"));
    }
    let pods = hosts.iter().map(|host| pod(host, wall)).collect::<Result<_, _>>()?;
    Ok(Told { seq: fields.whole("seq")?, whole: fields.flag("whole")?, pods })
}

fn pod(host: &Fields, wall: Ns) -> Result<Listed, String> {
    let state = match host.text("health")? {
        "active" => PodState::Running,
        "leaving" => PodState::Draining,
        "left" => PodState::Gone,
        _ => return Err(host.complain("health", "expected active, leaving or left")),
    };
    let born = host.whole_or("born_ms", 0)?;
    let age = match born {
        0 => 0,
        born => wall.saturating_sub(born.saturating_mul(1_000_000)).max(1),
    };
    let dial = host.text("dial")?.parse();
    Ok(Listed {
        name: host.text("host")?.to_string(),
        address: dial.map_err(|_| host.complain("dial", "expected an IP address with a port"))?,
        state,
        build: host.whole_or("revision_no", 0)?.min(u32::MAX as u64) as Build,
        life: born,
        age,
        zone: host.maybe_text("site")?.unwrap_or_default().to_string(),
        machine: host.maybe_text("class")?.unwrap_or_default().to_string(),
        cell: host.whole_or("block", 0)? as i64,
        size: host.number_or("share", 1.0)?,
    })
}

/// Follows the list from a version on; never ends by itself.
pub async fn follow(shell: Rc<Shell>, at: watch::Receiver<SocketAddr>, since: u64, seed: u64) {
    let since = Rc::new(Cell::new(since));
    let session = |address, up| watch_once(shell.clone(), address, since.clone(), up);
    steady::keep("node list", at, seed, Duration::ZERO, session).await;
}

async fn watch_once(shell: Rc<Shell>, address: SocketAddr, since: Rc<Cell<u64>>, up: Up) -> String {
    watched(&shell, address, &since, &up).await.err().unwrap_or_else(|| "closed by the service".to_string())
}

async fn watched(shell: &Rc<Shell>, address: SocketAddr, since: &Cell<u64>, up: &Up) -> Result<(), String> {
    let late = |what: &'static str| move |_| format!("{what}: no answer in time");
    let text = |error: hyper::Error| error.to_string();
    let stream = timeout(CONNECT, TcpStream::connect(address)).await.map_err(late("connect"))?;
    let stream = stream.map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) =
        http1::Builder::new().max_buf_size(64 << 10).handshake(TokioIo::new(stream)).await.map_err(text)?;
    let _connection = Task(spawn_local(connection));
    let request = Request::get(format!("/v1/servers?follow=1&since={}", since.get()))
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| error.to_string())?;
    let response = timeout(SILENCE, sender.send_request(request)).await.map_err(late("watch"))?;
    let response = response.map_err(text)?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}, expected 200", response.status()));
    }
    let mut body = response.into_body();
    let mut read = BytesMut::new();
    loop {
        let frame = timeout(SILENCE, body.frame()).await.map_err(late("next line"))?;
        let Some(frame) = frame else { return Ok(()) };
        let Ok(data) = frame.map_err(text)?.into_data() else { continue };
        read.extend_from_slice(&data);
        while let Some(end) = read.iter().position(|byte| *byte == b'\n') {
            let line = read.split_to(end);
            read.advance(1);
            hear(shell, &line, since)?;
            up.now();
        }
        if read.len() > LINE_BYTES {
            return Err(format!("a line of over {LINE_BYTES} bytes"));
        }
    }
}

fn hear(shell: &Rc<Shell>, line: &[u8], since: &Cell<u64>) -> Result<(), String> {
    if line.trim_ascii().is_empty() {
        return Ok(());
    }
    let told = read(&config::object("list", line)?.of(), wall())?;
    tracing::debug!(seq = told.seq, whole = told.whole, pods = told.pods.len(), "node list");
    since.set(told.seq);
    shell.call(|engine, now| engine.list(now, told.whole, told.pods));
    Ok(())
}
