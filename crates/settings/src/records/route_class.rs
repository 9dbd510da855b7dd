//! `path_group(...)`: a route class and the requests that belong to it.

use super::fields::read_maybe_choice;
use crate::reader::Reader;
use crate::site::{BackupMode, RouteClassSettings};
use crate::words;
use havenplank::interface::{DedupScope, Idempotency, Nanos, RouteClass};

/// The largest priority weight of a served request.
const MAX_PRIORITY_WEIGHT: f64 = 1e9;

pub(super) fn read(reader: &mut Reader) -> RouteClassSettings {
    let name = reader.text("name");
    let methods = reader.texts_or_none("methods");
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

fn read_paths(reader: &mut Reader) -> Vec<String> {
    let paths = reader.texts("paths");
    for path in paths.iter().filter(|path| !path.starts_with('/')) {
        reader.complain(
            "paths",
            format!("found {path:?}"),
            "paths that start with /",
        );
    }
    paths
}

fn read_rules(reader: &mut Reader) -> RouteClass {
    let idempotency = reader
        .choice("kind", &words::IDEMPOTENCY)
        .unwrap_or(Idempotency::NonIdempotent);
    let dedup_scope = read_maybe_choice(reader, "scope", &words::DEDUP_SCOPE);
    let dedup_window = match idempotency {
        Idempotency::Keyed => reader.span("repeat_window"),
        _ => reader.span_or("repeat_window", 0),
    };
    let latency_objective = reader.span_above_0("target_latency");
    let client_timeout = reader.span_above_0("client_timeout");
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

fn check_objective(reader: &mut Reader, latency_objective: Nanos, client_timeout: Nanos) {
    if latency_objective > client_timeout && client_timeout > 0 {
        let expected = "a span that clients still wait for";
        reader.complain("target_latency", "longer than client_timeout", expected);
    }
}

fn read_backup(reader: &mut Reader, idempotency: Idempotency) -> BackupMode {
    let backup = read_maybe_choice(reader, "guard", &words::BACKUP_MODE);
    let backup = backup.unwrap_or(BackupMode::Off);
    if backup == BackupMode::Behind && idempotency != Idempotency::Idempotent {
        let expected = "\"before-forward\", as a repeat could do harm";
        reader.complain("guard", "found \"behind\"", expected);
    }
    backup
}
