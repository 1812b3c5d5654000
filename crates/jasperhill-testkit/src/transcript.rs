//! Transcript of a simulated run: every request that a controller sends and every answer that a
//! controller gives, in order. Two versions of the controllers behave alike if their transcripts
//! are equal.

use jasperhill_http::{Request, Response};
use sha2::{Digest, Sha256};
use std::{fmt::Write, net::SocketAddr, time::Duration};

/// Number of messages between two checkpoints. A difference can be narrowed down to an interval of
/// this length without the other version's transcript.
pub const CHECKPOINT_INTERVAL: usize = 256;
/// Number of hexadecimal digits of a checkpoint.
const CHECKPOINT_DIGITS: usize = 4;
/// Number of hexadecimal digits of the digest of a whole run.
const DIGEST_DIGITS: usize = 32;

/// Digest of a run's messages, for comparison with another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DayDigest {
    /// Number of messages.
    pub messages: usize,
    /// Digest of all messages, in hexadecimal.
    pub digest: String,
    /// Prefixes of the digests of the first 256, 512, … messages, in hexadecimal.
    pub checkpoints: Vec<String>,
}

impl DayDigest {
    /// Returns the number, counted from 0, of the first message that can differ from `other`'s: the
    /// start of the first interval whose checkpoints differ. Returns `None` if the digests are
    /// equal.
    pub fn first_difference(&self, other: &Self) -> Option<usize> {
        if self == other {
            return None;
        }
        let equal = self.checkpoints.iter().zip(&other.checkpoints);
        Some(equal.take_while(|(a, b)| a == b).count() * CHECKPOINT_INTERVAL)
    }
}

/// Messages recorded so far, with the running digest and its checkpoints.
#[derive(Default)]
pub struct Transcript {
    hash: Sha256,
    messages: Vec<String>,
    checkpoints: Vec<String>,
}

impl Transcript {
    /// Records a request that the controller `node` sends.
    pub fn record_request(&mut self, at: Duration, node: usize, to: SocketAddr, request: &Request) {
        let (method, target) = (request.method.as_str(), &request.target);
        let body = text_or_hex(&request.body);
        self.add(at, format!("node {node} -> {to} {method} {target} {body}"));
    }

    /// Records the answer of the controller `node` to a request with the method and target
    /// `request_line`.
    pub fn record_answer(
        &mut self,
        at: Duration,
        node: usize,
        request_line: &str,
        answer: &Response,
    ) {
        let mut text = format!("node {node} answers {request_line}: {}", answer.status);
        if let Some(seconds) = answer.retry_after {
            let _ = write!(text, " retry-after {seconds}");
        }
        if let Some(methods) = answer.allow {
            let _ = write!(text, " allow {methods}");
        }
        for (name, is_set) in [("cbor", answer.cbor), ("close", answer.close)] {
            if is_set {
                let _ = write!(text, " {name}");
            }
        }
        let _ = write!(text, " {}", text_or_hex(&answer.body));
        self.add(at, text);
    }

    fn add(&mut self, at: Duration, text: String) {
        let message = format!("{:.6} {text}", at.as_secs_f64());
        self.hash.update(message.as_bytes());
        self.hash.update(b"\n");
        self.messages.push(message);
        if self.messages.len().is_multiple_of(CHECKPOINT_INTERVAL) {
            let prefix_digest = hex(&self.hash.clone().finalize());
            self.checkpoints
                .push(prefix_digest[..CHECKPOINT_DIGITS].to_owned());
        }
    }

    /// Returns all messages, each on one line.
    pub fn messages(&self) -> &[String] {
        &self.messages
    }

    /// Returns the digest of the messages recorded so far.
    pub fn digest(&self) -> DayDigest {
        DayDigest {
            messages: self.messages.len(),
            digest: hex(&self.hash.clone().finalize())[..DIGEST_DIGITS].to_owned(),
            checkpoints: self.checkpoints.clone(),
        }
    }
}

/// Formats bytes in hexadecimal.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Returns a body unchanged if it is UTF-8 without control characters, and in hexadecimal
/// otherwise.
fn text_or_hex(body: &[u8]) -> String {
    match std::str::from_utf8(body) {
        Ok(text) if !text.contains(|c: char| c.is_control()) => text.to_owned(),
        _ => hex(body),
    }
}
