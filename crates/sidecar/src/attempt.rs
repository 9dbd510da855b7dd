//! Runs one attempt: acquires a connection, checks once more that the attempt may be sent, exchanges request and
//! response with the pod, and classifies the response.

use crate::body::Body;
use crate::dispatcher::{AttemptId, AttemptResult};
use crate::headers;
use crate::prepared_request::PreparedRequest;
use crate::protected_request;
use crate::shell::Shell;
use crate::takeover_service::AnnouncedAttempt;
use crate::upstream::{Reuse, UpstreamConnection};
use bytes::{Bytes, BytesMut};
use havenplank::interface::{AttemptEnd, LoadReport, Nanos, PodId};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The response header that names the pod that served the request, for clients that report a wrong response.
const POD_HEADER: &str = "x-pod";

/// Runs one attempt for at most `time` and reports its end to the engine.
pub async fn send(
    shell: Rc<Shell>,
    request: Rc<PreparedRequest>,
    id: AttemptId,
    pod: PodId,
    time: Duration,
) {
    let sent = Cell::new(false);
    let attempt = Attempt {
        shell: &shell,
        request: &request,
        id,
        pod,
        deadline: Instant::now() + time,
        sent: &sent,
    };
    shell.run_attempt(id, time, &sent, attempt.run()).await;
}

struct Attempt<'a> {
    shell: &'a Rc<Shell>,
    request: &'a PreparedRequest,
    id: AttemptId,
    pod: PodId,
    deadline: Instant,
    /// Set before the pod may start to process the attempt.
    sent: &'a Cell<bool>,
}

/// A response whose head has been read, with the connection that its body arrives on.
struct Exchange {
    connection: UpstreamConnection,
    response: Response<Incoming>,
    announced: Option<AnnouncedAttempt>,
}

impl Attempt<'_> {
    async fn run(self) -> AttemptResult<Response<Body>> {
        match self.exchange().await {
            Ok(exchange) => self.read_response(exchange).await,
            Err(end) => end.into(),
        }
    }

    /// Sends the request. Sends it once more, on a new connection, if the pod closed an idle connection before any byte
    /// of the request was written.
    async fn exchange(&self) -> Result<Exchange, AttemptEnd> {
        let address = self
            .shell
            .pod_address(self.pod)
            .ok_or(AttemptEnd::NotSent)?;
        let mut reuse = Reuse::Idle;
        let mut announced = None;
        loop {
            let connection = self.shell.upstream.acquire(address, reuse).await;
            let mut connection = connection.map_err(|_| AttemptEnd::ConnectFailed)?;
            if !self.may_send(&mut announced).await {
                connection.release();
                return Err(AttemptEnd::NotSent);
            }
            self.set_sent(&announced, true);
            let sending = connection.sender.try_send_request(self.http_request());
            let mut error = match sending.await {
                Ok(response) => {
                    return Ok(Exchange {
                        connection,
                        response,
                        announced,
                    })
                }
                Err(error) => error,
            };
            // The error returns the request only if no byte of it was written, that is if the connection closed while
            // idle.
            if error.take_message().is_none() {
                return Err(AttemptEnd::Reset);
            }
            if reuse == Reuse::Never {
                announced.iter().for_each(AnnouncedAttempt::set_never_ran);
                return Err(AttemptEnd::ConnectFailed);
            }
            self.set_sent(&announced, false);
            reuse = Reuse::Never;
        }
    }

    /// Announces the attempt to the backups once, and returns whether the attempt may be written now. Its pod was
    /// chosen before it had a connection; since then the pod may have begun to drain, or its build may have been
    /// withdrawn.
    async fn may_send(&self, announced: &mut Option<AnnouncedAttempt>) -> bool {
        if let (Some(protection), None) = (&self.request.protection, &announced) {
            match protected_request::announce_attempt(self.shell, protection, self.pod).await {
                Ok(announcement) => *announced = announcement,
                Err(protected_request::NotOwner) => return false,
            }
        }
        self.shell.may_send(self.id) && protected_request::may_send(self.shell, self.request)
    }

    fn set_sent(&self, announced: &Option<AnnouncedAttempt>, sent: bool) {
        self.sent.set(sent);
        if let Some(announced) = announced {
            announced.set_sent(sent);
        }
    }

    fn http_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        *request.headers_mut() = self.request.headers.clone();
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let remaining = headers::format_timeout(remaining.as_nanos() as Nanos);
        if let Ok(remaining) = HeaderValue::from_str(&remaining) {
            let name = self.shell.timeout_header.clone();
            request.headers_mut().insert(name, remaining);
        }
        request
    }

    /// Reads the part of a response that must have arrived before the response goes to the client.
    async fn read_response(&self, exchange: Exchange) -> AttemptResult<Response<Body>> {
        let Exchange {
            connection,
            response,
            announced,
        } = exchange;
        let (mut parts, mut body) = response.into_parts();
        let end = self.attempt_end(&parts);
        let load = load_report(self.shell, &parts.headers);
        if end.never_ran() {
            announced.iter().for_each(AnnouncedAttempt::set_never_ran);
        }
        headers::strip_hop_by_hop(&mut parts.headers);
        let read = match self.request.route.rules.stream {
            true => Ok(BodyPrefix::empty()),
            false => {
                BodyPrefix::read(&mut body, self.shell.site.listener.buffered_response_bytes).await
            }
        };
        let Ok(prefix) = read else {
            return AttemptEnd::Reset.into();
        };
        let response = client_body(end, connection, prefix, body).map(|body| {
            if let Some(name) = self.shell.pod_name(self.pod) {
                parts.headers.insert(POD_HEADER, name);
            }
            if end == AttemptEnd::Served {
                announced.iter().for_each(AnnouncedAttempt::set_served);
            }
            Response::from_parts(parts, body)
        });
        AttemptResult {
            end,
            load,
            response,
        }
    }

    fn attempt_end(&self, parts: &Parts) -> AttemptEnd {
        let settings = &self.shell.site.upstream;
        let is_proof = parts.headers.contains_key(&settings.unprocessed_header);
        if parts.status == settings.unprocessed_status && is_proof {
            AttemptEnd::Rejected
        } else if parts.status.is_server_error() {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Served
        }
    }
}

/// Returns the body that goes to the client. Returns `None` for an incomplete body of an attempt that was not served:
/// nothing reads the rest of it, so its connection is closed.
fn client_body(
    end: AttemptEnd,
    connection: UpstreamConnection,
    prefix: BodyPrefix,
    rest: Incoming,
) -> Option<Body> {
    if prefix.is_complete {
        connection.release();
        Some(Body::Complete(Full::new(prefix.bytes)))
    } else if end == AttemptEnd::Served {
        Some(Body::Streaming {
            buffered: Some(prefix.bytes).filter(|bytes| !bytes.is_empty()),
            rest,
            connection: Some(connection),
        })
    } else {
        None
    }
}

/// Parses the load that a pod reports with a response, if the settings enable load reports.
pub fn load_report(shell: &Shell, headers: &HeaderMap) -> Option<LoadReport> {
    if !shell.site.upstream.load_reports {
        return None;
    }
    let text = headers.get(headers::LOAD_REPORT)?;
    headers::parse_load_report(text.to_str().ok()?)
}

/// The first bytes of a response body.
struct BodyPrefix {
    bytes: Bytes,
    is_complete: bool,
}

impl BodyPrefix {
    /// Returns an empty prefix, for a body that is streamed to the client from its start.
    fn empty() -> BodyPrefix {
        BodyPrefix {
            bytes: Bytes::new(),
            is_complete: false,
        }
    }

    fn complete(bytes: Bytes) -> BodyPrefix {
        BodyPrefix {
            bytes,
            is_complete: true,
        }
    }

    /// Reads a body to its end, or up to the end of the frame that takes it past `limit` bytes.
    async fn read(body: &mut Incoming, limit: usize) -> Result<BodyPrefix, hyper::Error> {
        let mut first = Bytes::new();
        // Most bodies are one frame, which is passed on without a copy.
        while first.is_empty() {
            match body.frame().await {
                None => return Ok(BodyPrefix::complete(first)),
                Some(frame) => first = frame?.into_data().unwrap_or_default(),
            }
        }
        if body.is_end_stream() {
            return Ok(BodyPrefix::complete(first));
        }
        let mut read = BytesMut::from(&first[..]);
        while read.len() <= limit {
            match body.frame().await {
                None => return Ok(BodyPrefix::complete(read.freeze())),
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        read.extend_from_slice(&data);
                    }
                }
            }
        }
        Ok(BodyPrefix {
            bytes: read.freeze(),
            is_complete: false,
        })
    }
}
