# One sidecar of a code-search service. Run with: havenplank serve examples/site.star --given name=sidecar-0
load("common.star", "CAPS", "search_group")

sidecar(
    name = given("name", "sidecar-0"),
    instances = int(given("instances", "3")),
    rank = int(given("rank", "0")),
    zones = ["room-1", "room-2"],
    zone = given("zone", "room-1"),
    machines = ["three-core"],
    customers = ["editors", "builds"],
    listen = given("listen", "127.0.0.1:7000"),
    admin = given("admin", "127.0.0.1:7001"),
)

search_group("query", ["/query", "/query/*"], "repeatable", "800ms", "2s", 1.0)
search_group("reindex", ["/reindex"], "tagged", "1200ms", "3s", 5.0, repeat_window = "6s")
search_group("rename", ["/rename"], "mutating", "1200ms", "3s", 3.0)

headers(timeout = "grpc-timeout", key = "x-repository", customer = "x-customer", cost_hint = "x-cost-hint")

limits(
    forwards = 4,
    cancel = True,
    come_back = "1s",
    body_bytes = "256KiB",
    head_time = "5s",
    body_time = "5s",
    answer_margin = "20ms",
)

pods(
    drain_grace = "500ms",
    cold_share = 0.3,
    warm_up = "4800ms",
    fall_multiple = 3.0,
    fall_window = "2s",
    connect_time = "250ms",
    connections = 64,
    unseen_status = 503,
    unseen_header = "x-never-ran",
    load_reports = True,
)

exposure(window = "6s", free = 3.0, caps = CAPS)

votes(
    control = given("control", "count"),
    on_needs = int(given("on_needs", "0")),
    back_needs = int(given("back_needs", "1")),
    life = "6s",
    call_time_out = "800ms",
    calls_per_s = 40.0,
    step = "4s",
)

nodes(
    address = given("nodes", "127.0.0.1:7100"),
    must_ask = given("must_ask", "no") == "yes",
    ask_within = "10s",
    keep = given("keep", "last-list.txt"),
)
desk(address = given("desk", "127.0.0.1:7200"))

# Records requests and decisions for later analysis; without a folder nothing is recorded.
trace(
    folder = given("trace", "") or None,
    share = float(given("trace_share", "1.0")),
    file_bytes = "256MiB",
    file_age = "1h",
    total_bytes = "4GiB",
)
