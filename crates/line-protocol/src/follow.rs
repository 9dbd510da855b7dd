//! The client half of a feed: connects, greets, hands on what is said in order, and connects again.

use crate::lines::{hello, FeedError, Lines, Speech};
use futures_util::{SinkExt, StreamExt};
use oorandom::Rand64;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

const CONNECT: Duration = Duration::from_secs(2);
const FIRST_WAIT: Duration = Duration::from_millis(100);
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// A connection that held this long was a good one: the next wait starts short again.
const HELD: Duration = Duration::from_secs(5);

/// Waits before the next try: each is scattered between half and the whole of a span that doubles, so that
/// many followers of a service that comes back do not come at once.
pub struct Waits {
    chance: Rand64,
    first: Duration,
    longest: Duration,
    /// The span before; none right after a good connection.
    last: Option<Duration>,
}

impl Waits {
    pub fn new(seed: u64, first: Duration, longest: Duration) -> Waits {
        Waits {
            chance: Rand64::new(seed as u128),
            first,
            longest,
            last: Some(first),
        }
    }

    /// The connection that ended was a good one: the next wait starts short again.
    pub fn held(&mut self) {
        self.last = None;
    }

    pub fn next_wait(&mut self) -> Duration {
        let span = self
            .last
            .map_or(self.first, |last| (last * 2).min(self.longest));
        self.last = Some(span);
        span.mul_f64(0.5 + 0.5 * self.chance.rand_float())
    }
}

/// What happens on a feed besides its calls.
pub trait Link<C> {
    fn up(&mut self);
    fn said(&mut self, call: C);
    /// The connection ended or was never made. Lines asked for meanwhile come back by `unsent`.
    fn down(&mut self, why: &FeedError);
    /// A line that was not sent, as there is no connection.
    fn unsent(&mut self, line: String);
}

/// Follows a feed until `asks` is closed, with [`Waits`] between tries.
pub async fn follow<S: Speech + Default>(
    (feed, address, line_bytes): (&str, SocketAddr, usize),
    name: &str,
    seed: u64,
    mut asks: mpsc::Receiver<String>,
    link: &mut impl Link<S::Call>,
) {
    let mut waits = Waits::new(seed, FIRST_WAIT, LONGEST_WAIT);
    loop {
        let began = tokio::time::Instant::now();
        let ended = session::<S>((feed, address, line_bytes), name, &mut asks, link).await;
        let Err(why) = ended else { return };
        link.down(&why);
        if began.elapsed() >= HELD {
            waits.held();
        }
        let scattered = sleep(waits.next_wait());
        tokio::pin!(scattered);
        loop {
            tokio::select! {
                () = &mut scattered => break,
                ask = asks.recv() => match ask {
                    Some(line) => link.unsent(line),
                    None => return,
                },
            }
        }
    }
}

/// One connection; returns without an error where `asks` is closed.
async fn session<S: Speech + Default>(
    (feed, address, line_bytes): (&str, SocketAddr, usize),
    name: &str,
    asks: &mut mpsc::Receiver<String>,
    link: &mut impl Link<S::Call>,
) -> Result<(), FeedError> {
    let no_greeting = |_| FeedError::NoGreeting(CONNECT.as_millis() as u64);
    let stream = timeout(CONNECT, TcpStream::connect(address))
        .await
        .map_err(no_greeting)??;
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, Lines::new(S::default(), line_bytes));
    timeout(CONNECT, framed.send(hello(feed, Some(name))))
        .await
        .map_err(no_greeting)??;
    link.up();
    loop {
        tokio::select! {
            said = framed.next() => match said {
                Some(Ok(call)) => link.said(call),
                Some(Err(why)) => return Err(why),
                None => return Err(FeedError::Closed),
            },
            ask = asks.recv() => match ask {
                // A service that takes nothing in is as good as gone.
                Some(line) => timeout(CONNECT, framed.send(line)).await.map_err(no_greeting)??,
                None => return Ok(()),
            },
        }
    }
}
