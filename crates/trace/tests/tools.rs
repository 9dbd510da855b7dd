//! Tests of cut, merge, anonymise, summarise and replay on recorded runs.

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

/// Replays the files of one run, which must not be damaged.
fn replayed(files: &[Vec<u8>]) -> replay::Outcome {
    let readers = files.iter().map(|file| open(file)).collect();
    let (mut outcomes, damage) = replay::replay(readers).unwrap();
    assert!(damage.is_none() && outcomes.len() == 1);
    outcomes.remove(0).1
}

/// Returns a copy of a file with each record changed by `change`, which gets the number of the record.
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
fn replays_without_a_difference_and_reports_the_first_changed_decision() {
    let run = SidecarRun::new("sidecar-0", 7, 8 * S);
    let file = file(&run);
    let same = replayed(std::slice::from_ref(&file));
    assert!(
        same.first_difference.is_none() && same.stopped_at.is_none(),
        "{same:?}"
    );
    assert!(same.requests == 1_600 && same.compared > 4_000, "{same:?}");
    // A changed effect in the file is reported.
    let records = all(&file);
    let changed = records
        .iter()
        .position(|r| {
            matches!(
                r.payload,
                Payload::Effect(Effect::SendAttempt { request: 500, .. })
            )
        })
        .unwrap();
    let altered = rewritten(&file, |n, record| {
        if let (true, Payload::Effect(Effect::SendAttempt { timeout, .. })) =
            (n == changed, &mut record.payload)
        {
            *timeout += 1;
        }
    });
    assert_eq!(
        replayed(&[altered])
            .first_difference
            .map(|differs| differs.record),
        Some(changed as u64)
    );
    // So is a difference that comes from another exposure cap in the settings.
    let mut reader = open(&file);
    reader.head.sources[0].settings.exposure.caps[0] = 0.3;
    let (outcomes, _) = replay::replay(vec![reader]).unwrap();
    assert!(outcomes[0].1.first_difference.is_some());
    // So is an effect that is missing at the end.
    let last = records
        .iter()
        .rposition(|r| matches!(r.payload, Payload::Effect(_)))
        .unwrap();
    let mut writer = Writer::new(Vec::new(), &open(&file).head, Vec::new()).unwrap();
    let shortened = records
        .into_iter()
        .enumerate()
        .filter(|(n, _)| *n != last)
        .map(|(_, record)| record);
    shortened.for_each(|record| writer.put(record).unwrap());
    assert!(replayed(&[writer.finish().unwrap()])
        .first_difference
        .is_some());
}

#[test]
fn replays_parts_in_order_and_a_cut_to_its_end() {
    let mut run = SidecarRun::new("sidecar-0", 3, 6 * S);
    run.limits.file_age = 2 * S;
    let parts = files(&run);
    assert!(parts.len() >= 3, "{}", parts.len());
    let all_parts = replayed(&parts);
    assert!(
        all_parts.first_difference.is_none() && all_parts.requests == 1_200,
        "{all_parts:?}"
    );
    let later = replay::replay(vec![open(&parts[1])]);
    assert!(matches!(later, Err(TraceError::Unusable(_))));
    let order = replay::replay(vec![open(&parts[0]), open(&parts[2])]);
    assert!(matches!(order, Err(TraceError::Unusable(_))));
    let mut beginning = Vec::new();
    cut::cut(&mut open(&parts[0]), &mut beginning, EPOCH, EPOCH + S).unwrap();
    let outcomes = replayed(&[beginning]);
    assert!(
        outcomes.first_difference.is_none()
            && outcomes.requests == 200
            && outcomes.stopped_at >= Some(EPOCH + S),
        "{outcomes:?}"
    );
}

#[test]
fn cuts_complete_requests_and_all_other_records_of_the_time() {
    let file = file(&SidecarRun::new("sidecar-0", 5, 6 * S));
    let (from, to) = (EPOCH + 2 * S, EPOCH + 4 * S);
    let mut bytes = Vec::new();
    let mut reader = open(&file);
    let blocks = reader.index.len();
    let (cut, damage) = cut::cut(&mut reader, &mut bytes, from, to).unwrap();
    assert!(
        damage.is_none() && cut.blocks < blocks && cut.unfinished == 0,
        "{cut:?} of {blocks}"
    );
    let requests: HashSet<u64> = all(&file)
        .iter()
        .filter(|record| record.is_arrival() && (from..to).contains(&record.at))
        .filter_map(Record::request_id)
        .collect();
    let expected: Vec<Record> = all(&file)
        .into_iter()
        .filter(|record| match record.request_id() {
            Some(hit) => requests.contains(&hit),
            None => (from..to).contains(&record.at),
        })
        .collect();
    assert_eq!(requests.len() as u64, cut.requests);
    assert_eq!(all(&bytes), expected);
    // The cut has the stage in force although the stage began before the cut.
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
fn merges_twenty_sidecars_with_different_clocks_in_order() {
    let mut random = Rand64::new(11);
    let mut runs: Vec<SidecarRun> = (0..20)
        .map(|n| {
            let mut run = SidecarRun::new(&format!("sidecar-{n}"), 100 + n, 12 * S);
            run.skew = random.rand_range(0..6_000_000_000) as i64 - 3_000_000_000;
            run.drift = (random.rand_float() - 0.5) * 4e-4;
            run.max_notice_delay = 40 * MS;
            run
        })
        .collect();
    // One sidecar restarts in the middle on the same clock; another one has the same times as the first.
    runs[4].duration = 5 * S;
    runs.push(SidecarRun {
        seed: 900,
        start: 6 * S,
        duration: 6 * S,
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
        let content = |record: &Record| {
            (
                record.engine_time,
                record.payload.clone(),
                record.pod.clone(),
            )
        };
        let (recorded, found): (Vec<_>, Vec<_>) = (
            all(file).iter().map(content).collect(),
            merged
                .iter()
                .filter(|r| r.source == n)
                .map(content)
                .collect(),
        );
        assert!(
            recorded == found,
            "source {n}: the merged file has other records or another order"
        );
    }
    // After the merge, a shared event is spread over no more than the delays with which the sidecars received it.
    let mut received: HashMap<(u64, u64, u64), (Nanos, Nanos)> = HashMap::new();
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
            let (first, last) = received.entry(key).or_insert((record.at, record.at));
            (*first, *last) = ((*first).min(record.at), (*last).max(record.at));
        }
    }
    let widest = received
        .values()
        .map(|(first, last)| last - first)
        .max()
        .unwrap();
    assert!(
        received.len() > 25 && widest < 90 * MS,
        "{} events, {widest} ns",
        received.len()
    );
    let reference = clocks.iter().position(|clock| clock.offset == 0).unwrap();
    for (clock, run) in clocks.iter().zip(&runs) {
        assert!(
            (run.skew - runs[reference].skew + clock.offset).abs() < 60_000_000,
            "{clock:?}"
        );
    }
    // Each source of the merged file replays without a difference.
    let (outcomes, _) = replay::replay(vec![open(&bytes)]).unwrap();
    assert!(
        outcomes.len() == 22
            && outcomes
                .iter()
                .all(|(_, outcome)| outcome.first_difference.is_none())
    );
    // Parts of an incarnation out of order are rejected.
    let wrong = merge::merge(vec![open(&files[0]), open(&files[0])], Vec::new());
    assert!(matches!(wrong, Err(TraceError::Unusable(_))));
}

/// Returns all content of a file, uncompressed: the head, the body of each block, and the records as text.
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
fn anonymised_traces_contain_no_name_and_replay_the_same() {
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
                attributes: arrived,
                ..
            }) => drop(keys.insert(arrived.key)),
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
    let pseudonym_keys: HashSet<u64> = all(&bytes)
        .into_iter()
        .filter_map(|record| match record.payload {
            Payload::Event(Event::RequestArrived { attributes, .. }) => Some(attributes.key),
            _ => None,
        })
        .collect();
    assert!(
        pseudonym_keys.len() == keys.len() && pseudonym_keys.is_disjoint(&keys),
        "one pseudonym for each key"
    );
    let (before, after) = (
        replayed(std::slice::from_ref(&file)),
        replayed(std::slice::from_ref(&bytes)),
    );
    assert!(
        after.first_difference.is_none() && after == before,
        "{after:?}"
    );
    // The pseudonyms do not show the length of a name. The same key gives the same pseudonyms, another key gives
    // others.
    let pseudonyms = |bytes: &[u8]| -> Vec<String> {
        all(bytes)
            .into_iter()
            .filter_map(|record| Some(record.pod?.name.clone()))
            .collect()
    };
    let first = pseudonyms(&bytes);
    assert!(first.iter().all(|name| name.len() == first[0].len()));
    let pseudonyms_with = |key| {
        let mut bytes = Vec::new();
        anonymise::anonymise(&mut open(&file), &mut bytes, key).unwrap();
        pseudonyms(&bytes)
    };
    assert!(pseudonyms_with([9; 32]) == first && pseudonyms_with([8; 32]) != first);
    assert_eq!(
        Reader::open(Cursor::new(bytes)).unwrap().head.sources[0]
            .settings
            .zones[0]
            .len(),
        25
    );
}

#[test]
fn a_summary_counts_the_recorded_requests_attempts_and_votes() {
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
    let delivered = count(&|payload| {
        matches!(
            payload,
            Payload::Event(Event::AttemptEnded {
                delivered: true,
                ..
            })
        )
    });
    assert!(sum(|f| f.delivered) == delivered && delivered > 1_000);
    assert_eq!(
        sum(|f| f.rejected),
        count(&|payload| matches!(payload, Payload::Effect(Effect::Reject { .. })))
    );
    assert_eq!(
        sum(|f| f.failed),
        count(&|payload| matches!(payload, Payload::Effect(Effect::Fail { .. })))
    );
    let errors = count(&|payload| {
        matches!(
            payload,
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
