//! What changes while sidecars run: services, the routes that lead to them, and tenants with their limits.

use havenplank::interface::{DedupScope, Idempotency, Nanos, RouteClass};
pub use havenplank_settings::BackupMode;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The longest name of a service, route, tenant or zone.
pub const MAX_NAME_BYTES: usize = 64;
/// Zones that one service may name.
pub const MAX_ZONES: usize = 64;
/// Methods that one route may name.
pub const MAX_METHODS: usize = 16;
/// The longest name of a method.
pub const MAX_METHOD_BYTES: usize = 32;
/// Path patterns that one route may name.
pub const MAX_PATHS: usize = 64;
/// The longest path pattern.
pub const MAX_PATH_BYTES: usize = 256;
/// The highest limit of a tenant's requests per second.
pub const MAX_REQUESTS_PER_S: u32 = 10_000_000;
/// The highest limit of a tenant's requests in flight.
pub const MAX_IN_FLIGHT: u32 = 1_000_000;
/// The longest latency target, deadline or idempotency window: a day.
pub const MAX_DURATION_NS: Nanos = 86_400_000_000_000;
/// The largest priority weight of a served request.
pub const MAX_PRIORITY_WEIGHT: f64 = 1e9;

/// A group of pods that answers requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name, which no other service has.
    pub name: String,
    /// Where its pods may be; empty for any zone.
    pub zones: Vec<String>,
}

/// A class of requests and the service that answers them.
///
/// Where patterns of several routes match a path, the most specific wins: a whole path before a prefix, a longer
/// prefix before a shorter one. The order of routes never matters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, which no other route has.
    pub name: String,
    /// The name of a [`Service`].
    pub service: String,
    /// Upper case; empty for any.
    pub methods: Vec<String>,
    /// Whole paths, or the start of one where the last character is `*`.
    pub paths: Vec<String>,
    /// How its requests are treated.
    pub rules: RequestRules,
}

/// How the requests of a route are treated: [`RouteClass`] and the backup mode, comparable and serialisable.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRules {
    /// Whether a request may run twice.
    pub idempotency: Idempotency,
    /// The pods that drop a repeat of a keyed request.
    pub dedup_scope: DedupScope,
    /// How long, from the first attempt that may have run, repeats of a keyed request are dropped, in nanoseconds.
    pub dedup_window: Nanos,
    /// The time within which an answer earns its whole priority weight, in nanoseconds.
    pub latency_objective: Nanos,
    /// How long a client waits at most, in nanoseconds.
    pub deadline: Nanos,
    /// How much serving a request counts against others.
    #[serde(rename = "benefit")]
    pub priority_weight: f64,
    /// Share of the priority weight that an answer past the latency target still earns.
    #[serde(rename = "late_benefit")]
    pub late_weight: f64,
    /// Whether responses are passed on as they come.
    pub stream: bool,
    /// Whether and when backups learn of requests in flight.
    pub backup: BackupMode,
}

/// A tenant of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, which no other tenant has.
    pub name: String,
    /// What it may use.
    pub limits: TenantLimits,
}

/// What a tenant may use; `None` for no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLimits {
    /// Requests that are admitted a second.
    pub requests_per_s: Option<u32>,
    /// Requests in flight at once.
    pub in_flight: Option<u32>,
}

/// One entry of a configuration. A route is boxed, as tenants are many and an enum is as large as its largest variant.
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
    /// Of [`Service`].
    Service,
    /// Of [`Route`].
    Route,
    /// Of [`Tenant`].
    Tenant,
}

/// What tells one record from all others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// The kind of the record.
    pub kind: RecordKind,
    /// Its name, which no other of its kind has.
    pub name: String,
}

impl Record {
    /// Returns its kind.
    pub fn kind(&self) -> RecordKind {
        match self {
            Record::Service(_) => RecordKind::Service,
            Record::Route(_) => RecordKind::Route,
            Record::Tenant(_) => RecordKind::Tenant,
        }
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        match self {
            Record::Service(service) => &service.name,
            Record::Route(route) => &route.name,
            Record::Tenant(tenant) => &tenant.name,
        }
    }

    /// Returns its key.
    pub fn key(&self) -> RecordKey {
        RecordKey {
            kind: self.kind(),
            name: self.name().to_string(),
        }
    }

    /// Checks the bounds of each field.
    ///
    /// # Errors
    /// The first field that breaks its bound.
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
    /// Checks the bounds of the name.
    ///
    /// # Errors
    /// The name is empty or too long.
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
    /// Returns the rules of a route class of the settings script, with the way its requests in flight are backed up.
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
    /// The record.
    pub record: RecordKey,
    /// The field, as the script names it.
    pub field: &'static str,
    /// Its value, or what is wrong about it.
    pub found: String,
    /// What it may be.
    pub expected: String,
}

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
    for (field, limit, most) in limits {
        let limit = limit.unwrap_or(0);
        let key = (RecordKind::Tenant, tenant.name.as_str());
        ensure(
            limit <= most,
            key,
            field,
            || limit.to_string(),
            || format!("{most} at most"),
        )?;
    }
    Ok(())
}

fn check_list(
    key: (RecordKind, &str),
    field: &'static str,
    list: &[String],
    most: usize,
    most_bytes: usize,
) -> Result<(), InvalidRecord> {
    let expected = || format!("{most} at most, each of 1 to {most_bytes} bytes");
    ensure(
        list.len() <= most,
        key,
        field,
        || format!("{} of them", list.len()),
        expected,
    )?;
    let wrong = list
        .iter()
        .find(|text| !(1..=most_bytes).contains(&text.len()));
    let found = || format!("one of {} bytes", wrong.map_or(0, String::len));
    ensure(wrong.is_none(), key, field, found, expected)
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
        || "one at least".to_string(),
    )?;
    check_rules(key, &route.rules)
}

fn check_rules(key: (RecordKind, &str), rules: &RequestRules) -> Result<(), InvalidRecord> {
    let spans = [
        ("idempotency_window", rules.dedup_window, 0),
        ("latency_target", rules.latency_objective, 1),
        ("deadline", rules.deadline, 1),
    ];
    for (field, span, least) in spans {
        let expected = || format!("{least} to {MAX_DURATION_NS} ns");
        ensure(
            (least..=MAX_DURATION_NS).contains(&span),
            key,
            field,
            || format!("{span} ns"),
            expected,
        )?;
    }
    // NaN is in no range.
    let shares = [
        ("benefit", rules.priority_weight, MAX_PRIORITY_WEIGHT),
        ("late_benefit", rules.late_weight, 1.0),
    ];
    for (field, share, most) in shares {
        let expected = || format!("a number from 0 to {most}");
        // -0.0 equals 0.0 and has another digest: a delta between the two would hold no change and never apply.
        let valid = (0.0..=most).contains(&share) && share.is_sign_positive();
        ensure(valid, key, field, || share.to_string(), expected)?;
    }
    let fits = rules.backup != BackupMode::Behind || rules.idempotency == Idempotency::Idempotent;
    let expected = || "BeforeAttempt, as a repeat could do harm".to_string();
    ensure(fits, key, "backup", || "Behind".to_string(), expected)
}
