//! Checks each rule against ledgers that just keep it and ledgers that narrowly break it, in `ledgers/`.
//!
//! Each ledger of a file begins with a title line, `# keeps` or `# breaks RULE`; the lines before the first title
//! belong to all ledgers of the file. A line is a time in ms and the words of one entry.
//!
//! The parameters are: route classes `read` (idempotent), `mark` (keyed for 5 s), `cell` (keyed within a cell) and
//! `write` (not idempotent); drain grace 500 ms; warming pods fail at 3 times their capacity over 2 s; exposure with 2
//! free attempts in 6 s, caps 0.1 and 0.5, the first stage for idempotent requests only, and sticky keys; answer slack
//! 20 ms; transit 50 ms.

use havenplank::interface::{DedupScope, Idempotency};
use havenplank_invariants::ledger::{
    self, Answer, ClassRules, Entry, Exposure, LedgerEvent, RuleParameters, SlowStart,
};
use havenplank_invariants::{check, CheckError, EntryError};
use std::path::Path;

const MS: u64 = 1_000_000;

fn parameters() -> RuleParameters {
    let classes = vec![
        ClassRules::new("read", Idempotency::Idempotent, DedupScope::All, 0),
        ClassRules::new("mark", Idempotency::Keyed, DedupScope::All, 5_000 * MS),
        ClassRules::new("cell", Idempotency::Keyed, DedupScope::Cell, 5_000 * MS),
        ClassRules::new("write", Idempotency::NonIdempotent, DedupScope::All, 0),
    ];
    let caps = vec![0.1, 0.5];
    let exposure = Exposure {
        window: 6_000 * MS,
        free: 2.0,
        per_class: false,
        idempotent_only_stages: 1,
        sticky_keys: true,
        caps,
    };
    RuleParameters {
        classes,
        drain_grace: 500 * MS,
        overload_multiple: 3.0,
        overload_window: 2_000 * MS,
        exposure,
        answer_slack: 20 * MS,
        transit: 50 * MS,
    }
}

/// Parses one line into entries; `xN` at its end repeats the entry N times, each 1 ms later and with the next number.
fn parse_line(text: &str) -> Vec<Entry> {
    let mut words: Vec<&str> = text.split_whitespace().collect();
    let times = words
        .last()
        .and_then(|word| word.strip_prefix('x'))
        .and_then(|n| n.parse().ok());
    if times.is_some() {
        words.pop();
    }
    let number = |n: usize| {
        words[n]
            .parse::<f64>()
            .unwrap_or_else(|_| panic!("{text}: word {n} is no number"))
    };
    let name = |n: usize| words[n].to_string();
    (0..times.unwrap_or(1))
        .map(|n| {
            let ask = |at: usize| number(at) as u64 + n;
            let class = |at: usize| {
                ["read", "mark", "cell", "write"]
                    .iter()
                    .position(|class| *class == words[at])
            };
            let event = match words[1] {
                "up" => LedgerEvent::SidecarStarted { sidecar: name(2) },
                "killed" => LedgerEvent::SidecarKilled { sidecar: name(2) },
                "stops" => LedgerEvent::SidecarStopRequested { sidecar: name(2) },
                // request number, sidecar, class, key, remaining ms
                "asked" => LedgerEvent::RequestSent {
                    ask: ask(2),
                    operation: ask(2),
                    sidecar: name(3),
                    class: class(4).unwrap_or_else(|| panic!("{text}: no such class")),
                    key: number(5) as u64,
                    remaining: number(6) as u64 * MS,
                },
                "answered" => {
                    let answer = serde_json::from_str::<Answer>(&format!("\"{}\"", words[3]));
                    let answer = answer.unwrap_or_else(|_| panic!("{text}: no such answer"));
                    let retry_after = if words.len() > 4 {
                        number(4) as u64 * MS
                    } else {
                        0
                    };
                    LedgerEvent::Answered {
                        ask: ask(2),
                        answer,
                        retry_after,
                    }
                }
                // pod, incarnation, build, cell; a capacity of one core, half of it at the start, full after 4 s
                "pod" => LedgerEvent::PodStarted {
                    pod: name(2),
                    incarnation: number(3) as u64,
                    build: number(4) as u32,
                    zone: "z".to_string(),
                    cell: number(5) as i64,
                    slow_start: SlowStart {
                        capacity: 1e9,
                        initial_share: 0.5,
                        warm_up: 4_000 * MS,
                    },
                },
                "arrived" => LedgerEvent::Arrived {
                    ask: ask(2),
                    sidecar: name(3),
                    pod: name(4),
                    incarnation: 1,
                    work: if words.len() > 5 {
                        number(5) as u64 * MS
                    } else {
                        MS
                    },
                },
                "unseen" => LedgerEvent::Unprocessed {
                    ask: ask(2),
                    pod: name(3),
                    incarnation: 1,
                },
                "ran" => LedgerEvent::TookEffect {
                    ask: ask(2),
                    pod: name(3),
                    incarnation: 1,
                },
                "gave" => LedgerEvent::Succeeded {
                    ask: ask(2),
                    pod: name(3),
                    incarnation: 1,
                },
                "told" => LedgerEvent::EndpointAnnounced {
                    sidecar: name(2),
                    pod: name(3),
                    incarnation: 1,
                    state: name(4),
                },
                // sidecar, build, stage, phase, cap
                "news" => LedgerEvent::StageAnnounced {
                    sidecar: name(2),
                    build: number(3) as u32,
                    stage: number(4) as usize,
                    phase: name(5),
                    cap: number(6),
                },
                _ => panic!("{text}: no such entry"),
            };
            Entry {
                at: (number(0) * MS as f64) as u64 + n * MS,
                event,
            }
        })
        .collect()
}

#[test]
fn each_rule_passes_just_within_its_limit_and_fails_just_beyond_it() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/ledgers");
    let mut rules = std::collections::BTreeMap::new();
    for file in std::fs::read_dir(folder).expect("the ledgers") {
        let file = file.expect("a ledger").path();
        let text = std::fs::read_to_string(&file).expect("a text");
        let common = text.split("\n# ").next().unwrap_or("");
        for ledger in text.split("\n# ").skip(1) {
            let (title, lines) = ledger.split_once('\n').expect("a title and lines");
            let mut entries = vec![Entry {
                at: 0,
                event: LedgerEvent::Parameters(parameters()),
            }];
            for text in common
                .lines()
                .chain(lines.lines())
                .filter(|line| !line.trim().is_empty())
            {
                entries.extend(parse_line(text));
            }
            entries.sort_by_key(|entry| entry.at);
            let verdicts = check(&entries)
                .unwrap_or_else(|what| panic!("{}: {title}: {what}", file.display()));
            let broken: Vec<&str> = verdicts
                .iter()
                .filter(|v| v.broken > 0)
                .map(|v| v.rule)
                .collect();
            let wanted: Vec<&str> = title
                .strip_prefix("breaks ")
                .and_then(|rest| rest.split(',').next())
                .into_iter()
                .collect();
            assert_eq!(broken, wanted, "{}: {title}: {verdicts:#?}", file.display());
            let rule = rules
                .entry(file.file_stem().map(|stem| stem.to_os_string()))
                .or_insert((0, 0));
            *if wanted.is_empty() {
                &mut rule.0
            } else {
                &mut rule.1
            } += 1;
        }
    }
    assert_eq!(rules.len(), 5, "one file for each rule");
    assert!(
        rules
            .values()
            .all(|(kept, broken)| *kept > 0 && *broken > 0),
        "each rule has a ledger that keeps it and one that breaks it: {rules:?}"
    );
}

#[test]
fn reads_a_ledger_back_as_written_and_reports_invalid_lines_and_entries() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut entries = vec![Entry {
        at: 0,
        event: LedgerEvent::Parameters(parameters()),
    }];
    entries.extend(parse_line("3 asked 1 s read 7 100"));
    entries.extend(parse_line("5 answered 1 bounced 1000"));
    ledger::write(folder.path(), "day", &entries).expect("written");
    assert_eq!(ledger::read(folder.path()).expect("read"), entries);
    std::fs::write(folder.path().join("worse.ledger"), "{\"at\":1}\n").expect("written");
    let error = ledger::read(folder.path())
        .expect_err("an invalid line")
        .to_string();
    assert!(error.contains("worse.ledger:1:"), "{error}");
    assert!(check(&[]).is_err() && check(&parse_line("1 answered 9 delivered")).is_err());
    let unknown = [
        entries[0].clone(),
        parse_line("1 answered 9 delivered").remove(0),
    ];
    let error = check(&unknown).expect_err("a request that was never sent");
    let source = EntryError::UnknownRequest {
        event: "an answer",
        ask: 9,
    };
    assert_eq!(error, CheckError::Entry { at: MS, source });
}
