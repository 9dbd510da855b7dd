//! Cut, merge, anonymise, summarise and replay on recorded lives.

mod common;

use common::*;
use havenplank::interface::{AttemptEnd, Nanos};
use havenplank_sidecar::engine::{Effect, EPOCH};
use havenplank_sidecar::events::Event;
use havenplank_trace::file::{Reader, Writer};
use havenplank_trace::{anonymise, cut, merge, replay, summary, Payload, Record, TraceError};
use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::Cursor;

fn replayed(files: &[Vec<u8>]) -> replay::Outcome {
    let readers = files.iter().map(|file| open(file)).collect();
    let (mut played, damage) = replay::replay(readers).unwrap();
    assert!(damage.is_none() && played.len() == 1);
    played.remove(0).1
}

fn rewritten(file: &[u8], change: impl Fn(usize, &mut Record)) -> Vec<u8> {
    let head = open(file).head;
    let mut writer = Writer::new(Vec::new(), &head, Vec::new()).unwrap();
    for (n, mut record) in all(file).into_iter().enumerate() {
        change(n, &mut record);
        writer.put(record).unwrap();
    }
    writer.finish().unwrap()
}

#[test]
fn a_replay_does_the_same_and_names_the_first_difference() {
    let run = SidecarRun::new("sidecar-0", 7, 8 * S);
    let file = file(&run);
    let same = replayed(std::slice::from_ref(&file));
    assert!(
        same.first_difference.is_none() && same.stopped_at.is_none(),
        "{same:?}"
    );
    assert!(same.requests == 1_600 && same.compared > 4_000, "{same:?}");
    // What was recorded is found out where it is not what is done.
    let records = all(&file);
    let nth = records
        .iter()
        .position(|r| {
            matches!(
                r.payload,
                Payload::Effect(Effect::SendAttempt { request: 500, .. })
            )
        })
        .unwrap();
    let other = rewritten(&file, |n, record| {
        if let (
            true,
            Payload::Effect(Effect::SendAttempt {
                timeout: time_out, ..
            }),
        ) = (n == nth, &mut record.payload)
        {
            *time_out += 1;
        }
    });
    assert_eq!(
        replayed(&[other])
            .first_difference
            .map(|differs| differs.record),
        Some(nth as u64)
    );
    // So is another constant in what decides.
    let mut reader = open(&file);
    reader.head.sources[0].settings.exposure.caps[0] = 0.3;
    let (played, _) = replay::replay(vec![reader]).unwrap();
    assert!(played[0].1.first_difference.is_some());
    // And an effect that was left out at the end.
    let last = records
        .iter()
        .rposition(|r| matches!(r.payload, Payload::Effect(_)))
        .unwrap();
    let mut writer = Writer::new(Vec::new(), &open(&file).head, Vec::new()).unwrap();
    let short = records
        .into_iter()
        .enumerate()
        .filter(|(n, _)| *n != last)
        .map(|(_, record)| record);
    short.for_each(|record| writer.put(record).unwrap());
    assert!(replayed(&[writer.finish().unwrap()])
        .first_difference
        .is_some());
}

#[test]
fn parts_play_in_order_and_a_cut_beginning_plays_to_its_end() {
    let mut run = SidecarRun::new("sidecar-0", 3, 6 * S);
    run.limits.file_age = 2 * S;
    let parts = files(&run);
    assert!(parts.len() >= 3, "{}", parts.len());
    let whole = replayed(&parts);
    assert!(
        whole.first_difference.is_none() && whole.requests == 1_200,
        "{whole:?}"
    );
    let later = replay::replay(vec![open(&parts[1])]);
    assert!(matches!(later, Err(TraceError::Unusable(_))));
    let order = replay::replay(vec![open(&parts[0]), open(&parts[2])]);
    assert!(matches!(order, Err(TraceError::Unusable(_))));
    let mut beginning = Vec::new();
    cut::cut(&mut open(&parts[0]), &mut beginning, EPOCH, EPOCH + S).unwrap();
    let played = replayed(&[beginning]);
    assert!(
        played.first_difference.is_none()
            && played.requests == 200
            && played.stopped_at >= Some(EPOCH + S),
        "{played:?}"
    );
}

#[test]
fn a_cut_holds_whole_hits_and_all_else_of_its_time() {
    let file = file(&SidecarRun::new("sidecar-0", 5, 6 * S));
    let (from, to) = (EPOCH + 2 * S, EPOCH + 4 * S);
    let mut bytes = Vec::new();
    let mut reader = open(&file);
    let blocks = reader.index.len();
    let (made, damage) = cut::cut(&mut reader, &mut bytes, from, to).unwrap();
    assert!(
        damage.is_none() && made.blocks < blocks && made.unfinished == 0,
        "{made:?} of {blocks}"
    );
    let requests: HashSet<u64> = all(&file)
        .iter()
        .filter(|record| record.is_arrival() && (from..to).contains(&record.at))
        .filter_map(Record::request_id)
        .collect();
    let wanted: Vec<Record> = all(&file)
        .into_iter()
        .filter(|record| match record.request_id() {
            Some(hit) => requests.contains(&hit),
            None => (from..to).contains(&record.at),
        })
        .collect();
    assert_eq!(requests.len() as u64, made.requests);
    assert_eq!(all(&bytes), wanted);
    // The stage in force comes with it though its news came before.
    assert!(open(&bytes).record().unwrap().is_some());
    let mut reader = open(&bytes);
    reader.record().unwrap();
    assert!(reader.stages_in_force.len() == 1 && reader.stages_in_force[0].at < from);
    assert!(matches!(
        cut::cut(&mut open(&file), Vec::new(), to + 9 * S, to + 10 * S),
        Err(TraceError::Unusable(_))
    ));
}

#[test]
fn twenty_sidecars_with_clocks_apart_merge_in_order() {
    let mut chance = Rand64::new(11);
    let mut runs: Vec<SidecarRun> = (0..20)
        .map(|n| {
            let mut run = SidecarRun::new(&format!("sidecar-{n}"), 100 + n, 12 * S);
            run.skew = chance.rand_range(0..6_000_000_000) as i64 - 3_000_000_000;
            run.drift = (chance.rand_float() - 0.5) * 4e-4;
            run.notice = 40 * MS;
            run
        })
        .collect();
    // One restarts in the middle, on the same clock; another has the very same times as the first.
    runs[4].lasts = 5 * S;
    runs.push(SidecarRun {
        seed: 900,
        starts: 6 * S,
        lasts: 6 * S,
        ..runs[4].clone()
    });
    runs.push(SidecarRun {
        name: "twin".to_string(),
        ..runs[0].clone()
    });
    let files: Vec<Vec<u8>> = runs.iter().map(file).collect();
    let mut bytes = Vec::new();
    let clocks = merge::merge(files.iter().map(|file| open(file)).collect(), &mut bytes).unwrap();
    assert!(
        clocks
            .iter()
            .all(|clock| clock.events >= 10 || clock.offset == 0),
        "{clocks:?}"
    );
    let merged = all(&bytes);
    assert!(merged.windows(2).all(|two| two[0].at <= two[1].at));
    for (n, file) in files.iter().enumerate() {
        let of = |record: &Record| {
            (
                record.engine_time,
                record.payload.clone(),
                record.pod.clone(),
            )
        };
        let (own, there): (Vec<_>, Vec<_>) = (
            all(file).iter().map(of).collect(),
            merged.iter().filter(|r| r.source == n).map(of).collect(),
        );
        assert!(own == there, "source {n} keeps its records and their order");
    }
    // What all were told at once now lies as close as the telling took.
    let mut heard: HashMap<(u64, u64, u64), (Nanos, Nanos)> = HashMap::new();
    for record in merged.iter() {
        if let Payload::Event(Event::EndpointsListed {
            complete: false,
            pods,
            ..
        }) = &record.payload
        {
            let key = (
                pods[0].address.port() as u64,
                pods[0].incarnation,
                pods[0].state as u64,
            );
            let (first, last) = heard.entry(key).or_insert((record.at, record.at));
            (*first, *last) = ((*first).min(record.at), (*last).max(record.at));
        }
    }
    let widest = heard
        .values()
        .map(|(first, last)| last - first)
        .max()
        .unwrap();
    assert!(
        heard.len() > 25 && widest < 90 * MS,
        "{} events, {widest} ns",
        heard.len()
    );
    let base = clocks.iter().position(|clock| clock.offset == 0).unwrap();
    for (clock, run) in clocks.iter().zip(&runs) {
        assert!(
            (run.skew - runs[base].skew + clock.offset).abs() < 60_000_000,
            "{clock:?}"
        );
    }
    // It plays as its parts do, each source by itself.
    let (played, _) = replay::replay(vec![open(&bytes)]).unwrap();
    assert!(
        played.len() == 22
            && played
                .iter()
                .all(|(_, outcome)| outcome.first_difference.is_none())
    );
    // Parts of a life out of order are refused.
    let wrong = merge::merge(vec![open(&files[0]), open(&files[0])], Vec::new());
    assert!(matches!(wrong, Err(TraceError::Unusable(_))));
}

/// Everything that a file says, unpacked: its greeting and each block's body.
fn unpacked(bytes: &[u8]) -> Vec<u8> {
    let mut reader = open(bytes);
    let mut text = serde_json::to_vec(&reader.head).unwrap();
    for entry in &reader.index {
        let from = entry.offset as usize + 48;
        text.extend(
            zstd::bulk::decompress(&bytes[from..from + entry.packed as usize], 8 << 20).unwrap(),
        );
    }
    while let Some(record) = reader.record().unwrap() {
        text.extend(format!("{record:?}").into_bytes());
    }
    text
}

#[test]
fn anonymised_traces_hold_no_name_and_play_the_same() {
    let mut run = SidecarRun::new("Frontdoor-Krakow-1", 21, 6 * S);
    run.skew = 5;
    let file = file(&run);
    let mut bytes = Vec::new();
    anonymise::anonymise(&mut open(&file), &mut bytes, [9; 32]).unwrap();
    let mut names: HashSet<String> =
        HashSet::from(["example.org".to_string(), "vote back build".to_string()]);
    let mut keys: HashSet<u64> = HashSet::new();
    let settings = &open(&file).head.sources[0].settings;
    names.extend([settings.name.clone()]);
    names.extend(
        settings
            .zones
            .iter()
            .chain(&settings.machines)
            .chain(&settings.tenants)
            .cloned(),
    );
    names.extend(settings.route_classes.iter().map(|(name, _)| name.clone()));
    for record in all(&file) {
        match record.payload {
            Payload::Event(Event::EndpointsListed { pods, .. }) => {
                for pod in pods {
                    names.extend([
                        pod.name,
                        pod.address.to_string(),
                        pod.address.ip().to_string(),
                        pod.zone,
                    ]);
                }
            }
            Payload::Event(Event::RequestArrived {
                attributes: asked, ..
            }) => drop(keys.insert(asked.key)),
            Payload::Effect(Effect::Log(text)) => drop(names.insert(text)),
            _ => {}
        }
    }
    let found = |bytes: &[u8]| -> Vec<String> {
        let text = unpacked(bytes).to_ascii_lowercase();
        let holds = |name: &str| {
            text.windows(name.len())
                .any(|part| part == name.to_ascii_lowercase().as_bytes())
        };
        names.iter().filter(|name| holds(name)).cloned().collect()
    };
    assert!(names.len() > 30, "{names:?}");
    assert_eq!(found(&file).len(), names.len());
    assert_eq!(found(&bytes), Vec::<String>::new());
    let veiled: HashSet<u64> = all(&bytes)
        .into_iter()
        .filter_map(|record| match record.payload {
            Payload::Event(Event::RequestArrived {
                attributes: asked, ..
            }) => Some(asked.key),
            _ => None,
        })
        .collect();
    assert!(
        veiled.len() == keys.len() && veiled.is_disjoint(&keys),
        "one stand-in for each key"
    );
    let (before, after) = (
        replayed(std::slice::from_ref(&file)),
        replayed(std::slice::from_ref(&bytes)),
    );
    assert!(
        after.first_difference.is_none() && after == before,
        "{after:?}"
    );
    // Nothing of a name's length shows; another key gives other stand-ins, the same key the same.
    let stand_ins = |bytes: &[u8]| -> Vec<String> {
        all(bytes)
            .into_iter()
            .filter_map(|record| Some(record.pod?.name.clone()))
            .collect()
    };
    let first = stand_ins(&bytes);
    assert!(first.iter().all(|name| name.len() == first[0].len()));
    let again = |key| {
        let mut bytes = Vec::new();
        anonymise::anonymise(&mut open(&file), &mut bytes, key).unwrap();
        stand_ins(&bytes)
    };
    assert!(again([9; 32]) == first && again([8; 32]) != first);
    assert_eq!(
        Reader::open(Cursor::new(bytes)).unwrap().head.sources[0]
            .settings
            .zones[0]
            .len(),
        25
    );
}

#[test]
fn a_summary_counts_what_was_recorded() {
    let file = file(&SidecarRun::new("sidecar-0", 5, 6 * S));
    let (summary, damage) = summary::summarise(&mut open(&file), Some(S)).unwrap();
    let records = all(&file);
    let count = |of: &dyn Fn(&Payload) -> bool| {
        records.iter().filter(|record| of(&record.payload)).count() as u64
    };
    let sum = |of: fn(&summary::Figures) -> u64| summary.builds.values().map(of).sum::<u64>();
    assert!(
        damage.is_none() && summary.requests == 1_200 && summary.records == records.len() as u64
    );
    assert_eq!(sum(|f| f.requests) + summary.unfinished, 1_200);
    let delivered = count(&|what| {
        matches!(
            what,
            Payload::Event(Event::AttemptEnded {
                delivered: true,
                ..
            })
        )
    });
    assert!(sum(|f| f.delivered) == delivered && delivered > 1_000);
    assert_eq!(
        sum(|f| f.rejected),
        count(&|what| matches!(what, Payload::Effect(Effect::Reject { .. })))
    );
    assert_eq!(
        sum(|f| f.failed),
        count(&|what| matches!(what, Payload::Effect(Effect::Fail { .. })))
    );
    let errors = count(&|what| {
        matches!(
            what,
            Payload::Event(Event::AttemptEnded {
                end: AttemptEnd::Failed,
                ..
            })
        )
    });
    let by_pod: BTreeMap<&str, u64> =
        summary
            .pods
            .values()
            .flatten()
            .fold(BTreeMap::new(), |mut sums, (end, count)| {
                *sums.entry(*end).or_default() += count;
                sums
            });
    assert!(by_pod["error"] == errors && errors > 10);
    let spans: u64 = summary.spans.values().map(|figures| figures[0]).sum();
    assert!(spans + summary.unfinished == 1_200 && summary.spans.len() >= 6);
    let exposed = &summary.exposure[&("sidecar-0".to_string(), 2)];
    assert!(
        exposed.exposed_requests > 10
            && exposed.max_allowance_used > 0.1
            && exposed.max_allowance_used <= 1.0,
        "{exposed:?}"
    );
    assert!(summary.votes.keys().any(|(build, _, _)| *build == 2));
    assert!(matches!(
        summary::summarise(&mut open(&file), Some(1)),
        Err(TraceError::Unusable(_))
    ));
}
