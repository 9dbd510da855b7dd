//! Writes the settings script of the sidecar from the settings in the trace.

use crate::pod::UNPROCESSED_HEADER;
use havenplank::interface::RouteClass;
use havenplank_settings::keywords::{self, keyword_of};
use havenplank_sidecar::engine::EngineSettings;
use std::fmt::Write;
use std::net::SocketAddr;

/// The settings script for a sidecar with these recorded settings.
pub(super) fn settings_script(
    settings: &EngineSettings,
    discovery: SocketAddr,
    control_plane: SocketAddr,
) -> String {
    let mut out = String::new();
    write_sidecar(&mut out, settings);
    write_route_classes(&mut out, settings);
    write_limits(&mut out, settings);
    write_pods(&mut out, settings);
    write_exposure(&mut out, settings);
    write_votes(&mut out, settings);
    write_services(&mut out, settings, discovery, control_plane);
    out
}

/// A Starlark boolean.
fn flag(on: bool) -> &'static str {
    if on {
        "True"
    } else {
        "False"
    }
}

/// A further argument with a list of strings, left out when the list is empty.
fn texts(name: &str, all: &[String]) -> String {
    if all.is_empty() {
        return String::new();
    }
    format!(", {name} = {all:?}")
}

fn write_sidecar(out: &mut String, settings: &EngineSettings) {
    let EngineSettings {
        name,
        position,
        zones,
        ..
    } = settings;
    let zone = zones.get(position.zone).cloned().unwrap_or_default();
    let _ = writeln!(
        out,
        "sidecar(name = {name:?}, instances = {}, rank = {}, zones = {zones:?}, zone = {zone:?}, \
         listen = \"127.0.0.1:0\", admin = \"127.0.0.1:0\"{}{})",
        position.instances,
        position.rank,
        texts("machines", &settings.machines),
        texts("customers", &settings.tenants),
    );
}

fn write_route_classes(out: &mut String, settings: &EngineSettings) {
    for (n, (name, rules)) in settings.route_classes.iter().enumerate() {
        let RouteClass {
            idempotency,
            dedup_scope,
            dedup_window,
            latency_objective,
            client_timeout,
            ..
        } = rules;
        let _ = writeln!(
            out,
            "path_group(name = {name:?}, paths = [\"/{n}\"], kind = {:?}, scope = {:?}, \
             repeat_window = \"{dedup_window}ns\", target_latency = \"{}ns\", client_timeout = \"{client_timeout}ns\", \
             benefit = {:?}, late_benefit = {:?}, stream = {})",
            keyword_of(&keywords::IDEMPOTENCY, *idempotency),
            keyword_of(&keywords::DEDUP_SCOPE, *dedup_scope),
            latency_objective.min(client_timeout),
            rules.priority_weight,
            rules.late_weight,
            flag(rules.stream),
        );
    }
}

fn write_limits(out: &mut String, settings: &EngineSettings) {
    let attempts = &settings.attempts;
    let _ = writeln!(
        out,
        "headers(timeout = \"grpc-timeout\", key = \"x-key\", customer = \"x-customer\", cost_hint = \"x-cost\")\n\
         limits(forwards = {}, copies = {}, cancel = {}, come_back = \"{}ns\", cross_zone_price = {:?}, \
         answer_margin = \"0ns\")",
        attempts.max_attempts,
        flag(attempts.hedging),
        flag(attempts.may_cancel),
        attempts.max_retry_after,
        attempts.cross_zone_cost,
    );
}

fn write_pods(out: &mut String, settings: &EngineSettings) {
    let pods = &settings.pods;
    let _ = writeln!(
        out,
        "pods(drain_grace = \"{}ns\", cold_share = {:?}, warm_up = \"{}ns\", fall_multiple = {:?}, \
         fall_window = \"{}ns\", probes = {}, unseen_header = {UNPROCESSED_HEADER:?}, load_reports = True, connections = 256)",
        pods.drain_grace,
        pods.initial_capacity,
        pods.warm_up,
        pods.overload_multiple,
        pods.overload_window,
        flag(pods.health_checks),
    );
}

fn write_exposure(out: &mut String, settings: &EngineSettings) {
    let exposure = &settings.exposure;
    let _ = writeln!(
        out,
        "exposure(window = \"{}ns\", free = {:?}, per_group = {}, guarded_stages = {}, one_way = {}, beside = {}, \
         caps = {:?})",
        exposure.window,
        exposure.free_attempts,
        flag(exposure.per_class),
        exposure.idempotent_only_stages,
        flag(exposure.sticky_keys),
        flag(exposure.blue_green),
        exposure.caps,
    );
}

fn write_votes(out: &mut String, settings: &EngineSettings) {
    let votes = &settings.votes;
    let _ = writeln!(
        out,
        "votes(control = {:?}, on_needs = {}, back_needs = {}, life = \"{}ns\", call_time_out = \"{}ns\", calls_per_s = {:?}, \
         step = \"{}ns\")",
        keyword_of(&keywords::RELEASE_CONTROL, votes.control),
        votes.advance_quorum,
        votes.rollback_quorum,
        votes.ttl,
        votes.call_timeout,
        votes.calls_per_second,
        votes.stage_duration,
    );
}

fn write_services(
    out: &mut String,
    settings: &EngineSettings,
    discovery: SocketAddr,
    control_plane: SocketAddr,
) {
    let list = &settings.endpoint_list;
    let _ = writeln!(
        out,
        "nodes(address = \"{discovery}\", must_ask = {}, ask_within = \"{}ns\")\ndesk(address = \"{control_plane}\")",
        flag(list.must_watch),
        list.max_watch_retry_delay,
    );
}
