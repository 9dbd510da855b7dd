//! Tests which frames are opened and which are rejected.

use havenplank_membership::frame::{
    max_body_bytes, open, seal, Channel, Envelope, MAX_DATAGRAM_BYTES,
};
use havenplank_membership::keys::Key;
use havenplank_membership::member::MemberId;
use havenplank_membership::rejection::Rejection;
use proptest::prelude::*;

fn member_id(name: &str, incarnation: u64) -> MemberId {
    MemberId {
        name: name.into(),
        incarnation,
    }
}

fn envelope(body: Vec<u8>) -> Envelope {
    Envelope {
        from: member_id("s-1", 7),
        to: member_id("s-2", 9),
        sequence: 3,
        kind: 1,
        body,
    }
}

fn key(byte: u8) -> Key {
    Key::new([byte; 32])
}

fn sealed(envelope: &Envelope) -> Vec<u8> {
    seal(&key(7), envelope, Channel::Datagram).expect("short enough")
}

#[test]
fn any_of_the_keys_opens_a_frame_and_no_other_does() {
    let envelope = envelope(vec![1, 2, 3]);
    let bytes = sealed(&envelope);
    let opened = open(&[key(8), key(7)], &bytes, Channel::Datagram);
    assert_eq!(opened, Ok(envelope));
    let rejected = open(&[key(8)], &bytes, Channel::Datagram);
    assert_eq!(rejected, Err(Rejection::BadTag));
}

#[test]
fn every_truncated_frame_and_every_changed_bit_is_rejected() {
    let bytes = sealed(&envelope(vec![1, 2, 3]));
    for position in 0..bytes.len() {
        assert!(open(&[key(7)], &bytes[..position], Channel::Datagram).is_err());
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[position] ^= 1 << bit;
            let opened = open(&[key(7)], &changed, Channel::Datagram);
            assert!(opened.is_err(), "byte {position}, bit {bit}");
        }
    }
}

#[test]
fn frames_above_the_length_limit_are_neither_sealed_nor_opened() {
    for channel in [Channel::Datagram, Channel::Stream] {
        let too_long = vec![1; channel.max_bytes() + 1];
        let opened = open(&[key(7)], &too_long, channel);
        assert_eq!(opened, Err(Rejection::TooLong));
        let body = vec![0; channel.max_bytes()];
        assert_eq!(seal(&key(7), &envelope(body), channel), None);
    }
}

#[test]
fn a_datagram_is_rejected_on_a_stream() {
    let bytes = sealed(&envelope(vec![1, 2, 3]));
    let opened = open(&[key(7)], &bytes, Channel::Stream);
    assert_eq!(opened, Err(Rejection::WrongVersionOrChannel));
}

#[test]
fn a_body_of_max_body_bytes_fits_and_an_oversized_name_leaves_no_space() {
    let (from, to) = (member_id("s-1", 7), member_id("s-2", 9));
    let body = vec![0; max_body_bytes(&from, &to)];
    assert!(seal(&key(7), &envelope(body), Channel::Datagram).is_some());
    let oversized = member_id(&"n".repeat(MAX_DATAGRAM_BYTES), 1);
    assert_eq!(max_body_bytes(&from, &oversized), 0);
}

proptest! {
    #[test]
    fn random_bytes_are_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1_400)) {
        prop_assert!(open(&[key(7)], &bytes, Channel::Datagram).is_err());
    }
}
