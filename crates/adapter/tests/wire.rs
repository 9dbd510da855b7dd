//! Runs a short transcript, written for this test, through the adapter, and checks its errors for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = r#"{"azs":["east"],"locality":"east","skus":["box"],"instances":1,"rank":0,"discovery":"subscribe","classes":[{"name":"read","semantics":"free","onTimeNs":500000000,"giveUpNs":1000000000,"worth":1.0}],"limits":{"maxAttempts":3,"retryAfter":true,"maxRetryAfterNs":300000000},"rules":{"drainGraceNs":500000000,"coldShare":0.3,"warmUpNs":4000000000,"fallMultiple":2.0,"fallNs":1000000000,"mustAskInNs":10000000000},"familyInfo":{"control":"by_count","counts":"all","exposureWindowNs":2000000000,"free":1.0,"mostShares":[0.1,1.0],"ballotTtlNs":4000000000,"callTimeoutNs":1000000000},"news":7}"#;
const LIST: &str = r#"{"verb":"LIST","bank":0,"records":[{"size":1,"release":1,"az":"east","machine":"box","pod":"p1","lifecycle":"Running"}]}"#;
const LIST_CACHED: &str =
    r#"{"verb":"ROSTER_CHANGE","sidecar":0,"how":"cached","generation":1,"bank":0}"#;
const REQUEST: &str =
    r#"{"verb":"KNOCK","sidecar":0,"opId":"a","grade":"read","graceNs":900000000,"odd":1}"#;

const ROUND: &str = r#"{"verb":"ROUND","momentNs":5000,"turn":1}"#;
const GO: &str = r#"{"verb":"GO"}"#;
const TIMER: &str = r#"{"verb":"TIMER","sidecar":0,"keyBack":"0","fromNowNs":200000000}"#;
const WATCH: &str = r#"{"verb":"TAIL","sidecar":0,"enable":true}"#;

/// Runs the adapter with these lines as its input.
fn run_adapter(lines: &[&str]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_havenplank-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write fails if the adapter stops reading at the first malformed line.
    let _ = adapter
        .stdin
        .take()
        .unwrap()
        .write_all((lines.join("\n") + "\n").as_bytes());
    adapter.wait_with_output().unwrap()
}

/// Returns the line that starts an instance.
fn start_instance() -> String {
    format!(r#"{{"verb":"ATTACH","sidecar":0,"prng":5,"setup":{SETUP}}}"#)
}

#[test]
fn answers_a_transcript_with_the_expected_actions() {
    let draining = LIST.replace("Running", "Stopping");
    let delta = LIST_CACHED.replace("cached", "delta");
    let unknown_request_ended = r#"{"verb":"RETURNED","sidecar":0,"opId":"x","trial":0,"pod":"p1","ending":305,"latencyNs":9}"#;
    let attempt_ended = r#"{"verb":"RETURNED","sidecar":0,"opId":"a","trial":0,"pod":"p1","ending":100,"latencyNs":9,"over":true}"#;
    let client_left = r#"{"verb":"HANGUP","sidecar":0,"opId":"a"}"#;
    let unknown_timer_fired = r#"{"verb":"ALARM","sidecar":0,"keyBack":"nobody's"}"#;
    // An endpoint list is used before a later line of the same round replaces it. The second request finds a draining
    // pod.
    let second_request = REQUEST.replace("\"a\"", "\"b\"");
    let instance_stopped = r#"{"verb":"POWER_OFF","sidecar":0}"#;
    let start_line = start_instance();
    let out = run_adapter(&[
        ROUND,
        &start_line,
        LIST,
        LIST_CACHED,
        REQUEST,
        GO,
        ROUND,
        unknown_request_ended,
        attempt_ended,
        client_left,
        unknown_timer_fired,
        &draining,
        &delta,
        &second_request,
        r#"{"verb":"DANCE"}"#,
        r#"{"verb":"DANCE"}"#,
        GO,
        ROUND,
        instance_stopped,
        &start_line,
        LIST,
        LIST_CACHED,
        GO,
    ]);
    let expected = [
        WATCH,
        TIMER,
        r#"{"verb":"ATTEMPT","sidecar":0,"opId":"a","pod":"p1","patienceNs":500000000}"#,
        r#"{"verb":"YIELD","turn":1}"#,
        r#"{"verb":"REFUSE","sidecar":0,"opId":"b","waitNs":300000000}"#,
        r#"{"verb":"YIELD","turn":1}"#,
        WATCH,
        TIMER,
        r#"{"verb":"YIELD","turn":1}"#,
    ];
    assert_eq!(
        String::from_utf8(out.stdout)
            .unwrap()
            .lines()
            .collect::<Vec<_>>(),
        expected
    );
    assert!(out.status.success());
    assert_eq!(
        String::from_utf8(out.stderr)
            .unwrap()
            .matches("DANCE")
            .count(),
        1
    );
}

#[test]
fn reports_malformed_input_and_exits_with_status_1() {
    let start_line = start_instance();
    let no_instances = start_line.replace(r#""instances":1"#, r#""instances":0"#);
    let no_route_class = format!(
        "{}[],{}",
        start_line.split("[{\"name\"").next().unwrap(),
        &start_line[start_line.find("\"limits\"").unwrap()..]
    );
    let cases: [(&[&str], &[&str]); 9] = [
        (&["[1]"], &["line 1", "not a JSON object"]),
        (&["{\"verb\":"], &["line 1", "not a JSON object"]),
        (
            &[r#"{"verb":"ROUND","turn":1}"#],
            &["line 1", "ROUND", "momentNs", "missing"],
        ),
        (
            &[r#"{"verb":"ROUND","momentNs":"soon","turn":1}"#],
            &["ROUND", "momentNs", "whole number"],
        ),
        (&[REQUEST], &["line 1", "KNOCK", "sidecar", "never started"]),
        (
            &[&start_line, LIST_CACHED],
            &["line 2", "ROSTER_CHANGE", "bank"],
        ),
        (
            &[
                &start_line,
                r#"{"verb":"CONTESTED","sidecar":0,"pod":"p9","grade":"read"}"#,
            ],
            &["CONTESTED", "pod"],
        ),
        (&[&no_instances], &["ATTACH", "instances"]),
        (
            &[&no_route_class],
            &["ATTACH", "classes", "at least one route class"],
        ),
    ];
    for (lines, expected) in cases {
        let out = run_adapter(lines);
        let stderr = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(1), "{stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        expected
            .iter()
            .for_each(|text| assert!(stderr.contains(text), "{text} not in: {stderr}"));
    }
}
