//! Tests of `src/json_stream.rs`.

use havenplank_platform::json_stream::{JsonStream, MalformedStream, StreamItem};
use proptest::prelude::*;
use serde_json::json;

fn items(stream: &mut JsonStream) -> Result<Vec<StreamItem>, MalformedStream> {
    std::iter::from_fn(|| stream.next_item().transpose()).collect()
}

const STREAM: &str = "\n {\"a\": [{\"b\\\"}\": \"]{\\\\\"}, 1]}{}\r\n\t{\n \"c\":\n {}\n}\n";

#[test]
fn objects_come_out_the_same_wherever_they_are_cut() {
    let mut whole = JsonStream::new(100);
    whole.push(STREAM.as_bytes());
    let whole = items(&mut whole).unwrap();
    let objects: Vec<serde_json::Value> = whole
        .iter()
        .filter_map(|item| match item {
            StreamItem::LineEnd => None,
            StreamItem::Object(object) => Some(serde_json::from_slice(object).unwrap()),
        })
        .collect();
    assert_eq!(
        objects,
        [
            json!({"a": [{"b\"}": "]{\\"}, 1]}),
            json!({}),
            json!({"c": {}})
        ]
    );
    assert_eq!(whole.len(), 6);
    for cut in 0..STREAM.len() {
        let mut parts = JsonStream::new(100);
        parts.push(&STREAM.as_bytes()[..cut]);
        let mut got = items(&mut parts).unwrap();
        parts.push(&STREAM.as_bytes()[cut..]);
        got.extend(items(&mut parts).unwrap());
        assert_eq!(got, whole, "cut at {cut}");
    }
}

#[test]
fn a_malformed_stream_is_refused_by_what_is_wrong() {
    for (said, why) in [
        ("x", MalformedStream::StrayByte { byte: b'x' }),
        ("{} ]", MalformedStream::StrayByte { byte: b']' }),
        (
            "{\"a\": \"0123456789\"}",
            MalformedStream::ObjectTooLong { max_bytes: 10 },
        ),
    ] {
        let mut stream = JsonStream::new(10);
        stream.push(said.as_bytes());
        assert_eq!(items(&mut stream), Err(why), "{said}");
    }
}

proptest! {
    /// A byte flipped anywhere: items or a named fault, the same wherever it is cut.
    #[test]
    fn a_flipped_stream_reads_the_same_wherever_it_is_cut(
        at in 0..STREAM.len(), flip in 1u8.., cut in 0..STREAM.len()
    ) {
        let mut bytes = STREAM.as_bytes().to_vec();
        bytes[at] ^= flip;
        let mut whole = JsonStream::new(100);
        whole.push(&bytes);
        let whole = items(&mut whole);
        let mut parts = JsonStream::new(100);
        parts.push(&bytes[..cut]);
        let first = items(&mut parts);
        parts.push(&bytes[cut..]);
        let got = first.and_then(|mut first| {
            first.extend(items(&mut parts)?);
            Ok(first)
        });
        prop_assert_eq!(got, whole);
    }
}
