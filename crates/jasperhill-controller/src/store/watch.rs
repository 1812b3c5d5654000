//! The listing and the watch that keep the watch cache up to date. Owns no state: the watch cache
//! itself says what it lacks, and all that is read goes through `Shared::apply_to_cache`.

use crate::{
    clock::to_duration,
    shared::Shared,
    watch_cache::{self, Phase},
};
use jasperhill_http::{ClientError, Method, Request, Response};
use jasperhill_membership::{authority, link::Observation, reachability::LinkId};
use jasperhill_wire::{
    Micros, Revision,
    mesh::LinkState,
    record::ROOT,
    store::{KeyValue, Listing, WatchResponse},
};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// The part of this controller's request rate that watches may use; the rest is for linearizable
/// reads, writes and leases.
const WATCH_SHARE: f64 = 0.3;
/// How long the service holds back the answer to a watch without changes, at most.
const WATCH_BLOCK_MAX: Micros = Micros::from_secs(4);
/// The part of the time that authority may rest on one answer for which a watch may block: well below
/// one, or a quiet store alone would cost this controller its authority.
const WATCH_BLOCK_SHARE: f64 = 0.25;
/// How long an answer may take on top of the time for which the service blocks.
const BLOCKING_WATCH_SLACK: Micros = Micros::from_secs(2);
/// How long the answer to a watch that does not block may take: callers wait for it.
const IMMEDIATE_WATCH_LIMIT: Micros = Micros::from_millis(900);
/// The pause after a listing or a watch that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// The pauses after each failed try to read one page of a listing.
const PAGE_RETRY_PAUSES: [Micros; 4] = [
    Micros::from_millis(100),
    Micros::from_millis(200),
    Micros::from_millis(400),
    Micros::from_millis(800),
];
/// Records on one page of a listing: bounds what one answer takes in memory.
const PAGE_SIZE: u32 = 1_000;
/// How long one page of a listing may take.
const PAGE_LIMIT: Micros = Micros::from_secs(3);

/// The answer to a watch.
enum WatchAnswer {
    /// What has changed.
    Events(WatchResponse),
    /// The service has compacted away revisions that this controller has not seen.
    Compacted,
    /// More has changed than one answer may hold.
    TooLong,
    /// No answer, or none that is understood.
    Failed,
}

impl WatchAnswer {
    /// What an answer, or its absence, means.
    fn of(answer: Result<Response, ClientError>) -> Self {
        match answer {
            Ok(response) if response.status == 200 => {
                match serde_json::from_slice(&response.body) {
                    Ok(events) => Self::Events(events),
                    Err(error) => {
                        tracing::warn!(%error, "malformed watch response");
                        Self::Failed
                    }
                }
            }
            Ok(response) if response.status == 410 => Self::Compacted,
            Err(ClientError::TooLong) => Self::TooLong,
            Ok(_) | Err(_) => Self::Failed,
        }
    }
}

/// The pages of a listing that have been read so far.
#[derive(Default)]
struct PartialListing {
    /// The records of all pages.
    items: Vec<KeyValue>,
    /// The revision of the first page.
    first: Option<Revision>,
    /// The highest revision of any page.
    last: Revision,
}

impl PartialListing {
    /// Adds a page. The key to go on after, if there are more.
    fn add(&mut self, page: Listing) -> Option<String> {
        self.first.get_or_insert(page.revision);
        self.last = self.last.max(page.revision);
        let last_key = page.items.last().map(|item| item.key.clone());
        self.items.extend(page.items);
        last_key.filter(|_| page.more)
    }
}

impl Shared {
    /// Lists once, then watches; lists again when the watch has fallen too far behind. Runs for as
    /// long as the controller lives.
    pub async fn watch_loop(self: Rc<Self>) {
        loop {
            let (phase, after) = {
                let state = self.state.borrow();
                (state.cache.phase, state.cache.revision)
            };
            let started = self.now();
            let succeeded = if phase == Phase::Empty {
                self.list_all().await
            } else {
                let block = self.watch_block();
                self.watch(after, block).await
            };
            if succeeded {
                // With many changes a watch answers at once, and each one counts: unpaced
                // watches of three controllers alone would use up the service's limit.
                let pause = self.request_interval(WATCH_SHARE) - (self.now() - started);
                sleep(to_duration(pause)).await;
            } else {
                sleep(FAILURE_PAUSE).await;
            }
        }
    }

    /// For how long the next watch may block. Not at all while the link to the store is down: a watch
    /// that blocks would show only late that it is back.
    fn watch_block(&self) -> Micros {
        let state = self.state.borrow();
        match state.membership.reachability.own_link(&LinkId::Store) {
            LinkState::Down => Micros::ZERO,
            _ => WATCH_BLOCK_MAX.min(self.settings.bounds.owner().scale(WATCH_BLOCK_SHARE)),
        }
    }

    /// Reads everything, page by page, and hands it to the watch cache. False if a page could not be
    /// read; nothing is handed over then.
    async fn list_all(&self) -> bool {
        let (mut listing, mut after) = (PartialListing::default(), String::new());
        loop {
            let Some(page) = self.list_page(&after).await else {
                return false;
            };
            match listing.add(page) {
                Some(last_key) => after = last_key,
                None => break,
            }
        }
        let PartialListing { items, first, last } = listing;
        let first = first.unwrap_or_default();
        tracing::debug!(items = items.len(), revision = first.0, "listed the store");
        self.apply_to_cache(watch_cache::Input::Listed { items, first, last });
        self.wake.roles.notify_one();
        true
    }

    /// The page of keys after this one; from the beginning if it is empty.
    ///
    /// Guards against listings that begin anew with each page that fails: what is listed stays, since
    /// the watch goes on from the first page.
    async fn list_page(&self, after: &str) -> Option<Listing> {
        let mut target = format!("/store?prefix={ROOT}&page={PAGE_SIZE}");
        if !after.is_empty() {
            target.push_str("&after=");
            target.push_str(after);
        }
        for pause in PAGE_RETRY_PAUSES {
            let request = Request::new(Method::Get, target.clone(), Vec::new());
            let answer = self.call_store_within_budget(request, PAGE_LIMIT).await;
            if let Ok(answer) = answer
                && answer.status == 200
            {
                return serde_json::from_slice(&answer.body).ok();
            }
            sleep(to_duration(pause)).await;
        }
        None
    }

    /// One watch for what has changed after a revision; the service blocks for `block` if nothing has.
    /// With `block` zero it is the linearizable read: the answer shows a revision not older than the
    /// request, and brings the watch cache up to it. False if it brought nothing.
    pub(super) async fn watch(&self, after: Revision, block: Micros) -> bool {
        self.pay_for_watch(block).await;
        let sent = self.now();
        match self.send_watch(after, block).await {
            WatchAnswer::Events(response) => {
                self.apply_to_cache(watch_cache::Input::WatchEvents {
                    after,
                    revision: response.revision,
                    events: response.events,
                });
                let fresh = authority::Input::Fresh { sent };
                self.state.borrow_mut().authority.apply(fresh);
                self.observe_link(LinkId::Store, Observation::Success);
                true
            }
            // Guards against a watch that has fallen so far behind that it never gets on, and
            // against the memory that reading all of it would take: the listing comes in pages.
            WatchAnswer::Compacted | WatchAnswer::TooLong => self.list_all().await,
            WatchAnswer::Failed => false,
        }
    }

    /// Takes a watch's request from the budget. A watch that blocks does not wait for it: the watch
    /// cache feeds everything else.
    async fn pay_for_watch(&self, block: Micros) {
        if block != Micros::ZERO {
            self.charge_request();
            return;
        }
        let now = self.now();
        let taken = self.state.borrow_mut().store.requests.take(1.0, now);
        if let Err(wait) = taken {
            sleep(to_duration(wait)).await;
        }
    }

    /// Sends one watch; see [`Self::watch`] for the arguments.
    async fn send_watch(&self, after: Revision, block: Micros) -> WatchAnswer {
        let (after, block_ms) = (after.0, block.0 / 1_000);
        let target = format!("/watch?prefix={ROOT}&after={after}&block_ms={block_ms}");
        let slack = if block == Micros::ZERO {
            IMMEDIATE_WATCH_LIMIT
        } else {
            BLOCKING_WATCH_SLACK
        };
        let request = Request::new(Method::Get, target, Vec::new());
        let answer = self.call(self.settings.state, request, block + slack).await;
        WatchAnswer::of(answer)
    }
}
