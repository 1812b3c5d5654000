//! How requests leave the process. Tests put stand-ins behind the same trait.

use jasperhill_http::{Client, ClientError, ClientLimits, Request, Response};
use std::{future::Future, net::SocketAddr, pin::Pin, time::Duration};

pub type Call<'a> = Pin<Box<dyn Future<Output = Result<Response, ClientError>> + 'a>>;

pub trait Transport {
    /// Sends one request; the error says whether it can have been executed.
    fn call(&self, to: SocketAddr, request: Request, limit: Duration) -> Call<'_>;
}

pub struct HttpTransport {
    client: Client,
}

impl HttpTransport {
    pub fn new() -> Self {
        Self {
            client: Client::new(ClientLimits::default()),
        }
    }
}

impl Default for HttpTransport {
    fn default() -> Self {
        Self::new()
    }
}

impl Transport for HttpTransport {
    fn call(&self, to: SocketAddr, request: Request, limit: Duration) -> Call<'_> {
        Box::pin(async move { self.client.call(to, &request, limit).await })
    }
}
