//! Whether frames between sidecars are byte by byte those of the version before: another version still runs beside.

mod common;

use common::{recorded_bytes, to_hex};
use havenplank_membership::standing::{Row, View};
use havenplank_membership::swim::{News, State, Talk};
use havenplank_membership::wire::{self, Key, Letter, Life, Way};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

const FRAMES: &str = include_str!("fixtures/frames.txt");

fn life(name: &str, life: u64) -> Life {
    Life {
        name: name.into(),
        life,
    }
}

fn news(name: &str, state: State) -> News {
    News {
        who: life(name, 1_764_752_400_000),
        at: "10.1.2.3:7200".parse().unwrap(),
        zone: "zone-a".into(),
        round: 300,
        state,
    }
}

/// One piece of news in each state, and an address of the other family.
fn all_states() -> Vec<News> {
    let suspected = State::Suspected("s-9".into());
    let other_family = News {
        at: "[fd00::7]:65535".parse().unwrap(),
        ..news("s-5", State::Left)
    };
    vec![
        news("s-2", State::Lives),
        news("s-3", suspected),
        news("s-4", State::Gone),
        other_family,
    ]
}

fn view() -> View {
    let row = |name: &str, entry, belongs| Row {
        who: life(name, 7),
        entry,
        belongs,
    };
    View {
        roster: 0x0123_4567_89ab_cdef,
        living: u64::MAX,
        missing: vec!["s-8".into(), "s-9".into()],
        missed: 1_000,
        out: vec![("s-9".into(), 5, 2)],
        rows: vec![row("s-1", 0, true), row("s-9", 128, false)],
    }
}

/// Compares with the recorded bytes, both ways.
fn assert_same<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
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
    let (me, about) = (news("s-1", State::Lives), all_states());
    let nonce = 0xfedc_ba98_7654_3210;
    assert_same("hello", &Talk::Hello { me: me.clone() });
    let ping = Talk::Ping {
        nonce,
        me: me.clone(),
        about: about.clone(),
    };
    assert_same("ping", &ping);
    let ack = Talk::Ack {
        nonce,
        me,
        about: about.clone(),
    };
    assert_same("ack", &ack);
    let ask = Talk::Ask {
        nonce,
        who: life("s-2", 9),
        at: "10.1.2.4:7201".parse().unwrap(),
    };
    assert_same("ask", &ask);
    assert_same("nack", &Talk::Nack { nonce });
    let after = "s-17".into();
    assert_same("want", &Talk::Want { after });
    assert_same("table", &Talk::Table { about, more: true });
}

#[test]
fn a_view_is_encoded_as_recorded() {
    assert_same("view", &view());
}

#[test]
fn a_sealed_letter_is_encoded_as_recorded_on_both_ways() {
    let key = Key::new([7; 32]);
    let letter = Letter {
        from: life("s-1", 1_764_752_400_000),
        to: life("s-2", 9),
        count: 4_097,
        kind: 3,
        body: postcard::to_stdvec(&view()).unwrap(),
    };
    for (name, way) in [("datagram", Way::Datagram), ("stream", Way::Stream)] {
        let sealed = wire::seal(&key, &letter, way).unwrap();
        assert_recorded(name, &sealed);
        let opened = wire::open(std::slice::from_ref(&key), &sealed, way);
        assert_eq!(opened.as_ref(), Ok(&letter), "{name}");
    }
}
