//! The endpoint list as cached in a file: the same lines as the service sends, namely a greeting and one complete list.

use super::callbacks::Subscriber;
use super::endpoint::{ListedEndpoint, PROTOCOL};
use super::notification::{write_list, NotificationParser};
use crate::codec::{greeting, LineParser};
use crate::error::CachedListError;

/// Holds the list of the last notification if it was complete.
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
/// Returns the invalid line and what was expected there. A truncated text is an error, too.
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
