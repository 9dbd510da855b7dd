//! Binds UDP and TCP sockets on one port.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, UdpSocket};

/// Limit on the ports that the system chooses for [`PortPair::bind`]. A port that is free for UDP may be taken for TCP.
const MAX_PORT_CHOICES: usize = 17;

/// A UDP socket and a TCP listener on the same address and port.
#[derive(Debug)]
pub struct PortPair {
    /// For datagrams.
    pub datagrams: UdpSocket,
    /// For streams.
    pub streams: TcpListener,
}

impl PortPair {
    /// Binds both sockets. For port 0 the system chooses a port, and another one if the first is taken for TCP: with
    /// thousands of closed connections in TIME_WAIT that happens for every second port.
    ///
    /// # Errors
    /// The error of the operating system for the last port tried.
    pub async fn bind(address: SocketAddr) -> io::Result<PortPair> {
        let choices = match address.port() {
            0 => MAX_PORT_CHOICES,
            _ => 1,
        };
        PortPair::bind_first_free(std::iter::repeat_n(address, choices)).await
    }

    /// Binds both sockets on the first of these addresses that is free for both.
    ///
    /// # Errors
    /// The error of the operating system for the last address, or [`io::ErrorKind::InvalidInput`] if there are no
    /// addresses.
    pub async fn bind_first_free(
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) -> io::Result<PortPair> {
        let mut last_error = io::Error::from(io::ErrorKind::InvalidInput);
        for address in addresses {
            match PortPair::bind_once(address).await {
                Ok(pair) => return Ok(pair),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn bind_once(address: SocketAddr) -> io::Result<PortPair> {
        let datagrams = UdpSocket::bind(address).await?;
        let streams = TcpListener::bind(datagrams.local_addr()?).await?;
        Ok(PortPair { datagrams, streams })
    }

    /// Returns the address that both sockets are bound to.
    ///
    /// # Errors
    /// The error of the operating system for the UDP socket.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.datagrams.local_addr()
    }
}
