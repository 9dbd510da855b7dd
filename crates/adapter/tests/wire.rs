//! A short transcript of the project's own through the adapter, and what it says of malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = r#"{"azs":["east"],"locality":"east","skus":["box"],"instances":1,"rank":0,"discovery":"subscribe","classes":[{"name":"read","semantics":"free","onTimeNs":500000000,"giveUpNs":1000000000,"worth":1.0}],"limits":{"maxAttempts":3,"retryAfter":true,"maxRetryAfterNs":300000000},"rules":{"drainGraceNs":500000000,"coldShare":0.3,"warmUpNs":4000000000,"fallMultiple":2.0,"fallNs":1000000000,"mustAskInNs":10000000000},"familyInfo":{"control":"by_count","counts":"all","exposureWindowNs":2000000000,"free":1.0,"mostShares":[0.1,1.0],"ballotTtlNs":4000000000,"callTimeoutNs":1000000000},"news":7}"#;
const LIST: &str = r#"{"verb":"LIST","bank":0,"records":[{"size":1,"release":1,"az":"east","machine":"box","pod":"p1","lifecycle":"Running"}]}"#;
const HELD: &str = r#"{"verb":"ROSTER_CHANGE","sidecar":0,"how":"cached","generation":1,"bank":0}"#;
const KNOCK: &str =
    r#"{"verb":"KNOCK","sidecar":0,"opId":"a","grade":"read","graceNs":900000000,"odd":1}"#;

const ROUND: &str = r#"{"verb":"ROUND","momentNs":5000,"turn":1}"#;
const GO: &str = r#"{"verb":"GO"}"#;
const TIMER: &str = r#"{"verb":"TIMER","sidecar":0,"keyBack":"0","fromNowNs":200000000}"#;
const WATCH: &str = r#"{"verb":"TAIL","sidecar":0,"enable":true}"#;

fn adapter(lines: &[&str]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_havenplank-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // It may stop reading at the first malformed line.
    let _ = adapter
        .stdin
        .take()
        .unwrap()
        .write_all((lines.join("\n") + "\n").as_bytes());
    adapter.wait_with_output().unwrap()
}

fn attach() -> String {
    format!(r#"{{"verb":"ATTACH","sidecar":0,"prng":5,"setup":{SETUP}}}"#)
}

#[test]
fn a_transcript_from_start_to_end() {
    let draining = LIST.replace("Running", "Stopping");
    let delta = HELD.replace("cached", "delta");
    let gone = r#"{"verb":"RETURNED","sidecar":0,"opId":"x","trial":0,"pod":"p1","ending":305,"latencyNs":9}"#;
    let ok = r#"{"verb":"RETURNED","sidecar":0,"opId":"a","trial":0,"pod":"p1","ending":100,"latencyNs":9,"over":true}"#;
    let hangup = r#"{"verb":"HANGUP","sidecar":0,"opId":"a"}"#;
    let alarm = r#"{"verb":"ALARM","sidecar":0,"keyBack":"nobody's"}"#;
    // The bank is read before it is overwritten in the same batch; the second hit meets a draining pod.
    let second = KNOCK.replace("\"a\"", "\"b\"");
    let off = r#"{"verb":"POWER_OFF","sidecar":0}"#;
    let start = attach();
    let out = adapter(&[
        ROUND,
        &start,
        LIST,
        HELD,
        KNOCK,
        GO,
        ROUND,
        gone,
        ok,
        hangup,
        alarm,
        &draining,
        &delta,
        &second,
        r#"{"verb":"DANCE"}"#,
        r#"{"verb":"DANCE"}"#,
        GO,
        ROUND,
        off,
        &start,
        LIST,
        HELD,
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
fn malformed_input_is_named_and_ends_with_status_1() {
    let start = attach();
    let none = start.replace(r#""instances":1"#, r#""instances":0"#);
    let no_group = format!(
        "{}[],{}",
        start.split("[{\"name\"").next().unwrap(),
        &start[start.find("\"limits\"").unwrap()..]
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
        (&[KNOCK], &["line 1", "KNOCK", "sidecar", "never started"]),
        (&[&start, HELD], &["line 2", "ROSTER_CHANGE", "bank"]),
        (
            &[
                &start,
                r#"{"verb":"CONTESTED","sidecar":0,"pod":"p9","grade":"read"}"#,
            ],
            &["CONTESTED", "pod"],
        ),
        (&[&none], &["ATTACH", "instances"]),
        (&[&no_group], &["ATTACH", "classes", "no path group"]),
    ];
    for (lines, named) in cases {
        let out = adapter(lines);
        let said = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(1), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
        named
            .iter()
            .for_each(|word| assert!(said.contains(word), "{word} not in: {said}"));
    }
}
