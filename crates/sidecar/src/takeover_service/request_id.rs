//! Ids that name a request among sidecars.

use havenplank_takeover::record::RequestId;

/// Hashes these parts to a request id; parts are told apart by their lengths.
pub fn request_id(parts: &[&[u8]]) -> RequestId {
    let mut hash = blake3::Hasher::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.finalize().as_bytes()[..16]);
    RequestId::from_le_bytes(bytes)
}

/// Formats a request id for the log.
pub fn request_id_text(id: RequestId) -> String {
    format!("{id:032x}")
}
