//! Listening sockets: binds an address, with retries while it is in use. Stateless.

use std::{net::SocketAddr, time::Duration};
use tokio::net::{TcpListener, TcpSocket};

/// How long binding an address that is in use is retried.
const BIND_RETRY_MAX: Duration = Duration::from_secs(10);
/// The pause between two attempts, short beside the restart of a process.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Binds an address once; `backlog` is the number of connections that wait to be accepted.
fn bind(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Listens on an address with a queue of `backlog` connections.
///
/// Guards against a process that fails to start because its predecessor has not quite exited:
/// restarted within a fraction of a second, it may find its port still in use.
///
/// # Errors
///
/// The address is still in use after [`BIND_RETRY_MAX`], or cannot be bound for another reason.
pub async fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let deadline = tokio::time::Instant::now() + BIND_RETRY_MAX;
    loop {
        match bind(address, backlog) {
            Err(error)
                if error.kind() == std::io::ErrorKind::AddrInUse
                    && tokio::time::Instant::now() < deadline =>
            {
                tokio::time::sleep(BIND_RETRY_PAUSE).await;
            }
            outcome => return outcome,
        }
    }
}

#[cfg(test)]
mod tests;
