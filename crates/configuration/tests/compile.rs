//! Operators' scripts, good and bad, and what is said of them.

use havenplank::interface::{DedupScope, Idempotency};
use havenplank_configuration::compile::compile;
use havenplank_configuration::record::{RecordKind, TenantLimits};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::version::Version;
use havenplank_settings::{Given, Problem, Problems};

const VERSION: Version = Version {
    epoch: 1,
    number: 1,
};
const GOOD: &str = r#"
service(name = "search", zones = ["a"])
def read(name, paths):
    route(name = name, service = "search", methods = ["get"], paths = paths, kind = "idempotent",
          latency_target = "100ms", deadline = "2s")
read("query", ["/query", "/query/*"])
route(name = "write", service = "search", methods = ["PUT"], paths = ["/query"], kind = "keyed", scope = "zone",
      idempotency_window = "6s", latency_target = "1s", deadline = "3s", benefit = 5)
tenant(name = "one", requests_per_s = 7)
tenants(names = ["t%d" % n for n in range(1000)], requests_per_s = 100, in_flight = 10)
tenants(file = "more.jsonl", in_flight = 3)
"#;
const MORE: &str =
    "{\"name\": \"free\", \"requests_per_s\": 1}\n\n{\"name\": \"large\", \"in_flight\": 9}\n";

fn run(script: &str, more: &str) -> Result<Snapshot, Problems> {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("fleet.star");
    std::fs::write(&path, script).expect("a file");
    std::fs::write(folder.path().join("more.jsonl"), more).expect("a file");
    compile(&path, &Given::new(), VERSION)
}

fn problems(script: &str, more: &str) -> Vec<Problem> {
    run(script, more).expect_err("it is wrong").0
}

#[test]
fn a_good_script_gives_its_records() {
    let snapshot = run(GOOD, MORE).expect("it is right");
    assert_eq!(snapshot.version(), VERSION);
    assert_eq!(
        RecordKind::ALL.map(|kind| snapshot.count(kind)),
        [1, 2, 1003]
    );
    let query = snapshot.route("query").expect("a route");
    assert_eq!(
        (query.methods.as_slice(), query.rules.idempotency),
        (&["GET".to_string()][..], Idempotency::Idempotent)
    );
    let write = snapshot.route("write").expect("a route");
    assert_eq!(
        (write.rules.dedup_scope, write.rules.priority_weight),
        (DedupScope::Zone, 5.0)
    );
    let limits = |name: &str| snapshot.tenant(name).expect("a tenant").limits;
    let of = |requests_per_s, in_flight| TenantLimits {
        requests_per_s,
        in_flight,
    };
    assert_eq!(limits("one"), of(Some(7), None));
    assert_eq!(limits("t999"), of(Some(100), Some(10)));
    assert_eq!(limits("free"), of(Some(1), Some(3)));
    assert_eq!(limits("large"), of(None, Some(9)));
}

/// A line behind a good script, the field complained of, and a part of what is said.
const MISTAKES: [(&str, &str, &str); 25] = [
    ("service(name = 'search')", "service.name", "a name of its own"),
    ("service(zones = ['a'])", "service.name", "missing"),
    ("service(name = 's', zone = 'a')", "service.zone", "no such field"),
    ("tenant(name = 'one')", "tenant.name", "fleet.star:9"),
    ("tenant(name = 'free')", "tenant.name", "more.jsonl:1"),
    ("tenant(name = 'n' * 65)", "tenant.name", "1 to 64 bytes"),
    ("tenant(name = 'a\\nb')", "tenant.name", "control characters"),
    ("tenant(name = 'x', in_flight = -1)", "tenant.in_flight", "from 0 to 1000000"),
    ("tenants(names = ['t5'])", "tenant.name", "a name of its own"),
    ("tenants(in_flight = 1)", "tenants.names", "one of the two"),
    ("tenants(file = '../x')", "tenants.file", "beside the script"),
    ("tenants(file = 'none.jsonl')", "tenants.file", "cannot be read"),
    ("read('query', ['/other'])", "route.name", "a name of its own"),
    ("read('r', ['/query'])", "route.paths", "both would take the same requests"),
    ("read('r', ['/r', '/r'])", "route.paths", "both would take the same requests"),
    ("read('r', ['r'])", "route.paths", "starts with /"),
    ("read('r', ['/a*b'])", "route.paths", "at the end only"),
    ("read('r', ['/users/{id}'])", "route.paths", "no named parts"),
    ("read('r', ['/a?b'])", "route.paths", "without query"),
    (
        "route(name='r', service='none', paths=['/r'], kind='idempotent', latency_target='1s', deadline='2s')",
        "route.service",
        "service(name = \"none\")",
    ),
    (
        "route(name='r', service='search', paths=['/r'], kind='tagged', latency_target='1s', deadline='2s')",
        "route.kind",
        "idempotent, keyed, non-idempotent",
    ),
    (
        "route(name='r', service='search', paths=['/r'], kind='keyed', latency_target='1s', deadline='2s')",
        "route.idempotency_window",
        "missing",
    ),
    (
        "route(name='r', service='search', paths=['/r'], kind='idempotent', latency_target='3s', deadline='2s')",
        "route.latency_target",
        "within the deadline",
    ),
    (
        "route(name='r', service='search', paths=['/r'], kind='non-idempotent', latency_target='1s', \
         deadline='2s', backup='behind')",
        "route.backup",
        "a repeat could do harm",
    ),
    ("path_group(name = 'g')", "path_group", "route(name = ..., service = ..., ...)"),
];

#[test]
fn each_mistake_is_told_once_with_its_place() {
    for (line, field, said) in MISTAKES {
        let found = problems(&format!("{GOOD}{line}\n"), MORE);
        assert_eq!(found.len(), 1, "{line}: {found:?}");
        let shown = found[0].to_string();
        assert_eq!(found[0].field, field, "{line}: {shown}");
        assert!(shown.contains(said), "{line}: {shown}");
        assert!(
            found[0].file.ends_with(".star") && found[0].line > 0 || said.starts_with("more"),
            "{shown}"
        );
    }
}

#[test]
fn what_cannot_change_while_running_is_refused_by_name() {
    let fixed = [
        "sidecar", "headers", "limits", "pods", "exposure", "votes", "nodes", "desk", "trace",
    ];
    for kind in fixed.into_iter().chain(["fellowship", "takeover"]) {
        let found = problems(&format!("{GOOD}{kind}(listen = '127.0.0.1:1')\n"), MORE);
        let shown = found[0].to_string();
        assert_eq!(
            (found.len(), found[0].field.as_str(), found[0].line),
            (1, kind, 12),
            "{shown}"
        );
        assert!(
            shown.contains("in the settings of each sidecar, which a restart reads"),
            "{shown}"
        );
    }
}

#[test]
fn all_mistakes_at_once_by_file_and_line() {
    let script =
        "tenants(file = 'more.jsonl')\ntenant(name = '')\nroute(name = 'r', target_latency = '1s')\n";
    let more = "{\"name\": \"a\"}\n{\"nam\": \"b\"}\nno json\n{\"name\": \"a\"}\n";
    let found = problems(script, more);
    let told: Vec<(bool, usize, &str)> = found
        .iter()
        .map(|p| (p.file.ends_with(".jsonl"), p.line, p.field.as_str()))
        .collect();
    let wanted = [
        (false, 2, "tenant.name"),
        (false, 3, "route.target_latency"),
        (false, 3, "route.service"),
        (false, 3, "route.paths"),
        (false, 3, "route.kind"),
        (false, 3, "route.latency_target"),
        (false, 3, "route.deadline"),
        (true, 2, "tenant"),
        (true, 3, "tenant"),
        (true, 4, "tenant.name"),
    ];
    assert_eq!(told, wanted);
}

#[test]
fn too_many_of_a_kind_and_too_many_mistakes_are_bounded() {
    let found = problems("for n in range(2001):\n    service(name = 's%d' % n)\n", "");
    assert!(found[0]
        .to_string()
        .contains("2001 of them; expected 2000 at most"));
    let found = problems("for n in range(1500):\n    tenant(name = 'same')\n", "");
    assert_eq!(found.len(), 1001);
    assert_eq!(found[1000].found, "499 more mistakes");
}
