//! Carries one attempt out: a connection, a last check, the exchange with the pod, and what its answer means.

use crate::body::Body;
use crate::dispatcher::{AttemptId, AttemptResult};
use crate::exactly_once;
use crate::headers;
use crate::prepared_request::PreparedRequest;
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

/// Which pod served, for whoever reports an answer as wrong.
const POD_HEADER: &str = "x-pod";

/// Carries one attempt out and reports its end to the engine.
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
    /// Set once the pod may have begun.
    sent: &'a Cell<bool>,
}

/// A pod's answer, of which the head is read.
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

    /// Sends the request; once more on a new connection where an idle one proves closed before any byte was written.
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
            // The message comes back only where no byte of it was written: the connection closed while idle.
            if error.take_message().is_none() {
                return Err(AttemptEnd::Reset);
            }
            if reuse == Reuse::Never {
                announced.iter().for_each(AnnouncedAttempt::never_ran);
                return Err(AttemptEnd::ConnectFailed);
            }
            self.set_sent(&announced, false);
            reuse = Reuse::Never;
        }
    }

    /// Announces the attempt once, and returns whether it may be written now. It was chosen when it had no connection
    /// yet: the pod may drain by now, or its build be closed.
    async fn may_send(&self, announced: &mut Option<AnnouncedAttempt>) -> bool {
        if let (Some(protection), None) = (&self.request.protection, &announced) {
            match exactly_once::announce_attempt(self.shell, protection, self.pod).await {
                Ok(announcement) => *announced = announcement,
                Err(exactly_once::NotOurs) => return false,
            }
        }
        self.shell.may_send(self.id) && exactly_once::may_send(self.shell, self.request)
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
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left = headers::format_timeout(left.as_nanos() as Nanos);
        if let Ok(left) = HeaderValue::from_str(&left) {
            let name = self.shell.timeout_header.clone();
            request.headers_mut().insert(name, left);
        }
        request
    }

    /// Reads a response as far as it must be before it goes to the client.
    async fn read_response(&self, exchange: Exchange) -> AttemptResult<Response<Body>> {
        let Exchange {
            connection,
            response,
            announced,
        } = exchange;
        let (mut parts, mut body) = response.into_parts();
        let end = self.end_of(&parts);
        let load = load_report(self.shell, &parts.headers);
        if end.never_ran() {
            announced.iter().for_each(AnnouncedAttempt::never_ran);
        }
        headers::strip_hop_by_hop(&mut parts.headers);
        let read = match self.request.route.rules.stream {
            true => Ok(Beginning::of_stream()),
            false => {
                Beginning::read(&mut body, self.shell.site.listener.buffered_response_bytes).await
            }
        };
        let Ok(beginning) = read else {
            return AttemptEnd::Reset.into();
        };
        let response = client_body(end, connection, beginning, body).map(|body| {
            if let Some(name) = self.shell.pod_name(self.pod) {
                parts.headers.insert(POD_HEADER, name);
            }
            if end == AttemptEnd::Served {
                announced.iter().for_each(AnnouncedAttempt::served);
            }
            Response::from_parts(parts, body)
        });
        AttemptResult {
            end,
            load,
            response,
        }
    }

    fn end_of(&self, parts: &Parts) -> AttemptEnd {
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

/// Returns the body that goes to the client; none where nobody reads on in an answer that goes nowhere: its connection
/// then closes.
fn client_body(
    end: AttemptEnd,
    connection: UpstreamConnection,
    beginning: Beginning,
    rest: Incoming,
) -> Option<Body> {
    if beginning.is_complete {
        connection.release();
        Some(Body::Complete(Full::new(beginning.bytes)))
    } else if end == AttemptEnd::Served {
        Some(Body::Streaming {
            first: Some(beginning.bytes).filter(|first| !first.is_empty()),
            rest,
            connection: Some(connection),
        })
    } else {
        None
    }
}

/// Reads the load that a pod reports with a response, where the settings say that it does.
pub fn load_report(shell: &Shell, headers: &HeaderMap) -> Option<LoadReport> {
    if !shell.site.upstream.load_reports {
        return None;
    }
    let text = headers.get(headers::LOAD_REPORT)?;
    headers::parse_load_report(text.to_str().ok()?)
}

/// The beginning of an answer's body.
struct Beginning {
    bytes: Bytes,
    is_complete: bool,
}

impl Beginning {
    /// Reads nothing of a body that is passed on as it comes.
    fn of_stream() -> Beginning {
        Beginning {
            bytes: Bytes::new(),
            is_complete: false,
        }
    }

    fn complete(bytes: Bytes) -> Beginning {
        Beginning {
            bytes,
            is_complete: true,
        }
    }

    /// Reads a body up to `limit` bytes, or the end of the frame in which it passes them.
    async fn read(body: &mut Incoming, limit: usize) -> Result<Beginning, hyper::Error> {
        let mut first = Bytes::new();
        // Most answers are one frame, which is passed on as it is.
        while first.is_empty() {
            match body.frame().await {
                None => return Ok(Beginning::complete(first)),
                Some(frame) => first = frame?.into_data().unwrap_or_default(),
            }
        }
        if body.is_end_stream() {
            return Ok(Beginning::complete(first));
        }
        let mut read = BytesMut::from(&first[..]);
        while read.len() <= limit {
            match body.frame().await {
                None => return Ok(Beginning::complete(read.freeze())),
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        read.extend_from_slice(&data);
                    }
                }
            }
        }
        Ok(Beginning {
            bytes: read.freeze(),
            is_complete: false,
        })
    }
}
