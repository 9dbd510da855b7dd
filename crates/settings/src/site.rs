//! What a settings script yields: small checked records, of which each part of the program takes the few it needs.

use havenplank::interface::{
    AttemptSettings, EndpointListSettings, ExposureSettings, FleetPosition, Nanos, PodSettings,
    RouteClass, VoteSettings,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Everything a sidecar is told before it starts.
#[derive(Clone, Debug)]
pub struct Site {
    /// The sidecar's own name, by which its peers and the control plane know it.
    pub name: String,
    /// Its place among all sidecars.
    pub position: FleetPosition,
    /// All zones; the position names the own one by its place here.
    pub zones: Vec<String>,
    /// Kinds of machines that pods run on.
    pub machines: Vec<String>,
    /// In the order of the script: the first that matches takes a request.
    pub route_classes: Vec<RouteClassSettings>,
    /// Headers that a request may carry.
    pub headers: HeaderNames,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// How often and how a request may be attempted.
    pub attempts: AttemptSettings,
    /// What clients may ask of the sidecar's listeners.
    pub listener: ListenerSettings,
    /// How pods warm up, drain and fall to overload.
    pub pods: PodSettings,
    /// Connections to pods.
    pub upstream: UpstreamSettings,
    /// How much a build on trial may get.
    pub exposure: ExposureSettings,
    /// How the control plane counts votes.
    pub votes: VoteSettings,
    /// How the endpoint list is followed.
    pub endpoint_list: EndpointListSettings,
    /// Where service discovery listens.
    pub discovery: LineProtocolEndpoint,
    /// Where the last whole endpoint list is cached for a start without service discovery.
    pub cached_list: Option<PathBuf>,
    /// Where the control plane listens.
    pub control_plane: LineProtocolEndpoint,
    /// `None`: nothing is recorded.
    pub trace: Option<TraceSettings>,
    /// `None`: no sidecar knows of another.
    pub membership: Option<MembershipSettings>,
    /// `None`: requests in flight are lost with their sidecar.
    pub takeover: Option<TakeoverSettings>,
    /// `None`: routes and tenants are those of the script, for the life of the process.
    pub configuration: Option<ConfigurationSettings>,
}

/// How a sidecar takes in routes and tenants that change while it runs.
#[derive(Clone, Debug)]
pub struct ConfigurationSettings {
    /// Folder with the version in force, from which a restart serves at once.
    pub cache_folder: PathBuf,
    /// Bytes a second that it fetches from peers at most, in steady running.
    pub fetch_bytes_per_s: u64,
    /// Bytes a second that it gives to peers at most.
    pub serve_bytes_per_s: u64,
}

/// How sidecars find and hear each other.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Where it listens for other sidecars, on UDP and TCP.
    pub listen: SocketAddr,
    /// Where others reach it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// Members to begin with; any that lives will do.
    pub seeds: Vec<SocketAddr>,
    /// File with the keys that members share, read again at SIGHUP.
    pub keys: PathBuf,
    /// Between two probes of whether a member lives, in nanoseconds.
    pub probe_interval: Nanos,
}

/// How sidecars back up each other's requests in flight.
#[derive(Clone, Debug)]
pub struct TakeoverSettings {
    /// Backups of each request.
    pub backups: usize,
    /// How long a lease is valid, in nanoseconds.
    pub lease: Nanos,
    /// How long a response is cached after its client's time is up, in nanoseconds.
    pub response_retention: Nanos,
    /// Own requests in flight that are backed up at once.
    pub max_in_flight: usize,
    /// Records held for other sidecars.
    pub max_records: usize,
    /// Bytes of all records held for other sidecars.
    pub max_record_bytes: usize,
}

/// Whether and when backups learn of a route class's requests in flight.
///
/// Versions of a configuration store it by the order of its variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackupMode {
    /// They do not.
    Off,
    /// Before an attempt is sent.
    BeforeAttempt,
    /// While an attempt runs; for idempotent requests only.
    #[serde(rename = "Behind")]
    InBackground,
}

/// Where requests and decisions are recorded.
#[derive(Clone, Debug)]
pub struct TraceSettings {
    /// Folder of the files.
    pub folder: PathBuf,
    /// Share of requests that are recorded, each with all its records; from 0 to 1.
    pub share: f64,
    /// Bytes of records that may wait for the disk; from half of it on new requests are left out.
    pub queue_bytes: usize,
    /// Bytes after which a new file is begun.
    pub file_bytes: u64,
    /// Age at which a new file is begun, in nanoseconds.
    pub file_age: Nanos,
    /// Bytes of all files of this sidecar; the oldest go first.
    pub total_bytes: u64,
}

/// A route class and the requests that belong to it.
#[derive(Clone, Debug)]
pub struct RouteClassSettings {
    /// Its name, which no other class has.
    pub name: String,
    /// Upper case; empty for any.
    pub methods: Vec<String>,
    /// Whole paths, or the start of one where the last character is `*`.
    pub paths: Vec<String>,
    /// How its requests are treated.
    pub rules: RouteClass,
    /// Whether its requests in flight are backed up.
    pub backup: BackupMode,
}

impl RouteClassSettings {
    /// Returns whether a request of this method and path belongs to the class.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let fits = |pattern: &String| match pattern.strip_suffix('*') {
            Some(start) => path.starts_with(start),
            None => path == pattern,
        };
        (self.methods.is_empty() || self.methods.iter().any(|known| known == method))
            && self.paths.iter().any(fits)
    }
}

/// Names of the headers that a request may carry, in lower case.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Time the client still waits, in the form of `grpc-timeout`: up to 8 digits and H, M, S, m, u or n.
    pub timeout: String,
    /// The key by which pods drop repeats.
    pub idempotency_key: String,
    /// The tenant on whose behalf it is sent.
    pub tenant: String,
    /// What the request may cost, in whole microseconds.
    pub cost_hint: String,
    /// A request's own identifier, by which a client finds a backed up request again that has no `Idempotency-Key`.
    pub request_id: String,
}

/// What clients may ask of the sidecar's own listeners.
#[derive(Clone, Debug)]
pub struct ListenerSettings {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// How long a request's head may take to arrive, in nanoseconds.
    pub head_timeout: Nanos,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// How long a request's body may take to arrive, in nanoseconds.
    pub body_timeout: Nanos,
    /// Connections of clients open at once; a further one waits to be accepted.
    pub max_connections: usize,
    /// Requests in flight at once; a further one is rejected before it is admitted.
    pub max_requests: usize,
    /// How long a response may take to reach its client, in nanoseconds: taken off the time that a request has.
    pub response_margin: Nanos,
    /// A response up to this many bytes is read whole before it counts as served; a longer one is passed on as it comes.
    pub buffered_response_bytes: usize,
}

/// Connections to pods.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// How long connecting may take, in nanoseconds; an attempt waits as long for a free connection.
    pub connect_timeout: Nanos,
    /// Connections open to one pod at once; an attempt beyond waits for one.
    pub max_connections_per_pod: usize,
    /// How long an unused connection stays open, in nanoseconds.
    pub idle_timeout: Nanos,
    /// The status by which, with its header, a pod proves that it did not process an attempt.
    pub unprocessed_status: u16,
    /// The header that belongs to [`unprocessed_status`](Self::unprocessed_status), in lower case.
    pub unprocessed_header: String,
    /// Whether pods report their load by `endpoint-load-metrics`.
    pub load_reports: bool,
    /// The path of health checks.
    pub health_check_path: String,
}

/// A service that speaks a line protocol.
#[derive(Clone, Debug)]
pub struct LineProtocolEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Bytes of its longest line.
    pub max_line_bytes: usize,
}
