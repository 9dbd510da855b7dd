//! `path_group(...)`: a route class and the requests that belong to it.

use super::fields::read_optional_choice;
use crate::keywords;
use crate::reader::FieldReader;
use crate::site::{BackupMode, RouteClassSettings};
use havenplank::interface::{DedupScope, Idempotency, Nanos, RouteClass};

/// The largest priority weight that the settings accept.
const MAX_PRIORITY_WEIGHT: f64 = 1e9;

pub(super) fn read(reader: &mut FieldReader) -> RouteClassSettings {
    let name = reader.text("name");
    let methods = reader.text_list_or_empty("methods");
    let paths = read_paths(reader);
    let rules = read_rules(reader);
    let backup = read_backup(reader, rules.idempotency);
    RouteClassSettings {
        name,
        methods: methods
            .iter()
            .map(|method| method.to_ascii_uppercase())
            .collect(),
        paths,
        rules,
        backup,
    }
}

fn read_paths(reader: &mut FieldReader) -> Vec<String> {
    let paths = reader.text_list("paths");
    for path in paths.iter().filter(|path| !path.starts_with('/')) {
        reader.report(
            "paths",
            format!("found {path:?}"),
            "paths that start with /",
        );
    }
    paths
}

fn read_rules(reader: &mut FieldReader) -> RouteClass {
    let idempotency = reader
        .choice("kind", &keywords::IDEMPOTENCY)
        .unwrap_or(Idempotency::NonIdempotent);
    let dedup_scope = read_optional_choice(reader, "scope", &keywords::DEDUP_SCOPE);
    let dedup_window = match idempotency {
        Idempotency::Keyed => reader.duration("repeat_window"),
        _ => reader.duration_or("repeat_window", 0),
    };
    let latency_objective = reader.positive_duration("target_latency");
    let client_timeout = reader.positive_duration("client_timeout");
    check_objective(reader, latency_objective, client_timeout);
    RouteClass {
        idempotency,
        dedup_scope: dedup_scope.unwrap_or(DedupScope::All),
        dedup_window,
        latency_objective: latency_objective.max(1),
        client_timeout,
        priority_weight: reader.number_or("benefit", 0.0..=MAX_PRIORITY_WEIGHT, 1.0),
        late_weight: reader.number_or("late_benefit", 0.0..=1.0, 0.0),
        stream: reader.flag_or("stream", false),
    }
}

fn check_objective(reader: &mut FieldReader, latency_objective: Nanos, client_timeout: Nanos) {
    if latency_objective > client_timeout && client_timeout > 0 {
        let expected = "a duration of at most client_timeout";
        reader.report("target_latency", "longer than client_timeout", expected);
    }
}

fn read_backup(reader: &mut FieldReader, idempotency: Idempotency) -> BackupMode {
    let backup = read_optional_choice(reader, "guard", &keywords::BACKUP_MODE);
    let backup = backup.unwrap_or(BackupMode::Off);
    if backup == BackupMode::InBackground && idempotency != Idempotency::Idempotent {
        let expected =
            "\"before-forward\" unless kind is \"repeatable\", as a repeat could do harm";
        reader.report("guard", "found \"behind\"", expected);
    }
    backup
}
