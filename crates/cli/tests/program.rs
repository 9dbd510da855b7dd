//! The program as users run it: its checks, its exit codes, and a short scenario with faults for each of the five
//! invariants.

use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_havenplank"))
        .args(args)
        .output()
        .expect("the program runs")
}

/// Returns what the program printed on standard output, then on standard error.
fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Returns the path of the scenario that tests an invariant.
fn scenario_file(invariant: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/days")
        .join(invariant)
        .with_extension("day")
}

/// Runs the scenario of an invariant with recorded traces. All invariants must hold, and the given one must be tested.
fn check_invariant(invariant: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, ledger) = (scenario_file(invariant), folder.path().join("ledger"));
    let traces = folder.path().join("traces");
    let [scenario, ledger_folder, trace] =
        [&file, &ledger, &traces].map(|path| path.to_str().expect("a path"));
    let output = run(&[
        "scenario",
        scenario,
        "--ledger",
        ledger_folder,
        "--trace",
        trace,
    ]);
    let text = printed(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(
        text.trim_end().ends_with("rules: 5 kept, 0 broken"),
        "{text}"
    );
    let line = text
        .lines()
        .find(|line| line.starts_with(&format!("rule {invariant}")))
        .unwrap_or_default();
    assert!(!line.contains(" 0 times tested"), "{line}");
    let again = run(&["verify", ledger.to_str().expect("a path")]);
    assert_eq!(again.status.code(), Some(0), "{}", printed(&again));
    let traces = check_replay(&traces);
    if invariant == "exposed" {
        check_trace_tools(folder.path(), &traces);
        // The same ledger under limits that allow almost nothing must violate an invariant.
        let file = ledger.join("day.ledger");
        let text = std::fs::read_to_string(&file).expect("a ledger");
        let strict = text.replacen(
            "\"window\":6000000000,\"free\":3.0",
            "\"window\":1,\"free\":0.0",
            1,
        );
        assert_ne!(text, strict);
        std::fs::write(&file, strict).expect("written");
        let violated = run(&["verify", ledger.to_str().expect("a path")]);
        assert_eq!(violated.status.code(), Some(2), "{}", printed(&violated));
    }
}

/// Replays the traces that the sidecars recorded, which must give the recorded decisions. Returns their paths.
fn check_replay(folder: &Path) -> Vec<String> {
    let files = std::fs::read_dir(folder).expect("a folder of traces");
    let path = |file: std::io::Result<std::fs::DirEntry>| {
        file.expect("a trace").path().display().to_string()
    };
    let mut files: Vec<String> = files.map(path).collect();
    files.sort();
    assert!(
        files.len() >= 2,
        "expected a trace of each sidecar: {files:?}"
    );
    for file in &files {
        let replayed = run(&["trace", "replay", file]);
        let text = printed(&replayed);
        // A killed sidecar may leave half a block, which gives status 1; a different decision would give 2.
        assert!(
            matches!(replayed.status.code(), Some(0 | 1)) && text.contains("identical"),
            "{text}"
        );
        assert!(!text.contains(" 0 decisions compared"), "{text}");
    }
    files
}

/// Runs the trace tools over the traces of two sidecars, and drives a new sidecar with the requests of one of them.
fn check_trace_tools(folder: &Path, traces: &[String]) {
    let path = |name: &str| folder.join(name).display().to_string();
    let run_successfully = |args: &[&str]| {
        let output = run(args);
        assert_eq!(
            output.status.code(),
            Some(0),
            "{args:?}: {}",
            printed(&output)
        );
        printed(&output)
    };
    let (merged, pseudonyms, cut, out) =
        (path("merged"), path("pseudonyms"), path("cut"), path("out"));
    let mut merge = vec!["trace", "merge"];
    merge.extend(traces.iter().map(String::as_str));
    merge.extend(["-o", &merged]);
    assert!(run_successfully(&merge).contains("shared events"));
    run_successfully(&["trace", "anonymise", &merged, "-o", &pseudonyms]);
    let replayed = run_successfully(&["trace", "replay", &pseudonyms]);
    assert_eq!(
        replayed.matches(": identical").count(),
        traces.len(),
        "{replayed}"
    );
    assert!(!run_successfully(&["trace", "export", &pseudonyms]).contains("pod-0\""));
    assert!(run_successfully(&[
        "trace",
        "summarise",
        &merged,
        "--span",
        "1s",
        "--json",
        &out
    ])
    .contains("query"));
    assert!(run_successfully(&[
        "trace",
        "show",
        &merged,
        "--hit",
        "3",
        "--source",
        "sidecar-1"
    ])
    .contains("\"forward\""));
    run_successfully(&[
        "trace", "cut", &traces[0], "--from", "0s", "--to", "3s", "-o", &cut,
    ]);
    run_successfully(&["trace", "drive", &cut, "--json", &out]);
    let text = std::fs::read_to_string(&out).expect("figures");
    let figures: serde_json::Value = serde_json::from_str(&text).expect("figures");
    let count = |side: &str, figure: &str| figures[side][figure].as_u64().unwrap_or_default();
    assert!(
        count("recorded", "hits") > 50 && count("recorded", "hits") == count("driven", "hits"),
        "{text}"
    );
    assert!(
        count("driven", "delivered") > count("recorded", "delivered") / 2,
        "{text}"
    );
    assert!(
        figures["as_recorded"].as_u64() > figures["as_build"].as_u64(),
        "{text}"
    );
}

#[test]
fn each_request_gets_one_response_in_time_when_pods_hang_and_sidecars_are_killed() {
    check_invariant("answered");
}

#[test]
fn no_request_takes_effect_twice_when_connections_break() {
    check_invariant("once");
}

#[test]
fn draining_pods_get_no_new_requests_when_the_endpoint_list_is_late_or_missing() {
    check_invariant("drains");
}

#[test]
fn cold_pods_are_not_overloaded_when_a_zone_returns_under_high_load() {
    check_invariant("cold");
}

#[test]
fn exposure_stays_within_the_cap_when_sidecars_restart_and_the_control_plane_fails() {
    check_invariant("exposed");
}

#[test]
fn mistakes_in_files_and_arguments_are_reported_with_exit_status_64() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str, text: &str| {
        let file = folder.path().join(name);
        std::fs::write(&file, text).expect("written");
        file.to_str().expect("a path").to_string()
    };
    let settings = path("bad.star", "votes(control = 'loud', life = '6s')\n");
    let bad_scenario = path(
        "bad.day",
        "length 3s\nsing 4\nat 3s for 1s pods two hang\nrate 30 40\n",
    );
    let check_output = run(&["check", &settings]);
    let text = printed(&check_output);
    assert!(
        text.contains(
            "bad.star:1: votes.control: found \"loud\"; expected one of any, count, clock"
        ),
        "{text}"
    );
    let scenario_output = run(&["scenario", &bad_scenario]);
    let text = printed(&scenario_output);
    for message in [
        "bad.day: line 2: column 6",
        "line 3: column 19",
        "line 4: column 8",
        "no work",
    ] {
        assert!(text.contains(message), "{message} not in {text}");
    }
    for output in [
        check_output,
        scenario_output,
        run(&["serve", &settings]),
        run(&["sing"]),
        run(&[]),
    ] {
        assert_eq!(output.status.code(), Some(64), "{}", printed(&output));
    }
    assert_eq!(run(&["check", "/no/such.star"]).status.code(), Some(64));
    assert_eq!(
        run(&["verify", folder.path().to_str().expect("a path")])
            .status
            .code(),
        Some(1)
    );
    assert_eq!(run(&["--help"]).status.code(), Some(0));
}

/// Renamed commands, each with its old name.
const RENAMED: [(&str, &str); 3] = [
    ("scenario", "day"),
    ("verify", "rules"),
    ("member", "fellow"),
];

#[test]
fn renamed_commands_run_by_their_old_names_which_the_help_does_not_list() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name).display().to_string();
    let bad_scenario = path("bad.day");
    std::fs::write(&bad_scenario, "length 3s\nsing 4\n").expect("written");
    let member = ["--name", "", "--listen", "127.0.0.1:0", "--keys", "none"];
    let help = printed(&run(&["--help"]));
    let listed = |name: &str| {
        help.lines()
            .any(|line| line.trim().split(' ').next() == Some(name))
    };
    for (name, old_name) in RENAMED {
        let (arguments, status, message): (Vec<&str>, i32, &str) = match name {
            "scenario" => (vec![&bad_scenario], 64, "bad.day: line 2: column 6"),
            "verify" => (vec!["/no/such/folder"], 1, "havenplank: "),
            _ => (member.to_vec(), 64, "--name: expected 1 to 64 bytes"),
        };
        let outputs = [name, old_name].map(|name| run(&[&[name], &arguments[..]].concat()));
        for output in &outputs {
            assert_eq!(output.status.code(), Some(status), "{}", printed(output));
            assert!(printed(output).contains(message), "{}", printed(output));
        }
        assert_eq!(printed(&outputs[0]), printed(&outputs[1]));
        assert!(listed(name) && !listed(old_name), "{help}");
    }
}

/// A process of `havenplank platform`, whose log is read line by line.
struct PlatformSidecar {
    process: std::process::Child,
    log: std::io::Lines<std::io::BufReader<std::process::ChildStderr>>,
    /// The log lines read so far.
    log_text: String,
}

impl PlatformSidecar {
    fn start(file: &Path) -> PlatformSidecar {
        let mut command = Command::new(env!("CARGO_BIN_EXE_havenplank"));
        command
            .arg("platform")
            .env("PROXY_CONFIG", file)
            .stderr(std::process::Stdio::piped());
        let mut process = command.spawn().expect("the program starts");
        let log = std::io::BufReader::new(process.stderr.take().expect("standard error")).lines();
        PlatformSidecar {
            process,
            log,
            log_text: String::new(),
        }
    }

    /// Reads the log up to a line that contains `what`, and returns that line. Panics if the log ends before.
    fn wait_for_log(&mut self, what: &str) -> String {
        loop {
            let line = self
                .log
                .next()
                .unwrap_or_else(|| panic!("no {what:?} in {}", self.log_text));
            let line = line.expect("text");
            self.log_text += &(line.clone() + "\n");
            if line.contains(what) {
                return line;
            }
        }
    }

    /// Checks what the benchmark of the platform requires. It preloads a library of its own, so the C library must be
    /// linked dynamically. The sidecar must be one process that has never started another program: a child that has
    /// been waited for shows in the page faults of children, any other child in the list of children.
    fn assert_single_process_linked_dynamically(&self) {
        let read = |name: &str| {
            let file = format!("/proc/{}/{name}", self.process.id());
            std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{file}: {error}"))
        };
        let maps = read("maps");
        assert!(
            maps.lines().any(|line| line.contains("/libc.so")),
            "no C library among {maps}"
        );
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.process.id()))
            .expect("a list of threads");
        for task in tasks {
            let task = task.expect("a thread").file_name();
            let children = read(&format!("task/{}/children", task.to_string_lossy()));
            assert_eq!(children.trim(), "", "children of thread {task:?}");
        }
        let stat = read("stat");
        let (_, fields) = stat.rsplit_once(')').expect("a name in brackets");
        assert_eq!(
            fields.split_whitespace().nth(8),
            Some("0"),
            "page faults of children in {stat}"
        );
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.process.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("a shell")
            .success());
    }

    /// Waits until the process ends, and returns its exit code. Panics if the log reports a panic.
    fn wait_for_exit(mut self) -> Option<i32> {
        let code = self.process.wait().expect("the process ends").code();
        for line in self.log.by_ref() {
            self.log_text += &(line.expect("text") + "\n");
        }
        assert!(!self.log_text.contains("panicked"), "{}", self.log_text);
        code
    }
}

impl Drop for PlatformSidecar {
    /// Kills the process, also after a failed assertion. A process left running would keep the output of the test
    /// open, and its reader would wait for ever.
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

#[test]
fn the_sidecar_on_the_platform_starts_reloads_and_stops_as_documented() {
    use havenplank_emulator::scripted::{configuration, entry};
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("config.json");
    let unset = Command::new(env!("CARGO_BIN_EXE_havenplank"))
        .arg("platform")
        .env_remove("PROXY_CONFIG")
        .output();
    let unset = unset.expect("the program runs");
    assert!(
        unset.status.code() == Some(64) && printed(&unset).contains("PROXY_CONFIG"),
        "{}",
        printed(&unset)
    );
    for (text, field) in [
        (None, "config.json"),
        (Some("{\"settings\": {}}"), "settings."),
    ] {
        if let Some(text) = text {
            std::fs::write(&file, text).expect("written");
        }
        let mut rejected = PlatformSidecar::start(&file);
        let line = rejected.wait_for_log("havenplank: ");
        assert!(
            line.contains("config.json") && line.contains(field),
            "{line}"
        );
        assert_eq!(rejected.wait_for_exit(), Some(64));
    }
    let [discovery, control_plane] =
        [(); 2].map(|()| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    let [discovery_address, control_plane_address] =
        [&discovery, &control_plane].map(|peer| peer.local_addr().expect("an address"));
    let config = configuration(
        discovery_address,
        control_plane_address,
        &[entry("p", discovery_address, 7, "active")],
    );
    std::fs::write(&file, config.to_string()).expect("written");
    let mut sidecar = PlatformSidecar::start(&file);
    sidecar.wait_for_log("listening");
    std::fs::write(&file, "{").expect("written");
    sidecar.signal("HUP");
    let line = sidecar.wait_for_log("configuration rejected; the old one stays in force");
    assert!(line.contains("config.json"), "{line}");
    // The old configuration is in force, and with it the same control plane. A vote without a reply must not keep the
    // sidecar from a clean stop.
    let (mut stream, _) = control_plane.accept().expect("a connection of the sidecar");
    let mut lines = std::io::BufReader::new(stream.try_clone().expect("a second handle")).lines();
    assert!(lines
        .next()
        .expect("a line")
        .expect("text")
        .contains("follow"));
    let progress =
        r#"{"image": 7, "ring": 0, "progress": "canary", "ceiling": 0.5, "lag_ms": 9000}"#;
    let messages = format!(
        r#"{{"jsonrpc":"2.0","id":0,"result":true}}
{{"jsonrpc":"2.0","method":"progress","params":{progress}}}
"#
    );
    stream.write_all(messages.as_bytes()).expect("written");
    assert!(lines
        .next()
        .expect("a line")
        .expect("text")
        .contains("castBallot"));
    sidecar.assert_single_process_linked_dynamically();
    sidecar.signal("TERM");
    sidecar.wait_for_log("stopped");
    assert_eq!(sidecar.wait_for_exit(), Some(0));
}
