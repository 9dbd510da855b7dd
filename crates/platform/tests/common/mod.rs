//! A sidecar between scripted peers on loopback, for the tests of this folder.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use havenplank_emulator::scripted::{configuration, entry, Connection, ScriptedServer};
use havenplank_platform::{serve, Command, Config};
use havenplank_sidecar::heap_room::AllocatedBytes;
use serde_json::Value;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::sleep;

pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
pub const OK_CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
pub const HEALTH: &str = "GET /healthz HTTP/1.1\r\n\r\n";
pub const UNPROCESSED: &str = "HTTP/1.1 503 Full\r\nx-unprocessed: 1\r\ncontent-length: 0\r\n\r\n";

/// A sidecar connected to peers whose messages the test scripts.
pub struct Rig {
    pub address: SocketAddr,
    pub discovery: ScriptedServer,
    pub control_plane: ScriptedServer,
    pub pod: ScriptedServer,
    pub commands: mpsc::Sender<Command>,
    pub ended: oneshot::Receiver<()>,
    _sidecar: Sidecar,
}

/// The task of a sidecar, aborted with its rig. Otherwise it would go on connecting to the ports of its peers, which
/// may belong to other tests by then.
struct Sidecar(JoinHandle<()>);

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.0.abort();
    }
}

pub fn parse_config(config: &Value) -> Config {
    Config::parse(config.to_string().as_bytes()).expect("a configuration")
}

impl Rig {
    /// Starts a sidecar with one pod, `p`, of build 7; `change` adapts the configuration first.
    pub async fn new(change: impl FnOnce(&mut Value)) -> Rig {
        Rig::with_allocated(|| 0, change).await
    }

    /// The same with a process that has allocated this many bytes.
    pub async fn with_allocated(
        allocated_bytes: AllocatedBytes,
        change: impl FnOnce(&mut Value),
    ) -> Rig {
        let [discovery, control_plane, pod] = [
            ScriptedServer::new().await,
            ScriptedServer::new().await,
            ScriptedServer::new().await,
        ]
        .map(Result::unwrap);
        let hosts = [entry("p", pod.address().unwrap(), 7, "active")];
        let mut config = configuration(
            discovery.address().unwrap(),
            control_plane.address().unwrap(),
            &hosts,
        );
        change(&mut config);
        let (commands, received) = mpsc::channel(4);
        let ((ready, address), (end, ended)) = (oneshot::channel(), oneshot::channel());
        let sidecar = Sidecar(spawn_local(async move {
            let ready = |address| ready.send(address).expect("the test waits");
            serve(parse_config(&config), allocated_bytes, received, ready)
                .await
                .expect("a sidecar that starts");
            let _ = end.send(());
        }));
        Rig {
            address: address.await.expect("a sidecar"),
            discovery,
            control_plane,
            pod,
            commands,
            ended,
            _sidecar: sidecar,
        }
    }

    pub async fn client(&self) -> Connection {
        Connection::connect(self.address).await.expect("a sidecar")
    }

    /// Sends a request; returns the client connection, and the pod connection from which the attempt was read.
    pub async fn request(&self, bytes: &str) -> (Connection, Connection) {
        let mut client = self.client().await;
        client.send(bytes).await.unwrap();
        let mut pod = self.pod.accept().await.unwrap();
        pod.message().await.unwrap();
        (client, pod)
    }
}

pub fn request(line: &str, id: &str, extra_headers: &str, body: &str) -> String {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("content-length: {}\r\n", body.len())
    };
    format!("{line} HTTP/1.1\r\nhost: h\r\nx-correlation-id: {id}\r\nx-time-left-ms: 800\r\n{length}{extra_headers}\r\n{body}")
}

pub fn get(id: &str) -> String {
    request("GET /read/a?b=1", id, "", "")
}

pub fn run_test(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(work));
}

const FOLLOW_REPLY: &str = r#"{"jsonrpc":"2.0","id":0,"result":true}"#;

pub async fn accept_follow(control_plane: &ScriptedServer) -> Connection {
    let mut session = control_plane.accept().await.unwrap();
    assert!(session
        .line()
        .await
        .unwrap()
        .contains(r#""method":"follow""#));
    session.send(format!("{FOLLOW_REPLY}\n")).await.unwrap();
    session
}

/// Waits until a connection to a pod may be reused, 25 ms after its last response.
pub async fn wait_until_reusable() {
    sleep(Duration::from_millis(35)).await;
}

/// Lets the sidecar's single thread poll its sockets several times: what they held before has then been processed.
pub async fn let_sidecar_run(rig: &Rig) {
    let mut client = rig.client().await;
    for _ in 0..5 {
        client.send(HEALTH).await.unwrap();
        client.answer().await.unwrap();
    }
}
