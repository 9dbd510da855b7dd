//! Compiles an operator's script into a configuration, or into every mistake that it has.

use crate::patterns;
use crate::record::{
    BackupMode, InvalidRecord, Record, RecordKind, RequestRules, Route, Service, Tenant,
    TenantLimits, MAX_IN_FLIGHT, MAX_PRIORITY_WEIGHT, MAX_REQUESTS_PER_S,
};
use crate::snapshot::Snapshot;
use crate::tenant_file;
use crate::version::Version;
use havenplank::interface::{DedupScope, Idempotency};
use havenplank_settings::{configuration_rows, Given, Problem, Problems, Reader, Row};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Mistakes that are told of one script; a last one says how many more there are.
pub const MAX_PROBLEMS: usize = 1_000;

const IDEMPOTENCY: [(&str, Idempotency); 3] = [
    ("idempotent", Idempotency::Idempotent),
    ("keyed", Idempotency::Keyed),
    ("non-idempotent", Idempotency::NonIdempotent),
];
const DEDUP_SCOPES: [(&str, DedupScope); 3] = [
    ("all", DedupScope::All),
    ("zone", DedupScope::Zone),
    ("cell", DedupScope::Cell),
];
const BACKUP_MODES: [(&str, BackupMode); 3] = [
    ("off", BackupMode::Off),
    ("before-attempt", BackupMode::BeforeAttempt),
    ("behind", BackupMode::Behind),
];
/// Fields of a path group of the settings, by the names they have in a route.
const RENAMED_FIELDS: [(&str, &str); 4] = [
    ("target_latency", "latency_target"),
    ("client_timeout", "deadline"),
    ("repeat_window", "idempotency_window"),
    ("guard", "backup"),
];

/// Runs the script and checks what it calls for. The snapshot has the version given.
///
/// # Errors
/// Every mistake found, by file and line. A script that does not run to its end yields that one alone.
pub fn compile(script: &Path, given: &Given, version: Version) -> Result<Snapshot, Problems> {
    let rows = configuration_rows(script, given)?;
    let folder = script.parent().unwrap_or(Path::new("")).to_path_buf();
    let mut compiler = Compiler {
        folder,
        ..Compiler::default()
    };
    rows.iter().for_each(|row| compiler.read(row));
    compiler.check_services();
    compiler.check_patterns();
    compiler.finish(script, version)
}

/// Where a record stands in the operator's files.
#[derive(Clone, Debug)]
struct Location {
    file: Rc<str>,
    line: usize,
}

impl Location {
    fn of(row: &Row) -> Location {
        Location {
            file: row.file.as_str().into(),
            line: row.line,
        }
    }

    fn problem(
        &self,
        field: String,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Problem {
        let (file, line) = (self.file.to_string(), self.line);
        Problem {
            file,
            line,
            field,
            found: found.into(),
            expected: expected.into(),
        }
    }
}

#[derive(Default)]
struct Compiler {
    folder: PathBuf,
    problems: Vec<Problem>,
    services: Vec<Service>,
    service_locations: HashMap<String, Location>,
    routes: Vec<Route>,
    route_locations: Vec<Location>,
    route_names: HashMap<String, Location>,
    tenants: Vec<Tenant>,
    tenant_locations: HashMap<String, Location>,
}

impl Compiler {
    fn read(&mut self, row: &Row) {
        match row.kind {
            "service" => self.read_service(row),
            "route" => self.read_route(row),
            "tenant" => self.read_tenant(row),
            "tenants" => self.read_tenants(row),
            settings => self.refuse_static(row, settings),
        }
    }

    fn refuse_static(&mut self, row: &Row, kind: &str) {
        let expected = match kind {
            "path_group" => {
                "route(name = ..., service = ..., ...), the form of a class that may change"
                    .to_string()
            }
            _ => format!("{kind}(...) in the settings of each sidecar, which a restart reads"),
        };
        let found = "what cannot change in a running process";
        self.problems
            .push(Location::of(row).problem(kind.to_string(), found, expected));
    }

    fn read_service(&mut self, row: &Row) {
        let mut reader = Reader::new(row, &mut self.problems);
        let service = Service {
            name: reader.text("name"),
            zones: reader.texts_or_none("zones"),
        };
        reader.finish();
        let location = Location::of(row);
        let record = Record::Service(service.clone());
        if accept(
            &record,
            &location,
            &mut self.service_locations,
            &mut self.problems,
        ) {
            self.services.push(service);
        }
    }

    fn read_route(&mut self, row: &Row) {
        let mut reader = Reader::new(row, &mut self.problems);
        let route = route(&mut reader);
        reader.finish();
        let location = Location::of(row);
        let record = Record::from(route.clone());
        if accept(
            &record,
            &location,
            &mut self.route_names,
            &mut self.problems,
        ) {
            self.routes.push(route);
            self.route_locations.push(location);
        }
    }

    fn read_tenant(&mut self, row: &Row) {
        let mut reader = Reader::new(row, &mut self.problems);
        let tenant = Tenant {
            name: reader.text("name"),
            limits: limits(&mut reader),
        };
        reader.finish();
        self.add_tenant(tenant, &Location::of(row));
    }

    /// Many tenants with the same limits, or those of a file.
    fn read_tenants(&mut self, row: &Row) {
        let mut reader = Reader::new(row, &mut self.problems);
        let names = reader.texts_or_none("names");
        let file = reader.maybe_text("file");
        let limits = limits(&mut reader);
        if reader.has("names") == reader.has("file") {
            reader.complain("names", "names and file both, or neither", "one of the two");
        }
        if file
            .as_ref()
            .is_some_and(|file| !tenant_file::is_beside(file))
        {
            let found = format!("found {:?}", file.as_deref().unwrap_or_default());
            reader.complain(
                "file",
                found,
                "a file beside the script, with no .. and no leading /",
            );
            return reader.finish();
        }
        reader.finish();
        let location = Location::of(row);
        for name in names {
            self.add_tenant(Tenant { name, limits }, &location);
        }
        if let Some(file) = file {
            self.read_tenant_file(&file, limits, &location);
        }
    }

    fn read_tenant_file(&mut self, file: &str, limits: TenantLimits, location: &Location) {
        let path = self.folder.join(file);
        let text = match tenant_file::read(&path) {
            Ok(text) => text,
            Err(error) => {
                let found = format!("{} cannot be read ({error})", path.display());
                let problem =
                    location.problem("tenants.file".to_string(), found, "a file of JSON lines");
                return self.problems.push(problem);
            }
        };
        let shown: Rc<str> = path.display().to_string().into();
        for parsed in tenant_file::parse(&text, limits) {
            match parsed {
                Ok((line, tenant)) => self.add_tenant(
                    tenant,
                    &Location {
                        file: shown.clone(),
                        line,
                    },
                ),
                Err(error) => {
                    let location = Location {
                        file: shown.clone(),
                        line: error.line,
                    };
                    self.problems.push(location.problem(
                        "tenant".to_string(),
                        error.found,
                        error.expected,
                    ));
                }
            }
        }
    }

    fn add_tenant(&mut self, tenant: Tenant, location: &Location) {
        let record = Record::Tenant(tenant.clone());
        if accept(
            &record,
            location,
            &mut self.tenant_locations,
            &mut self.problems,
        ) {
            self.tenants.push(tenant);
        }
    }

    fn check_services(&mut self) {
        for (route, location) in self.routes.iter().zip(&self.route_locations) {
            if !route.service.is_empty() && !self.service_locations.contains_key(&route.service) {
                let found = format!("found {:?}, which is no service", route.service);
                let expected = format!(
                    "the name of one, or service(name = {:?}) as well",
                    route.service
                );
                self.problems
                    .push(location.problem("route.service".to_string(), found, expected));
            }
        }
    }

    fn check_patterns(&mut self) {
        for conflict in patterns::conflicts(&self.routes) {
            let (earlier, location) = (
                &self.routes[conflict.earlier],
                &self.route_locations[conflict.earlier],
            );
            let Location { file, line } = location;
            let found = format!(
                "found {:?} again, as in route {:?} at {file}:{line}",
                conflict.pattern, earlier.name
            );
            let expected = "another path or other methods, as both would take the same requests";
            let location = &self.route_locations[conflict.later];
            self.problems
                .push(location.problem("route.paths".to_string(), found, expected));
        }
    }

    fn finish(mut self, script: &Path, version: Version) -> Result<Snapshot, Problems> {
        let whole = Location {
            file: script.display().to_string().into(),
            line: 0,
        };
        let counts = [
            (RecordKind::Service, self.services.len()),
            (RecordKind::Route, self.routes.len()),
            (RecordKind::Tenant, self.tenants.len()),
        ];
        for (kind, count) in counts
            .into_iter()
            .filter(|(kind, count)| *count > kind.max_records())
        {
            let expected = format!(
                "{} at most; share the rest out to another fleet",
                kind.max_records()
            );
            self.problems.push(whole.problem(
                kind.to_string(),
                format!("{count} of them"),
                expected,
            ));
        }
        if !self.problems.is_empty() {
            return Err(Problems(in_order(self.problems)));
        }
        let services = self.services.into_iter().map(Record::from);
        let routes = self.routes.into_iter().map(Record::from);
        let tenants = self.tenants.into_iter().map(Record::from);
        Snapshot::from_records(version, services.chain(routes).chain(tenants)).map_err(|error| {
            let expected = "records that fit together";
            Problems(vec![whole.problem(
                "configuration".to_string(),
                error.to_string(),
                expected,
            )])
        })
    }
}

/// Whether a record is within its bounds and the first of its name.
fn accept(
    record: &Record,
    location: &Location,
    known: &mut HashMap<String, Location>,
    problems: &mut Vec<Problem>,
) -> bool {
    let (kind, name) = (record.kind(), record.name());
    if let Err(InvalidRecord {
        field,
        found,
        expected,
        ..
    }) = record.check()
    {
        // What the reader has refused is reported once.
        let field = format!("{kind}.{field}");
        let reported = |problem: &Problem| problem.line == location.line && problem.field == field;
        if !problems.iter().rev().take(MAX_PROBLEMS).any(reported) {
            problems.push(location.problem(field, found, expected));
        }
    }
    if name.is_empty() {
        return false;
    }
    if let Some(Location { file, line }) = known.get(name) {
        let found = format!("found {name:?} again, as at {file}:{line}");
        problems.push(location.problem(format!("{kind}.name"), found, "a name of its own"));
        return false;
    }
    known.insert(name.to_string(), location.clone());
    true
}

fn limits(reader: &mut Reader) -> TenantLimits {
    let requests_per_s = reader.maybe_whole("requests_per_s", 0..=MAX_REQUESTS_PER_S.into());
    let in_flight = reader.maybe_whole("in_flight", 0..=MAX_IN_FLIGHT.into());
    let narrow = |limit: Option<u64>| limit.and_then(|limit| u32::try_from(limit).ok());
    TenantLimits {
        requests_per_s: narrow(requests_per_s),
        in_flight: narrow(in_flight),
    }
}

fn route(reader: &mut Reader) -> Route {
    for (old, new) in RENAMED_FIELDS {
        if reader.moved(old) {
            reader.complain(old, "a name of the settings", format!("{new} = ..."));
        }
    }
    let name = reader.text("name");
    let service = reader.text("service");
    let methods = methods(reader);
    let paths = reader.texts("paths");
    for path in &paths {
        if let Some(expected) = patterns::complaint(path) {
            reader.complain("paths", format!("found {path:?}"), expected);
        }
    }
    Route {
        name,
        service,
        methods,
        paths,
        rules: rules(reader),
    }
}

fn methods(reader: &mut Reader) -> Vec<String> {
    let mut methods: Vec<String> = Vec::new();
    for method in reader.texts_or_none("methods") {
        let method = method.to_ascii_uppercase();
        if !method
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
        {
            reader.complain(
                "methods",
                format!("found {method:?}"),
                "methods such as \"GET\"",
            );
        }
        if methods.contains(&method) {
            reader.complain(
                "methods",
                format!("found {method:?} again"),
                "each method once",
            );
            continue;
        }
        methods.push(method);
    }
    methods
}

fn rules(reader: &mut Reader) -> RequestRules {
    let idempotency = reader
        .choice("kind", &IDEMPOTENCY)
        .unwrap_or(Idempotency::NonIdempotent);
    let dedup_window = match idempotency {
        Idempotency::Keyed => reader.span("idempotency_window"),
        _ => reader.span_or("idempotency_window", 0),
    };
    let latency_objective = reader.span_above_0("latency_target");
    let deadline = reader.span_above_0("deadline");
    if latency_objective > deadline && deadline > 0 {
        reader.complain(
            "latency_target",
            "longer than deadline",
            "a span within the deadline",
        );
    }
    let dedup_scope = maybe_choice(reader, "scope", &DEDUP_SCOPES).unwrap_or(DedupScope::All);
    let backup = maybe_choice(reader, "backup", &BACKUP_MODES).unwrap_or(BackupMode::Off);
    RequestRules {
        idempotency,
        dedup_scope,
        dedup_window,
        latency_objective,
        deadline,
        // Adding 0.0 turns -0.0 into it, whose digest would be another.
        priority_weight: reader.number_or("benefit", 0.0..=MAX_PRIORITY_WEIGHT, 1.0) + 0.0,
        late_weight: reader.number_or("late_benefit", 0.0..=1.0, 0.0) + 0.0,
        stream: reader.flag_or("stream", false),
        backup,
    }
}

fn maybe_choice<T: Copy>(
    reader: &mut Reader,
    field: &'static str,
    choices: &[(&str, T)],
) -> Option<T> {
    // Marks the field as known where it is absent.
    reader
        .moved(field)
        .then(|| reader.choice(field, choices))
        .flatten()
}

/// By file and line, bounded.
fn in_order(mut problems: Vec<Problem>) -> Vec<Problem> {
    problems.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    if problems.len() > MAX_PROBLEMS {
        let more = problems.len() - MAX_PROBLEMS;
        let last = Location {
            file: problems[MAX_PROBLEMS].file.as_str().into(),
            line: 0,
        };
        problems.truncate(MAX_PROBLEMS);
        problems.push(last.problem(
            "script".to_string(),
            format!("{more} more mistakes"),
            "none",
        ));
    }
    problems
}
