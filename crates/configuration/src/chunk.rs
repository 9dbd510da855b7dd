//! A snapshot in pieces, for peers that are too far behind for deltas.

use crate::bucket::{Bucket, BUCKETS};
use crate::digest::Digest;
use crate::encoding::{append_bucket, compress, decompress, read_bucket};
use crate::error::{ChunkError, DecodeError};
use crate::snapshot::Snapshot;
use crate::version::Version;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The longest body of a chunk of several buckets, compressed.
pub const TARGET_CHUNK_BYTES: usize = 32 << 10;
/// The longest body of a chunk at all: one bucket alone may be larger than [`TARGET_CHUNK_BYTES`].
pub const MAX_CHUNK_BYTES: usize = 1 << 20;
/// The longest body of a chunk once decompressed.
pub const MAX_CHUNK_RAW_BYTES: usize = 8 << 20;
/// What is gathered before it is compressed: tenants shrink to less than a quarter.
const GATHER_BYTES: usize = 6 * TARGET_CHUNK_BYTES;

/// What a snapshot consists of, so that a receiver knows which buckets it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version of the snapshot.
    pub version: Version,
    /// The digest of all its records.
    pub digest: Digest,
    /// The digest of each bucket, in order.
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

/// Some whole buckets of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The version of the snapshot.
    pub version: Version,
    /// Numbers of the buckets.
    pub buckets: Vec<u16>,
    /// The records of each bucket after their count, compressed with zstd.
    pub body: Vec<u8>,
}

/// The next piece: as many of the wanted buckets, from the first on, as fit. `None` when nothing that exists is wanted.
pub fn next_chunk(snapshot: &Snapshot, wanted: &[u16]) -> Option<Chunk> {
    let mut raw = Vec::new();
    let mut gathered: Vec<(u16, usize)> = Vec::new();
    for &number in wanted {
        let Some(bucket) = snapshot.buckets().get(usize::from(number)) else {
            continue;
        };
        let start = raw.len();
        append_bucket(bucket, &mut raw);
        if raw.len() > GATHER_BYTES && !gathered.is_empty() {
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
        let fitting = gathered.len() * TARGET_CHUNK_BYTES / body.len();
        gathered.truncate(fitting.clamp(1, gathered.len() - 1));
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
    /// Begins with the buckets of `base` that are the same.
    ///
    /// # Errors
    /// A manifest that is older than `base` or does not fit itself.
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

    /// The buckets that are not there yet, in order.
    pub fn missing(&self) -> Vec<u16> {
        let numbered = self.buckets.iter().zip(0..);
        numbered
            .filter(|(bucket, _)| bucket.is_none())
            .map(|(_, number)| number)
            .collect()
    }

    /// Takes a chunk in; one that was taken before changes nothing.
    ///
    /// # Errors
    /// A chunk of another version, or with a bucket that is not what the manifest states. Nothing of it is kept.
    pub fn add_chunk(&mut self, chunk: Chunk) -> Result<(), ChunkError> {
        if chunk.version != self.manifest.version {
            return Err(ChunkError::WrongVersion {
                expected: self.manifest.version,
                found: chunk.version,
            });
        }
        check_numbers(&chunk.buckets)?;
        let raw = decompress_chunk(&chunk.body)?;
        let mut rest = raw.as_slice();
        let mut taken = Vec::with_capacity(chunk.buckets.len());
        for &number in &chunk.buckets {
            let (bucket, after) = read_bucket(usize::from(number), rest)?;
            rest = after;
            let (expected, found) = (self.manifest.buckets[usize::from(number)], bucket.digest());
            if found != expected {
                return Err(ChunkError::DigestMismatch {
                    bucket: number,
                    expected,
                    found,
                });
            }
            taken.push((usize::from(number), Arc::new(bucket)));
        }
        if !rest.is_empty() {
            return Err(DecodeError::Trailing { found: rest.len() }.into());
        }
        for (at, bucket) in taken {
            self.buckets[at].get_or_insert(bucket);
        }
        Ok(())
    }

    /// The whole snapshot.
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
        // Each bucket has the digest of the manifest, and those have its digest together.
        Ok(Snapshot::from_buckets(
            self.manifest.version,
            self.buckets.into_iter().flatten().collect(),
        )?)
    }
}

/// Bucket numbers exist and stand there once each.
fn check_numbers(numbers: &[u16]) -> Result<(), ChunkError> {
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
