//! The transcript of a simulated day: every request that a controller sends and every answer that
//! one gives, in order. Two versions of the controllers behave alike if their transcripts are equal.

use jasperhill_http::{Request, Response};
use sha2::{Digest, Sha256};
use std::{fmt::Write, net::SocketAddr, time::Duration};

/// Messages between two checkpoints: a difference is narrowed down to so many without the other
/// transcript.
pub const CHECKPOINT_EVERY: usize = 256;
/// Hexadecimal digits of a checkpoint, and of the digest of a whole day.
const CHECKPOINT_DIGITS: usize = 4;
const DIGEST_DIGITS: usize = 32;

/// What is kept of a day's messages for comparison with another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DayDigest {
    pub messages: usize,
    /// Over all messages, in hexadecimal.
    pub digest: String,
    /// The beginnings of the digests of the first 256, 512, … messages, in hexadecimal.
    pub checkpoints: Vec<String>,
}

impl DayDigest {
    /// The number of the first message that can differ from `other`'s, counted from 0, if any does.
    pub fn first_difference(&self, other: &Self) -> Option<usize> {
        if self == other {
            return None;
        }
        let equal = self.checkpoints.iter().zip(&other.checkpoints);
        Some(equal.take_while(|(a, b)| a == b).count() * CHECKPOINT_EVERY)
    }
}

/// The messages of one day so far.
#[derive(Default)]
pub struct Transcript {
    hash: Sha256,
    messages: Vec<String>,
    checkpoints: Vec<String>,
}

impl Transcript {
    /// A controller sends a request.
    pub fn request(&mut self, at: Duration, node: usize, to: SocketAddr, request: &Request) {
        let (method, target) = (request.method.as_str(), &request.target);
        let body = readable(&request.body);
        self.add(at, format!("node {node} -> {to} {method} {target} {body}"));
    }

    /// A controller answers a request with this method and target.
    pub fn answer(&mut self, at: Duration, node: usize, asked: &str, answer: &Response) {
        let mut text = format!("node {node} answers {asked}: {}", answer.status);
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
        let _ = write!(text, " {}", readable(&answer.body));
        self.add(at, text);
    }

    fn add(&mut self, at: Duration, text: String) {
        let message = format!("{:.6} {text}", at.as_secs_f64());
        self.hash.update(message.as_bytes());
        self.hash.update(b"\n");
        self.messages.push(message);
        if self.messages.len().is_multiple_of(CHECKPOINT_EVERY) {
            let so_far = hex(&self.hash.clone().finalize());
            self.checkpoints
                .push(so_far[..CHECKPOINT_DIGITS].to_owned());
        }
    }

    /// All messages, each on one line.
    pub fn messages(&self) -> &[String] {
        &self.messages
    }

    pub fn digest(&self) -> DayDigest {
        DayDigest {
            messages: self.messages.len(),
            digest: hex(&self.hash.clone().finalize())[..DIGEST_DIGITS].to_owned(),
            checkpoints: self.checkpoints.clone(),
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Text as it is, if it is on one line; anything else in hexadecimal.
fn readable(body: &[u8]) -> String {
    match std::str::from_utf8(body) {
        Ok(text) if !text.contains(|c: char| c.is_control()) => text.to_owned(),
        _ => hex(body),
    }
}
