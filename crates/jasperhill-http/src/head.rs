//! Requests, responses and the parsing of their heads. Pure.

/// No head is longer.
pub const HEAD_MAX: usize = 8 * 1024;
const HEADERS_MAX: usize = 48;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    Get,
    Post,
    Delete,
    Other,
}

impl Method {
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Delete => "DELETE",
            Self::Other => "OTHER",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Request {
    pub method: Method,
    /// Path with query, as sent.
    pub target: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(method: Method, target: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            method,
            target: target.into(),
            body,
        }
    }
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<u32>,
    pub allow: Option<&'static str>,
    pub cbor: bool,
    pub close: bool,
}

impl Response {
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
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after = Some(seconds);
        self
    }
    pub fn allow(mut self, methods: &'static str) -> Self {
        self.allow = Some(methods);
        self
    }
    pub fn close(mut self) -> Self {
        self.close = true;
        self
    }

    pub fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(160 + self.body.len());
        let kind = if self.cbor {
            "application/cbor"
        } else {
            "application/json"
        };
        out.extend_from_slice(
            format!(
                "HTTP/1.1 {} {}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n",
                self.status,
                reason(self.status),
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

fn reason(status: u16) -> &'static str {
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
    Length(usize),
    Chunked,
    UntilClose,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub method: Method,
    pub target: String,
    pub framing: Framing,
    pub keep_alive: bool,
    pub expects_continue: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    pub framing: Framing,
    pub keep_alive: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    #[error("malformed head")]
    Malformed,
    #[error("head too long")]
    TooLong,
}

struct Common {
    framing: Option<Framing>,
    keep_alive: bool,
    expects_continue: bool,
}

fn common(headers: &[httparse::Header<'_>], version: u8) -> Result<Common, HeadError> {
    let mut out = Common {
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

/// `Ok(None)` when more bytes are needed; otherwise the head and its length.
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
    let c = common(parsed.headers, parsed.version.unwrap_or(1))?;
    let method = match parsed.method {
        Some("GET") => Method::Get,
        Some("POST") => Method::Post,
        Some("DELETE") => Method::Delete,
        _ => Method::Other,
    };
    let head = RequestHead {
        method,
        target: parsed.path.unwrap_or("/").to_owned(),
        framing: c.framing.unwrap_or(Framing::Length(0)),
        keep_alive: c.keep_alive,
        expects_continue: c.expects_continue,
    };
    Ok(Some((head, length)))
}

pub fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() >= HEAD_MAX => return Err(HeadError::TooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HeadError::Malformed),
    };
    let c = common(parsed.headers, parsed.version.unwrap_or(1))?;
    let status = parsed.code.unwrap_or(0);
    let framing = match (status, c.framing) {
        (204 | 304, _) => Framing::Length(0),
        (_, Some(framing)) => framing,
        (_, None) => Framing::UntilClose,
    };
    let keep_alive = c.keep_alive && framing != Framing::UntilClose;
    Ok(Some((
        ResponseHead {
            status,
            framing,
            keep_alive,
        },
        length,
    )))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn seeded() -> ProptestConfig {
        ProptestConfig {
            cases: 256,
            rng_seed: proptest::test_runner::RngSeed::Fixed(7),
            failure_persistence: None,
            ..ProptestConfig::default()
        }
    }

    proptest! {
        #![proptest_config(seeded())]

        #[test]
        fn any_bytes_are_parsed_or_refused_but_never_panic(
            bytes in proptest::collection::vec(any::<u8>(), 0..600)
        ) {
            let _ = parse_request(&bytes);
            let _ = parse_response(&bytes);
        }

        #[test]
        fn heads_survive_being_cut_anywhere(
            path in "/[a-z0-9/_-]{0,40}", length in 0usize..100_000, cut in 0usize..200
        ) {
            let text = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
            let bytes = text.as_bytes();
            let (head, used) = parse_request(bytes).unwrap().unwrap();
            prop_assert_eq!(used, bytes.len());
            prop_assert_eq!(head.target, path);
            prop_assert_eq!(head.framing, Framing::Length(length));
            let cut = cut.min(bytes.len() - 1);
            prop_assert_eq!(parse_request(&bytes[..cut]).unwrap(), None);
        }

        #[test]
        fn responses_round_trip(status in 200u16..599, body in proptest::collection::vec(any::<u8>(), 0..300)) {
            prop_assume!(status != 204 && status != 304);
            let bytes = Response::new(status, body.clone()).encode(true);
            let (head, used) = parse_response(&bytes).unwrap().unwrap();
            prop_assert_eq!(head.status, status);
            prop_assert_eq!(head.framing, Framing::Length(body.len()));
            prop_assert_eq!(&bytes[used..], &body[..]);
        }
    }

    #[test]
    fn two_framings_are_refused() {
        let head = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_eq!(parse_request(head), Err(HeadError::Malformed));
        let head = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
        assert_eq!(parse_request(head), Err(HeadError::Malformed));
    }

    #[test]
    fn an_endless_head_is_refused() {
        let mut head = b"GET / HTTP/1.1\r\nX: ".to_vec();
        head.resize(HEAD_MAX, b'a');
        assert_eq!(parse_request(&head), Err(HeadError::TooLong));
    }
}
