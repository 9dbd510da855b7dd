//! Computes what one machine of service discovery and one of the control plane must send to all sidecars of a fleet.
//!
//! Sizes are those of the lines that the product's codecs write for sample pods. Rates are these sizes multiplied by
//! the stated counts. Only the processor time of encoding and decoding a list is measured by a clock.

use crate::error::CapacityError;
use crate::report::{Point, Section, Series};
use crate::samples;
use havenplank::interface::{Phase, PodState, Stage, Vote, VoteReceipt};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_line_protocol::{control_plane, endpoint_list};
use std::time::Instant;

/// Bytes of control traffic that a sidecar may receive per second.
pub const CONTROL_BUDGET_BYTES_PER_S: f64 = 13_000.0;
/// Duration of a rolling release that replaces all pods.
const ROLLING_RELEASE_S: f64 = 3_600.0;
/// Changes of the list for each replaced pod: the new pod runs, the old pod drains, the old pod is gone.
const CHANGES_PER_REPLACED_POD: f64 = 3.0;
/// Interval at which the control plane repeats the stage to each sidecar.
const STAGE_REPEAT_INTERVAL_S: f64 = 4.0;
/// How long a vote is valid.
const VOTE_VALIDITY_S: f64 = 6.0;
/// Mean interval at which a sidecar renews a vote. The time for which a vote can be renewed is its validity less a
/// call's timeout of one second; the renewal comes after 0.75 to 0.95 of that time.
const VOTE_RENEWAL_INTERVAL_S: f64 = 0.85 * (VOTE_VALIDITY_S - 1.0);
/// Rate of Ethernet at 1 Gbit/s.
const ETHERNET_BYTES_PER_S: f64 = 125e6;

/// The sizes to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// Numbers of pods in the complete list.
    pub pods: Vec<usize>,
    /// Numbers of sidecars in the fleet.
    pub sidecars: Vec<usize>,
    /// Numbers of pods of the services that one sidecar calls.
    pub subsets: Vec<usize>,
    /// How many times a list is encoded and decoded to measure the processor time.
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

    /// Returns sizes up to those of the planned fleet.
    pub fn full() -> Options {
        Options {
            pods: vec![100, 1_000, 5_000, 10_000, 21_000],
            sidecars: vec![100, 400, 800, 1_600],
            subsets: vec![52, 156, 520, 21_000],
            rounds: 20,
        }
    }
}

/// Returns the length of an encoded complete list, in bytes.
pub fn complete_list_bytes(pods: &[ListedEndpoint]) -> usize {
    encode(true, pods).len()
}

/// Returns the length of an encoded change of one pod, in bytes. It does not depend on the other pods of the list.
pub fn change_bytes(pod: &ListedEndpoint) -> usize {
    encode(false, std::slice::from_ref(pod)).len()
}

fn encode(complete: bool, pods: &[ListedEndpoint]) -> String {
    let mut text = String::new();
    // A message number with as many digits as on a connection that has been open for some hours.
    endpoint_list::write_list(&mut text, 10_000, complete, pods);
    text
}

/// Lengths of the lines between a sidecar and the control plane, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlLineBytes {
    /// Length of the line that announces a stage.
    pub stage_update: usize,
    /// Length of the line that casts a vote.
    pub vote: usize,
    /// Length of the line that replies to a vote.
    pub vote_reply: usize,
}

/// Returns the lengths of the lines between a sidecar and the control plane.
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

/// Measures service discovery and the control plane, and returns their sections.
///
/// # Errors
/// The codec cannot decode a list that it has encoded.
pub fn discovery(options: &Options) -> Result<Vec<Section>, CapacityError> {
    Ok(vec![
        list_lengths(options),
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

fn list_lengths(options: &Options) -> Section {
    let complete = |pods: usize| complete_list_bytes(&samples::pods(pods)) as f64;
    let changed = |pods: usize| change_bytes(&samples::pod(pods.saturating_sub(1))) as f64;
    let seconds_at_budget = |pods: usize| complete(pods) / CONTROL_BUDGET_BYTES_PER_S;
    let encoded = |name, points| Series::new(name, "pods", "encoded", points);
    Section {
        title: "Service discovery: a list for one sidecar".to_string(),
        series: vec![
            encoded("whole_list_bytes", points(&options.pods, complete)),
            encoded("one_change_bytes", points(&options.pods, changed)),
            encoded("whole_list_at_control_budget_s", points(&options.pods, seconds_at_budget)),
        ],
        notes: vec![
            format!(
                "encoded: lines of the product's codec for sample pods; budget {CONTROL_BUDGET_BYTES_PER_S} bytes/s"
            ),
            "for a sidecar that receives only the pods of its services, see the row of that many pods".to_string(),
        ],
    }
}

fn sent_by_one_machine(options: &Options) -> Section {
    let all = options.pods.iter().copied().max().unwrap_or(0);
    let change = change_bytes(&samples::pod(all.saturating_sub(1))) as f64;
    let changes_per_s = all as f64 * CHANGES_PER_REPLACED_POD / ROLLING_RELEASE_S;
    let mut series = Vec::new();
    for subset in options.subsets.iter().map(|subset| (*subset).min(all)) {
        let complete = complete_list_bytes(&samples::pods(subset)) as f64;
        let share = subset as f64 / all.max(1) as f64;
        let received = changes_per_s * share * change;
        let by_sidecars = |name: String, per_sidecar: f64| {
            let points = points(&options.sidecars, |sidecars| sidecars as f64 * per_sidecar);
            Series::new(&name, "sidecars", "encoded", points)
        };
        series.push(by_sidecars(
            format!("rolling_release_sent_bytes_per_s, {subset} pods each"),
            received,
        ));
        series.push(by_sidecars(
            format!("restart_sent_bytes, {subset} pods each"),
            complete,
        ));
        let transmission_s = complete / ETHERNET_BYTES_PER_S;
        series.push(by_sidecars(
            format!("restart_at_1_gbit_s, {subset} pods each"),
            transmission_s,
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
                "rolling release: {all} pods replaced in {ROLLING_RELEASE_S} s, {CHANGES_PER_REPLACED_POD} changes each, \
                 {changes_per_s:.1} changes/s, each sent separately"
            ),
            "restart: all sidecars reconnect and receive a complete list at once; bytes only, no pacing".to_string(),
            "steady state: without changes nothing is sent; there is no heartbeat line".to_string(),
            "encoded bytes times counts, without TCP and IP headers; nothing here was sent over sockets".to_string(),
        ],
    }
}

fn codec_time(options: &Options) -> Result<Section, CapacityError> {
    let (mut encoding, mut decoding) = (Vec::new(), Vec::new());
    for count in &options.pods {
        let pods = samples::pods(*count);
        let start = Instant::now();
        let text = (0..options.rounds)
            .map(|_| endpoint_list::encode_cached(&pods))
            .next_back()
            .unwrap_or_default();
        let encoding_s = start.elapsed().as_secs_f64() / options.rounds.max(1) as f64;
        let start = Instant::now();
        for _ in 0..options.rounds {
            endpoint_list::decode_cached(&text)
                .map_err(|error| CapacityError::Encoding(error.to_string()))?;
        }
        let decoding_s = start.elapsed().as_secs_f64() / options.rounds.max(1) as f64;
        encoding.push(Point {
            size: *count as f64,
            value: encoding_s * 1e3,
        });
        decoding.push(Point {
            size: *count as f64,
            value: decoding_s * 1e3,
        });
    }
    Ok(Section {
        title: "Service discovery: processor time of the codec".to_string(),
        series: vec![
            Series::new("write_whole_list_ms", "pods", "process", encoding),
            Series::new("read_whole_list_ms", "pods", "process", decoding),
        ],
        notes: vec![
            "timed in this process, without sockets; a server encodes the list anew for each sidecar"
                .to_string(),
        ],
    })
}

fn control_plane(options: &Options) -> Section {
    let bytes = control_line_bytes();
    let stage_bytes_per_s =
        |sidecars: usize| sidecars as f64 * bytes.stage_update as f64 / STAGE_REPEAT_INTERVAL_S;
    let votes_per_s = |sidecars: usize| sidecars as f64 / VOTE_RENEWAL_INTERVAL_S;
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
            by_sidecars("news_sent_bytes_per_s", &stage_bytes_per_s),
            by_sidecars("votes_received_per_s", &votes_per_s),
            by_sidecars("votes_received_bytes_per_s", &|sidecars| votes_per_s(sidecars) * bytes.vote as f64),
            by_sidecars("vote_answers_sent_bytes_per_s", &|sidecars| votes_per_s(sidecars) * bytes.vote_reply as f64),
            by_sidecars("stage_change_sent_bytes", &|sidecars| (sidecars * bytes.stage_update) as f64),
        ],
        notes: vec![
            format!("bytes of one line: stage {}, vote {}, reply {}", bytes.stage_update, bytes.vote, bytes.vote_reply),
            format!(
                "the stage is repeated every {STAGE_REPEAT_INTERVAL_S} s; a valid vote is renewed after \
                 {VOTE_RENEWAL_INTERVAL_S:.2} s on average (valid for {VOTE_VALIDITY_S} s); all sidecars vote"
            ),
            "encoded bytes times counts; nothing here was sent over sockets".to_string(),
        ],
    }
}

/// Returns the change that removes a pod from the list.
pub fn removal(pod: &ListedEndpoint) -> ListedEndpoint {
    ListedEndpoint {
        state: PodState::Gone,
        ..pod.clone()
    }
}
