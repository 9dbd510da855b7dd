//! Encodes records into the columns of one block.

use super::error::ColumnError;
use super::field_visitor::FieldVisitor;
use super::kind::kind_number;
use super::last_values::LastValues;
use super::visit::visit_record;
use super::{BlockBody, COLUMN_COUNT, ENGINE_TIME_COLUMN, KIND_COLUMN, SOURCE_COLUMN, TIME_COLUMN};
use crate::record::{PodSnapshot, Record, StageInForce};
use havenplank::interface::{Nanos, PodId};
use integer_encoding::VarInt;
use std::collections::HashMap;
use std::sync::Arc;

/// Encodes records into one block. Its memory is proportional to the size of the block, which the caller closes once it
/// is full.
pub struct BlockEncoder {
    columns: Vec<Vec<u8>>,
    last_values: LastValues,
    pods: Vec<PodSnapshot>,
    pod_entries: HashMap<(usize, PodId), (Arc<PodSnapshot>, u64)>,
    keys: Vec<u64>,
    key_entries: HashMap<u64, u64>,
    texts: Vec<String>,
    text_entries: HashMap<String, u64>,
    stages_in_force: Vec<StageInForce>,
    source: usize,
    /// The approximate size of the uncompressed block so far, in bytes.
    pub bytes: usize,
    /// Records encoded so far.
    pub records: u32,
    /// Requests that arrive in the block.
    pub requests: u32,
    /// Records of events that other sidecars receive as well.
    pub shared: u32,
    /// Time of the first record, in nanoseconds on the file's clock.
    pub first: Nanos,
    /// Time of the last record, in nanoseconds on the file's clock.
    pub last: Nanos,
}

impl BlockEncoder {
    /// Begins a block; `standing` holds the stages in force before its first record.
    pub fn new(stages_in_force: Vec<StageInForce>) -> BlockEncoder {
        BlockEncoder {
            columns: vec![Vec::new(); COLUMN_COUNT],
            last_values: LastValues::default(),
            pods: Vec::new(),
            pod_entries: HashMap::new(),
            keys: Vec::new(),
            key_entries: HashMap::new(),
            texts: Vec::new(),
            text_entries: HashMap::new(),
            stages_in_force,
            source: 0,
            bytes: 0,
            records: 0,
            requests: 0,
            shared: 0,
            first: 0,
            last: 0,
        }
    }

    /// Adds a record. Time never goes back within a block: a record that is earlier than the previous one gets the time
    /// of the previous one.
    pub fn put(&mut self, mut record: Record) {
        if self.records == 0 {
            self.first = record.at;
            self.last = record.at;
        }
        let at = record.at.max(self.last);
        let kind = kind_number(&record.payload);
        self.source = record.source;
        let source = record.source as u64;
        // Encoding never fails: only the decoder returns errors.
        let mut step = at - self.last;
        let _ = self.number(KIND_COLUMN, &mut (kind as u64));
        let _ = self.number(TIME_COLUMN, &mut step);
        let _ = self.number(SOURCE_COLUMN, &mut { source });
        let _ = self.delta(
            ENGINE_TIME_COLUMN,
            source,
            &mut record.engine_time.wrapping_sub(at),
        );
        let _ = visit_record(self, kind, source, &mut record);
        self.last = at;
        self.records += 1;
        self.requests += record.is_arrival() as u32;
        self.shared += record.is_shared() as u32;
    }

    /// Returns the uncompressed body of the block.
    pub fn body(&self) -> Vec<u8> {
        let columns = self
            .columns
            .iter()
            .enumerate()
            .filter(|(_, bytes)| !bytes.is_empty());
        let body = BlockBody {
            pods: self.pods.clone(),
            keys: self.keys.clone(),
            texts: self.texts.clone(),
            stages_in_force: self.stages_in_force.clone(),
            columns: columns
                .map(|(column, bytes)| (column as u16, &bytes[..]))
                .collect(),
        };
        postcard::to_stdvec(&body).unwrap_or_default()
    }
}

impl FieldVisitor for BlockEncoder {
    fn number(&mut self, column: u16, value: &mut u64) -> Result<(), ColumnError> {
        let mut buffer = [0; 10];
        let used = value.encode_var(&mut buffer);
        self.columns[column as usize].extend_from_slice(&buffer[..used]);
        self.bytes += used;
        Ok(())
    }

    /// Encodes a multiple of one thousandth, as most load values are, as an integer, and any other value by its bits.
    fn float(&mut self, column: u16, value: &mut f64) -> Result<(), ColumnError> {
        let thousandths = (*value * 1000.0).round();
        let fits = (0.0..1e15).contains(&thousandths) && thousandths / 1000.0 == *value;
        if fits && value.is_sign_positive() {
            return self.number(column, &mut ((thousandths as u64) << 1));
        }
        self.number(column, &mut 1)?;
        self.columns[column as usize].extend_from_slice(&value.to_bits().to_le_bytes());
        self.bytes += 8;
        Ok(())
    }

    fn idempotency_key(&mut self, column: u16, value: &mut u64) -> Result<(), ColumnError> {
        let next = self.keys.len() as u64;
        let mut entry = *self.key_entries.entry(*value).or_insert(next);
        if entry == next {
            self.keys.push(*value);
            self.bytes += 10;
        }
        self.number(column, &mut entry)
    }

    fn text(&mut self, column: u16, value: &mut String) -> Result<(), ColumnError> {
        let mut entry = match self.text_entries.get(value.as_str()) {
            Some(entry) => *entry,
            None => {
                let entry = self.texts.len() as u64;
                self.texts.push(value.clone());
                self.text_entries.insert(value.clone(), entry);
                self.bytes += value.len() + 4;
                entry
            }
        };
        self.number(column, &mut entry)
    }

    fn pod(
        &mut self,
        column: u16,
        pod: &mut PodId,
        snapshot: &mut Option<Arc<PodSnapshot>>,
    ) -> Result<(), ColumnError> {
        let unnamed_pod = || PodSnapshot {
            pod: *pod,
            build: 0,
            name: String::new(),
            zone: String::new(),
        };
        let snapshot = snapshot.get_or_insert_with(|| Arc::new(unnamed_pod()));
        let key = (self.source, *pod);
        let known = self
            .pod_entries
            .get(&key)
            .filter(|(known, _)| Arc::ptr_eq(known, snapshot) || known == snapshot);
        let mut entry = match known {
            Some((_, entry)) => *entry,
            None => {
                let entry = self.pods.len() as u64;
                self.pods.push((**snapshot).clone());
                self.pod_entries.insert(key, (snapshot.clone(), entry));
                self.bytes += snapshot.name.len() + snapshot.zone.len() + 8;
                entry
            }
        };
        self.number(column, &mut entry)
    }

    fn last_value(&mut self, column_and_slot: (u16, u64)) -> &mut u64 {
        self.last_values.entry(column_and_slot)
    }

    fn mark_unknown(&mut self) {}
}
