//! A sidecar on loopback sockets with scripted services, and pods whose sockets the test reads and writes directly.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use havenplank::interface::PodState;
use havenplank_line_protocol::codec::greeting;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_line_protocol::{control_plane, endpoint_list};
use havenplank_settings::{load, Given, Site};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, oneshot};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout};

const SETTINGS: &str = r#"
sidecar(name = "s-1", instances = 1, zones = ["z"], zone = "z", listen = "127.0.0.1:0", admin = "127.0.0.1:0")
def group(name, kind, **more):
    path_group(name = name, paths = ["/" + name], kind = kind, target_latency = "400ms", client_timeout = "900ms", **more)
group("read", "repeatable")
group("mark", "tagged", repeat_window = "5s")
group("write", "mutating")
limits(body_bytes = "1KiB", body_time = "200ms", head_time = "300ms", answer_margin = "20ms", answer_bytes = "4KiB")
pods(drain_grace = "500ms", cold_share = 0.3, warm_up = "4s", fall_multiple = 3, fall_window = "2s",
     connections = int(given("connections", "8")), connect_time = "800ms")
exposure(window = "6s", free = 3, caps = [0.5, 1])
votes(control = "any", life = "6s")
nodes(address = given("nodes", ""))
desk(address = given("desk", ""))
"#;

/// How long a test waits for an expected event before it fails.
pub const MAX_WAIT: Duration = Duration::from_secs(5);

pub const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
pub const NEVER_RAN: &[u8] = b"HTTP/1.1 503 No\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n";

/// A service of a line protocol. Greets each client, sends it `on_connect`, then sends every text that is pushed.
#[derive(Clone)]
pub struct ScriptedService {
    address: SocketAddr,
    pub on_connect: Rc<RefCell<String>>,
    pub pushed: broadcast::Sender<String>,
}

impl ScriptedService {
    async fn start(protocol: &'static str) -> ScriptedService {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (pushed, _) = broadcast::channel(64);
        let service = ScriptedService {
            address: listener.local_addr().expect("an address"),
            on_connect: Rc::default(),
            pushed,
        };
        let own = service.clone();
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (mut pushed, first) = (own.pushed.subscribe(), own.on_connect.borrow().clone());
                spawn_local(async move {
                    let _ = stream
                        .write_all((greeting(protocol, None) + &first).as_bytes())
                        .await;
                    while let Ok(text) = pushed.recv().await {
                        let _ = stream.write_all(text.as_bytes()).await;
                    }
                });
            }
        });
        service
    }

    /// Sends a text to all connected clients.
    pub fn push(&self, text: String) {
        let _ = self.pushed.send(text);
    }
}

/// Builds the entry of a pod in the endpoint list.
pub fn listed_endpoint(
    name: &str,
    address: SocketAddr,
    state: PodState,
    build: u32,
) -> ListedEndpoint {
    ListedEndpoint {
        name: name.to_string(),
        address,
        state,
        build,
        incarnation: address.port() as u64,
        age: 0,
        zone: "z".to_string(),
        machine: "m".to_string(),
        cell: 0,
        size: 3.0,
    }
}

/// Builds a notification with a complete endpoint list.
pub fn complete_list(number: u64, pods: &[ListedEndpoint]) -> String {
    let mut text = String::new();
    endpoint_list::write_list(&mut text, number, true, pods);
    text
}

/// A pod whose connections the test accepts, reads and writes directly.
pub struct ScriptedPod(TcpListener);

impl ScriptedPod {
    pub async fn start() -> ScriptedPod {
        ScriptedPod(TcpListener::bind("127.0.0.1:0").await.expect("a port"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    /// Accepts a connection, and fails the test if none is made in time.
    pub async fn accept(&self) -> TcpStream {
        let accepted = timeout(MAX_WAIT, self.0.accept()).await;
        accepted.expect("a connection in time").expect("accepted").0
    }

    /// Accepts a connection if one is made within this time.
    pub async fn accept_within(&self, time: Duration) -> Option<TcpStream> {
        let accepted = timeout(time, self.0.accept()).await.ok()?;
        Some(accepted.ok()?.0)
    }

    /// Returns whether no connection is made within 150 ms, which is long compared to an attempt on loopback.
    pub async fn gets_no_connection(&self) -> bool {
        timeout(Duration::from_millis(150), self.0.accept())
            .await
            .is_err()
    }
}

/// Reads one HTTP message, its head and a body of the stated content-length, and returns it in lower case. Returns
/// `None` if the connection ends first.
pub async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let read = String::from_utf8_lossy(&text).to_lowercase();
        if let Some((head, body)) = read.split_once("\r\n\r\n") {
            let content_length = head
                .split("content-length: ")
                .nth(1)
                .and_then(|rest| rest.lines().next()?.parse().ok());
            if body.len() >= content_length.unwrap_or(0) {
                return Some(read);
            }
        }
        let mut byte = [0];
        match timeout(MAX_WAIT, stream.read(&mut byte))
            .await
            .expect("a byte in time")
        {
            Ok(1) => text.push(byte[0]),
            _ => return None,
        }
    }
}

/// Reads a response and returns its status and its text; the status is 0 if the connection ends first.
pub async fn read_response(stream: &mut TcpStream) -> (u16, String) {
    let text = read_message(stream).await.unwrap_or_default();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    (status, text)
}

pub fn get(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n{headers}\r\n").into_bytes()
}

/// A running sidecar with its scripted services.
pub struct TestSidecar {
    pub address: SocketAddr,
    pub admin: SocketAddr,
    pub discovery: ScriptedService,
    pub control_plane: ScriptedService,
    stop: RefCell<Option<oneshot::Sender<()>>>,
    ended: RefCell<Option<oneshot::Receiver<()>>>,
}

impl TestSidecar {
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("a sidecar")
    }

    /// Sends bytes on a new connection and returns the status and text of the first response.
    pub async fn request(&self, bytes: &[u8]) -> (u16, String) {
        let mut stream = self.connect().await;
        stream.write_all(bytes).await.expect("written");
        read_response(&mut stream).await
    }

    /// Does the same as [`TestSidecar::request`] in a new task.
    pub fn spawn_request(self: &Rc<Self>, bytes: Vec<u8>) -> JoinHandle<(u16, String)> {
        let sidecar = self.clone();
        spawn_local(async move { sidecar.request(&bytes).await })
    }

    async fn state(&self) -> String {
        let mut stream = TcpStream::connect(self.admin)
            .await
            .expect("an admin listener");
        stream
            .write_all(b"GET /state HTTP/1.1\r\nhost: h\r\n\r\n")
            .await
            .expect("written");
        read_message(&mut stream).await.expect("a state")
    }

    /// Waits until the sidecar's `GET /state` response contains this text.
    pub async fn wait_for_state(&self, text: &str) {
        let seen = async {
            while !self.state().await.contains(text) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(MAX_WAIT, seen)
            .await
            .unwrap_or_else(|_| panic!("never saw {text}"));
    }

    /// Sends a complete endpoint list and waits until the sidecar has applied it.
    pub async fn set_endpoints(&self, number: u64, pods: &[ListedEndpoint]) {
        *self.discovery.on_connect.borrow_mut() = complete_list(1, pods);
        self.discovery.push(complete_list(number, pods));
        let running = pods
            .iter()
            .filter(|pod| pod.state == PodState::Running)
            .count();
        self.wait_for_state(&format!("\"pods_running\":{running},"))
            .await;
    }

    /// Starts one pod and waits until the sidecar has it listed as running.
    pub async fn start_pod(&self) -> ScriptedPod {
        let pod = ScriptedPod::start().await;
        self.wait_for_state("\"pods_running\":0").await;
        let list = complete_list(
            1,
            &[listed_endpoint("p", pod.address(), PodState::Running, 1)],
        );
        // Clients that are connected get the list now, later clients get it when they connect.
        *self.discovery.on_connect.borrow_mut() = list.clone();
        self.discovery.push(list);
        self.wait_for_state("\"pods_running\":1").await;
        pod
    }

    /// Signals the sidecar to stop.
    pub fn stop(&self) {
        let stop = self.stop.borrow_mut().take().expect("stop is called once");
        stop.send(()).expect("the sidecar runs");
    }

    /// Waits until the sidecar has stopped.
    pub async fn wait_for_end(&self) {
        let ended = self
            .ended
            .borrow_mut()
            .take()
            .expect("the end is awaited once");
        timeout(MAX_WAIT, ended)
            .await
            .expect("the sidecar stops in time")
            .expect("the sidecar stops without a panic");
    }
}

fn site(given: &[(&str, String)]) -> Site {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("site.star");
    std::fs::write(&file, SETTINGS).expect("a script");
    let given: Given = given
        .iter()
        .map(|(name, value)| (name.to_string(), value.clone()))
        .collect();
    load(&file, &given).unwrap_or_else(|problems| panic!("{problems}"))
}

/// Runs a test against a sidecar that opens at most this many connections to each pod.
pub fn with_sidecar<F: Future<Output = ()>>(
    connections: usize,
    test: impl FnOnce(Rc<TestSidecar>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        test(start_sidecar(connections).await).await;
    }));
}

async fn start_sidecar(connections: usize) -> Rc<TestSidecar> {
    let discovery = ScriptedService::start(endpoint_list::PROTOCOL).await;
    let control_plane = ScriptedService::start(control_plane::PROTOCOL).await;
    let site = site(&[
        ("nodes", discovery.address.to_string()),
        ("desk", control_plane.address.to_string()),
        ("connections", connections.to_string()),
    ]);
    let (ready, listens) = oneshot::channel();
    let (stop, stopped) = oneshot::channel();
    let (end, ended) = oneshot::channel();
    spawn_local(async move {
        let stopped = async { stopped.await.unwrap_or(()) };
        let ready = |addresses| ready.send(addresses).unwrap_or(());
        havenplank_sidecar::serve(site, 7, None, ready, stopped)
            .await
            .expect("the sidecar starts and stops without an error");
        let _ = end.send(());
    });
    let addresses = listens.await.expect("the sidecar listens");
    Rc::new(TestSidecar {
        address: addresses.listen,
        admin: addresses.admin,
        discovery,
        control_plane,
        stop: RefCell::new(Some(stop)),
        ended: RefCell::new(Some(ended)),
    })
}
