//! Listing and watch of the state service, which keep the watch cache up to date. This module holds
//! no state: the watch cache tells which changes are missing, and all data read is passed to
//! `Shared::apply_to_cache`.

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

/// Fraction of this controller's request rate that watches may use. The rest is left for
/// linearizable reads, writes and leases.
const WATCH_RATE_FRACTION: f64 = 0.3;
/// Maximum time that the service may block a watch while nothing changes.
const WATCH_BLOCK_MAX: Micros = Micros::from_secs(4);
/// Maximum blocking time of a watch, as a fraction of the time for which authority remains valid
/// after one response. Must be well below 1; otherwise a store without changes would cost this
/// controller its authority.
const WATCH_BLOCK_FRACTION: f64 = 0.25;
/// Time allowed for the response to a blocking watch, in addition to the blocking time.
const BLOCKING_WATCH_MARGIN: Micros = Micros::from_secs(2);
/// Maximum time to wait for the response to a watch that does not block. Kept short because callers
/// are waiting for the response.
const NONBLOCKING_WATCH_TIMEOUT: Micros = Micros::from_millis(900);
/// Delay after a failed listing or watch.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delays after each failed attempt to read a page of a listing.
const PAGE_RETRY_DELAYS: [Micros; 4] = [
    Micros::from_millis(100),
    Micros::from_millis(200),
    Micros::from_millis(400),
    Micros::from_millis(800),
];
/// Maximum number of records on a page of a listing. Bounds the memory used by one response.
const PAGE_SIZE: u32 = 1_000;
/// Maximum time to wait for a page of a listing.
const PAGE_TIMEOUT: Micros = Micros::from_secs(3);

/// Outcome of a watch request.
enum WatchOutcome {
    /// The changes since the requested revision.
    Events(WatchResponse),
    /// The service has compacted revisions that this controller has not seen yet.
    Compacted,
    /// The changes exceed the maximum size of a response.
    ResponseTooLong,
    /// There was no response, or the response could not be parsed.
    Failed,
}

impl WatchOutcome {
    /// Classifies the response to a watch, or the error if there was no response.
    fn from_response(result: Result<Response, ClientError>) -> Self {
        match result {
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
            Err(ClientError::TooLong) => Self::ResponseTooLong,
            Ok(_) | Err(_) => Self::Failed,
        }
    }
}

/// Pages of a listing that have been read so far.
#[derive(Default)]
struct PartialListing {
    /// Records of all pages read so far.
    items: Vec<KeyValue>,
    /// Revision of the first page; `None` before the first page was read.
    first_revision: Option<Revision>,
    /// Highest revision of all pages read so far.
    highest_revision: Revision,
}

impl PartialListing {
    /// Adds a page. Returns the last key of the page, after which the next page begins, or `None`
    /// if this was the last page.
    fn add_page(&mut self, page: Listing) -> Option<String> {
        self.first_revision.get_or_insert(page.revision);
        self.highest_revision = self.highest_revision.max(page.revision);
        let last_key = page.items.last().map(|item| item.key.clone());
        self.items.extend(page.items);
        last_key.filter(|_| page.more)
    }
}

impl Shared {
    /// Reads a full listing, then watches for changes. Reads another listing when the watch has
    /// fallen too far behind. Runs for the lifetime of the controller.
    pub async fn watch_loop(self: Rc<Self>) {
        loop {
            let (phase, after) = {
                let state = self.state.borrow();
                (state.cache.phase, state.cache.revision)
            };
            let started_at = self.now();
            let succeeded = if phase == Phase::NotListed {
                self.read_listing().await
            } else {
                let block_time = self.watch_block_time();
                self.watch(after, block_time).await
            };
            if succeeded {
                // A watch returns at once while there are many changes, and each watch counts
                // against the rate limit. Without this delay, the watches of three controllers
                // alone would use up the limit of the service.
                let delay = self.request_interval(WATCH_RATE_FRACTION) - (self.now() - started_at);
                sleep(to_duration(delay)).await;
            } else {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Returns how long the next watch may block. The result is zero while the link to the store is
    /// down, because a blocking watch would detect the recovery of the link late.
    fn watch_block_time(&self) -> Micros {
        let state = self.state.borrow();
        match state.membership.reachability.own_link(&LinkId::Store) {
            LinkState::Down => Micros::ZERO,
            _ => WATCH_BLOCK_MAX.min(
                self.settings
                    .freshness_bounds
                    .owner_age_max()
                    .scale(WATCH_BLOCK_FRACTION),
            ),
        }
    }

    /// Reads all records page by page and passes the listing to the watch cache. Returns false,
    /// without changing the watch cache, if a page could not be read.
    async fn read_listing(&self) -> bool {
        let (mut listing, mut after) = (PartialListing::default(), String::new());
        loop {
            let Some(page) = self.read_listing_page(&after).await else {
                return false;
            };
            match listing.add_page(page) {
                Some(last_key) => after = last_key,
                None => break,
            }
        }
        let PartialListing {
            items,
            first_revision,
            highest_revision: last,
        } = listing;
        let first = first_revision.unwrap_or_default();
        tracing::debug!(
            items = items.len(),
            revision = first.0,
            "listing of the state service completed"
        );
        self.apply_to_cache(watch_cache::Input::Listed { items, first, last });
        self.wakeups.roles.notify_one();
        true
    }

    /// Reads the page of records whose keys follow `after`, or the first page if `after` is empty.
    /// Returns `None` if the page could not be read.
    ///
    /// A failed page is retried here so that a single failure does not restart the whole listing.
    /// The pages already read stay usable, because the watch continues from the revision of the
    /// first page.
    async fn read_listing_page(&self, after: &str) -> Option<Listing> {
        let mut target = format!("/store?prefix={ROOT}&page={PAGE_SIZE}");
        if !after.is_empty() {
            target.push_str("&after=");
            target.push_str(after);
        }
        for delay in PAGE_RETRY_DELAYS {
            let request = Request::new(Method::Get, target.clone(), Vec::new());
            let result = self.call_store_within_budget(request, PAGE_TIMEOUT).await;
            if let Ok(response) = result
                && response.status == 200
            {
                return serde_json::from_slice(&response.body).ok();
            }
            sleep(to_duration(delay)).await;
        }
        None
    }

    /// Sends one watch for changes after the revision `after` and applies the response to the watch
    /// cache. The service blocks for up to `block_time` if there are no changes. Returns false if
    /// the watch cache was not updated.
    ///
    /// A watch with a `block_time` of zero is a linearizable read: the revision of the response is
    /// at least the revision committed when the request was sent, and the watch cache is updated to
    /// that revision.
    pub(super) async fn watch(&self, after: Revision, block_time: Micros) -> bool {
        self.charge_watch_request(block_time).await;
        let sent_at = self.now();
        match self.send_watch(after, block_time).await {
            WatchOutcome::Events(response) => {
                self.apply_to_cache(watch_cache::Input::WatchEvents {
                    after,
                    revision: response.revision,
                    events: response.events,
                });
                self.observe_link(LinkId::Store, Observation::Success);
                // The cache ignores a response that begins after its revision, as happens if a
                // listing that began earlier was completed in the meantime. Such a response must not
                // count as a linearizable read, or for the age of the cache.
                if !self
                    .state
                    .borrow()
                    .cache
                    .contains_revision(response.revision)
                {
                    return false;
                }
                let fresh = authority::Input::CacheFresh { sent: sent_at };
                self.state.borrow_mut().authority.apply(fresh);
                true
            }
            // A new listing avoids a watch that never catches up. It also bounds memory use,
            // because a listing is read in pages.
            WatchOutcome::Compacted | WatchOutcome::ResponseTooLong => self.read_listing().await,
            WatchOutcome::Failed => false,
        }
    }

    /// Charges the request budget for a watch. A blocking watch does not wait for the budget,
    /// because everything else depends on an up-to-date watch cache.
    async fn charge_watch_request(&self, block_time: Micros) {
        if block_time != Micros::ZERO {
            self.charge_request();
            return;
        }
        let now = self.now();
        let charge_result = self.state.borrow_mut().store.request_budget.take(1.0, now);
        if let Err(wait) = charge_result {
            sleep(to_duration(wait)).await;
        }
    }

    /// Sends one watch request; see [`Self::watch`] for the parameters.
    async fn send_watch(&self, after: Revision, block_time: Micros) -> WatchOutcome {
        let (after, block_ms) = (after.0, block_time.0 / 1_000);
        let target = format!("/watch?prefix={ROOT}&after={after}&block_ms={block_ms}");
        let margin = if block_time == Micros::ZERO {
            NONBLOCKING_WATCH_TIMEOUT
        } else {
            BLOCKING_WATCH_MARGIN
        };
        let request = Request::new(Method::Get, target, Vec::new());
        let result = self
            .call(
                self.settings.state_service_address,
                request,
                block_time + margin,
            )
            .await;
        WatchOutcome::from_response(result)
    }
}
