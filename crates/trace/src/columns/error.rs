//! The errors in the columns of a block whose checksum is right.

/// A value in a column that does not follow the format; each variant holds the number of the column.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ColumnError {
    /// The column has fewer values than the records need.
    #[error("column {0} ends before its last value")]
    Truncated(u16),
    /// The value lies outside the range of its field.
    #[error("column {0} holds a value out of range")]
    OutOfRange(u16),
    /// The value refers to a dictionary entry that the block lacks.
    #[error("column {0} names an entry that its dictionary lacks")]
    MissingEntry(u16),
}
