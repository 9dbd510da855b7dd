//! Tests that frames between sidecars are byte for byte those of the previous version, since sidecars of that version
//! may run at the same time.

mod common;

use common::{recorded_bytes, to_hex};
use havenplank_membership::frame::{self, Channel, Envelope};
use havenplank_membership::keys::Key;
use havenplank_membership::member::{Member, MemberId, MemberState};
use havenplank_membership::message::Message;
use havenplank_membership::quorum::{EvictionVote, View, VoterRecord};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

const FRAMES: &str = include_str!("fixtures/frames.txt");

fn member_id(name: &str, incarnation_number: u64) -> MemberId {
    MemberId {
        name: name.into(),
        incarnation: incarnation_number,
    }
}

fn member(name: &str, state: MemberState) -> Member {
    Member {
        id: member_id(name, 1_764_752_400_000),
        address: "10.1.2.3:7200".parse().unwrap(),
        zone: "zone-a".into(),
        refutations: 300,
        state,
    }
}

/// Returns one update in each state; the last one has an IPv6 address.
fn all_states() -> Vec<Member> {
    let suspected = MemberState::Suspected("s-9".into());
    let with_ipv6_address = Member {
        address: "[fd00::7]:65535".parse().unwrap(),
        ..member("s-5", MemberState::Left)
    };
    vec![
        member("s-2", MemberState::Alive),
        member("s-3", suspected),
        member("s-4", MemberState::Dead),
        with_ipv6_address,
    ]
}

fn view() -> View {
    let row = |name: &str, rejoined, voting| VoterRecord {
        id: member_id(name, 7),
        rejoins: rejoined,
        is_voter: voting,
    };
    let vote = EvictionVote {
        name: "s-9".into(),
        incarnation: 5,
        rejoins: 2,
    };
    View {
        voters_digest: 0x0123_4567_89ab_cdef,
        alive_digest: u64::MAX,
        missing: vec!["s-8".into(), "s-9".into()],
        missing_count: 1_000,
        evictions: vec![vote],
        records: vec![row("s-1", 0, true), row("s-9", 128, false)],
    }
}

/// Checks that a value is encoded as the recorded bytes, and that its encoding decodes to the same value.
fn assert_encoded_as_recorded<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    name: &str,
    value: &T,
) {
    let bytes = postcard::to_stdvec(value).unwrap();
    assert_recorded(name, &bytes);
    let decoded: T = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(decoded, *value, "{name}");
}

fn assert_recorded(name: &str, bytes: &[u8]) {
    let recorded = recorded_bytes(FRAMES);
    let expected = recorded.get(name).map(|bytes| to_hex(bytes));
    assert_eq!(Some(to_hex(bytes)), expected, "{name}");
}

#[test]
fn membership_messages_are_encoded_as_recorded() {
    let (sender, updates) = (member("s-1", MemberState::Alive), all_states());
    let nonce = 0xfedc_ba98_7654_3210;
    assert_encoded_as_recorded(
        "join",
        &Message::Join {
            sender: sender.clone(),
        },
    );
    let ping = Message::Ping {
        nonce,
        sender: sender.clone(),
        updates: updates.clone(),
    };
    assert_encoded_as_recorded("ping", &ping);
    let ack = Message::Ack {
        nonce,
        sender,
        updates: updates.clone(),
    };
    assert_encoded_as_recorded("ack", &ack);
    let ping_request = Message::PingRequest {
        nonce,
        target: member_id("s-2", 9),
        address: "10.1.2.4:7201".parse().unwrap(),
    };
    assert_encoded_as_recorded("ping_request", &ping_request);
    assert_encoded_as_recorded("nack", &Message::Nack { nonce });
    let after = "s-17".into();
    assert_encoded_as_recorded("table_request", &Message::TableRequest { after });
    let table = Message::Table {
        members: updates,
        more: true,
    };
    assert_encoded_as_recorded("table", &table);
}

#[test]
fn a_view_is_encoded_as_recorded() {
    assert_encoded_as_recorded("view", &view());
}

#[test]
fn a_sealed_envelope_is_encoded_as_recorded_on_both_channels() {
    let key = Key::new([7; 32]);
    let envelope = Envelope {
        from: member_id("s-1", 1_764_752_400_000),
        to: member_id("s-2", 9),
        sequence: 4_097,
        kind: 3,
        body: postcard::to_stdvec(&view()).unwrap(),
    };
    for (name, channel) in [("datagram", Channel::Datagram), ("stream", Channel::Stream)] {
        let sealed = frame::seal(&key, &envelope, channel).unwrap();
        assert_recorded(name, &sealed);
        let opened = frame::open(std::slice::from_ref(&key), &sealed, channel);
        assert_eq!(opened.as_ref(), Ok(&envelope), "{name}");
    }
}
