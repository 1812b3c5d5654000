//! A stand-in for the state service: keys, transactions, leases, watches.

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

struct Entry {
    value: Value,
    version: Revision,
    lease: Option<u64>,
}

/// What the service takes: bytes of a value, changes of a transaction, changes a second.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub write_rps: f64,
}

#[derive(Default)]
pub struct StateService {
    /// `None`: whatever comes.
    pub limits: Option<Limits>,
    /// Changes that are still allowed now, and as of when.
    level: Option<(f64, Instant)>,
    /// Answers of 400 for what is too large.
    pub too_large: usize,
    /// Jobs that were put before their owners.
    pub wants: usize,
    /// When roles got another owner: the key, and who.
    pub moves: Vec<(Instant, String, String)>,
    keys: BTreeMap<String, Entry>,
    revision: u64,
    history: VecDeque<(String, WatchEvent)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Requests of this second, and of the busiest one.
    second: Option<(Instant, usize)>,
    busiest: usize,
}

/// Kept short, so that watches fall behind now and then and the listing is tried as well.
const HISTORY: usize = 400;

fn json(status: u16, body: &impl serde::Serialize) -> Response {
    Response::new(status, serde_json::to_vec(body).unwrap())
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// What a request leads to.
pub enum Served {
    Answer(Response),
    /// A watch that blocks until a change or this moment.
    Block {
        prefix: String,
        after: u64,
        until: Instant,
    },
}

impl StateService {
    pub fn new(limits: Option<Limits>) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    fn record(&mut self, event: WatchEvent, key: String) {
        self.history.push_back((key, event));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    /// Ends leases whose time is up.
    pub fn expire(&mut self, now: Instant) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| now > *until)
            .map(|(l, _)| *l)
            .collect();
        for lease in over {
            self.end(lease);
        }
    }

    /// After an outage all leases have their full time again.
    pub fn refill(&mut self, now: Instant) {
        for (until, ttl) in self.leases.values_mut() {
            *until = now + *ttl;
        }
    }

    fn end(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let tied: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.lease == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !tied.is_empty() {
            self.revision += 1;
        }
        let version = Revision(self.revision);
        for key in tied {
            self.keys.remove(&key);
            self.record(
                WatchEvent::Delete {
                    key: key.clone(),
                    version,
                },
                key,
            );
        }
        true
    }

    pub fn watch(&self, prefix: &str, after: u64) -> Option<Response> {
        let events: Vec<WatchEvent> = self
            .history
            .iter()
            .filter(|(key, e)| key.starts_with(prefix) && e.version().0 > after)
            .map(|(_, e)| e.clone())
            .collect();
        (!events.is_empty()).then(|| {
            json(
                200,
                &WatchResponse {
                    revision: Revision(self.revision),
                    events,
                },
            )
        })
    }

    pub fn nothing_new(&self) -> Response {
        json(
            200,
            &WatchResponse {
                revision: Revision(self.revision),
                events: Vec::new(),
            },
        )
    }

    /// The longest value that is kept.
    /// What a key holds, as a field of its value.
    pub fn field(&self, key: &str, field: &str) -> Option<Value> {
        Some(self.keys.get(key)?.value[field].clone())
    }

    /// The machines that have records.
    pub fn recorded(&self) -> Vec<String> {
        let blocks = self.keys.iter().filter(|(k, _)| k.starts_with("jh/hosts/"));
        blocks
            .filter_map(|(_, e)| e.value["h"].as_object())
            .flat_map(|hosts| hosts.keys().cloned())
            .collect()
    }

    pub fn longest(&self) -> usize {
        let lengths = self.keys.values().map(|e| e.value.to_string().len());
        lengths.max().unwrap_or(0)
    }

    /// The most requests of any second.
    pub fn busiest(&self) -> usize {
        self.busiest
    }

    pub fn serve(&mut self, request: &Request, now: Instant) -> Served {
        self.expire(now);
        let (began, n) = self.second.get_or_insert((now, 0));
        if now - *began >= Duration::from_secs(1) {
            (*began, *n) = (now, 0);
        }
        *n += 1;
        self.busiest = self.busiest.max(*n);
        let path = request.path();
        Served::Answer(match (request.method, path) {
            (Method::Post, "/txn") => self.txn(&request.body, now),
            (Method::Get, "/watch") => {
                let prefix = query(&request.target, "prefix").unwrap_or("").to_owned();
                let after: u64 = query(&request.target, "after").unwrap().parse().unwrap();
                let block: u64 =
                    query(&request.target, "block_ms").map_or(0, |b| b.parse().unwrap());
                let oldest = self.history.front().map_or(0, |(_, e)| e.version().0);
                if self.history.len() >= HISTORY && after < oldest {
                    Response::new(410, b"{}".to_vec())
                } else if let Some(news) = self.watch(&prefix, after) {
                    news
                } else if block == 0 {
                    self.nothing_new()
                } else {
                    let until = now + Duration::from_millis(block);
                    return Served::Block {
                        prefix,
                        after,
                        until,
                    };
                }
            }
            (Method::Get, "/store") => {
                let prefix = query(&request.target, "prefix").unwrap_or("");
                let after = query(&request.target, "after").unwrap_or("");
                let page: usize = query(&request.target, "page").unwrap().parse().unwrap();
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
                json(
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
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (now + ttl, ttl));
                json(
                    200,
                    &LeaseResponse {
                        lease: self.next_lease,
                    },
                )
            }
            (method, path) => self.lease(method, path, now),
        })
    }

    fn lease(&mut self, method: Method, path: &str, now: Instant) -> Response {
        let rest = path.strip_prefix("/leases/").expect("a known path");
        let (id, renew) = match rest.strip_suffix("/renew") {
            Some(id) => (id, true),
            None => (rest, false),
        };
        let id: u64 = id.parse().unwrap();
        let known = if renew {
            self.leases
                .get_mut(&id)
                .map(|(until, ttl)| *until = now + *ttl)
                .is_some()
        } else {
            assert_eq!(method, Method::Delete);
            self.end(id)
        };
        Response::new(
            if known { 200 } else { 404 },
            format!("{{\"permit\":{id}}}").into_bytes(),
        )
    }

    /// What is wrong with a transaction by the limits, if there are any.
    fn over(&mut self, txn: &Transaction, now: Instant) -> Option<Response> {
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
        let (level, at) = self.level.unwrap_or((limits.write_rps, now));
        let since = now.duration_since(at).as_secs_f64();
        let level = (level + since * limits.write_rps).min(limits.write_rps);
        let left = level - txn.changes.len() as f64;
        self.level = Some((if left < 0.0 { level } else { left }, now));
        (left < 0.0).then(|| Response::new(429, b"{}".to_vec()))
    }

    fn note_move(&mut self, key: &str, value: &Value, now: Instant) {
        if key.starts_with("jh/want/") && !self.keys.contains_key(key) {
            self.wants += 1;
        }
        let is_role = key.starts_with("jh/part/") || key == "jh/leader";
        let owner = value["o"].as_str().unwrap_or_default();
        if is_role && self.field(key, "o").is_none_or(|o| o != owner) {
            self.moves.push((now, key.to_owned(), owner.to_owned()));
        }
    }

    fn txn(&mut self, body: &[u8], now: Instant) -> Response {
        assert!(body.len() <= 64 * 1024, "a transaction over 64 KiB");
        let txn: Transaction = serde_json::from_slice(body).unwrap();
        if let Some(refusal) = self.over(&txn, now) {
            return refusal;
        }
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|g| self.keys.get(&g.key).map_or(0, |e| e.version.0) != g.version.0)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return json(
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
                    self.note_move(&key, &value, now);
                    self.keys.insert(
                        key.clone(),
                        Entry {
                            value: value.clone(),
                            version,
                            lease,
                        },
                    );
                    self.record(
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
                        self.record(
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
        json(
            200,
            &TransactionResponse {
                revision: version,
                failed: Vec::new(),
            },
        )
    }
}
