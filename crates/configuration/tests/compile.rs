//! Compiles valid operators' scripts, and scripts with mistakes that must be reported.

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
const VALID_SCRIPT: &str = r#"
service(name = "search", zones = ["a"])
def read(name, paths):
    route(name = name, service = "search", methods = ["get"], paths = paths, kind = "idempotent",
          latency_target = "100ms", deadline = "2s")
read("query", ["/query", "/query/*"])
route(name = "write", service = "search", methods = ["PUT"], paths = ["/query"], kind = "keyed", scope = "zone",
      idempotency_window = "6s", latency_target = "1s", deadline = "3s", benefit = 5)
tenant(name = "one", requests_per_s = 7)
tenants(names = ["t%d" % n for n in range(1000)], requests_per_s = 100, in_flight = 10)
tenants(file = "tenants.jsonl", in_flight = 3)
"#;
const TENANT_FILE: &str =
    "{\"name\": \"free\", \"requests_per_s\": 1}\n\n{\"name\": \"large\", \"in_flight\": 9}\n";

fn compile_script(script: &str, tenant_file: &str) -> Result<Snapshot, Problems> {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("fleet.star");
    std::fs::write(&path, script).expect("the file is written");
    std::fs::write(folder.path().join("tenants.jsonl"), tenant_file).expect("the file is written");
    compile(&path, &Given::new(), VERSION)
}

fn problems(script: &str, tenant_file: &str) -> Vec<Problem> {
    compile_script(script, tenant_file)
        .expect_err("the script has mistakes")
        .0
}

#[test]
fn compiles_a_valid_script_into_its_records() {
    let snapshot = compile_script(VALID_SCRIPT, TENANT_FILE).expect("the script is valid");
    assert_eq!(snapshot.version(), VERSION);
    assert_eq!(
        RecordKind::ALL.map(|kind| snapshot.count(kind)),
        [1, 2, 1003]
    );
    let query = snapshot.route("query").expect("the route exists");
    assert_eq!(
        (query.methods.as_slice(), query.rules.idempotency),
        (&["GET".to_string()][..], Idempotency::Idempotent)
    );
    let write = snapshot.route("write").expect("the route exists");
    assert_eq!(
        (write.rules.dedup_scope, write.rules.priority_weight),
        (DedupScope::Zone, 5.0)
    );
    let limits = |name: &str| snapshot.tenant(name).expect("the tenant exists").limits;
    let tenant_limits = |requests_per_s, in_flight| TenantLimits {
        requests_per_s,
        in_flight,
    };
    assert_eq!(limits("one"), tenant_limits(Some(7), None));
    assert_eq!(limits("t999"), tenant_limits(Some(100), Some(10)));
    assert_eq!(limits("free"), tenant_limits(Some(1), Some(3)));
    assert_eq!(limits("large"), tenant_limits(None, Some(9)));
}

/// A line appended to the valid script, the field for which the mistake is reported, and a text in the report.
const MISTAKES: [(&str, &str, &str); 25] = [
    ("service(name = 'search')", "service.name", "a unique name"),
    ("service(zones = ['a'])", "service.name", "missing"),
    ("service(name = 's', zone = 'a')", "service.zone", "no such field"),
    ("tenant(name = 'one')", "tenant.name", "fleet.star:9"),
    ("tenant(name = 'free')", "tenant.name", "tenants.jsonl:1"),
    ("tenant(name = 'n' * 65)", "tenant.name", "1 to 64 bytes"),
    ("tenant(name = 'a\\nb')", "tenant.name", "control characters"),
    ("tenant(name = 'x', in_flight = -1)", "tenant.in_flight", "from 0 to 1000000"),
    ("tenants(names = ['t5'])", "tenant.name", "a unique name"),
    ("tenants(in_flight = 1)", "tenants.names", "one of the two"),
    ("tenants(file = '../x')", "tenants.file", "in the folder of the script"),
    ("tenants(file = 'none.jsonl')", "tenants.file", "cannot be read"),
    ("read('query', ['/other'])", "route.name", "a unique name"),
    ("read('r', ['/query'])", "route.paths", "both would match the same requests"),
    ("read('r', ['/r', '/r'])", "route.paths", "both would match the same requests"),
    ("read('r', ['r'])", "route.paths", "starts with /"),
    ("read('r', ['/a*b'])", "route.paths", "at the end only"),
    ("read('r', ['/users/{id}'])", "route.paths", "no named parameters"),
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
fn reports_each_mistake_once_with_file_and_line() {
    for (line, field, expected_text) in MISTAKES {
        let found = problems(&format!("{VALID_SCRIPT}{line}\n"), TENANT_FILE);
        assert_eq!(found.len(), 1, "{line}: {found:?}");
        let shown = found[0].to_string();
        assert_eq!(found[0].field, field, "{line}: {shown}");
        assert!(shown.contains(expected_text), "{line}: {shown}");
        assert!(
            found[0].file.ends_with(".star") && found[0].line > 0
                || expected_text.starts_with("tenants.jsonl"),
            "{shown}"
        );
    }
}

#[test]
fn rejects_each_setting_that_cannot_change_while_running() {
    let settings = [
        "sidecar", "headers", "limits", "pods", "exposure", "votes", "nodes", "desk", "trace",
    ];
    for kind in settings.into_iter().chain(["fellowship", "takeover"]) {
        let found = problems(
            &format!("{VALID_SCRIPT}{kind}(listen = '127.0.0.1:1')\n"),
            TENANT_FILE,
        );
        let shown = found[0].to_string();
        assert_eq!(
            (found.len(), found[0].field.as_str(), found[0].line),
            (1, kind, 12),
            "{shown}"
        );
        assert!(
            shown.contains("in the settings of each sidecar, which are read when it starts"),
            "{shown}"
        );
    }
}

#[test]
fn reports_all_mistakes_sorted_by_file_and_line() {
    let script =
        "tenants(file = 'tenants.jsonl')\ntenant(name = '')\nroute(name = 'r', target_latency = '1s')\n";
    let tenant_file = "{\"name\": \"a\"}\n{\"nam\": \"b\"}\nno json\n{\"name\": \"a\"}\n";
    let found = problems(script, tenant_file);
    let reported: Vec<(bool, usize, &str)> = found
        .iter()
        .map(|p| (p.file.ends_with(".jsonl"), p.line, p.field.as_str()))
        .collect();
    let expected = [
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
    assert_eq!(reported, expected);
}

#[test]
fn limits_the_records_of_a_kind_and_the_reported_mistakes() {
    let found = problems("for n in range(2001):\n    service(name = 's%d' % n)\n", "");
    assert!(found[0]
        .to_string()
        .contains("2001 records; expected at most 2000"));
    let found = problems("for n in range(1500):\n    tenant(name = 'same')\n", "");
    assert_eq!(found.len(), 1001);
    assert_eq!(found[1000].found, "499 more mistakes");
}
