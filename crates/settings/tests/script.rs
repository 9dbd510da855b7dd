//! Settings scripts, good and bad, and what is said of them.

use havenplank::interface::{DedupScope, Idempotency};
use havenplank_settings::{load, Given, Problems, Site};
use std::path::Path;
use std::time::{Duration, Instant};

const WHOLE: &str = r#"
sidecar(name = given("name", "s"), instances = 3, rank = 2, zones = ["a", "b"], zone = "b", listen = "127.0.0.1:0",
        admin = "127.0.0.1:0")
pods(drain_grace = "500ms", cold_share = 0.3, warm_up = "4800ms", fall_multiple = 3, fall_window = "2s")
exposure(window = "6s", free = 3, caps = [0.1, 1])
votes(control = "any", life = "6s")
nodes(address = "127.0.0.1:1")
desk(address = "127.0.0.1:2", line_bytes = "1KiB")
"#;
const GROUP: &str = r#"
path_group(name = "query", paths = ["/query*"], kind = "repeatable", target_latency = "800ms", client_timeout = "2s")
"#;

fn run(files: &[(&str, &str)], given: &[(&str, &str)]) -> Result<Site, Problems> {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, text) in files {
        std::fs::write(folder.path().join(name), text).expect("a file");
    }
    let given: Given = given
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    load(&folder.path().join(files[0].0), &given)
}

fn said(text: &str) -> Vec<(usize, String, String)> {
    let problems = run(&[("site.star", text)], &[]).expect_err("it is wrong").0;
    problems
        .into_iter()
        .map(|p| (p.line, p.field, format!("{}; {}", p.found, p.expected)))
        .collect()
}

#[test]
fn a_whole_script_with_loops_functions_and_a_file_beside_it() {
    let more = r#"
def tagged(name, window):
    path_group(name = name, methods = ["post"], paths = ["/" + name], kind = "tagged", scope = "zone",
               target_latency = "1s", client_timeout = "3s", repeat_window = window)
"#;
    let text = format!(
        "load('more.star', 'tagged')\n{WHOLE}{GROUP}\nfor n in range(3):\n    tagged('t%d' % n, '%ds' % (n + 1))\n"
    );
    let site = run(
        &[("site.star", &text), ("more.star", more)],
        &[("name", "s-7")],
    )
    .expect("it is right");
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
        .map(|group| group.name.as_str())
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
fn every_mistake_at_once_with_its_place() {
    let text = format!(
        "{WHOLE}{GROUP}path_group(name = 'query', paths = ['q'], kind = 'safe',\n  target_latency = '9s', \
         client_timeout = '2 sheep', benfit = 1)\nlimits(forwards = 0, body_bytes = 'much')\n"
    );
    let found = said(&text);
    let fields: Vec<(usize, &str)> = found
        .iter()
        .map(|(line, field, _)| (*line, field.as_str()))
        .collect();
    for wanted in [
        (11, "path_group.name"),
        (11, "path_group.paths"),
        (11, "path_group.kind"),
        (11, "path_group.client_timeout"),
        (11, "path_group.benfit"),
        (13, "limits.forwards"),
        (13, "limits.body_bytes"),
    ] {
        assert!(fields.contains(&wanted), "{wanted:?} not among {found:?}");
    }
    assert!(
        found
            .iter()
            .any(|(_, _, text)| text.contains("one of repeatable, tagged, mutating")),
        "{found:?}"
    );
}

/// The sockets between sidecars have a call of their own since more than the takeover hangs on them.
#[test]
fn what_moved_to_the_fellowship_is_told_with_its_line_and_new_place() {
    let both = "fellowship(listen = \"127.0.0.1:0\", keys = \"keys\")\ntakeover(guardians = 2)\n";
    let site = run(&[("site", &format!("{WHOLE}{GROUP}{both}"))], &[]).expect("a site");
    assert_eq!(
        (
            site.takeover.map(|takeover| takeover.backups),
            site.membership.is_some()
        ),
        (Some(2), true)
    );
    let old = "takeover(listen = \"127.0.0.1:0\", keys = \"keys\", period = \"200ms\")\n";
    let told = said(&format!("{WHOLE}{GROUP}{old}"));
    let at = format!("{WHOLE}{GROUP}").lines().count() + 1;
    let fields: Vec<(usize, &str)> = told
        .iter()
        .map(|(line, field, _)| (*line, field.as_str()))
        .collect();
    let wanted = [
        "takeover.listen",
        "takeover.keys",
        "takeover.period",
        "takeover.fellowship",
    ];
    assert_eq!(fields, wanted.map(|field| (at, field)), "{told:?}");
    assert!(told[0].2.contains("fellowship(listen = ...)"), "{told:?}");
}

/// Routes and tenants have one place each: the script, or a configuration that peers bring.
#[test]
fn beside_a_configuration_routes_tenants_and_traces_of_the_script_are_refused_by_line() {
    let peers = "fellowship(listen = \"127.0.0.1:0\", keys = \"keys\")\n";
    let configured = "configuration(keep = \"kept\", fetch_bytes_per_s = \"64KiB\")\n";
    let site = run(&[("site", &format!("{WHOLE}{peers}{configured}"))], &[]).expect("a site");
    let configuration = site.configuration.expect("a configuration");
    assert_eq!(
        (
            configuration.fetch_bytes_per_s,
            configuration.serve_bytes_per_s
        ),
        (65_536, 8_000)
    );
    assert!(site.route_classes.is_empty());
    let without = run(&[("site", &format!("{WHOLE}{GROUP}"))], &[]).expect("a site");
    assert!(without.configuration.is_none(), "off by default");
    let line = |text: &str| text.lines().count() + 1;
    let both = format!("{WHOLE}{GROUP}{peers}{configured}");
    let told = said(&format!("{both}trace(folder = \"traces\")\n"));
    let fields: Vec<(usize, &str)> = told
        .iter()
        .map(|(line, field, _)| (*line, field.as_str()))
        .collect();
    assert_eq!(
        fields,
        [
            (line(WHOLE) + 1, "path_group"),
            (line(&both), "trace.folder")
        ],
        "{told:?}"
    );
    assert!(
        told[0]
            .2
            .contains("route(...) in the script of `havenplank distribute`"),
        "{told:?}"
    );
    let tenants = WHOLE.replacen("sidecar(", "sidecar(customers = [\"a\"], ", 1);
    let told = said(&format!("{tenants}{peers}{configured}"));
    assert_eq!(
        told.iter()
            .map(|(_, field, _)| field.as_str())
            .collect::<Vec<_>>(),
        ["sidecar.customers"]
    );
    let told = said(&format!("{WHOLE}{configured}"));
    assert_eq!(
        told.iter()
            .map(|(_, field, _)| field.as_str())
            .collect::<Vec<_>>(),
        ["configuration.fellowship"]
    );
    let zones = WHOLE.replacen("zones = [", "zones = [\"distributor\", ", 1);
    let told = said(&format!("{zones}{GROUP}"));
    assert!(
        told.iter().any(|(_, field, _)| field == "sidecar.zones"),
        "{told:?}"
    );
}

#[test]
fn what_is_missing_is_told_once() {
    let found = said("votes(control = 'clock', life = '6s')\n");
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
fn a_script_that_does_not_run_tells_its_line() {
    let found = said("x = 1\nsidecar(name = nobody)\n");
    assert_eq!((found.len(), found[0].0), (1, 2), "{found:?}");
    let found = said("x = 1\ny = (\n");
    assert_eq!(found.len(), 1, "{found:?}");
    let found = said("load('../secret.star', 'x')\n");
    assert!(found[0].2.contains("beside the script"), "{found:?}");
}

#[test]
fn loops_recursion_and_huge_values_end_with_an_error() {
    let began = Instant::now();
    for text in [
        "def f():\n    for i in range(1000000000):\n        pass\nf()\n",
        "def f(n):\n    return f(n + 1)\nf(0)\n",
        "def f():\n    s = 'x'\n    for i in range(60):\n        s = s + s\nf()\n",
        "x = [i for i in range(1000000000)]\n",
        "load('site.star', 'x')\n",
    ] {
        assert_eq!(said(text).len(), 1, "{text}");
    }
    assert!(
        began.elapsed() < Duration::from_secs(60),
        "bounded, not hanging: {:?}",
        began.elapsed()
    );
}

#[test]
fn the_example_is_right() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/site.star");
    let site = load(&root, &Given::new()).unwrap_or_else(|problems| panic!("{problems}"));
    assert_eq!(site.route_classes.len(), 3);
}
