//! A list cached in a file: the service's own lines, greeting and one complete list.

use super::calls::Subscriber;
use super::endpoint::{ListedEndpoint, PROTOCOL};
use super::notification::{write_list, NotificationParser};
use crate::codec::{greeting, LineParser};
use crate::error::CachedListError;

/// Takes the last complete list out of what is parsed.
struct CompleteList(Option<Vec<ListedEndpoint>>);

impl Subscriber for CompleteList {
    fn update_endpoints(&mut self, complete: bool, endpoints: Vec<ListedEndpoint>) {
        self.0 = complete.then_some(endpoints);
    }

    fn poll_failed(&mut self, _reason: &str) {}
}

/// Decodes a cached list.
///
/// # Errors
/// The line and what was expected there; a text that was cut short is refused, too.
pub fn decode_cached(text: &str) -> Result<Vec<ListedEndpoint>, CachedListError> {
    if !text.ends_with('\n') {
        return Err(CachedListError::UnterminatedLine);
    }
    let mut parser = NotificationParser::default();
    let mut list = CompleteList(None);
    for (index, line) in text.lines().enumerate() {
        let parsed = parser.parse_line(line);
        let parsed = parsed.map_err(|source| CachedListError::Malformed {
            line: index + 1,
            source,
        })?;
        if let Some(notification) = parsed {
            notification(&mut list);
        }
    }
    list.0.ok_or(CachedListError::Incomplete)
}

/// Encodes a list for [`decode_cached`].
pub fn encode_cached(endpoints: &[ListedEndpoint]) -> String {
    let mut out = greeting(PROTOCOL, None);
    write_list(&mut out, 1, true, endpoints);
    out
}
