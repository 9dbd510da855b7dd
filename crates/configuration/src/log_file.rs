//! The file of the deltas since a snapshot: a magic number, then one frame for each delta.
//!
//! A frame is the length of its body (4 bytes), a checksum of that length and the frame's offset (4 bytes), the blake3
//! hash of the body, the body, and an end mark that is not 0. A frame is synced before the next one is written, so only
//! the last frame can be torn: either the file ends before the frame does, or the file was extended and the missing
//! bytes read as 0. Any other malformed frame counts as damage. The length has its own checksum, because a damaged
//! length could make the rest of the log look like a torn frame.

use crate::delta::{Delta, MAX_DELTA_BYTES};

pub(crate) const MAGIC: &[u8; 8] = b"hplog01\n";
const END_MARK: u8 = 0xa5;
const LENGTH_BYTES: usize = size_of::<u32>();
const HASH_BYTES: usize = blake3::OUT_LEN;
const HEADER_BYTES: usize = 2 * LENGTH_BYTES + HASH_BYTES;

/// A malformed frame, which prevents reading the log from its offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Damage {
    pub offset: usize,
    pub found: String,
}

/// The content of a log.
#[derive(Debug)]
pub(crate) struct Contents {
    /// The offset of each frame, with its delta.
    pub deltas: Vec<(usize, Delta)>,
    /// The end of the last intact frame; the rest of the file is a torn one.
    pub intact_bytes: usize,
}

/// Returns the frame of a delta at an offset of the log; `None` if the delta is too long.
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

/// Reads all frames of a log.
pub(crate) fn read(bytes: &[u8]) -> Result<Contents, Damage> {
    if !bytes.starts_with(MAGIC) {
        return Err(Damage {
            offset: 0,
            found: "the file does not begin with the magic number of a log of this release"
                .to_string(),
        });
    }
    let mut contents = Contents {
        deltas: Vec::new(),
        intact_bytes: MAGIC.len(),
    };
    while let Some((delta, length)) =
        read_frame(contents.intact_bytes, &bytes[contents.intact_bytes..])?
    {
        contents.deltas.push((contents.intact_bytes, delta));
        contents.intact_bytes += length;
    }
    Ok(contents)
}

/// Reads the frame at the start of `rest`. Returns its delta and length; `None` at the end or for a torn frame.
fn read_frame(offset: usize, rest: &[u8]) -> Result<Option<(Delta, usize)>, Damage> {
    let damage = |found: &str| Damage {
        offset,
        found: found.to_string(),
    };
    // The end of the log, or bytes by which the file was extended without being written.
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
        return Err(damage("the checksum of a delta's length does not match"));
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
        return Err(damage("a delta has no end mark"));
    }
    if blake3::hash(body) != *hash {
        return Err(damage("the checksum of a delta does not match"));
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
