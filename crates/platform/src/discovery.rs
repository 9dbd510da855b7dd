//! The node list: a watch that stays open, decoded into the engine's list calls.

use crate::config;
use crate::node::Shell;
use crate::objects::{Objects, Piece};
use crate::steady::Task;
use bytes::Bytes;
use havenplank::interface::{Build, Nanos, PodState};
use havenplank_adapter::line::Fields;
use havenplank_line_protocol::backoff::Backoff;
use havenplank_line_protocol::codec::MAX_ENDPOINTS;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// An empty line comes every 2 s, so one is late: a second watch is opened beside the first. What a silent watch
/// misses counts as told 6 s after it fell silent, maybe right after its last word.
const LATE: Duration = Duration::from_millis(2500);
/// Two are missing: the first watch is given up.
const SILENCE: Duration = Duration::from_millis(4500);
/// The agent is on this machine and answers immediately. A watch that has not spoken then, its connect and all, is
/// opened anew: three of them fit between [`LATE`] and the 6 s.
const ANSWER: Duration = Duration::from_millis(1000);
const FIRST_WAIT: Duration = Duration::from_millis(40);
const LONGEST_WAIT: Duration = Duration::from_millis(800);
const OBJECT_BYTES: usize = 1 << 20;
/// Words that wait to be taken; beyond them they wait in their socket.
const WORDS: usize = 16;

/// Unix time.
pub fn wall() -> Nanos {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_nanos() as Nanos)
}

pub struct Told {
    pub seq: u64,
    pub whole: bool,
    pub pods: Vec<ListedEndpoint>,
}

/// Decodes one object of the list.
///
/// # Errors
/// The first field that is missing or wrong.
pub fn read(fields: &Fields, wall: Nanos) -> Result<Told, String> {
    let hosts = fields.objects("hosts")?;
    if hosts.len() > MAX_ENDPOINTS {
        return Err(fields.complain("hosts", "expected fewer pods"));
    }
    let pods = hosts
        .iter()
        .map(|host| pod(host, wall))
        .collect::<Result<_, _>>()?;
    Ok(Told {
        seq: fields.whole("seq")?,
        whole: fields.flag("whole")?,
        pods,
    })
}

fn pod(host: &Fields, wall: Nanos) -> Result<ListedEndpoint, String> {
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
    Ok(ListedEndpoint {
        name: host.text("host")?.to_string(),
        address: dial.map_err(|_| host.complain("dial", "expected an IP address with a port"))?,
        state,
        build: host.whole_or("revision_no", 0)?.min(u32::MAX as u64) as Build,
        incarnation: born,
        age,
        zone: host.maybe_text("site")?.unwrap_or_default().to_string(),
        machine: host.maybe_text("class")?.unwrap_or_default().to_string(),
        cell: host.whole_or("block", 0)? as i64,
        size: host.number_or("share", 1.0)?,
    })
}

/// One watch, in a task of its own. It hands on what it hears and touches nothing else.
struct Watch {
    _task: Task<()>,
    words: mpsc::Receiver<Result<Word, String>>,
    address: SocketAddr,
    /// The version that it asked from.
    base: u64,
    opened: Instant,
}

enum Word {
    /// An empty line: nothing changed.
    Alive,
    Told(Told),
}

impl Watch {
    fn open(address: SocketAddr, base: u64) -> Watch {
        let (to, words) = mpsc::channel(WORDS);
        let task = spawn_local(async move {
            let ended = watched(address, base, &to).await;
            let why = ended
                .err()
                .unwrap_or_else(|| "closed by the service".to_string());
            // Where nobody listens any more nobody asks why.
            let _ = to.send(Err(why)).await;
        });
        Watch {
            _task: Task(task),
            words,
            address,
            base,
            opened: Instant::now(),
        }
    }

    async fn word(watch: &mut Option<Watch>) -> Result<Word, String> {
        match watch {
            Some(watch) => watch
                .words
                .recv()
                .await
                .unwrap_or_else(|| Err("its task ended".to_string())),
            None => std::future::pending().await,
        }
    }
}

/// The list's version and the watches on it: one in force, whose word is taken, and at most one that is to
/// follow it. The old one stays in force until the new one speaks, so that a move or a doubt leaves no gap.
struct Watches {
    shell: Rc<Shell>,
    /// Where the service is to be had now.
    address: SocketAddr,
    version: u64,
    force: Option<Watch>,
    next: Option<Watch>,
    /// The last whole word of the one in force. Half a word is none.
    heard: Instant,
    /// Not before then is a new one opened in place of one that ended.
    retry: Instant,
    waits: Backoff,
}

/// Follows the list from a version on; never ends by itself.
pub async fn follow(shell: Rc<Shell>, mut at: watch::Receiver<SocketAddr>, since: u64, seed: u64) {
    let waits = Backoff::new(seed, FIRST_WAIT, LONGEST_WAIT);
    let now = Instant::now();
    let address = *at.borrow_and_update();
    let mut watches = Watches {
        shell,
        address,
        version: since,
        force: None,
        next: None,
        heard: now,
        retry: now,
        waits,
    };
    loop {
        let due = watches.due();
        tokio::select! {
            changed = at.changed() => {
                if changed.is_err() {
                    return;
                }
                watches.address = *at.borrow_and_update();
                tracing::info!(to = %watches.address, "node list: address changed");
                watches.open();
            }
            word = Watch::word(&mut watches.force) => watches.of_force(word),
            word = Watch::word(&mut watches.next) => watches.of_next(word),
            () = sleep_until(due.into()) => watches.wake(),
        }
    }
}

impl Watches {
    /// When to look again if nothing is heard.
    fn due(&self) -> Instant {
        let lost = self.force.as_ref().map(|_| self.heard + SILENCE);
        let opens = match (&self.next, &self.force) {
            (Some(next), _) => next.opened + ANSWER,
            (None, Some(force)) if force.address == self.address => {
                self.retry.max(self.heard + LATE)
            }
            (None, _) => self.retry,
        };
        lost.map_or(opens, |lost| lost.min(opens))
    }

    fn wake(&mut self) {
        let now = Instant::now();
        if self.force.is_some() && now >= self.heard + SILENCE {
            self.ended(&"no line in time");
            self.force = None;
        }
        if now >= self.due() {
            self.open();
        }
    }

    /// In place of the one that is to follow, if there is one.
    fn open(&mut self) {
        self.next = Some(Watch::open(self.address, self.version));
    }

    fn ended(&self, why: &dyn std::fmt::Display) {
        tracing::warn!(what = "node list", %why, version = self.version, "connection ended");
    }

    fn of_force(&mut self, word: Result<Word, String>) {
        match word {
            Ok(word) => self.take(word),
            Err(why) => {
                self.ended(&why);
                self.force = None;
                self.retry = Instant::now() + self.waits.next_delay();
            }
        }
    }

    fn of_next(&mut self, word: Result<Word, String>) {
        let Some(next) = self.next.take() else { return };
        match word {
            // A whole list may go back, but not by a word that was on its way when a later one was heard.
            Ok(Word::Told(told))
                if told.whole && told.seq < self.version && next.base != self.version =>
            {
                self.open();
            }
            Ok(word) => {
                self.force = Some(next);
                self.waits.reset();
                self.take(word);
            }
            Err(why) => {
                self.ended(&why);
                self.retry = Instant::now() + self.waits.next_delay();
            }
        }
    }

    fn take(&mut self, word: Word) {
        self.heard = Instant::now();
        let Word::Told(told) = word else { return };
        tracing::debug!(
            seq = told.seq,
            whole = told.whole,
            pods = told.pods.len(),
            "node list"
        );
        // Changes up to a version that is known already: they would set back what was told since.
        if !told.whole && told.seq < self.version {
            return;
        }
        self.version = told.seq;
        self.shell
            .call(|engine, now| engine.list(now, told.whole, told.pods));
    }
}

async fn watched(
    address: SocketAddr,
    since: u64,
    to: &mpsc::Sender<Result<Word, String>>,
) -> Result<(), String> {
    let text = |error: hyper::Error| error.to_string();
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(64 << 10)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(text)?;
    let _connection = Task(spawn_local(connection));
    let request = Request::get(format!("/v1/servers?follow=1&since={since}"))
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await.map_err(text)?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}, expected 200", response.status()));
    }
    let (mut body, mut objects) = (response.into_body(), Objects::new(OBJECT_BYTES));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(text)?.into_data() else {
            continue;
        };
        objects.feed(&data);
        while let Some(piece) = objects.cut().map_err(|error| error.to_string())? {
            let word = match piece {
                Piece::Line => Word::Alive,
                Piece::Object(object) => {
                    Word::Told(read(&config::object("list", &object)?.of(), wall())?)
                }
            };
            if to.send(Ok(word)).await.is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}
