//! The program as users run it: checks, exit codes, and a short day of faults for each of the five rules.

use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_havenplank"))
        .args(args)
        .output()
        .expect("the program runs")
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn day(rule: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/days")
        .join(rule)
        .with_extension("day")
}

/// Plays the short day of a rule, which must be tested there and kept, as all others must.
fn kept(rule: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, ledger) = (day(rule), folder.path().join("ledger"));
    let traces = folder.path().join("traces");
    let [day, kept, trace] = [&file, &ledger, &traces].map(|path| path.to_str().expect("a path"));
    let output = run(&["scenario", day, "--ledger", kept, "--trace", trace]);
    let text = said(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(
        text.trim_end().ends_with("rules: 5 kept, 0 broken"),
        "{text}"
    );
    let line = text
        .lines()
        .find(|line| line.starts_with(&format!("rule {rule}")))
        .unwrap_or_default();
    assert!(!line.contains(" 0 times tested"), "{line}");
    let again = run(&["verify", ledger.to_str().expect("a path")]);
    assert_eq!(again.status.code(), Some(0), "{}", said(&again));
    let traces = recorded(&traces);
    if rule == "exposed" {
        traced(folder.path(), &traces);
        // The same ledger under figures that allow next to nothing must be found broken.
        let file = ledger.join("day.ledger");
        let text = std::fs::read_to_string(&file).expect("a ledger");
        let strict = text.replacen(
            "\"window\":6000000000,\"free\":3.0",
            "\"window\":1,\"free\":0.0",
            1,
        );
        assert_ne!(text, strict);
        std::fs::write(&file, strict).expect("written");
        let broken = run(&["verify", ledger.to_str().expect("a path")]);
        assert_eq!(broken.status.code(), Some(2), "{}", said(&broken));
    }
}

/// What the daemons recorded, which must play through the library as it did in them.
fn recorded(folder: &Path) -> Vec<String> {
    let files = std::fs::read_dir(folder).expect("a folder of traces");
    let path = |file: std::io::Result<std::fs::DirEntry>| {
        file.expect("a trace").path().display().to_string()
    };
    let mut files: Vec<String> = files.map(path).collect();
    files.sort();
    assert!(files.len() >= 2, "one of each sidecar: {files:?}");
    for file in &files {
        let replayed = run(&["trace", "replay", file]);
        let text = said(&replayed);
        // A killed sidecar may leave half a block, which is 1; a difference would be 2.
        assert!(
            matches!(replayed.status.code(), Some(0 | 1)) && text.contains("identical"),
            "{text}"
        );
        assert!(!text.contains(" 0 decisions compared"), "{text}");
    }
    files
}

/// The tools over two daemons' traces, and one of them against a daemon of its own.
fn traced(folder: &Path, traces: &[String]) {
    let path = |name: &str| folder.join(name).display().to_string();
    let done = |args: &[&str]| {
        let output = run(args);
        assert_eq!(output.status.code(), Some(0), "{args:?}: {}", said(&output));
        said(&output)
    };
    let (merged, veiled, cut, out) = (path("merged"), path("veiled"), path("cut"), path("out"));
    let mut merge = vec!["trace", "merge"];
    merge.extend(traces.iter().map(String::as_str));
    merge.extend(["-o", &merged]);
    assert!(done(&merge).contains("shared events"));
    done(&["trace", "anonymise", &merged, "-o", &veiled]);
    let replayed = done(&["trace", "replay", &veiled]);
    assert_eq!(
        replayed.matches(": identical").count(),
        traces.len(),
        "{replayed}"
    );
    assert!(!done(&["trace", "export", &veiled]).contains("pod-0\""));
    assert!(done(&[
        "trace",
        "summarise",
        &merged,
        "--span",
        "1s",
        "--json",
        &out
    ])
    .contains("query"));
    assert!(done(&[
        "trace",
        "show",
        &merged,
        "--hit",
        "3",
        "--source",
        "sidecar-1"
    ])
    .contains("\"forward\""));
    done(&[
        "trace", "cut", &traces[0], "--from", "0s", "--to", "3s", "-o", &cut,
    ]);
    done(&["trace", "drive", &cut, "--json", &out]);
    let text = std::fs::read_to_string(&out).expect("figures");
    let figures: serde_json::Value = serde_json::from_str(&text).expect("figures");
    let count = |side: &str, of: &str| figures[side][of].as_u64().unwrap_or_default();
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
fn answered() {
    kept("answered");
}

#[test]
fn once() {
    kept("once");
}

#[test]
fn drains() {
    kept("drains");
}

#[test]
fn cold() {
    kept("cold");
}

#[test]
fn exposed() {
    kept("exposed");
}

#[test]
fn mistakes_are_told_and_exit_with_64() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str, text: &str| {
        let file = folder.path().join(name);
        std::fs::write(&file, text).expect("written");
        file.to_str().expect("a path").to_string()
    };
    let settings = path("bad.star", "votes(control = 'loud', life = '6s')\n");
    let bad_day = path(
        "bad.day",
        "length 3s\nsing 4\nat 3s for 1s pods two hang\nrate 30 40\n",
    );
    let settings_checked = run(&["check", &settings]);
    let text = said(&settings_checked);
    assert!(
        text.contains(
            "bad.star:1: votes.control: found \"loud\"; expected one of any, count, clock"
        ),
        "{text}"
    );
    let day_read = run(&["scenario", &bad_day]);
    let text = said(&day_read);
    for wanted in [
        "bad.day: line 2: column 6",
        "line 3: column 19",
        "line 4: column 8",
        "no work",
    ] {
        assert!(text.contains(wanted), "{wanted} not in {text}");
    }
    for output in [
        settings_checked,
        day_read,
        run(&["serve", &settings]),
        run(&["sing"]),
        run(&[]),
    ] {
        assert_eq!(output.status.code(), Some(64), "{}", said(&output));
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

/// Commands that were renamed, with what they were called before.
const RENAMED: [(&str, &str); 3] = [
    ("scenario", "day"),
    ("verify", "rules"),
    ("member", "fellow"),
];

#[test]
fn renamed_commands_still_run_by_their_old_names_which_the_help_leaves_out() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name).display().to_string();
    let bad_scenario = path("bad.day");
    std::fs::write(&bad_scenario, "length 3s\nsing 4\n").expect("written");
    let member = ["--name", "", "--listen", "127.0.0.1:0", "--keys", "none"];
    let help = said(&run(&["--help"]));
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
            assert_eq!(output.status.code(), Some(status), "{}", said(output));
            assert!(said(output).contains(message), "{}", said(output));
        }
        assert_eq!(said(&outputs[0]), said(&outputs[1]));
        assert!(listed(name) && !listed(old_name), "{help}");
    }
}

/// The platform's sidecar as a process; what it logs is read line by line.
struct Sidecar {
    process: std::process::Child,
    log: std::io::Lines<std::io::BufReader<std::process::ChildStderr>>,
    told: String,
}

impl Sidecar {
    fn start(file: &Path) -> Sidecar {
        let mut command = Command::new(env!("CARGO_BIN_EXE_havenplank"));
        command
            .arg("platform")
            .env("PROXY_CONFIG", file)
            .stderr(std::process::Stdio::piped());
        let mut process = command.spawn().expect("the program starts");
        let log = std::io::BufReader::new(process.stderr.take().expect("its log")).lines();
        Sidecar {
            process,
            log,
            told: String::new(),
        }
    }

    /// Reads on to the line that says this; the end of the log without it fails.
    fn says(&mut self, what: &str) -> String {
        loop {
            let line = self
                .log
                .next()
                .unwrap_or_else(|| panic!("no {what:?} in {}", self.told));
            let line = line.expect("text");
            self.told += &(line.clone() + "\n");
            if line.contains(what) {
                return line;
            }
        }
    }

    /// What the fleet's bench asks of the one process: the C library linked dynamically, as its own library
    /// is loaded in front of that, and no other program started, now or before. A child that has been waited
    /// for shows as page faults of children, one that has not stands in the list.
    fn is_one_process_linked_dynamically(&self) {
        let read = |name: &str| {
            let file = format!("/proc/{}/{name}", self.process.id());
            std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{file}: {error}"))
        };
        let maps = read("maps");
        assert!(
            maps.lines().any(|line| line.contains("/libc.so")),
            "no C library among {maps}"
        );
        let tasks =
            std::fs::read_dir(format!("/proc/{}/task", self.process.id())).expect("its threads");
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

    fn ends(mut self) -> Option<i32> {
        let code = self.process.wait().expect("an end").code();
        for line in self.log.by_ref() {
            self.told += &(line.expect("text") + "\n");
        }
        assert!(!self.told.contains("panicked"), "{}", self.told);
        code
    }
}

impl Drop for Sidecar {
    /// Where a check fails it must not live on: whoever reads the test's output would wait for it.
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

#[test]
fn the_platforms_sidecar_starts_reloads_and_stops_as_its_page_says() {
    use havenplank_emulator::scripted::{configuration, entry};
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("config.json");
    let unset = Command::new(env!("CARGO_BIN_EXE_havenplank"))
        .arg("platform")
        .env_remove("PROXY_CONFIG")
        .output();
    let unset = unset.expect("the program runs");
    assert!(
        unset.status.code() == Some(64) && said(&unset).contains("PROXY_CONFIG"),
        "{}",
        said(&unset)
    );
    for (text, field) in [
        (None, "config.json"),
        (Some("{\"settings\": {}}"), "settings."),
    ] {
        if let Some(text) = text {
            std::fs::write(&file, text).expect("written");
        }
        let mut refused = Sidecar::start(&file);
        let line = refused.says("havenplank: ");
        assert!(
            line.contains("config.json") && line.contains(field),
            "{line}"
        );
        assert_eq!(refused.ends(), Some(64));
    }
    let [nodes, desk] =
        [(); 2].map(|()| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    let [nodes_at, desk_at] = [&nodes, &desk].map(|peer| peer.local_addr().expect("an address"));
    let whole = configuration(nodes_at, desk_at, &[entry("p", nodes_at, 7, "active")]);
    std::fs::write(&file, whole.to_string()).expect("written");
    let mut sidecar = Sidecar::start(&file);
    sidecar.says("listening");
    std::fs::write(&file, "{").expect("written");
    sidecar.signal("HUP");
    let line = sidecar.says("configuration rejected; the old one stays in force");
    assert!(line.contains("config.json"), "{line}");
    // Still the old desk; a vote that is out there when it is told to stop must not keep it from ending well.
    let (mut talk, _) = desk.accept().expect("a follower");
    let mut lines = std::io::BufReader::new(talk.try_clone().expect("a second handle")).lines();
    assert!(lines
        .next()
        .expect("a line")
        .expect("text")
        .contains("follow"));
    let news = r#"{"image": 7, "ring": 0, "progress": "canary", "ceiling": 0.5, "lag_ms": 9000}"#;
    let told = format!(
        r#"{{"jsonrpc":"2.0","id":0,"result":true}}
{{"jsonrpc":"2.0","method":"progress","params":{news}}}
"#
    );
    talk.write_all(told.as_bytes()).expect("written");
    assert!(lines
        .next()
        .expect("a line")
        .expect("text")
        .contains("castBallot"));
    sidecar.is_one_process_linked_dynamically();
    sidecar.signal("TERM");
    sidecar.says("stopped");
    assert_eq!(sidecar.ends(), Some(0));
}
