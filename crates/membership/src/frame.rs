//! The frames that carry messages: a version byte, an envelope encoded with `postcard`, and a `blake3` tag keyed with
//! the shared key.
//!
//! A frame that is forged, truncated, repeated, too long or meant for another incarnation has no effect, and is counted
//! by its [`Rejection`].

use crate::keys::Key;
use crate::member::{MemberId, MAX_NAME_BYTES};
use crate::rejection::Rejection;
use serde::{Deserialize, Serialize};

/// The protocol version, in the first byte of a frame. Frames of another version are counted and skipped, so that two
/// versions can run side by side.
pub const VERSION: u8 = 1;
/// The longest datagram that is sent or accepted, in bytes: less than what an Ethernet frame has left after the IP and
/// UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The longest frame on a stream, in bytes.
pub const MAX_STREAM_BYTES: usize = 1 << 20;
/// Marks a frame on a stream, in the first byte.
const STREAM_FLAG: u8 = 0x80;
const VERSION_BYTES: usize = 1;
/// The length of the authentication tag at the end of a frame: the first half of a `blake3` hash.
const TAG_BYTES: usize = 16;
/// Upper bound for the integers of an envelope in `postcard` encoding: 7 integers (two incarnations, sequence number,
/// kind and three lengths) of at most 10 bytes each.
const MAX_INTEGER_BYTES: usize = 7 * 10;

/// How a frame is sent. The channel is part of what the tag authenticates, so that a datagram cannot be replayed on a
/// stream, nor a stream frame as a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// As one UDP datagram.
    Datagram,
    /// As one frame on a TCP stream.
    Stream,
}

impl Channel {
    fn first_byte(self) -> u8 {
        match self {
            Channel::Datagram => VERSION,
            Channel::Stream => VERSION | STREAM_FLAG,
        }
    }

    /// Returns the length limit of a frame, in bytes.
    pub fn max_bytes(self) -> usize {
        match self {
            Channel::Datagram => MAX_DATAGRAM_BYTES,
            Channel::Stream => MAX_STREAM_BYTES,
        }
    }
}

/// A message with its sender and receiver. The order of the fields is part of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: MemberId,
    /// The receiver. Its name is empty if the sender knows only its address.
    pub to: MemberId,
    /// Counts the frames of one incarnation on one channel, from 1, so that repeats can be recognised.
    pub sequence: u64,
    /// Which package the message belongs to.
    pub kind: u8,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// Returns how many bytes of body fit into a datagram between these two members.
pub fn max_body_bytes(from: &MemberId, to: &MemberId) -> usize {
    let names = from.name.len() + to.name.len();
    MAX_DATAGRAM_BYTES.saturating_sub(VERSION_BYTES + TAG_BYTES + names + MAX_INTEGER_BYTES)
}

/// Encodes and authenticates an envelope. Returns `None` if the frame is too long for this channel.
pub fn seal(key: &Key, envelope: &Envelope, channel: Channel) -> Option<Vec<u8>> {
    let mut bytes = vec![channel.first_byte()];
    bytes.extend(postcard::to_stdvec(envelope).ok()?);
    let tag = key.tag(&bytes);
    bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
    (bytes.len() <= channel.max_bytes()).then_some(bytes)
}

/// Checks and decodes a frame, which any of the keys may have sealed.
///
/// # Errors
/// The reason why the frame is rejected.
pub fn open(keys: &[Key], bytes: &[u8], channel: Channel) -> Result<Envelope, Rejection> {
    if bytes.len() > channel.max_bytes() {
        return Err(Rejection::TooLong);
    }
    let (content, tag) = split_tag(bytes).ok_or(Rejection::TooShort)?;
    if content[0] != channel.first_byte() {
        return Err(Rejection::WrongVersionOrChannel);
    }
    if !keys.iter().any(|key| is_authentic(key, content, tag)) {
        return Err(Rejection::BadTag);
    }
    let envelope: Envelope =
        postcard::from_bytes(&content[VERSION_BYTES..]).map_err(|_| Rejection::Malformed)?;
    let has_valid_names = !envelope.from.name.is_empty()
        && envelope.from.name.len() <= MAX_NAME_BYTES
        && envelope.to.name.len() <= MAX_NAME_BYTES;
    has_valid_names
        .then_some(envelope)
        .ok_or(Rejection::Malformed)
}

/// Splits a frame into its authenticated content, which is the version and at least one more byte, and the tag.
fn split_tag(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let content_bytes = bytes.len().checked_sub(TAG_BYTES)?;
    (content_bytes > VERSION_BYTES).then(|| bytes.split_at(content_bytes))
}

/// Whether the tag was made with this key. The comparison takes the same time wherever the two tags differ, so that its
/// duration tells a forger nothing.
fn is_authentic(key: &Key, content: &[u8], tag: &[u8]) -> bool {
    let expected = key.tag(content);
    let differing_bits = expected.as_bytes()[..TAG_BYTES]
        .iter()
        .zip(tag)
        .fold(0, |bits, (one, other)| bits | (one ^ other));
    differing_bits == 0
}
