//! What a settings script yields: small checked records, of which each part of the program takes the few it needs.

use havenplank::interface::*;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Everything a sidecar is told before it starts.
#[derive(Clone, Debug)]
pub struct Site {
    pub name: String,
    pub place: FleetPosition,
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    pub groups: Vec<Group>,
    pub headers: Headers,
    pub tenants: Vec<String>,
    pub forwards: AttemptSettings,
    pub door: Door,
    pub pods: PodSettings,
    pub links: Links,
    pub exposure: ExposureSettings,
    pub votes: VoteSettings,
    pub list: EndpointListSettings,
    pub nodes: Feed,
    /// Where the last whole list is kept for a start without the node list's service.
    pub kept_list: Option<PathBuf>,
    pub desk: Feed,
    pub trace: Option<Trace>,
    /// `None`: no sidecar knows of another.
    pub fellowship: Option<Fellowship>,
    /// `None`: work in hand is lost with its sidecar.
    pub takeover: Option<Takeover>,
    /// `None`: routes and tenants are those of the script, for the life of the process.
    pub configuration: Option<Configuration>,
}

/// How a sidecar takes in routes and tenants that change while it runs.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Folder with the version in force, from which a restart serves at once.
    pub keep: PathBuf,
    /// What it fetches from peers at most, in steady running.
    pub fetch_bytes_per_s: u64,
    /// What it gives to peers at most.
    pub serve_bytes_per_s: u64,
}

/// Where sidecars hear each other.
#[derive(Clone, Debug)]
pub struct Fellowship {
    /// UDP and TCP, for other sidecars.
    pub listen: SocketAddr,
    /// Where others reach it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// Sidecars to begin with; any that lives will do.
    pub meet: Vec<SocketAddr>,
    /// File with the fellowship's keys, read again at SIGHUP.
    pub keys: PathBuf,
    /// Between two questions to a fellow whether it lives.
    pub period: Nanos,
}

/// How sidecars guard each other's work in hand.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// Guardians of each piece of work.
    pub guardians: usize,
    pub lease: Nanos,
    /// How long an answer is kept after its client's time is up.
    pub keep: Nanos,
    pub held: usize,
    pub kept: usize,
    /// What records kept for others may weigh together.
    pub kept_bytes: usize,
}

/// Whether a path group's work in hand is guarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    Off,
    /// Guardians know of a forward before it goes.
    BeforeForward,
    /// They are told behind; for what is safe to repeat.
    Behind,
}

/// Where hits and decisions are recorded.
#[derive(Clone, Debug)]
pub struct Trace {
    pub folder: PathBuf,
    /// Share of hits that are in, each with all its records.
    pub share: f64,
    /// Records that may wait for the disk, in bytes; from half of it on new hits are left out.
    pub queue_bytes: usize,
    pub file_bytes: u64,
    pub file_age: Nanos,
    /// Of all files of this sidecar; the oldest go first.
    pub total_bytes: u64,
}

/// A path group and the hits that belong to it: the first of the script that fits takes a hit.
#[derive(Clone, Debug)]
pub struct Group {
    pub name: String,
    /// Upper case; empty for any.
    pub methods: Vec<String>,
    /// Whole paths, or the start of one where the last character is `*`.
    pub paths: Vec<String>,
    pub rules: RouteClass,
    pub guard: Guard,
}

impl Group {
    pub fn fits(&self, method: &str, path: &str) -> bool {
        let fits = |pattern: &String| match pattern.strip_suffix('*') {
            Some(start) => path.starts_with(start),
            None => path == pattern,
        };
        (self.methods.is_empty() || self.methods.iter().any(|m| m == method))
            && self.paths.iter().any(fits)
    }
}

/// Names of the headers that a hit may carry, in lower case.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Time the client still waits, in the form of `grpc-timeout`: up to 8 digits and H, M, S, m, u or n.
    pub timeout: String,
    pub key: String,
    pub tenant: String,
    /// What the hit may cost, in whole microseconds.
    pub cost_hint: String,
    /// A hit's own mark, by which a client finds a guarded hit again that has no `Idempotency-Key`.
    pub mark: String,
}

/// What a client may ask of the sidecar's own listeners.
#[derive(Clone, Debug)]
pub struct Door {
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub head_bytes: usize,
    pub head_time: Nanos,
    pub body_bytes: usize,
    pub body_time: Nanos,
    /// Connections of clients held at once; a further one waits to be accepted.
    pub connections: usize,
    /// Hits held at once; a further one is bounced before it is taken.
    pub hits: usize,
    /// How long a final answer may take to reach its client: taken off the time that a hit has.
    pub answer_margin: Nanos,
    /// An answer up to this size is read whole before it counts as delivered; a longer one is passed on as
    /// it comes.
    pub answer_bytes: usize,
}

/// Connections to pods.
#[derive(Clone, Debug)]
pub struct Links {
    pub connect_time: Nanos,
    /// Open to one pod at once; a forward beyond waits for one, as long as a connect may take.
    pub per_pod: usize,
    pub idle: Nanos,
    /// The status and header by which a pod proves that a forward never ran there.
    pub unseen_status: u16,
    pub unseen_header: String,
    /// Whether pods tell their load by `endpoint-load-metrics`.
    pub load: bool,
    pub probe_path: String,
}

/// Where a line protocol is spoken and how long its lines may be.
#[derive(Clone, Debug)]
pub struct Feed {
    pub address: SocketAddr,
    pub line_bytes: usize,
}
