//! For each rule a ledger that just keeps it and one that narrowly breaks it, in `ledgers/`.
//!
//! A line is a time in ms and words; `keeps` or `breaks RULE` begins each ledger of a file. The figures: path
//! groups read (repeatable), mark (tagged for 5 s), cell (tagged within a cell) and write (mutating), drain grace
//! 500 ms, cold pods fall at 3 times their capacity over 2 s, exposure 2 free in 6 s, caps 0.1 and 0.5, the first
//! stage guarded, one-way, slack 20 ms, transit 50 ms.

use havenplank::interface::{DedupScope, Idempotency};
use havenplank_invariants::ledger::{self, Answer, Cold, Entry, Exposure, Figures, Group, Seen};
use havenplank_invariants::{check, CheckError, EntryError};
use std::path::Path;

const MS: u64 = 1_000_000;

fn figures() -> Figures {
    let groups = vec![
        Group::new("read", Idempotency::Idempotent, DedupScope::All, 0),
        Group::new("mark", Idempotency::Keyed, DedupScope::All, 5_000 * MS),
        Group::new("cell", Idempotency::Keyed, DedupScope::Cell, 5_000 * MS),
        Group::new("write", Idempotency::NonIdempotent, DedupScope::All, 0),
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
    Figures {
        groups,
        drain_grace: 500 * MS,
        overload_multiple: 3.0,
        overload_window: 2_000 * MS,
        exposure,
        answer_slack: 20 * MS,
        transit: 50 * MS,
    }
}

/// The entries of one line; `xN` at its end repeats it, each a ms after the other and with the next ask.
fn line(text: &str) -> Vec<Entry> {
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
            let group = |at: usize| {
                ["read", "mark", "cell", "write"]
                    .iter()
                    .position(|g| *g == words[at])
            };
            let seen = match words[1] {
                "up" => Seen::SidecarUp { sidecar: name(2) },
                "killed" => Seen::SidecarKilled { sidecar: name(2) },
                "stops" => Seen::SidecarStops { sidecar: name(2) },
                // ask sidecar group key left_ms
                "asked" => Seen::Asked {
                    ask: ask(2),
                    hit: ask(2),
                    sidecar: name(3),
                    group: group(4).unwrap_or_else(|| panic!("{text}: no such group")),
                    key: number(5) as u64,
                    left: number(6) as u64 * MS,
                },
                "answered" => {
                    let answer = serde_json::from_str::<Answer>(&format!("\"{}\"", words[3]));
                    let answer = answer.unwrap_or_else(|_| panic!("{text}: no such answer"));
                    let retry_after = if words.len() > 4 {
                        number(4) as u64 * MS
                    } else {
                        0
                    };
                    Seen::Answered {
                        ask: ask(2),
                        answer,
                        retry_after,
                    }
                }
                // pod life build cell; a capacity of one core, cold at half for 4 s
                "pod" => Seen::PodUp {
                    pod: name(2),
                    life: number(3) as u64,
                    build: number(4) as u32,
                    zone: "z".to_string(),
                    cell: number(5) as i64,
                    cold: Cold {
                        capacity: 1e9,
                        share: 0.5,
                        warm_up: 4_000 * MS,
                    },
                },
                "arrived" => Seen::Arrived {
                    ask: ask(2),
                    sidecar: name(3),
                    pod: name(4),
                    life: 1,
                    work: if words.len() > 5 {
                        number(5) as u64 * MS
                    } else {
                        MS
                    },
                },
                "unseen" => Seen::Unseen {
                    ask: ask(2),
                    pod: name(3),
                    life: 1,
                },
                "ran" => Seen::Ran {
                    ask: ask(2),
                    pod: name(3),
                    life: 1,
                },
                "gave" => Seen::Gave {
                    ask: ask(2),
                    pod: name(3),
                    life: 1,
                },
                "told" => Seen::Told {
                    sidecar: name(2),
                    pod: name(3),
                    life: 1,
                    state: name(4),
                },
                // sidecar build stage phase cap
                "news" => Seen::News {
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
                seen,
            }
        })
        .collect()
}

#[test]
fn each_rule_is_kept_narrowly_and_broken_narrowly() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/ledgers");
    let mut rules = std::collections::BTreeMap::new();
    for file in std::fs::read_dir(folder).expect("the ledgers") {
        let file = file.expect("a ledger").path();
        let text = std::fs::read_to_string(&file).expect("a text");
        let common = text.split("\n# ").next().unwrap_or("");
        for part in text.split("\n# ").skip(1) {
            let (title, lines) = part.split_once('\n').expect("a title and lines");
            let mut entries = vec![Entry {
                at: 0,
                seen: Seen::Figures(figures()),
            }];
            for text in common
                .lines()
                .chain(lines.lines())
                .filter(|line| !line.trim().is_empty())
            {
                entries.extend(line(text));
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
    assert_eq!(rules.len(), 5, "a file for each rule");
    assert!(
        rules
            .values()
            .all(|(kept, broken)| *kept > 0 && *broken > 0),
        "both for each: {rules:?}"
    );
}

#[test]
fn a_ledger_reads_back_as_written_and_a_wrong_line_is_told() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut entries = vec![Entry {
        at: 0,
        seen: Seen::Figures(figures()),
    }];
    entries.extend(line("3 asked 1 s read 7 100"));
    entries.extend(line("5 answered 1 bounced 1000"));
    ledger::write(folder.path(), "day", &entries).expect("written");
    assert_eq!(ledger::read(folder.path()).expect("read"), entries);
    std::fs::write(folder.path().join("worse.ledger"), "{\"at\":1}\n").expect("written");
    let error = ledger::read(folder.path())
        .expect_err("no entry")
        .to_string();
    assert!(error.contains("worse.ledger:1:"), "{error}");
    assert!(check(&[]).is_err() && check(&line("1 answered 9 delivered")).is_err());
    let unknown = [entries[0].clone(), line("1 answered 9 delivered").remove(0)];
    let error = check(&unknown).expect_err("never asked");
    let source = EntryError::UnknownRequest {
        event: "an answer",
        ask: 9,
    };
    assert_eq!(error, CheckError::Entry { at: MS, source });
}
