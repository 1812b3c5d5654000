//! Requests, responses, and the parsing of their heads. Pure and stateless: the client and the
//! server read the bytes and pass them here.

/// The most bytes of a head; longer ones are refused.
pub const HEAD_MAX: usize = 8 * 1024;
/// The most headers of a head (count); a head with more is refused as malformed.
const HEADERS_MAX: usize = 48;

/// The method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// `GET`.
    Get,
    /// `POST`.
    Post,
    /// `DELETE`.
    Delete,
    /// Any other method; none is supported.
    Other,
}

impl Method {
    /// The method as sent on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Delete => "DELETE",
            Self::Other => "OTHER",
        }
    }
}

/// A request with its body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Path with query, as sent.
    pub target: String,
    /// The body, at most [`crate::BODY_MAX`] bytes when received.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request.
    pub fn new(method: Method, target: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            method,
            target: target.into(),
            body,
        }
    }

    /// The path of the target, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// A response with its body.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u32>,
    /// The `Allow` header: the supported methods.
    pub allow: Option<&'static str>,
    /// Whether the body is CBOR; else it is JSON.
    pub cbor: bool,
    /// Whether the connection is closed after this response.
    pub close: bool,
}

impl Response {
    /// Creates a JSON response that keeps the connection alive.
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

    /// Adds a `Retry-After` header.
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after = Some(seconds);
        self
    }

    /// Adds an `Allow` header.
    pub fn allow(mut self, methods: &'static str) -> Self {
        self.allow = Some(methods);
        self
    }

    /// Closes the connection after this response.
    pub fn close(mut self) -> Self {
        self.close = true;
        self
    }

    /// The response as sent on the wire; says `Connection: close` unless `keep_alive`.
    pub fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(160 + self.body.len());
        let content_type = if self.cbor {
            "application/cbor"
        } else {
            "application/json"
        };
        out.extend_from_slice(
            format!(
                "HTTP/1.1 {} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n",
                self.status,
                reason_phrase(self.status),
                self.body.len()
            )
            .as_bytes(),
        );
        if let Some(seconds) = self.retry_after {
            out.extend_from_slice(format!("Retry-After: {seconds}\r\n").as_bytes());
        }
        if let Some(methods) = self.allow {
            out.extend_from_slice(format!("Allow: {methods}\r\n").as_bytes());
        }
        if !keep_alive || self.close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}

/// The reason phrase of a status code.
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

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`, in bytes.
    Length(usize),
    /// By `Transfer-Encoding: chunked`.
    Chunked,
    /// By the end of the connection; responses only.
    UntilClose,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// Path with query, as sent.
    pub target: String,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the client keeps the connection open.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// The head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code; 0 if there is none.
    pub status: u16,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the server keeps the connection open.
    pub keep_alive: bool,
}

/// Why a head is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// It is not HTTP/1, has too many headers, or contradicts itself about the body.
    #[error("malformed head")]
    Malformed,
    /// It is longer than [`HEAD_MAX`] bytes.
    #[error("head too long")]
    TooLong,
}

/// The headers that requests and responses have in common.
struct CommonHeaders {
    framing: Option<Framing>,
    keep_alive: bool,
    expects_continue: bool,
}

/// Reads the headers that concern the body and the connection; `version` is the minor version.
fn parse_common_headers(
    headers: &[httparse::Header<'_>],
    version: u8,
) -> Result<CommonHeaders, HeadError> {
    let mut out = CommonHeaders {
        framing: None,
        keep_alive: version == 1,
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
            match out.framing {
                None => out.framing = Some(Framing::Length(length)),
                Some(Framing::Length(same)) if same == length => {}
                // Two different framings: the classic way to smuggle a request.
                Some(_) => return Err(HeadError::Malformed),
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || out.framing.is_some() {
                return Err(HeadError::Malformed);
            }
            out.framing = Some(Framing::Chunked);
        } else if header.name.eq_ignore_ascii_case("connection") {
            for word in value.split(',') {
                if word.trim().eq_ignore_ascii_case("close") {
                    out.keep_alive = false;
                } else if word.trim().eq_ignore_ascii_case("keep-alive") {
                    out.keep_alive = true;
                }
            }
        } else if header.name.eq_ignore_ascii_case("expect") {
            out.expects_continue = value.eq_ignore_ascii_case("100-continue");
        }
    }
    Ok(out)
}

/// Parses the head of a request, and returns it with its length in bytes; `None` if more bytes are
/// needed. The server calls it after each read.
///
/// # Errors
///
/// [`HeadError`] if the head is malformed or longer than [`HEAD_MAX`] bytes.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() >= HEAD_MAX => return Err(HeadError::TooLong),
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

/// Parses the head of a response, and returns it with its length in bytes; `None` if more bytes are
/// needed. The client calls it after each read.
///
/// # Errors
///
/// [`HeadError`] if the head is malformed or longer than [`HEAD_MAX`] bytes.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() >= HEAD_MAX => return Err(HeadError::TooLong),
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
