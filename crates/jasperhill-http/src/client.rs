//! The client: keep-alive connections by address, and errors that say whether the request
//! can have been executed.

use crate::{
    head::{Framing, HeadError, Request, Response, parse_response},
    server::read_chunked,
};
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout_at},
};

#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    pub connect: Duration,
    /// Idle connections are not used again after this long.
    pub idle: Duration,
    pub idle_per_address: usize,
    pub body: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(1_500),
            idle: Duration::from_secs(20),
            idle_per_address: 4,
            body: 8 * 1024 * 1024,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// No connection came about, so the request cannot have been executed, now or later.
    #[error("not connected")]
    NotSent,
    /// The request may have been executed, or may still be.
    #[error("no answer")]
    NoAnswer,
}

struct Idle {
    stream: TcpStream,
    since: Instant,
}

pub struct Client {
    limits: ClientLimits,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Client {
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            idle: RefCell::new(HashMap::new()),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        let now = Instant::now();
        list.retain(|i| now - i.since < self.limits.idle);
        let mut probe = [0u8; 1];
        while let Some(found) = list.pop() {
            // A peer that has closed, or sent what nobody asked for, is not used again.
            match found.stream.try_read(&mut probe) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Some(found.stream),
                _ => {}
            }
        }
        idle.remove(&address);
        None
    }

    fn keep(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        if idle.len() > 256 {
            idle.retain(|_, list| list.iter().any(|i| now - i.since < self.limits.idle));
        }
        let list = idle.entry(address).or_default();
        if list.len() < self.limits.idle_per_address {
            list.push(Idle { stream, since: now });
        }
    }

    /// Sends one request and waits for its answer, `limit` in all.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        let by = Instant::now() + limit;
        let mut stream = match self.take_idle(address) {
            Some(stream) => stream,
            None => {
                let connect_by = by.min(Instant::now() + self.limits.connect);
                match timeout_at(connect_by, TcpStream::connect(address)).await {
                    Ok(Ok(stream)) => {
                        let _ = stream.set_nodelay(true);
                        stream
                    }
                    _ => return Err(ClientError::NotSent),
                }
            }
        };
        match timeout_at(by, self.exchange(&mut stream, address, request)).await {
            Ok(Ok((response, keep))) => {
                if keep {
                    self.keep(address, stream);
                }
                Ok(response)
            }
            _ => Err(ClientError::NoAnswer),
        }
    }

    async fn exchange(
        &self,
        stream: &mut TcpStream,
        address: SocketAddr,
        request: &Request,
    ) -> std::io::Result<(Response, bool)> {
        let mut out = format!(
            "{} {} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            request.method.as_str(),
            request.target,
            request.body.len()
        )
        .into_bytes();
        out.extend_from_slice(&request.body);
        stream.write_all(&out).await?;
        let mut buffer = Vec::with_capacity(1024);
        let bad = |_: HeadError| std::io::Error::from(std::io::ErrorKind::InvalidData);
        let (head, used) = loop {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            match parse_response(&buffer).map_err(bad)? {
                // An interim answer precedes the real one.
                Some((head, used)) if head.status < 200 => {
                    buffer.drain(..used);
                    if let Some(found) = parse_response(&buffer).map_err(bad)? {
                        break found;
                    }
                }
                Some(found) => break found,
                None => {}
            }
        };
        buffer.drain(..used);
        let too_long = || std::io::Error::from(std::io::ErrorKind::InvalidData);
        let body = match head.framing {
            Framing::Length(n) if n > self.limits.body => return Err(too_long()),
            Framing::Length(n) => {
                while buffer.len() < n {
                    if stream.read_buf(&mut buffer).await? == 0 {
                        return Err(std::io::ErrorKind::UnexpectedEof.into());
                    }
                }
                buffer.truncate(n);
                buffer
            }
            Framing::Chunked => read_chunked(stream, &mut buffer, self.limits.body)
                .await?
                .map_err(|_| too_long())?,
            Framing::UntilClose => {
                while stream.read_buf(&mut buffer).await? != 0 {
                    if buffer.len() > self.limits.body {
                        return Err(too_long());
                    }
                }
                buffer
            }
        };
        Ok((Response::new(head.status, body), head.keep_alive))
    }
}
