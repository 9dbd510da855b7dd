//! Ids that identify a request among sidecars.

use havenplank_takeover::record::RequestId;

/// Hashes the parts to a request id. The length of each part is hashed as well, so that a shift of bytes from one part
/// to the next gives another id.
pub fn request_id(parts: &[&[u8]]) -> RequestId {
    let mut hash = blake3::Hasher::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.finalize().as_bytes()[..16]);
    RequestId::from_le_bytes(bytes)
}

/// Formats a request id for the log, as 32 hexadecimal digits.
pub fn request_id_text(id: RequestId) -> String {
    format!("{id:032x}")
}
