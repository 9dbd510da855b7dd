//! A sidecar between scripted peers on loopback, for the tests of this folder.
#![allow(dead_code, reason = "each test file uses its part of it")]

use havenplank_emulator::scripted::{configuration, entry, Peer, Talk};
use havenplank_platform::{serve, Command, Config};
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
pub const NEVER: &str = "HTTP/1.1 503 Full\r\nx-unprocessed: 1\r\ncontent-length: 0\r\n\r\n";

/// A sidecar between peers that say what the test says.
pub struct Rig {
    pub at: SocketAddr,
    pub discovery: Peer,
    pub control_plane: Peer,
    pub pod: Peer,
    pub commands: mpsc::Sender<Command>,
    pub ended: oneshot::Receiver<()>,
    _sidecar: Sidecar,
}

/// Ends with its rig: it would go on asking its peers' ports, given to other tests by then.
struct Sidecar(JoinHandle<()>);

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.0.abort();
    }
}

pub fn config(whole: &Value) -> Config {
    Config::parse(whole.to_string().as_bytes()).expect("a configuration")
}

impl Rig {
    /// One pod, `p`, of build 7; `change` has the last word on the configuration.
    pub async fn new(change: impl FnOnce(&mut Value)) -> Rig {
        let [discovery, control_plane, pod] =
            [Peer::new().await, Peer::new().await, Peer::new().await].map(Result::unwrap);
        let hosts = [entry("p", pod.at().unwrap(), 7, "active")];
        let mut whole = configuration(discovery.at().unwrap(), control_plane.at().unwrap(), &hosts);
        change(&mut whole);
        let (commands, received) = mpsc::channel(4);
        let ((ready, at), (end, ended)) = (oneshot::channel(), oneshot::channel());
        let sidecar = Sidecar(spawn_local(async move {
            let ready = |at| ready.send(at).expect("the test waits");
            serve(config(&whole), received, ready)
                .await
                .expect("a sidecar that starts");
            let _ = end.send(());
        }));
        Rig {
            at: at.await.expect("a sidecar"),
            discovery,
            control_plane,
            pod,
            commands,
            ended,
            _sidecar: sidecar,
        }
    }

    pub async fn client(&self) -> Talk {
        Talk::to(self.at).await.expect("a sidecar")
    }

    /// A client's connection with a request on it, and the pod's with the attempt read from it.
    pub async fn request(&self, bytes: &str) -> (Talk, Talk) {
        let mut client = self.client().await;
        client.say(bytes).await.unwrap();
        let mut pod = self.pod.accept().await.unwrap();
        pod.message().await.unwrap();
        (client, pod)
    }
}

pub fn request(line: &str, id: &str, more: &str, body: &str) -> String {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("content-length: {}\r\n", body.len())
    };
    format!("{line} HTTP/1.1\r\nhost: h\r\nx-correlation-id: {id}\r\nx-time-left-ms: 800\r\n{length}{more}\r\n{body}")
}

pub fn get(id: &str) -> String {
    request("GET /read/a?b=1", id, "", "")
}

pub fn test(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(work));
}

const FOLLOWED: &str = r#"{"jsonrpc":"2.0","id":0,"result":true}"#;

pub async fn followed(control_plane: &Peer) -> Talk {
    let mut talk = control_plane.accept().await.unwrap();
    assert!(talk.line().await.unwrap().contains(r#""method":"follow""#));
    talk.say(format!("{FOLLOWED}\n")).await.unwrap();
    talk
}

/// Until a connection to a pod may carry its next request: longer than a second answer to the last one takes.
pub async fn rested() {
    sleep(Duration::from_millis(35)).await;
}

/// Some turns of the sidecar's one thread: what lay in its sockets before has been read and acted on.
pub async fn turns(rig: &Rig) {
    let mut client = rig.client().await;
    for _ in 0..5 {
        client.say(HEALTH).await.unwrap();
        client.answer().await.unwrap();
    }
}
