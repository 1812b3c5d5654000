//! Listening sockets: binds an address and retries while the address is in use. Stateless.

use std::{net::SocketAddr, time::Duration};
use tokio::net::{TcpListener, TcpSocket};

/// The maximum time for which binding an address that is in use is retried.
const BIND_RETRY_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause between two attempts to bind; short compared to the restart of a process.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Binds an address and listens on it, without retries. `backlog` is the maximum number of connections
/// that wait to be accepted.
///
/// # Errors
///
/// Returns the error of the socket.
fn bind(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Listens on an address; at most `backlog` connections wait to be accepted.
///
/// Retries while the address is in use: a process that is restarted within a fraction of a second may
/// find its port still held by the previous process, which has not exited completely. Without retries
/// the new process would fail to start.
///
/// # Errors
///
/// Returns an error if the address is still in use after [`BIND_RETRY_TIMEOUT`], or cannot be bound for
/// another reason.
pub async fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let deadline = tokio::time::Instant::now() + BIND_RETRY_TIMEOUT;
    loop {
        match bind(address, backlog) {
            Err(error)
                if error.kind() == std::io::ErrorKind::AddrInUse
                    && tokio::time::Instant::now() < deadline =>
            {
                tokio::time::sleep(BIND_RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
