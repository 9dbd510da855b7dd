//! Parsers for the words and numbers of a line.

use crate::error::ParseError;
use winnow::ascii::{dec_int, dec_uint, float};
use winnow::combinator::preceded;
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

/// Limit on the bytes of a word.
const MAX_WORD_BYTES: usize = 128;

pub(crate) type Input<'a> = &'a str;
pub(crate) type Parsed<T> = Result<T, ContextError>;

/// Parses a complete line; the error names the column and what was expected there.
pub(crate) fn parse_complete<'a, T>(
    line: &'a str,
    mut parser: impl Parser<Input<'a>, T, ContextError>,
) -> Result<T, ParseError> {
    parser.parse(line).map_err(|error| {
        let expected = match error.inner().to_string() {
            empty if empty.is_empty() => "expected the end of the line".to_string(),
            expected => expected.replace('\n', "; "),
        };
        ParseError::Unexpected {
            column: error.offset() + 1,
            expected,
        }
    })
}

/// Describes what a parser expects, for its error message.
pub(crate) fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// Parses a word: visible ASCII characters without spaces.
pub(crate) fn word<'a>(input: &mut Input<'a>) -> Parsed<&'a str> {
    take_while(1..=MAX_WORD_BYTES, |c: char| c.is_ascii_graphic())
        .context(expected("a word"))
        .parse_next(input)
}

/// Parses a word that is in a table, and returns the value that belongs to it.
pub(crate) fn one_of<'a, T: Copy>(
    table: &'static [(&'static str, T)],
    what: &'static str,
) -> impl Parser<Input<'a>, T, ContextError> {
    word.verify_map(move |word| {
        let entry = table.iter().find(|(name, _)| *name == word);
        entry.map(|(_, value)| *value)
    })
    .context(expected(what))
}

/// Returns the word that belongs to a value in a table.
pub(crate) fn name_of<T: PartialEq>(table: &[(&'static str, T)], value: T) -> Option<&'static str> {
    let entry = table.iter().find(|(_, known)| *known == value);
    entry.map(|(name, _)| *name)
}

/// Parses a space and, after it, what `parser` accepts.
pub(crate) fn after_space<'a, T>(
    parser: impl Parser<Input<'a>, T, ContextError>,
) -> impl Parser<Input<'a>, T, ContextError> {
    preceded(' ', parser)
}

pub(crate) fn uint64<'a>(what: &'static str) -> impl Parser<Input<'a>, u64, ContextError> {
    dec_uint.context(expected(what))
}

pub(crate) fn uint32<'a>(what: &'static str) -> impl Parser<Input<'a>, u32, ContextError> {
    dec_uint.context(expected(what))
}

pub(crate) fn int64<'a>(what: &'static str) -> impl Parser<Input<'a>, i64, ContextError> {
    dec_int.context(expected(what))
}

/// Parses a finite number that is not negative.
pub(crate) fn non_negative<'a>(what: &'static str) -> impl Parser<Input<'a>, f64, ContextError> {
    float
        .verify(|number: &f64| number.is_finite() && *number >= 0.0)
        .context(expected(what))
}
