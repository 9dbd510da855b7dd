//! The checked settings that a script yields, in small records, so that each module takes only those that it needs.

use havenplank::interface::{
    AttemptSettings, EndpointListSettings, ExposureSettings, FleetPosition, Nanos, PodSettings,
    RouteClass, VoteSettings,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// All settings of a sidecar, fixed when it starts.
#[derive(Clone, Debug)]
pub struct Site {
    /// The sidecar's own name, by which its peers and the control plane identify it.
    pub name: String,
    /// The sidecar's rank and zone, and the size of the fleet.
    pub position: FleetPosition,
    /// Names of all zones; the zone in `position` is an index into this list.
    pub zones: Vec<String>,
    /// Names of the machine types that pods run on.
    pub machines: Vec<String>,
    /// The route classes in script order; a request belongs to the first that matches.
    pub route_classes: Vec<RouteClassSettings>,
    /// Names of the headers that the sidecar reads from a request.
    pub headers: HeaderNames,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Limits on the attempts of a request, and whether attempts may be hedged or cancelled.
    pub attempts: AttemptSettings,
    /// Addresses and limits of the sidecar's own listeners.
    pub listener: ListenerSettings,
    /// How pods warm up, drain and become overloaded.
    pub pods: PodSettings,
    /// Connections to pods.
    pub upstream: UpstreamSettings,
    /// The share of attempts that a build on trial may get.
    pub exposure: ExposureSettings,
    /// How the control plane counts votes.
    pub votes: VoteSettings,
    /// How the sidecar follows changes to the endpoint list.
    pub endpoint_list: EndpointListSettings,
    /// The address of service discovery.
    pub discovery: LineProtocolEndpoint,
    /// File that caches the last complete endpoint list, for a start while service discovery is unreachable.
    pub cached_list: Option<PathBuf>,
    /// The address of the control plane.
    pub control_plane: LineProtocolEndpoint,
    /// The recording of requests; `None` if nothing is recorded.
    pub trace: Option<TraceSettings>,
    /// The sidecar's peers; `None` if it runs without peers.
    pub membership: Option<MembershipSettings>,
    /// The takeover of requests by peers; `None` if the requests in flight of a sidecar are lost when it fails.
    pub takeover: Option<TakeoverSettings>,
    /// The source of changing routes and tenants; `None` if those of the script apply until the process ends.
    pub configuration: Option<ConfigurationSettings>,
}

/// How a sidecar receives routes and tenants that change while it runs.
#[derive(Clone, Debug)]
pub struct ConfigurationSettings {
    /// Folder with the version in force, from which a restarted sidecar can serve immediately.
    pub cache_folder: PathBuf,
    /// Limit on the bytes per second that the sidecar fetches from peers in steady operation.
    pub fetch_bytes_per_s: u64,
    /// Limit on the bytes per second that the sidecar serves to peers.
    pub serve_bytes_per_s: u64,
}

/// How sidecars discover and probe each other.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Address on which the sidecar listens for its peers, on UDP and TCP.
    pub listen: SocketAddr,
    /// Address at which peers reach the sidecar, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of members to join through; one reachable member is enough.
    pub seeds: Vec<SocketAddr>,
    /// File with the keys that all members share; read again on SIGHUP.
    pub keys: PathBuf,
    /// Interval between two liveness probes of members, in nanoseconds.
    pub probe_interval: Nanos,
}

/// How sidecars back up each other's requests in flight.
#[derive(Clone, Debug)]
pub struct TakeoverSettings {
    /// Number of backups of each request.
    pub backups: usize,
    /// How long a lease is valid, in nanoseconds.
    pub lease: Nanos,
    /// How long a response is cached after its client's timeout, in nanoseconds.
    pub response_retention: Nanos,
    /// Limit on the sidecar's own requests in flight that are backed up at the same time.
    pub max_in_flight: usize,
    /// Limit on the records held for other sidecars.
    pub max_records: usize,
    /// Limit on the bytes of all records held for other sidecars.
    pub max_record_bytes: usize,
}

/// Whether and when the requests in flight of a route class are announced to backups.
///
/// Stored configurations encode a variant as its position, so the order of the variants must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackupMode {
    /// Never.
    Off,
    /// Before an attempt is sent.
    BeforeAttempt,
    /// While the attempt already runs; for idempotent requests only.
    #[serde(rename = "Behind")]
    InBackground,
}

/// The recording of requests and decisions to files.
#[derive(Clone, Debug)]
pub struct TraceSettings {
    /// Folder of the trace files.
    pub folder: PathBuf,
    /// Fraction of requests that are recorded, from 0 to 1; a recorded request has all its records.
    pub share: f64,
    /// Limit on the bytes of records that wait to be written; from half of it on, new requests are not recorded.
    pub queue_bytes: usize,
    /// Size in bytes at which a new file is started.
    pub file_bytes: u64,
    /// Age at which a new file is started, in nanoseconds.
    pub file_age: Nanos,
    /// Limit on the bytes of all files of this sidecar; the oldest files are deleted first.
    pub total_bytes: u64,
}

/// A route class and the requests that belong to it.
#[derive(Clone, Debug)]
pub struct RouteClassSettings {
    /// The unique name of the class.
    pub name: String,
    /// Methods in upper case; empty if any method matches.
    pub methods: Vec<String>,
    /// Path patterns: a complete path, or a prefix if the last character is `*`.
    pub paths: Vec<String>,
    /// How requests of the class are handled.
    pub rules: RouteClass,
    /// Whether and when requests in flight of the class are backed up.
    pub backup: BackupMode,
}

impl RouteClassSettings {
    /// Returns whether a request of this method and path belongs to the class.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let matches_path = |pattern: &String| match pattern.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == pattern,
        };
        (self.methods.is_empty() || self.methods.iter().any(|known| known == method))
            && self.paths.iter().any(matches_path)
    }
}

/// Names of the headers that the sidecar reads from a request, in lower case.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The time that the client still waits, in the format of `grpc-timeout`: up to 8 digits and H, M, S, m, u or n.
    pub timeout: String,
    /// The key by which pods detect and drop repeated requests.
    pub idempotency_key: String,
    /// The tenant on whose behalf the request is sent.
    pub tenant: String,
    /// The client's estimate of the request's cost, in whole microseconds.
    pub cost_hint: String,
    /// The request's unique identifier, by which a client finds a backed up request that has no `Idempotency-Key`.
    pub request_id: String,
}

/// Addresses and limits of the sidecar's own listeners.
#[derive(Clone, Debug)]
pub struct ListenerSettings {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Limit on the bytes of a request's head (request line and headers).
    pub max_head_bytes: usize,
    /// How long a request's head may take to arrive, in nanoseconds.
    pub head_timeout: Nanos,
    /// Limit on the bytes of a request's body.
    pub max_body_bytes: usize,
    /// How long a request's body may take to arrive, in nanoseconds.
    pub body_timeout: Nanos,
    /// Limit on concurrent client connections; a further connection waits to be accepted.
    pub max_connections: usize,
    /// Limit on concurrent requests in flight; a further request is rejected before admission.
    pub max_requests: usize,
    /// Time reserved for a response to reach its client, in nanoseconds; subtracted from the request's remaining time.
    pub response_margin: Nanos,
    /// A response of up to this many bytes is read completely before the request counts as served; a longer response is
    /// streamed to the client.
    pub buffered_response_bytes: usize,
}

/// Connections to pods.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Timeout for connecting, in nanoseconds; also the timeout of an attempt that waits for a free connection.
    pub connect_timeout: Nanos,
    /// Limit on concurrent connections to one pod; an attempt beyond it waits for a free connection.
    pub max_connections_per_pod: usize,
    /// How long an idle connection stays open, in nanoseconds.
    pub idle_timeout: Nanos,
    /// The status that, together with `unprocessed_header`, proves that a pod did not process an attempt.
    pub unprocessed_status: u16,
    /// The header that belongs to [`unprocessed_status`](Self::unprocessed_status), in lower case.
    pub unprocessed_header: String,
    /// Whether pods report their load in `endpoint-load-metrics` headers.
    pub load_reports: bool,
    /// The path of health checks.
    pub health_check_path: String,
}

/// A service that speaks a line protocol.
#[derive(Clone, Debug)]
pub struct LineProtocolEndpoint {
    /// Address of the service.
    pub address: SocketAddr,
    /// Limit on the bytes of each line that the service sends.
    pub max_line_bytes: usize,
}
