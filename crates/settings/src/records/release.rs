//! `exposure(...)` and `votes(...)`: the share of attempts that a build on trial may get, and how the control plane
//! counts votes.

use super::fields::SECOND;
use crate::keywords;
use crate::reader::FieldReader;
use havenplank::interface::{ExposureSettings, ReleaseControl, VoteSettings};

/// The largest quorum that the settings accept.
const MAX_QUORUM: u64 = 1_000_000;

/// Reads the exposure settings. Caps per route class only apply if there are route classes.
pub(super) fn read_exposure(reader: &mut FieldReader, has_classes: bool) -> ExposureSettings {
    let caps = reader.fractions("caps");
    let window = reader.positive_duration("window");
    ExposureSettings {
        window,
        free_attempts: reader.number_or("free", 0.0..=1e6, 0.0),
        per_class: reader.flag_or("per_group", false) && has_classes,
        idempotent_only_stages: reader.integer_or("guarded_stages", 0..=caps.len() as u64, 0)
            as usize,
        sticky_keys: reader.flag_or("one_way", false),
        blue_green: reader.flag_or("beside", true),
        caps,
    }
}

/// Reads the vote settings. A quorum may not exceed the number of sidecars.
pub(super) fn read_votes(reader: &mut FieldReader, instances: usize) -> VoteSettings {
    let control = reader
        .choice("control", &keywords::RELEASE_CONTROL)
        .unwrap_or(ReleaseControl::AnyVote);
    let rollback_quorum = reader.integer_or("back_needs", 1..=MAX_QUORUM, 1) as usize;
    let advance_quorum = reader.integer_or("on_needs", 0..=MAX_QUORUM, 0) as usize;
    check_quorum(reader, "on_needs", advance_quorum, instances);
    check_quorum(reader, "back_needs", rollback_quorum, instances);
    VoteSettings {
        control,
        advance_quorum,
        rollback_quorum,
        ttl: reader.duration("life"),
        call_timeout: reader.duration_or("call_time_out", SECOND),
        calls_per_second: reader.number_or("calls_per_s", 0.0..=1e6, 0.0),
        stage_duration: match control {
            ReleaseControl::Timed => reader.duration("step"),
            _ => reader.duration_or("step", 0),
        },
    }
}

fn check_quorum(reader: &mut FieldReader, field: &'static str, quorum: usize, instances: usize) {
    if quorum > instances.max(1) {
        let expected = format!("at most {instances}, the number of instances");
        reader.report(field, format!("found {quorum}"), expected);
    }
}
