//! Transfer of a snapshot in chunks, for peers that are too far behind for deltas.

use crate::bucket::{Bucket, BUCKETS};
use crate::digest::Digest;
use crate::encoding::{append_bucket, compress, decompress, read_bucket};
use crate::error::{ChunkError, DecodeError};
use crate::snapshot::Snapshot;
use crate::version::Version;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Longest compressed body of a chunk with several buckets, in bytes.
pub const TARGET_CHUNK_BYTES: usize = 32 << 10;
/// Longest compressed body of any chunk, in bytes: a single bucket may be larger than [`TARGET_CHUNK_BYTES`].
pub const MAX_CHUNK_BYTES: usize = 1 << 20;
/// Longest body of a chunk once decompressed, in bytes.
pub const MAX_CHUNK_RAW_BYTES: usize = 8 << 20;
/// Uncompressed bytes gathered for one chunk; more than [`TARGET_CHUNK_BYTES`], because tenants compress to less than a
/// quarter of their size.
const MAX_GATHERED_BYTES: usize = 6 * TARGET_CHUNK_BYTES;

/// The digests of all buckets of a snapshot, from which a receiver finds out which buckets it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version of the snapshot.
    pub version: Version,
    /// The digest of all its records.
    pub digest: Digest,
    /// The digest of each bucket, by bucket number.
    pub buckets: Vec<Digest>,
}

impl Manifest {
    /// Returns the manifest of a snapshot.
    pub fn of(snapshot: &Snapshot) -> Manifest {
        Manifest {
            version: snapshot.version(),
            digest: snapshot.digest(),
            buckets: snapshot.bucket_digests(),
        }
    }
}

/// Some buckets of a snapshot, each complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The version of the snapshot.
    pub version: Version,
    /// The numbers of the buckets, in the order in which the body holds them.
    pub buckets: Vec<u16>,
    /// For each bucket the number of its records, then the records; compressed with zstd.
    pub body: Vec<u8>,
}

/// Builds a chunk of as many wanted buckets as fit, in the given order. `None` if none of the wanted buckets exists, or
/// if there is not enough memory to compress them.
pub fn next_chunk(snapshot: &Snapshot, wanted: &[u16]) -> Option<Chunk> {
    let mut raw = Vec::new();
    let mut gathered: Vec<(u16, usize)> = Vec::new();
    for &number in wanted {
        let Some(bucket) = snapshot.buckets().get(usize::from(number)) else {
            continue;
        };
        let start = raw.len();
        append_bucket(bucket, &mut raw);
        if raw.len() > MAX_GATHERED_BYTES && !gathered.is_empty() {
            raw.truncate(start);
            break;
        }
        gathered.push((number, raw.len()));
    }
    while let Some(&(_, end)) = gathered.last() {
        let body = compress(&raw[..end])?;
        if body.len() <= TARGET_CHUNK_BYTES || gathered.len() == 1 {
            let buckets = gathered.iter().map(|(number, _)| *number).collect();
            return Some(Chunk {
                version: snapshot.version(),
                buckets,
                body,
            });
        }
        let fitting_buckets = gathered.len() * TARGET_CHUNK_BYTES / body.len();
        gathered.truncate(fitting_buckets.clamp(1, gathered.len() - 1));
    }
    None
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub struct Assembly {
    manifest: Manifest,
    buckets: Vec<Option<Arc<Bucket>>>,
}

impl Assembly {
    /// Starts an assembly, with those buckets of `base` that have the digest in the manifest.
    ///
    /// # Errors
    /// The manifest is older than `base`, lists another number of buckets than there are, or contradicts itself.
    pub fn new(base: &Snapshot, manifest: Manifest) -> Result<Assembly, ChunkError> {
        if manifest.version < base.version() {
            return Err(ChunkError::OlderVersion {
                have: base.version(),
                offered: manifest.version,
            });
        }
        if manifest.buckets.len() != BUCKETS {
            return Err(ChunkError::BucketCount {
                found: manifest.buckets.len(),
                expected: BUCKETS,
            });
        }
        let mut found = Digest::default();
        manifest
            .buckets
            .iter()
            .for_each(|bucket| found.add_all(bucket));
        if found != manifest.digest {
            return Err(ChunkError::ManifestDigestMismatch {
                expected: manifest.digest,
                found,
            });
        }
        let reused = |(bucket, digest): (&Arc<Bucket>, &Digest)| {
            (bucket.digest() == *digest).then(|| Arc::clone(bucket))
        };
        let buckets = base
            .buckets()
            .iter()
            .zip(&manifest.buckets)
            .map(reused)
            .collect();
        Ok(Assembly { manifest, buckets })
    }

    /// Returns the version that is being received.
    pub fn version(&self) -> Version {
        self.manifest.version
    }

    /// Returns the numbers of the buckets that are still missing, in ascending order.
    pub fn missing(&self) -> Vec<u16> {
        let numbered = self.buckets.iter().zip(0..);
        numbered
            .filter(|(bucket, _)| bucket.is_none())
            .map(|(_, number)| number)
            .collect()
    }

    /// Adds the buckets of a chunk; buckets that were added before stay unchanged.
    ///
    /// # Errors
    /// The chunk has another version than the manifest, cannot be decoded, or has a bucket with another digest than the
    /// manifest states. None of its buckets is added.
    pub fn add_chunk(&mut self, chunk: Chunk) -> Result<(), ChunkError> {
        if chunk.version != self.manifest.version {
            return Err(ChunkError::WrongVersion {
                expected: self.manifest.version,
                found: chunk.version,
            });
        }
        check_bucket_numbers(&chunk.buckets)?;
        let raw = decompress_chunk(&chunk.body)?;
        let mut rest = raw.as_slice();
        let mut decoded = Vec::with_capacity(chunk.buckets.len());
        for &number in &chunk.buckets {
            let (bucket, remaining) = read_bucket(usize::from(number), rest)?;
            rest = remaining;
            let (expected, found) = (self.manifest.buckets[usize::from(number)], bucket.digest());
            if found != expected {
                return Err(ChunkError::DigestMismatch {
                    bucket: number,
                    expected,
                    found,
                });
            }
            decoded.push((usize::from(number), Arc::new(bucket)));
        }
        if !rest.is_empty() {
            return Err(DecodeError::Trailing { found: rest.len() }.into());
        }
        for (number, bucket) in decoded {
            self.buckets[number].get_or_insert(bucket);
        }
        Ok(())
    }

    /// Returns the complete snapshot.
    ///
    /// # Errors
    /// Buckets are missing, or there are too many records.
    pub fn finish(self) -> Result<Snapshot, ChunkError> {
        let missing = self
            .buckets
            .iter()
            .filter(|bucket| bucket.is_none())
            .count();
        if missing > 0 {
            return Err(ChunkError::Incomplete { missing });
        }
        // No check of the digest is needed: each bucket matches the manifest, and `new` has checked that the digests of
        // the buckets add up to the digest of the manifest.
        Ok(Snapshot::from_buckets(
            self.manifest.version,
            self.buckets.into_iter().flatten().collect(),
        )?)
    }
}

/// Checks that each bucket exists and is named once.
fn check_bucket_numbers(numbers: &[u16]) -> Result<(), ChunkError> {
    let mut seen = [false; BUCKETS];
    for &bucket in numbers {
        match seen.get_mut(usize::from(bucket)) {
            Some(seen) if !*seen => *seen = true,
            _ => return Err(ChunkError::InvalidBucketNumber { bucket }),
        }
    }
    Ok(())
}

fn decompress_chunk(body: &[u8]) -> Result<Vec<u8>, ChunkError> {
    if body.len() > MAX_CHUNK_BYTES {
        return Err(ChunkError::TooLong {
            found: body.len(),
            max: MAX_CHUNK_BYTES,
        });
    }
    decompress(body, MAX_CHUNK_RAW_BYTES).ok_or(ChunkError::Decompress {
        max: MAX_CHUNK_RAW_BYTES,
    })
}
