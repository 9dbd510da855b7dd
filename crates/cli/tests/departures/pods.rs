//! Pods on a thread of the test that record every attempt that they have received whole.

use super::MS;
use havenplank_emulator::scripted::header;
use std::net::{SocketAddr, TcpListener as StdTcpListener, TcpStream as StdTcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

const PODS: usize = 6;
/// The response header of both programs' protocols that says that the request never ran.
const TURNED_AWAY: &str =
    "HTTP/1.1 503 Full\r\nx-unprocessed: 1\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n";

/// What a pod does with an attempt once it has held it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reaction {
    /// Says that it never ran.
    TurnAway,
    /// Says that it failed; it may have run.
    Fail,
    /// Closes the connection.
    Close,
    /// Serves it: the response's body is the id of the request.
    Serve,
}

/// How pods treat an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Treatment {
    pub hold: Duration,
    pub reaction: Reaction,
}

/// An attempt that a pod has received whole.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The correlation id of its request.
    pub id: String,
    pub began: Instant,
    pub reaction: Reaction,
}

impl Attempt {
    /// Returns whether the pod ran it, as far as the sidecar can know.
    pub fn may_have_run(&self) -> bool {
        self.reaction != Reaction::TurnAway
    }
}

/// Chooses the treatment of an attempt by the id of its request and the number of earlier attempts of it.
pub type Treat = fn(&str, usize) -> Treatment;

/// Pods that run as long as the test process.
pub struct Pods {
    pub addresses: Vec<SocketAddr>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Pods {
    /// Starts pods on a thread of their own.
    pub fn start(treat: Treat) -> Pods {
        let bind = |_| StdTcpListener::bind("127.0.0.1:0").expect("a port");
        Pods::serve((0..PODS).map(bind).collect(), treat)
    }

    fn serve(listeners: Vec<StdTcpListener>, treat: Treat) -> Pods {
        let address = |listener: &StdTcpListener| listener.local_addr().expect("an address");
        let addresses = listeners.iter().map(address).collect();
        let attempts = Arc::<Mutex<Vec<Attempt>>>::default();
        let recorded = attempts.clone();
        thread::spawn(move || run_pods(listeners, recorded, treat));
        Pods {
            addresses,
            attempts,
        }
    }

    /// Returns all attempts so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().expect("no panic").clone()
    }
}

/// Pods whose accept queues are full: connecting to them takes until the queues are drained.
pub struct UnreachablePods {
    listeners: Vec<StdTcpListener>,
    queued: Vec<Vec<StdTcpStream>>,
}

impl UnreachablePods {
    pub fn new() -> UnreachablePods {
        use socket2::{Domain, Socket, Type};
        let (mut listeners, mut queued) = (Vec::new(), Vec::new());
        for _ in 0..PODS {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            socket.bind(&any.into()).expect("a port");
            socket.listen(0).expect("a listener");
            let listener = StdTcpListener::from(socket);
            let address = listener.local_addr().expect("an address");
            let connect = || StdTcpStream::connect_timeout(&address, 50 * MS).ok();
            queued.push(std::iter::from_fn(connect).collect());
            listeners.push(listener);
        }
        UnreachablePods { listeners, queued }
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        let address = |listener: &StdTcpListener| listener.local_addr().expect("an address");
        self.listeners.iter().map(address).collect()
    }

    /// Drains the queues and serves whoever connects from then on.
    pub fn come_up(self, treat: Treat) -> Pods {
        for (listener, queued) in self.listeners.iter().zip(&self.queued) {
            for _ in queued {
                listener.accept().expect("a queued connection");
            }
        }
        Pods::serve(self.listeners, treat)
    }
}

fn run_pods(listeners: Vec<StdTcpListener>, attempts: Arc<Mutex<Vec<Attempt>>>, treat: Treat) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async move {
        for listener in listeners {
            listener.set_nonblocking(true).expect("a mode");
            let listener = TcpListener::from_std(listener).expect("a listener");
            spawn_local(accept(listener, attempts.clone(), treat));
        }
        std::future::pending::<()>().await;
    }));
}

async fn accept(listener: TcpListener, attempts: Arc<Mutex<Vec<Attempt>>>, treat: Treat) {
    while let Ok((stream, _)) = listener.accept().await {
        let attempts = attempts.clone();
        spawn_local(async move {
            // The sidecar may close the connection at any time.
            let _ = serve_connection(stream, &attempts, treat).await;
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    attempts: &Mutex<Vec<Attempt>>,
    treat: Treat,
) -> std::io::Result<()> {
    let mut stream = BufStream::new(stream);
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let head = head.replace("\r\n", "\n");
        let length = header(&head, "content-length").map(str::parse);
        let mut body = vec![0; length.and_then(Result::ok).unwrap_or(0)];
        stream.read_exact(&mut body).await?;
        let id = header(&head, "x-correlation-id").unwrap_or("");
        let Treatment { hold, reaction } = record_attempt(id, attempts, treat);
        sleep(hold).await;
        let response = match reaction {
            Reaction::TurnAway => TURNED_AWAY.to_string(),
            Reaction::Fail => FAILED.to_string(),
            Reaction::Close => return Ok(()),
            Reaction::Serve => {
                let length = id.len();
                format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{id}")
            }
        };
        stream.write_all(response.as_bytes()).await?;
        stream.flush().await?;
    }
}

fn record_attempt(id: &str, attempts: &Mutex<Vec<Attempt>>, treat: Treat) -> Treatment {
    let mut attempts = attempts.lock().expect("no panic");
    let earlier = attempts.iter().filter(|attempt| attempt.id == id).count();
    let treatment = treat(id, earlier);
    attempts.push(Attempt {
        id: id.to_string(),
        began: Instant::now(),
        reaction: treatment.reaction,
    });
    treatment
}
