//! The file of deltas since a snapshot: a magic word, then a frame for each.
//!
//! A frame is the length of its body (4 bytes), a checksum of that length and the frame's offset (4 bytes), the blake3
//! hash of the body, the body, and an end mark that is not 0. A frame is synced before the next is begun, so only the
//! last one can be torn: it reaches past the end of the file, or the file was extended and the bytes read as 0. All
//! else that does not fit is damage. The length has a checksum of its own, as a damaged one could make the rest of a
//! log look torn.

use crate::delta::{Delta, MAX_DELTA_BYTES};

pub(crate) const MAGIC: &[u8; 8] = b"hplog01\n";
const END_MARK: u8 = 0xa5;
const LENGTH_BYTES: usize = size_of::<u32>();
const HASH_BYTES: usize = blake3::OUT_LEN;
const HEADER_BYTES: usize = 2 * LENGTH_BYTES + HASH_BYTES;

/// Why a log cannot be read on from an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Damage {
    pub offset: usize,
    pub found: String,
}

/// What a log holds.
#[derive(Debug)]
pub(crate) struct Contents {
    pub deltas: Vec<(usize, Delta)>,
    /// Where the last whole frame ends; the rest of the file is a torn one.
    pub whole_bytes: usize,
}

/// The frame of a delta that begins at an offset; `None` where the delta is too long.
pub(crate) fn frame(offset: u64, delta: &Delta) -> Option<Vec<u8>> {
    let body = delta.encode();
    if body.len() > MAX_DELTA_BYTES {
        return None;
    }
    let length = u32::try_from(body.len()).ok()?.to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len() + 1);
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&length_checksum(offset, length));
    bytes.extend_from_slice(blake3::hash(&body).as_bytes());
    bytes.extend_from_slice(&body);
    bytes.push(END_MARK);
    Some(bytes)
}

/// Reads a whole log.
pub(crate) fn read(bytes: &[u8]) -> Result<Contents, Damage> {
    if !bytes.starts_with(MAGIC) {
        return Err(Damage {
            offset: 0,
            found: "not a log of this release".to_string(),
        });
    }
    let mut contents = Contents {
        deltas: Vec::new(),
        whole_bytes: MAGIC.len(),
    };
    while let Some((delta, length)) =
        read_frame(contents.whole_bytes, &bytes[contents.whole_bytes..])?
    {
        contents.deltas.push((contents.whole_bytes, delta));
        contents.whole_bytes += length;
    }
    Ok(contents)
}

/// The frame that begins `rest` and its length; `None` at the end, or where it is torn.
fn read_frame(offset: usize, rest: &[u8]) -> Result<Option<(Delta, usize)>, Damage> {
    let damage = |found: &str| Damage {
        offset,
        found: found.to_string(),
    };
    // Nothing, or room that was never written.
    if rest.iter().all(|byte| *byte == 0) {
        return Ok(None);
    }
    let Some((length, after)) = rest.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let Some((checksum, after)) = after.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    if *checksum != length_checksum(offset as u64, *length) {
        return Err(damage("the length of a delta has another checksum"));
    }
    let body_bytes = u32::from_le_bytes(*length) as usize;
    let Some((hash, after)) = after.split_first_chunk::<HASH_BYTES>() else {
        return Ok(None);
    };
    let Some((body, after)) = after.split_at_checked(body_bytes) else {
        return Ok(None);
    };
    let Some((end, after)) = after.split_first() else {
        return Ok(None);
    };
    if *end == 0 && after.is_empty() {
        return Ok(None);
    }
    if *end != END_MARK {
        return Err(damage("a delta without its end mark"));
    }
    if blake3::hash(body) != *hash {
        return Err(damage("a delta has another checksum"));
    }
    let delta = Delta::decode(body).map_err(|error| damage(&error.to_string()))?;
    Ok(Some((delta, HEADER_BYTES + body_bytes + 1)))
}

fn length_checksum(offset: u64, length: [u8; LENGTH_BYTES]) -> [u8; LENGTH_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&offset.to_le_bytes()).update(&length);
    let mut checksum = [0; LENGTH_BYTES];
    hasher.finalize_xof().fill(&mut checksum);
    checksum
}
