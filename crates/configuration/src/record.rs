//! The records of a configuration: services, the routes that lead to them, and tenants with their limits.

use havenplank::interface::{DedupScope, Idempotency, Nanos, RouteClass};
pub use havenplank_settings::BackupMode;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Longest name of a service, route, tenant or zone.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of zones that one service may name.
pub const MAX_ZONES: usize = 64;
/// Maximum number of methods that one route may name.
pub const MAX_METHODS: usize = 16;
/// Longest name of a method.
pub const MAX_METHOD_BYTES: usize = 32;
/// Maximum number of path patterns that one route may have.
pub const MAX_PATHS: usize = 64;
/// Longest path pattern.
pub const MAX_PATH_BYTES: usize = 256;
/// Highest limit of a tenant's requests per second.
pub const MAX_REQUESTS_PER_S: u32 = 10_000_000;
/// Highest limit of a tenant's requests in flight.
pub const MAX_IN_FLIGHT: u32 = 1_000_000;
/// Longest latency target, deadline or idempotency window: a day.
pub const MAX_DURATION_NS: Nanos = 86_400_000_000_000;
/// Largest priority weight of a served request.
pub const MAX_PRIORITY_WEIGHT: f64 = 1e9;

/// A group of pods that answers requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name, unique among services.
    pub name: String,
    /// The zones in which its pods may be; empty for any zone.
    pub zones: Vec<String>,
}

/// A class of requests and the service that answers them.
///
/// If the patterns of several routes match a path, the most specific one wins: a complete path before a prefix, and a
/// longer prefix before a shorter one. The order of the routes does not matter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name, unique among routes.
    pub name: String,
    /// The name of the [`Service`] that answers the requests.
    pub service: String,
    /// HTTP methods in upper case; empty for any method.
    pub methods: Vec<String>,
    /// Path patterns: a complete path, or a prefix followed by `*`.
    pub paths: Vec<String>,
    /// The rules for requests of this route.
    pub rules: RequestRules,
}

/// The rules for the requests of a route: the fields of [`RouteClass`] and the backup mode, in a type that can be
/// compared and serialised.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRules {
    /// Whether a request may run twice.
    pub idempotency: Idempotency,
    /// The group of pods within which a repeat of a keyed request is dropped.
    pub dedup_scope: DedupScope,
    /// How long repeats of a keyed request are dropped, in nanoseconds from the first attempt that may have run.
    pub dedup_window: Nanos,
    /// The latency up to which an answer earns the full priority weight, in nanoseconds.
    pub latency_objective: Nanos,
    /// The longest time that a client waits for an answer, in nanoseconds.
    pub deadline: Nanos,
    /// The weight of serving a request, relative to other requests.
    #[serde(rename = "benefit")]
    pub priority_weight: f64,
    /// The fraction of the priority weight that an answer later than the latency target still earns.
    #[serde(rename = "late_benefit")]
    pub late_weight: f64,
    /// Whether responses are streamed to the client as they arrive.
    pub stream: bool,
    /// Whether and when backups are informed of requests in flight.
    pub backup: BackupMode,
}

/// A customer of the fleet, whose requests are limited together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// The name, unique among tenants.
    pub name: String,
    /// The limits on its requests.
    pub limits: TenantLimits,
}

/// The limits on the requests of a tenant; `None` for no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLimits {
    /// Requests admitted per second.
    pub requests_per_s: Option<u32>,
    /// Requests in flight at the same time.
    pub in_flight: Option<u32>,
}

/// One entry of a configuration. Routes are boxed to keep the enum small, since most records are tenants and an enum is
/// as large as its largest variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A group of pods.
    Service(Service),
    /// A class of requests.
    Route(Box<Route>),
    /// A tenant.
    Tenant(Tenant),
}

/// The kinds of [`Record`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordKind {
    /// The kind of [`Service`] records.
    Service,
    /// The kind of [`Route`] records.
    Route,
    /// The kind of [`Tenant`] records.
    Tenant,
}

/// The kind and name of a record, which identify it in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// The kind of the record.
    pub kind: RecordKind,
    /// The name of the record, unique among records of its kind.
    pub name: String,
}

impl Record {
    /// Returns the kind of the record.
    pub fn kind(&self) -> RecordKind {
        match self {
            Record::Service(_) => RecordKind::Service,
            Record::Route(_) => RecordKind::Route,
            Record::Tenant(_) => RecordKind::Tenant,
        }
    }

    /// Returns the name of the record.
    pub fn name(&self) -> &str {
        match self {
            Record::Service(service) => &service.name,
            Record::Route(route) => &route.name,
            Record::Tenant(tenant) => &tenant.name,
        }
    }

    /// Returns the key of the record.
    pub fn key(&self) -> RecordKey {
        RecordKey {
            kind: self.kind(),
            name: self.name().to_string(),
        }
    }

    /// Checks that each field is within its bounds.
    ///
    /// # Errors
    /// The first field that is out of its bounds.
    pub fn check(&self) -> Result<(), InvalidRecord> {
        check_name(self.kind(), self.name())?;
        match self {
            Record::Service(service) => check_service(service),
            Record::Route(route) => check_route(route),
            Record::Tenant(tenant) => check_tenant(tenant),
        }
    }
}

impl RecordKey {
    /// Checks that the name is within its bounds.
    ///
    /// # Errors
    /// The name is empty, too long or has control characters.
    pub fn check(&self) -> Result<(), InvalidRecord> {
        check_name(self.kind, &self.name)
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecordKind::Service => "service",
            RecordKind::Route => "route",
            RecordKind::Tenant => "tenant",
        })
    }
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.kind, self.name)
    }
}

impl From<Service> for Record {
    fn from(service: Service) -> Record {
        Record::Service(service)
    }
}

impl From<Route> for Record {
    fn from(route: Route) -> Record {
        Record::Route(Box::new(route))
    }
}

impl From<Tenant> for Record {
    fn from(tenant: Tenant) -> Record {
        Record::Tenant(tenant)
    }
}

impl From<RequestRules> for RouteClass {
    fn from(rules: RequestRules) -> RouteClass {
        RouteClass {
            idempotency: rules.idempotency,
            dedup_scope: rules.dedup_scope,
            dedup_window: rules.dedup_window,
            latency_objective: rules.latency_objective,
            client_timeout: rules.deadline,
            priority_weight: rules.priority_weight,
            late_weight: rules.late_weight,
            stream: rules.stream,
        }
    }
}

impl RequestRules {
    /// Returns the rules of a route class of the settings script, with a backup mode.
    pub fn from_route_class(class: &RouteClass, backup: BackupMode) -> RequestRules {
        RequestRules {
            idempotency: class.idempotency,
            dedup_scope: class.dedup_scope,
            dedup_window: class.dedup_window,
            latency_objective: class.latency_objective,
            deadline: class.client_timeout,
            priority_weight: class.priority_weight,
            late_weight: class.late_weight,
            stream: class.stream,
            backup,
        }
    }
}

/// A record with a field out of its bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{record}: {field}: found {found}; expected {expected}")]
pub struct InvalidRecord {
    /// The key of the record, with a name cut to its longest length.
    pub record: RecordKey,
    /// The name of the field in the script.
    pub field: &'static str,
    /// The value of the field, or a description of it.
    pub found: String,
    /// The values that the field may have.
    pub expected: String,
}

/// Returns an error for a field of a record unless `valid`.
fn ensure(
    valid: bool,
    key: (RecordKind, &str),
    field: &'static str,
    found: impl FnOnce() -> String,
    expected: impl FnOnce() -> String,
) -> Result<(), InvalidRecord> {
    if valid {
        return Ok(());
    }
    let record = RecordKey {
        kind: key.0,
        name: key.1.chars().take(MAX_NAME_BYTES).collect(),
    };
    Err(InvalidRecord {
        record,
        field,
        found: found(),
        expected: expected(),
    })
}

fn check_name(kind: RecordKind, name: &str) -> Result<(), InvalidRecord> {
    let valid = (1..=MAX_NAME_BYTES).contains(&name.len());
    let expected = || format!("a name of 1 to {MAX_NAME_BYTES} bytes");
    ensure(
        valid,
        (kind, name),
        "name",
        || format!("{} bytes", name.len()),
        expected,
    )?;
    let expected = || "a name without control characters".to_string();
    ensure(
        !name.contains(char::is_control),
        (kind, name),
        "name",
        || format!("{name:?}"),
        expected,
    )
}

fn check_tenant(tenant: &Tenant) -> Result<(), InvalidRecord> {
    let limits = [
        (
            "requests_per_s",
            tenant.limits.requests_per_s,
            MAX_REQUESTS_PER_S,
        ),
        ("in_flight", tenant.limits.in_flight, MAX_IN_FLIGHT),
    ];
    for (field, limit, max) in limits {
        let limit = limit.unwrap_or(0);
        let key = (RecordKind::Tenant, tenant.name.as_str());
        ensure(
            limit <= max,
            key,
            field,
            || limit.to_string(),
            || format!("at most {max}"),
        )?;
    }
    Ok(())
}

fn check_list(
    key: (RecordKind, &str),
    field: &'static str,
    list: &[String],
    max: usize,
    max_bytes: usize,
) -> Result<(), InvalidRecord> {
    let expected = || format!("at most {max} entries, each of 1 to {max_bytes} bytes");
    ensure(
        list.len() <= max,
        key,
        field,
        || format!("{} entries", list.len()),
        expected,
    )?;
    let invalid_entry = list
        .iter()
        .find(|text| !(1..=max_bytes).contains(&text.len()));
    let found = || format!("an entry of {} bytes", invalid_entry.map_or(0, String::len));
    ensure(invalid_entry.is_none(), key, field, found, expected)
}

fn check_service(service: &Service) -> Result<(), InvalidRecord> {
    let key = (RecordKind::Service, service.name.as_str());
    check_list(key, "zones", &service.zones, MAX_ZONES, MAX_NAME_BYTES)
}

fn check_route(route: &Route) -> Result<(), InvalidRecord> {
    let key = (RecordKind::Route, route.name.as_str());
    let service_bytes = route.service.len();
    let expected = || format!("a name of 1 to {MAX_NAME_BYTES} bytes");
    let valid = (1..=MAX_NAME_BYTES).contains(&service_bytes);
    ensure(
        valid,
        key,
        "service",
        || format!("{service_bytes} bytes"),
        expected,
    )?;
    check_list(
        key,
        "methods",
        &route.methods,
        MAX_METHODS,
        MAX_METHOD_BYTES,
    )?;
    check_list(key, "paths", &route.paths, MAX_PATHS, MAX_PATH_BYTES)?;
    ensure(
        !route.paths.is_empty(),
        key,
        "paths",
        || "none".to_string(),
        || "at least one".to_string(),
    )?;
    check_rules(key, &route.rules)
}

fn check_rules(key: (RecordKind, &str), rules: &RequestRules) -> Result<(), InvalidRecord> {
    let durations = [
        ("idempotency_window", rules.dedup_window, 0),
        ("latency_target", rules.latency_objective, 1),
        ("deadline", rules.deadline, 1),
    ];
    for (field, duration, min) in durations {
        let expected = || format!("{min} to {MAX_DURATION_NS} ns");
        ensure(
            (min..=MAX_DURATION_NS).contains(&duration),
            key,
            field,
            || format!("{duration} ns"),
            expected,
        )?;
    }
    // NaN is in no range, so it is rejected as well.
    let weights = [
        ("benefit", rules.priority_weight, MAX_PRIORITY_WEIGHT),
        ("late_benefit", rules.late_weight, 1.0),
    ];
    for (field, weight, max) in weights {
        let expected = || format!("a number from 0 to {max}");
        // -0.0 equals 0.0 but has another digest, so a delta between the two would hold no change and never apply.
        let valid = (0.0..=max).contains(&weight) && weight.is_sign_positive();
        ensure(valid, key, field, || weight.to_string(), expected)?;
    }
    let allowed =
        rules.backup != BackupMode::InBackground || rules.idempotency == Idempotency::Idempotent;
    let expected = || "BeforeAttempt unless idempotent, as a repeat could do harm".to_string();
    ensure(allowed, key, "backup", || "Behind".to_string(), expected)
}
