//! Checks that notifications and votes are parsed back as they were written.

mod common;

use bytes::BytesMut;
use common::Recorder;
use havenplank::interface::{Phase, Stage, Vote, VoteReceipt, VoteReply};
use havenplank_line_protocol::codec::{greeting, LineCodec};
use havenplank_line_protocol::control_plane::{
    vote_line, write_fault, write_stage, write_tally, write_vote_reply, ClassTally,
    NotificationParser, RequestParser, PROTOCOL,
};
use tokio_util::codec::Decoder;

#[test]
fn parses_written_notifications_back() {
    let stage = Stage {
        build: 9,
        stage: 2,
        phase: Phase::RollingBack,
        cap: 0.425,
        age: 77,
    };
    let tally = ClassTally {
        build: 9,
        class: "query".to_string(),
        count: 10,
        failed: 3,
        mean_latency: 5,
        age: 6,
    };
    let mut text = greeting(PROTOCOL, None);
    write_stage(&mut text, 1, &stage);
    write_vote_reply(&mut text, 2, 5, VoteReceipt::Stale, Some(&stage));
    write_vote_reply(&mut text, 3, 6, VoteReceipt::Rejected, None);
    write_tally(&mut text, 4, &tally);
    write_fault(&mut text, 5, "pod-1", "query", 8);
    let mut recorder = Recorder::default();
    let mut codec = LineCodec::new(NotificationParser::default(), 256);
    let mut buffer = BytesMut::from(text.as_bytes());
    while let Some(notification) = codec.decode(&mut buffer).expect("the line is valid") {
        notification(&mut recorder);
    }
    let reply = |receipt, stage| format!("{:?}", VoteReply { receipt, stage });
    let expected = [
        format!("{stage:?}"),
        format!("5 {}", reply(VoteReceipt::Stale, Some(stage))),
        format!("6 {}", reply(VoteReceipt::Rejected, None)),
        format!("{tally:?}"),
        "pod-1 query 8".to_string(),
    ];
    assert_eq!(recorder.0, expected);
}

#[test]
fn parses_a_written_vote_back() {
    let text = greeting(PROTOCOL, Some("s-1")) + &vote_line(3, 9, 2, Vote::RollBack);
    let mut recorder = Recorder::default();
    let mut codec = LineCodec::new(RequestParser::default(), 256);
    let mut buffer = BytesMut::from(text.as_bytes());
    while let Some(request) = codec.decode(&mut buffer).expect("the line is valid") {
        request(&mut recorder);
    }
    assert_eq!(text, "hello desk 1 s-1\nvote 3 9 2 back\n");
    assert_eq!(recorder.0, ["s-1", "3 9 2 RollBack"]);
}
