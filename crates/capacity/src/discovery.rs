//! What one machine of service discovery and of the control plane must send to a whole fleet.
//!
//! All bytes are those of lines that the real codecs of the feeds write for sample pods; rates are these bytes
//! times the stated counts. Only the processor time of writing and reading a list is timed.

use crate::error::CapacityError;
use crate::report::{Point, Section, Series};
use crate::samples;
use havenplank::interface::{Phase, PodState, Stage, Vote, VoteReceipt};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_line_protocol::{control_plane, endpoint_list};
use std::time::Instant;

/// What a sidecar may receive for control, in bytes a second.
pub const CONTROL_BUDGET_BYTES_PER_S: f64 = 13_000.0;
const ROLL_SECONDS: f64 = 3_600.0;
/// Changes that a replaced pod makes: the new one runs, the old one drains, the old one is gone.
const CHANGES_PER_REPLACED_POD: f64 = 3.0;
/// How often the control plane repeats its news, and how long a vote stands.
const NEWS_REPEATED_EVERY_S: f64 = 4.0;
const VOTE_LIFE_S: f64 = 6.0;
/// A vote is cast again after 0.75 to 0.95 of its life less a call's time-out of one second.
const VOTE_CAST_AGAIN_AFTER_S: f64 = 0.85 * (VOTE_LIFE_S - 1.0);
const ETHERNET_BYTES_PER_S: f64 = 125e6;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// Sizes of the whole list.
    pub pods: Vec<usize>,
    /// Sizes of the fleet.
    pub sidecars: Vec<usize>,
    /// Pods of the services that one sidecar calls.
    pub subsets: Vec<usize>,
    /// How often a list is written and read for its processor time.
    pub rounds: usize,
}

impl Options {
    /// Returns small sizes for CI.
    pub fn quick() -> Options {
        Options {
            pods: vec![100, 1_000],
            sidecars: vec![100, 400],
            subsets: vec![52],
            rounds: 2,
        }
    }

    /// Returns sizes up to those to plan with.
    pub fn full() -> Options {
        Options {
            pods: vec![100, 1_000, 5_000, 10_000, 21_000],
            sidecars: vec![100, 400, 800, 1_600],
            subsets: vec![52, 156, 520, 21_000],
            rounds: 20,
        }
    }
}

/// Bytes of a whole list as it is sent.
pub fn complete_list_bytes(pods: &[ListedEndpoint]) -> usize {
    encoded(true, pods).len()
}

/// Bytes of one change as it is sent, whatever else is listed.
pub fn change_bytes(pod: &ListedEndpoint) -> usize {
    encoded(false, std::slice::from_ref(pod)).len()
}

fn encoded(whole: bool, pods: &[ListedEndpoint]) -> String {
    let mut text = String::new();
    // A number of as many digits as a feed has after some hours.
    endpoint_list::write_list(&mut text, 10_000, whole, pods);
    text
}

/// Bytes of the news of a stage, of a vote and of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlLineBytes {
    /// Of the notice of a stage.
    pub stage_update: usize,
    /// Of a vote.
    pub vote: usize,
    /// Of the answer to a vote.
    pub vote_reply: usize,
}

/// Returns the bytes of each line between a sidecar and the control plane.
pub fn control_line_bytes() -> ControlLineBytes {
    let stage = Stage {
        build: 1_042,
        stage: 2,
        phase: Phase::Trial,
        cap: 0.25,
        age: 90_000_000_000,
    };
    let (mut stage_update, mut vote_reply) = (String::new(), String::new());
    control_plane::write_stage(&mut stage_update, 10_000, &stage);
    control_plane::write_vote_reply(
        &mut vote_reply,
        10_000,
        500,
        VoteReceipt::Counted,
        Some(&stage),
    );
    let vote = control_plane::vote_line(500, stage.build, stage.stage, Vote::Advance);
    ControlLineBytes {
        stage_update: stage_update.len(),
        vote: vote.len(),
        vote_reply: vote_reply.len(),
    }
}

/// All sections of service discovery and of the control plane.
///
/// # Errors
/// A list that its own codec does not read back.
pub fn discovery(options: &Options) -> Result<Vec<Section>, CapacityError> {
    Ok(vec![
        lists(options),
        sent_by_one_machine(options),
        codec_time(options)?,
        control_plane(options),
    ])
}

fn points(sizes: &[usize], value: impl Fn(usize) -> f64) -> Vec<Point> {
    sizes
        .iter()
        .map(|size| Point {
            size: *size as f64,
            value: value(*size),
        })
        .collect()
}

fn lists(options: &Options) -> Section {
    let whole = |pods: usize| complete_list_bytes(&samples::pods(pods)) as f64;
    let changed = |pods: usize| change_bytes(&samples::pod(pods.saturating_sub(1))) as f64;
    let waits = |pods: usize| whole(pods) / CONTROL_BUDGET_BYTES_PER_S;
    let encoded = |name, points| Series::new(name, "pods", "encoded", points);
    Section {
        title: "Service discovery: a list for one sidecar".to_string(),
        series: vec![
            encoded("whole_list_bytes", points(&options.pods, whole)),
            encoded("one_change_bytes", points(&options.pods, changed)),
            encoded("whole_list_at_control_budget_s", points(&options.pods, waits)),
        ],
        notes: vec![
            format!("encoded: lines of the real codec for sample pods; budget {CONTROL_BUDGET_BYTES_PER_S} bytes/s"),
            "a sidecar that takes only the pods of its services takes the row of that many pods".to_string(),
        ],
    }
}

fn sent_by_one_machine(options: &Options) -> Section {
    let all = options.pods.iter().copied().max().unwrap_or(0);
    let change = change_bytes(&samples::pod(all.saturating_sub(1))) as f64;
    let changes_per_s = all as f64 * CHANGES_PER_REPLACED_POD / ROLL_SECONDS;
    let mut series = Vec::new();
    for subset in options.subsets.iter().map(|subset| (*subset).min(all)) {
        let whole = complete_list_bytes(&samples::pods(subset)) as f64;
        let share = subset as f64 / all.max(1) as f64;
        let received = changes_per_s * share * change;
        let by_sidecars = |name: String, each: f64| {
            let points = points(&options.sidecars, |sidecars| sidecars as f64 * each);
            Series::new(&name, "sidecars", "encoded", points)
        };
        series.push(by_sidecars(
            format!("rolling_release_sent_bytes_per_s, {subset} pods each"),
            received,
        ));
        series.push(by_sidecars(
            format!("restart_sent_bytes, {subset} pods each"),
            whole,
        ));
        let wire = whole / ETHERNET_BYTES_PER_S;
        series.push(by_sidecars(
            format!("restart_at_1_gbit_s, {subset} pods each"),
            wire,
        ));
        let points = vec![Point {
            size: subset as f64,
            value: received,
        }];
        series.push(Series::new(
            "rolling_release_received_bytes_per_s",
            "pods",
            "encoded",
            points,
        ));
    }
    Section {
        title: "Service discovery: one machine for all sidecars".to_string(),
        series,
        notes: vec![
            format!(
                "rolling release: {all} pods replaced in {ROLL_SECONDS} s, {CHANGES_PER_REPLACED_POD} changes each, \
                 {changes_per_s:.1} changes/s, each sent by itself"
            ),
            "restart: every sidecar connects again and takes a whole list at once; bytes only, no pacing".to_string(),
            "steady: without changes the codec sends nothing; there is no heartbeat line".to_string(),
            "encoded bytes times counts, without TCP and IP headers; nothing here was sent over sockets".to_string(),
        ],
    }
}

fn codec_time(options: &Options) -> Result<Section, CapacityError> {
    let (mut writing, mut reading) = (Vec::new(), Vec::new());
    for count in &options.pods {
        let pods = samples::pods(*count);
        let began = Instant::now();
        let text = (0..options.rounds)
            .map(|_| endpoint_list::encode_cached(&pods))
            .next_back()
            .unwrap_or_default();
        let wrote = began.elapsed().as_secs_f64() / options.rounds.max(1) as f64;
        let began = Instant::now();
        for _ in 0..options.rounds {
            endpoint_list::decode_cached(&text)
                .map_err(|error| CapacityError::Encoding(error.to_string()))?;
        }
        let read = began.elapsed().as_secs_f64() / options.rounds.max(1) as f64;
        writing.push(Point {
            size: *count as f64,
            value: wrote * 1e3,
        });
        reading.push(Point {
            size: *count as f64,
            value: read * 1e3,
        });
    }
    Ok(Section {
        title: "Service discovery: processor time of the codec".to_string(),
        series: vec![
            Series::new("write_whole_list_ms", "pods", "process", writing),
            Series::new("read_whole_list_ms", "pods", "process", reading),
        ],
        notes: vec![
            "timed in this process, without sockets; written anew for each sidecar as today"
                .to_string(),
        ],
    })
}

fn control_plane(options: &Options) -> Section {
    let bytes = control_line_bytes();
    let repeated =
        |sidecars: usize| sidecars as f64 * bytes.stage_update as f64 / NEWS_REPEATED_EVERY_S;
    let votes = |sidecars: usize| sidecars as f64 / VOTE_CAST_AGAIN_AFTER_S;
    let by_sidecars = |name, value: &dyn Fn(usize) -> f64| {
        Series::new(
            name,
            "sidecars",
            "encoded",
            points(&options.sidecars, value),
        )
    };
    Section {
        title: "Control plane: one machine for all sidecars".to_string(),
        series: vec![
            by_sidecars("news_sent_bytes_per_s", &repeated),
            by_sidecars("votes_received_per_s", &votes),
            by_sidecars("votes_received_bytes_per_s", &|sidecars| votes(sidecars) * bytes.vote as f64),
            by_sidecars("vote_answers_sent_bytes_per_s", &|sidecars| votes(sidecars) * bytes.vote_reply as f64),
            by_sidecars("stage_change_sent_bytes", &|sidecars| (sidecars * bytes.stage_update) as f64),
        ],
        notes: vec![
            format!("bytes of one line: news {}, vote {}, answer {}", bytes.stage_update, bytes.vote, bytes.vote_reply),
            format!(
                "news repeated every {NEWS_REPEATED_EVERY_S} s; while a vote stands it is cast again after \
                 {VOTE_CAST_AGAIN_AFTER_S:.2} s in the mean (life {VOTE_LIFE_S} s); all sidecars voting"
            ),
            "encoded bytes times counts; nothing here was sent over sockets".to_string(),
        ],
    }
}

/// The change that takes a pod off the list.
pub fn removal(pod: &ListedEndpoint) -> ListedEndpoint {
    ListedEndpoint {
        state: PodState::Gone,
        ..pod.clone()
    }
}
