//! Reads the rows of a settings script into the records of a [`Site`].

use crate::reader::{Problem, Reader, Row};
use crate::site::{
    Configuration, Door, Feed, Fellowship, Group, Guard, Headers, Links, Site, Takeover, Trace,
};
use crate::words;
use havenplank::interface::*;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const KIB: u64 = 1024;
/// The zone that distributors of a configuration tell their peers; no sidecar is in it.
pub const DISTRIBUTOR_ZONE: &str = "distributor";

fn address(reader: &mut Reader, field: &'static str) -> SocketAddr {
    let parsed = reader.parsed(field, "an address with a port, such as \"127.0.0.1:7000\"");
    parsed.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn header(reader: &mut Reader, field: &'static str, absent: &str) -> String {
    let Some(name) = reader.maybe_text(field) else {
        return absent.to_string();
    };
    let token = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    if !name.chars().all(token) {
        reader.complain(field, format!("found {name:?}"), "a header name");
    }
    name.to_ascii_lowercase()
}

fn feed(reader: &mut Reader) -> Feed {
    let address = address(reader, "address");
    Feed {
        address,
        line_bytes: reader.size_or("line_bytes", 128..=1 << 20, 4 * KIB) as usize,
    }
}

fn group(r: &mut Reader) -> Group {
    let name = r.text("name");
    let methods = r
        .texts_or_none("methods")
        .iter()
        .map(|m| m.to_ascii_uppercase())
        .collect();
    let paths = r.texts("paths");
    for path in paths.iter().filter(|path| !path.starts_with('/')) {
        r.complain(
            "paths",
            format!("found {path:?}"),
            "paths that start with /",
        );
    }
    let kind = r
        .choice("kind", &words::IDEMPOTENCY)
        .unwrap_or(Idempotency::NonIdempotent);
    let scope = if r.has("scope") {
        r.choice("scope", &words::DEDUP_SCOPE)
    } else {
        r.maybe_text("scope").and(None)
    };
    let dedup_window = if kind == Idempotency::Keyed {
        r.span("repeat_window")
    } else {
        r.span_or("repeat_window", 0)
    };
    let (latency_objective, client_timeout) = (
        r.span_above_0("target_latency"),
        r.span_above_0("client_timeout"),
    );
    if latency_objective > client_timeout && client_timeout > 0 {
        r.complain(
            "target_latency",
            "longer than client_timeout",
            "a span that clients still wait for",
        );
    }
    let rules = RouteClass {
        idempotency: kind,
        dedup_scope: scope.unwrap_or(DedupScope::All),
        dedup_window,
        latency_objective: latency_objective.max(1),
        client_timeout,
        priority_weight: r.number_or("benefit", 0.0..=1e9, 1.0),
        late_weight: r.number_or("late_benefit", 0.0..=1.0, 0.0),
        stream: r.flag_or("stream", false),
    };
    let guards = [
        ("off", Guard::Off),
        ("before-forward", Guard::BeforeForward),
        ("behind", Guard::Behind),
    ];
    let guard = if r.has("guard") {
        r.choice("guard", &guards)
    } else {
        r.maybe_text("guard").and(None)
    };
    let guard = guard.unwrap_or(Guard::Off);
    if guard == Guard::Behind && kind != Idempotency::Idempotent {
        r.complain(
            "guard",
            "found \"behind\"",
            "\"before-forward\", as a repeat could do harm",
        );
    }
    Group {
        name,
        methods,
        paths,
        rules,
        guard,
    }
}

fn fellowship(r: &mut Reader) -> Fellowship {
    let listen = address(r, "listen");
    let expected = "addresses with a port, such as \"127.0.0.1:7002\"";
    let parse = |r: &mut Reader, field: &'static str, text: &str| {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            r.complain(field, format!("found {text:?}"), expected);
        }
        parsed
    };
    let meet = r.texts_or_none("meet");
    let meet = meet
        .iter()
        .filter_map(|text| parse(r, "meet", text))
        .collect();
    let advertise = r
        .maybe_text("advertise")
        .and_then(|text| parse(r, "advertise", &text));
    let keys = PathBuf::from(r.text("keys"));
    let period = r.span_or("period", 500 * MS);
    bounded_span(r, "period", period);
    Fellowship {
        listen,
        advertise,
        meet,
        keys,
        period,
    }
}

fn bounded_span(r: &mut Reader, field: &'static str, span: Nanos) {
    if !(50 * MS..=60 * S).contains(&span) {
        r.complain(
            field,
            format!("found {}ms", span / MS),
            "a span from 50ms to 60s",
        );
    }
}

fn takeover(r: &mut Reader) -> Takeover {
    // What the fellowship's own call has now, as more than work in hand hangs on it.
    for moved in ["listen", "advertise", "meet", "keys", "period"] {
        if r.moved(moved) {
            r.complain(
                moved,
                "found here",
                format!("it in fellowship({moved} = ...), beside takeover(...)"),
            );
        }
    }
    let takeover = Takeover {
        guardians: r.whole_or("guardians", 1..=7, 3) as usize,
        lease: r.span_or("lease", 600 * MS),
        keep: r.span_or("keep", 5 * S),
        held: r.whole_or("held", 1..=1_000_000, 20_000) as usize,
        kept: r.whole_or("kept", 1..=1_000_000, 60_000) as usize,
        kept_bytes: r.size_or("kept_bytes", KIB..=1 << 40, 256 << 20) as usize,
    };
    bounded_span(r, "lease", takeover.lease);
    takeover
}

fn configuration(r: &mut Reader) -> Configuration {
    Configuration {
        keep: PathBuf::from(r.text("keep")),
        fetch_bytes_per_s: r.size_or("fetch_bytes_per_s", KIB..=1 << 30, 8_000),
        serve_bytes_per_s: r.size_or("serve_bytes_per_s", KIB..=1 << 30, 8_000),
    }
}

/// What the script states where a configuration brings it is refused by line, with its new place.
fn refuse_static(rows: &[Row], problems: &mut Vec<Problem>) {
    const MOVED: [(&str, Option<&str>, &str); 3] = [
        (
            "path_group",
            None,
            "route(...) in the script of `havenplank distribute`, as configuration(...) brings routes",
        ),
        (
            "sidecar",
            Some("customers"),
            "tenant(...) in the script of `havenplank distribute`, as configuration(...) brings tenants",
        ),
        ("trace", Some("folder"), "no trace beside configuration(...), as a trace holds one set of routes"),
    ];
    for (kind, field, expected) in MOVED {
        let stands = |row: &&Row| {
            row.kind == kind && field.is_none_or(|field| row.fields.contains_key(field))
        };
        for row in rows.iter().filter(stands) {
            let field = field.map_or(kind.to_string(), |field| format!("{kind}.{field}"));
            let (file, line) = (row.file.clone(), row.line);
            let (found, expected) = (
                "found beside configuration(...)".to_string(),
                expected.to_string(),
            );
            problems.push(Problem {
                file,
                line,
                field,
                found,
                expected,
            });
        }
    }
}

fn limits(r: &mut Reader) -> (AttemptSettings, Door) {
    let forwards = AttemptSettings {
        max_attempts: r.whole_or("forwards", 1..=16, 4) as u32,
        hedging: r.flag_or("copies", false),
        may_cancel: r.flag_or("cancel", true),
        max_retry_after: r.span_or("come_back", S),
        cross_zone_cost: r.number_or("cross_zone_price", 0.0..=1.0, 0.0),
    };
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let door = Door {
        listen: nowhere,
        admin: nowhere,
        head_bytes: r.size_or("head_bytes", 8 * KIB..=KIB * KIB, 16 * KIB) as usize,
        head_time: r.span_or("head_time", 5 * S),
        body_bytes: r.size_or("body_bytes", 0..=64 * KIB * KIB, 256 * KIB) as usize,
        body_time: r.span_or("body_time", 5 * S),
        connections: r.whole_or("connections", 1..=1_000_000, 16_384) as usize,
        hits: r.whole_or("hits", 1..=1_000_000, 16_384) as usize,
        answer_margin: r.span_or("answer_margin", 20 * MS),
        answer_bytes: r.size_or("answer_bytes", 0..=64 * KIB * KIB, 64 * KIB) as usize,
    };
    (forwards, door)
}

fn pods(r: &mut Reader) -> (PodSettings, Links) {
    let rules = PodSettings {
        drain_grace: r.span("drain_grace"),
        initial_capacity: r.number("cold_share", 0.001..=1.0),
        warm_up: r.span("warm_up"),
        overload_multiple: r.number("fall_multiple", 1.0..=1000.0),
        overload_window: r.span("fall_window"),
        health_checks: r.flag_or("probes", false),
    };
    let links = Links {
        connect_time: r.span_or("connect_time", 250 * MS),
        per_pod: r.whole_or("connections", 1..=65_536, 64) as usize,
        idle: r.span_or("idle", 30 * S),
        unseen_status: r.whole_or("unseen_status", 400..=599, 503) as u16,
        unseen_header: header(r, "unseen_header", "x-never-ran"),
        load: r.flag_or("load_reports", false),
        probe_path: r
            .maybe_text("probe_path")
            .unwrap_or_else(|| "/".to_string()),
    };
    (rules, links)
}

fn exposure(r: &mut Reader, has_groups: bool) -> ExposureSettings {
    let caps = r.shares("caps");
    let window = r.span_above_0("window");
    ExposureSettings {
        window,
        free_attempts: r.number_or("free", 0.0..=1e6, 0.0),
        per_class: r.flag_or("per_group", false) && has_groups,
        idempotent_only_stages: r.whole_or("guarded_stages", 0..=caps.len() as u64, 0) as usize,
        sticky_keys: r.flag_or("one_way", false),
        blue_green: r.flag_or("beside", true),
        caps,
    }
}

fn votes(r: &mut Reader, instances: usize) -> VoteSettings {
    let control = r
        .choice("control", &words::RELEASE_CONTROL)
        .unwrap_or(ReleaseControl::AnyVote);
    let rollback_quorum = r.whole_or("back_needs", 1..=1_000_000, 1) as usize;
    let advance_quorum = r.whole_or("on_needs", 0..=1_000_000, 0) as usize;
    if advance_quorum > instances.max(1) {
        r.complain(
            "on_needs",
            format!("found {advance_quorum}"),
            format!("{instances} at most, the instances"),
        );
    }
    if rollback_quorum > instances.max(1) {
        r.complain(
            "back_needs",
            format!("found {rollback_quorum}"),
            format!("{instances} at most, the instances"),
        );
    }
    VoteSettings {
        control,
        advance_quorum,
        rollback_quorum,
        ttl: r.span("life"),
        call_timeout: r.span_or("call_time_out", S),
        calls_per_second: r.number_or("calls_per_s", 0.0..=1e6, 0.0),
        stage_duration: if control == ReleaseControl::Timed {
            r.span("step")
        } else {
            r.span_or("step", 0)
        },
    }
}

fn list(r: &mut Reader) -> EndpointListSettings {
    let poll_only = r.flag_or("must_ask", false);
    EndpointListSettings {
        poll_only,
        poll_interval: if poll_only {
            r.span("ask_within")
        } else {
            r.span_or("ask_within", 0)
        },
    }
}

/// `None` where no folder is told: nothing is recorded.
fn trace(r: &mut Reader) -> Option<Trace> {
    let folder = r.maybe_text("folder").map(PathBuf::from);
    let trace = Trace {
        folder: folder.clone().unwrap_or_default(),
        share: r.number_or("share", 0.0..=1.0, 1.0),
        queue_bytes: r.size_or("queue_bytes", 256 * KIB..=1 << 30, 8 << 20) as usize,
        file_bytes: r.size_or("file_bytes", 64 * KIB..=1 << 40, 256 << 20),
        file_age: if r.has("file_age") {
            r.span_above_0("file_age")
        } else {
            r.span_or("file_age", 3_600 * S)
        },
        total_bytes: r.size_or("total_bytes", 64 * KIB..=1 << 44, 4 << 30),
    };
    if trace.total_bytes < trace.file_bytes {
        r.complain(
            "total_bytes",
            format!("found {}", trace.total_bytes),
            "file_bytes at least",
        );
    }
    folder.map(|_| trace)
}

/// Turns the rows of a script into a site. `None` only where there are problems.
pub(crate) fn site(file: &str, rows: &[Row], problems: &mut Vec<Problem>) -> Option<Site> {
    const ONCE: [&str; 12] = [
        "sidecar",
        "headers",
        "limits",
        "pods",
        "exposure",
        "votes",
        "nodes",
        "desk",
        "trace",
        "fellowship",
        "takeover",
        "configuration",
    ];
    const NEEDED: [&str; 6] = ["sidecar", "pods", "exposure", "votes", "nodes", "desk"];
    for kind in ONCE {
        for row in rows.iter().filter(|row| row.kind == kind).skip(1) {
            let (found, expected) = ("a second one".to_string(), "it once".to_string());
            let (file, field) = (row.file.clone(), kind.to_string());
            problems.push(Problem {
                file,
                line: row.line,
                field,
                found,
                expected,
            });
        }
    }
    let missing = |kind: &str, problems: &mut Vec<Problem>| {
        let (found, expected) = ("missing".to_string(), format!("a call of {kind}(...)"));
        problems.push(Problem {
            file: file.to_string(),
            line: 0,
            field: kind.to_string(),
            found,
            expected,
        });
    };
    let is_configured = rows.iter().any(|row| row.kind == "configuration");
    if is_configured {
        refuse_static(rows, problems);
    }
    let routes = if is_configured {
        None
    } else {
        Some("path_group")
    };
    for kind in NEEDED.iter().copied().chain(routes) {
        if !rows.iter().any(|row| row.kind == kind) {
            missing(kind, problems);
        }
    }
    let empty = |kind| Row {
        kind,
        file: file.to_string(),
        line: 0,
        fields: Default::default(),
    };
    let mut read = |kind: &'static str, with: &mut dyn FnMut(&mut Reader)| {
        let blank = empty(kind);
        let row = rows.iter().find(|row| row.kind == kind);
        let mut unheard = Vec::new();
        // One that is missing was told once already, not once a field.
        let to = if row.is_some() || !NEEDED.contains(&kind) {
            &mut *problems
        } else {
            &mut unheard
        };
        let mut reader = Reader::new(row.unwrap_or(&blank), to);
        with(&mut reader);
        reader.finish();
    };

    let (mut name, mut place) = (
        String::new(),
        FleetPosition {
            rank: 0,
            instances: 1,
            zone: 0,
        },
    );
    let (mut zones, mut machines, mut tenants) = (Vec::new(), Vec::new(), Vec::new());
    let (mut listen, mut admin) = (None, None);
    read("sidecar", &mut |r| {
        name = r.text("name");
        if !name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "-._".contains(c))
        {
            r.complain(
                "name",
                format!("found {name:?}"),
                "letters, digits, -, . and _",
            );
        }
        place.instances = r.whole("instances", 1..=1_000_000) as usize;
        // Which pods it keeps to follows from it: with one number at all sidecars all would keep to the same.
        place.rank = match place.instances {
            0 | 1 => r.whole_or("rank", 0..=0, 0),
            many => r.whole("rank", 0..=many as u64 - 1),
        } as usize;
        zones = r.texts("zones");
        machines = r.texts_or_none("machines");
        tenants = r.texts_or_none("customers");
        let zone = r.text("zone");
        match zones.iter().position(|known| *known == zone) {
            _ if zones.iter().any(|zone| zone == DISTRIBUTOR_ZONE) => {
                r.complain(
                    "zones",
                    format!("found {DISTRIBUTOR_ZONE:?}"),
                    "another name, as distributors have it",
                );
            }
            Some(at) => place.zone = at,
            None => r.complain("zone", format!("found {zone:?}"), "one of zones"),
        }
        (listen, admin) = (Some(address(r, "listen")), Some(address(r, "admin")));
    });
    let mut headers = None;
    read("headers", &mut |r| {
        headers = Some(Headers {
            timeout: header(r, "timeout", "grpc-timeout"),
            key: header(r, "key", "x-key"),
            tenant: header(r, "customer", "x-customer"),
            cost_hint: header(r, "cost_hint", "x-cost-hint"),
            mark: header(r, "mark", "x-hit-mark"),
        });
    });
    let (mut limit, mut pod, mut nodes, mut desk) = (None, None, None, None);
    let (mut exposed, mut voting, mut listed, mut kept_list) = (None, None, None, None);
    read("limits", &mut |r| limit = Some(limits(r)));
    read("pods", &mut |r| pod = Some(pods(r)));
    let has_groups = is_configured || rows.iter().any(|row| row.kind == "path_group");
    read("exposure", &mut |r| exposed = Some(exposure(r, has_groups)));
    let instances = place.instances;
    read("votes", &mut |r| voting = Some(votes(r, instances)));
    read("nodes", &mut |r| {
        (nodes, listed) = (Some(feed(r)), Some(list(r)));
        kept_list = r.maybe_text("keep").map(PathBuf::from);
    });
    read("desk", &mut |r| desk = Some(feed(r)));
    let mut recorded = None;
    read("trace", &mut |r| recorded = trace(r));
    let (mut met, mut guarded) = (None, None);
    if rows.iter().any(|row| row.kind == "fellowship") {
        read("fellowship", &mut |r| met = Some(fellowship(r)));
    }
    if rows.iter().any(|row| row.kind == "takeover") {
        read("takeover", &mut |r| {
            guarded = Some(takeover(r));
            if met.is_none() {
                r.complain(
                    "fellowship",
                    "no call of fellowship(...)",
                    "one, as guardians are fellows",
                );
            }
        });
    }
    let mut configured = None;
    if is_configured {
        read("configuration", &mut |r| {
            configured = Some(configuration(r));
            if met.is_none() {
                r.complain(
                    "fellowship",
                    "no call of fellowship(...)",
                    "one, as peers bring the configuration",
                );
            }
        });
    }
    let (mut groups, mut names) = (Vec::new(), HashSet::new());
    for row in rows.iter().filter(|row| row.kind == "path_group") {
        let mut reader = Reader::new(row, problems);
        let next = group(&mut reader);
        if !names.insert(next.name.clone()) {
            reader.complain(
                "name",
                format!("found {:?} again", next.name),
                "a name of its own",
            );
        }
        if next.guard != Guard::Off && guarded.is_none() {
            reader.complain(
                "guard",
                "no call of takeover(...)",
                "one, as nobody guards without it",
            );
        }
        groups.push(next);
        reader.finish();
    }
    let (forwards, mut door) = limit?;
    (door.listen, door.admin) = (listen?, admin?);
    let (pods, links) = pod?;
    let (headers, exposure, votes, list) = (headers?, exposed?, voting?, listed?);
    let (nodes, desk) = (nodes?, desk?);
    Some(Site {
        name,
        place,
        zones,
        machines,
        groups,
        headers,
        tenants,
        forwards,
        door,
        pods,
        links,
        exposure,
        votes,
        list,
        nodes,
        kept_list,
        desk,
        trace: recorded,
        fellowship: met,
        takeover: guarded,
        configuration: configured,
    })
}
