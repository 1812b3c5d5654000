//! The HTTP client: sends requests on pooled keep-alive connections.
//!
//! [`Client`] keeps a pool of idle connections per address. The connection budget of the process admits
//! every connection. A [`ClientError`] says whether the request may have been executed.

use crate::{
    connections::{ConnectionPermit, ConnectionTracker},
    head::{Framing, HeadError, Request, Response, parse_response},
    server::read_chunked,
};
use jasperhill_connections::{Class, ConnectionId};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout_at},
};

/// Default limit on the body of a response, in bytes. The client does not read a longer body. Guards
/// against the response to a watch that is far behind, which would need many times its length in memory
/// at once.
pub const RESPONSE_BODY_MAX: usize = 3 * 1024 * 1024;

/// The lowest status code of a final response; lower codes are interim responses.
const FINAL_STATUS_MIN: u16 = 200;
/// The minimum time between two checks for expired idle connections.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time and size limits of a [`Client`].
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// The maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// The idle time after which a connection is not reused.
    pub idle_timeout: Duration,
    /// The maximum number of idle connections kept per address.
    pub idle_per_address: usize,
    /// The maximum length of a response body, in bytes.
    pub body_max_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1_500),
            idle_timeout: Duration::from_secs(20),
            idle_per_address: 4,
            body_max_bytes: RESPONSE_BODY_MAX,
        }
    }
}

/// The reason why a request has no response. Each variant says whether the request may have been
/// executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// No connection was established: the request was not executed and will not be.
    #[error("connection not established, request not sent")]
    NotSent,
    /// The connection budget of this process refused the connection: the request was not sent, and
    /// the error says nothing about the state of the peer.
    #[error("connection budget exhausted, request not sent")]
    NoSocket,
    /// A connection was established, but no valid response arrived in time: the request may have been
    /// executed or may still be executed.
    #[error("no response, request may have been executed")]
    NoAnswer,
    /// The request was executed, but the response body is longer than
    /// [`ClientLimits::body_max_bytes`] or has a malformed chunk.
    #[error("response body too long")]
    TooLong,
}

impl ClientError {
    /// Returns true if the request was certainly not executed and will not be.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::NotSent | Self::NoSocket)
    }
}

/// A pooled connection without a request in flight.
struct IdleConnection {
    stream: TcpStream,
    /// The admission of the connection by the connection budget.
    permit: ConnectionPermit,
    /// The time at which the last request finished.
    idle_since: Instant,
}

/// The pool of idle connections of a client.
#[derive(Default)]
struct Pool {
    /// The idle connections by address; an address without idle connections has no entry.
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// The time of the last check for expired connections; `None` before the first check.
    last_expiry_check: Cell<Option<Instant>>,
}

impl Pool {
    /// Closes the idle connection `id` to `address` after the connection budget evicted it.
    fn close(&self, address: SocketAddr, id: ConnectionId) {
        let closed = {
            let mut idle = self.idle.borrow_mut();
            let Some(list) = idle.get_mut(&address) else {
                return;
            };
            let position = list
                .iter()
                .position(|connection| connection.permit.id() == id);
            let closed = position.map(|index| list.swap_remove(index));
            if list.is_empty() {
                idle.remove(&address);
            }
            closed
        };
        // Dropping the permit changes the connection budget, which must not happen while the pool is
        // borrowed.
        drop(closed);
    }

    /// Closes connections that have been idle for [`ClientLimits::idle_timeout`]. Does nothing if the
    /// last check was less than [`EXPIRY_CHECK_INTERVAL`] ago. Without this check, connections to hosts
    /// that no longer receive requests would stay open.
    fn close_expired(&self, limits: &ClientLimits) {
        let now = Instant::now();
        let is_recent = |check: Instant| now - check < EXPIRY_CHECK_INTERVAL;
        if self.last_expiry_check.get().is_some_and(is_recent) {
            return;
        }
        self.last_expiry_check.set(Some(now));
        let mut expired = Vec::new();
        self.idle.borrow_mut().retain(|_, list| {
            for index in (0..list.len()).rev() {
                if now - list[index].idle_since >= limits.idle_timeout {
                    expired.push(list.swap_remove(index));
                }
            }
            !list.is_empty()
        });
    }
}

/// An HTTP client with a pool of idle connections. A controller uses one client for all addresses.
pub struct Client {
    limits: ClientLimits,
    connections: ConnectionTracker,
    /// Returns the class of connections to an address.
    class_of: Rc<dyn Fn(SocketAddr) -> Class>,
    pool: Rc<Pool>,
}

impl Client {
    /// Creates a client without connections. `class_of` returns the class of connections to an
    /// address.
    pub fn new(
        limits: ClientLimits,
        connections: ConnectionTracker,
        class_of: impl Fn(SocketAddr) -> Class + 'static,
    ) -> Self {
        Self {
            limits,
            connections,
            class_of: Rc::new(class_of),
            pool: Rc::new(Pool::default()),
        }
    }

    /// Removes a usable idle connection from the pool and returns it; `None` if there is none. Closes
    /// the unusable connections that it finds.
    fn take_idle(
        &self,
        address: SocketAddr,
        class: Class,
    ) -> Option<(TcpStream, ConnectionPermit)> {
        let mut probe_buffer = [0u8; 1];
        loop {
            let connection = {
                let mut idle = self.pool.idle.borrow_mut();
                let list = idle.get_mut(&address)?;
                let connection = list.pop();
                if list.is_empty() {
                    idle.remove(&address);
                }
                connection?
            };
            // A connection that the peer has closed, or on which it sent unsolicited bytes, is not
            // reused. Guards against sending a request to a process that has since been restarted.
            let is_usable = match connection.stream.try_read(&mut probe_buffer) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                    connection.idle_since.elapsed() < self.limits.idle_timeout
                }
                _ => false,
            };
            if is_usable && connection.permit.start_request(class) {
                return Some((connection.stream, connection.permit));
            }
        }
    }

    /// Returns a connection to the pool. Closes the connection instead if the address already has
    /// [`ClientLimits::idle_per_address`] idle connections, or if the connection budget does not keep
    /// it alive.
    fn return_to_pool(&self, address: SocketAddr, stream: TcpStream, permit: ConnectionPermit) {
        let idle_count = |pool: &Pool| pool.idle.borrow().get(&address).map_or(0, Vec::len);
        if idle_count(&self.pool) >= self.limits.idle_per_address {
            return;
        }
        let (pool, id) = (Rc::downgrade(&self.pool), permit.id());
        let close = move || {
            if let Some(pool) = pool.upgrade() {
                pool.close(address, id);
            }
        };
        if permit.finish_request(close) {
            let idle_since = Instant::now();
            let connection = IdleConnection {
                stream,
                permit,
                idle_since,
            };
            let mut idle = self.pool.idle.borrow_mut();
            idle.entry(address).or_default().push(connection);
        }
    }

    /// Sends one request and waits for its response. Takes at most `timeout` in total, which includes
    /// the time to connect.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`], which says whether the request may have been executed.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, ClientError> {
        let deadline = Instant::now() + timeout;
        self.pool.close_expired(&self.limits);
        let class = (self.class_of)(address);
        let (mut stream, permit) = match self.take_idle(address, class) {
            Some(connection) => connection,
            None => {
                let Some(permit) = self.connections.open(class) else {
                    return Err(ClientError::NoSocket);
                };
                let connect_deadline = deadline.min(Instant::now() + self.limits.connect_timeout);
                match timeout_at(connect_deadline, TcpStream::connect(address)).await {
                    Ok(Ok(stream)) => {
                        let _ = stream.set_nodelay(true);
                        (stream, permit)
                    }
                    _ => return Err(ClientError::NotSent),
                }
            }
        };
        match timeout_at(deadline, self.exchange(&mut stream, address, request)).await {
            Ok(Ok((response, keep_alive))) => {
                if keep_alive {
                    self.return_to_pool(address, stream, permit);
                }
                Ok(response)
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::FileTooLarge => {
                Err(ClientError::TooLong)
            }
            _ => Err(ClientError::NoAnswer),
        }
    }

    /// Sends a request on a connection and reads the response. The returned flag is true if the
    /// connection can be kept alive.
    ///
    /// # Errors
    ///
    /// Returns `FileTooLarge` if the response body is too long or has a malformed chunk, `InvalidData`
    /// if the head is malformed, and the error of the connection otherwise.
    async fn exchange(
        &self,
        stream: &mut TcpStream,
        address: SocketAddr,
        request: &Request,
    ) -> std::io::Result<(Response, bool)> {
        let mut request_bytes = format!(
            "{} {} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            request.method.as_str(),
            request.target,
            request.body.len()
        )
        .into_bytes();
        request_bytes.extend_from_slice(&request.body);
        stream.write_all(&request_bytes).await?;
        let mut buffer = Vec::with_capacity(1024);
        let invalid_data = |_: HeadError| std::io::Error::from(std::io::ErrorKind::InvalidData);
        let (head, head_length) = loop {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            match parse_response(&buffer).map_err(invalid_data)? {
                // An interim response such as `100 Continue` precedes the final response.
                Some((head, head_length)) if head.status < FINAL_STATUS_MIN => {
                    buffer.drain(..head_length);
                    if let Some(parsed) = parse_response(&buffer).map_err(invalid_data)? {
                        break parsed;
                    }
                }
                Some(parsed) => break parsed,
                None => {}
            }
        };
        buffer.drain(..head_length);
        let too_long = || std::io::Error::from(std::io::ErrorKind::FileTooLarge);
        let body = match head.framing {
            Framing::Length(len) if len > self.limits.body_max_bytes => return Err(too_long()),
            Framing::Length(len) => {
                while buffer.len() < len {
                    if stream.read_buf(&mut buffer).await? == 0 {
                        return Err(std::io::ErrorKind::UnexpectedEof.into());
                    }
                }
                buffer.truncate(len);
                buffer
            }
            Framing::Chunked => read_chunked(stream, &mut buffer, self.limits.body_max_bytes)
                .await?
                .map_err(|_| too_long())?,
            Framing::UntilClose => {
                while stream.read_buf(&mut buffer).await? != 0 {
                    if buffer.len() > self.limits.body_max_bytes {
                        return Err(too_long());
                    }
                }
                buffer
            }
        };
        Ok((Response::new(head.status, body), head.keep_alive))
    }
}
