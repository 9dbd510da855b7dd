//! Parsing and formatting of headers, including values that are rejected as malformed.

use havenplank_sidecar::headers::{
    format_timeout, is_idempotency_key, parse_load_report, parse_timeout,
};

#[test]
fn parses_a_timeout_of_up_to_eight_digits_and_a_unit() {
    let times = [
        ("250m", Some(250_000_000)),
        ("3S", Some(3_000_000_000)),
        ("", None),
        ("5", None),
        ("123456789m", None),
        ("-1S", None),
        ("1 S", None),
    ];
    for (text, expected) in times {
        assert_eq!(parse_timeout(text), expected, "{text}");
    }
}

#[test]
fn a_formatted_timeout_parses_to_the_same_time_rounded_down() {
    for time in [0, 999, 99_999_999, 100_000_000, 2_000_000_123, u64::MAX] {
        let read = parse_timeout(&format_timeout(time)).expect("a formatted timeout parses");
        assert!(
            read <= time && (time > 99_999_999_000_000_000 || time - read <= time / 10_000),
            "{time}"
        );
    }
}

#[test]
fn an_idempotency_key_is_a_quoted_string_that_is_not_empty() {
    for (key, is_valid) in [
        ("\"a\"", true),
        ("\"a\\\"b\"", true),
        ("a", false),
        ("\"\"", false),
    ] {
        assert_eq!(is_idempotency_key(key.as_bytes()), is_valid, "{key}");
    }
    assert!(!is_idempotency_key(b"\"a\"b\""));
    assert!(!is_idempotency_key(b"\"\\\""));
    assert!(!is_idempotency_key(&[b'"', 200, b'"']));
}

#[test]
fn a_load_report_sets_only_the_metrics_that_it_names() {
    let report =
        parse_load_report("TEXT cpu_utilization=0.3, named_metrics.in_flight=4,eps=1e1,odd=2")
            .expect("a report");
    assert_eq!(
        (
            report.cpu_utilization,
            report.in_flight,
            report.failed_per_s
        ),
        (Some(0.3), Some(4.0), Some(10.0))
    );
    for text in ["JSON {}", "TEXT a=b", ""] {
        assert!(parse_load_report(text).is_none(), "{text}");
    }
}
