//! HTTP messages: [`Request`], [`Response`], and the parsing of their heads.
//!
//! Pure and stateless: the client and the server do the I/O and pass the received bytes to
//! [`parse_request`] and [`parse_response`].

/// The maximum length of a head, in bytes. A longer head is refused.
pub const HEAD_MAX_BYTES: usize = 8 * 1024;
/// The maximum number of headers in a head. A head with more headers is refused as too long.
const HEADER_COUNT_MAX: usize = 48;

/// The method of an HTTP request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// The `GET` method.
    Get,
    /// The `POST` method.
    Post,
    /// The `DELETE` method.
    Delete,
    /// Any other method; the server does not support it.
    Other,
}

impl Method {
    /// Returns the method as sent on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Delete => "DELETE",
            Self::Other => "OTHER",
        }
    }
}

/// An HTTP request with its body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method of the request.
    pub method: Method,
    /// The request target as sent: the path with the query.
    pub target: String,
    /// The body; at most [`crate::REQUEST_BODY_MAX_BYTES`] bytes in a received request.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request from its method, its target (path with query) and its body.
    pub fn new(method: Method, target: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            method,
            target: target.into(),
            body,
        }
    }

    /// Returns the path of the target, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// An HTTP response with its body.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The response body.
    pub body: Vec<u8>,
    /// The value of the `Retry-After` header, in seconds; `None` to omit the header.
    pub retry_after: Option<u32>,
    /// The value of the `Allow` header, the supported methods; `None` to omit the header.
    pub allow: Option<&'static str>,
    /// Whether the body is encoded as CBOR; otherwise it is JSON.
    pub cbor: bool,
    /// Whether the server closes the connection after this response.
    pub close: bool,
}

impl Response {
    /// Creates a JSON response that permits the connection to stay open.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            retry_after: None,
            allow: None,
            cbor: false,
            close: false,
        }
    }

    /// Sets the `Retry-After` header, in seconds.
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after = Some(seconds);
        self
    }

    /// Sets the `Allow` header to the supported methods.
    pub fn allow(mut self, methods: &'static str) -> Self {
        self.allow = Some(methods);
        self
    }

    /// Marks the connection to be closed after this response.
    pub fn close(mut self) -> Self {
        self.close = true;
        self
    }

    /// Encodes the response as sent on the wire. Adds `Connection: close` if `keep_alive` is false or
    /// the response closes the connection.
    pub fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(160 + self.body.len());
        let content_type = if self.cbor {
            "application/cbor"
        } else {
            "application/json"
        };
        bytes.extend_from_slice(
            format!(
                "HTTP/1.1 {} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n",
                self.status,
                reason_phrase(self.status),
                self.body.len()
            )
            .as_bytes(),
        );
        if let Some(seconds) = self.retry_after {
            bytes.extend_from_slice(format!("Retry-After: {seconds}\r\n").as_bytes());
        }
        if let Some(methods) = self.allow {
            bytes.extend_from_slice(format!("Allow: {methods}\r\n").as_bytes());
        }
        if !keep_alive || self.close {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Returns the reason phrase of a status code; `Status` if the code is not known.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// The way in which the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has the length of the `Content-Length` header, in bytes.
    Length(usize),
    /// The body is sent with `Transfer-Encoding: chunked`.
    Chunked,
    /// The body ends when the connection is closed; only in responses.
    UntilClose,
}

/// The parsed head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method of the request.
    pub method: Method,
    /// The request target as sent: the path with the query.
    pub target: String,
    /// The framing of the body.
    pub framing: Framing,
    /// Whether the client keeps the connection open after the response.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// The parsed head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The HTTP status code; 0 if the head has none.
    pub status: u16,
    /// The framing of the body.
    pub framing: Framing,
    /// Whether the server keeps the connection open after the response.
    pub keep_alive: bool,
}

/// The reason why a head is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The head is not valid HTTP/1, or its framing headers are invalid or contradict each other.
    #[error("malformed head")]
    Malformed,
    /// The head is longer than [`HEAD_MAX_BYTES`] or has too many headers.
    #[error("head too long")]
    TooLong,
}

/// The headers of a request or a response that concern the body and the connection.
struct CommonHeaders {
    /// The framing of the body; `None` if no header specifies one.
    framing: Option<Framing>,
    /// Whether the sender keeps the connection open.
    keep_alive: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

/// Parses the headers that concern the body and the connection. `minor_version` is 1 for HTTP/1.1,
/// which keeps connections alive by default.
///
/// # Errors
///
/// Returns [`HeadError::Malformed`] for a value that is not UTF-8, an invalid or repeated framing
/// header with a different value, or a transfer encoding other than `chunked`.
fn parse_common_headers(
    headers: &[httparse::Header<'_>],
    minor_version: u8,
) -> Result<CommonHeaders, HeadError> {
    let mut common = CommonHeaders {
        framing: None,
        keep_alive: minor_version == 1,
        expects_continue: false,
    };
    for header in headers {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| HeadError::Malformed)?
            .trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HeadError::Malformed);
            }
            let length = value.parse().unwrap_or(usize::MAX);
            match common.framing {
                None => common.framing = Some(Framing::Length(length)),
                Some(Framing::Length(previous)) if previous == length => {}
                // Two different framings would permit request smuggling.
                Some(_) => return Err(HeadError::Malformed),
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || common.framing.is_some() {
                return Err(HeadError::Malformed);
            }
            common.framing = Some(Framing::Chunked);
        } else if header.name.eq_ignore_ascii_case("connection") {
            for option in value.split(',') {
                if option.trim().eq_ignore_ascii_case("close") {
                    common.keep_alive = false;
                } else if option.trim().eq_ignore_ascii_case("keep-alive") {
                    common.keep_alive = true;
                }
            }
        } else if header.name.eq_ignore_ascii_case("expect") {
            common.expects_continue = value.eq_ignore_ascii_case("100-continue");
        }
    }
    Ok(common)
}

/// Parses the head of a request and returns it with its length in bytes; returns `None` if more bytes
/// are needed. The server calls this function after each read.
///
/// # Errors
///
/// Returns a [`HeadError`] if the head is malformed, is longer than [`HEAD_MAX_BYTES`], or has too
/// many headers.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_COUNT_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() >= HEAD_MAX_BYTES => {
            return Err(HeadError::TooLong);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLong),
        Err(_) => return Err(HeadError::Malformed),
    };
    let common = parse_common_headers(parsed.headers, parsed.version.unwrap_or(1))?;
    let method = match parsed.method {
        Some("GET") => Method::Get,
        Some("POST") => Method::Post,
        Some("DELETE") => Method::Delete,
        _ => Method::Other,
    };
    let head = RequestHead {
        method,
        target: parsed.path.unwrap_or("/").to_owned(),
        framing: common.framing.unwrap_or(Framing::Length(0)),
        keep_alive: common.keep_alive,
        expects_continue: common.expects_continue,
    };
    Ok(Some((head, length)))
}

/// Parses the head of a response and returns it with its length in bytes; returns `None` if more bytes
/// are needed. The client calls this function after each read.
///
/// # Errors
///
/// Returns a [`HeadError`] if the head is malformed, is longer than [`HEAD_MAX_BYTES`], or has too
/// many headers.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_COUNT_MAX];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() >= HEAD_MAX_BYTES => {
            return Err(HeadError::TooLong);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HeadError::Malformed),
    };
    let common = parse_common_headers(parsed.headers, parsed.version.unwrap_or(1))?;
    let status = parsed.code.unwrap_or(0);
    let framing = match (status, common.framing) {
        (204 | 304, _) => Framing::Length(0),
        (_, Some(framing)) => framing,
        (_, None) => Framing::UntilClose,
    };
    let keep_alive = common.keep_alive && framing != Framing::UntilClose;
    Ok(Some((
        ResponseHead {
            status,
            framing,
            keep_alive,
        },
        length,
    )))
}
