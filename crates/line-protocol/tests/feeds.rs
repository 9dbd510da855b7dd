//! What is written is read back; what is wrong is refused with its line; a feed that breaks starts anew.

use bytes::BytesMut;
use havenplank::interface::{Build, Nanos, Phase, PodState, Stage, Vote, VoteReceipt, VoteReply};
use havenplank_line_protocol::lines::{hello, Lines};
use havenplank_line_protocol::{desk, follow, nodes, FeedError};
use proptest::prelude::*;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio_util::codec::Decoder;

fn pod(n: u64) -> nodes::Listed {
    nodes::Listed {
        name: format!("pod-{n}"),
        address: ([127, 0, 0, 1], 4000 + n as u16).into(),
        state: [PodState::Running, PodState::Draining, PodState::Gone][n as usize % 3],
        build: n as u32,
        life: n * 7,
        age: n * 1_000_000_007,
        zone: "room-1".to_string(),
        machine: "three-core".to_string(),
        cell: n as i64 - 2,
        size: 0.5 + n as f64,
    }
}

#[derive(Default)]
struct Heart(Vec<String>);

impl nodes::Hears for Heart {
    fn list(&mut self, whole: bool, pods: Vec<nodes::Listed>) {
        self.0.push(format!("{whole} {}", nodes::keep(&pods)));
    }
    fn failed(&mut self, why: &str) {
        self.0.push(format!("failed {why}"));
    }
}

impl desk::Hears for Heart {
    fn stage(&mut self, stage: Stage) {
        self.0.push(format!("{stage:?}"));
    }
    fn voted(&mut self, vote: u64, news: VoteReply) {
        self.0.push(format!("{vote} {news:?}"));
    }
    fn tally(&mut self, build: Build, group: String, counts: (u64, u64), mean: Nanos, age: Nanos) {
        self.0
            .push(format!("{build} {group} {counts:?} {mean} {age}"));
    }
    fn flagged(&mut self, pod: String, group: String, ago: Nanos) {
        self.0.push(format!("{pod} {group} {ago}"));
    }
}

impl desk::Asked for Heart {
    fn hello(&mut self, name: String) {
        self.0.push(name);
    }
    fn vote(&mut self, vote: u64, build: Build, stage: usize, voice: Vote) {
        self.0.push(format!("{vote} {build} {stage} {voice:?}"));
    }
}

fn hear(text: &str, most: usize) -> (Heart, Option<FeedError>) {
    let (mut heart, mut lines) = (
        Heart::default(),
        Lines::new(nodes::Telling::default(), most),
    );
    let mut buffer = BytesMut::from(text.as_bytes());
    loop {
        match lines.decode(&mut buffer) {
            Ok(Some(call)) => call(&mut heart),
            Ok(None) => return (heart, None),
            Err(why) => return (heart, Some(why)),
        }
    }
}

#[test]
fn lists_come_back_as_they_were_told() {
    let (all, some): (Vec<_>, Vec<_>) = ((0..1000).map(pod).collect(), (5..8).map(pod).collect());
    let mut text = hello(nodes::FEED, None);
    nodes::tell_list(&mut text, 1, true, &all);
    nodes::tell_list(&mut text, 2, false, &some);
    nodes::tell_failed(&mut text, 3, "too\nbusy");
    nodes::tell_list(&mut text, 4, false, &[]);
    let (heart, why) = hear(&text, 256);
    assert!(why.is_none(), "{why:?}");
    let wanted = [
        format!("true {}", nodes::keep(&all)),
        format!("false {}", nodes::keep(&some)),
        "failed too busy".to_string(),
        format!("false {}", nodes::keep(&[])),
    ];
    assert_eq!(heart.0, wanted);
    assert_eq!(
        nodes::read_kept(&nodes::keep(&all)).expect("it was kept"),
        all
    );
}

#[test]
fn a_wrong_line_is_told_with_its_number_and_nothing_of_its_list_is_heard() {
    let mut text = hello(nodes::FEED, None);
    nodes::tell_list(&mut text, 1, true, &[pod(0), pod(1)]);
    for (garbled, wanted) in [
        (
            text.replace(
                "pod-1 127.0.0.1:4001 draining",
                "pod-1 127.0.0.1:4001 asleep",
            ),
            "line 4: column 26",
        ),
        (
            text.replace("whole 1 2", "whole 2 2"),
            "line 2: number 2, expected 1",
        ),
        (
            text.replace("whole 1 2", "whole 1 99999999"),
            "line 2: too many pods",
        ),
        (
            text.replace("hello nodes 1", "hello nodes 2"),
            "line 1: version 2, expected 1",
        ),
        (
            text.replace("three-core -2", "three-core -2 -2"),
            "line 3: column",
        ),
        (
            text.replace("pod-0", &"p".repeat(600)),
            "line 3: longer than 256 bytes",
        ),
    ] {
        let (heart, why) = hear(&garbled, 256);
        let why = why.map(|why| why.to_string()).unwrap_or_default();
        assert!(
            why.starts_with(wanted) && heart.0.is_empty(),
            "{why} {:?}",
            heart.0
        );
    }
    for cut in 0..text.len() - 1 {
        assert!(hear(&text[..cut], 256).0 .0.is_empty(), "cut at {cut}");
        assert!(
            nodes::read_kept(&text[..cut]).is_err(),
            "kept, cut at {cut}"
        );
    }
}

#[test]
fn the_desk_is_heard_as_it_spoke() {
    let stage = Stage {
        build: 9,
        stage: 2,
        phase: Phase::RollingBack,
        cap: 0.425,
        age: 77,
    };
    let mut text = hello(desk::FEED, None);
    desk::tell_stage(&mut text, 1, &stage);
    desk::tell_voted(&mut text, 2, 5, VoteReceipt::Stale, Some(&stage));
    desk::tell_voted(&mut text, 3, 6, VoteReceipt::Rejected, None);
    desk::tell_tally(&mut text, 4, 9, "query", (10, 3), 5, 6);
    desk::tell_flagged(&mut text, 5, "pod-1", "query", 8);
    let (mut heart, mut lines) = (Heart::default(), Lines::new(desk::Telling::default(), 256));
    let mut buffer = BytesMut::from(text.as_bytes());
    while let Some(call) = lines.decode(&mut buffer).expect("it is right") {
        call(&mut heart);
    }
    let news = |heard, stage| {
        format!(
            "{:?}",
            VoteReply {
                receipt: heard,
                stage
            }
        )
    };
    let wanted = [
        format!("{stage:?}"),
        format!("5 {}", news(VoteReceipt::Stale, Some(stage))),
        format!("6 {}", news(VoteReceipt::Rejected, None)),
        "9 query (10, 3) 5 6".to_string(),
        "pod-1 query 8".to_string(),
    ];
    assert_eq!(heart.0, wanted);
    let mut asking = Lines::new(desk::Asking::default(), 256);
    let text = hello(desk::FEED, Some("s-1")) + &desk::ask_vote(3, 9, 2, Vote::RollBack);
    let (mut heart, mut buffer) = (Heart::default(), BytesMut::from(text.as_bytes()));
    while let Some(call) = asking.decode(&mut buffer).expect("it is right") {
        call(&mut heart);
    }
    assert_eq!(heart.0, ["s-1", "3 9 2 Back"]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn no_bytes_make_a_feed_panic_or_hold_more_than_a_line(
        bytes in proptest::collection::vec(any::<u8>(), 0..2000),
        greeted in any::<bool>(),
    ) {
        let mut text = if greeted { b"hello nodes 1\nhello desk 1\n".to_vec() } else { Vec::new() };
        text.extend(bytes);
        let mut buffer = BytesMut::from(&text[..]);
        let mut lines = Lines::new(nodes::Telling::default(), 64);
        while let Ok(Some(_)) = lines.decode(&mut buffer) {}
        let mut buffer = BytesMut::from(&text[..]);
        let mut lines = Lines::new(desk::Asking::default(), 64);
        while let Ok(Some(_)) = lines.decode(&mut buffer) {}
        let _ = nodes::read_kept(&String::from_utf8_lossy(&text));
    }
}

#[test]
fn one_byte_changed_is_heard_as_one_list_at_most() {
    let mut text = hello(nodes::FEED, None);
    nodes::tell_list(&mut text, 1, true, &[pod(0), pod(1)]);
    let count = text.find("whole 1 2").expect("its count") + 8;
    for at in 0..text.len() {
        for byte in 0..=u8::MAX {
            let mut bytes = text.clone().into_bytes();
            bytes[at] = byte;
            let (heart, why) = hear(&String::from_utf8_lossy(&bytes), 256);
            // A smaller count, or a line's end within the last number, ends the list there; what is left is then refused
            // as a line of its own, and the link with it.
            let shorter = byte == b'\n' || (at == count && byte < b'2');
            assert!(
                heart.0.len() <= 1 && (shorter || heart.0.is_empty() || why.is_none()),
                "byte {at} as {byte}"
            );
        }
    }
}

#[derive(Default)]
struct Kept(Heart, Vec<String>);

impl follow::Link<nodes::Call> for Kept {
    fn up(&mut self) {
        self.1.push("up".to_string());
    }
    fn said(&mut self, call: nodes::Call) {
        call(&mut self.0);
        self.1.push("said".to_string());
    }
    fn down(&mut self, why: &FeedError) {
        self.1.push(why.to_string());
    }
    fn unsent(&mut self, line: String) {
        self.1.push(format!("unsent {line}"));
    }
}

#[tokio::test]
async fn a_follower_comes_back_after_a_garbled_line_and_a_lost_one() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    let (ask, asks) = tokio::sync::mpsc::channel(4);
    let service = async move {
        let mut ask = Some(ask);
        let texts = [
            "whole 1 1\nnonsense\n",
            "whole 1 0\nchanges 3 0\n",
            "whole 1 0\n",
        ];
        for (n, text) in texts.iter().enumerate() {
            let (stream, _) = listener.accept().await.expect("a follower");
            let mut stream = BufReader::new(stream);
            let mut line = String::new();
            stream.read_line(&mut line).await.expect("a greeting");
            assert_eq!(line, "hello nodes 1 s-1\n");
            stream
                .write_all(format!("hello nodes 1\n{text}").as_bytes())
                .await
                .expect("heard");
            line.clear();
            if n == 2 {
                let asker = ask.take().expect("there once");
                asker.send(nodes::ask_watch(true)).await.expect("asked");
                stream.read_line(&mut line).await.expect("a line");
                assert_eq!(line, "watch on\n");
            }
            assert_eq!(
                stream.read_line(&mut line).await.unwrap_or(0),
                0,
                "the follower hung up"
            );
        }
    };
    let mut kept = Kept::default();
    let feed = (nodes::FEED, address, 256);
    tokio::join!(
        service,
        follow::follow::<nodes::Telling>(feed, "s-1", 1, asks, &mut kept)
    );
    let told = kept.1.join("; ");
    assert!(told.starts_with("up; line 3: column 1"), "{told}");
    assert!(
        told.contains("up; said; line 3: number 3, expected 2"),
        "{told}"
    );
    assert!(told.ends_with("up; said") && kept.0 .0.len() == 2, "{told}");
}
