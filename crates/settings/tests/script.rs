//! Loads valid and invalid settings scripts and checks the settings or the reported mistakes.

use havenplank::interface::{DedupScope, Idempotency};
use havenplank_settings::{load, Given, Problems, Site};
use std::path::Path;
use std::time::{Duration, Instant};

const VALID_SCRIPT: &str = r#"
sidecar(name = given("name", "s"), instances = 3, rank = 2, zones = ["a", "b"], zone = "b", listen = "127.0.0.1:0",
        admin = "127.0.0.1:0")
pods(drain_grace = "500ms", cold_share = 0.3, warm_up = "4800ms", fall_multiple = 3, fall_window = "2s")
exposure(window = "6s", free = 3, caps = [0.1, 1])
votes(control = "any", life = "6s")
nodes(address = "127.0.0.1:1")
desk(address = "127.0.0.1:2", line_bytes = "1KiB")
"#;
const PATH_GROUP: &str = r#"
path_group(name = "query", paths = ["/query*"], kind = "repeatable", target_latency = "800ms", client_timeout = "2s")
"#;

/// Writes the files to a folder and loads the first of them.
fn load_files(files: &[(&str, &str)], given: &[(&str, &str)]) -> Result<Site, Problems> {
    let folder = tempfile::tempdir().expect("create the folder");
    for (name, text) in files {
        std::fs::write(folder.path().join(name), text).expect("write the file");
    }
    let given: Given = given
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    load(&folder.path().join(files[0].0), &given)
}

/// Returns the line, field and description of each mistake in a script.
fn mistakes(text: &str) -> Vec<(usize, String, String)> {
    let problems = load_files(&[("site.star", text)], &[])
        .expect_err("the script is invalid")
        .0;
    problems
        .into_iter()
        .map(|p| (p.line, p.field, format!("{}; {}", p.found, p.expected)))
        .collect()
}

#[test]
fn loads_a_script_with_loops_functions_and_a_second_file() {
    let more = r#"
def tagged(name, window):
    path_group(name = name, methods = ["post"], paths = ["/" + name], kind = "tagged", scope = "zone",
               target_latency = "1s", client_timeout = "3s", repeat_window = window)
"#;
    let text = format!(
        "load('more.star', 'tagged')\n{VALID_SCRIPT}{PATH_GROUP}\nfor n in range(3):\n    tagged('t%d' % n, '%ds' % (n + 1))\n"
    );
    let site = load_files(
        &[("site.star", &text), ("more.star", more)],
        &[("name", "s-7")],
    )
    .expect("the script is valid");
    assert_eq!(
        (
            site.name.as_str(),
            site.position.instances,
            site.position.zone
        ),
        ("s-7", 3, 1)
    );
    let names: Vec<&str> = site
        .route_classes
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    assert_eq!(names, ["query", "t0", "t1", "t2"]);
    let last = &site.route_classes[3];
    assert_eq!(
        (last.rules.idempotency, last.rules.dedup_scope),
        (Idempotency::Keyed, DedupScope::Zone)
    );
    assert_eq!(
        (last.rules.dedup_window, last.rules.client_timeout),
        (3_000_000_000, 3_000_000_000)
    );
    assert!(
        last.matches("POST", "/t2")
            && !last.matches("GET", "/t2")
            && !last.matches("POST", "/t2/x")
    );
    assert!(site.route_classes[0].matches("DELETE", "/query/deep"));
    assert_eq!(site.control_plane.max_line_bytes, 1024);
}

#[test]
fn reports_every_mistake_at_once_with_its_location() {
    let text = format!(
        "{VALID_SCRIPT}{PATH_GROUP}path_group(name = 'query', paths = ['q'], kind = 'safe',\n  target_latency = '9s', \
         client_timeout = '2 sheep', benfit = 1)\nlimits(forwards = 0, body_bytes = 'much')\n"
    );
    let found = mistakes(&text);
    let fields: Vec<(usize, &str)> = found
        .iter()
        .map(|(line, field, _)| (*line, field.as_str()))
        .collect();
    for expected in [
        (11, "path_group.name"),
        (11, "path_group.paths"),
        (11, "path_group.kind"),
        (11, "path_group.client_timeout"),
        (11, "path_group.benfit"),
        (13, "limits.forwards"),
        (13, "limits.body_bytes"),
    ] {
        assert!(
            fields.contains(&expected),
            "{expected:?} not among {found:?}"
        );
    }
    assert!(
        found
            .iter()
            .any(|(_, _, text)| text.contains("one of repeatable, tagged, mutating")),
        "{found:?}"
    );
}

/// The sockets between sidecars once belonged to `takeover(...)`. As more than the takeover depends on them, they moved
/// to `fellowship(...)`.
#[test]
fn reports_fields_that_moved_to_fellowship_with_line_and_new_place() {
    let both = "fellowship(listen = \"127.0.0.1:0\", keys = \"keys\")\ntakeover(guardians = 2)\n";
    let site = load_files(
        &[("site", &format!("{VALID_SCRIPT}{PATH_GROUP}{both}"))],
        &[],
    )
    .expect("a site");
    assert_eq!(
        (
            site.takeover.map(|takeover| takeover.backups),
            site.membership.is_some()
        ),
        (Some(2), true)
    );
    let old = "takeover(listen = \"127.0.0.1:0\", keys = \"keys\", period = \"200ms\")\n";
    let found = mistakes(&format!("{VALID_SCRIPT}{PATH_GROUP}{old}"));
    let line = format!("{VALID_SCRIPT}{PATH_GROUP}").lines().count() + 1;
    let fields: Vec<(usize, &str)> = found
        .iter()
        .map(|(line, field, _)| (*line, field.as_str()))
        .collect();
    let expected = [
        "takeover.listen",
        "takeover.keys",
        "takeover.period",
        "takeover.fellowship",
    ];
    assert_eq!(fields, expected.map(|field| (line, field)), "{found:?}");
    assert!(found[0].2.contains("fellowship(listen = ...)"), "{found:?}");
}

/// Routes and tenants have a single source: either the script, or a configuration that peers send.
#[test]
fn rejects_routes_tenants_and_traces_together_with_a_configuration() {
    let peers = "fellowship(listen = \"127.0.0.1:0\", keys = \"keys\")\n";
    let configured = "configuration(keep = \"kept\", fetch_bytes_per_s = \"64KiB\")\n";
    let site = load_files(
        &[("site", &format!("{VALID_SCRIPT}{peers}{configured}"))],
        &[],
    )
    .expect("a site");
    let configuration = site.configuration.expect("a configuration");
    assert_eq!(
        (
            configuration.fetch_bytes_per_s,
            configuration.serve_bytes_per_s
        ),
        (65_536, 8_000)
    );
    assert!(site.route_classes.is_empty());
    let without =
        load_files(&[("site", &format!("{VALID_SCRIPT}{PATH_GROUP}"))], &[]).expect("a site");
    assert!(
        without.configuration.is_none(),
        "no configuration by default"
    );
    let line = |text: &str| text.lines().count() + 1;
    let both = format!("{VALID_SCRIPT}{PATH_GROUP}{peers}{configured}");
    let found = mistakes(&format!("{both}trace(folder = \"traces\")\n"));
    let fields: Vec<(usize, &str)> = found
        .iter()
        .map(|(line, field, _)| (*line, field.as_str()))
        .collect();
    assert_eq!(
        fields,
        [
            (line(VALID_SCRIPT) + 1, "path_group"),
            (line(&both), "trace.folder")
        ],
        "{found:?}"
    );
    assert!(
        found[0]
            .2
            .contains("route(...) in the script of `havenplank distribute`"),
        "{found:?}"
    );
    let tenants = VALID_SCRIPT.replacen("sidecar(", "sidecar(customers = [\"a\"], ", 1);
    let found = mistakes(&format!("{tenants}{peers}{configured}"));
    assert_eq!(
        found
            .iter()
            .map(|(_, field, _)| field.as_str())
            .collect::<Vec<_>>(),
        ["sidecar.customers"]
    );
    let found = mistakes(&format!("{VALID_SCRIPT}{configured}"));
    assert_eq!(
        found
            .iter()
            .map(|(_, field, _)| field.as_str())
            .collect::<Vec<_>>(),
        ["configuration.fellowship"]
    );
    let zones = VALID_SCRIPT.replacen("zones = [", "zones = [\"distributor\", ", 1);
    let found = mistakes(&format!("{zones}{PATH_GROUP}"));
    assert!(
        found.iter().any(|(_, field, _)| field == "sidecar.zones"),
        "{found:?}"
    );
}

#[test]
fn reports_a_missing_record_once() {
    let found = mistakes("votes(control = 'clock', life = '6s')\n");
    let fields: Vec<&str> = found.iter().map(|(_, field, _)| field.as_str()).collect();
    assert_eq!(
        fields,
        [
            "sidecar",
            "pods",
            "exposure",
            "nodes",
            "desk",
            "path_group",
            "votes.step"
        ]
    );
}

#[test]
fn reports_the_line_at_which_a_script_fails() {
    let found = mistakes("x = 1\nsidecar(name = nobody)\n");
    assert_eq!((found.len(), found[0].0), (1, 2), "{found:?}");
    let found = mistakes("x = 1\ny = (\n");
    assert_eq!(found.len(), 1, "{found:?}");
    let found = mistakes("load('../secret.star', 'x')\n");
    assert!(
        found[0].2.contains("within the script's folder"),
        "{found:?}"
    );
}

#[test]
fn stops_endless_loops_recursion_and_huge_values_with_an_error() {
    let started = Instant::now();
    for text in [
        "def f():\n    for i in range(1000000000):\n        pass\nf()\n",
        "def f(n):\n    return f(n + 1)\nf(0)\n",
        "def f():\n    s = 'x'\n    for i in range(60):\n        s = s + s\nf()\n",
        "x = [i for i in range(1000000000)]\n",
        "load('site.star', 'x')\n",
    ] {
        assert_eq!(mistakes(text).len(), 1, "{text}");
    }
    assert!(
        started.elapsed() < Duration::from_secs(60),
        "the runs were not limited: {:?}",
        started.elapsed()
    );
}

#[test]
fn loads_the_example() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/site.star");
    let site = load(&path, &Given::new()).unwrap_or_else(|problems| panic!("{problems}"));
    assert_eq!(site.route_classes.len(), 3);
}
