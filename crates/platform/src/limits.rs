//! Time limits, intervals and size limits of the socket code. Limits that belong to a decision are next to it, in
//! [`crate::connection_slots`], [`crate::idle_timeout`] and [`crate::discovery::watch_selection`].

use std::time::Duration;

/// Base delay from which the backoff between connections to discovery or the control plane grows; an actual delay is 50
/// to 100% of the base delay.
pub(crate) const FIRST_RECONNECT_DELAY: Duration = Duration::from_millis(40);
/// Limit on the base delay of that backoff.
pub(crate) const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(800);

/// Limit on one update of the endpoint list without its entries and white space; each entry leaves three bytes there.
pub(crate) const MAX_LIST_ENVELOPE_BYTES: usize = 256 << 10;
/// Limit on one entry of the endpoint list without white space.
pub(crate) const MAX_LIST_ENTRY_BYTES: usize = 16 << 10;
/// Read buffer of a watch.
pub(crate) const WATCH_READ_BUFFER_BYTES: usize = 64 << 10;
/// Messages of a watch that wait to be processed; further ones wait in its socket. A message may hold the complete list.
pub(crate) const WATCH_QUEUE_CAPACITY: usize = 1;

/// Limit on connecting to the control plane and on writing a call to it.
pub(crate) const CONTROL_PLANE_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a line after which the control plane counts as lost. It pings each second, so two pings are missing.
pub(crate) const CONTROL_PLANE_SILENCE_LIMIT: Duration = Duration::from_millis(2300);
/// How long the session at a previous address is kept open to receive the replies to its votes.
pub(crate) const VOTE_REPLY_LINGER: Duration = Duration::from_millis(1500);
/// Limit on one line from the control plane. The lines of both sides are shorter.
pub(crate) const MAX_CONTROL_PLANE_LINE_BYTES: usize = 8 << 10;
/// Votes that wait to be written; further ones are rejected. The engine has one vote in flight at a time.
pub(crate) const VOTE_QUEUE_CAPACITY: usize = 4;

/// Limit on the head of a request or response, and on the size line of a chunk.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Limit on the number of headers of a request or response.
pub(crate) const MAX_HEADERS: usize = 64;
/// The limit of the protocol on any body. Pods exceed it: complete responses of 128 to 400 KB were seen.
pub(crate) const MAX_BODY_BYTES: usize = 64 << 10;
/// Bodies of responses up to this length are not counted: the buffer that holds their head has room for them.
pub(crate) const UNRESERVED_RESPONSE_BYTES: usize = 2 << 10;
/// Limit on the length of a correlation id.
pub(crate) const MAX_CORRELATION_ID_BYTES: usize = 128;
/// Limit on informational (1xx) responses before a response.
pub(crate) const MAX_INFORMATIONAL_RESPONSES: usize = 16;

/// Pause after a failed accept, so that the loop does not spin while the failure lasts.
pub(crate) const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// How long a client connection past its deadline is kept open for the HTTP server to read bytes that have arrived.
pub(crate) const UNREAD_GRACE: Duration = Duration::from_millis(2);

/// Interval between sweeps of idle connections to pods.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between `state` log lines.
pub(crate) const STATE_INTERVAL: Duration = Duration::from_secs(1);
/// Timer interval by which the lateness of the event loop is measured.
pub(crate) const LATENESS_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a connection may need at a stop in addition to the longest client timeout: to read its request, and to
/// write and drain its response.
pub(crate) const STOP_MARGIN: Duration = Duration::from_secs(3);
/// Interval at which a stop checks for open client connections.
pub(crate) const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
