//! Tests of `src/json_stream.rs`.

use havenplank_platform::json_stream::{JsonStream, MalformedStream, StreamItem};
use proptest::prelude::*;
use serde_json::{json, Value};

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
            StreamItem::LineEnd | StreamItem::Element(_) => None,
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

/// White space counted towards the limit, so that an indented list was rejected and its watch closed, again and again.
#[test]
fn white_space_outside_of_strings_does_not_count_towards_the_limit() {
    let mut stream = JsonStream::new(20);
    let space = " \t\r\n".repeat(1000);
    stream.push(format!("{{{space}\"a\"{space}:{space}\"b  b\"{space}}}").as_bytes());
    let object = StreamItem::Object(b"{\"a\":\"b  b\"}".to_vec());
    assert_eq!(items(&mut stream), Ok(vec![object]));
}

#[test]
fn dropped_white_space_does_not_join_two_values() {
    for text in ["{\"a\": 1 2}", "{\"a\": tr ue}", "{\"a\": [1\n2]}"] {
        let mut stream = JsonStream::new(100);
        stream.push(text.as_bytes());
        let [StreamItem::Object(object)] = &items(&mut stream).unwrap()[..] else {
            panic!("{text}: expected one object");
        };
        let parsed = serde_json::from_slice::<serde_json::Value>(object);
        assert!(parsed.is_err(), "{text}: {parsed:?}");
    }
}

#[test]
fn an_element_over_its_limit_is_rejected_and_many_short_ones_are_not() {
    let elements = vec!["{\"name\":\"p\"}"; 100].join(",");
    let mut stream = JsonStream::new(500).with_elements("hosts", 20);
    stream.push(format!("{{\"hosts\":[{elements}]}}").as_bytes());
    assert_eq!(items(&mut stream).unwrap().len(), 101);
    let mut stream = JsonStream::new(500).with_elements("hosts", 20);
    stream.push(b"{\"hosts\":[{\"name\":\"0123456789\"}]}");
    let too_long = MalformedStream::ObjectTooLong { max_bytes: 20 };
    assert_eq!(items(&mut stream), Err(too_long));
}

/// A field of a JSON object, other than the array of elements.
fn any_value() -> impl Strategy<Value = Value> {
    let scalar = prop_oneof![
        any::<bool>().prop_map(Value::from),
        any::<i32>().prop_map(Value::from),
        "[ -~\\n]{0,8}".prop_map(Value::from),
    ];
    scalar.prop_recursive(3, 12, 3, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..3).prop_map(Value::from),
            proptest::collection::btree_map("[ -~]{0,6}", inner, 0..3)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

/// An element: an object, which may have a field that is called like the array.
fn any_element() -> impl Strategy<Value = Value> {
    let fields = proptest::collection::btree_map("[a-z\"]{0,3}|hosts", any_value(), 0..4);
    fields.prop_map(|fields| Value::Object(fields.into_iter().collect()))
}

proptest! {
    /// The elements and the rest of an object are what was sent, whatever its indentation and wherever it is split.
    #[test]
    fn elements_are_passed_on_whatever_the_indentation_and_the_split(
        elements in proptest::collection::vec(any_element(), 0..5),
        before in any_value(), after in any_value(), indented: bool, split: proptest::sample::Index
    ) {
        let object = json!({"a": before, "hosts": elements, "z": after});
        let text = match indented {
            true => serde_json::to_string_pretty(&object),
            false => serde_json::to_string(&object),
        }.unwrap();
        let (first, second) = text.as_bytes().split_at(split.index(text.len()));
        let mut stream = JsonStream::new(10_000).with_elements("hosts", 10_000);
        let mut received = Vec::new();
        for piece in [first, second] {
            stream.push(piece);
            received.extend(items(&mut stream).unwrap());
        }
        let parse = |text: &[u8]| serde_json::from_slice::<Value>(text).unwrap();
        let Some(StreamItem::Object(envelope)) = received.pop() else {
            panic!("expected an object at the end");
        };
        let placeholders = vec![json!({}); elements.len()];
        prop_assert_eq!(parse(&envelope), json!({"a": before, "hosts": placeholders, "z": after}));
        let received: Vec<Value> = received.iter().map(|item| match item {
            StreamItem::Element(element) => parse(element),
            other => panic!("unexpected {other:?}"),
        }).collect();
        prop_assert_eq!(received, elements);
    }

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
