//! What all cases share: the clock and the record of a run, the stand-ins for pods, discovery, the platform's control
//! service and clients, and the sidecar as a process started with the `run` line of the deploy file.
//!
//! Standard library only. Every address is on 127.0.0.1, every port is one that the system chose.

use std::collections::HashMap;
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("a clock after 1970").as_millis() as u64
}

/// The clock and the record of one run.
pub struct World {
    began: Instant,
    lines: Mutex<Vec<String>>,
    pub ended: AtomicBool,
}

impl World {
    pub fn new() -> Arc<World> {
        Arc::new(World {
            began: Instant::now(),
            lines: Mutex::default(),
            ended: AtomicBool::new(false),
        })
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.4} {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Also shows the line to whoever runs the script.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.now(), text.as_ref());
        self.note(text);
    }

    pub fn is_over(&self) -> bool {
        self.ended.load(SeqCst)
    }

    pub fn write_record(&self, folder: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        fs::write(folder.join("record.txt"), text).expect("record.txt can be written");
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A port that was free a moment ago, for a process that has to be told its address.
pub fn free_address() -> SocketAddr {
    listen().1
}

/// One HTTP message: its first line, its headers in lower case, its body.
pub struct Message {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a message whose body has a stated length; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|text: &String| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(Message {
        line: line.trim_end().to_string(),
        headers,
        body,
    }))
}

/// A request as a pod received it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub pod: String,
    pub build: u32,
    pub id: String,
    pub class: String,
}

/// What a pod does with requests from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Serves,
    /// Completes what it has and turns away what comes.
    Drains,
}

/// A sound pod: serves a request after its work, and tells health checks that it is well.
pub struct Pod {
    pub name: String,
    pub build: u32,
    pub address: SocketAddr,
    pub born_ms: u64,
    pub mood: Mutex<Mood>,
}

pub struct PodSettings {
    pub name: String,
    pub build: u32,
    /// 0 for long ago.
    pub born_ms: u64,
    pub work: Duration,
    /// The length of an answer's body, at least that of the text in it.
    pub answer_bytes: usize,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

impl Pod {
    pub fn start(world: &Arc<World>, arrivals: &Arrivals, settings: PodSettings) -> Arc<Pod> {
        let (listener, address) = listen();
        let pod = Arc::new(Pod {
            name: settings.name,
            build: settings.build,
            address,
            born_ms: settings.born_ms,
            mood: Mutex::new(Mood::Serves),
        });
        let (world, arrivals, serving) = (world.clone(), arrivals.clone(), pod.clone());
        let (work, answer_bytes) = (settings.work, settings.answer_bytes);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, arrivals, pod) = (world.clone(), arrivals.clone(), serving.clone());
                thread::spawn(move || pod.serve(&world, &arrivals, stream, work, answer_bytes));
            }
        });
        pod
    }

    fn serve(
        &self,
        world: &World,
        arrivals: &Arrivals,
        stream: TcpStream,
        work: Duration,
        answer_bytes: usize,
    ) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let path = request.line.split(' ').nth(1).unwrap_or("").to_string();
            if path == "/healthz" {
                if writer
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let ran = *self.mood.lock().unwrap() == Mood::Serves;
            let arrival = Arrival {
                at: world.now(),
                pod: self.name.clone(),
                build: self.build,
                id: request.header("x-correlation-id").to_string(),
                class: path.split('/').nth(1).unwrap_or("").to_string(),
            };
            world.note(format!(
                "pod {} build {} got {} {} {}",
                arrival.pod,
                arrival.build,
                arrival.id,
                arrival.class,
                if ran {
                    "and runs it"
                } else {
                    "and turns it away"
                }
            ));
            let id = arrival.id.clone();
            arrivals.lock().unwrap().push(arrival);
            let answer = if ran {
                thread::sleep(work);
                let text = format!("done {id} ");
                let body = text.clone() + &".".repeat(answer_bytes.saturating_sub(text.len()));
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            } else {
                "HTTP/1.1 503 Draining\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_string()
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The pod's entry in discovery's list.
    pub fn entry(&self, health: &str) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"krakow-1","class":"three-core","block":0,"health":"{health}","share":1.0,"born_ms":{},"revision_no":{}}}"#,
            self.name, self.address, self.born_ms, self.build
        )
    }
}

/// The list of pods as discovery's agent holds it: every change by its version.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<Vec<(u64, String)>>,
    changed: Condvar,
    /// How long the agent takes to answer a call.
    pub answer_after_ms: AtomicU64,
    pub calls: AtomicUsize,
}

impl Discovery {
    /// Starts at version `seq`, with nothing changed after it.
    pub fn start(world: &Arc<World>) -> Arc<Discovery> {
        let (listener, address) = listen();
        let discovery = Arc::new(Discovery {
            address,
            state: Mutex::default(),
            changed: Condvar::new(),
            answer_after_ms: AtomicU64::new(0),
            calls: AtomicUsize::new(0),
        });
        let (world, serving) = (world.clone(), discovery.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, discovery) = (world.clone(), serving.clone());
                thread::spawn(move || {
                    let _ = discovery.serve(&world, stream);
                });
            }
        });
        discovery
    }

    /// Tells a change of these entries, as version `seq`.
    pub fn change(&self, seq: u64, entries: &[String]) {
        let mut state = self.state.lock().unwrap();
        state.push((seq, entries.join(",")));
        self.changed.notify_all();
    }

    fn serve(&self, world: &World, stream: TcpStream) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let Some(request) = read_message(&mut reader)? else {
            return Ok(());
        };
        let call = self.calls.fetch_add(1, SeqCst) + 1;
        world.note(format!("discovery: call {call}: {}", request.line));
        let since = request.line.split("since=").nth(1).unwrap_or("0");
        let since: String = since.chars().take_while(char::is_ascii_digit).collect();
        let mut told: u64 = since.parse().unwrap_or(0);
        thread::sleep(ms(self.answer_after_ms.load(SeqCst)));
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut first = true;
        loop {
            let state = self.state.lock().unwrap();
            let news = |state: &Vec<(u64, String)>| state.iter().any(|(seq, _)| *seq > told);
            let wait = if first { ms(0) } else { ms(2000) };
            let (state, _) = self
                .changed
                .wait_timeout_while(state, wait, |state| !news(state))
                .unwrap();
            let changes: Vec<(u64, String)> = state
                .iter()
                .filter(|(seq, _)| *seq > told)
                .cloned()
                .collect();
            drop(state);
            if changes.is_empty() && !first {
                writer.write_all(b"1\r\n\n\r\n")?;
                continue;
            }
            // The first object carries what changed after the version asked for, also if that is nothing.
            let seq = changes.last().map_or(told, |(seq, _)| *seq);
            let entries: Vec<String> = changes.into_iter().map(|(_, text)| text).collect();
            let line = format!(
                "{{\"seq\":{seq},\"whole\":false,\"hosts\":[{}]}}\n",
                entries.join(",")
            );
            writer.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
            world.note(format!("discovery: call {call}: told version {seq}"));
            (told, first) = (seq, false);
        }
    }
}

/// The platform's control service: tells the stage of the newest build and counts votes without acting on them.
pub struct Platform {
    pub address: SocketAddr,
    news: Mutex<(u64, String, Instant)>,
    changed: Condvar,
}

impl Platform {
    /// `state` holds the fields of the news without `lag_ms`.
    pub fn start(world: &Arc<World>, state: &str) -> Arc<Platform> {
        let (listener, address) = listen();
        let long_ago = Instant::now().checked_sub(Duration::from_secs(60));
        let platform = Arc::new(Platform {
            address,
            news: Mutex::new((0, state.to_string(), long_ago.unwrap_or_else(Instant::now))),
            changed: Condvar::new(),
        });
        let (world, serving) = (world.clone(), platform.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, platform) = (world.clone(), serving.clone());
                thread::spawn(move || {
                    let _ = platform.serve(&world, stream);
                });
            }
        });
        platform
    }

    pub fn change(&self, state: &str) {
        let mut news = self.news.lock().unwrap();
        *news = (news.0 + 1, state.to_string(), Instant::now());
        self.changed.notify_all();
    }

    /// The news as a JSON object.
    pub fn state(&self) -> String {
        let news = self.news.lock().unwrap();
        format!("{{{},\"lag_ms\":{}}}", news.1, news.2.elapsed().as_millis())
    }

    fn serve(self: &Arc<Platform>, world: &Arc<World>, stream: TcpStream) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let id = line.split("\"id\":").nth(1).unwrap_or("0");
            let id: String = id.chars().take_while(char::is_ascii_digit).collect();
            if line.contains("\"follow\"") {
                let answer = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}\n");
                writer.lock().unwrap().write_all(answer.as_bytes())?;
                let (platform, world, writer) = (self.clone(), world.clone(), writer.clone());
                thread::spawn(move || {
                    let _ = platform.notify(&world, &writer);
                });
            } else {
                world.note(format!("control service: {}", line.trim_end()));
                let answer = format!(
                    "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{}}}\n",
                    self.state()
                );
                writer.lock().unwrap().write_all(answer.as_bytes())?;
            }
        }
    }

    fn notify(&self, world: &World, writer: &Mutex<TcpStream>) -> std::io::Result<()> {
        let mut told = None;
        loop {
            let news = self.news.lock().unwrap();
            let (news, _) = self
                .changed
                .wait_timeout_while(news, ms(1000), |news| Some(news.0) == told)
                .unwrap();
            let version = news.0;
            drop(news);
            if Some(version) == told {
                let ping = b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
                writer.lock().unwrap().write_all(ping)?;
                continue;
            }
            let state = self.state();
            let line =
                format!("{{\"jsonrpc\":\"2.0\",\"method\":\"progress\",\"params\":{state}}}\n");
            writer.lock().unwrap().write_all(line.as_bytes())?;
            world.note(format!("control service: told {state}"));
            told = Some(version);
        }
    }
}

/// How the request of a client ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    Answered {
        status: u16,
        foreign: bool,
    },
    /// The connection ended without an answer.
    Closed,
    /// Nothing came until half a second past the client's time.
    Silence,
}

/// A request that was written whole to a connection that the sidecar's machine had accepted.
#[derive(Clone, Debug)]
pub struct Taken {
    pub at: f64,
    pub ended_at: f64,
    pub ended: Ended,
}

pub struct ClientSettings {
    pub sidecar: SocketAddr,
    pub period: Duration,
    pub first: Duration,
    pub class: &'static str,
    /// The length of the body; 0 for a GET.
    pub body_bytes: usize,
    pub time: Duration,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Starts a client that sends a request each period, one at a time, until the run is over.
pub fn start_client(
    world: &Arc<World>,
    taken: &Arc<Mutex<Vec<Taken>>>,
    settings: ClientSettings,
) -> thread::JoinHandle<()> {
    let (world, taken) = (world.clone(), taken.clone());
    thread::spawn(move || {
        thread::sleep(settings.first);
        let mut connection: Option<BufReader<TcpStream>> = None;
        let mut due = Instant::now();
        while !world.is_over() {
            due += settings.period;
            request(&world, &taken, &settings, &mut connection);
            match due.checked_duration_since(Instant::now()) {
                Some(pause) => thread::sleep(pause),
                None => due = Instant::now(),
            }
        }
    })
}

fn connect(to: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(to).ok()?;
    let _ = stream.set_nodelay(true);
    Some(BufReader::new(stream))
}

/// Whether a pod made this answer for this request.
fn is_answer_to(id: &str, body: &[u8]) -> bool {
    let text = format!("done {id} ");
    body.strip_prefix(text.as_bytes())
        .is_some_and(|rest| rest.iter().all(|byte| *byte == b'.'))
}

/// Sends one request. A kept connection that ends before any answer crossed it: the request goes once more on a new one.
fn request(
    world: &World,
    taken: &Mutex<Vec<Taken>>,
    settings: &ClientSettings,
    connection: &mut Option<BufReader<TcpStream>>,
) {
    let number = NEXT_ID.fetch_add(1, SeqCst);
    let id = format!("{number:016x}");
    let body = "b".repeat(settings.body_bytes);
    let (method, extra) = if settings.body_bytes > 0 {
        let length = body.len();
        (
            "POST",
            format!("Idempotency-Key: key-{id}\r\nContent-Length: {length}\r\n"),
        )
    } else {
        ("GET", String::new())
    };
    let class = settings.class;
    let text = format!(
        "{method} /{class}/r HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: {}\r\n{extra}\r\n{body}",
        settings.time.as_millis()
    );
    let mut resent = false;
    loop {
        let kept = connection.is_some();
        let Some(mut reader) = connection.take().or_else(|| connect(settings.sidecar)) else {
            return;
        };
        if reader.get_mut().write_all(text.as_bytes()).is_err() {
            if kept && !resent {
                resent = true;
                continue;
            }
            return;
        }
        let at = world.now();
        world.note(format!("client sent {id} {class}"));
        let limit = settings.time + ms(550);
        let _ = reader.get_ref().set_read_timeout(Some(limit));
        let ended = match read_message(&mut reader) {
            Ok(Some(answer)) => {
                let status = answer
                    .line
                    .split(' ')
                    .nth(1)
                    .and_then(|text| text.parse().ok());
                let foreign = status == Some(200) && !is_answer_to(&id, &answer.body);
                if !answer.header("connection").eq_ignore_ascii_case("close") {
                    *connection = Some(reader);
                }
                Ended::Answered {
                    status: status.unwrap_or(0),
                    foreign,
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Ended::Silence
            }
            _ => Ended::Closed,
        };
        world.note(format!("client has for {id}: {ended:?}"));
        let again = ended == Ended::Closed && kept && !resent;
        let ended_at = world.now();
        taken.lock().unwrap().push(Taken {
            at,
            ended_at,
            ended,
        });
        if !again {
            return;
        }
        resent = true;
    }
}

/// A temporary folder, removed at the end of the run.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let name = format!("review-2-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The sidecar as a process, started with the `run` line of the deploy file. Killed when this is dropped.
pub struct Sidecar {
    child: Child,
    log: PathBuf,
}

/// The value of a text field in `deploy/balancer.toml`.
fn deploy_line(root: &Path, name: &str) -> Option<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name} = \"")))?;
    Some(line.strip_suffix('"')?.to_string())
}

impl Sidecar {
    pub fn start(
        root: &Path,
        folder: &Path,
        config: &str,
        number: u32,
    ) -> std::io::Result<Sidecar> {
        let file = folder.join("config.json");
        fs::write(&file, config)?;
        let run = deploy_line(root, "run").ok_or(ErrorKind::NotFound)?;
        Sidecar::start_by(root, folder, &run, number, &[("PROXY_CONFIG", &file)])
    }

    /// Starts the program by another line than `run`.
    pub fn start_by(
        root: &Path,
        folder: &Path,
        line: &str,
        number: u32,
        environment: &[(&str, &Path)],
    ) -> std::io::Result<Sidecar> {
        let log = folder.join(format!("sidecar-{number}.log"));
        let out = fs::File::create(&log)?;
        let child = Command::new("/bin/sh")
            .args(["-c", line])
            .current_dir(root)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        // For the script, which ends what is left when this process is killed.
        let ids = std::env::temp_dir().join("sidecars");
        let ids = fs::OpenOptions::new().create(true).append(true).open(ids);
        let _ = ids.and_then(|mut ids| writeln!(ids, "{}", child.id()));
        Ok(Sidecar { child, log })
    }

    /// Waits for a text in the log.
    pub fn wait_log(&self, text: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.log().contains(text) {
                return true;
            }
            thread::sleep(ms(10));
        }
        false
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until `GET /healthz` is answered with 200.
    pub fn wait_ready(&self, address: SocketAddr) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Some(mut reader) = connect(address) {
                let _ = reader.get_ref().set_read_timeout(Some(ms(1000)));
                let asked = reader
                    .get_mut()
                    .write_all(b"GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                let answer = asked.and_then(|()| read_message(&mut reader));
                let _ = reader.get_ref().shutdown(Shutdown::Both);
                if matches!(answer, Ok(Some(answer)) if answer.line.contains(" 200 ")) {
                    return true;
                }
            }
            thread::sleep(ms(10));
        }
        false
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Everything that the configuration file of a sidecar says.
pub struct Config<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub control_service: SocketAddr,
    pub news: String,
    pub known_seq: u64,
    pub known: &'a [String],
    pub instances: u32,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Config<'_> {
    /// The settings are those of `krakow-search` in the wire note: classes, rules, exposure, limits.
    pub fn text(&self) -> String {
        let seed = unix_ms() ^ 0x5eed_0000_0000;
        let instances = self.instances;
        format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"deployer":{{"address":"{}","news":{}}},
"known":{{"seq":{},"whole":true,"hosts":[{}]}},
"settings":{{"azs":["krakow-1"],"locality":"krakow-1","skus":["three-core"],"orgs":[],"instances":{instances},"rank":0,
"classes":[
{{"giveUpNs":2000000000,"keyScope":"all","lateValue":0.0,"name":"query","onTimeNs":800000000,"semantics":"free","stream":false,"windowNs":5000000000,"worth":1.0}},
{{"giveUpNs":3000000000,"keyScope":"all","lateValue":0.0,"name":"reindex","onTimeNs":1200000000,"semantics":"guarded","stream":false,"windowNs":6000000000,"worth":5.0}},
{{"giveUpNs":3000000000,"lateValue":0.0,"name":"order","onTimeNs":1500000000,"semantics":"single_shot","stream":false,"worth":3.0}}],
"discovery":"automatic","loadReport":{{"columns":[],"how":"silent"}},
"familyInfo":{{"autoAfterNs":0,"ballotTtlNs":6000000000,"callTimeoutNs":800000000,"control":"by_count","counts":"all","exposureWindowNs":6000000000,"free":3.0,"leastStageNs":1500000000,"mostShares":[0.136,0.425,1.0,1.0],"noesNeeded":1,"oneWay":false,"shares":[0.08,0.25,0.6,1.0],"shielded":0,"stoppers":0,"style":"parallel","toAdvance":2,"votesPerS":250.0}},
"limits":{{"connIdleNs":30000000000,"dialTimeoutNs":250000000,"maxAttempts":4,"maxRetryAfterNs":1000000000,"mayCancel":true,"probing":true,"retryAfter":true,"secondCopies":true}},
"prices":{{"crossZone":0.0}},
"rules":{{"answerSlackNs":20000000,"coldShare":0.3,"drainGraceNs":500000000,"fallMultiple":3.0,"fallNs":2000000000,"mustAskInNs":10000000000,"warmUpNs":4800000000}}}}}}"#,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.control_service,
            self.news,
            self.known_seq,
            self.known.join(","),
        )
    }
}
