//! Checks that lists are parsed back as they were written, and that an invalid line is rejected with its number.

mod common;

use common::{decode_notifications, endpoint};
use havenplank_line_protocol::codec::greeting;
use havenplank_line_protocol::endpoint_list::{
    decode_cached, encode_cached, write_list, write_poll_failure, PROTOCOL,
};

fn two_endpoints() -> String {
    let mut text = greeting(PROTOCOL, None);
    write_list(&mut text, 1, true, &[endpoint(0), endpoint(1)]);
    text
}

#[test]
fn parses_written_lists_back() {
    let all: Vec<_> = (0..1000).map(endpoint).collect();
    let some: Vec<_> = (5..8).map(endpoint).collect();
    let mut text = greeting(PROTOCOL, None);
    write_list(&mut text, 1, true, &all);
    write_list(&mut text, 2, false, &some);
    write_poll_failure(&mut text, 3, "too\nbusy");
    write_list(&mut text, 4, false, &[]);
    let (recorder, error) = decode_notifications(&text, 256);
    assert!(error.is_none(), "{error:?}");
    let expected = [
        format!("true {}", encode_cached(&all)),
        format!("false {}", encode_cached(&some)),
        "failed too busy".to_string(),
        format!("false {}", encode_cached(&[])),
    ];
    assert_eq!(recorder.0, expected);
    let cached = decode_cached(&encode_cached(&all));
    assert_eq!(cached.expect("decode the encoded list"), all);
}

#[test]
fn rejects_an_invalid_line_with_its_number_and_drops_its_list() {
    let text = two_endpoints();
    let draining = "pod-1 127.0.0.1:4001 draining";
    let invalid_state = "pod-1 127.0.0.1:4001 asleep";
    for (malformed, expected) in [
        (text.replace(draining, invalid_state), "line 4: column 26"),
        (
            text.replace("whole 1 2", "whole 2 2"),
            "line 2: number 2, expected 1",
        ),
        (
            text.replace("whole 1 2", "whole 1 99999999"),
            "line 2: too many endpoints",
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
        let (recorder, error) = decode_notifications(&malformed, 256);
        let error = error.map(|error| error.to_string()).unwrap_or_default();
        let received = recorder.0;
        assert!(
            error.starts_with(expected) && received.is_empty(),
            "{error} {received:?}"
        );
    }
}

#[test]
fn drops_a_truncated_list() {
    let text = two_endpoints();
    for cut in 0..text.len() - 1 {
        let (recorder, _) = decode_notifications(&text[..cut], 256);
        assert!(recorder.0.is_empty(), "cut at {cut}");
        assert!(decode_cached(&text[..cut]).is_err(), "cached, cut at {cut}");
    }
}

#[test]
fn yields_at_most_one_list_if_a_byte_is_changed() {
    let text = two_endpoints();
    let count_position = text.find("whole 1 2").expect("find the count") + 8;
    for position in 0..text.len() {
        for byte in 0..=u8::MAX {
            let mut bytes = text.clone().into_bytes();
            bytes[position] = byte;
            let (recorder, error) = decode_notifications(&String::from_utf8_lossy(&bytes), 256);
            // A smaller count, or a line end within the last number, ends the list early. The rest is then rejected as
            // an unknown line, which ends the connection.
            let shorter = byte == b'\n' || (position == count_position && byte < b'2');
            let received = recorder.0.len();
            assert!(
                received <= 1 && (shorter || received == 0 || error.is_none()),
                "byte {position} changed to {byte}"
            );
        }
    }
}
