//! Compiles an operator's script into a configuration, or reports every mistake in it.

use crate::patterns;
use crate::record::{
    BackupMode, InvalidRecord, Record, RecordKind, RequestRules, Route, Service, Tenant,
    TenantLimits, MAX_IN_FLIGHT, MAX_PRIORITY_WEIGHT, MAX_REQUESTS_PER_S,
};
use crate::snapshot::Snapshot;
use crate::tenant_file;
use crate::version::Version;
use havenplank::interface::{DedupScope, Idempotency};
use havenplank_settings::{
    run_configuration_script, FieldReader, Given, Problem, Problems, RecordCall,
};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Maximum number of mistakes reported for one script; one further entry says how many more there are.
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
    ("behind", BackupMode::InBackground),
];
/// Fields that `path_group` in the settings and `route` name differently: the name in the settings, then in a route.
const RENAMED_FIELDS: [(&str, &str); 4] = [
    ("target_latency", "latency_target"),
    ("client_timeout", "deadline"),
    ("repeat_window", "idempotency_window"),
    ("guard", "backup"),
];

/// Runs the script, checks the records that it declares and returns a snapshot of them with the given version.
///
/// # Errors
/// Every mistake found, sorted by file and line; for a script that does not run to its end, only the mistake that
/// stopped it.
pub fn compile(script: &Path, given: &Given, version: Version) -> Result<Snapshot, Problems> {
    let calls = run_configuration_script(script, given)?;
    let folder = script.parent().unwrap_or(Path::new("")).to_path_buf();
    let mut compiler = Compiler {
        folder,
        ..Compiler::default()
    };
    calls.iter().for_each(|call| compiler.read_call(call));
    compiler.check_services();
    compiler.check_patterns();
    compiler.finish(script, version)
}

/// The file and line in which the operator declares a record.
#[derive(Clone, Debug)]
struct Location {
    file: Rc<str>,
    line: usize,
}

impl Location {
    fn of(call: &RecordCall) -> Location {
        Location {
            file: call.file.as_str().into(),
            line: call.line,
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

/// The records that a script declares, and the mistakes found in it.
#[derive(Default)]
struct Compiler {
    folder: PathBuf,
    problems: Vec<Problem>,
    services: Vec<Service>,
    service_locations: HashMap<String, Location>,
    routes: Vec<Route>,
    route_locations: Vec<Location>,
    route_locations_by_name: HashMap<String, Location>,
    tenants: Vec<Tenant>,
    tenant_locations: HashMap<String, Location>,
}

impl Compiler {
    fn read_call(&mut self, call: &RecordCall) {
        match call.kind {
            "service" => self.read_service(call),
            "route" => self.read_route(call),
            "tenant" => self.read_tenant(call),
            "tenants" => self.read_tenants(call),
            settings => self.reject_setting(call, settings),
        }
    }

    fn reject_setting(&mut self, call: &RecordCall, kind: &str) {
        let expected = match kind {
            "path_group" => {
                "route(name = ..., service = ..., ...), which declares a route class that may change"
                    .to_string()
            }
            _ => format!("{kind}(...) in the settings of each sidecar, which are read when it starts"),
        };
        let found = "a setting that cannot change while a process runs";
        self.problems
            .push(Location::of(call).problem(kind.to_string(), found, expected));
    }

    fn read_service(&mut self, call: &RecordCall) {
        let mut reader = FieldReader::new(call, &mut self.problems);
        let service = Service {
            name: reader.text("name"),
            zones: reader.text_list_or_empty("zones"),
        };
        reader.finish();
        let location = Location::of(call);
        let record = Record::Service(service.clone());
        if register(
            &record,
            &location,
            &mut self.service_locations,
            &mut self.problems,
        ) {
            self.services.push(service);
        }
    }

    fn read_route(&mut self, call: &RecordCall) {
        let mut reader = FieldReader::new(call, &mut self.problems);
        let route = read_route_fields(&mut reader);
        reader.finish();
        let location = Location::of(call);
        let record = Record::from(route.clone());
        if register(
            &record,
            &location,
            &mut self.route_locations_by_name,
            &mut self.problems,
        ) {
            self.routes.push(route);
            self.route_locations.push(location);
        }
    }

    fn read_tenant(&mut self, call: &RecordCall) {
        let mut reader = FieldReader::new(call, &mut self.problems);
        let tenant = Tenant {
            name: reader.text("name"),
            limits: read_limits(&mut reader),
        };
        reader.finish();
        self.add_tenant(tenant, &Location::of(call));
    }

    /// Reads many tenants with the same limits, or the tenants of a file.
    fn read_tenants(&mut self, call: &RecordCall) {
        let mut reader = FieldReader::new(call, &mut self.problems);
        let names = reader.text_list_or_empty("names");
        let file = reader.optional_text("file");
        let limits = read_limits(&mut reader);
        if reader.has("names") == reader.has("file") {
            reader.report("names", "both names and file, or neither", "one of the two");
        }
        if file
            .as_ref()
            .is_some_and(|file| !tenant_file::is_within_script_folder(file))
        {
            let found = format!("found {:?}", file.as_deref().unwrap_or_default());
            reader.report(
                "file",
                found,
                "a file in the folder of the script, with no .. and no leading /",
            );
            return reader.finish();
        }
        reader.finish();
        let location = Location::of(call);
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
        let shown_path: Rc<str> = path.display().to_string().into();
        for parsed in tenant_file::parse(&text, limits) {
            match parsed {
                Ok((line, tenant)) => self.add_tenant(
                    tenant,
                    &Location {
                        file: shown_path.clone(),
                        line,
                    },
                ),
                Err(error) => {
                    let location = Location {
                        file: shown_path.clone(),
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
        if register(
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
                    "the name of a declared service, or service(name = {:?}) as well",
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
            let expected = "another path or other methods, as both would match the same requests";
            let location = &self.route_locations[conflict.later];
            self.problems
                .push(location.problem("route.paths".to_string(), found, expected));
        }
    }

    fn finish(mut self, script: &Path, version: Version) -> Result<Snapshot, Problems> {
        // Line 0 is the script as a whole.
        let script_location = Location {
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
                "at most {}; move the others to another fleet",
                kind.max_records()
            );
            self.problems.push(script_location.problem(
                kind.to_string(),
                format!("{count} records"),
                expected,
            ));
        }
        if !self.problems.is_empty() {
            return Err(Problems(sort_and_truncate(self.problems)));
        }
        let services = self.services.into_iter().map(Record::from);
        let routes = self.routes.into_iter().map(Record::from);
        let tenants = self.tenants.into_iter().map(Record::from);
        Snapshot::from_records(version, services.chain(routes).chain(tenants)).map_err(|error| {
            let expected = "records that form a valid configuration";
            Problems(vec![script_location.problem(
                "configuration".to_string(),
                error.to_string(),
                expected,
            )])
        })
    }
}

/// Reports fields out of their bounds, and a name that an earlier record of the kind has. Returns whether the name is
/// new and not empty.
fn register(
    record: &Record,
    location: &Location,
    registered: &mut HashMap<String, Location>,
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
        // Skips a field that the reader has reported already.
        let field = format!("{kind}.{field}");
        let reported = |problem: &Problem| problem.line == location.line && problem.field == field;
        if !problems.iter().rev().take(MAX_PROBLEMS).any(reported) {
            problems.push(location.problem(field, found, expected));
        }
    }
    if name.is_empty() {
        return false;
    }
    if let Some(Location { file, line }) = registered.get(name) {
        let found = format!("found {name:?} again, as at {file}:{line}");
        problems.push(location.problem(format!("{kind}.name"), found, "a unique name"));
        return false;
    }
    registered.insert(name.to_string(), location.clone());
    true
}

fn read_limits(reader: &mut FieldReader) -> TenantLimits {
    let requests_per_s = reader.optional_integer("requests_per_s", 0..=MAX_REQUESTS_PER_S.into());
    let in_flight = reader.optional_integer("in_flight", 0..=MAX_IN_FLIGHT.into());
    let to_u32 = |limit: Option<u64>| limit.and_then(|limit| u32::try_from(limit).ok());
    TenantLimits {
        requests_per_s: to_u32(requests_per_s),
        in_flight: to_u32(in_flight),
    }
}

fn read_route_fields(reader: &mut FieldReader) -> Route {
    for (settings_name, route_name) in RENAMED_FIELDS {
        if reader.accept(settings_name) {
            reader.report(
                settings_name,
                "the name of this field in the settings",
                format!("{route_name} = ..."),
            );
        }
    }
    let name = reader.text("name");
    let service = reader.text("service");
    let methods = read_methods(reader);
    let paths = reader.text_list("paths");
    for path in &paths {
        if let Some(expected) = patterns::expected_pattern(path) {
            reader.report("paths", format!("found {path:?}"), expected);
        }
    }
    Route {
        name,
        service,
        methods,
        paths,
        rules: read_rules(reader),
    }
}

fn read_methods(reader: &mut FieldReader) -> Vec<String> {
    let mut methods: Vec<String> = Vec::new();
    for method in reader.text_list_or_empty("methods") {
        let method = method.to_ascii_uppercase();
        if !method
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
        {
            reader.report(
                "methods",
                format!("found {method:?}"),
                "methods such as \"GET\"",
            );
        }
        if methods.contains(&method) {
            reader.report(
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

fn read_rules(reader: &mut FieldReader) -> RequestRules {
    let idempotency = reader
        .choice("kind", &IDEMPOTENCY)
        .unwrap_or(Idempotency::NonIdempotent);
    let dedup_window = match idempotency {
        Idempotency::Keyed => reader.duration("idempotency_window"),
        _ => reader.duration_or("idempotency_window", 0),
    };
    let latency_objective = reader.positive_duration("latency_target");
    let deadline = reader.positive_duration("deadline");
    if latency_objective > deadline && deadline > 0 {
        reader.report(
            "latency_target",
            "longer than the deadline",
            "a duration within the deadline",
        );
    }
    let dedup_scope = optional_choice(reader, "scope", &DEDUP_SCOPES).unwrap_or(DedupScope::All);
    let backup = optional_choice(reader, "backup", &BACKUP_MODES).unwrap_or(BackupMode::Off);
    RequestRules {
        idempotency,
        dedup_scope,
        dedup_window,
        latency_objective,
        deadline,
        // Adding 0.0 turns -0.0 into 0.0, because the two have different digests.
        priority_weight: reader.number_or("benefit", 0.0..=MAX_PRIORITY_WEIGHT, 1.0) + 0.0,
        late_weight: reader.number_or("late_benefit", 0.0..=1.0, 0.0) + 0.0,
        stream: reader.flag_or("stream", false),
        backup,
    }
}

fn optional_choice<T: Copy>(
    reader: &mut FieldReader,
    field: &'static str,
    choices: &[(&str, T)],
) -> Option<T> {
    // Marks the field as known even if it is absent.
    reader
        .accept(field)
        .then(|| reader.choice(field, choices))
        .flatten()
}

/// Sorts mistakes by file and line, and replaces those past [`MAX_PROBLEMS`] by an entry with their number.
fn sort_and_truncate(mut problems: Vec<Problem>) -> Vec<Problem> {
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
