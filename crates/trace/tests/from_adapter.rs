//! A bench run, taken from the adapter's pipes, is converted to a trace and replays with the decisions of the adapter.

mod common;

use common::*;
use havenplank_adapter::instance::Instance;
use havenplank_adapter::line::Line;
use havenplank_adapter::session::Session;
use havenplank_trace::{from_adapter, replay, TraceError};
use oorandom::Rand64;
use std::collections::HashMap;
use std::fmt::Write as _;

const SETUP: &str = r#"{"azs":["east","west"],"locality":"east","skus":["box"],"instances":2,"rank":0,"discovery":"automatic","classes":[{"name":"read","semantics":"free","onTimeNs":500000000,"giveUpNs":1000000000,"worth":1.0}],"limits":{"maxAttempts":3,"retryAfter":true,"maxRetryAfterNs":300000000},"rules":{"drainGraceNs":500000000,"coldShare":0.3,"warmUpNs":4000000000,"fallMultiple":2.0,"fallNs":1000000000},"familyInfo":{"control":"by_count","counts":"all","exposureWindowNs":2000000000,"free":1.0,"mostShares":[0.1,1.0],"ballotTtlNs":4000000000,"callTimeoutNs":1000000000}}"#;

/// Returns the input and the output of an adapter over some seconds: two instances, one of which restarts, pods that
/// disappear and come back under the same names, attempts that fail, and a build on trial.
fn pipes() -> (String, String) {
    let (mut input, mut output) = (String::new(), Vec::new());
    let (mut session, mut random) = (Session::<Instance>::default(), Rand64::new(3));
    // Input lines to send later, with the time at which they are due, in nanoseconds.
    let mut due_lines: Vec<(u64, String)> = Vec::new();
    let mut due_timers: Vec<(u64, String)> = Vec::new();
    let mut attempts: HashMap<(String, String), u64> = HashMap::new();
    for turn in 0..1_500u64 {
        let now = 9 * S + turn * 4 * MS;
        let mut lines = vec![format!(
            r#"{{"verb":"ROUND","momentNs":{now},"turn":{turn}}}"#
        )];
        if turn == 700 {
            lines.push(r#"{"verb":"POWER_OFF","sidecar":1}"#.to_string());
            due_timers.retain(|(_, line)| !line.contains("\"sidecar\":1"));
            due_lines.retain(|(_, line)| !line.contains("\"sidecar\":1"));
        }
        for sidecar in (0..2).filter(|sidecar| turn == 0 || turn == 800 && *sidecar == 1) {
            lines.push(format!(
                r#"{{"verb":"ATTACH","sidecar":{sidecar},"prng":{},"setup":{SETUP}}}"#,
                5 + turn
            ));
        }
        let is_running = |sidecar: u64| sidecar == 0 || !(700..=800).contains(&turn);
        if turn % 100 == 1 {
            let pod = |n: u64| {
                let (build, az) = (1 + n / 4, if n.is_multiple_of(2) { "east" } else { "west" });
                let state = if (turn / 100 + n).is_multiple_of(5) && n > 0 {
                    "Deleted"
                } else {
                    "Running"
                };
                let started = if build == 2 { 8 * S + turn / 500 } else { 0 };
                format!(
                    r#"{{"size":2,"release":{build},"az":"{az}","machine":"box","pod":"p{n}","startedAtNs":{started},"lifecycle":"{state}"}}"#
                )
            };
            let pods: Vec<String> = (0..6).map(pod).collect();
            lines.push(format!(
                r#"{{"verb":"LIST","bank":0,"records":[{}]}}"#,
                pods.join(",")
            ));
            for sidecar in (0..2).filter(|sidecar| is_running(*sidecar)) {
                lines.push(format!(
                    r#"{{"verb":"ROSTER_CHANGE","sidecar":{sidecar},"how":"full","bank":0}}"#
                ));
                lines.push(format!(
                    r#"{{"verb":"ROLLOUT_STATE","sidecar":{sidecar},"ending":100,"release":2,"wave":1,"standing":0,"limitShare":0.5,"latenessNs":9}}"#
                ));
            }
        }
        for list in [&mut due_lines, &mut due_timers] {
            let ready: Vec<String> = list
                .iter()
                .filter(|(at, _)| *at <= now)
                .map(|(_, line)| line.clone())
                .collect();
            list.retain(|(at, _)| *at > now);
            lines.extend(ready);
        }
        for sidecar in (0..2).filter(|sidecar| is_running(*sidecar) && turn > 1) {
            lines.push(format!(
                r#"{{"verb":"KNOCK","sidecar":{sidecar},"opId":"h{turn}","grade":"read","graceNs":900000000,"entity":"e{}"}}"#,
                turn % 7
            ));
        }
        lines.push(r#"{"verb":"GO"}"#.to_string());
        let mut answer = Vec::new();
        for (n, line) in lines.iter().enumerate() {
            input += line;
            input.push('\n');
            if let Some(turn) = session
                .handle_line(Line::parse(n as u64, line.as_bytes()).unwrap())
                .unwrap()
            {
                session.write_actions(turn, &mut answer).unwrap();
            }
        }
        for line in String::from_utf8(answer.clone()).unwrap().lines() {
            let action: serde_json::Value = serde_json::from_str(line).unwrap();
            let sidecar = &action["sidecar"];
            match action["verb"].as_str().unwrap() {
                "ATTEMPT" => {
                    let took = random.rand_range(10..90) * MS;
                    let is_failed = action["pod"].as_str().unwrap() > "p3" && random.rand_range(0..3) == 0;
                    let (ending, over) = if is_failed { (301, false) } else { (100, true) };
                    let request = &action["opId"];
                    let count = attempts.entry((sidecar.to_string(), request.to_string())).or_insert(0u64);
                    *count += 1;
                    let attempt = *count - 1;
                    due_lines.push((now + took, format!(
                        r#"{{"verb":"RETURNED","sidecar":{sidecar},"opId":{request},"trial":{attempt},"pod":{},"ending":{ending},"latencyNs":{took},"over":{over}}}"#,
                        action["pod"]
                    )));
                }
                "TIMER" => due_timers.push((now + action["fromNowNs"].as_u64().unwrap(), format!(
                    r#"{{"verb":"ALARM","sidecar":{sidecar},"keyBack":{}}}"#,
                    action["keyBack"]
                ))),
                "VERDICT" => due_lines.push((now + 20 * MS, format!(
                    r#"{{"verb":"ROLLOUT_STATE","sidecar":{sidecar},"ending":100,"release":2,"wave":1,"sense":{},"standing":0,"limitShare":0.5}}"#,
                    action["sense"]
                ))),
                _ => {}
            }
        }
        output.extend(answer);
    }
    let _ = writeln!(input);
    (input, String::from_utf8(output).unwrap())
}

#[test]
fn a_converted_bench_run_replays_without_a_difference() {
    let (input, output) = pipes();
    let sources = from_adapter::sources(input.as_bytes()).unwrap();
    assert_eq!(sources.len(), 3, "two instances, and one that restarted");
    let mut bytes = Vec::new();
    from_adapter::write(
        input.as_bytes(),
        output.as_bytes(),
        sources.clone(),
        &mut bytes,
    )
    .unwrap();
    let (outcomes, damage) = replay::replay(vec![open(&bytes)]).unwrap();
    assert!(damage.is_none());
    for (name, outcome) in &outcomes {
        assert!(
            outcome.first_difference.is_none(),
            "{name}: {:?}",
            outcome.first_difference
        );
    }
    let requests: u64 = outcomes.iter().map(|(_, outcome)| outcome.requests).sum();
    let compared: u64 = outcomes.iter().map(|(_, outcome)| outcome.compared).sum();
    assert!(
        requests == 2_895 && compared > 4_000,
        "{requests} {compared}"
    );
    // A changed answer of the adapter is reported as a difference.
    let changed = output.replacen("\"patienceNs\":", "\"patienceNs\":1", 1);
    let mut bytes = Vec::new();
    from_adapter::write(
        input.as_bytes(),
        changed.as_bytes(),
        sources.clone(),
        &mut bytes,
    )
    .unwrap();
    let (outcomes, _) = replay::replay(vec![open(&bytes)]).unwrap();
    assert!(outcomes
        .iter()
        .any(|(_, outcome)| outcome.first_difference.is_some()));
    // An output that ends too early is rejected.
    let truncated: String = output
        .lines()
        .take(100)
        .fold(String::new(), |text, line| text + line + "\n");
    let result = from_adapter::write(input.as_bytes(), truncated.as_bytes(), sources, Vec::new());
    assert!(matches!(result, Err(TraceError::Unusable(message)) if message.contains("batch")));
}
