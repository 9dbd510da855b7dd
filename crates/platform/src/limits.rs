//! Time limits, pauses and size bounds of the sockets. Those that belong to a decision stand with it: in
//! [`crate::connection_slots`], [`crate::idle_timeout`] and [`crate::discovery::watch_selection`].

use std::time::Duration;

/// Span of the backoff before the first reconnection to discovery or control plane.
pub(crate) const FIRST_RECONNECT_DELAY: Duration = Duration::from_millis(40);
/// Bound on the span between reconnections.
pub(crate) const LONGEST_RECONNECT_DELAY: Duration = Duration::from_millis(800);

/// Bound on one object of the endpoint list.
pub(crate) const MAX_LIST_OBJECT_BYTES: usize = 1 << 20;
/// Read buffer of a watch.
pub(crate) const WATCH_READ_BUFFER_BYTES: usize = 64 << 10;
/// Messages of a watch that wait to be taken; further ones wait in its socket.
pub(crate) const WATCH_QUEUE: usize = 16;

/// Bound on connecting to the control plane and on writing a call to it.
pub(crate) const CONTROL_PLANE_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The control plane pings each second: two pings are missing.
pub(crate) const CONTROL_PLANE_SILENCE: Duration = Duration::from_millis(2300);
/// How long the session at a former address may still bring the replies to its votes.
pub(crate) const VOTE_REPLY_LINGER: Duration = Duration::from_millis(1500);
/// Lines of the control plane are shorter than this, as are ours.
pub(crate) const MAX_CONTROL_PLANE_LINE_BYTES: usize = 8 << 10;
/// Votes that wait to be written. The router has one out at a time; one more than these is rejected.
pub(crate) const VOTE_QUEUE: usize = 4;

/// Bound on the head of a request or response and on each chunk's head.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Bound on the headers of a request or response.
pub(crate) const MAX_HEADERS: usize = 64;
/// The protocol's bound on any body. Pods do not keep it: complete responses of 128 to 400 KB were seen.
pub(crate) const MAX_BODY_BYTES: usize = 64 << 10;
/// Bound on a correlation id.
pub(crate) const MAX_CORRELATION_ID_BYTES: usize = 128;
/// Informational responses that may precede a response.
pub(crate) const MAX_INFORMATIONAL_RESPONSES: usize = 16;

/// Pause after a failed accept.
pub(crate) const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// How long a client's connection that is due to close is left to HTTP while bytes lie unread on it.
pub(crate) const UNREAD_GRACE: Duration = Duration::from_millis(2);

/// Interval between sweeps of idle connections to pods.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the `state` log line.
pub(crate) const STATE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the lateness of the event loop is measured.
pub(crate) const LATENESS_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// What a connection may need past the longest client time-out at a stop: to read its request, and to write and drain
/// its response.
pub(crate) const STOP_MARGIN: Duration = Duration::from_secs(3);
/// Interval at which a stop looks for connections that are left.
pub(crate) const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
