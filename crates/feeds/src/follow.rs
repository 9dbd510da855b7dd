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

/// What happens on a feed besides its calls.
pub trait Link<C> {
    fn up(&mut self);
    fn said(&mut self, call: C);
    /// The connection ended or was never made. Lines asked for meanwhile come back by `unsent`.
    fn down(&mut self, why: &FeedError);
    /// A line that was not sent, as there is no connection.
    fn unsent(&mut self, line: String);
}

/// Follows a feed until `asks` is closed. Each wait before the next try is scattered between half and the
/// whole of a span that doubles, so that many followers of a service that comes back do not come at once.
pub async fn follow<S: Speech + Default>(
    (feed, address, line_bytes): (&str, SocketAddr, usize),
    name: &str,
    seed: u64,
    mut asks: mpsc::Receiver<String>,
    link: &mut impl Link<S::Call>,
) {
    let mut chance = Rand64::new(seed as u128);
    let mut wait = FIRST_WAIT;
    loop {
        let began = tokio::time::Instant::now();
        let ended = session::<S>((feed, address, line_bytes), name, &mut asks, link).await;
        let Err(why) = ended else { return };
        link.down(&why);
        wait = if began.elapsed() >= HELD { FIRST_WAIT } else { (wait * 2).min(LONGEST_WAIT) };
        let scattered = sleep(wait.mul_f64(0.5 + 0.5 * chance.rand_float()));
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
    let stream = timeout(CONNECT, TcpStream::connect(address)).await.map_err(no_greeting)??;
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, Lines::new(S::default(), line_bytes));
    timeout(CONNECT, framed.send(hello(feed, Some(name)))).await.map_err(no_greeting)??;
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
