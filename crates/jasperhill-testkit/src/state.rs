//! In-memory simulation of the state service that controllers store their data in.
//!
//! [`StateService`] holds keys with versions, executes guarded transactions, keeps leases with the
//! keys attached to them, and answers listings and watches. Every committed change raises the
//! revision, and the most recent changes are kept so that watches can be answered from them.
//! Optional [`Limits`] bound the size and the rate of transactions.

use jasperhill_http::{Method, Request, Response};
use jasperhill_wire::{
    Revision,
    store::{
        Change, KeyValue, LeaseResponse, Listing, Transaction, TransactionResponse, WatchEvent,
        WatchResponse,
    },
};
use serde_json::Value;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Value stored under a key.
struct Entry {
    value: Value,
    /// Revision of the last write.
    version: Revision,
    /// Lease that the key is attached to, and whose end deletes the key; `None` if the key is
    /// permanent.
    lease: Option<u64>,
}

/// Limits that the service enforces on transactions.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest value that a change may write, in bytes of JSON.
    pub value_bytes: usize,
    /// Most changes of a transaction. A transaction may have four times as many guards.
    pub txn_ops: usize,
    /// Changes per second, over all clients; also the size of the burst.
    pub write_rps: f64,
}

/// Simulated state service with counters for the checks at the end of a run.
#[derive(Default)]
pub struct StateService {
    /// Limits on transactions; `None` means unlimited.
    pub limits: Option<Limits>,
    /// Token bucket of the write rate: changes left, and the time of the last refill. `None` before
    /// the first limited transaction.
    write_tokens: Option<(f64, Instant)>,
    /// Number of transactions refused with 400 because they exceeded a size limit.
    pub too_large: usize,
    /// Number of new keys below `jh/want/`: jobs proposed to their owners through the store.
    pub wants: usize,
    /// Changes of a role's owner: time, key of the role (`jh/leader` or `jh/part/…`), new owner.
    pub moves: Vec<(Instant, String, String)>,
    keys: BTreeMap<String, Entry>,
    revision: u64,
    /// Most recent changes with their keys, oldest first; at most [`MAX_HISTORY_EVENTS`].
    history: VecDeque<(String, WatchEvent)>,
    /// Live leases: expiry time and time to live.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    /// Start of the one-second window that requests are counted in, and the count.
    request_window: Option<(Instant, usize)>,
    /// Most requests counted in any one-second window.
    peak_requests: usize,
}

/// Most changes kept for watches. Short enough that watches fall behind now and then, which
/// exercises the fallback to a listing.
const MAX_HISTORY_EVENTS: usize = 400;

/// Returns a response with a JSON body.
fn json_response(status: u16, body: &impl serde::Serialize) -> Response {
    Response::new(status, serde_json::to_vec(body).unwrap())
}

/// Returns the value of a parameter in the query string of a request target.
fn query_parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Result of serving a request.
pub enum Served {
    /// The response, available at once.
    Answer(Response),
    /// Long poll: the caller waits for a change of a matching key, or until the deadline.
    Block {
        /// Prefix of the watched keys.
        prefix: String,
        /// Revision after which changes count.
        after: u64,
        /// Deadline of the wait.
        until: Instant,
    },
}

impl StateService {
    /// Returns an empty service.
    pub fn new(limits: Option<Limits>) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Appends a change to the history and drops the oldest one beyond its maximum.
    fn append_to_history(&mut self, event: WatchEvent, key: String) {
        self.history.push_back((key, event));
        if self.history.len() > MAX_HISTORY_EVENTS {
            self.history.pop_front();
        }
    }

    /// Ends the leases that have expired, which deletes the keys attached to them.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| now > *until)
            .map(|(l, _)| *l)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Extends every lease to its full time to live; called at the end of an outage.
    pub fn refill(&mut self, now: Instant) {
        for (until, ttl) in self.leases.values_mut() {
            *until = now + *ttl;
        }
    }

    /// Ends a lease and deletes the keys attached to it in one revision. Returns false if there is
    /// no such lease.
    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let attached_keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.lease == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !attached_keys.is_empty() {
            self.revision += 1;
        }
        let version = Revision(self.revision);
        for key in attached_keys {
            self.keys.remove(&key);
            self.append_to_history(
                WatchEvent::Delete {
                    key: key.clone(),
                    version,
                },
                key,
            );
        }
        true
    }

    /// Returns the changes after a revision of keys with this prefix; `None` if there are none in
    /// the history.
    pub fn watch(&self, prefix: &str, after: u64) -> Option<Response> {
        let events: Vec<WatchEvent> = self
            .history
            .iter()
            .filter(|(key, e)| key.starts_with(prefix) && e.version().0 > after)
            .map(|(_, e)| e.clone())
            .collect();
        (!events.is_empty()).then(|| {
            json_response(
                200,
                &WatchResponse {
                    revision: Revision(self.revision),
                    events,
                },
            )
        })
    }

    /// Returns the response of a watch that timed out without changes.
    pub fn nothing_new(&self) -> Response {
        json_response(
            200,
            &WatchResponse {
                revision: Revision(self.revision),
                events: Vec::new(),
            },
        )
    }

    /// Returns a field of the value stored under a key; `None` if the key does not exist.
    pub fn field(&self, key: &str, field: &str) -> Option<Value> {
        Some(self.keys.get(key)?.value[field].clone())
    }

    /// Returns the names of all machines in the host records (`jh/hosts/…`).
    pub fn recorded(&self) -> Vec<String> {
        let blocks = self.keys.iter().filter(|(k, _)| k.starts_with("jh/hosts/"));
        blocks
            .filter_map(|(_, e)| e.value["h"].as_object())
            .flat_map(|hosts| hosts.keys().cloned())
            .collect()
    }

    /// Returns the length of the longest stored value, in bytes of JSON.
    pub fn longest(&self) -> usize {
        let lengths = self.keys.values().map(|e| e.value.to_string().len());
        lengths.max().unwrap_or(0)
    }

    /// Returns the most requests counted in any one-second window.
    pub fn busiest(&self) -> usize {
        self.peak_requests
    }

    /// Executes a request.
    ///
    /// # Panics
    ///
    /// Panics on a request that is not part of the service's protocol.
    pub fn serve(&mut self, request: &Request, now: Instant) -> Served {
        self.expire(now);
        let (window_start, requests) = self.request_window.get_or_insert((now, 0));
        if now - *window_start >= Duration::from_secs(1) {
            (*window_start, *requests) = (now, 0);
        }
        *requests += 1;
        self.peak_requests = self.peak_requests.max(*requests);
        let path = request.path();
        Served::Answer(match (request.method, path) {
            (Method::Post, "/txn") => self.txn(&request.body, now),
            (Method::Get, "/watch") => {
                let prefix = query_parameter(&request.target, "prefix")
                    .unwrap_or("")
                    .to_owned();
                let after: u64 = query_parameter(&request.target, "after")
                    .unwrap()
                    .parse()
                    .unwrap();
                let block_ms: u64 =
                    query_parameter(&request.target, "block_ms").map_or(0, |b| b.parse().unwrap());
                let oldest = self.history.front().map_or(0, |(_, e)| e.version().0);
                if self.history.len() >= MAX_HISTORY_EVENTS && after < oldest {
                    // The history no longer holds all changes since `after`: the client has to list
                    // again.
                    Response::new(410, b"{}".to_vec())
                } else if let Some(changes) = self.watch(&prefix, after) {
                    changes
                } else if block_ms == 0 {
                    self.nothing_new()
                } else {
                    let until = now + Duration::from_millis(block_ms);
                    return Served::Block {
                        prefix,
                        after,
                        until,
                    };
                }
            }
            (Method::Get, "/store") => {
                let prefix = query_parameter(&request.target, "prefix").unwrap_or("");
                let after = query_parameter(&request.target, "after").unwrap_or("");
                let page: usize = query_parameter(&request.target, "page")
                    .unwrap()
                    .parse()
                    .unwrap();
                let mut items: Vec<KeyValue> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after)
                    .take(page + 1)
                    .map(|(k, e)| KeyValue {
                        key: k.clone(),
                        value: e.value.clone(),
                        version: e.version,
                        lease: e.lease,
                    })
                    .collect();
                let more = items.len() > page;
                items.truncate(page);
                json_response(
                    200,
                    &Listing {
                        items,
                        more,
                        revision: Revision(self.revision),
                    },
                )
            }
            (Method::Post, "/leases") => {
                let body: Value = serde_json::from_slice(&request.body).unwrap();
                let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap());
                self.last_lease += 1;
                self.leases.insert(self.last_lease, (now + ttl, ttl));
                json_response(
                    200,
                    &LeaseResponse {
                        lease: self.last_lease,
                    },
                )
            }
            (method, path) => self.renew_or_end_lease(method, path, now),
        })
    }

    /// Renews or ends the lease named in the path: 200, or 404 if there is no such lease.
    fn renew_or_end_lease(&mut self, method: Method, path: &str, now: Instant) -> Response {
        let lease_path = path.strip_prefix("/leases/").expect("path below /leases/");
        let (id, renew) = match lease_path.strip_suffix("/renew") {
            Some(id) => (id, true),
            None => (lease_path, false),
        };
        let id: u64 = id.parse().unwrap();
        let known = if renew {
            self.leases
                .get_mut(&id)
                .map(|(until, ttl)| *until = now + *ttl)
                .is_some()
        } else {
            assert_eq!(method, Method::Delete);
            self.end_lease(id)
        };
        Response::new(
            if known { 200 } else { 404 },
            format!("{{\"permit\":{id}}}").into_bytes(),
        )
    }

    /// Returns the refusal of a transaction that exceeds the limits: 400 for its size, 429 for the
    /// write rate. A refused transaction takes no write tokens.
    fn check_limits(&mut self, txn: &Transaction, now: Instant) -> Option<Response> {
        let limits = self.limits?;
        let bytes = |c: &Change| match c {
            Change::Put { value, .. } => value.to_string().len(),
            Change::Delete { .. } => 0,
        };
        if txn.changes.len() > limits.txn_ops
            || txn.guards.len() > limits.txn_ops * 4
            || txn.changes.iter().any(|c| bytes(c) > limits.value_bytes)
        {
            self.too_large += 1;
            return Some(Response::new(400, b"{\"error\":\"too large\"}".to_vec()));
        }
        let (tokens, refilled_at) = self.write_tokens.unwrap_or((limits.write_rps, now));
        let elapsed_s = now.duration_since(refilled_at).as_secs_f64();
        let tokens = (tokens + elapsed_s * limits.write_rps).min(limits.write_rps);
        let remaining = tokens - txn.changes.len() as f64;
        self.write_tokens = Some((if remaining < 0.0 { tokens } else { remaining }, now));
        (remaining < 0.0).then(|| Response::new(429, b"{}".to_vec()))
    }

    /// Counts a job proposed through the store, and records a role's change of owner. Must be
    /// called before the write takes effect.
    fn record_proposal_or_role_change(&mut self, key: &str, value: &Value, now: Instant) {
        if key.starts_with("jh/want/") && !self.keys.contains_key(key) {
            self.wants += 1;
        }
        let is_role = key.starts_with("jh/part/") || key == "jh/leader";
        let owner = value["o"].as_str().unwrap_or_default();
        if is_role && self.field(key, "o").is_none_or(|o| o != owner) {
            self.moves.push((now, key.to_owned(), owner.to_owned()));
        }
    }

    /// Executes a transaction: 200 if it was committed, 409 with the keys of the failed guards, or
    /// a refusal by the limits or for an unknown lease.
    fn txn(&mut self, body: &[u8], now: Instant) -> Response {
        assert!(body.len() <= 64 * 1024, "transaction body exceeds 64 KiB");
        let txn: Transaction = serde_json::from_slice(body).unwrap();
        if let Some(refusal) = self.check_limits(&txn, now) {
            return refusal;
        }
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|g| self.keys.get(&g.key).map_or(0, |e| e.version.0) != g.version.0)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return json_response(
                409,
                &TransactionResponse {
                    revision: Revision(self.revision),
                    failed,
                },
            );
        }
        for change in &txn.changes {
            if let Change::Put {
                lease: Some(lease), ..
            } = change
                && !self.leases.contains_key(lease)
            {
                return Response::new(400, b"{\"error\":\"no such lease\"}".to_vec());
            }
        }
        if !txn.changes.is_empty() {
            self.revision += 1;
        }
        let version = Revision(self.revision);
        for change in txn.changes {
            match change {
                Change::Put { key, value, lease } => {
                    self.record_proposal_or_role_change(&key, &value, now);
                    self.keys.insert(
                        key.clone(),
                        Entry {
                            value: value.clone(),
                            version,
                            lease,
                        },
                    );
                    self.append_to_history(
                        WatchEvent::Put {
                            key: key.clone(),
                            value,
                            version,
                        },
                        key,
                    );
                }
                Change::Delete { key } => {
                    if self.keys.remove(&key).is_some() {
                        self.append_to_history(
                            WatchEvent::Delete {
                                key: key.clone(),
                                version,
                            },
                            key,
                        );
                    }
                }
            }
        }
        json_response(
            200,
            &TransactionResponse {
                revision: version,
                failed: Vec::new(),
            },
        )
    }
}
