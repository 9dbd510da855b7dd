//! Tests of `src/json_stream.rs`.

use havenplank_platform::json_stream::{JsonStream, MalformedStream, StreamItem};
use proptest::prelude::*;
use serde_json::json;

fn items(stream: &mut JsonStream) -> Result<Vec<StreamItem>, MalformedStream> {
    std::iter::from_fn(|| stream.next_item().transpose()).collect()
}

const STREAM: &str = "\n {\"a\": [{\"b\\\"}\": \"]{\\\\\"}, 1]}{}\r\n\t{\n \"c\":\n {}\n}\n";

#[test]
fn objects_are_the_same_wherever_the_stream_is_split() {
    let mut uncut = JsonStream::new(100);
    uncut.push(STREAM.as_bytes());
    let uncut = items(&mut uncut).unwrap();
    let objects: Vec<serde_json::Value> = uncut
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
    assert_eq!(uncut.len(), 6);
    for split in 0..STREAM.len() {
        let mut pieces = JsonStream::new(100);
        pieces.push(&STREAM.as_bytes()[..split]);
        let mut items_of_pieces = items(&mut pieces).unwrap();
        pieces.push(&STREAM.as_bytes()[split..]);
        items_of_pieces.extend(items(&mut pieces).unwrap());
        assert_eq!(items_of_pieces, uncut, "split at {split}");
    }
}

#[test]
fn a_malformed_stream_is_rejected_with_its_cause() {
    for (text, error) in [
        ("x", MalformedStream::StrayByte { byte: b'x' }),
        ("{} ]", MalformedStream::StrayByte { byte: b']' }),
        (
            "{\"a\": \"0123456789\"}",
            MalformedStream::ObjectTooLong { max_bytes: 10 },
        ),
    ] {
        let mut stream = JsonStream::new(10);
        stream.push(text.as_bytes());
        assert_eq!(items(&mut stream), Err(error), "{text}");
    }
}

proptest! {
    /// A stream with one byte changed gives the same items or the same error wherever it is split.
    #[test]
    fn a_corrupted_stream_gives_the_same_result_wherever_it_is_split(
        at in 0..STREAM.len(), flip in 1u8.., split in 0..STREAM.len()
    ) {
        let mut bytes = STREAM.as_bytes().to_vec();
        bytes[at] ^= flip;
        let mut uncut = JsonStream::new(100);
        uncut.push(&bytes);
        let uncut = items(&mut uncut);
        let mut pieces = JsonStream::new(100);
        pieces.push(&bytes[..split]);
        let first = items(&mut pieces);
        pieces.push(&bytes[split..]);
        let items_of_pieces = first.and_then(|mut first| {
            first.extend(items(&mut pieces)?);
            Ok(first)
        });
        prop_assert_eq!(items_of_pieces, uncut);
    }
}
