//! Tests of `src/discovery/list_update.rs`.

use havenplank_emulator::scripted::entry;
use havenplank_platform::discovery::list_update::{UpdateDecoder, UpdateError};
use havenplank_platform::UnixTime;
use std::net::SocketAddr;

const ENVELOPE_OF_TWO: &[u8] = br#"{"seq":5,"whole":true,"hosts":[{},{}]}"#;

fn entry_text(name: &str) -> Vec<u8> {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    entry(name, address, 7, "active").to_string().into_bytes()
}

fn add(decoder: &mut UpdateDecoder, name: &str) -> Result<(), UpdateError> {
    decoder.add_entry(&entry_text(name), UnixTime::now())
}

#[test]
fn an_update_has_the_entries_before_its_envelope_and_none_of_the_update_before() {
    let mut decoder = UpdateDecoder::new(10_000);
    for names in [["a", "b"], ["c", "d"]] {
        for name in names {
            add(&mut decoder, name).unwrap();
        }
        let update = decoder.finish(ENVELOPE_OF_TWO).unwrap();
        let received: Vec<&str> = update.endpoints.iter().map(|e| e.name.as_str()).collect();
        assert_eq!(received, names);
        assert_eq!((update.version, update.complete), (5, true));
    }
}

/// Entries are limited by the memory that they hold, not by their text.
#[test]
fn an_update_over_its_memory_limit_is_rejected() {
    let mut decoder = UpdateDecoder::new(2000);
    let rejected = (0..100).find_map(|_| add(&mut decoder, &"n".repeat(100)).err());
    assert!(
        matches!(rejected, Some(UpdateError::TooMuchMemory { entries, max_bytes: 2000 }) if entries > 2),
        "{rejected:?}"
    );
}

#[test]
fn an_update_whose_entries_and_envelope_differ_is_rejected() {
    let mut decoder = UpdateDecoder::new(10_000);
    add(&mut decoder, "a").unwrap();
    let rejected = decoder.finish(ENVELOPE_OF_TWO);
    assert!(matches!(rejected, Err(UpdateError::SeveralArrays)));
    let text = b"{\"host\": 1}";
    let rejected = decoder.add_entry(text, UnixTime::now()).unwrap_err();
    assert!(rejected.to_string().starts_with("hosts[0]: "), "{rejected}");
}
