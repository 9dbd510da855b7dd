//! A listener that records the calls it receives, and sample endpoints.
#![allow(dead_code, reason = "each test binary uses only some of these items")]

use bytes::BytesMut;
use havenplank::interface::{Build, Nanos, PodState, Stage, Vote, VoteReply};
use havenplank_line_protocol::codec::LineCodec;
use havenplank_line_protocol::control_plane::{self, ClassTally};
use havenplank_line_protocol::endpoint_list::{self, ListedEndpoint, NotificationParser};
use havenplank_line_protocol::ProtocolError;
use tokio_util::codec::Decoder;

/// Returns an endpoint whose fields are all derived from `n`.
pub fn endpoint(n: u64) -> ListedEndpoint {
    ListedEndpoint {
        name: format!("pod-{n}"),
        address: ([127, 0, 0, 1], 4000 + n as u16).into(),
        state: [PodState::Running, PodState::Draining, PodState::Gone][n as usize % 3],
        build: n as u32,
        incarnation: n * 7,
        age: n * 1_000_000_007,
        zone: "room-1".to_string(),
        machine: "three-core".to_string(),
        cell: n as i64 - 2,
        size: 0.5 + n as f64,
    }
}

/// Records each call as text.
#[derive(Default)]
pub struct Recorder(pub Vec<String>);

impl endpoint_list::Subscriber for Recorder {
    fn update_endpoints(&mut self, complete: bool, endpoints: Vec<ListedEndpoint>) {
        let list = endpoint_list::encode_cached(&endpoints);
        self.0.push(format!("{complete} {list}"));
    }
    fn poll_failed(&mut self, reason: &str) {
        self.0.push(format!("failed {reason}"));
    }
}

impl control_plane::Subscriber for Recorder {
    fn update_stage(&mut self, stage: Stage) {
        self.0.push(format!("{stage:?}"));
    }
    fn vote_answered(&mut self, vote: u64, reply: VoteReply) {
        self.0.push(format!("{vote} {reply:?}"));
    }
    fn update_tally(&mut self, tally: ClassTally) {
        self.0.push(format!("{tally:?}"));
    }
    fn report_fault(&mut self, pod: String, class: String, ago: Nanos) {
        self.0.push(format!("{pod} {class} {ago}"));
    }
}

impl control_plane::Service for Recorder {
    fn greeted(&mut self, name: String) {
        self.0.push(name);
    }
    fn cast_vote(&mut self, number: u64, build: Build, stage: usize, vote: Vote) {
        self.0.push(format!("{number} {build} {stage} {vote:?}"));
    }
}

/// Decodes lines of the endpoint list service until they end or one of them is rejected.
pub fn decode_notifications(
    text: &str,
    max_line_bytes: usize,
) -> (Recorder, Option<ProtocolError>) {
    let mut recorder = Recorder::default();
    let mut codec = LineCodec::new(NotificationParser::default(), max_line_bytes);
    let mut buffer = BytesMut::from(text.as_bytes());
    loop {
        match codec.decode(&mut buffer) {
            Ok(Some(notification)) => notification(&mut recorder),
            Ok(None) => return (recorder, None),
            Err(error) => return (recorder, Some(error)),
        }
    }
}
