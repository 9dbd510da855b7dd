//! Sends requests to one target at a steady rate. The latency of a request counts from the time at which it was due,
//! not from the time at which it was sent, so that a stall of the target shows in the latency of every delayed request.

use bytes::Bytes;
use havenplank_capacity::samples;
use havenplank_emulator::baseline::HOLD_MS_HEADER;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep_until, Instant};

/// Upper bound of the latency histogram, in microseconds.
const LONGEST_LATENCY_US: u64 = 600_000_000;
/// Decimal digits of precision of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;
const TENANT_HEADER: &str = "x-customer";
/// Step between the routes, and between the tenants, of two consecutive requests. A prime that divides neither count,
/// so that the requests go through all routes and all tenants.
const MIX_STRIDE: usize = 7_919;

type Sender = SendRequest<Empty<Bytes>>;

/// Routes and tenants of the requests.
#[derive(Clone, Copy)]
pub enum RequestMix {
    /// One path, no tenant.
    OnePath,
    /// Sample routes and tenants, in steps of `MIX_STRIDE`.
    Spread { routes: usize, tenants: usize },
}

impl RequestMix {
    fn request(self, number: usize, hold_ms: u64) -> hyper::http::Result<Request<Empty<Bytes>>> {
        let (path, tenant) = match self {
            RequestMix::OnePath => ("/x".to_string(), None),
            RequestMix::Spread { routes, tenants } => {
                let step = number * MIX_STRIDE;
                (
                    samples::route_path(step % routes),
                    Some(samples::tenant(step % tenants)),
                )
            }
        };
        let mut request = Request::get(path)
            .header("host", "h")
            .header(HOLD_MS_HEADER, hold_ms);
        if let Some(tenant) = tenant {
            request = request.header(TENANT_HEADER, tenant);
        }
        request.body(Empty::new())
    }
}

/// Connections to one target, and the counts of its responses.
pub struct Load {
    address: SocketAddr,
    mix: RequestMix,
    sent: Cell<usize>,
    idle: RefCell<Vec<Sender>>,
    latency_us: RefCell<Histogram<u64>>,
    /// Responses with status 200.
    pub succeeded: Cell<u64>,
    /// Responses with status 503.
    pub rejected: Cell<u64>,
    /// Other responses, and broken connections.
    pub failed: Cell<u64>,
}

impl Load {
    /// Returns a load of requests to one path, without connections.
    ///
    /// # Errors
    /// Bounds that the histogram does not accept.
    pub fn new(address: SocketAddr) -> anyhow::Result<Rc<Load>> {
        Load::with_mix(address, RequestMix::OnePath)
    }

    /// Returns a load of requests to the routes and tenants of `mix`, without connections.
    ///
    /// # Errors
    /// Bounds that the histogram does not accept.
    pub fn with_mix(address: SocketAddr, mix: RequestMix) -> anyhow::Result<Rc<Load>> {
        let latency_us = Histogram::new_with_bounds(1, LONGEST_LATENCY_US, SIGNIFICANT_DIGITS)?;
        Ok(Rc::new(Load {
            address,
            mix,
            sent: Cell::new(0),
            idle: RefCell::default(),
            latency_us: RefCell::new(latency_us),
            succeeded: Cell::new(0),
            rejected: Cell::new(0),
            failed: Cell::new(0),
        }))
    }

    /// Takes the idle connections of another load, and continues its sequence of routes and tenants.
    pub fn take_connections(&self, other: &Load) {
        self.idle.swap(&other.idle);
        self.sent.set(other.sent.get());
    }

    /// Returns a quantile of the latency of responses with status 200, in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.latency_us.borrow().value_at_quantile(quantile)
    }

    async fn sender(&self) -> anyhow::Result<Sender> {
        let idle = self.idle.borrow_mut().pop();
        if let Some(mut sender) = idle {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        spawn_local(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn status(&self, hold_ms: u64) -> anyhow::Result<u16> {
        let number = self.sent.replace(self.sent.get() + 1);
        let request = self.mix.request(number, hold_ms)?;
        let mut sender = self.sender().await?;
        let response = sender.send_request(request).await?;
        let status = response.status().as_u16();
        response.into_body().collect().await?;
        self.idle.borrow_mut().push(sender);
        Ok(status)
    }

    /// Sends one request that the pod holds for `hold_ms`, and counts the response.
    pub async fn request(&self, due: Instant, hold_ms: u64) {
        let count = match self.status(hold_ms).await {
            Ok(200) => {
                let _ = self
                    .latency_us
                    .borrow_mut()
                    .record(due.elapsed().as_micros() as u64);
                &self.succeeded
            }
            Ok(503) => &self.rejected,
            _ => &self.failed,
        };
        count.set(count.get() + 1);
    }

    /// Sends `rate` requests per second for `length`, however slow the responses are, then waits for the last response.
    pub async fn open_loop(self: &Rc<Self>, rate: f64, length: Duration, hold_ms: u64) {
        let (started, mut in_flight) = (Instant::now(), JoinSet::new());
        let count = (rate * length.as_secs_f64()) as u64;
        for number in 0..count {
            let due = started + Duration::from_secs_f64(number as f64 / rate);
            if due > Instant::now() {
                sleep_until(due).await;
            } else if number % 64 == 0 {
                tokio::task::yield_now().await;
            }
            let load = self.clone();
            in_flight.spawn_local(async move { load.request(due, hold_ms).await });
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }
}
